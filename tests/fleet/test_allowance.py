"""Rates of accounts over hosts that move tokens between each other."""

import asyncio
import random

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import frames

HOSTS = 9
PING_MS = 250
ROUND_TRIP_MS = 9


class FakeFleet:
    """Hosts that share one clock and reach each other, or don't."""

    def __init__(self, accounts):
        self.clock = clock_module.ManualClock()
        self.catalog = catalog.Catalog(
            version=1,
            accounts_by_name={each.name: each for each in accounts},
        )
        self.is_split = False
        self.hosts = [FakeMembers(self, number) for number in range(HOSTS)]
        for host in self.hosts:
            host.allowance = allowance_module.Allowance(
                self.clock, host, lambda: self.catalog
            )

    def ping(self):
        for host in self.hosts:
            for key, deposits in host.allowance.deposits_by_host().items():
                if not self.is_split:
                    self.hosts[int(key)].allowance.accept(deposits)


class FakeMembers:
    """The part of the membership that rates need."""

    token_source_count = HOSTS
    is_token_source = True
    knows_fleet = True

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.local = frames.Hello(str(number), 'zone', '127.0.0.1', 1, 1)
        self.allowance = None

    def host_for(self, job, zone=None):
        if self.fleet.is_split:
            return self.local.host_id
        return str(sum(job.encode()) % HOSTS)

    def link(self, host_id):
        return FakeLink(self.fleet, self.fleet.hosts[int(host_id)])


class FakeLink:
    """Asks the other host's allowance after the time of a round trip."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def ask(self, build, timeout_ms):
        request = build(1)
        await self.fleet.clock.sleep(ROUND_TRIP_MS)
        given = self.host.allowance.give(
            request.account, request.millitokens, request.least
        )
        return frames.TokenAnswer(request.call, given)


async def replay(fleet, account, per_s, duration_ms, hosts, seed=1):
    """Send operations at random moments; returns when each was admitted."""
    generator = random.Random(seed)
    admitted = []
    refused = []

    async def operation(host):
        if await host.allowance.take(account):
            admitted.append(fleet.clock.now())
        else:
            refused.append(fleet.clock.now())

    tasks = []
    since_ping_ms = 0
    step_ms = 10
    for _ in range(duration_ms // step_ms):
        since_ping_ms += step_ms
        if since_ping_ms >= PING_MS:
            since_ping_ms = 0
            fleet.ping()
        if generator.random() < per_s * step_ms / 1000:
            host = generator.choice(hosts)
            tasks.append(asyncio.create_task(operation(host)))
        await fleet.clock.advance(step_ms)
    await fleet.clock.advance(1_000)
    await asyncio.gather(*tasks)
    return admitted, refused


async def fill(fleet):
    """Let the hosts gain tokens as before the first callers."""
    for _ in range(40):
        fleet.ping()
        await fleet.clock.advance(PING_MS)


@pytest.mark.parametrize('host_count', [2, 5, 9])
@pytest.mark.parametrize('rate', [10, 25, 103])
def test_account_inside_its_rate_is_served(rate, host_count):
    """Fails if tokens are lost, or lie on hosts that don't need them."""

    async def scenario():
        account = catalog.Account('a', rate, rate)
        fleet = FakeFleet([account])
        await fill(fleet)
        return await replay(
            fleet, 'a', rate / 1.6, 6_000, fleet.hosts[:host_count]
        )

    admitted, refused = asyncio.run(scenario())
    assert len(refused) <= 0.01 * (len(admitted) + len(refused))


@pytest.mark.parametrize('rate', [10, 25, 103])
def test_account_above_its_rate_gets_its_rate(rate):
    """Fails if an account that asks for much more gets much less."""

    async def scenario():
        account = catalog.Account('a', rate, rate)
        fleet = FakeFleet([account])
        await fill(fleet)
        return await replay(fleet, 'a', rate * 4, 6_000, fleet.hosts)

    admitted, _ = asyncio.run(scenario())
    assert len(admitted) >= 0.93 * rate * 6


@pytest.mark.parametrize('is_split', [False, True])
def test_no_window_holds_more_than_rate_and_burst(is_split):
    """Fails if hosts that can't reach each other spend tokens twice."""

    async def scenario():
        account = catalog.Account('a', 67, 67)
        fleet = FakeFleet([account])
        await fill(fleet)
        fleet.is_split = is_split
        return await replay(fleet, 'a', 67 * 6, 6_000, fleet.hosts)

    admitted, _ = asyncio.run(scenario())
    for start in admitted:
        count = sum(start <= each < start + 5_000 for each in admitted)
        assert count <= 67 * 5 + 67


def test_host_that_does_not_know_the_fleet_gains_nothing():
    """Fails if each host that starts takes the whole rate for itself."""

    async def scenario():
        fleet = FakeFleet([catalog.Account('a', 100, 100)])
        for host in fleet.hosts:
            host.knows_fleet = False
            host.token_source_count = 1
        await fill(fleet)
        tasks = [
            asyncio.create_task(host.allowance.take('a'))
            for host in fleet.hosts
        ]
        await fleet.clock.advance(1_000)
        return await asyncio.gather(*tasks)

    assert not any(asyncio.run(scenario()))
