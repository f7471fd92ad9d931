"""The rate limit of client accounts over all hosts of the fleet.

Each rate slot has a token bucket on the host that holds it. A host that runs
short requests tokens from other hosts; these expire soon. Transfers can lose
tokens but never add any, so all hosts together keep the limit.
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

# A small account's tokens come one at a time from other hosts. With a limit
# of 100 ms, up to 20% of the requests of such an account were refused
# although it stayed within its rate.
MAX_WAIT_MS = 1_000

# A host that gives tokens away keeps what its own callers will need in this
# time.
RESERVE_HORIZON_MS = 200

# Waiting requests are checked against the refilled bucket at least this often.
MAX_POLL_INTERVAL_MS = 10

# After an answer without tokens the next request to other hosts is delayed,
# twice as long each time: the account is at its rate then, and other hosts
# have no tokens to give.
MIN_REQUEST_BACKOFF_MS = 10
MAX_REQUEST_BACKOFF_MS = 80

# Tokens are requested before they are needed if at least this many will be
# needed in half of their validity.
MIN_PREFETCH_TOKENS = 4

# Time of claim of a slot that no host held before. It is so long ago that
# the slot's bucket starts full.
NEVER_HELD_MS = -(10**15)

_log = log.get_logger(__name__)


@dataclasses.dataclass
class _Waiter:
    """A caller's request that waits for a token until ``until_ms``."""

    admitted: asyncio.Future[bool]
    until_ms: int


class _AccountState:
    """The tokens, the rate of requests and the queue of one account.

    Amounts are in millitokens, thousandths of a token.
    """

    def __init__(
        self,
        name: str,
        local_bucket: bucket.LocalBucket,
        token_collector: collector.Collector,
        now: int,
    ) -> None:
        self.name = name
        self.local_bucket = local_bucket
        self.collector = token_collector
        self.transferred = bucket.TransferredTokens()
        self.request_rate = demand.RequestRate(now)
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.is_serving_waiters = False
        self.request_sent_ms: int | None = None
        self.next_request_ms = now
        self.empty_grants = 0

    @property
    def quota(self) -> bucket.Quota:
        return self.local_bucket.quota

    def available_millitokens(self, now: int) -> int:
        """Return the millitokens that can be used now."""
        self.local_bucket.refill(now)
        return (
            self.transferred.available_millitokens(now)
            + self.local_bucket.millitokens
        )

    def consume_token(self, now: int) -> bool:
        """Remove one token, or return False if there is none.

        Transferred tokens are used first, because they expire.
        """
        if self.available_millitokens(now) < bucket.MILLITOKENS_PER_TOKEN:
            return False
        used = min(
            bucket.MILLITOKENS_PER_TOKEN,
            self.transferred.available_millitokens(now),
        )
        self.transferred.consume(used)
        self.local_bucket.consume(bucket.MILLITOKENS_PER_TOKEN - used)
        return True

    def has_pending_request(self, now: int) -> bool:
        """Tell whether a request for tokens is pending.

        After the validity of its tokens an answer is of no use.
        """
        if self.request_sent_ms is None:
            return False
        return now - self.request_sent_ms < max(1, self.quota.validity_ms)

    def millitokens_to_request(self, now: int) -> int:
        """Return the millitokens to request from other hosts."""
        stored = self.available_millitokens(now)
        if not self.local_bucket.can_hold_token:
            # The fraction of a token in the local bucket is left to the host
            # that is first in the rate owner's queue; if each host kept its
            # fraction, none would get a whole token.
            stored = self.transferred.available_millitokens(now)
        waiting = len(self.waiters) * bucket.MILLITOKENS_PER_TOKEN
        max_millitokens = self.quota.burst * bucket.MILLITOKENS_PER_TOKEN

        # Prefetch only what is almost certain to be used: transferred tokens
        # that expire are lost to the account.
        prefetch_horizon_ms = self.quota.validity_ms // 2
        prefetch = (
            self.request_rate.requests_per_second(now) * prefetch_horizon_ms
        )
        if prefetch < MIN_PREFETCH_TOKENS * bucket.MILLITOKENS_PER_TOKEN:
            return min(max_millitokens, waiting - stored)
        if not self.waiters and stored >= prefetch:
            return 0
        expected_refill = (
            self.local_bucket.tokens_per_second() * prefetch_horizon_ms
        )
        return min(
            max_millitokens, int(waiting + prefetch - expected_refill - stored)
        )

    def take_surplus(self, wanted: int, now: int) -> int:
        """Remove millitokens that this host doesn't need; return how many."""
        self.local_bucket.refill(now)
        reserve = 0
        if self.local_bucket.can_hold_token:
            if self.waiters or self.has_pending_request(now):
                return 0
            requests_per_s = self.request_rate.requests_per_second(now)
            # Reserve whole tokens only: a request can't use a fraction.
            reserve = (
                int(requests_per_s * RESERVE_HORIZON_MS / 1_000)
                * bucket.MILLITOKENS_PER_TOKEN
            )
        granted = min(wanted, max(0, self.local_bucket.millitokens - reserve))
        self.local_bucket.consume(granted)
        return granted


