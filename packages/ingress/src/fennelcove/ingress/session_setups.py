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
class SetUpResult:
    """How it ended; without an answer nobody waits for one any more."""

    session: Session | None
    response: SessionResponse | None
    hops: str = ""
    timed_out: bool = False
    took_us: int = 0
    has_key: bool = False  # its client_socket may come for it again
    replayed: bool = False  # the answer of a set-up that was run before


class SessionSetups:
    """Runs set-ups; one for all doors of a front."""

    def __init__(
        self, core: Core, clock: Clock, attempt_sender: AttemptSender, log_event: EventLogger
    ) -> None:
        self.core = core
        self.clock = clock
        self.attempt_sender = attempt_sender
        self.log_event = log_event

    def run(self, request: SessionRequest, client_socket: socket.socket) -> SetUpResult | None:
        """Ask the core and send joins until there is an answer; None where this front failed at it, so that
        the client_socket is owed an error and nothing is held.
        """
        session: Session | None = None
        is_pending = False
        previous = self.core.idempotency.find_response(request)
        if previous is not None:
            return SetUpResult(previous.session, previous.response, replayed=True)
        response: SessionResponse | None = None
        try:
            outcome = self.core.request_session(request)
            session, step = outcome.session, outcome.step
            if session is not None:
                self.core.idempotency.bind_session(request, session)
            if session is None:
                assert isinstance(step, SessionResponse)
                self.log_event(
                    "subscription_turned_away",
                    why=step.reason,
                    standing=step.ticket_status,
                    client=request.client,
                    wait_ms=step.retry_after_us / 1000,
                    place=bool(step.queue_ticket),
                )
                response = step
                return SetUpResult(None, step)
            is_pending = True
            response, hops, timed_out = self._run_attempts(session, step, client_socket)
            self.core.on_response_ready(session)
            is_pending = False
            return SetUpResult(
                session,
                response,
                hops,
                timed_out,
                self.clock.now_us() - session.received_us,
                bool(request.idempotency_key),
            )
        except Exception as error:
            # Whatever failed here, the client_socket is owed its one answer and the box its release.
            self.log_event("subscription_failed", reason=repr(error))
            if session is not None:
                self.core.discard(session)
                if is_pending:
                    self.core.on_response_ready(session)
            return None
        finally:
            self.core.idempotency.on_response(request, session, response)

    def _run_attempts(
        self, session: Session, step: NextStep | None, client_socket: socket.socket
    ) -> tuple[SessionResponse | None, str, bool]:
        """Send joins until there is an answer; None where nobody waits for it any more."""
        hops, timed_out = "", False
        response: SessionResponse | None = None
        if isinstance(step, WaitForSlot):
            step = self._wait_for_slot(step, client_socket)
            if step is None:
                return None, "", False
        while isinstance(step, SendAttempt):
            run = self.attempt_sender.run(step, client_socket)
            if run.interrupted is WakeReason.HUNG_UP:
                self.core.on_client_gone(session)
            elif run.interrupted is WakeReason.LATCH:
                shutdown_step = self.core.on_shutdown(session)
                response = shutdown_step if isinstance(shutdown_step, SessionResponse) else None
            completion = run.end
            hops, timed_out = run.hops, completion.outcome is Outcome.NO_ANSWER
            next_step = self.core.on_attempt_completed(session, step.attempt, completion)
            self.log_event(
                "join_over",
                subscription=session.id,
                join=step.attempt,
                box=step.server,
                outcome=completion.outcome.value,
                took_ms=completion.duration_us / 1000,
            )
            if next_step is None:
                return response, "", False
            step = next_step
        assert isinstance(step, SessionResponse)
        return step, hops, timed_out

    def _wait_for_slot(self, step: WaitForSlot, client_socket: socket.socket) -> NextStep | None:
        """Wait for a slot; nothing has left, so that a hang-up ends it here and now."""
        left_us = step.deadline_us - self.clock.now_us()
        wake_reason = wait_bell(step.wakeup.reader, left_us, self.attempt_sender.halt, client_socket)
        event = {
            WakeReason.HUNG_UP: WaiterEvent.HUNG_UP,
            WakeReason.LATCH: WaiterEvent.STOPPED,
            WakeReason.TIME: WaiterEvent.NO_TIME,
        }.get(wake_reason)
        return self.core.slots.on_wait_ended(step, event)

    def on_response_written(self, result: SetUpResult, written: bool) -> None:
        """The answer was handed on, or could not be: then what plays is released."""
        session, response = result.session, result.response
        if session is None or response is None or result.replayed:
            return  # one that comes again and hangs up must not completion what its first try began
        if not written and not result.has_key:
            # One with a key comes again and finds it, or the silence limit ends it.
            self.core.on_client_gone(session)
        self.log_event(
            "subscription_answered",
            subscription=session.id,
            answer=response.kind.value,
            room_type=session.service_class,
            title=session.title,
            box=session.server,
            rung=session.rung,
            joins=session.attempt_count,
            took_ms=result.took_us / 1000,
            why=response.reason,
            written=written,
        )
