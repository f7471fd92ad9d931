"""Tests of the RPC server and client over loopback."""

import asyncio
import contextlib

import capnp
import pytest

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import client
from samphirestand.hosts import codec
from samphirestand.hosts import server
from samphirestand import types
from tests.hosts import fakes

SECRET = 'fleet secret'


def run(work):
    return asyncio.run(capnp.run(work))


@contextlib.asynccontextmanager
async def host(gateway=None, secret=SECRET):
    """Serve one host; gives its server, its gateway and its address."""
    gateway = gateway or fakes.Gateway()
    services = server.Services(
        gateway,
        fakes.Echo(),
        fakes.Tokens(),
        fakes.Configuration(3),
        fakes.Explainer(),
    )
    peer_server = server.PeerServer(lambda: ('h1', 7), secret, services)
    port = await peer_server.start('127.0.0.1', 0)
    try:
        yield fakes.host('h1', port=port)
    finally:
        await peer_server.close()


@contextlib.asynccontextmanager
async def clients(secret=SECRET, translation=None):
    made = client.PeerClients(
        lambda: client.Identity('h2', 'a', 1, secret),
        clocks.SystemClock(),
        translation,
    )
    try:
        yield made
    finally:
        await made.close()


def test_all_methods_reach_the_services():
    """Guards against fields that get lost between two hosts."""
    position = types.Position(3, 14)
    state = types.TargetState(
        't1', 3, 'primary', types.History(((1, 0), (3, 5)), 14), 'ws://x'
    )
    gateway = fakes.Gateway(
        types.Done(({'a': None}, 2), position, 't1', 'primary', 'x', True, 9),
        types.TargetStatus(state, 0, True),
    )
    sent = fakes.request(session=position, transaction_id='s.t1.h1.r')

    async def main():
        async with host(gateway) as h1, clients() as peers:
            assert await peers.run(h1, sent, 5_000) == gateway.outcome
            assert gateway.requests == [sent]
            status = await peers.target_status(h1, 't1', position, 0, 5_000)
            assert status.state == state
            assert status.suspects_primary
            grant = await peers.take_tokens(h1, 'acme', 8, True, 5_000)
            assert grant == types.TokenGrant(4, 300)
            rows = await peers.configuration_changes(h1, 1, 5_000)
            assert rows == [fakes.change(2), fakes.change(3)]
            text = await peers.explain(h1, 'request', 'r1', 5_000)
            assert text == 'request r1'
            none = await peers.explain(h1, 'request', 'unknown', 5_000)
            assert isinstance(none, exceptions.Sentinel)
            gossip = codec.schema.Gossip.new_message(heartbeat=4)
            assert (await peers.gossip(h1, gossip, 5_000)).heartbeat == 4

    run(main())


@pytest.mark.parametrize(
    'outcome',
    [
        types.NotRun('not_gateway', 'elsewhere', None, 'h9'),
        types.NotRun('rate_exceeded', 'slow down', 0),
        types.Unknown('answer_lost', 'silence'),
        types.Done(),
    ],
)
def test_outcomes_survive_the_wire(outcome):
    """Guards against an outcome that changes its meaning on the way."""
    message = codec.encode_outcome(outcome).as_reader()
    assert codec.decode_outcome(message) == outcome


def test_wrong_secret_is_turned_away():
    """Guards against strangers that may call methods."""

    async def main():
        gateway = fakes.Gateway()
        async with host(gateway) as h1, clients(secret='other') as peers:
            with pytest.raises(exceptions.HostError) as caught:
                await peers.run(h1, fakes.request(), 1_000)
            assert not isinstance(caught.value, exceptions.HostAnswerLost)
            assert gateway.requests == []

    run(main())
