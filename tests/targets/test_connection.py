"""Contract tests of connections to targets, with invalid answers."""

import asyncio
import json

import pytest

from samphirestand import exceptions
from samphirestand.targets import messages
from samphirestand import types
from standins import database
from tests import processes
from tests.targets import servers

READ = types.Mode.READ
WRITE = types.Mode.WRITE
SET = messages.Execute('SET k v', WRITE, 'x', 'x/1', 1)
LOCK = messages.Lock(database.GATEWAY_LOCK, 'host-1')


@pytest.fixture(params=servers.CONNECTORS)
def connector(request):
    """Return a connector; each implementation must pass these tests."""
    return request.param()


def test_all_calls_and_answer_fields_are_transferred(connector):
    """Guards against fields that are lost in the messages."""

    async def main():
        async with servers.database_server() as server:
            url = server.url + '/session'
            session = await connector.connect(url, 'host-1', 5_000)
            answer = await session.call(LOCK, 5_000)
            assert (answer.granted, answer.holder) == (True, 'host-1')
            first = await session.call(SET, 5_000)
            repeated = await session.call(SET, 5_000)
            assert first.rows == (['k', 'v'],)
            assert first.position == types.Position(1, 1)
            assert (first.replayed, repeated.replayed) == (False, True)
            status = messages.Status(types.Position(1, 1), 1_000)
            answer = await session.call(status, 5_000)
            assert answer.state == server.database.state
            assert answer.holder == 'host-1'
            await session.call(messages.Begin('x', 1), 5_000)
            failure = (await session.call(SET, 5_000)).failure
            assert (failure.code, failure.ran) == ('conflict', False)
            statement = messages.Statement('ADD n 1', WRITE, 'x')
            await session.call(statement, 5_000)
            answer = await session.call(messages.Commit('x/2', 1), 5_000)
            assert answer.position == types.Position(1, 2)
            answer = await session.call(messages.Fence(2, 'c'), 5_000)
            assert (answer.state.term, answer.state.role) == (2, 'replica')
            answer = await session.call(messages.Promote(2, 'c'), 5_000)
            assert answer.state.history.starts == ((1, 0), (2, 2))
            await session.call(messages.Follow(3, 'ws://127.0.0.1:1'), 5_000)
            assert server.database.primary_url == 'ws://127.0.0.1:1'
            session.close()
            assert not session.is_open

    asyncio.run(main())


def test_one_call_at_a_time(connector):
    """Guards against two calls at once on one connection."""

    async def main():
        async with servers.database_server() as server:
            session = await connector.connect(server.url, 'host-1', 5_000)
            wait = messages.Status(types.Position(1, 1), 500)
            first = asyncio.create_task(session.call(wait, 5_000))
            await asyncio.sleep(0)
            with pytest.raises(exceptions.TargetError) as info:
                await session.call(messages.Status(), 5_000)
            assert not isinstance(info.value, exceptions.AnswerLost)
            assert (await first).state.server == 'a'

    asyncio.run(main())


@pytest.mark.parametrize(
    'answers',
    [
        pytest.param(lambda good: [], id='silent'),
        pytest.param(lambda good: [None], id='closed'),
        pytest.param(lambda good: ['not JSON'], id='not JSON'),
        pytest.param(lambda good: ['[]'], id='not an object'),
        pytest.param(lambda good: [{'id': good['id']}], id='fields missing'),
        pytest.param(lambda good: [{**good, 'id': 99}], id='other id'),
        pytest.param(lambda good: [{**good, 'term': 'x'}], id='bad term'),
        pytest.param(lambda good: [{**good, 'history': []}], id='no history'),
        pytest.param(lambda good: [{**good, 'position': [9, 0]}], id='place'),
    ],
)
def test_unusable_answers_close_the_connection(connector, answers):
    """Guards against a late answer that is taken for another call's."""

    def answer(message):
        replies = answers(servers.usable_answer(message))
        return [
            each if each is None or isinstance(each, str) else json.dumps(each)
            for each in replies
        ]

    async def main():
        async with servers.scripted_server(answer) as url:
            session = await connector.connect(url, 'host-1', 5_000)
            with pytest.raises(exceptions.AnswerLost) as info:
                await session.call(messages.Status(), 200)
            assert (info.value.step, info.value.peer) == ('target call', url)
            assert not session.is_open
            with pytest.raises(exceptions.TargetError) as info:
                await session.call(messages.Status(), 200)
            assert not isinstance(info.value, exceptions.AnswerLost)

    asyncio.run(main())


