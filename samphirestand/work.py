"""What entry hosts ask of gateways, and what gateways answer."""

import dataclasses
import enum

from samphirestand import catalog
from samphirestand import types

__all__ = [
    'Answered',
    'Failed',
    'Lost',
    'Outcome',
    'Refused',
    'Stage',
    'Work',
]


class Stage(enum.StrEnum):
    """The place of a statement in its operation."""

    SINGLE = 'single'  # an operation of one statement
    OPEN = 'open'  # the first statement that a transaction sends
    WITHIN = 'within'
    END = 'end'  # commit or rollback


@dataclasses.dataclass(frozen=True)
class Work:
    """One statement on its way from an entry host to a target.

    ``transaction`` names the transaction among those of the entry host, 0
    for an operation of one statement. ``budget_ms`` is the time that is left
    to answer, relative to the receipt.
    """

    request_id: str
    text: str
    stage: Stage
    service: str
    account: str
    consistency: catalog.Consistency
    max_age_ms: int
    writes: bool
    budget_ms: int
    objective_ms: int
    priority: int
    transaction: int = 0
    begin_id: str = ''
    begin_text: str = ''
    read_only: bool = False
    commits: bool = False
    wrote_before: bool = False
    values: tuple[tuple[str, str], ...] = ()
    mode: types.Mode | None = None  # of the prepared statement
    shape: str = ''  # of the prepared statement; '' if none is used
    arguments: str = ''
    session_position: types.Position | None = None


@dataclasses.dataclass(frozen=True)
class Answered:
    """The target ran the statement; rows and signature are its own."""

    rows: tuple[str, ...]
    signature: str
    position: types.Position | None
    target_id: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The target answered with an error."""

    code: str
    text: str
    position: types.Position | None
    target_id: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """Nothing of the operation is kept, and nothing will be."""

    code: str
    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Lost:
    """The statement was sent and no usable answer came."""

    reason: str
    timed_out: bool = False


Outcome = Answered | Failed | Refused | Lost
