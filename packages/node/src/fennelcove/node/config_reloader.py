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

MAX_ATTEMPTS = 5  # to read a file that may just be being replaced
RETRY_DELAY_S = 0.1


class ConfigReloader:
    """Applies the file's discovery address, the one setting that a running node takes from it.

    It has its own thread: while the main thread read a file, or waited between two attempts, SIGTERM waited
    with it and health checks continued to pass.
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
        """Have the file read soon; may be called from any thread."""
        self.requested.set()

    def run(self) -> None:
        """Read the file after each request; the body of the thread, which never ends."""
        while True:
            self.requested.wait()
            self.requested.clear()
            try:
                self._reload()
            # One file's fault must not end the reading of all later ones.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self.log("config_reload_failed", reason=f"{type(error).__name__}: {error}")

    def _reload(self) -> None:
        """Apply the file; one that can't be used changes nothing, and is logged once."""
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
