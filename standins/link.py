"""Simulated network links: forwards TCP ports with delays and faults."""

import argparse
import asyncio
import collections
import dataclasses
import enum
import json
import pathlib
import signal
import socket

import pydantic
from tornado import web
import yaml

# Limit of bytes in transit in one direction; above it, reading from the sender
# is paused.
MAX_QUEUED_BYTES = 4_194_304


class LinkState(enum.StrEnum):
    """How a link treats connections and their bytes.

    ``cut`` resets open and new connections, ``blackhole`` drops bytes
    silently, ``hold`` delays them until the link is up again. A connection
    that lost bytes forwards nothing more until its ends close it.
    """

    UP = 'up'
    CUT = 'cut'
    BLACKHOLE = 'blackhole'
    HOLD = 'hold'


class LinkModel(pydantic.BaseModel):
    """One forwarded port; ``listen`` and ``forward`` are ``ip:port``."""

    model_config = pydantic.ConfigDict(extra='forbid')

    group: str
    listen: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')
    forward: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')
    delay_ms: int = pydantic.Field(0, ge=0)


class ConfigModel(pydantic.BaseModel):
    """The configuration file; faults are set over HTTP at ``control``."""

    model_config = pydantic.ConfigDict(extra='forbid')

    control: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')
    links: list[LinkModel]


class FaultModel(pydantic.BaseModel):
    """A change of the state or the delay of all links in ``groups``.

    With ``existing_only`` a blackhole drops the bytes of connections that
    exist now, while new connections work.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    groups: list[str]
    state: LinkState | None = None
    existing_only: bool = False
    delay_ms: int | None = pydantic.Field(None, ge=0)


@dataclasses.dataclass
class Counters:
    """Traffic that a link received, dropped bytes included.

    ``bytes_to_server`` came from the side that opened the connection.
    ``reads`` counts the chunks in which bytes were received; small messages
    that are seconds apart arrive in one chunk each.
    """

    connections: int = 0
    reads: int = 0
    bytes_to_server: int = 0
    bytes_to_client: int = 0

    def add(self, other: 'Counters') -> None:
        """Add the counters of another link."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


class SideProtocol(asyncio.Protocol):
    """One of the two TCP connections of a ``ForwardedConnection``."""

    def __init__(self, connection: 'ForwardedConnection') -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self.has_received_eof = False
        # Data in transit to this side: the time of arrival and the bytes.
        # Empty bytes mean end of file, None means a closed connection.
        self._queue: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def opposite(self) -> 'SideProtocol':
        """Return the opposite side of the connection."""
        connection = self.connection
        return (
            connection.server
            if self is connection.client
            else connection.client
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.handle_side_opened(self)
        self.write_due_data()

    def data_received(self, data: bytes) -> None:
        self.connection.count_bytes(self, data)
        if not self.connection.is_dropping_bytes:
            self.opposite.schedule_write(data)

    def eof_received(self) -> bool:
        self.has_received_eof = True
        if not self.connection.is_dropping_bytes:
            self.opposite.schedule_write(b'')
        return not self.connection.is_dropping_bytes

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        if not self.connection.is_dropping_bytes:
            self.opposite.schedule_write(None)
        self.connection.handle_side_closed()

    def pause_writing(self) -> None:
        self.opposite.set_reading(False)

    def resume_writing(self) -> None:
        self.opposite.set_reading(True)

    def set_reading(self, is_reading: bool) -> None:
        """Resume or pause reading from this side."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def schedule_write(self, data: bytes | None) -> None:
        """Queue ``data`` to be written to this side after the link's delay."""
        due_s = (
            asyncio.get_running_loop().time() + self.connection.link.delay_s
        )
        self._queue.append((due_s, data))
        self._queued_bytes += len(data or b'')
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.opposite.set_reading(False)
        self.write_due_data()

    def write_due_data(self) -> None:
        """Write the data that is due and set a timer for the next data."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.transport is None or self.connection.is_holding_bytes:
            return
        loop = asyncio.get_running_loop()
        while self._queue and self._queue[0][0] <= loop.time():
            _, data = self._queue.popleft()
            if data is None or (not data and self.has_received_eof):
                self.transport.close()
            elif not data:
                self.transport.write_eof()
            elif not self.transport.is_closing():
                self.transport.write(data)
            self._queued_bytes -= len(data or b'')
            if self._queued_bytes <= MAX_QUEUED_BYTES:
                self.opposite.set_reading(True)
        if self._queue:
            self._timer = loop.call_at(self._queue[0][0], self.write_due_data)

    def discard_queue(self) -> None:
        """Discard the data in transit to this side."""
        self._queue.clear()
        self._queued_bytes = 0


class ForwardedConnection:
    """One forwarded connection: a client side and a server side."""

    def __init__(self, link: 'Link') -> None:
        self.link = link
        self.client = SideProtocol(self)
        self.server = SideProtocol(self)
        self.is_dropping_bytes = False
        self._connect_task: asyncio.Task[None] | None = None

    @property
    def is_holding_bytes(self) -> bool:
        """Tell whether the link holds bytes back."""
        return self.link.state == LinkState.HOLD

    def count_bytes(self, side: SideProtocol, data: bytes) -> None:
        """Count bytes received from ``side``."""
        counters = self.link.counters
        counters.reads += 1
        if side is self.client:
            counters.bytes_to_server += len(data)
        else:
            counters.bytes_to_client += len(data)

    def handle_side_opened(self, side: SideProtocol) -> None:
        """Connect to the server when a client has connected."""
        if side is not self.client:
            return
        self.link.open_connections.add(self)
        self.link.counters.connections += 1
        match self.link.state:
            case LinkState.CUT:
                self.reset()
            case LinkState.BLACKHOLE:
                self.is_dropping_bytes = True
            case _:
                self._connect_task = asyncio.create_task(
                    self._connect_to_server()
                )

    def handle_side_closed(self) -> None:
        """Remove the connection from the link when both sides are closed."""
        if self.client.is_closed and (
            self.server.is_closed or self.server.transport is None
        ):
            self.link.open_connections.discard(self)

    def start_dropping_bytes(self) -> None:
        """Drop all bytes from now on, those in transit included."""
        self.is_dropping_bytes = True
        self.client.discard_queue()
        self.server.discard_queue()

    def reset(self) -> None:
        """Reset both TCP connections."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        for side in (self.client, self.server):
            if side.transport is not None:
                _reset_transport(side.transport)

    async def _connect_to_server(self) -> None:
        # On a real link, the TCP handshake takes one round trip.
        await asyncio.sleep(2 * self.link.delay_s)
        address, port = _parse_endpoint(self.link.forward)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.server, address, port
            )
        except OSError:
            self.reset()


