"""Choice of hosts for jobs, links to them, and detection of isolation."""

import asyncio
import itertools
import json
import unittest.mock

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import ping_schedule
from samphirestand.platform import store as store_module


_ping_times = itertools.count(1)


class FakeLink:
    """A link whose state the test sets."""

    def __init__(self, host_id, zone, now):
        self.peer = frames.Hello(host_id, zone, '127.0.0.1', 1, 1)
        self.is_up = True
        self.is_silent = False
        self.has_been_tried = True
        self.is_draining = False
        self.reaches_store = True
        self.last_answer_ms = now
        self.last_used_ms = now
        self.claims = frames.Claims({})
        self.claims_received_ms = 0
        self.fleet_digest = 0
        self.silent_ms = 0
        self.owed_ms = 0
        self.last_ping_ms = 0
        self.pings = 0

    def is_silent_for(self, limit_ms):
        return self.is_silent or self.silent_ms >= limit_ms

    def owes_answer_for(self, limit_ms):
        return max(self.owed_ms, self.silent_ms) >= limit_ms

    def ping(self, ping):
        self.pings += 1
        self.last_ping_ms = next(_ping_times)

    def stop(self):
        self.is_up = False


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def members(clock):
    local = frames.Hello('n0', 'north', '127.0.0.1', 1, 1)
    created = members_module.Members(local, clock, None, lambda: None)
    peer_ids = ['n1', 'n2', 's0', 's1', 's2', 'e0', 'e1', 'e2']
    zones = {'n': 'north', 's': 'south', 'e': 'east'}
    for peer_id in peer_ids:
        link = FakeLink(peer_id, zones[peer_id[0]], clock.now())
        created._links_by_id[peer_id] = link
        created._hosts_by_id[peer_id] = link.peer
    created._choose_job_hosts()
    return created


def links_in_zones(members, zones):
    return [
        each
        for each in members._links_by_id.values()
        if each.peer.zone in zones
    ]


def test_host_is_isolated_when_other_zones_reset_connections(members, clock):
    """Fails if callers stay connected to hosts of a zone that is cut off."""
    clock.set(clock.now() + 2_000)
    for link in links_in_zones(members, ['south', 'east']):
        link.is_up = False
    assert members.is_isolated


def test_host_is_isolated_when_most_hosts_are_silent(members):
    for link in links_in_zones(members, ['south', 'east']):
        link.is_up = False
        link.is_silent = True
    assert members.is_isolated


def test_new_links_do_not_end_the_isolation(members, clock):
    """Guards against a host that looks reachable because it tries new links.

    After two seconds it replaces the silent job hosts of other zones by the
    next ones, which it has not tried to reach before.
    """
    for link in links_in_zones(members, ['south', 'east']):
        link.is_up = False
        link.is_silent = True
    for zone in ('south', 'east'):
        peer = frames.Hello(f'{zone}-9', zone, '127.0.0.1', 1, 1)
        members._links_by_id[peer.host_id] = links.Link(
            peer, members.local, clock, lambda: None
        )
    assert members.is_isolated
    assert members.is_zone_silent('south')


def test_mass_kill_does_not_isolate_the_remaining_hosts(members, clock):
    """Fails if hosts that survive a mass failure stop serving callers."""
    clock.set(clock.now() + 900)
    for link in members._links_by_id.values():
        link.is_up = False
    assert not members.is_isolated


def test_loss_of_one_zone_does_not_isolate_other_zones(members, clock):
    clock.set(clock.now() + 5_000)
    for link in links_in_zones(members, ['south']):
        link.is_up = False
        link.is_silent = True
    assert not members.is_isolated


def test_host_of_a_cut_off_zone_notices_within_a_few_pings(members):
    """Guards against hosts that stay ready while their zone is cut off.

    The load balancer goes on using the zone while one of its hosts is ready.
    """
    for link in links_in_zones(members, ['south', 'east']):
        link.silent_ms = members_module.SILENT_ZONE_MS
    assert members.is_isolated
    assert members.is_cut_off_from(members.link_to('s0'))
    assert not members.is_cut_off_from(members.link_to('n1'))


def test_slow_host_is_not_taken_for_a_cut(members):
    """Guards against work refused because its gateway is slow."""
    link = members.link_to('s0')
    link.silent_ms = 5_000
    assert not members.is_isolated
    assert not members.is_cut_off_from(link)


def test_loss_of_power_in_most_hosts_does_not_isolate_the_others(members):
    """Guards against unready hosts when most hosts, but no zone, are lost."""
    for host_id in ('n1', 'n2', 's0', 's1', 'e1', 'e2'):
        link = members.link_to(host_id)
        link.is_up = False
        link.is_silent = True
    assert not members.is_isolated


