"""Data classes of the operators' configuration and of the targets."""

import dataclasses
import enum

__all__ = [
    'Account',
    'Catalog',
    'Consistency',
    'RegistryMoment',
    'Route',
    'Service',
    'Target',
    'TargetStart',
]


class Consistency(enum.StrEnum):
    """How recent the data must be that reads of a route return."""

    PRIMARY = 'primary'
    BOUNDED_STALENESS = 'bounded_staleness'
    READ_YOUR_WRITES = 'read_your_writes'


@dataclasses.dataclass(frozen=True)
class Route:
    """How statements for one database are served; times in milliseconds."""

    database: str
    service: str
    consistency: Consistency
    timeout_ms: int  # of one statement
    objective_ms: int  # latency objective of a whole operation
    priority: int  # 0 is the highest
    max_age_ms: int  # of the data that reads return
    needs_key: bool


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account; rate in operations per second, burst in operations.

    Under overload, accounts get service in proportion to ``weight``.
    """

    name: str
    rate: int
    burst: int
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class Service:
    """A database service: one primary and its replicas."""

    name: str
    max_connections: int  # to each target, all callers together
    is_synchronous: bool  # a replica confirms each acknowledged commit
    warmup_ms: int = 0  # how long a target is cold after its start
    cold_rate_per_s: float = 0.0  # requests to a cold target; 0: no limit


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the operators' configuration; version 0 is empty."""

    version: int = 0
    routes_by_database: dict[str, Route] = dataclasses.field(
        default_factory=dict
    )
    accounts_by_name: dict[str, Account] = dataclasses.field(
        default_factory=dict
    )
    account_names_by_key: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    services_by_name: dict[str, Service] = dataclasses.field(
        default_factory=dict
    )
    idle_transaction_ms: int = 3_000
    startup_timeout_ms: int = 3_000


@dataclasses.dataclass(frozen=True, order=True)
class TargetStart:
    """One start of a target: a server that restarts may keep its id."""

    target_id: str
    started_ms: int  # server's wall clock


@dataclasses.dataclass(frozen=True, order=True)
class RegistryMoment:
    """A state of the registry; a store that came back has a later era.

    Versions are comparable only within an era.
    """

    era: int  # 0 if the store doesn't tell it
    version: int


@dataclasses.dataclass(frozen=True)
class Target:
    """A database server, as it registers itself in the store."""

    target_id: str
    service: str
    address: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    claims_primary: bool
    started_ms: int  # server's wall clock; distinguishes its restarts
    # How long it was still cold at its last heartbeat; changes with each.
    warm_left_ms: int = dataclasses.field(default=0, compare=False)

    @property
    def start(self) -> TargetStart:
        return TargetStart(self.target_id, self.started_ms)
