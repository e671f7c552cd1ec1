"""Signals between threads that can be polled together with sockets, and the waits that use them."""

from __future__ import annotations

import os
import select
import socket
from contextlib import suppress
from enum import Enum, auto


class CancellationLatch:
    """A one-way flag; its descriptor is readable once it is set.

    The owner closes it after all waiting threads have ended.
    """

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.is_set = False

    def set(self) -> None:
        """Set the flag, which wakes all waiting threads."""
        if not self.is_set:
            self.is_set = True
            os.write(self.writer, b"x")

    def wait(self, timeout_us: int) -> bool:
        """Wait until the flag is set or the timeout has passed; return whether it is set."""
        poll = select.poll()
        poll.register(self.reader, select.POLLIN)
        return bool(poll.poll(max(0, -(-timeout_us // 1000))))

    def close(self) -> None:
        """Close the descriptors."""
        os.close(self.reader)
        os.close(self.writer)


class Wakeup:
    """A reusable event; the owner closes it after the last `notify`."""

    def __init__(self) -> None:
        self.reader = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def notify(self) -> None:
        """Wake the waiting thread, or the next one that waits."""
        os.eventfd_write(self.reader, 1)

    def clear(self) -> None:
        """Reset the event, so that the next wait blocks again."""
        with suppress(BlockingIOError):
            os.eventfd_read(self.reader)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.reader)


class WakeReason(Enum):
    """What ended a wait."""

    READY = auto()
    HUNG_UP = auto()
    LATCH = auto()
    TIMEOUT = auto()


# POLLRDHUP reports that the peer closed its side although unread bytes, e.g. pipelined requests, remain.
_DISCONNECT_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def wait(
    sock: socket.socket,
    timeout_us: int,
    latch: CancellationLatch | Wakeup | None,
    client_socket: socket.socket | None = None,
) -> WakeReason:
    """Wait until the socket is readable, the client disconnects, the latch is set or the timeout passes."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if latch is not None:
        poll.register(latch.reader, select.POLLIN)
    if client_socket is not None:
        poll.register(client_socket, _DISCONNECT_EVENTS & ~(select.POLLHUP | select.POLLERR))
    ready = dict(poll.poll(max(0, -(-timeout_us // 1000))))
    if sock.fileno() in ready:
        return WakeReason.READY
    if client_socket is not None and client_socket.fileno() in ready:
        return WakeReason.HUNG_UP
    return WakeReason.LATCH if ready else WakeReason.TIMEOUT


def wait_for_descriptor(
    descriptor: int, timeout_us: int, latch: CancellationLatch, client_socket: socket.socket
) -> WakeReason:
    """Like `wait`, for a descriptor that is not a socket."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    poll.register(latch.reader, select.POLLIN)
    poll.register(client_socket, _DISCONNECT_EVENTS & ~(select.POLLHUP | select.POLLERR))
    ready = dict(poll.poll(max(0, -(-timeout_us // 1000))))
    if descriptor in ready:
        return WakeReason.READY
    if client_socket.fileno() in ready:
        return WakeReason.HUNG_UP
    return WakeReason.LATCH if ready else WakeReason.TIMEOUT
