"""Network links as one process: forwards TCP ports with delay and faults."""

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

# Bytes on their way in one direction; the sender is paused above that.
MAX_QUEUED_BYTES = 4_194_304


class State(enum.StrEnum):
    """What a link does with bytes.

    ``cut`` resets connections and refuses new ones, ``blackhole`` drops
    bytes silently, ``hold`` delivers them once the link is up again. A
    connection that lost bytes stays silent until its ends close it.
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
    """The file of links; faults are set at ``control``."""

    model_config = pydantic.ConfigDict(extra='forbid')

    control: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')
    links: list[LinkModel]


class FaultModel(pydantic.BaseModel):
    """A change of all links of the groups.

    With ``existing_only`` a blackhole swallows the connections that exist
    now, while new ones work.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    groups: list[str]
    state: State | None = None
    existing_only: bool = False
    delay_ms: int | None = pydantic.Field(None, ge=0)


@dataclasses.dataclass
class Counters:
    """What came through a link, lost bytes included.

    ``bytes_to_server`` came from the side that opened the connection.
    ``reads`` are the pieces in which the bytes came; small messages that are
    seconds apart come in one piece each.
    """

    connections: int = 0
    reads: int = 0
    bytes_to_server: int = 0
    bytes_to_client: int = 0

    def add(self, other: 'Counters') -> None:
        """Add the counts of another link."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


class Side(asyncio.Protocol):
    """One of the two TCP connections of a forwarded connection."""

    def __init__(self, pipe: 'Pipe') -> None:
        self.pipe = pipe
        self.transport: asyncio.Transport | None = None
        self.is_ended = False
        self.has_sent_all = False
        # What is on its way to this side: the time of arrival and the
        # bytes; none are the end of the bytes, None that of the connection.
        self._queue: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def other(self) -> 'Side':
        """Return the opposite side."""
        pipe = self.pipe
        return pipe.server if self is pipe.client else pipe.client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        connection = transport.get_extra_info('socket')
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pipe.side_made(self)
        self.deliver()

    def data_received(self, data: bytes) -> None:
        self.pipe.count(self, data)
        if not self.pipe.is_swallowed:
            self.other.send(data)

    def eof_received(self) -> bool:
        self.has_sent_all = True
        if not self.pipe.is_swallowed:
            self.other.send(b'')
        return not self.pipe.is_swallowed

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_ended = True
        if not self.pipe.is_swallowed:
            self.other.send(None)
        self.pipe.side_lost()

    def pause_writing(self) -> None:
        self.other.set_reading(False)

    def resume_writing(self) -> None:
        self.other.set_reading(True)

    def set_reading(self, is_reading: bool) -> None:
        """Pause or resume what comes from this side."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def send(self, data: bytes | None) -> None:
        """Let ``data`` arrive at this side after the link's delay."""
        due = asyncio.get_running_loop().time() + self.pipe.link.delay_s
        self._queue.append((due, data))
        self._queued_bytes += len(data or b'')
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.other.set_reading(False)
        self.deliver()

    def deliver(self) -> None:
        """Write what has arrived and set the timer for what comes next."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.transport is None or self.pipe.is_held:
            return
        loop = asyncio.get_running_loop()
        while self._queue and self._queue[0][0] <= loop.time():
            _, data = self._queue.popleft()
            if data is None or (not data and self.has_sent_all):
                self.transport.close()
            elif not data:
                self.transport.write_eof()
            elif not self.transport.is_closing():
                self.transport.write(data)
            self._queued_bytes -= len(data or b'')
            if self._queued_bytes <= MAX_QUEUED_BYTES:
                self.other.set_reading(True)
        if self._queue:
            self._timer = loop.call_at(self._queue[0][0], self.deliver)

    def drop(self) -> None:
        """Forget what is on its way to this side."""
        self._queue.clear()
        self._queued_bytes = 0


class Pipe:
    """One forwarded connection."""

    def __init__(self, link: 'Link') -> None:
        self.link = link
        self.client = Side(self)
        self.server = Side(self)
        self.is_swallowed = False
        self._opening: asyncio.Task[None] | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether bytes have to wait."""
        return self.link.state == State.HOLD

    def count(self, side: Side, data: bytes) -> None:
        """Count bytes that came from ``side``."""
        counters = self.link.counters
        counters.reads += 1
        if side is self.client:
            counters.bytes_to_server += len(data)
        else:
            counters.bytes_to_client += len(data)

    def side_made(self, side: Side) -> None:
        """Open the way to the server when a client has connected."""
        if side is not self.client:
            return
        self.link.pipes.add(self)
        self.link.counters.connections += 1
        match self.link.state:
            case State.CUT:
                self.abort()
            case State.BLACKHOLE:
                self.is_swallowed = True
            case _:
                self._opening = asyncio.create_task(self._open())

    def side_lost(self) -> None:
        """Forget the pipe when both sides have ended."""
        if self.client.is_ended and (
            self.server.is_ended or self.server.transport is None
        ):
            self.link.pipes.discard(self)

    def swallow(self) -> None:
        """Drop all bytes from now on."""
        self.is_swallowed = True
        self.client.drop()
        self.server.drop()

    def abort(self) -> None:
        """Reset both connections."""
        if self._opening is not None:
            self._opening.cancel()
        for side in (self.client, self.server):
            if side.transport is not None:
                _reset(side.transport)

    async def _open(self) -> None:
        # The handshake of a real link takes a round trip.
        await asyncio.sleep(2 * self.link.delay_s)
        address, port = _endpoint(self.link.forward)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.server, address, port
            )
        except OSError:
            self.abort()


