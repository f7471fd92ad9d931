"""Departures of targets that promotions need not wait for.

A departure is settled once other targets have all commits that the departed
one may have confirmed. That says nothing of commits which it confirms after a
return, so a settlement names the moment of the registry at which the target
was absent, and counts only where the target can't have been back since.
"""

import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module

__all__ = ['Settlements']

# How long a settlement is remembered that nobody repeats: a host may hear of
# it before it notices the departure, and forgets the departure later.
SETTLEMENT_KEPT_MS = 40_000

# Settlements are given a later moment this often while the target stays away:
# hosts that have read the whole registry since don't accept earlier ones.
RENEWAL_INTERVAL_MS = 5_000

_Moment = catalog_module.RegistryMoment


@dataclasses.dataclass(frozen=True)
class _Absence:
    """The earliest moment from which a target is known to be absent."""

    moment: _Moment
    noticed_ms: int


@dataclasses.dataclass(frozen=True)
class _Settlement:
    """When it was told last, and since when it has its moment."""

    moment: _Moment
    told_ms: int
    since_ms: int


class Settlements:
    """Knows which departures are settled, whichever host observed that."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Nothing is known of targets that were absent before: they may have
        # been back. None until the registry has been read.
        self._followed_since: _Absence | None = None
        self._absences_by_id: dict[str, _Absence] = {}
        self._settlements_by_start: dict[
            catalog_module.TargetStart, _Settlement
        ] = {}

    def note_whole_read(self, moment: _Moment) -> None:
        """Record a read that doesn't show what has changed before it."""
        self._followed_since = _Absence(moment, self._clock.now())

    def note_absence(self, target_id: str, moment: _Moment) -> None:
        """Record that a target was present until shortly before ``moment``."""
        self._absences_by_id[target_id] = _Absence(moment, self._clock.now())

    def absent_since_ms(self, target_id: str) -> int | None:
        """Return since when this host knows that a target is absent.

        None before the registry has been read.
        """
        absence = self._absence_of(target_id)
        return None if absence is None else absence.noticed_ms

    def _absence_of(self, target_id: str) -> _Absence | None:
        if self._followed_since is None:
            return None
        absence = self._absences_by_id.get(target_id, self._followed_since)
        return max(absence, self._followed_since, key=lambda each: each.moment)

    def adopt(
        self,
        moments_by_start: collections.abc.Mapping[
            catalog_module.TargetStart, _Moment
        ],
    ) -> None:
        """Record settlements, with the latest moment of each."""
        now = self._clock.now()
        for start, moment in moments_by_start.items():
            known = self._settlements_by_start.get(start)
            if known is None or known.moment < moment:
                self._settlements_by_start[start] = _Settlement(
                    moment, now, now
                )
            elif known.moment == moment:
                self._settlements_by_start[start] = dataclasses.replace(
                    known, told_ms=now
                )
        self._forget_old(now)

    def renew(
        self,
        starts: collections.abc.Iterable[catalog_module.TargetStart],
        moment: _Moment,
    ) -> dict[catalog_module.TargetStart, _Moment]:
        """Return the settlements that count, of targets that are absent.

        Old ones get the present moment: this host has followed the registry
        since, and the targets have stayed away.
        """
        now = self._clock.now()
        moments_by_start = {}
        for start in starts:
            if not self.is_settled(start):
                continue
            known = self._settlements_by_start[start]
            if (
                now - known.since_ms >= RENEWAL_INTERVAL_MS
                and known.moment < moment
            ):
                known = _Settlement(moment, now, now)
                self._settlements_by_start[start] = known
            moments_by_start[start] = known.moment
        return moments_by_start

    def is_settled(self, start: catalog_module.TargetStart) -> bool:
        """Tell whether a departure is settled and the target stayed away."""
        settlement = self._settlements_by_start.get(start)
        absence = self._absence_of(start.target_id)
        return (
            settlement is not None
            and absence is not None
            and settlement.moment >= absence.moment
        )

    def _forget_old(self, now: int) -> None:
        for start, settlement in list(self._settlements_by_start.items()):
            if settlement.told_ms <= now - SETTLEMENT_KEPT_MS:
                del self._settlements_by_start[start]
        for target_id, absence in list(self._absences_by_id.items()):
            if absence.noticed_ms > now - SETTLEMENT_KEPT_MS:
                continue
            del self._absences_by_id[target_id]
            # Settlements of an earlier moment don't count again.
            if (
                self._followed_since is not None
                and absence.moment > self._followed_since.moment
            ):
                self._followed_since = absence
