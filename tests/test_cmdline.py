"""Tests of the command-line tool `samphirestand`."""

import datetime
import http.server
import ipaddress
import json
import ssl
import threading

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import pytest
import yaml

from samphirestand import cmdline
from samphirestand.operators import language
from tests import processes
from tests import test_config

DONE = {'outcome': 'done', 'rows': [{'a': 1, 'b': True}], 'notes': ['n']}


class FakeHost(http.server.ThreadingHTTPServer):
    """A host with a list of answers; ``None`` closes the connection."""

    def __init__(self, answers):
        super().__init__(('127.0.0.1', 0), CommandHandler)
        self.answers = list(answers)
        self.commands = []
        self.keys = []
        self.url = f'http://127.0.0.1:{self.server_address[1]}'


class CommandHandler(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        length = int(self.headers['Content-Length'])
        body = json.loads(self.rfile.read(length))
        self.server.commands.append(body['command'])
        self.server.keys.append(self.headers['Authorization'])
        answer = self.server.answers.pop(0)
        if answer is None:
            return
        content = answer if isinstance(answer, bytes) else json.dumps(answer)
        self.send_response(200)
        self.end_headers()
        self.wfile.write(
            content if isinstance(content, bytes) else content.encode()
        )

    def log_message(self, *arguments):
        pass


@pytest.fixture
def start_host(request):
    """Return a function that starts hosts; they stop after the test."""

    def start_one(*answers, context=None):
        host = FakeHost(answers)
        if context is not None:
            host.socket = context.wrap_socket(host.socket, server_side=True)
            host.url = host.url.replace('http', 'https')
        threading.Thread(target=host.serve_forever, args=(0.01,)).start()
        request.addfinalizer(host.server_close)
        request.addfinalizer(host.shutdown)
        return host

    return start_one


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / 'key'
    path.write_text('id.secret\n')
    return str(path)


def unreachable_url():
    return f'http://127.0.0.1:{processes.free_ports(1)[0]}'


# Answer of the host, command, exit code.
EXIT_CODES = [
    (DONE, 'SHOW HOSTS', 0),
    ({'outcome': 'accepted', 'version': 1}, 'SET RATE SLOTS 1', 0),
    ({'outcome': 'refused', 'code': 'c'}, 'SET RATE SLOTS 1', 1),
    ({'outcome': 'conflict', 'code': 'c'}, 'SET RATE SLOTS 1', 1),
    ({'outcome': 'not_run', 'code': 'key_unknown'}, 'SHOW HOSTS', 1),
    ({'outcome': 'unknown', 'code': 'c'}, 'SET RATE SLOTS 1', 3),
    (None, 'SET RATE SLOTS 1', 3),
    (b'no JSON', 'SET RATE SLOTS 1', 3),
    ([], 'SET RATE SLOTS 1', 3),
    (None, 'SHOW HOSTS', 4),
]


@pytest.mark.parametrize('answer, command, code', EXIT_CODES)
def test_exit_code_of_each_outcome(
    start_host, key_file, answer, command, code
):
    """Guards against exit codes that hide a failure from a script."""
    host = start_host(answer)
    other = start_host(DONE)
    arguments = ['--host', host.url, '--host', other.url]
    arguments += ['--key-file', key_file, *command.split()]
    assert cmdline.main(arguments) == code
    assert host.keys == ['Bearer id.secret']
    assert host.commands[0].startswith(command)
    assert not other.commands


def test_next_host_is_tried_if_nothing_was_sent(start_host, key_file, capsys):
    """Guards against giving up at the first unreachable host."""
    host = start_host(DONE)
    arguments = ['--host', unreachable_url(), '--host', host.url]
    arguments += ['--key-file', key_file, 'SHOW HOSTS']
    assert cmdline.main(arguments) == 0
    assert capsys.readouterr().out == 'a  b\n-  ---\n1  yes\nnote: n\n'


def test_unreachable_hosts_are_reported(key_file, capsys):
    """Guards against unreachable hosts that are reported as a refusal."""
    arguments = ['--host', unreachable_url(), '--host', unreachable_url()]
    arguments += ['--key-file', key_file, 'SET RATE SLOTS 1']
    assert cmdline.main(arguments) == 4
    assert len(capsys.readouterr().err.splitlines()) == 3


def test_change_without_an_answer_can_be_repeated(
    start_host, key_file, capsys
):
    """Guards against a change whose id is known only to the host."""
    host = start_host(None)
    arguments = ['--host', host.url, '--key-file', key_file]
    assert cmdline.main([*arguments, 'DROP ACCOUNT a;']) == 3
    sent_command = language.parse(host.commands[0])
    assert sent_command.options.change_id
    assert not sent_command.options.is_repeated
    advice = f"USING CHANGE '{sent_command.options.change_id}'"
    assert advice in capsys.readouterr().err


def test_given_change_id_is_kept(start_host, key_file):
    """Guards against a repeated change that gets a new change id."""
    host = start_host({'outcome': 'accepted'})
    command = "DROP ACCOUNT a USING CHANGE 'c1'"
    arguments = ['--host', host.url, '--key-file', key_file, command]
    assert cmdline.main(arguments) == 0
    assert host.commands == [command]


def test_script_stops_at_the_first_error(
    start_host, key_file, tmp_path, capsys
):
    """Guards against running commands after one that failed."""
    host = start_host(DONE, {'outcome': 'refused'}, DONE)
    script = tmp_path / 'script'
    script.write_text('SHOW HOSTS; -- all\nSHOW KEYS;\nSHOW ROUTES')
    arguments = ['--host', host.url, '--key-file', key_file]
    arguments += ['--file', str(script)]
    assert cmdline.main(arguments) == 1
    assert host.commands == ['SHOW HOSTS', 'SHOW KEYS']
    assert 'stopped at command 2 of 3: SHOW KEYS' in capsys.readouterr().err


def test_script_with_an_error_runs_nothing(start_host, key_file, tmp_path):
    """Guards against a partly executed script with a syntax error."""
    host = start_host(DONE)
    script = tmp_path / 'script'
    script.write_text('SHOW HOSTS; SHOW KEY')
    arguments = ['--host', host.url, '--key-file', key_file]
    assert cmdline.main([*arguments, '--file', str(script)]) == 2
    assert not host.commands


def test_prompt_continues_after_an_error(
    start_host, key_file, monkeypatch, capsys
):
    """Guards against a prompt that ends at a syntax error."""
    host = start_host({'outcome': 'refused'}, DONE)
    lines = iter(['SHOW KEY', 'SHOW KEYS', 'HELP', 'SHOW HOSTS', 'exit'])
    monkeypatch.setattr('builtins.input', lambda prompt: next(lines))
    monkeypatch.setattr('sys.stdin.isatty', lambda: True, raising=False)
    assert cmdline.main(['--host', host.url, '--key-file', key_file]) == 0
    assert host.commands == ['SHOW KEYS', 'SHOW HOSTS']
    captured = capsys.readouterr()
    assert "unexpected 'KEY'" in captured.err
    assert 'EXPLAIN REQUEST id' in captured.out


def test_json_format(start_host, key_file, capsys):
    """Guards against answers that a script can't parse."""
    host = start_host(DONE)
    arguments = ['--host', host.url, '--key-file', key_file]
    cmdline.main([*arguments, '--format', 'json', 'SHOW HOSTS'])
    assert json.loads(capsys.readouterr().out) == DONE


def test_control_characters_are_not_shown(start_host, key_file, capsys):
    """Guards against a text that manipulates the operator's terminal."""
    host = start_host({'outcome': 'done', 'rows': [{'a': '\x1b[2Jx', 'b': 1}]})
    arguments = ['--host', host.url, '--key-file', key_file, 'SHOW HOSTS']
    cmdline.main(arguments)
    assert '\x1b' not in capsys.readouterr().out


USAGE_ERRORS = [
    (['SHOW HOSTS'], '--host is missing'),
    (['--host', 'http://h:1', 'SHOW HOSTS'], '--key-file is missing'),
    (['--host', 'h:1', '--key-file', 'KEY', 'HELP'], "host 'h:1': http"),
    (['--host', 'http://h', '--key-file', 'KEY', 'HELP'], "'http://h'"),
    (['--host', 'http://h:1', '--key-file', 'none', 'HELP'], 'none'),
    (['--host', 'http://h:1', '--key-file', 'KEY', '--file', 'no'], 'no:'),
    (
        ['--host', 'https://h:1', '--key-file', 'KEY', '--authority', 'KEY'],
        'not a certificate authority',
    ),
    (['--host', 'http://h:1', '--key-file', 'KEY', 'SHOW'], 'allowed here'),
]


@pytest.mark.parametrize('arguments, message', USAGE_ERRORS)
def test_usage_errors(arguments, message, key_file, capsys, monkeypatch):
    """Guards against wrong usage without its exit code and message."""
    monkeypatch.setattr('sys.stdin.isatty', lambda: True, raising=False)
    resolved_arguments = [
        key_file if each == 'KEY' else each for each in arguments
    ]
    assert cmdline.main(resolved_arguments) == 2
    assert message in capsys.readouterr().err


def write_certificate(tmp_path):
    """Write a certificate for 127.0.0.1 and its key to one file."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'h')])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(key, hashes.SHA256())
    )
    path = tmp_path / 'host.pem'
    path.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
        + key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(path)


@pytest.mark.parametrize('is_trusted, code', [(True, 0), (False, 4)])
def test_authority_is_checked(
    start_host, key_file, tmp_path, is_trusted, code, capsys
):
    """Guards against a key sent to a host with an untrusted certificate."""
    path = write_certificate(tmp_path)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path)
    host = start_host(DONE, context=context)
    arguments = ['--host', host.url, '--key-file', key_file, 'SHOW HOSTS']
    if is_trusted:
        arguments = ['--authority', path, *arguments]
    assert cmdline.main(arguments) == code
    assert len(host.keys) == is_trusted


# Files that are missing, bootstrap content, part of the message, exit code.
SETTINGS_CHECKS = [
    ([], 'accounts: [{name: a, rate: 1, burst: 1}]', 'valid', 0),
    (['tokens'], '', 'token_secrets_file', 2),
    ([], 'accounts: [{name: a, rate: 1}]', 'a: burst: missing', 2),
    ([], 'services: [{name: s, open_account: x}]', 'no account x', 2),
    ([], 'services: [{targets: []}]', 'services.0.name: missing', 2),
    ([], 'rate_slot: 1', 'rate_slot', 2),
]


@pytest.mark.parametrize('missing, bootstrap, message, code', SETTINGS_CHECKS)
def test_check_settings(tmp_path, missing, bootstrap, message, code, capsys):
    """Guards against invalid settings found only when a host starts."""
    for name in {'fleet', 'tokens'} - set(missing):
        (tmp_path / name).write_text('secret')
    (tmp_path / 'first.yaml').write_text(bootstrap or '{}')
    document = dict(
        test_config.VALID,
        fleet_secret_file='fleet',
        token_secrets_file='tokens',
        bootstrap_file='first.yaml',
    )
    del document['peer_tls']
    path = tmp_path / 'host.yaml'
    path.write_text(yaml.safe_dump(document))
    assert cmdline.main(['check', str(path)]) == code
    captured = capsys.readouterr()
    assert message in captured.out + captured.err


def explained(outcome, target=''):
    return {
        'host': 'h',
        'decision': {
            'outcome': outcome,
            'target': target,
            'reason': '\x1b[2J',
        },
        'targets': [{'target': 'i-1', 'usable': True}],
        'account': {'known': True},
    }


EXPLANATIONS = [
    (200, explained('sent', 'i-1'), 0),
    (200, explained('waits', 'i-1'), 0),
    (200, explained('refused'), 1),
    (400, {'error': 'kind: one of read'}, 2),
    (200, explained('waits'), 3),
    (200, explained('unknown', 'i-1'), 3),
    (404, {}, 4),  # an older host
    (429, {'error': 'the host explains another request'}, 4),
    (200, {'outcome': 'done'}, 4),
    (200, [], 4),
]
ASKED = ['--account', 'a', '--database', 'd', '--kind', 'read']


class ExplainHandler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.commands.append(self.path)
        status, document = self.server.answers.pop(0)
        self.send_response(status)
        self.end_headers()
        self.wfile.write(json.dumps(document).encode())

    def log_message(self, *arguments):
        pass


@pytest.mark.parametrize('output', ['table', 'json'])
@pytest.mark.parametrize('status, document, code', EXPLANATIONS)
def test_explanation_and_its_exit_code(
    start_host, status, document, code, output, capsys
):
    """Guards against an exit code that scripts would misunderstand."""
    host = start_host((status, document))
    host.RequestHandlerClass = ExplainHandler
    arguments = ['explain', '--host', host.url, *ASKED, '--format', output]
    assert cmdline.main(arguments) == code
    captured = capsys.readouterr()
    assert '\x1b' not in captured.out + captured.err
    assert bool(captured.out) == (code in (0, 1, 3))
    assert host.commands == ['/explain?account=a&database=d&kind=read']


EXPLAIN_USAGE = [
    ['explain'],
    ['explain', '--host', 'http://h:1'],
    ['explain', '--host', 'http://h:1', *ASKED[:-1], 'delete'],
    ['explain', '--host', 'https://h:1', *ASKED],
    ['explain', '--host', 'h:1', *ASKED],
]


@pytest.mark.parametrize('arguments', EXPLAIN_USAGE)
def test_usage_of_explain(arguments, capsys):
    """Guards against wrong usage without its exit code."""
    try:
        code = cmdline.main(arguments)
    except SystemExit as error:
        code = error.code
    assert code == 2
    assert capsys.readouterr().err


def test_host_that_explains_nothing_is_not_reached(capsys):
    """Guards against a host that is down and looks like a refusal."""
    [port] = processes.free_ports(1)
    url = f'http://127.0.0.1:{port}'
    assert cmdline.main(['explain', '--host', url, *ASKED]) == 4


def test_explain_of_the_language_stays(start_host, key_file, capsys):
    """Guards against a command of operators of daemons that has changed."""
    host = start_host(DONE)
    arguments = ['--host', host.url, '--key-file', key_file]
    assert cmdline.main(['explain', 'host', 'h-1', *arguments]) == 0
    assert host.commands == ['explain host h-1']
