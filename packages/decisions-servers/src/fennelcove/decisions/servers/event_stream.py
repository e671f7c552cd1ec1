"""The life cycle of one server's event stream, and when its failures prove that sessions there are lost.

A front keeps one event stream open to each server at which it has sessions (docs/design/10-running-front.md
compares the options). A broken stream proves nothing about the server, since the network may have interrupted
it. A loss is proven if the server reports a restart or does not know a session, if it repeatedly refuses
connections, or if it is silent for longer than the policy's observations of it are retained
(`SHORT_DELIVERY_WINDOW_US`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.decisions.servers.backoff import Backoff
from fennelcove.placement import SHORT_DELIVERY_WINDOW_US
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 2_000_000
BACKOFF = Backoff(INITIAL_BACKOFF_US, MAX_BACKOFF_US)
REFUSALS_PROVING_LOSS = 3
LINGER_US = (
    SHORT_DELIVERY_WINDOW_US  # a stream without sessions is still useful while observations are retained
)
REPORTS_PER_TIMEOUT = 3  # consecutive load reports that must be missing
MIN_REPORT_INTERVAL_US = 100_000


class StreamState(Enum):
    """The state of the stream."""

    CLOSED = auto()  # no sessions at the server
    OPENING = auto()
    OPEN = auto()
    BROKEN = auto()  # to be opened again after a backoff
    LINGERING = auto()  # open without sessions, so that short sessions do not open and close it repeatedly


class StreamEvent(Enum):
    """An event of the stream."""

    SESSIONS_HELD = auto()  # the first session is established at the server
    NO_SESSIONS_HELD = auto()  # the last session is closed
    HELLO = auto()  # the server's first message, from the same process as before
    HELLO_RESTARTED = auto()  # the server's first message, from another process
    REFUSED = auto()
    DISCONNECTED = auto()  # the stream broke, or was silent for longer than its time-out
    RETRY_DUE = auto()  # the backoff has passed
    EXPIRED = auto()  # the linger time has passed


class StreamAction(Enum):
    """An action that the caller carries out."""

    OPEN_STREAM = auto()
    CLOSE_STREAM = auto()
    SCHEDULE_RETRY = auto()
    SCHEDULE_CLOSE = auto()  # schedule the end of lingering
    DISCARD = auto()  # discard the state of the server, which has no sessions and no stream
    FAIL_UNLISTED_SESSIONS = auto()  # fail the sessions that the server's first message does not list
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
        """Apply an event; return the actions to carry out, in order. An unexpected event changes nothing."""
        transition = TRANSITIONS.find(self.state, event)
        if transition is None:
            return ()
        self._count(event, now_us)
        self.state = transition.state
        if self.state is StreamState.BROKEN and self._proves_loss(now_us):
            # Retries go on, because sessions that are placed there later need the stream.
            self.refusals = 0
            self.disconnected_since_us = now_us
            return (*transition.actions, StreamAction.FAIL_ALL_SESSIONS)
        return transition.actions

    def _count(self, event: StreamEvent, now_us: int) -> None:
        """Count failures and record the start of a silence; called before the state changes."""
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
        return (
            self.refusals >= REFUSALS_PROVING_LOSS
            or now_us - self.disconnected_since_us >= SHORT_DELIVERY_WINDOW_US
        )

    def on_hello(self, incarnation: str, now_us: int) -> tuple[StreamAction, ...]:
        """Apply the server's first message on the stream, which states the incarnation of its process."""
        has_restarted = self.incarnation is not None and incarnation != self.incarnation
        self.incarnation = incarnation
        event = StreamEvent.HELLO_RESTARTED if has_restarted else StreamEvent.HELLO
        return self.apply(event, now_us)

    def backoff_us(self, draw: float) -> int:
        """The delay before the stream is opened again, with a `draw` from 0 up to 1 for jitter."""
        return BACKOFF.jittered_delay_us(self.failures - 1, draw)


def idle_timeout_us(report_interval_us: int, report_delay_us: int) -> int:
    """How long a stream may be silent before it counts as broken.

    Args:
        report_interval_us: the time between two load reports of the server.
        report_delay_us: the maximum delay between sending and receiving a report.
    """
    interval_us = max(report_interval_us, MIN_REPORT_INTERVAL_US)
    return REPORTS_PER_TIMEOUT * interval_us + report_delay_us
