"""Endpoints are drained and replaced at a site where lists are pushed; the relay may send nothing new to a draining one after the grace."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), 'lib'))
from rig import MS, S, Client, Discovery, Endpoint, Relay, config, judged, main, now, settings  # noqa: E402

# On the day's older clock a change counts as told 6 s later at the latest; the page for pushed lists goes before it. Both are counted.
OLDER_CLOCK = 6.0
# After a change is told: the grace of the settings, 50 ms more on sockets, and the 150 ms for which a relay may be held up.
GRACE, SOCKETS, HELD_UP = 1.0, 0.05, 0.15
# The site: drained for 2.5 to 5 s, then gone; 0.4 to 0.6 of the endpoints within 24 to 36 s, in steps of 0.08 to 0.2. Here two of six, one
# after the other.
DRAIN_S, STEPS, TRAFFIC_S = 5.0, (5.0, 14.0), 30

# The settings of deploy/sites/night-ledger.toml.
SETTINGS = settings(
    Classes=[
        {'Name': 'audit', 'Points': 1.0, 'LateWorth': 0.0, 'Target': 6 * S, 'Deadline': 30 * S, 'Idempotency': 'read_like', 'Group': 'all',
         'Window': 5 * S, 'Stream': False},
        {'Name': 'transfer', 'Points': 2.0, 'LateWorth': 0.2, 'Target': 3 * S, 'Deadline': 12 * S, 'Idempotency': 'idempotency_key',
         'Group': 'all', 'Window': 3 * S, 'Stream': False},
        {'Name': 'alert', 'Points': 9.0, 'LateWorth': 0.4, 'Target': 700 * MS, 'Deadline': 5 * S, 'Idempotency': 'non_idempotent',
         'Group': 'all', 'Window': 5 * S, 'Stream': False}],
    Discovery='automatic',
    FailureDomains=['r1', 'r2', 'r3'], Locality='r1', HostTypes=['bank', 'desk'], Tick=8 * MS, OverShareWorth=0.1,
    FamilyInfo={'BundleMax': [40, 1], 'RoutesApart': [False, True]},
    Limits={'ConnIdle': 10 * S, 'ConnectTimeout': 1000 * MS, 'MaxAttempts': 12, 'MaxRetryAfter': 1500 * MS},
    Rules={'FallMultiple': 3.0, 'ColdFrom': 0.2, 'Cold': 8 * S},
    Tenants=[{'Name': 'ab', 'Share': 0.5, 'QuotaPerS': 100.0}, {'Name': 'cd', 'Share': 0.3, 'QuotaPerS': 60.0},
             {'Name': 'ef', 'Share': 0.2, 'QuotaPerS': 40.0}])


class Drainable(Endpoint):
    """Draining, it finishes what it has and turns away what is new."""
    told = None

    async def answer(self, writer, ids, bundle):
        if self.told is None:
            return await super().answer(writer, ids, bundle)
        await self.write(writer, b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n', 503, ids)


async def case(record, folder, trouble, stoppers):
    discovery = Discovery(record)
    await discovery.start()
    stoppers.append(discovery.stop)
    endpoints = []

    async def start_endpoint(name, group, zone):
        endpoint = Drainable(record, name, group, zone, 'desk')
        await endpoint.start()
        stoppers.append(endpoint.stop)
        endpoints.append(endpoint)
        return endpoint

    for group in (1, 2, 3):
        for n in (1, 2):
            discovery.add((await start_endpoint('s-%d%d' % (group, n), group, 'r%d' % n)).entry())
    relay = Relay(record, folder, 'n0', config('n0', discovery.address, discovery.list_json(), SETTINGS))
    stoppers.append(relay.end)
    await relay.start()
    await relay.ready()
    client = Client(record, relay.config['listen'])

    async def replace(number):
        """The endpoint s-1N drains and then goes; one of a new name takes its place."""
        old = endpoints[number]
        new = await start_endpoint('s-1%d' % (3 + number), 1, old.zone)
        discovery.entries[new.name] = new.entry()
        discovery.change(new.name, 'ready')
        old.told = discovery.change(old.name, 'draining')
        await asyncio.sleep(DRAIN_S)
        discovery.change(old.name, 'gone')  # its process stays up a while and turns away what still comes, so that it can be seen

    begun, n, steps = now(), 0, list(STEPS) if trouble else []
    while now() - begun < TRAFFIC_S:
        n += 1
        cls, deadline = (('audit', 30000), ('alert', 5000), ('transfer', 12000))[n % 3]
        asyncio.ensure_future(client.hand_in('m-%x' % n, cls, 1 + n // 3 % 3, deadline, 'ab'))
        await asyncio.sleep(0.05)
        if steps and now() - begun >= steps[0]:
            asyncio.ensure_future(replace(len(STEPS) - len(steps)))
            steps.pop(0)
    await asyncio.sleep(32)
    judged([relay], client, 300)
    served = {i for endpoint in endpoints for i in endpoint.served}
    taken = [i for i, info in client.sent.items() if info['status'] in (200, 202)]
    record.add('case', 'discovery was asked %d times; of %d messages taken on %d were not delivered, %d of these for destination 1' % (
        len(discovery.asked), len(taken), sum(i not in served for i in taken),
        sum(i not in served and client.sent[i]['dest'] == 1 for i in taken)))
    broken = []
    for endpoint in endpoints:
        if endpoint.told is None:
            continue
        late = [b for b, _, _ in endpoint.calls if b > endpoint.told + GRACE + SOCKETS + HELD_UP]
        if late:
            older = [b for b in late if b > endpoint.told + OLDER_CLOCK + GRACE + SOCKETS + HELD_UP]
            broken.append('drain: %d calls to %s begun later than %.2f s after its drain was told, %d of them later than %.2f s, the last %.2f s after'
                          % (len(late), endpoint.name, GRACE + SOCKETS + HELD_UP, len(older), OLDER_CLOCK + GRACE + SOCKETS + HELD_UP,
                             late[-1] - endpoint.told))
    return broken


main(HERE, case)