class Link:
    """One forwarded port with its state, delay and counters."""

    def __init__(self, model: LinkModel) -> None:
        self.group = model.group
        self.listen = model.listen
        self.forward = model.forward
        self.delay_s = model.delay_ms / 1000
        self.state = LinkState.UP
        self.open_connections: set[ForwardedConnection] = set()
        self.counters = Counters()

    async def start(self) -> asyncio.Server:
        """Start listening and return the listener."""
        address, port = _parse_endpoint(self.listen)
        return await asyncio.get_running_loop().create_server(
            lambda: ForwardedConnection(self).client,
            address,
            port,
            backlog=1024,
        )

    def apply_fault(self, fault: FaultModel) -> None:
        """Change the delay and the state of this link."""
        if fault.delay_ms is not None:
            self.delay_s = fault.delay_ms / 1000
        if fault.state is None:
            return
        if not fault.existing_only:
            self.state = fault.state
        for connection in list(self.open_connections):
            match fault.state:
                case LinkState.CUT:
                    connection.reset()
                case LinkState.BLACKHOLE:
                    connection.start_dropping_bytes()
                case LinkState.UP | LinkState.HOLD:
                    connection.client.write_due_data()
                    connection.server.write_due_data()


class FaultsHandler(web.RequestHandler):
    """Sets faults; see ``FaultModel``."""

    def initialize(self, links: list[Link]) -> None:
        self.links = links

    def post(self) -> None:
        try:
            fault = FaultModel.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise web.HTTPError(400, str(error)) from error
        selected = [link for link in self.links if link.group in fault.groups]
        for link in selected:
            link.apply_fault(fault)
        self.write({'links': len(selected)})


class StateHandler(web.RequestHandler):
    """Returns the state and the open connections of each link."""

    def initialize(self, links: list[Link]) -> None:
        self.links = links

    def get(self) -> None:
        rows = [
            {
                'group': link.group,
                'listen': link.listen,
                'state': link.state,
                'connections': len(link.open_connections),
            }
            for link in self.links
        ]
        self.write({'links': rows})


class CountersHandler(web.RequestHandler):
    """Returns the counters of each group since the process started."""

    def initialize(self, links: list[Link]) -> None:
        self.links = links

    def get(self) -> None:
        counters_by_group: dict[str, Counters] = {}
        for link in self.links:
            group_counters = counters_by_group.setdefault(
                link.group, Counters()
            )
            group_counters.add(link.counters)
        self.write(
            {
                group: dataclasses.asdict(counters)
                for group, counters in counters_by_group.items()
            }
        )


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(':')
    return address, int(port)


def _reset_transport(transport: asyncio.Transport) -> None:
    # A linger time of 0 makes the close send a TCP reset.
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = (1).to_bytes(4, 'little') + (0).to_bytes(4, 'little')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


async def start_links(config: ConfigModel) -> list[asyncio.Server]:
    """Start all links and the control port; return the links' listeners."""
    links = [Link(model) for model in config.links]
    listeners = [await link.start() for link in links]
    address, port = _parse_endpoint(config.control)
    options = {'links': links}
    web.Application(
        [
            ('/faults', FaultsHandler, options),
            ('/state', StateHandler, options),
            ('/counters', CountersHandler, options),
        ]
    ).listen(port, address)
    return listeners


async def serve(config: ConfigModel) -> None:
    """Forward connections until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    listeners = await start_links(config)
    await stop.wait()
    for listener in listeners:
        listener.close()


def main() -> None:
    """Run the links of the configuration file on the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.link',
        description=__doc__,
        epilog='CONFIG is YAML or JSON: '
        + json.dumps(
            {
                'control': 'ip:port',
                'links': [
                    {
                        'group': 'name',
                        'listen': 'ip:port',
                        'forward': 'ip:port',
                        'delay_ms': 4,
                    }
                ],
            }
        ),
    )
    parser.add_argument('config', type=pathlib.Path, metavar='CONFIG')
    arguments = parser.parse_args()
    document = yaml.safe_load(arguments.config.read_text())
    asyncio.run(serve(ConfigModel.model_validate(document)))


if __name__ == '__main__':
    main()
