"""Exceptions, and sentinel values that carry a reason."""

from typing import Any


class SamphirestandError(Exception):
    """Base class of all exceptions of this package.

    ``step`` names the operation that failed, ``peer`` the remote side if
    there is one.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        location = f'{self.step} ({self.peer})' if self.peer else self.step
        return f'{location}: {self.message}'


class SettingsError(SamphirestandError):
    """A settings file is missing, unreadable or invalid."""


class PlatformError(SamphirestandError):
    """The platform refused a request or sent an invalid response."""


class PlatformUnavailable(PlatformError):
    """The platform didn't respond; a write may have taken effect."""


class TableConflict(PlatformError):
    """A conditional write found another version than it expected.

    ``row`` is the current row.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = '', row: Any = None
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.row = row


class TargetError(SamphirestandError):
    """A target failed before the request could reach it."""


class TargetConnectError(TargetError):
    """A connection to a target couldn't be opened; nothing was sent."""


class TargetRefused(TargetError):
    """A target refused a session; ``code`` is its error code."""

    def __init__(
        self, message: str, *, step: str, peer: str = '', code: str = ''
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code


class AnswerLost(TargetError):
    """A request was sent to a target, but no valid response arrived."""


class NotSent(AnswerLost):
    """A request was not sent, although a connection was ready."""


class HostError(SamphirestandError):
    """Another host couldn't be reached; no request was sent."""


class HostAnswerLost(HostError):
    """A request was sent to another host, but no response arrived."""


class CommandError(SamphirestandError):
    """An operator's command can't be parsed or carried out."""


class Sentinel:
    """A falsy value returned in place of a result; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f'<{self.reason}>'
