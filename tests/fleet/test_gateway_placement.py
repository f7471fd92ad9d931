"""Placement of gateways: decisions, replays of load patterns, failures."""

import asyncio
import dataclasses
import unittest.mock

import capnp
import pytest

from bench import placement_replay
from samphirestand import clock as clock_module
from samphirestand.fleet import demand_placement
from samphirestand.fleet import frames
from samphirestand.fleet import gateway_placement
from samphirestand import host_options
from samphirestand import metrics as metrics_module
from samphirestand import node_settings
from tests.fleet import simulation
from tests import nodes

PATTERNS = {each.name: each for each in placement_replay.PATTERNS}
SEEDS = range(2)

# Hosts have room for more than the demand, so none is asked for more than it
# can run, but for the seconds in which a gateway moves.
MAX_EXCESS_SHARE = 0.01

# Two gateways of a service end when both hosts have heard of each other. A job
# host that doesn't answer is replaced after this time as well.
MAX_DOUBLE_MS = 2_000

SMALL = node_settings.Capacity(500, 5_000)
LARGE = node_settings.Capacity(2_150, 100_000)


def replay_all(name, *, by_demand=True):
    return [
        placement_replay.replay(PATTERNS[name], seed, by_demand=by_demand)
        for seed in SEEDS
    ]


@pytest.mark.parametrize('name', ['uneven', 'largest_lost'])
def test_hosts_get_work_in_proportion_to_their_capacity(name):
    """Fails if busy services share a host while another one has room."""
    hashed = replay_all(name, by_demand=False)
    assert max(each.final_excess_share for each in hashed) > MAX_EXCESS_SHARE
    for result in replay_all(name):
        assert result.final_excess_share <= MAX_EXCESS_SHARE
        assert result.agrees


def test_loss_of_the_largest_hosts_takes_one_step():
    """Fails if services move on after their first new host."""
    pattern = PATTERNS['largest_lost']
    for result in replay_all('largest_lost'):
        for moves in result.moves_by_service.values():
            after_loss = [
                each
                for each in moves
                if 0 <= each[0] - pattern.killed_ms <= 10_000
            ]
            assert len(after_loss) <= 1


@pytest.mark.parametrize('name', ['swinging', 'swinging_slowly'])
def test_swinging_demand_moves_no_gateway_to_and_fro(name):
    """Fails if gateways follow each swing, or if none ever moves."""
    hashed = replay_all(name, by_demand=False)
    for result, earlier in zip(replay_all(name), hashed, strict=True):
        assert result.excess_share < earlier.excess_share
        for moves in result.moves_by_service.values():
            moments = [
                moment_ms
                for moment_ms, _ in moves
                if moment_ms > demand_placement.MIN_STAY_MS
            ]
            for first_ms, second_ms in zip(moments, moments[1:], strict=False):
                assert second_ms - first_ms >= demand_placement.MIN_STAY_MS


@pytest.mark.parametrize(
    'name', ['late_claims', 'lost_claims', 'older_host', 'staggered_start']
)
def test_two_gateways_of_a_service_are_rare_and_short(name):
    """Fails if hosts that know different claims keep two gateways."""
    for result in replay_all(name):
        assert result.longest_double_ms <= MAX_DOUBLE_MS
        assert result.agrees
        assert result.final_excess_share <= MAX_EXCESS_SHARE


def test_gateways_are_where_an_older_host_sends_statements():
    """Fails if a rolling upgrade has two gateways of each service."""
    pattern = dataclasses.replace(PATTERNS['older_host'], duration_ms=10_000)
    by_demand = placement_replay.replay(pattern, 1, by_demand=True)
    by_hash = placement_replay.replay(pattern, 1, by_demand=False)
    assert by_demand.agrees
    assert by_demand.holders_by_service == by_hash.holders_by_service


def claims(*services, demands=None, successors=None):
    return frames.Claims(
        dict.fromkeys(services, 'north'),
        places_by_demand=True,
        demands_by_service=demands or {},
        successors_by_service=successors or {},
    )


