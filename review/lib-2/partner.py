"""A partner whose endpoints share one limit, its outage, and the rule on returning destinations as the pages word it."""
import asyncio
import math
import random

import bench
from bench import answer, done

DEST = 7
ANSWER = 0.16   # s, of every partner while it is sound


class Partner:
    """Takes `rate` calls a second from all relays together, saved up for one second at most, and answers each after 0.16 s; above the
    limit it answers 503. While it is out it is silent: it takes calls and answers none. Then it is back cold, and the connections
    from before are reset. If it is sent more than it can stand it falls and stays down: every connection to it is reset."""

    COLD_FROM, COLD, MULTIPLE, PERIOD = 0.17, 9.2, 2.0, 2.0   # Rules.ColdFrom, Cold, FallMultiple, OverloadFor
    HEADROOM = 0.99   # the least that the pages give its kind: its capacity is its rate over that

    def __init__(self, record, rate):
        self.record, self.rate = record, rate
        self.capacity = rate / self.HEADROOM
        self.tokens, self.tokens_at = rate, 0.0
        self.out = False
        self.back_at = self.fell_at = None
        self.calls = []           # (time, relay) since its return
        self.saw_failure = set()  # relays that gave up a call there during the outage
        self.delivered = set()
        self.nearest = None       # the period that came nearest to the bound: (part of the bound, text)
        self.fall = None          # (text, part of the calls that came from relays that had seen a call fail)

    def share(self, at):
        """The part of its capacity that is there."""
        return min(1.0, self.COLD_FROM + (1 - self.COLD_FROM) * (at - self.back_at) / self.COLD)

    def count(self, now, relay):
        """A call has come: whether the partner stands it."""
        self.calls.append((now, relay))
        inside = [call for call in self.calls if call[0] > now - self.PERIOD]
        start = max(self.back_at, now - self.PERIOD)
        if start > self.back_at + self.COLD:
            return
        steps = 100   # N: what the settings allow it in the 2 s from `start` on
        n = sum(self.share(start + self.PERIOD * (i + 0.5) / steps) for i in range(steps)) / steps
        n *= self.MULTIPLE * self.capacity * self.PERIOD
        bound = n + 3 * math.sqrt(n) + 3 if n < 30 else n + 2 * math.sqrt(n) + 2
        told = sum(1 for call in inside if call[1] in self.saw_failure) / len(inside)
        text = "%d calls within 2 s, the last %.2f s after the return; N = %.1f, it falls above %.1f; %.0f%% from relays that saw calls fail" % (
            len(inside), now - self.back_at, n, bound, 100 * told)
        if self.nearest is None or len(inside) / bound > self.nearest[0]:
            self.nearest = (len(inside) / bound, text)
        if len(inside) > bound:
            self.fell_at, self.fall = now, (text, told)
            self.record.add("the partner falls:", text)

    async def decide(self, endpoint, ids, call):
        relay = ids[0].split("-")[0]
        now = call["at"]
        if self.out:
            self.record.add("call", relay, endpoint.name, ids[0], "not answered")
            call["given_up"] = lambda: self.given_up(relay, endpoint, ids)
            return None
        if self.back_at is not None and self.fell_at is None:
            self.count(now, relay)
        if self.fell_at is not None:
            self.record.add("call", relay, endpoint.name, ids[0], "reset: down")
            return "reset"
        self.tokens = min(self.rate, self.tokens + (now - self.tokens_at) * self.rate)
        self.tokens_at = now
        if self.tokens < 1:
            self.record.add("call", relay, endpoint.name, ids[0], "503")
            return answer(503)
        self.tokens -= 1
        await asyncio.sleep(ANSWER)
        self.record.add("call", relay, endpoint.name, ids[0], "200")
        self.delivered.update(ids)
        return done(ids, call)

    def given_up(self, relay, endpoint, ids):
        """The relay has closed the connection of a call without an answer: it saw the call fail."""
        self.record.add("given up", relay, endpoint.name, ids[0])
        if self.out:
            self.saw_failure.add(relay)

    def go_silent(self):
        self.out = True
        self.record.add("the outage begins")

    def come_back(self, endpoints):
        self.out, self.back_at = False, self.record.now()
        self.record.add("the outage ends")
        for endpoint in endpoints:
            endpoint.reset_all()


