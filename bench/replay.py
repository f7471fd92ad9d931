"""Replays seeded load patterns against one gateway and simulated targets.

The gateway is the production code; the targets are models of slots, service
times and replication, and time is virtual. Run it with
``python -m bench.replay``.
"""

import argparse
import asyncio
import bisect
import collections
import collections.abc
import dataclasses
import random
import statistics
import sys
from typing import Any

from bench import virtual_time
from samphirestand import catalog
from samphirestand import exceptions
from samphirestand.fleet import watch
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand import metrics
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'FAIRNESS_PATTERNS',
    'PATTERNS',
    'OperationKind',
    'Pattern',
    'Result',
    'replay',
    'replay_disturbance',
    'replay_metrics',
]

SERVICE = 'svc'

# Requests that a target queues while all its slots are in use. It answers
# further ones with BUSY.
TARGET_QUEUE_LENGTH = 48

# One-way network delay from the gateway to a target in its own zone, and in
# another zone.
SAME_ZONE_DELAY_MS = 0.2
OTHER_ZONE_DELAY_MS = 3.0

# Network round trip between a caller and the gateway.
CALLER_ROUND_TRIP_MS = 8

# How long a COMMIT occupies a slot of the target.
COMMIT_WORK_MS = 1.0

# A caller's delay before a retry when the refusal has no retry_after_ms.
DEFAULT_RETRY_DELAY_MS = 50

# How much longer a pattern's rare long operations take.
LONG_FACTOR = 5
MAX_RETRIES = 2


@dataclasses.dataclass(frozen=True)
class OperationKind:
    """A kind of operation that callers send; times in milliseconds.

    ``work_ms`` is the mean time that a statement occupies a slot.
    ``credit_in_time`` is what an operation counts in the score if it ends
    within ``objective_ms``, ``credit_late`` if it ends within
    ``deadline_ms``; otherwise it counts nothing. ``write_share`` and
    ``transaction_share`` are the shares of operations that write, and that
    are transactions of three statements.
    """

    name: str
    consistency: catalog.Consistency
    rate_per_s: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    deadline_ms: int
    credit_in_time: float
    credit_late: float
    write_share: float
    transaction_share: float
    max_age_ms: int = 0
    priority: int = 1


# The operations of the bagmati deployment, at the rates of one service.
OPERATION_KINDS = (
    OperationKind(
        'loadcase-save',
        catalog.Consistency.PRIMARY,
        rate_per_s=27,
        work_ms=11,
        objective_ms=250,
        timeout_ms=1000,
        deadline_ms=1200,
        credit_in_time=2,
        credit_late=0.6,
        write_share=0.35,
        transaction_share=0.4,
    ),
    OperationKind(
        'flex-review',
        catalog.Consistency.BOUNDED_STALENESS,
        rate_per_s=27,
        work_ms=55,
        objective_ms=800,
        timeout_ms=3000,
        deadline_ms=5000,
        credit_in_time=1,
        credit_late=0.3,
        write_share=0,
        transaction_share=0.1,
        max_age_ms=1500,
        priority=2,
    ),
    OperationKind(
        'compliance-summary',
        catalog.Consistency.READ_YOUR_WRITES,
        rate_per_s=126,
        work_ms=33,
        objective_ms=500,
        timeout_ms=1000,
        deadline_ms=1200,
        credit_in_time=2,
        credit_late=0.3,
        write_share=0.12,
        transaction_share=0.12,
        max_age_ms=2500,
        priority=2,
    ),
)


# The operations of the large feldwacht deployment at the rates of one service.
FELDWACHT_KINDS = (
    OperationKind(
        'einsatz',
        catalog.Consistency.PRIMARY,
        rate_per_s=8.8,
        work_ms=3,
        objective_ms=153,
        timeout_ms=800,
        deadline_ms=1220,
        credit_in_time=2,
        credit_late=0.6,
        write_share=0.35,
        transaction_share=0.4,
    ),
    OperationKind(
        'status',
        catalog.Consistency.BOUNDED_STALENESS,
        rate_per_s=8.8,
        work_ms=15,
        objective_ms=303,
        timeout_ms=1200,
        deadline_ms=3025,
        credit_in_time=1,
        credit_late=0.3,
        write_share=0,
        transaction_share=0.1,
        max_age_ms=1500,
        priority=2,
    ),
    OperationKind(
        'abrechnung',
        catalog.Consistency.READ_YOUR_WRITES,
        rate_per_s=41,
        work_ms=9,
        objective_ms=253,
        timeout_ms=800,
        deadline_ms=1212,
        credit_in_time=2,
        credit_late=0.3,
        write_share=0.12,
        transaction_share=0.12,
        max_age_ms=2500,
        priority=2,
    ),
)


