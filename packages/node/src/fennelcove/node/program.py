"""One front node put together: threads, signals and the listening socket."""

from __future__ import annotations

import errno
import os
import signal
import socket
import threading
import time
from contextlib import suppress

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.node import config, log, state_dump
from fennelcove.node.discovery_client import DiscoveryClient
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse, count_open_descriptors, limited
from fennelcove.node.session_manager import SessionManager
from fennelcove.node.server_connection import set_receive_timeout
from fennelcove.node.client_connection import MESSAGE_TIMEOUT_US, ClientConnection

STACK_BYTES = 256 * 1024  # address space; what is touched of it is a fraction
MAINTENANCE_INTERVAL_US = 250_000
BACKLOG = 512
ACCEPT_RETRY_DELAY_S = 0.05
THREAD_START_RETRY_DELAY_S = 0.05
MAX_START_US = 20_000_000  # of the 30 s after which the platform takes a start for failed
ACCEPT_FAILURE_LOG_INTERVAL_US = 10_000_000  # between two log lines of connections that can't be accepted
MAX_ADMISSION_WAIT_US = (
    1_000_000  # at most, for one that may go for another, and then for its thread to close it
)
MAX_SHUTDOWN_WAIT_US = (
    3_000_000  # from SIGTERM to the end: the longest client timeout, but no more than this,
)
SHUTDOWN_MARGIN_US = 500_000  # and a little for what came last; the platform kills 0.2 s after
MIN_SHUTDOWN_WAIT_US = 700_000  # set-ups still come until then, however short their timeouts
MAX_CLIENT_DRAIN_US = (
    1_000_000  # at most, at the end; it is over as soon as all is heard, and giving up loses it
)
RELOAD_ATTEMPTS = 5  # tries to read a configuration that is just being replaced
RELOAD_RETRY_DELAY_S = 0.1


