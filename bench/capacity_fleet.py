"""A small fleet of processes on loopback for measurements of cost.

Each process has its own address in 127.0.0.0/8, so that many client
connections can't occupy the ports that the fleet listens on.
"""

import asyncio
import dataclasses
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

import yaml

from bench import http
from bench import processes

PLATFORM_PORT = 7_000
CALLER_PORT = 7_100
PEER_PORT = 7_200
TARGET_PORT = 7_300
CONTROL_PORT = 7_400
FIRST_LINK_PORT = 10_000
START_TIMEOUT_S = 40
STOP_TIMEOUT_S = 10
ACCOUNT = 'account'
OPERATOR = 'operator'
KEY_SECRET = 'f' * 64
# Far above the loads of the measurements, so that no request waits for a rate
# token.
AMPLE_RATE = 100_000


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """The processes of a fleet and their settings.

    ``host_zones`` has the zone of each host, ``service_zones`` the zones of
    the three targets of each service; the first target is the primary.
    ``rate_slots`` is the number of hosts if 0. ``has_links`` puts a
    forwarder that counts bytes before each connection of a host.
    ``has_direct_target`` adds a target that callers use without a host.
    """

    host_zones: tuple[str, ...]
    service_zones: tuple[tuple[str, ...], ...] = ()
    rate: int = AMPLE_RATE
    accounts: tuple[str, ...] = (ACCOUNT,)
    rate_slots: int = 0
    has_links: bool = False
    has_direct_target: bool = False
    statement_ms: int = 0
    host_command: tuple[str, ...] = ('-m', 'samphirestand.daemon')

    @property
    def zones(self) -> list[str]:
        return sorted({*self.host_zones, *sum(self.service_zones, ())})


