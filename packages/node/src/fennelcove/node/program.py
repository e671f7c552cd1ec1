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
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse, inherited, limited
from fennelcove.node.session_manager import SessionManager
from fennelcove.node.server_connection import receive_limit
from fennelcove.node.client_connection import MESSAGE_US, ClientConnection

STACK_BYTES = 256 * 1024  # address space; what is touched of it is a fraction
ROUND_US = 250_000
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05
THREAD_PAUSE_S = 0.05
START_MOST_US = 20_000_000  # of the 30 s after which the platform takes a start for failed
TELL_US = 10_000_000  # between two log lines of connections that can't be accepted
ROOM_US = 1_000_000  # at most, for one that may go for another, and then for its thread to close it
STOP_MOST_US = 3_000_000  # from SIGTERM to the end: the longest client timeout, but no more than this,
STOP_MORE_US = 500_000  # and a little for what came last; the platform kills 0.2 s after
STOP_LEAST_US = 700_000  # set-ups still come until then, however short their timeouts
HEAR_OUT_US = 1_000_000  # at most, at the end; it is over as soon as all is heard, and giving up loses it
RELOADS = 5  # tries to read a configuration that is just being replaced
RELOAD_PAUSE_S = 0.1


class NodeProgram:
    """Owns the threads of one front node."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.config = config.load(path)
        self.notice = log.notices(self.config.name)
        self.clock = SystemClock()
        self.timers = Timers(self.clock, self.timer_failed)
        fixed = inherited() + 1  # the listening socket
        account = DescriptorBudget(limited(self.config.sockets), fixed)
        self.desk = SessionManager(self.config, self.clock, self.timers, self.notice, account)
        self.discovery = DiscoveryClient(self.desk, self.clock, self.config.board, self.config.known.rev)
        self.desk.fetch = self.discovery.resync
        self.reread = threading.Event()
        self.accepts = threading.Thread(target=self.accept, name="accept", daemon=True)
        self.ending = False
        self.told_us = -TELL_US  # when the log was last told of a failed accept
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def timer_failed(self, error: Exception) -> None:
        self.notice("timer_failed", reason=f"{type(error).__name__}: {error}")

    def run(self) -> int:
        """Serve until SIGTERM and what is owed after it; the exit status."""
        threading.stack_size(STACK_BYTES)
        with self.desk.lock:
            for notice in self.config.known.notices:
                self.desk.board_says(notice)
        # Blocked before any thread starts, so that each one inherits it and the main thread alone hears them;
        # and before it listens, since what is taken from then on is owed the whole stay.
        signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        self.listen()
        for name, call in (
            ("timers", self.timers.run),
            ("board", self.discovery.run),
            ("round", self.rounds),
            ("reload", self.reloads),
        ):
            self.begin(threading.Thread(target=call, name=name, daemon=True))
        self.begin(self.accepts)
        state_dump.start(self.desk)
        self.notice("ready", servers=len(self.desk.servers), rev=self.config.known.rev)
        while signal.sigwait(signals) == signal.SIGHUP:
            self.reread.set()
        self.stop()
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

    def begin(self, thread: threading.Thread, most_us: int = START_MOST_US) -> None:
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
                time.sleep(THREAD_PAUSE_S)

    def rounds(self) -> None:
        """Look after links; never ends."""
        while True:
            time.sleep(ROUND_US / 1e6)
            try:
                with self.desk.lock:
                    self.desk.round()
            except Exception as error:  # one round's fault must not end them all
                self.notice("round_failed", reason=f"{type(error).__name__}: {error}")

    def accept(self) -> None:
        """Take connections in, until the node ends."""
        while not self.ending:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                if self.ending:
                    return
                self.accept_failed(error)
                continue
            self.take(sock, peer[0])

    def accept_failed(self, error: OSError) -> None:
        """With no descriptor for another the connections that came would wait until somebody leaves."""
        now_us = self.clock.now_us()
        if now_us >= self.told_us + TELL_US:
            self.told_us = now_us
            self.notice("accept_failed", reason=str(error))
        if error.errno in (errno.EMFILE, errno.ENFILE):
            with self.desk.lock:
                self.desk.connections.spare()
        time.sleep(ACCEPT_PAUSE_S)

    def take(self, sock: socket.socket, peer: str) -> None:
        """A new connection, where there is room for it."""
        viewer = ClientConnection(self.desk, sock, peer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            receive_limit(sock, MESSAGE_US)
            until_us = self.clock.now_us() + ROOM_US
            while True:
                with self.desk.lock:
                    wait_us = self.desk.connections.wait_us(self.clock.now_us())
                    if not wait_us or self.ending or self.clock.now_us() >= until_us:
                        room = self.desk.connections.add(viewer)
                        break
                time.sleep(wait_us / 1e6)  # the listener's backlog holds the others meanwhile
            if not (room and viewer.place.move(DescriptorUse.CLIENT, ROOM_US)):
                raise OSError("no room")
            self.begin(threading.Thread(target=viewer.run, name="viewer", daemon=True), ROOM_US)
        except (OSError, RuntimeError):
            with self.desk.lock:
                self.desk.connections.remove(viewer)
            viewer.place.close()

    def reloads(self) -> None:
        """Read the file whenever a SIGHUP has come; never ends. Apart from the main thread: while that one
        read a file, or waited between two tries, SIGTERM waited with it and tests went on passing."""
        while True:
            self.reread.wait()
            self.reread.clear()
            try:
                self.reload()
            except Exception as error:  # one file's fault must not end what all later ones are read by
                self.notice("reload_failed", reason=f"{type(error).__name__}: {error}")

    def reload(self) -> None:
        """Go on by the file as it is now; one that can't be used leaves what was, and is told of once."""
        for left in reversed(range(RELOADS)):
            try:
                with self.desk.descriptors.opened(DescriptorUse.FILE):
                    fresh = config.reload(self.path, self.config)
            except (config.ConfigError, config.ConfigMismatchError) as error:
                if left:  # it may be in the middle of being replaced
                    time.sleep(RELOAD_PAUSE_S)
                else:
                    self.notice("reload_failed", **error.fields())
                continue
            self.discovery.move(fresh.board)
            self.notice("reloaded", board=f"{fresh.board.host}:{fresh.board.port}")
            return

    def stop(self) -> None:
        """Tests fail from now on; what plays plays on and what comes is answered until the end is due."""
        with self.desk.lock:
            self.desk.stopping = True
        self.notice("stopping", held=len(self.desk.sessions))
        time.sleep(stop_us(self.config.terms.longest_us) / 1e6)
        with self.desk.lock:
            left = self.desk.end()
        self.hear_out()
        self.notice("stopped", held=len(self.desk.sessions), unanswered=left)

    def hear_out(self) -> None:
        """Answer what the kernel has taken in by now, in the backlog and in buffers: at the process's end it
        would go unanswered, and a connection with bytes unread is reset, over the answers before them."""
        until_us = self.clock.now_us() + HEAR_OUT_US
        self.ending = True
        self.listener.setblocking(False)
        with suppress(OSError):  # nobody is left in the backlog
            for _ in range(BACKLOG):
                if self.clock.now_us() >= until_us:
                    break  # a place for each may take a while to come free
                sock, peer = self.listener.accept()
                self.take(sock, peer[0])
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.accepts.join(HEAR_OUT_US / 20 / 1e6)
        with self.desk.lock:
            for viewer in list(self.desk.connections.viewers):
                viewer.finish()
        for thread in threading.enumerate():
            if thread.name == "viewer":
                thread.join(max(0, until_us - self.clock.now_us()) / 1e6)


def stop_us(longest_us: int) -> int:
    """From SIGTERM to the end, by the longest client timeout of the settings; 0 where they name none."""
    counted_us = min(STOP_MOST_US, longest_us or STOP_MOST_US)
    return max(counted_us + STOP_MORE_US, STOP_LEAST_US + counted_us // 2)


def main() -> int:
    """Run the front node that the environment names; the exit status."""
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        return NodeProgram(path).run()
    except config.ConfigError as error:
        print(f"fennelcove: {error.lines()}", flush=True)
        return 1