def test_holder_keeps_a_gateway_until_its_successor_claims_it():
    """Fails if a service has no gateway, or two, while one is moved."""
    ids = ['a', 'b', 'c']
    choose = gateway_placement.choose_holder
    handed = claims('s', successors={'s': 'b'})
    assert choose('s', ids, {'a': claims('s'), 'b': claims('t')}) == 'a'
    assert choose('s', ids, {'a': handed}) == 'b'
    assert choose('s', ids, {'a': handed, 'b': claims('s')}) == 'b'
    assert choose('s', ['a', 'c'], {'a': handed}) == 'a'
    assert choose('s', ['b', 'c'], {'a': claims('s')}) == ''


def test_host_that_claimed_all_services_while_cut_off_yields():
    """Fails if hosts that know the same claims choose differently."""
    by_host = {'a': claims('s', 't', 'u'), 'b': claims('s')}
    assert gateway_placement.choose_holder('s', ['a', 'b'], by_host) == 'b'
    assert gateway_placement.choose_holder('s', ['b', 'a'], by_host) == 'b'


def test_invalid_demand_is_clamped():
    """Fails if one host's figure decides the placement of all services."""
    assert gateway_placement.clamp_demand(0) is None
    assert gateway_placement.clamp_demand(-5) == 1
    assert gateway_placement.clamp_demand(2**32 - 1) == 10_000


def test_unknown_demand_and_capacity_count_as_the_mean():
    """Fails if services or hosts of older releases count as nothing."""
    assert gateway_placement.complete_demands(
        {'a': 10.0, 'b': 30.0, 'c': None}
    ) == {'a': 10.0, 'b': 30.0, 'c': 20.0}
    unknown = gateway_placement.statements_per_s(node_settings.Capacity())
    assert gateway_placement.complete_capacities(
        {'a': 100.0, 'b': unknown}
    ) == {'a': 100.0, 'b': 100.0}


def move_of(demands_by_host, rates):
    return gateway_placement.choose_move(
        [
            gateway_placement.Gateway(
                f'{host_id}{number}', host_id, demand, tuple(rates)
            )
            for host_id, demands in demands_by_host.items()
            for number, demand in enumerate(demands)
        ],
        rates,
    )


def test_gateway_moves_only_where_that_is_worth_its_cost():
    """Fails if gateways of calm or nearly equal hosts move."""
    rates = {'a': 1_000.0, 'b': 1_000.0}
    assert move_of({'a': [200, 200], 'b': [1]}, rates) is None
    # A gain of 17% of the busier host.
    assert move_of({'a': [100, 500], 'b': [400]}, rates) is None
    move = move_of({'a': [400, 400], 'b': [1]}, rates)
    assert (move.source_id, move.successor_id) == ('a', 'b')
    assert move_of({'a': [400], 'b': [400, 1]}, rates) is None
    # Young gateways are cheap to move.
    assert move_of({'a': [None, None]}, rates) is not None


def test_demand_is_an_average_of_seconds():
    """Fails if a burst or a pause of the process moves gateways."""
    meter = gateway_placement.DemandMeter(0)
    assert meter.per_s(1_000) is None
    for second in range(2, 21):
        for _ in range(50):
            meter.record()
        demand = meter.per_s(second * 1_000)
    assert demand == pytest.approx(50, rel=0.1)
    for _ in range(150):
        meter.record()
    assert meter.per_s(21_000) < 62
    assert meter.per_s(3_600_000) < 1


class FakeLink:
    def __init__(self, host_id, capacity):
        self.peer = frames.Hello(host_id, 'north', '', 1, 1, capacity)
        self.is_up = True
        self.is_draining = False
        self.claims = claims()
        self.claims_received_ms = 1


class FakeMembers:
    """Three hosts of one zone; the hash chooses the last candidate."""

    def __init__(self):
        self.local = frames.Hello('a', 'north', '', 1, 1, LARGE)
        self.links = {each: FakeLink(each, LARGE) for each in 'bc'}
        self.is_isolated = False

    def job_links(self):
        return list(self.links.values())

    def candidate_ids(self, zone):
        return ['a', *(key for key, each in self.links.items() if each.is_up)]

    def host_for(self, job, zone):
        return self.candidate_ids(zone)[-1]


