"""One database server as a process: WebSocket sessions and replication."""

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

# Silent locks and delayed entries are noticed this often.
TICK_MS = 10
# A replica's question is held back this long when there is nothing new.
PULL_WAIT_MS = 200
PULL_TIMEOUT_MS = 1_000
PULL_RETRY_MS = 100
# Keeps replication messages far below tornado's limit of 10 MiB.
BATCH_ENTRIES = 1_000
# Time for waiting calls to return when the server stops.
STOP_MS = 50
# Longest wait of a status call, whatever it asks for.
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Options:
    """What a server is told at its start."""

    server_id: str
    zone: str
    address: str
    port: int
    follow: str | None
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
    """Faults that are in force."""

    refuse: bool = False
    silent_connection_ids: set[int] = dataclasses.field(default_factory=set)


class Server:
    """A database server and its connections."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.clock = clock_module.SystemClock()
        self.database = database.Database(
            options.server_id,
            self.clock,
            primary_url=options.follow,
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
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.peak_running = 0
        self.peak_connections = 0
        self.is_stopping = False
        self._changed = asyncio.Event()
        self._seen: tuple[int, types.History] | None = None
        self._source: tuple[int, str] = (0, '')
        self._puller: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Show entries and end connections when their time has come."""
        while True:
            self.database.tick()
            self.after_change()
            await self.clock.sleep(TICK_MS)

    def after_change(self) -> None:
        """Act on what the database decided: wake, close, replicate."""
        for connection_id in self.database.take_ended_connections():
            handler = self.handlers_by_id.pop(connection_id, None)
            if handler is not None:
                handler.close(1001, 'ended by the server')
        seen = (self.database.term, self.database.history)
        if seen != self._seen:
            self._seen = seen
            self._changed.set()
            self._changed = asyncio.Event()
        source = (self.database.term, self.database.primary_url)
        if source != self._source:
            self._source = source
            if self._puller is not None:
                self._puller.cancel()
            self._puller = asyncio.create_task(self._replicate(source[1]))

    def note(self, record: dict[str, Any]) -> None:
        """Keep a record, in the file even if the process is killed next."""
        self.records.append(record)
        if self._record_fd >= 0:
            os.write(self._record_fd, json.dumps(record).encode() + b'\n')

    async def stop(self) -> None:
        """End the connections and let waiting calls return."""
        self.is_stopping = True
        self._changed.set()
        if self._puller is not None:
            self._puller.cancel()
        for handler in list(self.handlers_by_id.values()):
            handler.close(1001, 'the server stops')
        await self.clock.sleep(STOP_MS)

    async def wait_for_change(self, timeout_ms: int) -> None:
        """Wait until the log or the term changed, or the time is over."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), timeout_ms / 1000)

    async def execute(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        """Run a call; None if the connection ended before it could run."""
        refusal = self.database.admit(connection_id, call)
        if refusal is not None:
            return refusal
        match call:
            case messages.Execute() | messages.Statement() | messages.Commit():
                return await self._execute_in_slot(connection_id, call, record)
            case messages.Status():
                await self._wait_for_position(call)
        if connection_id not in self.database.sessions_by_id:
            return None
        return self._handle(connection_id, call, record)

    async def _execute_in_slot(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        async with self.slots:
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
            try:
                if connection_id not in self.database.sessions_by_id:
                    self.database.abandon(connection_id, call)
                    return None
                # The effect comes first, so that a connection that ends in
                # the meantime leaves a statement that ran unanswered.
                answer = self._handle(connection_id, call, record)
                await self.clock.sleep(self.options.statement_ms)
                return answer
            finally:
                self.running -= 1

    def _handle(
        self, connection_id: int, call: messages.Call, record: dict[str, Any]
    ) -> messages.Answer | None:
        number = self.database.transaction_number(connection_id)
        try:
            answer = self.database.handle(connection_id, call)
        except KeyError:
            return None
        after = self.database.transaction_number(connection_id)
        record['transaction'] = number if number is not None else after
        record['run_wall_ms'] = self.clock.wall()
        record['result'] = encode(answer)
        # Probes come every 250 ms and would fill the record.
        if not isinstance(call, messages.Status):
            self.note(record)
        self.after_change()
        return answer

    async def _wait_for_position(self, call: messages.Status) -> None:
        term = self.database.term
        end = self.clock.now() + min(call.wait_ms, MAX_WAIT_MS)
        while self.database.is_waiting(call, term):
            left = end - self.clock.now()
            if left <= 0:
                return
            await self.wait_for_change(left)

    async def _replicate(self, primary_url: str) -> None:
        if not primary_url:
            return
        url = addresses.translate_url(
            replication_url(primary_url), self.options.translation
        )
        while True:
            try:
                await self._pull_from(url)
            except (OSError, ValueError, TimeoutError):
                pass
            except (httpclient.HTTPClientError, websocket.WebSocketError):
                pass
            await self.clock.sleep(PULL_RETRY_MS)

    async def _pull_from(self, url: str) -> None:
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
                self.after_change()
        finally:
            connection.close()


class SessionHandler(websocket.WebSocketHandler):
    """One session of a host."""

    def initialize(self, server: Server) -> None:
        self.server = server
        self.connection_id = 0
        self.host_id = ''
        self._order = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def get(self, *args: Any, **kwargs: Any) -> None:
        server = self.server
        self.host_id = self.get_argument('application', '')
        if server.faults.refuse:
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
        self._leave()

    def on_close(self) -> None:
        self._leave()

    def on_message(self, message: str | bytes) -> None:
        # A task, so that the end of the connection is noticed while a call
        # waits; the lock keeps the order of calls.
        task = asyncio.create_task(self._answer(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _leave(self) -> None:
        self.server.handlers_by_id.pop(self.connection_id, None)
        self.server.database.close_connection(self.connection_id)
        self.server.after_change()

    async def _answer(self, text: str | bytes) -> None:
        server = self.server
        try:
            message = json.loads(text)
            call = decode(message)
        except (KeyError, TypeError, ValueError) as error:
            self.close(1002, f'not understood: {error!r}'[:100])
            return
        record = {
            'server': server.options.server_id,
            'wall_ms': server.clock.wall(),
            'connection': self.connection_id,
            'application': self.host_id,
            'overlapped': self._order.locked(),
            'message': message,
        }
        async with self._order:
            answer = await server.execute(self.connection_id, call, record)
        if 'result' not in record:
            server.note(record)
        if answer is None:
            return
        if self.connection_id in server.faults.silent_connection_ids:
            record['unanswered'] = True
            return
        body = {'id': message.get('id'), **encode(answer)}
        if isinstance(call, messages.Status):
            body['locked_by'] = answer.holder
        try:
            await self.write_message(json.dumps(body))
        except websocket.WebSocketClosedError:
            record['unanswered'] = True


class ReplicationHandler(websocket.WebSocketHandler):
    """One replica that pulls entries."""

    def initialize(self, server: Server) -> None:
        self.server = server

    def check_origin(self, origin: str) -> bool:
        return True

    async def on_message(self, message: str | bytes) -> None:
        pull = decode_pull(json.loads(message))
        server = self.server
        end = server.clock.now() + PULL_WAIT_MS
        while True:
            batch = server.database.replicate(pull)
            left = end - server.clock.now()
            if batch is None or _has_news(pull, batch) or left <= 0:
                break
            if server.is_stopping:
                return
            await server.wait_for_change(left)
        try:
            await self.write_message(json.dumps(encode_batch(batch)))
        except websocket.WebSocketClosedError:
            pass


class ControlHandler(web.RequestHandler):
    """Faults, state and records for a test bench."""

    def initialize(self, server: Server) -> None:
        self.server = server


class FaultsHandler(ControlHandler):
    """Sets faults; each field of the body is optional.

    ``lag_ms``, ``freeze_ms``, ``silent`` (true silences all connections that
    exist now, false ends that) and ``refuse`` (new connections).
    """

    def post(self) -> None:
        body = json.loads(self.request.body)
        server = self.server
        if 'lag_ms' in body:
            server.database.lag_ms = int(body['lag_ms'])
        if 'refuse' in body:
            server.faults.refuse = bool(body['refuse'])
        if 'silent' in body:
            silent = set(server.handlers_by_id) if body['silent'] else set()
            server.faults.silent_connection_ids = silent
        if 'freeze_ms' in body:
            # Blocks the whole process, as a paused machine does; delayed a
            # little for the answer to this request.
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, time.sleep, int(body['freeze_ms']) / 1000)
        self.write({})


class LogHandler(ControlHandler):
    """Returns the records from ``after`` on."""

    def get(self) -> None:
        after = int(self.get_argument('after', '0'))
        self.write({'records': self.server.records[after:]})


class EntriesHandler(ControlHandler):
    """Returns the replicated log."""

    def get(self) -> None:
        entries = self.server.database.entries
        self.write({'entries': [dataclasses.asdict(each) for each in entries]})


class StateHandler(ControlHandler):
    """Returns the state and the peaks."""

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
                'running': server.running,
                'peak_running': server.peak_running,
                'peak_connections': server.peak_connections,
                'slots': server.options.slots,
                'max_connections': server.options.max_connections,
            }
        )


def replication_url(primary_url: str) -> str:
    """Return the URL of a primary's replication from its base URL."""
    parts = urllib.parse.urlsplit(primary_url)
    return f'{parts.scheme}://{parts.netloc}/replication'


