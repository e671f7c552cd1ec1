"""Runs this front's part in the agreement on which fronts and servers may be out of service.

One thread processes all events from a bounded queue: a promise must be durable before it is sent, and a
thread that waits for the disk must not block the core's lock or timers. Events that arrive while the queue is
full are dropped, which the agreement tolerates like the loss of any message.
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
from fennelcove.rollouts.coordinator import (
    Action,
    ActionKind,
    Command,
    CommandOutcome,
    FrontStatus,
    Outbox,
    PersistedState,
    RolloutAgreement,
)
from fennelcove.rollouts.disruption_budget import Location
from fennelcove.rollouts.messages import PlaceKind, RolloutMessage

MAX_QUEUED_EVENTS = 1024
ANSWER_TIMEOUT_US = 4_500_000  # for an operator's command; the agreement abandons it earlier
ANSWER_POLL_US = 20_000

Event = Callable[[int], Outbox]  # takes the time in microseconds, returns the messages to send


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """This front's observation of a server.

    Attributes:
        location: Its location, for the disruption budgets.
        is_serving: Whether it serves.
        observed_us: When that was observed.
    """

    location: Location
    is_serving: bool
    observed_us: int


@dataclass(slots=True, eq=False)
class Reply:
    """A future for the answer to an operator's request."""

    answer: CommandOutcome = CommandOutcome.PENDING
    ready: threading.Event = field(default_factory=threading.Event)

    def set(self, answer: CommandOutcome) -> None:
        """Set the answer and wake the thread that waits for it."""
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
    """This coordinator's part of the status; the field names are keys of the status JSON.

    Attributes:
        unsafe: Whether there is state that is not durable yet.
        lost: The number of events dropped because the queue was full.
    """

    unsafe: bool
    lost: int


