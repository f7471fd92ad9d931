"""Mutual TLS between hosts, which reloads certificates that change."""

import collections.abc
import os
import ssl

from samphirestand import clock as clocks
from samphirestand import config
from samphirestand import exceptions
from samphirestand import log

logger = log.get_logger(__name__)

CHECK_INTERVAL_MS = 5_000

# Modification time (ns), size and inode number of each file.
FileStats = tuple[tuple[int, int, int], ...]


class PeerTls:
    """The TLS contexts of the connections between hosts.

    Both sides must present a certificate that the fleet's authority signed.
    The name in the certificate isn't checked, because hosts are known by
    numeric addresses that address translation may change; the login names the
    host. The constructor raises ``SettingsError`` if the files can't be used.
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
            self._file_stats = self._read_file_stats()
            self.server, self.client = self._create_contexts()
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(
                f'peer_tls: {files.certificate_file}: {error}',
                step='settings',
            ) from error

    def refresh(self) -> bool:
        """Read the files again if they changed; tell whether they did.

        If the files can't be used, for example because they are just being
        replaced, the contexts stay as they are until the next call.
        """
        try:
            file_stats = self._read_file_stats()
            if file_stats == self._file_stats:
                return False
            self.server, self.client = self._create_contexts()
        except (OSError, ValueError) as error:
            logger.error('certificates_unusable', reason=str(error))
            return False
        self._file_stats = file_stats
        logger.info('certificates_read')
        return True

    async def watch(
        self,
        clock: clocks.Clock,
        listen: collections.abc.Callable[
            [ssl.SSLContext], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Reload changed files until cancelled.

        ``listen`` is called with each new context of the server.
        """
        while True:
            await clock.sleep(CHECK_INTERVAL_MS)
            if self.refresh():
                await listen(self.server)

    def _create_contexts(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        server = self._create_context(ssl.PROTOCOL_TLS_SERVER)
        client = self._create_context(ssl.PROTOCOL_TLS_CLIENT)
        return server, client

    def _create_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._files.certificate_file, self._files.key_file
        )
        context.load_verify_locations(self._files.authority_file)
        return context

    def _read_file_stats(self) -> FileStats:
        paths = (
            self._files.certificate_file,
            self._files.key_file,
            self._files.authority_file,
        )
        stats = [os.stat(path) for path in paths if path is not None]
        return tuple(
            (each.st_mtime_ns, each.st_size, each.st_ino) for each in stats
        )
