"""Starts and stops the processes of a fleet with links between zones."""

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
START_LIMIT_S = 60
# Below the ports that the system gives to outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS = 200
STOP_LIMIT_S = 75


@dataclasses.dataclass(frozen=True)
class Host:
    """An entry host."""

    host_id: str
    zone: str
    caller_port: int
    peer_port: int


@dataclasses.dataclass(frozen=True)
class Target:
    """A database server."""

    target_id: str
    service: str
    zone: str
    port: int
    is_first_primary: bool

    @property
    def url(self) -> str:
        return f'ws://{ADDRESS}:{self.port}/session'

    @property
    def control_url(self) -> str:
        return f'http://{ADDRESS}:{self.port}'


class Fleet:
    """The processes of one run, and the ports between them.

    ``scale`` multiplies the rates and bursts of all accounts. With
    ``is_baseline`` the hosts run the plain proxy of this package.
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
        read = {
            part: yaml.safe_load(
                (EXAMPLES / deployment / f'{part}.yaml').read_text()
            )
            for part in ('host', 'configuration', 'standins')
        }
        self.host_settings: dict[str, Any] = read['host']
        self.figures: dict[str, Any] = read['standins']
        self.configuration: dict[str, Any] = read['configuration']
        self.zones: list[str] = self.host_settings['zones']
        self.folder = folder
        self.is_baseline = is_baseline
        self.clock = clock_module.SystemClock()
        self.events: list[records.Event] = []
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._rng = random.Random(seed)
        self._next_port = base_port or _free_range()
        self._links_by_process: dict[str, list[dict[str, Any]]] = (
            collections.defaultdict(list)
        )
        self._control_ports: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

        for account in self.configuration['accounts']:
            for field in ('rate', 'burst'):
                account[field] = max(1, round(account[field] * scale))
        self.platform_port = self._port()
        self.targets = self._make_targets()
        self.hosts = self._make_hosts()
        self._translations_by_zone = {
            zone: self._make_translation(zone) for zone in self.zones
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
        """Return the entitlement of each account."""
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

    def note(
        self, kind: str, subject: str, value: int = 0, text: str = ''
    ) -> None:
        """Record an event now."""
        self.events.append(
            records.Event(kind, subject, self.clock.wall(), value, text)
        )

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        self._write_files()
        self._start(
            'platform', 'standins.platform', '--port', str(self.platform_port)
        )
        for name, links in self._links_by_process.items():
            path = self.folder / f'links-{name}.json'
            control = f'{ADDRESS}:{self._control_ports[name]}'
            document = {'control': control, 'links': links}
            path.write_text(json.dumps(document))
            self._start(f'links-{name}', 'standins.link', str(path))
        for target in self.targets:
            self._start_target(target)
        waits = [
            f'http://{ADDRESS}:{self.platform_port}/counters',
            *(f'{target.control_url}/state' for target in self.targets),
        ]
        for url in waits:
            await self._until_answers(url)
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            url = f'http://{ADDRESS}:{host.caller_port}/v1/health'
            await self._until_answers(url)

    def start_host(self, host: Host) -> None:
        """Start one host."""
        self.note('started', host.host_id)
        path = str(self.folder / f'{host.host_id}.yaml')
        module = (
            'bench.baseline' if self.is_baseline else ('samphirestand.daemon')
        )
        self._start(host.host_id, module, path)

    async def stop_host(self, host: Host) -> None:
        """Stop one host as planned and wait for its end."""
        process = self.processes_by_name.pop(host.host_id)
        self.note('stop_asked', host.host_id)
        process.terminate()
        code = await self._ended(process)
        self.note('stopped', host.host_id, code)

    async def kill(self, name: str) -> None:
        """Kill the process of a host or a target at once."""
        process = self.processes_by_name.pop(name)
        self.note('fault', name, text='killed')
        process.kill()
        await self._ended(process)

    async def stop(self) -> None:
        """Stop all processes, hosts first."""
        host_ids = {host.host_id for host in self.hosts}
        first = [
            process
            for name, process in self.processes_by_name.items()
            if name in host_ids
        ]
        rest = [
            process
            for name, process in self.processes_by_name.items()
            if name not in host_ids
        ]
        for group in (first, rest):
            for process in group:
                process.terminate()
            await asyncio.gather(*(self._ended(each) for each in group))
        self.processes_by_name.clear()

    async def set_links(self, groups: list[str], **fault: Any) -> None:
        """Set a fault of all links of the named groups."""
        for port in self._control_ports.values():
            await post(
                f'http://{ADDRESS}:{port}/faults', {'groups': groups, **fault}
            )

    def groups_of_zone(self, zone: str) -> list[str]:
        """Return the link groups between a zone and the others."""
        return [pair(zone, other) for other in self.zones if other != zone]

    async def primary(self, service: str) -> Target | None:
        """Return the primary of the highest term that answers."""
        found: list[tuple[int, Target]] = []
        for target in self.targets:
            if target.service != service or (
                target.target_id not in self.processes_by_name
            ):
                continue
            state = await get(f'{target.control_url}/state')
            if state['role'] == 'primary':
                found.append((state['term'], target))
        return max(found, key=lambda each: each[0])[1] if found else None

    async def evidence(self, calls: list[records.Call]) -> records.Evidence:
        """Collect what the targets saw; call it before ``stop``."""
        entries = {}
        for service in self.services:
            target = await self.primary(service)
            if target is not None:
                document = await get(f'{target.control_url}/entries')
                entries[service] = document['entries']
        seen = {}
        for target in self.targets:
            lines = self._record_file(target).read_text().splitlines()
            seen[target.target_id] = [json.loads(line) for line in lines]
        servers = collections.defaultdict(list)
        for target in self.targets:
            servers[target.service].append(target.target_id)
        return records.Evidence(
            calls=calls,
            records_by_server=seen,
            entries_by_service=entries,
            events=self.events,
            accounts_by_name=self.accounts,
            servers_by_service=dict(servers),
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
                if target.is_first_primary
            },
        )

    def _port(self) -> int:
        # Processes on a port in use would end, and the load would reach
        # another fleet.
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
                port=self._port(),
                is_first_primary=index == 0,
            )
            for service in self.configuration['services']
            for index, target in enumerate(service['targets'])
        ]

    def _make_hosts(self) -> list[Host]:
        hosts = []
        for zone, count in zip(
            self.zones, self.figures['hosts_per_zone'], strict=True
        ):
            for number in range(1, count + 1):
                hosts.append(
                    Host(
                        host_id=f'{zone.lower()}-{number}',
                        zone=zone,
                        caller_port=self._port(),
                        peer_port=self._port(),
                    )
                )
        return hosts

    def _make_translation(self, zone: str) -> dict[str, str]:
        places = [
            *((target.port, target.zone) for target in self.targets),
            *((host.peer_port, host.zone) for host in self.hosts),
            (self.platform_port, PLATFORM),
        ]
        translation = {}
        for port, place in places:
            if place == zone:
                continue
            delay = self.figures['zone_delay_ms']
            if place == PLATFORM:
                delay = PLATFORM_DELAY_MS
            link = self._link(zone, pair(zone, place), port, delay)
            translation[f'{ADDRESS}:{port}'] = f'{ADDRESS}:{link}'
        return translation

    def _link(self, process: str, group: str, port: int, delay: int) -> int:
        if process not in self._control_ports:
            self._control_ports[process] = self._port()
        link_port = self._port()
        self._links_by_process[process].append(
            {
                'group': group,
                'listen': f'{ADDRESS}:{link_port}',
                'forward': f'{ADDRESS}:{port}',
                'delay_ms': delay,
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

    def _record_file(self, target: Target) -> pathlib.Path:
        return self.folder / f'{target.target_id}.jsonl'

    def _start_target(self, target: Target) -> None:
        configured = next(
            each
            for service in self.configuration['services']
            for each in service['targets']
            if each['target_id'] == target.target_id
        )
        path = self._record_file(target)
        path.write_text('')
        options = {
            'server-id': target.target_id,
            'zone': target.zone,
            'port': target.port,
            'slots': configured['slots'],
            'max-connections': configured['connections'],
            'connect-delay-ms': self.figures['connect_ms'],
            'statement-ms': self.figures['statement_ms'],
            'lag-ms': self.figures['lag_ms'],
            'record-file': path,
        }
        arguments = [f'--{name}={value}' for name, value in options.items()]
        translation = self._translations_by_zone[target.zone]
        for old, new in translation.items():
            arguments.append(f'--translate={old}={new}')
        if self.is_baseline:
            arguments.append('--no-lock')
        if target.is_first_primary:
            arguments.append('--primary')
        else:
            primary = next(
                each
                for each in self.targets
                if each.service == target.service and each.is_first_primary
            )
            arguments.append(f'--follow={primary.url}')
        self._start(target.target_id, 'standins.target', *arguments)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                cwd=EXAMPLES.parent,
            )

    async def _ended(self, process: subprocess.Popen[bytes]) -> int:
        end = self.clock.now() + STOP_LIMIT_S * 1_000
        while process.poll() is None:
            if self.clock.now() > end:
                process.kill()
            await asyncio.sleep(0.02)
        return process.returncode

    async def _until_answers(self, url: str) -> None:
        end = self.clock.now() + START_LIMIT_S * 1_000
        while True:
            for name, process in self.processes_by_name.items():
                if process.poll() is not None:
                    raise RuntimeError(f'{name} ended, see {self.folder}')
            try:
                await get(url)
                return
            except (OSError, httpclient.HTTPClientError) as error:
                if self.clock.now() > end:
                    raise RuntimeError(f'{url}: {error}') from error
            await asyncio.sleep(0.1)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def _free_range() -> int:
    """Return the start of a range of free ports.

    The process id makes two benches on one machine choose different ones.
    """
    ranges = (LAST_PORT - FIRST_PORT) // PORTS
    for attempt in range(ranges):
        start = FIRST_PORT + (os.getpid() + attempt) % ranges * PORTS
        if all(_is_free(port) for port in range(start, start + PORTS)):
            return start
    raise RuntimeError('no free range of ports')


async def get(url: str) -> dict[str, Any]:
    """Fetch a JSON document."""
    response = await httpclient.AsyncHTTPClient().fetch(url)
    return json.loads(response.body)


async def post(url: str, body: dict[str, Any]) -> dict[str, Any]:
    """Post a JSON document and return the answer."""
    response = await httpclient.AsyncHTTPClient().fetch(
        url, method='POST', body=json.dumps(body)
    )
    return json.loads(response.body)


def pair(first: str, second: str) -> str:
    """Return the name of the links between two places."""
    return '~'.join(sorted((first, second)))
