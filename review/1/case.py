"""Spoilt answers: some endpoints write an answer a second time, right behind the first. Each message taken on still has to end by its
own answer or by a notice; an answer to one message must not end another."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'lib'))
from rig import Client, Discovery, Endpoint, Relay, config, judged, main, now, settings  # noqa: E402

# The brief: three buildings, 22 to 38 ms one way between them; the site: jitter up to 0.35, tries of 120 to 210 ms.
ONE_WAY, JITTER, SERVICE = 0.038, 0.35, (0.120, 0.210)
# The pages name no share for answers that bring more than belongs to them ("some", "many"); one in ten here.
SHARE = 0.1
# Each endpoint's rate in calls a second, and the calls that it may take at once. Traffic stands at 115% of what all take (the brief: 110
# to 130% on the worst days).
LIMIT, DEPTH = 14.0, 7.0
GROUPS, EACH = 2, 2
RATE = 1.15 * GROUPS * EACH * LIMIT
TRAFFIC_S, REST_S = 45, 26
# The notice is due 300 ms after the message's time is up; 50 ms more on sockets.
SLACK = 0.3 + 0.05


class Far(Endpoint):
    """An endpoint in another building. It begins a call when its last byte has come, refuses above its rate with 503, serves else."""

    def __init__(self, *arguments, trouble):
        super().__init__(*arguments)
        self.trouble = trouble
        self.last = {}
        self.tokens, self.filled = DEPTH, now()

    async def answer(self, writer, ids, bundle):
        moment = now()
        self.tokens = min(DEPTH, self.tokens + (moment - self.filled) * LIMIT)
        self.filled = moment
        if self.tokens < 1:
            await asyncio.sleep(0.001)
            self.put(writer, b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n', 503, ids)
            return
        self.tokens -= 1
        await asyncio.sleep(random.uniform(*SERVICE))
        self.run(ids)
        self.put(writer, self.ok(ids, bundle), 200, ids)

    def put(self, writer, text, status, ids):
        moment = self.record.add(self.name, '%s: answered %d %s' % (self.line(writer), status, ' '.join(ids)))
        if status == 200:
            for i in ids:
                self.served.setdefault(i, moment)
        self.carry(writer, text)
        # Only where nothing else waits on the connection; calls take no time from the relay to here, so none is on its way unseen.
        if self.trouble and not self.waits(writer) and random.random() < SHARE:
            self.record.add(self.name, '%s: wrote a second copy of that answer right behind' % self.line(writer))
            self.carry(writer, text)

    def carry(self, writer, text):
        """The network: each write has its own delay, and their order stays."""
        arrives = now() + ONE_WAY * (1 + random.uniform(-JITTER, JITTER))
        self.last[writer] = arrives = max(self.last.get(writer, 0) + 1e-6, arrives)
        asyncio.get_running_loop().call_later(arrives - now(), writer.write, text)


async def case(record, folder, trouble, stoppers):
    discovery = Discovery(record)
    await discovery.start()
    stoppers.append(discovery.stop)
    endpoints = []
    for group in range(1, GROUPS + 1):
        for n in range(1, EACH + 1):
            endpoint = Far(record, 's-%d%d' % (group, n), group, 'old-barn', 'small-partners', trouble=trouble)
            await endpoint.start()
            stoppers.append(endpoint.stop)
            discovery.add(endpoint.entry())
            endpoints.append(endpoint)
    relay = Relay(record, folder, 'n0', config('n0', discovery.address, discovery.list_json(), settings()))
    stoppers.append(relay.end)
    await relay.start()
    await relay.ready()
    client = Client(record, relay.config['listen'])
    begun, n = now(), 0
    while now() - begun < TRAFFIC_S:
        n += 1
        cls, deadline = ('load-status', 6000) if random.random() < 0.59 else ('pay-and-order', 24000)
        asyncio.ensure_future(client.hand_in('m-%x' % n, cls, random.randint(1, GROUPS), deadline))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.sleep(REST_S)
    judged([relay], client, 1000)
    broken = []
    served = {i for endpoint in endpoints for i in endpoint.served}
    for i, info in client.sent.items():
        if info['status'] not in (200, 202) or info['due'] + SLACK > now() or i in served:
            continue
        notice = discovery.notices.get(i)
        if notice is None or notice[0] > info['due'] + SLACK:
            broken.append('lost: %s (%s) was taken on; no endpoint ever answered it with 200, and no notice came' % (i, info['class']))
    ran = {}
    for endpoint in endpoints:
        for i, times in endpoint.runs.items():
            ran[i] = ran.get(i, 0) + times
    for i, times in ran.items():
        if times > 1 and client.sent[i]['class'] == 'pay-and-order':
            broken.append('duplicate: %s (pay-and-order) ran %d times' % (i, times))
    return broken


main(HERE, case)
