"""Whether a box's reports are heard, and when silence means that what played there is lost.

A front keeps one feed open to each box on which it holds subscriptions (docs/design/10-running-front.md has
the options). A feed that breaks says nothing of the box: the network may have cut it. What proves a loss is a
box that says it started anew or that it does not know a subscription, a connection refused again and again,
or a silence longer than a mark's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.placement import MARK_US

INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 2_000_000
REFUSALS_PROVING_LOSS = 3
LINGER_US = MARK_US  # what a mark remembers of a link is worth hearing for as long


class StreamState(Enum):
    """How the feed stands."""

    CLOSED = auto()  # nothing is held there
    OPENING = auto()
    OPEN = auto()
    BROKEN = auto()  # to be opened again after a pause
    LINGERING = auto()  # open still, with nothing held: short lessons would open and close it without end


class StreamEvent(Enum):
    """What happens to it."""

    HELD = auto()  # the first subscription plays there
    NONE_HELD = auto()  # the last has ended
    HELLO = auto()  # the box greets: same process as before
    HELLO_RESTARTED = auto()  # the box greets: another process
    REFUSED = auto()
    CUT = auto()  # it broke, or fell silent past its limit
    RETRY = auto()  # the pause is over
    EXPIRED = auto()  # nothing has been held for a while


class StreamAction(Enum):
    """What follows."""

    OPEN_FEED = auto()
    CLOSE_FEED = auto()
    PAUSE = auto()
    LINGER = auto()
    FORGET = auto()  # nothing is held and no feed is open
    LOSE_UNKNOWN = auto()  # what the greeting does not name is lost
    LOSE_ALL = auto()


Row = tuple[StreamState, tuple[StreamAction, ...]]

TRANSITIONS: dict[tuple[StreamState, StreamEvent], Row] = {
    (StreamState.CLOSED, StreamEvent.HELD): (StreamState.OPENING, (StreamAction.OPEN_FEED,)),
    (StreamState.OPENING, StreamEvent.HELLO): (StreamState.OPEN, (StreamAction.LOSE_UNKNOWN,)),
    (StreamState.OPENING, StreamEvent.HELLO_RESTARTED): (StreamState.OPEN, (StreamAction.LOSE_UNKNOWN,)),
    (StreamState.OPENING, StreamEvent.REFUSED): (StreamState.BROKEN, (StreamAction.PAUSE,)),
    (StreamState.OPENING, StreamEvent.CUT): (StreamState.BROKEN, (StreamAction.PAUSE,)),
    (StreamState.OPENING, StreamEvent.NONE_HELD): (
        StreamState.CLOSED,
        (StreamAction.CLOSE_FEED, StreamAction.FORGET),
    ),
    (StreamState.OPEN, StreamEvent.CUT): (StreamState.BROKEN, (StreamAction.PAUSE,)),
    (StreamState.OPEN, StreamEvent.NONE_HELD): (StreamState.LINGERING, (StreamAction.LINGER,)),
    (StreamState.LINGERING, StreamEvent.HELD): (StreamState.OPEN, ()),
    (StreamState.LINGERING, StreamEvent.EXPIRED): (
        StreamState.CLOSED,
        (StreamAction.CLOSE_FEED, StreamAction.FORGET),
    ),
    (StreamState.LINGERING, StreamEvent.CUT): (StreamState.CLOSED, (StreamAction.FORGET,)),
    (StreamState.BROKEN, StreamEvent.RETRY): (StreamState.OPENING, (StreamAction.OPEN_FEED,)),
    (StreamState.BROKEN, StreamEvent.NONE_HELD): (StreamState.CLOSED, (StreamAction.FORGET,)),
}


@dataclass(slots=True)
class StreamLifecycle:
    """One box's feed; times in microseconds."""

    state: StreamState = StreamState.CLOSED
    incarnation: str | None = None
    refusals: int = 0
    failures: int = 0
    disconnected_since_us: int = 0
    acts: list[StreamAction] = field(default_factory=list)

    def apply(self, event: StreamEvent, now_us: int) -> tuple[StreamAction, ...]:
        """Move on; what follows, in order."""
        row = TRANSITIONS.get((self.state, event))
        if row is None:
            return ()
        if event in (StreamEvent.HELLO, StreamEvent.HELLO_RESTARTED) or (
            event is StreamEvent.HELD and self.state is StreamState.CLOSED
        ):
            self.refusals = self.failures = 0
            self.disconnected_since_us = now_us
        elif event is StreamEvent.REFUSED:
            self.refusals += 1
            self.failures += 1
        elif event is StreamEvent.CUT:
            if self.state is StreamState.OPEN:
                self.disconnected_since_us = now_us
            self.failures += 1
        self.state, acts = row
        if self.state is StreamState.BROKEN and self._proves_loss(now_us):
            # Still tried again: what the front places there later needs its feed.
            self.refusals, self.disconnected_since_us = 0, now_us
            acts = (*acts, StreamAction.LOSE_ALL)
        return acts

    def _proves_loss(self, now_us: int) -> bool:
        return self.refusals >= REFUSALS_PROVING_LOSS or now_us - self.disconnected_since_us >= MARK_US

    def greet(self, boot: str, now_us: int) -> tuple[StreamAction, ...]:
        """The box greets with the name of its process's life."""
        anew = self.incarnation is not None and boot != self.incarnation
        self.incarnation = boot
        return self.apply(StreamEvent.HELLO_RESTARTED if anew else StreamEvent.HELLO, now_us)

    def pause_us(self, draw: float) -> int:
        """How long to wait before opening it again, by chance over the upper half of a doubling pause."""
        longest = min(MAX_BACKOFF_US, INITIAL_BACKOFF_US * (1 << min(max(0, self.failures - 1), 16)))
        return round(longest * (0.5 + draw / 2))


def idle_timeout_us(reports_every_us: int, seen_after_us: int) -> int:
    """How long a feed may bring nothing before it counts as cut: three beats, and the notes' own delay."""
    return 3 * max(reports_every_us, 100_000) + seen_after_us
