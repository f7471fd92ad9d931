"""Who is served and who is refused under overload, with fair shares."""

import asyncio
import dataclasses

import pytest

from bench import replay as replay_module
from samphirestand import clock as clock_module
from samphirestand.gateway import slot_queue
from samphirestand import host_options
from tests.gateway import test_slot_queue

PATTERNS_BY_NAME = {
    each.name: each for each in replay_module.FAIRNESS_PATTERNS
}

# Accounts within their share are to be served like load within the capacity,
# less what a flood takes until it is noticed.
SERVED_SHARE = 0.95


def replay(name, seed, fair_shares=True):
    return replay_module.replay_disturbance(
        PATTERNS_BY_NAME[name], seed, fair_shares=fair_shares
    )


def in_time_share(results, accounts=None, kind=None):
    chosen = [
        each
        for (account, kind_name), each in results.items()
        if (accounts is None or int(account[1:]) in accounts)
        and kind in (None, kind_name)
    ]
    return sum(each.in_time for each in chosen) / sum(
        each.operations for each in chosen
    )


def is_served_by_urgency(name, results):
    """Tell whether no kind is served better than a more urgent one."""
    shares = [
        (each.priority, in_time_share(results, kind=each.name))
        for each in PATTERNS_BY_NAME[name].kinds
    ]
    return all(
        share >= other_share
        for priority, share in shares
        for other_priority, other_share in shares
        if priority < other_priority
    )


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    ('name', 'others'),
    [('account-floods', range(1, 10)), ('two-large-accounts', range(2, 42))],
)
def test_flooding_accounts_push_no_other_out(name, others, seed):
    """Fails if an account within its rate takes the slots of others."""
    assert in_time_share(replay(name, seed), others) >= SERVED_SHARE
    assert in_time_share(replay(name, seed, False), others) < SERVED_SHARE


@pytest.mark.parametrize('seed', [1, 2])
def test_flood_of_a_less_urgent_kind_delays_no_urgent_one(seed):
    """Fails if many less urgent statements push urgent ones out."""
    results = replay('late-kind-floods', seed)
    assert in_time_share(results, kind='loadcase-save') >= SERVED_SHARE
    assert is_served_by_urgency('late-kind-floods', results)
    old_results = replay('late-kind-floods', seed, False)
    assert in_time_share(old_results, kind='loadcase-save') < SERVED_SHARE


@pytest.mark.parametrize('seed', [1, 2])
def test_flood_of_an_urgent_kind_is_served_best_and_starves_nothing(seed):
    """Fails if an urgent kind is served worse, or others not at all."""
    results = replay('urgent-kind-floods', seed)
    assert is_served_by_urgency('urgent-kind-floods', results)
    urgent_share = in_time_share(results, kind='compliance-summary')
    for kind in ('loadcase-save', 'flex-review'):
        assert in_time_share(results, kind=kind) > urgent_share / 16
    assert not is_served_by_urgency(
        'urgent-kind-floods', replay('urgent-kind-floods', seed, False)
    )


@pytest.mark.parametrize('seed', [1, 2])
def test_small_accounts_of_140_are_served_better_than_large_ones(seed):
    """Fails if accounts with the most work get the most of the slots."""
    results = replay('140-accounts', seed)
    small, large = range(70, 140), range(10)
    assert in_time_share(results, small) > 2 * in_time_share(results, large)
    assert is_served_by_urgency('140-accounts', results)
    old_results = replay('140-accounts', seed, False)
    assert in_time_share(old_results, small) < in_time_share(
        old_results, large
    )


def create_request(clock, account='a', priority=0, **changes):
    request = test_slot_queue.create_request(clock, needs_primary=True)
    defaults = {'request_id': f'{account}-{priority}', 'objective_ms': 300}
    request.work = dataclasses.replace(
        request.work, account=account, priority=priority, **defaults | changes
    )
    return request


def run_full(scenario, options=None):
    """Run a scenario with a queue whose single target has no free slot."""

    async def run():
        clock = clock_module.ManualClock()
        group = test_slot_queue.FakeGroup(clock, 1)
        group.primary.running_count = group.primary.target.slots
        queue = slot_queue.SlotQueue(clock, group, options, fair_shares=True)
        tasks = []

        async def add(*requests):
            for each in requests:
                tasks.append(asyncio.create_task(queue.wait_for_slot(each)))
                await asyncio.sleep(0)

        try:
            return await scenario(clock, group, queue, add)
        finally:
            for each in tasks:
                each.cancel()

    return asyncio.run(run())


