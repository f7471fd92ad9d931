"""Stand-in of the database servers of one service.

It follows PROTOCOL.md, "The wire" and "Servers", with SyncReplicas 1: a
commit is acknowledged once one replica has received it.
"""

import asyncio
import dataclasses
import itertools
import time

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
PROMOTE_S = 1.0
REPLICATION_S = 0.004
TICK_S = 0.002

_signatures = itertools.count(1)


@dataclasses.dataclass
class _Session:
    account: str
    values: dict = dataclasses.field(default_factory=dict)
    prepared: dict = dataclasses.field(default_factory=dict)
    state: str = 'I'
    is_plain: bool = False
    writes: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Entry:
    """A commit in a log: its position, its request id and its time."""

    term: int
    number: int
    request_id: str
    created_s: float


class Group:
    """The servers of one service.

    ``acknowledged`` holds the commits whose success a client has received.
    """

    def __init__(self, service, store, record, work_s=0.01):
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.term = 1
        self.servers = {}
        self.acknowledged = []
        # When, and where, a server began to run each request of a client.
        self.begun = {}
        self.promotions = 0
        self._tasks = []

    async def add(self, target_id, zone, address, port, is_primary):
        server = Server(self, target_id, zone, address, port, is_primary)
        self.servers[target_id] = server
        await server.start()
        return server

    def start(self):
        self._tasks = [
            asyncio.create_task(self._replicate()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    def close(self):
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            server.close()

    @property
    def primary(self):
        return next(
            (s for s in self.servers.values() if s.is_primary),
            None,
        )

    async def _replicate(self):
        while True:
            await asyncio.sleep(TICK_S)
            primary = self.primary
            if primary is None or primary.is_dark:
                continue
            until = time.monotonic() - REPLICATION_S
            count = sum(1 for _ in primary.log)
            while count and primary.log[count - 1].created_s > until:
                count -= 1
            received = 0
            for server in self.servers.values():
                if server is primary or not server.receives:
                    continue
                if len(server.log) < count:
                    server.log = primary.log[:count]
                received = max(received, len(server.log))
            primary.confirm(received)

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for server in self.servers.values():
                if now - server.registered_s > EXPIRY_S and (
                    server.is_registered
                ):
                    # Also while the store is down.
                    server.is_registered = False
                    self.store.drop('servers', server.target_id)
                    self.record(f'registration of {server.target_id} expired')
                if (
                    not server.is_dark
                    and not self.store.is_down
                    and now >= server.next_heartbeat_s
                ):
                    server.register()

    def order_promotion(self, target_id):
        """Order a promotion; False if the server isn't running."""
        server = self.servers.get(target_id)
        if server is None or server.is_dark:
            return False
        if not server.is_primary:
            asyncio.get_running_loop().call_later(
                PROMOTE_S, self._promote, server
            )
        return True

    def missing(self, server):
        """Return the acknowledged commits that a server's log lacks."""
        ids = {entry.request_id for entry in server.log}
        return [each for each in self.acknowledged if each not in ids]

    def _promote(self, server):
        self.term += 1
        self.promotions += 1
        missing = self.missing(server)
        self.record(
            f'{server.target_id} is the primary of term {self.term} with '
            f'{len(server.log)} commits; {len(missing)} acknowledged '
            f'commits are not in its log: {" ".join(missing[:5])}'
        )
        for other in self.servers.values():
            if other is server:
                continue
            other.is_primary = False
            other.paused_term = 0
            common = 0
            for mine, theirs in zip(other.log, server.log, strict=False):
                if mine != theirs:
                    break
                common += 1
            other.log = other.log[:common]
            other.term = self.term
            other.lose_lead()
        server.is_primary = True
        server.paused_term = 0
        server.term = self.term
        for other in self.servers.values():
            if not other.is_dark and not self.store.is_down:
                other.register()


class Server:
    """One database server.

    While ``is_dark`` is set it answers nothing; with ``is_deaf`` it receives
    nothing from the primary.
    """

    def __init__(self, group, target_id, zone, address, port, is_primary):
        self.group = group
        self.target_id = target_id
        self.zone = zone
        self.address = address
        self.port = port
        self.is_primary = is_primary
        self.is_dark = False
        self.is_deaf = False
        self.is_draining = False
        self.term = 1
        self.paused_term = 0
        self.log = []
        self.sequence = 0
        self.is_registered = False
        self.registered_s = 0.0
        self.next_heartbeat_s = 0.0
        self.born_ms = int(time.time() * 1000)
        self.connections = 0
        self._awaiting = []
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=2_097_152
        )
        self.register()

    def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def receives(self):
        return (
            not self.is_dark
            and not self.is_deaf
            and not self.paused_term
            and not self.is_primary
            and self.term == self.group.term
        )

    @property
    def position(self):
        if not self.log:
            return '1.0'
        return f'{self.log[-1].term}.{self.log[-1].number}'

    def register(self):
        """Write this server's registration, as a heartbeat does."""
        self.sequence += 1
        self.is_registered = True
        self.registered_s = time.monotonic()
        self.next_heartbeat_s = self.registered_s + HEARTBEAT_S
        self.group.store.put(
            'servers',
            self.target_id,
            {
                'Service': self.group.service,
                'Addr': f'{self.address}:{self.port}',
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': 5,
                'State': 'draining' if self.is_draining else 'ready',
                'WarmLeftMs': 0,
                'Seq': self.sequence,
                'DbRole': 'primary' if self.is_primary else 'replica',
                'born': self.born_ms,
            },
        )

    def confirm(self, count):
        """Release the commits that a replica has received."""
        waiting, self._awaiting = self._awaiting, []
        for number, future in waiting:
            if future.done():
                continue
            if number <= count:
                future.set_result(True)
            else:
                self._awaiting.append((number, future))

    def lose_lead(self):
        waiting, self._awaiting = self._awaiting, []
        for _, future in waiting:
            if not future.done():
                future.set_result(False)

    async def _answers(self):
        while self.is_dark:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        try:
            await self._run_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _run_session(self, reader, writer):
        line = (await reader.readuntil(b'\r\n')).decode()[:-2]
        await self._answers()
        words = line.split(' ')
        if words[1] != self.group.service or (
            len(words) > 3 and words[3] != self.target_id
        ):
            writer.write(b'ERROR WRONGNODE other\r\n')
            return
        session = _Session(words[2])
        writer.write(f'READY I {self.position}\r\n'.encode())
        while True:
            line = (await reader.readuntil(b'\r\n')).decode()[:-2]
            await self._answers()
            word, _, rest = line.partition(' ')
            if word == 'TERMINATE':
                return
            request_id, _, text = rest.partition(' ')
            answer = await self._run(session, request_id, text)
            await self._answers()
            if answer is None:
                # The outcome of this commit is unknown.
                return
            writer.write(
                f'{answer}READY {session.state} {self.position}\r\n'.encode()
            )

    async def _run(self, session, request_id, text):
        if text.startswith('WAITLSN '):
            _, position, text = text.split(' ', 2)
            wanted = tuple(map(int, position.split('.')))
            if wanted > tuple(map(int, self.position.split('.'))):
                return self._error(session, 'LAGGING')
        command, _, rest = text.partition(' ')
        if command in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            return self._control(command, rest)
        if session.state == 'E' and command not in ('ROLLBACK', 'COMMIT'):
            return self._error(session, 'MALFORMED')
        if command == 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            if name not in session.prepared:
                return self._error(session, 'NOSTMT')
            command, rest = session.prepared[name][0], arguments
        if (
            session.state == 'T'
            and session.is_plain
            and not self.is_primary
            and command != 'ROLLBACK'
            and not (command == 'COMMIT' and not session.writes)
        ):
            return self._error(session, 'READONLY')
        match command:
            case 'SET':
                name, _, value = rest.partition(' ')
                session.values[name] = value
            case 'PARSE':
                name, mode, shape = rest.split(' ', 2)
                session.prepared[name] = (mode, shape)
            case 'CLOSE':
                session.prepared.pop(rest, None)
            case 'DISCARD':
                session.values.clear()
                session.prepared.clear()
            case 'BEGIN':
                if rest != 'READ' and not self.is_primary:
                    return self._error(session, 'READONLY')
                session.state = 'T'
                session.is_plain = rest != 'READ'
                session.writes = []
            case 'ROLLBACK':
                session.state = 'I'
                session.writes = []
            case 'READ' | 'WRITE' | 'COMMIT':
                self.group.begun[request_id] = (
                    time.monotonic(),
                    self.target_id,
                )
                await asyncio.sleep(self.group.work_s)
                return await self._work(session, request_id, command, rest)
            case _:
                return self._error(session, 'MALFORMED')
        return 'COMPLETE -\r\n'

    async def _work(self, session, request_id, command, rest):
        signature = f'{next(_signatures):x}.{self.target_id}.{request_id}'
        if command == 'READ':
            return f'DATAROW row-{rest}\r\nCOMPLETE {signature}\r\n'
        if command == 'WRITE':
            if not self.is_primary:
                return self._error(session, 'READONLY')
            session.writes.append(request_id)
            if session.state == 'T':
                return f'COMPLETE {signature}\r\n'
        if session.state == 'E':
            session.state = 'I'
            session.writes = []
            return f'ERROR ABORTED {self.target_id}\r\n'
        session.state = 'I'
        writes, session.writes = session.writes, []
        if not writes:
            return f'COMPLETE {signature}\r\n'
        if not self.is_primary:
            return self._error(session, 'READONLY')
        entry = Entry(
            self.term, len(self.log) + 1, request_id, time.monotonic()
        )
        self.log.append(entry)
        future = asyncio.get_running_loop().create_future()
        self._awaiting.append((len(self.log), future))
        if not await future:
            return None
        return f'COMPLETE {signature}\r\n'

    def _control(self, command, rest):
        if (
            command == 'PAUSE'
            and not self.is_primary
            and int(rest) > self.group.term
        ):
            self.paused_term = int(rest)
        if command == 'RESUME':
            self.paused_term = 0
        if (
            command == 'STEPDOWN'
            and self.is_primary
            and (int(rest) > self.term)
        ):
            self.is_primary = False
            self.lose_lead()
            self.register()
        role = 'primary' if self.is_primary else 'replica'
        return (
            f'DATAROW {role} {self.term} {self.position} '
            f'{self.paused_term} 0 0 {self.connections}\r\nCOMPLETE -\r\n'
        )

    def _error(self, session, code):
        if session.state == 'T':
            session.state = 'E'
        return f'ERROR {code} {self.target_id}\r\n'
