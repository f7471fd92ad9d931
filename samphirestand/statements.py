"""Statements of callers, as the proxy understands them."""

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
    """Opens a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclasses.dataclass(frozen=True)
class Rollback:
    """Ends a transaction and drops its writes."""


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
    """Sets a value of the session."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Gives a name to a statement's shape."""

    name: str
    mode: types.Mode
    shape: str


@dataclasses.dataclass(frozen=True)
class Execute:
    """Runs a prepared statement; ``arguments`` is the unparsed rest."""

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True)
class Deallocate:
    """Forgets a prepared name."""

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
