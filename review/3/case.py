"""Notices where the open connections to the platform fall silent once: messages that can't be delivered still end in time."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'lib'))
from rig import Client, Discovery, Endpoint, Relay, config, main, now, settings  # noqa: E402

# The site: an outage of 8.4 to 17 s; the endpoints of one destination of two refuse all meanwhile, so that some messages have to end by
# a notice. The connections fall silent once, nine seconds into it.
SHUT_FROM, SHUT_TO, SILENT_AT, TRAFFIC_S, REST_S = 3.0, 18.0, 12.0, 30, 26
# A message that was taken on has to be delivered or ended by a notice 300 ms after its time is up; on sockets 50 ms more.
SLACK = 0.3 + 0.05


class Shut(Endpoint):
    shut = False

    async def answer(self, writer, ids, bundle):
        if not self.shut:
            return await super().answer(writer, ids, bundle)
        await self.write(writer, b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n', 503, ids)


async def case(record, folder, trouble, stoppers):
    discovery = Discovery(record)
    await discovery.start()
    stoppers.append(discovery.stop)
    endpoints = []
    for group, n in ((1, 1), (1, 2), (2, 1), (2, 2)):
        endpoint = Shut(record, 's-%d%d' % (group, n), group, 'main-house', 'small-partners')
        await endpoint.start()
        stoppers.append(endpoint.stop)
        discovery.add(endpoint.entry())
        endpoints.append(endpoint)
    relay = Relay(record, folder, 'n0', config('n0', discovery.address, discovery.list_json(), settings()))
    stoppers.append(relay.end)
    await relay.start()
    await relay.ready()
    client = Client(record, relay.config['listen'])
    begun, n, silent, opened = now(), 0, False, False
    while now() - begun < TRAFFIC_S:
        n += 1
        cls, deadline = (('load-status', 6000), ('pay-and-order', 24000))[n // 2 % 2]
        asyncio.ensure_future(client.hand_in('m-%x' % n, cls, 1 + n % 2, deadline))
        await asyncio.sleep(0.05)
        at = now() - begun
        for endpoint in endpoints[:2]:
            endpoint.shut = SHUT_FROM <= at < SHUT_TO
        if trouble and at >= SILENT_AT and not silent:
            silent = True
            discovery.silence()
    await asyncio.sleep(REST_S)
    if relay.process.returncode is not None:
        return ['crash: the relay ended with %d' % relay.process.returncode]
    broken = []
    served = {}
    for endpoint in endpoints:
        for i, moment in endpoint.served.items():
            served[i] = min(moment, served.get(i, moment))
    for i, info in client.sent.items():
        if info['status'] not in (200, 202) or info['due'] + SLACK > now():
            continue
        ends = [m for m in (served.get(i), discovery.notices.get(i, (None,))[0]) if m is not None]
        if not ends:
            broken.append('lost: %s (%s): no end' % (i, info['class']))
        elif min(ends) > info['due'] + SLACK:
            broken.append('lost: %s (%s): its end came %.3f s after its time was up' % (i, info['class'], min(ends) - info['due']))
    return broken


main(HERE, case)
