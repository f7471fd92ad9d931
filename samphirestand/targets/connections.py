"""The connection pool that belongs to a gateway's current lock."""

from samphirestand import interfaces
from samphirestand.targets import context as context_module
from samphirestand.targets import pool as pool_module
from samphirestand import types


class GatewayPool:
    """Lends at most ``size`` connections to one target at a time.

    A server ends all connections of a gateway that loses its lock, and a
    closed pool can't be reopened, so a new pool is made for each lock.
    """

    def __init__(
        self, context: context_module.Context, target: types.Target, size: int
    ) -> None:
        self._context = context
        self._target = target
        self._size = size
        self._pool: pool_module.ConnectionPool | None = None

    async def acquire(self, timeout_ms: int) -> interfaces.TargetConnection:
        """Lend a connection; raise ``TargetError`` when none is available."""
        if self._pool is None:
            self._pool = pool_module.ConnectionPool(
                self._context.connector,
                self._target.url,
                self._context.host_id,
                size=self._size,
                clock=self._context.clock,
                rng=self._context.rng,
                minimum=self._target.slots,
            )
            self._pool.start()
        return await self._pool.acquire(timeout_ms)

    def release(self, connection: interfaces.TargetConnection) -> None:
        """Take back a connection after a complete answer."""
        if self._pool is not None:
            self._pool.release(connection)

    def discard(self, connection: interfaces.TargetConnection) -> None:
        """Close a connection without a complete, valid answer."""
        connection.close()
        if self._pool is not None:
            self._pool.discard(connection)

    def close(self) -> None:
        """Close all connections; ``acquire`` then makes a new pool."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None
