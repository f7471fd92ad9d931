"""Retries of refused requests: back-off, retry budget and recovery."""

import asyncio
import collections
import dataclasses
import random

from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import types

# Limit for the retries of a service on one host in each window: a tenth of
# its requests plus ten.
BUDGET_RETRIES_PER_REQUEST = 0.1
BUDGET_BASE_RETRIES = 10
BUDGET_WINDOW_MS = 1_000

# The longest back-off limits by how much queueing prolongs the time without
# service in a failover.
FIRST_BACKOFF_MS = 20
MAX_BACKOFF_MS = 250

# Interval at which the queued requests of a service are checked.
CHECK_INTERVAL_MS = 10

# A request that is due while the retry budget is used up is checked again
# after this time.
BUDGET_RECHECK_MS = 25

# After a change of primary the queued requests of a service are released
# over this time, so that they don't reach the new gateway in one burst.
RELEASE_SPREAD_MS = 20


class RetryBudget:
    """Limits the retries of one service on this host in each window."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._requests_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def record_request(self) -> None:
        """Count a caller's request."""
        self._drop_expired()
        self._requests_ms.append(self._clock.now())

    def try_spend(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._drop_expired()
        allowed = BUDGET_BASE_RETRIES + BUDGET_RETRIES_PER_REQUEST * len(
            self._requests_ms
        )
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(self._clock.now())
        return True

    def _drop_expired(self) -> None:
        expired_ms = self._clock.now() - BUDGET_WINDOW_MS
        for times in (self._requests_ms, self._retries_ms):
            while times and times[0] <= expired_ms:
                times.popleft()


@dataclasses.dataclass(slots=True)
class _QueuedRetry:
    """A request that waits to be sent again.

    ``released`` becomes True if the request may be sent, and False if its
    deadline came first.
    """

    released: asyncio.Future[bool]
    due_ms: int
    deadline_ms: int
    known_recoveries: int
    route: tuple[int, str]
    needs_budget: bool
    skips_budget: bool = False

    def release(self, may_retry: bool) -> None:
        """End the wait, unless it was cancelled as the caller has gone."""
        if not self.released.done():
            self.released.set_result(may_retry)


class RetryQueue:
    """Decides when the refused requests of one service are sent again.

    While the service is down only as many queued requests are sent as the
    retry budget allows; they probe the service. After one succeeds, or the
    primary has changed, the other requests no longer need the budget;
    otherwise most of them would reach their deadlines although the service
    is available again.
    """

    def __init__(
        self,
        service: str,
        clock: clock_module.Clock,
        rng: random.Random,
        routes: interfaces.Routes,
    ) -> None:
        self._service = service
        self._clock = clock
        self._rng = rng
        self._routes = routes
        self.budget = RetryBudget(clock)
        self._is_failing = False
        self._recovery_count = 0
        self._queue: list[_QueuedRetry] = []
        self._release_task: asyncio.Task[None] | None = None

    def record_retryable_refusal(self) -> int:
        """Record a refusal that is retried.

        Returns the number of recoveries so far, for ``wait_for_retry``.
        """
        self._is_failing = True
        return self._recovery_count

    def record_primary_success(self) -> None:
        """Record that a request to the primary succeeded."""
        if self._is_failing:
            self._is_failing = False
            self._recovery_count += 1

    async def wait_for_retry(
        self,
        known_recoveries: int,
        attempt: int,
        deadline_ms: int,
        needs_budget: bool,
    ) -> bool:
        """Wait until the request may be sent again.

        The request needs the retry budget, unless the service recovers after
        ``known_recoveries`` or its primary changes. With ``needs_budget`` it
        needs the budget in any case. Returns False if ``deadline_ms`` comes
        first.
        """
        queued = _QueuedRetry(
            released=asyncio.get_running_loop().create_future(),
            due_ms=self._clock.now() + self._backoff_ms(attempt),
            deadline_ms=deadline_ms,
            known_recoveries=known_recoveries,
            route=self._current_route(),
            needs_budget=needs_budget,
        )
        self._queue.append(queued)
        if self._release_task is None:
            self._release_task = asyncio.create_task(self._release_queued())
        return await queued.released

    async def _release_queued(self) -> None:
        """Release the queued requests; one task serves all of them.

        With a timer for each request, 1,000 queued requests used most of a
        processor core.
        """
        try:
            while self._queue:
                await self._clock.sleep(CHECK_INTERVAL_MS)
                now = self._clock.now()
                route = self._current_route()
                for queued in self._queue:
                    self._release_if_due(queued, now, route)
                self._queue = [
                    queued
                    for queued in self._queue
                    if not queued.released.done()
                ]
        finally:
            self._release_task = None
            for queued in self._queue:
                queued.release(False)

    def _release_if_due(
        self, queued: _QueuedRetry, now: int, route: tuple[int, str]
    ) -> None:
        if now >= queued.deadline_ms:
            queued.release(False)
            return
        if route != queued.route and not queued.needs_budget:
            queued.route = route
            queued.skips_budget = True
            queued.due_ms = now + self._rng.randint(0, RELEASE_SPREAD_MS)
        if now < queued.due_ms:
            return
        has_recovered = self._recovery_count != queued.known_recoveries
        skips_budget = queued.skips_budget or (
            has_recovered and not queued.needs_budget
        )
        if skips_budget or self.budget.try_spend():
            queued.release(True)
        else:
            queued.due_ms = now + BUDGET_RECHECK_MS

    def _current_route(self) -> tuple[int, str]:
        route = self._routes.primary(self._service)
        if isinstance(route, types.Route):
            return route.term, route.primary_target_id
        return 0, ''

    def _backoff_ms(self, attempt: int) -> int:
        max_backoff_ms = min(
            MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(attempt, 10)
        )
        return self._rng.randint(max_backoff_ms // 2, max_backoff_ms)
