"""Tests of the HTTP client of the callers and of the generated load."""

import asyncio
import itertools
import types

import pytest

from bench import fleet as fleet_module
from bench import http
from bench import load
from samphirestand import clock
from tests import processes

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
CLOSING = ANSWER.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')


async def serve(answers):
    """Start a server that sends these answers on each connection.

    It closes the connection after the last answer, and instead of an answer
    that is None. Returns its port.
    """

    async def handle_connection(reader, writer):
        for answer in answers:
            await reader.readuntil(b'\r\n\r\n')
            if answer is None:
                break
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(handle_connection, '127.0.0.1', 0)
    return server.sockets[0].getsockname()[1]


@pytest.mark.parametrize(
    ('answers', 'error'),
    [
        ([ANSWER], None),
        ([None], http.Lost),
        ([ANSWER[:-1], None], http.Lost),
        ([b'HTTP/1.1 200 OK\r\n\r\n'], http.Garbled),
        ([ANSWER.replace(b'{}', b'[]')], http.Garbled),
        ([ANSWER.replace(b'{}', b'{x')], http.Garbled),
    ],
)
def test_client_tells_lost_from_garbled(answers, error):
    """Guards against counting a lost answer as a refused request."""

    async def main():
        channel = http.Channel('127.0.0.1', await serve(answers))
        if error is None:
            assert (await channel.request('GET', '/')).status == 200
            return
        with pytest.raises(error) as info:
            await channel.request('GET', '/')
        assert type(info.value) is error

    asyncio.run(main())


def test_client_obeys_connection_close():
    """Guards against sending on a connection that the host is closing."""

    async def main():
        port = await serve([CLOSING])
        channel = http.Channel('127.0.0.1', port)
        for _ in range(3):
            assert (await channel.request('GET', '/')).status == 200

    asyncio.run(main())


def test_refused_connection_counts_as_unsent():
    """Guards against counting a refused connection as a lost answer."""

    async def main():
        (port,) = processes.free_ports(1)
        with pytest.raises(http.Unsent):
            await http.Channel('127.0.0.1', port).request('GET', '/')

    asyncio.run(main())


def requests_sent(seed, monkeypatch):
    """Return the requests of one account, and its recorded calls.

    They go to a channel that answers each one at once, without a network.
    """

    class Channel:
        def __init__(self, address, port, delay_ms):
            pass

        async def request(self, method, path, body, key, timeout_s):
            requests.append((path, dict(body)))
            number = next(transactions)
            return http.Response(
                200,
                {'outcome': 'done', 'transaction': f's.t.h.{number}'},
            )

        def close(self):
            pass

    requests = []
    transactions = itertools.count()
    monkeypatch.setattr(http, 'Channel', Channel)
    fleet = types.SimpleNamespace(
        hosts=[fleet_module.Host('h1', 'z', 1, 2)],
        standin_settings={'caller_delay_ms': 0},
        services={'cases': {'max_read_age_ms': 1_000}},
        keys_by_account={'acme': 'kid.secret'},
    )

    async def main():
        manual_clock = clock.ManualClock()
        shared_state = load.SharedState(fleet, manual_clock, [], set(), {}, {})
        run = load.AccountLoad(shared_state, 'acme', 50.0, seed).run(10_000)
        task = asyncio.create_task(run)
        await manual_clock.advance(12_000)
        await task
        return shared_state.calls

    return requests, asyncio.run(main())


def test_load_is_seeded(monkeypatch):
    """Guards against a load that a seed doesn't reproduce."""
    first_requests, calls = requests_sent(1, monkeypatch)
    assert first_requests == requests_sent(1, monkeypatch)[0]
    assert first_requests != requests_sent(2, monkeypatch)[0]
    # 50 arrivals a second for 10 s are 500 on average; the seed fixes the
    # number.
    assert 400 < len(calls) < 700
    assert {call.operation for call in calls} >= {'execute', 'commit'}
