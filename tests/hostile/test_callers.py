"""Callers that misbehave, in small crowds, against a host process."""

import asyncio

import pytest

from tests.hostile import hosts
from tests import nodes

# Row and message sizes of the crowds.
LARGE_ROW = 1_000_000
LARGE_VALUE = 524_288
PIECE = 4_096

# Time limits that are below the time of a crowd.
SHORT_LIMITS = {
    'callers': {'message_timeout_ms': 2_000, 'answer_timeout_ms': 2_000}
}


def run(folder, label, count, behave, **arguments):
    """Let a crowd of callers loose on a host, and check the host."""

    async def main():
        async with hosts.running(folder, **arguments) as (host, group):
            primary = group.primary
            for server in group.servers.values():
                server.log.append([('large', 'v' * LARGE_ROW)])
            assert primary.is_primary
            await hosts.crowd(count, host.callers, behave)
            await host.assert_unharmed(label)

    asyncio.run(main())


@pytest.mark.parametrize('piece', [None, PIECE])
def test_longest_messages_of_many_callers(tmp_path, piece):
    """Fails if legal messages of many callers add up without a limit."""

    async def behave(reader, writer):
        await hosts.start_session(writer, reader)
        await hosts.send(writer, hosts.query(hosts.LONGEST_MESSAGE), piece)
        await reader.read()

    run(tmp_path, f'longest messages, pieces of {piece}', 48, behave)


def test_messages_far_over_the_limit(tmp_path):
    """Fails if a message over the limit is held until its end."""

    async def behave(reader, writer):
        await hosts.start_session(writer, reader)
        await hosts.send(writer, hosts.query(8 * hosts.LONGEST_MESSAGE))
        await reader.read()

    run(tmp_path, 'messages of 8 MiB', 32, behave)


@pytest.mark.parametrize(
    ('count', 'message_bytes', 'messages'),
    [(32, 40, 4_000), (12, hosts.LONGEST_MESSAGE, 24)],
)
def test_messages_ahead_without_reading(
    tmp_path, count, message_bytes, messages
):
    """Fails if messages sent ahead on a connection are all held."""

    async def behave(reader, writer):
        reader._transport.pause_reading()
        await hosts.start_session(writer)
        for _ in range(messages):
            await hosts.send(writer, hosts.query(message_bytes))

    run(tmp_path, f'{message_bytes} bytes sent ahead', count, behave)


@pytest.mark.parametrize('command', ['SET', 'PARSE'])
def test_values_and_prepared_statements(tmp_path, command):
    """Fails if what sessions keep adds up without a limit."""

    async def behave(reader, writer):
        await hosts.start_session(writer, reader)
        for number in range(64):
            text = f'{command} n{number} READ '
            await hosts.send(writer, hosts.query(LARGE_VALUE, text))
        await reader.read()

    run(tmp_path, f'large {command}', 8, behave)


@pytest.mark.parametrize(
    ('piece', 'pause_s'), [(None, 0), (16_384, 0.03)], ids=['stop', 'slow']
)
def test_messages_that_are_not_finished(tmp_path, piece, pause_s):
    """Fails if unfinished messages of many callers are held for good."""

    async def behave(reader, writer):
        await hosts.start_session(writer, reader)
        unfinished = hosts.query(900_000)[:-2]
        await hosts.send(writer, unfinished, piece, pause_s)
        await reader.read()

    run(tmp_path, f'unfinished, pause {pause_s} s', 96, behave)


def test_startups_that_are_not_finished(tmp_path):
    """Fails if connections without a STARTUP keep callers out."""

    async def behave(reader, writer):
        await hosts.send(writer, b'STARTUP main ' + b'k' * 500_000)
        await reader.read()

    run(tmp_path, 'unfinished STARTUP', 192, behave)


@pytest.mark.parametrize('piece', [0, 1_024])
def test_callers_that_read_slowly_or_not_at_all(tmp_path, piece):
    """Fails if unread answers of many callers add up without a limit."""

    async def behave(reader, writer):
        reader._transport.pause_reading()
        await hosts.start_session(writer)
        await hosts.send(writer, b'QUERY q READ large\r\n' * 12)
        sock = writer.transport.get_extra_info('socket')
        while piece:
            await asyncio.sleep(0.05)
            sock._sock.recv(piece)

    run(tmp_path, f'reads {piece} bytes', 64, behave, options=SHORT_LIMITS)


@pytest.mark.parametrize('opens_session', [False, True])
@pytest.mark.parametrize(
    ('descriptors', 'open_file_limit'),
    [
        (hosts.DESCRIPTORS, hosts.OPEN_FILE_LIMIT),
        (0, hosts.DESCRIPTORS),  # accept() fails
    ],
)
def test_idle_connections_beyond_the_descriptors(
    tmp_path, opens_session, descriptors, open_file_limit
):
    """Fails if idle connections use up the descriptors of the process."""

    async def behave(reader, writer):
        if opens_session:
            await hosts.start_session(writer)
        await reader.read()

    run(
        tmp_path,
        f'idle, session {opens_session}, limit {open_file_limit}',
        320,
        behave,
        descriptors=descriptors,
        open_file_limit=open_file_limit,
    )


def test_callers_within_the_limits_meet_none(tmp_path):
    """Fails if ordinary callers are refused or closed by the defaults."""

    async def read_answers(reader, count):
        text = b''
        while text.count(b'READY') < count:
            data = await reader.read(2**16)
            assert data, 'the connection was closed'
            text += data
        return text

    async def main():
        async with hosts.running(
            tmp_path, memory_mb=200, descriptors=4_300, open_file_limit=4_300
        ) as (host, group):
            for server in group.servers.values():
                server.log.append([('large', 'v' * LARGE_ROW)])
            connections = [
                await asyncio.open_connection(*host.callers, limit=2**16)
                for _ in range(4)
            ]
            for reader, writer in connections:
                await hosts.start_session(writer, reader, nodes.KEY)
            slow, ahead, longest, idle = connections
            slow[1].write(b'QUERY s READ large\r\n' * 4)
            ahead[1].write(b'QUERY a READ x\r\n' * 64)
            longest[1].write(hosts.query(hosts.LONGEST_MESSAGE))
            assert b'COMPLETE' in await read_answers(longest[0], 1)
            text = await read_answers(ahead[0], 64)
            assert text.count(b'COMPLETE') == 64
            received = 0
            while received < 4 * LARGE_ROW:
                data = await slow[0].read(2**16)
                assert data, 'the slow reader was closed'
                received += len(data)
                await asyncio.sleep(0.05)
            idle[1].write(b'QUERY i READ x\r\n')
            assert b'COMPLETE' in await read_answers(idle[0], 1)
            counters = (await host.fetch_metrics())['counters']
            assert not [each for each in counters if '_limit' in each]

    asyncio.run(main())