# Short and long statements on the same targets, with half of the slots busy.
MIXED_KINDS = (
    dataclasses.replace(OPERATION_KINDS[0], rate_per_s=300, work_ms=3),
    dataclasses.replace(OPERATION_KINDS[1], rate_per_s=25, work_ms=200),
)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load and a disturbance of the targets; times in milliseconds.

    The disturbance lasts from ``disturbance_start_ms`` to
    ``disturbance_end_ms`` after the start of the replay. The operations are
    spread over ``accounts``, of which few send most. A new connection of an
    account occupies a slot of the target for ``opening_ms``. The flood adds
    operations of one account, one kind or both.
    """

    name: str
    kinds: tuple[OperationKind, ...] = OPERATION_KINDS
    accounts: int = 1
    max_connections: int = 60
    opening_ms: float = 0.0
    load_factor: float = 1.0  # multiplies the rates of all kinds
    burst_factor: float = 1.0  # multiplies them again while disturbed
    lag_ms: int = 8
    disturbed_lag_ms: int = 8
    slowdown_factor: float = 1.0  # of one target, during the disturbance
    slowed_target: int = 1  # 0 is the primary
    slots: int = 5
    account_rates: tuple[float, ...] = ()  # relative; of accounts in order
    flood_account: int = -1  # sends flood_factor times as much, disturbed
    flood_kind: str = ''  # of all accounts, or of flood_account
    flood_factor: float = 1.0
    declared_slots: int = 0  # by the targets; 0: as many as they have
    # Statements at the slowed target take longer by this power of what runs
    # there beyond the knee; 0: no knee.
    knee: float = 0.0
    knee_power: float = 1.0
    has_knee_everywhere: bool = False
    link_delay_ms: float = 0.0  # more one way to the slowed target
    long_share: float = 0.0  # of the operations, with 5 times the work
    disturbance_start_ms: int = 5_000
    disturbance_end_ms: int = 13_000
    duration_ms: int = 20_000


PATTERNS = (
    Pattern('calm'),
    Pattern('burst', burst_factor=1.7, disturbance_end_ms=8_000),
    Pattern('replicas-behind', load_factor=0.9, disturbed_lag_ms=20_000),
    Pattern('slow-replica', slowdown_factor=5.0),
    Pattern('slow-primary', slowdown_factor=12.0, slowed_target=0),
    Pattern('overload', burst_factor=2.6),
    Pattern(
        'early-slowdown',
        knee=2.5,
        knee_power=2.0,
        load_factor=0.9,
        has_knee_everywhere=True,
    ),
    Pattern('one-early-slowdown', knee=1.5, knee_power=2.0, load_factor=1.3),
    Pattern(
        'primary-early-slowdown',
        knee=2.5,
        knee_power=2.0,
        slowed_target=0,
        load_factor=1.5,
    ),
    Pattern(
        'slow-for-6s',
        slowdown_factor=8.0,
        load_factor=1.3,
        disturbance_end_ms=11_000,
    ),
    Pattern(
        'slow-for-6s-long-tail',
        slowdown_factor=8.0,
        load_factor=1.3,
        disturbance_end_ms=11_000,
        long_share=0.01,
    ),
    Pattern('slow-link', link_delay_ms=60.0, load_factor=1.2),
    Pattern('mixed-lengths', kinds=MIXED_KINDS, long_share=0.01),
    Pattern('false-slots', declared_slots=40, load_factor=2.2),
    Pattern(
        'many-accounts',
        kinds=FELDWACHT_KINDS,
        accounts=140,
        max_connections=90,
        opening_ms=12.0,
        lag_ms=20,
        slots=2,
        burst_factor=1.5,
    ),
)


# The same with reads of two urgencies, which may use the same targets.
URGENT_READ_KINDS = (
    *OPERATION_KINDS[:2],
    dataclasses.replace(OPERATION_KINDS[2], priority=0),
)


# Replayed with fair shares and without: who is served under overload.
FAIRNESS_PATTERNS = (
    Pattern(
        'account-floods',
        accounts=10,
        account_rates=(1.0,) * 10,
        flood_account=0,
        flood_factor=30.0,
    ),
    Pattern(
        'late-kind-floods',
        accounts=10,
        account_rates=(1.0,) * 10,
        flood_kind='compliance-summary',
        flood_factor=6.0,
    ),
    Pattern(
        'urgent-kind-floods',
        kinds=URGENT_READ_KINDS,
        accounts=10,
        account_rates=(1.0,) * 10,
        flood_kind='compliance-summary',
        flood_factor=6.0,
    ),
    Pattern(
        'two-large-accounts',
        accounts=42,
        account_rates=(40.0, 40.0, *(1.0,) * 40),
        burst_factor=4.0,
    ),
    Pattern(
        '140-accounts',
        kinds=FELDWACHT_KINDS,
        accounts=140,
        max_connections=90,
        opening_ms=12.0,
        lag_ms=20,
        slots=2,
        burst_factor=8.0,
    ),
)


@dataclasses.dataclass
class Result:
    """Outcomes of the operations of one kind.

    ``unserved`` operations ended after their deadline, failed, or were still
    refused when their time or their retries were used up. ``credit`` is the
    sum of the credits earned, ``max_credit`` the sum if all operations had
    ended in time. ``failed_attempts_ms`` are the times from the start of
    each failed or refused attempt to its outcome.
    """

    operations: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused_attempts: int = 0  # counts attempts, not operations
    failed_attempts_ms: list[int] = dataclasses.field(default_factory=list)
    credit: float = 0.0
    max_credit: float = 0.0


class ModelTarget:
    """A simulated target with slots, a queue and a replicated log."""

    def __init__(self, replay: '_Replay', number: int) -> None:
        self._replay = replay
        self.is_primary = number == 0
        self.is_slowed = number == replay.pattern.slowed_target
        self.network_delay_ms = (
            SAME_ZONE_DELAY_MS if number == 0 else OTHER_ZONE_DELAY_MS
        )
        self._slots = asyncio.Semaphore(replay.pattern.slots)
        self._queued = 0
        self._running = 0
        self.opened_count = 0

    async def open_connection(self) -> None:
        """Take the time that a new connection takes."""
        self.opened_count += 1
        await asyncio.sleep(4 * self.network_delay_ms / 1000)
        async with self._slots:
            await asyncio.sleep(self._replay.pattern.opening_ms / 1000)

    def position(self) -> types.Position:
        if self.is_primary:
            return types.Position(1, self._replay.written_position)
        return types.Position(1, self._replay.applied_position())

    async def run_step(
        self,
        model_connection: '_Connection',
        step: connection_module.TargetStatement,
        work_ms: float,
    ) -> connection_module.Reply:
        text = step.text
        if text.startswith('WAITLSN'):
            _, position, text = text.split(' ', 2)
            required_position = wire.decode_position(position)
            if (
                required_position is not None
                and self.position() < required_position
            ):
                return self._error('LAGGING')
        verb = text.partition(' ')[0]
        if verb in (wire.BEGIN, wire.ROLLBACK):
            model_connection.state = 'I' if verb == wire.ROLLBACK else 'T'
            return self._reply(model_connection.state)
        if self._queued >= TARGET_QUEUE_LENGTH:
            return self._error('BUSY')
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            await asyncio.sleep(work_ms * self._work_factor() / 1000)
        finally:
            self._running -= 1
            self._slots.release()
        if verb == 'COMMIT':
            model_connection.state = 'I'
        if verb in ('WRITE', 'COMMIT'):
            self._replay.record_write()
        return self._reply(model_connection.state)

    def _work_factor(self) -> float:
        """Return how many times longer a statement takes that starts now."""
        factor = self._replay.work_factor() if self.is_slowed else 1.0
        pattern = self._replay.pattern
        if pattern.knee and (self.is_slowed or pattern.has_knee_everywhere):
            excess = max(1.0, self._running / pattern.knee)
            factor *= excess**pattern.knee_power
        return factor

    @property
    def delay_ms(self) -> float:
        """Return the one-way delay to the target at this moment."""
        if self.is_slowed and self._replay.is_disturbed():
            return self.network_delay_ms + self._replay.pattern.link_delay_ms
        return self.network_delay_ms

    def _reply(self, state: str) -> connection_module.Reply:
        return connection_module.Reply(
            (), 'signed', None, state, self.position()
        )

    def _error(self, code: str) -> connection_module.Reply:
        return connection_module.Reply(
            (), '', wire.Error(code, ''), 'I', self.position()
        )


class _Connection:
    """A connection to a model target; it needs no preparing statements."""

    is_usable = True

    def __init__(self, account: str = '', opened_ms: int = 0) -> None:
        self.state = 'I'
        self.account = account
        self.last_used_ms = opened_ms
        self.is_busy = True

    def preparation(
        self, work: work_module.Work
    ) -> connection_module.Preparation:
        return connection_module.Preparation([], sets_values=False)

    def count_missing_steps(self, work: work_module.Work) -> int:
        return 0

    def text(self, work: work_module.Work) -> str:
        return work.text

    def close(self) -> None:
        """Do nothing: the model keeps no state of a connection."""


class ModelPool(pool_module.TargetPool):
    """A connection pool that runs statements on a model target."""

    model: ModelTarget

    async def _open(self, account: str, timeout_ms: int) -> Any:
        await self.model.open_connection()
        return _Connection(account, self._clock.now())

    async def run(
        self, model_connection: Any, steps: Any, timeout_ms: int
    ) -> Any:
        replies = []
        try:
            async with asyncio.timeout(max(0, timeout_ms) / 1000):
                await asyncio.sleep(2 * self.model.delay_ms / 1000)
                for step in steps:
                    work_ms = _WORK_MS_BY_REQUEST_ID.get(step.request_id, 0.0)
                    replies.append(
                        await self.model.run_step(
                            model_connection, step, work_ms
                        )
                    )
        except TimeoutError as error:
            raise exceptions.AnswerLost(
                'no answer in time', step='statement'
            ) from error
        return replies

    async def run_command(
        self,
        text: str,
        timeout_ms: int,
        may_send: collections.abc.Callable[[], bool] | None = None,
    ) -> wire.Status | exceptions.Sentinel:
        step = connection_module.TargetStatement(wire.PROXY_REQUEST_ID, text)
        try:
            [reply] = await self.run(_Connection(), [step], timeout_ms)
        except exceptions.AnswerLost as error:
            return exceptions.Sentinel(str(error))
        if reply.error is not None:
            return exceptions.Sentinel(reply.error.code)
        assert reply.position is not None
        return wire.Status(
            is_primary=self.model.is_primary,
            term=reply.position.term,
            received=reply.position,
            held=0,
            lag_ms=0,
            busy=0,
            connections=0,
        )


# How long each running statement occupies a slot, by its request_id.
_WORK_MS_BY_REQUEST_ID: dict[str, float] = {}


class _TargetRegistry:
    """A target registry of one primary and two replicas; never changes."""

    def __init__(self, slots: int) -> None:
        self._targets = [
            catalog.Target(
                f't{number}',
                SERVICE,
                '127.0.0.1',
                1,
                f'zone-{number}',
                slots,
                is_draining=False,
                claims_primary=number == 0,
                started_ms=1,
            )
            for number in range(3)
        ]

    @property
    def is_complete(self) -> bool:
        return True

    def of_service(self, service: str) -> list[catalog.Target]:
        return self._targets

    def claimed_primary(self, service: str) -> catalog.Target:
        return self._targets[0]

    def absent_targets(self, service: str) -> list[catalog.Target]:
        return []

    def departed_replicas(self, service: str) -> list[watch.Departure]:
        return []

    def settle_departures(
        self, starts: collections.abc.Collection[catalog.TargetStart]
    ) -> None:
        """Ignored, since no target departs."""

    def claim_version(self, target_id: str) -> int:
        return 1


class _Replay:
    """One run of a pattern, with the state that the targets share."""

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        *,
        fair_shares: bool,
        adaptive_limits: bool,
    ) -> None:
        self.pattern = pattern
        self._fair_shares = fair_shares
        self._adaptive_limits = adaptive_limits
        self.metrics = metrics.Metrics()
        self._random = random.Random(seed)
        self._account_random = random.Random(seed)
        self._clock = virtual_time.LoopClock()
        self._start_ms = self._clock.now()
        self.written_position = 0
        self._write_times_ms: list[int] = []
        self.results = {each.name: Result() for each in pattern.kinds}
        # Of operations that began during the disturbance, by account and kind.
        self.disturbed: dict[tuple[str, str], Result] = (
            collections.defaultdict(Result)
        )
        self.models: list[ModelTarget] = []
        self._accounts = [f'a{number}' for number in range(pattern.accounts)]
        self._account_weights = list(pattern.account_rates) or [
            1 / number for number in range(1, pattern.accounts + 1)
        ]
        self._statement_count = 0
        self._attempt_count = 0
        self._operation_tasks: list[asyncio.Task[None]] = []

    def _elapsed_ms(self) -> int:
        return self._clock.now() - self._start_ms

    def is_disturbed(self) -> bool:
        return (
            self.pattern.disturbance_start_ms
            <= self._elapsed_ms()
            < self.pattern.disturbance_end_ms
        )

    def work_factor(self) -> float:
        return self.pattern.slowdown_factor if self.is_disturbed() else 1.0

    def record_write(self) -> None:
        self.written_position += 1
        self._write_times_ms.append(self._elapsed_ms())

    def applied_position(self) -> int:
        """Return the position up to which the replicas have applied writes."""
        lag_ms = self.pattern.lag_ms
        if self.is_disturbed():
            # The lag grows with time up to disturbed_lag_ms: replicas stop
            # applying writes when the disturbance starts.
            lag_ms = min(
                self.pattern.disturbed_lag_ms,
                lag_ms
                + self._elapsed_ms()
                - self.pattern.disturbance_start_ms,
            )
        return bisect.bisect_right(
            self._write_times_ms, self._elapsed_ms() - lag_ms
        )

    async def run(self) -> None:
        targets = _TargetRegistry(
            self.pattern.declared_slots or self.pattern.slots
        )
        pattern = self.pattern
        service = catalog.Service(
            SERVICE, pattern.max_connections, is_synchronous=True
        )
        current_catalog = catalog.Catalog(
            version=1,
            services_by_name={SERVICE: service},
            accounts_by_name={
                each: catalog.Account(each, 1_000, 1_000)
                for each in self._accounts
            },
        )
        gateway = gateway_module.ServiceGateway(
            SERVICE,
            self._clock,
            self._random,
            targets,  # type: ignore[arg-type]
            lambda: current_catalog,
            self.metrics,
            fair_shares=self._fair_shares,
            adaptive_limits=self._adaptive_limits,
        )
        for number, pool in enumerate(gateway.group.pools_by_id.values()):
            model = ModelTarget(self, number)
            assert isinstance(pool, ModelPool)
            pool.model = model
            self.models.append(model)
            pool.round_trip_ms = 2 * model.network_delay_ms
        maintenance = asyncio.create_task(self._run_maintenance(gateway))
        arrival_tasks = [
            asyncio.create_task(self._start_operations(gateway, each))
            for each in pattern.kinds
        ]
        if pattern.flood_factor > 1:
            arrival_tasks += [
                asyncio.create_task(self._start_flood(gateway, each))
                for each in pattern.kinds
                if pattern.flood_kind in ('', each.name)
            ]
        await asyncio.gather(*arrival_tasks)
        await asyncio.gather(*self._operation_tasks)
        maintenance.cancel()

    async def _run_maintenance(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        while True:
            gateway.review_waiting()
            gateway.group.freshness.record(
                self._clock.now(), types.Position(1, self.written_position)
            )
            await self._clock.sleep(100)

    async def _start_operations(
        self, gateway: gateway_module.ServiceGateway, kind: OperationKind
    ) -> None:
        while self._elapsed_ms() < self.pattern.duration_ms:
            rate = kind.rate_per_s * self.pattern.load_factor
            if self.is_disturbed():
                rate *= self.pattern.burst_factor
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._run_operation(gateway, kind))
            self._operation_tasks.append(task)

    async def _start_flood(
        self, gateway: gateway_module.ServiceGateway, kind: OperationKind
    ) -> None:
        """Start the operations that are added during the disturbance."""
        pattern = self.pattern
        share = 1.0
        account = ''
        if pattern.flood_account >= 0:
            account = self._accounts[pattern.flood_account]
            share = self._account_weights[pattern.flood_account] / sum(
                self._account_weights
            )
        rate = kind.rate_per_s * share * (pattern.flood_factor - 1)
        await self._clock.sleep(pattern.disturbance_start_ms)
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            if not self.is_disturbed():
                return
            self._operation_tasks.append(
                asyncio.create_task(
                    self._run_operation(gateway, kind, account)
                )
            )

    async def _run_operation(
        self,
        gateway: gateway_module.ServiceGateway,
        kind: OperationKind,
        account: str = '',
    ) -> None:
        if not account:
            [account] = self._account_random.choices(
                self._accounts, self._account_weights
            )
        results = [self.results[kind.name]]
        if self.is_disturbed():
            results.append(self.disturbed[account, kind.name])
        for result in results:
            result.operations += 1
            result.max_credit += kind.credit_in_time
        started_ms = self._elapsed_ms()
        deadline_ms = started_ms + kind.deadline_ms
        is_write = self._random.random() < kind.write_share
        count = 3 if self._random.random() < kind.transaction_share else 1
        work_ms = self._random.lognormvariate(0, 0.7) * kind.work_ms / 1.28
        if self.pattern.long_share and (
            self._random.random() < self.pattern.long_share
        ):
            work_ms *= LONG_FACTOR
        for _ in range(1 + MAX_RETRIES):
            refusal = await self._run_attempt(
                gateway,
                kind,
                account,
                is_write,
                count,
                work_ms,
                started_ms,
                results,
            )
            if refusal is None:
                return
            for result in results:
                result.refused_attempts += 1
            retry_ms = refusal.retry_after_ms or DEFAULT_RETRY_DELAY_MS
            if self._elapsed_ms() + retry_ms >= deadline_ms:
                break
            await self._clock.sleep(retry_ms)
        for result in results:
            result.unserved += 1

    def _attempt_statements(
        self, kind: OperationKind, account: str, is_write: bool, count: int
    ) -> collections.abc.Iterator[work_module.Work]:
        """Return the statements of one attempt, in order.

        They form a transaction if ``count`` is above 1.
        """
        self._attempt_count += 1
        number = self._attempt_count
        for stage in _statement_stages(count):
            self._statement_count += 1
            commits = stage is work_module.Stage.END
            text = 'WRITE x 1' if is_write else 'READ x'
            yield work_module.Work(
                request_id=f'r{self._statement_count}',
                text='COMMIT' if commits else text,
                stage=stage,
                service=SERVICE,
                account=account,
                consistency=kind.consistency,
                max_age_ms=kind.max_age_ms,
                writes=is_write and not commits,
                budget_ms=kind.timeout_ms,
                objective_ms=kind.objective_ms,
                priority=kind.priority,
                transaction=number if count > 1 else 0,
                begin_id=f'b{number}',
                begin_text='BEGIN' if is_write else 'BEGIN READ',
                read_only=not is_write,
                commits=commits,
                wrote_before=is_write and commits,
            )

    async def _run_attempt(
        self,
        gateway: gateway_module.ServiceGateway,
        kind: OperationKind,
        account: str,
        is_write: bool,
        count: int,
        work_ms: float,
        started_ms: int,
        results: list[Result],
    ) -> work_module.Refused | None:
        """Run one attempt and record its outcome.

        Returns the refusal, or None if the operation needs no retry.
        """
        attempt_started_ms = self._elapsed_ms()
        await self._clock.sleep(CALLER_ROUND_TRIP_MS)
        for work in self._attempt_statements(kind, account, is_write, count):
            _WORK_MS_BY_REQUEST_ID[work.request_id] = (
                COMMIT_WORK_MS if work.commits else work_ms
            )
            outcome = await gateway.run('host', work)
            del _WORK_MS_BY_REQUEST_ID[work.request_id]
            if isinstance(outcome, work_module.Answered):
                continue
            failed_ms = self._elapsed_ms() - attempt_started_ms
            for result in results:
                result.failed_attempts_ms.append(failed_ms)
            if isinstance(outcome, work_module.Refused):
                return outcome
            for result in results:
                result.unserved += 1
            return None
        took_ms = self._elapsed_ms() - started_ms
        for result in results:
            if took_ms <= kind.objective_ms:
                result.in_time += 1
                result.credit += kind.credit_in_time
            elif took_ms <= kind.deadline_ms:
                result.late += 1
                result.credit += kind.credit_late
            else:
                result.unserved += 1
        return None


def _statement_stages(count: int) -> list[work_module.Stage]:
    if count == 1:
        return [work_module.Stage.SINGLE]
    return [
        work_module.Stage.OPEN,
        *[work_module.Stage.WITHIN] * (count - 1),
        work_module.Stage.END,
    ]


def replay(
    pattern: Pattern,
    seed: int,
    *,
    fair_shares: bool = False,
    adaptive_limits: bool = True,
) -> dict[str, Result]:
    """Replay a pattern; returns the outcomes by name of the kind."""
    return _run(pattern, seed, fair_shares, adaptive_limits).results


def replay_disturbance(
    pattern: Pattern, seed: int, *, fair_shares: bool
) -> dict[tuple[str, str], Result]:
    """Replay a pattern; returns what began during its disturbance.

    The outcomes are by account and name of the kind.
    """
    return _run(pattern, seed, fair_shares).disturbed


def replay_metrics(pattern: Pattern, seed: int) -> dict[str, Any]:
    """Replay a pattern with fair shares; returns the gateway's metrics."""
    return _run(pattern, seed, fair_shares=True).metrics.snapshot()


