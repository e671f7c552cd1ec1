"""What the writer behind a store does when its disk is slow, full or broken, as a state table.

Nothing that answers a viewer waits for the disk. What is to be kept waits in a bounded table in which the
newest value of a key replaces the older; when the disk comes back, the newest is what is written.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

MOST_WAITING = 20_000  # keys
MOST_BATCH = 2000
GROUP_US = 50_000  # writes that come within it share one sync
FIRST_PAUSE_US = 500_000
LONGEST_PAUSE_US = 30_000_000


class WriterState(Enum):
    """How the disk does."""

    WRITING = auto()
    FULL = auto()  # it said so: tried again after a pause
    BROKEN = auto()  # it said something else: tried again as well, an operator may mend it


class WriterEvent(Enum):
    """What became of a write."""

    DONE = auto()
    NO_SPACE = auto()
    FAILED = auto()


class WriterAction(Enum):
    """What follows."""

    TELL_FULL = auto()
    TELL_BROKEN = auto()
    TELL_WELL = auto()
    PAUSE = auto()  # twice as long each time


TRANSITIONS: dict[tuple[WriterState, WriterEvent], tuple[WriterState, tuple[WriterAction, ...]]] = {
    (WriterState.WRITING, WriterEvent.DONE): (WriterState.WRITING, ()),
    (WriterState.WRITING, WriterEvent.NO_SPACE): (
        WriterState.FULL,
        (WriterAction.TELL_FULL, WriterAction.PAUSE),
    ),
    (WriterState.WRITING, WriterEvent.FAILED): (
        WriterState.BROKEN,
        (WriterAction.TELL_BROKEN, WriterAction.PAUSE),
    ),
    (WriterState.FULL, WriterEvent.DONE): (WriterState.WRITING, (WriterAction.TELL_WELL,)),
    (WriterState.FULL, WriterEvent.NO_SPACE): (WriterState.FULL, (WriterAction.PAUSE,)),
    (WriterState.FULL, WriterEvent.FAILED): (
        WriterState.BROKEN,
        (WriterAction.TELL_BROKEN, WriterAction.PAUSE),
    ),
    (WriterState.BROKEN, WriterEvent.DONE): (WriterState.WRITING, (WriterAction.TELL_WELL,)),
    (WriterState.BROKEN, WriterEvent.NO_SPACE): (
        WriterState.FULL,
        (WriterAction.TELL_FULL, WriterAction.PAUSE),
    ),
    (WriterState.BROKEN, WriterEvent.FAILED): (WriterState.BROKEN, (WriterAction.PAUSE,)),
}


@dataclass(slots=True)
class WriteBehindQueue:
    """What is to be written, and when; the caller holds the lock and hands in times in microseconds."""

    state: WriterState = WriterState.WRITING
    keys: OrderedDict[bytes, bytes | None] = field(default_factory=OrderedDict)
    since_us: int = -1
    pause_us: int = FIRST_PAUSE_US
    not_before_us: int = 0
    dropped: int = 0

    def put(self, key: bytes, value: bytes | None, now_us: int) -> None:
        """To be kept; past the bound the one that has waited longest is given up."""
        if not self.keys:
            self.since_us = now_us
        self.keys[key] = value
        if len(self.keys) > MOST_WAITING:
            self.keys.popitem(last=False)
            self.dropped += 1

    def wait_us(self, now_us: int) -> int | None:
        """In how long the next batch is due; None while nothing waits."""
        if not self.keys:
            return None
        return max(0, self.since_us + GROUP_US - now_us, self.not_before_us - now_us)

    def take(self, now_us: int) -> list[tuple[bytes, bytes | None]]:
        """The next batch."""
        found: list[tuple[bytes, bytes | None]] = []
        while self.keys and len(found) < MOST_BATCH:
            found.append(self.keys.popitem(last=False))
        self.since_us = now_us
        return found

    def back(self, batch: list[tuple[bytes, bytes | None]]) -> None:
        """A batch was not written: it waits again, unless something newer does."""
        for key, value in reversed(batch):
            if key not in self.keys:
                self.keys[key] = value
                self.keys.move_to_end(key, last=False)
        while len(self.keys) > MOST_WAITING:
            self.keys.popitem(last=False)
            self.dropped += 1

    def over(self, event: WriterEvent, now_us: int) -> tuple[WriterAction, ...]:
        """What became of a write."""
        self.state, acts = TRANSITIONS[self.state, event]
        if WriterAction.PAUSE in acts:
            self.not_before_us = now_us + self.pause_us
            self.pause_us = min(LONGEST_PAUSE_US, 2 * self.pause_us)
        else:
            self.pause_us, self.not_before_us = FIRST_PAUSE_US, 0
        return acts
