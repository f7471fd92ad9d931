"""In-memory fakes of servers, connections, routes, router and membership."""

import asyncio
import dataclasses
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import metrics
from samphirestand.targets import gateways as gateways_module
from samphirestand.targets import messages
from samphirestand import types
from standins import database

SERVICE = 'cases'
TARGET_IDS = ('t0', 't1', 't2')


class Clock(clock_module.ManualClock):
    """A manual clock whose ``settle`` runs until no callback is ready.

    The base class only runs a fixed number of rounds.
    """

    async def settle(self, rounds=0):
        ready = asyncio.get_running_loop()._ready
        while True:
            await asyncio.sleep(0)
            if not ready:
                return


class Configuration:
    """A configuration source whose content tests replace."""

    def __init__(self, current):
        self.current = current
        self._callbacks = []

    def subscribe(self, callback):
        self._callbacks.append(callback)

    def apply(self, **changes):
        self.current = dataclasses.replace(
            self.current, version=self.current.version + 1, **changes
        )
        for callback in self._callbacks:
            callback(self.current)

    def is_confirmed(self):
        return True


class Routes:
    """The routes that one host knows; here a single one."""

    def __init__(self):
        self.route = exceptions.Sentinel('no route is known')

    def primary(self, service):
        return self.route

    def learn(self, route):
        if not self.route or route.term > self.route.term:
            self.route = route


class Recorder:
    """Records audit rows in memory."""

    def __init__(self):
        self.rows = []

    def record(self, kind, subject, reason):
        self.rows.append((kind, subject, reason))


class Network:
    """Delays, cuts and lost answers on links between hosts and targets.

    A link is named by the ids of its two ends.
    """

    def __init__(self, clock):
        self.clock = clock
        self.cut = set()
        self.answers_to_lose = {}
        self.delay_ms = {}
        self.paused_host_ids = set()

    def is_cut(self, left, right):
        return (
            left in self.cut
            or right in self.cut
            or (frozenset((left, right)) in self.cut)
        )

    def partition(self, left_ends, right_ends):
        """Cut every link between the two groups of hosts and targets."""
        for left in left_ends:
            self.cut.update(frozenset((left, right)) for right in right_ends)

    def heal(self):
        self.cut.clear()

    def use_lost_answer(self, target_id, call):
        """Tell whether the answer to this call is lost, and count it."""
        name = type(call).__name__
        remaining = self.answers_to_lose.get((target_id, name), 0)
        if remaining:
            self.answers_to_lose[target_id, name] = remaining - 1
        return remaining > 0

    async def transfer(self, left, right):
        """Wait for the link's delay and until no end is paused."""
        await self.clock.sleep(self.delay_ms.get(frozenset((left, right)), 0))
        while {left, right} & self.paused_host_ids:
            await self.clock.sleep(1)


class Connection:
    """A connection to an in-memory server."""

    def __init__(self, network, server, host_id, connection_id):
        self._network = network
        self._server = server
        self._host_id = host_id
        self._connection_id = connection_id
        self._is_closed = False

    @property
    def is_open(self):
        sessions = self._server.database.sessions_by_id
        return not self._is_closed and self._connection_id in sessions

    def close(self):
        self._is_closed = True
        link_ends = (self._host_id, self._server.target_id)
        if not self._network.is_cut(*link_ends):
            self._server.database.close_connection(self._connection_id)

    async def call(self, call, timeout_ms):
        peer = self._server.target_id
        if not self.is_open:
            raise exceptions.TargetError('closed', step='call', peer=peer)
        try:
            return await gateways_module.context_module.wait_for(
                self._network.clock, self._exchange(call), timeout_ms
            )
        except TimeoutError as error:
            self.close()
            raise exceptions.AnswerLost(
                'no answer', step='call', peer=peer
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, call):
        server, link_ends = (
            self._server,
            (self._host_id, self._server.target_id),
        )
        await self._network.transfer(*link_ends)
        if self._network.is_cut(*link_ends) or server.is_down:
            await asyncio.get_running_loop().create_future()
        if not self.is_open:
            raise exceptions.AnswerLost(
                'ended', step='call', peer=link_ends[1]
            )
        answer = await server.handle(self._connection_id, call)
        await self._network.transfer(*link_ends)
        if (
            self._network.is_cut(*link_ends)
            or server.is_down
            or (self._network.use_lost_answer(link_ends[1], call))
        ):
            await asyncio.get_running_loop().create_future()
        return answer


