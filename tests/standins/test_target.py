"""Tests of the database server as a process and of its faults."""

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


async def fetch(server_url, path, body=None):
    url = server_url.replace('ws:', 'http:') + path
    response = await httpclient.AsyncHTTPClient().fetch(
        url,
        method='GET' if body is None else 'POST',
        body=None if body is None else json.dumps(body),
    )
    return json.loads(response.body)


def write(number, term=1):
    return messages.Execute(f'ADD k {number}', WRITE, 'x', f'x/{number}', term)


async def gateway(url):
    session = await connection.Connector().connect(url, 'host-1', 5_000)
    assert (await session.call(LOCK, 5_000)).granted
    return session


def test_replication_between_processes():
    """Guards against replicas that don't follow over the wire."""

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
            first, second = [await gateway(url) for url in urls]
            position = (await first.call(write(1), 5_000)).position
            wait = messages.Status(position, 5_000)
            answer = await second.call(wait, 6_000)
            assert answer.state.history.contains(position)

            # The old primary has an entry that the new one hasn't.
            await second.call(messages.Fence(2, 'c'), 5_000)
            await first.call(write(2), 5_000)
            await second.call(messages.Promote(2, 'c'), 5_000)
            position = (await second.call(write(3, term=2), 5_000)).position
            await first.call(messages.Follow(2, urls[1]), 5_000)
            await first.call(messages.Status(position, 5_000), 6_000)
            logs = [await fetch(url, '/entries') for url in urls]
            assert logs[0] == logs[1]
            keys = [each['request_key'] for each in logs[0]['entries']]
            assert keys == ['x/1', 'x/3']
        finally:
            processes.stop(started)

    asyncio.run(main())


def test_slots_limit_running_statements():
    """Guards against a stand-in that is faster than the real server."""

    async def main():
        async with servers.database_server(slots=2, statement_ms=5) as server:
            await gateway(server.url)
            sessions = [
                await connection.Connector().connect(
                    server.url, 'host-1', 5_000
                )
                for _ in range(5)
            ]
            await asyncio.gather(
                *(
                    session.call(write(number), 5_000)
                    for number, session in enumerate(sessions)
                )
            )
            assert server.peak_running == 2

    asyncio.run(main())


def test_log_shows_what_the_server_saw():
    """Guards against a checker that can't see what hosts sent."""

    async def main():
        async with servers.database_server() as server:
            session = await gateway(server.url)
            await session.call(messages.Begin('x', 1), 5_000)
            statement = messages.Statement('SET k v', WRITE, 'x')
            await session.call(statement, 5_000)
            await session.call(messages.Commit('x/1', 1), 5_000)
            records = (await fetch(server.url, '/log?after=1'))['records']
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


def test_silent_connections():
    """Guards against a fault that also stops new connections."""

    async def main():
        async with servers.database_server() as server:
            session = await gateway(server.url)
            await fetch(server.url, '/faults', {'silent': True})
            with pytest.raises(exceptions.AnswerLost):
                await session.call(write(1), 200)
            assert server.database.history.end == 1
            other = await connection.Connector().connect(
                server.url, 'host-1', 5_000
            )
            await other.call(messages.Status(), 5_000)

    asyncio.run(main())


def test_lock_end_closes_the_other_connections():
    """Guards against statements by a host that lost the lock."""

    async def main():
        async with servers.database_server() as server:
            locked = await gateway(server.url)
            pooled = await connection.Connector().connect(
                server.url, 'host-1', 5_000
            )
            locked.close()
            await processes.until(lambda: not pooled.is_open)

    asyncio.run(main())


def test_faults_refuse_and_lag():
    """Guards against faults that aren't in force."""

    async def main():
        async with servers.database_server() as server:
            body = {'refuse': True, 'lag_ms': 70}
            await fetch(server.url, '/faults', body)
            assert server.database.lag_ms == 70
            with pytest.raises(exceptions.TargetConnectError):
                await gateway(server.url)
            await fetch(server.url, '/faults', {'refuse': False})
            await gateway(server.url)

    asyncio.run(main())
