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
LINK_DELAY_MS = 4

# An answer this late counts as lost.
LOST_ANSWER_DELAY_MS = 1_000


class Configuration:
    """A configuration with one account."""

    def __init__(self, rate, burst, slots):
        account = types.Account(ACCOUNT, rate, burst)
        self.current = types.Configuration(
            accounts_by_name={ACCOUNT: account}, rate_slots=slots
        )


class Host:
    """A host's limiter and token exchange.

    The methods are the host's rate slots, its membership and its link to
    other hosts, as the limiter and the token exchange call them.
    """

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
        return await self.fleet.send_token_request(
            self, giver, wanted, collect, timeout_ms
        )


def results(tasks):
    """Return the results of tasks; fail if one isn't done."""
    assert all(task.done() for task in tasks)
    return [task.result() for task in tasks]


class Fleet:
    """Hosts that limit one account; the first host is its rate owner."""

    def __init__(self, rate, burst, slots_by_host, transfers=True):
        self.clock = fakes.Clock()
        self.rate = rate
        self.burst = burst
        slots = sum(slots_by_host)
        self.configuration = Configuration(rate, burst, slots)
        self.transfers = transfers
        self.delay = lambda: LINK_DELAY_MS
        self.is_message_lost = lambda: False
        self.has_link = lambda left, right: True
        self.admitted_ms = []
        self.refused = 0
        self.hosts = [
            Host(self, number, held)
            for number, held in enumerate(slots_by_host)
        ]
        self.owner = self.hosts[0]

    async def send_token_request(
        self, requester, giver, wanted, collect, timeout_ms
    ):
        """Send a request for tokens; raise if no answer comes in time."""
        if not self.transfers:
            raise exceptions.HostError('no transfers', step='rate')
        answer = asyncio.create_task(
            self.deliver_request(requester, giver, wanted, collect)
        )
        timer = asyncio.create_task(self.clock.sleep(timeout_ms))
        await asyncio.wait(
            {answer, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        timer.cancel()
        # The giver isn't told about a time-out, so its tokens are lost.
        if not answer.done():
            raise exceptions.HostError('no answer', step='rate')
        return answer.result()

    async def deliver_request(self, requester, giver, wanted, collect):
        """Return the giver's answer, too late if a message is lost."""
        await self.clock.sleep(self.delay())
        if not self.can_send(requester, giver):
            await self.clock.sleep(LOST_ANSWER_DELAY_MS)
            return types.TokenGrant(0, 0)
        grant = await giver.limiter.give(ACCOUNT, wanted, collect)
        await self.clock.sleep(self.delay())
        if not self.can_send(requester, giver):
            await self.clock.sleep(LOST_ANSWER_DELAY_MS)
            return types.TokenGrant(0, 0)
        return grant

    def can_send(self, requester, giver):
        """Tell whether a message between the two hosts arrives."""
        is_linked = self.has_link(requester.number, giver.number)
        return is_linked and not self.is_message_lost()

    async def request(self, number, deadline_ms=5_000):
        """Send a request to one host; count it as admitted or refused."""
        refusal = await self.hosts[number].limiter.admit(ACCOUNT, deadline_ms)
        if refusal is None:
            self.admitted_ms.append(self.clock.now())
        else:
            self.refused += 1
        return refusal

    async def request_now(self, number):
        """Send a request to one host without letting time pass."""
        task = asyncio.create_task(self.request(number, deadline_ms=0))
        await self.clock.settle()
        assert task.done()
        return task.result()

    def move_slot(self, loser, claimer):
        """Move a slot; its bucket is empty on the host that claims it."""
        if not self.hosts[loser].slots:
            return
        self.hosts[loser].slots -= 1
        self.hosts[claimer].slots += 1
        self.hosts[claimer].limiter.slots_claimed(1)

    def excess_millitokens(self):
        """Return the millitokens by which the worst window is over the limit.

        Negative if all windows of time are within it.
        """
        lowest_level = 0
        worst_excess = -self.burst * 1_000
        start = self.admitted_ms[0] if self.admitted_ms else 0
        for index, at_ms in enumerate(sorted(self.admitted_ms)):
            allowed = self.rate * (at_ms - start)
            lowest_level = min(lowest_level, index * 1_000 - allowed)
            used = (index + 1) * 1_000 - allowed - lowest_level
            worst_excess = max(worst_excess, used - self.burst * 1_000)
        return worst_excess
