"""Tests of gossip, membership and evidence on an in-memory fleet."""

import asyncio
import dataclasses
import random

import pytest

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import codec
from samphirestand.hosts import contacts
from samphirestand.hosts import evidence as evidences
from samphirestand.hosts import membership as memberships
from samphirestand.hosts import routing
from samphirestand import types
from tests.hosts import fakes

SIZES = {'a': 4, 'b': 3, 'c': 2}
ALIVE = memberships.Condition.ALIVE
SUSPECT = memberships.Condition.SUSPECT
GONE = memberships.Condition.GONE


def run(coroutine):
    return asyncio.run(coroutine)


async def settled_fleet(sizes=SIZES, seed=1):
    fleet = fakes.Fleet(sizes, seed)
    await fleet.advance(6_000)
    return fleet


def reachable_sets(fleet, except_ids=()):
    return {
        frozenset(node.reachable_ids())
        for host_id, node in fleet.nodes_by_id.items()
        if host_id not in except_ids
    }


def target(zone='a', target_id='t1'):
    return types.Target(target_id, 's', zone, 'ws://x', 2, 16)


@pytest.mark.parametrize('seed', range(5))
def test_hosts_find_each_other_from_contacts(seed):
    """Guards against live hosts that stay unknown or become suspect."""

    async def main():
        fleet = await settled_fleet(seed=seed)
        for _ in range(60):
            await fleet.advance(500)
            assert reachable_sets(fleet) == {frozenset(fleet.nodes_by_id)}
            for node in fleet.nodes_by_id.values():
                assert node.evidence.is_confirmed()
        digests = {
            node.membership.digests.total
            for node in fleet.nodes_by_id.values()
        }
        assert len(digests) == 1

    run(main())


def test_silent_host_becomes_suspect_then_gone():
    """Guards against gateways that are placed on a dead host."""

    async def main():
        fleet = await settled_fleet()
        gateway_host = fleet['b0'].membership.gateway_host(target('a'))
        fleet.paused_ids.add(gateway_host.host_id)
        await fleet.advance(5_000)
        paused_ids = {gateway_host.host_id}
        assert reachable_sets(fleet, paused_ids) == {
            frozenset(fleet.nodes_by_id) - paused_ids
        }
        choices = {
            node.membership.gateway_host(target('a')).host_id
            for each, node in fleet.nodes_by_id.items()
            if each != gateway_host.host_id
        }
        assert len(choices) == 1
        assert choices != paused_ids
        await fleet.advance(9_000)
        for each, node in fleet.nodes_by_id.items():
            if each != gateway_host.host_id:
                assert isinstance(
                    node.membership.host(gateway_host.host_id),
                    exceptions.Sentinel,
                )

    run(main())


@pytest.mark.parametrize(
    ('pause_ms', 'incarnation'), [(4_000, 1), (30_000, 2)]
)
def test_paused_host_becomes_reachable_again(pause_ms, incarnation):
    """Guards against a resumed host that suspects its peers or stays gone.

    It received no heartbeats during its pause, and after a long one its peers
    have declared it gone.
    """

    async def main():
        fleet = await settled_fleet()
        fleet.paused_ids.add('a0')
        await fleet.advance(pause_ms)
        fleet.paused_ids.clear()
        fleet['a0'].gossip.start_round()
        assert {'a0', 'a1', 'a2', 'a3'} <= fleet['a0'].reachable_ids()
        await fleet.advance(6_000)
        assert reachable_sets(fleet) == {frozenset(fleet.nodes_by_id)}
        assert fleet['a0'].membership.local.incarnation == incarnation
        assert fleet['b0'].membership.host('a0').incarnation == incarnation

    run(main())


def test_evidence_ages_while_a_host_is_paused():
    """Guards against a resumed host that takes an old configuration for valid.

    The evidence for the configuration must age during the pause.
    """

    async def main():
        fleet = await settled_fleet()
        fleet.paused_ids.add('a0')
        await fleet.advance(6_000)
        assert not fleet['a0'].evidence.is_confirmed()

    run(main())


