"""Measures the bytes and processor time a second that gossip costs a host.

Prints JSON. Costs are measured in the steady state, in which every host is
alive and only heartbeats and ages change, for several numbers of hosts, routes
and zones. Two hosts in each zone run the gossip code and exchange messages in
memory; the other hosts are only entries in the membership of these, with
heartbeats that advance as if they ran. The cost of the RPC itself is measured
over loopback and added to each exchange. Bytes are those of the TCP streams,
without the headers of TCP and IP.

The part ``spread`` runs whole fleets in memory. It reports how long ago the
hosts last heard of the other hosts of their zone and of each zone, and how
many live hosts were suspected.
"""

import argparse
import asyncio
import collections.abc
import dataclasses
import json
import random
import sys
import time
from typing import Any

import capnp

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import client
from samphirestand.hosts import codec
from samphirestand.hosts import contacts
from samphirestand.hosts import evidence as evidences
from samphirestand.hosts import gossip as gossips
from samphirestand.hosts import membership as memberships
from samphirestand.hosts import routing
from samphirestand.hosts import server
from samphirestand import log
from samphirestand import types

ROUNDS_PER_SECOND = 1_000 / gossips.ROUND_MS
NODES_PER_ZONE = 2
WARM_UP_ROUNDS = 20
MEASURED_ROUNDS = 20
RPC_EXCHANGES = 1_000
RPC_PAYLOAD_BYTES = 400

HOST_COUNTS = (9, 100, 300, 1_000, 3_000)
ROUTE_COUNTS = (0, 100, 500, 2_000)
ZONE_COUNTS = (3, 9, 18)
CHANGE_ROUNDS = 20
CHANGE_FLEETS = ((9, 3), (90, 9), (270, 9))
SPREAD_FLEETS = ((9, 4), (90, 9), (333, 1))


class Configuration:
    """A configuration that never changes."""

    def __init__(self) -> None:
        self.current = types.Configuration(version=7)

    def is_confirmed(self) -> bool:
        return True

    def subscribe(
        self, callback: collections.abc.Callable[[types.Configuration], None]
    ) -> None:
        """Do nothing: the configuration never changes."""

    def apply_rows(
        self, new_rows: collections.abc.Iterable[types.ChangeRow]
    ) -> int:
        return self.current.version

    def changes_after(self, version: int) -> list[types.ChangeRow]:
        return []


class Node:
    """A host that runs the gossip code."""

    def __init__(self, fleet: 'Fleet', local: types.Host) -> None:
        clock = fleet.clock
        self.fleet = fleet
        self.membership = memberships.Membership(local, clock)
        self.routes = routing.RouteTable(clock)
        self.evidence = evidences.Evidence(
            clock, fleet.zones, local.zone, lambda: 7
        )
        configuration = Configuration()
        self.gossip = gossips.Gossip(
            self.membership,
            self.routes,
            self.evidence,
            configuration,
            configuration,
            InMemoryClient(self),
            clock,
            fleet.zones,
            fleet.rng,
        )
        self.contacts = contacts.Contacts(self.membership, fleet.rng)

    async def run_gossip_round(self) -> int:
        """Run one gossip round and return the number of exchanges."""
        self.membership.tick()
        hosts = self.contacts.choose(set())
        for host in hosts:
            await self.gossip.exchange(host)
        return len(hosts)


