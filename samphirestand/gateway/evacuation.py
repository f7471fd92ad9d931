"""Decisions about targets in zones that are evacuated, free of I/O.

For zones that operators take out of service while load goes on: nothing may
reach their targets after a limit, and until then as little as possible is cut
off. Replicas get no new work at once, since others can do theirs. A primary
is used until it is replaced or the limit is near, since nothing else can do
its work.
"""

import collections.abc
import dataclasses
from typing import Protocol

__all__ = [
    'SendingLimit',
    'ZoneLimit',
    'ZoneView',
    'closing_ms',
    'may_continue',
    'may_start',
    'must_replace',
    'resetting_ms',
]

# Nothing is sent any more this long before the limit. It covers the way to the
# target, a queue of statements there, and the time from the acknowledgement of
# the row until hosts learn of it from the store or from each other.
SENDING_MARGIN_MS = 1_000

# Connections on which an answer is still awaited are reset this long before
# the limit, so that a network that held up a statement can't deliver it later.
RESET_MARGIN_MS = 200


class SendingLimit(Protocol):
    """Until when a target may get requests."""

    @property
    def closes_ms(self) -> int:
        """Return from when on nothing is sent to the target."""

    @property
    def resets_ms(self) -> int:
        """Return when connections that await an answer are reset."""


def closing_ms(since_ms: int, allowed_ms: int) -> int:
    """Return when to stop sending, so that nothing arrives too late."""
    return since_ms + max(0, allowed_ms - SENDING_MARGIN_MS)


def resetting_ms(since_ms: int, allowed_ms: int) -> int:
    """Return when to reset connections on which an answer is awaited."""
    return max(
        closing_ms(since_ms, allowed_ms),
        since_ms + allowed_ms - RESET_MARGIN_MS,
    )


@dataclasses.dataclass(frozen=True)
class ZoneLimit:
    """Until when the targets of an evacuated zone may get requests.

    ``since_ms`` is the earliest moment at which the evacuation may have been
    acknowledged, ``evacuation_ms`` what operators allow from then on.
    """

    zone: str
    since_ms: int
    evacuation_ms: int

    @property
    def closes_ms(self) -> int:
        """Return from when on nothing is sent to the zone's targets."""
        return closing_ms(self.since_ms, self.evacuation_ms)

    @property
    def resets_ms(self) -> int:
        """Return when connections that await an answer are reset."""
        return resetting_ms(self.since_ms, self.evacuation_ms)


def _no_limit(zone: str) -> ZoneLimit | None:
    return None


@dataclasses.dataclass(frozen=True)
class ZoneView:
    """What gateways ask about zones; by default none is evacuated.

    ``is_known`` is false on a host that starts until it has read the rows.
    """

    limit_of: collections.abc.Callable[[str], ZoneLimit | None] = _no_limit
    is_known: collections.abc.Callable[[], bool] = lambda: True
    # Returns when a zone's last evacuation was revoked; None if never.
    revoked_ms: collections.abc.Callable[[str], int | None] = lambda zone: None


def may_start(
    limit: SendingLimit | None, is_primary: bool, now_ms: int
) -> bool:
    """Tell whether a target may get new work.

    For a target that drains, and for an evacuation under load: reads move to
    other targets at once, and work that only the primary can run goes on while
    it is being replaced.
    """
    if limit is None:
        return True
    return is_primary and now_ms < limit.closes_ms


def may_continue(limit: SendingLimit | None, now_ms: int) -> bool:
    """Tell whether an open transaction may send to its target.

    For transactions that are open when a zone is evacuated: most of them end
    by themselves in the time that is left.
    """
    return limit is None or now_ms < limit.closes_ms


def must_replace(limit: ZoneLimit | None, open_zone_count: int) -> bool:
    """Tell whether a primary must be replaced because of its zone.

    For several zones that are evacuated together: without a target elsewhere
    (``open_zone_count`` 0) an attempt would only pause the replicas.
    """
    return limit is not None and open_zone_count > 0