def test_zone_that_is_cut_off_from_the_fleet():
    """Guards against a cut-off zone that confirms its configuration."""

    async def main():
        fleet = await settled_fleet()
        fleet.cut_zone('c')
        await fleet.advance(4_000)
        assert fleet['c0'].reachable_ids() == {'c0', 'c1'}
        assert 'c0' not in fleet['a0'].reachable_ids()
        # Both sides move the gateways of the other side's targets.
        moved = fleet['a0'].membership.gateway_host(target('c'))
        assert moved.zone != 'c'
        assert fleet['c0'].membership.gateway_host(target('a')).zone == 'c'
        await fleet.advance(3_000)
        for node in fleet.nodes_by_id.values():
            assert not node.evidence.is_confirmed()
        # One host that reads the platform confirms the configuration of all
        # hosts on its side.
        fleet['a0'].evidence.platform_read(asked_ms=fleet.clock.now())
        await fleet.advance(3_000)
        assert fleet['b0'].evidence.is_confirmed()
        assert not fleet['c0'].evidence.is_confirmed()
        fleet.restore_connections()
        await fleet.advance(5_000)
        assert reachable_sets(fleet) == {frozenset(fleet.nodes_by_id)}
        assert fleet['c0'].evidence.is_confirmed()

    run(main())


def test_configuration_reaches_all_hosts_once():
    """Guards against a change that doesn't reach a host or is reverted."""

    async def main():
        fleet = await settled_fleet()
        fleet.paused_ids.add('b2')
        fleet['a0'].configuration.apply_rows(
            fakes.change(version) for version in range(1, 6)
        )
        await fleet.clock.advance(0)
        await fleet.advance(2_000)
        fleet.paused_ids.clear()
        await fleet.advance(5_000)
        for node in fleet.nodes_by_id.values():
            assert node.configuration.current.version == 5
            # No row that a host already had was passed to it again.
            assert node.configuration.applied == [1, 2, 3, 4, 5]
            for host in node.membership.reachable():
                assert host.configuration_version == 5

    run(main())


@pytest.mark.parametrize(
    ('offered', 'applied', 'is_pulled'),
    [
        (3, [1, 2, 3, 4, 5], False),
        (5, [1, 2, 3, 4, 5], False),
        (6, [1, 2, 3, 4, 5, 6], True),
    ],
)
def test_only_newer_versions_are_pulled(offered, applied, is_pulled):
    """Guards against a peer that reverts an applied change."""

    async def main():
        fleet = await settled_fleet()
        node = fleet['a0']
        node.configuration.apply_rows(
            fakes.change(version) for version in range(1, 6)
        )
        # The peer sends all its changes, whatever version is asked for.
        fleet['b0'].configuration.changes_after = lambda _: [
            fakes.change(version) for version in range(1, offered + 1)
        ]
        message = codec.schema.Gossip.new_message(configurationVersion=offered)
        node.gossip.receive('b0', message.as_reader())
        await fleet.clock.settle()
        assert node.configuration.applied == applied
        assert (node.clients.pull_count > 0) == is_pulled

    run(main())


def test_pulls_without_new_rows_are_limited():
    """Guards against a pull for each message while a row is unavailable."""

    async def main():
        fleet = await settled_fleet()
        node = fleet['a0']
        message = codec.schema.Gossip.new_message(configurationVersion=9)
        for _ in range(20):
            node.gossip.receive('b0', message.as_reader())
            await fleet.clock.settle()
        assert node.clients.pull_count == 1

    run(main())


def test_new_version_is_sent_at_once():
    """Guards against a change that is only sent in the next round."""

    async def main():
        fleet = await settled_fleet()
        fleet['a0'].configuration.apply_rows([fakes.change(1)])
        await fleet.clock.settle()
        informed = [
            node
            for node in fleet.nodes_by_id.values()
            if node.configuration.current.version == 1
        ]
        assert len(informed) > 5

    run(main())


