"""The rows of rate slots in the table service."""

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
    """The methods of the platform client that rate slots use.

    Each may raise ``PlatformUnavailable``; a write may then have taken effect
    or may still do so later. ``put_row`` raises ``TableConflict`` if the row
    doesn't have the expected version.
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
    """The holder of a slot; ``claim`` is different for each claim."""

    key: str
    version: int
    holder: str
    claim: str
    renewal: int


def slot_keys(
    zone: str, zones: collections.abc.Sequence[str], slots: int
) -> list[str]:
    """Return the keys of the share of ``zone`` in the ``slots`` of the fleet.

    All hosts sort the zones in the same order, so the shares of all zones add
    up to ``slots``.
    """
    ordered = sorted(zones)
    share, remainder = divmod(slots, len(ordered))
    count = share + (1 if ordered.index(zone) < remainder else 0)
    return [f'{zone}-{number}' for number in range(count)]


def decode_row(row: StoredRow) -> SlotRow:
    """Decode a stored row; raises ``PlatformError`` if it is unusable."""
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


async def write_row(table: Table, row: SlotRow) -> Any:
    """Replace the stored version ``row.version``; return the new row."""
    value = {
        'holder': row.holder,
        'claim': row.claim,
        'renewal': row.renewal,
    }
    return await table.put_row(TABLE, row.key, value, row.version)