def decode(message: dict[str, Any]) -> messages.Call:
    """Return the call of a message; raises on a malformed one."""
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
    """Return the fields that every answer carries."""
    position = state.position
    return {
        'server': state.server,
        'term': state.term,
        'role': state.role,
        'position': [position.term, position.offset],
        'history': [list(each) for each in state.history.starts],
        'primary_url': state.primary_url,
    }


def encode(answer: messages.Answer) -> dict[str, Any]:
    """Return an answer's fields without its id."""
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
    """Return the wire form of a replica's question."""
    return dataclasses.asdict(pull)


def decode_pull(body: dict[str, Any]) -> database.Pull:
    """Return the replica's question of a message."""
    history = body['history']
    starts = tuple((term, start) for term, start in history['starts'])
    return database.Pull(
        body['server'], body['term'], types.History(starts, history['end'])
    )


def encode_batch(batch: database.Batch | None) -> dict[str, Any] | None:
    """Return the wire form of a primary's answer."""
    if batch is None:
        return None
    entries = batch.entries[:BATCH_ENTRIES]
    return dataclasses.asdict(dataclasses.replace(batch, entries=entries))


def decode_batch(body: dict[str, Any] | None) -> database.Batch | None:
    """Return the primary's answer of a message; None if it refused."""
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


