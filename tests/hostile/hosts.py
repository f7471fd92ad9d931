"""A host process on loopback, and crowds of clients that misbehave."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import subprocess
import sys

from tornado import httpclient
import yaml

from samphirestand.platform import node_file
from standins import database_group
from standins import store as store_module
from tests import nodes
from tests import processes

# What each host process of these tests may use. The bounds of all checks.
MEMORY_MB = 128
DESCRIPTORS = 160

# Above DESCRIPTORS, so that a host that ignores its limit is noticed.
OPEN_FILE_LIMIT = 600

# How long a crowd sends or waits, and an ordinary caller tries.
CROWD_S = 3
CALLER_S = 10

# The longest message that the protocol allows, with its CR LF.
LONGEST_MESSAGE = 1_048_576
SAMPLE_INTERVAL_S = 0.02

_SETTINGS = """
Node = "host-0"
Ip = "{address}"
Zone = "north"
PortRange = [{peers}, {peers}]
[Listen]
Front = "127.0.0.1:{callers}"
Ready = "127.0.0.1:{ready}"
[Limits]
MemoryMb = {memory_mb}
MaxFds = {descriptors}
[Bounds]
GraceS = 4
QuotaSlack = 20
[platform]
Addr = "127.0.0.1:{store}"
[Cloud]
Addr = "127.0.0.1:{store}"
"""


class HostProcess:
    """A process of the product, with what it used at most."""

    def __init__(self, process, ports, address):
        self._process = process
        self.callers = ('127.0.0.1', ports['callers'])
        self.ready = ('127.0.0.1', ports['ready'])
        self.peers = (address, ports['peers'])
        self.metrics = (address, node_file.METRICS_PORT)
        self.peak_descriptors = 0

    @property
    def peak_memory_mb(self):
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].split()[0]) / 1024

    @property
    def is_alive(self):
        return self._process.poll() is None

    async def watch_descriptors(self):
        """Record the number of open descriptors until cancelled."""
        while self.is_alive:
            count = len(os.listdir(f'/proc/{self._process.pid}/fd'))
            self.peak_descriptors = max(self.peak_descriptors, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def ask(self):
        """Ask once, as an ordinary caller; return whether it is answered."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.callers)
        except (OSError, TimeoutError):
            return False
        try:
            async with asyncio.timeout(2):
                writer.write(
                    f'STARTUP main {nodes.KEY}\r\nQUERY o READ x\r\n'.encode()
                )
                answer = [await reader.readline() for _ in range(4)]
                return answer[2].startswith(b'COMPLETE')
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()

    async def fetch_metrics(self):
        address, port = self.metrics
        answer = await httpclient.AsyncHTTPClient().fetch(
            f'http://{address}:{port}/metrics'
        )
        return json.loads(answer.body)

    async def assert_unharmed(self, label):
        """Check what the process used, and that it still serves."""
        assert self.is_alive, 'the process has ended'
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CALLER_S
        while not (is_answered := await self.ask()):
            if loop.time() > deadline:
                break
            await asyncio.sleep(0.1)
        figures = (
            f'{label}: VmHWM {self.peak_memory_mb:.0f} MB, '
            f'{self.peak_descriptors} descriptors, '
            f'answered afterwards: {is_answered}'
        )
        print(figures)
        assert is_answered, figures
        assert self.peak_memory_mb <= MEMORY_MB, figures
        assert self.peak_descriptors <= DESCRIPTORS, figures


@contextlib.asynccontextmanager
async def running(
    folder,
    options=None,
    descriptors=DESCRIPTORS,
    open_file_limit=OPEN_FILE_LIMIT,
    memory_mb=MEMORY_MB,
):
    """Start a host with low limits, beside stand-ins for the platform."""
    store = store_module.StoreStandin()
    group = database_group.DatabaseGroup(nodes.SERVICE, store)
    names = ('callers', 'ready', 'peers', 'store')
    ports = dict(zip(names, processes.free_ports(len(names)), strict=True))
    store.listen(ports['store'])
    store.put('op', 'config', nodes.configuration())
    for number, zone in enumerate(nodes.ZONES):
        await group.add(zone, 0, is_primary=number == 0)
    # The port of metrics is fixed, so each host has an address of its own.
    address = f'127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.77'
    settings = folder / 'node.toml'
    settings.write_text(
        _SETTINGS.format(
            address=address,
            memory_mb=memory_mb,
            descriptors=descriptors,
            **ports,
        )
    )
    options_path = folder / 'host.yaml'
    options_path.write_text(yaml.safe_dump(options or {}))
    process = _start(folder, settings, options_path, open_file_limit)
    host = HostProcess(process, ports, address)
    watcher = None
    try:
        await processes.until(host.ask)
        watcher = asyncio.create_task(host.watch_descriptors())
        yield host, group
    finally:
        if watcher is not None:
            watcher.cancel()
        process.kill()
        process.wait()
        store.close()
        for server in group.servers.values():
            server.crash()
        await asyncio.sleep(0)


def _start(folder, settings, options_path, open_file_limit):
    with (folder / 'log').open('wb') as log_file:
        return subprocess.Popen(
            [sys.executable, '-m', 'samphirestand', str(settings)]
            + ['--options', str(options_path)],
            stdout=log_file,
            stderr=log_file,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (open_file_limit, open_file_limit)
            ),
        )


async def crowd(count, endpoint, behave):
    """Run ``behave(reader, writer)`` on many connections at once.

    All connections stay open for ``CROWD_S``; then they are reset.
    """

    async def run_member():
        try:
            reader, writer = await asyncio.open_connection(*endpoint)
        except OSError:
            return
        writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await behave(reader, writer)

    writers = []
    members = [asyncio.create_task(run_member()) for _ in range(count)]
    await asyncio.sleep(CROWD_S)
    for member in members:
        member.cancel()
    await asyncio.gather(*members, return_exceptions=True)
    for writer in writers:
        writer.transport.abort()


async def start_session(writer, reader=None, key='key-of-b'):
    """Open a session; waits for its answer if ``reader`` is given."""
    writer.write(f'STARTUP main {key}\r\n'.encode())
    if reader is not None:
        await reader.readline()


async def send(writer, data, piece_bytes=None, pause_s=0):
    """Send bytes as fast as the host takes them, whole or in pieces."""
    step = piece_bytes or len(data)
    for start in range(0, len(data), step):
        writer.write(data[start : start + step])
        await writer.drain()
        if pause_s:
            await asyncio.sleep(pause_s)


def query(text_bytes, command='READ'):
    """Return a message of ``text_bytes`` in all, without its CR LF."""
    start = f'QUERY q {command} '.encode()
    return start + b'k' * (text_bytes - len(start)) + b'\r\n'
