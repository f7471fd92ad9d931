"""Handles frames of other hosts; sends statements to gateway hosts."""

import collections
import dataclasses
from typing import TypeGuard

from samphirestand import background
from samphirestand import exceptions
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import evacuations as evacuations_module
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import members as members_module
from samphirestand.fleet import watch
from samphirestand.gateway import explanation
from samphirestand.gateway import gateways as gateways_module
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import work as work_module

__all__ = ['PeerDispatcher', 'PeerService']

# Added to a statement's time limit when its gateway is on another host, so
# that the gateway's own time-out answer arrives before the link's time-out.
ANSWER_MARGIN_MS = 250

# How long another host may take to explain; it answers without waiting.
EXPLAIN_TIMEOUT_MS = 1_000

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
        metrics: metrics_module.Metrics,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._members = members
        self._gateways = gateways
        self._rate_limiter = rate_limiter
        self._catalog = catalog
        self._evacuations = evacuations
        self._background = background.Background()
        self._metrics = metrics
        # Of the work without an outcome, by its call id.
        self._withdrawals_by_connection: dict[
            links.FrameConnection, dict[int, work_module.Withdrawal]
        ] = {}
        # The process that opened each connection, and how many it has open.
        self._owners_by_connection: dict[links.FrameConnection, str] = {}
        self._connection_counts_by_owner: collections.Counter[str] = (
            collections.Counter()
        )

    def announce(self, claims: frames.Claims) -> None:
        """Send this host's gateways to all hosts that connected to it."""
        claims = _with_withdrawals(claims)
        data = frames.encode(claims)
        for connection in self._owners_by_connection:
            connection.send(claims, data)

    def announce_demands(self, claims: frames.Claims) -> None:
        """Send this host's gateways to the hosts that may succeed it.

        For changes of demand, which decide nothing on other hosts while this
        one answers.
        """
        claims = _with_withdrawals(claims)
        data = frames.encode(claims)
        for connection in self._owners_by_connection:
            hello = connection.hello
            if hello is not None and self._members.may_become_gateway_host(
                hello.host_id
            ):
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
                self._start_work(connection, frame)
            case frames.ExplainRequest():
                part = self._gateways.explain(frame.work)
                connection.send(
                    frames.Explanation(frame.call_id, explanation.encode(part))
                )
            case frames.Withdraw():
                self._withdraw(connection, frame.call_id)
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
                    catalog_exchange.build_snapshot(
                        self._catalog,
                        self._evacuations,
                        frame.call_id,
                        omits_catalog=frame.omits_catalog,
                    )
                )
            case frames.DirectoryRequest():
                connection.send(
                    frames.Directory(
                        frame.call_id, self._members.directory_value
                    )
                )
            case frames.Snapshot():
                catalog_exchange.adopt_snapshot(
                    frame,
                    self._catalog,
                    self._evacuations,
                    _owner_id(connection),
                )
            case frames.Hello():
                self._forget_owner(connection)
                owner_id = _owner_id(connection)
                self._owners_by_connection[connection] = owner_id
                self._connection_counts_by_owner[owner_id] += 1
                connection.send(_with_withdrawals(self._gateways.claims))
                self._members.add_host(frame)
            case _:
                _log.warning(
                    'peer_frame_unexpected', kind=type(frame).__name__
                )

    def handle_disconnect(self, connection: links.FrameConnection) -> None:
        self._forget_owner(connection)
        # No answer can be delivered on this connection any more.
        pending = self._withdrawals_by_connection.get(connection, {})
        for withdrawal in list(pending.values()):
            withdrawal.request()
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

    def _start_work(
        self, connection: links.FrameConnection, frame: frames.WorkFrame
    ) -> None:
        withdrawal = work_module.Withdrawal()
        pending = self._withdrawals_by_connection.setdefault(connection, {})
        pending[frame.call_id] = withdrawal
        self._background.spawn(self._run_work(connection, frame, withdrawal))

    def _withdraw(
        self, connection: links.FrameConnection, call_id: int
    ) -> None:
        """Drop the work of a call if it waits.

        A call that is unknown has been answered meanwhile.
        """
        withdrawal = self._withdrawals_by_connection.get(connection, {}).get(
            call_id
        )
        if withdrawal is None:
            self._metrics.count('withdrawals_unknown')
            return
        withdrawal.request()

    async def _run_work(
        self,
        connection: links.FrameConnection,
        frame: frames.WorkFrame,
        withdrawal: work_module.Withdrawal,
    ) -> None:
        try:
            outcome = await self._gateways.run(
                _owner_id(connection), frame.work, withdrawal
            )
        finally:
            pending = self._withdrawals_by_connection.get(connection, {})
            pending.pop(frame.call_id, None)
            if not pending:
                self._withdrawals_by_connection.pop(connection, None)
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
            0 if self._evacuations is None else self._evacuations.version,
            0 if self._evacuations is None else self._evacuations.digest,
            return_digest=0
            if self._evacuations is None
            else self._evacuations.return_digest,
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


