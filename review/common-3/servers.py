"""Database servers of one service that send each other their logs.

A commit is acknowledged once one replica has received it. Servers keep their
log over a crash, or start again with nothing. Each has a link to the store, to
the hosts and to the other servers, which a test can cut.
"""

import asyncio
import itertools
import json
import time
from typing import Any

HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
LAPSE_S = 3 * HEARTBEAT_S
PROMOTE_S = 0.3
SEND_S = 0.002
WORK_S = 0.002
RESEND_S = 0.2


class Group:
    """The servers of one service, and what was lost by promotions."""

    def __init__(self, service: str, platform: Any, record: Any) -> None:
        self.service = service
        self.platform = platform
        self.record = record
        self.term = 1
        self.servers: dict[str, Server] = {}
        # The ids of the commits that callers know to be acknowledged.
        self.acknowledged: dict[str, float] = {}
        self.broken: list[str] = []
        self._numbers = itertools.count(1)
        platform.on_promotion = self.order_promotion

    @property
    def primary(self) -> 'Server | None':
        """Return the primary of the newest term."""
        return max(
            (each for each in self.servers.values() if each.is_primary),
            key=lambda each: each.term,
            default=None,
        )

    async def add(
        self, zone: str, port: int, is_primary: bool = False
    ) -> 'Server':
        server = Server(self, f'i-{next(self._numbers)}', zone, is_primary)
        self.servers[server.server_id] = server
        await server.start(port)
        return server

    def order_promotion(self, service: str, server_id: str) -> bool:
        """Order a promotion, which takes effect some hundred ms later."""
        server = self.servers.get(server_id)
        if server is None or not server.is_running:
            return False
        if not (server.is_primary and server.term == self.term):
            asyncio.get_running_loop().call_later(
                PROMOTE_S, self._promote, server
            )
        return True

    def _promote(self, server: 'Server') -> None:
        if not server.is_running or (
            server.is_primary and server.term == self.term
        ):
            return
        self.term += 1
        known = {commit_id for _, commit_id in server.log}
        lost = [each for each in self.acknowledged if each not in known]
        self.record.note(
            f'servers: {server.server_id} leads term {self.term} with '
            f'{server.position}; {len(lost)} acknowledged commits are missing'
        )
        if lost:
            self.broken.append(
                f'LOST: {len(lost)} acknowledged commits ({lost[0]} to '
                f"{lost[-1]}) aren't in the log of {server.server_id}"
            )
        server.lead(self.term)
        for each in self.servers.values():
            if each is not server:
                each.follow(server)

    async def remove_lapsed_entries(self) -> None:
        """Do what the store does with entries of silent servers."""
        while True:
            await asyncio.sleep(0.1)
            for each in list(self.servers.values()):
                if each.is_registered and each.is_silent_for(LAPSE_S):
                    each.is_registered = False
                    self.platform.delete('servers', each.server_id)
                    self.record.note(
                        f'store: the entry of {each.server_id} has lapsed'
                    )


