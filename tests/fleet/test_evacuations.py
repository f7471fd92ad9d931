"""What hosts know of evacuated zones, and from whom."""

import asyncio
import random

import pytest

from samphirestand import clock as clock_module
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import evacuations
from samphirestand.fleet import frames
from samphirestand import metrics as metrics_module
from samphirestand.platform import records
from samphirestand.platform import store as store_module
from tests.fleet import test_catalog_exchange as exchange_fakes


def create(clock=None, **options):
    return evacuations.Evacuations(
        clock or clock_module.ManualClock(),
        metrics_module.Metrics(),
        lambda: None,
        **options,
    )


def table(version, *keys, deleted=(), value=b'{}', now_ms=0):
    rows = [store_module.Row('op', key, value, version) for key in keys]
    rows += [
        store_module.Row('op', key, b'', version, is_deleted=True)
        for key in deleted
    ]
    return store_module.TableRows(tuple(rows), version, now_ms)


@pytest.mark.parametrize(
    ('key', 'value', 'is_zone'),
    [
        ('evacuate/north', b'{}', True),
        ('evacuate/north', b'{"By": "x"}', True),
        ('evacuate/north', b'', False),
        ('evacuate/north', b'[]', False),
        ('evacuate/north', b'\xff{}', False),
        ('evacuate/', b'{}', False),
        ('evacuate/a b', b'{}', False),
        ('evacuate/' + 'a' * 65, b'{}', False),
    ],
)
def test_rows_that_evacuate(key, value, is_zone):
    """Fails if an odd row evacuates, or a readable one doesn't."""
    assert isinstance(records.decode_evacuation(key, value), str) is is_zone


def test_rows_that_come_and_go():
    """Fails if a revoked or repeated evacuation is missed."""
    known = create()
    assert not known.is_known
    known.adopt_table(table(5, 'config', 'evacuate/a'))
    assert known.is_known and known.zones == {'a'}
    known.adopt_feed(table(6, 'evacuate/b', 'evacuate/a'), 0)
    assert known.zones == {'a', 'b'}
    known.adopt_feed(table(7, deleted=['evacuate/a']), 0)
    assert known.zones == {'b'}
    assert known._metrics.gauge(evacuations.EVACUATED_ZONES) == 1
    # The deletion was missed while the feed was lost.
    known.adopt_table(table(9, 'config'))
    assert known.zones == frozenset()


def test_age_of_a_row_that_was_learned_late():
    """Fails if a host that was cut off takes a row for a new one."""
    clock = clock_module.ManualClock()
    known = create(clock)
    known.adopt_table(table(5))
    lost_ms = clock.now()
    clock.set(lost_ms + 9_000)
    known.adopt_table(table(6, 'evacuate/a', now_ms=9_000))
    assert known.since_ms('a') == lost_ms
    feed = table(7, 'evacuate/b', 'evacuate/a', now_ms=9_000)
    known.adopt_feed(feed, lost_ms)
    assert known.since_ms('b') == clock.now() - evacuations.FEED_LAG_MS
    assert known.since_ms('a') == lost_ms
    # The process was suspended while the answer waited.
    clock.set(clock.now() + 3_000)
    known.adopt_feed(table(8, 'evacuate/c', now_ms=9_000), lost_ms)
    assert known.since_ms('c') == clock.now() - 3_000 - evacuations.FEED_LAG_MS


def test_thousands_of_rows_hide_no_zone():
    """Fails if the number of rows is unbounded, or a zone is dropped."""
    known = create(is_zone=lambda zone: zone == 'z')
    keys = [f'evacuate/{each}' for each in range(5_000)]
    known.adopt_table(table(5, *keys, 'evacuate/z'))
    assert len(known.zones) == evacuations.MAX_ZONES
    assert 'z' in known.zones


def test_rows_are_ignored_where_zones_are_not_evacuated():
    """Fails if a row takes effect that the settings don't call for."""
    known = create(is_enabled=False)
    assert known.is_known
    known.adopt_table(table(5, 'evacuate/a'))
    known.adopt_from_host(9, {'b': 1}, 'host')
    assert known.zones == frozenset()
    assert known.version == 0
    assert known._metrics.counter('evacuation_rows_ignored') == 2


