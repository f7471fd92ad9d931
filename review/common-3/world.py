"""Runs real hosts beside stand-ins for the platform and the servers.

Each host is a process of its own, started with the command of the deploy
file, on a loopback address of its own. The store, the promotion endpoint, the
database servers and the clients live in this process.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from typing import Any

import servers
from tornado import web

from standins import database_group
from standins import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'huvo11a'
ACCOUNT = 'nypu920'
KEY = 'u6wsjnbanfqasnmgkcuy'
ZONES = ('oberland', 'niederbayern', 'franken')

# The pages' example of a small deployment, and their site file.
HEARTBEAT_MS = 1_200
PROMOTE_MS = 300
METRICS_PORT = 9_464
READY_TIMEOUT_S = 25

# The bounds that the pages' example of a settings file has.
BOUNDS = """
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigMs = 3000
RevertSlackMs = 250
SkewMs = 12000
StrictRevoke = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaExcess = 0.1
QuotaSlack = 20
RecoveryS = 12
FencingEnforced = true
ThawMs = 300
"""


class CannotRunError(Exception):
    """The case couldn't be played; nothing is known of the rule."""


class Record:
    """Writes what happens to ``record.txt``, with the time in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Platform(store_module.StoreStandin):
    """The store and the promotion endpoint, with the fences of the pages."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        # The store bears its era from the start.
        self.era = 1
        # Orders that were accepted: service, target, holder and token.
        self.orders: list[tuple[str, str, str, int]] = []
        self.highest_tokens: dict[str, int] = {}

    def listen_promotions(self, port: int) -> None:
        application = web.Application(
            [('/promotion', _PromotionHandler, {'platform': self})],
            log_function=lambda handler: None,
        )
        application.listen(port, '127.0.0.1')

    def order(
        self, service: str, target_id: str, holder: str, token: int
    ) -> int:
        """Carry out an order; 409 for a lower token than was seen."""
        if token < self.highest_tokens.get(service, 0):
            return 409
        self.highest_tokens[service] = token
        if not self.on_promotion(service, target_id):
            return 409
        self.orders.append((service, target_id, holder, token))
        return 200


class _PromotionHandler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def post(self) -> None:
        body = json.loads(self.request.body)
        holder = self.request.headers['X-Samphirestand-Duty-Holder']
        token = int(self.request.headers['X-Samphirestand-Fence-Token'])
        status = self.platform.order(
            body['Service'], body['Id'], holder, token
        )
        self.platform.record.note(
            f'platform: POST /promotion {body["Service"]} {body["Id"]} '
            f'holder {holder} token {token} -> {status}'
        )
        self.set_status(status)
        self.write({})


