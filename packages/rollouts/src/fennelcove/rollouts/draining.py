"""How one front or one box goes out, once it may.

From its begin it takes no new set-ups: each is answered at once, with a time and a place to come back. Those
who are here are told to go one after another, spread over a stated time and over the room that others tell
of, each of those getting no more a second than it has room for. Who is still here at the stated end is ended.
Requests that were in hand at the begin go on, and are answered before their client timeout at the latest.
Times are in microseconds, rooms in set-ups a second.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

RETRY_US = 500_000
MAX_ANSWERED = 8192


class DrainState(Enum):
    """How far it is."""

    OPEN = auto()
    CLOSING = auto()  # some have not been told
    EMPTYING = auto()  # all have been told, some are here
    EMPTY = auto()


class DrainEvent(Enum):
    """What moves it on."""

    BEGIN = auto()
    ALL_NOTIFIED = auto()
    RETRY_QUEUED = auto()  # one that was told could not go
    LAST_GONE = auto()
    CANCELLED = auto()


TRANSITIONS: dict[tuple[DrainState, DrainEvent], DrainState] = {
    (DrainState.OPEN, DrainEvent.BEGIN): DrainState.CLOSING,
    (DrainState.CLOSING, DrainEvent.ALL_NOTIFIED): DrainState.EMPTYING,
    (DrainState.EMPTYING, DrainEvent.RETRY_QUEUED): DrainState.CLOSING,
    (DrainState.CLOSING, DrainEvent.LAST_GONE): DrainState.EMPTY,
    (DrainState.EMPTYING, DrainEvent.LAST_GONE): DrainState.EMPTY,
    **{(stage, DrainEvent.CANCELLED): DrainState.OPEN for stage in DrainState},
}


class ClientState(Enum):
    """How one that is here stands."""

    PRESENT = auto()
    NOTIFIED = auto()  # to go, or its move is under way
    GONE = auto()  # of its own, moved, or ended


class ClientEvent(Enum):
    """What happens to it."""

    NOTIFIED = auto()
    FAILED = auto()
    LEFT = auto()
    DEADLINE_PASSED = auto()  # the stated time is over


class DrainAction(Enum):
    """What is to be done with it."""

    NONE = auto()
    NOTIFY = auto()  # to come back elsewhere: of a front
    MOVE = auto()  # of a box
    CLOSE = auto()
    REJECT = auto()  # a request in hand: refuse it now


CLIENT_TRANSITIONS: dict[tuple[ClientState, ClientEvent], tuple[ClientState, DrainAction]] = {
    (ClientState.PRESENT, ClientEvent.NOTIFIED): (ClientState.NOTIFIED, DrainAction.NOTIFY),
    (ClientState.PRESENT, ClientEvent.LEFT): (ClientState.GONE, DrainAction.NONE),
    (ClientState.PRESENT, ClientEvent.DEADLINE_PASSED): (ClientState.GONE, DrainAction.CLOSE),
    (ClientState.NOTIFIED, ClientEvent.FAILED): (ClientState.PRESENT, DrainAction.NONE),
    (ClientState.NOTIFIED, ClientEvent.LEFT): (ClientState.GONE, DrainAction.NONE),
    (ClientState.NOTIFIED, ClientEvent.DEADLINE_PASSED): (ClientState.GONE, DrainAction.CLOSE),
}


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """The figures of one leaving."""

    spread_us: int = 10_000_000  # over which those here are told to go
    deadline_us: int = 30_000_000  # after the begin: who is here then is ended
    reply_margin_us: int = (
        200_000  # before its client timeout, when a request in hand is answered at the latest
    )


@dataclass(frozen=True, slots=True)
class DrainStep:
    """One thing to do, once."""

    id: str
    action: DrainAction
    target: int | None = None  # who has room
    retry_after_us: int = 0  # when to come back


@dataclass(frozen=True, slots=True)
class DrainReply:
    """What a new set-up is answered, at once."""

    retry_after_us: int
    target: int | None


@dataclass(slots=True)
class AvailableCapacity:
    """What others have room for: each is given no more a second than that."""

    available_at_us: dict[int, int] = field(default_factory=dict)  # when each can take the next
    interval_us: dict[int, int] = field(default_factory=dict)

    def update(self, capacities: Mapping[int, float], now_us: int) -> None:
        """What others tell of now."""
        self.interval_us = {to: round(1e6 / room) for to, room in capacities.items() if room > 0}
        self.available_at_us = {to: self.available_at_us.get(to, now_us) for to in self.interval_us}

    def earliest(self, now_us: int) -> tuple[int | None, int]:
        """Who has room first, and when; nobody for want of any."""
        if not self.available_at_us:
            return None, now_us
        to = min(self.available_at_us, key=lambda other: (max(now_us, self.available_at_us[other]), other))
        return to, max(now_us, self.available_at_us[to])

    def reserve(self, to: int, at_us: int) -> None:
        """One more goes there."""
        self.available_at_us[to] = at_us + self.interval_us[to]


@dataclass(slots=True)
class Draining:
    """One front or box that goes out. The caller hands in times and chance and carries out the steps."""

    times: DrainTimes
    moves_sessions: bool = False  # a box: what plays there is moved, not told to come back
    state: DrainState = DrainState.OPEN
    began_us: int = 0
    capacity: AvailableCapacity = field(default_factory=AvailableCapacity)
    clients: dict[str, ClientState] = field(default_factory=dict)  # who has not gone
    queue: OrderedDict[str, int] = field(default_factory=OrderedDict)  # not told yet, and when each may be
    pending_requests: dict[str, int] = field(
        default_factory=dict
    )  # requests in hand, and their client timeouts
    answered_requests: OrderedDict[str, None] = field(default_factory=OrderedDict)  # requests answered
    closed_count: int = 0

    def begin(
        self, client_ids: Sequence[str], capacities: Mapping[int, float], now_us: int, jitter: float
    ) -> None:
        """Go out: `held` in the order in which they are to go. `draw`: chance, from 0 to below 1."""
        if self.state is not DrainState.OPEN:
            return
        self._apply(DrainEvent.BEGIN)
        self.began_us = now_us
        self.update_capacity(capacities, now_us)
        gap_us = self.times.spread_us / max(1, len(client_ids))
        self.clients = dict.fromkeys(client_ids, ClientState.PRESENT)
        self.queue = OrderedDict(
            (id, now_us + round((at + jitter) * gap_us)) for at, id in enumerate(client_ids)
        )
        self._update_state()

    def update_capacity(self, capacities: Mapping[int, float], now_us: int) -> None:
        """What others tell of has changed."""
        self.capacity.update(capacities, now_us)

    # Requests.

    def on_request(self, id: str, now_us: int) -> DrainReply | None:
        """A set-up has come: what it is answered at once; None while this is open, or where it has been
        answered before."""
        if self.state is DrainState.OPEN or not self._record_answer(id):
            return None
        to, at_us = self.capacity.earliest(now_us)
        if to is None:
            return DrainReply(self.times.spread_us, None)
        self.capacity.reserve(to, at_us)
        return DrainReply(at_us - now_us, to)

    def on_request_pending(self, id: str, until_us: int) -> None:
        """A request that is in hand, and its client timeout."""
        if id not in self.answered_requests:
            self.pending_requests[id] = until_us

    def on_request_answered(self, id: str) -> bool:
        """Its answer is there: whether it may be sent, which is so once."""
        self.pending_requests.pop(id, None)
        return self._record_answer(id)

    def _record_answer(self, id: str) -> bool:
        if id in self.answered_requests:
            return False
        self.answered_requests[id] = None
        if len(self.answered_requests) > MAX_ANSWERED:
            self.answered_requests.popitem(last=False)
        return True

    # Those who are here.

    def due_steps(self, now_us: int) -> list[DrainStep]:
        """What is to be done now."""
        steps = [
            DrainStep(id, DrainAction.REJECT, retry_after_us=self.times.spread_us)
            for id, until_us in list(self.pending_requests.items())
            if now_us >= until_us - self.times.reply_margin_us and self.on_request_answered(id)
        ]
        if self.state in (DrainState.CLOSING, DrainState.EMPTYING):
            over = now_us >= self.began_us + self.times.deadline_us
            steps += self._close_remaining(now_us) if over else self._notify_next(now_us)
            self._update_state()
        return steps

    def _notify_next(self, now_us: int) -> list[DrainStep]:
        steps = []
        for id, at_us in list(self.queue.items()):
            to, free_us = self.capacity.earliest(now_us)
            if at_us > now_us or to is None or free_us > now_us:
                break  # the queue is in order of time, and nobody has room before that
            del self.queue[id]
            self.capacity.reserve(to, now_us)
            steps += self._apply_client_event(id, ClientEvent.NOTIFIED, to)
        return steps

    def _close_remaining(self, now_us: int) -> list[DrainStep]:
        """Who is left is ended, with a time to come back by the room that there is."""
        steps: list[DrainStep] = []
        self.queue.clear()
        for id in list(self.clients):
            to, at_us = self.capacity.earliest(now_us)
            if to is not None:
                self.capacity.reserve(to, at_us)
            steps += self._apply_client_event(id, ClientEvent.DEADLINE_PASSED, to, at_us - now_us)
        self.closed_count += len(steps)
        return steps

    def on_left(self, id: str) -> None:
        """It is here no more."""
        self._apply_client_event(id, ClientEvent.LEFT)
        self.queue.pop(id, None)
        self._update_state()

    def on_failed(self, id: str, now_us: int) -> None:
        """It could not be told, or its move has failed: another try."""
        if self.clients.get(id) is ClientState.NOTIFIED:
            self._apply_client_event(id, ClientEvent.FAILED)
            self.queue[id] = max(now_us + RETRY_US, next(reversed(self.queue.values()), 0))
            self._apply(DrainEvent.RETRY_QUEUED)

    def cancel(self) -> None:
        """Called off: new set-ups are taken again, nobody else is told to go."""
        self._apply(DrainEvent.CANCELLED)
        self.queue.clear()
        self.clients.clear()

    def next_due_us(self, now_us: int) -> int:
        """How long until `due` has something to do, at most half a second."""
        times = [until_us - self.times.reply_margin_us for until_us in self.pending_requests.values()]
        times += [at_us for at_us in list(self.queue.values())[:1]]
        times += [self.began_us + self.times.deadline_us] if self.clients else []
        return max(0, min([RETRY_US, *(at_us - now_us for at_us in times)]))

    def _apply_client_event(
        self, id: str, turn: ClientEvent, to: int | None = None, after_us: int = 0
    ) -> list[DrainStep]:
        stays = self.clients.get(id)
        row = CLIENT_TRANSITIONS.get((stays, turn)) if stays is not None else None
        if row is None:
            return []
        self.clients[id], act = row
        if row[0] is ClientState.GONE:
            del self.clients[id]
        if act is DrainAction.NOTIFY and self.moves_sessions:
            act = DrainAction.MOVE
        return [DrainStep(id, act, to, after_us)] if act is not DrainAction.NONE else []

    def _update_state(self) -> None:
        if not self.clients:
            self._apply(DrainEvent.LAST_GONE)
        elif not self.queue:
            self._apply(DrainEvent.ALL_NOTIFIED)

    def _apply(self, event: DrainEvent) -> None:
        self.state = TRANSITIONS.get((self.state, event), self.state)
