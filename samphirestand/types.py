"""Data classes that several packages share."""

import dataclasses
import enum
from typing import Any


class Mode(enum.StrEnum):
    """What a statement may do."""

    READ = 'read'
    WRITE = 'write'


class Confirmation(enum.StrEnum):
    """What another server must confirm before a write is acknowledged."""

    REPLICATED = 'replicated'
    TERM = 'term'


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A place in a log; the offset means nothing without its term."""

    term: int
    offset: int


@dataclasses.dataclass(frozen=True)
class History:
    """The terms of a log and the offset at which each of them starts."""

    starts: tuple[tuple[int, int], ...]
    end: int

    @property
    def last(self) -> Position:
        """Return the position of the log's end."""
        return Position(self.starts[-1][0], self.end)

    def contains(self, position: Position) -> bool:
        """Tell whether the log holds the entry at ``position``."""
        for index, (term, start) in enumerate(self.starts):
            if term != position.term:
                continue
            is_last = index + 1 == len(self.starts)
            end = self.end if is_last else self.starts[index + 1][1]
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
    """A database service: its route settings and its targets."""

    name: str
    target_ids: tuple[str, ...]
    max_read_age_ms: int = 0
    confirmation: Confirmation = Confirmation.REPLICATED
    open_account: str = ''


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account; rate in requests a second, burst in requests."""

    name: str
    rate: int
    burst: int
    weight: int = 1
    when_isolated: str = 'refuse'


@dataclasses.dataclass(frozen=True)
class Key:
    """A key by its public id; only the hash of the secret is kept."""

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
    """What a target said about itself in its latest answer."""

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
    """A request as it travels from an entry host to a gateway host."""

    operation: str  # execute, begin, statement, commit, rollback
    service: str
    target_id: str
    account: str
    key_id: str
    request_id: str
    statement: str
    mode: Mode
    repeatable: bool
    deadline_ms: int  # remaining time, relative to the receipt
    max_age_ms: int = 0
    session: Position | None = None
    transaction_id: str = ''


@dataclasses.dataclass(frozen=True)
class Done:
    """The request ran and this is its whole answer."""

    rows: tuple[Any, ...] = ()
    position: Position | None = None
    target_id: str = ''
    role: str = ''
    transaction_id: str = ''
    replayed: bool = False
    age_ms: int = 0


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request had no effect and will have none."""

    code: str
    reason: str
    retry_after_ms: int | None = None
    hint: str = ''


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run."""

    code: str
    reason: str


Outcome = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True)
class TargetStatus:
    """A target's state as its gateway knows it.

    ``age_ms`` counts from the moment the gateway asked the target, on the
    clock of whoever holds this value; the sender's clock is never compared.
    """

    state: TargetState
    age_ms: int
    suspects_primary: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """Which target is the primary of a service since ``term``."""

    service: str
    term: int
    primary_target_id: str


class HostStatus(enum.StrEnum):
    """What a host says about itself."""

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
    """Rate tokens moved from one host to another.

    ``tokens`` counts thousandths of a token. ``valid_ms`` counts from the
    moment the receiver sent its request.
    """

    tokens: int
    valid_ms: int


@dataclasses.dataclass(frozen=True)
class ChangeRow:
    """One accepted configuration change as it is stored."""

    version: int
    change_id: str
    author: str
    reason: str
    wall_ms: int
    command: str
    document: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that was refused or failed, kept for explanations."""

    request_id: str
    account: str
    code: str
    reason: str
    step: str
    wall_ms: int
