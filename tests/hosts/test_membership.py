"""Tests of the hosts that may get work."""

import pytest

from samphirestand import clock as clocks
from samphirestand.hosts import membership
from samphirestand import types


@pytest.mark.parametrize(
    'status, is_chosen',
    [
        (types.HostStatus.STARTING, False),
        (types.HostStatus.READY, True),
        (types.HostStatus.CUT_OFF, True),
        (types.HostStatus.DRAINING, False),
    ],
)
def test_status_decides_about_gateways(status, is_chosen):
    """Guards against gateways on hosts without a configuration."""
    local = types.Host('h1', 'z', 1, '', '127.0.0.1', 1, status)
    members = membership.Membership(local, clocks.ManualClock())
    target = types.Target('t', 's', 'z', 'ws://t', 2, 16)
    assert bool(members.gateway_host(target)) is is_chosen
