"""Weighted fair queue that shares a target's slots by client account."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

from samphirestand import clock as clock_module
from samphirestand.targets import refusals

# Estimated duration of a statement before any was measured.
INITIAL_ESTIMATE_MS = 5.0
# Weight of the latest duration in the moving average.
ESTIMATE_SMOOTHING_FACTOR = 0.1
MIN_COST_MS = 0.1


@dataclasses.dataclass
class _QueuedRequest:
    """A request; ``future`` is done when it gets a slot."""

    account: str
    future: asyncio.Future[None]
    charged_ms: float = 0.0


class Scheduler:
    """Start-time fair queueing over client accounts.

    Each account has a queue. A free slot goes to the account whose first
    request has the lowest start tag. A start tag is the account's last finish
    tag or the virtual time, whichever is higher. A finish tag is the start tag
    plus the duration divided by the account's weight. The duration is
    estimated at the start and corrected at the end.
    (Goyal, Vin, Cheng: Start-time Fair Queueing, 1996.)
    """

    def __init__(
        self, clock: clock_module.Clock, slots: int, target_id: str
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._target_id = target_id
        self._running = 0
        self._virtual_time = 0.0
        self._estimate_ms = INITIAL_ESTIMATE_MS
        self._queues_by_account: dict[
            str, collections.deque[_QueuedRequest]
        ] = {}
        self._weights_by_account: dict[str, int] = {}
        self._finish_tags_by_account: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues_by_account.values())

    @contextlib.asynccontextmanager
    async def slot(
        self, account: str, weight: int, deadline: int
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a slot; raise ``RequestRefused`` if the deadline can't be met.

        ``deadline`` is a time of the clock in milliseconds. A request that
        is cancelled while it waits is removed from the queue.
        """
        self._weights_by_account[account] = max(1, weight)
        self._refuse_if_late(account, deadline)
        entry = await self._wait_for_slot(account, deadline)
        started = self._clock.now()
        try:
            yield
        finally:
            self._release_slot(entry, self._clock.now() - started)

    def estimated_wait_ms(self, account: str) -> float:
        """Return the expected wait of a new request of ``account``."""
        if self._running < self._slots and not self.waiting:
            return 0.0
        weight = self._weights_by_account.get(account, 1)
        own_count = len(self._queues_by_account.get(account, ())) + 1
        count_ahead = own_count - 1
        for other, queue in self._queues_by_account.items():
            if other == account:
                continue
            # While this account gets ``own_count`` slots, another account
            # gets slots in proportion to its weight, but at most one for
            # each of its waiting requests.
            share = own_count * self._weights_by_account[other] / weight
            count_ahead += min(len(queue), round(share))
        return (count_ahead + 1) * self._estimate_ms / self._slots

    def _refuse_if_late(self, account: str, deadline: int) -> None:
        wait_ms = self.estimated_wait_ms(account)
        if self._clock.now() + wait_ms <= deadline:
            return
        raise refusals.not_run(
            'deadline_unattainable',
            f'the estimated wait of {wait_ms:.0f} ms passes the deadline',
            step='queue',
            peer=self._target_id,
            retry_after_ms=round(wait_ms),
        )

    async def _wait_for_slot(
        self, account: str, deadline: int
    ) -> _QueuedRequest:
        loop = asyncio.get_running_loop()
        entry = _QueuedRequest(account, loop.create_future())
        queue = self._queues_by_account.setdefault(
            account, collections.deque()
        )
        if not queue:
            finish = self._finish_tags_by_account.get(account, 0.0)
            tag = max(finish, self._virtual_time)
            self._finish_tags_by_account[account] = tag
        queue.append(entry)
        self._grant_slots()
        timer = asyncio.ensure_future(
            self._clock.sleep(deadline - self._clock.now())
        )
        try:
            await asyncio.wait(
                {entry.future, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            self._abandon(entry)
            raise
        finally:
            timer.cancel()
        if entry.future.done():
            return entry
        self._abandon(entry)
        raise refusals.not_run(
            'deadline_unattainable',
            'the deadline passed in the queue',
            step='queue',
            peer=self._target_id,
        )

    def _abandon(self, entry: _QueuedRequest) -> None:
        # The request may have got a slot just before it was cancelled or
        # timed out; that slot goes to the next request.
        if entry.future.done():
            self._running -= 1
            self._grant_slots()
            return
        queue = self._queues_by_account[entry.account]
        queue.remove(entry)
        if not queue:
            del self._queues_by_account[entry.account]

    def _grant_slots(self) -> None:
        while self._running < self._slots and self._queues_by_account:
            account = min(
                self._queues_by_account,
                key=self._finish_tags_by_account.__getitem__,
            )
            queue = self._queues_by_account[account]
            entry = queue.popleft()
            if not queue:
                del self._queues_by_account[account]
            start_tag = self._finish_tags_by_account[account]
            self._virtual_time = max(self._virtual_time, start_tag)
            entry.charged_ms = self._estimate_ms
            self._charge(account, entry.charged_ms)
            self._running += 1
            entry.future.set_result(None)

    def _charge(self, account: str, cost_ms: float) -> None:
        weight = self._weights_by_account[account]
        self._finish_tags_by_account[account] += cost_ms / weight

    def _release_slot(self, entry: _QueuedRequest, duration_ms: int) -> None:
        cost = max(MIN_COST_MS, duration_ms)
        if entry.account in self._finish_tags_by_account:
            self._charge(entry.account, cost - entry.charged_ms)
        self._estimate_ms += ESTIMATE_SMOOTHING_FACTOR * (
            cost - self._estimate_ms
        )
        self._running -= 1
        self._grant_slots()
        self._drop_idle_tags()

    def _drop_idle_tags(self) -> None:
        # An account without waiting requests whose tag isn't above the
        # virtual time starts at the virtual time anyway, so its tag isn't
        # needed.
        for account, tag in list(self._finish_tags_by_account.items()):
            if (
                tag <= self._virtual_time
                and account not in self._queues_by_account
            ):
                del self._finish_tags_by_account[account]
