"""Tests of the audit trail."""

import asyncio
import random

import pytest

from samphirestand import clock
from samphirestand.control import audit
from samphirestand import exceptions
from samphirestand import metrics
from tests.control import fakes


def make_audit(platform, manual, **options):
    return audit.Audit(
        platform, manual, 'h1', generator=random.Random(1), **options
    )


# Faults of the calls.
CASES = [
    [],
    ['down', 'down'],
    ['lost'],
    ['lost', 'down', 'lost'],
]


@pytest.mark.parametrize('faults', CASES)
def test_every_event_is_stored_once(faults):
    """Guards against events that a lost answer drops or doubles."""
    platform = fakes.FakePlatform()
    manual = clock.ManualClock()

    counts = metrics.Metrics()

    async def main():
        trail = make_audit(platform, manual, metrics=counts)
        task = asyncio.create_task(trail.run())
        platform.faults = list(faults)
        for number in range(3):
            trail.record('failover', f's{number}', 'primary died')
            await manual.advance(100)
        await manual.advance(60_000)
        task.cancel()
        assert trail.buffered() == 0
        return await trail.query(audit.Query())

    answer = asyncio.run(main())
    assert [each.subject for each in answer.events] == ['s0', 's1', 's2']
    assert answer.is_complete
    assert len(platform.rows_by_place) == 3
    assert counts.counter('audit_rows_lost') == 0


def test_long_outage_keeps_the_latest_events_and_counts_the_rest():
    """Guards against a buffer without a bound and a silent loss."""
    platform = fakes.FakePlatform()
    manual = clock.ManualClock()
    counts = metrics.Metrics()

    async def main():
        trail = make_audit(platform, manual, metrics=counts)
        task = asyncio.create_task(trail.run())
        platform.down = True
        for number in range(1_200):
            trail.record('refused', f's{number}', '')
            if number == 10:
                await manual.advance(100)
            assert trail.buffered() <= audit.MOST_BUFFERED
        down = await trail.query(audit.Query(limit=2))
        platform.down = False
        await manual.advance(60_000)
        task.cancel()
        return down, await trail.query(audit.Query(limit=2_000))

    down, answer = asyncio.run(main())
    assert not down.is_complete
    assert [each.subject for each in down.events] == ['s1198', 's1199']
    assert not down.events[0].is_stored
    assert counts.counter('audit_rows_lost') == 200
    assert len(answer.events) == 1_001
    lost = [each for each in answer.events if each.kind != 'refused']
    assert [each.reason.split()[0] for each in lost] == ['200']


def test_refused_batch_does_not_block_the_trail():
    """Guards against one bad row that stops all later ones."""
    platform = fakes.FakePlatform()
    transact = platform.transact

    async def refuse_first(puts):
        platform.transact = transact
        raise exceptions.PlatformError('status 400', step='transact')

    platform.transact = refuse_first

    async def main():
        trail = make_audit(platform, clock.ManualClock())
        trail.record('a', 'first', '')
        await trail.stop()
        trail.record('a', 'second', '')
        await trail.stop()
        return await trail.query(audit.Query())

    answer = asyncio.run(main())
    assert [each.subject for each in answer.events] == ['second']


QUERIES = [
    (audit.Query(), [0, 1, 2, 3, 4, 5]),
    (audit.Query(limit=2), [4, 5]),
    (audit.Query(kind='odd'), [1, 3, 5]),
    (audit.Query(subject='s4'), [4]),
    (audit.Query(since_ms=1_000_002, until_ms=1_000_004), [2, 3]),
    (audit.Query(since_ms=2_000_000), []),
]


@pytest.mark.parametrize('query, expected', QUERIES)
def test_query_by_time_kind_and_subject(query, expected, monkeypatch):
    """Guards against events that a query misses at the edge of a page."""
    monkeypatch.setattr(audit, 'PAGE_ROWS', 2)
    manual = clock.ManualClock(1_000_000)

    async def main():
        trail = make_audit(fakes.FakePlatform(), manual)
        for number in range(6):
            trail.record('odd' if number % 2 else 'even', f's{number}', '')
            await manual.advance(1)
        await trail.stop()
        return await trail.query(query)

    answer = asyncio.run(main())
    assert [int(each.subject[1:]) for each in answer.events] == expected
    assert answer.is_complete


def test_query_of_too_many_rows_says_so(monkeypatch):
    """Guards against an answer that looks complete and isn't."""
    monkeypatch.setattr(audit, 'PAGE_ROWS', 2)
    monkeypatch.setattr(audit, 'MOST_ROWS_READ', 4)
    manual = clock.ManualClock(1_000_000)

    async def main():
        trail = make_audit(fakes.FakePlatform(), manual)
        for _ in range(6):
            trail.record('a', 's', '')
        await trail.stop()
        return await trail.query(audit.Query())

    answer = asyncio.run(main())
    assert not answer.is_complete
    assert len(answer.events) == 4