class Host:
    """Host a, with the services s0 to s3."""

    def __init__(self):
        self.clock = clock_module.ManualClock()
        self.members = FakeMembers()
        self.metrics = metrics_module.Metrics()
        self.services = [f's{number}' for number in range(4)]
        self.placement = demand_placement.DemandPlacement(
            self.members,
            self.clock,
            self.metrics,
            lambda: ((each, 'north') for each in self.services),
        )

    def choices(self):
        return [
            self.placement.host_for(each, 'north') for each in self.services
        ]

    def review(self, duration_ms=0):
        """Run for a while; returns the claims of this host."""
        for _ in range(1 + duration_ms // 100):
            self.clock.set(self.clock.now() + 100)
            owned = {
                service: 'north'
                for service in self.services
                if self.placement.host_for(service, 'north') == 'a'
                or self.placement.hands_over(service)
            }
            found = self.placement.review(frames.Claims(owned))
        return found


@pytest.fixture
def host():
    return Host()


def test_services_without_a_host_are_spread(host):
    assert set(host.choices()) == {'a', 'b', 'c'}


def test_hash_decides_while_claims_are_missing(host):
    """Fails if a gateway is opened while the host of another is unknown."""
    host.members.links['b'].claims_received_ms = 0
    assert host.choices() == ['c'] * 4
    assert host.metrics.counter('gateways_placed_without_claims') == 4
    host.members.links['c'].claims = claims('s1')
    host.members.links['b'].claims_received_ms = 1
    assert host.placement.host_for('s1', 'north') == 'c'


def test_hash_decides_while_an_older_host_answers(host):
    """Fails if hosts of two releases have a gateway each for a service."""
    host.members.links['b'].claims = frames.Claims({'s1': 'north'})
    assert host.choices() == ['c'] * 4
    host.members.links['b'].is_up = False
    assert host.choices() != ['c'] * 4


def test_demand_of_a_dead_host_is_kept_for_a_limited_time(host):
    """Fails if the services of a dead host count as idle, or forever."""
    link = host.members.links['b']
    link.claims = claims('s0', demands={'s0': 900})
    host.choices()
    link.is_up = False
    memory = host.placement._memory
    now = host.clock.now()
    assert memory.per_s('s0', now + gateway_placement.DEMAND_KEPT_MS) == 900
    assert (
        memory.per_s('s0', now + gateway_placement.DEMAND_KEPT_MS + 1) is None
    )


def hand_over(host):
    """Make host a hand a gateway over; returns service and successor."""
    host.members.links['b'].claims = claims('s3', demands={'s3': 1})
    host.members.links['c'].claims = claims(demands={})
    host.services = ['s0', 's1', 's3']
    with unittest.mock.patch.object(
        gateway_placement, 'choose_move', lambda *_: None
    ):
        host.placement._own_claims = claims('s0', 's1')
        host.review()
    found = host.review(demand_placement.YOUNG_REVIEW_INTERVAL_MS)
    [(service, successor_id)] = found.successors_by_service.items()
    assert successor_id == 'c'
    return service


def test_gateway_is_given_up_when_its_successor_claims_it(host):
    """Fails if the earlier host claims it again, so that it moves back."""
    service = hand_over(host)
    host.members.links['c'].claims = claims(service)
    found = host.review()
    assert service not in found.zones_by_service
    assert host.placement.host_for(service, 'north') == 'c'
    assert host.metrics.counter('gateways_moved') == 1


@pytest.mark.parametrize('is_dead', [True, False])
def test_gateway_stays_when_its_successor_fails(host, is_dead):
    """Fails if a service has no gateway because a move didn't end."""
    service = hand_over(host)
    if is_dead:
        host.members.links['c'].is_up = False
    assert service in host.review().zones_by_service
    found = host.review(demand_placement.HANDOVER_TIMEOUT_MS)
    assert service in found.zones_by_service
    assert not found.successors_by_service
    assert host.metrics.counter('gateway_moves_failed') == 1
    assert host.placement.host_for(service, 'north') == 'a'


def test_older_hosts_read_the_claims(tmp_path):
    """Fails if a rolling upgrade ends connections between hosts."""
    schema = frames.pathlib.Path(frames.__file__).with_name('frames.capnp')
    text = schema.read_text()
    for field in ('placesByDemand @3', 'demands @4', 'successors @5'):
        [line] = [each for each in text.splitlines() if field in each]
        text = text.replace(line + '\n', '')
    path = tmp_path / 'older.capnp'
    path.write_text(text.replace('@0xd3a1f04be2c97716', '@0xd3a1f04be2c97717'))
    older = capnp.load(str(path))
    sent = claims('s', 't', demands={'t': 7}, successors={'s': 'b'})
    [body] = frames.extract_bodies(bytearray(frames.encode(sent)))
    read = older.Frame.from_bytes_packed(body)
    assert [each.service for each in read.claims.claims] == ['s', 't']
    message = older.Frame.new_message()
    entries = message.init('claims').init('claims', 1)
    entries[0].service, entries[0].zone = 's', 'north'
    assert frames.decode(message.to_bytes_packed()) == frames.Claims(
        {'s': 'north'}
    )


def test_gateway_moves_without_interrupting_anything():
    """Fails if a move ends a transaction or refuses a statement."""

    async def scenario():
        bounds = node_settings.Bounds(accounts_compete=True)
        async with nodes.running(4, bounds=bounds) as fleet:
            by_id = {each.members.local.host_id: each for each in fleet.nodes}
            zone = fleet.nodes[0].members.local.zone

            def claiming_ids():
                return [
                    host_id
                    for host_id, each in by_id.items()
                    if nodes.SERVICE in each.gateways.claims.zones_by_service
                ]

            await fleet.until(lambda: len(claiming_ids()) == 1)
            [source_id] = claiming_ids()
            [successor_id] = [
                host_id
                for host_id, each in by_id.items()
                if each.members.local.zone == zone and host_id != source_id
            ]
            client = await nodes.Client.connect(fleet.nodes[1])
            other = await nodes.Client.connect(fleet.nodes[2])
            await client.query('BEGIN')
            await client.query('WRITE x 1')
            move = gateway_placement.Move(
                nodes.SERVICE, source_id, successor_id, 1.0, 0.5
            )
            with unittest.mock.patch.object(
                gateway_placement, 'choose_move', lambda *_: move
            ):
                results = []
                while claiming_ids() != [successor_id]:
                    results.append((await other.query('READ x'))[1])
                    await asyncio.sleep(0.02)
                    assert len(results) < 500
            results.append((await client.query('COMMIT'))[1])
            results.append((await other.query('WRITE x 2'))[1])
            assert all(each.startswith('COMPLETE') for each in results)

    asyncio.run(scenario())


@pytest.mark.parametrize('host_count', [30])
@simulation.simulated
async def test_each_service_has_one_gateway_after_a_loss(loop, host_count):
    """Fails if hosts that really exchange claims don't agree.

    Some are lost after a calm time, and then all at once.
    """
    options = host_options.HostOptions.model_validate(
        {'placement': {'by_demand': True}}
    )
    fleet = loop.fleet = simulation.Fleet(loop, host_count, 4, options)

    def claiming_ids():
        return [
            host_id
            for host_id, node in fleet.nodes_by_id.items()
            for _ in node.gateways.claims.zones_by_service
        ]

    async def check():
        await asyncio.sleep(5)
        services = [
            service
            for node in fleet.nodes_by_id.values()
            for service in node.gateways.claims.zones_by_service
        ]
        assert len(services) == len(set(services)) == simulation.SERVICES

    await fleet.start()
    await check()
    for host_id in sorted(set(claiming_ids()))[:3]:
        fleet.kill(host_id)
    await check()
    for host_id in list(fleet.nodes_by_id):
        fleet.kill(host_id)
    await fleet.start()
    await check()
    for host_id in list(fleet.nodes_by_id):
        fleet.kill(host_id)