def test_gateway_in_a_cut_off_zone_is_left_at_once(members, clock):
    """Guards against waiting for each link where a whole zone is silent."""
    gateway_id = members.host_for('gateway/a', 'south')
    claim_gateway(members, gateway_id, 'a', 'south', clock.now())
    for link in links_in_zones(members, ['south']):
        link.silent_ms = members_module.SILENT_ZONE_MS
    clock.set(clock.now() + 1)
    assert not members.host_for('gateway/a', 'south').startswith('s')
    assert not members.gateway_for('a').startswith('s')


def test_single_silent_host_keeps_its_gateways(members, clock):
    """Guards against moving work because one host is slow to answer."""
    for host_id in ('s1', 's2'):
        members._links_by_id.pop(host_id)
    members.link_to('s0').silent_ms = members_module.SILENT_ZONE_MS
    clock.set(clock.now() + 1)
    assert members.host_for('gateway/a', 'south') == 's0'


def pings_in_round(members, **changes):
    before = {key: each.pings for key, each in members._links_by_id.items()}
    ping_round = members_module.PingRound(lambda link: None, **changes)
    members.ping_once(lambda: ping_round)
    return [
        key
        for key, each in members._links_by_id.items()
        if each.pings > before[key]
    ]


def end_jobs(members, clock):
    """Make this a host without jobs whose links have just been answered."""
    members._job_host_ids -= {'n0'}
    clock.set(clock.now() + 2_000)
    for link in members._links_by_id.values():
        link.last_answer_ms = clock.now()


def test_calm_links_are_pinged_in_turn(members, clock):
    """Guards against rounds that show nothing, and against costly ones.

    All links carry requests: at 195 hosts they were pinged in each round.
    """
    end_jobs(members, clock)
    rounds = []
    for _ in members._links_by_id:
        for link in members._links_by_id.values():
            link.last_used_ms = clock.now()
        rounds.append(pings_in_round(members))
        clock.set(clock.now() + 1)
    assert sorted(sum(rounds, [])) == sorted(members._links_by_id)
    assert set(map(len, rounds)) == {1}


def test_links_that_owe_an_answer_are_pinged(members, clock):
    """Guards against gateways that fail unnoticed between two pings."""
    end_jobs(members, clock)
    members.link_to('s1').owed_ms = ping_schedule.SUSPICIOUS_MS
    for _ in range(4):
        assert 's1' in pings_in_round(members)


def test_all_links_to_a_zone_are_pinged_when_one_is_silent(members, clock):
    """Guards against a cut-off zone that is noticed link by link."""
    end_jobs(members, clock)
    members.link_to('s1').silent_ms = ping_schedule.SUSPICIOUS_MS
    assert {'s0', 's1', 's2'} <= set(pings_in_round(members))


def test_links_whose_pings_carry_tokens_are_pinged(members, clock):
    """Guards against rate tokens that are removed and never sent."""
    end_jobs(members, clock)
    for _ in range(4):
        assert 'e1' in pings_in_round(members, required_host_ids={'e1'})


def test_job_hosts_ping_all_links(members):
    assert sorted(pings_in_round(members)) == sorted(members._links_by_id)


def test_all_links_are_pinged_when_no_other_zone_answers(members, clock):
    """Guards against idle hosts that notice a cut after four seconds."""
    end_jobs(members, clock)
    clock.set(clock.now() + ping_schedule.CUT_OFF_SUSPECTED_MS + 1)
    members.link_to('n1').last_answer_ms = clock.now()
    assert sorted(pings_in_round(members)) == sorted(members._links_by_id)


def test_job_moves_to_a_host_that_reaches_the_store(members, clock):
    """Fails if a host that can't reach the store keeps a promotion."""
    chosen_id = members.host_for('gateway/a', 'south')
    assert chosen_id.startswith('s')
    members._links_by_id[chosen_id].reaches_store = False
    assert members.host_for('gateway/a', 'south') not in (chosen_id,)


def test_job_stays_when_no_host_reaches_the_store(members):
    """Fails if jobs change hosts while no host can reach the store."""
    chosen_id = members.host_for('gateway/a', 'south')
    members.note_store_failure()
    for link in members._links_by_id.values():
        link.reaches_store = False
    assert members.host_for('gateway/a', 'south') == chosen_id


def test_draining_host_gets_no_job(members):
    chosen_id = members.host_for('gateway/a', 'south')
    members._links_by_id[chosen_id].is_draining = True
    assert members.host_for('gateway/a', 'south') != chosen_id


def test_host_of_a_large_fleet_has_few_links(clock):
    """Fails if 77 hosts have 5,852 connections between them."""

    async def scenario():
        local = frames.Hello('a-0', 'a', '127.0.0.1', 1, 1)
        created = members_module.Members(local, clock, None, lambda: None)
        created.add_hosts(
            frames.Hello(f'{zone}-{number}', zone, '127.0.0.1', 1, 1)
            for zone in 'abcd'
            for number in range(20)
        )
        link_count = len(created._links_by_id)
        created.stop()
        return link_count, created.host_count

    link_count, host_count = asyncio.run(scenario())
    assert host_count == 80
    assert link_count <= 4 * job_hosts.MAX_CHOSEN_PER_ZONE


