"""Options of TCP sockets that let the kernel notice silent peers."""

import socket

__all__ = ['set_timeouts']

# Below the 3 s after which a target drops a silent connection by itself.
SILENT_PEER_MS = 2_500

KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


def set_timeouts(sock: socket.socket) -> None:
    """Close the connection when its far end has gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_MS
    )
