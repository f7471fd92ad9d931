"""A small fleet in one process: real hosts, a stand-in store and targets."""

import asyncio
import contextlib
import itertools
import pathlib
import weakref

from samphirestand import node as node_module
from samphirestand import node_settings
from standins import database_group
from standins import store as store_module
from tests import processes

SERVICE = 'svc'
KEY = 'key-of-a'
ACCOUNT = 'acct-a'
ZONES = ('north', 'south', 'east')
TIMEOUT_S = 10

# The connections of all clients. A writer that is still open when its event
# loop has ended reports an error at some later moment.
_client_writers = weakref.WeakSet()

# Shared by all clients: ids that are used again would let one request be taken
# for another.
_request_numbers = itertools.count(1)


def free_port():
    [port] = processes.free_ports(1)
    return port


def configuration(version=1, **overrides):
    """Return the operators' configuration as the store holds it.

    ``overrides`` replace fields of the document.
    """
    document = {
        'Version': version,
        'Routes': [
            _route('main', 'primary'),
            _route('old', 'bounded_staleness', MaxStalenessMs=1500),
            _route('mine', 'read_your_writes', MaxStalenessMs=2500),
        ],
        'Services': [{'Name': SERVICE, 'MaxConns': 16, 'SyncReplicas': 1}],
        'Limits': {'TxIdleMs': 3000, 'HeaderTimeoutMs': 3000},
        'Tenants': [
            {
                'Name': ACCOUNT,
                'ApiKeys': [KEY],
                'Priority': 1,
                'RatePerS': 1000,
                'Burst': 1000,
            },
            {
                'Name': 'acct-b',
                'ApiKeys': ['key-of-b'],
                'Priority': 1,
                'RatePerS': 1000,
                'Burst': 1000,
            },
        ],
    }
    document.update(overrides)
    return document


def _route(database, kind, **fields):
    return {
        'Name': f'r-{database}',
        'Host': database,
        'Prefix': '/',
        'RouteKind': kind,
        'TimeoutMs': 900,
        'TargetLatencyMs': 200,
        'Priority': 1,
        'Service': SERVICE,
        'Public': False,
        **fields,
    }


class Client:
    """A caller's connection to a host, on the line protocol."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        _client_writers.add(writer)
        self.last_request_id = ''

    @classmethod
    async def connect(cls, node, database='main', key=KEY):
        endpoint = node.settings.callers
        reader, writer = await asyncio.open_connection(
            endpoint.address, endpoint.port
        )
        client = cls(reader, writer)
        client.send(f'STARTUP {database} {key}')
        client.startup_reply = await client.read_line()
        return client

    def send(self, line):
        self._writer.write(line.encode() + b'\r\n')

    async def read_line(self):
        async with asyncio.timeout(TIMEOUT_S):
            data = await self._reader.readline()
        return data.decode().rstrip('\r\n')

    async def query(self, text):
        """Run a statement; returns rows, the result line and the state."""
        self.last_request_id = f'q{next(_request_numbers)}'
        self.send(f'QUERY {self.last_request_id} {text}')
        return await self.read_answer()

    async def read_answer(self):
        rows = []
        result = ''
        while True:
            line = await self.read_line()
            word, _, rest = line.partition(' ')
            match word:
                case 'DATAROW':
                    rows.append(rest)
                case 'READY':
                    return rows, result, rest.split(' ')[0]
                case '':
                    return rows, 'CLOSED', ''
                case _:
                    result = line

    def close(self):
        self._writer.close()


class Fleet:
    """Hosts, a store and the targets of one service on loopback."""

    def __init__(self):
        self.store = store_module.StoreStandin()
        self.group = database_group.DatabaseGroup(SERVICE, self.store)
        self.nodes = []
        self.store_port = free_port()
        self.grace_ms = 4_000
        self.bounds = node_settings.Bounds()

    async def start(self, hosts=2):
        """Start targets and hosts, as if all had been running for a while."""
        self.store.listen(self.store_port)
        self.store.put('op', 'config', configuration())
        for number, zone in enumerate(ZONES):
            await self.group.add(zone, 0, is_primary=number == 0)
        for number in range(hosts):
            await self.start_node(ZONES[number % len(ZONES)])
        await self.until_ready()

    async def until_ready(self):
        """Wait until all hosts serve, as if they had run for a while."""
        await self.until(
            lambda: all(
                len(node.members.up_links()) == len(self.nodes) - 1
                and node.targets.claimed_primary(SERVICE) is not None
                and node.is_ready
                for node in self.nodes
            )
        )
        for node in self.nodes:
            node.targets._complete_from_ms = 0
        # Rate tokens for the first operations arrive with the first few pings.
        await asyncio.sleep(0.3)

    async def start_node(self, zone, host_id=None):
        endpoint = node_settings.Endpoint
        settings = node_settings.NodeSettings(
            host_id=host_id or f'host-{len(self.nodes)}',
            zone=zone,
            callers=endpoint('127.0.0.1', free_port()),
            readiness=endpoint('127.0.0.1', free_port()),
            peers=endpoint('127.0.0.1', free_port()),
            metrics=endpoint('127.0.0.1', free_port()),
            store=endpoint('127.0.0.1', self.store_port),
            promotions=endpoint('127.0.0.1', self.store_port),
            grace_ms=self.grace_ms,
            rate_slack=20,
            bounds=self.bounds,
        )
        node = node_module.Node(settings, pathlib.Path('unused'))
        self.nodes.append(node)
        await node.start()
        return node

    async def until(self, condition, limit_s=TIMEOUT_S, interval_s=0.02):
        """Wait until ``condition`` holds; fails after ``limit_s`` seconds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while not condition():
            assert loop.time() < deadline, 'the condition did not hold in time'
            await asyncio.sleep(interval_s)

    async def close(self):
        for node in self.nodes:
            node.close()
        self.store.close()
        for server in self.group.servers.values():
            server.crash()
        for writer in list(_client_writers):
            writer.transport.abort()
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running(hosts=2, grace_ms=4_000, bounds=None):
    fleet = Fleet()
    fleet.bounds = bounds or fleet.bounds
    fleet.grace_ms = grace_ms
    try:
        await fleet.start(hosts)
        yield fleet
    finally:
        await fleet.close()
