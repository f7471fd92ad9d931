"""Simulated database servers of one service, on the line protocol."""

import asyncio
import dataclasses
import itertools

from standins import store as store_module

__all__ = ['DatabaseGroup', 'Server', 'Statement']

# The longest message that a server takes: the protocol's limit of 1 MiB, and
# what a proxy puts before a caller's statement.
MAX_MESSAGE_BYTES = 1_048_576 + 4_096


@dataclasses.dataclass(frozen=True)
class Statement:
    """A statement that a server received, recorded for tests.

    ``values`` are the settings of the session at that time.
    """

    server_id: str
    account: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]


@dataclasses.dataclass
class _Session:
    """The state of one connection.

    ``state`` is the transaction state: idle (I), in a transaction (T) or
    failed (E). ``prepared_by_name`` holds the mode and the text of each
    prepared statement. A transaction with ``is_read_write`` set needs the
    primary.
    """

    account: str
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared_by_name: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    state: str = 'I'
    is_read_write: bool = False
    writes: list[tuple[str, str]] = dataclasses.field(default_factory=list)


class DatabaseGroup:
    """The servers of one service: a primary and replicas, each with a log.

    With ``primaries_go_on``, a primary that is replaced doesn't notice it: it
    acts as the primary of its term until it is told to step down. With
    ``keeps_logs``, a server that crashes or receives nothing keeps its log
    over a promotion, and positions have the term of the last entry.
    """

    def __init__(self, service: str, store: store_module.StoreStandin) -> None:
        self.service = service
        self.store = store
        self.term = 1
        self.servers: dict[str, Server] = {}
        self.statements: list[Statement] = []
        self.signatures: dict[str, str] = {}
        self._server_numbers = itertools.count(1)
        self.promotion_ms = 50
        self.primaries_go_on = False
        self.keeps_logs = False
        self.leader: Server | None = None  # of the newest term, up or down
        store.on_promotion = self.order_promotion

    async def add(self, zone: str, port: int, is_primary: bool) -> 'Server':
        number = next(self._server_numbers)
        server = Server(self, f'i-{number}', zone, port, is_primary)
        self.servers[server.server_id] = server
        if is_primary:
            self.leader = server
        await server.start()
        return server

    @property
    def primary(self) -> 'Server | None':
        """Return the primary of the newest term."""
        return max(
            (each for each in self.servers.values() if each.is_primary),
            key=lambda each: each.term,
            default=None,
        )

    def order_promotion(self, service: str, server_id: str) -> bool:
        """Order a promotion, which happens ``promotion_ms`` later.

        Returns False if the server is unknown or not running.
        """
        server = self.servers.get(server_id)
        if server is None or not server.is_running:
            return False
        if not server.is_primary:
            asyncio.get_running_loop().call_later(
                self.promotion_ms / 1000, self.promote_server, server_id
            )
        return True

    def promote_server(self, server_id: str) -> None:
        """Make a server the primary of the next term."""
        self.term += 1
        new_primary = self.servers[server_id]
        for server in self.servers.values():
            if server.is_primary and self.primaries_go_on:
                continue
            server.follow(new_primary, self.term)
        new_primary.is_primary = True
        new_primary.term = self.term
        self.leader = new_primary
        for server in self.servers.values():
            server.register()

    def commit_writes(
        self, primary: 'Server', writes: list[tuple[str, str]]
    ) -> bool:
        """Append a transaction to the logs; False if no replica has it."""
        primary.append(writes)
        is_confirmed = False
        for server in self.servers.values():
            if server is primary or not server.receives_log:
                continue
            if server.is_primary or server.term > primary.term:
                continue
            server.copy_log(primary)
            is_confirmed = True
        return is_confirmed


