"""Interfaces between packages, for type checking and test doubles."""

import collections.abc
from typing import Protocol

from samphirestand import exceptions
from samphirestand.targets import messages
from samphirestand import types


class ConfigurationSource(Protocol):
    """The configuration that this host currently applies."""

    @property
    def current(self) -> types.Configuration:
        """Return the highest known version; it never decreases."""

    def is_confirmed(self) -> bool:
        """Return false if a newer version may be in force for over 5 s."""

    def subscribe(
        self, callback: collections.abc.Callable[[types.Configuration], None]
    ) -> None:
        """Call ``callback`` with each new version after it is applied."""


class Membership(Protocol):
    """The hosts of the fleet as far as this host knows them."""

    @property
    def local(self) -> types.Host:
        """Return this host."""

    def reachable(self) -> list[types.Host]:
        """Return the hosts heard from recently, including this host."""

    def gateway_host(
        self, target: types.Target
    ) -> types.Host | exceptions.Sentinel:
        """Return the host that should be the gateway of ``target``."""

    def rate_owner(self, account: str) -> types.Host:
        """Return the reachable host that collects the account's tokens."""


class Routes(Protocol):
    """Which target is the primary of each service."""

    def primary(self, service: str) -> types.Route | exceptions.Sentinel:
        """Return the service's route with the highest known term."""

    def learn(self, route: types.Route) -> None:
        """Store ``route`` if its term is higher than the known route's."""


class Router(Protocol):
    """Sends requests to the gateway hosts of targets."""

    async def run(self, request: types.Request) -> types.Outcome:
        """Run a request on the gateway host of its target; never raises.

        Returns ``NotRun`` only if nothing was sent or the gateway reported
        that the request had no effect.
        """

    async def target_status(
        self,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Ask the gateway of ``target_id`` for the target's state.

        The state comes from a probe that the gateway sends after it received
        this request. With ``for_write`` the gateway waits up to ``wait_ms``
        until the target's log contains that position.
        """


class GatewayService(Protocol):
    """The gateways on this host."""

    async def run(self, request: types.Request) -> types.Outcome:
        """Run a request on a target whose gateway is on this host."""

    async def target_status(
        self, target_id: str, for_write: types.Position | None, wait_ms: int
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Probe a target; return a sentinel if its gateway isn't here."""


class TokenSource(Protocol):
    """Source of rate tokens that other hosts hold."""

    async def take(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask the rate owner; the grant is empty if it gives none."""

    async def collect(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask all reachable hosts for surplus tokens, as the rate owner."""


class TokenGiver(Protocol):
    """The part of a rate limiter that serves requests of other hosts."""

    async def give(
        self, account: str, wanted: int, collect: bool
    ) -> types.TokenGrant:
        """Transfer tokens; with ``collect`` also ask all other hosts."""


class RateSlots(Protocol):
    """The rate slots that this host holds."""

    def held(self) -> int:
        """Return the number of slots that this host may use now."""


class TargetConnection(Protocol):
    """One session with a target; runs one call at a time."""

    @property
    def is_open(self) -> bool:
        """Return whether the connection can be used."""

    async def call(
        self, call: messages.Call, timeout_ms: int
    ) -> messages.Answer:
        """Send ``call`` and return the response.

        Raises ``TargetError`` if nothing was sent. Raises ``AnswerLost`` if
        the call was sent and no matching response arrived within
        ``timeout_ms``; the connection is then closed.
        """

    def close(self) -> None:
        """Close the connection without waiting."""


class TargetConnector(Protocol):
    """Opens connections to targets."""

    async def connect(
        self, url: str, application: str, timeout_ms: int
    ) -> TargetConnection:
        """Open a connection; raises ``TargetConnectError``."""


class StatusRecorder(Protocol):
    """Receives events for the audit trail; never blocks."""

    def record(self, kind: str, subject: str, reason: str) -> None:
        """Add an audit row, for example kind ``failover``."""
