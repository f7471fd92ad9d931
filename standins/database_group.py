"""Stand-in for the database servers of a service on the line protocol."""

import asyncio
import dataclasses
import itertools

from standins import store as store_module

__all__ = ['DatabaseGroup', 'Server', 'Statement']


@dataclasses.dataclass(frozen=True)
class Statement:
    """A statement that a server ran, for tests to inspect."""

    server_id: str
    account: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]


@dataclasses.dataclass
class _Session:
    account: str
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    shapes: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    state: str = 'I'
    is_plain: bool = False
    writes: list[tuple[str, str]] = dataclasses.field(default_factory=list)


class DatabaseGroup:
    """One service: a primary and its replicas with one log each."""

    def __init__(self, service: str, store: store_module.StoreStandin) -> None:
        self.service = service
        self.store = store
        self.term = 1
        self.servers: dict[str, Server] = {}
        self.statements: list[Statement] = []
        self.signatures: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self.promotion_ms = 50
        store.on_promotion = self.order

    async def add(self, zone: str, port: int, is_primary: bool) -> 'Server':
        number = next(self._numbers)
        server = Server(self, f'i-{number}', zone, port, is_primary)
        self.servers[server.server_id] = server
        await server.start()
        return server

    @property
    def primary(self) -> 'Server | None':
        return next(
            (each for each in self.servers.values() if each.is_primary), None
        )

    def order(self, service: str, server_id: str) -> bool:
        """Start a promotion; it takes effect a little later."""
        server = self.servers.get(server_id)
        if server is None or not server.is_running:
            return False
        if not server.is_primary:
            asyncio.get_running_loop().call_later(
                self.promotion_ms / 1000, self.promote, server_id
            )
        return True

    def promote(self, server_id: str) -> None:
        """Make a server the primary of the next term."""
        self.term += 1
        leader = self.servers[server_id]
        for server in self.servers.values():
            server.is_primary = server is leader
            server.paused_term = 0
            if len(server.log) > len(leader.log):
                del server.log[len(leader.log) :]
        leader.term = self.term
        for server in self.servers.values():
            server.register()

    def commit(self, primary: 'Server', writes: list[tuple[str, str]]) -> bool:
        """Append to the logs; False if no replica has received it."""
        primary.log.append(writes)
        confirmed = False
        for server in self.servers.values():
            if server is primary or not server.receives:
                continue
            server.log = list(primary.log)
            server.term = primary.term
            confirmed = True
        return confirmed


class Server:
    """One database server."""

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
        self.slots = 2
        self.term = 1
        self.paused_term = 0
        self.log: list[list[tuple[str, str]]] = []
        self.connections = 0
        self.most_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Errors that statements of a kind get, each once.
        self.planned_errors: list[tuple[str, str]] = []
        self.lost_answers: set[str] = set()  # first words of statements
        self.work_ms = 1

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self.register()

    def register(self) -> None:
        """Write this server's entry, as a heartbeat does."""
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
                'WarmLeftMs': 0,
                'DbRole': 'primary' if self.is_primary else 'replica',
                'Seq': 1,
                'born': 1,
            },
        )

    def crash(self) -> None:
        """End without a word; open connections are reset."""
        self.is_running = False
        self.is_primary = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def receives(self) -> bool:
        return self.is_running and not self.is_deaf and not self.paused_term

    @property
    def position(self) -> str:
        return f'{self.term}.{len(self.log)}'

    @property
    def items(self) -> dict[str, str]:
        return {item: data for writes in self.log for item, data in writes}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        self.most_connections = max(self.most_connections, self.connections)
        try:
            await self._session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = (await reader.readuntil(b'\r\n')).decode().strip()
        _, service, account, server_id = line.split(' ', 3)
        if service != self.group.service or server_id != self.server_id:
            writer.write(b'ERROR WRONGNODE other\r\n')
            return
        if self.is_silent:
            await asyncio.sleep(60)
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
            answer = await self._run(session, request_id, text)
            if text.split(' ')[0] in self.lost_answers:
                self.lost_answers.discard(text.split(' ')[0])
                await asyncio.sleep(60)
            writer.write(
                f'{answer}READY {session.state} {self.position}\r\n'.encode()
            )

    async def _run(self, session: _Session, request_id: str, text: str) -> str:
        if text.startswith('WAITLSN '):
            _, position, text = text.split(' ', 2)
            term, _, number = position.partition('.')
            if (int(term), int(number)) > (self.term, len(self.log)):
                return self._error(session, 'LAGGING')
        word, _, rest = text.partition(' ')
        for planned in self.planned_errors:
            if planned[0] == word:
                self.planned_errors.remove(planned)
                return self._error(session, planned[1])
        if word == 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            if name not in session.shapes:
                return self._error(session, 'NOSTMT')
            word, rest = session.shapes[name][0], arguments
        if (
            session.state == 'T'
            and session.is_plain
            and not self.is_primary
            and word != 'ROLLBACK'
        ):
            return self._error(session, 'READONLY')
        match word:
            case 'SET':
                name, _, value = rest.partition(' ')
                session.values[name] = value
            case 'PARSE':
                name, mode, shape = rest.split(' ', 2)
                session.shapes[name] = (mode, shape)
            case 'DISCARD':
                session.values.clear()
                session.shapes.clear()
            case 'STATUS' | 'PAUSE' | 'RESUME':
                return self._command(word, rest)
            case 'BEGIN':
                if rest != 'READ' and not self.is_primary:
                    return self._error(session, 'READONLY')
                session.state = 'T'
                session.is_plain = rest != 'READ'
                session.writes = []
            case 'ROLLBACK':
                session.state = 'I'
            case 'READ' | 'WRITE' | 'COMMIT':
                await asyncio.sleep(self.work_ms / 1000)
                return await self._work(session, request_id, word, rest)
        return 'COMPLETE -\r\n'

    async def _work(
        self, session: _Session, request_id: str, word: str, rest: str
    ) -> str:
        signature = f'sig.{self.server_id}.{request_id}'
        self.group.signatures[request_id] = signature
        match word:
            case 'READ':
                data = self.items.get(rest, 'none')
                return f'DATAROW {data}\r\nCOMPLETE {signature}\r\n'
            case 'WRITE':
                item, _, data = rest.partition(' ')
                if not self.is_primary:
                    return self._error(session, 'READONLY')
                session.writes.append((item, data))
                if session.state == 'T':
                    return f'COMPLETE {signature}\r\n'
        if session.state == 'E':
            session.state = 'I'
            return 'ERROR ABORTED failed\r\n'
        session.state = 'I'
        writes, session.writes = session.writes, []
        if writes and not self.group.commit(self, writes):
            await asyncio.sleep(60)
        return f'COMPLETE {signature}\r\n'

    def _command(self, word: str, rest: str) -> str:
        if word == 'PAUSE':
            self.paused_term = int(rest)
        if word == 'RESUME':
            self.paused_term = 0
        role = 'primary' if self.is_primary else 'replica'
        return (
            f'DATAROW {role} {self.term} {self.position} {self.paused_term} '
            f'0 0 {self.connections}\r\nCOMPLETE -\r\n'
        )

    def _error(self, session: _Session, code: str) -> str:
        if session.state == 'T':
            session.state = 'E'
        return f'ERROR {code} {self.server_id}\r\n'
