"""Work that waits for slots of targets, and which target it gets."""

import asyncio
import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import group as group_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['NO_PRIMARY', 'SlotQueue', 'Ticket']

NO_PRIMARY = 'the primary is being replaced'

# Evidence about the primary must be newer than the oldest moment that a
# read needs by this much, against timers that fire late.
FRESHNESS_MARGIN_MS = 100

# Connections that must stay available for operations of one statement.
UNPINNED_CONNECTIONS = 2


@dataclasses.dataclass(eq=False)
class Ticket:
    """Work that waits for a slot."""

    work: work_module.Work
    received_ms: int
    needs_primary: bool
    future: asyncio.Future[pool_module.TargetPool]
    pinned: pool_module.TargetPool | None = None
    attempts: int = 0
    avoided: set[str] = dataclasses.field(default_factory=set)
    last_reason: str = ''
    refusal: str = 'no slot in time'  # why it waits no longer
    is_bound: bool = False  # whether only the primary suits it
    leads: bool = False  # whether the chosen target is the primary
    floor: types.Position | None = None  # what a chosen replica must have

    @property
    def deadline_ms(self) -> int:
        return self.received_ms + self.work.budget_ms

    def left_ms(self, now: int) -> int:
        """Return how much of the time limit is left."""
        return self.deadline_ms - now

    def order(self, now: int) -> tuple[bool, bool, int]:
        """Return the key of the queue.

        Open transactions come first, then what can be in time.
        """
        key = policy.order(
            self.received_ms, self.work.objective_ms, self.work.priority
        )
        is_late = now - self.received_ms > self.work.objective_ms
        return self.pinned is None, is_late, key


