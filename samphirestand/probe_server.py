"""HTTP servers for probes, within limits on their clients."""

import collections.abc
import socket
from typing import Any

from tornado import httpserver
from tornado import iostream
from tornado import web

from samphirestand import acceptor as acceptor_module
from samphirestand import descriptor_budget

__all__ = ['ProbeServer']

# A request for readiness or metrics has a few hundred bytes and no body.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024
MAX_BUFFERED_BYTES = 65_536

# Also limits the time for sending a request. A balancer probes each second.
IDLE_TIMEOUT_S = 60
BODY_TIMEOUT_S = 5

# Clients are a balancer, a collector of metrics and operators. Beyond this,
# or this part of few descriptors, the connection that is open for longest is
# closed.
MAX_CONNECTIONS = 64
DESCRIPTORS_PART = 16
ACCEPT_BACKLOG = 128


class _HttpServer(httpserver.HTTPServer):
    """Reports the end of each connection to ``on_end``."""

    on_end: collections.abc.Callable[[Any], None]

    def on_close(self, server_conn: Any) -> None:
        super().on_close(server_conn)
        self.on_end(server_conn.stream)


class ProbeServer:
    """Serves an application on one port."""

    def __init__(
        self,
        application: web.Application,
        port_name: str,
        max_descriptors: int,
        descriptors: descriptor_budget.DescriptorBudget,
        on_limit: collections.abc.Callable[[], None],
    ) -> None:
        self._server = _HttpServer(
            application,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFERED_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._server.on_end = self._forget
        self._port_name = port_name
        self._max_connections = MAX_CONNECTIONS
        if max_descriptors:
            part = max(2, max_descriptors // DESCRIPTORS_PART)
            self._max_connections = min(MAX_CONNECTIONS, part)
        self._descriptors = descriptors
        self._on_limit = on_limit
        self._acceptor = acceptor_module.Acceptor(self._accept, on_limit)
        self._streams: dict[iostream.IOStream, None] = {}

    def listen(self, address: str, port: int) -> None:
        self._acceptor.listen(address, port, ACCEPT_BACKLOG)

    def stop(self) -> None:
        self._acceptor.close()

    def _accept(self, sock: socket.socket) -> None:
        if (
            len(self._streams) >= self._max_connections
            or not self._descriptors.may_accept()
        ):
            self._on_limit()
            if not self._streams:
                sock.close()
                return
            oldest = next(iter(self._streams))
            self._forget(oldest)
            oldest.close()
        stream = iostream.IOStream(sock, max_buffer_size=MAX_BUFFERED_BYTES)
        self._streams[stream] = None
        self._descriptors.add(self._port_name)
        # Only logged, and not known if the client has gone already.
        self._server.handle_stream(stream, ('', 0))

    def _forget(self, stream: iostream.IOStream) -> None:
        if stream in self._streams:
            del self._streams[stream]
            self._descriptors.remove(self._port_name)
