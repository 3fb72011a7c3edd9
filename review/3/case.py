"""A cut of 6 s between a relay and discovery while an endpoint is drained: what the silent watch misses binds 6 s after it fell silent."""
import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'lib'))
from rig import HOST, CannotRun, Client, Discovery, Endpoint, Relay, config, judged, main, now, settings  # noqa: E402

# Told at the latest 6 s after the watch fell silent; then the grace of the settings, 50 ms more on sockets, and the 150 ms for which a
# relay may be held up.
TOLD, GRACE, SOCKETS, HELD_UP = 6.0, 1.0, 0.05, 0.15
# The cut: 6 s, once. The endpoint is drained right at its begin, and stays up, draining, to the end of the run.
CUT_AT, CUT_S, DRAIN_AFTER, TRAFFIC_S = 7.3, 6.0, 0.05, 22


class Cut:
    """Between the relay and discovery. It passes all bytes on; while it is cut, open connections stay open and are silent, for good, and
    new ones do not come up: the listener's queue is full, so the system drops what would open one."""

    def __init__(self, record, target):
        self.record, self.target = record, target
        self.cut = False
        self.lost = set()
        self.open = set()
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = '%s:%d' % self.listener.getsockname()
        self.fill = []
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            while self.cut:
                await asyncio.sleep(0.005)
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            connection.setblocking(False)
            asyncio.ensure_future(self.carry(loop, connection))

    async def carry(self, loop, connection):
        host, port = self.target.split(':')
        other = socket.socket()
        other.setblocking(False)
        await loop.sock_connect(other, (host, int(port)))
        pair = (connection, other)
        self.open.add(pair)

        async def one_way(source, sink):
            try:
                while True:
                    data = await loop.sock_recv(source, 65536)
                    while self.cut and pair in self.lost:
                        await asyncio.sleep(0.05)
                    if pair in self.lost:
                        await asyncio.sleep(3600)
                    if not data:
                        break
                    await loop.sock_sendall(sink, data)
            except OSError:
                pass
            if pair not in self.lost:
                self.open.discard(pair)
                connection.close()
                other.close()

        await asyncio.gather(one_way(connection, other), one_way(other, connection))

    async def begin(self):
        self.cut = True
        self.lost |= self.open
        self.record.add('network', 'cut: %d open connections fall silent, new ones do not come up' % len(self.open))
        loop = asyncio.get_running_loop()
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            self.fill.append(filler)
            try:
                await asyncio.wait_for(loop.sock_connect(filler, self.listener.getsockname()), 0.05)
            except asyncio.TimeoutError:
                return
        raise CannotRun('the listener takes more connections than asked for')

    def end(self):
        self.record.add('network', 'the cut is over')
        for filler in self.fill:
            filler.close()
        self.cut = False

    async def stop(self):
        self.task.cancel()
        for filler in self.fill:
            filler.close()
        for pair in self.open | self.lost:
            for end in pair:
                end.close()
        self.listener.close()


async def case(record, folder, trouble, stoppers):
    discovery = Discovery(record)
    await discovery.start()
    stoppers.append(discovery.stop)
    network = Cut(record, discovery.address)
    stoppers.append(network.stop)
    endpoints = []
    for group in (1, 2, 3):
        for n in (1, 2):
            endpoint = Endpoint(record, 's-%d%d' % (group, n), group, 'main-house', 'small-partners')
            await endpoint.start()
            stoppers.append(endpoint.stop)
            discovery.add(endpoint.entry())
            endpoints.append(endpoint)
    relay = Relay(record, folder, 'n0', config('n0', network.address, discovery.list_json(), settings()))
    stoppers.append(relay.end)
    await relay.start()
    await relay.ready()
    client = Client(record, relay.config['listen'])
    drained, told, cut_at = endpoints[0], None, None
    begun, n = now(), 0
    while now() - begun < TRAFFIC_S:
        n += 1
        cls, deadline = (('load-status', 6000), ('pay-and-order', 24000))[n % 2]
        asyncio.ensure_future(client.hand_in('m-%x' % n, cls, 1 + n // 2 % 3, deadline))
        await asyncio.sleep(0.02)
        at = now() - begun
        if trouble and cut_at is None and at >= CUT_AT:
            cut_at = now()
            await network.begin()
        if told is None and at >= CUT_AT + DRAIN_AFTER:
            told = discovery.change(drained.name, 'draining')
            told = max(cut_at, told) + TOLD if trouble else told
        if network.cut and now() - cut_at >= CUT_S:
            network.end()
    await asyncio.sleep(1)
    judged([relay], client, 500)
    bound = told + GRACE + SOCKETS + HELD_UP
    late = [b for b, _, _ in drained.calls if b > bound]
    if late:
        return ['drain: %d calls to %s begun later than %.2f s after its drain counts as told; the last %.2f s after'
                % (len(late), drained.name, bound - told, late[-1] - told)]
    return []


main(HERE, case)
