"""Tests of the rate limiter on a simulated fleet."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand.callers import collector
from samphirestand import types
from tests.callers import fakes
from tests.callers import fleet
from tests.callers import measure_limiter

HOSTS = 4

HOST_NUMBERS = strategies.integers(0, HOSTS - 1)
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('wait'), strategies.integers(1, 2_500)
        ),
        strategies.tuples(
            strategies.just('requests'),
            HOST_NUMBERS,
            strategies.integers(1, 30),
        ),
        strategies.tuples(strategies.just('move'), HOST_NUMBERS, HOST_NUMBERS),
        strategies.tuples(
            strategies.just('return'),
            HOST_NUMBERS,
            HOST_NUMBERS,
            strategies.integers(0, 9),
        ),
        strategies.tuples(strategies.just('cut'), HOST_NUMBERS, HOST_NUMBERS),
        strategies.tuples(strategies.just('heal')),
        strategies.tuples(strategies.just('lose'), strategies.integers(0, 9)),
        strategies.tuples(
            strategies.just('delay'), strategies.integers(0, 400)
        ),
        strategies.tuples(
            strategies.just('pause'), strategies.integers(1, 900)
        ),
        strategies.tuples(strategies.just('owner'), HOST_NUMBERS),
        strategies.tuples(strategies.just('flood')),
    ),
    min_size=5,
    max_size=40,
)


async def run_steps(hosts, steps, rng):
    """Run the generated steps, with a few requests to each host after each."""
    tasks = []
    cut_links = set()
    hosts.has_link = lambda host_a, host_b: (
        frozenset((host_a, host_b)) not in cut_links
    )

    def send_requests(number, count):
        for _ in range(count):
            tasks.append(asyncio.create_task(hosts.request(number)))

    for step in steps:
        match step:
            case 'wait', duration_ms:
                await hosts.clock.advance(duration_ms)
            case 'requests', number, count:
                send_requests(number, count)
                await hosts.clock.settle()
            case 'move', loser, claimer:
                hosts.move_slot(loser, claimer)
            case 'return', loser, claimer, count:
                # No request reaches the first host in between, so it doesn't
                # notice that it lost the slot for a time.
                hosts.move_slot(loser, claimer)
                send_requests(claimer, count)
                await hosts.clock.advance(300)
                hosts.move_slot(claimer, loser)
                send_requests(loser, count)
            case 'cut', host_a, host_b:
                cut_links.add(frozenset((host_a, host_b)))
            case ('heal',):
                cut_links.clear()
            case 'lose', lost_tenths:
                hosts.is_message_lost = lambda lost_tenths=lost_tenths: (
                    rng.random() < lost_tenths / 10
                )
            case 'delay', limit_ms:
                hosts.delay = lambda limit_ms=limit_ms: rng.randint(
                    0, limit_ms
                )
            case 'pause', duration_ms:
                hosts.clock.set(hosts.clock.now() + duration_ms)
            case ('flood',):
                for number in range(HOSTS):
                    send_requests(number, hosts.burst)
            case 'owner', number:
                hosts.owner = hosts.hosts[number]
        for number in range(HOSTS):
            send_requests(number, rng.randint(0, 3))
    await hosts.clock.advance(2_000)
    fleet.results(tasks)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    rate=strategies.integers(1, 200),
    burst=strategies.integers(1, 100),
    slots=strategies.lists(
        strategies.integers(0, 3), min_size=HOSTS, max_size=HOSTS
    ).filter(any),
    steps=STEPS,
    seed=strategies.integers(0, 1_000),
)
def test_fleet_never_passes_the_limit(rate, burst, slots, steps, seed):
    """Guards against tokens created by transfers, faults or moved slots."""
    hosts = fleet.Fleet(rate, burst, slots)
    asyncio.run(run_steps(hosts, steps, random.Random(seed)))
    assert hosts.excess_millitokens() <= 0


async def collect_then_use_all(
    hosts, share, demand_ms, gap_ms, max_delay_ms, seed
):
    """Let one host prefetch tokens, then use all tokens of the fleet."""
    rng = random.Random(seed)
    hosts.delay = lambda: rng.randint(0, max_delay_ms)
    hosts.owner = hosts.hosts[1]
    tasks = []
    end_ms = hosts.clock.now() + demand_ms
    while hosts.clock.now() < end_ms:
        tasks.append(asyncio.create_task(hosts.request(0)))
        mean_ms = 1_000 / (hosts.rate * share)
        await hosts.clock.advance(max(1, int(rng.uniform(0, 2 * mean_ms))))
    await hosts.clock.advance(gap_ms)
    for number in range(HOSTS):
        for _ in range(hosts.burst + 1):
            tasks.append(asyncio.create_task(hosts.request(number, 0)))
    await hosts.clock.advance(1_500)
    fleet.results(tasks)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    rate=strategies.integers(20, 400),
    burst=strategies.integers(10, 100),
    share=strategies.floats(0.3, 2.0),
    demand_ms=strategies.integers(200, 2_000),
    gap_ms=strategies.integers(0, 600),
    max_delay_ms=strategies.integers(0, 100),
    seed=strategies.integers(0, 1_000),
)
def test_transferred_and_refilled_tokens_together(
    rate, burst, share, demand_ms, gap_ms, max_delay_ms, seed
):
    """Guards against refilled buckets that add to transferred tokens.

    Tokens that a host gave away are valid while its bucket refills; both
    together must not exceed the limit.
    """
    hosts = fleet.Fleet(rate, burst, [0, 1, 1, 1])
    asyncio.run(
        collect_then_use_all(
            hosts, share, demand_ms, gap_ms, max_delay_ms, seed
        )
    )
    assert hosts.excess_millitokens() <= 0


@pytest.mark.parametrize('numbers', [[3, 4, 5], [8], [0]])
def test_one_zone_gets_the_whole_rate(numbers):
    """Guards against an account that gets less if its callers share a zone."""
    hosts = fleet.Fleet(300, 150, [1] * 9)
    results = asyncio.run(measure_limiter.run(hosts, 0.95, numbers, 3_000))
    admitted, refused, excess_millitokens = results
    assert excess_millitokens <= 0
    assert refused <= 0.005 * admitted


def test_small_account_gets_tokens_in_fractions():
    """Guards against buckets that never admit as they can't hold a token."""
    hosts = fleet.Fleet(20, 10, [1] * 9)
    results = asyncio.run(measure_limiter.run(hosts, 0.9, range(9), 10_000))
    admitted, refused, _ = results
    assert refused <= 0.15 * admitted


