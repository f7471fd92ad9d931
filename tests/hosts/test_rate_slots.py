"""Tests of rate slots with a fake table service and a manual clock."""

import asyncio
import dataclasses
import random

import pytest

from samphirestand import clock as clocks
from samphirestand.control import rows as table_rows
from samphirestand import exceptions
from samphirestand.hosts import rate_slots
from samphirestand.hosts import slot_rows
from samphirestand import types
from tests.hosts import fakes


@dataclasses.dataclass
class Row:
    key: str
    value: dict
    version: int


class Table:
    """A table service with faults for each host.

    ``fault`` is ok, down (no effect, no answer), lost (effect, no answer)
    or late (the effect comes when ``deliver`` is called, no answer).
    """

    def __init__(self):
        self.rows_by_key = {}
        self.late = []

    def deliver(self):
        for put in self.late:
            try:
                self.write(put)
            except exceptions.TableConflict:
                pass
        self.late.clear()

    def write(self, put):
        row = self.rows_by_key.get(put.key)
        version = row.version if row else 0
        if version != put.expected_version:
            raise exceptions.TableConflict('changed', step='put row')
        row = Row(put.key, put.value, version + 1)
        self.rows_by_key[put.key] = row
        return row


class View:
    """The table service as one host reaches it."""

    def __init__(self, table):
        self.table = table
        self.fault = 'ok'

    def _read(self):
        if self.fault == 'down':
            raise exceptions.PlatformUnavailable('down', step='test')

    async def get_row(self, table, key):
        self._read()
        return self.table.rows_by_key.get(key)

    async def list_rows(self, table, prefix='', after='', limit=100):
        self._read()
        rows = sorted(self.table.rows_by_key.values(), key=lambda x: x.key)
        return [row for row in rows if row.key.startswith(prefix)]

    async def put_row(self, table, key, value, expected_version):
        self._read()
        put = table_rows.Put(table, key, value, expected_version)
        if self.fault == 'late':
            self.table.late.append(put)
        else:
            row = self.table.write(put)
            if self.fault == 'ok':
                return row
        raise exceptions.PlatformUnavailable('no answer', step='test')


class Membership:
    def __init__(self, ids):
        self.ids = ids

    def reachable(self):
        return [fakes.host(each) for each in self.ids]


