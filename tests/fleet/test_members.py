"""Which hosts are chosen for jobs, and when a host is cut off."""

import asyncio
import unittest.mock

import pytest

from samphirestand import clock as clock_module
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand.fleet import members as members_module


class FakeLink:
    """A link whose state the test sets."""

    def __init__(self, host_id, zone, now):
        self.peer = frames.Hello(host_id, zone, '127.0.0.1', 1, 1)
        self.is_up = True
        self.is_silent = False
        self.is_draining = False
        self.reaches_store = True
        self.answered_ms = now
        self.used_ms = now
        self.claims = frames.Claims({})
        self.claimed_ms = 0


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def members(clock):
    local = frames.Hello('n0', 'north', '127.0.0.1', 1, 1)
    found = members_module.Members(local, clock, None, lambda: None)
    names = ['n1', 'n2', 's0', 's1', 's2', 'e0', 'e1', 'e2']
    zones = {'n': 'north', 's': 'south', 'e': 'east'}
    for name in names:
        link = FakeLink(name, zones[name[0]], clock.now())
        found._links_by_id[name] = link
        found._hosts_by_id[name] = link.peer
    found._choose_job_hosts()
    return found


def links(members, zones):
    return [
        each
        for each in members._links_by_id.values()
        if each.peer.zone in zones
    ]


def test_host_is_isolated_when_other_zones_reset_connections(members, clock):
    """Fails if callers of a zone that was cut off stay there."""
    clock.set(clock.now() + 2_000)
    for link in links(members, ['south', 'east']):
        link.is_up = False
    assert members.is_isolated


def test_host_is_isolated_when_most_hosts_are_silent(members):
    for link in links(members, ['south', 'east']):
        link.is_up = False
        link.is_silent = True
    assert members.is_isolated


def test_hosts_that_were_just_killed_isolate_nobody(members, clock):
    """Fails if the survivors of a mass failure turn callers away."""
    clock.set(clock.now() + 900)
    for link in members._links_by_id.values():
        link.is_up = False
    assert not members.is_isolated


def test_loss_of_one_zone_isolates_nobody(members, clock):
    clock.set(clock.now() + 5_000)
    for link in links(members, ['south']):
        link.is_up = False
        link.is_silent = True
    assert not members.is_isolated


def test_job_moves_to_a_host_that_the_store_serves(members, clock):
    """Fails if a host that the store turns away keeps a promotion."""
    chosen = members.host_for('gateway/a', 'south')
    assert chosen.startswith('s')
    members._links_by_id[chosen].reaches_store = False
    assert members.host_for('gateway/a', 'south') not in (chosen,)


def test_job_stays_when_the_store_serves_nobody(members):
    """Fails if jobs wander while the store is away for all hosts."""
    chosen = members.host_for('gateway/a', 'south')
    members.note_store_failure()
    for link in members._links_by_id.values():
        link.reaches_store = False
    assert members.host_for('gateway/a', 'south') == chosen


def test_draining_host_gets_no_job(members):
    chosen = members.host_for('gateway/a', 'south')
    members._links_by_id[chosen].is_draining = True
    assert members.host_for('gateway/a', 'south') != chosen


def test_host_of_a_large_fleet_has_few_links(clock):
    """Fails if 77 hosts have 5,852 connections between them."""

    async def scenario():
        local = frames.Hello('a-0', 'a', '127.0.0.1', 1, 1)
        found = members_module.Members(local, clock, None, lambda: None)
        found.learn_all(
            frames.Hello(f'{zone}-{number}', zone, '127.0.0.1', 1, 1)
            for zone in 'abcd'
            for number in range(20)
        )
        count = len(found._links_by_id)
        found.stop()
        return count, found.known_count

    count, known = asyncio.run(scenario())
    assert known == 80
    assert count <= 4 * job_hosts.MAX_CHOSEN_PER_ZONE


def test_link_to_a_former_job_host_is_kept_while_it_is_used(members, clock):
    """Fails if transactions are cut when a job host comes back."""
    link = members._links_by_id['s1']
    link.stop = lambda: None
    members._tasks_by_id['s1'] = unittest.mock.Mock()
    members._job_host_ids -= {'s1'}
    clock.set(clock.now() + 5_000)
    members._review_links()
    assert 's1' in members._links_by_id
    clock.set(clock.now() + members_module.LINK_KEPT_MS)
    members._review_links()
    assert 's1' not in members._links_by_id


def test_job_goes_to_a_large_host(members):
    """Fails if a gateway lands on a host with a tenth of the link."""
    members._large_ids = frozenset(['s2'])
    assert members.host_for('gateway/a', 'south') == 's2'
    members._links_by_id['s2'].is_up = False
    assert members.host_for('gateway/a', 'south') in ('s0', 's1')


def test_job_has_no_host_while_no_job_host_answers(members):
    """Fails if each host opens connections to targets for itself."""
    members._job_host_ids -= {'n0'}
    for link in members._links_by_id.values():
        link.is_up = False
    assert members.host_for('gateway/a', 'south') == ''


def claim(members, host_id, service, zone, now):
    link = members._links_by_id[host_id]
    link.claims = frames.Claims({service: zone})
    link.claimed_ms = now


def test_work_goes_to_the_host_that_claims_the_gateway_last(members):
    """Fails if hosts without jobs keep to a gateway that was taken over."""
    claim(members, 's0', 'a', 'south', 1)
    claim(members, 'e2', 'a', 'east', 2)
    assert members.gateway_for('a') == 'e2'


def test_work_goes_to_the_successor_of_a_gateway_that_is_gone(members):
    """Fails if hosts without jobs wait for a claim, or choose otherwise."""
    job = members_module.gateway_job('a')
    owner = members.host_for(job, 'south')
    claim(members, owner, 'a', 'south', 1)
    members._links_by_id[owner].is_up = False
    assert members.gateway_for('a') == members.host_for(job, 'south')
    assert members.gateway_for('a') != owner


def test_work_leaves_a_gateway_that_drains(members):
    owner = members.host_for(members_module.gateway_job('a'), 'south')
    claim(members, owner, 'a', 'south', 1)
    members._links_by_id[owner].is_draining = True
    assert members.gateway_for('a') != owner


def test_host_that_is_gone_for_good_is_not_waited_for(members, clock):
    """Fails if callers find nobody for long after all hosts were killed."""
    members._read_ms = members._last_up_ms = clock.now()
    members._links_by_id['s1'].is_up = False
    clock.set(clock.now() + 100)
    assert not members.is_settled
    clock.set(clock.now() + 150)
    assert members.is_settled


def test_host_waits_while_most_others_are_not_found(members, clock):
    """Fails if the first host to start takes all jobs."""
    members._read_ms = members._last_up_ms = clock.now()
    for link in links(members, ['south', 'east']):
        link.is_up = False
    clock.set(clock.now() + 600)
    assert not members.is_settled
    clock.set(clock.now() + 300)
    assert members.is_settled
