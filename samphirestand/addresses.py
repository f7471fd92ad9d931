"""Translation of the addresses of outgoing connections."""

import collections.abc
import urllib.parse


def translate(
    address: str, port: int, translation: collections.abc.Mapping[str, str]
) -> tuple[str, int]:
    """Return the address and port to connect to for ``address:port``.

    ``translation`` maps ``ip:port`` to another ``ip:port``; what it doesn't
    name stays as it is.
    """
    found = translation.get(f'{address}:{port}')
    if found is None:
        return address, port
    new_address, _, new_port = found.rpartition(':')
    return new_address, int(new_port)


def translate_url(
    url: str, translation: collections.abc.Mapping[str, str]
) -> str:
    """Return ``url`` with its address and port translated."""
    parts = urllib.parse.urlsplit(url)
    found = translation.get(parts.netloc)
    if found is None:
        return url
    return urllib.parse.urlunsplit(parts._replace(netloc=found))
