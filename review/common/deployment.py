"""A small deployment on loopback: hosts as processes, stand-ins, clients.

Each host is started with the ``run`` command of ``deploy/system.toml``, from
the root of the repository, with what its ``build`` command has installed.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib

from review.common import database
from review.common import platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('kathmandu-a', 'lalitpur-b', 'bhaktapur-c')
HOSTS_PER_ZONE = (4, 2, 3)
GRACE_S = 6
KEY = 'u6wsjnbanfqasnmgkcuy'
ACCOUNT = 'nypu920'
PORT = 8460
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Deployment:
    """Hosts, database services, the platform and a record of events."""

    def __init__(self, folder, services=('huvo11a',)):
        self._record_file = open(folder / 'record.txt', 'w')  # noqa: SIM115
        self._started_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        # A /24 of loopback addresses that nothing else listens on.
        self._net = _free_net()
        self.store = platform.Store()
        self.cloud = platform.Cloud(self.record)
        self.services = services
        self.configuration = {}
        self.groups = {}
        self.hosts = {}
        self.results = []

    def record(self, text):
        passed_s = time.monotonic() - self._started_s
        self._record_file.write(f'{passed_s:8.3f} {text}\n')
        self._record_file.flush()

    def address(self, number):
        return f'{self._net}.{number}'

    async def start(self, primary_zone, work_s=0.01, routes=None):
        """Start the platform, the servers and all hosts."""
        await self.store.start(self.address(1), PORT)
        await self.cloud.start(self.address(2), PORT)
        self.configuration = self._configuration(routes)
        self.store.put('op', 'config', self.configuration)
        number = 10
        for service in self.services:
            group = database.Group(service, self.store, self.record, work_s)
            self.groups[service] = group
            self.cloud.add_group(group)
            for zone in ZONES:
                target_id = f'i-{random.randrange(2**40):010x}'
                await group.add(
                    target_id,
                    zone,
                    self.address(number),
                    PORT,
                    zone == primary_zone,
                )
                self.record(f'server {target_id} of {service} in {zone}')
                number += 1
            group.start()
        number = 100
        for zone, count in zip(ZONES, HOSTS_PER_ZONE, strict=True):
            for index in range(count):
                name = f'edge-{zone}-{index + 1}'
                self.hosts[name] = Host(self, name, zone, number)
                number += 1
        for host in self.hosts.values():
            host.start()
        await self.until_ready(self.hosts.values(), 30)
        # Rate tokens arrive with the first few pings.
        await asyncio.sleep(3)

    def _configuration(self, routes):
        return {
            'Version': 7,
            'Routes': routes
            or [
                {
                    'Name': f'r-{service}',
                    'Host': f'db-{service}',
                    'Prefix': '/',
                    'RouteKind': 'primary',
                    'TimeoutMs': 1000,
                    'TargetLatencyMs': 200,
                    'Priority': 1,
                    'Service': service,
                    'MaxTries': 2,
                    'Public': False,
                }
                for service in self.services
            ],
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxConns': 60,
                    'Protocol': 'h1',
                    'Tls': False,
                    'SyncReplicas': 1,
                }
                for service in self.services
            ],
            'Limits': {'HeaderTimeoutMs': 3000, 'TxIdleMs': 3000},
            'Tenants': [
                {
                    'Name': ACCOUNT,
                    'ApiKeys': [KEY],
                    'Priority': 1,
                    'RatePerS': 5000,
                    'Burst': 5000,
                }
            ],
        }

    def settings(self, host):
        """Return the settings file of a host, as DEPLOY.md shows it."""
        address = host.address
        return f"""