class RolloutCoordinator:
    """One front's part in the agreement.

    The owner assigns the callbacks `send` (sends a message to a front), `leave_service` (stops this front so
    that it restarts with a version; returns False if it cannot) and `take_server_out` (takes a server out of
    service; returns False if it cannot) before its thread calls `run`.
    """

    def __init__(
        self,
        agreement: RolloutAgreement,
        heartbeat_interval_us: int,
        own_state: Callable[[], FrontStatus],
        observe_servers: Callable[[], Mapping[int, ServerObservation]],
        persist: Callable[[PersistedState], bool],
        clock: Clock,
        rng: Random,
        log: EventLogger,
    ) -> None:
        self.agreement = agreement
        self.clock = clock
        self._heartbeat_interval_us = heartbeat_interval_us
        self._own_state = own_state
        self._observe_servers = observe_servers
        self._persist = persist  # returns whether the state is durable
        self._rng = rng
        self._log = log
        self.send: Callable[[int, RolloutMessage], None] = lambda _front, _message: None
        self.leave_service: Callable[[int], bool] = lambda _version: False
        self.take_server_out: Callable[[int], bool] = lambda _cell: False
        self._events: queue.Queue[Event] = queue.Queue(MAX_QUEUED_EVENTS)
        self._pending: list[PendingCommand] = []
        self._unsaved: PersistedState | None = None  # not durable yet; no message is sent until it is
        self._lost_count = 0
        self._agreement_status: dict[str, object] = {}
        self._is_stopped = False

    # Methods for any thread.

    def on_message(self, sender: int, message: RolloutMessage) -> None:
        """Handle another front's message."""
        self._put(lambda now_us: self.agreement.on_message(sender, message, now_us))

    def submit_command(self, command: Command) -> CommandOutcome:
        """Submit an operator's command about a plan; return once a majority accepts it or it is abandoned."""
        reply = Reply()

        def submit(now_us: int) -> Outbox:
            number, _, messages = self.agreement.command(command, now_us)
            self._check_command(PendingCommand(number, reply, now_us + ANSWER_TIMEOUT_US))
            return messages

        return self._wait_for(reply, submit)

    def request_front_out(self, version: int) -> CommandOutcome:
        """Request that this front goes out of service once permitted, to restart with a version."""
        return self._run_now(lambda now_us: self.agreement.request_front_drain(version, now_us))

    def request_server_out(self, cell: int) -> CommandOutcome:
        """Request that a server goes out of service once permitted."""
        return self._run_now(lambda now_us: self.agreement.request_server_drain(cell, now_us))

    def write_off(self, kind: PlaceKind, place: int) -> CommandOutcome:
        """Declare a front or server permanently lost."""

        def declare(now_us: int) -> Outbox:
            self.agreement.write_off(kind, place, now_us)
            return []

        return self._run_now(declare)

    def declare_latest(self) -> CommandOutcome:
        """Declare that no front has a later record of the rollout plans than this one."""

        def declare(now_us: int) -> Outbox:
            self.agreement.accept_record_as_complete()
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
        """Queue an event; return False and count it as lost if the queue is full."""
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._lost_count += 1
            return False
        return True

    def _run_now(self, event: Event) -> CommandOutcome:
        """Queue an event and wait until it is processed."""
        reply = Reply()

        def process(now_us: int) -> Outbox:
            messages = event(now_us)
            reply.set(CommandOutcome.DONE)
            return messages

        return self._wait_for(reply, process)

    def _wait_for(self, reply: Reply, event: Event) -> CommandOutcome:
        if not self._put(event):
            return CommandOutcome.BUSY
        reply.ready.wait(ANSWER_TIMEOUT_US / 1e6)
        return CommandOutcome.LOST if reply.answer is CommandOutcome.PENDING else reply.answer

    # Methods for the coordinator's own thread.

    def run(self) -> None:
        """Process events and send heartbeats until `stop`."""
        due_us = self.clock.now_us()
        while not self._is_stopped:
            wait_us = due_us - self.clock.now_us()
            if wait_us <= 0:
                self._process(self._heartbeat)
                # Missed heartbeats are skipped: catching up would send them all at once.
                due_us = max(due_us + self._heartbeat_interval_us, self.clock.now_us())
                continue
            if self._pending:
                wait_us = min(wait_us, ANSWER_POLL_US)
            with suppress(queue.Empty):
                self._process(self._events.get(timeout=wait_us / 1e6))
            pending, self._pending = self._pending, []
            for command in pending:
                self._check_command(command)

    def _check_command(self, command: PendingCommand) -> None:
        """Answer an operator's command, or leave it pending if its result is not known yet."""
        answer = self.agreement.command_outcome(command.number)
        if answer is CommandOutcome.PENDING and self.clock.now_us() < command.deadline_us:
            self._pending.append(command)
            return
        self._agreement_status = self.agreement.status(self.clock.now_us())
        command.reply.set(CommandOutcome.LOST if answer is CommandOutcome.PENDING else answer)

    def _heartbeat(self, now_us: int) -> Outbox:
        observations = self._observe_servers()
        self.agreement.update_servers(
            {cell: observation.location for cell, observation in observations.items()}, now_us
        )
        for cell, observation in observations.items():
            self.agreement.observe_server(cell, observation.is_serving, observation.observed_us, now_us)
        messages = self.agreement.tick(self._own_state(), now_us, self._rng.random())
        self._agreement_status = self.agreement.status(now_us)
        return messages

    def _process(self, event: Event) -> None:
        try:
            self._apply(event)
        # An error in one event must not end the thread, and with it this front's part in the agreement.
        except Exception as error:  # noqa: BLE001 - top of a thread, logged
            self._log("rollout_event_failed", reason=repr(error))

    def _apply(self, event: Event) -> None:
        """Process an event, persist its promises, and only then send messages and execute actions."""
        messages = event(self.clock.now_us())
        state = self.agreement.state_to_persist()
        if state is not None:
            self._unsaved = state
        if self._unsaved is not None:
            if not self._persist(self._unsaved):
                return
            self._unsaved = None
        for front, message in messages:
            self.send(front, message)
        for action in self.agreement.take_actions():
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if action.action_kind is ActionKind.LOG:
            self._log("rollout_plan_changed", told=action.text)
        elif action.action_kind is ActionKind.CANCEL:
            self._log("rollout_removal_cancelled", kind=action.kind.name.lower(), place=action.place)
        elif self.agreement.begin(action.kind, action.place, self.clock.now_us()):
            self._take_out(action)

    def _take_out(self, action: Action) -> None:
        """Take this front or a server out of service; release the permit if that is impossible."""
        is_out = (
            self.leave_service(action.version)
            if action.kind is PlaceKind.FRONT
            else self.take_server_out(action.place)
        )
        if not is_out:
            self._process(lambda now_us: self.agreement.release(action.kind, action.place, now_us))
