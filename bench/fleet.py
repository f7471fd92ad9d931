"""Starts and stops the processes of a fleet on loopback.

Connections between zones, and to the platform, go through forwarded ports
(``standins.link``) that delay traffic and inject faults.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
from typing import Any

from tornado import httpclient
import yaml

from bench import records
from samphirestand import clock as clock_module

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
ADDRESS = '127.0.0.1'
PLATFORM_DELAY_MS = 1
PLATFORM = 'platform'
OPERATOR = 'operator'
START_TIMEOUT_S = 60
# Below the ephemeral ports that Linux assigns to outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_FLEET = 200
STOP_TIMEOUT_S = 75


@dataclasses.dataclass(frozen=True)
class Host:
    """An entry host and its ports."""

    host_id: str
    zone: str
    caller_port: int
    peer_port: int


@dataclasses.dataclass(frozen=True)
class Target:
    """A database server and its port."""

    target_id: str
    service: str
    zone: str
    port: int
    is_initial_primary: bool

    @property
    def url(self) -> str:
        return f'ws://{ADDRESS}:{self.port}/session'

    @property
    def control_url(self) -> str:
        return f'http://{ADDRESS}:{self.port}'


class Fleet:
    """The processes of one run, and the forwarded ports between zones.

    ``scale`` multiplies the rates and bursts of all accounts. With
    ``is_baseline`` the hosts run ``bench.baseline`` instead of samphirestand.
    Ports are allocated upwards from ``base_port``, or from a free range if it
    is 0.
    """

    def __init__(
        self,
        deployment: str,
        folder: pathlib.Path,
        *,
        scale: float,
        base_port: int,
        seed: int,
        is_baseline: bool,
    ) -> None:
        documents_by_file = {
            part: yaml.safe_load(
                (EXAMPLES / deployment / f'{part}.yaml').read_text()
            )
            for part in ('host', 'configuration', 'standins')
        }
        self.host_settings: dict[str, Any] = documents_by_file['host']
        self.standin_settings: dict[str, Any] = documents_by_file['standins']
        self.configuration: dict[str, Any] = documents_by_file['configuration']
        self.zones: list[str] = self.host_settings['zones']
        self.folder = folder
        self.is_baseline = is_baseline
        self.clock = clock_module.SystemClock()
        self.events: list[records.Event] = []
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._rng = random.Random(seed)
        self._next_port = base_port or _find_free_range()
        self._links_by_process: dict[str, list[dict[str, Any]]] = (
            collections.defaultdict(list)
        )
        self._control_ports: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

        for account in self.configuration['accounts']:
            for field in ('rate', 'burst'):
                account[field] = max(1, round(account[field] * scale))
        self.platform_port = self._allocate_port()
        self.targets = self._make_targets()
        self.hosts = self._make_hosts()
        self._translations_by_zone = {
            zone: self._make_address_translation(zone) for zone in self.zones
        }
        self.keys_by_account = {
            name: self._make_key(name)
            for name in [
                OPERATOR,
                *(each['name'] for each in self.configuration['accounts']),
            ]
        }

    @property
    def accounts(self) -> dict[str, records.Account]:
        """Return the scaled rate and burst of each account by name."""
        return {
            each['name']: records.Account(
                each['name'], each['rate'], each['burst']
            )
            for each in self.configuration['accounts']
        }

    @property
    def services(self) -> dict[str, dict[str, Any]]:
        """Return the settings of each service by name."""
        return {each['name']: each for each in self.configuration['services']}

    def record_event(
        self, kind: str, subject: str, value: int = 0, text: str = ''
    ) -> None:
        """Record an event with the current wall time."""
        self.events.append(
            records.Event(kind, subject, self.clock.wall(), value, text)
        )

    async def start(self) -> None:
        """Start all processes and wait until they answer.

        Raises ``RuntimeError`` if a process ends or doesn't answer in time.
        """
        self._write_files()
        self._start_process(
            'platform', 'standins.platform', '--port', str(self.platform_port)
        )
        for name, links in self._links_by_process.items():
            path = self.folder / f'links-{name}.json'
            control = f'{ADDRESS}:{self._control_ports[name]}'
            document = {'control': control, 'links': links}
            path.write_text(json.dumps(document))
            self._start_process(f'links-{name}', 'standins.link', str(path))
        for target in self.targets:
            self._start_target(target)
        urls = [
            f'http://{ADDRESS}:{self.platform_port}/counters',
            *(f'{target.control_url}/state' for target in self.targets),
        ]
        for url in urls:
            await self._wait_until_answers(url)
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            url = f'http://{ADDRESS}:{host.caller_port}/v1/health'
            await self._wait_until_answers(url)

    def start_host(self, host: Host) -> None:
        """Start the process of a host; doesn't wait until it is ready."""
        self.record_event('started', host.host_id)
        path = str(self.folder / f'{host.host_id}.yaml')
        module = (
            'bench.baseline' if self.is_baseline else ('samphirestand.daemon')
        )
        self._start_process(host.host_id, module, path)

    async def stop_host(self, host: Host) -> None:
        """Stop a host by SIGTERM and wait until its process ends."""
        process = self.processes_by_name.pop(host.host_id)
        self.record_event('stop_asked', host.host_id)
        process.terminate()
        code = await self._wait_until_ended(process)
        self.record_event('stopped', host.host_id, code)

    async def kill(self, name: str) -> None:
        """Kill the process of a host or a target by SIGKILL."""
        process = self.processes_by_name.pop(name)
        self.record_event('fault', name, text='killed')
        process.kill()
        await self._wait_until_ended(process)

    async def stop(self) -> None:
        """Stop all processes by SIGTERM, hosts first."""
        host_ids = {host.host_id for host in self.hosts}
        host_processes = [
            process
            for name, process in self.processes_by_name.items()
            if name in host_ids
        ]
        other_processes = [
            process
            for name, process in self.processes_by_name.items()
            if name not in host_ids
        ]
        for processes in (host_processes, other_processes):
            for process in processes:
                process.terminate()
            await asyncio.gather(
                *(self._wait_until_ended(each) for each in processes)
            )
        self.processes_by_name.clear()

    async def set_link_fault(self, groups: list[str], **fault: Any) -> None:
        """Set a fault on all links of the named groups."""
        for port in self._control_ports.values():
            await post_json(
                f'http://{ADDRESS}:{port}/faults', {'groups': groups, **fault}
            )

    def zone_link_groups(self, zone: str) -> list[str]:
        """Return the groups of the links between a zone and other zones."""
        return [
            link_group(zone, other) for other in self.zones if other != zone
        ]

    async def find_primary(self, service: str) -> Target | None:
        """Return the running target that is primary in the highest term.

        None if no target of the service says that it is primary.
        """
        primaries: list[tuple[int, Target]] = []
        for target in self.targets:
            if target.service != service or (
                target.target_id not in self.processes_by_name
            ):
                continue
            state = await get_json(f'{target.control_url}/state')
            if state['role'] == 'primary':
                primaries.append((state['term'], target))
        return (
            max(primaries, key=lambda each: each[0])[1] if primaries else None
        )

    async def collect_evidence(
        self, calls: list[records.Call]
    ) -> records.Evidence:
        """Return ``calls`` and the records of the targets.

        Must be called before ``stop``, as the targets are asked for their
        logs.
        """
        log_entries_by_service = {}
        for service in self.services:
            target = await self.find_primary(service)
            if target is not None:
                document = await get_json(f'{target.control_url}/entries')
                log_entries_by_service[service] = document['entries']
        target_records_by_id = {}
        for target in self.targets:
            lines = self._record_path(target).read_text().splitlines()
            target_records_by_id[target.target_id] = [
                json.loads(line) for line in lines
            ]
        target_ids_by_service = collections.defaultdict(list)
        for target in self.targets:
            target_ids_by_service[target.service].append(target.target_id)
        return records.Evidence(
            calls=calls,
            records_by_server=target_records_by_id,
            entries_by_service=log_entries_by_service,
            events=self.events,
            accounts_by_name=self.accounts,
            servers_by_service=dict(target_ids_by_service),
            secrets=[
                part
                for key in self.keys_by_account.values()
                for part in (key, *key.split('.'))
            ],
            open_accounts_by_service={
                name: service['open_account']
                for name, service in self.services.items()
                if service.get('open_account')
            },
            primaries_by_service={
                target.service: target.target_id
                for target in self.targets
                if target.is_initial_primary
            },
        )

    def _allocate_port(self) -> int:
        # A process can't start on a port in use, and the callers would send
        # their load to the fleet that uses the port.
        self._next_port += 1
        if not _is_free(self._next_port):
            raise RuntimeError(f'port {self._next_port} is in use')
        return self._next_port

    def _make_targets(self) -> list[Target]:
        return [
            Target(
                target_id=target['target_id'],
                service=service['name'],
                zone=target['zone'],
                port=self._allocate_port(),
                is_initial_primary=index == 0,
            )
            for service in self.configuration['services']
            for index, target in enumerate(service['targets'])
        ]

    def _make_hosts(self) -> list[Host]:
        hosts = []
        for zone, count in zip(
            self.zones, self.standin_settings['hosts_per_zone'], strict=True
        ):
            for number in range(1, count + 1):
                hosts.append(
                    Host(
                        host_id=f'{zone.lower()}-{number}',
                        zone=zone,
                        caller_port=self._allocate_port(),
                        peer_port=self._allocate_port(),
                    )
                )
        return hosts

    def _make_address_translation(self, zone: str) -> dict[str, str]:
        endpoints = [
            *((target.port, target.zone) for target in self.targets),
            *((host.peer_port, host.zone) for host in self.hosts),
            (self.platform_port, PLATFORM),
        ]
        translation = {}
        for port, other_zone in endpoints:
            if other_zone == zone:
                continue
            delay_ms = self.standin_settings['zone_delay_ms']
            if other_zone == PLATFORM:
                delay_ms = PLATFORM_DELAY_MS
            listen_port = self._add_link(
                zone, link_group(zone, other_zone), port, delay_ms
            )
            translation[f'{ADDRESS}:{port}'] = f'{ADDRESS}:{listen_port}'
        return translation

    def _add_link(
        self, process: str, group: str, port: int, delay_ms: int
    ) -> int:
        if process not in self._control_ports:
            self._control_ports[process] = self._allocate_port()
        link_port = self._allocate_port()
        self._links_by_process[process].append(
            {
                'group': group,
                'listen': f'{ADDRESS}:{link_port}',
                'forward': f'{ADDRESS}:{port}',
                'delay_ms': delay_ms,
            }
        )
        return link_port

    def _make_key(self, account: str) -> str:
        secret = self._rng.randbytes(32).hex()
        return f'kid-{account}-1.{secret}'

    def _write_files(self) -> None:
        secret = self._rng.randbytes(32).hex()
        (self.folder / 'fleet-secret').write_text(secret + '\n')
        tokens = {
            'current': 1,
            'secrets': {1: self._rng.randbytes(32).hex()},
        }
        (self.folder / 'token-secrets').write_text(yaml.safe_dump(tokens))
        path = self.folder / 'bootstrap.yaml'
        path.write_text(yaml.safe_dump(self._bootstrap(), sort_keys=False))
        for host in self.hosts:
            settings = {
                **self.host_settings,
                'host_id': host.host_id,
                'zone': host.zone,
                'callers': {'address': ADDRESS, 'port': host.caller_port},
                'peers': {'address': ADDRESS, 'port': host.peer_port},
                'platform_url': f'http://{ADDRESS}:{self.platform_port}',
                'contacts': [
                    {
                        'host_id': each.host_id,
                        'zone': each.zone,
                        'peers': {
                            'address': ADDRESS,
                            'port': each.peer_port,
                        },
                    }
                    for each in self.hosts
                ],
                'address_translation': self._translations_by_zone[host.zone],
            }
            path = self.folder / f'{host.host_id}.yaml'
            path.write_text(yaml.safe_dump(settings, sort_keys=False))

    def _bootstrap(self) -> dict[str, Any]:
        targets_by_id = {each.target_id: each for each in self.targets}
        services = [
            {
                **service,
                'targets': [
                    {**each, 'url': targets_by_id[each['target_id']].url}
                    for each in service['targets']
                ],
            }
            for service in self.configuration['services']
        ]
        keys = []
        for account, key in self.keys_by_account.items():
            key_id, _, secret = key.partition('.')
            keys.append(
                {
                    'key_id': key_id,
                    'account': account,
                    'secret_sha256': hashlib.sha256(
                        secret.encode()
                    ).hexdigest(),
                    'role': OPERATOR if account == OPERATOR else 'caller',
                }
            )
        return {**self.configuration, 'services': services, 'keys': keys}

    def _record_path(self, target: Target) -> pathlib.Path:
        return self.folder / f'{target.target_id}.jsonl'

    def _start_target(self, target: Target) -> None:
        configured = next(
            each
            for service in self.configuration['services']
            for each in service['targets']
            if each['target_id'] == target.target_id
        )
        path = self._record_path(target)
        path.write_text('')
        options = {
            'server-id': target.target_id,
            'zone': target.zone,
            'port': target.port,
            'slots': configured['slots'],
            'max-connections': configured['connections'],
            'connect-delay-ms': self.standin_settings['connect_ms'],
            'statement-ms': self.standin_settings['statement_ms'],
            'lag-ms': self.standin_settings['lag_ms'],
            'record-file': path,
        }
        arguments = [f'--{name}={value}' for name, value in options.items()]
        translation = self._translations_by_zone[target.zone]
        for old, new in translation.items():
            arguments.append(f'--translate={old}={new}')
        if self.is_baseline:
            arguments.append('--no-lock')
        if target.is_initial_primary:
            arguments.append('--primary')
        else:
            primary = next(
                each
                for each in self.targets
                if each.service == target.service and each.is_initial_primary
            )
            arguments.append(f'--follow={primary.url}')
        self._start_process(target.target_id, 'standins.target', *arguments)

    def _start_process(self, name: str, module: str, *arguments: str) -> None:
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                cwd=EXAMPLES.parent,
            )

    async def _wait_until_ended(self, process: subprocess.Popen[bytes]) -> int:
        deadline_ms = self.clock.now() + STOP_TIMEOUT_S * 1_000
        while process.poll() is None:
            if self.clock.now() > deadline_ms:
                process.kill()
            await asyncio.sleep(0.02)
        return process.returncode

    async def _wait_until_answers(self, url: str) -> None:
        deadline_ms = self.clock.now() + START_TIMEOUT_S * 1_000
        while True:
            for name, process in self.processes_by_name.items():
                if process.poll() is not None:
                    raise RuntimeError(
                        f'process {name} ended, see {self.folder}'
                    )
            try:
                await get_json(url)
                return
            except (OSError, httpclient.HTTPClientError) as error:
                if self.clock.now() > deadline_ms:
                    raise RuntimeError(
                        f'no answer from {url}: {error}'
                    ) from error
            await asyncio.sleep(0.1)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def _find_free_range() -> int:
    """Return the first port of a range of free ports.

    The search starts at a range chosen by the process id, so that two benches
    on one machine choose different ranges.
    """
    ranges = (LAST_PORT - FIRST_PORT) // PORTS_PER_FLEET
    for attempt in range(ranges):
        start = FIRST_PORT + (os.getpid() + attempt) % ranges * PORTS_PER_FLEET
        if all(
            _is_free(port) for port in range(start, start + PORTS_PER_FLEET)
        ):
            return start
    raise RuntimeError('no range of free ports')


async def get_json(url: str) -> dict[str, Any]:
    """Fetch a JSON document by GET."""
    response = await httpclient.AsyncHTTPClient().fetch(url)
    return json.loads(response.body)


async def post_json(url: str, body: dict[str, Any]) -> dict[str, Any]:
    """Post a JSON document and return the answer."""
    response = await httpclient.AsyncHTTPClient().fetch(
        url, method='POST', body=json.dumps(body)
    )
    return json.loads(response.body)


def link_group(first: str, second: str) -> str:
    """Return the group of the links between two zones.

    ``PLATFORM`` may stand for one of them.
    """
    return '~'.join(sorted((first, second)))
