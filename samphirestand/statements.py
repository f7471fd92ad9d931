"""Statements of callers, decoded from the text of their queries."""

import dataclasses

from samphirestand import types

__all__ = [
    'Begin',
    'Commit',
    'Deallocate',
    'Execute',
    'Prepare',
    'Read',
    'Rollback',
    'SetValue',
    'Statement',
    'Write',
]


@dataclasses.dataclass(frozen=True)
class Begin:
    """Begins a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True)
class Commit:
    """Commits the open transaction."""


@dataclasses.dataclass(frozen=True)
class Rollback:
    """Rolls the open transaction back."""


@dataclasses.dataclass(frozen=True)
class Read:
    """Reads one item."""

    item: str


@dataclasses.dataclass(frozen=True)
class Write:
    """Writes one item."""

    item: str
    data: str


@dataclasses.dataclass(frozen=True)
class SetValue:
    """Sets a named value of the session."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Prepares a statement; ``shape`` is its text without the arguments."""

    name: str
    mode: types.Mode
    shape: str


@dataclasses.dataclass(frozen=True)
class Execute:
    """Runs a prepared statement; ``arguments`` is passed on unparsed."""

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True)
class Deallocate:
    """Drops a prepared statement."""

    name: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
)
