"""Fakes for the tests of hosts: services of a host and a fleet in memory."""

import asyncio
import random

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import evidence as evidences
from samphirestand.hosts import gossip as gossips
from samphirestand.hosts import membership as memberships
from samphirestand.hosts import routing
from samphirestand import types


def host(host_id, zone='a', port=1, incarnation=1):
    return types.Host(
        host_id, zone, incarnation, 'http://127.0.0.1:1', '127.0.0.1', port
    )


def request(**changes):
    fields = {
        'operation': 'execute',
        'service': 's',
        'target_id': 't1',
        'account': 'acme',
        'key_id': 'k1',
        'request_id': 'r1',
        'statement': 'SET a 1',
        'mode': types.Mode.WRITE,
        'repeatable': False,
        'deadline_ms': 5_000,
    }
    return types.Request(**{**fields, **changes})


def change(version):
    return types.ChangeRow(version, f'c{version}', 'op', '', 1, 'X', {})


class Configuration:
    """A configuration whose changes have no effect but a new version."""

    def __init__(self, version=0):
        self.current = types.Configuration(version=version)
        self.callbacks = []
        self.applied = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def is_confirmed(self):
        return True

    def changes_after(self, version):
        return [
            change(each)
            for each in range(version + 1, self.current.version + 1)
        ]

    def apply_rows(self, rows):
        for row in rows:
            self.applied.append(row.version)
            if row.version != self.current.version + 1:
                continue
            self.current = types.Configuration(version=row.version)
            for callback in self.callbacks:
                callback(self.current)


class Gateway:
    """Returns a fixed outcome, after the event ``gate`` if that is set."""

    def __init__(self, outcome=None, status=None):
        self.outcome = outcome or types.Done(rows=({'a': 1},))
        self.status = status or exceptions.Sentinel('not here')
        self.requests = []
        self.gate = None
        self.started = asyncio.Event()
        self.finished = 0

    async def run(self, request):
        self.requests.append(request)
        self.started.set()
        if self.gate is not None:
            await self.gate.wait()
        self.finished += 1
        return self.outcome

    async def target_status(self, target_id, for_write, wait_ms):
        return self.status


class Tokens:
    """Gives half of the tokens that it is asked for."""

    async def give(self, account, wanted, collect):
        return types.TokenGrant(wanted // 2, 300)


class Explainer:
    """Explains every subject but ``unknown``."""

    def explain(self, kind, subject):
        if subject == 'unknown':
            return exceptions.Sentinel('nothing known')
        return f'{kind} {subject}'


class Echo:
    """Answers a gossip message with the same message."""

    def receive(self, peer_id, state):
        return state


class Fleet:
    """Hosts that gossip in memory.

    ``is_cut`` tells whether the connection between two hosts is cut off.
    """

    def __init__(self, sizes_by_zone, seed=1, clock=None):
        self.clock = clock or clocks.ManualClock()
        self.random = random.Random(seed)
        self.zones = sorted(sizes_by_zone)
        self.nodes_by_id = {}
        self.is_cut = lambda one, other: False
        self.paused_ids = set()
        for zone, size in sizes_by_zone.items():
            for number in range(size):
                self.add(f'{zone}{number}', zone)
        self.add_all_contacts()

    def add(self, host_id, zone, incarnation=1):
        node = Node(self, host(host_id, zone, incarnation=incarnation))
        self.nodes_by_id[host_id] = node
        return node

    def add_all_contacts(self):
        for node in self.nodes_by_id.values():
            for peer in self.nodes_by_id.values():
                node.membership.learn_contact(peer.membership.local)

    async def advance(self, duration_ms):
        """Run the gossip rounds of a duration.

        Paused hosts neither start rounds nor answer.
        """
        for _ in range(duration_ms // gossips.ROUND_MS):
            for node in list(self.nodes_by_id.values()):
                if node.host_id not in self.paused_ids:
                    node.gossip.start_round()
            await self.clock.advance(gossips.ROUND_MS)

    def cut_zone(self, zone):
        self.is_cut = lambda one, other: (one[0] == zone) != (other[0] == zone)

    def cut_host(self, host_id):
        self.is_cut = lambda one, other: host_id in (one, other)

    def restore_connections(self):
        self.is_cut = lambda one, other: False

    def __getitem__(self, host_id):
        return self.nodes_by_id[host_id]


class Node:
    """One host of the fleet with its gossip state."""

    def __init__(self, fleet, local):
        self.fleet = fleet
        self.host_id = local.host_id
        self.zone = local.zone
        self.membership = memberships.Membership(local, fleet.clock)
        self.routes = routing.RouteTable(fleet.clock)
        self.configuration = Configuration()
        self.evidence = evidences.Evidence(
            fleet.clock,
            fleet.zones,
            local.zone,
            lambda: self.configuration.current.version,
        )
        self.clients = PeerCalls(self)
        self.gossip = gossips.Gossip(
            self.membership,
            self.routes,
            self.evidence,
            self.configuration,
            self.configuration,
            self.clients,
            fleet.clock,
            fleet.zones,
            random.Random(fleet.random.random()),
        )

    def reachable_ids(self):
        return {each.host_id for each in self.membership.reachable()}


class PeerCalls:
    """Delivers the calls of one host to other hosts of the fleet."""

    def __init__(self, node):
        self._node = node
        self._fleet = node.fleet
        self.pull_count = 0

    async def gossip(self, host, state, timeout_ms):
        peer = self._reachable_peer(host)
        answer = peer.gossip.receive(self._node.host_id, state.as_reader())
        return answer.as_reader()

    async def configuration_changes(self, host, after, timeout_ms):
        self.pull_count += 1
        return self._reachable_peer(host).configuration.changes_after(after)

    def _reachable_peer(self, host):
        peer = self._fleet.nodes_by_id.get(host.host_id)
        is_paused = {host.host_id, self._node.host_id} & self._fleet.paused_ids
        if (
            peer is None
            or is_paused
            or self._fleet.is_cut(self._node.host_id, host.host_id)
        ):
            raise exceptions.HostError('cut', step='test', peer=host.host_id)
        return peer