class Limiter:
    """Admits requests within the rate of their account.

    Requests tokens from other hosts and gives surplus tokens to them.
    """

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
        self._slot_claims_ms: list[int] = []
        self._accounts_by_name: dict[str, _AccountState] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def admit(
        self, account: str, deadline_ms: int
    ) -> types.NotRun | None:
        """Take a token of ``account``; return a refusal if there is none.

        Waits up to a second and no longer than half of ``deadline_ms``, which
        leaves time to run the request. Refuses at once if more requests wait
        than the rate admits in that time.
        """
        now = self._clock.now()
        state = self._account_state(account, now)
        if state is None:
            return types.NotRun('rate_exceeded', 'the account has no rate')
        state.request_rate.record_request(now)
        if not state.waiters and state.consume_token(now):
            self._request_tokens_if_short(state)
            return None

        wait_ms = min(MAX_WAIT_MS, deadline_ms // 2)
        if len(state.waiters) * 1_000 > state.quota.rate * wait_ms:
            self._metrics.count('limiter.refused')
            return self._refusal(state)
        waiter = _Waiter(
            asyncio.get_running_loop().create_future(),
            now + wait_ms,
        )
        state.waiters.append(waiter)
        if not state.is_serving_waiters:
            state.is_serving_waiters = True
            self._start_task(self._serve_waiters(state))
        if await waiter.admitted:
            self._metrics.count('limiter.waited')
            return None
        self._metrics.count('limiter.refused')
        return self._refusal(state)

    async def give(
        self, account: str, wanted: int, collect: bool
    ) -> types.TokenGrant:
        """Give up to ``wanted`` surplus millitokens to another host.

        With ``collect`` this host is the rate owner and requests what it
        lacks from all other hosts.
        """
        now = self._clock.now()
        state = self._account_state(account, now)
        if state is None or wanted <= 0:
            return types.TokenGrant(0, 0)
        validity_ms = state.quota.validity_ms
        if collect:
            return await state.collector.collect(wanted, validity_ms)
        # The receiver counts the validity from the moment it sent its
        # request, which was before these tokens left their bucket.
        return types.TokenGrant(state.take_surplus(wanted, now), validity_ms)

    def slots_claimed(self, claimed: int, never_held: int = 0) -> None:
        """Register claimed slots; call as soon as ``held`` includes them.

        The buckets of the slots start empty, except that ``never_held`` of
        them, which no host has held before, start full. A slot that was lost
        and claimed again between two requests left ``held`` unchanged, so
        only this call empties its bucket.
        """
        now = self._clock.now()
        known_slots = len(self._slot_claims_ms)
        self._sync_held_slots(now)
        held = len(self._slot_claims_ms)
        unnoticed_slots = min(
            held, max(0, claimed - max(0, held - known_slots))
        )
        slot_claims_ms = (
            self._slot_claims_ms[unnoticed_slots:] + [now] * unnoticed_slots
        )
        never_held_slots = min(held, never_held)
        self._slot_claims_ms = [
            NEVER_HELD_MS
        ] * never_held_slots + slot_claims_ms[: held - never_held_slots]
        for state in self._accounts_by_name.values():
            state.local_bucket.refill(now)
            state.local_bucket.empty_slots(unnoticed_slots)
            state.local_bucket.fill_slots(never_held_slots)

    def _account_state(self, name: str, now: int) -> _AccountState | None:
        configuration = self._configuration.current
        account = configuration.accounts_by_name.get(name)
        if account is None:
            return None
        self._sync_held_slots(now)
        quota = bucket.Quota(
            account.rate, account.burst, configuration.rate_slots
        )
        state = self._accounts_by_name.get(name)
        if state is None:
            state = self._new_account_state(name, quota, now)
            self._accounts_by_name[name] = state
        elif state.quota != quota:
            state.local_bucket.refill(now)
            state.local_bucket.set_quota(quota)
        return state

    def _new_account_state(
        self, name: str, quota: bucket.Quota, now: int
    ) -> _AccountState:
        def take_local_surplus(wanted: int) -> int:
            taken_ms = self._clock.now()
            self._sync_held_slots(taken_ms)
            return state.take_surplus(wanted, taken_ms)

        local_bucket = bucket.LocalBucket(quota, self._slot_claims_ms, now)
        token_collector = collector.Collector(
            name, self._clock, self._token_source, take_local_surplus
        )
        state = _AccountState(name, local_bucket, token_collector, now)
        return state

    def _sync_held_slots(self, now: int) -> None:
        held = self._rate_slots.held()
        known_slots = len(self._slot_claims_ms)
        if held == known_slots:
            return
        # Which slot was lost isn't known. Keep those that were claimed last:
        # they have the fewest tokens, so the limit holds.
        kept = self._slot_claims_ms[-held:] if held else []
        self._slot_claims_ms = kept + [now] * (held - known_slots)
        for state in self._accounts_by_name.values():
            state.local_bucket.refill(now)
            state.local_bucket.set_held_slots(held)

    def _refusal(self, state: _AccountState) -> types.NotRun:
        waiting = len(state.waiters) + 1
        queue_ms = waiting * 1_000 // max(1, state.quota.rate)
        # The jitter keeps refused callers from retrying at the same time.
        retry_after_ms = queue_ms + self._rng.randint(1, MAX_WAIT_MS)
        return types.NotRun(
            'rate_exceeded',
            f'the account is over its rate of {state.quota.rate} a second',
            retry_after_ms=retry_after_ms,
        )

    async def _serve_waiters(self, state: _AccountState) -> None:
        """Admit or refuse the waiting requests until none is left."""
        while True:
            self._admit_waiters(state)
            if not state.waiters:
                state.is_serving_waiters = False
                return
            self._request_tokens_if_short(state)
            now = self._clock.now()
            remaining_ms = state.waiters[0].until_ms - now
            await self._clock.sleep(
                max(1, min(remaining_ms, MAX_POLL_INTERVAL_MS))
            )

    def _admit_waiters(self, state: _AccountState) -> None:
        now = self._clock.now()
        self._sync_held_slots(now)
        while state.waiters:
            first = state.waiters[0]
            if first.admitted.done():
                state.waiters.popleft()
            elif now >= first.until_ms:
                state.waiters.popleft()
                first.admitted.set_result(False)
            elif state.consume_token(now):
                state.waiters.popleft()
                first.admitted.set_result(True)
            else:
                return

    def _request_tokens_if_short(self, state: _AccountState) -> None:
        now = self._clock.now()
        if state.has_pending_request(now) or now < state.next_request_ms:
            return
        wanted = state.millitokens_to_request(now)
        if wanted <= 0:
            return
        state.request_sent_ms = now
        self._metrics.count('limiter.asked')
        self._start_task(self._request_tokens(state, wanted, now))

    async def _request_tokens(
        self, state: _AccountState, wanted: int, request_sent_ms: int
    ) -> None:
        try:
            grant = await self._fetch_tokens(state, wanted)
        except Exception as error:
            _log.warning('no tokens', step='rate', error=str(error))
            grant = types.TokenGrant(0, 0)
        now = self._clock.now()
        if state.request_sent_ms == request_sent_ms:
            state.request_sent_ms = None
        # The validity counts from the request: the tokens left their buckets
        # later, at a time that isn't known here.
        valid_ms = min(grant.valid_ms, state.quota.validity_ms)
        if grant.tokens > 0 and request_sent_ms + valid_ms > now:
            state.transferred.add(grant.tokens, request_sent_ms + valid_ms)
            state.empty_grants = 0
            self._admit_waiters(state)
        else:
            state.empty_grants += 1
            state.next_request_ms = now + self._request_backoff_ms(
                state.empty_grants
            )
        if state.waiters:
            self._request_tokens_if_short(state)

    async def _fetch_tokens(
        self, state: _AccountState, wanted: int
    ) -> types.TokenGrant:
        if not self._is_owner(state.name):
            return await self._token_source.take(state.name, wanted)
        # On the rate owner, requests of its own callers share the queue with
        # those of other hosts.
        return await state.collector.collect(wanted, state.quota.validity_ms)

    def _request_backoff_ms(self, empty_grants: int) -> int:
        max_backoff_ms = min(
            MAX_REQUEST_BACKOFF_MS,
            MIN_REQUEST_BACKOFF_MS * 2 ** min(empty_grants, 8),
        )
        return self._rng.randint(max_backoff_ms // 2, max_backoff_ms)

    def _start_task(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
