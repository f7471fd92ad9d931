"""How hosts that the store turns away get the configuration."""

import asyncio
import random

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import frames


class FakeMembers:
    """Says whether this host does jobs for the fleet."""

    is_job_host = True


class FakeCatalog:
    """A configuration that takes any newer version."""

    def __init__(self):
        self.current = catalog.Catalog(version=7)
        self.raw = b'raw-7'
        self.sources = []

    def adopt_if_newer(self, raw, source):
        self.sources.append(source)
        version = int(raw.partition(b'-')[2])
        if version > self.current.version:
            self.current = catalog.Catalog(version=version)
            self.raw = raw


class FakeLink:
    """A host with a version of its own; keeps what it was sent."""

    is_up = True

    def __init__(self, host_id, version):
        self.peer = frames.Hello(host_id, 'north', '127.0.0.1', 1, 1)
        self.catalog_version = version
        self.asked = 0
        self.told = []

    async def ask(self, build, timeout_ms):
        self.asked += 1
        await asyncio.sleep(0)
        version = self.catalog_version
        return frames.Snapshot(1, version, b'raw-%d' % version)

    def tell(self, frame):
        self.told.append(frame)


@pytest.fixture
def exchange():
    """Return an exchange on a clock that the test moves."""
    return catalog_exchange.CatalogExchange(
        clock_module.ManualClock(),
        random.Random(1),
        FakeMembers(),
        FakeCatalog(),
    )


def review_for(exchange, links, duration_ms):
    """Review all links every 250 ms, as with each round of pings."""

    async def scenario():
        for _ in range(duration_ms // 250):
            for link in links:
                exchange.review(link)
            await exchange._clock.advance(250)

    asyncio.run(scenario())


def test_newer_version_is_fetched_once(exchange):
    """Fails if each host that has it is asked for a large configuration."""
    links = [FakeLink(f'host-{each}', 8) for each in range(5)]
    review_for(exchange, links, 1_500)
    assert exchange._catalog.current.version == 8
    assert sum(link.asked for link in links) == 1


def test_version_that_the_store_brings_is_not_fetched(exchange):
    """Fails if each change is also fetched from a host that was faster."""
    link = FakeLink('host-1', 8)
    exchange.review(link)
    exchange._catalog.adopt_if_newer(b'raw-8', 'store')
    review_for(exchange, [link], 1_500)
    assert link.asked == 0


def test_host_without_jobs_sends_to_job_hosts_that_lack_a_version(exchange):
    """Fails if job hosts that the store turns away keep an old version."""
    exchange._members.is_job_host = False
    link = FakeLink('host-1', 6)
    review_for(exchange, [link], 2_000)
    assert link.told == [frames.Snapshot(0, 7, b'raw-7')]


def test_nothing_is_sent_to_a_host_that_gets_it_in_time(exchange):
    """Fails if all hosts send each new version to the job hosts."""
    exchange._members.is_job_host = False
    link = FakeLink('host-1', 6)
    review_for(exchange, [link], 500)
    link.catalog_version = 7
    review_for(exchange, [link], 2_000)
    assert link.told == []
