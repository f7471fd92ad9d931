"""Starts servers in the test's event loop and as processes."""

import asyncio
import socket
import subprocess
import sys

from tornado import httpclient


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def start(module, *arguments):
    """Start ``python -m module`` and return the process."""
    return subprocess.Popen([sys.executable, '-m', module, *arguments])


def stop(processes):
    """End processes and wait for them."""
    for process in processes:
        process.terminate()
    for process in processes:
        process.wait(10)


async def until(condition, attempts=500):
    """Wait until ``condition()`` is true; the limit is for broken code."""
    for _ in range(attempts):
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.02)
    raise AssertionError('the condition never became true')


async def answers(url):
    """Tell whether an HTTP server answers at ``url``."""
    client = httpclient.AsyncHTTPClient()
    try:
        await client.fetch(url)
    except (OSError, httpclient.HTTPClientError):
        return False
    return True