class InMemoryClient:
    """The RPC client of a node; delivers messages in memory."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def gossip(
        self, host: types.Host, state: Any, timeout_ms: int
    ) -> Any:
        return await self._node.fleet.deliver(self._node, host, state)

    async def configuration_changes(
        self, host: types.Host, after: int, timeout_ms: int
    ) -> list[types.ChangeRow]:
        return []


class Fleet:
    """Nodes that gossip, simulated other hosts, and the bytes that they send.

    ``nodes`` are ``NODES_PER_ZONE`` hosts in each zone. All other hosts are
    only entries in the membership of the nodes.
    """

    def __init__(self, hosts: int, routes: int, zones: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.zones = [f'zone-{number:02d}' for number in range(zones)]
        self.hosts = [
            _host(number, self.zones[number % zones])
            for number in range(hosts)
        ]
        node_hosts = self.hosts[: NODES_PER_ZONE * zones]
        self.nodes_by_zone: dict[str, list[Node]] = {}
        for host in node_hosts:
            nodes = self.nodes_by_zone.setdefault(host.zone, [])
            nodes.append(Node(self, host))
        self.nodes = [
            node for nodes in self.nodes_by_zone.values() for node in nodes
        ]
        self.payload_bytes = 0
        self.counts_bytes = False
        for node in self.nodes:
            self._add_known_state(node, routes)

    def _add_known_state(self, node: Node, routes: int) -> None:
        for host in self.hosts:
            node.membership.learn(
                memberships.HostRecord(host, 1, 1, memberships.Condition.ALIVE)
            )
        for number in range(routes):
            node.routes.learn(
                types.Route(f'service-{number:05d}', 3, f'target-{number:05d}')
            )
        # In the steady state no entry is new, so none is left to spread.
        for hot in (node.membership.hot, node.routes.hot):
            while hot:
                hot.take(1_000)

    async def deliver(self, sender: Node, host: types.Host, state: Any) -> Any:
        """Deliver a message to a node in the zone of ``host``.

        Returns the answer; raises ``HostError`` if the zone has no other node.
        """
        nodes = [
            node
            for node in self.nodes_by_zone.get(host.zone, [])
            if node is not sender
        ]
        if not nodes:
            raise exceptions.HostError('no such host', step='gossip')
        answer = self.rng.choice(nodes).gossip.receive(
            sender.membership.local.host_id, state.as_reader()
        )
        if self.counts_bytes:
            self.payload_bytes += len(state.to_bytes())
            self.payload_bytes += len(answer.to_bytes())
        return answer.as_reader()

    def advance_heartbeats(self, round_number: int) -> None:
        """Advance the heartbeats in each zone as if all hosts gossiped.

        They vary at random by up to 2, as heartbeats arrive unevenly.
        """
        now_ms = self.clock.now()
        for node in self.nodes:
            zone = node.membership.local.zone
            for member in node.membership.members():
                if member.host.zone == zone:
                    heartbeat_value = round_number + 5 - self.rng.randrange(3)
                    member.heartbeat = max(member.heartbeat, heartbeat_value)
                    member.advanced_ms = now_ms

    async def measure(self) -> dict[str, float]:
        """Return the costs of a host a second, without those of the RPC."""
        exchanges = 0
        elapsed_ns = 0
        for round_number in range(WARM_UP_ROUNDS + 2 * MEASURED_ROUNDS):
            self.clock.set(self.clock.now() + gossips.ROUND_MS)
            self.advance_heartbeats(round_number)
            # Counting bytes takes processor time, so bytes and processor time
            # are measured in different rounds.
            self.counts_bytes = (
                WARM_UP_ROUNDS
                <= round_number
                < WARM_UP_ROUNDS + MEASURED_ROUNDS
            )
            is_timed = round_number >= WARM_UP_ROUNDS + MEASURED_ROUNDS
            started_ns = time.process_time_ns()
            for node in self.nodes:
                round_exchanges = await node.run_gossip_round()
                exchanges += round_exchanges if is_timed else 0
            if is_timed:
                elapsed_ns += time.process_time_ns() - started_ns
        seconds = MEASURED_ROUNDS / ROUNDS_PER_SECOND * len(self.nodes)
        return {
            'exchanges_per_s': exchanges / seconds,
            'payload_bytes_per_s': self.payload_bytes / seconds,
            'processor_ms_per_s': elapsed_ns / 1e6 / seconds,
        }


class WholeFleet(Fleet):
    """A fleet in which all hosts run the gossip code."""

    def __init__(self, hosts: int, routes: int, zones: int, seed: int) -> None:
        super().__init__(hosts, routes, zones, seed)
        self.nodes = [Node(self, host) for host in self.hosts]
        self._nodes_by_id = {
            node.membership.local.host_id: node for node in self.nodes
        }
        for node in self.nodes:
            self._add_known_state(node, routes)

    async def deliver(self, sender: Node, host: types.Host, state: Any) -> Any:
        answer = self._nodes_by_id[host.host_id].gossip.receive(
            sender.membership.local.host_id, state.as_reader()
        )
        if self.counts_bytes:
            self.payload_bytes += len(state.to_bytes())
            self.payload_bytes += len(answer.to_bytes())
        return answer.as_reader()

    def all_know_term(self, term: int) -> bool:
        """Tell whether all hosts know the changed route with this term."""
        routes = (node.routes.primary('service-00007') for node in self.nodes)
        return all(
            isinstance(route, types.Route) and route.term == term
            for route in routes
        )

    async def run_fleet_round(self) -> None:
        self.clock.set(self.clock.now() + gossips.ROUND_MS)
        self.rng.shuffle(self.nodes)
        for node in self.nodes:
            await node.run_gossip_round()


@dataclasses.dataclass(frozen=True)
class RpcCost:
    """Cost of one exchange beyond its messages, both sides together."""

    bytes: float
    processor_us: float


class CountingForwarder:
    """Forwards connections to a port and counts their bytes."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection('127.0.0.1', self._port)
        for direction in ((reader, upstream[1]), (upstream[0], writer)):
            self._tasks.add(asyncio.create_task(self._copy_bytes(*direction)))

    async def _copy_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


