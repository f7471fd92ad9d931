"""Tests of which hosts may get gateways."""

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
def test_gateways_by_host_status(status, is_chosen):
    """Guards against gateways on hosts that start or drain.

    A starting host has no configuration yet.
    """
    local = types.Host('h1', 'z', 1, '', '127.0.0.1', 1, status)
    local_membership = membership.Membership(local, clocks.ManualClock())
    target = types.Target('t', 's', 'z', 'ws://t', 2, 16)
    assert bool(local_membership.gateway_host(target)) is is_chosen
