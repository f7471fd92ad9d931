"""Replays seeded load patterns against one gateway and model targets.

The gateway's decisions are the real ones; targets are models of slots,
service times and replication, and time is virtual. Run it with
``python -m bench.replay``.
"""

import argparse
import asyncio
import bisect
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

__all__ = ['PATTERNS', 'Kind', 'Pattern', 'Result', 'replay']

SERVICE = 'svc'

# Requests beyond slots that a target holds before it answers BUSY.
TARGET_QUEUE = 48

# One way from a gateway to a target of its zone, and of another one.
NEAR_MS = 0.2
FAR_MS = 3.0

# From a caller to a gateway and back.
CALLER_MS = 8

# The work of a commit.
COMMIT_MS = 1.0

# A caller that was told no time to come back waits this long.
FALLBACK_RETRY_MS = 50
RETRIES = 2


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of operation; times in milliseconds."""

    name: str
    consistency: catalog.Consistency
    per_s: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    deadline_ms: int
    worth: float
    late_worth: float
    writes: float
    transactions: float
    max_age_ms: int = 0
    priority: int = 1


# Bagmati's kinds: rates of one of its services.
KINDS = (
    Kind(
        'loadcase-save',
        catalog.Consistency.PRIMARY,
        per_s=27,
        work_ms=11,
        objective_ms=250,
        timeout_ms=1000,
        deadline_ms=1200,
        worth=2,
        late_worth=0.6,
        writes=0.35,
        transactions=0.4,
    ),
    Kind(
        'flex-review',
        catalog.Consistency.BOUNDED_STALENESS,
        per_s=27,
        work_ms=55,
        objective_ms=800,
        timeout_ms=3000,
        deadline_ms=5000,
        worth=1,
        late_worth=0.3,
        writes=0,
        transactions=0.1,
        max_age_ms=1500,
        priority=2,
    ),
    Kind(
        'compliance-summary',
        catalog.Consistency.READ_YOUR_WRITES,
        per_s=126,
        work_ms=33,
        objective_ms=500,
        timeout_ms=1000,
        deadline_ms=1200,
        worth=2,
        late_worth=0.3,
        writes=0.12,
        transactions=0.12,
        max_age_ms=2500,
        priority=2,
    ),
)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load and what happens to the targets; times in milliseconds."""

    name: str
    load: float = 1.0  # times the kinds' rates
    burst: float = 1.0  # times the load, while the trouble lasts
    lag_ms: int = 8
    trouble_lag_ms: int = 8
    slow: float = 1.0  # how much slower one target is in the trouble
    slow_target: int = 1  # 0 is the primary
    slots: int = 5
    from_ms: int = 5_000
    until_ms: int = 13_000
    length_ms: int = 20_000


PATTERNS = (
    Pattern('calm'),
    Pattern('burst', burst=1.7, until_ms=8_000),
    Pattern('replicas-behind', load=0.9, trouble_lag_ms=20_000),
    Pattern('slow-replica', slow=5.0),
    Pattern('slow-primary', slow=12.0, slow_target=0),
    Pattern('overload', burst=2.6),
)


