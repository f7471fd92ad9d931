"""Session tokens: the positions that a caller has seen, signed."""

import dataclasses
import json
import pathlib
from typing import Any

from tornado import web
import yaml

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import log
from samphirestand import types

NAME = 'samphirestand_session'
MOST_SERVICES = 32
MAX_AGE_DAYS = 31
SHORTEST_SECRET = 32

# The secrets file is looked at again after this time.
FILE_CHECK_MS = 1_000

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Session:
    """What a caller has seen; services in the order of their last use.

    ``truncated`` says that a service was dropped for lack of room, so a
    missing service may have been seen.
    """

    account: str
    positions_by_service: dict[str, types.Position] = dataclasses.field(
        default_factory=dict
    )
    truncated: bool = False

    def position(self, service: str) -> types.Position | None:
        """Return the latest position seen of ``service``."""
        return self.positions_by_service.get(service)

    def may_have_seen(self, service: str) -> bool:
        """Tell whether ``service`` may have been dropped for room."""
        return self.truncated and service not in self.positions_by_service

    def advanced(
        self, service: str, position: types.Position | None
    ) -> 'Session':
        """Return a session that has also seen ``position``."""
        if position is None:
            return self
        positions = dict(self.positions_by_service)
        earlier = positions.pop(service, None)
        positions[service] = max(earlier or position, position)
        truncated = self.truncated
        while len(positions) > MOST_SERVICES:
            del positions[next(iter(positions))]
            truncated = True
        return Session(self.account, positions, truncated)

    def without(self, service: str) -> 'Session':
        """Return a session that hasn't seen ``service``."""
        positions = dict(self.positions_by_service)
        positions.pop(service, None)
        return Session(self.account, positions, self.truncated)


class TokenSigner:
    """Signs and reads session tokens with secrets from a file.

    The file is YAML: ``current`` is the number of the secret that signs, and
    ``secrets`` maps numbers to secrets. To rotate, add a secret on all hosts
    first and make it the current one later, so that no host meets a token
    that it can't read.
    """

    def __init__(
        self, secrets_file: pathlib.Path, clock: clock_module.Clock
    ) -> None:
        self._file = secrets_file
        self._clock = clock
        self._checked_ms = clock.now()
        self._stamp = _stamp(secrets_file)
        self._current, self._secrets = _read(secrets_file)

    def sign(self, session: Session) -> str:
        """Return the token of ``session``."""
        self._refresh()
        entries = [
            [service, position.term, position.offset]
            for service, position in session.positions_by_service.items()
        ]
        value = json.dumps(
            [session.account, entries, session.truncated],
            separators=(',', ':'),
        )
        return web.create_signed_value(
            self._secrets,
            NAME,
            value,
            clock=self._wall_s,
            key_version=self._current,
        ).decode()

    def read(self, token: str) -> Session | types.NotRun:
        """Check a token; its account is not compared here."""
        self._refresh()
        value = web.decode_signed_value(
            self._secrets,
            NAME,
            token,
            max_age_days=MAX_AGE_DAYS,
            clock=self._wall_s,
            min_version=2,
        )
        if value is None:
            return types.NotRun(
                'bad_session', 'the token is not signed or has expired'
            )
        account, entries, truncated = json.loads(value)
        positions = {
            service: types.Position(term, offset)
            for service, term, offset in entries
        }
        return Session(account, positions, truncated)

    def _wall_s(self) -> float:
        return self._clock.wall() / 1000

    def _refresh(self) -> None:
        now = self._clock.now()
        if now - self._checked_ms < FILE_CHECK_MS:
            return
        self._checked_ms = now
        # An unreadable file must not stop the host: the secrets at hand
        # still work, and the next check tries again.
        try:
            stamp = _stamp(self._file)
            if stamp == self._stamp:
                return
            self._current, self._secrets = _read(self._file)
            self._stamp = stamp
        except exceptions.SettingsError as error:
            _log.error(
                'token secrets not read', step=error.step, error=str(error)
            )


def _stamp(path: pathlib.Path) -> tuple[int, int, int]:
    try:
        stat = path.stat()
    except OSError as error:
        raise exceptions.SettingsError(
            f'{path}: {error.strerror}', step='token secrets'
        ) from error
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def _read(path: pathlib.Path) -> tuple[int, dict[int, str]]:
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise exceptions.SettingsError(
            f'{path}: unreadable: {type(error).__name__}',
            step='token secrets',
        ) from error
    if not _is_valid(document):
        raise exceptions.SettingsError(
            f'{path}: needs `current`, the number of a secret, and `secrets`,'
            f' numbers with texts of {SHORTEST_SECRET} characters or more',
            step='token secrets',
        )
    return document['current'], document['secrets']


def _is_valid(document: Any) -> bool:
    match document:
        case {'current': int() as current, 'secrets': dict() as secrets}:
            return current in secrets and all(
                isinstance(number, int)
                and isinstance(secret, str)
                and len(secret) >= SHORTEST_SECRET
                for number, secret in secrets.items()
            )
    return False
