#!/usr/bin/env python3
"""Plays restarts of one relay as its callers meet them, drawn from a seed: restart_play.py PROGRAM FOLDER SEED.

Clients keep using every connection that stays open until the relay is killed; SIGTERM and SIGHUP come in series, the
process is held up, endpoints hang through the shutdown, and in some runs a crowd fills the descriptors. Everything is
judged from outside. Prints what was counted and each broken rule; the status is 1 where one is broken.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import select
import signal
import socket
import subprocess
import sys
import time

CLIENTS = 24
RESTARTS = 4
CLIENT_PATIENCE_S = 0.4  # a client waits so long for its answer
KILL_AFTER_S = 3.7  # SIGKILL follows SIGTERM no sooner
CROSSING_S = 0.005  # half of the clients send within this of SIGTERM
DOWN_S = 0.6  # from SIGKILL to the next start
READY_AT_MOST_S = 10
NOTICE_SLACK_S = 0.3 + 0.05  # the terms' slack, and 50 ms on sockets
EXCUSED_AFTER_READY_S = 1.5  # from SIGTERM or SIGKILL until then no notice is overdue
RESET_BEHIND_END_S = 1.5  # a reset may follow a clean end within this
DESTINATION = 7
SAFE, UNSAFE = "load-status", "pay-and-order"


@dataclasses.dataclass
class Message:
    """One message as the outside saw it; times by the monotonic clock."""

    unsafe: bool
    deadline: float
    taken_at: float | None = None
    refused: bool = False
    unanswered: bool = False  # its client may have been told nothing
    ended_at: float | None = None  # by its delivery or a notice
    may_have_run: bool = False


class Judge:
    def __init__(self):
        self.messages = {}
        self.counts = collections.Counter()
        self.broken = []
        self.excused = []  # spans in which no notice is overdue
        self.lag = 0.0

    def found(self, rule, detail):
        self.counts["broken " + rule] += 1
        self.broken.append(f"{rule}: {detail}")

    def called(self, identifier):
        message = self.messages.get(identifier)
        if message is None:
            return self.found("strange", f"call for {identifier}, which no client sent")
        if message.unsafe and message.may_have_run:
            self.found("unsafe again", identifier)

    def ended(self, identifier):
        message = self.messages.get(identifier)
        if message is not None and message.ended_at is None:
            message.ended_at = time.monotonic()

    def due(self, message):
        """Until when the end of a message that was taken on is owed."""
        due = message.deadline + NOTICE_SLACK_S
        for begin, end in self.excused:
            if begin <= due <= end:
                due = end
        return due

    def all_ended(self):
        return all(m.ended_at is not None for m in self.messages.values() if m.taken_at is not None)

    def close(self):
        for identifier, message in self.messages.items():
            if message.taken_at is None:
                continue
            self.counts["taken on"] += 1
            if message.ended_at is None:
                self.found("lost", identifier)
            elif message.ended_at > max(self.due(message), message.taken_at) + self.lag:
                self.found("late", f"{identifier} by {message.ended_at - message.deadline:.3f} s")


def head_field(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return None


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    body = await reader.readexactly(int(head_field(head, "content-length") or 0))
    return head, body


def has_ended(writer):
    """Whether the other side has ended its sending, or the connection."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as peer:
        with contextlib.suppress(BlockingIOError):
            try:
                return peer.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
            except ConnectionError:
                return True
    return False


class Endpoint:
    """Serves calls, or hangs for spans of time, or fails a few of them."""

    def __init__(self, rng, judge):
        self.rng, self.judge = rng, judge
        self.hangs = False
        self.address = ""

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return server

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head, _ = await read_request(reader)
                await self.answer(head_field(head, "x-request-id"), writer)
        writer.close()

    async def answer(self, identifier, writer):
        self.judge.called(identifier)
        message = self.judge.messages.get(identifier)
        chance = self.rng.random()
        if chance < 0.002:
            writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        if message is not None:
            message.may_have_run = True
        hangs = self.hangs
        await asyncio.sleep(60 if hangs else self.rng.expovariate(1 / 0.06))
        if chance < 0.02:
            raise ConnectionResetError
        if has_ended(writer):
            raise ConnectionResetError
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        self.judge.ended(identifier)


