"""Reads the configuration file again after a SIGHUP, on a thread of its own."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from fennelcove.node import config
from fennelcove.node.address import Address
from fennelcove.node.config import Config, ConfigError, ConfigMismatchError
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.log import EventLogger

MAX_ATTEMPTS = 5  # to read a file that may be incomplete while it is replaced
RETRY_DELAY_S = 0.1


class ConfigReloader:
    """Applies the file's discovery address, the only setting that a running node reloads.

    It has its own thread: if the main thread read the file, or waited between two attempts, it would handle a
    SIGTERM only after that, and health checks would continue to pass until then.
    """

    def __init__(
        self,
        path: str,
        running: Config,
        descriptors: DescriptorBudget,
        log: EventLogger,
        change_discovery_address: Callable[[Address], None],
    ) -> None:
        self.path = path
        self.running = running
        self.descriptors = descriptors
        self.log = log
        self.change_discovery_address = change_discovery_address
        self.requested = threading.Event()

    def request(self) -> None:
        """Request a reload; may be called from any thread."""
        self.requested.set()

    def run(self) -> None:
        """Reload the file after each request; the body of the thread, which never returns."""
        while True:
            self.requested.wait()
            self.requested.clear()
            try:
                self._reload()
            # An error with one file must not prevent later reloads.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self.log("config_reload_failed", reason=f"{type(error).__name__}: {error}")

    def _reload(self) -> None:
        """Read and apply the file; an invalid one changes nothing and is logged once."""
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            try:
                reloaded = self._read()
            except (ConfigError, ConfigMismatchError) as error:
                if attempts_left:
                    time.sleep(RETRY_DELAY_S)
                else:
                    self.log("config_reload_failed", **error.fields())
                continue
            address = reloaded.discovery_address
            self.change_discovery_address(address)
            self.log("config_reloaded", board=f"{address.host}:{address.port}")
            return

    def _read(self) -> Config:
        with self.descriptors.register_open(DescriptorUse.FILE):
            return config.reload(self.path, self.running)
