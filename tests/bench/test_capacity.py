"""Tests of the measurements for the capacity page."""

import pytest

from bench import capacity_control
from bench import capacity_hosts
from samphirestand import clock as clocks
from samphirestand.hosts import membership
from samphirestand import types


def host(number):
    zone = 'zone-1' if number else 'zone-0'
    return types.Host(f'h{number}', zone, 1, 'http://127.0.0.1:1', '', 2)


def test_slope_of_a_line():
    """Guards against a fixed cost that counts as a cost per unit."""
    points = [(x, 40.0 + 0.5 * x) for x in (1, 3, 9)]
    assert capacity_hosts.slope(points) == pytest.approx(0.5)


def test_the_measured_host_owns_the_rate():
    """Guards against figures of a host that isn't the rate owner."""
    account = capacity_control._account_owned_by(1)
    for number in range(capacity_control.TOKEN_HOSTS):
        hosts = membership.Membership(host(number), clocks.ManualClock())
        for other in range(capacity_control.TOKEN_HOSTS):
            hosts.learn(
                membership.News(host(other), 1, 1, membership.Condition.ALIVE)
            )
        other_zone = 'zone-0' if number else 'zone-1'
        hosts.heard_zone(other_zone, clocks.ManualClock().now(), 1)
        assert hosts.rate_owner(account).host_id == 'h1'