class Platform:
    """Discovery with a watch, and the notices."""

    def __init__(self, judge, endpoints):
        self.judge, self.endpoints = judge, endpoints
        self.address = ""

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return server

    def list(self):
        entries = [
            {"name": f"s-{i}", "address": e.address, "zone": "a", "type": "small", "group": DESTINATION,
             "status": "ready", "weight": 1.0, "since_ms": 0}
            for i, e in enumerate(self.endpoints)
        ]
        return {"index": 41, "snapshot": True, "endpoints": entries}

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head, body = await read_request(reader)
                if head.startswith("POST"):
                    for line in body.decode().splitlines():
                        self.judge.counts["notices"] += 1
                        self.judge.ended(json.loads(line)["id"])
                    writer.write(b"HTTP/1.1 204 X\r\n\r\n")
                elif "follow=1" in head.split("\r\n")[0]:
                    await self.watch(writer)
                else:
                    text = json.dumps(self.list()).encode()
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        writer.close()

    async def watch(self, writer):
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.list()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            line = b"\n"
            await asyncio.sleep(2)


class Relay:
    """The process, its configuration and its signals."""

    def __init__(self, program, folder, host, platforms, rng, judge):
        self.program, self.folder, self.host = program, folder, host
        self.platforms, self.rng, self.judge = platforms, rng, judge
        with socket.socket() as probe:
            probe.bind((host, 0))
            self.port = probe.getsockname()[1]
        self.process = None
        self.killed_at = -1.0

    def write_config(self):
        platform = self.rng.choice(self.platforms)
        classes = [
            {"Name": SAFE, "Points": 1.0, "Target": 1_000_000, "Deadline": 6_000_000, "Idempotency": "read_like"},
            {"Name": UNSAFE, "Points": 3.0, "Target": 2_000_000, "Deadline": 24_000_000,
             "Idempotency": "non_idempotent", "LateWorth": 0.3},
        ]
        settings = {
            "Classes": classes,
            "FamilyInfo": {"Workers": 64, "BundleMax": [1], "RoutesApart": [True], "Decay": "halves"},
            "HostTypes": ["small"], "FailureDomains": ["a"], "Locality": "a",
            "Limits": {"OpenCap": 600, "MaxAttempts": 8, "Cancelling": True, "ConnIdle": 5_000_000,
                       "ConnectTimeout": 1_500_000, "MaxRetryAfter": 2_000_000},
            "Discovery": "subscribe", "GroupSize": 1,
            "Rules": {"AnswerSlack": 20_000, "DrainGrace": 1_000_000, "MustAskIn": 10_000_000}, "Tick": 5_000,
        }
        config = {
            "name": "n0", "listen": f"{self.host}:{self.port}", "discovery": platform.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 20},
            "known": platform.list(), "settings": settings,
        }
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(config))
        fresh.rename(self.folder / "config.json")

    async def start(self):
        self.write_config()
        (self.folder / "state").mkdir(exist_ok=True)
        begun = self.starts_logged()
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [self.program], stderr=log, stdout=subprocess.DEVNULL,
                env={**os.environ, "LB_CONFIG": str(self.folder / "config.json"),
                     "LB_STATE": str(self.folder / "state")})
        # No signal before its first line: until a program's own code runs, SIGHUP ends it, whatever it does then.
        while self.runs() and self.starts_logged() == begun:
            await asyncio.sleep(0.001)

    def starts_logged(self):
        log = self.folder / "log"
        return log.read_bytes().count(b"starting as") if log.exists() else 0

    def runs(self):
        return self.process is not None and self.process.poll() is None

    async def wait_end(self):
        while self.runs():
            await asyncio.sleep(0.005)

    def signal(self, number):
        if self.runs():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def kill(self):
        if self.runs():
            self.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)

    async def hold_up(self):
        """Stands still for up to 0.15 s, in some cases."""
        if self.rng.random() < 0.5:
            return
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.02, 0.15))
        self.signal(signal.SIGCONT)

    async def reload_in_series(self):
        for _ in range(self.rng.randint(2, 8)):
            self.write_config()
            self.signal(signal.SIGHUP)
            self.judge.counts["SIGHUP"] += 1
            await asyncio.sleep(self.rng.choice([0, 0.001, 0.02]))

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        began = time.monotonic()
        while not await self.is_ready():
            if not self.runs():
                self.judge.found("crash", f"ended with status {self.process.returncode} at its start")
                return
            if time.monotonic() - began > READY_AT_MOST_S:
                self.judge.found("not ready", f"{READY_AT_MOST_S} s after its start")
                return
            await asyncio.sleep(0.02)


