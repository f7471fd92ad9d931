"""The rate limit of client accounts over all hosts of the fleet.

Each rate slot has a token bucket on the host that holds it. A host that runs
short is given tokens of other hosts, which expire soon. Tokens are moved or
lost and never made, so the sum of all hosts keeps the limit.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random

from samphirestand.callers import bucket
from samphirestand.callers import collector
from samphirestand.callers import demand
from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import types

# With 100 ms, up to 20% of a small account's requests were refused although
# it was inside its rate: its tokens come one at a time from other hosts.
LONGEST_WAIT_MS = 1_000

# A giver keeps what its own callers will need in this time.
RESERVE_MS = 200

# Waiting requests look for refilled tokens at least this often.
LONGEST_PAUSE_MS = 10

# After an answer without tokens the next question waits, twice as long each
# time: the account is at its rate then, and asking finds nothing.
FIRST_ASK_PAUSE_MS = 10
LONGEST_ASK_PAUSE_MS = 80

# Tokens are asked for ahead of demand if at least this many will be needed
# in half of their validity.
LEAST_AHEAD = 4

# Birth of a slot that nobody held before: its bucket starts full.
ALWAYS_MS = -(10**15)

_log = log.get_logger(__name__)


@dataclasses.dataclass
class _Waiter:
    """A request that waits for a token."""

    admitted: asyncio.Future[bool]
    until_ms: int


class _Account:
    """The tokens, the demand and the queue of one account."""

    def __init__(
        self,
        name: str,
        home: bucket.HomeBucket,
        owner_side: collector.Collector,
        now: int,
    ) -> None:
        self.name = name
        self.home = home
        self.collector = owner_side
        self.transferred = bucket.TransferredTokens()
        self.demand = demand.Demand(now)
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.is_pumping = False
        self.asked_ms: int | None = None
        self.ask_after_ms = now
        self.vain_asks = 0

    @property
    def quota(self) -> bucket.Quota:
        return self.home.quota

    def available(self, now: int) -> int:
        """Return the usable thousandths of tokens."""
        self.home.refill(now)
        return self.transferred.available(now) + self.home.millitokens

    def consume(self, now: int) -> bool:
        """Use one token, transferred ones first as they expire."""
        if self.available(now) < bucket.MILLI:
            return False
        used = min(bucket.MILLI, self.transferred.available(now))
        self.transferred.take(used)
        self.home.take(bucket.MILLI - used)
        return True

    def is_asking(self, now: int) -> bool:
        """Tell whether a question is out whose answer could be used."""
        if self.asked_ms is None:
            return False
        return now - self.asked_ms < max(1, self.quota.validity_ms)

    def shortage(self, now: int) -> int:
        """Return the thousandths to ask other hosts for."""
        stock = self.available(now)
        if not self.home.holds_a_token:
            # The fraction in the own bucket goes to whoever is first in the
            # owner's queue; if hosts kept theirs, none would get a token.
            stock = self.transferred.available(now)
        waiting = len(self.waiters) * bucket.MILLI
        most = self.quota.burst * bucket.MILLI

        # Ask ahead only for what is almost certain to be used: transferred
        # tokens that expire are lost to the account.
        horizon_ms = self.quota.validity_ms // 2
        ahead = self.demand.per_second(now) * horizon_ms
        if ahead < LEAST_AHEAD * bucket.MILLI:
            return min(most, waiting - stock)
        if not self.waiters and stock >= ahead:
            return 0
        incoming = self.home.per_second() * horizon_ms
        return min(most, int(waiting + ahead - incoming - stock))

    def take_surplus(self, wanted: int, now: int) -> int:
        """Take thousandths of the own bucket that aren't needed here."""
        self.home.refill(now)
        reserve = 0
        if self.home.holds_a_token:
            if self.waiters or self.is_asking(now):
                return 0
            per_s = self.demand.per_second(now)
            # Whole tokens: a fraction kept back helps nobody.
            reserve = int(per_s * RESERVE_MS / 1_000) * bucket.MILLI
        given = min(wanted, max(0, self.home.millitokens - reserve))
        self.home.take(given)
        return given