class Zone:
    """Hosts of one zone that share the slots of the zone.

    ``heard_ms`` is when the fleet last had contact with the platform.
    """

    def __init__(self, ids='xy', slots=1, seed=1):
        self.clock = clocks.ManualClock()
        self.table = Table()
        self.heard_ms = self.clock.now()
        self.is_up = True
        self.paused = set()
        self.claims = []
        self.membership = Membership(ids)
        self.views = {each: View(self.table) for each in ids}
        configuration = fakes.Configuration()
        configuration.current = types.Configuration(1, rate_slots=slots)
        self.configuration = configuration
        self.hosts = {}
        for each in ids:
            self.hosts[each] = rate_slots.RateSlots(
                each,
                'a',
                ['a'],
                self.views[each],
                configuration,
                self.membership,
                lambda: self.clock.now() - self.heard_ms,
                self.clock,
                random.Random(f'{seed}{each}'),
            )
            self.hosts[each].subscribe(
                lambda claimed, each=each: self.claims.append((each, claimed))
            )

    async def advance(self, duration_ms, ids=None):
        for _ in range(duration_ms // 500):
            self.clock.set(self.clock.now() + 500)
            if self.is_up:
                self.heard_ms = self.clock.now()
            for each in ids or list(self.hosts):
                if each not in self.paused:
                    await self.hosts[each].step()
            self.check()

    def check(self):
        """Fail if more slots are in use than exist."""
        used = sum(
            host.held()
            for each, host in self.hosts.items()
            if each not in self.paused
        )
        assert used <= len(self.table.rows_by_key) or used == 0

    def held(self, each):
        return self.hosts[each].held()


def run(work):
    return asyncio.run(work)


def test_first_claim_starts_full_and_a_later_one_empty():
    """Guards against tokens that are created when a slot changes hands."""

    async def main():
        zone = Zone()
        await zone.advance(10_000, ids=['x'])
        assert zone.held('x') == 1
        assert zone.claims == [('x', rate_slots.SlotClaim('a-0', True))]
        zone.paused.add('x')
        await zone.advance(14_000)
        assert zone.held('y') == 0
        await zone.advance(14_000)
        assert zone.held('y') == 1
        assert zone.claims[1:] == [('y', rate_slots.SlotClaim('a-0', False))]

    run(main())


def test_no_slot_is_claimed_before_the_first_configuration():
    """Guards against full buckets beyond the configured number of slots."""

    async def main():
        zone = Zone('x', slots=3)
        first = zone.configuration.current
        zone.configuration.current = types.Configuration()
        await zone.advance(10_000)
        assert zone.claims == []
        zone.configuration.current = first
        await zone.advance(20_000)
        assert len(zone.claims) == 3

    run(main())


@pytest.mark.parametrize('is_up, held', [(True, 1), (False, 0)])
def test_a_starting_host_waits_for_its_first_slot(is_up, held):
    """Guards against a new host that refuses callers inside their rate."""

    async def main():
        zone = Zone('x')
        zone.views['x'].fault = 'ok' if is_up else 'down'
        first = zone.configuration.current
        zone.configuration.current = types.Configuration()
        task = asyncio.create_task(zone.hosts['x'].run())
        await zone.clock.advance(1_000)
        zone.configuration.current = first
        waiting = asyncio.create_task(zone.hosts['x'].await_first(1_000))
        await zone.clock.advance(1_000)
        assert waiting.done()
        assert zone.held('x') == held
        task.cancel()

    run(main())


@pytest.mark.parametrize('fault', ['lost', 'late', 'down'])
def test_lost_answers_to_a_claim(fault):
    """Guards against a slot that nobody uses, or that two hosts use."""

    async def main():
        zone = Zone('x')
        zone.views['x'].fault = fault
        await zone.advance(3_000)
        assert zone.held('x') == 0
        zone.table.deliver()
        zone.views['x'].fault = 'ok'
        await zone.advance(10_000)
        assert zone.held('x') == 1
        assert zone.claims == [('x', rate_slots.SlotClaim('a-0', True))]

    run(main())


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_lost_answers_to_renewals(fault):
    """Guards against a holder that loses its slot to its own writes."""

    async def main():
        zone = Zone('x')
        await zone.advance(2_000)
        for _ in range(6):
            zone.views['x'].fault = fault
            await zone.advance(6_000)
            zone.table.deliver()
            zone.views['x'].fault = 'ok'
            await zone.advance(3_000)
            assert zone.held('x') == 1
        assert len(zone.claims) == 1

    run(main())


@pytest.mark.parametrize(
    ('is_platform_up', 'kept'),
    [
        # Others reach the platform: one of them may claim the slot.
        (True, 0),
        # Nobody reaches it: an outage, or the zone is cut off.
        (False, 1),
    ],
)
def test_holder_that_cannot_renew(is_platform_up, kept):
    """Guards against giving up in an outage and against double use."""

    async def main():
        zone = Zone('x')
        await zone.advance(2_000)
        zone.views['x'].fault = 'down'
        zone.is_up = is_platform_up
        await zone.advance(9_000)
        assert zone.held('x') == 1
        await zone.advance(4_000)
        assert zone.held('x') == kept
        await zone.advance(600_000)
        assert zone.held('x') == kept
        zone.is_up = True
        zone.views['x'].fault = 'ok'
        await zone.advance(4_000)
        assert zone.held('x') == 1

    run(main())


def test_paused_holder_stops_before_its_first_use():
    """Guards against a resumed host that uses a slot claimed meanwhile."""

    async def main():
        zone = Zone()
        await zone.advance(4_000, ids=['x'])
        assert zone.held('x') == 1
        zone.paused.add('x')
        zone.is_up = False
        await zone.advance(14_000)
        zone.paused.clear()
        assert zone.held('x') == 0

    run(main())


@pytest.mark.parametrize('seed', range(8))
def test_nobody_claims_at_once_after_an_outage(seed):
    """Guards against counting the outage as time without renewal."""

    async def main():
        zone = Zone(seed=seed)
        await zone.advance(10_000, ids=['x'])
        # The other host sees the row before the outage, in most cases
        # after it was last renewed.
        zone.views['x'].fault = 'down'
        await zone.advance(2_000)
        zone.is_up = False
        zone.views['y'].fault = 'down'
        await zone.advance(60_000)
        assert (zone.held('x'), zone.held('y')) == (1, 0)
        zone.is_up = True
        zone.views['y'].fault = 'ok'
        # The holder hears of the platform last.
        await zone.advance(10_000, ids=['y'])
        assert zone.held('y') == 0

    run(main())


def test_claim_that_takes_effect_late():
    """Guards against using a slot that its holder may still be using."""

    async def main():
        zone = Zone()
        await zone.advance(4_000, ids=['x'])
        zone.paused.add('x')
        zone.views['y'].fault = 'late'
        await zone.advance(30_000)
        zone.table.deliver()
        zone.views['y'].fault = 'ok'
        await zone.advance(10_000)
        assert zone.claims[-1] == ('y', rate_slots.SlotClaim('a-0', False))
        assert zone.held('y') == 0
        await zone.advance(16_000)
        assert zone.held('y') == 1

    run(main())


def test_slots_are_shared_and_given_up():
    """Guards against one host that keeps all slots of its zone."""

    async def main():
        zone = Zone('xyz', slots=3)
        zone.membership.ids = 'x'
        await zone.advance(20_000, ids=['x'])
        assert zone.held('x') == 3
        zone.membership.ids = 'xyz'
        await zone.advance(60_000)
        assert [zone.held(each) for each in 'xyz'] == [1, 1, 1]
        await zone.hosts['x'].give_up_all()
        assert zone.held('x') == 0
        await zone.advance(20_000, ids=['x'])
        assert zone.held('x') == 0

    run(main())


@pytest.mark.parametrize('seed', range(30))
def test_a_slot_is_never_used_twice(seed):
    """Guards against double use under random faults of any kind."""

    async def main():
        chance = random.Random(seed)
        zone = Zone('xyz', slots=2, seed=seed)
        for _ in range(40):
            zone.is_up = chance.random() < 0.7
            zone.paused = {each for each in 'xyz' if chance.random() < 0.2}
            for view in zone.views.values():
                view.fault = (
                    chance.choice(['ok', 'ok', 'ok', 'lost', 'late', 'down'])
                    if zone.is_up
                    else 'down'
                )
            await zone.advance(chance.randrange(1, 40) * 500)
            if zone.is_up and chance.random() < 0.5:
                zone.table.deliver()

    run(main())


@pytest.mark.parametrize(
    ('zones', 'slots', 'counts'),
    [
        (['a'], 9, [9]),
        (['a', 'b', 'c', 'd'], 9, [3, 2, 2, 2]),
        (['b', 'a'], 1, [1, 0]),
    ],
)
def test_slots_of_the_zones_add_up(zones, slots, counts):
    """Guards against more or fewer slots than the configuration says."""
    keys = [slot_rows.slot_keys(zone, zones, slots) for zone in sorted(zones)]
    assert [len(each) for each in keys] == counts
