"""Which hosts are chosen for jobs, and when a host is cut off."""

import pytest

from samphirestand import clock as clock_module
from samphirestand.fleet import frames
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
