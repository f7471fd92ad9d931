"""Statements that entry hosts send to gateways, and their outcomes."""

import collections.abc
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
    'WITHDRAWN_REASON',
    'Withdrawal',
    'Work',
]

# The reason of a refusal of work that was withdrawn before it was sent to a
# target.
WITHDRAWN_REASON = 'the caller has left'


class Stage(enum.StrEnum):
    """The position of a statement within its operation."""

    SINGLE = 'single'  # an operation of one statement
    OPEN = 'open'  # the first statement of a transaction after its BEGIN
    WITHIN = 'within'  # a later statement of a transaction
    END = 'end'  # commit or rollback


@dataclasses.dataclass(frozen=True)
class Work:
    """One statement that an entry host sends to a gateway for a target.

    ``transaction`` is the number of the transaction on its entry host, 0 for
    an operation of one statement. ``budget_ms`` is the time left until the
    answer is due, counted from the receipt. ``objective_ms`` is the latency
    objective of the whole operation. ``begin_id`` and ``begin_text`` repeat
    the BEGIN of the transaction, and ``values`` are those of the session.
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
    shape: str = ''  # of the prepared statement; '' without one
    arguments: str = ''
    session_position: types.Position | None = None


class Withdrawal:
    """Tells whoever holds a statement that its caller no longer waits.

    The statement is dropped if it hasn't been sent to a target, and its
    outcome then says so. Otherwise nothing changes.
    """

    def __init__(self) -> None:
        self.is_requested = False
        self._on_request: collections.abc.Callable[[], None] | None = None

    def request(self) -> None:
        """Withdraw the statement; more than once has no further effect."""
        if self.is_requested:
            return
        self.is_requested = True
        if self._on_request is not None:
            self._on_request()

    def notify(
        self, on_request: collections.abc.Callable[[], None] | None
    ) -> None:
        """Call ``on_request`` from now on; None if nothing can be done.

        It is called at once if the statement has been withdrawn already.
        """
        self._on_request = on_request
        if self.is_requested and on_request is not None:
            on_request()


@dataclasses.dataclass(frozen=True)
class Answered:
    """The target ran the statement; rows and signature come from it."""

    rows: tuple[str, ...]
    signature: str
    position: types.Position | None
    target_id: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The target answered the statement with an error."""

    code: str
    text: str
    position: types.Position | None
    target_id: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The operation has had no lasting effect and will have none."""

    code: str
    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Lost:
    """The statement was sent, but no usable answer came; it may have run."""

    reason: str
    timed_out: bool = False


Outcome = Answered | Failed | Refused | Lost
