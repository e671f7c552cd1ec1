"""Calls on connected sockets that never block, or only for a limited time."""

from __future__ import annotations

import os
import select
import socket
import struct

MIN_RECEIVE_TIMEOUT_US = 1_000


def set_receive_timeout(sock: socket.socket, timeout_us: int) -> None:
    """Set the kernel's receive timeout; sends stay non-blocking by `MSG_DONTWAIT`."""
    seconds, micros = divmod(max(MIN_RECEIVE_TIMEOUT_US, timeout_us), 1_000_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", seconds, micros))


def send_now(sock: socket.socket, data: bytes) -> bool:
    """Send without waiting.

    Returns:
        Whether the kernel accepted all of it; False if the send would block or the connection is broken.
    """
    try:
        return sock.send(data, socket.MSG_DONTWAIT) == len(data)
    except OSError:
        return False


def poll_peer_events(sock: socket.socket) -> int:
    """Ask the kernel, without reading, whether the peer has closed or reset the connection.

    Returns:
        The poll events that are set among POLLRDHUP, POLLERR, POLLHUP and POLLNVAL; 0 if there are none.

    Raises:
        ValueError: the socket is closed.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    events = 0
    for _, found in poll.poll(0):
        events |= found
    return events


def wait_until_connected(sock: socket.socket, timeout_us: int) -> None:
    """Wait for a connect that has timed out but was not cancelled.

    Raises:
        OSError: the connection was refused, or not made in time.
    """
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    if not poll.poll(max(0, timeout_us) / 1000):
        raise TimeoutError("not connected in time")
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
