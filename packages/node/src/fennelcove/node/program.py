"""One front node put together: its start, its signals, its threads and its graceful shutdown."""

from __future__ import annotations

import os
import signal
import threading
import time

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.node import config, log, state_dump
from fennelcove.node.client_listener import ClientListener
from fennelcove.node.config_reloader import ConfigReloader
from fennelcove.node.descriptor_budget import DescriptorBudget, count_open_descriptors, effective_limit
from fennelcove.node.discovery_client import DiscoveryClient
from fennelcove.node.session_manager import SessionManager
from fennelcove.node.thread_start import start_thread

STACK_BYTES = 256 * 1024  # address space; only what is touched of it takes memory
MAINTENANCE_INTERVAL_US = 250_000
MAX_START_US = 20_000_000  # of the 30 s after which the platform counts a start as failed
# From SIGTERM to the end: the longest client timeout, but no more than this,
MAX_SHUTDOWN_WAIT_US = 3_000_000
SHUTDOWN_MARGIN_US = 500_000  # and a little for the last requests; the platform kills 0.2 s after
MIN_SHUTDOWN_WAIT_US = 700_000  # set-ups still arrive until then, however short their timeouts
HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


class NodeProgram:
    """Owns the threads of one front node."""

    def __init__(self, path: str) -> None:
        self.config = config.load(path)
        self.log = log.event_logger(self.config.name)
        self.clock = SystemClock()
        self.timers = Timers(self.clock, self.on_timer_failed)
        listening_sockets = 1
        budget = DescriptorBudget(
            effective_limit(self.config.socket_limit), count_open_descriptors() + listening_sockets
        )
        self.manager = SessionManager(self.config, self.clock, self.timers, self.log, budget)
        self.discovery = DiscoveryClient(
            self.manager, self.clock, self.config.discovery_address, self.config.initial_batch.revision
        )
        self.manager.request_full_list = self.discovery.resync
        self.reloader = ConfigReloader(path, self.config, budget, self.log, self.discovery.change_address)
        self.listener = ClientListener(self.manager, self.clock, self.log)

    def on_timer_failed(self, error: Exception) -> None:
        """Log an error that a timer's callback has raised."""
        self.log("timer_failed", reason=f"{type(error).__name__}: {error}")

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Returns:
            The process's exit status.

        Raises:
            ConfigError: the address of the configuration can't be listened on.
            RuntimeError: the machine had no threads in time.
        """
        self._start()
        self._handle_signals()
        self._shut_down()
        return 0

    def _start(self) -> None:
        threading.stack_size(STACK_BYTES)
        with self.manager.lock:
            for event in self.config.initial_batch.events:
                self.manager.on_discovery_event(event)
        # Blocked before any thread starts, so that each one inherits it and only the main thread receives
        # them; and before it listens, since what is accepted from then on must be served until the shutdown's
        # end.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        self.listener.listen(self.config.listen)
        self._start_threads()
        state_dump.start(self.manager)
        self.log("node_started", servers=len(self.manager.servers), rev=self.config.initial_batch.revision)

    def _start_threads(self) -> None:
        bodies = {
            "timers": self.timers.run,
            "discovery": self.discovery.run,
            "maintenance": self.run_maintenance,
            "reload": self.reloader.run,
        }
        for name, body in bodies.items():
            start_thread(threading.Thread(target=body, name=name, daemon=True), self.clock, MAX_START_US)
        self.listener.start(MAX_START_US)

    def _handle_signals(self) -> None:
        """Request a reload at each SIGHUP; return at SIGTERM or SIGINT."""
        while signal.sigwait(HANDLED_SIGNALS) == signal.SIGHUP:
            self.reloader.request()

    def run_maintenance(self) -> None:
        """Maintain the connections to servers; the body of a thread, which never ends."""
        while True:
            time.sleep(MAINTENANCE_INTERVAL_US / 1e6)
            try:
                with self.manager.lock:
                    self.manager.run_maintenance()
            # One round's fault must not end all later ones.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self.log("maintenance_failed", reason=f"{type(error).__name__}: {error}")

    def _shut_down(self) -> None:
        """Fail health checks from now on, but serve sessions and answer requests until the wait is over."""
        with self.manager.lock:
            self.manager.is_shutting_down = True
        self.log("shutdown_started", held=len(self.manager.sessions))
        time.sleep(shutdown_wait_us(self.config.connection_settings.longest_us) / 1e6)
        with self.manager.lock:
            unanswered = self.manager.shut_down()
        self.listener.drain()
        counts = self.manager.metrics.fields()
        self.log("shutdown_completed", held=len(self.manager.sessions), unanswered=unanswered, **counts)


def shutdown_wait_us(longest_us: int) -> int:
    """Return how long the node serves after SIGTERM, in microseconds.

    Args:
        longest_us: the longest client timeout of the settings; 0 if they name none.
    """
    counted_us = min(MAX_SHUTDOWN_WAIT_US, longest_us or MAX_SHUTDOWN_WAIT_US)
    return max(counted_us + SHUTDOWN_MARGIN_US, MIN_SHUTDOWN_WAIT_US + counted_us // 2)


def main() -> int:
    """Run the front node whose configuration file EDGE_CONFIG names, and return the exit status."""
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        return NodeProgram(path).run()
    except config.ConfigError as error:
        print(f"fennelcove: {error.lines()}", flush=True)
        return 1
