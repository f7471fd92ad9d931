"""Tests of the connection pool of one target."""

import asyncio
import random

import pytest

from samphirestand import clock
from samphirestand import exceptions
from samphirestand.targets import pool
from tests.targets import servers


class FakeConnection:
    """A connection that answers probes unless it is silent."""

    def __init__(self):
        self.is_open = True
        self.is_silent = False
        self.probes = 0

    async def call(self, call, timeout_ms):
        self.probes += 1
        if self.is_silent:
            raise exceptions.AnswerLost('silent', step='target call')

    def close(self):
        self.is_open = False


class FakeConnector:
    """Connects after ``delay_ms``; the next ``failures`` attempts fail."""

    def __init__(self, manual_clock):
        self.clock = manual_clock
        self.delay_ms = 0
        self.failures = 0
        self.attempts = []
        self.opening = 0
        self.peak_opening = 0
        self.connections = []

    async def connect(self, url, application, timeout_ms):
        self.attempts.append(self.clock.now())
        self.opening += 1
        self.peak_opening = max(self.peak_opening, self.opening)
        await self.clock.sleep(self.delay_ms)
        self.opening -= 1
        if self.failures:
            self.failures -= 1
            raise exceptions.TargetConnectError('no', step='target connect')
        self.connections.append(FakeConnection())
        return self.connections[-1]


def run_with_pool(main, size=2, minimum=0):
    """Run ``main(pool, connector, clock)`` with a manual clock."""

    async def scenario():
        manual_clock = clock.ManualClock()
        connector = FakeConnector(manual_clock)
        tested_pool = pool.ConnectionPool(
            connector,
            'ws://t',
            'host-1',
            size=size,
            clock=manual_clock,
            rng=random.Random(7),
            minimum=minimum,
        )
        await main(tested_pool, connector, manual_clock)
        tested_pool.close()

    asyncio.run(scenario())


def test_opens_at_most_the_size_one_at_a_time():
    """Guards against more connections than the server allows."""

    async def main(tested_pool, connector, manual_clock):
        connector.delay_ms = 12
        tasks = [
            asyncio.create_task(tested_pool.acquire(1_000)) for _ in range(4)
        ]
        await manual_clock.advance(100)
        assert (len(connector.connections), connector.peak_opening) == (2, 1)
        assert [task.done() for task in tasks] == [True, True, False, False]
        tested_pool.release(tasks[0].result())
        await manual_clock.settle()
        assert tasks[2].result() is tasks[0].result()
        await manual_clock.advance(1_000)
        with pytest.raises(exceptions.TargetError, match='within 1000 ms'):
            await tasks[3]

    run_with_pool(main)


def test_minimum_of_connections_is_kept_open():
    """Guards against a first request that waits for a connection."""

    async def main(tested_pool, connector, manual_clock):
        tested_pool.start()
        await manual_clock.settle()
        assert tested_pool.open_count == 2
        tested_pool.discard(await tested_pool.acquire(100))
        await manual_clock.settle()
        assert (tested_pool.open_count, len(connector.connections)) == (2, 3)

    run_with_pool(main, size=4, minimum=2)


def test_backoff_doubles_with_full_jitter():
    """Guards against hosts that reconnect together or without a pause."""

    async def main(tested_pool, connector, manual_clock):
        connector.failures = 9
        tested_pool.start()
        await manual_clock.advance(60_000)
        delays = [
            after - before
            for before, after in zip(
                connector.attempts, connector.attempts[1:], strict=False
            )
        ]
        expected = random.Random(7)
        assert delays == [
            expected.randint(0, min(5_000, 100 * 2**number))
            for number in range(9)
        ]
        assert (tested_pool.open_count, tested_pool.consecutive_failures) == (
            1,
            0,
        )

    run_with_pool(main, minimum=1)