def _run(
    pattern: Pattern,
    seed: int,
    fair_shares: bool,
    adaptive_limits: bool = True,
) -> _Replay:
    log.silence()
    original_pool_class = pool_module.TargetPool
    pool_module.TargetPool = ModelPool  # type: ignore[misc]
    loop = virtual_time.VirtualLoop()
    try:
        return loop.run_until_complete(
            _run_replay(pattern, seed, fair_shares, adaptive_limits)
        )
    finally:
        pool_module.TargetPool = original_pool_class  # type: ignore[misc]
        loop.close()


async def _run_replay(
    pattern: Pattern, seed: int, fair_shares: bool, adaptive_limits: bool
) -> _Replay:
    started = _Replay(
        pattern,
        seed,
        fair_shares=fair_shares,
        adaptive_limits=adaptive_limits,
    )
    await started.run()
    return started


def main() -> int:
    """Print a table of the outcomes of all patterns, or of the chosen one."""
    parser = argparse.ArgumentParser(description=__doc__)
    patterns = (*PATTERNS, *FAIRNESS_PATTERNS)
    parser.add_argument('--pattern', choices=[each.name for each in patterns])
    parser.add_argument('--fair-shares', action='store_true')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--declared-slots',
        action='store_true',
        help='use the declared slots instead of adaptive limits',
    )
    options = parser.parse_args()
    print(
        f'{"pattern":<18} {"kind":<19} {"asked":>6} {"in time":>7} '
        f'{"late":>5} {"lost":>5} {"refused":>7} {"held ms":>7} {"worth":>6}'
    )
    for pattern in patterns:
        if options.pattern not in (None, pattern.name):
            continue
        results = replay(
            pattern,
            options.seed,
            fair_shares=options.fair_shares,
            adaptive_limits=not options.declared_slots,
        )
        for name, each in results.items():
            mean_failed_ms = (
                statistics.mean(each.failed_attempts_ms)
                if each.failed_attempts_ms
                else 0
            )
            print(
                f'{pattern.name:<18} {name:<19} {each.operations:>6} '
                f'{each.in_time:>7} {each.late:>5} {each.unserved:>5} '
                f'{each.refused_attempts:>7} {mean_failed_ms:>7.0f} '
                f'{each.credit / each.max_credit:>6.3f}'
            )
        credit = sum(each.credit for each in results.values())
        max_credit = sum(each.max_credit for each in results.values())
        print(f'{pattern.name:<18} {"all":<19} {credit / max_credit:>57.3f}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
