"""The command `samphirestand explain`: where a request would go, and why."""

import argparse
import collections.abc
import dataclasses
import http.client
import json
import sys
from typing import Any
import urllib.parse

from samphirestand import exceptions
from samphirestand.operators import display
from samphirestand.operators import remote

EXIT_SENT = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_PARTLY_UNKNOWN = 3
EXIT_NOT_REACHED = 4

PATH = '/explain'
CONNECT_TIMEOUT_S = 3
# The host waits up to 1 s for the host of the gateway.
ANSWER_TIMEOUT_S = 5
# A host answers with some hundred bytes for each of at most 64 targets.
MAX_ANSWER_BYTES = 1_048_576

KINDS = ('read', 'write', 'begin', 'begin-read')

_EPILOG = """\
exit codes: 0 it would be sent to a target, at once or after a wait, 1 it
would be refused now, 2 wrong usage, 3 partly unknown, 4 no explanation from
the host.
"""


@dataclasses.dataclass(frozen=True)
class Failure:
    """The host gave no explanation."""

    code: int
    reason: str


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Run the command and return its exit code."""
    options = _build_parser().parse_args(arguments)
    try:
        address = remote.parse_address(options.host)
    except exceptions.SettingsError as error:
        return _print_failure(Failure(EXIT_USAGE, error.message))
    if address.is_tls:
        return _print_failure(
            Failure(EXIT_USAGE, '--host: http://ADDRESS:PORT is allowed')
        )
    answer = _ask(address, options.account, options.database, options.kind)
    if isinstance(answer, Failure):
        return _print_failure(answer)
    print(
        display.as_json(answer)
        if options.format == 'json'
        else _as_tables(answer)
    )
    return exit_code(answer)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='samphirestand explain',
        description='Ask a host on the platform where a request would go now. '
        'Nothing is sent to a target.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        '--host',
        required=True,
        metavar='URL',
        help='http://ADDRESS:PORT of its metrics',
    )
    parser.add_argument(
        '--account', required=True, help="'' for a caller without a key"
    )
    parser.add_argument('--database', required=True)
    parser.add_argument('--kind', required=True, choices=KINDS)
    parser.add_argument('--format', choices=('table', 'json'), default='table')
    return parser


def exit_code(answer: dict[str, Any]) -> int:
    """Return the exit code for the answer of a host."""
    decision = answer['decision']
    match decision.get('outcome'):
        case 'refused':
            return EXIT_REFUSED
        case 'sent' | 'waits' if decision.get('target'):
            return EXIT_SENT
        case _:
            return EXIT_PARTLY_UNKNOWN


def _ask(
    address: remote.HostAddress, account: str, database: str, kind: str
) -> dict[str, Any] | Failure:
    """Return the answer of a host, or why there is none."""
    try:
        query = urllib.parse.urlencode(
            {'account': account, 'database': database, 'kind': kind}
        )
    except UnicodeEncodeError:
        return Failure(EXIT_USAGE, 'names must be UTF-8')
    connection = http.client.HTTPConnection(
        address.hostname, address.port, timeout=CONNECT_TIMEOUT_S
    )
    try:
        connection.connect()
        connection.sock.settimeout(ANSWER_TIMEOUT_S)
        connection.request('GET', f'{PATH}?{query}')
        response = connection.getresponse()
        body = response.read(MAX_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as error:
        reason = str(error) or type(error).__name__
        return Failure(EXIT_NOT_REACHED, f'{address.url}: {reason}')
    finally:
        connection.close()
    return _judge(address.url, response.status, body)


def _judge(url: str, status: int, body: bytes) -> dict[str, Any] | Failure:
    """Return the explanation in a response, or why there is none."""
    if status == 404:
        return Failure(
            EXIT_NOT_REACHED, f'{url}: no host of this release answers there'
        )
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        return Failure(EXIT_NOT_REACHED, f'{url}: unusable answer: {status}')
    if status == 400:
        return Failure(EXIT_USAGE, str(document.get('error')))
    if status == 200 and isinstance(document.get('decision'), dict):
        return document
    return Failure(EXIT_NOT_REACHED, f'{url}: {document.get("error", status)}')


def _as_tables(answer: dict[str, Any]) -> str:
    """Return the decision, what it follows from, and a table of targets."""
    parts = {'decision': _without_empty(answer['decision'])}
    parts |= {
        name: _without_empty(value)
        for name, value in answer.items()
        if name not in ('decision', 'targets')
    }
    sections = [display.as_table(parts)]
    targets = answer.get('targets')
    if targets:
        sections.append(display.as_table({'rows': targets}))
    return '\n\n'.join(sections)


def _without_empty(value: Any) -> Any:
    """Return an object without fields that say nothing."""
    if not isinstance(value, dict):
        return value
    return {
        name: each
        for name, each in value.items()
        if each is not None and each != ''
    }


def _print_failure(failure: Failure) -> int:
    print(failure.reason, file=sys.stderr)
    return failure.code
