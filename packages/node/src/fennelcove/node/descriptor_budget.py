"""The account of the process's file descriptors: each use has its part; whoever opens one counts it first.

A descriptor lives until its `close`, not until the `shutdown` before it: counted only to there, what came in
its place was opened beside it. Its own lock is the innermost: nothing is called with it held but `close`.
"""

from __future__ import annotations

import errno
import os
import resource
import socket
import threading
from collections.abc import Callable
from enum import Enum
from types import TracebackType

STANDARD_STREAM_COUNT = 3  # input, output and error
MIN_SERVER_DESCRIPTORS, MIN_CLIENT_DESCRIPTORS = 1, 2


class DescriptorUse(Enum):
    """What descriptors are held for."""

    FIXED = "fixed"  # what was there at the start, and the listening socket
    FILE = "file"  # the configuration, and whatever the interpreter reads meanwhile
    DISCOVERY = "discovery"  # a poll, and the one that a move ends
    ACCEPT = "accept"  # a connection that has been accepted, until there is room for it
    SERVER = "server"
    CLIENT = "client"


FIXED_LIMITS = {DescriptorUse.FILE: 2, DescriptorUse.DISCOVERY: 2, DescriptorUse.ACCEPT: 1}


def count_open_descriptors() -> int:
    """How many this process holds already."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one was the folder's own
    except OSError:
        return STANDARD_STREAM_COUNT


def limited(sockets: int) -> int:
    """The limit of the configuration, or the process's own where that is lower."""
    own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sockets if own == resource.RLIM_INFINITY else min(sockets, own)


class DescriptorBudget:
    """The owner of the account. The parts add up to the limit at most."""

    def __init__(self, limit: int, fixed: int = STANDARD_STREAM_COUNT + 1) -> None:
        self.limit = limit
        servers = max(MIN_SERVER_DESCRIPTORS, limit // 3)
        left = limit - fixed - sum(FIXED_LIMITS.values()) - servers
        clients = max(MIN_CLIENT_DESCRIPTORS, min(limit // 2, left))
        self.most = {
            **FIXED_LIMITS,
            DescriptorUse.FIXED: fixed,
            DescriptorUse.SERVER: servers,
            DescriptorUse.CLIENT: clients,
        }
        self.held = dict.fromkeys(DescriptorUse, 0) | {DescriptorUse.FIXED: fixed}
        # Those that are held or about to be, without those that are about to be closed.
        self.promised = dict.fromkeys(DescriptorUse, 0)
        self.changed = threading.Condition()

    def has_capacity(self, use: DescriptorUse) -> bool:
        """Whether another may be promised; it may have to wait for one that is being closed."""
        with self.changed:
            return self.promised[use] < self.most[use]

    def reserve(self, use: DescriptorUse) -> Descriptor:
        """One that is to be opened."""
        return Descriptor(self, use)

    def register_open(self, use: DescriptorUse, file: socket.socket | None = None) -> Descriptor:
        """One that is open, or is opened and closed by whoever holds this."""
        made = Descriptor(self, use)
        with self.changed:
            made.is_counted, made.sock = True, file
            self.held[use] += 1
        return made

    def told(self) -> dict[str, int]:
        """For the trace."""
        with self.changed:
            return {"limit": self.limit, "all": sum(self.held.values())} | {
                use.value: count for use, count in self.held.items()
            }


class Descriptor:
    """One descriptor, from the promise of it to its close."""

    def __init__(self, owner: DescriptorBudget, use: DescriptorUse) -> None:
        self.budget = owner
        self.use = use
        self.sock: socket.socket | None = None
        self.is_reserved = True
        self.is_counted = False
        with owner.changed:
            owner.promised[use] += 1

    def __enter__(self) -> Descriptor:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def open(self, make: Callable[[], socket.socket], wait_us: int) -> socket.socket:
        """Open it, once one that is being closed has been.

        Raises:
            OSError: there is none, or none came free in time.
        """
        owner = self.budget
        with owner.changed:
            if not owner.changed.wait_for(lambda: owner.held[self.use] < owner.most[self.use], wait_us / 1e6):
                raise OSError(errno.EMFILE, "no descriptor came free in time")
            owner.held[self.use] += 1
            self.is_counted = True
        try:
            self.sock = make()
        except OSError:
            self._close_and_uncount()
            raise
        return self.sock

    def reassign(self, use: DescriptorUse, wait_us: int) -> bool:
        """Count it to another use, once there is room for it there; False where none came in time."""
        owner = self.budget
        with owner.changed:
            if not owner.changed.wait_for(lambda: owner.held[use] < owner.most[use], wait_us / 1e6):
                return False
            for counts in (owner.held, owner.promised):
                counts[self.use] -= 1
                counts[use] += 1
            self.use = use
            owner.changed.notify_all()
            return True

    def release_reservation(self) -> None:
        """It is about to be closed: another may be promised, and is opened after that."""
        with self.budget.changed:
            self.budget.promised[self.use] -= self.is_reserved
            self.is_reserved = False

    def close(self) -> None:
        """Close and uncount it in one; again means nothing."""
        self.release_reservation()
        self._close_and_uncount()

    def _close_and_uncount(self) -> None:
        with self.budget.changed:
            file, self.sock = self.sock, None
            if file is not None:
                file.close()
            self.budget.held[self.use] -= self.is_counted
            self.is_counted = False
            self.budget.changed.notify_all()
