"""Counters of the traffic between hosts and from the store."""

import asyncio

from tests import nodes


def test_traffic_is_counted_by_kind_and_by_table():
    """Fails if it can't be told which messages make a burst."""

    async def scenario():
        async with nodes.running(2) as fleet:
            first, second = (
                each.metrics.snapshot()['counters'] for each in fleet.nodes
            )
            for kind in ('Hello', 'Ping', 'Pong', 'Claims'):
                assert first[f'peer_frames_sent_{kind}'] >= 1
                assert second[f'peer_bytes_received_{kind}'] >= 8
            for table in ('hosts', 'op', 'servers'):
                assert first[f'store_bytes_received_{table}'] > 50

    asyncio.run(scenario())
