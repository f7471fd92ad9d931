"""Sends an operator's command to the first host that can be reached."""

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
# A change is tried for 5 s while the platform is silent, the last call may
# take 2 s more, and the answer waits 2 s for the hosts.
ANSWER_TIMEOUT_S = 30
LONGEST_ANSWER = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Address:
    """Where a host listens for operators."""

    url: str
    is_tls: bool
    name: str
    port: int


@dataclasses.dataclass(frozen=True)
class Answered:
    """The answer of a host."""

    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Lost:
    """The command was sent and no usable answer came."""

    url: str
    reason: str


@dataclasses.dataclass(frozen=True)
class NotReached:
    """Nothing was sent to any host; one reason per host."""

    reasons: tuple[str, ...]


Result = Answered | Lost | NotReached


def parse_address(url: str) -> Address:
    """Read a host's URL; raises ``SettingsError``."""
    parts = urllib.parse.urlsplit(url)
    try:
        port = parts.port
    except ValueError:
        port = None
    is_plain = parts.path in ('', '/') and not parts.query
    if parts.scheme not in ('http', 'https') or not is_plain or not port:
        raise exceptions.SettingsError(
            f'host {url!r}: http://ADDRESS:PORT or https://ADDRESS:PORT is '
            'allowed',
            step='settings',
        )
    return Address(url, parts.scheme == 'https', parts.hostname or '', port)


class Remote:
    """The hosts that the command-line tool may ask."""

    def __init__(
        self,
        addresses: collections.abc.Sequence[Address],
        key: str,
        authority_file: str | None = None,
    ) -> None:
        """Raises ``SettingsError`` if the authority can't be read."""
        self._addresses = addresses
        self._key = key
        self._context = None
        if any(address.is_tls for address in addresses):
            self._context = _context(authority_file)

    def send(self, command: str) -> Result:
        """Send ``command``; the next host is tried if nothing was sent."""
        reasons = []
        for address in self._addresses:
            connection = self._connection(address)
            try:
                connection.connect()
            except OSError as error:
                reasons.append(f'{address.url}: {error}')
                connection.close()
                continue
            try:
                return self._exchange(address, connection, command)
            finally:
                connection.close()
        return NotReached(tuple(reasons))

    def _connection(self, address: Address) -> http.client.HTTPConnection:
        if address.is_tls:
            return http.client.HTTPSConnection(
                address.name,
                address.port,
                timeout=CONNECT_TIMEOUT_S,
                context=self._context,
            )
        return http.client.HTTPConnection(
            address.name, address.port, timeout=CONNECT_TIMEOUT_S
        )

    def _exchange(
        self,
        address: Address,
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
            document = json.loads(response.read(LONGEST_ANSWER))
        except (OSError, http.client.HTTPException, ValueError) as error:
            reason = str(error) or type(error).__name__
            return Lost(address.url, reason)
        except KeyboardInterrupt:
            # The command may be on its way.
            return Lost(address.url, 'interrupted')
        if not isinstance(document, dict) or 'outcome' not in document:
            return Lost(address.url, f'unusable answer: {response.status}')
        return Answered(document)


def _context(authority_file: str | None) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=authority_file)
    except OSError as error:
        raise exceptions.SettingsError(
            f'{authority_file}: not a certificate authority: {error}',
            step='settings',
        ) from error
