"""Decisions about targets that have reported that they leave, free of I/O.

For planned stops of targets, several of them within seconds: a target that
drains terminates soon after, with its log. It gets no request later than the
operators allow (``DrainMs``), whichever role it has by then.
"""

import dataclasses

from samphirestand.gateway import evacuation

__all__ = ['DrainLimit', 'must_replace']


@dataclasses.dataclass(frozen=True)
class DrainLimit:
    """Until when a draining target may get requests.

    ``since_ms`` is the earliest moment at which it may have reported that it
    drains, ``drain_ms`` what operators allow from then on.
    """

    since_ms: int
    drain_ms: int

    @property
    def closes_ms(self) -> int:
        """Return from when on nothing is sent to the target."""
        return evacuation.closing_ms(self.since_ms, self.drain_ms)

    @property
    def resets_ms(self) -> int:
        """Return when connections that await an answer are reset."""
        return evacuation.resetting_ms(self.since_ms, self.drain_ms)


def must_replace(
    *,
    is_draining: bool,
    is_open: bool,
    staying_count: int,
    open_draining_count: int,
) -> bool:
    """Tell whether a primary must be replaced because it drains.

    For services of which several targets drain together. Without a replica
    that stays (``staying_count`` 0), the primary is used for as long as it may
    get requests (``is_open``), and then another draining target that still
    may: every replacement costs a second without writes.
    """
    if not is_draining:
        return False
    return staying_count > 0 or (not is_open and open_draining_count > 0)