async def play(record, scratch, relays, outage, replace, rate, traffic, each, others, partners=1, workers=12):
    """Three relays; `traffic` messages a second for each of `partners` partners with `each` endpoints, `others` for nine sound
    partners with two each. After 10 s the first partner falls silent for `outage` s, and so on with the next once it is warm. With
    `replace` its endpoints are listed as draining 3 s before its return, and new ones in their place 0.3 s after it."""
    platform = bench.Platform(record)
    served = set()

    async def serve(endpoint, ids, call):
        served.update(ids)
        await asyncio.sleep(ANSWER)
        return done(ids, call)

    def endpoints_of(name, count, dest, decide):
        return [bench.Endpoint(record, "%s-%d" % (name, i), dest, "small-partners", decide, "main-house") for i in range(count)]

    struck = []
    for k in range(partners):
        partner = Partner(record, rate)
        struck.append((partner, endpoints_of("stu"[k], 2 * each if replace else each, DEST + k, partner.decide)))
    sound = [bench.Endpoint(record, "o-%d" % i, 100 + i // 2, "big-cellars" if i < 4 else "small-partners", serve,
                            ("cellar-block", "old-barn")[i % 2]) for i in range(18)]
    listed = sound + [endpoint for _, endpoints in struck for endpoint in endpoints[:each]]
    for endpoint in sound + [endpoint for _, endpoints in struck for endpoint in endpoints]:
        await endpoint.listen()
    for endpoint in listed:
        platform.endpoints[endpoint.name] = endpoint.entry()
    for number in range(3):
        door = await platform.door("n%d" % number)
        relays.append(bench.Relay(record, scratch, number, door.address, platform.known(),
                                  bench.settings(number, 3, workers=workers, open_cap=250)))
    if not all([await relay.start() for relay in relays]):
        return bench.NOT_RUN, "a relay did not start"
    clients = bench.Clients(record, [relay.port for relay in relays])
    chance = random.Random()
    tasks = set()
    total = traffic * partners + others

    async def hand_in(seconds):
        due = record.now()
        until = due + seconds
        number = 0
        block = []   # of 100 messages in a random order, so that the share of each partner is kept at any time
        while due < until:
            due += chance.expovariate(total)
            await asyncio.sleep(max(0, due - record.now()))
            number += 1
            relay = chance.randrange(3)
            if not block:
                block = [DEST + k for k in range(partners) for _ in range(int(100 * traffic / total))]
                block += [100 + chance.randrange(9) for _ in range(100 - len(block))]
                chance.shuffle(block)
            dest = block.pop()
            cls, deadline = ("load-status", 6000) if chance.random() < 0.59 else ("pay-and-order", 24000)
            task = asyncio.ensure_future(clients.hand_in(relay, cls, dest, deadline, id="n%d-%05d" % (relay, number)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def trouble():
        await asyncio.sleep(10)
        for partner, endpoints in struck:
            partner.go_silent()
            await asyncio.sleep(outage - 3)
            if replace:
                platform.put(*[e.entry("draining") for e in endpoints[:each]])
            await asyncio.sleep(3)
            partner.come_back(endpoints)
            await asyncio.sleep(0.3)
            if replace:
                platform.put(*[e.entry("gone") for e in endpoints[:each]], *[e.entry("ready") for e in endpoints[each:]])
            await asyncio.sleep(Partner.COLD)
            if partner.fall:
                return

    stream = asyncio.ensure_future(hand_in(100))
    await (trouble() if bench.TROUBLE else asyncio.sleep(10 + partners * (outage + 9.5)))
    stream.cancel()
    await asyncio.sleep(25)
    if any(relay.crashed() for relay in relays):
        return bench.NOT_RUN, "a relay has ended"
    taken = [id for id, sent in clients.sent.items() if sent["answer"] in (200, 202)]
    delivered = served.union(*[partner.delivered for partner, _ in struck])
    lost = [id for id in taken if id not in delivered]
    record.add("taken on", len(taken), "never delivered", len(lost))
    end = "; of %d messages taken on %d were never delivered" % (len(taken), len(lost))
    if not bench.TROUBLE:
        return (bench.BROKEN if lost else bench.HELD), "no outage" + end
    text = []
    for k, (partner, _) in enumerate(struck):
        if partner.nearest is None:
            continue
        share = sum(1 for id in taken if clients.sent[id]["dest"] == DEST + k) / len(taken)
        text.append((partner.fall[0] if partner.fall else partner.nearest[1]) + ", with %.0f%% of the traffic" % (100 * share))
        if partner.fall and partner.fall[1] > 2 / 3:
            after = [id for id in lost if clients.sent[id]["dest"] == DEST + k and clients.sent[id]["deadline"] > partner.back_at]
            return bench.BROKEN, text[-1] + end + ", %d of them due after the return" % len(after)
    if not text:
        return bench.NOT_RUN, "no call came after a return"
    return bench.HELD, " | ".join(text) + end
