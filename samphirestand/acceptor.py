"""Accepts connections, also when the process has no descriptor left."""

import asyncio
import collections.abc
import errno
import os
import socket

__all__ = ['Acceptor']

# Connections accepted before other events are handled. Those that give way to
# them are closed only then, so it is below the descriptors that are kept free.
ACCEPTS_PER_EVENT = 16

# Pause when connections can be neither accepted nor refused.
RETRY_MS = 100

_EXHAUSTED = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class Acceptor:
    """A listening socket whose connections are given to ``on_accept``.

    asyncio repeats accept() for each place of the backlog when descriptors
    have run out, and tornado without a pause. This class keeps one descriptor
    in reserve, with which it closes such connections; ``on_exhausted`` is
    called for each.
    """

    def __init__(
        self,
        on_accept: collections.abc.Callable[[socket.socket], None],
        on_exhausted: collections.abc.Callable[[], None],
    ) -> None:
        self._on_accept = on_accept
        self._on_exhausted = on_exhausted
        self._socket: socket.socket | None = None
        self._reserve: int | None = None

    def listen(self, address: str, port: int, backlog: int) -> None:
        family = socket.AF_INET6 if ':' in address else socket.AF_INET
        self._socket = socket.create_server(
            (address, port), family=family, backlog=backlog
        )
        self._socket.setblocking(False)
        self._open_reserve()
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def close(self) -> None:
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        self._close_reserve()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            if self._socket is None:
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in _EXHAUSTED:
                    raise
                if not self._refuse_with_reserve():
                    return
                continue
            sock.setblocking(False)
            self._on_accept(sock)

    def _refuse_with_reserve(self) -> bool:
        """Close one waiting connection; False if there is none, or no way.

        Without a descriptor, accept() fails even if no connection waits.
        """
        assert self._socket is not None
        self._close_reserve()
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            self._open_reserve()
            return False
        except OSError:
            # The reserve was in use, too.
            self._on_exhausted()
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            loop.call_later(RETRY_MS / 1000, self._resume)
            return False
        sock.close()
        self._on_exhausted()
        self._open_reserve()
        return True

    def _resume(self) -> None:
        if self._socket is not None:
            self._open_reserve()
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _open_reserve(self) -> None:
        if self._reserve is not None:
            return
        try:
            self._reserve = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            self._reserve = None

    def _close_reserve(self) -> None:
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None
