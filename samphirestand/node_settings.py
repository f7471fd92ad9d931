"""Checked settings of one host."""

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
    """What a host has: thousandths of a core, and its link in kbit/s."""

    millicores: int = 0
    link_kbps: int = 0


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Addresses and bounds of one host; times in milliseconds."""

    host_id: str
    zone: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    metrics: Endpoint
    store: Endpoint
    promotions: Endpoint | None
    grace_ms: int  # from SIGTERM to SIGKILL
    capacity: Capacity = Capacity()
