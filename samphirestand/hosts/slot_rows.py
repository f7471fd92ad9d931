"""Rows of rate slots in the table service."""

import collections.abc
import dataclasses
from typing import Any
from typing import Protocol

from samphirestand import exceptions

TABLE = 'rate_slots'


class StoredRow(Protocol):
    """A row as the platform client returns it."""

    @property
    def key(self) -> str: ...

    @property
    def value(self) -> Any: ...

    @property
    def version(self) -> int: ...


class Table(Protocol):
    """The calls of the platform client that rate slots need.

    Every call may raise ``PlatformUnavailable``; a write may then have taken
    effect, also later. ``put_row`` raises ``TableConflict`` if the row has
    another version.
    """

    async def get_row(self, table: str, key: str) -> Any:
        """Return a ``StoredRow``, or None if there is none."""

    async def put_row(
        self, table: str, key: str, value: Any, expected_version: int
    ) -> Any:
        """Write a row if it has the expected version; return the row."""

    async def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 100
    ) -> collections.abc.Sequence[Any]:
        """Return rows in key order."""


@dataclasses.dataclass(frozen=True)
class SlotRow:
    """Who holds a slot; ``claim`` is unique to each time it is claimed."""

    key: str
    version: int
    holder: str
    claim: str
    renewal: int


def slot_keys(
    zone: str, zones: collections.abc.Sequence[str], slots: int
) -> list[str]:
    """Return the keys of the slots of ``zone`` out of ``slots`` in all.

    All hosts list the zones in the same order, so the zones' shares add up
    to ``slots``.
    """
    ordered = sorted(zones)
    share, rest = divmod(slots, len(ordered))
    count = share + (1 if ordered.index(zone) < rest else 0)
    return [f'{zone}-{number}' for number in range(count)]


def decode(row: StoredRow) -> SlotRow:
    """Read a stored row; raises ``PlatformError`` if it is unusable."""
    value = row.value
    try:
        return SlotRow(
            row.key,
            row.version,
            str(value['holder']),
            str(value['claim']),
            int(value['renewal']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.PlatformError(
            f'unusable rate slot {row.key}: {error!r}', step='rate slots'
        ) from error


async def write(table: Table, row: SlotRow) -> Any:
    """Write ``row`` over the version that it names; return the stored row."""
    value = {
        'holder': row.holder,
        'claim': row.claim,
        'renewal': row.renewal,
    }
    return await table.put_row(TABLE, row.key, value, row.version)