def test_all_hosts_get_the_route_of_the_highest_term():
    """Guards against a route to an old primary that gossip restores."""

    async def main():
        fleet = await settled_fleet()
        fleet['a0'].routes.learn(types.Route('s', 4, 't2'))
        fleet['b0'].routes.learn(types.Route('s', 3, 't1'))
        await fleet.advance(4_000)
        late = fleet.add('a9', 'a')
        late.membership.learn_contact(fleet['a1'].membership.local)
        await fleet.advance(30_000)
        for node in fleet.nodes_by_id.values():
            assert node.routes.primary('s') == types.Route('s', 4, 't2')

    run(main())


@pytest.mark.parametrize(
    ('term', 'target_id', 'kept'),
    [(3, 't1', 't2'), (4, 't1', 't2'), (5, 't1', 't1')],
)
def test_route_table_keeps_the_highest_term(term, target_id, kept):
    """Guards against a route that is replaced by one of no later term."""
    routes = routing.RouteTable(clocks.ManualClock())
    routes.learn(types.Route('s', 4, 't2'))
    routes.learn(types.Route('s', term, target_id))
    assert routes.primary('s').primary_target_id == kept


def test_heartbeats_between_hosts_that_know_different_hosts():
    """Guards against suspect hosts while gossip spreads a new host.

    The two hosts know different hosts of the zone, so they exchange heartbeats
    with keys.
    """

    async def main():
        fleet = await settled_fleet({'a': 3})
        node, peer = fleet['a0'], fleet['a1']
        peer.membership.learn(host_record(zone='a'))
        peer.membership.record_heartbeat('a2', 1, 60)
        request = codec.schema.Gossip.new_message(
            viewDigest=node.membership.view_digest
        )
        answer = peer.gossip.receive('a0', request.as_reader()).as_reader()
        assert not answer.heartbeats
        assert heartbeats_by_id(node)['a2'] < 60
        node.gossip.receive('a1', answer)
        assert heartbeats_by_id(node)['a2'] == 60

    run(main())


def test_requests_carry_heartbeats():
    """Guards against live hosts that become suspect in a large zone.

    Heartbeats must go with requests as well as with answers.
    """

    async def main():
        fleet = await settled_fleet({'a': 3})
        node, peer = fleet['a0'], fleet['a1']
        node.membership.record_heartbeat('a2', 1, 60)
        assert heartbeats_by_id(peer)['a2'] < 60
        await node.gossip.exchange(peer.membership.local)
        assert heartbeats_by_id(peer)['a2'] == 60

    run(main())


def heartbeats_by_id(node):
    return {
        member.host.host_id: member.heartbeat
        for member in node.membership.members()
    }


def test_draining_and_retired_hosts_get_no_gateways():
    """Guards against new gateways on hosts that drain or are retired."""

    async def main():
        fleet = await settled_fleet()
        fleet['a0'].membership.set_status(types.HostStatus.DRAINING)
        for node in fleet.nodes_by_id.values():
            node.membership.set_retired(frozenset({'a1', 'a2'}))
        await fleet.advance(3_000)
        for node in fleet.nodes_by_id.values():
            chosen = {
                node.membership.gateway_host(target('a', f't{each}')).host_id
                for each in range(20)
            }
            assert chosen == {'a3'}

    run(main())


def test_zone_with_only_new_hosts_is_found():
    """Guards against a zone that stays unknown after all its hosts changed.

    All contacts in the zone are then dead.
    """

    async def main():
        fleet = await settled_fleet()
        for number in range(SIZES['c']):
            del fleet.nodes_by_id[f'c{number}']
        await fleet.advance(20_000)
        new = fleet.add('d9', 'c')
        new.membership.learn_contact(fleet['a0'].membership.local)
        await fleet.advance(15_000)
        assert 'd9' in fleet['b1'].reachable_ids()
        assert fleet['b1'].membership.gateway_host(target('c')).host_id == 'd9'

    run(main())


