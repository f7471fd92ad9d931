"""Requests to targets that are cold."""

import asyncio
import json
import random

import pytest

from samphirestand.gateway import warmup
from samphirestand.platform import records
from tests.gateway import test_evacuation
from tests.gateway import test_pool
from tests import nodes

RULES = warmup.ColdRules()
COLD_RATE = 20
# So many that each target gets reads.
READERS = 6
BOUND = COLD_RATE * RULES.excess + RULES.slack


def send_all(targets, duration_ms, seed):
    """Send as much as is allowed; returns the times and counts."""
    generator = random.Random(seed)
    sent = []
    for now in range(duration_ms):
        for each in targets:
            count = generator.randint(1, warmup.STATEMENT_REQUESTS)
            if each.may_start(now, 0) and each.may_send(now, count):
                each.record(now, count)
                sent.append((now, count))
    return sent


def busiest_second(sent):
    return max(
        sum(count for now, count in sent if start <= now < start + 1_000)
        for start, _ in sent
    )


@pytest.mark.parametrize('rate', [0.5, 1, 3, 20, 77.5])
@pytest.mark.parametrize('seed', range(3))
def test_two_gateways_stay_within_the_bound(rate, seed):
    """Fails if both gateways of a hand-over use all of the bound."""
    gateways = [warmup.Warmup(), warmup.Warmup()]
    for each in gateways:
        each.begin(RULES.gateway_bound(rate), 10_000)
    sent = send_all(gateways, 5_000, seed)
    assert sent
    assert busiest_second(sent) <= rate * RULES.excess + RULES.slack


@pytest.mark.parametrize('rate', [3, 20, 77.5])
@pytest.mark.parametrize('seed', range(3))
def test_three_gateways_stay_within_the_bound(rate, seed):
    """Fails if a gateway that moves twice within a second exceeds it."""
    gateways = [warmup.Warmup() for _ in range(3)]
    shares = [warmup.gateway_share(each) for each in (60_000, 900, None)]
    for each, share in zip(gateways, shares, strict=True):
        each.begin(RULES.gateway_bound(rate, share), 10_000)
    sent = send_all(gateways, 5_000, seed)
    assert sent
    assert busiest_second(sent) <= rate * RULES.excess + RULES.slack


def test_no_rate_is_no_limit():
    """Fails if targets are limited where nothing calls for it."""
    target = warmup.Warmup()
    target.begin(RULES.gateway_bound(0), 10_000)
    assert target.may_send(0, 10_000)


def test_bound_grows_until_it_ends():
    """Fails if a target that is warm gets all of its share at once."""
    target = warmup.Warmup()
    target.begin(10, 5_000)
    limits = [target.limit(now) for now in range(4_000, 9_000, 1_000)]
    assert limits == [10, 10, 20, 40, None]


def test_running_statements_keep_their_requests_free():
    """Fails if statements that run have no request left for their end."""
    target = warmup.Warmup()
    target.begin(9, 5_000)
    assert target.may_start(0, 1)
    assert not target.may_start(0, 2)


class Recorder(list):
    """The statements of targets, with the time of each."""

    def append(self, statement):
        super().append(statement)
        if statement.text != 'STATUS':
            now_ms = int(asyncio.get_running_loop().time() * 1_000)
            self.sent_by_server.setdefault(statement.server_id, []).append(
                (now_ms, 1)
            )


def record(fleet):
    fleet.group.statements = Recorder()
    fleet.group.statements.sent_by_server = {}
    return fleet.group.statements.sent_by_server


def configure(fleet, version, **fields):
    service = {'Name': nodes.SERVICE, 'MaxConns': 16, 'SyncReplicas': 1}
    fleet.store.put(
        'op',
        'config',
        nodes.configuration(version, Services=[{**service, **fields}]),
    )
    return fleet.until(
        lambda: all(
            each.catalog.current.version == version for each in fleet.nodes
        )
    )


def test_target_that_restarts_is_limited_on_two_gateways():
    """Fails if two gateways together send a cold target too much."""

    async def scenario(fleet, zones, callers):
        for node in fleet.nodes:
            node.gateways.gateway_host_id = lambda service, own=node: (
                own.members.local.host_id
            )
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=30)
        server = list(fleet.group.servers.values())[1]
        server.warm_left_ms = 30_000
        server.born = 2
        server.register()
        await fleet.until(
            lambda: all(
                each.targets._targets_by_id[server.server_id].started_ms == 2
                for each in fleet.nodes
            )
        )
        sent = record(fleet)
        await asyncio.sleep(3)
        assert 1 < busiest_second(sent[server.server_id]) <= BOUND
        others = [each for key, each in sent.items() if key != 'i-2']
        assert max(busiest_second(each) for each in others) > BOUND

    test_evacuation.run_loaded(scenario, readers=READERS)


