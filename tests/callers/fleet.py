"""A simulated fleet of rate limiters on a manual clock."""

import asyncio
import random

from samphirestand.callers import limiter
from samphirestand import exceptions
from samphirestand.hosts import token_exchange
from samphirestand import metrics
from samphirestand import types
from tests.callers import fakes

ACCOUNT = 'feldwacht-1'
DELAY_MS = 4

# An answer after this time is as good as none.
LOST_MS = 1_000


class Configuration:
    """A configuration with one account."""

    def __init__(self, rate, burst, slots):
        account = types.Account(ACCOUNT, rate, burst)
        self.current = types.Configuration(
            accounts_by_name={ACCOUNT: account}, rate_slots=slots
        )


class Host:
    """One limiter with its slots, and the token exchange of its host."""

    def __init__(self, fleet, number, slots):
        self.fleet = fleet
        self.number = number
        self.slots = slots
        self.local = types.Host(f'h{number}', '', 1, '', '', 0)
        self.limiter = limiter.Limiter(
            fleet.clock,
            random.Random(number),
            fleet.configuration,
            self,
            token_exchange.TokenExchange(
                self, self, fleet.clock, random.Random(number)
            ),
            metrics.Metrics(),
            lambda account: fleet.owner is self,
        )
        self.limiter.slots_claimed(slots, never_held=slots)

    def held(self):
        return self.slots

    def rate_owner(self, account):
        return self.fleet.owner.local

    def reachable(self):
        return [host.local for host in self.fleet.hosts]

    async def take_tokens(self, host, account, wanted, collect, timeout_ms):
        giver = self.fleet.hosts[int(host.host_id[1:])]
        return await self.fleet.ask(self, giver, wanted, collect, timeout_ms)


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

    async def ask(self, asker, giver, wanted, collect, timeout_ms):
        """Carry a question and its answer, either of which may be lost."""
        if not self.transfers:
            raise exceptions.HostError('no transfers', step='rate')
        answer = asyncio.create_task(self.carry(asker, giver, wanted, collect))
        timer = asyncio.create_task(self.clock.sleep(timeout_ms))
        await asyncio.wait(
            {answer, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        timer.cancel()
        # After a time-out the giver doesn't learn that nobody waits.
        if not answer.done():
            raise exceptions.HostError('no answer', step='rate')
        return answer.result()

    async def carry(self, asker, giver, wanted, collect):
        """Return the answer; too late, if one of the messages is lost."""
        await self.clock.sleep(self.delay())
        if not self.can_send(asker, giver):
            await self.clock.sleep(LOST_MS)
            return types.TokenGrant(0, 0)
        grant = await giver.limiter.give(ACCOUNT, wanted, collect)
        await self.clock.sleep(self.delay())
        if not self.can_send(asker, giver):
            await self.clock.sleep(LOST_MS)
            return types.TokenGrant(0, 0)
        return grant

    def can_send(self, asker, giver):
        """Tell whether a message gets from one host to the other."""
        is_linked = self.linked(asker.number, giver.number)
        return is_linked and not self.loses()

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
