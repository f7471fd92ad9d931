"""Evidence that the primary of a service has not been replaced.

A primary that another host has replaced may not know it and goes on serving
for a while, so its own answers prove nothing about commits that the new
primary has acknowledged. The replicas do: all of them are paused before a
promotion is ordered (see ``succession``). A replica that was not paused when
it was asked proves that no order had been given until then, and since the
order follows the last pause by ``policy.PROMOTION_DELAY_MS``, it also proves
that for this long afterwards.
"""

import collections.abc
import dataclasses

from samphirestand.gateway import policy
from samphirestand.platform import wire

__all__ = [
    'Confirmed',
    'Leadership',
    'Suspended',
    'Superseded',
    'Verdict',
    'are_replicas_open',
    'judge_replica',
]


@dataclasses.dataclass(frozen=True)
class Confirmed:
    """The replica was not paused and knows no later primary."""


@dataclasses.dataclass(frozen=True)
class Suspended:
    """The replica is paused: a promotion may have been ordered."""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """A primary of a later term exists; ``is_primary`` if it is this one."""

    term: int
    is_primary: bool


Verdict = Confirmed | Suspended | Superseded


def judge_replica(status: wire.Status, primary_term: int) -> Verdict | None:
    """Return what the status of another server says about the primary.

    ``primary_term`` is the term in which the primary leads. None if the
    status says nothing, because the server is a former primary itself.
    """
    if status.term > primary_term:
        return Superseded(status.term, status.is_primary)
    if status.is_primary:
        return None
    if status.held > status.term:
        return Suspended()
    return Confirmed()


def are_replicas_open(
    statuses: collections.abc.Iterable[wire.Status],
) -> bool:
    """Tell whether replicas have answered and none of them is paused."""
    replicas = [each for each in statuses if not each.is_primary]
    return bool(replicas) and not any(each.held for each in replicas)


class Leadership:
    """What is known about the right of one target to act as the primary.

    Times are in milliseconds of a clock that counts suspended time, so that
    evidence doesn't outlive a host that was frozen.
    """

    def __init__(self, target_id: str = '', term: int | None = None) -> None:
        self.target_id = target_id
        self.term = term  # None until the target has told it
        self.is_suspended = False
        self.suspension_count = 0
        # Whether it is known that no order can make another target the
        # primary without all replicas being paused before.
        self.is_free_of_orders = False
        self._confirmed_ms: int | None = None

    @property
    def is_confirmed(self) -> bool:
        """Tell whether there has been evidence and no pause since then."""
        return self._confirmed_ms is not None and not self.is_suspended

    @property
    def confirmed_ms(self) -> int | None:
        """Return the moment of the newest evidence."""
        return self._confirmed_ms

    @property
    def covered_until_ms(self) -> int | None:
        """Return until when no other primary can have been in force."""
        if self._confirmed_ms is None:
            return None
        return self._confirmed_ms + policy.PROMOTION_DELAY_MS

    def covers(self, moment_ms: int) -> bool:
        """Tell whether the target was the only primary at ``moment_ms``.

        A read that may show the state of that moment can be sent to the
        target, however late it arrives there.
        """
        until_ms = self.covered_until_ms
        return until_ms is not None and moment_ms < until_ms

    def needs_refresh(self, now_ms: int) -> bool:
        """Tell whether evidence should be renewed before it ends."""
        return (
            self.is_suspended
            or self._confirmed_ms is None
            or now_ms - self._confirmed_ms > policy.EVIDENCE_REFRESH_MS
        )

    def confirm(self, sent_ms: int) -> None:
        """Record evidence from an answer to a request sent at ``sent_ms``."""
        self.is_suspended = False
        if self._confirmed_ms is None or sent_ms > self._confirmed_ms:
            self._confirmed_ms = sent_ms

    def suspend(self) -> None:
        """Record that a promotion may have been ordered."""
        self.is_suspended = True
        self.suspension_count += 1
        self.is_free_of_orders = False
