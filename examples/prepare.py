"""Writes the settings and the process list of a fleet on loopback."""

import argparse
import dataclasses
import hashlib
import os
import pathlib
import secrets
from typing import Any
import urllib.parse

import yaml

EXAMPLES_DIRECTORY = pathlib.Path(__file__).resolve().parent
SECRET_BYTES = 32


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The contents of the three YAML files of an example deployment."""

    host: dict[str, Any]
    configuration: dict[str, Any]
    standins: dict[str, Any]

    @property
    def zones(self) -> list[str]:
        return self.host['zones']


def load(name: str, port_offset: int = 0) -> Deployment:
    """Read the example deployment ``name``; add an offset to its ports."""
    directory = EXAMPLES_DIRECTORY / name
    deployment = Deployment(
        *(
            yaml.safe_load((directory / f'{part}.yaml').read_text())
            for part in ('host', 'configuration', 'standins')
        )
    )
    deployment.host['platform_url'] = _shift_port(
        deployment.host['platform_url'], port_offset
    )
    for part in ('callers', 'peers'):
        deployment.host[part]['port'] += port_offset
    for service in deployment.configuration['services']:
        for target in service['targets']:
            target['url'] = _shift_port(target['url'], port_offset)
    return deployment


def _shift_port(url: str, offset: int) -> str:
    split_url = urllib.parse.urlsplit(url)
    port = (split_url.port or 0) + offset
    return split_url._replace(netloc=f'{split_url.hostname}:{port}').geturl()


def _url_port(url: str) -> int:
    return urllib.parse.urlsplit(url).port or 0


def write(
    deployment: Deployment, hosts_per_zone: int, output: pathlib.Path
) -> None:
    """Write secrets, keys and settings to ``output``.

    Also writes ``processes``, the list of modules to start with their
    arguments.
    """
    output.mkdir(parents=True, exist_ok=True)
    _write_secret(output / 'fleet-secret', secrets.token_urlsafe())
    token_secrets = {'current': 1, 'secrets': {1: secrets.token_urlsafe()}}
    _write_secret(output / 'token-secrets', yaml.safe_dump(token_secrets))
    _write_bootstrap(deployment, output)

    # The number of a host, counted over all zones, is added to the ports for
    # its callers and its peers.
    hosts = [
        (f'{zone.lower()}-{index + 1}', zone)
        for zone in deployment.zones
        for index in range(hosts_per_zone)
    ]
    contacts = [
        {
            'host_id': host_id,
            'zone': zone,
            'peers': _offset_port(deployment.host['peers'], number),
        }
        for number, (host_id, zone) in enumerate(hosts)
    ]
    platform_port = _url_port(deployment.host['platform_url'])
    commands = [f'standins.platform --port {platform_port}']
    commands += _target_commands(deployment)
    for number, (host_id, zone) in enumerate(hosts):
        settings = deployment.host | {
            'host_id': host_id,
            'zone': zone,
            'callers': _offset_port(deployment.host['callers'], number),
            'peers': _offset_port(deployment.host['peers'], number),
            'contacts': contacts,
        }
        path = output / f'{host_id}.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        commands.append(f'samphirestand.daemon {path}')
    (output / 'processes').write_text('\n'.join(commands) + '\n')


def _offset_port(endpoint: dict[str, Any], number: int) -> dict[str, Any]:
    return endpoint | {'port': endpoint['port'] + number}


def _write_bootstrap(deployment: Deployment, output: pathlib.Path) -> None:
    keys = [_create_key(output, 'operator', 'operator', 'operator')]
    for account in deployment.configuration['accounts']:
        keys.append(_create_key(output, account['name'], account['name']))
    bootstrap = deployment.configuration | {'keys': keys}
    path = output / 'bootstrap.yaml'
    path.write_text(yaml.safe_dump(bootstrap, sort_keys=False))


def _create_key(
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


def _target_commands(deployment: Deployment) -> list[str]:
    commands = []
    for service in deployment.configuration['services']:
        # The first target of a service starts as its primary.
        primary, *replicas = service['targets']
        command = _target_command(primary, deployment.standins)
        commands.append(f'{command} --primary')
        for replica in replicas:
            command = _target_command(replica, deployment.standins)
            commands.append(f'{command} --follow {primary["url"]}')
    return commands


def _target_command(target: dict[str, Any], timings: dict[str, Any]) -> str:
    return (
        f'standins.target --server-id {target["target_id"]}'
        f' --zone {target["zone"]}'
        f' --port {_url_port(target["url"])}'
        f' --slots {target["slots"]}'
        f' --max-connections {target["connections"]}'
        f' --connect-delay-ms {timings["connect_ms"]}'
        f' --statement-ms {timings["statement_ms"]}'
        f' --lag-ms {timings["lag_ms"]}'
    )


def main() -> None:
    """Write the files of the deployment named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('deployment', choices=['bagmati', 'feldwacht'])
    parser.add_argument('--hosts-per-zone', type=int, default=1)
    parser.add_argument(
        '--output', type=pathlib.Path, default=pathlib.Path('run')
    )
    parser.add_argument('--port-offset', type=int, default=0)
    arguments = parser.parse_args()
    deployment = load(arguments.deployment, arguments.port_offset)
    write(deployment, arguments.hosts_per_zone, arguments.output)


if __name__ == '__main__':
    main()