def test_small_account_keeps_its_rate_under_overload():
    """Guards against hosts that each keep a fraction of a token and wait."""
    hosts = fleet.Fleet(20, 10, [1] * 9)
    results = asyncio.run(measure_limiter.run(hosts, 5.0, range(9), 5_000))
    admitted, _, excess_millitokens = results
    assert excess_millitokens <= 0
    assert admitted >= 0.8 * 20 * 5


def test_giving_host_reserves_tokens_for_its_callers():
    """Guards against a host that gives away what its own callers need."""

    async def main():
        hosts = fleet.Fleet(100, 100, [1, 1])
        for _ in range(10):
            await hosts.request_now(1)
        pending_grant = hosts.hosts[1].limiter.give(
            fleet.ACCOUNT, 100_000, False
        )
        grant = await pending_grant
        assert grant.tokens > 0
        for _ in range(4):
            assert await hosts.request_now(1) is None

    asyncio.run(main())


def test_one_token_request_at_a_time():
    """Guards against a request to other hosts for each waiting caller."""

    async def main():
        hosts = fleet.Fleet(10, 20, [0, 1])
        hosts.owner = hosts.hosts[1]
        sent_requests = []

        async def take_tokens(host, account, wanted, collect, timeout_ms):
            sent_requests.append(wanted)
            await hosts.clock.sleep(50)
            return types.TokenGrant(0, 0)

        hosts.hosts[0].take_tokens = take_tokens
        tasks = [asyncio.create_task(hosts.request(0, 200)) for _ in range(5)]
        await hosts.clock.advance(40)
        assert len(sent_requests) == 1
        await hosts.clock.advance(200)
        fleet.results(tasks)

    asyncio.run(main())


