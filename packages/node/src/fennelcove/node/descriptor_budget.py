"""Budget of file descriptors: each use has a limit, and each descriptor is counted before it is opened.

A descriptor counts until its `close`. If it counted only until the `shutdown` before that, its replacement
would be opened while it is still open. The budget's lock is the innermost of the process: while it is held,
nothing is called but `close` on a socket.
"""

from __future__ import annotations

import errno
import os
import resource
import socket
import threading
from enum import Enum
from types import TracebackType

STANDARD_STREAM_COUNT = 3  # input, output and error
MIN_SERVER_DESCRIPTORS, MIN_CLIENT_DESCRIPTORS = 1, 2
SERVER_SHARE_DIVISOR = 3  # servers get a third of the limit
CLIENT_SHARE_DIVISOR = 2  # clients get at most half of it


class DescriptorUse(Enum):
    """What a descriptor is used for."""

    FIXED = "fixed"  # those open when the process starts, and the listening socket
    FILE = "file"  # the configuration file, and files that the interpreter reads meanwhile
    DISCOVERY = "discovery"  # the poll, and an earlier one that is overdue
    ACCEPT = "accept"  # an accepted connection that is not admitted yet
    SERVER = "server"
    CLIENT = "client"


FIXED_LIMITS = {DescriptorUse.FILE: 2, DescriptorUse.DISCOVERY: 2, DescriptorUse.ACCEPT: 1}


def count_open_descriptors() -> int:
    """Return how many descriptors this process holds."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that lists the directory
    except OSError:
        return STANDARD_STREAM_COUNT


def effective_limit(sockets: int) -> int:
    """Return the configured limit `sockets`, or the process's resource limit if that is lower."""
    own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sockets if own == resource.RLIM_INFINITY else min(sockets, own)


class DescriptorBudget:
    """Counts descriptors by use. The limits of all uses add up to at most the limit of the process."""

    def __init__(self, limit: int, fixed: int = STANDARD_STREAM_COUNT + 1) -> None:
        self.limit = limit
        servers = max(MIN_SERVER_DESCRIPTORS, limit // SERVER_SHARE_DIVISOR)
        remaining = limit - fixed - sum(FIXED_LIMITS.values()) - servers
        clients = max(MIN_CLIENT_DESCRIPTORS, min(limit // CLIENT_SHARE_DIVISOR, remaining))
        self.limits = {
            **FIXED_LIMITS,
            DescriptorUse.FIXED: fixed,
            DescriptorUse.SERVER: servers,
            DescriptorUse.CLIENT: clients,
        }
        self.open_counts = dict.fromkeys(DescriptorUse, 0) | {DescriptorUse.FIXED: fixed}
        # Descriptors that are open or about to be opened, except those about to be closed.
        self.reserved_counts = dict.fromkeys(DescriptorUse, 0)
        self.changed = threading.Condition()

    def has_capacity(self, use: DescriptorUse) -> bool:
        """Whether another may be reserved; opening it may still have to wait for one that is being closed."""
        with self.changed:
            return self.reserved_counts[use] < self.limits[use]

    def reserve(self, use: DescriptorUse) -> Descriptor:
        """Return a descriptor that is yet to be opened."""
        return Descriptor(self, use)

    def register_open(self, use: DescriptorUse, sock: socket.socket | None = None) -> Descriptor:
        """Return a descriptor that is open already, or that the caller opens and closes itself.

        Args:
            use: what it is used for.
            sock: the open socket, closed with the descriptor; None if the caller closes the file.
        """
        descriptor = Descriptor(self, use)
        with self.changed:
            descriptor.is_counted, descriptor.sock = True, sock
            self.open_counts[use] += 1
        return descriptor

    def counts_by_use(self) -> dict[str, int]:
        """Return the limit and the numbers of open descriptors, under their names in the state dump."""
        with self.changed:
            totals = {"limit": self.limit, "all": sum(self.open_counts.values())}
            return totals | {use.value: count for use, count in self.open_counts.items()}


class Descriptor:
    """One descriptor, from its reservation to its close; a context manager that closes it."""

    def __init__(self, budget: DescriptorBudget, use: DescriptorUse) -> None:
        self.budget = budget
        self.use = use
        self.sock: socket.socket | None = None
        self.is_reserved = True
        self.is_counted = False
        with budget.changed:
            budget.reserved_counts[use] += 1

    def __enter__(self) -> Descriptor:
        """Return the descriptor itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the descriptor."""
        self.close()

    def open_socket(self, timeout_us: int) -> socket.socket:
        """Open a TCP socket; if the use is at its limit, wait for a descriptor that is being closed.

        Raises:
            OSError: the system has no descriptor, or none was closed in time.
        """
        budget = self.budget
        with budget.changed:
            if not self._wait_for_capacity(self.use, timeout_us):
                raise OSError(errno.EMFILE, "no free descriptor in time")
            budget.open_counts[self.use] += 1
            self.is_counted = True
        try:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            self._close_and_uncount()
            raise
        return self.sock

    def reassign(self, use: DescriptorUse, timeout_us: int) -> bool:
        """Move the descriptor to another use, as soon as that is below its limit.

        Returns:
            False if the other use was at its limit until the timeout.
        """
        budget = self.budget
        with budget.changed:
            if not self._wait_for_capacity(use, timeout_us):
                return False
            for counts in (budget.open_counts, budget.reserved_counts):
                counts[self.use] -= 1
                counts[use] += 1
            self.use = use
            budget.changed.notify_all()
            return True

    def _wait_for_capacity(self, use: DescriptorUse, timeout_us: int) -> bool:
        """Wait until the use is below its limit; the budget's lock is held."""
        budget = self.budget
        return budget.changed.wait_for(lambda: budget.open_counts[use] < budget.limits[use], timeout_us / 1e6)

    def release_reservation(self) -> None:
        """Allow another to be reserved, because this one is about to be closed; it is opened after that."""
        with self.budget.changed:
            self.budget.reserved_counts[self.use] -= self.is_reserved
            self.is_reserved = False

    def close(self) -> None:
        """Close the socket and stop counting it, atomically; closing again has no effect."""
        self.release_reservation()
        self._close_and_uncount()

    def _close_and_uncount(self) -> None:
        with self.budget.changed:
            sock, self.sock = self.sock, None
            if sock is not None:
                sock.close()
            self.budget.open_counts[self.use] -= self.is_counted
            self.is_counted = False
            self.budget.changed.notify_all()
