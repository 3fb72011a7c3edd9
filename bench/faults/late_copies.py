#!/usr/bin/env python3
"""Second copies of answers over networks that delay each write for itself: no copy may end another message.

    late_copies.py PROGRAM SEED [--seconds N] [--no-copies] [--record FILE]

Three relays, one in each building, deliver to four endpoints in three buildings. A tenth of the answers, served and refused ones
alike, is written a second time right behind, where no call waits on the connection. The seed draws the distances between the
buildings, the jitter, the service times and the limits of the endpoints. Judged from outside, by the terms: a message that was taken
on is delivered (a 200 is written for it) or ended by a notice 300 ms after its time, 50 ms more on sockets; a message that must not run
twice runs once. The time for which the machine held up this script at most is added to the bound and printed. Exit status 0: held, 1: broken, 2: could not run.
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..', 'review', 'lib'))
from rig import CannotRun, Client, Discovery, Endpoint, Record, Relay, config, now, settings  # noqa: E402

BUILDINGS = ['main-house', 'cellar-block', 'old-barn']
DESTINATIONS, ENDPOINTS = 2, 4
COPY_SHARE = 0.1
NOTICE_SLACK_S = 0.3 + 0.05
# Half of the seeds draw the site's own network, the others networks of other length.
SITE_ONE_WAY_S, OTHER_ONE_WAY_S = (0.022, 0.038), (0.002, 0.120)
SITE_JITTER, OTHER_JITTER = (0.071, 0.35), (0.05, 0.5)
LOAD = 1.15  # of what all endpoints take
LEAST_TAKEN_ON = 300  # else there is too little to judge
DEADLINES_MS = {'load-status': 6000, 'pay-and-order': 12000}


class Site:
    """What a seed draws."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        is_other = seed % 2 == 1
        self.jitter = self.random.uniform(*(OTHER_JITTER if is_other else SITE_JITTER))
        one_way = OTHER_ONE_WAY_S if is_other else SITE_ONE_WAY_S
        self.distance = {}
        for i, a in enumerate(BUILDINGS):
            self.distance[a, a] = self.random.uniform(0.0002, 0.002)
            for b in BUILDINGS[i + 1:]:
                self.distance[a, b] = self.distance[b, a] = self.random.uniform(*one_way)
        self.least_service_s = self.random.uniform(0.005, 0.120)
        self.limit = self.random.uniform(12, 30)  # calls a second of one endpoint

    def one_way(self, a, b):
        return self.distance[a, b] * (1 + self.random.uniform(-self.jitter, self.jitter))


class DistantEndpoint(Endpoint):
    """An endpoint seen by one relay through the network between their buildings. Its limit is shared with its other sides."""

    def __init__(self, record, name, group, zone, relay_zone, site, limit, copies):
        super().__init__(record, name, group, zone, 'small-partners')
        self.relay_zone, self.site, self.limit, self.copies = relay_zone, site, limit, copies
        self.last_write = {}
        self.copies_written = 0

    async def answer(self, writer, ids, bundle):
        await asyncio.sleep(self.site.one_way(self.relay_zone, self.zone))
        if not self.limit.take():
            self.put(writer, b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n', 503, ids)
            return
        await asyncio.sleep(self.site.least_service_s * self.site.random.uniform(1, 1.75))
        self.run(ids)
        self.put(writer, self.ok(ids, bundle), 200, ids)

    def put(self, writer, text, status, ids):
        moment = self.record.add(self.name, '%s: answered %d %s' % (self.line(writer), status, ' '.join(ids)))
        if status == 200:
            for i in ids:
                self.served.setdefault(i, moment)
        self.carry(writer, text)
        if self.copies and not self.waits(writer) and self.site.random.random() < COPY_SHARE:
            self.copies_written += 1
            self.record.add(self.name, '%s: wrote a second copy of that answer right behind' % self.line(writer))
            self.carry(writer, text)

    def carry(self, writer, text):
        """Each write has its own delay; the order of a connection's bytes stays."""
        arrives = max(now() + self.site.one_way(self.zone, self.relay_zone), self.last_write.get(writer, 0) + 1e-6)
        self.last_write[writer] = arrives
        asyncio.get_running_loop().call_later(arrives - now(), writer.write, text)


class LagMeter:
    """The longest time for which the event loop was held up."""

    INTERVAL_S = 0.01

    def __init__(self):
        self.longest_s = 0.0
        self.task = asyncio.ensure_future(self.measure())

    async def measure(self):
        while True:
            begun = now()
            await asyncio.sleep(self.INTERVAL_S)
            self.longest_s = max(self.longest_s, now() - begun - self.INTERVAL_S)

    async def stop(self):
        self.task.cancel()


class RateLimit:
    """The calls a second that an endpoint takes from all relays, and half a second's worth at once."""

    def __init__(self, rate):
        self.rate, self.depth = rate, max(1.0, rate / 2)
        self.tokens, self.filled = self.depth, now()

    def take(self):
        moment = now()
        self.tokens = min(self.depth, self.tokens + (moment - self.filled) * self.rate)
        self.filled = moment
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ProgramRelay(Relay):
    """A relay of the given program."""

    def __init__(self, program, *arguments):
        super().__init__(*arguments)
        self.program = program

    async def start(self):
        self.write_config()
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=self.config['listen'], LB_DISCOVERY=self.config['discovery'],
                           LB_STATE=self.state, LB_CONFIG=self.config_file)
        environment.pop('HERONVANE_SETTINGS', None)
        with open(self.log_file, 'a') as log:
            self.process = await asyncio.create_subprocess_exec(self.program, env=environment, stdout=log, stderr=log)


