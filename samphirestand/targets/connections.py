"""Plain pool of connections, until the pool of this package is merged."""

from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.targets import context as context_module
from samphirestand import types

CONNECT_TIMEOUT_MS = 1_000


class Connections:
    """Idle connections of one target, bounded by ``size`` in all."""

    def __init__(
        self, context: context_module.Context, target: types.Target, size: int
    ) -> None:
        self._context = context
        self._target = target
        self._size = size
        self._idle: list[interfaces.TargetConnection] = []
        self._taken: set[interfaces.TargetConnection] = set()
        self._opening = 0

    async def acquire(self, timeout_ms: int) -> interfaces.TargetConnection:
        """Return an open connection; raises ``TargetError``."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                self._taken.add(connection)
                return connection
        if len(self._taken) + self._opening >= self._size:
            raise exceptions.TargetError(
                f'all {self._size} connections are taken',
                step='pool',
                peer=self._target.target_id,
            )
        self._opening += 1
        try:
            connection = await self._context.connector.connect(
                self._target.url,
                self._context.host_id,
                min(timeout_ms, CONNECT_TIMEOUT_MS),
            )
        finally:
            self._opening -= 1
        self._taken.add(connection)
        return connection

    def release(self, connection: interfaces.TargetConnection) -> None:
        """Take a connection back; a closed one is forgotten."""
        if connection in self._taken:
            self._taken.discard(connection)
            if connection.is_open:
                self._idle.append(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self._idle, *self._taken]:
            connection.close()
        self._idle.clear()
        self._taken.clear()