def host_record(
    heartbeat=5, condition=ALIVE, incarnation=2, revision=1, **changes
):
    host = fakes.host('x', zone=changes.pop('zone', 'b'))
    host = dataclasses.replace(host, incarnation=incarnation, **changes)
    return memberships.HostRecord(host, revision, heartbeat, condition)


@pytest.mark.parametrize(
    ('first', 'second', 'condition', 'incarnation'),
    [
        # A record of an earlier incarnation changes nothing.
        (host_record(), host_record(99, GONE, 1), ALIVE, 2),
        (host_record(5, GONE), host_record(99, ALIVE, 1), GONE, 2),
        (host_record(), host_record(1, ALIVE, 3), ALIVE, 3),
        # A condition holds until a later heartbeat.
        (host_record(5), host_record(5, SUSPECT), SUSPECT, 2),
        (host_record(5, SUSPECT), host_record(5), SUSPECT, 2),
        (host_record(5, SUSPECT), host_record(6), ALIVE, 2),
        (host_record(5, GONE), host_record(5, SUSPECT), GONE, 2),
        (host_record(5, GONE), host_record(6), ALIVE, 2),
        # The host may have sent a later heartbeat here directly, so a report
        # whose heartbeat is a little behind still applies.
        (host_record(7), host_record(5, SUSPECT), SUSPECT, 2),
        (host_record(9), host_record(5, SUSPECT), ALIVE, 2),
        (host_record(14), host_record(5, GONE), GONE, 2),
        (host_record(25), host_record(5, GONE), ALIVE, 2),
        # This host judges the hosts of its own zone itself.
        (host_record(5, zone='a'), host_record(5, GONE, zone='a'), ALIVE, 2),
    ],
)
def test_precedence_of_host_records(first, second, condition, incarnation):
    """Guards against an old record that replaces a newer one."""
    membership = memberships.Membership(fakes.host('me'), clocks.ManualClock())
    membership.learn(host_record(1, zone=first.host.zone))
    membership.learn(first)
    membership.learn(second)
    member = {each.host.host_id: each for each in membership.members()}['x']
    assert member.condition == condition
    assert member.host.incarnation == incarnation


@pytest.mark.parametrize(
    ('incarnation', 'heartbeat', 'reached'),
    [(2, 6, True), (1, 6_000, False), (2, 5, False)],
)
def test_heartbeats_of_an_old_incarnation_are_ignored(
    incarnation, heartbeat, reached
):
    """Guards against a late message of a dead process that counts as alive."""
    membership = memberships.Membership(fakes.host('me'), clocks.ManualClock())
    membership.learn(host_record(5, SUSPECT, zone='a'))
    membership.record_heartbeat('x', incarnation, heartbeat)
    reachable = {host.host_id for host in membership.reachable()}
    assert ('x' in reachable) == reached


@pytest.mark.parametrize(
    ('report', 'incarnation'),
    [
        (host_record(9, GONE, 1), 1),
        (host_record(9, ALIVE, 4), 5),
        (host_record(9, GONE, 0), 1),
    ],
)
def test_host_corrects_records_about_itself(report, incarnation):
    """Guards against a live host that stays gone for its peers."""
    local = dataclasses.replace(fakes.host('x'), incarnation=1)
    membership = memberships.Membership(local, clocks.ManualClock())
    membership.learn(report)
    assert membership.local.incarnation == incarnation
    assert (membership.heartbeat > 9) == (report.host.incarnation == 1)


@pytest.mark.parametrize('partition_ms', [4_000, 40_000])
def test_partition_inside_a_zone_ends(partition_ms):
    """Guards against hosts that don't find each other after a partition."""

    async def main():
        fleet = await settled_fleet({'a': 6})
        fleet.cut_host('a0')
        await fleet.advance(partition_ms)
        assert fleet['a0'].reachable_ids() == {'a0'}
        fleet.restore_connections()
        await fleet.advance(40_000)
        assert reachable_sets(fleet) == {frozenset(fleet.nodes_by_id)}

    run(main())


