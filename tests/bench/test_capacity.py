"""Tests of the calculations behind the capacity measurements."""

import pytest

from bench import capacity_control
from bench import capacity_hosts
from samphirestand import clock as clocks
from samphirestand.hosts import membership
from samphirestand import types


def make_host(number):
    """Return the host with this index in the fleet that is measured."""
    zone = capacity_control.TOKEN_ZONES[number]
    return types.Host(f'h{number}', zone, 1, 'http://127.0.0.1:1', '', 2)


def test_slope_of_a_line():
    """Guards against counting a fixed cost in the cost per statement."""
    points = [(x, 40.0 + 0.5 * x) for x in (1, 3, 9)]
    assert capacity_hosts.slope(points) == pytest.approx(0.5)


def test_the_measured_host_owns_the_rate():
    """Guards against measuring a host that isn't the rate owner."""
    owner_index = capacity_control.OWNER_INDEX
    account = capacity_control._account_owned_by(owner_index)
    clock = clocks.ManualClock()
    hosts = [
        make_host(each) for each in range(len(capacity_control.TOKEN_ZONES))
    ]
    for local_host in hosts:
        members = membership.Membership(local_host, clock)
        for each in hosts:
            members.learn(
                membership.HostRecord(each, 1, 1, membership.Condition.ALIVE)
            )
            members.heard_zone(each.zone, clock.now(), 1)
        assert members.rate_owner(account) == hosts[owner_index]
