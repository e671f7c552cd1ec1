"""A subscription run to its answer on the thread of whoever asked, through whichever door."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.requests import (
    EventLogger,
    NextStep,
    SendAttempt,
    Session,
    SessionRequest,
    SessionResponse,
    WaitForSlot,
)
from fennelcove.fair_queueing.waiter import WaiterEvent
from fennelcove.interface import Outcome
from fennelcove.upstream.attempts import AttemptSender
from fennelcove.upstream.wakeups import WakeReason, wait_bell


@dataclass(frozen=True, slots=True)
class Result:
    """How it ended; without an answer nobody waits for one any more."""

    session: Session | None
    answered: SessionResponse | None
    hops: str = ""
    timed_out: bool = False
    took_us: int = 0
    keyed: bool = False  # its viewer may come for it again
    repeated: bool = False  # the answer of a set-up that was run before


class SessionSetups:
    """Runs set-ups; one for all doors of a front."""

    def __init__(self, core: Core, clock: Clock, joiner: AttemptSender, notice: EventLogger) -> None:
        self.core = core
        self.clock = clock
        self.joiner = joiner
        self.notice = notice

    def run(self, ask: SessionRequest, viewer: socket.socket) -> Result | None:
        """Ask the core and send joins until there is an answer; None where this front failed at it, so that
        the viewer is owed an error and nothing is held.
        """
        session: Session | None = None
        counted = False
        known = self.core.idempotency.find_response(ask)
        if known is not None:
            return Result(known.session, known.response, repeated=True)
        answered: SessionResponse | None = None
        try:
            outcome = self.core.request_session(ask)
            session, step = outcome.session, outcome.step
            if session is not None:
                self.core.idempotency.bind_session(ask, session)
            if session is None:
                assert isinstance(step, SessionResponse)
                self.notice(
                    "subscription_turned_away",
                    why=step.reason,
                    standing=step.ticket_status,
                    client=ask.client,
                    wait_ms=step.retry_after_us / 1000,
                    place=bool(step.queue_ticket),
                )
                answered = step
                return Result(None, step)
            counted = True
            answered, hops, timed_out = self._attempts(session, step, viewer)
            self.core.on_response_ready(session)
            counted = False
            return Result(
                session,
                answered,
                hops,
                timed_out,
                self.clock.now_us() - session.received_us,
                bool(ask.idempotency_key),
            )
        except Exception as error:
            # Whatever failed here, the viewer is owed its one answer and the box its release.
            self.notice("subscription_failed", reason=repr(error))
            if session is not None:
                self.core.discard(session)
                if counted:
                    self.core.on_response_ready(session)
            return None
        finally:
            self.core.idempotency.on_response(ask, session, answered)

    def _attempts(
        self, session: Session, step: NextStep | None, viewer: socket.socket
    ) -> tuple[SessionResponse | None, str, bool]:
        """Send joins until there is an answer; None where nobody waits for it any more."""
        hops, timed_out = "", False
        answered: SessionResponse | None = None
        if isinstance(step, WaitForSlot):
            step = self._in_line(step, viewer)
            if step is None:
                return None, "", False
        while isinstance(step, SendAttempt):
            run = self.joiner.run(step, viewer)
            if run.interrupted is WakeReason.HUNG_UP:
                self.core.on_client_gone(session)
            elif run.interrupted is WakeReason.LATCH:
                stopped = self.core.on_shutdown(session)
                answered = stopped if isinstance(stopped, SessionResponse) else None
            end = run.end
            hops, timed_out = run.hops, end.outcome is Outcome.NO_ANSWER
            following = self.core.on_attempt_completed(session, step.attempt, end)
            self.notice(
                "join_over",
                subscription=session.id,
                join=step.attempt,
                box=step.server,
                outcome=end.outcome.value,
                took_ms=end.duration_us / 1000,
            )
            if following is None:
                return answered, "", False
            step = following
        assert isinstance(step, SessionResponse)
        return step, hops, timed_out

    def _in_line(self, step: WaitForSlot, viewer: socket.socket) -> NextStep | None:
        """Wait for a slot; nothing has left, so that a hang-up ends it here and now."""
        left_us = step.deadline_us - self.clock.now_us()
        woken = wait_bell(step.wakeup.reader, left_us, self.joiner.halt, viewer)
        event = {
            WakeReason.HUNG_UP: WaiterEvent.HUNG_UP,
            WakeReason.LATCH: WaiterEvent.STOPPED,
            WakeReason.TIME: WaiterEvent.NO_TIME,
        }.get(woken)
        return self.core.slots.on_wait_ended(step, event)

    def told(self, result: Result, written: bool) -> None:
        """The answer was handed on, or could not be: then what plays is released."""
        session, answered = result.session, result.answered
        if session is None or answered is None or result.repeated:
            return  # one that comes again and hangs up must not end what its first try began
        if not written and not result.keyed:
            # One with a key comes again and finds it, or the silence limit ends it.
            self.core.on_client_gone(session)
        self.notice(
            "subscription_answered",
            subscription=session.id,
            answer=answered.kind.value,
            room_type=session.service_class,
            title=session.title,
            box=session.server,
            rung=session.rung,
            joins=session.attempt_count,
            took_ms=result.took_us / 1000,
            why=answered.reason,
            written=written,
        )
