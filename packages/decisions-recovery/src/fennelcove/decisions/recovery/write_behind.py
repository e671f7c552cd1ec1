"""The queue between a store and its writer thread, and its behaviour when the disk is full or fails.

No response to a client waits for the disk. Changes wait in a bounded table in which the newest value of a key
replaces the older one; once the disk works again, only the newest values are written. Times are in
microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable

MAX_PENDING_KEYS = 20_000
MAX_BATCH_KEYS = 2000
GROUP_COMMIT_US = 50_000  # changes within it share one sync
INITIAL_BACKOFF_US = 500_000
MAX_BACKOFF_US = 30_000_000

Change = tuple[bytes, bytes | None]  # a key and its value; None deletes the key


class WriterState(Enum):
    """The state of the disk according to the last write."""

    WRITING = auto()
    DISK_FULL = auto()  # the write is retried after a backoff
    FAILING = auto()  # any other error: retried as well, since an operator may repair it


class WriterEvent(Enum):
    """The result of a write."""

    WRITTEN = auto()
    NO_SPACE = auto()
    FAILED = auto()


class WriterAction(Enum):
    """What to do after a write."""

    LOG_DISK_FULL = auto()
    LOG_WRITE_FAILED = auto()
    LOG_RECOVERED = auto()
    BACK_OFF = auto()  # each delay is twice as long as the one before


_DISK_FULL = Transition(WriterState.DISK_FULL, (WriterAction.LOG_DISK_FULL, WriterAction.BACK_OFF))
_FAILING = Transition(WriterState.FAILING, (WriterAction.LOG_WRITE_FAILED, WriterAction.BACK_OFF))
_RECOVERED = Transition(WriterState.WRITING, (WriterAction.LOG_RECOVERED,))

TRANSITIONS: TransitionTable[WriterState, WriterEvent, WriterAction] = TransitionTable(
    {
        (WriterState.WRITING, WriterEvent.WRITTEN): Transition(WriterState.WRITING),
        (WriterState.WRITING, WriterEvent.NO_SPACE): _DISK_FULL,
        (WriterState.WRITING, WriterEvent.FAILED): _FAILING,
        (WriterState.DISK_FULL, WriterEvent.WRITTEN): _RECOVERED,
        (WriterState.DISK_FULL, WriterEvent.NO_SPACE): Transition(
            WriterState.DISK_FULL, (WriterAction.BACK_OFF,)
        ),
        (WriterState.DISK_FULL, WriterEvent.FAILED): _FAILING,
        (WriterState.FAILING, WriterEvent.WRITTEN): _RECOVERED,
        (WriterState.FAILING, WriterEvent.NO_SPACE): _DISK_FULL,
        (WriterState.FAILING, WriterEvent.FAILED): Transition(WriterState.FAILING, (WriterAction.BACK_OFF,)),
    }
)


@dataclass(slots=True)
class WriteBehindQueue:
    """The pending changes and when to write them; the caller holds the lock and supplies times."""

    state: WriterState = WriterState.WRITING
    pending: OrderedDict[bytes, bytes | None] = field(default_factory=OrderedDict)
    pending_since_us: int = -1
    backoff_us: int = INITIAL_BACKOFF_US
    retry_at_us: int = 0
    dropped_count: int = 0

    def put(self, key: bytes, value: bytes | None, now_us: int) -> None:
        """Add a change; beyond the bound, the key that has waited longest is dropped."""
        if not self.pending:
            self.pending_since_us = now_us
        self.pending[key] = value
        self._drop_excess()

    def _drop_excess(self) -> None:
        while len(self.pending) > MAX_PENDING_KEYS:
            self.pending.popitem(last=False)
            self.dropped_count += 1

    def wait_us(self, now_us: int) -> int | None:
        """The time until the next batch is due; None while nothing is pending."""
        if not self.pending:
            return None
        return max(0, self.pending_since_us + GROUP_COMMIT_US - now_us, self.retry_at_us - now_us)

    def next_batch(self, now_us: int) -> list[Change]:
        """Remove the next batch from the queue."""
        batch: list[Change] = []
        while self.pending and len(batch) < MAX_BATCH_KEYS:
            batch.append(self.pending.popitem(last=False))
        self.pending_since_us = now_us
        return batch

    def requeue(self, batch: list[Change]) -> None:
        """Return a batch that was not written to the queue, except for keys with a newer change."""
        for key, value in reversed(batch):
            if key not in self.pending:
                self.pending[key] = value
                self.pending.move_to_end(key, last=False)
        self._drop_excess()

    def on_write_completed(self, event: WriterEvent, now_us: int) -> tuple[WriterAction, ...]:
        """Handle the result of a write; return the actions to carry out, in order."""
        transition = TRANSITIONS.apply(self.state, event)
        self.state = transition.state
        if WriterAction.BACK_OFF in transition.actions:
            self.retry_at_us = now_us + self.backoff_us
            self.backoff_us = min(MAX_BACKOFF_US, 2 * self.backoff_us)
        else:
            self.backoff_us = INITIAL_BACKOFF_US
            self.retry_at_us = 0
        return transition.actions
