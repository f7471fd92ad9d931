"""Tests of the simulated network links."""

import asyncio
import json

import pytest

from standins import link
from tests import processes
from tornado import httpclient


class Links:
    """Two links in the groups ``a`` and ``b``, both to an echo server."""

    async def start(self, delay_ms=0):
        target, control, a, b = processes.free_ports(4)
        self.control = f'http://127.0.0.1:{control}'
        self.ports = {'a': a, 'b': b}
        self.echo = await asyncio.start_server(echo, '127.0.0.1', target)
        config = link.ConfigModel(
            control=f'127.0.0.1:{control}',
            links=[
                link.LinkModel(
                    group=group,
                    listen=f'127.0.0.1:{port}',
                    forward=f'127.0.0.1:{target}',
                    delay_ms=delay_ms,
                )
                for group, port in self.ports.items()
            ],
        )
        self.servers = await link.start_links(config)
        return self

    async def set_fault(self, **body):
        await httpclient.AsyncHTTPClient().fetch(
            self.control + '/faults',
            method='POST',
            body=json.dumps({'groups': ['a'], **body}),
        )

    async def read_counters(self):
        client = httpclient.AsyncHTTPClient()
        answer = await client.fetch(self.control + '/counters')
        return json.loads(answer.body)

    async def connect(self, group='a'):
        return await asyncio.open_connection('127.0.0.1', self.ports[group])


async def echo(reader, writer):
    while data := await reader.read(65_536):
        writer.write(data)
    writer.close()


async def is_echoed(connection, timeout=0.2):
    """Tell whether bytes come back; None if they don't in time."""
    reader, writer = connection
    try:
        writer.write(b'hello')
        async with asyncio.timeout(timeout):
            return await reader.readexactly(5) == b'hello'
    except TimeoutError:
        return None
    except (OSError, asyncio.IncompleteReadError):
        return False


def test_forwards_in_order_until_end_of_file():
    """Guards against bytes that are reordered or lost on a delayed link."""

    async def main():
        links = await Links().start(delay_ms=1)
        reader, writer = await links.connect()
        sent = b''.join(b'%06d' % number for number in range(200_000))
        writer.write(sent)
        writer.write_eof()
        async with asyncio.timeout(20):
            assert await reader.read(-1) == sent

    asyncio.run(main())


def test_round_trip_takes_twice_the_delay():
    """Guards against links that are faster than their configured delay."""

    async def main():
        links = await Links().start(delay_ms=20)
        connection = await links.connect()
        assert await is_echoed(connection, timeout=5)
        loop = asyncio.get_running_loop()
        started = loop.time()
        assert await is_echoed(connection, timeout=5)
        assert loop.time() - started >= 0.040

    asyncio.run(main())


@pytest.mark.parametrize(
    ('fault', 'existing', 'new', 'healed'),
    [
        ({'state': 'cut'}, False, False, False),
        ({'state': 'blackhole'}, None, None, None),
        ({'state': 'blackhole', 'existing_only': True}, None, True, None),
        ({'state': 'hold'}, None, None, True),
    ],
)
def test_faults_affect_selected_connections(fault, existing, new, healed):
    """Guards against faults that affect connections not selected."""

    async def main():
        links = await Links().start()
        connection_a = await links.connect()
        connection_b = await links.connect('b')
        assert await is_echoed(connection_a)
        assert await is_echoed(connection_b)

        await links.set_fault(**fault)
        assert await is_echoed(connection_a) is existing
        assert await is_echoed(await links.connect()) is new
        assert await is_echoed(connection_b)

        await links.set_fault(state='up')
        assert await is_echoed(connection_a) is healed
        assert await is_echoed(await links.connect())

    asyncio.run(main())


def test_counts_bytes_by_group_and_direction():
    """Guards against traffic that is counted for another group."""

    async def main():
        links = await Links().start()
        reader, writer = await links.connect()
        writer.write(b'hello')
        await reader.readexactly(5)
        counters_by_group = await links.read_counters()
        assert counters_by_group['a'] == {
            'connections': 1,
            'reads': 2,
            'bytes_to_server': 5,
            'bytes_to_client': 5,
        }
        assert not any(counters_by_group['b'].values())

    asyncio.run(main())


def test_unreachable_server_resets_the_client():
    """Guards against clients that wait for an unreachable server."""

    async def main():
        links = await Links().start()
        links.echo.close()
        assert await is_echoed(await links.connect()) is False

    asyncio.run(main())
