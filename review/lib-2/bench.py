"""Stand-ins for clients, endpoints and the platform, and the relays as separate processes, for the cases of this review.

Python's standard library alone; loopback addresses, free ports, a temporary folder, the real clock. All of it runs on one
event loop. Times are seconds of time.monotonic(), in the record from the start of the case on.
"""
import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.%d.%d.%d" % tuple(random.SystemRandom().randrange(1, 255) for _ in range(3))   # a loopback address of its own
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2   # run.sh makes 1 of BROKEN, and 2 of all else


class Record:
    """What was sent, answered and run: a line each, written to record.txt at the end."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        self.lines.append("%9.3f %s" % (self.now(), " ".join(str(w) for w in words)))

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            out.write("\n".join(self.lines) + "\n")


def run_command():
    """The command `run` of the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    return re.search(r'^run\s*=\s*"([^"]+)"', text, re.M).group(1)


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
                return port
            except OSError:
                pass


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return head[0], fields


async def read_message(reader):
    first, fields = await read_head(reader)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return first, fields, body


REASON = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 410: "Gone", 413: "Too Large", 429: "Too Many",
          500: "Error", 503: "Unavailable", 504: "Timeout"}


def answer(status, body=b"", fields=()):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASON[status])
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    if status != 204:
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


class Listener:
    """A server on a port of its own; keeps its open connections."""

    def __init__(self):
        self.port = None
        self.server = None
        self.open = set()

    async def listen(self, port=None):
        self.server = await asyncio.start_server(self._serve, HOST, port or self.port or 0, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.open):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.reset_all()


