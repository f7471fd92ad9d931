"""Session tokens: the signed positions that a caller's session has seen."""

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

SIGNED_VALUE_NAME = 'samphirestand_session'
MAX_SERVICES = 32
MAX_AGE_DAYS = 31
MIN_SECRET_CHARS = 32

# Interval after which the secrets file is checked for changes.
FILE_CHECK_INTERVAL_MS = 1_000

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Session:
    """The latest position that a session has seen of each service.

    Services are in the order of their last use. ``truncated`` says that a
    service was dropped because the token holds at most ``MAX_SERVICES``, so
    the session may have seen a service that is missing here.
    """

    account: str
    positions_by_service: dict[str, types.Position] = dataclasses.field(
        default_factory=dict
    )
    truncated: bool = False

    def position(self, service: str) -> types.Position | None:
        """Return the latest position of ``service``; None if not seen."""
        return self.positions_by_service.get(service)

    def may_have_dropped(self, service: str) -> bool:
        """Tell whether ``service`` may have been dropped from the token."""
        return self.truncated and service not in self.positions_by_service

    def with_position(
        self, service: str, position: types.Position | None
    ) -> 'Session':
        """Return a session that has also seen ``position``.

        A position never goes back. The service that was used longest ago is
        dropped if there are too many.
        """
        if position is None:
            return self
        positions = dict(self.positions_by_service)
        earlier = positions.pop(service, None)
        positions[service] = max(earlier or position, position)
        truncated = self.truncated
        while len(positions) > MAX_SERVICES:
            del positions[next(iter(positions))]
            truncated = True
        return Session(self.account, positions, truncated)

    def without_service(self, service: str) -> 'Session':
        """Return a session without a position of ``service``."""
        positions = dict(self.positions_by_service)
        positions.pop(service, None)
        return Session(self.account, positions, self.truncated)


class TokenSigner:
    """Signs and reads session tokens with secrets from a file.

    The file is YAML: ``current`` is the number of the secret that signs, and
    ``secrets`` maps numbers to secrets. To rotate, add a secret on all hosts
    first and make it the current one later; otherwise some hosts get tokens
    that they can't verify.
    """

    def __init__(
        self, secrets_file: pathlib.Path, clock: clock_module.Clock
    ) -> None:
        self._file = secrets_file
        self._clock = clock
        self._checked_ms = clock.now()
        self._file_version = _file_version(secrets_file)
        self._current_number, self._secrets_by_number = _read_secrets(
            secrets_file
        )

    def sign(self, session: Session) -> str:
        """Return ``session`` as a token, signed with the current secret."""
        self._reload_if_changed()
        entries = [
            [service, position.term, position.offset]
            for service, position in session.positions_by_service.items()
        ]
        value = json.dumps(
            [session.account, entries, session.truncated],
            separators=(',', ':'),
        )
        return web.create_signed_value(
            self._secrets_by_number,
            SIGNED_VALUE_NAME,
            value,
            clock=self._wall_seconds,
            key_version=self._current_number,
        ).decode()

    def verify(self, token: str) -> Session | types.NotRun:
        """Verify a token; return its session, or a refusal.

        The caller of this method compares the session's account.
        """
        self._reload_if_changed()
        value = web.decode_signed_value(
            self._secrets_by_number,
            SIGNED_VALUE_NAME,
            token,
            max_age_days=MAX_AGE_DAYS,
            clock=self._wall_seconds,
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

    def _wall_seconds(self) -> float:
        return self._clock.wall() / 1000

    def _reload_if_changed(self) -> None:
        now = self._clock.now()
        if now - self._checked_ms < FILE_CHECK_INTERVAL_MS:
            return
        self._checked_ms = now
        # An unreadable file must not stop the host: the loaded secrets stay
        # in use, and the next check reads the file again.
        try:
            file_version = _file_version(self._file)
            if file_version == self._file_version:
                return
            self._current_number, self._secrets_by_number = _read_secrets(
                self._file
            )
            self._file_version = file_version
        except exceptions.SettingsError as error:
            _log.error(
                'token secrets not read', step=error.step, error=str(error)
            )


def _file_version(path: pathlib.Path) -> tuple[int, int, int]:
    try:
        stat = path.stat()
    except OSError as error:
        raise exceptions.SettingsError(
            f'{path}: {error.strerror}', step='token secrets'
        ) from error
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def _read_secrets(path: pathlib.Path) -> tuple[int, dict[int, str]]:
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise exceptions.SettingsError(
            f'{path}: unreadable: {type(error).__name__}',
            step='token secrets',
        ) from error
    if not _is_valid_document(document):
        raise exceptions.SettingsError(
            f'{path}: needs `current`, the number of a secret, and `secrets`,'
            f' numbers with texts of {MIN_SECRET_CHARS} characters or more',
            step='token secrets',
        )
    return document['current'], document['secrets']


def _is_valid_document(document: Any) -> bool:
    match document:
        case {'current': int() as current, 'secrets': dict() as secrets}:
            return current in secrets and all(
                isinstance(number, int)
                and isinstance(secret, str)
                and len(secret) >= MIN_SECRET_CHARS
                for number, secret in secrets.items()
            )
    return False
