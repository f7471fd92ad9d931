"""Accepting connections without descriptors."""

import asyncio
import resource

from samphirestand import acceptor as acceptor_module
from tests import processes


def test_connections_are_closed_when_no_descriptor_is_left():
    """Fails if accept() is repeated without an end, or callers just wait."""

    async def main():
        [port] = processes.free_ports(1)
        exhausted = []
        accepted = []
        acceptor = acceptor_module.Acceptor(
            accepted.append, lambda: exhausted.append(True)
        )
        acceptor.listen('127.0.0.1', port, 16)
        loop = asyncio.get_running_loop()
        loop.remove_reader(acceptor._socket)
        clients = [
            await asyncio.open_connection('127.0.0.1', port) for _ in range(5)
        ]
        # All lower descriptors are in use.
        open_files = acceptor._reserve + 1
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (open_files, limits[1]))
        try:
            acceptor._accept()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        assert len(exhausted) == 5 and not accepted
        async with asyncio.timeout(5):
            for reader, _ in clients:
                assert await reader.read() == b''
        acceptor.close()
        for _, writer in clients:
            writer.transport.abort()

    asyncio.run(main())
