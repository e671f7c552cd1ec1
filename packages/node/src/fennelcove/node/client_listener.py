"""Listener for clients: accepts and admits their connections, and drains them at shutdown."""

from __future__ import annotations

import errno
import socket
import threading
import time
from contextlib import suppress

from fennelcove.clock import Clock
from fennelcove.node.address import Address
from fennelcove.node.client_connection import MESSAGE_TIMEOUT_US, ClientConnection, ClientSessions
from fennelcove.node.config import ConfigError
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.log import EventLogger
from fennelcove.node.socket_calls import set_receive_timeout
from fennelcove.node.thread_start import start_thread

BACKLOG = 512
ACCEPT_RETRY_DELAY_S = 0.05
FAILURE_LOG_INTERVAL_US = 10_000_000  # between two log lines about failures to accept
MAX_ADMISSION_WAIT_US = 1_000_000  # until another may be evicted, and again until its thread has closed it
MAX_DRAIN_US = 1_000_000  # the drain ends as soon as all clients' data has been processed
MAX_ACCEPT_THREAD_JOIN_US = MAX_DRAIN_US // 20
CLIENT_THREAD_NAME = "client"


class ClientListener:
    """Owns the listening socket and the thread that accepts from it."""

    def __init__(self, manager: ClientSessions, clock: Clock, log: EventLogger) -> None:
        self.manager = manager
        self.clock = clock
        self.log = log
        self.accept_thread = threading.Thread(target=self.accept_connections, name="accept", daemon=True)
        self.is_ending = False
        self.failure_logged_us = -FAILURE_LOG_INTERVAL_US
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def listen(self, address: Address) -> None:
        """Bind the socket and listen.

        Raises:
            ConfigError: the address can't be listened on.
        """
        host, port = address.host, address.port
        try:
            self.sock.bind((host, port))
            self.sock.listen(BACKLOG)
        except OSError as error:
            where = f"field listen, {host}:{port}"
            raise ConfigError(f"{type(error).__name__}: {error}", where) from None

    def start(self, timeout_us: int) -> None:
        """Start the thread that accepts.

        Raises:
            RuntimeError: the system could not start a thread in time.
        """
        start_thread(self.accept_thread, self.clock, timeout_us)

    def accept_connections(self) -> None:
        """Accept and admit connections until the node ends; the body of the thread."""
        while not self.is_ending:
            try:
                sock, peer = self.sock.accept()
            except OSError as error:
                if self.is_ending:
                    return
                self._on_accept_failed(error)
                continue
            self.admit(sock, peer[0])

    def _on_accept_failed(self, error: OSError) -> None:
        """Log the failure, and evict a connection if the process has run out of descriptors.

        Without the eviction, new connections would wait until a client leaves.
        """
        now_us = self.clock.now_us()
        if now_us >= self.failure_logged_us + FAILURE_LOG_INTERVAL_US:
            self.failure_logged_us = now_us
            self.log("accept_failed", reason=str(error))
        if error.errno in (errno.EMFILE, errno.ENFILE):
            with self.manager.lock:
                self.manager.connections.evict_one(now_us)
        time.sleep(ACCEPT_RETRY_DELAY_S)

    def admit(self, sock: socket.socket, peer: str) -> None:
        """Start the thread of a new connection, or close the connection if there is no capacity for it."""
        connection = ClientConnection(self.manager, sock, peer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_receive_timeout(sock, MESSAGE_TIMEOUT_US)
            self._acquire_capacity(connection)
            thread = threading.Thread(target=connection.run, name=CLIENT_THREAD_NAME, daemon=True)
            start_thread(thread, self.clock, MAX_ADMISSION_WAIT_US)
        except (OSError, RuntimeError):
            with self.manager.lock:
                self.manager.connections.remove(connection)
            connection.descriptor.close()

    def _acquire_capacity(self, connection: ClientConnection) -> None:
        """Add the connection to the table, and move its descriptor to the clients' share.

        Raises:
            OSError: there is no capacity for it.
        """
        if not self._add_to_table(connection):
            raise OSError("the connection table is full")
        if not connection.descriptor.reassign(DescriptorUse.CLIENT, MAX_ADMISSION_WAIT_US):
            raise OSError("no free descriptor in time")

    def _add_to_table(self, connection: ClientConnection) -> bool:
        """Add the connection, once another may be evicted for it; False if the table is full."""
        deadline_us = self.clock.now_us() + MAX_ADMISSION_WAIT_US
        while True:
            with self.manager.lock:
                delay_us = self.manager.connections.admission_delay_us(self.clock.now_us())
                if not delay_us or self.is_ending or self.clock.now_us() >= deadline_us:
                    return self.manager.connections.add(connection)
            time.sleep(delay_us / 1e6)  # other connections wait in the listener's backlog

    def drain(self) -> None:
        """Answer the requests that the kernel has received by now, in the backlog and in socket buffers.

        Otherwise they would get no answer when the process ends. A connection that is closed with unread data
        is also reset, which destroys the answers sent before.
        """
        deadline_us = self.clock.now_us() + MAX_DRAIN_US
        self.is_ending = True
        self._admit_backlog(deadline_us)
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.accept_thread.join(MAX_ACCEPT_THREAD_JOIN_US / 1e6)
        with self.manager.lock:
            for connection in list(self.manager.connections.connections):
                connection.finish_reading()
        self._join_client_threads(deadline_us)

    def _admit_backlog(self, deadline_us: int) -> None:
        self.sock.setblocking(False)
        with suppress(OSError):  # the backlog is empty
            for _ in range(BACKLOG):
                if self.clock.now_us() >= deadline_us:
                    break  # each admission may have to wait for capacity
                sock, peer = self.sock.accept()
                self.admit(sock, peer[0])

    def _join_client_threads(self, deadline_us: int) -> None:
        for thread in threading.enumerate():
            if thread.name == CLIENT_THREAD_NAME:
                thread.join(max(0, deadline_us - self.clock.now_us()) / 1e6)