@pytest.mark.parametrize(
    ('deadline_ms', 'waited_ms'), [(5_000, 1_000), (1_000, 500), (30, 15)]
)
def test_refusal_after_a_bounded_wait(deadline_ms, waited_ms):
    """Guards against waits longer than 1 s or half of the deadline."""

    async def main():
        hosts = fleet.Fleet(1, 2, [1, 1, 1], transfers=False)
        started_ms = hosts.clock.now()
        task = asyncio.create_task(hosts.request(0, deadline_ms))
        while not task.done():
            await hosts.clock.advance(1)
        refusal = task.result()
        assert hosts.clock.now() - started_ms == waited_ms
        assert refusal.code == 'rate_exceeded'
        assert refusal.retry_after_ms > 0

    asyncio.run(main())


def test_queue_is_bounded_by_what_the_rate_admits():
    """Guards against a queue that grows while an account is over its rate."""

    async def main():
        hosts = fleet.Fleet(10, 1, [0, 1], transfers=False)
        tasks = [asyncio.create_task(hosts.request(0)) for _ in range(50)]
        await hosts.clock.advance(0)
        # The rate is 10 per second, and requests wait up to one second.
        assert sum(task.done() for task in tasks) == 50 - 11
        await hosts.clock.advance(2_000)

    asyncio.run(main())


def test_waiting_requests_are_served_in_order():
    """Guards against a waiting request that overtakes an earlier one."""

    async def main():
        hosts = fleet.Fleet(50, 2, [1], transfers=False)
        order = []

        async def request_and_note(name):
            if await hosts.request(0) is None:
                order.append(name)

        tasks = [
            asyncio.create_task(request_and_note(name)) for name in range(5)
        ]
        await hosts.clock.advance(200)
        fleet.results(tasks)
        assert order == list(range(5))

    asyncio.run(main())


def test_claimed_slot_starts_empty_and_lost_slot_takes_its_tokens():
    """Guards against a slot whose tokens its old and new holder both have."""

    async def main():
        hosts = fleet.Fleet(10, 20, [2, 0], transfers=False)
        for _ in range(2):
            hosts.move_slot(0, 1)
        for number in range(2):
            refusal = await hosts.request_now(number)
            assert refusal.code == 'rate_exceeded'

    asyncio.run(main())


def test_slot_reclaimed_between_requests_is_emptied():
    """Guards against tokens for the time in which another host had the slot.

    The slot is lost and claimed again between two requests, so the number of
    held slots doesn't show it.
    """

    async def main():
        hosts = fleet.Fleet(10, 20, [1, 0], transfers=False)
        limiter = hosts.hosts[0].limiter
        assert await hosts.request_now(0) is None
        await hosts.clock.advance(5_000)
        # ``held`` is 1 again before the limiter reads it.
        limiter.slots_claimed(1)
        grant = await limiter.give(fleet.ACCOUNT, 20_000, False)
        assert grant.tokens == 0

    asyncio.run(main())


@pytest.mark.parametrize(
    ('delay_ms', 'is_admitted'), [(10, True), (150, False)]
)
def test_validity_counts_from_the_request(delay_ms, is_admitted):
    """Guards against tokens that are valid for longer over a slow link."""

    async def main():
        hosts = fleet.Fleet(10, 20, [0, 1])
        hosts.owner = hosts.hosts[1]
        hosts.delay = lambda: delay_ms
        tasks = [asyncio.create_task(hosts.request(0, 200)) for _ in range(5)]
        await hosts.clock.advance(2 * delay_ms + 5)
        fleet.results(tasks)
        assert bool(hosts.admitted_ms) is is_admitted
        # The validity of this account's tokens is 500 ms.
        await hosts.clock.advance(505 - 2 * delay_ms - 5)
        assert await hosts.request_now(0) is not None

    asyncio.run(main())


