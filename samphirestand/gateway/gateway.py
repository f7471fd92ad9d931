"""The gateway of one service: runs its statements on its targets."""

import asyncio
import collections.abc
import dataclasses
import random

from samphirestand import background
from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import watch
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import evacuation
from samphirestand.gateway import fair_queue
from samphirestand.gateway import group as group_module
from samphirestand.gateway import leadership as leadership_module
from samphirestand.gateway import policy
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import replies
from samphirestand.gateway import retries
from samphirestand.gateway import slot_queue
from samphirestand.gateway import transactions
from samphirestand.gateway import warmup
from samphirestand import host_options
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.platform import wire
from samphirestand import work as work_module

__all__ = ['NO_PRIMARY_RETRY_MS', 'Refusal', 'ServiceGateway']

# The limit of attempts for a statement of which no target kept any effect.
MAX_ATTEMPTS = 6

# A target that answered that it is full gets no new work for this long.
FULL_TARGET_PAUSE_MS = 30

# A target that refused a session or could not be reached gets no new work
# for this long.
FAILED_TARGET_PAUSE_MS = 200

# The retry delay for callers whose service has no primary: replacing it takes
# about two seconds, and callers give up after a second or two.
NO_PRIMARY_RETRY_MS = 400

# A read is tried on another target after this share of its operation's
# objective without an answer, but not before this multiple of the average
# statement time: slow targets must not get each read twice.
READ_TIMEOUT_OBJECTIVE_SHARE = 0.6
READ_TIMEOUT_STATEMENTS = 8

# One attempt for each replica of a service with three targets; the primary
# comes last.
MAX_SHORT_TIMEOUT_ATTEMPTS = 2

# How long a target may take to answer with its status when evidence for the
# primary is needed, and the delay before the targets are asked again.
EVIDENCE_TIMEOUT_MS = 250
EVIDENCE_RETRY_MS = 50

# How long the store may take to tell which orders may still be carried out,
# and how often it is asked while that isn't known to be none. A degraded store
# takes 400 ms, and nothing is done without its answer.
ORDERS_TIMEOUT_MS = 700
ORDERS_RETRY_MS = 500

# A target's limit is logged when it has changed by more than this share, but
# not more often than this.
LOGGED_LIMIT_CHANGE = 0.25
LIMIT_LOG_INTERVAL_MS = 1_000

# Codes of errors after which the target kept no effect of the statement, so
# that it can safely be tried again.
RETRYABLE_CODES = frozenset(
    ('BUSY', 'LAGGING', 'READONLY', 'WRONGNODE', 'TOOMANY', 'NOSTMT')
)

# Gauges of what waits, each followed by the name of the service.
QUEUE_GAUGES = ('queue_waiting', 'queue_waiting_bytes')

_log = log.get_logger(__name__)

# Returns the targets of a service for which an order to promote them may still
# be carried out; raises ``PlatformError``.
OrderedIdsReader = collections.abc.Callable[
    [str], collections.abc.Awaitable[frozenset[str]]
]

# Returns for which terms, and until when, an earlier gateway of the service
# knew that nothing could replace the primary.
SolePrimaryReader = collections.abc.Callable[
    [], collections.abc.Iterable[tuple[int, int]]
]

