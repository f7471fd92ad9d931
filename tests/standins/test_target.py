"""Tests of the simulated database server's network side and faults."""

import asyncio
import json

import pytest
from samphirestand import exceptions
from samphirestand.targets import connection
from samphirestand.targets import messages
from samphirestand import types
from standins import database
from tests import processes
from tests.targets import servers
from tornado import httpclient

WRITE = types.Mode.WRITE
LOCK = messages.Lock(database.GATEWAY_LOCK, 'host-1')


async def fetch_json(server_url, path, body=None):
    url = server_url.replace('ws:', 'http:') + path
    response = await httpclient.AsyncHTTPClient().fetch(
        url,
        method='GET' if body is None else 'POST',
        body=None if body is None else json.dumps(body),
    )
    return json.loads(response.body)


def write_call(number, term=1):
    return messages.Execute(f'ADD k {number}', WRITE, 'x', f'x/{number}', term)


async def connect_gateway(url):
    session = await connection.Connector().connect(url, 'host-1', 5_000)
    assert (await session.call(LOCK, 5_000)).granted
    return session


def test_replication_between_processes():
    """Guards against a replica process that doesn't follow its primary."""

    async def main():
        urls = [f'ws://127.0.0.1:{port}' for port in processes.free_ports(2)]
        started = [
            processes.start(
                'standins.target',
                '--server-id',
                name,
                '--port',
                url.rpartition(':')[2],
                *role,
            )
            for name, url, role in (
                ('a', urls[0], ['--primary']),
                ('b', urls[1], ['--follow', urls[0]]),
            )
        ]
        try:
            for url in urls:
                state = url.replace('ws:', 'http:') + '/state'
                await processes.until(
                    lambda state=state: processes.answers(state)
                )
            session_a, session_b = [await connect_gateway(url) for url in urls]
            position = (await session_a.call(write_call(1), 5_000)).position
            wait = messages.Status(position, 5_000)
            answer = await session_b.call(wait, 6_000)
            assert answer.state.history.contains(position)

            # Give the former primary an entry that the new one doesn't have.
            await session_b.call(messages.Fence(2, 'c'), 5_000)
            await session_a.call(write_call(2), 5_000)
            await session_b.call(messages.Promote(2, 'c'), 5_000)
            position = (
                await session_b.call(write_call(3, term=2), 5_000)
            ).position
            await session_a.call(messages.Follow(2, urls[1]), 5_000)
            await session_a.call(messages.Status(position, 5_000), 6_000)
            logs = [await fetch_json(url, '/entries') for url in urls]
            assert logs[0] == logs[1]
            keys = [each['request_key'] for each in logs[0]['entries']]
            assert keys == ['x/1', 'x/3']
        finally:
            processes.stop(started)

    asyncio.run(main())


def test_slots_limit_running_statements():
    """Guards against more concurrent statements than a real server runs."""

    async def main():
        async with servers.database_server(slots=2, statement_ms=5) as server:
            await connect_gateway(server.url)
            sessions = [
                await connection.Connector().connect(
                    server.url, 'host-1', 5_000
                )
                for _ in range(5)
            ]
            await asyncio.gather(
                *(
                    session.call(write_call(number), 5_000)
                    for number, session in enumerate(sessions)
                )
            )
            assert server.peak_running_statements == 2

    asyncio.run(main())


def test_log_returns_received_calls():
    """Guards against records that lack calls which hosts have sent."""

    async def main():
        async with servers.database_server() as server:
            session = await connect_gateway(server.url)
            await session.call(messages.Begin('x', 1), 5_000)
            statement = messages.Statement('SET k v', WRITE, 'x')
            await session.call(statement, 5_000)
            await session.call(messages.Commit('x/1', 1), 5_000)
            records = (await fetch_json(server.url, '/log?after=1'))['records']
            assert [each['message']['op'] for each in records] == [
                'begin',
                'statement',
                'commit',
            ]
            assert {each['transaction'] for each in records} == {1}
            assert {each['application'] for each in records} == {'host-1'}
            assert records[1]['message']['account'] == 'x'
            assert records[2]['result']['result_position'] == [1, 1]

    asyncio.run(main())


def test_silent_fault_spares_new_connections():
    """Guards against a fault that also silences new connections."""

    async def main():
        async with servers.database_server() as server:
            session = await connect_gateway(server.url)
            await fetch_json(server.url, '/faults', {'silent': True})
            with pytest.raises(exceptions.AnswerLost):
                await session.call(write_call(1), 200)
            assert server.database.history.end == 1
            new_session = await connection.Connector().connect(
                server.url, 'host-1', 5_000
            )
            await new_session.call(messages.Status(), 5_000)

    asyncio.run(main())


def test_lock_release_closes_connections_of_its_holder():
    """Guards against statements of a host that has lost the lock."""

    async def main():
        async with servers.database_server() as server:
            lock_session = await connect_gateway(server.url)
            pooled_session = await connection.Connector().connect(
                server.url, 'host-1', 5_000
            )
            lock_session.close()
            await processes.until(lambda: not pooled_session.is_open)

    asyncio.run(main())


def test_refuse_and_lag_faults():
    """Guards against faults that don't take effect."""

    async def main():
        async with servers.database_server() as server:
            body = {'refuse': True, 'lag_ms': 70}
            await fetch_json(server.url, '/faults', body)
            assert server.database.lag_ms == 70
            with pytest.raises(exceptions.TargetConnectError):
                await connect_gateway(server.url)
            await fetch_json(server.url, '/faults', {'refuse': False})
            await connect_gateway(server.url)

    asyncio.run(main())
