"""The queue of statements that wait for slots, and their placement."""

import asyncio
import collections.abc
import dataclasses
import enum
import heapq
import itertools

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import fair_queue
from samphirestand.gateway import group as group_module
from samphirestand.gateway import plain_queue
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand import host_options
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'NO_PRIMARY',
    'Cause',
    'Obstacle',
    'SlotQueue',
    'SlotRequest',
    'work_bytes',
]

NO_PRIMARY = 'the primary is being replaced'
QUEUE_FULL = 'too much work is waiting'

# An observed position of the primary must be newer by this much than the
# oldest state that a read accepts, since timers may fire late.
FRESHNESS_MARGIN_MS = 100

# Connections that transactions leave free for operations of one statement.
SINGLE_STATEMENT_CONNECTIONS = 2

# Requests that no free target could run are tried again whenever a slot
# becomes free if there are at most this many, otherwise at this interval and
# whenever evidence, registry or configuration change. Each is thus looked at
# once per target and interval, however many statements end meanwhile.
RECHECK_COUNT = 16
RECHECK_INTERVAL_MS = 20


# Work that only the primary can run is ordered as if this share of its
# objective were all: reads that replicas may run too would otherwise take the
# primary's slots from it. The rest is what keeps such reads from starving
# there while the replicas are behind.
PRIMARY_KEY_SHARE = 0.5


_Queue = fair_queue.FairQueue | plain_queue.PlainQueue
_Backlog = fair_queue.Backlog | plain_queue.KeyRanks


class Cause(enum.StrEnum):
    """Why work is refused; part of the names of counters."""

    ATTEMPTS = 'attempts'
    DISPLACED = 'displaced'
    DRAINING = 'draining'
    EVACUATED = 'evacuated'
    EXPECTED_WAIT = 'expected_wait'
    NO_PRIMARY = 'no_primary'
    NO_SLOT = 'no_slot'
    NO_TARGET = 'no_target'
    QUEUE_FULL = 'queue_full'
    UNSENT = 'unsent'


class Obstacle(enum.StrEnum):
    """Why a target can't run a request now, in words for operators."""

    AVOIDED = 'it refused work a moment ago'
    COLD = 'it is cold and has got its requests'
    DOWN = 'it does not answer'
    DRAINING = 'it is draining'
    EVACUATED = 'its zone is evacuated'
    LAGGING = 'its log lacks the position that is needed'
    NO_CONNECTION = 'all connections are in use'
    NO_EVIDENCE = 'no recent evidence that it is the primary'
    NO_POSITION = 'no recent log position of the primary is known'
    NO_SLOT = 'all slots are in use'
    NOT_PRIMARY = 'only the primary may run it'
    TRANSACTIONS = 'transactions use its connections'
    TRIED = 'it was tried before'


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
    weight: int = 1  # of its account
    urgency: int | None = None  # None until it is known
    refusal_reason: str = 'no slot in time'  # if the wait is cancelled
    refusal_cause: Cause = Cause.NO_SLOT
    displaced_by: str = ''  # the id of the request that came instead
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