class Limiter:
    """Admits requests within the rates; gives tokens to other hosts."""

    def __init__(
        self,
        clock: clock_module.Clock,
        rng: random.Random,
        configuration: interfaces.ConfigurationSource,
        rate_slots: interfaces.RateSlots,
        token_source: interfaces.TokenSource,
        metrics: metrics_module.Metrics,
        is_owner: collections.abc.Callable[[str], bool] = lambda account: (
            False
        ),
    ) -> None:
        """``is_owner`` tells whether this host is an account's rate owner."""
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._rate_slots = rate_slots
        self._token_source = token_source
        self._metrics = metrics
        self._is_owner = is_owner
        self._births_ms: list[int] = []
        self._accounts_by_name: dict[str, _Account] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def admit(
        self, account: str, deadline_ms: int
    ) -> types.NotRun | None:
        """Take a token of ``account``, or refuse.

        Waits up to a second and no longer than half of ``deadline_ms``, which
        leaves time to run. Refuses at once if more requests wait than the
        rate admits in that time.
        """
        now = self._clock.now()
        state = self._account(account, now)
        if state is None:
            return types.NotRun('rate_exceeded', 'the account has no rate')
        state.demand.note(now)
        if not state.waiters and state.consume(now):
            self._ask_if_short(state)
            return None

        wait_ms = min(LONGEST_WAIT_MS, deadline_ms // 2)
        if len(state.waiters) * 1_000 > state.quota.rate * wait_ms:
            self._metrics.count('limiter.refused')
            return self._refusal(state)
        waiter = _Waiter(
            asyncio.get_running_loop().create_future(),
            now + wait_ms,
        )
        state.waiters.append(waiter)
        if not state.is_pumping:
            state.is_pumping = True
            self._spawn(self._pump(state))
        if await waiter.admitted:
            self._metrics.count('limiter.waited')
            return None
        self._metrics.count('limiter.refused')
        return self._refusal(state)

    async def give(
        self, account: str, wanted: int, collect: bool
    ) -> types.TokenGrant:
        """Give surplus tokens, counted in thousandths, to another host.

        With ``collect`` this host is the rate owner and asks the others for
        what it lacks.
        """
        now = self._clock.now()
        state = self._account(account, now)
        if state is None or wanted <= 0:
            return types.TokenGrant(0, 0)
        validity_ms = state.quota.validity_ms
        if collect:
            return await state.collector.collect(wanted, validity_ms)
        # The receiver counts the validity from the moment it asked, which
        # was before these tokens left their bucket.
        return types.TokenGrant(state.take_surplus(wanted, now), validity_ms)

    def slots_claimed(self, claimed: int, never_held: int = 0) -> None:
        """Note claimed slots; call it as soon as ``held`` includes them.

        Their buckets start empty, except those of the slots among them that
        no host has ever held. A slot that was lost and claimed again between
        two requests left ``held`` unchanged, so only this call empties it.
        """
        now = self._clock.now()
        known = len(self._births_ms)
        self._follow_slots(now)
        held = len(self._births_ms)
        unseen = min(held, max(0, claimed - max(0, held - known)))
        births_ms = self._births_ms[unseen:] + [now] * unseen
        full = min(held, never_held)
        self._births_ms = [ALWAYS_MS] * full + births_ms[: held - full]
        for state in self._accounts_by_name.values():
            state.home.refill(now)
            state.home.empty_slots(unseen)
            state.home.fill_slots(full)

    def _account(self, name: str, now: int) -> _Account | None:
        configuration = self._configuration.current
        account = configuration.accounts_by_name.get(name)
        if account is None:
            return None
        self._follow_slots(now)
        quota = bucket.Quota(
            account.rate, account.burst, configuration.rate_slots
        )
        state = self._accounts_by_name.get(name)
        if state is None:
            state = self._new_account(name, quota, now)
            self._accounts_by_name[name] = state
        elif state.quota != quota:
            state.home.refill(now)
            state.home.set_quota(quota)
        return state

    def _new_account(
        self, name: str, quota: bucket.Quota, now: int
    ) -> _Account:
        def take_own(wanted: int) -> int:
            moment = self._clock.now()
            self._follow_slots(moment)
            return state.take_surplus(wanted, moment)

        home = bucket.HomeBucket(quota, self._births_ms, now)
        owner_side = collector.Collector(
            name, self._clock, self._token_source, take_own
        )
        state = _Account(name, home, owner_side, now)
        return state

    def _follow_slots(self, now: int) -> None:
        held = self._rate_slots.held()
        known = len(self._births_ms)
        if held == known:
            return
        # Which slot was lost isn't known: the youngest have fewest tokens.
        kept = self._births_ms[-held:] if held else []
        self._births_ms = kept + [now] * (held - known)
        for state in self._accounts_by_name.values():
            state.home.refill(now)
            state.home.set_held(held)

    def _refusal(self, state: _Account) -> types.NotRun:
        waiting = len(state.waiters) + 1
        fair_ms = waiting * 1_000 // max(1, state.quota.rate)
        # The jitter keeps refused callers from coming back together.
        retry_after_ms = fair_ms + self._rng.randint(1, LONGEST_WAIT_MS)
        return types.NotRun(
            'rate_exceeded',
            f'the account is over its rate of {state.quota.rate} a second',
            retry_after_ms=retry_after_ms,
        )

    async def _pump(self, state: _Account) -> None:
        """Serve the waiting requests as tokens come in or time runs out."""
        while True:
            self._serve(state)
            if not state.waiters:
                state.is_pumping = False
                return
            self._ask_if_short(state)
            now = self._clock.now()
            left_ms = state.waiters[0].until_ms - now
            await self._clock.sleep(max(1, min(left_ms, LONGEST_PAUSE_MS)))

    def _serve(self, state: _Account) -> None:
        now = self._clock.now()
        self._follow_slots(now)
        while state.waiters:
            first = state.waiters[0]
            if first.admitted.done():
                state.waiters.popleft()
            elif now >= first.until_ms:
                state.waiters.popleft()
                first.admitted.set_result(False)
            elif state.consume(now):
                state.waiters.popleft()
                first.admitted.set_result(True)
            else:
                return

    def _ask_if_short(self, state: _Account) -> None:
        now = self._clock.now()
        if state.is_asking(now) or now < state.ask_after_ms:
            return
        wanted = state.shortage(now)
        if wanted <= 0:
            return
        state.asked_ms = now
        self._metrics.count('limiter.asked')
        self._spawn(self._ask(state, wanted, now))

    async def _ask(self, state: _Account, wanted: int, asked_ms: int) -> None:
        try:
            grant = await self._take(state, wanted)
        except Exception as error:
            _log.warning('no tokens', step='rate', error=str(error))
            grant = types.TokenGrant(0, 0)
        now = self._clock.now()
        if state.asked_ms == asked_ms:
            state.asked_ms = None
        # Counted from the question: when the tokens left their buckets is
        # only known to be later.
        valid_ms = min(grant.valid_ms, state.quota.validity_ms)
        if grant.tokens > 0 and asked_ms + valid_ms > now:
            state.transferred.add(grant.tokens, asked_ms + valid_ms)
            state.vain_asks = 0
            self._serve(state)
        else:
            state.vain_asks += 1
            state.ask_after_ms = now + self._ask_pause(state.vain_asks)
        if state.waiters:
            self._ask_if_short(state)

    async def _take(self, state: _Account, wanted: int) -> types.TokenGrant:
        if not self._is_owner(state.name):
            return await self._token_source.take(state.name, wanted)
        # The owner's own callers queue with the hosts that ask it.
        return await state.collector.collect(wanted, state.quota.validity_ms)

    def _ask_pause(self, vain_asks: int) -> int:
        longest = min(
            LONGEST_ASK_PAUSE_MS, FIRST_ASK_PAUSE_MS * 2 ** min(vain_asks, 8)
        )
        return self._rng.randint(longest // 2, longest)

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
