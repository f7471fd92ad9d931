"""Rate limits of accounts over hosts that move tokens to each other."""

import asyncio
import random

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import frames

HOSTS = 9
PING_INTERVAL_MS = 250
ROUND_TRIP_MS = 9


class FakeFleet:
    """Hosts that share one clock; they reach each other unless partitioned."""

    def __init__(self, accounts, rate_slack=0, services=4):
        self.clock = clock_module.ManualClock()
        self.catalog = catalog.Catalog(
            version=1,
            services_by_name={
                f's{number}': catalog.Service(f's{number}', 16, True)
                for number in range(services)
            },
            accounts_by_name={each.name: each for each in accounts},
        )
        self.is_partitioned = False
        self.hosts = [FakeMembers(self, number) for number in range(HOSTS)]
        for host in self.hosts:
            host.rate_limiter = allowance_module.AccountRateLimiter(
                self.clock, host, lambda: self.catalog, rate_slack
            )

    def run_ping_round(self):
        for host in self.hosts:
            for key, deposits in host.rate_limiter.deposits_by_host().items():
                if not self.is_partitioned:
                    self.hosts[int(key)].rate_limiter.accept_deposits(deposits)


class FakeMembers:
    """The part of ``Members`` that rate limits use."""

    token_source_count = HOSTS
    is_token_source = True
    knows_fleet = True

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.local = frames.Hello(str(number), 'zone', '127.0.0.1', 1, 1)
        self.rate_limiter = None

    def host_for(self, job, zone=None):
        if self.fleet.is_partitioned:
            return self.local.host_id
        return str(sum(job.encode()) % HOSTS)

    def hosts_for(self, jobs):
        return [self.host_for(each) for each in jobs]

    def link_to(self, host_id):
        return FakeLink(self.fleet, self.fleet.hosts[int(host_id)])


class FakeLink:
    """Requests tokens from another host, which takes one round trip."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def request(self, build_frame, timeout_ms):
        token_request = build_frame(1)
        await self.fleet.clock.sleep(ROUND_TRIP_MS)
        granted = self.host.rate_limiter.grant_tokens(
            token_request.account,
            token_request.millitokens,
            token_request.min_millitokens,
        )
        return frames.TokenAnswer(token_request.call_id, granted)


async def run_operations(
    fleet, account, operations_per_s, duration_ms, hosts, seed=1
):
    """Start operations at random times.

    Returns the times of admitted and of refused operations.
    """
    generator = random.Random(seed)
    admitted = []
    refused = []

    async def run_operation(host):
        if await host.rate_limiter.take_token(account):
            admitted.append(fleet.clock.now())
        else:
            refused.append(fleet.clock.now())

    tasks = []
    since_ping_ms = 0
    step_ms = 10
    for _ in range(duration_ms // step_ms):
        since_ping_ms += step_ms
        if since_ping_ms >= PING_INTERVAL_MS:
            since_ping_ms = 0
            fleet.run_ping_round()
        if generator.random() < operations_per_s * step_ms / 1000:
            host = generator.choice(hosts)
            tasks.append(asyncio.create_task(run_operation(host)))
        await fleet.clock.advance(step_ms)
    await fleet.clock.advance(1_000)
    await asyncio.gather(*tasks)
    return admitted, refused


async def fill_buckets(fleet):
    """Let the hosts accrue tokens, as if no caller had come yet."""
    for _ in range(40):
        fleet.run_ping_round()
        await fleet.clock.advance(PING_INTERVAL_MS)


@pytest.mark.parametrize('rate_slack', [0, 20])
@pytest.mark.parametrize('host_count', [2, 5, 9])
@pytest.mark.parametrize('rate', [10, 25, 103])
def test_account_below_its_rate_is_admitted(rate, host_count, rate_slack):
    """Fails if tokens are lost, or stay on hosts that don't need them."""

    async def scenario():
        account = catalog.Account('a', rate, rate)
        fleet = FakeFleet([account], rate_slack)
        await fill_buckets(fleet)
        return await run_operations(
            fleet, 'a', rate / 1.6, 6_000, fleet.hosts[:host_count]
        )

    admitted, refused = asyncio.run(scenario())
    assert len(refused) <= 0.01 * (len(admitted) + len(refused))


