"""The life cycle of one server's event stream, and when its failures prove that sessions there are lost.

A front keeps one event stream open to each server at which it has sessions (docs/design/10-running-front.md
weighs the options). A stream that breaks proves nothing about the server: the network may have cut it. A loss
is proven by a server that reports that it restarted or does not know a session, by a connection refused
repeatedly, or by a silence longer than the retention of marks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.decisions.servers.backoff import Backoff
from fennelcove.placement import MARK_US
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 2_000_000
BACKOFF = Backoff(INITIAL_BACKOFF_US, MAX_BACKOFF_US)
REFUSALS_PROVING_LOSS = 3
LINGER_US = MARK_US  # a stream without sessions is still worth reading while its observations are kept
REPORTS_PER_TIMEOUT = 3  # load reports in a row that must be missing
MIN_REPORT_INTERVAL_US = 100_000


class StreamState(Enum):
    """The state of the stream."""

    CLOSED = auto()  # no sessions at the server
    OPENING = auto()
    OPEN = auto()
    BROKEN = auto()  # to be opened again after a backoff
    LINGERING = auto()  # open without sessions: else short sessions would open and close it all the time


class StreamEvent(Enum):
    """What happens to the stream."""

    SESSIONS_HELD = auto()  # the first session is established at the server
    NO_SESSIONS_HELD = auto()  # the last session is closed
    HELLO = auto()  # the server's first message: same process as before
    HELLO_RESTARTED = auto()  # the server's first message: another process
    REFUSED = auto()
    DISCONNECTED = auto()  # it broke, or was silent past its limit
    RETRY_DUE = auto()  # the backoff is over
    EXPIRED = auto()  # there have been no sessions for a while


class StreamAction(Enum):
    """What the caller carries out."""

    OPEN_STREAM = auto()
    CLOSE_STREAM = auto()
    SCHEDULE_RETRY = auto()  # schedule a retry
    SCHEDULE_CLOSE = auto()  # schedule the end of lingering
    DISCARD = auto()  # discard what is held about the server: no sessions and no stream
    FAIL_UNLISTED_SESSIONS = auto()  # sessions that the server's first message does not name are lost
    FAIL_ALL_SESSIONS = auto()


TRANSITIONS: TransitionTable[StreamState, StreamEvent, StreamAction] = TransitionTable(
    {
        (StreamState.CLOSED, StreamEvent.SESSIONS_HELD): Transition(
            StreamState.OPENING, (StreamAction.OPEN_STREAM,)
        ),
        (StreamState.OPENING, StreamEvent.HELLO): Transition(
            StreamState.OPEN, (StreamAction.FAIL_UNLISTED_SESSIONS,)
        ),
        (StreamState.OPENING, StreamEvent.HELLO_RESTARTED): Transition(
            StreamState.OPEN, (StreamAction.FAIL_UNLISTED_SESSIONS,)
        ),
        (StreamState.OPENING, StreamEvent.REFUSED): Transition(
            StreamState.BROKEN, (StreamAction.SCHEDULE_RETRY,)
        ),
        (StreamState.OPENING, StreamEvent.DISCONNECTED): Transition(
            StreamState.BROKEN, (StreamAction.SCHEDULE_RETRY,)
        ),
        (StreamState.OPENING, StreamEvent.NO_SESSIONS_HELD): Transition(
            StreamState.CLOSED, (StreamAction.CLOSE_STREAM, StreamAction.DISCARD)
        ),
        (StreamState.OPEN, StreamEvent.DISCONNECTED): Transition(
            StreamState.BROKEN, (StreamAction.SCHEDULE_RETRY,)
        ),
        (StreamState.OPEN, StreamEvent.NO_SESSIONS_HELD): Transition(
            StreamState.LINGERING, (StreamAction.SCHEDULE_CLOSE,)
        ),
        (StreamState.LINGERING, StreamEvent.SESSIONS_HELD): Transition(StreamState.OPEN),
        (StreamState.LINGERING, StreamEvent.EXPIRED): Transition(
            StreamState.CLOSED, (StreamAction.CLOSE_STREAM, StreamAction.DISCARD)
        ),
        (StreamState.LINGERING, StreamEvent.DISCONNECTED): Transition(
            StreamState.CLOSED, (StreamAction.DISCARD,)
        ),
        (StreamState.BROKEN, StreamEvent.RETRY_DUE): Transition(
            StreamState.OPENING, (StreamAction.OPEN_STREAM,)
        ),
        (StreamState.BROKEN, StreamEvent.NO_SESSIONS_HELD): Transition(
            StreamState.CLOSED, (StreamAction.DISCARD,)
        ),
    },
    unlisted=Unlisted.IGNORE,
)


@dataclass(slots=True)
class StreamLifecycle:
    """One server's event stream; times in microseconds."""

    state: StreamState = StreamState.CLOSED
    incarnation: str | None = None
    refusals: int = 0
    failures: int = 0
    disconnected_since_us: int = 0

    def apply(self, event: StreamEvent, now_us: int) -> tuple[StreamAction, ...]:
        """Apply an event; the actions to carry out, in order. An event out of place changes nothing."""
        transition = TRANSITIONS.find(self.state, event)
        if transition is None:
            return ()
        self._count(event, now_us)
        self.state = transition.state
        if self.state is StreamState.BROKEN and self._proves_loss(now_us):
            # It is still tried again: sessions that are placed there later need their stream.
            self.refusals = 0
            self.disconnected_since_us = now_us
            return (*transition.actions, StreamAction.FAIL_ALL_SESSIONS)
        return transition.actions

    def _count(self, event: StreamEvent, now_us: int) -> None:
        """Count failures, and note since when nothing was received; before the state changes."""
        is_first_session = event is StreamEvent.SESSIONS_HELD and self.state is StreamState.CLOSED
        if is_first_session or event in (StreamEvent.HELLO, StreamEvent.HELLO_RESTARTED):
            self.refusals = 0
            self.failures = 0
            self.disconnected_since_us = now_us
        elif event is StreamEvent.REFUSED:
            self.refusals += 1
            self.failures += 1
        elif event is StreamEvent.DISCONNECTED:
            self.failures += 1
            if self.state is StreamState.OPEN:
                self.disconnected_since_us = now_us

    def _proves_loss(self, now_us: int) -> bool:
        return self.refusals >= REFUSALS_PROVING_LOSS or now_us - self.disconnected_since_us >= MARK_US

    def on_hello(self, incarnation: str, now_us: int) -> tuple[StreamAction, ...]:
        """Apply the server's first message on the stream, which names the incarnation of its process."""
        has_restarted = self.incarnation is not None and incarnation != self.incarnation
        self.incarnation = incarnation
        event = StreamEvent.HELLO_RESTARTED if has_restarted else StreamEvent.HELLO
        return self.apply(event, now_us)

    def backoff_us(self, draw: float) -> int:
        """How long to wait before opening the stream again, with `draw` from 0 up to 1 as jitter."""
        return BACKOFF.jittered_delay_us(self.failures - 1, draw)


def idle_timeout_us(report_interval_us: int, report_delay_us: int) -> int:
    """How long a stream may bring nothing before it counts as broken.

    Args:
        report_interval_us: time between two of the server's load reports.
        report_delay_us: how much later than sent a report may be seen.
    """
    interval_us = max(report_interval_us, MIN_REPORT_INTERVAL_US)
    return REPORTS_PER_TIMEOUT * interval_us + report_delay_us