def test_least_urgent_of_the_flood_is_refused_at_once_for_a_newcomer():
    """Fails if newcomers are refused while a flood waits before them."""

    async def scenario(clock, group, queue, add):
        flood = [
            create_request(clock, 'flood', priority=each % 2)
            for each in range(60)
        ]
        await add(*flood)
        newcomer = create_request(clock, 'small', priority=1)
        await add(newcomer)
        refused = [each for each in flood if each.future.cancelled()]
        assert refused
        assert {each.work.priority for each in refused} == {1}
        assert {each.refusal_cause for each in refused} == {
            slot_queue.Cause.DISPLACED
        }
        assert not newcomer.future.done()
        for _ in range(3):
            group.primary.running_count = 0
            queue.assign_slots()
        assert newcomer.future.done()

    run_full(scenario)


def test_nothing_is_refused_while_a_target_has_a_slot_for_it():
    """Fails if a long queue has work refused that could run now."""

    async def scenario(clock, group, queue, add):
        await add(*(create_request(clock) for _ in range(10)))
        group.primary.running_count = 0
        request = next(iter(queue._entries))
        queue._end_wait(request)
        assert request.future.result() is group.primary

    run_full(scenario)


@pytest.mark.parametrize(
    ('options', 'size', 'kept'),
    [
        (host_options.QueueOptions(max_waiting=5), 10, 5),
        (host_options.QueueOptions(max_waiting_bytes=2**20), 2**18, 4),
    ],
)
def test_queue_is_bounded_in_count_and_bytes(options, size, kept):
    """Fails if callers can make a gateway hold any amount of work."""

    async def scenario(clock, group, queue, add):
        requests = [
            create_request(clock, text='x' * size, objective_ms=60_000)
            for _ in range(8)
        ]
        await add(*requests)
        assert len(queue) == kept
        assert queue.waiting_bytes <= options.max_waiting_bytes
        urgent = create_request(clock, 'b', text='x' * size)
        await add(urgent)
        assert not urgent.future.done()
        assert len(queue) == kept

    run_full(scenario, options)


def test_open_transactions_go_first_and_late_work_last():
    """Fails if transactions hold connections, or late work delays other."""

    async def scenario(clock, group, queue, add):
        late = create_request(clock, budget_ms=9_000, objective_ms=10)
        queue.enqueue(late)
        clock.set(clock.now() + 100)
        in_time = create_request(clock, priority=7)
        pinned = create_request(clock, priority=7)
        pinned.pinned_pool = group.primary
        order = [pinned, in_time, late]
        for each in (in_time, pinned):
            queue.enqueue(each)
        group.primary.running_count -= 1
        for served_count in range(1, 4):
            queue.assign_slots()
            assert [each.future.done() for each in order] == [
                each < served_count for each in range(3)
            ]
            group.primary.running_count -= 1

    run_full(scenario)


def test_public_routes_are_one_account():
    """Fails if work without an account breaks the queue."""

    async def scenario(clock, group, queue, add):
        await add(*(create_request(clock, '') for _ in range(3)))
        assert queue.account_waiting('') == 3

    run_full(scenario)


def test_refusals_are_counted_by_cause():
    """Fails if operators can't tell who was refused, and why."""
    snapshot = replay_module.replay_metrics(
        PATTERNS_BY_NAME['account-floods'], 1
    )
    counters = snapshot['counters']
    causes = {each: f'gateway_refused_{each}' for each in slot_queue.Cause}
    assert counters[causes[slot_queue.Cause.DISPLACED]] > 0
    assert counters['gateway_refused'] == sum(
        counters.get(each, 0) for each in causes.values()
    )
    # The overload is over: nothing waits.
    for name in ('queue_waiting_svc', 'queue_waiting_bytes_svc'):
        assert snapshot['gauges'][name] == 0


def test_cancelled_wait_neither_gets_a_slot_nor_stops_the_queue():
    """Fails if a wait that was cancelled a moment ago breaks the queue."""

    async def scenario(clock, group, queue, add):
        cancelled = [create_request(clock) for _ in range(20)]
        for each in cancelled:
            queue.enqueue(each)
            each.future.cancel()
        waiting = create_request(clock)
        group.primary.running_count -= 1
        queue.enqueue(waiting)
        queue.assign_slots()
        assert waiting.future.result() is group.primary
        for _ in range(100):
            queue.enqueue(each := create_request(clock))
            each.future.cancel()
        await add(create_request(clock, objective_ms=10))
        assert len(queue) < 100

    run_full(scenario)


def test_requests_that_cannot_run_cost_one_look_for_each_interval():
    """Fails if each event has all waiting work asked whether it can run."""

    async def scenario(clock, group, queue, add):
        # The evidence for the primary is older than the work.
        clock.set(clock.now() + 1_000)
        for _ in range(1_000):
            queue.enqueue(create_request(clock, objective_ms=60_000))
        group.primary.running_count = 0
        examined = []
        can_run = queue._can_run
        queue._can_run = lambda *arguments: (
            examined.append(1),
            can_run(*arguments),
        )[1]
        for _ in range(200):
            queue.assign_slots()
        assert len(examined) == 1_000
        clock.set(clock.now() + slot_queue.RECHECK_INTERVAL_MS)
        queue.assign_slots()
        assert len(examined) == 2_000

    run_full(scenario)
