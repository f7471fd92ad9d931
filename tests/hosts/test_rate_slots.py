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
    """A table service in memory, with writes that take effect late."""

    def __init__(self):
        self.rows_by_key = {}
        self.late_puts = []

    def deliver(self):
        for put in self.late_puts:
            try:
                self.write(put)
            except exceptions.TableConflict:
                pass
        self.late_puts.clear()

    def write(self, put):
        row = self.rows_by_key.get(put.key)
        version = row.version if row else 0
        if version != put.expected_version:
            raise exceptions.TableConflict('changed', step='put row')
        row = Row(put.key, put.value, version + 1)
        self.rows_by_key[put.key] = row
        return row


class TableConnection:
    """The connection of one host to the table service.

    ``fault`` is ok, down (no effect, no answer), lost (effect, but no answer)
    or late (takes effect when ``Table.deliver`` is called, no answer).
    """

    def __init__(self, table):
        self.table = table
        self.fault = 'ok'

    def _raise_if_down(self):
        if self.fault == 'down':
            raise exceptions.PlatformUnavailable('down', step='test')

    async def get_row(self, table, key):
        self._raise_if_down()
        return self.table.rows_by_key.get(key)

    async def list_rows(self, table, prefix='', after='', limit=100):
        self._raise_if_down()
        rows = sorted(self.table.rows_by_key.values(), key=lambda x: x.key)
        return [row for row in rows if row.key.startswith(prefix)]

    async def put_row(self, table, key, value, expected_version):
        self._raise_if_down()
        put = table_rows.Put(table, key, value, expected_version)
        if self.fault == 'late':
            self.table.late_puts.append(put)
        else:
            row = self.table.write(put)
            if self.fault == 'ok':
                return row
        raise exceptions.PlatformUnavailable('no answer', step='test')


class Membership:
    """The hosts of one zone that are reachable."""

    def __init__(self, ids):
        self.ids = ids

    def reachable(self):
        return [fakes.host(each) for each in self.ids]


