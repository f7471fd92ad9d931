"""RPC server for other hosts, which must log in with the fleet secret."""

import asyncio
import collections.abc
import hmac
import socket
import ssl
from typing import Any
from typing import Protocol

import capnp

from samphirestand import exceptions
from samphirestand.hosts import codec
from samphirestand import interfaces
from samphirestand import log
from samphirestand import types

logger = log.get_logger(__name__)

# A connection that hasn't logged in after this time is closed, even if it
# keeps sending data.
LOGIN_TIMEOUT_MS = 3_000

# Maximum number of connections that haven't logged in; any further connection
# is closed at once.
UNAUTHENTICATED_MAX = 128

BACKLOG = 512

# Time to send the refusal of a login before its connection is closed.
REFUSAL_FLUSH_MS = 10

# Time to send the last answers before `close` ends the connections. The
# library writes an answer two iterations of the event loop after its task has
# ended.
ANSWERS_FLUSH_MS = 20

# Maximum number of configuration changes in one answer; a peer that needs more
# asks again.
CHANGES_MAX = 100


class GossipReceiver(Protocol):
    """Answers the gossip of other hosts."""

    def receive(self, peer_id: str, state: Any) -> Any:
        """Merge the message ``state`` and return the answer message."""


class ChangeLog(Protocol):
    """The configuration changes that this host has applied."""

    def changes_after(self, version: int) -> list[types.ChangeRow]:
        """Return the changes after ``version`` in order, without gaps."""


class Explainer(Protocol):
    """Explains to operators what happened on this host."""

    def explain(self, kind: str, subject: str) -> str | exceptions.Sentinel:
        """Return a text for operators; a sentinel if nothing is known."""


class Services:
    """The services of this host that other hosts may call."""

    def __init__(
        self,
        gateway: interfaces.GatewayService,
        gossip: GossipReceiver,
        tokens: interfaces.TokenGiver,
        changes: ChangeLog,
        explainer: Explainer,
    ) -> None:
        self.gateway = gateway
        self.gossip = gossip
        self.tokens = tokens
        self.changes = changes
        self.explainer = explainer