def test_lost_slot_takes_its_share():
    """Guards against a host that keeps the tokens of a lost slot."""

    async def main():
        hosts = fleet.Fleet(10, 20, [2, 0])
        give = hosts.hosts[0].limiter.give
        await give(fleet.ACCOUNT, 0, False)
        hosts.move_slot(0, 1)
        grant = await give(fleet.ACCOUNT, 20_000, False)
        # Half of 15 tokens: the burst of 20 less the 5 that the rate adds in
        # the validity of 500 ms.
        assert grant.tokens == 7_500

    asyncio.run(main())


def test_idle_account_accumulates_no_more_than_its_burst():
    """Guards against buckets that fill without a limit."""

    async def main():
        hosts = fleet.Fleet(10, 20, [1, 1])
        await hosts.clock.advance(60_000)
        for number in (0, 1) * 20:
            await hosts.request_now(number)
        assert len(hosts.admitted_ms) == 14

    asyncio.run(main())


def test_late_request_waits_behind_earlier_ones():
    """Guards against a new request that gets a waiting request's token."""

    async def main():
        hosts = fleet.Fleet(50, 2, [1], transfers=False)
        await hosts.request_now(0)
        early = asyncio.create_task(hosts.request(0))
        await hosts.clock.settle()
        hosts.clock.set(hosts.clock.now() + 25)
        late = asyncio.create_task(hosts.request(0, deadline_ms=1))
        await hosts.clock.advance(15)
        assert fleet.results([early])[0] is None
        assert fleet.results([late])[0] is not None

    asyncio.run(main())


async def collect_after_pause(pause_ms, wanted):
    """Collect 900 millitokens, less than a first host wants, for a second."""
    source_grants = [900, 0, 0, 0, 0, 0, 0, 0]

    class Source:
        async def collect(self, account, wanted):
            return types.TokenGrant(
                source_grants.pop(0) if source_grants else 0, 500
            )

    manual_clock = fakes.Clock()
    rate_owner = collector.Collector(
        'a', manual_clock, Source(), lambda wanted: 0
    )
    first = asyncio.create_task(rate_owner.collect(1_000, 500))
    await manual_clock.advance(100)
    assert (await first).tokens == 0
    await manual_clock.advance(pause_ms - 100)
    second = asyncio.create_task(rate_owner.collect(wanted, 500))
    await manual_clock.advance(100)
    return await second


@pytest.mark.parametrize(
    ('pause_ms', 'wanted', 'grant'),
    [
        (200, 900, types.TokenGrant(900, 300)),
        (200, 950, types.TokenGrant(0, 0)),
        (501, 900, types.TokenGrant(0, 0)),
    ],
)
def test_pooled_tokens_expire(pause_ms, wanted, grant):
    """Guards against leftover tokens whose validity starts again."""
    assert asyncio.run(collect_after_pause(pause_ms, wanted)) == grant


@pytest.mark.parametrize(
    ('total', 'wanted', 'amounts'),
    [
        (3_000, [1_000, 1_000], [1_000, 1_000]),
        (2_900, [2_000, 2_000], [1_000, 1_000]),
        (900, [1_000, 1_000], [0, 0]),
        (1_500, [700, 700, 700], [700, 700, 0]),
        (0, [500], [0]),
        (10_000, [30_000, 10_000], [8_000, 2_000]),
    ],
)
def test_division_of_collected_tokens(total, wanted, amounts):
    """Guards against fractions that no host can use, and added tokens."""
    assert collector.divide_tokens(total, wanted) == amounts
    assert sum(amounts) <= total