def test_hosts_agree_on_placement_after_a_partition():
    """Guards against two hosts that both keep a gateway of a target."""

    async def main():
        fleet = await settled_fleet()
        fleet.cut_zone('a')
        await fleet.advance(5_000)
        split = {
            node.membership.gateway_host(target('a')).host_id
            for node in fleet.nodes_by_id.values()
        }
        assert len(split) > 1
        fleet.restore_connections()
        await fleet.advance(5_000)
        agreed = {
            node.membership.gateway_host(target('a')).host_id
            for node in fleet.nodes_by_id.values()
        }
        assert len(agreed) == 1

    run(main())


def test_evidence_in_requests_is_ignored():
    """Guards against ages in a request that waited in a buffer.

    They were only true when the request was sent.
    """

    async def main():
        fleet = await settled_fleet()
        request = fleet['b0'].gossip.receive(
            'x', codec.schema.Gossip.new_message().as_reader()
        )
        fleet.cut_zone('a')
        await fleet.advance(20_000)
        for node in fleet.nodes_by_id.values():
            if node.zone == 'a':
                node.gossip.receive('b0', request.as_reader())
                assert not node.evidence.is_confirmed()

    run(main())


def test_unusable_records_do_not_stop_gossip():
    """Guards against an exchange that fails on unknown or malformed values.

    A peer with another version of the program may send them.
    """

    async def main():
        fleet = await settled_fleet()
        message = codec.schema.Gossip.new_message(
            hosts=[{'hostId': 'x', 'status': 'new', 'condition': 'odd'}],
            heartbeats=b'123',
            keyedHeartbeats=b'123',
            zones=b'123',
            hostBuckets=b'123',
        )
        answer = fleet['a0'].gossip.receive('b0', message.as_reader())
        assert answer.incarnation == 1
        assert 'x' not in fleet['a0'].reachable_ids()

    run(main())


def test_number_of_contacts_is_limited():
    """Guards against as many connections as the fleet has hosts."""
    membership = memberships.Membership(fakes.host('me'), clocks.ManualClock())
    for zone in 'abcdefghi':
        for number in range(100):
            membership.learn_contact(fakes.host(f'{zone}{number}', zone))
    chooser = contacts.Contacts(membership, _NeverAnyHost())
    chosen = {
        host.host_id for _ in range(500) for host in chooser.choose(set())
    }
    limit = contacts.OWN_ZONE_CONTACTS + 8 * contacts.OTHER_ZONE_CONTACTS
    assert len(chosen) <= limit
    assert {each[0] for each in chosen} == set('abcdefghi')


class _NeverAnyHost(random.Random):
    """Random numbers that never lead to a choice among all hosts."""

    def random(self):
        return 0.999


@pytest.mark.parametrize(
    ('platform_ms', 'zones_ms', 'version', 'confirmed'),
    [
        (5_000, {}, 3, True),
        (5_001, {}, 3, False),
        (None, {'b': 5_000, 'c': 5_000}, 3, True),
        (None, {'b': 5_000, 'c': 5_001}, 3, False),
        (None, {'b': 0}, 3, False),
        (None, {}, 3, False),
        # Evidence for a newer version doesn't confirm the version in force.
        (0, {'b': 0, 'c': 0}, 4, False),
    ],
)
def test_configuration_is_confirmed_by_recent_evidence(
    platform_ms, zones_ms, version, confirmed
):
    """Guards against wrong limits of the ages that confirm a configuration."""
    clock = clocks.ManualClock()
    applied = [3]
    evidence = evidences.Evidence(clock, 'abc', 'a', lambda: applied[0])
    evidence.record_answer(version, clock.now(), platform_ms, zones_ms)
    assert evidence.is_confirmed() == confirmed
    applied[0] = 4
    assert evidence.is_confirmed() == (confirmed or version == 4)
    clock.set(clock.now() + 5_001)
    assert not evidence.is_confirmed()
