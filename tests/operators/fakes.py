"""The components of a host, for tests of the operators' commands."""

import types as namespaces

from samphirestand.callers import refusals
from samphirestand.control import audit
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand.operators import commands
from samphirestand.operators import explain
from samphirestand import types
from tests.control import fakes


def make_host(number, version=0, status=types.HostStatus.READY):
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
    """Three hosts in three zones; the first one is the local host."""

    def __init__(self):
        self.hosts = [make_host(1), make_host(2), make_host(3)]
        self.local = self.hosts[0]

    def reachable(self):
        return self.hosts

    def gateway_host(self, target):
        for each in self.hosts:
            if each.zone == target.zone:
                return each
        return exceptions.Sentinel('no host can take gateways')

    def set_versions(self, version, numbers=(1, 2, 3)):
        """Set the version of the hosts in ``numbers`` to ``version``."""
        self.hosts = [
            make_host(n, version if n in numbers else 0) for n in (1, 2, 3)
        ]


class FakePeers:
    """Other hosts with preset answers; an exception is raised instead."""

    def __init__(self):
        self.answers_by_host = {}
        self.asked = []

    async def explain(self, host, kind, subject, timeout_ms):
        self.asked.append((host.host_id, kind, subject))
        answer = self.answers_by_host.get(host.host_id)
        if isinstance(answer, Exception):
            raise answer
        return answer or exceptions.Sentinel('unknown')


def make_host_components(platform=None):
    """Return the components of a host as attributes of a namespace."""
    components = namespaces.SimpleNamespace()
    components.platform = platform or fakes.FakePlatform()
    components.clock = fakes.InstantClock()
    components.confirmed = True
    components.store = fakes.make_store(
        components.platform,
        clock=components.clock,
        is_confirmed=lambda: components.confirmed,
    )
    components.membership = FakeMembership()
    components.store.subscribe(
        lambda current: components.membership.set_versions(current.version)
    )
    components.refusals = refusals.RecentRefusals()
    components.peers = FakePeers()
    components.audit = audit.Audit(components.platform, components.clock, 'h1')
    components.routes = namespaces.SimpleNamespace(
        primary=lambda service: (
            types.Route(service, 4, 't1')
            if service == 's'
            else exceptions.Sentinel(f'no route for {service}')
        )
    )
    components.slots = 1
    components.explainer = explain.Explainer(
        configuration=components.store,
        membership=components.membership,
        routes=components.routes,
        refusals=components.refusals,
        audit_trail=components.audit,
        peers=components.peers,
        clock=components.clock,
        rate_slots=lambda: components.slots,
    )
    components.commands = commands.Commands(
        store=components.store,
        membership=components.membership,
        routes=components.routes,
        refusals=components.refusals,
        audit_trail=components.audit,
        recorder=components.audit,
        explainer=components.explainer,
        clock=components.clock,
    )
    return components


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


async def run_setup(components):
    for command in SETUP:
        answer = await components.commands.execute(command, 'setup')
        assert answer['outcome'] == 'accepted', answer


def snapshot_row(store):
    """Return the complete configuration as a peer sends it to a new host."""
    return rows.snapshot_row(store.current, 'c')
