"""The HTTP server for callers and operators."""

import asyncio
import collections.abc
import dataclasses
import json
import ssl
from typing import Any
from typing import Protocol

from tornado import httpserver
from tornado import httputil
from tornado import web

from samphirestand.callers import authentication
from samphirestand.callers import entry as entry_module
from samphirestand.callers import models
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import types

# A connection may be idle, or slow with its headers, for this long.
IDLE_TIMEOUT_S = 120.0
# A body must arrive within this time.
BODY_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 16_384

# A draining host must have run no request for this long before it closes its
# listener, so that a request that is already on its way on an idle connection
# is still answered.
DRAIN_IDLE_MS = 500
DRAIN_CHECK_INTERVAL_MS = 20

NOT_RUN_STATUSES = {
    'bad_request': 400,
    'bad_statement': 400,
    'bad_session': 400,
    'key_missing': 401,
    'key_unknown': 401,
    'key_withdrawn': 401,
    'key_role_mismatch': 403,
    'session_account_mismatch': 403,
    'transaction_account_mismatch': 403,
    'service_unknown': 404,
    'transaction_unknown': 404,
    'session_position_discarded': 409,
    'transaction_lost': 409,
    'conflict': 409,
    'body_too_large': 413,
    'rate_exceeded': 429,
}
DEFAULT_NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504

_log = log.get_logger(__name__)


class OperatorCommands(Protocol):
    """Executes operators' commands."""

    async def execute(self, command: str, operator: str) -> dict[str, Any]:
        """Execute a command; return its answer or raise ``CommandError``."""


@dataclasses.dataclass
class ServerState:
    """The state that all request handlers of one server share."""

    entry: entry_module.Entry
    configuration: interfaces.ConfigurationSource
    membership: interfaces.Membership
    metrics: metrics_module.Metrics
    operators: OperatorCommands
    clock: clock_module.Clock
    max_body_bytes: int
    operator_keys_by_id: collections.abc.Mapping[str, types.Key]
    is_draining: bool = False
    running_requests: int = 0


