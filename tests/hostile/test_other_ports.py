"""Misbehaving clients of the ports for other hosts and for probes."""

import asyncio

import pytest

from tests.hostile import hosts

PORTS = ['peers', 'ready', 'metrics']


def run(folder, label, count, port, behave, **arguments):
    """Let a crowd loose on a port of a host, and check the host."""

    async def main():
        async with hosts.running(folder, **arguments) as (host, _):
            await hosts.crowd(count, getattr(host, port), behave)
            await host.assert_unharmed(f'{port}: {label}')

    asyncio.run(main())


@pytest.mark.parametrize('port', PORTS)
@pytest.mark.parametrize(
    ('descriptors', 'open_file_limit'),
    [
        (hosts.DESCRIPTORS, hosts.OPEN_FILE_LIMIT),
        (0, hosts.DESCRIPTORS),  # accept() fails
    ],
)
def test_idle_connections(tmp_path, port, descriptors, open_file_limit):
    """Fails if idle connections use up the descriptors of the process."""

    async def behave(reader, writer):
        await reader.read()

    run(
        tmp_path,
        f'idle, limit {open_file_limit}',
        320,
        port,
        behave,
        descriptors=descriptors,
        open_file_limit=open_file_limit,
    )


@pytest.mark.parametrize('length', [4_000_000, 2**32 - 1])
def test_frames_that_are_not_finished(tmp_path, length):
    """Fails if a client that is no host can have frames held."""

    async def behave(reader, writer):
        data = length.to_bytes(4, 'big') + b'\0' * 3_900_000
        await hosts.send(writer, data)
        await reader.read()

    run(tmp_path, f'frames of {length} bytes', 48, 'peers', behave)


def test_frames_of_random_content(tmp_path):
    """Fails if complete frames that aren't of the protocol end the host."""

    async def behave(reader, writer):
        body = bytes(range(256)) * 256
        while True:
            await hosts.send(writer, len(body).to_bytes(4, 'big') + body)

    run(tmp_path, 'random frames', 32, 'peers', behave)


@pytest.mark.parametrize('port', ['ready', 'metrics'])
@pytest.mark.parametrize(
    'head',
    [
        b'POST /-/ready HTTP/1.1\r\nHost: h\r\n'
        b'Content-Length: 90000000\r\n\r\n',
        b'GET /-/ready HTTP/1.1\r\nHost: h\r\nX-Long: ',
    ],
    ids=['body', 'header'],
)
@pytest.mark.parametrize('piece', [None, 1_024], ids=['whole', 'pieces'])
def test_large_http_requests(tmp_path, port, head, piece):
    """Fails if bodies or headers of requests add up without a limit."""

    async def behave(reader, writer):
        await hosts.send(writer, head)
        await hosts.send(writer, b'h' * 12_000_000, piece)
        await reader.read()

    run(tmp_path, f'HTTP of 12 MB by {piece}', 32, port, behave)


@pytest.mark.parametrize('port', ['ready', 'metrics'])
def test_http_requests_ahead_without_reading(tmp_path, port):
    """Fails if answers that a client doesn't read add up."""

    async def behave(reader, writer):
        reader._transport.pause_reading()
        request = b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'
        while True:
            await hosts.send(writer, request * 100)

    run(tmp_path, 'requests ahead', 16, port, behave)