@dataclasses.dataclass
class Result:
    """What the callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused: int = 0  # attempts that were refused
    held_ms: list[int] = dataclasses.field(default_factory=list)
    credit: float = 0.0
    owed: float = 0.0


class ModelTarget:
    """A target with slots, a queue and a replicated log."""

    def __init__(self, replay: '_Replay', number: int) -> None:
        self._replay = replay
        self.is_primary = number == 0
        self.is_slow = number == replay.pattern.slow_target
        self.one_way_ms = NEAR_MS if number == 0 else FAR_MS
        self._slots = asyncio.Semaphore(replay.pattern.slots)
        self._waiting = 0

    def position(self) -> types.Position:
        if self.is_primary:
            return types.Position(1, self._replay.written)
        return types.Position(1, self._replay.applied())

    async def answer(
        self,
        used: '_Connection',
        step: connection_module.TargetStatement,
        work_ms: float,
    ) -> connection_module.Reply:
        text = step.text
        if text.startswith('WAITLSN'):
            _, position, text = text.split(' ', 2)
            needed = wire.decode_position(position)
            if needed is not None and self.position() < needed:
                return self._error('LAGGING')
        word = text.partition(' ')[0]
        if word in (wire.BEGIN, wire.ROLLBACK):
            used.state = 'I' if word == wire.ROLLBACK else 'T'
            return self._reply(used.state)
        if self._waiting >= TARGET_QUEUE:
            return self._error('BUSY')
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            slow = self._replay.slowdown() if self.is_slow else 1.0
            await asyncio.sleep(work_ms * slow / 1000)
        finally:
            self._slots.release()
        if word == 'COMMIT':
            used.state = 'I'
        if word in ('WRITE', 'COMMIT'):
            self._replay.write()
        return self._reply(used.state)

    def _reply(self, state: str) -> connection_module.Reply:
        return connection_module.Reply(
            (), 'signed', None, state, self.position()
        )

    def _error(self, code: str) -> connection_module.Reply:
        return connection_module.Reply(
            (), '', wire.Error(code, ''), 'I', self.position()
        )


class _Connection:
    """A connection to a model target; lacks nothing."""

    def __init__(self) -> None:
        self.state = 'I'

    def preparation(
        self, work: work_module.Work
    ) -> list[connection_module.TargetStatement]:
        return []

    def text(self, work: work_module.Work) -> str:
        return work.text


class ModelPool(pool_module.TargetPool):
    """A pool whose connections lead to a model target."""

    model: ModelTarget

    def has_idle(self, account: str) -> bool:
        return True

    async def checkout(self, work: Any, timeout_ms: int) -> Any:
        return _Connection()

    def checkin(self, used: Any) -> None:
        """Keep nothing."""

    def discard(self, used: Any) -> None:
        """Keep nothing."""

    async def run(self, used: Any, steps: Any, timeout_ms: int) -> Any:
        replies = []
        try:
            async with asyncio.timeout(max(0, timeout_ms) / 1000):
                await asyncio.sleep(2 * self.model.one_way_ms / 1000)
                for step in steps:
                    work_ms = _WORK_MS.get(step.request_id, 0.0)
                    replies.append(
                        await self.model.answer(used, step, work_ms)
                    )
        except TimeoutError as error:
            raise exceptions.AnswerLost(
                'no answer in time', step='statement'
            ) from error
        return replies


# The work of each statement, by its id.
_WORK_MS: dict[str, float] = {}


class _Targets:
    """The registry: one primary and two replicas."""

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

    def of_service(self, service: str) -> list[catalog.Target]:
        return self._targets

    def claimed_primary(self, service: str) -> catalog.Target:
        return self._targets[0]

    def departed_replicas(self, service: str) -> list[watch.Departure]:
        return []

    def claim_version(self, target_id: str) -> int:
        return 1


class _Replay:
    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.pattern = pattern
        self._random = random.Random(seed)
        self._clock = virtual_time.LoopClock()
        self._start_ms = self._clock.now()
        self.written = 0
        self._writes_ms: list[int] = []
        self.results = {each.name: Result() for each in KINDS}
        self._ids = 0
        self._transactions = 0
        self._tasks: list[asyncio.Task[None]] = []

    def _now(self) -> int:
        return self._clock.now() - self._start_ms

    def is_troubled(self) -> bool:
        return self.pattern.from_ms <= self._now() < self.pattern.until_ms

    def slowdown(self) -> float:
        return self.pattern.slow if self.is_troubled() else 1.0

    def write(self) -> None:
        self.written += 1
        self._writes_ms.append(self._now())

    def applied(self) -> int:
        """Return what the replicas have applied."""
        lag_ms = self.pattern.lag_ms
        if self.is_troubled():
            # Nothing is applied from the start of the trouble on.
            lag_ms = min(
                self.pattern.trouble_lag_ms,
                lag_ms + self._now() - self.pattern.from_ms,
            )
        return bisect.bisect_right(self._writes_ms, self._now() - lag_ms)

    async def run(self) -> dict[str, Result]:
        targets = _Targets(self.pattern.slots)
        service = catalog.Service(SERVICE, 60, is_synchronous=True)
        current = catalog.Catalog(
            version=1, services_by_name={SERVICE: service}
        )
        gateway = gateway_module.ServiceGateway(
            SERVICE,
            self._clock,
            self._random,
            targets,  # type: ignore[arg-type]
            lambda: current,
            metrics.Metrics(),
        )
        for number, pool in enumerate(gateway.group.pools_by_id.values()):
            model = ModelTarget(self, number)
            assert isinstance(pool, ModelPool)
            pool.model = model
            pool.round_trip_ms = 2 * model.one_way_ms
        upkeep = asyncio.create_task(self._upkeep(gateway))
        arrivals = [
            asyncio.create_task(self._arrivals(gateway, each))
            for each in KINDS
        ]
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self._tasks)
        upkeep.cancel()
        return self.results

    async def _upkeep(self, gateway: gateway_module.ServiceGateway) -> None:
        while True:
            gateway.review_waiting()
            gateway.group.freshness.record(
                self._clock.now(), types.Position(1, self.written)
            )
            await self._clock.sleep(100)

    async def _arrivals(
        self, gateway: gateway_module.ServiceGateway, kind: Kind
    ) -> None:
        while self._now() < self.pattern.length_ms:
            rate = kind.per_s * self.pattern.load
            if self.is_troubled():
                rate *= self.pattern.burst
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._operation(gateway, kind))
            self._tasks.append(task)

    async def _operation(
        self, gateway: gateway_module.ServiceGateway, kind: Kind
    ) -> None:
        result = self.results[kind.name]
        result.asked += 1
        result.owed += kind.worth
        started_ms = self._now()
        deadline_ms = started_ms + kind.deadline_ms
        is_write = self._random.random() < kind.writes
        count = 3 if self._random.random() < kind.transactions else 1
        work_ms = self._random.lognormvariate(0, 0.7) * kind.work_ms / 1.28
        for _ in range(1 + RETRIES):
            refusal = await self._attempt(
                gateway, kind, is_write, count, work_ms, started_ms
            )
            if refusal is None:
                return
            result.refused += 1
            retry_ms = refusal.retry_after_ms or FALLBACK_RETRY_MS
            if self._now() + retry_ms >= deadline_ms:
                break
            await self._clock.sleep(retry_ms)
        result.unserved += 1

    def _statements(
        self, kind: Kind, is_write: bool, count: int
    ) -> collections.abc.Iterator[work_module.Work]:
        """Return an operation of one statement, or a transaction."""
        self._transactions += 1
        number = self._transactions
        for stage in _stages(count):
            self._ids += 1
            commits = stage is work_module.Stage.END
            text = 'WRITE x 1' if is_write else 'READ x'
            yield work_module.Work(
                request_id=f'r{self._ids}',
                text='COMMIT' if commits else text,
                stage=stage,
                service=SERVICE,
                account='a',
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

    async def _attempt(
        self,
        gateway: gateway_module.ServiceGateway,
        kind: Kind,
        is_write: bool,
        count: int,
        work_ms: float,
        started_ms: int,
    ) -> work_module.Refused | None:
        """Run one attempt; None once the operation is over."""
        result = self.results[kind.name]
        asked_ms = self._now()
        await self._clock.sleep(CALLER_MS)
        for work in self._statements(kind, is_write, count):
            _WORK_MS[work.request_id] = COMMIT_MS if work.commits else work_ms
            outcome = await gateway.run('host', work)
            del _WORK_MS[work.request_id]
            if isinstance(outcome, work_module.Answered):
                continue
            result.held_ms.append(self._now() - asked_ms)
            if isinstance(outcome, work_module.Refused):
                return outcome
            result.unserved += 1
            return None
        took_ms = self._now() - started_ms
        if took_ms <= kind.objective_ms:
            result.in_time += 1
            result.credit += kind.worth
        elif took_ms <= kind.deadline_ms:
            result.late += 1
            result.credit += kind.late_worth
        else:
            result.unserved += 1
        return None


def _stages(count: int) -> list[work_module.Stage]:
    if count == 1:
        return [work_module.Stage.SINGLE]
    return [
        work_module.Stage.OPEN,
        *[work_module.Stage.WITHIN] * (count - 1),
        work_module.Stage.END,
    ]


def replay(pattern: Pattern, seed: int) -> dict[str, Result]:
    """Play a pattern; returns what callers got, by kind."""
    log.silence()
    original = pool_module.TargetPool
    pool_module.TargetPool = ModelPool  # type: ignore[misc]
    loop = virtual_time.VirtualLoop()
    try:
        return loop.run_until_complete(_play(pattern, seed))
    finally:
        pool_module.TargetPool = original  # type: ignore[misc]
        loop.close()


async def _play(pattern: Pattern, seed: int) -> dict[str, Result]:
    return await _Replay(pattern, seed).run()


def main() -> int:
    """Print a table of all patterns."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--pattern', choices=[each.name for each in PATTERNS])
    parser.add_argument('--seed', type=int, default=1)
    chosen = parser.parse_args()
    print(
        f'{"pattern":<16} {"kind":<19} {"asked":>6} {"in time":>7} '
        f'{"late":>5} {"lost":>5} {"refused":>7} {"held ms":>7} {"worth":>6}'
    )
    for pattern in PATTERNS:
        if chosen.pattern not in (None, pattern.name):
            continue
        results = replay(pattern, chosen.seed)
        for name, each in results.items():
            held = statistics.mean(each.held_ms) if each.held_ms else 0
            print(
                f'{pattern.name:<16} {name:<19} {each.asked:>6} '
                f'{each.in_time:>7} {each.late:>5} {each.unserved:>5} '
                f'{each.refused:>7} {held:>7.0f} '
                f'{each.credit / each.owed:>6.3f}'
            )
        credit = sum(each.credit for each in results.values())
        owed = sum(each.owed for each in results.values())
        print(f'{pattern.name:<16} {"all":<19} {credit / owed:>57.3f}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