class Server:
    """The HTTP server; it can stop without interrupting a request."""

    def __init__(
        self,
        state: ServerState,
        tls: ssl.SSLContext | None = None,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        self._state = state
        self._http = httpserver.HTTPServer(
            make_application(state),
            ssl_options=tls,
            idle_connection_timeout=idle_timeout_s,
            body_timeout=body_timeout_s,
            max_header_size=MAX_HEADER_BYTES,
            # The handlers refuse large bodies themselves, with an answer;
            # tornado would only close the connection.
            max_body_size=2 * state.max_body_bytes,
        )

    def listen(self, port: int, address: str) -> None:
        """Listen on a port of an IP address."""
        self._http.listen(port, address)

    def add_sockets(self, sockets: collections.abc.Iterable[Any]) -> None:
        """Listen on sockets that are already bound."""
        self._http.add_sockets(sockets)

    async def drain(self, limit_ms: int, notice_ms: int = 0) -> int:
        """Stop listening when no request runs or ``limit_ms`` is over.

        Answers tell callers to close the connection, so that they connect to
        another host. New requests are served until the listener closes, for
        at least ``notice_ms``, so that load balancers see that the host
        leaves; a balancer that hasn't seen it sends requests to a connection
        that is being closed. Returns the number of requests that still run,
        which is 0 unless ``limit_ms`` is over.
        """
        self._state.is_draining = True
        now_ms = self._state.clock.now()
        deadline_ms = now_ms + limit_ms
        idle_since_ms = max(now_ms, now_ms + notice_ms - DRAIN_IDLE_MS)
        while self._state.clock.now() < deadline_ms:
            if self._state.running_requests:
                idle_since_ms = max(idle_since_ms, self._state.clock.now())
            elif self._state.clock.now() - idle_since_ms >= DRAIN_IDLE_MS:
                break
            await self._state.clock.sleep(DRAIN_CHECK_INTERVAL_MS)
        self._http.stop()
        while (
            self._state.running_requests
            and self._state.clock.now() < deadline_ms
        ):
            await self._state.clock.sleep(DRAIN_CHECK_INTERVAL_MS)
        return self._state.running_requests

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._http.stop()
        await self._http.close_all_connections()


def make_application(state: ServerState) -> web.Application:
    """Return the tornado application of ``state``."""
    settings: dict[str, Any] = {'state': state}
    return web.Application(
        [
            (r'/v1/statements', StatementHandler, settings),
            (r'/v1/transactions', BeginHandler, settings),
            (
                r'/v1/transactions/([^/]{1,256})/(commit|rollback)',
                EndHandler,
                settings,
            ),
            (r'/v1/operator', OperatorHandler, settings),
            (r'/v1/health', HealthHandler, settings),
            (r'/v1/metrics', MetricsHandler, settings),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=settings,
        log_function=_skip_request_log,
    )


class JsonHandler(web.RequestHandler):
    """Base of all request handlers; answers with JSON."""

    def initialize(self, state: ServerState) -> None:
        self.state = state

    def set_default_headers(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.clear_header('Server')

    def compute_etag(self) -> None:
        """Return no entity tag, to save the hashing of each answer."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        if status_code >= 500:
            outcome: types.Outcome = types.Unknown(
                'internal_error', 'internal error'
            )
            status_code = UNKNOWN_STATUS
        else:
            outcome = types.NotRun(
                'bad_request', httputil.responses.get(status_code, 'refused')
            )
        self.set_status(status_code)
        self.finish(to_document(outcome))

    async def send_outcome(
        self, outcome: types.Outcome, document: dict[str, Any]
    ) -> None:
        """Send ``document`` with the HTTP status of ``outcome``."""
        code = http_status(outcome)
        self.set_status(code)
        if code == 401:
            self.set_header('WWW-Authenticate', 'Bearer')
        await self.send_document(document)

    async def send_document(self, document: dict[str, Any]) -> None:
        """Send ``document`` as JSON and wait until it is written out."""
        if self.state.is_draining:
            self.set_header('Connection', 'close')
        await self.finish(json.dumps(document, separators=(',', ':')).encode())


class UnknownPathHandler(JsonHandler):
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        self.set_status(404)
        self.finish(to_document(types.NotRun('bad_request', 'no such path')))


@web.stream_request_body
class BodyHandler(JsonHandler):
    """Reads a body up to the size limit and counts running requests.

    A request counts as running until its answer is written out. If the
    caller disconnects, its request is abandoned.
    """

    def initialize(self, state: ServerState) -> None:
        super().initialize(state)
        self.cancellation = entry_module.CancellationToken()
        self._chunks: list[bytes] = []
        self._size = 0
        self._counts_as_running = False
        self._is_answering = False

    async def prepare(self) -> None:
        # Counted before the body is read, so that a drain waits for requests
        # whose body is still being sent.
        self.state.running_requests += 1
        self._counts_as_running = True
        length = self.request.headers.get('Content-Length', '0')
        if length.isdecimal() and int(length) > self.state.max_body_bytes:
            await self._refuse_oversized_body()

    async def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size <= self.state.max_body_bytes:
            self._chunks.append(chunk)
            return
        self._chunks.clear()
        if not self._finished:
            await self._refuse_oversized_body()

    async def post(self, *arguments: str) -> None:
        self._is_answering = True
        try:
            await self.handle_body(b''.join(self._chunks), *arguments)
        except models.BadRequest as error:
            refused = types.NotRun(error.code, error.message)
            self.state.metrics.count(f'callers.not_run.{error.code}')
            await self.send_outcome(refused, to_document(refused))
        except asyncio.CancelledError:
            # The caller has gone and its request had not been sent; any other
            # cancellation is raised again.
            if not self.cancellation.is_abandoned:
                raise
            self.state.metrics.count('callers.abandoned')
        finally:
            self._mark_finished()

    async def handle_body(self, content: bytes, *arguments: str) -> None:
        """Answer the request whose body is ``content``."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self.cancellation.abandon()
        if not self._is_answering:
            self._mark_finished()

    def on_finish(self) -> None:
        if not self._is_answering:
            self._mark_finished()

    def _mark_finished(self) -> None:
        if self._counts_as_running:
            self._counts_as_running = False
            self.state.running_requests -= 1

    async def _refuse_oversized_body(self) -> None:
        error = models.BodyTooLarge(
            f'the body exceeds {self.state.max_body_bytes} bytes'
        )
        refused = types.NotRun(error.code, error.message)
        self.state.metrics.count(f'callers.not_run.{error.code}')
        self._is_answering = True
        # The rest of the body isn't read, so the connection can't be reused.
        self.set_header('Connection', 'close')
        try:
            await self.send_outcome(refused, to_document(refused))
        finally:
            self._mark_finished()


class CallHandler(BodyHandler):
    """Base of the handlers that pass a validated call to the entry."""

    async def run_call(self, call: models.Call) -> None:
        """Run ``call`` and send its outcome."""
        reply = await self.state.entry.handle(
            call, self.request.headers.get('Authorization'), self.cancellation
        )
        document = to_document(reply.outcome)
        if reply.session_token:
            document['session'] = reply.session_token
        await self.send_outcome(reply.outcome, document)


class StatementHandler(CallHandler):
    """``POST /v1/statements``"""

    async def handle_body(self, content: bytes, *arguments: str) -> None:
        await self.run_call(models.parse_statement(content))


class BeginHandler(CallHandler):
    """``POST /v1/transactions``"""

    async def handle_body(self, content: bytes, *arguments: str) -> None:
        await self.run_call(models.parse_begin(content))


class EndHandler(CallHandler):
    """``POST /v1/transactions/<id>/commit`` and ``/rollback``"""

    async def handle_body(self, content: bytes, *arguments: str) -> None:
        transaction_id, operation = arguments
        await self.run_call(
            models.parse_end(operation, transaction_id, content)
        )


class OperatorHandler(BodyHandler):
    """``POST /v1/operator``"""

    async def handle_body(self, content: bytes, *arguments: str) -> None:
        operator = self._authenticate_operator()
        if isinstance(operator, types.NotRun):
            await self.send_outcome(operator, to_document(operator))
            return
        command = models.validate_body(models.OperatorBody, content).command
        try:
            document = await self.state.operators.execute(command, operator)
        except exceptions.CommandError as error:
            refused = types.NotRun('bad_request', error.message)
            await self.send_outcome(refused, to_document(refused))
            return
        await self.send_document(document)

    def _authenticate_operator(self) -> str | types.NotRun:
        configuration = self.state.configuration.current
        # A key of the configuration replaces a key of the settings with the
        # same id, so that an operator can withdraw it.
        keys = {
            **self.state.operator_keys_by_id,
            **configuration.keys_by_id,
        }
        caller = authentication.authenticate(
            self.request.headers.get('Authorization'),
            dataclasses.replace(configuration, keys_by_id=keys),
            role=authentication.OPERATOR_ROLE,
        )
        if isinstance(caller, types.NotRun):
            return caller
        return caller.key_id


class HealthHandler(JsonHandler):
    """``GET /v1/health``"""

    async def get(self) -> None:
        status_name = self.state.membership.local.status.value
        if self.state.is_draining:
            status_name = types.HostStatus.DRAINING.value
        elif not self.state.configuration.is_confirmed():
            status_name = types.HostStatus.CUT_OFF.value
        # A host that is cut off still serves what it can, so it answers 200;
        # with 503 a load balancer would take all hosts of a zone that is cut
        # off out of use.
        is_leaving = status_name == types.HostStatus.DRAINING.value
        self.set_status(503 if is_leaving else 200)
        await self.send_document(
            {
                'status': status_name,
                'host': self.state.membership.local.host_id,
                'zone': self.state.membership.local.zone,
                'version': self.state.configuration.current.version,
            }
        )


class MetricsHandler(JsonHandler):
    """``GET /v1/metrics``"""

    async def get(self) -> None:
        await self.send_document(self.state.metrics.snapshot())


def http_status(outcome: types.Outcome) -> int:
    """Return the HTTP status of an outcome."""
    match outcome:
        case types.Done():
            return 200
        case types.NotRun(code=code):
            return NOT_RUN_STATUSES.get(code, DEFAULT_NOT_RUN_STATUS)
        case types.Unknown():
            return UNKNOWN_STATUS


def to_document(outcome: types.Outcome) -> dict[str, Any]:
    """Return the JSON document of an outcome, without the session."""
    match outcome:
        case types.Done():
            document = {
                'outcome': 'done',
                'rows': outcome.rows,
                'served_by': outcome.target_id,
                'role': outcome.role,
                'age_ms': outcome.age_ms,
                'replayed': outcome.replayed,
            }
            if outcome.transaction_id:
                document['transaction'] = outcome.transaction_id
            return document
        case types.NotRun():
            return {
                'outcome': 'not_run',
                'code': outcome.code,
                'reason': outcome.reason,
                'retry_after_ms': outcome.retry_after_ms,
            }
        case types.Unknown():
            return {
                'outcome': 'unknown',
                'code': outcome.code,
                'reason': outcome.reason,
            }


def _skip_request_log(handler: web.RequestHandler) -> None:
    """Suppress tornado's log line per request; metrics count requests."""
