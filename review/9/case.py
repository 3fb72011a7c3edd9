"""Discovery is out of reach for 8.1 s; the first watch after that falls silent within its first line. An endpoint is drained."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import bench
from bench import done

DEST = 7
OUT_OF_REACH = 8.1
GRACE = 1.0 + 0.05 + 0.15   # Rules.DrainGrace, 50 ms on sockets, and 150 ms for which a relay may be held up
TOLD = 6.0


class Platform(bench.Platform):
    """`half`: the next watch passes on the first segment of its first line and falls silent, its connection stays open."""
    half = False
    silent_at = None


class Door(bench.PlatformDoor):
    async def watch(self, path, reader, writer):
        platform = self.platform
        if not platform.half:
            return await super().watch(path, reader, writer)
        platform.half = False
        line = platform.list_text()
        data = b"%x\r\n" % (len(line) + 1) + line.encode() + b"\n\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data[:1400])
        platform.silent_at = platform.record.now()
        platform.record.add("watch", self.relay, "falls silent after 1400 of", len(data), "bytes")
        await reader.read(1)


async def case(record, scratch, relays):
    platform = Platform(record)
    calls = []

    async def decide(endpoint, ids, call):
        calls.append((call["at"], endpoint.name))
        record.add("call", endpoint.name, *ids)
        await asyncio.sleep(0.1)
        return done(ids, call)

    endpoints = [bench.Endpoint(record, "s-%d" % i, DEST, "small-partners", decide, "main-house") for i in range(2)]
    for endpoint in endpoints:
        await endpoint.listen()
        platform.endpoints[endpoint.name] = endpoint.entry()
    for i in range(2, 30):   # those of the other partners, which get nothing here
        other = bench.Endpoint(record, "s-%d" % i, 100 + i // 2, "small-partners", decide, "old-barn")
        await other.listen()
        platform.endpoints[other.name] = other.entry()
    door = Door(platform, "n0")
    await door.listen()
    platform.doors.append(door)
    relays.append(bench.Relay(record, scratch, 0, door.address, platform.known(), bench.settings()))
    if not await relays[0].start():
        return bench.NOT_RUN, "the relay did not start"
    clients = bench.Clients(record, [relays[0].port])
    tasks = set()

    async def hand_in(seconds):
        until = record.now() + seconds
        while record.now() < until:
            task = asyncio.ensure_future(clients.hand_in(0, "load-status", DEST, 6000))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.1)

    async def trouble():
        await asyncio.sleep(2)
        if bench.TROUBLE:
            platform.up = False
            record.add("discovery is out of reach")
            for writer in list(door.watches):
                writer.transport.abort()
        await asyncio.sleep(OUT_OF_REACH - 1)
        platform.put(endpoints[0].entry("draining"))
        drained_at = record.now()
        await asyncio.sleep(1)
        if bench.TROUBLE:
            platform.up, platform.half = True, os.environ.get("HALF", "1") != "0"
            record.add("discovery can be reached")
        return drained_at, record.now()

    _, (drained_at, back_at) = await asyncio.gather(hand_in(32), trouble())
    if relays[0].crashed():
        return bench.NOT_RUN, "the relay has ended"
    if bench.TROUBLE:
        told = max(back_at, platform.silent_at or 0) + TOLD
    else:
        told = drained_at + TOLD
    late = [at for at, name in calls if name == "s-0" and at > told + GRACE]
    text = "%d calls to the draining endpoint later than %.2f s after it counts as told" % (len(late), GRACE)
    if late:
        text += ", the last %.2f s after" % (late[-1] - told)
    if bench.TROUBLE and platform.silent_at:
        text += "; the watch fell silent %.2f s after discovery could be reached" % (platform.silent_at - back_at)
    return (bench.BROKEN if late else bench.HELD), text


bench.main(case, os.environ.get("OUT", HERE))
