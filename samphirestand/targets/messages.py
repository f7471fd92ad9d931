"""Messages between a gateway and a target."""

import dataclasses
from typing import Any

from samphirestand import types


@dataclasses.dataclass(frozen=True)
class Status:
    """Request the state, optionally once the log contains a position.

    The target answers after ``wait_ms`` at the latest.
    """

    wait_position: types.Position | None = None
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Lock:
    """Take an exclusive advisory lock for this connection."""

    name: str
    holder: str


@dataclasses.dataclass(frozen=True)
class Execute:
    """Run one statement in its own transaction."""

    statement: str
    mode: types.Mode
    account: str
    request_key: str
    term: int


@dataclasses.dataclass(frozen=True)
class Begin:
    """Begin a transaction on this connection."""

    account: str
    term: int


@dataclasses.dataclass(frozen=True)
class Statement:
    """Run one statement in this connection's transaction."""

    statement: str
    mode: types.Mode
    account: str


@dataclasses.dataclass(frozen=True)
class Commit:
    """Commit; the request key is recorded together with the writes."""

    request_key: str
    term: int


@dataclasses.dataclass(frozen=True)
class Rollback:
    """Roll back this connection's transaction."""


@dataclasses.dataclass(frozen=True)
class Fence:
    """Refuse every term lower than ``term`` from now on."""

    term: int
    candidate: str


@dataclasses.dataclass(frozen=True)
class Promote:
    """Become the primary of ``term``."""

    term: int
    candidate: str


@dataclasses.dataclass(frozen=True)
class Follow:
    """Replicate from the primary of ``term``."""

    term: int
    primary_url: str


Call = (
    Status
    | Lock
    | Execute
    | Begin
    | Statement
    | Commit
    | Rollback
    | Fence
    | Promote
    | Follow
)


@dataclasses.dataclass(frozen=True)
class Failure:
    """A target's error; ``ran`` is None when it can't tell if the call ran."""

    code: str
    message: str
    ran: bool | None


@dataclasses.dataclass(frozen=True)
class Answer:
    """A target's answer to a call, with the target's state at that time.

    ``position`` is the position of the write, or the snapshot position of a
    read.
    """

    state: types.TargetState
    rows: tuple[Any, ...] = ()
    position: types.Position | None = None
    replayed: bool = False
    granted: bool = False
    holder: str = ''
    failure: Failure | None = None