def test_target_is_limited_while_its_gateway_moves_twice():
    """Fails if three gateways together send a cold target too much."""

    async def scenario(fleet, zones, callers):
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=30)
        server = list(fleet.group.servers.values())[1]
        server.warm_left_ms = 30_000
        server.born = 2
        server.register()
        await fleet.until(
            lambda: all(
                each.targets._targets_by_id[server.server_id].started_ms == 2
                for each in fleet.nodes
            )
        )
        # The two hosts that had no gateway open one as well.
        for node in fleet.nodes:
            node.gateways.gateway_host_id = lambda service, own=node: (
                own.members.local.host_id
            )
        sent = record(fleet)
        await asyncio.sleep(2.5)
        assert 1 < busiest_second(sent[server.server_id]) <= BOUND

    test_evacuation.run_loaded(scenario, hosts=3, readers=READERS)


def test_target_that_restarts_at_once_is_limited():
    """Fails if it gets all of its load until its row of the restart is read.

    It is never found down.
    """

    async def scenario(fleet, zones, callers):
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=30)
        server = list(fleet.group.servers.values())[1]
        sent = record(fleet)
        await fleet.until(
            lambda: (
                busiest_second(sent.get(server.server_id, [(0, 0)])) > BOUND
            )
        )
        server.crash()
        server.warm_left_ms = 30_000
        server.born = 2
        sent[server.server_id].clear()
        await server.start()
        await asyncio.sleep(4)
        assert 1 < busiest_second(sent[server.server_id]) <= BOUND

    test_evacuation.run_loaded(scenario, readers=READERS)


def test_connection_that_a_target_closes_limits_it_only_after_a_restart():
    """Fails if a target that runs on is limited when one connection ends."""
    pool = test_pool.create_pool(1)
    pool.cold_bound = 5
    now = pool._clock.now()
    pool.record_closed_by_target()
    assert pool.warmup.limit(now) == 5
    pool.record_reply_since(now + 1)
    assert pool.warmup.limit(now) == 5
    pool.record_reply_since(now - 1)
    assert pool.warmup.limit(now) is None


def test_load_returns_gradually_after_an_evacuation():
    """Fails if a zone gets all of its load in the moment of its return."""

    async def scenario(fleet, zones, callers):
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=2)
        zones.evacuate('south')
        await zones.stay_unused('south', seconds=0)
        sent = record(fleet)
        zones.revoke('south')
        await asyncio.sleep(2)
        assert 1 < busiest_second(sent['i-2']) <= BOUND
        await fleet.until(lambda: busiest_second(sent['i-2']) > BOUND)

    test_evacuation.run_loaded(scenario, readers=READERS)


def test_limit_of_a_zone_that_has_returned_is_known_to_the_next_gateway():
    """Fails if a gateway that opens later takes the targets to be warm."""

    async def scenario(fleet, zones, callers):
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=30)
        zones.evacuate('south')
        await zones.stay_unused('south', seconds=0)
        zones.revoke('south')
        await fleet.until(
            lambda: not any(each.evacuations.zones for each in fleet.nodes)
        )
        for node in fleet.nodes:
            gateway = node.gateways._gateways_by_service.get(nodes.SERVICE)
            if gateway is not None:
                node.gateways._close_gateway(gateway)
        sent = record(fleet)
        await asyncio.sleep(2)
        assert 1 < busiest_second(sent['i-2']) <= BOUND

    test_evacuation.run_loaded(scenario, readers=READERS)


def test_limit_of_a_zone_that_has_returned_is_known_to_later_hosts():
    """Fails if a host that starts after the return sends all of the load."""

    async def scenario(fleet, zones, callers):
        await configure(fleet, 2, ColdRateS=COLD_RATE, WarmupS=30)
        zones.evacuate('south')
        await zones.stay_unused('south', seconds=0)
        zones.revoke('south')
        await fleet.until(
            lambda: not any(each.evacuations.zones for each in fleet.nodes)
        )
        later = await fleet.start_node('north')
        await fleet.until(lambda: later.is_ready and later.targets.is_complete)
        for node in fleet.nodes:
            node.gateways.gateway_host_id = lambda service: (
                later.members.local.host_id
            )
        # The earlier gateways have nothing left to do by then.
        await asyncio.sleep(2)
        sent = record(fleet)
        await asyncio.sleep(3)
        assert 1 < busiest_second(sent['i-2']) <= BOUND

    test_evacuation.run_loaded(scenario, readers=READERS)


def test_target_that_was_down_counts_as_cold():
    """Fails if a target that restarts gets load before its row is read."""
    pool = test_pool.create_pool(1)
    pool.cold_bound = 5
    pool.record_reply()
    assert pool.warmup.limit(pool._clock.now()) is None
    pool.is_down = True
    pool.record_reply()
    assert pool.warmup.limit(pool._clock.now()) == 5


def test_fields_of_the_configuration():
    """Fails if the rate of a cold target is not taken from its service."""
    service = {'Name': 's', 'MaxConns': 9, 'WarmupS': 2.5, 'ColdRateS': 7.5}
    document = nodes.configuration(1, Services=[service])
    decoded = records.decode_catalog(json.dumps(document).encode())
    assert decoded.services_by_name['s'].warmup_ms == 2_500
    assert decoded.services_by_name['s'].cold_rate_per_s == 7.5