class EchoService:
    """A gossip service that returns each message."""

    def receive(self, peer_id: str, state: Any) -> Any:
        return state


async def measure_rpc() -> RpcCost:
    """Measure the cost of an RPC with messages of a fixed size on loopback.

    Bytes are counted in calls through a forwarder. Processor time is measured
    in direct calls, as the forwarder would add to it.
    """
    services: Any = server.Services(None, EchoService(), None, None, None)  # type: ignore[arg-type]
    peers = server.PeerServer(lambda: ('h0', 1), 'secret', services)
    port = await peers.start('127.0.0.1', 0)
    forwarder = CountingForwarder(port)
    forwarded_port = await forwarder.start()
    clients = client.PeerClients(
        lambda: client.Identity('h1', 'a', 1, 'secret'), clocks.SystemClock()
    )
    message = codec.schema.Gossip.new_message(
        heartbeats=bytes(RPC_PAYLOAD_BYTES)
    )
    payload_bytes_per_exchange = 2 * len(message.to_bytes())
    forwarded_host = _host(0, 'a', forwarded_port)
    direct_host = _host(0, 'a', port)
    for host in (forwarded_host, direct_host):
        await clients.gossip(host, message, 5_000)
    bytes_before = forwarder.bytes
    for _ in range(RPC_EXCHANGES):
        await clients.gossip(forwarded_host, message, 5_000)
    overhead_bytes = (
        forwarder.bytes - bytes_before
    ) / RPC_EXCHANGES - payload_bytes_per_exchange
    started_ns = time.process_time_ns()
    for _ in range(RPC_EXCHANGES):
        await clients.gossip(direct_host, message, 5_000)
    elapsed_ns = time.process_time_ns() - started_ns
    await clients.close()
    forwarder.close()
    await peers.close()
    return RpcCost(overhead_bytes, elapsed_ns / 1e3 / RPC_EXCHANGES)


async def measure_point(
    rpc: RpcCost, hosts: int, routes: int, zones: int, seed: int
) -> dict[str, Any]:
    """Return the gossip cost of a host for one fleet size.

    Bytes count only as sent, as each is sent by one host and received by
    another.
    """
    fleet = Fleet(hosts, routes, zones, seed)
    costs = await fleet.measure()
    exchanges = costs['exchanges_per_s']
    sent_bytes = costs['payload_bytes_per_s'] + exchanges * rpc.bytes
    processor_ms = (
        costs['processor_ms_per_s'] + exchanges * rpc.processor_us / 1e3
    )
    return {
        'hosts': hosts,
        'routes': routes,
        'zones': zones,
        'exchanges_per_s': round(exchanges, 1),
        'sent_bytes_per_s': round(sent_bytes),
        'processor_percent': round(processor_ms / 10, 2),
    }