class Server:
    """A target: a database with statement durations and status waits."""

    def __init__(self, target_id, clock, **options):
        self.target_id = target_id
        self.clock = clock
        self.database = database.Database(target_id, clock, **options)
        self.is_down = False
        self.statement_ms = 0
        self.calls = []

    async def handle(self, connection_id, call):
        refusal = self.database.admit(connection_id, call)
        if refusal is not None:
            return refusal
        self.calls.append(call)
        if isinstance(call, messages.Execute) and self.statement_ms:
            await self.clock.sleep(self.statement_ms)
        end = self.clock.now() + getattr(call, 'wait_ms', 0)
        term = self.database.term
        while self.database.is_waiting(call, term) and self.clock.now() < end:
            await self.clock.sleep(1)
        try:
            return self.database.handle(connection_id, call)
        except KeyError as error:
            self.database.abandon(connection_id, call)
            raise exceptions.AnswerLost(
                'ended', step='call', peer=self.target_id
            ) from error


class Connector:
    """Opens one host's connections to the in-memory servers."""

    def __init__(self, host_id, network, servers_by_url, open_ms=0):
        self._host_id = host_id
        self._network = network
        self._servers_by_url = servers_by_url
        self._open_ms = open_ms

    async def connect(self, url, application, timeout_ms):
        server = self._servers_by_url[url]
        link_ends = (self._host_id, server.target_id)
        await self._network.clock.sleep(self._open_ms)
        if self._network.is_cut(*link_ends) or server.is_down:
            await self._network.clock.sleep(timeout_ms)
            raise exceptions.TargetConnectError(
                'no way', step='connect', peer=server.target_id
            )
        try:
            connection_id = server.database.open_connection(application)
        except database.ConnectionLimitError as error:
            raise exceptions.TargetConnectError(
                str(error), step='connect', peer=server.target_id
            ) from error
        return Connection(self._network, server, self._host_id, connection_id)


class Membership:
    """One host's membership; all hosts share one placement by target id."""

    def __init__(self, local, hosts_by_id, placement):
        self.local = local
        self._hosts_by_id = hosts_by_id
        self._placement = placement

    def gateway_host(self, target):
        host_id = self._placement[target.target_id]
        return self._hosts_by_id.get(host_id) or exceptions.Sentinel('none')


class Router:
    """Requests target states from other hosts that can be reached."""

    def __init__(self, fleet, host_id):
        self._fleet = fleet
        self._host_id = host_id

    async def target_status(self, target_id, for_write, wait_ms, timeout_ms):
        fleet = self._fleet
        host_id = fleet.placement[target_id]
        if fleet.network.is_cut(self._host_id, host_id):
            return exceptions.Sentinel('cut off')
        try:
            return await gateways_module.context_module.wait_for(
                fleet.clock,
                self._request_status(host_id, target_id, for_write, wait_ms),
                timeout_ms,
            )
        except TimeoutError:
            return exceptions.Sentinel('no answer')

    async def _request_status(self, host_id, target_id, for_write, wait_ms):
        await self._fleet.network.transfer(self._host_id, host_id)
        status = await self._fleet.hosts_by_id[host_id].gateways.target_status(
            target_id, for_write, wait_ms
        )
        await self._fleet.network.transfer(self._host_id, host_id)
        if self._fleet.network.is_cut(self._host_id, host_id):
            await asyncio.get_running_loop().create_future()
        return status


