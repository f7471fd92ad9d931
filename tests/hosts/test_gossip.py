"""Tests of gossip and membership on an in-memory fleet."""

import asyncio

from tests.hosts import fakes


def run(work):
    return asyncio.run(work)


def test_hosts_find_each_other_from_contacts():
    """Guards against hosts that stay unknown or are suspected while alive."""

    async def main():
        fleet = fakes.Fleet({'a': 4, 'b': 3, 'c': 2})
        await fleet.advance(10_000)
        for node in fleet.nodes_by_id.values():
            assert node.reached() == set(fleet.nodes_by_id)
            assert node.evidence.is_confirmed()

    run(main())