class Platform:
    """Discovery and the taking of notices. One port for each relay, so that it is known to whom a list was written."""

    def __init__(self, record):
        self.record = record
        self.index = 40
        self.endpoints = {}   # name -> entry
        self.changes = []     # (index, entry)
        self.doors = []
        self.notices = {}     # id -> (time, status, relay)
        self.up = True

    async def door(self, relay):
        door = PlatformDoor(self, relay)
        await door.listen()
        self.doors.append(door)
        return door

    def list_text(self):
        return json.dumps({"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())})

    def known(self):
        return json.loads(self.list_text())

    def put(self, *entries):
        """Lists the entries, each a change of its own version, in one line."""
        self.index += 1
        for entry in entries:
            if entry["status"] == "gone":
                self.endpoints.pop(entry["name"], None)
            else:
                self.endpoints[entry["name"]] = entry
            self.changes.append((self.index, entry))
            self.record.add("list", self.index, entry["name"], entry["status"])
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": list(entries)})
        for door in self.doors:
            door.tell(line)

    def close(self):
        for door in self.doors:
            door.close()


class PlatformDoor(Listener):
    def __init__(self, platform, relay):
        super().__init__()
        self.platform, self.relay = platform, relay
        self.watches = set()
        self.told = []        # (time, index)

    def tell(self, line):
        for writer in list(self.watches):
            self.write_line(writer, line + "\n")
            self.told.append((self.platform.record.now(), self.platform.index))

    @staticmethod
    def write_line(writer, text):
        data = text.encode()
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def serve(self, reader, writer):
        p = self.platform
        while True:
            first, fields, body = await read_message(reader)
            path = first.split(" ")[1]
            if path.startswith("/v2/finals"):
                for line in body.decode().splitlines():
                    if line.strip():
                        final = json.loads(line)
                        p.record.add("notice", self.relay, final["id"], final["status"])
                        p.notices.setdefault(final["id"], (p.record.now(), final["status"], self.relay))
                writer.write(answer(204))
            elif not p.up:
                writer.write(answer(503))
            elif "follow=1" in path:
                await self.watch(path, reader, writer)
                return
            else:
                writer.write(answer(200, p.list_text().encode()))
                self.told.append((p.record.now(), p.index))
            await writer.drain()

    async def watch(self, path, reader, writer):
        p = self.platform
        since = int(re.search(r"since=(\d+)", path).group(1))
        p.record.add("watch", self.relay, "since", since)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since < 40 or since > p.index:
            line = p.list_text()
        else:
            latest = {}
            for index, entry in p.changes:
                if index > since:
                    latest[entry["name"]] = entry
            line = json.dumps({"index": p.index, "snapshot": False, "endpoints": list(latest.values())})
        self.write_line(writer, line + "\n")
        self.told.append((p.record.now(), p.index))
        self.watches.add(writer)
        end = asyncio.ensure_future(reader.read(1))
        try:
            while not end.done():
                await asyncio.wait([end], timeout=2)
                if not end.done():
                    self.write_line(writer, "\n")
        finally:
            end.cancel()
            self.watches.discard(writer)


class Endpoint(Listener):
    """An endpoint of a partner. `decide(endpoint, ids, call)` is awaited for each call whose last byte has come. It returns the
    answer's bytes, None (no answer: the connection stays open) or "reset"."""

    def __init__(self, record, name, dest, kind, decide, zone=""):
        super().__init__()
        self.record, self.name, self.dest, self.kind, self.zone, self.decide = record, name, dest, kind, zone, decide
        self.calls = 0

    def entry(self, status="ready"):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind, "group": self.dest,
                "status": status, "weight": 1.0, "since_ms": 0}

    async def serve(self, reader, writer):
        while True:
            first, fields, body = await read_message(reader)
            if first.split(" ")[1] == "/events":
                ids = [fields["x-request-id"]]
            else:
                ids = [message["id"] for message in json.loads(body)]
            self.calls += 1
            call = {"endpoint": self.name, "number": self.calls, "at": self.record.now(), "ids": ids,
                    "bundle": len(ids) > 1, "writer": writer, "fields": fields}
            reply = await self.decide(self, ids, call)
            if reply == "reset":
                writer.transport.abort()
                return
            if reply is None:
                await reader.read(1)   # until the relay gives the call up
                if not writer.transport.is_closing() and "given_up" in call:
                    call["given_up"]()
                return
            writer.write(reply)
            await writer.drain()


def done(ids, call, state="done"):
    if not call["bundle"]:
        return answer(200)
    return answer(200, json.dumps([{"id": i, "state": state} for i in ids]).encode())


class Proxy(Listener):
    """Passes bytes on to `port`. freeze(): the connections that are open now fall silent and stay open; new ones are sound."""

    def __init__(self, port):
        super().__init__()
        self.to = port
        self.frozen = set()

    def freeze(self):
        self.frozen |= set(self.open)

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(HOST, self.to)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if writer in self.frozen:
                        await asyncio.Event().wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            finally:
                if writer not in self.frozen:
                    sink.close()

        try:
            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        finally:
            far_writer.close()


class Clients:
    """Hands messages in, one request at a time on a connection."""

    def __init__(self, record, relay_ports):
        self.record, self.ports = record, relay_ports
        self.idle = {port: [] for port in relay_ports}
        self.sent = {}     # id -> {"class", "dest", "at", "deadline", "relay", "answer"}
        self.next = 0

    async def hand_in(self, relay, cls, dest, deadline_ms, body=b"x", id=None, tenant=None, wait=0.4):
        self.next += 1
        id = id or "m%06d" % self.next
        port = self.ports[relay]
        entry = {"class": cls, "dest": dest, "relay": relay, "answer": None}
        self.sent[id] = entry
        head = "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n" % (cls, id, cls)
        if tenant:
            head += "X-Tenant: %s\r\n" % tenant
        head += "X-Deadline: %dm\r\nX-Consignee: dest=%d\r\nContent-Length: %d\r\n\r\n" % (deadline_ms, dest, len(body))
        for fresh in (False, True):
            if not fresh and not self.idle[port]:
                continue
            try:
                if fresh:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), wait)
                else:
                    reader, writer = self.idle[port].pop()
                entry["at"] = self.record.now()
                entry["deadline"] = entry["at"] + deadline_ms / 1000
                writer.write(head.encode() + body)
                first, fields, _ = await asyncio.wait_for(read_message(reader), wait)
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                if not fresh:
                    continue
                entry["answer"] = 0
                break
            except asyncio.TimeoutError:
                writer.close()
                entry["answer"] = 0
                break
            entry["answer"] = int(first.split(" ")[1])
            entry["answered_at"] = self.record.now()
            if fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle[port].append((reader, writer))
            break
        self.record.add("handed-in", relay, id, cls, "dest", dest, "deadline", deadline_ms, "answer", entry["answer"])
        return id, entry["answer"]

    def close(self):
        for idle in self.idle.values():
            for _, writer in idle:
                writer.close()