class PeerServer:
    """Accepts connections and calls from other hosts."""

    def __init__(
        self,
        identity: collections.abc.Callable[[], tuple[str, int]],
        secret: str,
        services: Services,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """``identity`` returns this host's id and incarnation."""
        self._identity = identity
        self._secret = secret
        self._services = services
        self._tls = tls
        self._unauthenticated = 0
        self._streams: set[Any] = set()
        self._running_calls: set[asyncio.Task[Any]] = set()
        self._connection_tasks: set[asyncio.Task[Any]] = set()
        self._server: Any = None
        self._socket: Any = None

    async def start(self, address: str, port: int) -> int:
        """Listen and return the port; the system picks one if it is 0."""
        self._socket = listening_socket(address, port)
        await self.listen(self._tls)
        return self._socket.getsockname()[1]

    async def listen(self, tls: ssl.SSLContext | None) -> None:
        """Use ``tls`` for new connections; present ones stay open."""
        timeout_s = None if tls is None else LOGIN_TIMEOUT_MS / 1000
        previous = self._server
        self._server = await capnp.AsyncIoStream.create_server(
            self._serve_connection,
            sock=self._socket.dup(),
            ssl=tls,
            ssl_handshake_timeout=timeout_s,
            backlog=BACKLOG,
        )
        if previous is not None:
            previous.close()

    async def close(self) -> None:
        """Stop listening, finish the requests under way, then disconnect."""
        self._server.close()
        self._socket.close()
        if self._running_calls:
            await asyncio.wait(self._running_calls)
            await asyncio.sleep(ANSWERS_FLUSH_MS / 1000)
        for stream in list(self._streams):
            stream.close()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks)

    async def _serve_connection(self, stream: Any) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._connection_tasks.add(task)
            task.add_done_callback(self._connection_tasks.discard)
        if self._unauthenticated >= UNAUTHENTICATED_MAX:
            logger.warning('stranger_refused', reason='too many')
            stream.close()
            return
        login = LoginServer(self)
        self._streams.add(stream)
        self._unauthenticated += 1
        try:
            two_party = capnp.TwoPartyServer(stream, bootstrap=login)
            disconnected = asyncio.ensure_future(
                codec.wait_for_promise(two_party.on_disconnect())
            )
            try:
                has_logged_in = await self._await_login(login, disconnected)
            finally:
                self._unauthenticated -= 1
            if has_logged_in:
                await disconnected
            disconnected.cancel()
        except capnp.KjException as error:
            # The peer sent a malformed message, or its process ended without
            # closing the connection.
            logger.info('peer_connection_failed', reason=codec.describe(error))
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _await_login(
        self, login: 'LoginServer', disconnected: asyncio.Future[Any]
    ) -> bool:
        """Tell whether the peer logged in before the time-out."""
        decided = asyncio.ensure_future(login.decided.wait())
        try:
            await asyncio.wait(
                (decided, disconnected),
                timeout=LOGIN_TIMEOUT_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            decided.cancel()
        if not login.peer_id:
            logger.warning('stranger_refused', reason=login.reason)
            await asyncio.sleep(REFUSAL_FLUSH_MS / 1000)
            disconnected.cancel()
        return bool(login.peer_id)

    def login_refusal(self, host_id: str, secret: str) -> str:
        """Return the reason for refusing a login; empty if it is accepted."""
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            return 'wrong fleet secret'
        if not host_id:
            return 'no host id'
        return ''

    async def run_to_completion(
        self, call: collections.abc.Coroutine[Any, Any, Any]
    ) -> Any:
        """Run ``call`` in a task of its own; ``close`` waits for its end.

        The library cancels a method when the calling host disconnects, but a
        statement that was sent to a target must run to its end.
        """
        task = asyncio.create_task(call)
        self._running_calls.add(task)
        task.add_done_callback(self._running_calls.discard)
        return await asyncio.shield(task)

    @property
    def services(self) -> Services:
        return self._services

    @property
    def identity(self) -> tuple[str, int]:
        return self._identity()


def listening_socket(address: str, port: int) -> socket.socket:
    """Return a socket bound to the address.

    It is created with its protocol named: only on connections of such a socket
    does asyncio set TCP_NODELAY, without which each call took 45 ms because of
    delayed acknowledgements.
    """
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((address, port))
    return bound


class LoginServer(codec.schema.Login.Server):
    """The only interface that a connection can call before it logs in."""

    def __init__(self, server: PeerServer) -> None:
        self._server = server
        self.decided = asyncio.Event()
        self.peer_id = ''
        self.reason = 'no login in time'

    async def hello(
        self,
        hostId: str,  # noqa: N803  names of the schema
        zone: str,
        incarnation: int,
        secret: str,
        **_: Any,
    ) -> tuple[str, int, Any]:
        refusal = self._server.login_refusal(hostId, secret)
        self.decided.set()
        if refusal:
            self.reason = refusal
            raise PermissionError('login refused')
        self.peer_id = hostId
        own_id, own_incarnation = self._server.identity
        return own_id, own_incarnation, PeerMethods(self._server, hostId)


class PeerMethods(codec.schema.Peer.Server):
    """The methods that a host can call after it has logged in."""

    def __init__(self, server: PeerServer, peer_id: str) -> None:
        self._server = server
        self._services = server.services
        self._peer_id = peer_id

    async def run(self, request: Any, **_: Any) -> Any:
        try:
            decoded = codec.decode_request(request)
        except (ValueError, capnp.KjException) as error:
            return codec.encode_outcome(
                types.NotRun(
                    'bad_request', f'unusable message: {codec.describe(error)}'
                )
            )
        outcome = await self._server.run_to_completion(
            self._services.gateway.run(decoded)
        )
        return codec.encode_outcome(outcome)

    async def gossip(self, state: Any, **_: Any) -> Any:
        return self._services.gossip.receive(self._peer_id, state)

    async def takeTokens(  # noqa: N802  name of the schema
        self, account: str, wanted: int, collect: bool, **_: Any
    ) -> tuple[int, int]:
        grant = await self._services.tokens.give(account, wanted, collect)
        return grant.tokens, grant.valid_ms

    async def targetStatus(  # noqa: N802
        self,
        targetId: str,  # noqa: N803
        forWrite: Any,  # noqa: N803
        waitMs: int,  # noqa: N803
        **kwargs: Any,
    ) -> None:
        position = codec.decode_position(forWrite)
        status = await self._services.gateway.target_status(
            targetId, position if position.term else None, waitMs
        )
        results = kwargs['_context'].results
        if isinstance(status, exceptions.Sentinel):
            results.known = False
            return
        results.known = True
        results.state = codec.encode_state(status.state)
        results.ageMs = max(status.age_ms, 0)
        results.suspect = status.suspects_primary

    async def configurationChanges(  # noqa: N802
        self, after: int, **_: Any
    ) -> Any:
        rows = self._services.changes.changes_after(after)[:CHANGES_MAX]
        return [codec.encode_change(row) for row in rows]

    async def explain(self, kind: str, id: str, **_: Any) -> tuple[bool, str]:
        text = self._services.explainer.explain(kind, id)
        if isinstance(text, exceptions.Sentinel):
            return False, text.reason
        return True, text

    async def ping(self, **_: Any) -> None:
        """Answer, which shows that the connection and process still work."""
