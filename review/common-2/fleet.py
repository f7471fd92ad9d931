"""A small deployment on loopback: hosts as processes, stand-ins beside them.

The hosts are started with the commands of the deploy file. The store, the
promotion endpoint and the database servers are the project's own stand-ins and
run in the process of the script.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / 'target/deps')]

from standins import database_group  # noqa: E402
from standins import store as store_module  # noqa: E402

SERVICE = 'svc'
KEYS_BY_ACCOUNT = {'acct-a': 'key-of-a', 'acct-b': 'key-of-b'}
ZONES = ('north', 'south', 'east')
START_TIMEOUT_S = 20
ANSWER_TIMEOUT_S = 10
HEARTBEAT_S = 1.2

_SETTINGS = """
Node = "{name}"
Role = "host"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{address}"
Zone = "{zone}"
Region = "land"
PortRange = [{peers}, {peers}]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = [
  "base","drain","config","cost","recover","sql","tenants","quota","platform"
]
[Listen]
Front = "{address}:{callers}"
Ready = "{address}:{ready}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = {memory_mb}
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[Tolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
StabilityWindowMs = 4000
AckMs = 5000
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigMs = 3000
QuotaWindowS = 5
QuotaExcess = 0.1
QuotaSlack = 20
RecoveryS = 12
FencingEnforced = true
[platform]
Addr = "127.0.0.1:{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
RowBytes = 65536
HistoryS = 20
[Cloud]
Addr = "127.0.0.1:{store}"
RatePerS = 50.0
Duties = ["promotion"]
DutyRateS = 50.0
"""


def free_ports(count):
    """Return ports that were free a moment ago, the same on any address."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('0.0.0.0', port))
            if port not in ports:
                ports.append(port)
    return ports


def configuration(version=1, **overrides):
    """Return a configuration of one service with a route of each kind."""
    document = {
        'Version': version,
        'Routes': [
            route('main', 'primary'),
            route('old', 'bounded_staleness', MaxStalenessMs=1500),
            route('mine', 'read_your_writes', MaxStalenessMs=2500),
        ],
        'Services': [{'Name': SERVICE, 'MaxConns': 16, 'SyncReplicas': 1}],
        'Limits': {'TxIdleMs': 3000, 'HeaderTimeoutMs': 3000},
        'Tenants': [
            {
                'Name': account,
                'ApiKeys': [key],
                'Priority': 1,
                'RatePerS': 200,
                'Burst': 200,
            }
            for account, key in KEYS_BY_ACCOUNT.items()
        ],
    }
    document.update(overrides)
    return document


def route(database, kind, **fields):
    return {
        'Name': f'r-{database}',
        'Host': database,
        'Prefix': '/',
        'RouteKind': kind,
        'TimeoutMs': 800,
        'TargetLatencyMs': 250,
        'Priority': 1,
        'Service': SERVICE,
        'Public': False,
        **fields,
    }


class Record:
    """Writes what happened to ``record.txt`` beside the script."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._started_s = time.monotonic()

    def note(self, text):
        at_s = time.monotonic() - self._started_s
        self._file.write(f'{at_s:8.3f} s  {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Host:
    """One host, which may be started several times."""

    def __init__(self, fleet, number, memory_mb):
        self.fleet = fleet
        self.name = f'edge-{ZONES[number % len(ZONES)]}-{number}'
        octet = fleet.octet
        self.address = f'127.{octet}.{number + 1}.10'
        callers, ready, peers = fleet.ports
        self.callers = (self.address, callers)
        self.ready = (self.address, ready)
        self.process = None
        self.ends = []
        self._settings = fleet.folder / f'{self.name}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                address=self.address,
                zone=ZONES[number % len(ZONES)],
                callers=callers,
                ready=ready,
                peers=peers,
                store=fleet.store_port,
                memory_mb=memory_mb,
            )
        )

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self):
        return self.fleet.folder / f'{self.name}.log'

    @property
    def resident_mb(self):
        try:
            status = pathlib.Path(
                f'/proc/{self.process.pid}/status'
            ).read_text()
        except OSError:
            return 0
        fields = dict(each.split(':', 1) for each in status.splitlines())
        return int(fields.get('VmRSS', '0').split()[0]) / 1024

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['host']['run'])
        kept = ('PATH', 'HOME', 'LANG')
        with self.log_path.open('ab') as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **{k: os.environ[k] for k in kept if k in os.environ},
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'SAMPHIRESTAND_NODE_FILE': str(self._settings),
                },
                stdout=log_file,
                stderr=log_file,
            )

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.transport.abort()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False


class Client:
    """A caller's session."""

    _numbers = iter(range(1, 10**9))

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, host, database='main', key='key-of-a', limit=2**26):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *host.callers, limit=limit
            )
            writer.write(f'STARTUP {database} {key}\r\n'.encode())
            client = cls(reader, writer)
            client.startup_reply = (await reader.readline()).decode().strip()
        return client

    async def query(self, text, timeout_s=ANSWER_TIMEOUT_S):
        """Return the id, the rows, the result line and the state line."""
        request_id = f'q{next(self._numbers)}'
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        rows, result = [], ''
        async with asyncio.timeout(timeout_s):
            while True:
                data = await self._reader.readline()
                line = data.decode().rstrip('\r\n')
                word, _, rest = line.partition(' ')
                match word:
                    case 'DATAROW':
                        rows.append(rest)
                    case 'READY':
                        return request_id, rows, result, rest
                    case '':
                        return request_id, rows, result or 'CLOSED', ''
                    case _:
                        result = line

    def close(self):
        self._writer.transport.abort()