class Server:
    """One server.

    With ``is_cut`` it reaches neither the store nor hosts nor other servers,
    with ``is_hidden`` other servers only, with ``is_deaf`` it receives no log.
    """

    def __init__(
        self, group: Group, server_id: str, zone: str, is_primary: bool
    ) -> None:
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.is_primary = is_primary
        self.term = 1
        self.held = 0
        self.log: list[tuple[int, str]] = []  # term and id of each commit
        self.is_running = False
        self.is_registered = False
        self.is_cut = False
        self._reaches_hosts = asyncio.Event()
        self._reaches_hosts.set()
        self.is_deaf = False
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._heard_s = time.monotonic()
        self._port = 0
        self._connections = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def is_hidden(self) -> bool:
        return not self._reaches_hosts.is_set()

    @is_hidden.setter
    def is_hidden(self, is_hidden: bool) -> None:
        if is_hidden:
            self._reaches_hosts.clear()
        else:
            self._reaches_hosts.set()

    def cut_off(self) -> None:
        """Cut the server off from the store, the hosts and other servers."""
        self.is_cut = self.is_hidden = True

    def reconnect(self) -> None:
        self.is_cut = self.is_hidden = False
        self.register()

    @property
    def position(self) -> str:
        return f'{self.log[-1][0] if self.log else 1}.{len(self.log)}'

    def is_silent_for(self, limit_s: float) -> bool:
        return time.monotonic() - self._heard_s > limit_s

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self.register()

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def register(self) -> None:
        if not self.is_running or self.is_hidden:
            return
        self._sequence += 1
        self._heard_s = time.monotonic()
        self.is_registered = True
        self.group.platform.put(
            'servers',
            self.server_id,
            json.dumps(
                {
                    'Service': self.group.service,
                    'Addr': f'127.0.0.1:{self._port}',
                    'Zone': self.zone,
                    'Version': 'v1',
                    'Slots': 2,
                    'State': 'ready',
                    'WarmLeftMs': 0,
                    'DbRole': 'primary' if self.is_primary else 'replica',
                    'Seq': self._sequence,
                    'born': self.born,
                }
            ).encode(),
        )

    def crash(self) -> None:
        self.is_running = False
        self.held = 0
        self._waiters.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Start again with the log, as a replica if there is a later term."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self.start(self._port)
        primary = self.group.primary
        if primary is not None and primary is not self:
            self.follow(primary)

    async def start_empty(self) -> None:
        """Start again under the same id; nothing is left of before."""
        self.log = []
        self.term = 1
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self.start(self._port)
        primary = self.group.primary
        if primary is not None and primary.is_running:
            primary.send_log()

    def lead(self, term: int) -> None:
        self.is_primary = True
        self.term = term
        self.held = 0
        self.register()

    def follow(self, primary: 'Server') -> None:
        """Follow a primary; what it doesn't have is rolled back."""
        if not self.is_running or self.is_cut:
            return
        self.is_primary = False
        self._waiters.clear()
        self.held = 0
        if not self.is_deaf:
            self.log = list(primary.log)
            self.term = primary.term
        self.register()

    async def commit(self, commit_id: str) -> None:
        """Append a commit and wait until one replica has received it."""
        self.log.append((self.term, commit_id))
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.append((len(self.log), future))
        while not future.done():
            self.send_log()
            await asyncio.wait({future}, timeout=RESEND_S)

    def send_log(self) -> None:
        for each in self.group.servers.values():
            if each is not self:
                asyncio.get_running_loop().call_later(
                    SEND_S, self._deliver, each, self.term, len(self.log)
                )

    def _deliver(self, replica: 'Server', term: int, count: int) -> None:
        if (
            not (self.is_running and self.is_primary and self.term == term)
            or not replica.is_running
            or self.is_cut
            or replica.is_cut
            or replica.is_deaf
            or replica.held
            or replica.is_primary
            or replica.term > term
        ):
            return
        if replica.term < term or len(replica.log) < count:
            replica.log = self.log[:count]
            replica.term = term
        asyncio.get_running_loop().call_later(
            SEND_S, self._confirm, term, count
        )

    def _confirm(self, term: int, count: int) -> None:
        if not (self.is_running and self.is_primary and self.term == term):
            return
        for waiter in list(self._waiters):
            if waiter[0] <= count:
                self._waiters.remove(waiter)
                if not waiter[1].done():
                    waiter[1].set_result(None)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._connections += 1
        try:
            await self._run_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The host has closed the connection, or the case is over.
            pass
        finally:
            self._connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _run_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = (await reader.readuntil(b'\r\n')).decode()[:-2]
        await self._reaches_hosts.wait()
        _, service, _, server_id = line.split(' ', 3)
        if (service, server_id) != (self.group.service, self.server_id):
            writer.write(b'ERROR WRONGNODE other\r\n')
            return
        writer.write(f'READY I {self.position}\r\n'.encode())
        while True:
            line = (await reader.readuntil(b'\r\n')).decode()[:-2]
            await self._reaches_hosts.wait()
            _, request_id, text = line.split(' ', 2)
            answer = await self._run(request_id, text)
            await self._reaches_hosts.wait()
            writer.write(f'{answer}READY I {self.position}\r\n'.encode())

    async def _run(self, request_id: str, text: str) -> str:
        command, _, arguments = text.partition(' ')
        match command:
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'STEPDOWN':
                return self._run_command(command, arguments)
            case 'WRITE':
                await asyncio.sleep(WORK_S)
                if not self.is_primary:
                    return f'ERROR READONLY {self.server_id}\r\n'
                await self.commit(arguments.split(' ')[-1])
                return f'COMPLETE sig.{self.server_id}.{request_id}\r\n'
            case _:
                return 'COMPLETE -\r\n'

    def _run_command(self, command: str, arguments: str) -> str:
        if (
            command == 'PAUSE'
            and not self.is_primary
            and int(arguments) > self.term
        ):
            self.held = int(arguments)
        if command == 'RESUME':
            self.held = 0
        if (
            command == 'STEPDOWN'
            and self.is_primary
            and int(arguments) > self.term
        ):
            self.is_primary = False
            self._waiters.clear()
            self.register()
        role = 'primary' if self.is_primary else 'replica'
        return (
            f'DATAROW {role} {self.term} {self.position} {self.held} 0 0 '
            f'{self._connections}\r\nCOMPLETE -\r\n'
        )
