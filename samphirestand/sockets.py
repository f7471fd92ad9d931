"""TCP socket options for peers that stop responding."""

import socket
import struct

__all__ = ['discard_unsent_on_close', 'set_timeouts']

# Time without an acknowledgement after which the kernel drops a connection.
# Below the 3 s after which a target drops a silent connection by itself.
SILENT_PEER_MS = 2_500

KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


def set_timeouts(sock: socket.socket) -> None:
    """Let the kernel drop the connection when its peer stops responding."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_MS
    )


def discard_unsent_on_close(sock: socket.socket) -> None:
    """Reset the connection when it is closed.

    Otherwise the kernel goes on sending what a network partition has held up,
    for minutes after the close.
    """
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