class NodeProgram:
    """Owns the threads of one front node."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.config = config.load(path)
        self.log = log.event_logger(self.config.name)
        self.clock = SystemClock()
        self.timers = Timers(self.clock, self.on_timer_failed)
        fixed = count_open_descriptors() + 1  # the listening socket
        account = DescriptorBudget(limited(self.config.sockets), fixed)
        self.manager = SessionManager(self.config, self.clock, self.timers, self.log, account)
        self.discovery = DiscoveryClient(
            self.manager, self.clock, self.config.discovery_address, self.config.initial_batch.revision
        )
        self.manager.fetch = self.discovery.resync
        self.reload_requested = threading.Event()
        self.accept_thread = threading.Thread(target=self.accept_connections, name="accept", daemon=True)
        self.is_ending = False
        self.accept_failure_logged_us = (
            -ACCEPT_FAILURE_LOG_INTERVAL_US
        )  # when the log was last told of a failed accept
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def on_timer_failed(self, error: Exception) -> None:
        self.log("timer_failed", reason=f"{type(error).__name__}: {error}")

    def run(self) -> int:
        """Serve until SIGTERM and what is owed after it; the exit status."""
        threading.stack_size(STACK_BYTES)
        with self.manager.lock:
            for notice in self.config.initial_batch.events:
                self.manager.board_says(notice)
        # Blocked before any thread starts, so that each one inherits it and the main thread alone hears them;
        # and before it listens, since what is taken from then on is owed the whole stay.
        signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        self.listen()
        for name, call in (
            ("timers", self.timers.run),
            ("board", self.discovery.run),
            ("round", self.run_maintenance),
            ("reload", self.run_reloads),
        ):
            self.start_thread(threading.Thread(target=call, name=name, daemon=True))
        self.start_thread(self.accept_thread)
        state_dump.start(self.manager)
        self.log("node_started", servers=len(self.manager.servers), rev=self.config.initial_batch.revision)
        while signal.sigwait(signals) == signal.SIGHUP:
            self.reload_requested.set()
        self.shut_down()
        return 0

    def listen(self) -> None:
        """Raises:
        ConfigError: the address is not one to listen on.
        """
        host, port = self.config.listen.host, self.config.listen.port
        try:
            self.listener.bind((host, port))
            self.listener.listen(BACKLOG)
        except OSError as error:
            raise config.ConfigError(
                f"{type(error).__name__}: {error}", f"field listen, {host}:{port}"
            ) from None

    def start_thread(self, thread: threading.Thread, most_us: int = MAX_START_US) -> None:
        """Start a thread, once the machine has one: where many processes start together it may be out of them
        for a moment, and a start that ended by that was a crash.

        Raises:
            RuntimeError: none came free in time.
        """
        until_us = self.clock.now_us() + most_us
        while True:
            try:
                thread.start()
                return
            except RuntimeError:
                if self.clock.now_us() >= until_us:
                    raise
                time.sleep(THREAD_START_RETRY_DELAY_S)

    def run_maintenance(self) -> None:
        """Look after links; never ends."""
        while True:
            time.sleep(MAINTENANCE_INTERVAL_US / 1e6)
            try:
                with self.manager.lock:
                    self.manager.round()
            except Exception as error:  # one round's fault must not end them all
                self.log("maintenance_failed", reason=f"{type(error).__name__}: {error}")

    def accept_connections(self) -> None:
        """Take connections in, until the node ends."""
        while not self.is_ending:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if self.is_ending:
                    return
                self.on_accept_failed(error)
                continue
            self.admit_connection(sock, peer[0])

    def on_accept_failed(self, error: OSError) -> None:
        """With no descriptor for another the connections that came would wait until somebody leaves."""
        now_us = self.clock.now_us()
        if now_us >= self.accept_failure_logged_us + ACCEPT_FAILURE_LOG_INTERVAL_US:
            self.accept_failure_logged_us = now_us
            self.log("accept_failed", reason=str(error))
        if error.errno in (errno.EMFILE, errno.ENFILE):
            with self.manager.lock:
                self.manager.connections.evict_one()
        time.sleep(ACCEPT_RETRY_DELAY_S)

    def admit_connection(self, sock: socket.socket, peer: str) -> None:
        """A new connection, where there is room for it."""
        viewer = ClientConnection(self.manager, sock, peer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_receive_timeout(sock, MESSAGE_TIMEOUT_US)
            until_us = self.clock.now_us() + MAX_ADMISSION_WAIT_US
            while True:
                with self.manager.lock:
                    wait_us = self.manager.connections.admission_delay_us(self.clock.now_us())
                    if not wait_us or self.is_ending or self.clock.now_us() >= until_us:
                        room = self.manager.connections.add(viewer)
                        break
                time.sleep(wait_us / 1e6)  # the listener's backlog holds the others meanwhile
            if not (room and viewer.descriptor.reassign(DescriptorUse.CLIENT, MAX_ADMISSION_WAIT_US)):
                raise OSError("no room")
            self.start_thread(
                threading.Thread(target=viewer.run, name="client", daemon=True), MAX_ADMISSION_WAIT_US
            )
        except (OSError, RuntimeError):
            with self.manager.lock:
                self.manager.connections.remove(viewer)
            viewer.descriptor.close()

    def run_reloads(self) -> None:
        """Read the file whenever a SIGHUP has come; never ends. Apart from the main thread: while that one
        read a file, or waited between two tries, SIGTERM waited with it and tests went on passing."""
        while True:
            self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                self.reload()
            except Exception as error:  # one file's fault must not end what all later ones are read by
                self.log("config_reload_failed", reason=f"{type(error).__name__}: {error}")

    def reload(self) -> None:
        """Go on by the file as it is now; one that can't be used leaves what was, and is told of once."""
        for left in reversed(range(RELOAD_ATTEMPTS)):
            try:
                with self.manager.descriptors.register_open(DescriptorUse.FILE):
                    fresh = config.reload(self.path, self.config)
            except (config.ConfigError, config.ConfigMismatchError) as error:
                if left:  # it may be in the middle of being replaced
                    time.sleep(RELOAD_RETRY_DELAY_S)
                else:
                    self.log("config_reload_failed", **error.fields())
                continue
            self.discovery.change_address(fresh.discovery_address)
            self.log(
                "config_reloaded", board=f"{fresh.discovery_address.host}:{fresh.discovery_address.port}"
            )
            return

    def shut_down(self) -> None:
        """Tests fail from now on; what plays plays on and what comes is answered until the end is due."""
        with self.manager.lock:
            self.manager.stopping = True
        self.log("shutdown_started", held=len(self.manager.sessions))
        time.sleep(shutdown_wait_us(self.config.terms.longest_us) / 1e6)
        with self.manager.lock:
            left = self.manager.end()
        self.drain_clients()
        self.log("shutdown_completed", held=len(self.manager.sessions), unanswered=left)

    def drain_clients(self) -> None:
        """Answer what the kernel has taken in by now, in the backlog and in buffers: at the process's end it
        would go unanswered, and a connection with bytes unread is reset, over the answers before them."""
        until_us = self.clock.now_us() + MAX_CLIENT_DRAIN_US
        self.is_ending = True
        self.listener.setblocking(False)
        with suppress(OSError):  # nobody is left in the backlog
            for _ in range(BACKLOG):
                if self.clock.now_us() >= until_us:
                    break  # a place for each may take a while to come free
                sock, peer = self.listener.accept()
                self.admit_connection(sock, peer[0])
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.accept_thread.join(MAX_CLIENT_DRAIN_US / 20 / 1e6)
        with self.manager.lock:
            for viewer in list(self.manager.connections.connections):
                viewer.finish_reading()
        for thread in threading.enumerate():
            if thread.name == "client":
                thread.join(max(0, until_us - self.clock.now_us()) / 1e6)


def shutdown_wait_us(longest_us: int) -> int:
    """From SIGTERM to the end, by the longest client timeout of the settings; 0 where they name none."""
    counted_us = min(MAX_SHUTDOWN_WAIT_US, longest_us or MAX_SHUTDOWN_WAIT_US)
    return max(counted_us + SHUTDOWN_MARGIN_US, MIN_SHUTDOWN_WAIT_US + counted_us // 2)


def main() -> int:
    """Run the front node that the environment names; the exit status."""
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        return NodeProgram(path).run()
    except config.ConfigError as error:
        print(f"fennelcove: {error.lines()}", flush=True)
        return 1
