"""The queue of statements that wait for slots, and their placement."""

import asyncio
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import group as group_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['NO_PRIMARY', 'SlotQueue', 'SlotRequest']

NO_PRIMARY = 'the primary is being replaced'

# An observed position of the primary must be newer by this much than the
# oldest state that a read accepts, since timers may fire late.
FRESHNESS_MARGIN_MS = 100

# Connections that transactions leave free for operations of one statement.
SINGLE_STATEMENT_CONNECTIONS = 2


@dataclasses.dataclass(eq=False)
class SlotRequest:
    """A statement that waits for a slot, and the state of its attempts."""

    work: work_module.Work
    received_ms: int
    needs_primary: bool
    future: asyncio.Future[pool_module.TargetPool]
    pinned_pool: pool_module.TargetPool | None = None
    withdrawal: work_module.Withdrawal = dataclasses.field(
        default_factory=work_module.Withdrawal
    )
    attempts: int = 0
    avoided_target_ids: set[str] = dataclasses.field(default_factory=set)
    last_retry_reason: str = ''
    refusal_reason: str = 'no slot in time'  # if the wait is cancelled
    is_primary_only: bool = False  # whether only the primary can run it
    is_on_primary: bool = False  # whether the chosen target is the primary
    minimum_position: types.Position | None = (
        None  # that the chosen replica must have
    )

    def withdraw(self) -> None:
        """Stop waiting, unless a slot has been assigned."""
        self.refusal_reason = work_module.WITHDRAWN_REASON
        self.future.cancel()

    @property
    def deadline_ms(self) -> int:
        return self.received_ms + self.work.budget_ms

    def remaining_ms(self, now: int) -> int:
        """Return the time in ms until the time limit."""
        return self.deadline_ms - now

    def sort_key(self, now: int) -> tuple[bool, bool, int]:
        """Return the key that orders the queue, the lowest first.

        Open transactions come first, then work whose objective has not
        passed.
        """
        key = policy.sort_key(
            self.received_ms, self.work.objective_ms, self.work.priority
        )
        is_late = now - self.received_ms > self.work.objective_ms
        return self.pinned_pool is None, is_late, key