@pytest.mark.parametrize('rate_slack', [0, 20])
@pytest.mark.parametrize('rate', [10, 25, 103])
def test_account_above_its_rate_is_admitted_at_its_rate(rate, rate_slack):
    """Fails if an account far above its rate gets much less than its rate."""

    async def scenario():
        account = catalog.Account('a', rate, rate)
        fleet = FakeFleet([account], rate_slack)
        await fill_buckets(fleet)
        return await run_operations(fleet, 'a', rate * 4, 6_000, fleet.hosts)

    admitted, _ = asyncio.run(scenario())
    assert len(admitted) >= 0.93 * rate * 6


@pytest.mark.parametrize('is_partitioned', [False, True])
def test_admissions_in_any_window_stay_within_rate_and_burst(is_partitioned):
    """Fails if hosts that can't reach each other use a token twice."""

    async def scenario():
        account = catalog.Account('a', 67, 67)
        fleet = FakeFleet([account])
        await fill_buckets(fleet)
        fleet.is_partitioned = is_partitioned
        return await run_operations(fleet, 'a', 67 * 6, 6_000, fleet.hosts)

    admitted, _ = asyncio.run(scenario())
    for start in admitted:
        count = sum(start <= each < start + 5_000 for each in admitted)
        assert count <= 67 * 5 + 67


def is_admitted_at_once(fleet, host):
    """Tell whether an operation starts without waiting for another host."""

    async def scenario():
        task = asyncio.create_task(host.rate_limiter.take_token('a'))
        for _ in range(5):
            await asyncio.sleep(0)
        is_done = task.done()
        task.cancel()
        return is_done

    return asyncio.run(scenario())


def host_without_pool(fleet):
    return next(
        each
        for each in fleet.hosts
        if each.host_for('rate/a') != each.local.host_id
    )


def test_operation_of_a_calm_account_waits_for_no_other_host():
    """Guards against a round trip between zones before each operation.

    Tokens of an account with a low rate are kept at its pool host.
    """
    fleet = FakeFleet([catalog.Account('a', 5, 5)], rate_slack=20)
    assert is_admitted_at_once(fleet, host_without_pool(fleet))


def test_host_that_owes_a_token_waits_for_the_next():
    fleet = FakeFleet([catalog.Account('a', 5, 5)], rate_slack=20)
    host = host_without_pool(fleet)
    assert is_admitted_at_once(fleet, host)
    assert not is_admitted_at_once(fleet, host)


def test_account_without_a_rate_is_owed_no_token():
    """Guards against operations of an account that operators have stopped."""
    fleet = FakeFleet([catalog.Account('a', 0, 0)], rate_slack=20)
    assert not is_admitted_at_once(fleet, host_without_pool(fleet))


@pytest.mark.parametrize(
    ('rate_slack', 'services'), [(0, 4), (7, 4), (17, 20)]
)
def test_no_token_is_owed_where_all_hosts_could_exceed_the_slack(
    rate_slack, services
):
    """Guards against an excess that grows with the number of gateways."""
    fleet = FakeFleet([catalog.Account('a', 5, 5)], rate_slack, services)
    assert not is_admitted_at_once(fleet, host_without_pool(fleet))


@pytest.mark.parametrize('is_partitioned', [False, True])
@pytest.mark.parametrize('rate', [5, 67])
def test_owed_tokens_stay_within_what_is_tolerated(rate, is_partitioned):
    """Guards against tokens that are owed and never paid."""

    async def scenario():
        account = catalog.Account('a', rate, rate)
        fleet = FakeFleet([account], rate_slack=20, services=HOSTS)
        await fill_buckets(fleet)
        fleet.is_partitioned = is_partitioned
        return await run_operations(fleet, 'a', rate * 6, 10_000, fleet.hosts)

    admitted, _ = asyncio.run(scenario())
    for start in admitted:
        count = sum(start <= each < start + 5_000 for each in admitted)
        assert count <= rate * 5 + rate + 0.5 * 20
    assert len(admitted) <= rate * 10 + rate + 0.5 * 20


