"""Tests of the platform client against the simulated platform."""

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
async def run_platform(**faults):
    """Run a platform with ``faults``; yield it and a client in ``north``."""
    (port,) = processes.free_ports(1)
    system_clock = clock.SystemClock()
    simulated_platform = platform.Platform(system_clock)
    simulated_platform.set_faults(faults)
    listener = platform.application(simulated_platform, system_clock).listen(
        port, '127.0.0.1'
    )
    platform_client = client.PlatformClient(
        'http://10.0.0.1:1',
        'north',
        {'10.0.0.1:1': f'127.0.0.1:{port}'},
        timeout_ms=300,
    )
    try:
        yield simulated_platform, platform_client
    finally:
        platform_client.close()
        listener.stop()


def test_rows_are_stored_unchanged():
    """Guards against rows that are altered in transit."""

    async def main():
        async with run_platform() as (_, platform_client):
            assert await platform_client.get_row('t', 'a/b c') is None
            row = await platform_client.put_row('t', 'a/b c', {'n': [1]}, 0)
            assert row == rows.TableRow('a/b c', {'n': [1]}, 1)
            assert await platform_client.get_row('t', 'a/b c') == row
            assert (
                await platform_client.put_row('t', 'a/b c', 2, 1)
            ).version == 2

    asyncio.run(main())


def test_list_is_in_key_order_and_paged():
    """Guards against rows missing between pages."""

    async def main():
        async with run_platform() as (_, platform_client):
            for key in ('b2', 'a', 'b1', 'b3', 'c'):
                await platform_client.put_row('t', key, key, 0)
            await platform_client.put_row('other', 'b0', '', 0)
            first = await platform_client.list_rows('t', prefix='b', limit=2)
            rest = await platform_client.list_rows(
                't', prefix='b', after=first[-1].key
            )
            assert [row.key for row in first + rest] == ['b1', 'b2', 'b3']

    asyncio.run(main())


def test_conflict_carries_the_current_row():
    """Guards against a conflict that doesn't show the winning row."""

    async def main():
        async with run_platform() as (_, platform_client):
            row = await platform_client.put_row('t', 'k', 'mine', 0)
            with pytest.raises(exceptions.TableConflict) as raised:
                await platform_client.put_row('t', 'k', 'yours', 0)
            assert raised.value.row == row
            with pytest.raises(exceptions.TableConflict) as raised:
                await platform_client.put_row('t', 'other', 'x', 7)
            assert raised.value.row == rows.TableRow('other', None, 0)

    asyncio.run(main())


def test_transactions_are_all_or_none():
    """Guards against a head row written without its change row."""

    async def main():
        async with run_platform() as (_, platform_client):
            await platform_client.transact(
                [Put('t', 'a', 1, 0), Put('t', 'b', 1, 0)]
            )
            with pytest.raises(exceptions.TableConflict) as raised:
                await platform_client.transact(
                    [Put('t', 'a', 2, 1), Put('t', 'b', 2, 0)]
                )
            assert raised.value.row.key == 'b'
            assert (await platform_client.get_row('t', 'a')).value == 1

    asyncio.run(main())


def test_objects_are_stored_unchanged():
    """Guards against objects that are altered in transit."""

    async def main():
        async with run_platform() as (_, platform_client):
            assert await platform_client.get_object('snapshot/100') is None
            await platform_client.put_object('snapshot/100', b'\x00\xff')
            assert (
                await platform_client.get_object('snapshot/100') == b'\x00\xff'
            )

    asyncio.run(main())


def test_host_list_lags():
    """Guards against a simulated host list without the real one's lag."""
    manual_clock = clock.ManualClock()
    simulated_platform = platform.Platform(manual_clock)
    simulated_platform.set_faults({'list_lag_ms': 100})
    simulated_platform.register_host({'host_id': 'h', 'status': 'live'})
    manual_clock.set(manual_clock.now() + 99)
    assert simulated_platform.hosts() == []
    manual_clock.set(manual_clock.now() + 1)
    simulated_platform.register_host({'host_id': 'h', 'status': 'leaving'})
    assert [host['status'] for host in simulated_platform.hosts()] == ['live']


def test_registered_host_is_listed():
    """Guards against lost host registrations."""
    host = client.ListedHost(
        'h1', 'north', 'http://127.0.0.1:1', '127.0.0.1:2', 'live'
    )

    async def main():
        async with run_platform() as (_, platform_client):
            await platform_client.register_host(host)
            assert await platform_client.hosts() == [host]

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
def test_missing_response_raises_unavailable(faults, took_effect):
    """Guards against a missing response that is reported as a refusal."""

    async def main():
        async with run_platform(**faults) as (
            simulated_platform,
            platform_client,
        ):
            with pytest.raises(exceptions.PlatformUnavailable):
                await platform_client.put_row('t', 'k', 'v', 0)
            assert (
                bool(simulated_platform.get_row('t', 'k').version)
                == took_effect
            )
            assert simulated_platform.counters['writes'] == 1

    asyncio.run(main())


def test_refused_connection_raises_unavailable():
    """Guards against a refused connection with the wrong exception."""

    async def main():
        (port,) = processes.free_ports(1)
        platform_client = client.PlatformClient(
            f'http://127.0.0.1:{port}', 'north'
        )
        with pytest.raises(exceptions.PlatformUnavailable):
            await platform_client.get_row('t', 'k')

    asyncio.run(main())


def test_refused_request_raises_platform_error():
    """Guards against a refused request that is retried forever."""

    async def main():
        async with run_platform() as (_, platform_client):
            host = client.ListedHost('h1', 'north', '', '', 'confused')
            with pytest.raises(exceptions.PlatformError) as raised:
                await platform_client.register_host(host)
            assert type(raised.value) is exceptions.PlatformError

    asyncio.run(main())
