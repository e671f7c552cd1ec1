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

STANDARD = 3  # input, output and error
LEAST_SERVERS, LEAST_CLIENTS = 1, 2


class DescriptorUse(Enum):
    """What descriptors are held for."""

    FIXED = "fixed"  # what was there at the start, and the listening socket
    FILE = "file"  # the configuration, and whatever the interpreter reads meanwhile
    DISCOVERY = "discovery"  # a poll, and the one that a move ends
    ACCEPT = "accept"  # a connection that has been accepted, until there is room for it
    SERVER = "server"
    CLIENT = "client"


RESERVED = {DescriptorUse.FILE: 2, DescriptorUse.DISCOVERY: 2, DescriptorUse.ACCEPT: 1}


def inherited() -> int:
    """How many this process holds already."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one was the folder's own
    except OSError:
        return STANDARD


def limited(sockets: int) -> int:
    """The limit of the configuration, or the process's own where that is lower."""
    own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sockets if own == resource.RLIM_INFINITY else min(sockets, own)


class DescriptorBudget:
    """The owner of the account. The parts add up to the limit at most."""

    def __init__(self, limit: int, fixed: int = STANDARD + 1) -> None:
        self.limit = limit
        servers = max(LEAST_SERVERS, limit // 3)
        left = limit - fixed - sum(RESERVED.values()) - servers
        clients = max(LEAST_CLIENTS, min(limit // 2, left))
        self.most = {
            **RESERVED,
            DescriptorUse.FIXED: fixed,
            DescriptorUse.SERVER: servers,
            DescriptorUse.CLIENT: clients,
        }
        self.held = dict.fromkeys(DescriptorUse, 0) | {DescriptorUse.FIXED: fixed}
        # Those that are held or about to be, without those that are about to be closed.
        self.promised = dict.fromkeys(DescriptorUse, 0)
        self.changed = threading.Condition()

    def room(self, use: DescriptorUse) -> bool:
        """Whether another may be promised; it may have to wait for one that is being closed."""
        with self.changed:
            return self.promised[use] < self.most[use]

    def promise(self, use: DescriptorUse) -> Descriptor:
        """One that is to be opened."""
        return Descriptor(self, use)

    def opened(self, use: DescriptorUse, file: socket.socket | None = None) -> Descriptor:
        """One that is open, or is opened and closed by whoever holds this."""
        made = Descriptor(self, use)
        with self.changed:
            made.counted, made.file = True, file
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
        self.owner = owner
        self.use = use
        self.file: socket.socket | None = None
        self.live = True
        self.counted = False
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
        owner = self.owner
        with owner.changed:
            if not owner.changed.wait_for(lambda: owner.held[self.use] < owner.most[self.use], wait_us / 1e6):
                raise OSError(errno.EMFILE, "no descriptor came free in time")
            owner.held[self.use] += 1
            self.counted = True
        try:
            self.file = make()
        except OSError:
            self._uncount()
            raise
        return self.file

    def move(self, use: DescriptorUse, wait_us: int) -> bool:
        """Count it to another use, once there is room for it there; False where none came in time."""
        owner = self.owner
        with owner.changed:
            if not owner.changed.wait_for(lambda: owner.held[use] < owner.most[use], wait_us / 1e6):
                return False
            for counts in (owner.held, owner.promised):
                counts[self.use] -= 1
                counts[use] += 1
            self.use = use
            owner.changed.notify_all()
            return True

    def leave(self) -> None:
        """It is about to be closed: another may be promised, and is opened after that."""
        with self.owner.changed:
            self.owner.promised[self.use] -= self.live
            self.live = False

    def close(self) -> None:
        """Close and uncount it in one; again means nothing."""
        self.leave()
        self._uncount()

    def _uncount(self) -> None:
        with self.owner.changed:
            file, self.file = self.file, None
            if file is not None:
                file.close()
            self.owner.held[self.use] -= self.counted
            self.counted = False
            self.owner.changed.notify_all()