async def submit(client, site, rate, prefix, seconds):
    begun, n = now(), 0
    while now() - begun < seconds:
        n += 1
        message_class = site.random.choice(sorted(DEADLINES_MS))
        asyncio.ensure_future(client.hand_in('%s-%x' % (prefix, n), message_class, site.random.randint(1, DESTINATIONS),
                                             DEADLINES_MS[message_class]))
        await asyncio.sleep(site.random.expovariate(rate))


async def play(record, folder, arguments, stoppers):
    site = Site(arguments.seed)
    record.add('site', 'jitter %.2f, service %.0f ms, one way %s' % (
        site.jitter, 1000 * site.least_service_s, {'%s %s' % k: '%.0f ms' % (1000 * v) for k, v in site.distance.items() if k[0] < k[1]}))
    limits = [RateLimit(site.limit) for _ in range(ENDPOINTS)]
    relays, clients, sides, discoveries = [], [], [], []
    lag = LagMeter()
    stoppers.append(lag.stop)
    for index, zone in enumerate(BUILDINGS):
        discovery = Discovery(record)
        await discovery.start()
        stoppers.append(discovery.stop)
        discoveries.append(discovery)
        for n in range(ENDPOINTS):
            side = DistantEndpoint(record, 's-%02d' % n, 1 + n % DESTINATIONS, BUILDINGS[n % len(BUILDINGS)], zone, site, limits[n],
                                   not arguments.no_copies)
            await side.start()
            stoppers.append(side.stop)
            sides.append(side)
            discovery.add(side.entry())
        relay = ProgramRelay(arguments.program, record, folder, 'n%d' % index,
                             config('n%d' % index, discovery.address, discovery.list_json(),
                                    settings(Locality=zone, GroupSize=len(BUILDINGS), Rank=index)))
        stoppers.append(relay.end)
        await relay.start()
        relays.append(relay)
        clients.append(Client(record, relay.config['listen']))
    for relay in relays:
        await relay.ready()
    rate = LOAD * ENDPOINTS * site.limit / len(relays)
    await asyncio.gather(*(submit(client, site, rate, 'm%d' % i, arguments.seconds) for i, client in enumerate(clients)))
    await asyncio.sleep(max(DEADLINES_MS.values()) / 1000 + 2 * NOTICE_SLACK_S)
    for relay in relays:
        if relay.process.returncode is not None:
            raise CannotRun('relay %s ended with %d' % (relay.name, relay.process.returncode))
    return judge(clients, discoveries, sides, NOTICE_SLACK_S + lag.longest_s)


def judge(clients, discoveries, sides, slack_s):
    sent, notices, served, runs = {}, {}, set(), {}
    for client in clients:
        sent.update(client.sent)
    for discovery in discoveries:
        notices.update(discovery.notices)
    for side in sides:
        served.update(side.served)
        for i, times in side.runs.items():
            runs[i] = runs.get(i, 0) + times
    taken_on = [i for i, message in sent.items() if message['status'] in (200, 202)]
    if len(taken_on) < LEAST_TAKEN_ON:
        raise CannotRun('only %d messages were taken on' % len(taken_on))
    broken = []
    for i in taken_on:
        if i in served:
            continue
        if i not in notices or notices[i][0] > sent[i]['due'] + slack_s:
            broken.append('lost: %s (%s)' % (i, sent[i]['class']))
    for i, times in runs.items():
        if times > 1 and sent[i]['class'] == 'pay-and-order':
            broken.append('duplicate: %s ran %d times' % (i, times))
    print('taken on %d, served %d, calls %d, connections %d, copies %d, held up %.0f ms' % (
        len(taken_on), len(served & set(taken_on)), sum(len(s.calls) for s in sides), sum(len(s.lines) for s in sides),
        sum(s.copies_written for s in sides), 1000 * (slack_s - NOTICE_SLACK_S)))
    return broken


def main():
    parser = argparse.ArgumentParser(description='Second copies of answers that arrive late.')
    parser.add_argument('program')
    parser.add_argument('seed', type=int)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--no-copies', action='store_true')
    parser.add_argument('--record', default=os.devnull)
    arguments = parser.parse_args()
    record = Record(arguments.record)
    stoppers = []

    async def whole(folder):
        try:
            return await play(record, folder, arguments, stoppers)
        finally:
            for stopper in reversed(stoppers):
                await stopper()

    try:
        with tempfile.TemporaryDirectory(prefix='heronvane-late-copies-') as folder:
            broken = asyncio.run(whole(folder))
    except (CannotRun, OSError) as error:
        print('could not run: %s' % error)
        sys.exit(2)
    for line in broken:
        print('rule broken: %s' % line)
    print('seed %d: %s' % (arguments.seed, '%d broken' % len(broken) if broken else 'held'))
    sys.exit(1 if broken else 0)


main()
