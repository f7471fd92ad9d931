"""A simulated fleet of rate limiters on a manual clock."""

import asyncio
import random

from samphirestand.callers import limiter
from samphirestand import metrics
from samphirestand import types
from tests.callers import fakes

ACCOUNT = 'feldwacht-1'
DELAY_MS = 4
TIMEOUT_MS = 150


class Configuration:
    """A configuration with one account."""

    def __init__(self, rate, burst, slots):
        account = types.Account(ACCOUNT, rate, burst)
        self.current = types.Configuration(
            accounts_by_name={ACCOUNT: account}, rate_slots=slots
        )


class Host:
    """One limiter with its slots; asks the other hosts through the fleet."""

    def __init__(self, fleet, number, slots):
        self.fleet = fleet
        self.number = number
        self.slots = slots
        self.limiter = limiter.Limiter(
            fleet.clock,
            random.Random(number),
            fleet.configuration,
            self,
            self,
            metrics.Metrics(),
            lambda account: fleet.owner is self,
        )
        self.limiter.slots_claimed(slots, never_held=slots)

    def held(self):
        return self.slots

    async def take(self, account, wanted):
        assert self.fleet.owner is not self
        return await self.fleet.ask(self, self.fleet.owner, wanted, True)

    async def collect(self, account, wanted):
        """Ask the peers at once, each for its part of what is wanted."""
        peers = [each for each in self.fleet.hosts if each is not self]
        asked = [
            self.fleet.ask(self, peer, wanted // len(peers) + 1, False)
            for peer in peers
        ]
        grants = await asyncio.gather(*asked)
        useful = [grant for grant in grants if grant.tokens]
        return types.TokenGrant(
            sum(grant.tokens for grant in useful),
            min((grant.valid_ms for grant in useful), default=0),
        )


def results(tasks):
    """Return the results of tasks that must be done by now."""
    assert all(task.done() for task in tasks)
    return [task.result() for task in tasks]


class Fleet:
    """Hosts that share one account; the first host is the rate owner."""

    def __init__(self, rate, burst, slots_by_host, transfers=True):
        self.clock = fakes.Clock()
        self.rate = rate
        self.burst = burst
        slots = sum(slots_by_host)
        self.configuration = Configuration(rate, burst, slots)
        self.transfers = transfers
        self.delay = lambda: DELAY_MS
        self.loses = lambda: False
        self.linked = lambda left, right: True
        self.admitted_ms = []
        self.refused = 0
        self.hosts = [
            Host(self, number, held)
            for number, held in enumerate(slots_by_host)
        ]
        self.owner = self.hosts[0]

    async def ask(self, asker, giver, wanted, collect):
        """Carry a question and its answer, either of which may be lost."""
        nothing = types.TokenGrant(0, 0)
        if not self.transfers:
            return nothing
        asked_ms = self.clock.now()
        await self.clock.sleep(self.delay())
        if not self.linked(asker.number, giver.number) or self.loses():
            await self.clock.sleep(TIMEOUT_MS)
            return nothing
        grant = await giver.limiter.give(ACCOUNT, wanted, collect)
        await self.clock.sleep(self.delay())
        if not self.linked(asker.number, giver.number) or self.loses():
            left_ms = asked_ms + TIMEOUT_MS - self.clock.now()
            await self.clock.sleep(left_ms)
            return nothing
        return grant

    async def request(self, number, deadline_ms=5_000):
        """Ask one host for admission and note what it says."""
        refusal = await self.hosts[number].limiter.admit(ACCOUNT, deadline_ms)
        if refusal is None:
            self.admitted_ms.append(self.clock.now())
        else:
            self.refused += 1
        return refusal

    async def request_now(self, number):
        """Ask one host for admission without letting time pass."""
        task = asyncio.create_task(self.request(number, deadline_ms=0))
        await self.clock.settle()
        assert task.done()
        return task.result()

    def move_slot(self, giver, taker):
        """Let one host lose a slot and another one claim it, empty."""
        if not self.hosts[giver].slots:
            return
        self.hosts[giver].slots -= 1
        self.hosts[taker].slots += 1
        self.hosts[taker].limiter.slots_claimed(1)

    def excess(self):
        """Return by how many thousandths some window passes the limit."""
        lowest = 0
        worst = -self.burst * 1_000
        start = self.admitted_ms[0] if self.admitted_ms else 0
        for index, at_ms in enumerate(sorted(self.admitted_ms)):
            allowed = self.rate * (at_ms - start)
            lowest = min(lowest, index * 1_000 - allowed)
            used = (index + 1) * 1_000 - allowed - lowest
            worst = max(worst, used - self.burst * 1_000)
        return worst
