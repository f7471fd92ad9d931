"""Answers other hosts, and sends them the work of local sessions."""

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

# Added to a statement's time limit while its gateway is on another host: the
# gateway's own time-out answer must arrive before the link's.
ANSWER_MARGIN_MS = 250

LOCAL_OWNER = 'local'

_log = log.get_logger(__name__)


class PeerService:
    """Handles the frames that other hosts send to this one."""

    def __init__(
        self,
        members: members_module.Members,
        gateways: gateways_module.Gateways,
        allowance: allowance_module.Allowance,
        catalog: watch.CatalogWatch,
    ) -> None:
        self._members = members
        self._gateways = gateways
        self._allowance = allowance
        self._catalog = catalog
        self._background = background.Background()
        self._senders: set[links.FrameConnection] = set()

    def announce(self, claims: frames.Claims) -> None:
        """Tell all hosts that dialled this one which gateways it has."""
        for sender in self._senders:
            sender.send(claims)

    def handle(
        self, sender: links.FrameConnection, frame: frames.Frame
    ) -> None:
        match frame:
            case frames.WorkFrame():
                self._background.spawn(self._work(sender, frame))
            case frames.Ping():
                self._ping(sender, frame)
            case frames.TokenRequest():
                given = self._allowance.give(
                    frame.account, frame.millitokens, frame.least
                )
                sender.send(frames.TokenAnswer(frame.call, given))
            case frames.Abandon():
                self._background.spawn(
                    self._gateways.abandon(_owner(sender), frame.transaction)
                )
            case frames.SnapshotRequest():
                sender.send(
                    frames.Snapshot(
                        frame.call,
                        self._catalog.current.version,
                        self._catalog.raw,
                    )
                )
            case frames.Snapshot():
                self._catalog.adopt_if_newer(frame.catalog, _owner(sender))
            case frames.Hello():
                self._senders.add(sender)
                sender.send(self._gateways.claims)
                self._members.learn(frame)
            case _:
                _log.warning(
                    'peer_frame_unexpected', kind=type(frame).__name__
                )

    def disconnected(self, sender: links.FrameConnection) -> None:
        self._senders.discard(sender)
        self._background.spawn(self._gateways.abandon_all(_owner(sender)))

    async def _work(
        self, sender: links.FrameConnection, frame: frames.WorkFrame
    ) -> None:
        outcome = await self._gateways.run(_owner(sender), frame.work)
        sender.send(frames.OutcomeFrame(frame.call, outcome))

    def _ping(self, sender: links.FrameConnection, ping: frames.Ping) -> None:
        self._allowance.accept(ping.deposits)
        sender.send(
            frames.Pong(
                ping.sequence,
                self._members.is_draining,
                self._catalog.current.version,
                self._members.reaches_store,
            )
        )


def _owner(sender: links.FrameConnection) -> str:
    if sender.hello is None:
        return ''
    return f'{sender.hello.host_id}/{sender.hello.incarnation}'


class PeerDispatcher:
    """Sends work to the host that is the gateway of its service."""

    def __init__(
        self,
        members: members_module.Members,
        gateways: gateways_module.Gateways,
    ) -> None:
        self._members = members
        self._gateways = gateways
        self._background = background.Background()

    def choose(self, service: str) -> str:
        return self._gateways.owner(service)

    async def run(
        self, host_id: str, work: work_module.Work
    ) -> work_module.Outcome:
        outcome = await self._send(host_id, work)
        if not _may_repeat(outcome, work):
            return outcome
        other = self.choose(work.service)
        if other == host_id:
            return outcome
        _log.info(
            'work_rerouted',
            request=work.request_id,
            earlier=host_id,
            gateway=other,
            reason=outcome.reason,
        )
        return await self._send(other, work)

    async def _send(
        self, host_id: str, work: work_module.Work
    ) -> work_module.Outcome:
        if host_id == self._members.local.host_id:
            return await self._gateways.run(LOCAL_OWNER, work)
        link = self._members.link(host_id)
        if link is None:
            return links.lost(links.NOT_SENT)
        answer = await link.ask(
            lambda call: frames.WorkFrame(call, work),
            work.budget_ms + ANSWER_MARGIN_MS,
        )
        match answer:
            case frames.OutcomeFrame():
                return answer.outcome
            case exceptions.Sentinel():
                return links.lost(answer)
            case _:
                return work_module.Lost('an answer of another kind')

    def abandon(self, host_id: str, transaction: int) -> None:
        if host_id == self._members.local.host_id:
            job = self._gateways.abandon(LOCAL_OWNER, transaction)
            self._background.spawn(job)
            return
        link = self._members.link(host_id)
        if link is not None:
            link.tell(frames.Abandon(transaction))


def _may_repeat(
    outcome: work_module.Outcome, work: work_module.Work
) -> TypeGuard[work_module.Refused | work_module.Lost]:
    """Tell whether another gateway may run work that one didn't answer.

    Only a lost read may be sent twice; work that didn't leave this host may
    in any case, unless its transaction is open elsewhere.
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