def test_answer_without_a_call(connector):
    """Guards against an extra answer that is taken for the next call's."""

    def answer(message):
        good = servers.usable_answer(message)
        return [json.dumps(good), json.dumps({**good, 'id': good['id'] + 1})]

    async def main():
        async with servers.scripted_server(answer) as url:
            session = await connector.connect(url, 'host-1', 5_000)
            await session.call(messages.Status(), 5_000)
            await asyncio.sleep(0.05)
            with pytest.raises(exceptions.TargetError):
                await session.call(messages.Status(), 5_000)
            assert not session.is_open

    asyncio.run(main())


def test_cancelled_call_closes(connector):
    """Guards against reuse of a connection with an outstanding answer."""

    async def main():
        async with servers.scripted_server(lambda message: []) as url:
            session = await connector.connect(url, 'host-1', 5_000)
            call = asyncio.create_task(session.call(SET, 5_000))
            await asyncio.sleep(0.02)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            assert not session.is_open

    asyncio.run(main())


def test_close_by_the_server_is_noticed(connector):
    """Guards against a pool that lends connections the server closed."""

    async def main():
        async with servers.database_server() as server:
            session = await connector.connect(server.url, 'host-1', 5_000)
            for handler in list(server.handlers_by_id.values()):
                handler.close()
            await processes.until(lambda: not session.is_open)

    asyncio.run(main())


@pytest.mark.parametrize('case', ['refused', 'full', 'silent', 'no websocket'])
def test_connect_failures(connector, case):
    """Guards against connect failures that look like a sent call."""

    async def read_without_answer(reader, writer):
        await reader.read()
        writer.close()

    async def connect(url):
        with pytest.raises(exceptions.TargetConnectError) as info:
            await connector.connect(url, 'host-1', 300)
        assert (info.value.step, info.value.peer) == ('target connect', url)

    async def main():
        match case:
            case 'refused':
                (port,) = processes.free_ports(1)
                await connect(f'ws://127.0.0.1:{port}')
            case 'full':
                async with servers.database_server(
                    max_connections=0
                ) as server:
                    await connect(server.url)
            case 'no websocket':
                async with servers.database_server() as server:
                    await connect(server.url + '/state')
            case 'silent':
                server = await asyncio.start_server(
                    read_without_answer, '127.0.0.1', 0
                )
                port = server.sockets[0].getsockname()[1]
                await connect(f'ws://127.0.0.1:{port}')
                server.close()

    asyncio.run(main())


def test_cancelled_connect_leaves_no_connection(connector):
    """Guards against open connections that no code will close."""

    async def main():
        async with servers.database_server(connect_delay_ms=50) as server:
            attempt = asyncio.create_task(
                connector.connect(server.url, 'host-1', 5_000)
            )
            sessions = server.database.sessions_by_id
            await processes.until(lambda: sessions)
            attempt.cancel()
            with pytest.raises(asyncio.CancelledError):
                await attempt
            await processes.until(lambda: not sessions)

    asyncio.run(main())


def test_address_translation():
    """Guards against connections that bypass the forwarded ports."""

    async def main():
        async with servers.database_server() as server:
            netloc = server.url.removeprefix('ws://')
            for factory in servers.CONNECTORS:
                connector = factory({'10.0.0.1:5000': netloc})
                session = await connector.connect(
                    'ws://10.0.0.1:5000', 'host-1', 5_000
                )
                answer = await session.call(messages.Status(), 5_000)
                assert answer.state.server == 'a'

    asyncio.run(main())


@pytest.mark.parametrize('turns', [0, 1, 2, 3])
def test_cancellation_is_kept_when_an_answer_comes_at_that_moment(
    connector, turns
):
    """Guards against a gateway whose stop never ends.

    Its probe went on after it had been cancelled, and the stop waits for it.
    """

    async def main():
        async with servers.database_server() as server:
            session = await connector.connect(server.url, 'host-1', 5_000)
            answer = asyncio.get_running_loop().create_future()

            async def receive(call_id, text):
                return await answer

            session._send_and_receive = receive
            call = asyncio.create_task(session.call(messages.Status(), 5_000))
            await asyncio.sleep(0.01)
            answer.set_result(None)
            for _ in range(turns):
                await asyncio.sleep(0)
            if call.cancel():
                await asyncio.wait([call])
                assert call.cancelled()

    asyncio.run(main())
