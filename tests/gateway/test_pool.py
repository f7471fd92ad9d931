"""Probes of targets that are silent, busy, or behind a dead connection."""

import asyncio
import socket

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import pool as pool_module
from samphirestand.platform import wire

STATUS_ANSWER = (
    b'DATAROW primary 1 1.3 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.3\r\n'
)


class Target:
    """A server whose answers to commands the test sets.

    Each connection gets the next of ``answers``, the last one for ever; None
    stands for no answer.
    """

    def __init__(self, answers):
        self.answers = answers
        self.connections = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return server, server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        index = min(self.connections, len(self.answers) - 1)
        answer = self.answers[index]
        self.connections += 1
        try:
            while line := await reader.readline():
                if line.startswith(b'STARTUP'):
                    writer.write(b'READY I -\r\n')
                elif answer is not None:
                    writer.write(answer)
        except ConnectionError:
            pass
        finally:
            writer.close()


def create_pool(port):
    target = catalog.Target(
        target_id='i-1',
        service='svc',
        address='127.0.0.1',
        port=port,
        zone='north',
        slots=2,
        is_draining=False,
        claims_primary=True,
        started_ms=1,
    )
    return pool_module.TargetPool(target, clock_module.SystemClock(), 10)


async def probe(answers, is_zone_silent=False):
    target = Target(answers)
    server, port = await target.start()
    pool = create_pool(port)
    pool.record_failure()
    async with asyncio.timeout(5):
        await pool.probe(is_zone_silent)
    pool.close()
    server.close()
    return pool


def test_busy_target_is_reachable():
    """Guards against replacing a primary because it is busy."""
    busy = b'ERROR BUSY full\r\nREADY I 1.3\r\n'
    pool = asyncio.run(probe([busy]))
    assert not pool.is_down
    assert not pool.needs_probe


def test_target_behind_a_dead_connection_is_reachable():
    """Guards against a failover when only one connection has gone silent."""
    pool = asyncio.run(probe([None, STATUS_ANSWER], is_zone_silent=True))
    assert not pool.is_down


def test_target_that_answers_nothing_is_down():
    pool = asyncio.run(probe([None]))
    assert pool.is_down


@pytest.mark.parametrize('is_zone_silent', [False, True])
def test_target_that_accepts_no_connection_is_not_waited_for(
    monkeypatch, is_zone_silent
):
    """Guards against waiting for answers from a server without power."""
    monkeypatch.setattr(pool_module, 'PROBE_TIMEOUT_MS', 600_000)

    async def scenario():
        # The queue of connections that nobody accepts is full, so that
        # further ones get no answer, as from a server without power.
        with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            waiting = []
            for _ in range(4):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(('127.0.0.1', port))
                waiting.append(sock)
            pool = create_pool(port)
            pool.record_failure()
            async with asyncio.timeout(30):
                await pool.probe(is_zone_silent)
            for sock in waiting:
                sock.close()
            return pool

    assert asyncio.run(scenario()).is_down


@pytest.mark.parametrize(
    ('statement_ms', 'limit_ms'), [(3, 200), (25, 300), (60, 400)]
)
def test_silence_is_judged_by_the_time_of_a_statement(statement_ms, limit_ms):
    """Guards against probes of targets that are just slow."""
    clock = clock_module.ManualClock()
    pool = create_pool(1)
    pool._clock = clock
    pool._last_reply_ms = clock.now()
    pool.statement_ms = statement_ms
    pool._sent_ms_by_run['run'] = clock.now()
    clock.set(clock.now() + limit_ms)
    assert not pool.needs_probe
    clock.set(clock.now() + 1)
    assert pool.needs_probe


def test_command_without_answer_is_withdrawn_from_the_network():
    """Guards against a RESUME that a partition delays past a later pause."""

    async def scenario():
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.readline()
            writer.write(b'READY I 1.3\r\n')
            try:
                await reader.read()
            except ConnectionResetError as error:
                ended.set_result(error)
            else:
                ended.set_result('end of stream')
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        pool = create_pool(server.sockets[0].getsockname()[1])
        answer = await pool.run_command(wire.RESUME, 50)
        assert isinstance(answer, exceptions.Sentinel)
        async with asyncio.timeout(5):
            assert isinstance(await ended, ConnectionResetError)
        server.close()

    asyncio.run(scenario())
