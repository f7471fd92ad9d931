"""Writes the files and the process list for a fleet on loopback."""

import argparse
import dataclasses
import hashlib
import os
import pathlib
import secrets
from typing import Any
import urllib.parse

import yaml

EXAMPLES = pathlib.Path(__file__).resolve().parent
SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True)
class Fleet:
    """An example deployment as its three files describe it."""

    host: dict[str, Any]
    configuration: dict[str, Any]
    standins: dict[str, Any]

    @property
    def zones(self) -> list[str]:
        return self.host['zones']


def load(name: str, port_offset: int = 0) -> Fleet:
    """Read the example deployment ``name`` and shift all its ports."""
    folder = EXAMPLES / name
    fleet = Fleet(
        *(
            yaml.safe_load((folder / f'{part}.yaml').read_text())
            for part in ('host', 'configuration', 'standins')
        )
    )
    fleet.host['platform_url'] = _shifted(
        fleet.host['platform_url'], port_offset
    )
    for part in ('callers', 'peers'):
        fleet.host[part]['port'] += port_offset
    for service in fleet.configuration['services']:
        for target in service['targets']:
            target['url'] = _shifted(target['url'], port_offset)
    return fleet


def _shifted(url: str, offset: int) -> str:
    parts = urllib.parse.urlsplit(url)
    port = (parts.port or 0) + offset
    return parts._replace(netloc=f'{parts.hostname}:{port}').geturl()


def _port(url: str) -> int:
    return urllib.parse.urlsplit(url).port or 0


def write(fleet: Fleet, hosts_per_zone: int, output: pathlib.Path) -> None:
    """Write secrets, keys, settings and ``processes`` to ``output``."""
    output.mkdir(parents=True, exist_ok=True)
    _write_secret(output / 'fleet-secret', secrets.token_urlsafe())
    token_secrets = {'current': 1, 'secrets': {1: secrets.token_urlsafe()}}
    _write_secret(output / 'token-secrets', yaml.safe_dump(token_secrets))
    _write_bootstrap(fleet, output)

    # Hosts are numbered over all zones; each has two ports.
    places = [
        (f'{zone.lower()}-{index + 1}', zone)
        for zone in fleet.zones
        for index in range(hosts_per_zone)
    ]
    contacts = [
        {
            'host_id': host_id,
            'zone': zone,
            'peers': _next(fleet.host['peers'], number),
        }
        for number, (host_id, zone) in enumerate(places)
    ]
    platform_port = _port(fleet.host['platform_url'])
    commands = [f'standins.platform --port {platform_port}']
    commands += _target_commands(fleet)
    for number, (host_id, zone) in enumerate(places):
        settings = fleet.host | {
            'host_id': host_id,
            'zone': zone,
            'callers': _next(fleet.host['callers'], number),
            'peers': _next(fleet.host['peers'], number),
            'contacts': contacts,
        }
        path = output / f'{host_id}.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        commands.append(f'samphirestand.daemon {path}')
    (output / 'processes').write_text('\n'.join(commands) + '\n')


def _next(endpoint: dict[str, Any], number: int) -> dict[str, Any]:
    return endpoint | {'port': endpoint['port'] + number}


def _write_bootstrap(fleet: Fleet, output: pathlib.Path) -> None:
    keys = [_new_key(output, 'operator', 'operator', 'operator')]
    for account in fleet.configuration['accounts']:
        keys.append(_new_key(output, account['name'], account['name']))
    bootstrap = fleet.configuration | {'keys': keys}
    path = output / 'bootstrap.yaml'
    path.write_text(yaml.safe_dump(bootstrap, sort_keys=False))


def _new_key(
    output: pathlib.Path, name: str, account: str, role: str = 'caller'
) -> dict[str, str]:
    secret = secrets.token_urlsafe(SECRET_BYTES)
    _write_secret(output / f'{name}.key', f'{name}.{secret}')
    return {
        'key_id': name,
        'account': account,
        'secret_sha256': hashlib.sha256(secret.encode()).hexdigest(),
        'role': role,
    }


def _write_secret(path: pathlib.Path, text: str) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(descriptor, 'w') as file:
        file.write(text + '\n')


def _target_commands(fleet: Fleet) -> list[str]:
    commands = []
    for service in fleet.configuration['services']:
        # The first target of each service starts as its primary.
        primary, *replicas = service['targets']
        command = _target_command(primary, fleet.standins)
        commands.append(f'{command} --primary')
        for replica in replicas:
            command = _target_command(replica, fleet.standins)
            commands.append(f'{command} --follow {primary["url"]}')
    return commands


def _target_command(target: dict[str, Any], figures: dict[str, Any]) -> str:
    return (
        f'standins.target --server-id {target["target_id"]}'
        f' --zone {target["zone"]}'
        f' --port {_port(target["url"])}'
        f' --slots {target["slots"]}'
        f' --max-connections {target["connections"]}'
        f' --connect-delay-ms {figures["connect_ms"]}'
        f' --statement-ms {figures["statement_ms"]}'
        f' --lag-ms {figures["lag_ms"]}'
    )


def main() -> None:
    """Write the files for the deployment named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('deployment', choices=['bagmati', 'feldwacht'])
    parser.add_argument('--hosts-per-zone', type=int, default=1)
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('run')
    )
    parser.add_argument('--port-offset', type=int, default=0)
    arguments = parser.parse_args()
    fleet = load(arguments.deployment, arguments.port_offset)
    write(fleet, arguments.hosts_per_zone, arguments.output)


if __name__ == '__main__':
    main()