class Host:
    """One process of the deploy file's role, and its addresses."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = _free_address()
        self.front = _free_port(self.ip)
        self.ready = _free_port(self.ip)
        self.control = _free_port(self.ip)
        self.peers = _free_port(self.ip)
        self.settings_path = folder / f'{name}.toml'
        self.log_path = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store_port: int, cloud_port: int) -> None:
        zones = '\n'.join(f'{each} = "bayern"' for each in ZONES)
        self.settings_path.write_text(
            f'Node = "{self.name}"\nRole = "host"\nMachineClass = "edge"\n'
            f'Serves = ["edge"]\nIp = "{self.ip}"\nZone = "{self.zone}"\n'
            f'Region = "bayern"\nPortRange = [{self.peers},{self.peers}]\n'
            'Seeds = []\nBootstrap = true\nCountsAsLoss = false\n'
            'Discovery = "platform"\nEntry = "vip"\n'
            f'HeartbeatMs = {HEARTBEAT_MS}\n'
            'Contracts = ["base","drain","config","cost","recover","sql",'
            '"tenants","quota","platform"]\n'
            f'[Zones]\n{zones}\n'
            f'[Listen]\nFront = "{self.ip}:{self.front}"\n'
            f'Ready = "{self.ip}:{self.ready}"\n'
            f'Control = "{self.ip}:{self.control}"\n'
            '[Limits]\nCpuShare = 0.537\nCores = 2\nMemoryMb = 300\n'
            'MaxFds = 4200\nLinkMbps = 1000.0\nDiskMb = 0\n'
            '[Tolerance]\nMachines = 1\nZones = 1\nRegions = 0\n'
            f'[Bounds]{BOUNDS}'
            f'[platform]\nAddr = "127.0.0.1:{store_port}"\nform = "table"\n'
            'WritesPerS = 400\nReadsPerS = 2000\nTxMs = 8.0\n'
            'PartWrateS = 150\nRowBytes = 65536\nAcross = false\n'
            'HistoryS = 20\n'
            f'[Cloud]\nAddr = "127.0.0.1:{cloud_port}"\nRatePerS = 50.0\n'
            'Duties = ["promotion"]\nDutyRateS = 50.0\n'
        )

    async def start(self) -> None:
        words = _run_words()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SAMPHIRESTAND_NODE_FILE'] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready
                )
                writer.write(
                    b'GET /-/ready HTTP/1.1\r\nHost: host\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Client:
    """A caller's session on the line protocol."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(
        cls, host: Host, database: str, key: str = KEY
    ) -> 'Client':
        """Open a session; raises ``OSError`` or ``TimeoutError``."""
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(
                host.ip, host.front, limit=2_000_000
            )
            client = cls(reader, writer)
            client.send(f'STARTUP {database} {key}')
            line = await client.read_line()
        if not line.startswith('READY '):
            writer.close()
            raise ConnectionError(line or 'closed')
        return client

    def send(self, line: str) -> None:
        self._writer.write(line.encode() + b'\r\n')

    async def read_line(self) -> str:
        data = await self._reader.readline()
        return data.decode().rstrip('\r\n')

    async def query(
        self, request_id: str, text: str, timeout_s: float = 3
    ) -> tuple[list[str], str]:
        """Run a statement; returns its rows and the line of its result.

        The line is empty if the connection ended or nothing came in time.
        """
        rows: list[str] = []
        result = ''
        self.send(f'QUERY {request_id} {text}')
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    line = await self.read_line()
                    word, _, rest = line.partition(' ')
                    if word == 'DATAROW':
                        rows.append(rest)
                    elif word == 'READY':
                        return rows, result
                    elif not word:
                        return rows, ''
                    else:
                        result = line
        except (OSError, TimeoutError):
            return rows, ''

    def close(self) -> None:
        self._writer.close()


