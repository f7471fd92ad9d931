"""Handles frames of other hosts; sends statements to gateway hosts."""

import collections
from typing import TypeGuard

from samphirestand import background
from samphirestand import exceptions
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import watch
from samphirestand.gateway import gateways as gateways_module
from samphirestand import log
from samphirestand import work as work_module

__all__ = ['PeerDispatcher', 'PeerService']

# Added to a statement's time limit when its gateway is on another host, so
# that the gateway's own time-out answer arrives before the link's time-out.
ANSWER_MARGIN_MS = 250

# The sequence number of a pong that answers no ping; pings count from one.
UNSOLICITED = 0

# The owner of transactions of sessions on this host.
LOCAL_OWNER = 'local'

_log = log.get_logger(__name__)


class PeerService:
    """Handles the frames that other hosts send to this one."""

    def __init__(
        self,
        members: members_module.Members,
        gateways: gateways_module.ServiceGateways,
        rate_limiter: allowance_module.AccountRateLimiter,
        catalog: watch.CatalogWatch,
    ) -> None:
        self._members = members
        self._gateways = gateways
        self._rate_limiter = rate_limiter
        self._catalog = catalog
        self._background = background.Background()
        # The process that opened each connection, and how many it has open.
        self._owners_by_connection: dict[links.FrameConnection, str] = {}
        self._connection_counts_by_owner: collections.Counter[str] = (
            collections.Counter()
        )

    def announce(self, claims: frames.Claims) -> None:
        """Send this host's gateways to all hosts that connected to it."""
        data = frames.encode(claims)
        for connection in self._owners_by_connection:
            connection.send(claims, data)

    def announce_state(self) -> None:
        """Tell this host's state to all hosts that connected to it.

        Their pings may be seconds apart.
        """
        for connection in self._owners_by_connection:
            connection.send(self._pong(connection, UNSOLICITED))

    def handle_frame(
        self, connection: links.FrameConnection, frame: frames.Frame
    ) -> None:
        match frame:
            case frames.WorkFrame():
                self._background.spawn(self._run_work(connection, frame))
            case frames.Ping():
                self._answer_ping(connection, frame)
            case frames.TokenRequest():
                granted = self._rate_limiter.grant_tokens(
                    frame.account, frame.millitokens, frame.min_millitokens
                )
                connection.send(frames.TokenAnswer(frame.call_id, granted))
            case frames.Abandon():
                self._background.spawn(
                    self._gateways.abandon(
                        _owner_id(connection), frame.transaction
                    )
                )
            case frames.SnapshotRequest():
                connection.send(
                    frames.Snapshot(
                        frame.call_id,
                        self._catalog.current.version,
                        self._catalog.raw,
                    )
                )
            case frames.DirectoryRequest():
                connection.send(
                    frames.Directory(
                        frame.call_id, self._members.directory_value
                    )
                )
            case frames.Snapshot():
                # Many hosts may send the same version.
                if frame.catalog_version > self._catalog.current.version:
                    self._catalog.adopt_if_newer(
                        frame.catalog, _owner_id(connection)
                    )
            case frames.Hello():
                self._forget_owner(connection)
                owner_id = _owner_id(connection)
                self._owners_by_connection[connection] = owner_id
                self._connection_counts_by_owner[owner_id] += 1
                connection.send(self._gateways.claims)
                self._members.add_host(frame)
            case _:
                _log.warning(
                    'peer_frame_unexpected', kind=type(frame).__name__
                )

    def handle_disconnect(self, connection: links.FrameConnection) -> None:
        self._forget_owner(connection)
        owner_id = _owner_id(connection)
        if owner_id in self._connection_counts_by_owner:
            # The host has connected again already, and its transactions go
            # on there. Those that it has given up are rolled back when they
            # have been idle for too long.
            return
        self._background.spawn(self._gateways.abandon_all(owner_id))

    def _forget_owner(self, connection: links.FrameConnection) -> None:
        owner_id = self._owners_by_connection.pop(connection, None)
        if owner_id is None:
            return
        self._connection_counts_by_owner[owner_id] -= 1
        if not self._connection_counts_by_owner[owner_id]:
            del self._connection_counts_by_owner[owner_id]

    async def _run_work(
        self, connection: links.FrameConnection, frame: frames.WorkFrame
    ) -> None:
        outcome = await self._gateways.run(_owner_id(connection), frame.work)
        connection.send(frames.OutcomeFrame(frame.call_id, outcome))

    def _answer_ping(
        self, connection: links.FrameConnection, ping: frames.Ping
    ) -> None:
        self._rate_limiter.accept_deposits(ping.deposits)
        connection.send(self._pong(connection, ping.sequence))

    def _pong(
        self, connection: links.FrameConnection, sequence: int
    ) -> frames.Pong:
        return frames.Pong(
            sequence,
            self._members.is_draining,
            self._catalog.current.version,
            self._members.reaches_store,
            self._members.fleet_digest,
            self._observations_for(connection),
            self._catalog.age_ms,
        )

    def _observations_for(
        self, connection: links.FrameConnection
    ) -> tuple[frames.Observation, ...]:
        """Return what a host needs to take over gateways of this one."""
        hello = connection.hello
        if hello is None or not self._members.may_become_gateway_host(
            hello.host_id
        ):
            return ()
        return self._gateways.observations()


