"""Simulated database server: WebSocket sessions and replication."""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import signal
import time
from typing import Any
import urllib.parse

from tornado import httpclient
from tornado import web
from tornado import websocket

from samphirestand import addresses
from samphirestand import clock as clock_module
from samphirestand.targets import messages
from samphirestand import types
from standins import database

# Interval at which idle locks and delayed entries are checked.
TICK_INTERVAL_MS = 10
# Maximum time that a replica's pull is held open without new entries.
PULL_WAIT_MS = 200
PULL_TIMEOUT_MS = 1_000
PULL_RETRY_DELAY_MS = 100
# Keeps replication messages far below tornado's limit of 10 MiB.
MAX_BATCH_ENTRIES = 1_000
# Time for waiting calls to return when the server stops.
STOP_DELAY_MS = 50
# Upper limit on the wait_ms of a status call.
MAX_STATUS_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Options:
    """Command line options of a server.

    ``primary_url`` is None for a server that starts as primary.
    """

    server_id: str
    zone: str
    address: str
    port: int
    primary_url: str | None
    slots: int
    max_connections: int
    connect_delay_ms: int
    statement_ms: int
    lag_ms: int
    require_lock: bool
    translation: dict[str, str]
    record_file: str


@dataclasses.dataclass
class Faults:
    """Faults that are currently active."""

    refuse_connections: bool = False
    silent_connection_ids: set[int] = dataclasses.field(default_factory=set)