class Client:
    """Sends one request at a time on a connection that it keeps."""

    def __init__(self, number, relay, rng, judge):
        self.number, self.relay, self.rng, self.judge = number, relay, rng, judge
        self.loop = asyncio.get_running_loop()
        self.socket = None
        self.sent = 0
        self.nudge = asyncio.Event()  # ends the pause between two requests
        self.on_taken = None  # called behind the next answer that takes a message on
        # Some rest for long, until the relay ends their connection.
        self.pause_s = rng.choice([0.05, 0.2, 0.2, 1.0, 4.0])

    async def run(self):
        while True:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.nudge.wait(), self.rng.expovariate(1 / self.pause_s))
            self.nudge.clear()
            await self.hand_in()

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        try:
            await asyncio.wait_for(self.loop.sock_connect(self.socket, (self.relay.host, self.relay.port)), 1)
            return True
        except (OSError, asyncio.TimeoutError):
            self.close()
            return False

    def rested_connection_has_ended(self):
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def hand_in(self):
        if self.socket is not None and self.rested_connection_has_ended():
            self.close()
        if self.socket is None and not await self.connect():
            return
        self.sent += 1
        identifier = f"c{self.number}-{self.sent}"
        unsafe = self.rng.random() < 0.5
        left = self.rng.choice([0.4, 0.8, 1.5, 3.0, 5.0, 8.0])
        message = Message(unsafe, time.monotonic() + left)
        self.judge.messages[identifier] = message
        name = UNSAFE if unsafe else SAFE
        request = (f"POST /{name} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {identifier}\r\nX-Class: {name}\r\n"
                   f"X-Deadline: {int(left * 1000)}m\r\nX-Consignee: dest={DESTINATION}\r\n"
                   "Content-Length: 5\r\n\r\nhello")
        await self.exchange(identifier, message, request.encode())

    async def exchange(self, identifier, message, request):
        try:
            await self.loop.sock_sendall(self.socket, request)
            answer = await asyncio.wait_for(self.loop.sock_recv(self.socket, 4096), CLIENT_PATIENCE_S)
        except asyncio.TimeoutError:
            self.judge.counts["no answer in time"] += 1
            return self.close()
        except OSError:
            self.judge.counts["reset"] += 1
            return self.close()
        if answer == b"":
            return await self.ended_without_answer(identifier)
        self.note(message, answer)
        if b"connection: close" in answer.lower():
            self.close()

    def note(self, message, answer):
        status = answer.split(b" ", 2)[1].decode()
        self.judge.counts["answer " + status] += 1
        if status == "202":
            message.taken_at = time.monotonic()
            if self.on_taken is not None:
                self.on_taken()
        message.refused = status == "503"

    async def ended_without_answer(self, identifier):
        """A clean end: the request was read, and is lost, unless a reset tells that it was not."""
        ended_at = time.monotonic()
        watched, self.socket = self.socket, None
        poll = select.poll()
        poll.register(watched, select.POLLIN)
        while time.monotonic() < ended_at + RESET_BEHIND_END_S:
            if any(events & (select.POLLERR | select.POLLNVAL) for _, events in poll.poll(0)):
                self.judge.counts["end, then reset"] += 1
                return watched.close()
            await asyncio.sleep(0.02)
        watched.close()
        # A process that is killed takes what it has read with it.
        if abs(ended_at - self.relay.killed_at) < 0.2:
            self.judge.counts["ended by a kill"] += 1
        else:
            self.judge.found("read, no answer", identifier)


class Crowd:
    """Clients that fill the descriptors: idle ones, half requests that stay, floods that go."""

    def __init__(self, relay, rng):
        self.relay, self.rng = relay, rng
        self.sockets = []

    def join(self, count):
        for _ in range(count):
            member = socket.socket()
            member.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                member.connect((self.relay.host, self.relay.port))
            self.sockets.append(member)

    async def run(self):
        while True:
            self.join(self.rng.randint(50, 180))
            await asyncio.sleep(0.1)
            for member in self.sockets:
                with contextlib.suppress(OSError):
                    if self.rng.random() < 0.3:
                        member.send(b"POST /load-status HTTP/1.1\r\nHost: x\r\nX-Req")
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            self.leave()

    def leave(self):
        for member in self.sockets:
            member.close()
        self.sockets = []


