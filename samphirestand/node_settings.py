"""Validated settings of one host."""

import dataclasses

from samphirestand import host_options

__all__ = ['Bounds', 'Capacity', 'Endpoint', 'NodeSettings']


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An IP address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f'{self.address}:{self.port}'


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Size of a host: processor in thousandths of a core, link in kbit/s.

    Memory in MB and file descriptors are what the process may use. 0 means
    that the settings file doesn't say.
    """

    millicores: int = 0
    link_kbps: int = 0
    memory_mb: int = 0
    descriptors: int = 0


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What operators have fixed for the whole deployment.

    ``cold_excess`` and ``cold_slack`` (requests) say by how much a cold target
    may get more requests in a second than its service allows. With
    ``accounts_compete``, there is too little room for all accounts at times.
    With ``zones_can_be_evacuated``, zones are taken out of service. With
    ``targets_degrade``, targets become slow or fail part of their statements.
    """

    drain_ms: int = 10_000
    evacuation_ms: int = 5_000
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    accounts_compete: bool = False
    zones_can_be_evacuated: bool = False
    targets_degrade: bool = False


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Addresses and limits of one host; times in milliseconds.

    Without ``promotions``, this host replaces no primary.
    """

    host_id: str
    zone: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    metrics: Endpoint
    store: Endpoint
    promotions: Endpoint | None
    grace_ms: int  # between SIGTERM and SIGKILL
    rate_slack: int  # operations by which an account may exceed its rate
    capacity: Capacity = Capacity()
    bounds: Bounds = Bounds()
    options: host_options.HostOptions = host_options.DEFAULTS

    @property
    def fair_shares(self) -> bool:
        """Tell whether accounts share the slots of targets by weight."""
        configured = self.options.queue.fair_shares
        if configured is None:
            return self.bounds.accounts_compete
        return configured

    @property
    def adaptive_limits(self) -> bool:
        """Tell whether targets that slow down get fewer statements."""
        configured = self.options.targets.adaptive_limits
        if configured is None:
            return self.bounds.targets_degrade or self.bounds.accounts_compete
        return configured

    @property
    def places_by_demand(self) -> bool:
        """Tell whether gateways are placed by capacity and demand."""
        configured = self.options.placement.by_demand
        if configured is None:
            return self.bounds.accounts_compete
        return configured
