"""Validated settings of one host."""

import dataclasses

__all__ = ['Capacity', 'Endpoint', 'NodeSettings']


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

    0 means that the settings file doesn't say.
    """

    millicores: int = 0
    link_kbps: int = 0


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
