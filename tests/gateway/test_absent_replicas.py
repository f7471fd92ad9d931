"""Replicas that have left the registry and go on confirming commits."""

import asyncio

from samphirestand import exceptions
from samphirestand.gateway import policy
from samphirestand import types
from tests.gateway import writers as writers_module
from tests import nodes


def run_scenario(scenario, hosts=2):
    async def main():
        async with nodes.running(hosts) as fleet:
            await scenario(fleet)

    return asyncio.run(main())


async def let_registration_lapse(fleet, server):
    """Cut a server off from the store, and wait until all have noticed."""
    server.register = lambda: None
    fleet.store.delete('servers', server.server_id)
    await fleet.until(
        lambda: all(
            len(node.targets.of_service(nodes.SERVICE)) == 2
            for node in fleet.nodes
        )
    )


def reach_store_again(server):
    """Let a server register as before."""
    del server.register
    server.register()


def test_replica_without_registration_may_hold_the_only_copy():
    """Guards against a promotion without a replica that goes on confirming.

    Its registration had lapsed. Commits after that were taken as proof that a
    remaining replica has all earlier ones.
    """

    async def scenario(fleet):
        primary, absent, deaf = fleet.group.servers.values()
        async with writers_module.Writers(fleet) as writers:
            await writers.until_served()
            await let_registration_lapse(fleet, absent)
            deaf.is_deaf = True
            await writers.until_served()
            await asyncio.sleep(1.5)
            primary.crash()
            fleet.store.delete('servers', primary.server_id)
            await asyncio.sleep(4)
            assert fleet.store.promotions == []
            reach_store_again(absent)
            await fleet.until(lambda: fleet.group.primary is absent)
            deaf.is_deaf = False
            await writers.until_served()
            assert writers.lost() == []

    run_scenario(scenario)


def test_replica_without_registration_is_paused_with_the_others():
    """Guards against commits that it confirms while others are paused."""

    async def scenario(fleet):
        primary, absent, registered = fleet.group.servers.values()
        fleet.group.promotion_ms = 500
        async with writers_module.Writers(fleet) as writers:
            await writers.until_served()
            await let_registration_lapse(fleet, absent)
            await writers.until_served()
            await asyncio.sleep(1.5)
            primary.state = 'draining'
            primary.register()
            await fleet.until(lambda: fleet.group.primary is registered, 5)
            await writers.until_served()
            assert writers.lost() == []
            await fleet.until(lambda: not absent.paused_term, 5)

    run_scenario(scenario)


def test_earlier_primary_without_registration_is_paused_as_a_replica():
    """Guards against commits that a primary of before confirms unseen.

    Its registration lapsed while it was the primary. It follows the next one.
    """

    async def scenario(fleet):
        absent, second, third = fleet.group.servers.values()
        async with writers_module.Writers(fleet) as writers:
            await writers.until_served()
            await let_registration_lapse(fleet, absent)
            await fleet.until(
                lambda: fleet.group.primary not in (None, absent)
            )
            await writers.until_served()
            primary = fleet.group.primary
            deaf = second if primary is third else third
            deaf.is_deaf = True
            await writers.until_served()
            await asyncio.sleep(1.5)
            promotions = len(fleet.store.promotions)
            primary.crash()
            fleet.store.delete('servers', primary.server_id)
            await asyncio.sleep(4)
            assert len(fleet.store.promotions) == promotions
            reach_store_again(absent)
            await fleet.until(lambda: fleet.group.primary is absent)
            assert writers.lost() == []

    run_scenario(scenario)


def test_primary_without_registration_is_stopped_before_another_leads():
    """Guards against commits on it while another is being promoted.

    Hosts that still know it use it, and a replica that restarts confirms.
    """

    async def scenario(fleet):
        absent = fleet.group.primary
        order = fleet.store.on_promotion
        was_primary = []

        def record_order(service, server_id):
            was_primary.append(absent.is_primary)
            return order(service, server_id)

        fleet.store.on_promotion = record_order
        await let_registration_lapse(fleet, absent)
        await fleet.until(lambda: fleet.group.primary not in (None, absent))
        assert was_primary[0] is False

    run_scenario(scenario)


def test_replica_that_is_gone_is_not_waited_for():
    """Guards against a long time without a primary after a replica ended."""

    async def scenario(fleet):
        primary, gone, registered = fleet.group.servers.values()
        async with writers_module.Writers(fleet) as writers:
            gone.crash()
            await let_registration_lapse(fleet, gone)
            await asyncio.sleep(1.5)
            await writers.until_served()
            await asyncio.sleep(0.3)
            primary.crash()
            fleet.store.delete('servers', primary.server_id)
            await fleet.until(lambda: fleet.group.primary is registered, 5)
            assert writers.lost() == []

    run_scenario(scenario)


def test_no_candidate_while_an_unregistered_replica_is_ahead():
    """Guards against a promotion that only an absent replica could make."""

    def choose(absent_offset):
        return policy.choose_candidate(
            [
                policy.ReplicaState('a', types.Position(1, 5), False),
                policy.ReplicaState(
                    'b',
                    types.Position(1, absent_offset),
                    is_draining=False,
                    is_registered=False,
                ),
            ],
            [],
            True,
        )

    assert choose(5) == policy.Candidate('a')
    assert isinstance(choose(6), exceptions.Sentinel)