async def measure_spread(
    hosts: int, zones: int, seconds: int, seed: int
) -> dict[str, Any]:
    """Run a whole fleet and measure the age of news about hosts and zones."""
    fleet = WholeFleet(hosts, 0, zones, seed)
    silence_durations_ms: list[int] = []
    all_zone_ages_ms: list[int] = []
    suspected_count = 0
    for round_number in range(int(seconds * ROUNDS_PER_SECOND)):
        await fleet.run_fleet_round()
        if round_number < WARM_UP_ROUNDS:
            continue
        now_ms = fleet.clock.now()
        for node in fleet.nodes:
            for member in node.membership.members():
                if member.host.zone != node.membership.local.zone:
                    continue
                silence_durations_ms.append(now_ms - member.advanced_ms)
                if member.condition != memberships.Condition.ALIVE:
                    suspected_count += 1
            all_zone_ages_ms += node.evidence.zone_ages_ms().values()
    return {
        'hosts': hosts,
        'zones': zones,
        'seconds': seconds,
        'silence_ms': _percentiles(silence_durations_ms),
        'zone_age_ms': _percentiles(all_zone_ages_ms),
        'suspected_share': suspected_count / max(len(silence_durations_ms), 1),
    }


async def measure_change(hosts: int, zones: int, seed: int) -> dict[str, Any]:
    """Return the bytes a host that one changed route costs.

    Also returns the rounds until all hosts know the route.
    """
    fleet = WholeFleet(hosts, 300, zones, seed)
    for _ in range(WARM_UP_ROUNDS):
        await fleet.run_fleet_round()
    fleet.counts_bytes = True
    for _ in range(CHANGE_ROUNDS):
        await fleet.run_fleet_round()
    steady_bytes = fleet.payload_bytes
    fleet.payload_bytes = 0
    fleet.nodes[0].routes.learn(types.Route('service-00007', 4, 'target-9'))
    rounds_until_known = 0
    for round_number in range(CHANGE_ROUNDS):
        await fleet.run_fleet_round()
        if not rounds_until_known and fleet.all_know_term(4):
            rounds_until_known = round_number + 1
    return {
        'hosts': hosts,
        'zones': zones,
        'bytes_per_host': round((fleet.payload_bytes - steady_bytes) / hosts),
        'rounds_until_known': rounds_until_known,
    }


def _percentiles(values: list[int]) -> dict[str, int]:
    if not values:
        return {}
    values = sorted(values)
    last = len(values) - 1
    return {
        'p50': values[last // 2],
        'p99': values[int(last * 0.99)],
        'p99.99': values[int(last * 0.9999)],
        'max': values[last],
    }


def _host(number: int, zone: str, port: int = 8_000) -> types.Host:
    address = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    if zone == 'a':
        address = '127.0.0.1'
    return types.Host(
        host_id=f'h{number}',
        zone=zone,
        incarnation=1,
        caller_url=f'http://{address}:8080',
        peer_address=address,
        peer_port=port,
        configuration_version=7,
    )


async def measure(seed: int, spread_seconds: int) -> dict[str, Any]:
    rpc = await measure_rpc()
    result: dict[str, Any] = {
        'seed': seed,
        'rpc': dataclasses.asdict(rpc),
        'by_hosts': [
            await measure_point(rpc, hosts, 300, 3 if hosts < 18 else 9, seed)
            for hosts in HOST_COUNTS
        ],
        'by_routes': [
            await measure_point(rpc, 1_000, routes, 9, seed)
            for routes in ROUTE_COUNTS
        ],
        'by_zones': [
            await measure_point(rpc, 1_000, 300, zones, seed)
            for zones in ZONE_COUNTS
        ],
        'by_change': [
            await measure_change(hosts, zones, seed)
            for hosts, zones in CHANGE_FLEETS
        ],
        'spread': [],
    }
    if spread_seconds:
        result['spread'] = [
            await measure_spread(hosts, zones, spread_seconds, seed)
            for hosts, zones in SPREAD_FLEETS
        ]
    return result


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--spread-seconds', type=int, default=30)
    options = parser.parse_args()
    log.configure('bench', 'error')
    measurement = measure(options.seed, options.spread_seconds)
    result = asyncio.run(capnp.run(measurement))
    print(json.dumps(result, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