class Zone:
    """Hosts of one zone that share the slots of the zone.

    ``platform_contact_ms`` is the time of the last contact of any host with
    the platform. ``advance`` updates it while ``is_platform_up``.
    """

    def __init__(self, ids='xy', slots=1, seed=1):
        self.clock = clocks.ManualClock()
        self.table = Table()
        self.platform_contact_ms = self.clock.now()
        self.is_platform_up = True
        self.paused_ids = set()
        self.claims = []
        self.membership = Membership(ids)
        self.connections_by_id = {
            each: TableConnection(self.table) for each in ids
        }
        configuration = fakes.Configuration()
        configuration.current = types.Configuration(1, rate_slots=slots)
        self.configuration = configuration
        self.hosts_by_id = {}
        for each in ids:
            self.hosts_by_id[each] = rate_slots.RateSlots(
                each,
                'a',
                ['a'],
                self.connections_by_id[each],
                configuration,
                self.membership,
                lambda: self.clock.now() - self.platform_contact_ms,
                self.clock,
                random.Random(f'{seed}{each}'),
            )
            self.hosts_by_id[each].subscribe(
                lambda claimed, each=each: self.claims.append((each, claimed))
            )

    async def advance(self, duration_ms, ids=None):
        for _ in range(duration_ms // 500):
            self.clock.set(self.clock.now() + 500)
            if self.is_platform_up:
                self.platform_contact_ms = self.clock.now()
            for each in ids or list(self.hosts_by_id):
                if each not in self.paused_ids:
                    await self.hosts_by_id[each].renew_and_scan()
            self.check_use()

    def check_use(self):
        """Fail if more slots are in use than exist."""
        used = sum(
            host.held()
            for each, host in self.hosts_by_id.items()
            if each not in self.paused_ids
        )
        assert used <= len(self.table.rows_by_key) or used == 0

    def held_count(self, each):
        return self.hosts_by_id[each].held()


def run(coroutine):
    return asyncio.run(coroutine)


def test_only_the_first_claim_starts_full():
    """Guards against additional tokens when a slot gets another holder."""

    async def main():
        zone = Zone()
        await zone.advance(10_000, ids=['x'])
        assert zone.held_count('x') == 1
        assert zone.claims == [('x', rate_slots.SlotClaim('a-0', True))]
        zone.paused_ids.add('x')
        await zone.advance(14_000)
        assert zone.held_count('y') == 0
        await zone.advance(14_000)
        assert zone.held_count('y') == 1
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


@pytest.mark.parametrize('is_platform_up, held_count', [(True, 1), (False, 0)])
def test_starting_host_waits_for_its_first_slot(is_platform_up, held_count):
    """Guards against a new host that refuses callers within their rate."""

    async def main():
        zone = Zone('x')
        zone.connections_by_id['x'].fault = 'ok' if is_platform_up else 'down'
        first = zone.configuration.current
        zone.configuration.current = types.Configuration()
        task = asyncio.create_task(zone.hosts_by_id['x'].run())
        await zone.clock.advance(1_000)
        zone.configuration.current = first
        waiting = asyncio.create_task(zone.hosts_by_id['x'].await_first(1_000))
        await zone.clock.advance(1_000)
        assert waiting.done()
        assert zone.held_count('x') == held_count
        task.cancel()

    run(main())


@pytest.mark.parametrize('fault', ['lost', 'late', 'down'])
def test_claim_whose_answer_is_lost(fault):
    """Guards against a slot that no host uses, or that two hosts use."""

    async def main():
        zone = Zone('x')
        zone.connections_by_id['x'].fault = fault
        await zone.advance(3_000)
        assert zone.held_count('x') == 0
        zone.table.deliver()
        zone.connections_by_id['x'].fault = 'ok'
        await zone.advance(10_000)
        assert zone.held_count('x') == 1
        assert zone.claims == [('x', rate_slots.SlotClaim('a-0', True))]

    run(main())


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_renewals_whose_answers_are_lost(fault):
    """Guards against a holder that takes its own writes for another claim."""

    async def main():
        zone = Zone('x')
        await zone.advance(2_000)
        for _ in range(6):
            zone.connections_by_id['x'].fault = fault
            await zone.advance(6_000)
            zone.table.deliver()
            zone.connections_by_id['x'].fault = 'ok'
            await zone.advance(3_000)
            assert zone.held_count('x') == 1
        assert len(zone.claims) == 1

    run(main())


@pytest.mark.parametrize(
    ('is_platform_up', 'kept'),
    [
        # Other hosts reach the platform: one of them may claim the slot.
        (True, 0),
        # No host reaches the platform: an outage, or the zone is cut off.
        (False, 1),
    ],
)
def test_holder_that_cannot_renew(is_platform_up, kept):
    """Guards against slots that are released in an outage or used twice."""

    async def main():
        zone = Zone('x')
        await zone.advance(2_000)
        zone.connections_by_id['x'].fault = 'down'
        zone.is_platform_up = is_platform_up
        await zone.advance(9_000)
        assert zone.held_count('x') == 1
        await zone.advance(4_000)
        assert zone.held_count('x') == kept
        await zone.advance(600_000)
        assert zone.held_count('x') == kept
        zone.is_platform_up = True
        zone.connections_by_id['x'].fault = 'ok'
        await zone.advance(4_000)
        assert zone.held_count('x') == 1

    run(main())


def test_resumed_holder_does_not_use_its_slot():
    """Guards against a resumed host that uses a slot claimed by another."""

    async def main():
        zone = Zone()
        await zone.advance(4_000, ids=['x'])
        assert zone.held_count('x') == 1
        zone.paused_ids.add('x')
        zone.is_platform_up = False
        await zone.advance(14_000)
        zone.paused_ids.clear()
        assert zone.held_count('x') == 0

    run(main())


@pytest.mark.parametrize('seed', range(8))
def test_no_claim_right_after_an_outage(seed):
    """Guards against a claim of a slot whose holder couldn't renew it.

    Time during an outage of the platform must not count as time without a
    renewal.
    """

    async def main():
        zone = Zone(seed=seed)
        await zone.advance(10_000, ids=['x'])
        # The other host reads the row before the outage, in most cases after
        # its last renewal.
        zone.connections_by_id['x'].fault = 'down'
        await zone.advance(2_000)
        zone.is_platform_up = False
        zone.connections_by_id['y'].fault = 'down'
        await zone.advance(60_000)
        assert (zone.held_count('x'), zone.held_count('y')) == (1, 0)
        zone.is_platform_up = True
        zone.connections_by_id['y'].fault = 'ok'
        # The holder is the last to learn that the platform is available.
        await zone.advance(10_000, ids=['y'])
        assert zone.held_count('y') == 0

    run(main())


def test_claim_that_takes_effect_late():
    """Guards against a slot that is used while its old holder still may."""

    async def main():
        zone = Zone()
        await zone.advance(4_000, ids=['x'])
        zone.paused_ids.add('x')
        zone.connections_by_id['y'].fault = 'late'
        await zone.advance(30_000)
        zone.table.deliver()
        zone.connections_by_id['y'].fault = 'ok'
        await zone.advance(10_000)
        assert zone.claims[-1] == ('y', rate_slots.SlotClaim('a-0', False))
        assert zone.held_count('y') == 0
        await zone.advance(16_000)
        assert zone.held_count('y') == 1

    run(main())


def test_slots_are_shared_and_released():
    """Guards against a host that keeps more slots than its share."""

    async def main():
        zone = Zone('xyz', slots=3)
        zone.membership.ids = 'x'
        await zone.advance(20_000, ids=['x'])
        assert zone.held_count('x') == 3
        zone.membership.ids = 'xyz'
        await zone.advance(60_000)
        assert [zone.held_count(each) for each in 'xyz'] == [1, 1, 1]
        await zone.hosts_by_id['x'].give_up_all()
        assert zone.held_count('x') == 0
        await zone.advance(20_000, ids=['x'])
        assert zone.held_count('x') == 0

    run(main())


@pytest.mark.parametrize('seed', range(30))
def test_slot_is_never_used_by_two_hosts(seed):
    """Guards against a slot that two hosts use, under random faults."""

    async def main():
        rng = random.Random(seed)
        zone = Zone('xyz', slots=2, seed=seed)
        for _ in range(40):
            zone.is_platform_up = rng.random() < 0.7
            zone.paused_ids = {each for each in 'xyz' if rng.random() < 0.2}
            for connection in zone.connections_by_id.values():
                connection.fault = (
                    rng.choice(['ok', 'ok', 'ok', 'lost', 'late', 'down'])
                    if zone.is_platform_up
                    else 'down'
                )
            await zone.advance(rng.randrange(1, 40) * 500)
            if zone.is_platform_up and rng.random() < 0.5:
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
def test_shares_of_the_zones_add_up(zones, slots, counts):
    """Guards against shares that don't add up to the configured slots."""
    keys = [slot_rows.slot_keys(zone, zones, slots) for zone in sorted(zones)]
    assert [len(each) for each in keys] == counts
