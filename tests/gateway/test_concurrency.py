"""The limit of concurrent statements of a target, on a manual clock."""

import heapq
import itertools
import random

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.gateway import concurrency
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import group as group_module
from samphirestand.gateway import pool as pool_module
from samphirestand import metrics as metrics_module

SLOTS = 6
SHORT = ('primary', 100, 1, False, 'single')
LONG = ('primary', 800, 1, False, 'single')
WORK_MS_BY_KIND = {SHORT: 10, LONG: 60}


class Model:
    """A target that is given as many statements as the limit allows.

    ``grow`` returns how many times longer a statement takes beside others.
    In each second the load is low for ``calm_ms``.
    """

    def __init__(self, seed=1, slots=SLOTS, calm_ms=400):
        self.random = random.Random(seed)
        self.clock = clock_module.ManualClock()
        self.kind_times = concurrency.KindTimes()
        self.limit = concurrency.ConcurrencyLimit(
            self.clock, slots, self.kind_times
        )
        self.running = []
        self.numbers = itertools.count()
        self.calm_ms = calm_ms
        self.limits = []

    def run(self, duration_ms, grow, kinds=(SHORT,)):
        """Run the target; returns the limits at each step of the time."""
        self.limits = []
        end_ms = self.clock.now() + duration_ms
        while self.clock.now() < end_ms:
            now = self.clock.now()
            while self.running and self.running[0][0] <= now:
                _, _, kind, count, took_ms = heapq.heappop(self.running)
                self.limit.record(kind, count, took_ms)
            wanted = self.limit.limit
            if now % 1_000 < self.calm_ms:
                wanted = min(wanted, self.random.randint(1, 2))
            while len(self.running) < wanted:
                self.start(now, grow, kinds)
            if now % 100 == 0:
                self.limit.review()
                self.limits.append(self.limit.settled_limit)
            self.clock.set(now + 1)
        return self.limits

    def start(self, now, grow, kinds):
        kind = self.random.choice(kinds)
        count = len(self.running) + 1
        took_ms = WORK_MS_BY_KIND[kind] * grow(count)
        took_ms *= self.random.lognormvariate(0, 0.7)
        if self.random.random() < 0.01:
            took_ms *= 5
        entry = (now + took_ms, next(self.numbers), kind, count, took_ms)
        heapq.heappush(self.running, entry)


def steady(count):
    return 1.0


def from_half_on(count):
    return max(1.0, count / (SLOTS / 2)) ** 2


@pytest.mark.parametrize('seed', range(8))
def test_target_that_slows_down_from_half_of_its_slots_is_limited(seed):
    """Fails if a target gets more than it serves; bound: within seconds."""
    model = Model(seed)
    model.run(4_000, steady)
    limits = model.run(8_000, from_half_on)
    assert max(limits[50:]) <= 4
    assert min(limits) >= 2


@pytest.mark.parametrize('seed', range(4))
def test_limit_ends_seconds_after_the_slowdown(seed):
    """Fails if a target that has recovered keeps idle slots."""
    model = Model(seed)
    model.run(8_000, from_half_on)
    assert model.limit.is_limited
    model.run(10_000, steady)
    assert model.limit.settled_limit == SLOTS


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('kinds', [(SHORT,), (SHORT, LONG), (LONG,)])
def test_steady_target_keeps_its_slots(seed, kinds):
    """Fails if times that vary, or long statements, look like a slowdown."""
    model = Model(seed)
    assert set(model.run(20_000, steady, kinds)) == {SLOTS}


@pytest.mark.parametrize('seed', range(8))
def test_target_that_is_slower_for_seconds_keeps_its_slots(seed):
    """Fails if a target that is slow at any concurrency is limited, too.

    While it gets slower, more statements are in flight there.
    """
    model = Model(seed)
    limits = model.run(5_000, steady)
    limits += model.run(6_000, lambda count: 8.0)
    limits += model.run(5_000, steady)
    assert set(limits) == {SLOTS}


@pytest.mark.parametrize('seed', range(4))
def test_arrival_of_long_statements_is_no_slowdown(seed):
    """Fails if long statements that come under load lower the limit."""
    model = Model(seed)
    limits = model.run(5_000, steady, (SHORT, SHORT, SHORT, LONG))
    limits += model.run(8_000, steady, (LONG,))
    assert set(limits) == {SLOTS}


def test_limit_is_never_below_one():
    """Fails if a target gets nothing more, so that it can't recover."""
    model = Model()
    model.run(4_000, steady)
    limits = []
    for step in range(2_000):
        count = step % SLOTS + 1
        model.limit.record(SHORT, count, 5 * count**2)
        model.clock.set(model.clock.now() + 5)
        model.limit.review()
        limits += [model.limit.limit, model.limit.settled_limit]
    assert min(limits) == 1
    assert model.limit.settled_limit == 1


