"""Runs this front's part in the agreement on which fronts and servers may be out of service.

All events go through one bounded queue that one thread works off: a promise has to be durable before it is
sent, and a thread that waits for the disk must hold neither the core's lock nor its timers. Events that find
the queue full are lost, as any message may be.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.rollouts.coordinator import Act, Answer, Command, Do, Memory, Mine, Post, RolloutAgreement
from fennelcove.rollouts.disruption_budget import Location
from fennelcove.rollouts.messages import Kind, Said

MAX_QUEUED_EVENTS = 1024
ANSWER_TIMEOUT_US = 4_500_000  # for an operator's command; the agreement gives it up before
ANSWER_POLL_US = 20_000

Event = Callable[[int], Post]  # takes the time, returns the messages to send


@dataclass(frozen=True, slots=True)
class ServerSight:
    """What this front observes of a server.

    Attributes:
        place: Where it is, for the disruption budgets.
        serving: Whether it serves.
        as_of_us: When that was observed.
    """

    place: Location
    serving: bool
    as_of_us: int


@dataclass(slots=True, eq=False)
class Reply:
    """The answer that an operator's request waits for."""

    answer: Answer = Answer.PENDING
    ready: threading.Event = field(default_factory=threading.Event)

    def set(self, answer: Answer) -> None:
        """Set the answer and wake who waits."""
        self.answer = answer
        self.ready.set()


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """An operator's command that no majority has accepted yet."""

    number: int
    reply: Reply
    deadline_us: int


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """This coordinator's part of the status; the field names are keys of the status JSON."""

    unsafe: bool
    lost: int


