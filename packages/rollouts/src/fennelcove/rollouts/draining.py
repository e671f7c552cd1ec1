"""The drain of one front or one server for which a permit was granted.

During the drain new session set-ups are rejected at once, with a target and a time to retry at. The connected
clients are asked to leave one after another, spread over a configured time and limited by the capacity that
others offer. Clients that are still connected at the deadline are disconnected. Requests that were pending
when the drain began continue, and are answered before their client's timeout at the latest.

Times are in microseconds, capacities in session set-ups per second.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from fennelcove.rollouts.available_capacity import AvailableCapacity
from fennelcove.rollouts.drain_states import (
    CLIENT_TRANSITIONS,
    DRAIN_TRANSITIONS,
    ClientEvent,
    ClientState,
    DrainAction,
    DrainEvent,
    DrainState,
)

RETRY_US = 500_000  # before a failed notification or move is repeated
MAX_ANSWERED = 8192  # request ids kept to detect duplicate answers


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Durations of one drain."""

    spread_us: int = 10_000_000  # period over which the clients are asked to leave
    deadline_us: int = 30_000_000  # after the beginning; then the remaining clients are disconnected
    reply_margin_us: int = 200_000  # how long before its client's timeout a pending request is answered


@dataclass(frozen=True, slots=True)
class DrainStep:
    """One action to carry out once, for the client or request with this id."""

    id: str
    action: DrainAction
    target: int | None = None  # front or server to move or reconnect to
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class DrainReply:
    """The immediate answer to a new session set-up."""

    retry_after_us: int
    target: int | None