class SlotQueue:
    """Assigns free slots to waiting statements, the most urgent first.

    Open transactions come first, since they occupy connections, and work
    whose objective has passed comes last. With ``fair_shares``, accounts get
    slots in proportion to their weights, and the work that goes last is
    refused as soon as not all can be served in time. Otherwise the order is
    that of ``policy.sort_key``, and newcomers are refused.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        group: group_module.TargetGroup,
        options: host_options.QueueOptions | None = None,
        *,
        fair_shares: bool = False,
    ) -> None:
        self._clock = clock
        self._group = group
        self._options = options or host_options.DEFAULTS.queue
        self.fair_shares = fair_shares
        self._entries: dict[SlotRequest, fair_queue.Entry] = {}
        self._sequence = itertools.count()
        # The first queue that has something to run on a target goes first.
        self._pinned = plain_queue.PlainQueue()
        self._late_pinned = plain_queue.PlainQueue()
        create_queue: type[_Queue] = plain_queue.PlainQueue
        create_backlog: type[_Backlog] = plain_queue.KeyRanks
        if fair_shares:
            create_queue = fair_queue.FairQueue
            create_backlog = fair_queue.Backlog
        self._in_time = create_queue()
        self._late = create_queue()
        self._queues: tuple[_Queue, ...] = (
            self._pinned,
            self._late_pinned,
            self._in_time,
            self._late,
        )
        # What only the primary can run, and the rest without transactions.
        self._primary_backlog = create_backlog()
        self._backlog = create_backlog()
        self._balance = fair_queue.UrgencyBalance()
        self._objective_ends: list[tuple[int, int, fair_queue.Entry]] = []
        self._placed_for: tuple[str, tuple[str, ...]] = ('', ())
        self._rechecked_ms = clock.now()
        self.waiting_bytes = 0
        self.statement_ms = pool_module.INITIAL_STATEMENT_MS

    def __len__(self) -> int:
        return len(self._entries)

    async def wait_for_slot(
        self, slot_request: SlotRequest
    ) -> pool_module.TargetPool | exceptions.Sentinel:
        """Wait for a slot and return the pool of its target.

        Returns a sentinel with the reason if it times out or is refused.
        """
        if slot_request.withdrawal.is_requested:
            return exceptions.Sentinel(work_module.WITHDRAWN_REASON)
        if not self._start_at_once(slot_request):
            self.enqueue(slot_request)
            self.assign_slots()
            if slot_request in self._entries:
                self._limit_waiting(slot_request)
        waited_ms = self._clock.now() - slot_request.received_ms
        remaining_ms = self.max_wait_ms(slot_request) - waited_ms
        timer = asyncio.get_running_loop().call_later(
            max(0.0, remaining_ms / 1000), self._end_wait, slot_request
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
            if slot_request in self._entries:
                self._remove(slot_request)

    def _start_at_once(self, slot_request: SlotRequest) -> bool:
        """Give a request a slot if nothing else waits; return whether it has.

        Most statements don't wait; this spares them the cost of the queue.
        With fair shares the queue counts what each account gets.
        """
        if self.fair_shares or self._entries:
            return False
        self._rechecked_ms = self._clock.now()
        if slot_request.needs_primary and not self.may_use_primary(
            slot_request
        ):
            return False
        pool = self._choose_target(slot_request, self._free_pools())
        if pool is None:
            return False
        pool.running_count += 1
        slot_request.future.set_result(pool)
        return True

    def enqueue(self, slot_request: SlotRequest) -> None:
        """Add a request; ``assign_slots`` gives it a slot."""
        work = slot_request.work
        is_fair = self.fair_shares and slot_request.pinned_pool is None
        objective_end_ms = slot_request.received_ms + work.objective_ms
        entry = fair_queue.Entry(
            slot_request,
            account=work.account if is_fair else '',
            weight=slot_request.weight if is_fair else 1,
            urgency=self._urgency(slot_request) if is_fair else 0,
            key=self._key(slot_request),
            sequence=next(self._sequence),
            resources=self._resources(slot_request),
            size=work_bytes(work),
        )
        self._entries[slot_request] = entry
        self.waiting_bytes += entry.size
        heapq.heappush(
            self._objective_ends, (objective_end_ms, entry.sequence, entry)
        )
        if slot_request.pinned_pool is not None:
            self._pinned.push(entry)
            return
        self._in_time.push(entry)
        self._backlog_of(slot_request).add(entry)

    def _key(self, slot_request: SlotRequest) -> int:
        """Return the key that orders requests of one urgency.

        With fair shares, work that only the primary can run goes earlier by
        a part of its objective: the other work has the replicas, too.
        """
        work = slot_request.work
        if not self.fair_shares:
            return policy.sort_key(
                slot_request.received_ms, work.objective_ms, work.priority
            )
        share = PRIMARY_KEY_SHARE if slot_request.needs_primary else 1
        return slot_request.received_ms + int(share * work.objective_ms)

    def urgency_of_next(self, slot_request: SlotRequest) -> int:
        """Return the class with which a request waits or would wait."""
        if slot_request.urgency is not None:
            return slot_request.urgency
        return self._balance.urgency_of_next(
            slot_request.work.account,
            fair_queue.clamp_urgency(slot_request.work.priority),
            slot_request.needs_primary,
        )

    def note_arrival(self, slot_request: SlotRequest) -> None:
        """Count a new request; with fair shares that decides its urgency."""
        if self.fair_shares:
            self._urgency(slot_request)

    def _urgency(self, slot_request: SlotRequest) -> int:
        """Return the class with which a request waits, 0 the most urgent."""
        if slot_request.urgency is None:
            slot_request.urgency = self._balance.record_arrival(
                slot_request.work.account,
                fair_queue.clamp_urgency(slot_request.work.priority),
                slot_request.needs_primary,
            )
        return slot_request.urgency

    def _remove(self, slot_request: SlotRequest) -> None:
        entry = self._entries.pop(slot_request)
        assert entry.queue is not None
        entry.queue.remove(entry)
        self._forget(entry)

    def _forget(self, entry: fair_queue.Entry) -> None:
        self.waiting_bytes -= entry.size
        if entry.item.pinned_pool is None:
            self._backlog_of(entry.item).remove(entry)
        # Heaps may hold the entry until its objective ends.
        entry.item = None

    def _backlog_of(self, slot_request: SlotRequest) -> _Backlog:
        is_primary_only = slot_request.is_primary_only or (
            self.fair_shares and slot_request.needs_primary
        )
        return self._primary_backlog if is_primary_only else self._backlog

    def _resources(self, slot_request: SlotRequest) -> frozenset[str]:
        """Return the ids of the targets that may run a request, by its kind.

        What may change while it waits is asked when a slot is free.
        """
        if slot_request.pinned_pool is not None:
            return frozenset((slot_request.pinned_pool.target.target_id,))
        primary_id, target_ids = self._placed_for
        if slot_request.needs_primary:
            return frozenset((primary_id,) if primary_id else ())
        return frozenset(
            each
            for each in target_ids
            if each == primary_id
            or each not in slot_request.avoided_target_ids
        )

    def _end_wait(self, slot_request: SlotRequest) -> None:
        """End a wait that has lasted as long as it may."""
        if slot_request in self._entries:
            self._refuse(slot_request)

    def _refuse(self, slot_request: SlotRequest) -> None:
        """Refuse a waiting request unless a target can run it now."""
        if slot_request.future.done():
            self._remove(slot_request)
            return
        if self.fair_shares:
            pool = self._choose_target(slot_request, self._free_pools())
            if pool is not None:
                self._start(self._entries[slot_request], pool)
                return
        self._remove(slot_request)
        slot_request.future.cancel()

    def _limit_waiting(self, newcomer: SlotRequest) -> None:
        """Refuse what goes last if it can't be in time behind the others.

        For overload that lasts: callers learn at once that they should retry.
        """
        if self.fair_shares and newcomer.pinned_pool is None:
            backlog = self._backlog_of(newcomer)
            while (last := backlog.last()) is not None:
                slot_request = last[1].item
                waited_ms = self._clock.now() - slot_request.received_ms
                wait_ms = self._backlog_wait_ms(backlog)
                if wait_ms + waited_ms <= self.max_wait_ms(slot_request):
                    break
                slot_request.refusal_reason = f'a wait of {wait_ms:.0f} ms'
                self._displace(slot_request, newcomer, Cause.DISPLACED)
        while self._is_over_limits(len(self), self.waiting_bytes):
            lasts = [
                each
                for each in (
                    self._backlog.last(),
                    self._primary_backlog.last(),
                )
                if each is not None
            ]
            if self.fair_shares and lasts:
                slot_request = min(lasts, key=lambda each: each[0])[1].item
            elif newcomer in self._entries and newcomer.pinned_pool is None:
                slot_request = newcomer
            else:
                # Transactions are bounded by their connections.
                return
            slot_request.refusal_reason = QUEUE_FULL
            self._displace(slot_request, newcomer, Cause.QUEUE_FULL)

    def _is_over_limits(self, count: int, size: int) -> bool:
        return (
            count > self._options.max_waiting
            or size > self._options.max_waiting_bytes
        )

    def has_room_for(self, work: work_module.Work) -> bool:
        """Tell whether one more statement may wait without displacing any."""
        return not self._is_over_limits(
            len(self) + 1, self.waiting_bytes + work_bytes(work)
        )

    def _displace(
        self, slot_request: SlotRequest, newcomer: SlotRequest, cause: Cause
    ) -> None:
        slot_request.refusal_cause = cause
        if slot_request is not newcomer:
            slot_request.displaced_by = newcomer.work.request_id
        self._refuse(slot_request)

    def _backlog_wait_ms(self, backlog: _Backlog) -> float:
        """Return the expected wait in ms of a backlog's last request."""
        primary = self._group.primary
        pools = self._group.pools_by_id.values()
        if backlog is self._primary_backlog and primary is not None:
            return policy.expected_wait_ms(
                len(backlog) - 1, primary.slots, primary.statement_ms
            )
        pinned_count = len(self._pinned) + len(self._late_pinned)
        all_count = len(self) - 1
        all_ms = policy.expected_wait_ms(
            all_count,
            sum(each.slots for each in pools),
            self.statement_ms,
        )
        # Replicas needn't wait for what only the primary can run.
        replica_ms = policy.expected_wait_ms(
            all_count - len(self._primary_backlog),
            sum(each.slots for each in pools if each is not primary),
            self.statement_ms,
        )
        return min(all_ms, replica_ms) if pinned_count < all_count else all_ms

    def account_waiting(self, account: str) -> int:
        """Return how many requests of an account wait, if that is counted."""
        return self._backlog.account_count(account) + (
            self._primary_backlog.account_count(account)
        )

    def release_slot(self, pool: pool_module.TargetPool) -> None:
        pool.running_count -= 1
        self.assign_slots()

    def _free_pools(self) -> list[pool_module.TargetPool]:
        return [
            each
            for each in self._group.pools_by_id.values()
            if self._full_reason(each) is None
        ]

    def recheck_all(self) -> None:
        """Assign slots after a change that requests were set aside for.

        For new evidence, a new primary or a new registry.
        """
        self._rechecked_ms = self._clock.now() - RECHECK_INTERVAL_MS
        self.assign_slots()

    def assign_slots(self) -> None:
        """Assign free slots to waiting statements, the most urgent first.

        Called whenever a slot becomes free. Under overload most of the
        waiting statements need a target that is full, so only those are
        looked at that may run on a target with a slot.
        """
        if not self._entries:
            return
        free_pools = self._free_pools()
        if not free_pools:
            return
        now = self._clock.now()
        self._place_for_targets()
        self._move_late(now)
        self._recheck_blocked(now)
        for queue in self._queues:
            if queue:
                free_pools = self._assign_from(queue, free_pools)

    def _place_for_targets(self) -> None:
        """Let requests wait for the targets that the group has now."""
        primary = self._group.primary
        placed_for = (
            primary.target.target_id if primary is not None else '',
            tuple(self._group.pools_by_id),
        )
        if placed_for == self._placed_for:
            return
        self._placed_for = placed_for
        for slot_request, entry in self._entries.items():
            queue = entry.queue
            assert queue is not None
            queue.remove(entry)
            entry.resources = self._resources(slot_request)
            queue.push(entry)

    def move_late(self) -> None:
        """Put requests whose objective has passed behind the others."""
        self._move_late(self._clock.now())

    def _move_late(self, now: int) -> None:
        while self._objective_ends and self._objective_ends[0][0] < now:
            _, _, entry = heapq.heappop(self._objective_ends)
            if entry.queue is None:
                continue
            is_pinned = entry.queue is self._pinned
            entry.queue.remove(entry)
            if is_pinned:
                self._late_pinned.push(entry)
                continue
            backlog = self._backlog_of(entry.item)
            backlog.remove(entry)
            entry.is_late = True
            backlog.add(entry)
            self._late.push(entry)

    def _recheck_blocked(self, now: int) -> None:
        blocked_count = sum(each.blocked_count for each in self._queues)
        if (
            blocked_count > RECHECK_COUNT
            and now - self._rechecked_ms < RECHECK_INTERVAL_MS
        ):
            return
        self._rechecked_ms = now
        if blocked_count:
            for each in self._queues:
                each.unblock()

    def _assign_from(
        self,
        queue: _Queue,
        free_pools: list[pool_module.TargetPool],
    ) -> list[pool_module.TargetPool]:
        """Assign slots to requests of one queue; return what is left free.

        A request that no free target can run now is set aside for these
        targets, so that it delays none of those behind it.
        """
        unusable_ids = {
            each.target.target_id
            for each in free_pools
            if not self._is_usable(each, queue)
        }
        while free_pools:
            entries = [
                entry
                for pool in free_pools
                if pool.target.target_id not in unusable_ids
                and (entry := queue.best(pool.target.target_id)) is not None
            ]
            if not entries:
                break
            entry = min(entries, key=lambda each: each.rank)
            if entry.item.future.done():
                # Cancelled a moment ago; its task hasn't run since.
                self._remove(entry.item)
                continue
            pool = self._choose_target(entry.item, free_pools)
            if pool is None:
                queue.block(
                    entry,
                    frozenset(each.target.target_id for each in free_pools),
                )
                continue
            self._start(entry, pool)
            if self._full_reason(pool) is not None:
                free_pools = [each for each in free_pools if each is not pool]
        return free_pools

    def _is_usable(self, pool: pool_module.TargetPool, queue: _Queue) -> bool:
        """Tell whether a target with a slot can run anything of a queue.

        Asked once for all requests, unlike ``_can_run``. The connections
        of a target are shared by all accounts.
        """
        if queue in (self._pinned, self._late_pinned):
            return True
        return (
            not pool.is_down
            and pool.may_start(self._group.is_primary(pool))
            and self._clock.now() >= pool.avoid_until_ms
            and pool.can_provide_connection('')
        )

    def _start(
        self, entry: fair_queue.Entry, pool: pool_module.TargetPool
    ) -> None:
        slot_request = entry.item
        assert entry.queue is not None
        pool.running_count += 1
        entry.queue.take(entry, pool.target.target_id)
        del self._entries[slot_request]
        self._forget(entry)
        if slot_request.urgency is not None and not slot_request.attempts:
            self._balance.record_served(
                slot_request.work.account,
                fair_queue.clamp_urgency(slot_request.work.priority),
                slot_request.needs_primary,
            )
        slot_request.future.set_result(pool)

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
                if self._pause_reason(each) is None
                and self._can_run(slot_request, each)
                and each.can_provide_connection(account)
            ),
            key=lambda each: self.placement_cost(each, account),
            default=None,
        )

    def placement_cost(
        self, pool: pool_module.TargetPool, account: str
    ) -> float:
        """Return the expected time in ms of a statement on a target."""
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

    def _full_reason(self, pool: pool_module.TargetPool) -> Obstacle | None:
        """Return why a target has no slot; None if it has one."""
        if pool.limits and not pool.may_continue:
            return _closed(pool)
        if pool.warmup.bound and not pool.warmup.may_start(
            self._clock.now(), pool.running_count
        ):
            return Obstacle.COLD
        has_slot = pool.running_count < policy.max_running(
            pool.slots, pool.round_trip_ms, self.statement_ms
        )
        return None if has_slot else Obstacle.NO_SLOT

    def _pause_reason(self, pool: pool_module.TargetPool) -> Obstacle | None:
        """Return why nothing is sent to a target for now, or None."""
        if pool.is_down:
            return Obstacle.DOWN
        if self._clock.now() < pool.avoid_until_ms:
            return Obstacle.AVOIDED
        return None

    def obstacle(
        self, slot_request: SlotRequest, pool: pool_module.TargetPool
    ) -> Obstacle | None:
        """Return why a target can't run a request now; None if it can."""
        found = (
            self._pause_reason(pool)
            or self._unsuitable_reason(slot_request, pool)
            or self._full_reason(pool)
        )
        if found is None and not pool.can_provide_connection(
            slot_request.work.account
        ):
            return Obstacle.NO_CONNECTION
        return found

    def _can_run(
        self, slot_request: SlotRequest, pool: pool_module.TargetPool
    ) -> bool:
        """Tell whether a target may run the statement once it has a slot."""
        return self._unsuitable_reason(slot_request, pool) is None

    def _unsuitable_reason(
        self, slot_request: SlotRequest, pool: pool_module.TargetPool
    ) -> Obstacle | None:
        """Return why a target may not run the statement; None if it may."""
        target_id = pool.target.target_id
        is_primary = self._group.is_primary(pool)
        if pool.limits and not pool.may_start(is_primary):
            return _closed(pool)
        # A draining primary is used until a replica is promoted: no other
        # target accepts writes.
        if pool.target.is_draining and not is_primary:
            return Obstacle.DRAINING
        is_transaction = slot_request.work.stage is work_module.Stage.OPEN
        if is_transaction and (
            pool.pinned_count
            >= max(1, pool.connection_limit - SINGLE_STATEMENT_CONNECTIONS)
        ):
            return Obstacle.TRANSACTIONS
        if is_primary:
            may_use = self.may_use_primary(slot_request)
            return None if may_use else Obstacle.NO_EVIDENCE
        if slot_request.needs_primary:
            return Obstacle.NOT_PRIMARY
        if target_id in slot_request.avoided_target_ids:
            return Obstacle.TRIED
        minimum_position = self.minimum_position(slot_request)
        if minimum_position is None:
            return Obstacle.NO_POSITION
        is_lagging = pool.lacks_position(minimum_position)
        return Obstacle.LAGGING if is_lagging else None

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
            for each in self._entries
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
        """Return the expected wait in ms behind more urgent requests.

        Work whose objective has passed counts until ``move_late``.
        """
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
            ahead = self._count_ahead(
                slot_request,
                (self._backlog, self._primary_backlog),
                suitable_pools or reachable_pools,
            )
            pinned_count = len(self._pinned) + len(self._late_pinned)
            return policy.expected_wait_ms(
                pinned_count + ahead, slots, self.statement_ms
            )
        # Only requests that the primary alone can run delay this one: the
        # replicas may take the rest.
        slot_request.is_primary_only = True
        ahead = self._count_ahead(
            slot_request, (self._primary_backlog,), [primary]
        )
        return policy.expected_wait_ms(
            ahead, primary.slots, primary.statement_ms
        )

    def _count_ahead(
        self,
        slot_request: SlotRequest,
        backlogs: collections.abc.Iterable[_Backlog],
        pools: list[pool_module.TargetPool],
    ) -> int:
        """Return how many requests of backlogs go before a new one.

        That is what precedes it by urgency and objective. With fair shares,
        an account also waits for no more than everyone's share while its own
        earlier requests are served.
        """
        if not self.fair_shares and not self._entries:
            return 0
        work = slot_request.work
        key = self._key(slot_request)
        if not self.fair_shares:
            return sum(each.ahead(0, key) for each in backlogs)
        urgency = self.urgency_of_next(slot_request)
        ahead = own_ahead = 0
        for each in backlogs:
            ahead += each.ahead(urgency, key)
            own_ahead += each.own_ahead(work.account, urgency)
        total_weight = max(
            (
                self._in_time.total_weight(each.target.target_id)
                for each in pools
            ),
            default=0,
        )
        return min(
            ahead,
            int(
                fair_queue.share_bound(
                    own_ahead, slot_request.weight, total_weight
                )
            ),
        )

    def count_ahead(self, slot_request: SlotRequest) -> int:
        """Return how many waiting requests go before a refused one."""
        return self._count_ahead(
            slot_request,
            (self._backlog, self._primary_backlog),
            list(self._group.pools_by_id.values()),
        )

    def can_start(self, slot_request: SlotRequest) -> bool:
        """Tell whether a target has a slot for a request now."""
        return bool(self.preferred_target(slot_request))

    def preferred_target(
        self, slot_request: SlotRequest
    ) -> pool_module.TargetPool | None:
        """Return the target that would get a request now, or None."""
        return self._choose_target(slot_request, self._free_pools())

    def waiting_for(self, target_id: str) -> int:
        """Return how many waiting requests a target may run, by their kind."""
        return sum(
            target_id in entry.resources for entry in self._entries.values()
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
        if (
            primary is not None
            and not primary.is_down
            and (not primary.limits or primary.may_start(is_primary=True))
        ):
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
        primary = self._group.primary
        if (
            primary is None
            or primary.is_down
            or any(each.limits for each in self._group.pools_by_id.values())
        ):
            for slot_request in list(self._entries):
                self._refuse_if_hopeless(slot_request)
        for pool in self._group.pools_by_id.values():
            pool.decay_estimates(self.statement_ms)
            if pool.limit is not None:
                pool.limit.review()
        self.assign_slots()

    def _refuse_if_hopeless(self, slot_request: SlotRequest) -> None:
        """Refuse a request that no target will run in time."""
        closure = self._group.closure(
            slot_request.needs_primary, slot_request.pinned_pool
        )
        if slot_request.needs_primary and self.is_primary_expected(
            slot_request
        ):
            return
        if closure is not None:
            slot_request.refusal_reason = closure.reason
            slot_request.refusal_cause = closure_cause(closure)
        elif slot_request.needs_primary:
            slot_request.refusal_reason = NO_PRIMARY
            slot_request.refusal_cause = Cause.NO_PRIMARY
        else:
            return
        self._remove(slot_request)
        slot_request.future.cancel()

    def record_statement_time(
        self, pool: pool_module.TargetPool, took_ms: int
    ) -> None:
        """Record how long a target took for a successful statement."""
        self.statement_ms += pool_module.STATEMENT_SMOOTHING * (
            took_ms - self.statement_ms
        )
        pool.record_statement_served(took_ms)


def closure_cause(closure: group_module.Closure) -> Cause:
    """Return the cause for work that no target may get."""
    return Cause.EVACUATED if closure.is_evacuated else Cause.DRAINING


def work_bytes(work: work_module.Work) -> int:
    """Return how many bytes the texts of a statement have."""
    return sum(
        len(each) if each.isascii() else len(each.encode())
        for each in (
            work.text,
            work.begin_text,
            work.arguments,
            *itertools.chain.from_iterable(work.values),
        )
    )


def _closed(pool: pool_module.TargetPool) -> Obstacle:
    """Return why a target gets no requests any more."""
    if pool.zone_limit is not None:
        return Obstacle.EVACUATED
    return Obstacle.DRAINING