class Link(exchange_fakes.FakeLink):
    """A link to a host that knows evacuated zones."""

    def __init__(self, known):
        super().__init__('host-1', 7)
        self.known = known
        self.evacuation_version = known.version
        self.evacuation_digest = known.digest
        self.return_digest = known.return_digest

    async def request(self, build_frame, timeout_ms):
        self.sent_frames.append(build_frame(1))
        return frames.Snapshot(
            1,
            0,
            b'',
            self.known.version,
            self.known.ages_by_zone(),
            self.known.return_ages_by_zone(),
        )


def exchange_once(own, other, is_job_host=True):
    """Compare with a host of another knowledge; returns what was sent."""

    async def main():
        link = Link(other)
        members = exchange_fakes.FakeMembers()
        members.is_job_host = is_job_host
        exchange = catalog_exchange.CatalogExchange(
            own._clock,
            random.Random(1),
            members,
            exchange_fakes.FakeCatalog(),
            own,
        )
        link.answered_ping_ms = own._clock.now() + 1_000
        exchange.compare_versions(link)
        await asyncio.sleep(0)
        return link.sent_frames

    return asyncio.run(main())


def test_newer_zones_are_fetched_without_the_configuration():
    """Fails if a host misses an evacuation, or its age, that others know."""
    clock = clock_module.ManualClock()
    own, other = create(clock), create(clock)
    other.adopt_table(table(4))
    other.adopt_feed(table(5, 'evacuate/a'), clock.now())
    clock.set(clock.now() + 700)
    sent = exchange_once(own, other)
    assert sent == [frames.SnapshotRequest(1, omits_catalog=True)]
    assert own.zones == {'a'} and own.version == 5
    assert own.since_ms('a') == clock.now() - 700


def test_return_of_a_zone_is_told_to_hosts_that_started_later():
    """Fails if they take the targets of the zone to be warm."""
    clock = clock_module.ManualClock()
    own, other = create(clock), create(clock)
    other.adopt_table(table(5, 'evacuate/a', 'evacuate/b'))
    other.adopt_table(table(6, 'evacuate/b'))
    own.adopt_table(table(6, 'evacuate/b'))
    clock.set(clock.now() + 700)
    assert exchange_once(own, other) != []
    assert own.revoked_ms('a') == clock.now() - 700
    assert exchange_once(own, other) == []
    assert exchange_once(other, own) == []
    clock.set(clock.now() + evacuations.RETURN_KEPT_MS)
    assert other.return_digest == 0


def test_same_zones_are_not_fetched():
    """Fails if each write to the store makes all hosts fetch."""
    own, other = create(), create()
    own.adopt_table(table(5, 'evacuate/a'))
    other.adopt_table(table(9, 'evacuate/a'))
    assert exchange_once(own, other) == []
    assert own.version == 9


def test_older_knowledge_is_not_adopted():
    """Fails if a host that is cut off brings a zone back into use."""
    own, other = create(), create()
    own.adopt_table(table(9, 'evacuate/a'))
    other.adopt_table(table(5))
    assert exchange_once(own, other) == []
    own.adopt_from_host(5, {}, 'host-1')
    assert own.zones == {'a'}


def test_host_without_jobs_tells_a_job_host_that_lacks_a_zone():
    """Fails if job hosts that can't read the store go on sending."""
    own, other = create(), create()
    own.adopt_table(table(9, 'evacuate/a'))
    other.adopt_table(table(5))
    [snapshot] = exchange_once(own, other, is_job_host=False)
    assert set(snapshot.evacuation_ages_by_zone) == {'a'}


@pytest.mark.parametrize(
    'frame',
    [
        frames.Pong(
            1, False, 7, evacuation_version=2**40, evacuation_digest=9
        ),
        frames.Snapshot(1, 7, b'raw', 9, {'a': 5, 'b': 0}, {'c': 3}),
        frames.Pong(1, False, 7, return_digest=8),
        frames.SnapshotRequest(3, omits_catalog=True),
    ],
)
def test_frames_carry_evacuations(frame):
    """Fails if a field is lost on the way to another host."""
    assert frames.decode(frames.encode(frame)[4:]) == frame


def test_too_many_zones_are_not_decoded():
    """Fails if another host can fill this one's memory."""
    ages = {str(each): 1 for each in range(frames.MAX_EVACUATED_ZONES + 1)}
    frame = frames.Snapshot(1, 7, b'', 9, ages)
    with pytest.raises(frames.exceptions.HostError):
        frames.decode(frames.encode(frame)[4:])
