"""Address translation for outgoing connections."""

import collections.abc
import urllib.parse


def translate(
    address: str, port: int, translation: collections.abc.Mapping[str, str]
) -> tuple[str, int]:
    """Return the address and port to connect to for ``address:port``.

    ``translation`` maps ``ip:port`` to another ``ip:port``. An address that
    it doesn't contain is returned unchanged.
    """
    translated = translation.get(f'{address}:{port}')
    if translated is None:
        return address, port
    new_address, _, new_port = translated.rpartition(':')
    return new_address, int(new_port)


def translate_url(
    url: str, translation: collections.abc.Mapping[str, str]
) -> str:
    """Return ``url`` with its ``address:port`` part translated."""
    parts = urllib.parse.urlsplit(url)
    translated = translation.get(parts.netloc)
    if translated is None:
        return url
    return urllib.parse.urlunsplit(parts._replace(netloc=translated))
