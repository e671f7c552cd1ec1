"""The process of one front node: start, signals, threads and graceful shutdown."""

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

STACK_BYTES = 256 * 1024  # of address space per thread; only the part in use takes memory
MAINTENANCE_INTERVAL_US = 250_000
MAX_START_US = 20_000_000  # the platform counts a start as failed after 30 s
MAX_SHUTDOWN_WAIT_US = 3_000_000  # upper bound of the client timeout that is waited for after SIGTERM
SHUTDOWN_MARGIN_US = 500_000  # added for the last requests; the platform kills the process 0.2 s later
MIN_SHUTDOWN_WAIT_US = 700_000  # set-ups still arrive for this long, even if their timeouts are short
HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


class NodeProgram:
    """Creates one front node's components and owns its threads."""

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
        """Log an error raised by a timer's callback."""
        self.log("timer_failed", reason=f"{type(error).__name__}: {error}")

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Returns:
            The process's exit status.

        Raises:
            ConfigError: the configured address can't be listened on.
            RuntimeError: the system could not start the threads in time.
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
        # Blocked before any thread starts, so that all threads inherit the mask and only the main thread
        # receives these signals; and before the node listens, since connections that are accepted must be
        # served until the end of the shutdown.
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
        """Request a reload on each SIGHUP; return on SIGTERM or SIGINT."""
        while signal.sigwait(HANDLED_SIGNALS) == signal.SIGHUP:
            self.reloader.request()

    def run_maintenance(self) -> None:
        """Run the manager's maintenance periodically; the body of a thread, which never returns."""
        while True:
            time.sleep(MAINTENANCE_INTERVAL_US / 1e6)
            try:
                with self.manager.lock:
                    self.manager.run_maintenance()
            # An error in one run must not prevent later ones.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self.log("maintenance_failed", reason=f"{type(error).__name__}: {error}")

    def _shut_down(self) -> None:
        """Fail health checks from now on, but continue to serve until the shutdown wait is over."""
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
