"""Sends an operator's command to the first reachable host."""

import collections.abc
import dataclasses
import http.client
import json
import ssl
from typing import Any
import urllib.parse

from samphirestand import exceptions

PATH = '/v1/operator'
CONNECT_TIMEOUT_S = 3
# Covers the time that a change can take: it is retried for 5 s while the
# platform doesn't respond, the last call may take 2 s more, and the answer
# waits 2 s for the hosts to apply the change.
ANSWER_TIMEOUT_S = 30
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class HostAddress:
    """The address at which a host accepts commands."""

    url: str
    is_tls: bool
    hostname: str
    port: int


@dataclasses.dataclass(frozen=True)
class Answered:
    """A host answered with ``document``."""

    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """The command was sent, but no valid answer arrived."""

    url: str
    reason: str


@dataclasses.dataclass(frozen=True)
class NotReached:
    """The command was sent to no host; one reason per host."""

    reasons: tuple[str, ...]


Result = Answered | AnswerLost | NotReached


def parse_address(url: str) -> HostAddress:
    """Parse the URL of a host; raises ``SettingsError``."""
    parts = urllib.parse.urlsplit(url)
    try:
        port = parts.port
    except ValueError:
        port = None
    has_no_path = parts.path in ('', '/') and not parts.query
    if parts.scheme not in ('http', 'https') or not has_no_path or not port:
        raise exceptions.SettingsError(
            f'host {url!r}: http://ADDRESS:PORT or https://ADDRESS:PORT is '
            'allowed',
            step='settings',
        )
    return HostAddress(
        url, parts.scheme == 'https', parts.hostname or '', port
    )


class RemoteHosts:
    """The hosts to which the command-line tool may send commands."""

    def __init__(
        self,
        addresses: collections.abc.Sequence[HostAddress],
        key: str,
        authority_file: str | None = None,
    ) -> None:
        """Raise ``SettingsError`` if the authority file can't be read."""
        self._addresses = addresses
        self._key = key
        self._tls_context = None
        if any(address.is_tls for address in addresses):
            self._tls_context = _create_tls_context(authority_file)

    def send(self, command: str) -> Result:
        """Send ``command``; if nothing was sent, try the next host."""
        reasons = []
        for address in self._addresses:
            connection = self._create_connection(address)
            try:
                connection.connect()
            except OSError as error:
                reasons.append(f'{address.url}: {error}')
                connection.close()
                continue
            try:
                return self._send_and_receive(address, connection, command)
            finally:
                connection.close()
        return NotReached(tuple(reasons))

    def _create_connection(
        self, address: HostAddress
    ) -> http.client.HTTPConnection:
        if address.is_tls:
            return http.client.HTTPSConnection(
                address.hostname,
                address.port,
                timeout=CONNECT_TIMEOUT_S,
                context=self._tls_context,
            )
        return http.client.HTTPConnection(
            address.hostname, address.port, timeout=CONNECT_TIMEOUT_S
        )

    def _send_and_receive(
        self,
        address: HostAddress,
        connection: http.client.HTTPConnection,
        command: str,
    ) -> Result:
        connection.sock.settimeout(ANSWER_TIMEOUT_S)
        try:
            connection.request(
                'POST',
                PATH,
                json.dumps({'command': command}),
                {
                    'Authorization': f'Bearer {self._key}',
                    'Content-Type': 'application/json',
                },
            )
            response = connection.getresponse()
            document = json.loads(response.read(MAX_ANSWER_BYTES))
        except (OSError, http.client.HTTPException, ValueError) as error:
            reason = str(error) or type(error).__name__
            return AnswerLost(address.url, reason)
        except KeyboardInterrupt:
            # The command may have been sent already.
            return AnswerLost(address.url, 'interrupted')
        if not isinstance(document, dict) or 'outcome' not in document:
            return AnswerLost(
                address.url, f'unusable answer: {response.status}'
            )
        return Answered(document)


def _create_tls_context(authority_file: str | None) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=authority_file)
    except OSError as error:
        raise exceptions.SettingsError(
            f'{authority_file}: not a certificate authority: {error}',
            step='settings',
        ) from error