class Server:
    """A simulated database server and its connections."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.clock = clock_module.SystemClock()
        self.database = database.Database(
            options.server_id,
            self.clock,
            primary_url=options.primary_url,
            lag_ms=options.lag_ms,
            max_connections=options.max_connections,
            require_lock=options.require_lock,
        )
        self.faults = Faults()
        self.records: list[dict[str, Any]] = []
        self._record_fd = -1
        if options.record_file:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._record_fd = os.open(options.record_file, flags, 0o600)
        self.handlers_by_id: dict[int, SessionHandler] = {}
        self.statement_slots = asyncio.Semaphore(options.slots)
        self.running_statements = 0
        self.peak_running_statements = 0
        self.peak_connections = 0
        self.is_stopping = False
        self._state_changed = asyncio.Event()
        self._last_term_and_history: tuple[int, types.History] | None = None
        self._replication_source: tuple[int, str] = (0, '')
        self._replication_task: asyncio.Task[None] | None = None

    async def tick_forever(self) -> None:
        """Process timeouts and delayed entries at a fixed interval."""
        while True:
            self.database.tick()
            self.process_changes()
            await self.clock.sleep(TICK_INTERVAL_MS)

    def process_changes(self) -> None:
        """Act on changes of the database's state.

        Closes connections that it ended, wakes waiting calls, and restarts
        replication if the term or the primary changed.
        """
        for connection_id in self.database.take_ended_connections():
            handler = self.handlers_by_id.pop(connection_id, None)
            if handler is not None:
                handler.close(1001, 'ended by the server')
        term_and_history = (self.database.term, self.database.history)
        if term_and_history != self._last_term_and_history:
            self._last_term_and_history = term_and_history
            self._state_changed.set()
            self._state_changed = asyncio.Event()
        replication_source = (self.database.term, self.database.primary_url)
        if replication_source != self._replication_source:
            self._replication_source = replication_source
            if self._replication_task is not None:
                self._replication_task.cancel()
            self._replication_task = asyncio.create_task(
                self._replicate_from(replication_source[1])
            )

    def store_record(self, record: dict[str, Any]) -> None:
        """Store a record; written unbuffered, so that it survives a kill."""
        self.records.append(record)
        if self._record_fd >= 0:
            os.write(self._record_fd, json.dumps(record).encode() + b'\n')

    async def stop(self) -> None:
        """Close the connections and let waiting calls return."""
        self.is_stopping = True
        self._state_changed.set()
        if self._replication_task is not None:
            self._replication_task.cancel()
        for handler in list(self.handlers_by_id.values()):
            handler.close(1001, 'the server stops')
        await self.clock.sleep(STOP_DELAY_MS)

    async def wait_for_change(self, timeout_ms: int) -> None:
        """Wait until the log or the term changes or the timeout expires."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._state_changed.wait(), timeout_ms / 1000
            )

    async def execute_call(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        """Run a call; None if the connection ended before it could run."""
        refusal = self.database.admit(connection_id, call)
        if refusal is not None:
            return refusal
        match call:
            case messages.Execute() | messages.Statement() | messages.Commit():
                return await self._execute_call_in_slot(
                    connection_id, call, record
                )
            case messages.Status():
                await self._wait_for_position(call)
        if connection_id not in self.database.sessions_by_id:
            return None
        return self._handle_call(connection_id, call, record)

    async def _execute_call_in_slot(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        async with self.statement_slots:
            self.running_statements += 1
            self.peak_running_statements = max(
                self.peak_running_statements, self.running_statements
            )
            try:
                if connection_id not in self.database.sessions_by_id:
                    self.database.abandon(connection_id, call)
                    return None
                # The statement takes effect before its running time passes. If
                # the connection ends in the meantime, the statement has run
                # but gets no answer.
                answer = self._handle_call(connection_id, call, record)
                await self.clock.sleep(self.options.statement_ms)
                return answer
            finally:
                self.running_statements -= 1

    def _handle_call(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        number_before = self.database.transaction_number(connection_id)
        try:
            answer = self.database.handle(connection_id, call)
        except KeyError:
            return None
        number_after = self.database.transaction_number(connection_id)
        record['transaction'] = (
            number_before if number_before is not None else number_after
        )
        record['run_wall_ms'] = self.clock.wall()
        record['result'] = encode_answer(answer)
        # Status probes arrive every 250 ms and would dominate the records.
        if not isinstance(call, messages.Status):
            self.store_record(record)
        self.process_changes()
        return answer

    async def _wait_for_position(self, call: messages.Status) -> None:
        term = self.database.term
        deadline_ms = self.clock.now() + min(call.wait_ms, MAX_STATUS_WAIT_MS)
        while self.database.is_waiting(call, term):
            remaining_ms = deadline_ms - self.clock.now()
            if remaining_ms <= 0:
                return
            await self.wait_for_change(remaining_ms)

    async def _replicate_from(self, primary_url: str) -> None:
        if not primary_url:
            return
        url = addresses.translate_url(
            replication_url(primary_url), self.options.translation
        )
        while True:
            try:
                await self._pull_batches_from(url)
            except (OSError, ValueError, TimeoutError):
                pass
            except (httpclient.HTTPClientError, websocket.WebSocketError):
                pass
            await self.clock.sleep(PULL_RETRY_DELAY_MS)

    async def _pull_batches_from(self, url: str) -> None:
        connection = await websocket.websocket_connect(
            url, connect_timeout=PULL_TIMEOUT_MS / 1000
        )
        try:
            while True:
                pull = self.database.replication_request()
                if pull is None:
                    return
                await connection.write_message(json.dumps(encode_pull(pull)))
                text = await asyncio.wait_for(
                    connection.read_message(), PULL_TIMEOUT_MS / 1000
                )
                batch = decode_batch(json.loads(text)) if text else None
                if batch is None:
                    return
                self.database.receive(batch)
                self.process_changes()
        finally:
            connection.close()


class SessionHandler(websocket.WebSocketHandler):
    """One WebSocket session of a host."""

    def initialize(self, server: Server) -> None:
        self.server = server
        self.connection_id = 0
        self.host_id = ''
        self._call_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def get(self, *args: Any, **kwargs: Any) -> None:
        server = self.server
        self.host_id = self.get_argument('application', '')
        if server.faults.refuse_connections:
            self.set_status(503)
            self.finish('connections are refused')
            return
        try:
            self.connection_id = server.database.open_connection(self.host_id)
        except database.ConnectionLimitError as error:
            self.set_status(503)
            self.finish(str(error))
            return
        server.handlers_by_id[self.connection_id] = self
        server.peak_connections = max(
            server.peak_connections, len(server.database.sessions_by_id)
        )
        await server.clock.sleep(server.options.connect_delay_ms)
        await super().get(*args, **kwargs)

    def check_origin(self, origin: str) -> bool:
        return True

    def open(self, *args: str, **kwargs: str) -> None:
        self.set_nodelay(True)

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._close_session()

    def on_close(self) -> None:
        self._close_session()

    def on_message(self, message: str | bytes) -> None:
        # A separate task lets tornado notice the end of the connection while
        # a call waits; the lock keeps the calls in order.
        task = asyncio.create_task(self._answer_message(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _close_session(self) -> None:
        self.server.handlers_by_id.pop(self.connection_id, None)
        self.server.database.close_connection(self.connection_id)
        self.server.process_changes()

    async def _answer_message(self, text: str | bytes) -> None:
        server = self.server
        try:
            message = json.loads(text)
            call = decode_call(message)
        except (KeyError, TypeError, ValueError) as error:
            self.close(1002, f'not understood: {error!r}'[:100])
            return
        record = {
            'server': server.options.server_id,
            'wall_ms': server.clock.wall(),
            'connection': self.connection_id,
            'application': self.host_id,
            'overlapped': self._call_lock.locked(),
            'message': message,
        }
        async with self._call_lock:
            answer = await server.execute_call(
                self.connection_id, call, record
            )
        if 'result' not in record:
            server.store_record(record)
        if answer is None:
            return
        if self.connection_id in server.faults.silent_connection_ids:
            record['unanswered'] = True
            return
        body = {'id': message.get('id'), **encode_answer(answer)}
        if isinstance(call, messages.Status):
            body['locked_by'] = answer.holder
        try:
            await self.write_message(json.dumps(body))
        except websocket.WebSocketClosedError:
            record['unanswered'] = True


class ReplicationHandler(websocket.WebSocketHandler):
    """One connection of a replica that pulls log entries."""

    def initialize(self, server: Server) -> None:
        self.server = server

    def check_origin(self, origin: str) -> bool:
        return True

    async def on_message(self, message: str | bytes) -> None:
        pull = decode_pull(json.loads(message))
        server = self.server
        deadline_ms = server.clock.now() + PULL_WAIT_MS
        while True:
            batch = server.database.replicate(pull)
            remaining_ms = deadline_ms - server.clock.now()
            if batch is None or _has_changes(pull, batch) or remaining_ms <= 0:
                break
            if server.is_stopping:
                return
            await server.wait_for_change(remaining_ms)
        try:
            await self.write_message(json.dumps(encode_batch(batch)))
        except websocket.WebSocketClosedError:
            pass


class ControlHandler(web.RequestHandler):
    """Base of the handlers that tests and benchmarks call."""

    def initialize(self, server: Server) -> None:
        self.server = server


class FaultsHandler(ControlHandler):
    """Sets faults; each field of the body is optional.

    ``lag_ms``: replication lag. ``freeze_ms``: blocks the process for this
    time. ``silent``: true suppresses answers on all connections that exist
    now, false ends that. ``refuse``: whether new connections are refused.
    """

    def post(self) -> None:
        body = json.loads(self.request.body)
        server = self.server
        if 'lag_ms' in body:
            server.database.lag_ms = int(body['lag_ms'])
        if 'refuse' in body:
            server.faults.refuse_connections = bool(body['refuse'])
        if 'silent' in body:
            silent = set(server.handlers_by_id) if body['silent'] else set()
            server.faults.silent_connection_ids = silent
        if 'freeze_ms' in body:
            # Blocks the whole process, as a paused machine does. The delay
            # lets the answer to this request be sent first.
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, time.sleep, int(body['freeze_ms']) / 1000)
        self.write({})


class LogHandler(ControlHandler):
    """Returns the stored records, skipping the first ``after``."""

    def get(self) -> None:
        after = int(self.get_argument('after', '0'))
        self.write({'records': self.server.records[after:]})


class EntriesHandler(ControlHandler):
    """Returns the replicated log."""

    def get(self) -> None:
        entries = self.server.database.entries
        self.write({'entries': [dataclasses.asdict(each) for each in entries]})


class StateHandler(ControlHandler):
    """Returns the server's state, limits and peak load."""

    def get(self) -> None:
        server = self.server
        state = server.database.state
        self.write(
            {
                **encode_state(state),
                'zone': server.options.zone,
                'locked_by': server.database.locked_by(),
                'connections': [
                    session.application
                    for session in server.database.sessions_by_id.values()
                ],
                'running': server.running_statements,
                'peak_running': server.peak_running_statements,
                'peak_connections': server.peak_connections,
                'slots': server.options.slots,
                'max_connections': server.options.max_connections,
            }
        )


def replication_url(primary_url: str) -> str:
    """Return the replication URL on the server of ``primary_url``."""
    parts = urllib.parse.urlsplit(primary_url)
    return f'{parts.scheme}://{parts.netloc}/replication'


def decode_call(message: dict[str, Any]) -> messages.Call:
    """Return the call that a message describes.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` if it is malformed.
    """
    match message['op']:
        case 'status':
            position = message.get('wait_position')
            return messages.Status(
                types.Position(*position) if position else None,
                int(message.get('wait_ms', 0)),
            )
        case 'lock':
            return messages.Lock(message['name'], message['holder'])
        case 'execute':
            return messages.Execute(
                message['statement'],
                types.Mode(message['mode']),
                message['account'],
                message['request_key'],
                int(message['term']),
            )
        case 'begin':
            return messages.Begin(message['account'], int(message['term']))
        case 'statement':
            return messages.Statement(
                message['statement'],
                types.Mode(message['mode']),
                message['account'],
            )
        case 'commit':
            return messages.Commit(
                message['request_key'], int(message['term'])
            )
        case 'rollback':
            return messages.Rollback()
        case 'fence':
            return messages.Fence(int(message['term']), message['candidate'])
        case 'promote':
            return messages.Promote(int(message['term']), message['candidate'])
        case 'follow':
            return messages.Follow(
                int(message['term']), message['primary_url']
            )
    raise ValueError(f'unknown op {message["op"]!r}')


def encode_state(state: types.TargetState) -> dict[str, Any]:
    """Return the fields that are part of every answer."""
    position = state.position
    return {
        'server': state.server,
        'term': state.term,
        'role': state.role,
        'position': [position.term, position.offset],
        'history': [list(each) for each in state.history.starts],
        'primary_url': state.primary_url,
    }


def encode_answer(answer: messages.Answer) -> dict[str, Any]:
    """Return the JSON fields of an answer except its id."""
    body = encode_state(answer.state)
    if answer.failure is not None:
        body['error'] = {
            'code': answer.failure.code,
            'message': answer.failure.message,
        }
        body['ran'] = answer.failure.ran
        return body
    body['rows'] = list(answer.rows)
    body['replayed'] = answer.replayed
    body['granted'] = answer.granted
    body['holder'] = answer.holder
    if answer.position is not None:
        body['result_position'] = [
            answer.position.term,
            answer.position.offset,
        ]
    return body


def encode_pull(pull: database.Pull) -> dict[str, Any]:
    """Return the JSON form of a replica's request."""
    return dataclasses.asdict(pull)


def decode_pull(body: dict[str, Any]) -> database.Pull:
    """Return the replica's request that a message describes."""
    history = body['history']
    starts = tuple((term, start) for term, start in history['starts'])
    return database.Pull(
        body['server'], body['term'], types.History(starts, history['end'])
    )


def encode_batch(batch: database.Batch | None) -> dict[str, Any] | None:
    """Return the JSON form of a primary's answer.

    Sends at most ``MAX_BATCH_ENTRIES``; the replica pulls the rest next.
    """
    if batch is None:
        return None
    entries = batch.entries[:MAX_BATCH_ENTRIES]
    return dataclasses.asdict(dataclasses.replace(batch, entries=entries))


def decode_batch(body: dict[str, Any] | None) -> database.Batch | None:
    """Return the primary's answer; None if it refused."""
    if body is None:
        return None
    entries = tuple(
        database.Entry(
            term=each['term'],
            offset=each['offset'],
            account=each['account'],
            request_key=each['request_key'],
            changes=tuple((key, value) for key, value in each['changes']),
            rows=tuple(each['rows']),
        )
        for each in body['entries']
    )
    starts = tuple((term, start) for term, start in body['starts'])
    return database.Batch(body['term'], body['keep'], starts, entries)


def _has_changes(pull: database.Pull, batch: database.Batch) -> bool:
    return (
        bool(batch.entries)
        or batch.keep != pull.history.end
        or (batch.starts != pull.history.starts)
    )


def application(server: Server) -> web.Application:
    """Return the tornado application of a server."""
    options = {'server': server}
    return web.Application(
        [
            ('/session', SessionHandler, options),
            ('/replication', ReplicationHandler, options),
            ('/faults', FaultsHandler, options),
            ('/log', LogHandler, options),
            ('/entries', EntriesHandler, options),
            ('/state', StateHandler, options),
        ]
    )


async def serve(options: Options) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = Server(options)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    listener = application(server).listen(options.port, options.address)
    tick_task = asyncio.create_task(server.tick_forever())
    await stop.wait()
    tick_task.cancel()
    listener.stop()
    await server.stop()


def parse(arguments: list[str] | None = None) -> Options:
    """Parse the command line, by default that of the process."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.target', description=__doc__
    )
    add = parser.add_argument
    add('--server-id', required=True)
    add('--zone', default='')
    add('--address', default='127.0.0.1')
    add('--port', type=int, required=True)
    role_group = parser.add_mutually_exclusive_group(required=True)
    role_group.add_argument('--primary', action='store_true')
    role_group.add_argument('--follow', metavar='URL')
    add(
        '--slots',
        type=int,
        default=5,
        help='maximum number of concurrent statements',
    )
    add('--max-connections', type=int, default=60)
    add('--connect-delay-ms', type=int, default=12)
    add('--statement-ms', type=int, default=2)
    add('--lag-ms', type=int, default=0, help='replication lag')
    add(
        '--no-lock',
        action='store_true',
        help='accept statements without the gateway lock',
    )
    add(
        '--translate',
        action='append',
        default=[],
        metavar='IP:PORT=IP:PORT',
        help='translate an address when connecting to the primary',
    )
    add(
        '--record-file',
        default='',
        help='file for the records of GET /log as JSON lines; kept if killed',
    )
    parsed = parser.parse_args(arguments)
    return Options(
        server_id=parsed.server_id,
        zone=parsed.zone,
        address=parsed.address,
        port=parsed.port,
        primary_url=parsed.follow,
        slots=parsed.slots,
        max_connections=parsed.max_connections,
        connect_delay_ms=parsed.connect_delay_ms,
        statement_ms=parsed.statement_ms,
        lag_ms=parsed.lag_ms,
        require_lock=not parsed.no_lock,
        translation=dict(each.split('=', 1) for each in parsed.translate),
        record_file=parsed.record_file,
    )


if __name__ == '__main__':
    asyncio.run(serve(parse()))
