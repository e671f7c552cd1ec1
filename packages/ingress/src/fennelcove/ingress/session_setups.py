"""Runs a session set-up to its response on the calling thread, for both HTTP and WebSocket."""

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
from fennelcove.upstream.wakeups import WakeReason, wait_for_descriptor


@dataclass(frozen=True, slots=True)
class SetUpResult:
    """The result of a set-up; `response` is None if the client no longer waits for one."""

    session: Session | None
    response: SessionResponse | None
    hops: str = ""
    timed_out: bool = False
    took_us: int = 0
    has_key: bool = False  # set up under an idempotency key: the client may repeat the request
    replayed: bool = False  # the stored response of an earlier set-up with the same key


class SessionSetups:
    """Runs session set-ups; shared by all listeners of a front."""

    def __init__(
        self, core: Core, clock: Clock, attempt_sender: AttemptSender, log_event: EventLogger
    ) -> None:
        self.core = core
        self.clock = clock
        self.attempt_sender = attempt_sender
        self.log_event = log_event

    def run(self, request: SessionRequest, client_socket: socket.socket) -> SetUpResult | None:
        """Submit the request to the core and send attempts until there is a response.

        Returns:
            The result; None after an internal error: the session is discarded and the caller must report an
            error to the client.
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
            # After any failure the client must get one response, and the server a release.
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
        """Send attempts until there is a response; None if the client no longer waits for one."""
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
            completion = run.result
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
        """Wait for an attempt slot; nothing has been sent, so a disconnect ends the set-up at once."""
        left_us = step.deadline_us - self.clock.now_us()
        wake_reason = wait_for_descriptor(
            step.wakeup.reader, left_us, self.attempt_sender.halt, client_socket
        )
        event = {
            WakeReason.HUNG_UP: WaiterEvent.HUNG_UP,
            WakeReason.LATCH: WaiterEvent.STOPPED,
            WakeReason.TIMEOUT: WaiterEvent.NO_TIME,
        }.get(wake_reason)
        return self.core.slots.on_wait_ended(step, event)

    def on_response_written(self, result: SetUpResult, written: bool) -> None:
        """Log the response; if it could not be written, report to the core that the client is gone."""
        session, response = result.session, result.response
        if session is None or response is None or result.replayed:
            return  # a repeated request whose client disconnects must not end the first one's session
        if not written and not result.has_key:
            # A request with a key can be repeated and finds its session; otherwise the idle timeout ends it.
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
