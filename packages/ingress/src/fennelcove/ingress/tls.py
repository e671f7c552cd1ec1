"""TLS for HTTP and WebSocket connections.

The certificate is loaded again when its files change; open connections are not affected.
"""

from __future__ import annotations

import os
import socket
import ssl
import threading

from fennelcove.core.requests import EventLogger
from fennelcove.errors import OperatorError
from fennelcove.settings.schema import TlsSettings


class TlsError(OperatorError):
    """The certificate and key files named in the settings are missing, unreadable or don't match."""

    code = "tls-pair-unusable"
    advice = (
        "Install a matching pair; a running front loads it within a second and uses the old one until then"
    )


class TlsKeys:
    """The newest valid certificate and key; open connections keep those they were accepted with."""

    def __init__(self, settings: TlsSettings, log_event: EventLogger) -> None:
        self.settings = settings
        self.log_event = log_event
        self.lock = threading.Lock()
        self.loaded_stamp = self._file_stamp()
        self.context = self._load()

    def _file_stamp(self) -> tuple[tuple[int, int, int], ...]:
        stamps = []
        for path in (self.settings.certificate, self.settings.key):
            try:
                status = os.stat(path)
                stamps.append((status.st_ino, status.st_mtime_ns, status.st_size))
            except OSError:
                stamps.append((0, 0, 0))
        return tuple(stamps)

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["http/1.1"])
        try:
            context.load_cert_chain(self.settings.certificate, self.settings.key)
        except (OSError, ssl.SSLError) as error:
            raise TlsError(
                f"found no usable pair in {self.settings.certificate} and {self.settings.key} ({error})",
                "tls",
                "fennelcove keys new makes one",
            ) from None
        return context

    def check(self) -> bool:
        """Reload the files if they have changed; return whether a new pair is in use.

        While a pair doesn't match, as between the writing of its two files, the previous one stays in use.
        """
        with self.lock:
            stamp = self._file_stamp()
            if stamp == self.loaded_stamp:
                return False
            self.loaded_stamp = stamp
            try:
                context = self._load()
            except TlsError as error:
                self.log_event("certificate_refused", **error.fields())
                return False
            self.context = context
        self.log_event("certificate_taken")
        return True

    def wrap(self, sock: socket.socket, timeout_us: int) -> socket.socket:
        """Perform the TLS handshake on an accepted socket within the time limit.

        Raises:
            OSError: The handshake failed or timed out.
        """
        sock.settimeout(timeout_us / 1e6)
        return self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=True)
