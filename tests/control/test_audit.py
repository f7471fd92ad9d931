"""Tests of the audit trail."""

import asyncio
import random

import pytest

from samphirestand import clock
from samphirestand.control import audit
from samphirestand import exceptions
from samphirestand import metrics
from tests.control import fakes


def make_audit_trail(platform, manual_clock, **options):
    return audit.Audit(
        platform, manual_clock, 'h1', generator=random.Random(1), **options
    )


# Faults of the platform calls, in order.
WRITE_FAULTS = [
    [],
    ['down', 'down'],
    ['lost'],
    ['lost', 'down', 'lost'],
]


@pytest.mark.parametrize('faults', WRITE_FAULTS)
def test_every_event_is_stored_once(faults):
    """Guards against events lost or duplicated by a lost response."""
    platform = fakes.FakePlatform()
    manual_clock = clock.ManualClock()

    counters = metrics.Metrics()

    async def main():
        audit_trail = make_audit_trail(
            platform, manual_clock, metrics=counters
        )
        task = asyncio.create_task(audit_trail.run())
        platform.faults = list(faults)
        for number in range(3):
            audit_trail.record('failover', f's{number}', 'primary died')
            await manual_clock.advance(100)
        await manual_clock.advance(60_000)
        task.cancel()
        assert audit_trail.buffered_count() == 0
        return await audit_trail.query(audit.Query())

    answer = asyncio.run(main())
    assert [each.subject for each in answer.events] == ['s0', 's1', 's2']
    assert answer.is_complete
    assert len(platform.rows_by_table_and_key) == 3
    assert counters.counter('audit_rows_lost') == 0


def test_long_outage_keeps_the_latest_events_and_counts_the_rest():
    """Guards against an unbounded buffer and an unreported loss."""
    platform = fakes.FakePlatform()
    manual_clock = clock.ManualClock()
    counters = metrics.Metrics()

    async def main():
        audit_trail = make_audit_trail(
            platform, manual_clock, metrics=counters
        )
        task = asyncio.create_task(audit_trail.run())
        platform.down = True
        for number in range(1_200):
            audit_trail.record('refused', f's{number}', '')
            if number == 10:
                await manual_clock.advance(100)
            assert audit_trail.buffered_count() <= audit.MAX_BUFFERED_EVENTS
        answer_during_outage = await audit_trail.query(audit.Query(limit=2))
        platform.down = False
        await manual_clock.advance(60_000)
        task.cancel()
        return answer_during_outage, await audit_trail.query(
            audit.Query(limit=2_000)
        )

    answer_during_outage, answer = asyncio.run(main())
    assert not answer_during_outage.is_complete
    assert [each.subject for each in answer_during_outage.events] == [
        's1198',
        's1199',
    ]
    assert not answer_during_outage.events[0].is_stored
    assert counters.counter('audit_rows_lost') == 200
    assert len(answer.events) == 1_001
    overflow_events = [
        each for each in answer.events if each.kind != 'refused'
    ]
    assert [each.reason.split()[0] for each in overflow_events] == ['200']


def test_refused_batch_does_not_block_later_events():
    """Guards against one refused row that blocks all later rows."""
    platform = fakes.FakePlatform()
    transact = platform.transact

    async def refuse_once(puts):
        platform.transact = transact
        raise exceptions.PlatformError('status 400', step='transact')

    platform.transact = refuse_once

    async def main():
        audit_trail = make_audit_trail(platform, clock.ManualClock())
        audit_trail.record('a', 'first', '')
        await audit_trail.stop()
        audit_trail.record('a', 'second', '')
        await audit_trail.stop()
        return await audit_trail.query(audit.Query())

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
    """Guards against events missed at the boundary between pages."""
    monkeypatch.setattr(audit, 'PAGE_ROWS', 2)
    manual_clock = clock.ManualClock(1_000_000)

    async def main():
        audit_trail = make_audit_trail(fakes.FakePlatform(), manual_clock)
        for number in range(6):
            audit_trail.record(
                'odd' if number % 2 else 'even', f's{number}', ''
            )
            await manual_clock.advance(1)
        await audit_trail.stop()
        return await audit_trail.query(query)

    answer = asyncio.run(main())
    assert [int(each.subject[1:]) for each in answer.events] == expected
    assert answer.is_complete


def test_query_over_the_row_limit_is_incomplete(monkeypatch):
    """Guards against an incomplete result that is marked as complete."""
    monkeypatch.setattr(audit, 'PAGE_ROWS', 2)
    monkeypatch.setattr(audit, 'MAX_ROWS_READ', 4)
    manual_clock = clock.ManualClock(1_000_000)

    async def main():
        audit_trail = make_audit_trail(fakes.FakePlatform(), manual_clock)
        for _ in range(6):
            audit_trail.record('a', 's', '')
        await audit_trail.stop()
        return await audit_trail.query(audit.Query())

    answer = asyncio.run(main())
    assert not answer.is_complete
    assert len(answer.events) == 4
