"""Mutual TLS between hosts; certificates are read again when they change."""

import collections.abc
import os
import ssl

from samphirestand import clock as clocks
from samphirestand import config
from samphirestand import exceptions
from samphirestand import log

logger = log.get_logger(__name__)

WATCH_MS = 5_000

Stamp = tuple[tuple[int, int, int], ...]


class PeerTls:
    """The TLS contexts of the connections between hosts.

    Both sides must show a certificate of the fleet's authority. Names aren't
    checked, because hosts are known by numbers that address translation may
    change; the login names the host. Raises ``SettingsError`` if the files
    can't be used at the start.
    """

    def __init__(self, files: config.Tls) -> None:
        if files.authority_file is None:
            raise exceptions.SettingsError(
                'peer_tls.authority_file: None: must name the authority that '
                'signs the certificates of all hosts',
                step='settings',
            )
        self._files = files
        try:
            self._stamp = self._read_stamp()
            self.server, self.client = self._contexts()
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(
                f'peer_tls: {files.certificate_file}: {error}',
                step='settings',
            ) from error

    def refresh(self) -> bool:
        """Read the files again if they changed; tell whether they did.

        Files that can't be used, for example because they are being
        replaced, leave the contexts as they are until the next attempt.
        """
        try:
            stamp = self._read_stamp()
            if stamp == self._stamp:
                return False
            self.server, self.client = self._contexts()
        except (OSError, ValueError) as error:
            logger.error('certificates_unusable', why=str(error))
            return False
        self._stamp = stamp
        logger.info('certificates_read')
        return True

    async def watch(
        self,
        clock: clocks.Clock,
        listen: collections.abc.Callable[
            [ssl.SSLContext], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Look for changes until cancelled; ``listen`` gets new contexts."""
        while True:
            await clock.sleep(WATCH_MS)
            if self.refresh():
                await listen(self.server)

    def _contexts(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        server = self._context(ssl.PROTOCOL_TLS_SERVER)
        client = self._context(ssl.PROTOCOL_TLS_CLIENT)
        return server, client

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._files.certificate_file, self._files.key_file
        )
        context.load_verify_locations(self._files.authority_file)
        return context

    def _read_stamp(self) -> Stamp:
        paths = (
            self._files.certificate_file,
            self._files.key_file,
            self._files.authority_file,
        )
        stats = [os.stat(path) for path in paths if path is not None]
        return tuple(
            (each.st_mtime_ns, each.st_size, each.st_ino) for each in stats
        )