def _owner_id(connection: links.FrameConnection) -> str:
    """Return the key of the sending process; '' before its ``Hello``."""
    if connection.hello is None:
        return ''
    return f'{connection.hello.host_id}/{connection.hello.incarnation}'


class PeerDispatcher:
    """Sends each statement to the host that is its service's gateway."""

    def __init__(
        self,
        members: members_module.Members,
        gateways: gateways_module.ServiceGateways,
    ) -> None:
        self._members = members
        self._gateways = gateways
        self._background = background.Background()

    def choose(self, service: str) -> str:
        return self._gateways.gateway_host_id(service)

    async def run(
        self, host_id: str, work: work_module.Work
    ) -> work_module.Outcome:
        outcome = await self._send_work(host_id, work)
        if not _is_retryable(outcome, work):
            return outcome
        other_host_id = self.choose(work.service)
        if other_host_id == host_id:
            return outcome
        _log.info(
            'work_rerouted',
            request=work.request_id,
            earlier=host_id,
            gateway=other_host_id,
            reason=outcome.reason,
        )
        return await self._send_work(other_host_id, work)

    async def _send_work(
        self, host_id: str, work: work_module.Work
    ) -> work_module.Outcome:
        if host_id == self._members.local.host_id:
            return await self._gateways.run(LOCAL_OWNER, work)
        link = self._members.link_to(host_id)
        if link is None or self._members.is_cut_off_from(link):
            return links.outcome_without_answer(links.NOT_SENT)
        answer = await link.request(
            lambda call_id: frames.WorkFrame(call_id, work),
            work.budget_ms + ANSWER_MARGIN_MS,
        )
        match answer:
            case frames.OutcomeFrame():
                return answer.outcome
            case exceptions.Sentinel():
                return links.outcome_without_answer(answer)
            case _:
                return work_module.Lost('an answer of another kind')

    def abandon(self, host_id: str, transaction: int) -> None:
        if host_id == self._members.local.host_id:
            rollback = self._gateways.abandon(LOCAL_OWNER, transaction)
            self._background.spawn(rollback)
            return
        link = self._members.link_to(host_id)
        if link is not None:
            link.send(frames.Abandon(transaction))


def _is_retryable(
    outcome: work_module.Outcome, work: work_module.Work
) -> TypeGuard[work_module.Refused | work_module.Lost]:
    """Tell whether work without an answer may be sent to another gateway.

    Work whose answer was lost may have run, so only reads are sent again, and
    not after a time-out. Work that didn't leave this host may always be sent
    again. Statements inside a transaction never are, because the transaction
    is open at the first gateway.
    """
    if work.stage is not work_module.Stage.SINGLE:
        return False
    match outcome:
        case work_module.Lost():
            return not work.writes and not outcome.timed_out
        case work_module.Refused():
            return outcome.reason == links.UNREACHABLE
        case _:
            return False