Node = "{host.name}"
Role = "host"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{address}"
Zone = "{host.zone}"
Region = "bagmati"
PortRange = [7560,7575]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Listen]
Front = "{address}:8465"
Ready = "{address}:{PORT}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
[Bounds]
StabilityWindowMs = 4000
DrainMs = 7000
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigMs = 3000
QuotaWindowS = 5
QuotaExcess = 0.1
QuotaSlack = 20
FencingEnforced = true
[platform]
Addr = "{self.address(1)}:{PORT}"
form = "table"
[Cloud]
Addr = "{self.address(2)}:{PORT}"
RatePerS = 50.0
Duties = ["promotion"]
DutyRateS = 50.0
"""

    async def until_ready(self, hosts, limit_s):
        deadline = time.monotonic() + limit_s
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    @property
    def folder(self):
        return pathlib.Path(self._temporary.name)

    async def close(self):
        for host in self.hosts.values():
            await host.kill()
        for group in self.groups.values():
            group.close()
        self.store.close()
        self.cloud.close()
        self._temporary.cleanup()
        self._record_file.close()


class Host:
    """One host of the deployment: its process and its addresses."""

    def __init__(self, deployment, name, zone, number):
        self._deployment = deployment
        self.name = name
        self.zone = zone
        self.address = deployment.address(number)
        self.process = None
        self.log_path = deployment.folder / f'{name}.log'

    def start(self):
        """Start the process; its log goes to a file in the temporary folder.

        Events of promotions are copied to the record at the end.
        """
        path = self._deployment.folder / f'{self.name}.toml'
        path.write_text(self._deployment.settings(self))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['host']['run'])
        environment = {
            each: os.environ[each]
            for each in ('PATH', 'HOME', 'LANG')
            if each in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['SAMPHIRESTAND_NODE_FILE'] = str(path)
        self.process = _Process(words, environment, self.log_path)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, PORT
                )
                writer.write(
                    b'GET /-/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    def signal(self, number):
        self._deployment.record(
            f'{signal.Signals(number).name} to {self.name}'
        )
        self.process.signal(number)

    async def kill(self):
        if self.process is not None:
            await self.process.kill()


class _Process:
    def __init__(self, words, environment, log_path):
        self._log = open(log_path, 'ab')  # noqa: SIM115
        self._starting = asyncio.create_task(
            asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=self._log,
                stderr=self._log,
            )
        )

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self._starting.result().send_signal(number)

    async def wait(self):
        return await (await self._starting).wait()

    async def kill(self):
        process = await self._starting
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        self._log.close()


class Client:
    """A client's session with one host."""

    def __init__(self, host, database_name):
        self._host = host
        self._database = database_name
        self._reader = None
        self._writer = None

    @property
    def is_open(self):
        return self._writer is not None

    async def open(self):
        """Open the session; returns whether it was accepted within 2 s."""
        try:
            async with asyncio.timeout(2):
                self._reader, self._writer = await asyncio.open_connection(
                    self._host.address, 8465
                )
                self._send(f'STARTUP {self._database} {KEY}')
                line = await self._read_line()
        except (OSError, TimeoutError):
            line = ''
        if not line.startswith('READY'):
            self.close()
            return False
        return True

    def _send(self, text):
        self._writer.write(text.encode() + b'\r\n')

    async def _read_line(self):
        return (await self._reader.readline()).decode().rstrip('\r\n')

    async def query(self, request_id, text, timeout_s=3):
        """Send one statement; returns (result line, state).

        The result is '' if the connection ended without a whole answer.
        """
        result = ''
        try:
            self._send(f'QUERY {request_id} {text}')
            async with asyncio.timeout(timeout_s):
                while True:
                    line = await self._read_line()
                    word, _, rest = line.partition(' ')
                    if word == 'READY':
                        return result, rest.split(' ')[0]
                    if not line:
                        self.close()
                        return '', ''
                    if word in ('COMPLETE', 'ERROR'):
                        result = line
        except TimeoutError:
            self.close()
            return 'NO ANSWER', ''
        except OSError:
            self.close()
            return '', ''

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None


async def write_repeatedly(deployment, service, host, pause_s):
    """Write through one host until cancelled; records each answer."""
    group = deployment.groups[service]
    client = Client(host, f'db-{service}')
    try:
        while True:
            if not client.is_open and not await client.open():
                await asyncio.sleep(0.3)
                continue
            request_id = f'{random.randrange(2**64):016x}'
            result, state = await client.query(
                request_id, f'WRITE {random.randrange(2000):x} data'
            )
            if result.startswith('COMPLETE'):
                group.acknowledged.append(request_id)
            deployment.record(
                f'{host.name} {request_id} WRITE: {result or "closed"}'
            )
            if state not in ('I', ''):
                client.close()
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
    finally:
        client.close()


def judge_lost(deployment):
    """Judge LOST: a promoted server lacks an acknowledged commit."""
    is_broken = False
    for group in deployment.groups.values():
        primary = group.primary
        if primary is None:
            raise CannotRun(f'{group.service} has no primary at the end')
        missing = group.missing(primary)
        deployment.record(
            f'{group.service}: {len(group.acknowledged)} commits '
            f'acknowledged, {group.promotions} promotions, {len(missing)} '
            f'acknowledged commits missing at {primary.target_id}'
        )
        is_broken |= bool(missing) and group.promotions > 0
    return is_broken


def copy_logs(deployment, words):
    """Copy the hosts' log lines that hold one of ``words`` to the record."""
    for host in deployment.hosts.values():
        if not host.log_path.exists():
            continue
        for line in host.log_path.read_text().splitlines():
            if any(each in line for each in words):
                deployment.record(f'log of {host.name}: {line[:400]}')


def run_case(folder, case):
    """Run ``case(folder, has_trouble)``; returns the exit code."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        async with asyncio.timeout(115):
            return await case(folder, has_trouble)

    try:
        is_broken = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError) as error:
        print(f'could not run: {error!r}')
        return 2
    print('the rule was broken' if is_broken else 'the rule held')
    return 1 if is_broken else 0


def _free_net():
    for _ in range(200):
        net = f'127.{random.randrange(16, 250)}.{random.randrange(250)}'
        if all(
            _is_free(f'{net}.{number}', port)
            for number in (1, 2, 10, 100, 108)
            for port in (PORT, 8465, 7560, METRICS_PORT)
        ):
            return net
    raise CannotRun('no free loopback addresses')


def _is_free(address, port):
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind((address, port))
        return True
    return False
