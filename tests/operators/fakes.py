"""A host's parts for tests of the operators' commands."""

import types as namespaces

from samphirestand.callers import refusals
from samphirestand.control import audit
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand.operators import commands
from samphirestand.operators import explain
from samphirestand import types
from tests.control import fakes


def host(number, version=0, status=types.HostStatus.READY):
    return types.Host(
        f'h{number}',
        f'z{number}',
        1,
        f'http://127.0.0.1:{7100 + number}',
        '127.0.0.1',
        7200 + number,
        status,
        version,
    )


class FakeMembership:
    """Three hosts in three zones; the first one is this host."""

    def __init__(self):
        self.hosts = [host(1), host(2), host(3)]
        self.local = self.hosts[0]

    def reachable(self):
        return self.hosts

    def gateway_host(self, target):
        for each in self.hosts:
            if each.zone == target.zone:
                return each
        return exceptions.Sentinel('no host can take gateways')

    def follow(self, version, numbers=(1, 2, 3)):
        """Let the hosts run ``version``."""
        self.hosts = [
            host(n, version if n in numbers else 0) for n in (1, 2, 3)
        ]


class FakePeers:
    """Answers of other hosts by host id; an exception is raised."""

    def __init__(self):
        self.answers_by_host = {}
        self.asked = []

    async def explain(self, host, kind, subject, timeout_ms):
        self.asked.append((host.host_id, kind, subject))
        answer = self.answers_by_host.get(host.host_id)
        if isinstance(answer, Exception):
            raise answer
        return answer or exceptions.Sentinel('unknown')


def make(platform=None):
    """Return the parts of a host, with one account and one service."""
    found = namespaces.SimpleNamespace()
    found.platform = platform or fakes.FakePlatform()
    found.clock = fakes.InstantClock()
    found.confirmed = True
    found.store = fakes.make_store(
        found.platform,
        clock=found.clock,
        is_confirmed=lambda: found.confirmed,
    )
    found.membership = FakeMembership()
    found.store.subscribe(
        lambda current: found.membership.follow(current.version)
    )
    found.refusals = refusals.Refusals()
    found.peers = FakePeers()
    found.audit = audit.Audit(found.platform, found.clock, 'h1')
    found.routes = namespaces.SimpleNamespace(
        primary=lambda service: (
            types.Route(service, 4, 't1')
            if service == 's'
            else exceptions.Sentinel(f'no route for {service}')
        )
    )
    found.slots = 1
    found.explainer = explain.Explainer(
        configuration=found.store,
        membership=found.membership,
        routes=found.routes,
        refusals=found.refusals,
        trail=found.audit,
        peers=found.peers,
        clock=found.clock,
        rate_slots=lambda: found.slots,
    )
    found.commands = commands.Commands(
        store=found.store,
        membership=found.membership,
        routes=found.routes,
        refusals=found.refusals,
        trail=found.audit,
        recorder=found.audit,
        explainer=found.explainer,
        clock=found.clock,
    )
    return found


SETUP = (
    'CREATE ACCOUNT a RATE 10 BURST 20',
    'CREATE ACCOUNT b RATE 10 BURST 20 WHEN ISOLATED SERVE',
    'CREATE SERVICE s MAX READ AGE 2000 OPEN AS b',
    "ADD TARGET t1 TO SERVICE s ZONE z1 URL 'ws://127.0.0.1:1/session'"
    ' SLOTS 2 CONNECTIONS 16',
    "ADD TARGET t2 TO SERVICE s ZONE z2 URL 'ws://127.0.0.1:2/session'"
    ' SLOTS 2 CONNECTIONS 16',
    "ADD TARGET t3 TO SERVICE s ZONE z9 URL 'ws://127.0.0.1:3/session'"
    ' SLOTS 2 CONNECTIONS 16',
)


async def set_up(found):
    for command in SETUP:
        answer = await found.commands.execute(command, 'setup')
        assert answer['outcome'] == 'accepted', answer


def snapshot(store):
    """Return the whole configuration as a peer gives it to a new host."""
    return rows.snapshot_row(store.current, 'c')