def test_link_to_a_former_job_host_is_kept_while_it_is_used(members, clock):
    """Fails if open transactions are lost when a dead job host returns.

    The host that replaced it then stops being a job host.
    """
    link = members._links_by_id['s1']
    link.stop = lambda: None
    members._tasks_by_id['s1'] = unittest.mock.Mock()
    members._job_host_ids -= {'s1'}
    clock.set(clock.now() + 5_000)
    members._update_links()
    assert 's1' in members._links_by_id
    clock.set(clock.now() + members_module.UNUSED_LINK_KEPT_MS)
    members._update_links()
    assert 's1' not in members._links_by_id


def test_job_goes_to_a_large_host(members):
    """Fails if a gateway is placed on a host with a tenth of the bandwidth."""
    members._large_ids = frozenset(['s2'])
    assert members.host_for('gateway/a', 'south') == 's2'
    members._links_by_id['s2'].is_up = False
    assert members.host_for('gateway/a', 'south') in ('s0', 's1')


def test_job_has_no_host_while_no_job_host_answers(members):
    """Fails if each host makes itself the gateway and connects to targets."""
    members._job_host_ids -= {'n0'}
    for link in members._links_by_id.values():
        link.is_up = False
    assert members.host_for('gateway/a', 'south') == ''


def claim_gateway(members, host_id, service, zone, now):
    link = members._links_by_id[host_id]
    link.claims = frames.Claims({service: zone})
    link.claims_received_ms = now


def test_gateway_is_the_host_that_claimed_it_last(members):
    """Fails if hosts keep using a gateway that another host took over."""
    claim_gateway(members, 's0', 'a', 'south', 1)
    claim_gateway(members, 'e2', 'a', 'east', 2)
    assert members.gateway_for('a') == 'e2'


def test_gateway_is_the_successor_of_a_host_that_is_down(members):
    """Fails if hosts wait for a claim, or choose otherwise than job hosts."""
    job = members_module.gateway_job('a')
    gateway_id = members.host_for(job, 'south')
    claim_gateway(members, gateway_id, 'a', 'south', 1)
    members._links_by_id[gateway_id].is_up = False
    assert members.gateway_for('a') == members.host_for(job, 'south')
    assert members.gateway_for('a') != gateway_id


def test_limits_of_targets_come_from_the_newest_gateway(members, clock):
    """Fails if a new gateway adopts limits that no longer hold."""
    start = catalog.TargetStart('i-1', 1)
    for link in members._links_by_id.values():
        link.limits_by_service = {}
    now = clock.now()
    members._links_by_id['s0'].limits_by_service['a'] = now - 500, {start: 2}
    members._links_by_id['e0'].limits_by_service['a'] = now - 900, {start: 4}
    assert members.observed_limits('a') == {start: 2}
    assert members.observed_limits('b') == {}
    clock.set(now + members_module.MAX_LIMIT_AGE_MS)
    assert members.observed_limits('a') == {}


def test_draining_host_is_not_the_gateway(members):
    gateway_id = members.host_for(members_module.gateway_job('a'), 'south')
    claim_gateway(members, gateway_id, 'a', 'south', 1)
    members._links_by_id[gateway_id].is_draining = True
    assert members.gateway_for('a') != gateway_id


def test_successor_of_a_host_that_gave_a_gateway_up_is_known(members):
    """Guards against a second gateway until the successor claims it."""
    gateway_id = members.host_for(members_module.gateway_job('a'), 'south')
    claim_gateway(members, gateway_id, 'a', 'south', 1)
    assert members.gateway_for('a') == gateway_id
    link = members.link_to(gateway_id)
    link.is_draining = True
    link.claims = frames.Claims({})
    assert members.gateway_for('a').startswith('s')


def test_host_settles_without_a_host_that_is_gone_for_good(members, clock):
    """Fails if hosts admit callers late after all hosts were killed."""
    members._first_read_ms = members._last_link_up_ms = clock.now()
    members._links_by_id['s1'].is_up = False
    clock.set(clock.now() + 100)
    assert not members.is_settled
    clock.set(clock.now() + 150)
    assert members.is_settled


def test_host_does_not_settle_early_while_most_hosts_are_down(members, clock):
    """Fails if the first host to start chooses itself for all jobs."""
    members._first_read_ms = members._last_link_up_ms = clock.now()
    for link in links_in_zones(members, ['south', 'east']):
        link.is_up = False
    clock.set(clock.now() + 600)
    assert not members.is_settled
    clock.set(clock.now() + 300)
    assert members.is_settled