class Fleet:
    """Hosts, the platform's store and the servers of one service."""

    def __init__(self, folder, group_class=database_group.DatabaseGroup):
        self.folder = pathlib.Path(folder)
        self.octet = random.randrange(10, 250)
        *self.ports, self.store_port = free_ports(4)
        self.store = store_module.StoreStandin()
        self.group = group_class(SERVICE, self.store)
        self.hosts = []

    async def start(self, host_count=3, memory_mb=300, **overrides):
        self.store.listen(self.store_port)
        self.store.put('op', 'config', configuration(**overrides))
        for number, zone in enumerate(ZONES):
            await self.group.add(zone, 0, is_primary=number == 0)
        self._heartbeats = asyncio.create_task(self._beat())
        for number in range(host_count):
            host = Host(self, number, memory_mb)
            self.hosts.append(host)
            host.start()
        await self.wait_until_ready()

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.group.servers.values():
                server.register()

    async def wait_until_ready(self, hosts=None):
        deadline = time.monotonic() + START_TIMEOUT_S
        for host in hosts or self.hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    def close(self):
        self._heartbeats.cancel()
        for host in self.hosts:
            if host.is_running:
                host.signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        self.store.close()
        for server in self.group.servers.values():
            server.crash()


def _skip_cancelled(loop, context):
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


@contextlib.asynccontextmanager
async def running(host_count=3, **options):
    # Sessions of the stand-ins that are open at the end are cancelled.
    asyncio.get_running_loop().set_exception_handler(_skip_cancelled)
    with tempfile.TemporaryDirectory() as folder:
        group_class = options.pop('group_class', database_group.DatabaseGroup)
        fleet = Fleet(folder, group_class)
        try:
            await fleet.start(host_count, **options)
            yield fleet
        finally:
            fleet.close()


def run_case(folder, run):
    """Run a case; return 1 if the rule was broken, 0 if not, 2 otherwise."""
    record = Record(folder)
    try:
        code = asyncio.run(run(record))
    except Exception as error:
        record.note(f'the case could not run: {error!r}')
        code = 2
    record.note(f'exit {code}')
    record.close()
    return code
