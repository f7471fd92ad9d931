"""Which gateways a host keeps open, with a real host and test targets."""

import asyncio

from samphirestand.gateway import gateways
from tests import nodes


def test_gateway_is_not_closed_during_a_long_statement():
    """Guards against aborting a statement when another host takes over."""

    async def scenario():
        async with nodes.running(1) as fleet:
            node = fleet.nodes[0]
            gateway = node.gateways._get_or_open_gateway(nodes.SERVICE)
            client = await nodes.Client.connect(node, 'old')
            for server in fleet.group.servers.values():
                server.work_ms = 400
            running = asyncio.create_task(client.query('READ x'))
            await fleet.until(lambda: not gateway.is_idle)
            gateway.last_used_ms -= gateways.UNUSED_GATEWAY_MS
            assert not node.gateways._is_unused(gateway)
            _, result, _ = await running
            assert result.startswith('COMPLETE')

    asyncio.run(scenario())
