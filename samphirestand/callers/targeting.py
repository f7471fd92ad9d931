"""Selection of the target that a request is sent to."""

import dataclasses
import random

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import types

# The position of a replica, learned from an answer, is used for this long:
# replication goes on, so an older position says little.
POSITION_VALID_MS = 1_000

# After a refusal a replica isn't selected for about this long, doubled with
# each further refusal, so that reads don't lose time on a replica that is
# likely to refuse again.
FIRST_EXCLUSION_MS = 100
MAX_EXCLUSION_MS = 5_000


@dataclasses.dataclass(frozen=True)
class ReadRequirement:
    """The position and the age that a read requires of a replica."""

    min_position: types.Position | None
    max_age_ms: int

    def is_at_least_as_strict_as(self, other: 'ReadRequirement') -> bool:
        """Tell whether a replica that meets this also meets ``other``."""
        if self.max_age_ms > other.max_age_ms:
            return False
        if other.min_position is None:
            return True
        return (
            self.min_position is not None
            and self.min_position >= other.min_position
        )


@dataclasses.dataclass
class ReplicaObservation:
    """What earlier answers and refusals say about one replica."""

    position: types.Position | None = None
    observed_ms: int = 0
    refused_requirement: ReadRequirement | None = None
    excluded_until_ms: int = 0
    refusals: int = 0


class TargetSelector:
    """Selects targets by role, zone and earlier answers and refusals."""

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
        self._observations_by_target_id: dict[str, ReplicaObservation] = {}

    def select_primary(
        self, configuration: types.Configuration, service: types.Service
    ) -> types.Target | exceptions.Sentinel:
        """Return the target of the primary; a sentinel if none is known."""
        route = self._routes.primary(service.name)
        if isinstance(route, exceptions.Sentinel):
            return route
        target = configuration.targets_by_id.get(route.primary_target_id)
        if target is None:
            return exceptions.Sentinel(
                f'the primary {route.primary_target_id} is not configured'
            )
        return target

    def select_replicas(
        self,
        configuration: types.Configuration,
        service: types.Service,
        requirement: ReadRequirement,
    ) -> list[types.Target]:
        """Return the replicas to try for a read, the best one first.

        Replicas that were recently behind the required position come last
        but are not left out: they may have caught up, and their gateway
        checks this and waits briefly. Among equals, replicas in this host's
        zone come first.
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
            if not target.retired
            and not self._is_excluded(target, requirement)
        ]
        return sorted(
            usable,
            key=lambda target: (
                self._is_behind(target, requirement),
                target.zone != self._zone,
                self._rng.random(),
            ),
        )

    def record_success(self, target_id: str, done: types.Done) -> None:
        """Record the position of a target that answered."""
        observation = self._observations_by_target_id.setdefault(
            target_id, ReplicaObservation()
        )
        observation.refused_requirement = None
        observation.refusals = 0
        if done.position is not None:
            observation.position = done.position
            observation.observed_ms = self._clock.now()

    def record_refusal(
        self, target_id: str, requirement: ReadRequirement
    ) -> None:
        """Exclude a replica for a time from reads as strict as this one."""
        observation = self._observations_by_target_id.setdefault(
            target_id, ReplicaObservation()
        )
        observation.refusals = min(observation.refusals + 1, 16)
        max_exclusion_ms = min(
            MAX_EXCLUSION_MS,
            FIRST_EXCLUSION_MS * 2 ** (observation.refusals - 1),
        )
        observation.refused_requirement = requirement
        observation.excluded_until_ms = self._clock.now() + self._rng.randint(
            max_exclusion_ms // 2, max_exclusion_ms
        )

    def _is_excluded(
        self, target: types.Target, requirement: ReadRequirement
    ) -> bool:
        observation = self._observations_by_target_id.get(target.target_id)
        if observation is None or observation.refused_requirement is None:
            return False
        if self._clock.now() >= observation.excluded_until_ms:
            return False
        return requirement.is_at_least_as_strict_as(
            observation.refused_requirement
        )

    def _is_behind(
        self, target: types.Target, requirement: ReadRequirement
    ) -> bool:
        observation = self._observations_by_target_id.get(target.target_id)
        if (
            observation is None
            or observation.position is None
            or requirement.min_position is None
        ):
            return False
        if self._clock.now() - observation.observed_ms > POSITION_VALID_MS:
            return False
        return observation.position < requirement.min_position
