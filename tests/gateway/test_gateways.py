"""Which gateways a host keeps open, with a real host and test targets."""

import asyncio

from samphirestand.fleet import members
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


def test_host_that_takes_over_reads_from_replicas_without_a_primary():
    """Guards against seconds without reads while a primary is replaced.

    The host that takes over has no answer of the primary, but hears from the
    earlier gateway host which log position covers all commits.
    """

    async def scenario():
        async with nodes.running(2) as fleet:
            hosts_by_id = {
                each.members.local.host_id: each for each in fleet.nodes
            }
            earlier = hosts_by_id.pop(
                fleet.nodes[0].gateways.gateway_host_id(nodes.SERVICE)
            )
            [successor] = hosts_by_id.values()
            client = await nodes.Client.connect(earlier)
            await client.query('WRITE x 1')
            await client.query('READ x')
            await asyncio.sleep(2 * members.PING_INTERVAL_MS / 1000)
            fleet.group.primary.is_silent = True
            successor.gateways.gateway_host_id = lambda service: (
                successor.members.local.host_id
            )
            client = await nodes.Client.connect(successor, 'mine')
            rows, result, _ = await client.query('READ x')
            assert result.startswith('COMPLETE')
            assert rows == ['1']

    asyncio.run(scenario())
