"""Helpers that start and stop processes and wait for conditions."""

import asyncio
import contextlib
import itertools
import os
import socket
import subprocess
import sys

from tornado import httpclient


# Ports below those that the kernel gives to outgoing connections, which could
# take a port between its choice and its use. Each process starts elsewhere.
FIRST_PORT = 12_000
PORT_COUNT = 20_000
_port_offsets = itertools.count(os.getpid() * 97)


def free_ports(count):
    """Return ``count`` ports that were free when they were checked."""
    ports = []
    while len(ports) < count:
        port = FIRST_PORT + next(_port_offsets) % PORT_COUNT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            ports.append(port)
    return ports


def start(module, *arguments):
    """Start ``python -m module`` with arguments; return the process."""
    return subprocess.Popen([sys.executable, '-m', module, *arguments])


def stop(processes):
    """Terminate processes and wait until they have ended."""
    for process in processes:
        process.terminate()
    for process in processes:
        process.wait(10)


async def until(condition, attempts=500):
    """Wait until ``condition()`` is true and return its result.

    Raises ``AssertionError`` after ``attempts`` checks, so that a test of
    faulty code ends.
    """
    for _ in range(attempts):
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.02)
    raise AssertionError('the condition never became true')


async def answers(url):
    """Return whether an HTTP server responds at ``url``."""
    client = httpclient.AsyncHTTPClient()
    try:
        await client.fetch(url)
    except (OSError, httpclient.HTTPClientError):
        return False
    return True
