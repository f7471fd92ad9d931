"""Tests of the weighted fair queue."""

import asyncio
import collections

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand.targets import refusals
from samphirestand.targets import scheduler
from tests.targets import fakes


async def hold_slot(
    queue, clock, account, slot_ms_by_account, duration_ms=10, **fields
):
    """Hold a slot for ``duration_ms`` and add that to the account's sum."""
    deadline = clock.now() + fields.get('limit_ms', 600_000)
    async with queue.slot(account, fields.get('weight', 1), deadline):
        await clock.sleep(duration_ms)
        slot_ms_by_account[account] += duration_ms


async def start_requests(
    queue, clock, slot_ms_by_account, account, count, **fields
):
    """Start ``count`` requests of one account at once."""
    for _ in range(count):
        asyncio.ensure_future(
            hold_slot(queue, clock, account, slot_ms_by_account, **fields)
        )
    await clock.settle()


def run_with_queue(case, slots=2):
    """Run ``case`` with a queue and a clock."""

    async def main():
        clock = fakes.Clock()
        queue = scheduler.Scheduler(clock, slots, 't0')
        await case(queue, clock, collections.Counter())

    asyncio.run(main())


@pytest.mark.parametrize(
    ('weights', 'durations'),
    [
        ({'a': 1, 'b': 1}, {'a': 10, 'b': 10}),
        ({'a': 3, 'b': 1}, {'a': 10, 'b': 10}),
        ({'a': 1, 'b': 1}, {'a': 40, 'b': 5}),
        ({'a': 1, 'b': 2}, {'a': 20, 'b': 10}),
    ],
)
def test_slot_time_is_shared_by_weight(weights, durations):
    """Guards against accounts that win slots by long or many statements."""

    async def case(queue, clock, slot_ms_by_account):
        for account, weight in weights.items():
            await start_requests(
                queue,
                clock,
                slot_ms_by_account,
                account,
                2_000,
                weight=weight,
                duration_ms=durations[account],
            )
        await clock.advance(5_000)
        share = slot_ms_by_account['a'] / (
            slot_ms_by_account['a'] + slot_ms_by_account['b']
        )
        expected = weights['a'] / sum(weights.values())
        assert abs(share - expected) < 0.03

    run_with_queue(case)


def test_a_new_account_is_served_before_a_backlog():
    """Guards against a quiet account that waits behind a busy one."""

    async def case(queue, clock, slot_ms_by_account):
        await start_requests(queue, clock, slot_ms_by_account, 'a', 500)
        await clock.advance(1_000)
        await start_requests(queue, clock, slot_ms_by_account, 'b', 1)
        await clock.advance(25)
        assert slot_ms_by_account['b'] == 10

    run_with_queue(case)


def test_an_idle_account_gains_no_credit():
    """Guards against an idle account that later takes all slots."""

    async def case(queue, clock, slot_ms_by_account):
        await start_requests(queue, clock, slot_ms_by_account, 'b', 1)
        await start_requests(queue, clock, slot_ms_by_account, 'a', 2_000)
        await clock.advance(5_000)
        slot_ms_by_account.clear()
        await start_requests(queue, clock, slot_ms_by_account, 'b', 2_000)
        await clock.advance(1_000)
        assert abs(slot_ms_by_account['a'] - slot_ms_by_account['b']) <= 40

    run_with_queue(case)


def test_unattainable_deadlines_are_refused_early():
    """Guards against requests refused only after a useless wait."""

    async def case(queue, clock, slot_ms_by_account):
        await start_requests(queue, clock, slot_ms_by_account, 'a', 200)
        await clock.advance(200)
        task = asyncio.ensure_future(
            hold_slot(queue, clock, 'a', slot_ms_by_account, limit_ms=300)
        )
        await clock.settle()
        assert task.done()
        assert task.exception().outcome.code == 'deadline_unattainable'
        # Another account has its own share of the slots, so its request
        # can meet the deadline.
        task = asyncio.ensure_future(
            hold_slot(queue, clock, 'b', slot_ms_by_account, limit_ms=300)
        )
        await clock.advance(300)
        assert task.done()
        task.result()

    run_with_queue(case)


def test_a_deadline_that_passes_in_the_queue_is_refused():
    """Guards against a request that stays in the queue forever."""

    async def case(queue, clock, slot_ms_by_account):
        await start_requests(
            queue, clock, slot_ms_by_account, 'a', 2, duration_ms=10_000
        )
        task = asyncio.ensure_future(
            hold_slot(queue, clock, 'a', slot_ms_by_account, limit_ms=100)
        )
        await clock.advance(100)
        assert isinstance(task.exception(), refusals.RequestRefused)
        assert queue.waiting == 0

    run_with_queue(case)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'),
            strategies.integers(1, 30),
            strategies.integers(0, 20),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_slots_are_neither_lost_nor_exceeded(steps):
    """Guards against slots that leak when requests are cancelled."""

    async def case(queue, clock, slot_ms_by_account):
        tasks = []
        for account, duration_ms, pause_ms, is_cancelled in steps:
            tasks.append(
                asyncio.ensure_future(
                    hold_slot(
                        queue, clock, account, slot_ms_by_account, duration_ms
                    )
                )
            )
            await clock.advance(pause_ms)
            assert queue.running <= 2
            assert not queue.waiting or queue.running == 2
            if is_cancelled:
                tasks[len(tasks) // 2].cancel()
        await clock.advance(2_000)
        assert (queue.running, queue.waiting) == (0, 0)
        assert all(task.done() for task in tasks)

    run_with_queue(case)
