"""Tests of a fleet of three hosts and the stand-ins, run as processes."""

import contextlib
import json
import pathlib
import random
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from examples import prepare

START_LIMIT_S = 60
STOP_LIMIT_S = 70
FIRST_PORT = 7_000
LAST_PORT = 7_400


class Fleet:
    """Three hosts on loopback addresses, numbered from 0."""

    def __init__(self, folder, offset):
        self.folder = folder
        self.offset = offset
        self.processes = []

    def start_process(self, line, number):
        with (self.folder / f'{number}.log').open('a') as file:
            return subprocess.Popen(
                [sys.executable, '-m', *line.split()],
                cwd=pathlib.Path(__file__).parent.parent,
                stderr=file,
                stdout=file,
            )

    def set_platform_outage(self, outage):
        """Start an outage of the platform; an empty ``outage`` ends it."""
        request = urllib.request.Request(
            f'http://127.0.0.1:{FIRST_PORT + self.offset}/faults',
            json.dumps({'outage': outage}).encode(),
        )
        urllib.request.urlopen(request, timeout=30).close()

    def read_key(self, name):
        return (self.folder / f'{name}.key').read_text().strip()

    def url(self, host):
        return f'http://127.0.0.1:{7_101 + self.offset + host}'

    def send_request(self, host, path, body=None, key='stress-office'):
        """Send a request to a host and return the JSON of its answer."""
        request = urllib.request.Request(
            f'{self.url(host)}/v1/{path}',
            None if body is None else json.dumps(body).encode(),
            {'Authorization': f'Bearer {self.read_key(key)}'},
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return json.load(answer)
        except urllib.error.HTTPError as error:
            return json.load(error)

    def run_statement(self, host, statement, mode, **fields):
        body = {
            'service': 'load-cases',
            'statement': statement,
            'mode': mode,
            'request_id': f'{statement}-{host}'.replace(' ', '-'),
            'deadline_ms': 20_000,
        }
        return self.send_request(host, 'statements', body | fields)

    def run_command(self, *words):
        """Run the command-line tool and return its exit code and output."""
        done = subprocess.run(
            [
                *(sys.executable, '-m', 'samphirestand.cmdline'),
                *('--host', self.url(1), '--format', 'json'),
                *('--key-file', str(self.folder / 'operator.key')),
                *words,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    def wait_until(self, condition):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                if condition():
                    return
            time.sleep(0.1)
        pytest.fail('the condition did not come true')


def find_free_port_offset():
    """Return an offset at which all ports of the example are free."""
    rng = random.Random()
    while True:
        offset = rng.randrange(1_000, 20_000, 500)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(FIRST_PORT, LAST_PORT):
                bound_socket = stack.enter_context(socket.socket())
                bound_socket.bind(('127.0.0.1', port + offset))
            return offset


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp('fleet')
    new_fleet = Fleet(folder, find_free_port_offset())
    prepare.write(prepare.load('bagmati', new_fleet.offset), 1, folder)
    for line in (folder / 'processes').read_text().splitlines():
        new_fleet.processes.append(
            new_fleet.start_process(line, len(new_fleet.processes))
        )
    try:
        for host in range(3):
            new_fleet.wait_until(
                lambda number=host: new_fleet.send_request(number, 'health')
            )
        yield new_fleet
    finally:
        for process in reversed(new_fleet.processes):
            process.terminate()
        for process in new_fleet.processes:
            process.wait(STOP_LIMIT_S)


def test_session_continues_on_other_hosts(fleet):
    """Guards against a read elsewhere that misses the session's write."""
    written = fleet.run_statement(0, 'SET roaming yes', 'write')
    assert written['outcome'] == 'done', written
    for host in (1, 2):
        read = fleet.run_statement(
            host,
            'GET roaming',
            'read',
            session=written['session'],
            max_age_ms=10_000,
        )
        assert read['rows'] == [['roaming', 'yes']], read


def test_transaction_continues_on_other_hosts(fleet):
    """Guards against transactions bound to the host that began them."""
    body = {'service': 'load-cases', 'request_id': 'roam-begin'}
    begun = fleet.send_request(0, 'transactions', body)
    name = begun['transaction']
    ran = fleet.run_statement(1, 'SET moved yes', 'write', transaction=name)
    assert ran['outcome'] == 'done', ran
    path = f'transactions/{name}/commit'
    done = fleet.send_request(2, path, {'request_id': 'roam-commit'})
    assert done['outcome'] == 'done', done
    read = fleet.run_statement(0, 'GET moved', 'read')
    assert read['rows'] == [['moved', 'yes']], read


def test_a_repeated_request_runs_once(fleet):
    """Guards against a retry on another host that runs the request again."""
    for host, replayed in ((0, False), (2, True)):
        done = fleet.run_statement(
            host, 'ADD sum 1', 'write', request_id='once'
        )
        assert done['replayed'] is replayed, done
    assert fleet.run_statement(1, 'GET sum', 'read')['rows'] == [['sum', '1']]


def test_withdrawn_key_is_refused_by_every_host(fleet):
    """Guards against hosts that still accept a withdrawn key."""
    code, output = fleet.run_command('WITHDRAW KEY archive')
    assert code == 0, output

    def is_refused():
        codes = {
            fleet.send_request(
                host,
                'statements',
                {
                    'service': 'load-cases',
                    'statement': 'GET x',
                    'mode': 'read',
                    'request_id': 'withdrawn',
                },
                key='archive',
            ).get('code')
            for host in range(3)
        }
        return codes == {'key_withdrawn'}

    fleet.wait_until(is_refused)


def test_a_host_starts_while_the_platform_is_down(fleet):
    """Guards against hosts that can't be replaced during an outage."""
    fleet.processes[-1].kill()
    fleet.processes[-1].wait(STOP_LIMIT_S)
    fleet.set_platform_outage('error')
    lines = (fleet.folder / 'processes').read_text().splitlines()
    fleet.processes[-1] = fleet.start_process(lines[-1], len(lines) - 1)
    fleet.wait_until(
        lambda: fleet.send_request(2, 'health')['status'] == 'ready'
    )
    done = fleet.run_statement(2, 'SET outage yes', 'write')
    assert done['outcome'] == 'done', done
    fleet.set_platform_outage('')


def test_planned_stop_fails_no_request(fleet):
    """Guards against a stop that fails requests or exits with an error."""
    process = fleet.processes[-1]
    process.terminate()
    for number in range(20):
        done = fleet.run_statement(
            number % 2, f'SET stop-{number} yes', 'write'
        )
        assert done['outcome'] == 'done', done
    assert process.wait(STOP_LIMIT_S) == 0