@dataclasses.dataclass
class FakeHost:
    """A host of the fleet, with the parts that tests inspect."""

    host: types.Host
    routes: Routes
    recorder: Recorder
    gateways: gateways_module.TargetGateways


class Fleet:
    """Three servers, of which the first is primary, and a host for each."""

    def __init__(
        self, seed=1, confirmation=types.Confirmation.REPLICATED, **options
    ):
        self.clock = Clock()
        self.network = Network(self.clock)
        self.rng = random.Random(seed)
        slots = options.pop('slots', 2)
        connections = options.pop('connections', 16)
        self.open_ms = options.pop('open_ms', 0)
        self.replication_ms = options.pop('replication_ms', 5)
        self.servers_by_id = {
            target_id: Server(
                target_id,
                self.clock,
                primary_url=None if index == 0 else 'ws://t0',
                max_connections=connections,
                **options,
            )
            for index, target_id in enumerate(TARGET_IDS)
        }
        self.servers_by_url = {
            f'ws://{target_id}': server
            for target_id, server in self.servers_by_id.items()
        }
        self.configuration = Configuration(
            _configuration(slots, connections, confirmation)
        )
        self.placement = {
            target_id: f'h{index}'
            for index, target_id in enumerate(TARGET_IDS)
        }
        self.hosts_by_id = {}
        members = {
            f'h{index}': types.Host(f'h{index}', f'z{index}', 1, '', '', 0)
            for index in range(3)
        }
        for host in members.values():
            self._add_host(host, members)
        self._tasks = []

    def _add_host(self, host, members):
        routes, recorder = Routes(), Recorder()
        gateways = gateways_module.TargetGateways(
            self.clock,
            random.Random(self.rng.random()),
            Connector(
                host.host_id, self.network, self.servers_by_url, self.open_ms
            ),
            self.configuration,
            Membership(host, members, self.placement),
            routes,
            Router(self, host.host_id),
            metrics.Metrics(),
            recorder,
        )
        self.hosts_by_id[host.host_id] = FakeHost(
            host, routes, recorder, gateways
        )

    async def start(self):
        """Start hosts and replication, and wait for the gateway locks."""
        for host in self.hosts_by_id.values():
            await host.gateways.start()
        self._tasks.append(asyncio.ensure_future(self._replicate()))
        self._tasks.append(asyncio.ensure_future(self._gossip()))
        await self.clock.advance(1_000)

    async def stop(self):
        """Cancel all tasks without a graceful stop."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0)

    async def _replicate(self):
        while True:
            await self.clock.sleep(self.replication_ms)
            for replica in self.servers_by_id.values():
                self._pull_entries(replica)

    def _pull_entries(self, replica):
        primary = self.servers_by_url.get(replica.database.primary_url)
        if primary is None or primary.is_down or replica.is_down:
            return
        if self.network.is_cut(replica.target_id, primary.target_id):
            return
        pull = replica.database.replication_request()
        batch = pull and primary.database.replicate(pull)
        if batch is not None:
            replica.database.receive(batch)

    async def _gossip(self):
        while True:
            await self.clock.sleep(100)
            for left in self.hosts_by_id.values():
                for right in self.hosts_by_id.values():
                    ids = (left.host.host_id, right.host.host_id)
                    if right.routes.route and not self.network.is_cut(*ids):
                        left.routes.learn(right.routes.route)

    async def run(self, target_id, operation='execute', **fields):
        """Run a request on a gateway; advance the clock until it is done."""
        task = asyncio.ensure_future(
            self.hosts_by_id[self.placement[target_id]].gateways.run(
                request(target_id, operation, **fields)
            )
        )
        await self.advance_until(task)
        return task.result()

    async def advance_until(self, task, step_ms=1, limit_ms=70_000):
        """Advance the clock until ``task`` is done."""
        end = self.clock.now() + limit_ms
        while not task.done() and self.clock.now() < end:
            await self.clock.advance(step_ms)
        assert task.done(), 'the task is not done in time'

    async def call_server(self, target_id, call):
        """Send one call directly to a server, not through a gateway."""
        server = self.servers_by_id[target_id]
        connection_id = server.database.open_connection('control')
        answer = server.database.handle(connection_id, call)
        server.database.close_connection(connection_id)
        return answer

    def gateway(self, target_id):
        """Return the gateway of a target."""
        gateways = self.hosts_by_id[self.placement[target_id]].gateways
        return gateways.gateways_by_target_id[target_id]

    def primaries(self):
        """Return the ids of the servers that act as primary."""
        return [
            target_id
            for target_id, server in self.servers_by_id.items()
            if server.database.role == database.PRIMARY
        ]


def _configuration(slots, connections, confirmation):
    accounts = [types.Account(name, 100, 100) for name in ('a', 'b')]
    return types.Configuration(
        version=1,
        accounts_by_name={each.name: each for each in accounts},
        keys_by_id={
            f'k{each.name}': types.Key(f'k{each.name}', each.name, '')
            for each in accounts
        },
        services_by_name={
            SERVICE: types.Service(SERVICE, TARGET_IDS, 5_000, confirmation)
        },
        targets_by_id={
            target_id: types.Target(
                target_id,
                SERVICE,
                f'z{index}',
                f'ws://{target_id}',
                slots,
                connections,
            )
            for index, target_id in enumerate(TARGET_IDS)
        },
    )


def request(target_id, operation='execute', **fields):
    """Return a request; a write unless ``fields`` says otherwise."""
    values = {
        'operation': operation,
        'service': SERVICE,
        'target_id': target_id,
        'account': 'a',
        'key_id': f'k{fields.get("account", "a")}',
        'request_id': 'r1',
        'statement': 'SET x 1',
        'mode': types.Mode.WRITE,
        'repeatable': False,
        'deadline_ms': 5_000,
    }
    return types.Request(**values | fields)


def run_with_fleet(scenario, **options):
    """Run ``scenario`` with a started fleet."""

    async def main():
        fleet = Fleet(**options)
        await fleet.start()
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())


class Writer:
    """A caller that writes each key once, to the route's primary."""

    def __init__(self, fleet, host_id='h1'):
        self.acknowledged = []
        self.outcomes = []
        self._fleet = fleet
        self._host_id = host_id

    async def write(self, target_id=None, **fields):
        """Write one key; to the route's primary without ``target_id``."""
        number = len(self.outcomes)
        if target_id is None:
            routes = self._fleet.hosts_by_id[self._host_id].routes
            target_id = routes.route.primary_target_id
        fields = {'deadline_ms': 1_000} | fields
        outcome = await self._fleet.run(
            target_id,
            request_id=f'{self._host_id}-{number}',
            statement=f'SET {self._host_id}-{number} v',
            **fields,
        )
        self.outcomes.append(outcome)
        if isinstance(outcome, types.Done):
            self.acknowledged.append(f'{self._host_id}-{number}')
        return outcome

    async def write_for(self, duration_ms, pause_ms=100, target_id=None):
        """Write repeatedly for ``duration_ms``."""
        end = self._fleet.clock.now() + duration_ms
        while self._fleet.clock.now() < end:
            await self.write(target_id)
            await self._fleet.clock.advance(pause_ms)

    def check_acknowledged_writes(self):
        """Assert that the newest primary has all acknowledged writes."""
        servers = self._fleet.servers_by_id.values()
        primary = max(
            (
                each.database
                for each in servers
                if each.database.role == 'primary'
            ),
            key=lambda each: each.term,
        )
        keys = {key for entry in primary.entries for key, _ in entry.changes}
        assert set(self.acknowledged) <= keys