def _with_withdrawals(claims: frames.Claims) -> frames.Claims:
    return dataclasses.replace(claims, takes_withdrawals=True)


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
        self,
        host_id: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal,
    ) -> work_module.Outcome:
        outcome = await self._send_work(host_id, work, withdrawal)
        if withdrawal.is_requested or not _is_retryable(outcome, work):
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
        return await self._send_work(other_host_id, work, withdrawal)

    async def _send_work(
        self,
        host_id: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal,
    ) -> work_module.Outcome:
        if host_id == self._members.local.host_id:
            return await self._gateways.run(LOCAL_OWNER, work, withdrawal)
        link = self._usable_link(host_id)
        if link is None:
            return links.outcome_without_answer(links.NOT_SENT)
        answer = await link.request(
            lambda call_id: frames.WorkFrame(call_id, work),
            work.budget_ms + ANSWER_MARGIN_MS,
            withdrawal,
        )
        match answer:
            case frames.OutcomeFrame():
                return answer.outcome
            case exceptions.Sentinel():
                return links.outcome_without_answer(answer)
            case _:
                return work_module.Lost('an answer of another kind')

    def _usable_link(self, host_id: str) -> links.Link | None:
        """Return the link for work to a host; None if nothing gets there."""
        link = self._members.link_to(host_id)
        if link is None or self._members.is_cut_off_from(link):
            return None
        return link

    async def explain(
        self, work: work_module.Work
    ) -> tuple[str, str, explanation.GatewayPart | exceptions.Sentinel]:
        """Return the gateway host, why it is that one, and what it would do.

        A sentinel says why that isn't known.
        """
        host_id, reason = self._gateways.gateway_host_and_reason(work.service)
        part = await self._ask_host(host_id, work)
        if (
            isinstance(part, explanation.GatewayPart)
            and part.rate is not None
            and part.rate_refusal is not None
        ):
            part = explanation.settle_rate(
                part, await self._ask_host(part.rate.pool_host, work)
            )
        return host_id, reason, part

    async def _ask_host(
        self, host_id: str, work: work_module.Work
    ) -> explanation.GatewayPart | exceptions.Sentinel:
        if host_id == self._members.local.host_id:
            return self._gateways.explain(work)
        link = self._usable_link(host_id)
        if link is None or not link.is_open:
            return _unsent_part()
        if not link.is_up:
            return exceptions.Sentinel('it does not answer')
        if not link.answers_explain:
            # It would close the connection on a frame that it doesn't know.
            return exceptions.Sentinel('it is of an older release')
        answer = await link.request(
            lambda call_id: frames.ExplainRequest(call_id, work),
            EXPLAIN_TIMEOUT_MS,
            is_use=False,
        )
        match answer:
            case frames.Explanation():
                return explanation.decode(answer.document)
            case exceptions.Sentinel() if answer is links.NOT_SENT:
                return _unsent_part()
            case exceptions.Sentinel():
                return answer
            case _:
                return exceptions.Sentinel('an answer of another kind')

    def abandon(self, host_id: str, transaction: int) -> None:
        if host_id == self._members.local.host_id:
            rollback = self._gateways.abandon(LOCAL_OWNER, transaction)
            self._background.spawn(rollback)
            return
        link = self._members.link_to(host_id)
        if link is not None:
            link.send(frames.Abandon(transaction))


def _unsent_part() -> explanation.GatewayPart:
    """Return the part for work that can't leave this host."""
    outcome = links.outcome_without_answer(links.NOT_SENT)
    assert isinstance(outcome, work_module.Refused)
    return explanation.GatewayPart(explanation.refused(outcome))


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
