"""The choice of a target for a request."""

import dataclasses
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import types

# What an answer said about a replica is used for this long; replication
# moves on, so an older position says little.
HINT_VALID_MS = 1_000

# A replica that refused is left out for this long, doubled with each
# further refusal, so that reads don't keep paying for the detour.
FIRST_COOLING_MS = 100
LONGEST_COOLING_MS = 5_000


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a read requires of a replica."""

    session: types.Position | None
    max_age_ms: int

    def is_met_only_with(self, other: 'Demand') -> bool:
        """Tell whether a replica that meets this one meets ``other``."""
        if self.max_age_ms > other.max_age_ms:
            return False
        if other.session is None:
            return True
        return self.session is not None and self.session >= other.session


@dataclasses.dataclass
class Hint:
    """What earlier answers told about one replica."""

    position: types.Position | None = None
    seen_ms: int = 0
    refused: Demand | None = None
    refused_until_ms: int = 0
    refusals: int = 0


class Chooser:
    """Chooses targets by role, zone and what earlier answers told."""

    def __init__(
        self,
        clock: clock_module.Clock,
        rng: random.Random,
        routes: interfaces.Routes,
        zone: str,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._routes = routes
        self._zone = zone
        self._hints_by_target_id: dict[str, Hint] = {}

    def primary(
        self, configuration: types.Configuration, service: types.Service
    ) -> types.Target | exceptions.Sentinel:
        """Return the primary's target; a sentinel when none is known."""
        route = self._routes.primary(service.name)
        if isinstance(route, exceptions.Sentinel):
            return route
        target = configuration.targets_by_id.get(route.primary_target_id)
        if target is None:
            return exceptions.Sentinel(
                f'the primary {route.primary_target_id} is not configured'
            )
        return target

    def replicas(
        self,
        configuration: types.Configuration,
        service: types.Service,
        demand: Demand,
    ) -> list[types.Target]:
        """Return the replicas worth asking, the best one first.

        A replica that a fresh hint shows behind is asked after the others:
        it may have caught up, and its gateway checks and waits briefly.
        """
        route = self._routes.primary(service.name)
        primary_id = (
            route.primary_target_id if isinstance(route, types.Route) else ''
        )
        targets = [
            configuration.targets_by_id[target_id]
            for target_id in service.target_ids
            if target_id != primary_id
            and target_id in configuration.targets_by_id
        ]
        usable = [
            target
            for target in targets
            if not target.retired and not self._is_cooling(target, demand)
        ]
        return sorted(
            usable,
            key=lambda target: (
                self._is_behind(target, demand),
                target.zone != self._zone,
                self._rng.random(),
            ),
        )

    def learn_done(self, target_id: str, done: types.Done) -> None:
        """Remember what an answer told about its target."""
        hint = self._hints_by_target_id.setdefault(target_id, Hint())
        hint.refused = None
        hint.refusals = 0
        if done.position is not None:
            hint.position = done.position
            hint.seen_ms = self._clock.now()

    def learn_refused(self, target_id: str, demand: Demand) -> None:
        """Leave a replica out for reads that ask at least as much."""
        hint = self._hints_by_target_id.setdefault(target_id, Hint())
        hint.refusals = min(hint.refusals + 1, 16)
        longest = min(
            LONGEST_COOLING_MS, FIRST_COOLING_MS * 2 ** (hint.refusals - 1)
        )
        hint.refused = demand
        hint.refused_until_ms = self._clock.now() + self._rng.randint(
            longest // 2, longest
        )

    def _is_cooling(self, target: types.Target, demand: Demand) -> bool:
        hint = self._hints_by_target_id.get(target.target_id)
        if hint is None or hint.refused is None:
            return False
        if self._clock.now() >= hint.refused_until_ms:
            return False
        return demand.is_met_only_with(hint.refused)

    def _is_behind(self, target: types.Target, demand: Demand) -> bool:
        hint = self._hints_by_target_id.get(target.target_id)
        if hint is None or hint.position is None or demand.session is None:
            return False
        if self._clock.now() - hint.seen_ms > HINT_VALID_MS:
            return False
        return hint.position < demand.session