def _has_news(pull: database.Pull, batch: database.Batch) -> bool:
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
    ticker = asyncio.create_task(server.run())
    await stop.wait()
    ticker.cancel()
    listener.stop()
    await server.stop()


def parse(arguments: list[str] | None = None) -> Options:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.target', description=__doc__
    )
    add = parser.add_argument
    add('--server-id', required=True)
    add('--zone', default='')
    add('--address', default='127.0.0.1')
    add('--port', type=int, required=True)
    start = parser.add_mutually_exclusive_group(required=True)
    start.add_argument('--primary', action='store_true')
    start.add_argument('--follow', metavar='URL')
    add('--slots', type=int, default=5, help='statements run at once')
    add('--max-connections', type=int, default=60)
    add('--connect-delay-ms', type=int, default=12)
    add('--statement-ms', type=int, default=2)
    add('--lag-ms', type=int, default=0, help='replication lag')
    add(
        '--no-lock',
        action='store_true',
        help='run statements of applications without the gateway lock',
    )
    add(
        '--translate',
        action='append',
        default=[],
        metavar='IP:PORT=IP:PORT',
        help='address translation towards the primary',
    )
    add(
        '--record-file',
        default='',
        help='JSON lines of what GET /log returns, kept if killed',
    )
    found = parser.parse_args(arguments)
    return Options(
        server_id=found.server_id,
        zone=found.zone,
        address=found.address,
        port=found.port,
        follow=found.follow,
        slots=found.slots,
        max_connections=found.max_connections,
        connect_delay_ms=found.connect_delay_ms,
        statement_ms=found.statement_ms,
        lag_ms=found.lag_ms,
        require_lock=not found.no_lock,
        translation=dict(each.split('=', 1) for each in found.translate),
        record_file=found.record_file,
    )


if __name__ == '__main__':
    asyncio.run(serve(parse()))