@pytest.mark.parametrize('rate_slack', [0, 20])
def test_host_that_does_not_know_the_fleet_accrues_no_tokens(rate_slack):
    """Fails if each starting host accrues the whole rate of an account."""

    async def scenario():
        fleet = FakeFleet([catalog.Account('a', 100, 100)], rate_slack)
        for host in fleet.hosts:
            host.knows_fleet = False
            host.token_source_count = 1
        await fill_buckets(fleet)
        tasks = [
            asyncio.create_task(host.rate_limiter.take_token('a'))
            for host in fleet.hosts
        ]
        await fleet.clock.advance(1_000)
        return await asyncio.gather(*tasks)

    assert not any(asyncio.run(scenario()))


def test_surplus_is_kept_while_no_host_can_hold_the_pool():
    """Fails if tokens are lost while no job host answers."""
    fleet = FakeFleet([catalog.Account('a', 100, 10)])
    host = fleet.hosts[0]
    host.host_for = lambda job, zone=None: ''
    fleet.clock.set(fleet.clock.now() + 400)
    assert host.rate_limiter.deposits_by_host() == {}
    bucket = host.rate_limiter._buckets_by_account['a']
    assert bucket.millitokens > 0


def test_host_that_accrues_no_tokens_reviews_only_accounts_it_serves():
    """Guards against a review of all accounts on each of hundreds of hosts."""
    accounts = [catalog.Account(f'a{number}', 100, 10) for number in range(50)]
    fleet = FakeFleet(accounts)
    host = fleet.hosts[0]
    host.is_token_source = False
    limiter = host.rate_limiter
    assert limiter.deposits_by_host() == {}
    assert not limiter._buckets_by_account
    limiter._refilled_bucket(accounts[3]).millitokens = 5_000
    limiter.return_token('a3')
    [deposits] = limiter.deposits_by_host().values()
    assert deposits == (frames.Deposit('a3', 6_000),)


def test_host_that_accrues_no_tokens_skips_empty_buckets():
    """Guards against a review of accounts that the host knew at its start.

    Until a host knows others, it counts itself as the only token source and
    has a bucket for each account.
    """
    accounts = [catalog.Account(f'a{number}', 100, 10) for number in range(50)]
    fleet = FakeFleet(accounts)
    host = fleet.hosts[0]
    limiter = host.rate_limiter
    limiter.deposits_by_host()
    host.is_token_source = False
    limiter.deposits_by_host()
    limiter.deposits_by_host()
    assert len(limiter._buckets_by_account) == 50
    assert limiter._accounts_to_review() == []


def test_returning_token_source_is_not_credited_with_the_time_between():
    """Guards against tokens of a time in which other hosts accrued them."""
    account = catalog.Account('a', 90, 10)
    fleet = FakeFleet([account])
    host = fleet.hosts[0]
    limiter = host.rate_limiter
    limiter.deposits_by_host()
    host.is_token_source = False
    limiter.deposits_by_host()
    limiter._buckets_by_account['a'].millitokens = 0
    for _ in range(40):
        fleet.clock.set(fleet.clock.now() + 250)
        limiter.deposits_by_host()
    host.is_token_source = True
    assert limiter._refilled_bucket(account).millitokens == 0
    fleet.clock.set(fleet.clock.now() + 100)
    assert limiter._refilled_bucket(account).millitokens > 0


def test_new_token_source_is_not_credited_with_the_time_before():
    """Guards against tokens that appear whenever the job hosts change."""
    account = catalog.Account('a', 90, 10)
    fleet = FakeFleet([account])
    host = fleet.hosts[0]
    host.is_token_source = False
    fleet.clock.set(fleet.clock.now() + 60_000)
    host.rate_limiter.deposits_by_host()
    host.is_token_source = True
    assert host.rate_limiter._refilled_bucket(account).millitokens == 0