def settings(rank=0, relays=1, workers=7, open_cap=230, **more):
    """The settings of WIRE-heronvane.md's example, a small deployment."""
    s = {
        "Classes": [
            {"Deadline": 6000000, "Group": "all", "Idempotency": "read_like", "LateWorth": 0.0, "Name": "load-status",
             "Points": 1.0, "Stream": False, "Target": 1000000, "Window": 5000000},
            {"Deadline": 24000000, "Group": "all", "Idempotency": "non_idempotent", "LateWorth": 0.3,
             "Name": "pay-and-order", "Points": 3.0, "Stream": False, "Target": 2000000, "Window": 5000000}],
        "ClientHabits": {"MarksRetry": True},
        "Discovery": "subscribe",
        "FailureDomains": ["main-house", "cellar-block", "old-barn"],
        "Family": "deliver",
        "FamilyInfo": {"BundleMax": [20, 1], "Decay": "halves", "RoutesApart": [True, False], "Toll": [0.0, 0.0, 0.0],
                       "TurnedAwayPrice": 0.05, "Workers": workers},
        "GroupSize": relays,
        "HostTypes": ["big-cellars", "small-partners"],
        "Limits": {"Cancelling": True, "ConnIdle": 5000000, "ConnectTimeout": 1500000, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 100000, "MaxAttempts": 8, "MaxRetryAfter": 2000000, "MaxStreams": 1, "OpenCap": open_cap,
                   "Peers": True, "Probes": False, "RetryAfter": True, "SecondCopies": True},
        "Locality": "cellar-block",
        "OverShareWorth": 0.2,
        "Rank": rank,
        "Report": {"Fields": [], "How": "none"},
        "Rules": {"AnswerSlack": 20000, "Cold": 9200000, "ColdFrom": 0.17, "DrainGrace": 1000000, "FallMultiple": 2.0,
                  "MustAskIn": 10000000, "OverloadFor": 2000000},
        "Tenants": [],
        "Tick": 5000,
        "Tier": 0,
        "Tiers": ["partners"],
        "ValueBy": "request",
        "WeightKind": "none"}
    s.update(more)
    return s


def end_with_parent():
    """The child is killed when this process ends, however it ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Relay:
    """One relay, started by the deploy file's `run` as the platform starts it."""

    def __init__(self, record, folder, number, discovery, known, relay_settings, peers=(), disk_mb=3, peer_listen=None):
        self.record, self.number = record, number
        self.name = "n%d" % number
        self.port = free_port()
        self.folder = os.path.join(folder, self.name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state)
        self.config = {"name": self.name, "listen": "%s:%d" % (HOST, self.port), "discovery": discovery,
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": disk_mb},
                       "known": known, "settings": relay_settings}
        if peer_listen:
            self.config["peer_listen"] = peer_listen
            self.config["peers"] = list(peers)
        self.process = None
        self.starts = 0

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as out:
            json.dump(self.config, out)
        os.rename(path + ".new", path)
        return path

    async def start(self, wait=10):
        env = dict(os.environ)
        env.pop("HERONVANE_SETTINGS", None)
        scratch = os.path.join(self.folder, "tmp")
        shutil.rmtree(scratch, ignore_errors=True)
        os.makedirs(scratch)
        self.starts += 1
        self.config["seed"] = "%016x" % random.SystemRandom().getrandbits(64)
        env.update(LB_NAME=self.name, LB_LISTEN=self.config["listen"], LB_DISCOVERY=self.config["discovery"],
                   LB_STATE=self.state, LB_CONFIG=self.write_config(), TMPDIR=scratch)
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log, preexec_fn=end_with_parent)
        self.record.add("start", self.name)
        until = time.monotonic() + wait
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in first + " ":
                    self.record.add("ready", self.name)
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        return False

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.add("signal", self.name, signal.Signals(number).name)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def crashed(self):
        """Whether the process has ended though nobody ended it."""
        return self.process is not None and self.process.poll() is not None

    def log_text(self):
        try:
            return open(os.path.join(self.folder, "log"), errors="replace").read()
        except OSError:
            return ""


def main(case, folder, limit=105):
    """Runs `case(record, temporary folder)`, a coroutine that returns HELD, BROKEN or NOT_RUN and a line that says why."""
    record = Record()
    scratch = tempfile.mkdtemp(prefix="heronvane-review-")
    relays = []
    status, why = NOT_RUN, "did not finish"

    def stopped(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)

    async def run():
        return await asyncio.wait_for(case(record, scratch, relays), limit)

    try:
        if not os.access(os.path.join(ROOT, "build", "heronvane"), os.X_OK):
            why = "build/heronvane is not there: run the build of the deploy file first"
        else:
            loop = asyncio.new_event_loop()
            loop.set_exception_handler(lambda *_: None)
            asyncio.set_event_loop(loop)
            status, why = loop.run_until_complete(run())
    except asyncio.TimeoutError:
        why = "did not finish in %d s" % limit
    finally:
        for relay in relays:
            if relay.process and relay.process.poll() is None:
                relay.process.kill()
                relay.process.wait()
            if os.environ.get("KEEP_LOGS"):
                for line in relay.log_text().splitlines():
                    record.lines.append("log %s %s" % (relay.name, line))
        shutil.rmtree(scratch, ignore_errors=True)
        word = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status]
        record.add("result", word + ":", why)
        record.write(folder)
        print("%s: %s" % (word, why))
        sys.stdout.flush()
    os._exit(status)
