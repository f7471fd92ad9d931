"""Stored form of the configuration history; interface of the platform."""

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

# Interval between snapshots in versions: a new host reads a snapshot and at
# most this many rows.
VERSIONS_PER_SNAPSHOT = 100


@dataclasses.dataclass(frozen=True)
class TableRow:
    """A row of the table service; ``version`` is the row's version there."""

    key: str
    value: Any
    version: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A conditional write of one row.

    ``expected_version`` 0 means that the row must not exist.
    """

    table: str
    key: str
    value: Any
    expected_version: int


class Platform(Protocol):
    """The methods of the platform client that the configuration uses.

    Each method may raise ``PlatformUnavailable``; a write may then have taken
    effect. ``transact`` raises ``TableConflict`` if a row hasn't the expected
    version.
    """

    async def get_row(self, table: str, key: str) -> TableRow | None:
        """Return a row, or None if there is none."""

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> list[TableRow]:
        """Return at most ``limit`` rows in key order."""

    async def transact(self, puts: collections.abc.Sequence[Put]) -> None:
        """Write all rows atomically, or none."""

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
    """A complete configuration version, stored in the object store."""

    configuration: types.Configuration
    change_id: str


# Serialized directly to JSON bytes: with 17,400 targets, 20,000 accounts and
# 60,000 keys this blocks the event loop for 34 ms; converting to dicts first
# would block it for 400 ms.
_SNAPSHOT: pydantic.TypeAdapter[Snapshot] = pydantic.TypeAdapter(Snapshot)


class _Head(pydantic.BaseModel):
    """The value of the head row."""

    version: int = pydantic.Field(ge=1)


def history_key(version: int) -> str:
    """Return the row key of a version; keys sort in version order."""
    return f'{version:010d}'


def snapshot_name(version: int) -> str:
    """Return the object name of the snapshot of a version."""
    return f'configuration-{version:010d}'


def head_version(value: Any) -> int:
    """Return the version in the value of a head row.

    Raises ``PlatformError`` if the value is invalid.
    """
    try:
        return _Head.model_validate(value).version
    except pydantic.ValidationError as error:
        raise _invalid_data('head', error) from error


def encode_row(row: types.ChangeRow) -> dict[str, Any]:
    """Return a change row as a JSON document."""
    return _ROW.dump_python(row, mode='json')


def decode_row(value: Any) -> types.ChangeRow:
    """Parse a change row; raise ``PlatformError`` if it is invalid."""
    try:
        return _ROW.validate_python(value)
    except pydantic.ValidationError as error:
        raise _invalid_data('row', error) from error


def snapshot_row(
    configuration: types.Configuration, change_id: str
) -> types.ChangeRow:
    """Return a row that contains the complete configuration."""
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
    """Return a snapshot as JSON bytes for the object store."""
    return _SNAPSHOT.dump_json(snapshot)


def decode_snapshot(data: bytes, version: int) -> Snapshot:
    """Parse the snapshot of ``version``.

    Raises ``PlatformError`` if it is invalid or holds another version.
    """
    try:
        snapshot = _SNAPSHOT.validate_json(data)
    except pydantic.ValidationError as error:
        raise _invalid_data('snapshot', error) from error
    if snapshot.configuration.version != version:
        raise exceptions.PlatformError(
            f'snapshot contains version {snapshot.configuration.version}',
            step='configuration',
        )
    return snapshot


def follows(configuration: types.Configuration, row: types.ChangeRow) -> bool:
    """Return whether ``row`` is the next version or a newer snapshot."""
    if row.document.get('kind') == SNAPSHOT_KIND:
        return row.version > configuration.version
    return row.version == configuration.version + 1


def advance(
    configuration: types.Configuration, row: types.ChangeRow
) -> types.Configuration | exceptions.Sentinel:
    """Return the configuration after ``row``, for which ``follows`` holds.

    Returns a sentinel with the reason if the row can't be applied.
    """
    if row.document.get('kind') == SNAPSHOT_KIND:
        return _read_snapshot_row(row)
    change = changes.from_document(row.document)
    if isinstance(change, exceptions.Sentinel):
        return change
    return changes.apply(configuration, change)


def _read_snapshot_row(
    row: types.ChangeRow,
) -> types.Configuration | exceptions.Sentinel:
    try:
        configuration = _CONFIGURATION.validate_python(
            row.document.get('configuration')
        )
    except pydantic.ValidationError as error:
        return exceptions.Sentinel(f'invalid snapshot: {error}')
    if configuration.version != row.version:
        return exceptions.Sentinel(
            'snapshot contains another version than its row'
        )
    return configuration


def _invalid_data(
    what: str, error: pydantic.ValidationError
) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'invalid configuration {what}: {error}', step='configuration'
    )
