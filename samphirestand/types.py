"""Data classes shared by several packages."""

import dataclasses
import enum
from typing import Any


class Mode(enum.StrEnum):
    """Whether a statement may write."""

    READ = 'read'
    WRITE = 'write'


class Confirmation(enum.StrEnum):
    """What another server must confirm before a write is acknowledged."""

    REPLICATED = 'replicated'
    TERM = 'term'


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A log position; offsets are comparable only within the same term."""

    term: int
    offset: int


@dataclasses.dataclass(frozen=True)
class History:
    """A log's terms as pairs ``(term, start offset)``, and its end offset."""

    starts: tuple[tuple[int, int], ...]
    end: int

    @property
    def last(self) -> Position:
        """Return the position of the end of the log."""
        return Position(self.starts[-1][0], self.end)

    def contains(self, position: Position) -> bool:
        """Return whether the log contains the entry at ``position``."""
        for term_index, (term, start) in enumerate(self.starts):
            if term != position.term:
                continue
            is_last = term_index + 1 == len(self.starts)
            end = self.end if is_last else self.starts[term_index + 1][1]
            return start <= position.offset <= end
        return False


@dataclasses.dataclass(frozen=True)
class Target:
    """A database server of a service."""

    target_id: str
    service: str
    zone: str
    url: str
    slots: int
    connections: int
    retired: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A database service: its settings and its targets."""

    name: str
    target_ids: tuple[str, ...]
    max_read_age_ms: int = 0
    confirmation: Confirmation = Confirmation.REPLICATED
    open_account: str = ''


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account; rate in requests per second, burst in requests."""

    name: str
    rate: int
    burst: int
    weight: int = 1
    when_isolated: str = 'refuse'


@dataclasses.dataclass(frozen=True)
class Key:
    """A key: its public id and, in place of the secret, the secret's hash."""

    key_id: str
    account: str
    secret_sha256: str
    role: str = 'caller'
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the fleet's configuration."""

    version: int = 0
    accounts_by_name: dict[str, Account] = dataclasses.field(
        default_factory=dict
    )
    keys_by_id: dict[str, Key] = dataclasses.field(default_factory=dict)
    services_by_name: dict[str, Service] = dataclasses.field(
        default_factory=dict
    )
    targets_by_id: dict[str, Target] = dataclasses.field(default_factory=dict)
    retired_host_ids: frozenset[str] = frozenset()
    rate_slots: int = 9


@dataclasses.dataclass(frozen=True)
class TargetState:
    """The state that a target reported in its latest response."""

    server: str
    term: int
    role: str
    history: History
    primary_url: str = ''

    @property
    def position(self) -> Position:
        return self.history.last


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that an entry host sends to a gateway host."""

    operation: str  # execute, begin, statement, commit, rollback
    service: str
    target_id: str
    account: str
    key_id: str
    request_id: str
    statement: str
    mode: Mode
    repeatable: bool
    deadline_ms: int  # remaining time when the request is received
    max_age_ms: int = 0
    session: Position | None = None
    transaction_id: str = ''


@dataclasses.dataclass(frozen=True)
class Done:
    """The request ran; this is its complete result."""

    rows: tuple[Any, ...] = ()
    position: Position | None = None
    target_id: str = ''
    role: str = ''
    transaction_id: str = ''
    replayed: bool = False
    age_ms: int = 0


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request had no effect and will have none later."""

    code: str
    reason: str
    retry_after_ms: int | None = None
    hint: str = ''


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run; its outcome is unknown."""

    code: str
    reason: str


Outcome = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True)
class TargetStatus:
    """A target's state as its gateway knows it.

    ``age_ms`` is the time since the gateway sent its probe to the target. It
    is measured by the clock of the host that holds this object; clocks of
    different hosts are never compared.
    """

    state: TargetState
    age_ms: int
    suspects_primary: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """The target that is the primary of a service since ``term``."""

    service: str
    term: int
    primary_target_id: str


class HostStatus(enum.StrEnum):
    """The status that a host reports about itself."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    CUT_OFF = 'cut_off'


@dataclasses.dataclass(frozen=True)
class Host:
    """An entry host as other hosts know it."""

    host_id: str
    zone: str
    incarnation: int
    caller_url: str
    peer_address: str
    peer_port: int
    status: HostStatus = HostStatus.READY
    configuration_version: int = 0


@dataclasses.dataclass(frozen=True)
class TokenGrant:
    """Rate tokens transferred from one host to another.

    ``tokens`` is in thousandths of a token. ``valid_ms`` starts when the
    receiving host sent its request.
    """

    tokens: int
    valid_ms: int


@dataclasses.dataclass(frozen=True)
class ChangeRow:
    """An accepted configuration change as it is stored."""

    version: int
    change_id: str
    author: str
    reason: str
    wall_ms: int
    command: str
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that was refused or failed, kept for ``EXPLAIN REQUEST``."""

    request_id: str
    account: str
    code: str
    reason: str
    step: str
    wall_ms: int
