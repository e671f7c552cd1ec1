"""What the writer behind a store does when its disk is slow, full or broken, as a state table.

Nothing that answers a viewer waits for the disk. What is to be kept waits in a bounded table in which the
newest value of a key replaces the older; when the disk comes back, the newest is what is written.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

MAX_PENDING_KEYS = 20_000  # keys
MAX_BATCH_KEYS = 2000
GROUP_COMMIT_US = 50_000  # writes that come within it share one sync
INITIAL_BACKOFF_US = 500_000
MAX_BACKOFF_US = 30_000_000


class WriterState(Enum):
    """How the disk does."""

    WRITING = auto()
    DISK_FULL = auto()  # it said so: tried again after a pause
    FAILING = auto()  # it said something else: tried again as well, an operator may mend it


class WriterEvent(Enum):
    """What became of a write."""

    WRITTEN = auto()
    NO_SPACE = auto()
    FAILED = auto()


class WriterAction(Enum):
    """What follows."""

    LOG_DISK_FULL = auto()
    LOG_WRITE_FAILED = auto()
    LOG_RECOVERED = auto()
    BACK_OFF = auto()  # twice as long each time


TRANSITIONS: dict[tuple[WriterState, WriterEvent], tuple[WriterState, tuple[WriterAction, ...]]] = {
    (WriterState.WRITING, WriterEvent.WRITTEN): (WriterState.WRITING, ()),
    (WriterState.WRITING, WriterEvent.NO_SPACE): (
        WriterState.DISK_FULL,
        (WriterAction.LOG_DISK_FULL, WriterAction.BACK_OFF),
    ),
    (WriterState.WRITING, WriterEvent.FAILED): (
        WriterState.FAILING,
        (WriterAction.LOG_WRITE_FAILED, WriterAction.BACK_OFF),
    ),
    (WriterState.DISK_FULL, WriterEvent.WRITTEN): (WriterState.WRITING, (WriterAction.LOG_RECOVERED,)),
    (WriterState.DISK_FULL, WriterEvent.NO_SPACE): (WriterState.DISK_FULL, (WriterAction.BACK_OFF,)),
    (WriterState.DISK_FULL, WriterEvent.FAILED): (
        WriterState.FAILING,
        (WriterAction.LOG_WRITE_FAILED, WriterAction.BACK_OFF),
    ),
    (WriterState.FAILING, WriterEvent.WRITTEN): (WriterState.WRITING, (WriterAction.LOG_RECOVERED,)),
    (WriterState.FAILING, WriterEvent.NO_SPACE): (
        WriterState.DISK_FULL,
        (WriterAction.LOG_DISK_FULL, WriterAction.BACK_OFF),
    ),
    (WriterState.FAILING, WriterEvent.FAILED): (WriterState.FAILING, (WriterAction.BACK_OFF,)),
}


@dataclass(slots=True)
class WriteBehindQueue:
    """What is to be written, and when; the caller holds the lock and hands in times in microseconds."""

    state: WriterState = WriterState.WRITING
    pending: OrderedDict[bytes, bytes | None] = field(default_factory=OrderedDict)
    pending_since_us: int = -1
    backoff_us: int = INITIAL_BACKOFF_US
    retry_at_us: int = 0
    dropped_count: int = 0

    def put(self, key: bytes, value: bytes | None, now_us: int) -> None:
        """To be kept; past the bound the one that has waited longest is given up."""
        if not self.pending:
            self.pending_since_us = now_us
        self.pending[key] = value
        if len(self.pending) > MAX_PENDING_KEYS:
            self.pending.popitem(last=False)
            self.dropped_count += 1

    def wait_us(self, now_us: int) -> int | None:
        """In how long the next batch is due; None while nothing waits."""
        if not self.pending:
            return None
        return max(0, self.pending_since_us + GROUP_COMMIT_US - now_us, self.retry_at_us - now_us)

    def next_batch(self, now_us: int) -> list[tuple[bytes, bytes | None]]:
        """The next batch."""
        found: list[tuple[bytes, bytes | None]] = []
        while self.pending and len(found) < MAX_BATCH_KEYS:
            found.append(self.pending.popitem(last=False))
        self.pending_since_us = now_us
        return found

    def requeue(self, batch: list[tuple[bytes, bytes | None]]) -> None:
        """A batch was not written: it waits again, unless something newer does."""
        for key, value in reversed(batch):
            if key not in self.pending:
                self.pending[key] = value
                self.pending.move_to_end(key, last=False)
        while len(self.pending) > MAX_PENDING_KEYS:
            self.pending.popitem(last=False)
            self.dropped_count += 1

    def on_write_completed(self, event: WriterEvent, now_us: int) -> tuple[WriterAction, ...]:
        """What became of a write."""
        self.state, acts = TRANSITIONS[self.state, event]
        if WriterAction.BACK_OFF in acts:
            self.retry_at_us = now_us + self.backoff_us
            self.backoff_us = min(MAX_BACKOFF_US, 2 * self.backoff_us)
        else:
            self.backoff_us, self.retry_at_us = INITIAL_BACKOFF_US, 0
        return acts