@pytest.mark.parametrize(
    ('declared', 'slots'),
    [(-1, 1), (0, 1), (1, 1), (5, 5), (10**12, concurrency.MAX_SLOTS)],
)
def test_declared_slots_are_clamped(declared, slots):
    """Fails if a target's false declaration stops the gateway or floods."""
    limit = concurrency.ConcurrencyLimit(
        clock_module.ManualClock(), declared, concurrency.KindTimes()
    )
    assert limit.limit == slots


@pytest.mark.parametrize('seed', range(4))
def test_target_with_fewer_slots_than_declared_is_limited(seed):
    """Fails if statements queue at a target that declares too many slots."""
    model = Model(seed, slots=24)
    model.run(15_000, lambda count: max(1.0, count / 4))
    assert model.limit.settled_limit <= 8


def test_kinds_are_bounded():
    """Fails if each new kind of statement takes memory for good."""
    times = concurrency.KindTimes()
    for number in range(10 * concurrency.MAX_KINDS):
        times.compare(('primary', number, 1, False, 'single'), 5, is_calm=True)
    assert len(times._usual_by_kind) == concurrency.MAX_KINDS


class FakeTargets:
    """A registry of one target."""

    is_complete = True

    def __init__(self):
        self.target = catalog.Target(
            'i-1', 'svc', '127.0.0.1', 9, 'north', SLOTS, False, True, 1
        )

    def of_service(self, service):
        return [self.target]

    def claimed_primary(self, service):
        return None


def create_group(targets=None, **options):
    return group_module.TargetGroup(
        'svc',
        clock_module.ManualClock(),
        targets or FakeTargets(),
        lambda: catalog.Catalog(version=1),
        **options,
    )


def test_handed_over_limit_holds_for_the_same_start_of_the_target():
    """Fails if a new gateway floods a target that can't take it."""
    earlier, later = create_group(), create_group()
    for group in (earlier, later):
        group.refresh()
    earlier.pools_by_id['i-1'].limit.adopt(2)
    later.adopt_limits(earlier.limits_by_start())
    assert later.pools_by_id['i-1'].slots == 2
    later.adopt_limits({catalog.TargetStart('i-1', 7): 4})
    assert later.pools_by_id['i-1'].slots == 2


def test_restarted_target_is_given_half_of_its_slots_first():
    """Fails if a target that has just started gets all at once."""
    targets = FakeTargets()
    group = create_group(targets)
    group.refresh()
    assert group.pools_by_id['i-1'].slots == SLOTS
    targets.target = catalog.Target(
        'i-1', 'svc', '127.0.0.1', 9, 'north', SLOTS, False, True, 2
    )
    group.refresh()
    pool = group.pools_by_id['i-1']
    assert pool.slots <= SLOTS // 2 + 1
    for _ in range(30):
        group._clock.set(group._clock.now() + 100)
        pool.limit.review()
    assert pool.slots == SLOTS


def test_option_restores_the_declared_slots():
    """Fails if the limits can't be switched off."""
    group = create_group(adaptive_limits=False)
    group.refresh()
    group.adopt_limits({catalog.TargetStart('i-1', 1): 2})
    assert group.pools_by_id['i-1'].slots == SLOTS


def test_sample_has_no_round_trip():
    """Fails if a slow link looks like a slow target."""
    clock = clock_module.ManualClock()
    recorded = []

    class Limit(concurrency.ConcurrencyLimit):
        def record(self, kind, concurrency, took_ms):
            recorded.append(took_ms)

    pool = pool_module.TargetPool(
        FakeTargets().target,
        clock,
        10,
        Limit(clock, SLOTS, concurrency.KindTimes()),
    )
    pool.round_trip_ms = 120.0
    sent_ms = clock.now()
    clock.set(sent_ms + 135)
    work = type(
        'Work',
        (),
        {
            'consistency': catalog.Consistency.PRIMARY,
            'objective_ms': 100,
            'priority': 1,
            'writes': False,
            'commits': True,
        },
    )
    pool.record_sample(work, 1.0, sent_ms)
    assert recorded == [15]


def test_changes_of_a_limit_are_shown_and_logged_once_a_second(monkeypatch):
    """Fails if a limit can't be seen, or fills the log."""
    clock = clock_module.ManualClock()
    metrics = metrics_module.Metrics()
    gateway = gateway_module.ServiceGateway(
        'svc',
        clock,
        random.Random(1),
        FakeTargets(),
        lambda: catalog.Catalog(version=1),
        metrics,
    )
    logged = []
    monkeypatch.setattr(
        gateway_module._log,
        'info',
        lambda event, **fields: logged.append((event, fields['limit'])),
    )
    for limit in (6, 5, 4, 2, 3, 2):
        gateway.group.pools_by_id['i-1'].limit.adopt(limit)
        gateway.review_waiting()
        clock.set(clock.now() + 400)
    assert logged == [
        ('target_limit_changed', 4),
        ('target_limit_changed', 2),
    ]
    assert metrics.gauge('target_limit_i-1') == 2
    gateway.close()
    assert metrics.snapshot()['gauges'] == {}