class World:
    """A small deployment: the platform, one service and its hosts."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.platform = Platform(record)
        self.group: Any = database_group.DatabaseGroup(SERVICE, self.platform)
        self.group.promotion_ms = PROMOTE_MS
        self.hosts: list[Host] = []
        self._store_port = _free_port('127.0.0.1')
        self._cloud_port = _free_port('127.0.0.1')
        self._tasks: list[asyncio.Task[None]] = []
        self._request_numbers = iter(range(1, 10**9))
        self._random = random.Random(1)
        self.answers: list[tuple[str, str, str, str]] = []

    async def start(self, host_zones: tuple[str, ...] = ZONES) -> None:
        """Start one server a zone, the first as primary, and the hosts."""
        self.platform.listen(self._store_port)
        self.platform.listen_promotions(self._cloud_port)
        self.platform.put('op', 'config', configuration())
        for number, zone in enumerate(ZONES):
            server = await self.group.add(zone, 0, is_primary=number == 0)
            if isinstance(server, servers.Server):
                self.spawn(server.send_heartbeats())
        if isinstance(self.group, servers.Group):
            self.spawn(self.group.remove_lapsed_entries())
        else:
            self.spawn(self._send_heartbeats())
        for number, zone in enumerate(host_zones):
            host = Host(f'edge-{zone}-{number + 1}', zone, self.folder)
            host.write_settings(self._store_port, self._cloud_port)
            self.hosts.append(host)
            await host.start()
        await self.until(self._all_ready, READY_TIMEOUT_S, 'hosts are ready')
        self.record.note('all hosts are ready')

    async def _all_ready(self) -> bool:
        ready = await asyncio.gather(*(each.is_ready() for each in self.hosts))
        return all(ready)

    async def until(self, condition: Any, limit_s: float, what: str) -> None:
        deadline = time.monotonic() + limit_s
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > deadline:
                raise CannotRunError(f'not so within {limit_s} s: {what}')
            await asyncio.sleep(0.05)

    def spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for server in list(self.group.servers.values()):
                server.register()

    async def run_client(self, host: Host, database: str, texts: Any) -> None:
        """Send statements of one session, and connect again if it ends."""
        while True:
            try:
                client = await Client.connect(host, database)
            except (OSError, TimeoutError) as error:
                self.record.note(f'client: {host.name} no session: {error!r}')
                await asyncio.sleep(0.3)
                continue
            while True:
                request_id = f'{next(self._request_numbers):016x}'
                text = texts(self._random)
                rows, result = await client.query(request_id, text)
                self.answers.append((request_id, text, result, str(rows)))
                self.record.note(
                    f'client: {host.name} {database} {request_id} '
                    f'{text} -> {rows} {result or "no answer"}'
                )
                if not result:
                    break
                await asyncio.sleep(0.1)
            client.close()
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.end()
        self.platform.close()


def configuration(version: int = 7, **overrides: Any) -> dict[str, Any]:
    """Return a configuration like the example of the pages."""
    document = {
        'Version': version,
        'Routes': [
            _route('lepu270', 'primary', 800, 120),
            _route('xapu221', 'bounded_staleness', 1200, 300, 1500),
            _route('fiti832', 'read_your_writes', 800, 250, 2500),
            _route('bericht', 'bounded_staleness', 5000, 3000, 1500),
        ],
        'Services': [
            {
                'Name': SERVICE,
                'HealthPath': '/health',
                'MaxConns': 16,
                'Protocol': 'h1',
                'Tls': False,
                'SyncReplicas': 1,
            }
        ],
        'Limits': {'HeaderTimeoutMs': 3000, 'TxIdleMs': 3000},
        'Tenants': [
            {
                'Name': ACCOUNT,
                'ApiKeys': [KEY],
                'Priority': 1,
                'RatePerS': 67,
                'Burst': 67,
            }
        ],
    }
    document.update(overrides)
    return document


def _route(
    database: str, kind: str, timeout_ms: int, aim_ms: int, age_ms: int = 0
) -> dict[str, Any]:
    return {
        'Name': f'r-{database}',
        'Host': database,
        'RouteKind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': aim_ms,
        'Priority': 1,
        'Service': SERVICE,
        'MaxTries': 2,
        'MaxStalenessMs': age_ms,
        'Public': False,
    }


def _run_words() -> list[str]:
    """Return the command of the deploy file's role."""
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return str(document['roles']['host']['run']).split(' ')


def _free_address() -> str:
    """Return a loopback address on which the metrics port is free."""
    for _ in range(100):
        address = (
            f'127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.'
            f'{random.randrange(2, 250)}'
        )
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((address, METRICS_PORT))
            return address
    raise CannotRunError('no loopback address has a free metrics port')


_given_ports: set[tuple[str, int]] = set()


def _free_port(address: str) -> int:
    """Return a port that isn't one of those of outgoing connections."""
    for _ in range(1_000):
        port = random.randrange(12_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((address, port))
            if (address, port) not in _given_ports:
                _given_ports.add((address, port))
                return port
    raise CannotRunError('no free port')


def has_trouble() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


def has_first_cause() -> bool:
    """Tell whether what `FIRST=0` leaves out of a case is there."""
    return os.environ.get('FIRST', '1') != '0'


def play(case: Any, record_path: pathlib.Path, limit_s: float = 110) -> int:
    """Play a case; returns 1 if the rule was broken, 0 if it held, else 2.

    ``case`` is called with the world and returns what broke the rule, or
    None.
    """
    record = Record(record_path)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            world = World(pathlib.Path(folder), record)
            try:
                async with asyncio.timeout(limit_s):
                    broken = await case(world)
            except Exception as error:
                record.note(f'the case could not run: {error!r}')
                record.note(traceback.format_exc().replace(str(ROOT), '.'))
                for host in world.hosts:
                    if host.log_path.exists():
                        tail = host.log_path.read_text()[-1500:]
                        record.note(f'log of {host.name}: {tail}')
                return 2
            finally:
                await world.stop()
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for host in world.hosts:
                        target = pathlib.Path(keep) / host.log_path.name
                        target.write_bytes(host.log_path.read_bytes())
            record.note(f'BROKEN: {broken}' if broken else 'the rule held')
            return 1 if broken else 0

    try:
        return asyncio.run(run())
    finally:
        record.close()