class Link:
    """One forwarded port."""

    def __init__(self, model: LinkModel) -> None:
        self.group = model.group
        self.listen = model.listen
        self.forward = model.forward
        self.delay_s = model.delay_ms / 1000
        self.state = State.UP
        self.pipes: set[Pipe] = set()
        self.counters = Counters()

    async def start(self) -> asyncio.Server:
        """Listen; returns the listener."""
        address, port = _endpoint(self.listen)
        return await asyncio.get_running_loop().create_server(
            lambda: Pipe(self).client, address, port, backlog=1024
        )

    def change(self, fault: FaultModel) -> None:
        """Apply a fault to this link."""
        if fault.delay_ms is not None:
            self.delay_s = fault.delay_ms / 1000
        if fault.state is None:
            return
        if not fault.existing_only:
            self.state = fault.state
        for pipe in list(self.pipes):
            match fault.state:
                case State.CUT:
                    pipe.abort()
                case State.BLACKHOLE:
                    pipe.swallow()
                case State.UP | State.HOLD:
                    pipe.client.deliver()
                    pipe.server.deliver()


class FaultsHandler(web.RequestHandler):
    """Sets faults; see ``FaultModel``."""

    def initialize(self, links: list[Link]) -> None:
        self.links = links

    def post(self) -> None:
        try:
            fault = FaultModel.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise web.HTTPError(400, str(error)) from error
        found = [link for link in self.links if link.group in fault.groups]
        for link in found:
            link.change(fault)
        self.write({'links': len(found)})


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
                'connections': len(link.pipes),
            }
            for link in self.links
        ]
        self.write({'links': rows})


class CountersHandler(web.RequestHandler):
    """Returns the counters of each group since the start."""

    def initialize(self, links: list[Link]) -> None:
        self.links = links

    def get(self) -> None:
        counters_by_group: dict[str, Counters] = {}
        for link in self.links:
            found = counters_by_group.setdefault(link.group, Counters())
            found.add(link.counters)
        self.write(
            {
                group: dataclasses.asdict(counters)
                for group, counters in counters_by_group.items()
            }
        )


def _endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(':')
    return address, int(port)


def _reset(transport: asyncio.Transport) -> None:
    # A linger time of 0 turns the close into a reset.
    connection = transport.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        linger = (1).to_bytes(4, 'little') + (0).to_bytes(4, 'little')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


async def start(config: ConfigModel) -> list[asyncio.Server]:
    """Start all links and the control port; returns the listeners."""
    links = [Link(model) for model in config.links]
    servers = [await link.start() for link in links]
    address, port = _endpoint(config.control)
    options = {'links': links}
    web.Application(
        [
            ('/faults', FaultsHandler, options),
            ('/state', StateHandler, options),
            ('/counters', CountersHandler, options),
        ]
    ).listen(port, address)
    return servers


async def serve(config: ConfigModel) -> None:
    """Forward until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    servers = await start(config)
    await stop.wait()
    for server in servers:
        server.close()


def main() -> None:
    """Run the links of a configuration file."""
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
    found = parser.parse_args()
    document = yaml.safe_load(found.config.read_text())
    asyncio.run(serve(ConfigModel.model_validate(document)))


if __name__ == '__main__':
    main()