class Server:
    """One simulated database server.

    Faults are set by attributes: with ``is_deaf`` it receives no log entries,
    and with ``is_silent`` it withholds each answer for 60 s.
    """

    def __init__(
        self,
        group: DatabaseGroup,
        server_id: str,
        zone: str,
        port: int,
        is_primary: bool,
    ) -> None:
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.port = port
        self.is_primary = is_primary
        self.is_running = False
        self.is_deaf = False
        self.is_silent = False
        self.state = 'ready'
        self.warm_left_ms = 0  # as it says in its registration
        self.born = 1
        self.slots = 2
        self.term = 1
        self.paused_term = 0
        self.log: list[list[tuple[str, str]]] = []
        self.entry_terms: list[int] = []  # of the entries of the log
        self.connections = 0
        self.peak_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Pairs of a command and the error code of its next statement; each is
        # used once.
        self.planned_errors: list[tuple[str, str]] = []
        # Commands whose next answer is withheld for 60 s.
        self.lost_answers: set[str] = set()
        self.work_ms = 1
        self.opening_ms = 0  # that a new connection takes

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._handle_connection,
            '127.0.0.1',
            self.port,
            limit=MAX_MESSAGE_BYTES,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self.register()

    def register(self) -> None:
        """Write this server's row to the store, as a heartbeat does."""
        if not self.is_running:
            return
        self.group.store.put(
            'servers',
            self.server_id,
            {
                'Service': self.group.service,
                'Addr': f'127.0.0.1:{self.port}',
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': self.state,
                'WarmLeftMs': self.warm_left_ms,
                'DbRole': 'primary' if self.is_primary else 'replica',
                'Seq': 1,
                'born': self.born,
            },
        )

    def crash(self) -> None:
        """Stop abruptly and reset open connections."""
        self.is_running = False
        self.is_primary = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Start again after a crash, with the log.

        As a replica if another server was promoted meanwhile.
        """
        self.paused_term = 0
        self.is_primary = self.group.leader is self
        await self.start()
        primary = self.group.primary
        if primary is not None and self.receives_log:
            self.copy_log(primary)

    def follow(self, primary: 'Server', term: int) -> None:
        """Become a replica of the primary of ``term``."""
        self.is_primary = False
        self.paused_term = 0
        if not self.group.keeps_logs:
            self.term = term
            del self.log[len(primary.log) :]
        elif self.receives_log:
            self.copy_log(primary)
            self.term = term

    def append(self, writes: list[tuple[str, str]]) -> None:
        """Append a transaction to the log."""
        self.log.append(writes)
        self.entry_terms.append(self.term)

    def copy_log(self, primary: 'Server') -> None:
        """Take over the log and the term of the primary."""
        self.log = list(primary.log)
        self.entry_terms = list(primary.entry_terms)
        self.term = primary.term

    @property
    def receives_log(self) -> bool:
        return self.is_running and not self.is_deaf and not self.paused_term

    @property
    def position(self) -> str:
        term = self.term
        if self.group.keeps_logs:
            term = self.entry_terms[-1] if self.entry_terms else 1
        return f'{term}.{len(self.log)}'

    @property
    def data_by_key(self) -> dict[str, str]:
        return {key: data for writes in self.log for key, data in writes}

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        try:
            await self._run_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _run_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = (await reader.readuntil(b'\r\n')).decode().strip()
        _, service, account, server_id = line.split(' ', 3)
        if service != self.group.service or server_id != self.server_id:
            writer.write(b'ERROR WRONGNODE other\r\n')
            return
        if self.is_silent:
            await asyncio.sleep(60)
        await asyncio.sleep(self.opening_ms / 1000)
        writer.write(f'READY I {self.position}\r\n'.encode())
        session = _Session(account)
        while True:
            line = (await reader.readuntil(b'\r\n')).decode()[:-2]
            _, request_id, text = line.split(' ', 2)
            if self.is_silent:
                await asyncio.sleep(60)
            self.group.statements.append(
                Statement(
                    self.server_id,
                    account,
                    request_id,
                    text,
                    tuple(sorted(session.values.items())),
                )
            )
            answer = await self._run_statement(session, request_id, text)
            if text.split(' ')[0] in self.lost_answers:
                self.lost_answers.discard(text.split(' ')[0])
                await asyncio.sleep(60)
            writer.write(
                f'{answer}READY {session.state} {self.position}\r\n'.encode()
            )

    async def _run_statement(
        self, session: _Session, request_id: str, text: str
    ) -> str:
        if text.startswith('WAITLSN '):
            _, position, text = text.split(' ', 2)
            term, _, number = position.partition('.')
            if (int(term), int(number)) > (self.term, len(self.log)):
                return self._error_line(session, 'LAGGING')
        command, _, argument_text = text.partition(' ')
        for planned in self.planned_errors:
            if planned[0] == command:
                self.planned_errors.remove(planned)
                return self._error_line(session, planned[1])
        if command == 'EXECUTE':
            name, _, arguments = argument_text.partition(' ')
            if name not in session.prepared_by_name:
                return self._error_line(session, 'NOSTMT')
            command, argument_text = (
                session.prepared_by_name[name][0],
                arguments,
            )
        if (
            session.state == 'T'
            and session.is_read_write
            and not self.is_primary
            and command != 'ROLLBACK'
        ):
            return self._error_line(session, 'READONLY')
        match command:
            case 'SET':
                name, _, value = argument_text.partition(' ')
                session.values[name] = value
            case 'PARSE':
                name, mode, statement_text = argument_text.split(' ', 2)
                session.prepared_by_name[name] = (mode, statement_text)
            case 'DISCARD':
                session.values.clear()
                session.prepared_by_name.clear()
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'STEPDOWN':
                return self._run_control_command(command, argument_text)
            case 'BEGIN':
                if argument_text != 'READ' and not self.is_primary:
                    return self._error_line(session, 'READONLY')
                session.state = 'T'
                session.is_read_write = argument_text != 'READ'
                session.writes = []
            case 'ROLLBACK':
                session.state = 'I'
            case 'READ' | 'WRITE' | 'COMMIT':
                await asyncio.sleep(self.work_ms / 1000)
                return await self._run_request(
                    session, request_id, command, argument_text
                )
        return 'COMPLETE -\r\n'

    async def _run_request(
        self,
        session: _Session,
        request_id: str,
        command: str,
        argument_text: str,
    ) -> str:
        signature = f'sig.{self.server_id}.{request_id}'
        self.group.signatures[request_id] = signature
        match command:
            case 'READ':
                data = self.data_by_key.get(argument_text, 'none')
                return f'DATAROW {data}\r\nCOMPLETE {signature}\r\n'
            case 'WRITE':
                key, _, data = argument_text.partition(' ')
                if not self.is_primary:
                    return self._error_line(session, 'READONLY')
                session.writes.append((key, data))
                if session.state == 'T':
                    return f'COMPLETE {signature}\r\n'
        if session.state == 'E':
            session.state = 'I'
            return 'ERROR ABORTED failed\r\n'
        session.state = 'I'
        writes, session.writes = session.writes, []
        # Withhold the answer for 60 s if no replica confirmed the commit.
        if writes and not self.group.commit_writes(self, writes):
            await asyncio.sleep(60)
        return f'COMPLETE {signature}\r\n'

    def _run_control_command(self, command: str, argument_text: str) -> str:
        # A server knows of later terms even if it has received nothing.
        newest_term = self.group.term if self.group.keeps_logs else self.term
        if command == 'PAUSE' and int(argument_text) > newest_term:
            self.paused_term = int(argument_text)
        if command == 'RESUME':
            self.paused_term = 0
        if (
            command == 'STEPDOWN'
            and self.is_primary
            and int(argument_text) > self.term
        ):
            self.is_primary = False
            newest = self.group.primary
            if newest is not None:
                self.follow(newest, newest.term)
            self.register()
        role = 'primary' if self.is_primary else 'replica'
        return (
            f'DATAROW {role} {self.term} {self.position} {self.paused_term} '
            f'0 0 {self.connections}\r\nCOMPLETE -\r\n'
        )

    def _error_line(self, session: _Session, code: str) -> str:
        if session.state == 'T':
            session.state = 'E'
        return f'ERROR {code} {self.server_id}\r\n'
