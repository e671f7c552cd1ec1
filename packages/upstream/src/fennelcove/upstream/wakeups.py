"""A one-way switch that a thread can wait for together with its sockets."""

from __future__ import annotations

import os
import select
import socket
from contextlib import suppress
from enum import Enum, auto


class CancellationLatch:
    """Set once; its descriptor is readable from then on. The owner closes it when nobody waits any more."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.is_set = False

    def set(self) -> None:
        """Wake everybody who waits."""
        if not self.is_set:
            self.is_set = True
            os.write(self.writer, b"x")

    def wait(self, timeout_us: int) -> bool:
        """Wait until it is set, or for so long."""
        poll = select.poll()
        poll.register(self.reader, select.POLLIN)
        return bool(poll.poll(max(0, -(-timeout_us // 1000))))

    def close(self) -> None:
        """Give the descriptors back."""
        os.close(self.reader)
        os.close(self.writer)


class Wakeup:
    """A wake-up that can be rung again and again; the owner closes it when nobody rings any more."""

    def __init__(self) -> None:
        self.reader = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def notify(self) -> None:
        """Wake who waits, or who will."""
        os.eventfd_write(self.reader, 1)

    def clear(self) -> None:
        """It was heard."""
        with suppress(BlockingIOError):
            os.eventfd_read(self.reader)

    def close(self) -> None:
        """Give the descriptor back."""
        os.close(self.reader)


class WakeReason(Enum):
    """What ended a wait."""

    READY = auto()
    HUNG_UP = auto()
    LATCH = auto()
    TIME = auto()


# A peer that closed its side shows so without its bytes being read, pipelined ones included.
_DISCONNECT_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def wait(
    sock: socket.socket,
    timeout_us: int,
    latch: CancellationLatch | Wakeup | None,
    client_socket: socket.socket | None = None,
) -> WakeReason:
    """Wait until the socket can be read, the other one's peer hangs up, the latch is set or time is up."""
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
    return WakeReason.LATCH if ready else WakeReason.TIME


def wait_bell(
    descriptor: int, timeout_us: int, latch: CancellationLatch, client_socket: socket.socket
) -> WakeReason:
    """Wait until this descriptor can be read, the other one's peer hangs up, the latch is set or time is
    up.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    poll.register(latch.reader, select.POLLIN)
    poll.register(client_socket, _DISCONNECT_EVENTS & ~(select.POLLHUP | select.POLLERR))
    ready = dict(poll.poll(max(0, -(-timeout_us // 1000))))
    if descriptor in ready:
        return WakeReason.READY
    if client_socket.fileno() in ready:
        return WakeReason.HUNG_UP
    return WakeReason.LATCH if ready else WakeReason.TIME
