"""Silence of a peer, as seen by the pings of its link."""

import asyncio

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand import types
from tests import processes


class FakeConnection:
    is_closed = False

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


def create_link(clock):
    peer = frames.Hello('s0', 'south', '127.0.0.1', 1, 1)
    local = frames.Hello('n0', 'north', '127.0.0.1', 1, 1)
    link = links.Link(peer, local, clock, lambda: None)
    link._connection = FakeConnection()
    return link


def test_silence_is_counted_from_the_oldest_unanswered_ping():
    """Guards against a cut that is noticed only when the link is closed."""
    clock = clock_module.ManualClock()
    link = create_link(clock)
    link.ping(frames.Ping(0, False, 0))
    clock.set(clock.now() + 300)
    link.ping(frames.Ping(0, False, 0))
    clock.set(clock.now() + 300)
    assert link.is_silent_for(600)
    assert not link.is_silent_for(601)


def test_answer_ends_the_silence():
    clock = clock_module.ManualClock()
    link = create_link(clock)
    link.ping(frames.Ping(0, False, 0))
    clock.set(clock.now() + 5_000)
    link.handle_frame(link._connection, frames.Pong(1, False, 0, True, 0))
    assert not link.is_silent_for(0)


def test_host_that_refuses_connections_is_not_silent():
    """Guards against ended processes that look like a cut-off zone."""
    clock = clock_module.ManualClock()
    link = create_link(clock)
    link.ping(frames.Ping(0, False, 0))
    link.handle_disconnect(link._connection)
    clock.set(clock.now() + 5_000)
    assert not link.is_silent_for(0)


def test_observed_position_is_dated_from_the_sending_of_the_ping():
    """Guards against reads that miss commits made while a pong was late."""
    clock = clock_module.ManualClock()
    link = create_link(clock)
    sent_ms = clock.now()
    link.ping(frames.Ping(0, False, 0))
    clock.set(sent_ms + 700)
    observation = frames.Observation('svc', types.Position(1, 7), 100)
    link.handle_frame(
        link._connection, frames.Pong(1, False, 0, observations=(observation,))
    )
    assert link.observed_by_service == {
        'svc': (sent_ms - 100, types.Position(1, 7))
    }


def test_limits_are_taken_without_a_position():
    """Fails if limits are lost while no log position is known."""
    clock = clock_module.ManualClock()
    link = create_link(clock)
    sent_ms = clock.now()
    link.ping(frames.Ping(0, False, 0))
    limits = {catalog.TargetStart('i-1', 1): 2}
    observation = frames.Observation('svc', None, 0, limits_by_start=limits)
    link.handle_frame(
        link._connection, frames.Pong(1, False, 0, observations=(observation,))
    )
    assert link.observed_by_service == {}
    assert link.limits_by_service == {'svc': (sent_ms, limits)}


def test_link_owes_an_answer_until_its_host_sends_anything():
    """Guards against gateways that fail unnoticed between two pings."""

    async def scenario():
        clock = clock_module.ManualClock()
        link = create_link(clock)
        request = asyncio.create_task(
            link.request(frames.SnapshotRequest, 60_000)
        )
        await asyncio.sleep(0)
        clock.set(clock.now() + 100)
        assert link.owes_answer_for(100)
        link.handle_frame(link._connection, frames.Claims({}))
        assert not link.owes_answer_for(100)
        clock.set(clock.now() + 100)
        assert link.owes_answer_for(100)
        link.handle_frame(link._connection, frames.Snapshot(1, 1, b''))
        await request
        assert not link.owes_answer_for(0)

    asyncio.run(scenario())


def test_host_that_drains_is_known_without_a_ping():
    """Guards against work for a host that is about to stop."""
    link = create_link(clock_module.ManualClock())
    link.handle_frame(link._connection, frames.Pong(0, True, 0))
    assert link.is_draining
    assert not link.is_up


def test_confirmed_configuration_is_dated_from_the_sending_of_the_ping():
    """Guards against changes that were published while a pong was late."""
    clock = clock_module.ManualClock()
    link = create_link(clock)
    sent_ms = clock.now()
    link.ping(frames.Ping(0, False, 0))
    clock.set(sent_ms + 700)
    pong = frames.Pong(1, False, 9, catalog_age_ms=40)
    link.handle_frame(link._connection, pong)
    assert link.catalog_confirmed_ms == sent_ms - 40


class FakeHandler:
    def handle_frame(self, connection, frame):
        pass

    def handle_disconnect(self, connection):
        pass


def test_connection_without_a_hello_may_hold_little():
    """Fails if a client that is no host can have a frame of 4 MB held."""
    for on_lost, is_held in ((lambda connection: None, False), (None, True)):
        connection = links.FrameConnection(FakeHandler(), on_lost)
        aborted = []
        connection.abort = lambda aborted=aborted: aborted.append(True)
        connection.data_received(
            (4_000_000).to_bytes(4, 'big') + bytes(70_000)
        )
        assert bool(aborted) is not is_held


def test_connections_beyond_the_limit_are_refused():
    """Fails if idle clients keep hosts out, or use all descriptors."""

    async def main():
        [port] = processes.free_ports(1)
        listener = links.Listener(FakeHandler(), max_connections=2)
        await listener.start('127.0.0.1', port)
        clients = [
            await asyncio.open_connection('127.0.0.1', port) for _ in range(3)
        ]
        async with asyncio.timeout(5):
            assert await clients[2][0].read() == b''
        for connection in listener._connections:
            connection.connected_s -= 2
        clients.append(await asyncio.open_connection('127.0.0.1', port))
        async with asyncio.timeout(5):
            assert await clients[0][0].read() == b''
        assert len(listener._connections) == 2
        listener.close()
        for _, writer in clients:
            writer.transport.abort()

    asyncio.run(main())