class SlotQueue:
    """Gives free slots to waiting work, the most urgent first."""

    def __init__(
        self, clock: clock_module.Clock, group: group_module.TargetGroup
    ) -> None:
        self._clock = clock
        self._group = group
        self._waiting: list[Ticket] = []
        self.statement_ms = pool_module.INITIAL_STATEMENT_MS

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(
        self, ticket: Ticket
    ) -> pool_module.TargetPool | exceptions.Sentinel:
        """Wait for a slot of a target that may run the ticket."""
        self._waiting.append(ticket)
        self.dispatch()
        waited_ms = self._clock.now() - ticket.received_ms
        left_ms = self.longest_wait_ms(ticket) - waited_ms
        timer = asyncio.get_running_loop().call_later(
            max(0.0, left_ms / 1000), ticket.future.cancel
        )
        try:
            return await ticket.future
        except asyncio.CancelledError:
            if ticket.future.cancelled():
                return exceptions.Sentinel(ticket.refusal)
            raise
        finally:
            timer.cancel()
            if ticket in self._waiting:
                self._waiting.remove(ticket)

    def release(self, pool: pool_module.TargetPool) -> None:
        pool.running_count -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Give free slots to waiting work, the most urgent first."""
        if not self._waiting:
            return
        now = self._clock.now()
        for ticket in sorted(self._waiting, key=lambda each: each.order(now)):
            if not any(map(self._has_slot, self._group.pools_by_id.values())):
                return
            if ticket.future.done():
                continue
            pool = self._place(ticket)
            if pool is None:
                continue
            pool.running_count += 1
            self._waiting.remove(ticket)
            ticket.future.set_result(pool)

    def _place(self, ticket: Ticket) -> pool_module.TargetPool | None:
        """Return the target with a free slot that suits the ticket best."""
        if ticket.pinned is not None:
            return ticket.pinned if self._has_slot(ticket.pinned) else None
        choices = [
            pool
            for pool in self._eligible(ticket)
            if self._has_slot(pool)
            and pool.can_provide_connection(ticket.work.account)
        ]
        if not choices:
            return None
        account = ticket.work.account
        return min(choices, key=lambda each: self._cost(each, account))

    def _cost(self, pool: pool_module.TargetPool, account: str) -> float:
        is_primary = self._group.is_primary(pool)
        # A connection at the primary draws no reads to it that replicas can
        # serve.
        needs_opening = is_primary or not pool.has_idle(account)
        return policy.placement_cost(
            (pool.running_count + 1) / pool.target.slots,
            pool.statement_ms,
            pool.round_trip_ms,
            opening_ms=pool.opening_ms if needs_opening else 0.0,
            is_primary=is_primary,
            failing_share=pool.failing_share,
            is_flapping=pool.is_flapping,
        )

    def _has_slot(self, pool: pool_module.TargetPool) -> bool:
        return pool.running_count < policy.depth(
            pool.target.slots, pool.round_trip_ms, self.statement_ms
        )

    def _eligible(
        self, ticket: Ticket
    ) -> collections.abc.Iterator[pool_module.TargetPool]:
        now = self._clock.now()
        for pool in self._group.pools_by_id.values():
            if (
                not pool.is_down
                and now >= pool.avoid_until_ms
                and self._suits(ticket, pool)
            ):
                yield pool

    def _suits(self, ticket: Ticket, pool: pool_module.TargetPool) -> bool:
        """Tell whether a target may run a ticket once it has a slot."""
        target_id = pool.target.target_id
        is_primary = self._group.is_primary(pool)
        # A leaving primary is used until another one leads: nothing else can
        # take writes.
        if pool.target.is_draining and not is_primary:
            return False
        is_transaction = ticket.work.stage is work_module.Stage.OPEN
        if is_transaction and (
            pool.pinned_count
            >= max(1, pool.connection_limit - UNPINNED_CONNECTIONS)
        ):
            return False
        if is_primary:
            return True
        if ticket.needs_primary or target_id in ticket.avoided:
            return False
        floor = self.floor(ticket)
        return floor is not None and not pool.lacks_position(floor)

    def floor(self, ticket: Ticket) -> types.Position | None:
        """Return the position that a replica must have for the ticket."""
        needed_ms = (
            ticket.received_ms - ticket.work.max_age_ms + FRESHNESS_MARGIN_MS
        )
        floor = self._group.freshness.floor(needed_ms)
        own = ticket.work.session_position
        if floor is None or own is None:
            return floor
        if ticket.work.consistency is (
            catalog_module.Consistency.READ_YOUR_WRITES
        ):
            return max(floor, own)
        return floor

    def expected_wait_ms(
        self, ticket: Ticket, usable: list[pool_module.TargetPool]
    ) -> float:
        """Return how long a ticket will wait behind more urgent work."""
        now = self._clock.now()
        earlier = [
            each
            for each in self._waiting
            if each.order(now) < ticket.order(now)
        ]
        suited = [each for each in usable if self._suits(ticket, each)]
        primary = self._group.primary
        if primary is None or suited not in ([], [primary]):
            slots = sum(each.target.slots for each in suited or usable)
            return policy.expected_wait_ms(
                len(earlier), slots, self.statement_ms
            )
        # Other waiting work may go to the replicas.
        ticket.is_bound = True
        bound = sum(each.is_bound for each in earlier)
        return policy.expected_wait_ms(
            bound, primary.target.slots, primary.statement_ms
        )

    def longest_wait_ms(self, ticket: Ticket) -> float:
        """Return for how long a ticket may wait in all."""
        work = ticket.work
        primary = self._group.primary
        # A transaction that is open has no other target to go to.
        is_patient = ticket.pinned is not None or (
            ticket.needs_primary
            and (
                self._group.recovery_ms is not None
                or primary is None
                or primary.needs_probe
            )
        )
        return policy.longest_wait_ms(
            work.objective_ms, work.budget_ms, self.statement_ms, is_patient
        )

    def is_primary_expected(self, ticket: Ticket) -> bool:
        """Tell whether a primary will lead while the ticket can wait."""
        primary = self._group.primary
        if primary is not None and not primary.is_down:
            return True
        if self._group.recovery_ms is None:
            return False
        return self._group.recovery_ms + self.statement_ms < ticket.deadline_ms

    def review(self) -> None:
        """Refuse waiting work that no primary will serve in time.

        Other work may run on a target that was to be left out for a while.

        Answers the failure of a primary under load: callers learn at once
        that they should come back, instead of at their deadline.
        """
        for ticket in self._waiting:
            if ticket.needs_primary and not self.is_primary_expected(ticket):
                ticket.refusal = NO_PRIMARY
                ticket.future.cancel()
        for pool in self._group.pools_by_id.values():
            pool.decay_estimates(self.statement_ms)
        self.dispatch()

    def note_service(self, pool: pool_module.TargetPool, took_ms: int) -> None:
        """Note how long a target took for a statement."""
        self.statement_ms += pool_module.STATEMENT_SMOOTHING * (
            took_ms - self.statement_ms
        )
        pool.record_statement_served(took_ms)