def test_rows_are_read_again_when_a_job_host_knows_other_job_hosts(
    members, clock
):
    """Fails if a host learns of a new gateway host only at its renewal."""
    members._links_by_id['s0'].fleet_digest = members.fleet_digest + 1
    clock.set(clock.now() + members_module.MIN_REREAD_INTERVAL_MS)
    members._compare_digests()
    assert not members._reread_wanted.is_set()
    clock.set(clock.now() + members_module.DIFFERENCE_KEPT_MS)
    members._compare_digests()
    assert members._reread_wanted.is_set()


def test_rows_are_read_less_often_while_a_difference_stays(members, clock):
    """Fails if hosts that disagree for long load the store."""
    members._links_by_id['s0'].fleet_digest = members.fleet_digest + 1
    reads = 0
    for _ in range(600):
        clock.set(clock.now() + 100)
        members._compare_digests()
        if members._reread_wanted.is_set():
            members._reread_wanted.clear()
            members._last_read_ms = clock.now()
            reads += 1
    assert reads <= 6


@pytest.mark.parametrize('digest', [0, None])
def test_rows_are_not_read_again_while_job_hosts_agree(members, clock, digest):
    """Fails if hosts of an earlier version, without a digest, cause reads."""
    for link in members._links_by_id.values():
        link.fleet_digest = members.fleet_digest if digest is None else digest
    clock.set(clock.now() + 60_000)
    members._compare_digests()
    assert not members._reread_wanted.is_set()


def test_host_whose_row_was_deleted_is_forgotten(members):
    """Fails if a host that left stays a candidate for jobs."""
    members._seen_versions_by_id = {'s0': (1, 0), 's1': (2, 0), 'n1': (3, 0)}
    for host_id in ('s0', 's1'):
        members._tasks_by_id[host_id] = unittest.mock.Mock()
    members._links_by_id['s0'].is_up = False
    members._remove_deleted({'n1'})
    assert 's0' not in members._hosts_by_id
    assert 's0' not in members._job_host_ids
    assert 's1' in members._hosts_by_id  # it still answers


def test_one_job_host_of_a_zone_follows_the_configuration(clock):
    """Fails if no host of a zone follows it, or all of them do."""
    readers = []
    for own_id in ('n0', 'n1', 'n2'):
        local = frames.Hello(own_id, 'north', '127.0.0.1', 1, 1)
        created = members_module.Members(local, clock, None, lambda: None)
        for peer_id in {'n0', 'n1', 'n2', 's0'} - {own_id}:
            zone = 'south' if peer_id == 's0' else 'north'
            link = FakeLink(peer_id, zone, clock.now())
            created._links_by_id[peer_id] = link
            created._hosts_by_id[peer_id] = link.peer
        created._choose_job_hosts()
        if created.is_catalog_reader:
            readers.append(own_id)
    assert len(readers) == 1


def test_another_host_follows_the_configuration_when_the_reader_fails(
    members,
):
    """Fails if a zone hears of changes only while one host is up."""
    for link in links_in_zones(members, ['north']):
        link.is_up = False
    assert members.is_catalog_reader


class SlowStore:
    """A store that holds rows of hosts and writes none until it is told."""

    def __init__(self, host_ids):
        value = {'zone': 'south', 'address': '127.0.0.1', 'port': 1}
        self.rows = [
            store_module.Row(
                'hosts',
                host_id,
                json.dumps({**value, 'incarnation': 1}).encode(),
                1,
            )
            for host_id in host_ids
        ]
        self.may_write = asyncio.Event()

    async def read(self, table):
        return store_module.TableRows(tuple(self.rows), 1, 0)

    async def put(self, table, key, value, expected_version):
        await self.may_write.wait()
        self.rows.append(store_module.Row(table, key, value, 2))
        return 2


@pytest.mark.parametrize('is_restart', [True, False])
def test_restarted_host_does_not_wait_for_its_registration(clock, is_restart):
    """Guards against a start that takes seconds where all hosts start.

    The store writes 150 rows a second; after a loss of power 195 hosts wrote
    theirs before they read those of the others. A host of a new fleet must
    wait, or it knows nobody and chooses itself for every job.
    """

    async def scenario():
        store = SlowStore(['s0', 's1', 'n0'] if is_restart else ['s0'])
        local = frames.Hello('n0', 'north', '127.0.0.1', 1, 1)
        created = members_module.Members(local, clock, store, lambda: None)
        task = asyncio.create_task(created.register_forever())
        await asyncio.sleep(0.01)
        assert created.knows_fleet == is_restart
        store.may_write.set()
        await asyncio.sleep(0.01)
        assert created.knows_fleet
        task.cancel()
        created.stop()

    asyncio.run(scenario())