class Play:
    def __init__(self, program, folder, seed):
        self.rng = random.Random(seed)
        self.judge = Judge()
        self.folder = folder
        self.host = f"127.{40 + seed % 20}.{(seed // 200) % 250}.{1 + seed % 200}"
        self.program = program
        self.has_crowd = self.rng.random() < 0.3

    async def run(self):
        endpoints = [Endpoint(self.rng, self.judge) for _ in range(3)]
        platforms = [Platform(self.judge, endpoints) for _ in range(2)]
        servers = [await part.start(self.host) for part in endpoints + platforms]
        relay = Relay(self.program, self.folder, self.host, platforms, self.rng, self.judge)
        await relay.start()
        await relay.wait_ready()
        clients = [Client(i, relay, self.rng, self.judge) for i in range(CLIENTS)]
        tasks = [asyncio.create_task(c.run()) for c in clients]
        tasks.append(asyncio.create_task(self.measure_lag()))
        crowd = Crowd(relay, self.rng)
        if self.has_crowd:
            tasks.append(asyncio.create_task(crowd.run()))
        for _ in range(RESTARTS):
            await asyncio.sleep(self.rng.uniform(1, 3))
            await self.restart(relay, endpoints, clients)
        await asyncio.sleep(1)
        for task in tasks[:CLIENTS]:
            task.cancel()
        await self.wait_all_ended(relay)
        crowd.leave()
        for task in tasks:
            task.cancel()
        relay.signal(signal.SIGKILL)
        for server in servers:
            server.close()
        self.judge.close()

    async def wait_all_ended(self, relay):
        last = max((m.deadline for m in self.judge.messages.values()), default=0)
        while not self.judge.all_ended() and time.monotonic() < last + 3:
            if not relay.runs():
                return self.judge.found("crash", f"status {relay.process.returncode}")
            await asyncio.sleep(0.05)

    async def measure_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.judge.lag = max(self.judge.lag, time.monotonic() - began - 0.01)

    async def restart(self, relay, endpoints, clients):
        if not relay.runs():
            return self.judge.found("crash", f"status {relay.process.returncode}")
        for endpoint in self.rng.sample(endpoints, self.rng.randint(0, len(endpoints) - 1)):
            endpoint.hangs = True
        began = time.monotonic()
        self.judge.excused.append((began, float("inf")))
        if self.rng.random() < 0.7:
            await self.stop_as_planned(relay, clients)
        else:
            await self.kill_behind_an_answer(relay, clients)
        await relay.wait_end()
        await asyncio.sleep(DOWN_S)
        await relay.start()
        if self.rng.random() < 0.4:
            await asyncio.sleep(self.rng.uniform(0, 0.02))
            await relay.reload_in_series()
        for endpoint in endpoints:
            endpoint.hangs = False
        await relay.wait_ready()
        self.judge.excused[-1] = (began, time.monotonic() + EXCUSED_AFTER_READY_S)

    async def stop_as_planned(self, relay, clients):
        """SIGTERM, requests that cross it, further signals in series, SIGKILL at the earliest."""
        self.judge.counts["planned restarts"] += 1
        began = time.monotonic()
        relay.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        for client in self.rng.sample(clients, len(clients) // 2):
            loop.call_later(self.rng.uniform(0, CROSSING_S), client.nudge.set)
        await relay.hold_up()
        for _ in range(self.rng.randint(0, 4)):
            await asyncio.sleep(self.rng.uniform(0, 0.8))
            kind = self.rng.randrange(4)
            if kind == 0:
                await relay.reload_in_series()
            else:
                relay.signal([signal.SIGTERM, signal.SIGTERM, signal.SIGPIPE][kind - 1])
            await relay.hold_up()
        await asyncio.sleep(max(0.0, began + KILL_AFTER_S - time.monotonic()))
        if relay.runs():
            self.judge.counts["killed while stopping"] += 1
            relay.kill()
        elif relay.process.returncode != 0:
            self.judge.found("crash", f"status {relay.process.returncode} after SIGTERM")

    async def kill_behind_an_answer(self, relay, clients):
        self.judge.counts["kills behind an answer"] += 1
        killed = asyncio.Event()

        def kill():
            relay.kill()
            killed.set()

        for client in clients:
            client.on_taken = kill
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(killed.wait(), 3)
        for client in clients:
            client.on_taken = None
        relay.kill()


def main():
    program, folder, seed = os.path.abspath(sys.argv[1]), pathlib.Path(sys.argv[2]).resolve(), int(sys.argv[3])
    folder.mkdir(parents=True, exist_ok=True)
    play = Play(program, folder, seed)
    asyncio.run(play.run())
    judge = play.judge
    counts = ", ".join(f"{name} {count}" for name, count in sorted(judge.counts.items()))
    crowd = ", crowd" if play.has_crowd else ""
    counted = f"lag {judge.lag * 1000:.0f} ms{crowd}; {counts}"
    print(f"seed {seed} FAILED: {judge.broken[0]}; {counted}" if judge.broken else f"seed {seed}: {counted}; passed")
    for line in judge.broken[:20]:
        print("  " + line)
    sys.exit(1 if judge.broken else 0)


main()