class RolloutCoordinator:
    """One front's part in the agreement.

    The owner assigns the callbacks `post` (sends a message to a front), `leave` (ends this front, to restart
    it with a version; False where that is impossible) and `take_server` (takes a server out of service; False
    where that is impossible) before its thread calls `run`.
    """

    def __init__(
        self,
        agreement: RolloutAgreement,
        beat_us: int,
        mine: Callable[[], Mine],
        servers: Callable[[], Mapping[int, ServerSight]],
        keep: Callable[[Memory], bool],
        clock: Clock,
        rng: Random,
        notice: EventLogger,
    ) -> None:
        self.agreement = agreement
        self.clock = clock
        self._heartbeat_interval_us = beat_us
        self._own_state = mine
        self._observe_servers = servers
        self._persist = keep  # returns whether the memory is durable
        self._rng = rng
        self._log = notice
        self.post: Callable[[int, Said], None] = lambda _front, _message: None
        self.leave: Callable[[int], bool] = lambda _version: False
        self.take_server: Callable[[int], bool] = lambda _cell: False
        self._events: queue.Queue[Event] = queue.Queue(MAX_QUEUED_EVENTS)
        self._pending: list[PendingCommand] = []
        self._unsaved: Memory | None = None  # not durable yet; nothing is sent until it is
        self._lost_count = 0
        self._agreement_status: dict[str, object] = {}
        self._is_stopped = False

    # Any thread.

    def hear(self, sender: int, said: Said) -> None:
        """Handle another front's message."""
        self._put(lambda now_us: self.agreement.hear(sender, said, now_us))

    def command(self, told: Command) -> Answer:
        """Submit an operator's command about a plan; return when a majority accepts it or it is given up."""
        reply = Reply()

        def submit(now_us: int) -> Post:
            number, _, messages = self.agreement.command(told, now_us)
            self._follow(PendingCommand(number, reply, now_us + ANSWER_TIMEOUT_US))
            return messages

        return self._wait_for(reply, submit)

    def want_out(self, version: int) -> Answer:
        """Request that this front goes out of service when it may, to restart with a version."""
        return self._run_now(lambda now_us: self.agreement.want_out(version, now_us))

    def want_server(self, cell: int) -> Answer:
        """Request that a server goes out of service when it may."""
        return self._run_now(lambda now_us: self.agreement.want_server(cell, now_us))

    def write_off(self, kind: Kind, place: int) -> Answer:
        """Declare that a front or server will not come back."""

        def declare(now_us: int) -> Post:
            self.agreement.write_off(kind, place, now_us)
            return []

        return self._run_now(declare)

    def anew(self) -> Answer:
        """Declare that no front knows more of any rollout plan than this one."""

        def declare(now_us: int) -> Post:
            self.agreement.anew()
            return []

        return self._run_now(declare)

    def status(self) -> dict[str, object]:
        """Return the figures of the status JSON, as of the last heartbeat."""
        status = QueueStatus(unsafe=self._unsaved is not None, lost=self._lost_count)
        return {**self._agreement_status, **asdict(status)}

    def stop(self) -> None:
        """Make `run` return soon."""
        self._is_stopped = True

    def _put(self, event: Event) -> bool:
        """Queue an event; return False and count it as lost where the queue is full."""
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._lost_count += 1
            return False
        return True

    def _run_now(self, event: Event) -> Answer:
        """Queue an event and wait until it is processed."""
        reply = Reply()

        def process(now_us: int) -> Post:
            messages = event(now_us)
            reply.set(Answer.DONE)
            return messages

        return self._wait_for(reply, process)

    def _wait_for(self, reply: Reply, event: Event) -> Answer:
        if not self._put(event):
            return Answer.BUSY
        reply.ready.wait(ANSWER_TIMEOUT_US / 1e6)
        return Answer.LOST if reply.answer is Answer.PENDING else reply.answer

    # The coordinator's own thread.

    def run(self) -> None:
        """Process events and send heartbeats until `stop`."""
        due_us = self.clock.now_us()
        while not self._is_stopped:
            wait_us = due_us - self.clock.now_us()
            if wait_us <= 0:
                self._process(self._heartbeat)
                # Missed heartbeats are not made up for: they would be sent all at once.
                due_us = max(due_us + self._heartbeat_interval_us, self.clock.now_us())
                continue
            if self._pending:
                wait_us = min(wait_us, ANSWER_POLL_US)
            with suppress(queue.Empty):
                self._process(self._events.get(timeout=wait_us / 1e6))
            pending, self._pending = self._pending, []
            for command in pending:
                self._follow(command)

    def _follow(self, command: PendingCommand) -> None:
        """Answer an operator's command, or keep it pending where its result is not known."""
        answer = self.agreement.answer(command.number)
        if answer is Answer.PENDING and self.clock.now_us() < command.deadline_us:
            self._pending.append(command)
            return
        self._agreement_status = self.agreement.status(self.clock.now_us())
        command.reply.set(Answer.LOST if answer is Answer.PENDING else answer)

    def _heartbeat(self, now_us: int) -> Post:
        sights = self._observe_servers()
        self.agreement.servers_are({cell: sight.place for cell, sight in sights.items()}, now_us)
        for cell, sight in sights.items():
            self.agreement.see_server(cell, sight.serving, sight.as_of_us, now_us)
        messages = self.agreement.beat(self._own_state(), now_us, self._rng.random())
        self._agreement_status = self.agreement.status(now_us)
        return messages

    def _process(self, event: Event) -> None:
        try:
            self._apply(event)
        except Exception as error:  # one message's fault must not end the agreement with all others
            self._log("rollout_event_failed", reason=repr(error))

    def _apply(self, event: Event) -> None:
        """Process an event, make its promises durable, and only then send messages and act."""
        messages = event(self.clock.now_us())
        memory = self.agreement.keep()
        if memory is not None:
            self._unsaved = memory
        if self._unsaved is not None:
            if not self._persist(self._unsaved):
                return
            self._unsaved = None
        for front, message in messages:
            self.post(front, message)
        for action in self.agreement.acts():
            self._act(action)

    def _act(self, action: Act) -> None:
        if action.do is Do.NOTE:
            self._log("rollout_plan_changed", told=action.text)
        elif action.do is Do.STAY:
            self._log("rollout_removal_cancelled", kind=action.kind.name.lower(), place=action.place)
        elif self.agreement.begin(action.kind, action.place, self.clock.now_us()):
            self._take_out(action)

    def _take_out(self, action: Act) -> None:
        """Take this front or a server out of service; give the permit back where that is impossible."""
        is_out = self.leave(action.version) if action.kind is Kind.FRONT else self.take_server(action.place)
        if not is_out:
            self._process(lambda now_us: self.agreement.let_go(action.kind, action.place, now_us))