@pytest.mark.parametrize('has_busy_connection', [False, True])
def test_waiters_fail_fast_only_without_any_connection(has_busy_connection):
    """Guards against refusals while a busy connection may become free."""

    async def main(tested_pool, connector, manual_clock):
        busy_connection = (
            await tested_pool.acquire(100) if has_busy_connection else None
        )
        connector.failures = 1
        task = asyncio.create_task(tested_pool.acquire(30_000))
        await manual_clock.settle()
        if has_busy_connection:
            assert not task.done()
            tested_pool.release(busy_connection)
            assert await task is busy_connection
        else:
            with pytest.raises(exceptions.TargetConnectError):
                await task

    run_with_pool(main)


@pytest.mark.parametrize(
    ('idle_ms', 'silent', 'probes', 'is_same'),
    [
        (5_000, False, 0, True),
        (5_001, False, 1, True),
        (5_001, True, 1, False),
    ],
)
def test_idle_connections_are_probed_before_lending(
    idle_ms, silent, probes, is_same
):
    """Guards against a request that fails on a silent connection."""

    async def main(tested_pool, connector, manual_clock):
        first = await tested_pool.acquire(100)
        tested_pool.release(first)
        first.is_silent = silent
        manual_clock.set(manual_clock.now() + idle_ms)
        found = await tested_pool.acquire(1_000)
        assert (found is first, first.probes) == (is_same, probes)
        assert first.is_open == is_same

    run_with_pool(main)


def test_discard_probes_the_idle_connections():
    """Guards against one failed request for each silent connection."""

    async def main(tested_pool, connector, manual_clock):
        lent = [await tested_pool.acquire(100) for _ in range(3)]
        lent[1].is_silent = True
        for each in lent[1:]:
            tested_pool.release(each)
        tested_pool.discard(lent[0])
        await manual_clock.settle()
        assert [each.is_open for each in lent] == [False, False, True]
        assert await tested_pool.acquire(100) is lent[2]

    run_with_pool(main, size=3)


def test_closed_connections_are_not_lent():
    """Guards against requests on connections that the server closed."""

    async def main(tested_pool, connector, manual_clock):
        first = await tested_pool.acquire(100)
        tested_pool.release(first)
        first.is_open = False
        assert await tested_pool.acquire(100) is not first

    run_with_pool(main)


def test_cancelled_waiter_loses_no_connection():
    """Guards against a pool that loses a connection by a cancellation."""

    async def main(tested_pool, connector, manual_clock):
        first = await tested_pool.acquire(100)
        waiter = asyncio.create_task(tested_pool.acquire(1_000))
        await manual_clock.settle()
        tested_pool.release(first)
        waiter.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiter
        assert await tested_pool.acquire(100) is first

    run_with_pool(main, size=1)


def test_drain_waits_for_the_borrowers():
    """Guards against a planned stop that interrupts a request."""

    async def main(tested_pool, connector, manual_clock):
        lent, idle = [await tested_pool.acquire(100) for _ in range(2)]
        tested_pool.release(idle)
        draining = asyncio.create_task(tested_pool.drain())
        await manual_clock.settle()
        assert (lent.is_open, idle.is_open) == (True, False)
        assert not draining.done()
        with pytest.raises(exceptions.TargetError, match='draining'):
            await tested_pool.acquire(100)
        tested_pool.release(lent)
        await draining
        assert (lent.is_open, tested_pool.open_count) == (False, 0)

    run_with_pool(main)


@pytest.mark.parametrize('connector', servers.CONNECTORS)
def test_with_a_database_server(connector):
    """Guards against a pool that works only with the fakes."""

    async def main():
        async with servers.database_server() as server:
            tested_pool = pool.ConnectionPool(
                connector(),
                server.url,
                'host-1',
                size=2,
                clock=clock.SystemClock(),
                rng=random.Random(7),
            )
            lent = [await tested_pool.acquire(5_000) for _ in range(2)]
            assert len(server.database.sessions_by_id) == 2
            for each in lent:
                tested_pool.release(each)
            await tested_pool.drain()

    asyncio.run(main())
