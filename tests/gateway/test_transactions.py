"""Open transactions of hosts that reconnect, or that have given them up."""

import asyncio

from samphirestand.fleet import frames
from samphirestand.fleet import service as service_module
from tests import nodes


class FakeConnection:
    """An inbound connection of another host."""

    def __init__(self, host_id, incarnation=1):
        self.hello = frames.Hello(
            host_id, 'north', '127.0.0.1', 1, incarnation
        )

    def send(self, frame):
        pass


class FakeGateways:
    """Records the hosts whose transactions are rolled back."""

    claims = frames.Claims({})

    def __init__(self):
        self.abandoned_owners = []

    async def abandon_all(self, owner):
        self.abandoned_owners.append(owner)


class FakeMembers:
    def add_host(self, hello):
        pass


def disconnect_first(connections):
    """Return whose transactions are rolled back when the first one ends."""

    async def main():
        gateways = FakeGateways()
        service = service_module.PeerService(
            FakeMembers(), gateways, None, None, None
        )
        for each in connections:
            service.handle_frame(each, each.hello)
        service.handle_disconnect(connections[0])
        await asyncio.sleep(0)
        return gateways.abandoned_owners

    return asyncio.run(main())


def test_transactions_go_on_when_a_host_has_reconnected():
    """Guards against aborting the transactions of a host that was silent.

    The end of its earlier connection may be noticed only afterwards.
    """
    connections = [FakeConnection('host-1'), FakeConnection('host-1')]
    assert disconnect_first(connections) == []


def test_transactions_of_a_host_that_is_gone_are_rolled_back():
    """Guards against connections that stay occupied for a host that failed."""
    connections = [FakeConnection('host-1', 1), FakeConnection('host-1', 2)]
    assert disconnect_first(connections) == ['host-1/1']


def test_transaction_that_was_given_up_is_rolled_back():
    """Guards against a connection that stays occupied for good.

    The entry host's message that it has given the transaction up was lost.
    """

    async def main():
        async with nodes.running(1) as fleet:
            node = fleet.nodes[0]
            client = await nodes.Client.connect(node)
            await client.query('BEGIN')
            _, result, state = await client.query('WRITE x 1')
            assert (result[:8], state) == ('COMPLETE', 'T'), result
            gateway = node.gateways._get_or_open_gateway(nodes.SERVICE)
            assert not gateway.is_idle
            await gateway.roll_back_idle(60_000)
            assert not gateway.is_idle
            await asyncio.sleep(0.01)
            await gateway.roll_back_idle(1)
            assert gateway.is_idle
            _, result, state = await client.query('READ x')
            assert result.startswith('ERROR ABORTED')
            assert state == 'E'
            client.close()

    asyncio.run(main())
