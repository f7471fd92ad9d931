"""Contract of the platform's client, and faults of the platform."""

import asyncio
import contextlib

import pytest

from samphirestand import clock
from samphirestand.control import client
from samphirestand.control import rows
from samphirestand import exceptions
from standins import platform
from tests import processes

Put = rows.Put


@contextlib.asynccontextmanager
async def running(**faults):
    """Run a platform; yields it and a client of the zone ``north``."""
    (port,) = processes.free_ports(1)
    system = clock.SystemClock()
    served = platform.Platform(system)
    served.set_faults(faults)
    listener = platform.application(served, system).listen(port, '127.0.0.1')
    found = client.PlatformClient(
        'http://10.0.0.1:1',
        'north',
        {'10.0.0.1:1': f'127.0.0.1:{port}'},
        timeout_ms=300,
    )
    try:
        yield served, found
    finally:
        found.close()
        listener.stop()


def test_rows():
    """Guards against rows that change on their way."""

    async def main():
        async with running() as (_, found):
            assert await found.get_row('t', 'a/b c') is None
            row = await found.put_row('t', 'a/b c', {'n': [1]}, 0)
            assert row == rows.TableRow('a/b c', {'n': [1]}, 1)
            assert await found.get_row('t', 'a/b c') == row
            assert (await found.put_row('t', 'a/b c', 2, 1)).version == 2

    asyncio.run(main())


def test_list_is_in_key_order_and_paged():
    """Guards against rows that a page leaves out."""

    async def main():
        async with running() as (_, found):
            for key in ('b2', 'a', 'b1', 'b3', 'c'):
                await found.put_row('t', key, key, 0)
            await found.put_row('other', 'b0', '', 0)
            first = await found.list_rows('t', prefix='b', limit=2)
            rest = await found.list_rows('t', prefix='b', after=first[-1].key)
            assert [row.key for row in first + rest] == ['b1', 'b2', 'b3']

    asyncio.run(main())


def test_conflict_carries_the_current_row():
    """Guards against operators who can't see who was first."""

    async def main():
        async with running() as (_, found):
            row = await found.put_row('t', 'k', 'mine', 0)
            with pytest.raises(exceptions.TableConflict) as info:
                await found.put_row('t', 'k', 'yours', 0)
            assert info.value.row == row
            with pytest.raises(exceptions.TableConflict) as info:
                await found.put_row('t', 'other', 'x', 7)
            assert info.value.row == rows.TableRow('other', None, 0)

    asyncio.run(main())


def test_transactions_are_all_or_none():
    """Guards against a configuration head without its change."""

    async def main():
        async with running() as (_, found):
            await found.transact([Put('t', 'a', 1, 0), Put('t', 'b', 1, 0)])
            with pytest.raises(exceptions.TableConflict) as info:
                await found.transact(
                    [Put('t', 'a', 2, 1), Put('t', 'b', 2, 0)]
                )
            assert info.value.row.key == 'b'
            assert (await found.get_row('t', 'a')).value == 1

    asyncio.run(main())


def test_objects():
    """Guards against objects that change on their way."""

    async def main():
        async with running() as (_, found):
            assert await found.get_object('snapshot/100') is None
            await found.put_object('snapshot/100', b'\x00\xff')
            assert await found.get_object('snapshot/100') == b'\x00\xff'

    asyncio.run(main())


def test_host_list_lags():
    """Guards against a host list that is better than the platform's."""
    manual = clock.ManualClock()
    served = platform.Platform(manual)
    served.set_faults({'list_lag_ms': 100})
    served.register_host({'host_id': 'h', 'status': 'live'})
    manual.set(manual.now() + 99)
    assert served.hosts() == []
    manual.set(manual.now() + 1)
    served.register_host({'host_id': 'h', 'status': 'leaving'})
    assert [host['status'] for host in served.hosts()] == ['live']


def test_hosts():
    """Guards against registrations that get lost."""
    host = client.ListedHost(
        'h1', 'north', 'http://127.0.0.1:1', '127.0.0.1:2', 'live'
    )

    async def main():
        async with running() as (_, found):
            await found.register_host(host)
            assert await found.hosts() == [host]

    asyncio.run(main())


@pytest.mark.parametrize(
    ('faults', 'took_effect'),
    [
        ({'outage': 'error'}, False),
        ({'outage': 'hang'}, False),
        ({'deny_zones': ['north']}, False),
        ({'delay_ms': 5_000}, False),
        ({'lost_probability': 1.0, 'seed': 3}, True),
    ],
)
def test_missing_answers(faults, took_effect):
    """Guards against missing answers that look like refusals."""

    async def main():
        async with running(**faults) as (served, found):
            with pytest.raises(exceptions.PlatformUnavailable):
                await found.put_row('t', 'k', 'v', 0)
            assert bool(served.get_row('t', 'k').version) == took_effect
            assert served.counters['writes'] == 1

    asyncio.run(main())


def test_no_platform():
    """Guards against a refused connection that isn't recognised."""

    async def main():
        (port,) = processes.free_ports(1)
        found = client.PlatformClient(f'http://127.0.0.1:{port}', 'north')
        with pytest.raises(exceptions.PlatformUnavailable):
            await found.get_row('t', 'k')

    asyncio.run(main())


def test_refusal():
    """Guards against a refused request that is tried again for ever."""

    async def main():
        async with running() as (_, found):
            host = client.ListedHost('h1', 'north', '', '', 'confused')
            with pytest.raises(exceptions.PlatformError) as info:
                await found.register_host(host)
            assert type(info.value) is exceptions.PlatformError

    asyncio.run(main())