# The outcome of an attempt that may be followed by another attempt.
Retry = exceptions.Sentinel


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why new work is refused.

    ``wait_ms`` is what it would wait; None for what all waiting work takes.
    """

    reason: str
    cause: slot_queue.Cause
    wait_ms: float | None = None


class ServiceGateway:
    """Runs the statements of one service on its targets."""

    def __init__(
        self,
        service: str,
        clock: clock_module.Clock,
        generator: random.Random,
        targets: watch.TargetWatch,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
        metrics: metrics_module.Metrics,
        read_ordered_ids: OrderedIdsReader | None = None,
        read_sole_primary: SolePrimaryReader = lambda: (),
        zones: evacuation.ZoneView | None = None,
        cold_rules: warmup.ColdRules | None = None,
        queue_options: host_options.QueueOptions | None = None,
        *,
        fair_shares: bool = False,
        adaptive_limits: bool = True,
        drain_ms: int | None = None,
    ) -> None:
        self.service = service
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self._catalog = catalog
        self.group = group_module.TargetGroup(
            service,
            clock,
            targets,
            catalog,
            zones,
            cold_rules,
            adaptive_limits=adaptive_limits,
            drain_ms=drain_ms,
        )
        self._queue = slot_queue.SlotQueue(
            clock, self.group, queue_options, fair_shares=fair_shares
        )
        self._retry_budget = retries.RetryBudget(clock.now())
        self._retry_schedule = retries.RetrySchedule(clock.now())
        self._transactions = transactions.GatewayTransactions(
            clock, self.group, self._queue
        )
        self._background = background.Background()
        self._evidence_task: asyncio.Task[None] | None = None
        self._read_ordered_ids = read_ordered_ids
        self._read_sole_primary = read_sole_primary
        self._orders_read_ms: int | None = None
        self._orders_leadership: leadership_module.Leadership | None = None
        # Set while an order may still make another target the primary.
        self.awaits_orders = False
        self._left_target_ids: set[str] = set()
        # The limit of each target that was logged last, and when.
        self._reported_by_id: dict[str, tuple[int, int]] = {}
        self.last_used_ms = clock.now()
        self.last_bounded_read_ms = 0  # of a read that replicas may run
        self.refresh()

    @property
    def queue(self) -> slot_queue.SlotQueue:
        return self._queue

    @property
    def is_idle(self) -> bool:
        """Tell whether no statement or transaction is running or waiting."""
        return (
            not self._queue
            and not self._transactions
            and not any(
                each.running_count for each in self.group.pools_by_id.values()
            )
        )

    def refresh(self) -> None:
        """Adopt the current registry and configuration; assign free slots."""
        self.group.refresh()
        self._queue.recheck_all()

    def leave_closed_targets(self) -> None:
        """End what may not go on at targets that drain or are evacuated.

        Open transactions end when nothing may be sent any more; a running
        statement still gets its answer until the connections are reset.
        """
        now = self._clock.now()
        self._transactions.end_closed()
        for target_id, pool in self.group.pools_by_id.items():
            limits = pool.limits
            if not limits:
                self._left_target_ids.discard(target_id)
                continue
            if now >= min(each.resets_ms for each in limits):
                pool.reset_connections()
            elif now >= min(each.closes_ms for each in limits):
                pool.close_idle_connections(0)
            is_left = not pool.may_start(self.group.is_primary(pool)) and not (
                pool.running_count or pool.pinned_count
            )
            if is_left and target_id not in self._left_target_ids:
                self._left_target_ids.add(target_id)
                self._log_left(pool)

    def _log_left(self, pool: pool_module.TargetPool) -> None:
        """Log that nothing runs or is sent at a target any more."""
        now = self._clock.now()
        # A primary that could not be replaced in time stays the primary.
        is_primary = self.group.is_primary(pool)
        if pool.zone_limit is not None:
            _log.warning(
                'evacuation_target_left',
                service=self.service,
                target=pool.target.target_id,
                zone=pool.zone_limit.zone,
                after_ms=now - pool.zone_limit.since_ms,
                decided_by='no lost commit' if is_primary else 'evacuation',
            )
        elif pool.drain_limit is not None:
            _log.warning(
                'draining_target_left',
                service=self.service,
                target=pool.target.target_id,
                after_ms=now - pool.drain_limit.since_ms,
                decided_by='no lost commit' if is_primary else 'drain',
            )

    def review_waiting(self) -> None:
        """Refuse waiting work that can't be in time; start what can run."""
        self._queue.review_requests()
        for name, value in zip(
            QUEUE_GAUGES,
            (len(self._queue), self._queue.waiting_bytes),
            strict=True,
        ):
            self._metrics.set_gauge(f'{name}_{self.service}', value)
        self._report_limits()

    def _report_limits(self) -> None:
        """Show the limit of each target; log changes by over a quarter."""
        now = self._clock.now()
        pools_by_id = self.group.pools_by_id
        for target_id in self._reported_by_id.keys() - pools_by_id.keys():
            self._remove_limit_gauge(target_id)
        for target_id, pool in pools_by_id.items():
            limit = pool.settled_slots
            self._metrics.set_gauge(_limit_gauge(target_id), limit)
            earlier, logged_ms = self._reported_by_id.setdefault(
                target_id, (limit, now - LIMIT_LOG_INTERVAL_MS)
            )
            if (
                abs(limit - earlier) <= LOGGED_LIMIT_CHANGE * earlier
                or now - logged_ms < LIMIT_LOG_INTERVAL_MS
            ):
                continue
            self._reported_by_id[target_id] = limit, now
            _log.info(
                'target_limit_changed',
                service=self.service,
                target=target_id,
                limit=limit,
                earlier=earlier,
                slots=pool.target.slots,
                statement_ms=round(pool.statement_ms),
                running=pool.running_count,
            )

    def _remove_limit_gauge(self, target_id: str) -> None:
        self._reported_by_id.pop(target_id, None)
        self._metrics.remove_gauge(_limit_gauge(target_id))

    async def roll_back_abandoned(self, entry_host: str, number: int) -> None:
        """Roll back a transaction whose caller has disconnected."""
        await self._transactions.roll_back_abandoned(entry_host, number)

    async def roll_back_idle(self, max_idle_ms: int) -> None:
        """Roll back transactions that their entry host has given up."""
        await self._transactions.roll_back_idle(max_idle_ms)

    async def roll_back_all_abandoned(self, entry_host: str) -> None:
        """Roll back all transactions of an entry host that disconnected."""
        await self._transactions.roll_back_all_abandoned(entry_host)

    def close(self) -> None:
        """Close all connections to targets."""
        if self._evidence_task is not None:
            self._evidence_task.cancel()
        for target_id in list(self._reported_by_id):
            self._remove_limit_gauge(target_id)
        for name in QUEUE_GAUGES:
            self._metrics.remove_gauge(f'{name}_{self.service}')
        self._background.cancel()
        self.group.close()

    def request_evidence(self) -> asyncio.Task[None]:
        """Start to ask for evidence for the primary, unless that is running.

        Returns the task, which ends when no waiting request lacks evidence.
        """
        if self._evidence_task is None or self._evidence_task.done():
            self._evidence_task = asyncio.create_task(self._gather_evidence())
        return self._evidence_task

    async def _gather_evidence(self) -> None:
        while True:
            await self._ask_for_evidence()
            self._queue.recheck_all()
            if not self._queue.lacks_evidence:
                return
            await self._clock.sleep(EVIDENCE_RETRY_MS)

    async def _ask_for_evidence(self) -> None:
        """Ask other targets whether the primary may have been replaced.

        One answer is enough where a replica confirms each commit, since a
        promotion then waits for all replicas to be paused. Elsewhere replicas
        that don't answer aren't waited for, so all must answer here.
        """
        group = self.group
        leadership = group.leadership
        primary = group.primary
        if primary is None or not primary.may_start(is_primary=True):
            return
        if leadership.term is None:
            await self._ask_for_term(leadership, primary)
        if leadership.term is None or group.leadership is not leadership:
            return
        sent_ms = self._clock.now()
        other_pools = sorted(
            (each for each in group.pools_by_id.values() if each != primary),
            key=lambda each: (
                bool(each.limits),
                # Commands leave less to the statements of a cold target.
                each.warmup.limit(sent_ms) is not None,
                each.needs_probe,
                each.round_trip_ms,
            ),
        )
        if not other_pools:
            if group.is_complete and await self._is_free_of_orders(
                leadership, sent_ms
            ):
                leadership.confirm(sent_ms)
            return
        newest_term = leadership.term
        first_count = 1 if group.is_synchronous else len(other_pools)
        for pools in (other_pools[:first_count], other_pools[first_count:]):
            sent_ms = self._clock.now()
            statuses = await asyncio.gather(
                *(
                    each.run_command(wire.STATUS, EVIDENCE_TIMEOUT_MS)
                    for each in pools
                )
            )
            if group.leadership is not leadership:
                return
            verdicts = [
                None
                if isinstance(status, exceptions.Sentinel)
                else leadership_module.judge_replica(status, leadership.term)
                for status in statuses
            ]
            if await self._apply_verdicts(primary, pools, verdicts, sent_ms):
                return
            terms = [
                each.term
                for each in statuses
                if not isinstance(each, exceptions.Sentinel)
            ]
            newest_term = max([newest_term, *terms])
        if newest_term > leadership.term:
            await self._follow_same_primary(leadership, primary, newest_term)

    async def _ask_for_term(
        self,
        leadership: leadership_module.Leadership,
        primary: pool_module.TargetPool,
    ) -> None:
        """Ask the primary in which term it leads."""
        status = await primary.run_command(wire.STATUS, EVIDENCE_TIMEOUT_MS)
        if self.group.leadership is not leadership:
            return
        if isinstance(status, exceptions.Sentinel):
            _log.info(
                'primary_term_unknown',
                service=self.service,
                target=leadership.target_id,
                reason=status.reason,
            )
            primary.record_failure()
            return
        if not status.is_primary:
            self.group.mark_not_primary(primary)
            return
        leadership.term = status.term

    async def _apply_verdicts(
        self,
        primary: pool_module.TargetPool,
        pools: list[pool_module.TargetPool],
        verdicts: list[leadership_module.Verdict | None],
        sent_ms: int,
    ) -> bool:
        """Record what replicas said; return whether that is conclusive."""
        leadership = self.group.leadership
        confirmed_count = 0
        later_term = 0
        for pool, verdict in zip(pools, verdicts, strict=True):
            match verdict:
                case leadership_module.Superseded(term, is_primary):
                    later_term = max(later_term, term)
                    if is_primary:
                        self._follow_later_primary(primary, pool, term)
                        return True
                case leadership_module.Suspended():
                    if not leadership.is_suspended:
                        _log.warning(
                            'primary_suspended',
                            service=self.service,
                            target=leadership.target_id,
                            replica=pool.target.target_id,
                        )
                    leadership.suspend()
                case leadership_module.Confirmed():
                    confirmed_count += 1
        if later_term:
            # Another target tells which one is the primary of that term.
            leadership.suspend()
            return False
        needed_count = 1 if self.group.is_synchronous else len(pools)
        if pools and confirmed_count >= needed_count:
            if await self._is_free_of_orders(leadership, sent_ms):
                leadership.confirm(sent_ms)
            return True
        return False

    async def _follow_same_primary(
        self,
        leadership: leadership_module.Leadership,
        primary: pool_module.TargetPool,
        later_term: int,
    ) -> None:
        """Adopt a later term if the primary itself leads in it.

        The platform may carry out two orders for the same target. The term
        says only that no other target leads in it: evidence is gathered anew.
        """
        status = await primary.run_command(wire.STATUS, EVIDENCE_TIMEOUT_MS)
        if (
            self.group.leadership is leadership
            and not isinstance(status, exceptions.Sentinel)
            and status.is_primary
            and status.term >= later_term
        ):
            self.group.set_primary(
                primary.target.target_id, 'status', status.term
            )

    def note_orders_settled(self) -> None:
        """Ask the store again before the next use of the primary."""
        self.awaits_orders = False
        self._orders_read_ms = None

    def _is_handed_over(
        self, leadership: leadership_module.Leadership, sent_ms: int
    ) -> bool:
        """Tell whether an earlier gateway knew until just now of no order.

        A replica that was asked at ``sent_ms`` wasn't paused, and neither was
        one when the earlier gateway asked. An order follows the last pause by
        ``policy.PROMOTION_DELAY_MS``, so none was sent in between if that took
        less.
        """
        return not leadership.is_suspended and any(
            term == leadership.term
            and sent_ms - until_ms < policy.PROMOTION_DELAY_MS
            for until_ms, term in self._read_sole_primary()
        )

    async def _is_free_of_orders(
        self, leadership: leadership_module.Leadership, sent_ms: int
    ) -> bool:
        """Tell whether no order can make another target the primary.

        Asks the store when a leadership is new or was suspended: whoever
        sends an order has recorded it there before and has paused all
        replicas, but a replica that restarts is no longer paused. Without an
        answer of the store the primary isn't used, unless the earlier gateway
        has handed it over.
        """
        if self._read_ordered_ids is None or leadership.is_free_of_orders:
            return True
        if self._is_handed_over(leadership, sent_ms):
            leadership.is_free_of_orders = True
            return True
        now = self._clock.now()
        if (
            self._orders_read_ms is not None
            and now - self._orders_read_ms < ORDERS_RETRY_MS
            and leadership is self._orders_leadership
        ):
            return False
        self._orders_read_ms = now
        self._orders_leadership = leadership
        suspension_count = leadership.suspension_count
        try:
            async with asyncio.timeout(ORDERS_TIMEOUT_MS / 1000):
                ordered_ids = await self._read_ordered_ids(self.service)
        except (exceptions.PlatformError, TimeoutError) as error:
            _log.warning(
                'orders_unknown',
                service=self.service,
                target=leadership.target_id,
                suspended=leadership.is_suspended,
                reason=str(error) or 'no answer in time',
            )
            return False
        others = ordered_ids - {leadership.target_id}
        self.awaits_orders = bool(others)
        if others:
            _log.warning(
                'primary_awaits_orders',
                service=self.service,
                target=leadership.target_id,
                ordered=sorted(others),
            )
            leadership.suspend()
            return False
        if leadership.suspension_count != suspension_count:
            # A replacement has begun meanwhile.
            return False
        leadership.is_free_of_orders = True
        return True

    def _follow_later_primary(
        self,
        earlier: pool_module.TargetPool,
        later: pool_module.TargetPool,
        term: int,
    ) -> None:
        """Use the primary of a later term and stop the earlier one."""
        self.group.set_primary(later.target.target_id, 'status', term)
        self._background.spawn(self.step_down(earlier, term))

    async def step_down(self, pool: pool_module.TargetPool, term: int) -> bool:
        """Tell a former primary that ``term`` has another one.

        Returns whether it is now known not to be the primary.
        """
        status = await pool.run_command(
            wire.step_down_text(term), EVIDENCE_TIMEOUT_MS
        )
        is_done = (
            not isinstance(status, exceptions.Sentinel)
            and not status.is_primary
        )
        _log.info(
            'primary_stepped_down' if is_done else 'step_down_failed',
            service=self.service,
            target=pool.target.target_id,
            term=term,
            answer=str(status),
        )
        return is_done

    async def run(
        self,
        entry_host: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal | None = None,
    ) -> work_module.Outcome:
        """Run one statement that ``entry_host`` received from a caller."""
        self.last_used_ms = self._clock.now()
        withdrawal = withdrawal or work_module.Withdrawal()
        match work.stage:
            case work_module.Stage.SINGLE | work_module.Stage.OPEN:
                return await self._run_first_statement(
                    entry_host, work, withdrawal
                )
            case _:
                return await self._transactions.run_statement(
                    entry_host, work, withdrawal
                )

    async def _run_first_statement(
        self,
        entry_host: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal,
    ) -> work_module.Outcome:
        now = self._clock.now()
        slot_request = self.build_request(work)
        slot_request.withdrawal = withdrawal
        needs_primary = slot_request.needs_primary
        if not needs_primary:
            self.last_bounded_read_ms = now
        if self._queue.fair_shares:
            self._retry_budget.record_statement(now)
        refusal = self._admission_refusal(slot_request)
        if refusal is not None:
            return refusal
        leadership = self.group.leadership
        if leadership.needs_refresh(now) and (
            needs_primary or not leadership.is_confirmed
        ):
            self.request_evidence()
        while True:
            outcome = await self._attempt_on_target(entry_host, slot_request)
            if not isinstance(outcome, Retry):
                return outcome
            slot_request.attempts += 1
            slot_request.last_retry_reason = outcome.reason
            if slot_request.attempts >= MAX_ATTEMPTS or not (
                self._may_retry()
            ):
                return self._refuse(
                    slot_request, outcome.reason, slot_queue.Cause.ATTEMPTS
                )
            slot_request.future = asyncio.get_running_loop().create_future()

    def _may_retry(self) -> bool:
        """Tell whether another attempt may be added to the load.

        Where nothing waits, an attempt delays no other work.
        """
        if not self._queue.fair_shares or not self._queue:
            return True
        if self._retry_budget.take(self._clock.now()):
            return True
        self._metrics.count('retry_budget_exhausted')
        return False

    def build_request(self, work: work_module.Work) -> slot_queue.SlotRequest:
        """Return the request with which work that arrives now would wait."""
        needs_primary = (
            work.writes
            or work.consistency is catalog_module.Consistency.PRIMARY
            or (work.stage is work_module.Stage.OPEN and not work.read_only)
        )
        slot_request = slot_queue.SlotRequest(
            work,
            self._clock.now(),
            needs_primary,
            asyncio.get_running_loop().create_future(),
        )
        if self._queue.fair_shares:
            account = self._catalog().accounts_by_name.get(work.account)
            if account is not None:
                slot_request.weight = account.weight
        return slot_request

    def _admission_refusal(
        self, slot_request: slot_queue.SlotRequest
    ) -> work_module.Refused | None:
        reachable_pools = self.group.reachable_pools()
        refusal = self._find_unavailable(slot_request, reachable_pools)
        if refusal is None:
            self._queue.move_late()
            self._queue.note_arrival(slot_request)
            refusal = self._find_overload(slot_request, reachable_pools)
        if refusal is None:
            return None
        return self._refuse(
            slot_request, refusal.reason, refusal.cause, refusal.wait_ms
        )

    def find_refusal(
        self, slot_request: slot_queue.SlotRequest
    ) -> Refusal | None:
        """Return why a new request is refused at once; None if it isn't."""
        reachable_pools = self.group.reachable_pools()
        return self._find_unavailable(
            slot_request, reachable_pools
        ) or self._find_overload(slot_request, reachable_pools)

    def _find_unavailable(
        self,
        slot_request: slot_queue.SlotRequest,
        reachable_pools: list[pool_module.TargetPool],
    ) -> Refusal | None:
        """Return the refusal of a request that no target can run."""
        lacks_primary = (
            slot_request.needs_primary
            and not self._queue.is_primary_expected(slot_request)
        )
        closure = None
        if lacks_primary or not slot_request.needs_primary:
            closure = self.group.closure(slot_request.needs_primary)
        if closure is not None:
            return Refusal(
                closure.reason,
                slot_queue.closure_cause(closure),
                NO_PRIMARY_RETRY_MS,
            )
        if not reachable_pools and (
            not slot_request.needs_primary
            or all(each.is_down for each in self.group.pools_by_id.values())
        ):
            return Refusal(
                'no target of the service is up', slot_queue.Cause.NO_TARGET
            )
        if lacks_primary:
            return Refusal(
                slot_queue.NO_PRIMARY,
                slot_queue.Cause.NO_PRIMARY,
                NO_PRIMARY_RETRY_MS,
            )
        return None

    def _find_overload(
        self,
        slot_request: slot_queue.SlotRequest,
        reachable_pools: list[pool_module.TargetPool],
    ) -> Refusal | None:
        """Return the refusal of a request that would wait for too long."""
        wait_ms = self._queue.expected_wait_ms(slot_request, reachable_pools)
        if wait_ms > self._queue.max_wait_ms(slot_request) and not (
            self._queue.fair_shares and self._queue.can_start(slot_request)
        ):
            return Refusal(
                f'a wait of {wait_ms:.0f} ms',
                slot_queue.Cause.EXPECTED_WAIT,
                wait_ms,
            )
        return None

    def _refuse(
        self,
        slot_request: slot_queue.SlotRequest,
        reason: str,
        cause: slot_queue.Cause,
        wait_ms: float | None = None,
    ) -> work_module.Refused:
        if wait_ms is None:
            wait_ms = self._typical_wait_ms()
        self._metrics.count('gateway_refused')
        self._metrics.count(f'gateway_refused_{cause}')
        _log.warning(
            'work_refused',
            request=slot_request.work.request_id,
            service=self.service,
            account=slot_request.work.account,
            reason=reason,
            cause=str(cause),
            urgency=slot_request.work.priority,
            share=slot_request.weight,
            account_waiting=self._queue.account_waiting(
                slot_request.work.account
            ),
            displaced_by=slot_request.displaced_by,
            last=slot_request.last_retry_reason,
            waited_ms=self._clock.now() - slot_request.received_ms,
            waiting=len(self._queue),
            attempts=slot_request.attempts,
            primary=self.group.primary_id,
        )
        retry_ms = self._retry_after_ms(slot_request, cause, wait_ms)
        return work_module.Refused('BUSY', reason, retry_ms)

    def _typical_wait_ms(self) -> float:
        """Return how long all work that waits takes."""
        return policy.expected_wait_ms(
            len(self._queue),
            sum(each.slots for each in self.group.pools_by_id.values()),
            self._queue.statement_ms,
        )

    def _retry_after_ms(
        self,
        slot_request: slot_queue.SlotRequest,
        cause: slot_queue.Cause,
        wait_ms: float,
    ) -> int:
        """Return when a refused caller should retry; 0 if it should not.

        The deadline of the operation isn't known here. What is left of the
        route's time limit stands for it, since that isn't longer.
        """
        fraction = self._random.random()
        if not self._has_schedule(cause):
            return policy.retry_after_ms(wait_ms, fraction)
        self._queue.note_arrival(slot_request)
        retry_ms = self._retry_schedule.plan(
            *self._schedule_inputs(slot_request, wait_ms), fraction
        )
        self._metrics.count(
            'gateway_refused_with_time'
            if retry_ms
            else 'gateway_refused_finally'
        )
        return retry_ms

    def preview_retry_ms(
        self,
        slot_request: slot_queue.SlotRequest,
        refusal: Refusal,
        fraction: float,
    ) -> int:
        """Return when a refused caller would be told to retry; 0 if never.

        ``fraction`` from 0 to 1 stands for the random part.
        """
        wait_ms = refusal.wait_ms
        if wait_ms is None:
            wait_ms = self._typical_wait_ms()
        if not self._has_schedule(refusal.cause):
            return policy.retry_after_ms(wait_ms, fraction)
        return self._retry_schedule.preview(
            *self._schedule_inputs(slot_request, wait_ms), fraction
        )

    def _has_schedule(self, cause: slot_queue.Cause) -> bool:
        """Tell whether retries are scheduled by what drains.

        Without a primary or target everything waits for the same moment,
        which isn't overload.
        """
        return self._queue.fair_shares and cause not in (
            slot_queue.Cause.NO_PRIMARY,
            slot_queue.Cause.NO_TARGET,
        )

    def _schedule_inputs(
        self, slot_request: slot_queue.SlotRequest, wait_ms: float
    ) -> tuple[int, int, float, float]:
        now = self._clock.now()
        return (
            now,
            fair_queue.clamp_urgency(slot_request.work.priority),
            self._retry_schedule.drain_ms(
                now, self._queue.count_ahead(slot_request), wait_ms
            ),
            slot_request.remaining_ms(now) - self._queue.statement_ms,
        )

    async def _attempt_on_target(
        self, entry_host: str, slot_request: slot_queue.SlotRequest
    ) -> work_module.Outcome | Retry:
        pool = await self._queue.wait_for_slot(slot_request)
        if isinstance(pool, exceptions.Sentinel):
            if slot_request.withdrawal.is_requested:
                return _withdrawn_outcome()
            waited_ms = self._clock.now() - slot_request.received_ms
            return self._refuse(
                slot_request,
                pool.reason,
                slot_request.refusal_cause,
                waited_ms,
            )
        started_ms = self._clock.now()
        try:
            outcome = await self._run_on_target(entry_host, pool, slot_request)
        finally:
            self._queue.release_slot(pool)
        if isinstance(outcome, work_module.Answered):
            if self._queue.fair_shares:
                self._retry_schedule.record_served(self._clock.now())
            took_ms = self._clock.now() - started_ms
            self._queue.record_statement_time(pool, took_ms)
        elif isinstance(outcome, work_module.Failed):
            pool.record_statement_failed()
        return outcome

    async def _run_on_target(
        self,
        entry_host: str,
        pool: pool_module.TargetPool,
        slot_request: slot_queue.SlotRequest,
    ) -> work_module.Outcome | Retry:
        """Run the statement of a slot request on a connection of ``pool``."""
        work = slot_request.work
        slot_request.is_on_primary = self.group.is_primary(pool)
        slot_request.minimum_position = (
            None
            if slot_request.is_on_primary
            else self._queue.minimum_position(slot_request)
        )
        if not slot_request.is_on_primary and (
            slot_request.minimum_position is None or slot_request.needs_primary
        ):
            return Retry('the target no longer suits')
        if slot_request.is_on_primary and not self._queue.may_use_primary(
            slot_request
        ):
            return Retry('the primary is not confirmed')
        try:
            connection = await pool.checkout(
                work, slot_request.remaining_ms(self._clock.now())
            )
        except exceptions.TargetRefused as error:
            pool.avoid_until_ms = self._clock.now() + (
                FULL_TARGET_PAUSE_MS
                if error.code == 'TOOMANY'
                else FAILED_TARGET_PAUSE_MS
            )
            _log.info(
                'target_refused_session',
                target=pool.target.target_id,
                request=work.request_id,
                reason=str(error),
                open=pool.open_count,
            )
            return Retry(str(error))
        except exceptions.TargetError as error:
            pool.avoid_until_ms = self._clock.now() + FAILED_TARGET_PAUSE_MS
            return Retry(str(error))
        if slot_request.withdrawal.is_requested:
            pool.checkin(connection)
            return _withdrawn_outcome()

        preparation = connection.preparation(work)
        begin_step = _begin_step(slot_request)
        first_steps = preparation.steps
        try:
            if (
                begin_step is not None
                or preparation.sets_values
                or (first_steps and work.writes)
            ):
                retry = await self._run_first_steps(
                    pool, connection, slot_request, first_steps, begin_step
                )
                if retry is not None:
                    return retry
                first_steps = []
            return await self._run_statement(
                entry_host,
                pool,
                connection,
                slot_request,
                first_steps,
                has_begun=begin_step is not None,
            )
        except exceptions.AnswerLost as error:
            pool.discard(connection)
            return self._handle_lost_answer(
                pool, slot_request, error, is_sent=False
            )

    async def _run_first_steps(
        self,
        pool: pool_module.TargetPool,
        connection: connection_module.TargetConnection,
        slot_request: slot_queue.SlotRequest,
        steps: list[connection_module.TargetStatement],
        begin_step: connection_module.TargetStatement | None,
    ) -> Retry | work_module.Outcome | None:
        """Prepare the connection and begin a transaction, if one is needed.

        The statement is sent only after these steps: outside its transaction
        it could run on a replica that lacks its position, with other session
        values, or, as a write, on a connection that the target has closed.
        """
        sent_ms = self._clock.now()
        begin_steps = [] if begin_step is None else [begin_step]
        step_replies = await pool.run(
            connection,
            [*steps, *begin_steps],
            slot_request.remaining_ms(sent_ms),
        )
        code = replies.first_error(step_replies[: len(steps)])
        if code is not None:
            pool.discard(connection)
            return Retry(f'prepare: {code}')
        if begin_step is None:
            return None
        reply = step_replies[-1]
        if reply.error is not None:
            pool.checkin(connection)
            return self._handle_error(pool, slot_request, reply)
        if begin_step.text == wire.BEGIN and reply.position is not None:
            self.group.record_primary_position(pool, sent_ms, reply.position)
        return None

    async def _run_statement(
        self,
        entry_host: str,
        pool: pool_module.TargetPool,
        connection: connection_module.TargetConnection,
        slot_request: slot_queue.SlotRequest,
        first_steps: list[connection_module.TargetStatement],
        *,
        has_begun: bool,
    ) -> work_module.Outcome | Retry:
        """Run the statement, together with ``first_steps`` that prepare it."""
        work = slot_request.work
        is_transaction = work.stage is work_module.Stage.OPEN
        text = connection.text(work)
        if not has_begun and not work.writes:
            text = wire.wait_for(slot_request.minimum_position, text)
        steps = [
            *first_steps,
            connection_module.TargetStatement(work.request_id, text),
        ]
        if has_begun and not is_transaction:
            steps.append(
                connection_module.TargetStatement(
                    wire.PROXY_REQUEST_ID, wire.ROLLBACK
                )
            )
        sent_ms = self._clock.now()
        concurrency = pool.concurrency
        if is_transaction:
            transaction = self._transactions.register(
                entry_host, work.transaction, pool, connection
            )
        try:
            step_replies = await pool.run(
                connection, steps, self._attempt_timeout_ms(slot_request)
            )
        except exceptions.AnswerLost as error:
            if is_transaction:
                self._transactions.remove(entry_host, work.transaction)
            pool.discard(connection)
            return self._handle_lost_answer(
                pool,
                slot_request,
                error,
                is_sent=not isinstance(error, exceptions.NotSent),
            )
        code = replies.first_error(step_replies[: len(first_steps)])
        if code is not None:
            # The statement was not run, since its name is unknown there.
            pool.discard(connection)
            return Retry(f'prepare: {code}')
        reply = step_replies[len(first_steps)]
        if is_transaction:
            transaction.is_running = False
            transaction.last_used_ms = self._clock.now()
            if work.commits or reply.state == wire.STATE_IDLE:
                self._transactions.remove(entry_host, work.transaction)
                replies.return_connection(pool, connection, reply)
        else:
            pool.checkin(connection)
        if reply.error is not None:
            if is_transaction:
                return replies.failed_outcome(pool, reply)
            return self._handle_error(pool, slot_request, reply)
        pool.record_sample(work, concurrency, sent_ms)
        if work.writes and not is_transaction and reply.position is not None:
            self.group.record_commit(pool, sent_ms, reply.position)
        return replies.answered_outcome(pool, reply)

    def _handle_error(
        self,
        pool: pool_module.TargetPool,
        slot_request: slot_queue.SlotRequest,
        reply: connection_module.Reply,
    ) -> work_module.Outcome | Retry:
        """Return Retry if another attempt may succeed, or else the failure."""
        assert reply.error is not None
        code = reply.error.code
        target_id = pool.target.target_id
        if code not in RETRYABLE_CODES and (
            code != 'FAILED'
            or slot_request.work.writes
            or slot_request.attempts
        ):
            return replies.failed_outcome(pool, reply)
        match code:
            case 'READONLY':
                self.group.mark_not_primary(pool)
            case 'LAGGING':
                pool.record_lagging(slot_request.minimum_position)
                slot_request.avoided_target_ids.add(target_id)
            case 'FAILED':
                pool.record_statement_failed()
                slot_request.avoided_target_ids.add(target_id)
            case 'BUSY':
                pool.avoid_until_ms = self._clock.now() + FULL_TARGET_PAUSE_MS
        _log.info(
            'work_retried',
            request=slot_request.work.request_id,
            target=target_id,
            reason=code,
            attempt=slot_request.attempts,
        )
        return Retry(f'{target_id}: {code} {reply.error.text}')

    def _handle_lost_answer(
        self,
        pool: pool_module.TargetPool,
        slot_request: slot_queue.SlotRequest,
        error: exceptions.AnswerLost,
        is_sent: bool,
    ) -> work_module.Outcome | Retry:
        """Return the outcome of work whose connection failed.

        That is a ``Retry`` if it is safe to repeat the work and time is left.
        """
        work = slot_request.work
        replies.log_lost_answer(pool, work, error, is_sent=is_sent)
        slot_request.avoided_target_ids.add(pool.target.target_id)
        is_transaction = work.stage is work_module.Stage.OPEN
        can_repeat = not is_sent or not (work.writes or is_transaction)
        if (
            can_repeat
            and slot_request.remaining_ms(self._clock.now())
            > self._queue.statement_ms
        ):
            return Retry(str(error))
        if not is_sent:
            return self._refuse(
                slot_request, str(error), slot_queue.Cause.UNSENT
            )
        return work_module.Lost(
            str(error),
            timed_out=slot_request.remaining_ms(self._clock.now()) <= 0,
        )

    def _attempt_timeout_ms(self, slot_request: slot_queue.SlotRequest) -> int:
        """Return the timeout in ms of this attempt."""
        remaining_ms = slot_request.remaining_ms(self._clock.now())
        work = slot_request.work
        if work.writes or work.stage is work_module.Stage.OPEN:
            return remaining_ms
        short_timeout_ms = max(
            work.objective_ms * READ_TIMEOUT_OBJECTIVE_SHARE,
            self._queue.statement_ms * READ_TIMEOUT_STATEMENTS,
        )
        # The last attempt may use all of the remaining time.
        is_last = slot_request.attempts >= MAX_SHORT_TIMEOUT_ATTEMPTS
        if is_last or remaining_ms < 2 * short_timeout_ms:
            return remaining_ms
        return int(short_timeout_ms)


def _withdrawn_outcome() -> work_module.Refused:
    return work_module.Refused('BUSY', work_module.WITHDRAWN_REASON)


def _limit_gauge(target_id: str) -> str:
    return f'target_limit_{target_id}'


def _begin_step(
    slot_request: slot_queue.SlotRequest,
) -> connection_module.TargetStatement | None:
    """Return the BEGIN to send before the statement; None if it needs none.

    Only a plain BEGIN proves that the target is still the primary, so a
    single read on the primary is wrapped in a transaction.
    """
    work = slot_request.work
    if work.stage is work_module.Stage.OPEN:
        if slot_request.is_on_primary:
            return connection_module.TargetStatement(work.begin_id, wire.BEGIN)
        text = wire.wait_for(slot_request.minimum_position, work.begin_text)
        return connection_module.TargetStatement(work.begin_id, text)
    if slot_request.is_on_primary and not work.writes:
        return connection_module.TargetStatement(
            wire.PROXY_REQUEST_ID, wire.BEGIN
        )
    return None
