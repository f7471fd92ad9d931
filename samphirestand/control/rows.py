"""Stored forms of the configuration history and the platform's calls."""

import collections.abc
import dataclasses
from typing import Any
from typing import Protocol

import pydantic

from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand import types

HISTORY_TABLE = 'configuration'
CHANGE_TABLE = 'configuration_changes'
HEAD_KEY = 'head'
SNAPSHOT_KIND = 'snapshot'

# A snapshot and up to this many rows are what a new host has to read.
SNAPSHOT_EVERY = 100


@dataclasses.dataclass(frozen=True)
class TableRow:
    """A row of the table service with its version there."""

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A conditional write; version 0 means that the row must not exist."""

    table: str
    key: str
    value: Any
    expected_version: int


class Platform(Protocol):
    """The calls of the platform client that the configuration needs.

    Every call may raise ``PlatformUnavailable``; a write may then have taken
    effect. ``transact`` raises ``TableConflict`` if a condition failed.
    """

    async def get_row(self, table: str, key: str) -> TableRow | None:
        """Return a row, or None if there is none."""

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[TableRow]:
        """Return rows in key order."""

    async def transact(self, puts: collections.abc.Sequence[Put]) -> None:
        """Write all rows or none."""

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""


_ROW: pydantic.TypeAdapter[types.ChangeRow] = pydantic.TypeAdapter(
    types.ChangeRow
)
_CONFIGURATION: pydantic.TypeAdapter[types.Configuration] = (
    pydantic.TypeAdapter(types.Configuration)
)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A whole version as it is kept in the object store."""

    configuration: types.Configuration
    change_id: str


# Written straight to JSON: for 17,400 targets, 20,000 accounts and 60,000
# keys this holds up the event loop for 34 ms, by way of dicts for 400 ms.
_SNAPSHOT: pydantic.TypeAdapter[Snapshot] = pydantic.TypeAdapter(Snapshot)


class _Head(pydantic.BaseModel):
    """The value of the head row."""

    version: int = pydantic.Field(ge=1)


def history_key(version: int) -> str:
    """Return the row key of a version; keys sort like versions."""
    return f'{version:010d}'


def snapshot_name(version: int) -> str:
    """Return the name of the snapshot object of a version."""
    return f'configuration-{version:010d}'


def head_version(value: Any) -> int:
    """Return the version that a head row names."""
    try:
        return _Head.model_validate(value).version
    except pydantic.ValidationError as error:
        raise _invalid('head', error) from error


def encode_row(row: types.ChangeRow) -> dict[str, Any]:
    """Return a change row as a JSON document."""
    return _ROW.dump_python(row, mode='json')


def decode_row(value: Any) -> types.ChangeRow:
    """Read a change row; raises ``PlatformError`` if it is invalid."""
    try:
        return _ROW.validate_python(value)
    except pydantic.ValidationError as error:
        raise _invalid('row', error) from error


def snapshot_row(
    configuration: types.Configuration, change_id: str
) -> types.ChangeRow:
    """Return a row that holds a whole version."""
    return types.ChangeRow(
        version=configuration.version,
        change_id=change_id,
        author='',
        reason='',
        wall_ms=0,
        command='',
        document={
            'kind': SNAPSHOT_KIND,
            'configuration': _CONFIGURATION.dump_python(
                configuration, mode='json'
            ),
        },
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as the content of an object."""
    return _SNAPSHOT.dump_json(snapshot)


def decode_snapshot(data: bytes, version: int) -> Snapshot:
    """Read the snapshot of ``version``.

    Raises ``PlatformError`` if it is invalid or of another version.
    """
    try:
        snapshot = _SNAPSHOT.validate_json(data)
    except pydantic.ValidationError as error:
        raise _invalid('snapshot', error) from error
    if snapshot.configuration.version != version:
        raise exceptions.PlatformError(
            f'snapshot of version {snapshot.configuration.version}',
            step='configuration',
        )
    return snapshot


def follows(configuration: types.Configuration, row: types.ChangeRow) -> bool:
    """Tell whether ``row`` is the next version or a newer snapshot."""
    if row.document.get('kind') == SNAPSHOT_KIND:
        return row.version > configuration.version
    return row.version == configuration.version + 1


def advance(
    configuration: types.Configuration, row: types.ChangeRow
) -> types.Configuration | exceptions.Sentinel:
    """Return the configuration after ``row``, which must follow it."""
    if row.document.get('kind') == SNAPSHOT_KIND:
        return _from_snapshot(row)
    change = changes.from_document(row.document)
    if isinstance(change, exceptions.Sentinel):
        return change
    return changes.apply(configuration, change)


def _from_snapshot(
    row: types.ChangeRow,
) -> types.Configuration | exceptions.Sentinel:
    try:
        configuration = _CONFIGURATION.validate_python(
            row.document.get('configuration')
        )
    except pydantic.ValidationError as error:
        return exceptions.Sentinel(f'invalid snapshot: {error}')
    if configuration.version != row.version:
        return exceptions.Sentinel('snapshot of another version')
    return configuration


def _invalid(
    what: str, error: pydantic.ValidationError
) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'invalid configuration {what}: {error}', step='configuration'
    )
