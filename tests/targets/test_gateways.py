"""Tests of how soon a host starts the gateways placed on it."""

import asyncio
import random

import pytest

from samphirestand import metrics
from samphirestand.targets import gateways as gateways_module
from samphirestand import types
from tests.targets import fakes

OWN_ZONE, OTHER_ZONE = 'zone-0', 'zone-1'


class Membership:
    """Places the targets in ``placed_ids`` on h0; records lookups by zone."""

    def __init__(self):
        self.local = types.Host('h0', OWN_ZONE, 1, '', '', 0)
        self.placed_ids = set()
        self.looked_up_zones = []

    def gateway_host(self, target):
        self.looked_up_zones.append(target.zone)
        host_id = 'h0' if target.target_id in self.placed_ids else 'h1'
        return types.Host(host_id, OWN_ZONE, 1, '', '', 0)


class RecordingGateways(gateways_module.TargetGateways):
    """Records the targets of started gateways; opens no connections."""

    def _start_gateway(self, target):
        self.started.add(target.target_id)


class HostSetup:
    """Gateways of a host, and ten targets in its zone and in another."""

    def __init__(self):
        self.clock = fakes.Clock()
        self.membership = Membership()
        targets = [
            types.Target(f'{zone}-{number}', 's', zone, '', 2, 16)
            for zone in (OWN_ZONE, OTHER_ZONE)
            for number in range(10)
        ]
        self.configuration = fakes.Configuration(
            types.Configuration(
                targets_by_id={each.target_id: each for each in targets}
            )
        )
        self.gateways = RecordingGateways(
            self.clock,
            random.Random(1),
            None,
            self.configuration,
            self.membership,
            None,
            None,
            metrics.Metrics(),
            None,
        )
        self.gateways.started = set()

    async def start(self):
        await self.gateways.start()
        await self.clock.advance(1)
        self.membership.looked_up_zones.clear()


def test_targets_of_other_zones_are_checked_rarely():
    """Guards against hosts that each check all targets four times a second.

    With 17,400 targets these checks used up the 4% of a core that a host may
    spend on control.
    """

    async def main():
        setup = HostSetup()
        await setup.start()
        await setup.clock.advance(10_000)
        zones = setup.membership.looked_up_zones
        assert zones.count(OWN_ZONE) >= 390
        assert zones.count(OTHER_ZONE) <= 50
        await setup.gateways.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('zone', 'limit_ms'), [(OWN_ZONE, 250), (OTHER_ZONE, 2_250)]
)
def test_a_placed_gateway_starts_in_time(zone, limit_ms):
    """Guards against targets that stay without a gateway."""

    async def main():
        setup = HostSetup()
        await setup.start()
        setup.membership.placed_ids.add(f'{zone}-3')
        await setup.clock.advance(limit_ms)
        assert setup.gateways.started == {f'{zone}-3'}
        await setup.gateways.stop()

    asyncio.run(main())


def test_a_new_configuration_is_applied_at_once():
    """Guards against new targets that wait for the next check."""

    async def main():
        setup = HostSetup()
        await setup.start()
        target = types.Target('new', 's', OTHER_ZONE, '', 2, 16)
        setup.membership.placed_ids.add('new')
        setup.configuration.apply(targets_by_id={'new': target})
        await setup.clock.advance(1)
        assert setup.gateways.started == {'new'}
        await setup.gateways.stop()

    asyncio.run(main())