class Fleet:
    """The processes of a fleet, as an asynchronous context manager."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self._folder = tempfile.TemporaryDirectory(prefix='capacity-')
        self.folder = pathlib.Path(self._folder.name)
        # The process id gives two fleets on one machine different addresses.
        self._network = (
            f'127.{os.getpid() >> 8 & 127 | 64}.{os.getpid() & 255}'
        )
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.host_ids = [f'h{each}' for each in range(len(plan.host_zones))]
        self._links: list[dict[str, Any]] = []
        self._last_document: dict[str, Any] = {}

    async def __aenter__(self) -> 'Fleet':
        try:
            await self._start_all()
        except BaseException:
            self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def address(self, index: int) -> str:
        """Return the address of a host."""
        return f'{self._network}.{index + 10}'

    def channel(self, index: int) -> http.Channel:
        """Return a channel to the caller port of a host."""
        return http.Channel(self.address(index), CALLER_PORT)

    def pid(self, index: int) -> int:
        return self.processes[self.host_ids[index]].pid

    def processor_ms(self, index: int) -> float:
        """Return the processor time that a host has used so far, in ms."""
        return processes.processor_ms(self.pid(index))

    def target_url(self, service: int, index: int) -> str:
        address = f'{self._network}.{100 + 3 * service + index}'
        return f'ws://{address}:{TARGET_PORT}/session'

    @property
    def direct_url(self) -> str:
        """Return the URL of the target that serves callers without a lock."""
        return f'ws://{self._network}.3:{TARGET_PORT}/session'

    async def platform_counters(self) -> dict[str, int]:
        """Return the reads and writes of the platform so far."""
        return await self._fetch_counters(f'{self._network}.1', PLATFORM_PORT)

    async def link_counters(self) -> dict[str, dict[str, int]]:
        """Return the counters of each link group, by its name."""
        return await self._fetch_counters(f'{self._network}.2', CONTROL_PORT)

    async def run_command(self, text: str) -> dict[str, Any]:
        """Run an operator's command on the first host."""
        channel = self.channel(0)
        answer = await channel.request(
            'POST', '/v1/operator', {'command': text}, account_key(OPERATOR)
        )
        channel.close()
        return answer.document

    def stop(self) -> None:
        """Terminate all processes and remove their files."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
        self._folder.cleanup()

    async def _fetch_counters(self, address: str, port: int) -> dict[str, Any]:
        channel = http.Channel(address, port)
        answer = await channel.request('GET', '/counters')
        channel.close()
        return answer.document

    async def _start_all(self) -> None:
        platform = f'{self._network}.1'
        self._start_process(
            'platform',
            '-m',
            'standins.platform',
            f'--address={platform}',
            f'--port={PLATFORM_PORT}',
        )
        for service in range(len(self.plan.service_zones)):
            self._start_targets(service)
        if self.plan.has_direct_target:
            self._start_target('direct', self.direct_url, '--primary')
        paths = self._write_files()
        if self._links:
            path = self.folder / 'links.json'
            control = f'{self._network}.2:{CONTROL_PORT}'
            path.write_text(
                json.dumps({'control': control, 'links': self._links})
            )
            self._start_process('links', '-m', 'standins.link', str(path))
        await asyncio.sleep(1)
        for host_id, path in zip(self.host_ids, paths, strict=True):
            self._start_process(host_id, *self.plan.host_command, str(path))
        for index in range(len(self.host_ids)):
            await self._wait_until_ready(index)

    def _start_targets(self, service: int) -> None:
        primary = self.target_url(service, 0)
        for index in range(len(self.plan.service_zones[service])):
            role = f'--follow={primary}' if index else '--primary'
            self._start_target(
                target_id(service, index),
                self.target_url(service, index),
                role,
            )

    def _start_target(self, name: str, url: str, *options: str) -> None:
        if name == 'direct':
            options = (*options, '--no-lock')
        self._start_process(
            name,
            '-m',
            'standins.target',
            f'--server-id={name}',
            f'--address={url[5:].split(":")[0]}',
            f'--port={TARGET_PORT}',
            '--slots=64',
            '--max-connections=80',
            '--connect-delay-ms=0',
            f'--statement-ms={self.plan.statement_ms}',
            *options,
        )

    def _write_files(self) -> list[pathlib.Path]:
        (self.folder / 'fleet-secret').write_text('0' * 64)
        (self.folder / 'token-secrets').write_text(
            yaml.safe_dump({'current': 1, 'secrets': {1: '0' * 64}})
        )
        bootstrap = self.folder / 'bootstrap.yaml'
        bootstrap.write_text(json.dumps(self._bootstrap()))
        paths = []
        for index, host_id in enumerate(self.host_ids):
            path = self.folder / f'{host_id}.yaml'
            path.write_text(json.dumps(self._settings(index)))
            paths.append(path)
        return paths

    def _settings(self, index: int) -> dict[str, Any]:
        address = self.address(index)
        return {
            'host_id': self.host_ids[index],
            'zone': self.plan.host_zones[index],
            'zones': self.plan.zones,
            'callers': {'address': address, 'port': CALLER_PORT},
            'peers': {'address': address, 'port': PEER_PORT},
            'platform_url': f'http://{self._network}.1:{PLATFORM_PORT}',
            'fleet_secret_file': 'fleet-secret',
            'token_secrets_file': 'token-secrets',
            'bootstrap_file': 'bootstrap.yaml',
            'log_level': 'warning',
            'address_translation': self._make_address_translation(index),
        }

    def _make_address_translation(self, index: int) -> dict[str, str]:
        """Return the host's address translation, which leads through links.

        Adds a link before each address that the host connects to. The group
        of a link is the host's id and the destination.
        """
        if not self.plan.has_links:
            return {}
        host_id = self.host_ids[index]
        groups_by_destination = {
            f'{self._network}.1:{PLATFORM_PORT}': f'{host_id} platform'
        }
        for other_index, other_id in enumerate(self.host_ids):
            if other_index != index:
                destination = f'{self.address(other_index)}:{PEER_PORT}'
                groups_by_destination[destination] = f'{host_id} {other_id}'
        for service, zones in enumerate(self.plan.service_zones):
            for number in range(len(zones)):
                destination = self.target_url(service, number)[5:].split('/')[
                    0
                ]
                groups_by_destination[destination] = f'{host_id} targets'
        translation = {}
        for destination, group in groups_by_destination.items():
            port = FIRST_LINK_PORT + len(self._links)
            translation[destination] = f'{self._network}.2:{port}'
            self._links.append(
                {
                    'group': group,
                    'listen': translation[destination],
                    'forward': destination,
                }
            )
        return translation

    def _bootstrap(self) -> dict[str, Any]:
        rate = self.plan.rate
        return {
            'rate_slots': self.plan.rate_slots or len(self.host_ids),
            'accounts': [
                {'name': name, 'rate': rate, 'burst': 2 * rate}
                for name in self.plan.accounts
            ],
            'services': [
                {
                    'name': f'service-{service}',
                    'max_read_age_ms': 5_000,
                    'targets': [
                        {
                            'target_id': target_id(service, index),
                            'zone': zone,
                            'url': self.target_url(service, index),
                            'slots': 64,
                            'connections': 80,
                        }
                        for index, zone in enumerate(zones)
                    ],
                }
                for service, zones in enumerate(self.plan.service_zones)
            ],
            'keys': [
                {
                    'key_id': name,
                    'account': name,
                    'secret_sha256': hashlib.sha256(
                        KEY_SECRET.encode()
                    ).hexdigest(),
                    'role': OPERATOR if name == OPERATOR else 'caller',
                }
                for name in (OPERATOR, *self.plan.accounts)
            ],
        }

    def _start_process(self, name: str, *arguments: str) -> None:
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log
            )

    async def _wait_until_ready(self, index: int) -> None:
        """Wait until the host is healthy and each service accepts a write.

        Raises ``RuntimeError`` if a process ends, or after
        ``START_TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_TIMEOUT_S
        channel = self.channel(index)
        services = range(len(self.plan.service_zones))
        checks = [self._make_health_check(channel)]
        checks += [
            self._make_write_check(channel, service) for service in services
        ]
        for check in checks:
            while True:
                try:
                    async with asyncio.timeout_at(deadline_s):
                        if await check():
                            break
                except (http.Unsent, http.Lost):
                    self._raise_if_ended()
                await asyncio.sleep(0.1)
                if loop.time() > deadline_s:
                    raise RuntimeError(
                        f'{self.host_ids[index]} is not ready: '
                        f'{self._last_document}'
                    )
        channel.close()

    def _make_health_check(self, channel: http.Channel) -> Any:
        async def is_ready() -> bool:
            return (await channel.request('GET', '/v1/health')).status == 200

        return is_ready

    def _make_write_check(self, channel: http.Channel, service: int) -> Any:
        async def accepts_writes() -> bool:
            answer = await channel.request(
                'POST',
                '/v1/statements',
                {
                    'service': f'service-{service}',
                    'statement': 'SET key value',
                    'mode': 'write',
                    'request_id': os.urandom(8).hex(),
                },
                account_key(self.plan.accounts[0]),
            )
            self._last_document = answer.document
            return answer.status == 200

        return accepts_writes

    def _raise_if_ended(self) -> None:
        for name, process in self.processes.items():
            if process.poll() is not None:
                text = (self.folder / f'{name}.log').read_text()
                raise RuntimeError(f'{name} ended: {text[-2_000:]}')


def account_key(account: str) -> str:
    """Return the key of an account."""
    return f'{account}.{KEY_SECRET}'


def target_id(service: int, index: int) -> str:
    return f'service-{service}-{index}'
