"""Cost of many connections of other hosts, and the end of each of them."""

import asyncio
import unittest.mock

from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import service as service_module


def create_service():
    mocks = [unittest.mock.MagicMock() for _ in range(5)]
    gateways = mocks[1]
    gateways.claims = frames.Claims({})
    gateways.abandon_all = unittest.mock.AsyncMock()
    return service_module.PeerService(*mocks), gateways


def connect(service, host_id):
    connection = links.FrameConnection(service)
    transport = unittest.mock.Mock(spec=asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    hello = frames.Hello(host_id, 'north', '127.0.0.1', 1, 1)
    connection.data_received(frames.encode(hello))
    return connection


def test_claims_are_encoded_once_for_all_hosts():
    """Fails if a job host encodes its claims for each of hundreds of hosts."""
    service, _ = create_service()
    connections = [connect(service, f'host-{each}') for each in range(50)]
    with unittest.mock.patch.object(
        frames, 'encode', wraps=frames.encode
    ) as encode:
        service.announce(frames.Claims({'svc': 'north'}))
    assert encode.call_count == 1
    for each in connections:
        assert each._transport.write.call_count == 2  # with those at its start


def test_transactions_end_with_the_last_connection_of_a_host():
    """Fails if a host that has connected again loses its transactions."""

    async def scenario():
        service, gateways = create_service()
        first, second = (connect(service, 'host-1') for _ in range(2))
        first.connection_lost(None)
        await asyncio.sleep(0)
        gateways.abandon_all.assert_not_called()
        second.connection_lost(None)
        await asyncio.sleep(0)
        gateways.abandon_all.assert_called_once_with('host-1/1')

    asyncio.run(scenario())