class SlotQueue:
    """Assigns free slots to waiting statements, the most urgent first."""

    def __init__(
        self, clock: clock_module.Clock, group: group_module.TargetGroup
    ) -> None:
        self._clock = clock
        self._group = group
        self._waiting_requests: list[SlotRequest] = []
        self.statement_ms = pool_module.INITIAL_STATEMENT_MS

    def __len__(self) -> int:
        return len(self._waiting_requests)

    async def wait_for_slot(
        self, slot_request: SlotRequest
    ) -> pool_module.TargetPool | exceptions.Sentinel:
        """Wait for a slot and return the pool of its target.

        Returns a sentinel with the reason if it times out or is refused.
        """
        if slot_request.withdrawal.is_requested:
            return exceptions.Sentinel(work_module.WITHDRAWN_REASON)
        self._waiting_requests.append(slot_request)
        self.assign_slots()
        waited_ms = self._clock.now() - slot_request.received_ms
        remaining_ms = self.max_wait_ms(slot_request) - waited_ms
        timer = asyncio.get_running_loop().call_later(
            max(0.0, remaining_ms / 1000), slot_request.future.cancel
        )
        slot_request.withdrawal.notify(slot_request.withdraw)
        try:
            return await slot_request.future
        except asyncio.CancelledError:
            if slot_request.future.cancelled():
                return exceptions.Sentinel(slot_request.refusal_reason)
            raise
        finally:
            timer.cancel()
            slot_request.withdrawal.notify(None)
            if slot_request in self._waiting_requests:
                self._waiting_requests.remove(slot_request)

    def release_slot(self, pool: pool_module.TargetPool) -> None:
        pool.running_count -= 1
        self.assign_slots()

    def assign_slots(self) -> None:
        """Assign free slots to waiting statements, the most urgent first.

        Called whenever a slot becomes free. Under overload most of the
        waiting statements need a target that is full, so these are left out
        before anything else is asked of them.
        """
        if not self._waiting_requests:
            return
        free_pools = [
            each
            for each in self._group.pools_by_id.values()
            if self._has_slot(each)
        ]
        if not free_pools:
            return
        now = self._clock.now()
        for slot_request in sorted(
            [
                each
                for each in self._waiting_requests
                if self._may_use_any(each, free_pools)
            ],
            key=lambda each: each.sort_key(now),
        ):
            if slot_request.future.done():
                continue
            pool = self._choose_target(slot_request, free_pools)
            if pool is None:
                continue
            pool.running_count += 1
            self._waiting_requests.remove(slot_request)
            slot_request.future.set_result(pool)
            if not self._has_slot(pool):
                free_pools.remove(pool)
                if not free_pools:
                    return

    def _may_use_any(
        self,
        slot_request: SlotRequest,
        free_pools: list[pool_module.TargetPool],
    ) -> bool:
        """Tell whether a request may run on one of the pools, by its kind."""
        if slot_request.pinned_pool is not None:
            return slot_request.pinned_pool in free_pools
        return not slot_request.needs_primary or (
            self._group.primary in free_pools
        )

    def _choose_target(
        self,
        slot_request: SlotRequest,
        free_pools: list[pool_module.TargetPool],
    ) -> pool_module.TargetPool | None:
        """Return the cheapest eligible target of ``free_pools``, or None."""
        if slot_request.pinned_pool is not None:
            return (
                slot_request.pinned_pool
                if slot_request.pinned_pool in free_pools
                else None
            )
        account = slot_request.work.account
        return min(
            (
                each
                for each in free_pools
                if self._is_eligible(slot_request, each)
                and each.can_provide_connection(account)
            ),
            key=lambda each: self._placement_cost(each, account),
            default=None,
        )

    def _placement_cost(
        self, pool: pool_module.TargetPool, account: str
    ) -> float:
        is_primary = self._group.is_primary(pool)
        # The primary always costs an opening, so that an idle connection there
        # doesn't attract reads that replicas can serve.
        needs_opening = is_primary or not pool.has_idle(account)
        return policy.placement_cost(
            (pool.running_count + 1) / pool.slots,
            pool.statement_ms,
            pool.round_trip_ms,
            opening_ms=pool.opening_ms if needs_opening else 0.0,
            is_primary=is_primary,
            failing_share=pool.failing_share,
            is_flapping=pool.is_flapping,
        )

    def _has_slot(self, pool: pool_module.TargetPool) -> bool:
        return pool.running_count < policy.max_running(
            pool.slots, pool.round_trip_ms, self.statement_ms
        )

    def _is_eligible(
        self, slot_request: SlotRequest, pool: pool_module.TargetPool
    ) -> bool:
        return (
            not pool.is_down
            and self._clock.now() >= pool.avoid_until_ms
            and self._can_run(slot_request, pool)
        )

    def _can_run(
        self, slot_request: SlotRequest, pool: pool_module.TargetPool
    ) -> bool:
        """Tell whether a target may run the statement once it has a slot."""
        target_id = pool.target.target_id
        is_primary = self._group.is_primary(pool)
        # A draining primary is used until a replica is promoted: no other
        # target accepts writes.
        if pool.target.is_draining and not is_primary:
            return False
        is_transaction = slot_request.work.stage is work_module.Stage.OPEN
        if is_transaction and (
            pool.pinned_count
            >= max(1, pool.connection_limit - SINGLE_STATEMENT_CONNECTIONS)
        ):
            return False
        if is_primary:
            return self.may_use_primary(slot_request)
        if (
            slot_request.needs_primary
            or target_id in slot_request.avoided_target_ids
        ):
            return False
        minimum_position = self.minimum_position(slot_request)
        return minimum_position is not None and not pool.lacks_position(
            minimum_position
        )

    def may_use_primary(self, slot_request: SlotRequest) -> bool:
        """Tell whether enough evidence supports the primary for a request.

        A write needs less: a primary that has been replaced can't get it
        confirmed by a replica, so it is never acknowledged.
        """
        work = slot_request.work
        leadership = self._group.leadership
        if work.writes and work.stage is work_module.Stage.SINGLE:
            return leadership.is_confirmed
        return leadership.covers(self._oldest_state_ms(slot_request))

    def _oldest_state_ms(self, slot_request: SlotRequest) -> int:
        """Return the moment whose state the primary's answer may show."""
        work = slot_request.work
        received_ms = slot_request.received_ms
        term = self._group.leadership.term
        if slot_request.needs_primary or term is None:
            return received_ms
        # The session may have committed on a later primary already.
        position = work.session_position
        if position is not None and position.term > term:
            return received_ms
        return received_ms - work.max_age_ms

    @property
    def lacks_evidence(self) -> bool:
        """Tell whether a waiting request needs evidence for the primary."""
        return any(
            each.pinned_pool is None
            and each.needs_primary
            and not self.may_use_primary(each)
            for each in self._waiting_requests
        )

    def minimum_position(
        self, slot_request: SlotRequest
    ) -> types.Position | None:
        """Return the log position that a replica needs to run the statement.

        None if no position of the primary is known that is recent enough.
        """
        needed_ms = (
            slot_request.received_ms
            - slot_request.work.max_age_ms
            + FRESHNESS_MARGIN_MS
        )
        minimum_position = self._group.freshness.minimum_position(needed_ms)
        session_position = slot_request.work.session_position
        if minimum_position is None or session_position is None:
            return minimum_position
        if slot_request.work.consistency is (
            catalog_module.Consistency.READ_YOUR_WRITES
        ):
            return max(minimum_position, session_position)
        return minimum_position

    def expected_wait_ms(
        self,
        slot_request: SlotRequest,
        reachable_pools: list[pool_module.TargetPool],
    ) -> float:
        """Return the expected wait in ms behind more urgent requests."""
        now = self._clock.now()
        own_key = slot_request.sort_key(now)
        earlier_requests = [
            each
            for each in self._waiting_requests
            if each.sort_key(now) < own_key
        ]
        suitable_pools = [
            each
            for each in reachable_pools
            if self._can_run(slot_request, each)
        ]
        primary = self._group.primary
        if primary is None or suitable_pools not in ([], [primary]):
            slots = sum(
                each.slots for each in suitable_pools or reachable_pools
            )
            return policy.expected_wait_ms(
                len(earlier_requests), slots, self.statement_ms
            )
        # Only requests that the primary alone can run delay this one: the
        # replicas may take the rest.
        slot_request.is_primary_only = True
        primary_only_count = sum(
            each.is_primary_only for each in earlier_requests
        )
        return policy.expected_wait_ms(
            primary_only_count, primary.slots, primary.statement_ms
        )

    def max_wait_ms(self, slot_request: SlotRequest) -> float:
        """Return the longest total wait in ms of a request."""
        work = slot_request.work
        primary = self._group.primary
        # An open transaction can't move to another target.
        may_use_time_limit = slot_request.pinned_pool is not None or (
            slot_request.needs_primary
            and (
                self._group.primary_expected_ms is not None
                or primary is None
                or primary.needs_probe
                or self._group.leadership.is_suspended
            )
        )
        return policy.max_wait_ms(
            work.objective_ms,
            work.budget_ms,
            self.statement_ms,
            may_use_time_limit,
        )

    def is_primary_expected(self, slot_request: SlotRequest) -> bool:
        """Tell whether a primary will be available before the time limit."""
        primary = self._group.primary
        if primary is not None and not primary.is_down:
            return True
        if self._group.primary_expected_ms is None:
            return False
        return (
            self._group.primary_expected_ms + self.statement_ms
            < slot_request.deadline_ms
        )

    def review_requests(self) -> None:
        """Refuse requests that no primary will serve in time; assign slots.

        When a primary fails under load, callers learn at once that they should
        retry, instead of at their deadline. Slots are assigned since a target
        that was avoided for a while may be eligible again.
        """
        for slot_request in self._waiting_requests:
            if slot_request.needs_primary and not self.is_primary_expected(
                slot_request
            ):
                slot_request.refusal_reason = NO_PRIMARY
                slot_request.future.cancel()
        for pool in self._group.pools_by_id.values():
            pool.decay_estimates(self.statement_ms)
            if pool.limit is not None:
                pool.limit.review()
        self.assign_slots()

    def record_statement_time(
        self, pool: pool_module.TargetPool, took_ms: int
    ) -> None:
        """Record how long a target took for a successful statement."""
        self.statement_ms += pool_module.STATEMENT_SMOOTHING * (
            took_ms - self.statement_ms
        )
        pool.record_statement_served(took_ms)
