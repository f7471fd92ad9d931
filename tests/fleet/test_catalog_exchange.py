"""Exchange of the configuration with hosts that can't read the store."""

import asyncio
import random

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import frames


class FakeMembers:
    """Tells whether this host is a job host, and holds its links."""

    is_job_host = True
    local = frames.Hello('local', 'north', '127.0.0.1', 1, 1)

    def __init__(self):
        self.links = []

    def up_links(self):
        return self.links


class FakeCatalog:
    """Holds a configuration and adopts any newer version."""

    def __init__(self):
        self.current = catalog.Catalog(version=7)
        self.raw = b'raw-7'
        self.sources = []
        self.confirmed_ms = None

    def confirm(self, moment_ms):
        self.confirmed_ms = moment_ms

    def adopt_if_newer(self, raw, source):
        self.sources.append(source)
        version = int(raw.partition(b'-')[2])
        if version > self.current.version:
            self.current = catalog.Catalog(version=version)
            self.raw = raw


class FakeLink:
    """A link to a host with its own version; records the frames sent."""

    is_up = True

    def __init__(self, host_id, version, zone='north'):
        self.peer = frames.Hello(host_id, zone, '127.0.0.1', 1, 1)
        self.catalog_version = version
        self.catalog_confirmed_ms = None
        self.answered_ping_ms = 0
        self.request_count = 0
        self.sent_frames = []

    async def request(self, build_frame, timeout_ms):
        self.request_count += 1
        await asyncio.sleep(0)
        version = self.catalog_version
        return frames.Snapshot(1, version, b'raw-%d' % version)

    def send(self, frame):
        self.sent_frames.append(frame)


@pytest.fixture
def exchange():
    """Return an exchange with a clock that the test advances."""
    return catalog_exchange.CatalogExchange(
        clock_module.ManualClock(),
        random.Random(1),
        FakeMembers(),
        FakeCatalog(),
    )


def review_links(exchange, links, duration_ms):
    """Review all links every 250 ms, the interval of ping rounds."""

    async def scenario():
        for _ in range(duration_ms // 250):
            for link in links:
                link.answered_ping_ms = exchange._clock.now()
                exchange.compare_versions(link)
            await exchange._clock.advance(250)

    asyncio.run(scenario())


def test_newer_version_is_fetched_from_one_host_only(exchange):
    """Fails if the large configuration is requested from several hosts."""
    links = [FakeLink(f'host-{each}', 8) for each in range(5)]
    review_links(exchange, links, 1_500)
    assert exchange._catalog.current.version == 8
    assert sum(link.request_count for link in links) == 1


def test_version_that_comes_from_the_store_is_not_fetched(exchange):
    """Fails if each change is also fetched from a host that got it earlier."""
    link = FakeLink('host-1', 8)
    exchange.compare_versions(link)
    exchange._catalog.adopt_if_newer(b'raw-8', 'store')
    review_links(exchange, [link], 1_500)
    assert link.request_count == 0


def test_other_host_sends_its_version_to_a_job_host_that_lacks_it(exchange):
    """Fails if job hosts that can't read the store keep an old version."""
    exchange._members.is_job_host = False
    link = FakeLink('host-1', 6)
    review_links(exchange, [link], 2_000)
    assert link.sent_frames == [frames.Snapshot(0, 7, b'raw-7')]


def test_version_is_not_sent_to_a_job_host_that_gets_it_in_time(exchange):
    """Fails if all hosts send each new version to the job hosts."""
    exchange._members.is_job_host = False
    link = FakeLink('host-1', 6)
    review_links(exchange, [link], 500)
    link.catalog_version = 7
    review_links(exchange, [link], 2_000)
    assert link.sent_frames == []


def test_version_is_not_sent_because_of_an_old_pong(exchange):
    """Guards against each host sending each change to all job hosts.

    Calm links are pinged seconds apart, so that most of what a host knows of
    others is older than the change.
    """
    exchange._members.is_job_host = False
    link = FakeLink('host-1', 6)
    exchange.compare_versions(link)
    exchange._clock.set(exchange._clock.now() + 5_000)
    exchange.compare_versions(link)
    assert link.sent_frames == []


def test_newest_version_is_fetched_where_hosts_have_several(exchange):
    """Fails if a restarted host adopts a key that was withdrawn before.

    Hosts that can't read the store may still have an older version.
    """
    links = [FakeLink('host-1', 8), FakeLink('host-2', 9)]
    exchange._members.links = links
    review_links(exchange, links, 1_000)
    assert exchange._catalog.current.version == 9
    assert exchange._catalog.sources == ['host-2']


def test_version_is_fetched_within_the_zone_where_that_is_possible(exchange):
    """Guards against hundreds of copies between zones for each change."""
    links = [
        FakeLink('host-1', 8, 'south'),
        FakeLink('host-2', 8),
        FakeLink('host-3', 8, 'south'),
    ]
    exchange._members.links = links
    review_links(exchange, links, 1_000)
    assert exchange._catalog.sources == ['host-2']


def test_hosts_of_the_zone_are_asked_for_a_newer_version(exchange):
    """Guards against fetching it from another zone, known seconds earlier."""
    links = [FakeLink('host-1', 8, 'south'), FakeLink('host-2', 7)]
    exchange._members.links = links
    assert exchange.host_ids_to_ping() == frozenset()
    review_links(exchange, links, 500)
    assert exchange.host_ids_to_ping() == {'host-2'}
    assert exchange._catalog.sources == []
    review_links(exchange, links, 500)
    assert exchange._catalog.sources == ['host-1']


@pytest.mark.parametrize(
    ('version', 'confirmed_ms'), [(6, 900), (7, 900), (8, None)]
)
def test_freshness_is_adopted_from_hosts_without_a_newer_version(
    exchange, version, confirmed_ms
):
    """Guards against old configurations that count as fresh.

    A host with a newer version says nothing about this host's version.
    """
    link = FakeLink('n1', version)
    link.catalog_confirmed_ms = 900
    exchange.compare_versions(link)
    assert exchange._catalog.confirmed_ms == confirmed_ms
