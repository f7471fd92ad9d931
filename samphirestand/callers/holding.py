"""Back-off, retry budget and waiting for a service to recover."""

import asyncio
import collections
import dataclasses
import random

from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import types

# Retries of a service in one window: a tenth of its requests plus ten.
BUDGET_SHARE = 0.1
BUDGET_EXTRA = 10
BUDGET_WINDOW_MS = 1_000

# The longest back-off bounds what holding adds to a failover gap.
FIRST_BACKOFF_MS = 20
LONGEST_BACKOFF_MS = 250

# How often the held requests of a service are looked through.
CHECK_MS = 10

# A request that found the retry budget empty asks for it again after this.
BUDGET_CHECK_MS = 25

# Held requests of one service start again over this time after a primary
# change, so that they don't reach the new gateway in one burst.
SPREAD_MS = 20


class RetryBudget:
    """Limits the retries of one service on this host in each window."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._requests_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def note_request(self) -> None:
        """Count a caller's request."""
        self._forget()
        self._requests_ms.append(self._clock.now())

    def take(self) -> bool:
        """Tell whether a retry may be sent, and count it if so."""
        self._forget()
        allowed = BUDGET_EXTRA + BUDGET_SHARE * len(self._requests_ms)
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(self._clock.now())
        return True

    def _forget(self) -> None:
        oldest = self._clock.now() - BUDGET_WINDOW_MS
        for times in (self._requests_ms, self._retries_ms):
            while times and times[0] <= oldest:
                times.popleft()


@dataclasses.dataclass(slots=True)
class _Held:
    """One request that waits to be sent again."""

    released: asyncio.Future[bool]
    due_ms: int
    until_ms: int
    mark: int
    route: tuple[int, str]
    needs_budget: bool
    is_free: bool = False

    def release(self, may_go_on: bool) -> None:
        """End the wait, unless the caller has gone meanwhile."""
        if not self.released.done():
            self.released.set_result(may_go_on)


class Hold:
    """Decides when the refused requests of one service are sent again.

    While the service is down only the retry budget's share of the held
    requests is sent as probes. After a probe succeeds, or the primary has
    changed, the others no longer need the budget; otherwise most of them
    would reach their deadlines although the service is back.
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
        self._recoveries = 0
        self._held: list[_Held] = []
        self._watch: asyncio.Task[None] | None = None

    def note_refused(self) -> int:
        """Note a refusal that is held; returns a mark for ``wait``."""
        self._is_failing = True
        return self._recoveries

    def note_done(self) -> None:
        """Note that a request for the primary succeeded."""
        if self._is_failing:
            self._is_failing = False
            self._recoveries += 1

    async def wait(
        self, mark: int, attempt: int, until_ms: int, needs_budget: bool
    ) -> bool:
        """Wait until the request may be sent again.

        With ``needs_budget`` a recovery is not enough. Returns False if
        ``until_ms`` comes first.
        """
        held = _Held(
            released=asyncio.get_running_loop().create_future(),
            due_ms=self._clock.now() + self._backoff(attempt),
            until_ms=until_ms,
            mark=mark,
            route=self._route(),
            needs_budget=needs_budget,
        )
        self._held.append(held)
        if self._watch is None:
            self._watch = asyncio.create_task(self._release_in_time())
        return await held.released

    async def _release_in_time(self) -> None:
        """Release the held requests; one task serves all of them.

        With a timer for each request, 1,000 held ones took most of a core.
        """
        try:
            while self._held:
                await self._clock.sleep(CHECK_MS)
                now = self._clock.now()
                route = self._route()
                for held in self._held:
                    self._decide(held, now, route)
                self._held = [
                    held for held in self._held if not held.released.done()
                ]
        finally:
            self._watch = None
            for held in self._held:
                held.release(False)

    def _decide(self, held: _Held, now: int, route: tuple[int, str]) -> None:
        if now >= held.until_ms:
            held.release(False)
            return
        if route != held.route and not held.needs_budget:
            held.route = route
            held.is_free = True
            held.due_ms = now + self._rng.randint(0, SPREAD_MS)
        if now < held.due_ms:
            return
        has_recovered = self._recoveries != held.mark
        is_free = held.is_free or (has_recovered and not held.needs_budget)
        if is_free or self.budget.take():
            held.release(True)
        else:
            held.due_ms = now + BUDGET_CHECK_MS

    def _route(self) -> tuple[int, str]:
        route = self._routes.primary(self._service)
        if isinstance(route, types.Route):
            return route.term, route.primary_target_id
        return 0, ''

    def _backoff(self, attempt: int) -> int:
        longest = min(
            LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(attempt, 10)
        )
        return self._rng.randint(longest // 2, longest)
