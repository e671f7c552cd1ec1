"""TLS for both doors: the certificate in force, read again when its files change, without a connection
lost.
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
    """The files of the settings hold no usable certificate and key."""

    code = "tls-pair-unusable"
    advice = (
        "Put a whole pair in place; a running front takes it within a second and keeps the old one until then"
    )


class TlsKeys:
    """The newest good pair. Connections go on under the one they began with."""

    def __init__(self, settings: TlsSettings, log_event: EventLogger) -> None:
        self.settings = settings
        self.log_event = log_event
        self.lock = threading.Lock()
        self.seen = self._stamp()
        self.context = self._load()

    def _stamp(self) -> tuple[tuple[int, int, int], ...]:
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
        """Read the files again if they changed; whether a new pair is in force.

        A pair that does not fit, as between two files written one after the other, leaves the old one.
        """
        with self.lock:
            stamp = self._stamp()
            if stamp == self.seen:
                return False
            self.seen = stamp
            try:
                context = self._load()
            except TlsError as error:
                self.log_event("certificate_refused", **error.fields())
                return False
            self.context = context
        self.log_event("certificate_taken")
        return True

    def wrap(self, sock: socket.socket, timeout_us: int) -> socket.socket:
        """Shake hands on an accepted socket, within the limit.

        Raises:
            OSError: the handshake failed, or took too long.
        """
        sock.settimeout(timeout_us / 1e6)
        return self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=True)
