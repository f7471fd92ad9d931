"""Interfaces between the packages, for type checks and for fakes."""

import collections.abc
from typing import Protocol

from samphirestand import exceptions
from samphirestand.targets import messages
from samphirestand import types


class ConfigurationSource(Protocol):
    """The configuration in force on this host."""

    @property
    def current(self) -> types.Configuration:
        """Return the highest version known; it never goes back."""

    def is_confirmed(self) -> bool:
        """Tell whether no newer version can be in force for over 5 s."""

    def subscribe(
        self, callback: collections.abc.Callable[[types.Configuration], None]
    ) -> None:
        """Call ``callback`` after each new version was applied."""


class Membership(Protocol):
    """The hosts of the fleet as this host sees them."""

    @property
    def local(self) -> types.Host:
        """Return this host."""

    def reachable(self) -> list[types.Host]:
        """Return the hosts heard of lately, this host included."""

    def gateway_host(
        self, target: types.Target
    ) -> types.Host | exceptions.Sentinel:
        """Return the host that should be the gateway of ``target``."""

    def rate_owner(self, account: str) -> types.Host:
        """Return the reachable host that collects tokens of ``account``."""


class Routes(Protocol):
    """The primaries of the services."""

    def primary(self, service: str) -> types.Route | exceptions.Sentinel:
        """Return the route of the highest known term."""

    def learn(self, route: types.Route) -> None:
        """Keep ``route`` if its term is higher than the known one."""


class Router(Protocol):
    """Sends requests to the gateway hosts of targets."""

    async def run(self, request: types.Request) -> types.Outcome:
        """Run on the gateway host of the target; never raises.

        Answers ``NotRun`` only when nothing was sent or the gateway said so.
        """

    async def target_status(
        self,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Ask the gateway of ``target_id`` for the target's state.

        The state is from a probe sent after the question came in. With
        ``for_write`` the gateway waits up to ``wait_ms`` until the target's
        log contains that position.
        """


class GatewayService(Protocol):
    """The gateways on this host."""

    async def run(self, request: types.Request) -> types.Outcome:
        """Run a request on a target whose gateway is on this host."""

    async def target_status(
        self, target_id: str, for_write: types.Position | None, wait_ms: int
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Return a fresh state of a target; a sentinel if not here."""


class TokenSource(Protocol):
    """Where a rate limiter finds tokens of other hosts."""

    async def take(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask the rate owner; an empty grant when nothing can be had."""

    async def collect(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask all reachable peers for surplus; used by the rate owner."""


class TokenGiver(Protocol):
    """The side of the rate limiter that other hosts ask."""

    async def give(
        self, account: str, wanted: int, collect: bool
    ) -> types.TokenGrant:
        """Give tokens away; with ``collect`` also ask the other hosts."""


class RateSlots(Protocol):
    """The rate slots that this host holds."""

    def held(self) -> int:
        """Return how many slots this host may use at this moment."""


class TargetConnection(Protocol):
    """One session with a target; one call is outstanding at a time."""

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be used."""

    async def call(
        self, call: messages.Call, timeout_ms: int
    ) -> messages.Answer:
        """Send ``call`` and await its answer.

        Raises ``TargetError`` if nothing was sent, and ``AnswerLost`` if the
        call was sent and no matching answer came in time; the connection is
        then closed.
        """

    def close(self) -> None:
        """Close without waiting."""


class TargetConnector(Protocol):
    """Opens connections to targets."""

    async def connect(
        self, url: str, application: str, timeout_ms: int
    ) -> TargetConnection:
        """Open a connection; raises ``TargetConnectError``."""


class StatusRecorder(Protocol):
    """Receives events worth explaining later; never blocks."""

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Add an audit row, for example kind ``failover``."""
