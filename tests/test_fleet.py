"""Tests of a whole fleet: three hosts and the stand-ins as processes."""

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
    """Three hosts on loopback; hosts are named by number."""

    def __init__(self, folder, offset):
        self.folder = folder
        self.offset = offset
        self.processes = []

    def start(self, line, number):
        with (self.folder / f'{number}.log').open('a') as file:
            return subprocess.Popen(
                [sys.executable, '-m', *line.split()],
                cwd=pathlib.Path(__file__).parent.parent,
                stderr=file,
                stdout=file,
            )

    def fail_platform(self, outage):
        """Set or end an outage of the platform."""
        request = urllib.request.Request(
            f'http://127.0.0.1:{FIRST_PORT + self.offset}/faults',
            json.dumps({'outage': outage}).encode(),
        )
        urllib.request.urlopen(request, timeout=30).close()

    def key(self, name):
        return (self.folder / f'{name}.key').read_text().strip()

    def url(self, host):
        return f'http://127.0.0.1:{7_101 + self.offset + host}'

    def call(self, host, path, body=None, key='stress-office'):
        """Return the document that a host answered."""
        request = urllib.request.Request(
            f'{self.url(host)}/v1/{path}',
            None if body is None else json.dumps(body).encode(),
            {'Authorization': f'Bearer {self.key(key)}'},
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return json.load(answer)
        except urllib.error.HTTPError as error:
            return json.load(error)

    def statement(self, host, statement, mode, **fields):
        body = {
            'service': 'load-cases',
            'statement': statement,
            'mode': mode,
            'request_id': f'{statement}-{host}'.replace(' ', '-'),
            'deadline_ms': 20_000,
        }
        return self.call(host, 'statements', body | fields)

    def command(self, *words):
        """Run the command-line tool; return its exit code and output."""
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

    def until(self, condition):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                if condition():
                    return
            time.sleep(0.1)
        pytest.fail('the condition did not come true')


def free_offset():
    """Return an offset at which the ports of the example are free."""
    rng = random.Random()
    while True:
        offset = rng.randrange(1_000, 20_000, 500)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(FIRST_PORT, LAST_PORT):
                taken = stack.enter_context(socket.socket())
                taken.bind(('127.0.0.1', port + offset))
            return offset


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp('fleet')
    found = Fleet(folder, free_offset())
    prepare.write(prepare.load('bagmati', found.offset), 1, folder)
    for line in (folder / 'processes').read_text().splitlines():
        found.processes.append(found.start(line, len(found.processes)))
    try:
        for host in range(3):
            found.until(lambda number=host: found.call(number, 'health'))
        yield found
    finally:
        for process in reversed(found.processes):
            process.terminate()
        for process in found.processes:
            process.wait(STOP_LIMIT_S)


def test_a_session_roams(fleet):
    """Guards against a read elsewhere that misses the session's write."""
    written = fleet.statement(0, 'SET roaming yes', 'write')
    assert written['outcome'] == 'done', written
    for host in (1, 2):
        read = fleet.statement(
            host,
            'GET roaming',
            'read',
            session=written['session'],
            max_age_ms=10_000,
        )
        assert read['rows'] == [['roaming', 'yes']], read


def test_a_transaction_roams(fleet):
    """Guards against transactions that only their first host can go on."""
    body = {'service': 'load-cases', 'request_id': 'roam-begin'}
    begun = fleet.call(0, 'transactions', body)
    name = begun['transaction']
    ran = fleet.statement(1, 'SET moved yes', 'write', transaction=name)
    assert ran['outcome'] == 'done', ran
    path = f'transactions/{name}/commit'
    done = fleet.call(2, path, {'request_id': 'roam-commit'})
    assert done['outcome'] == 'done', done
    read = fleet.statement(0, 'GET moved', 'read')
    assert read['rows'] == [['moved', 'yes']], read


def test_a_repeated_request_runs_once(fleet):
    """Guards against a caller's retry at another host that runs again."""
    for host, replayed in ((0, False), (2, True)):
        done = fleet.statement(host, 'ADD sum 1', 'write', request_id='once')
        assert done['replayed'] is replayed, done
    assert fleet.statement(1, 'GET sum', 'read')['rows'] == [['sum', '1']]


def test_a_withdrawn_key_stops_on_every_host(fleet):
    """Guards against hosts that go on with a key that was withdrawn."""
    code, output = fleet.command('WITHDRAW KEY archive')
    assert code == 0, output

    def is_refused():
        codes = {
            fleet.call(
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

    fleet.until(is_refused)


def test_a_host_starts_while_the_platform_is_down(fleet):
    """Guards against hosts that can't be replaced during an outage."""
    fleet.processes[-1].kill()
    fleet.processes[-1].wait(STOP_LIMIT_S)
    fleet.fail_platform('error')
    lines = (fleet.folder / 'processes').read_text().splitlines()
    fleet.processes[-1] = fleet.start(lines[-1], len(lines) - 1)
    fleet.until(lambda: fleet.call(2, 'health')['status'] == 'ready')
    done = fleet.statement(2, 'SET outage yes', 'write')
    assert done['outcome'] == 'done', done
    fleet.fail_platform('')


def test_a_planned_stop_hands_over(fleet):
    """Guards against a stop that fails requests or ends with an error."""
    process = fleet.processes[-1]
    process.terminate()
    for number in range(20):
        done = fleet.statement(number % 2, f'SET stop-{number} yes', 'write')
        assert done['outcome'] == 'done', done
    assert process.wait(STOP_LIMIT_S) == 0