@dataclass(slots=True)
class Drain:
    """The drain of one front or server; the caller passes in time and jitter and carries out the steps."""

    times: DrainTimes
    moves_sessions: bool = False  # for a server: sessions are moved instead of asking clients to reconnect
    state: DrainState = DrainState.OPEN
    began_us: int = 0
    capacity: AvailableCapacity = field(default_factory=AvailableCapacity)
    clients: dict[str, ClientState] = field(default_factory=dict)  # connected clients, by id
    queue: OrderedDict[str, int] = field(default_factory=OrderedDict)  # when to notify, by client id
    pending_requests: dict[str, int] = field(default_factory=dict)  # client's timeout, by request id
    answered_requests: OrderedDict[str, None] = field(default_factory=OrderedDict)
    closed_count: int = 0

    def begin(
        self, client_ids: Sequence[str], capacities: Mapping[int, float], now_us: int, jitter: float
    ) -> None:
        """Begin to drain.

        Args:
            client_ids: the connected clients, in the order in which they are asked to leave.
            capacities: the capacities that others offer, by target.
            now_us: the current time.
            jitter: random, in [0, 1).
        """
        if self.state is not DrainState.OPEN:
            return
        self._apply(DrainEvent.BEGIN)
        self.began_us = now_us
        self.update_capacity(capacities, now_us)
        interval_us = self.times.spread_us / max(1, len(client_ids))
        self.clients = dict.fromkeys(client_ids, ClientState.PRESENT)
        self.queue = OrderedDict(
            (client_id, now_us + round((position + jitter) * interval_us))
            for position, client_id in enumerate(client_ids)
        )
        self._update_state()

    def update_capacity(self, capacities: Mapping[int, float], now_us: int) -> None:
        """Replace the capacities that others offer."""
        self.capacity.update(capacities, now_us)

    def on_request(self, request_id: str, now_us: int) -> DrainReply | None:
        """Return the rejection of a new set-up; None if not draining, or if it was already answered."""
        if self.state is DrainState.OPEN or not self._record_answer(request_id):
            return None
        available = self.capacity.earliest(now_us)
        if available.target is None:
            return DrainReply(self.times.spread_us, None)
        self.capacity.reserve(available.target, available.at_us)
        return DrainReply(available.at_us - now_us, available.target)

    def on_request_pending(self, request_id: str, until_us: int) -> None:
        """Register a pending request and its client's timeout."""
        if request_id not in self.answered_requests:
            self.pending_requests[request_id] = until_us

    def on_request_answered(self, request_id: str) -> bool:
        """Return whether the answer to a request may be sent: True only once per request."""
        self.pending_requests.pop(request_id, None)
        return self._record_answer(request_id)

    def _record_answer(self, request_id: str) -> bool:
        if request_id in self.answered_requests:
            return False
        self.answered_requests[request_id] = None
        if len(self.answered_requests) > MAX_ANSWERED:
            self.answered_requests.popitem(last=False)
        return True

    def due_steps(self, now_us: int) -> list[DrainStep]:
        """Return the steps that are due now."""
        steps = self._reject_expiring(now_us)
        if self.state is DrainState.CLOSING or self.state is DrainState.EMPTYING:
            is_over = now_us >= self.began_us + self.times.deadline_us
            steps += self._close_remaining(now_us) if is_over else self._notify_next(now_us)
            self._update_state()
        return steps

    def _reject_expiring(self, now_us: int) -> list[DrainStep]:
        margin_us = self.times.reply_margin_us
        return [
            DrainStep(request_id, DrainAction.REJECT, retry_after_us=self.times.spread_us)
            for request_id, until_us in list(self.pending_requests.items())
            if now_us >= until_us - margin_us and self.on_request_answered(request_id)
        ]

    def _notify_next(self, now_us: int) -> list[DrainStep]:
        steps: list[DrainStep] = []
        for client_id, due_us in list(self.queue.items()):
            available = self.capacity.earliest(now_us)
            if due_us > now_us or available.target is None or available.at_us > now_us:
                break  # the queue is ordered by time, and no other target has capacity earlier
            del self.queue[client_id]
            self.capacity.reserve(available.target, now_us)
            steps += self._apply_client_event(client_id, ClientEvent.NOTIFIED, available.target)
        return steps

    def _close_remaining(self, now_us: int) -> list[DrainStep]:
        """Disconnect the remaining clients, each with a retry time that fits the capacity of its target."""
        steps: list[DrainStep] = []
        self.queue.clear()
        for client_id in list(self.clients):
            available = self.capacity.earliest(now_us)
            if available.target is not None:
                self.capacity.reserve(available.target, available.at_us)
            steps += self._apply_client_event(
                client_id, ClientEvent.DEADLINE_PASSED, available.target, available.at_us - now_us
            )
        self.closed_count += len(steps)
        return steps

    def on_left(self, client_id: str) -> None:
        """Handle that a client has left."""
        self._apply_client_event(client_id, ClientEvent.LEFT)
        self.queue.pop(client_id, None)
        self._update_state()

    def on_failed(self, client_id: str, now_us: int) -> None:
        """Queue a client again after its notification or move failed."""
        if self.clients.get(client_id) is ClientState.NOTIFIED:
            self._apply_client_event(client_id, ClientEvent.FAILED)
            last_due_us = next(reversed(self.queue.values()), 0)
            self.queue[client_id] = max(now_us + RETRY_US, last_due_us)
            self._apply(DrainEvent.RETRY_QUEUED)

    def cancel(self) -> None:
        """Cancel the drain: accept new set-ups again and ask no further client to leave."""
        self._apply(DrainEvent.CANCELLED)
        self.queue.clear()
        self.clients.clear()

    def next_due_us(self, now_us: int) -> int:
        """Return the time until `due_steps` may next return steps, at most RETRY_US."""
        due_us = [until_us - self.times.reply_margin_us for until_us in self.pending_requests.values()]
        if self.queue:
            due_us.append(next(iter(self.queue.values())))
        if self.clients:
            due_us.append(self.began_us + self.times.deadline_us)
        return max(0, min([RETRY_US, *(at_us - now_us for at_us in due_us)]))

    def _apply_client_event(
        self, client_id: str, event: ClientEvent, target: int | None = None, retry_after_us: int = 0
    ) -> list[DrainStep]:
        if client_id not in self.clients:
            return []
        transition = CLIENT_TRANSITIONS.apply(self.clients[client_id], event)
        self.clients[client_id] = transition.state
        if transition.state is ClientState.GONE:
            del self.clients[client_id]
        return [
            DrainStep(client_id, self._client_action(action), target, retry_after_us)
            for action in transition.actions
        ]

    def _client_action(self, action: DrainAction) -> DrainAction:
        return DrainAction.MOVE if action is DrainAction.NOTIFY and self.moves_sessions else action

    def _update_state(self) -> None:
        if not self.clients:
            self._apply(DrainEvent.LAST_GONE)
        elif not self.queue:
            self._apply(DrainEvent.ALL_NOTIFIED)

    def _apply(self, event: DrainEvent) -> None:
        self.state = DRAIN_TRANSITIONS.apply(self.state, event).state
