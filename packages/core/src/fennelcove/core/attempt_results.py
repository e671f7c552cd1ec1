"""Processes the results of set-up attempts until the client has its response."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.core.attempt_slots import AttemptSlots
from fennelcove.core.context import CoreContext
from fennelcove.core.requests import AttemptResult, NextStep, Session
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.decisions.servers import attempt_exchange
from fennelcove.interface import Outcome

AWAITING_RESULT = (SessionState.ATTEMPTING, SessionState.ABANDONED)

ServedListener = Callable[[str, int], None]
"""Called with the server that served an attempt and the time the attempt was sent, in microseconds."""


class AttemptResults:
    """Advances a session by the result of its attempt, or when nobody waits for that result any more."""

    def __init__(
        self,
        context: CoreContext,
        lifecycle: SessionLifecycle,
        retry_storms: RetryStormGuard,
        slots: AttemptSlots,
    ) -> None:
        self.context = context
        self.lifecycle = lifecycle
        self.retry_storms = retry_storms
        self.slots = slots
        self._served_listener: ServedListener | None = None

    def set_served_listener(self, listener: ServedListener) -> None:
        """Set the listener for attempts that servers have served."""
        self._served_listener = listener

    def on_attempt_completed(self, session: Session, attempt: int, result: AttemptResult) -> NextStep | None:
        """Handle the end of the pending attempt.

        Returns:
            The next step; None if nobody waits for a response or the attempt is not the pending one.
        """
        with self.context.lock:
            target = session.pending_target
            if target is None or target.attempt != attempt or session.state not in AWAITING_RESULT:
                return None
            now_us = self.context.now_us()
            event = self._event_of(session, result.outcome, now_us)
            if result.outcome is Outcome.SERVED:
                self._notify_served(session, target.server)
            self.retry_storms.on_attempt_completed(session, target.server, result.outcome, now_us)
            self.slots.release(session, attempt, result.outcome)
            counted = Outcome.NO_ANSWER if event is SessionEvent.ATTEMPT_SERVED_LATE else result.outcome
            session.last_result = AttemptResult(counted, result.hints, result.duration_us)
            session.may_exist_on_server = attempt_exchange.may_need_release(result.outcome)
            self.context.increment(f"joins_{result.outcome.value}")
            self.lifecycle.apply(session, event)
            self.slots.assign_free_slots()
            return session.take_step_if_ready()

    def _event_of(self, session: Session, outcome: Outcome, now_us: int) -> SessionEvent:
        if outcome is not Outcome.SERVED:
            return SessionEvent.ATTEMPT_FAILED
        # A result exactly at the deadline counts as late: the rejection is sure to reach the client, as it
        # still waits.
        return (
            SessionEvent.ATTEMPT_SERVED if now_us < session.deadline_us else SessionEvent.ATTEMPT_SERVED_LATE
        )

    def _notify_served(self, session: Session, server: str) -> None:
        was_sent = session.attempt_sent_us >= 0
        if was_sent and self._served_listener is not None:
            self._served_listener(server, session.attempt_sent_us)

    def on_client_gone(self, session: Session) -> None:
        """Handle a client that disconnected before its response, or whose response could not be written."""
        with self.context.lock:
            self.lifecycle.apply(session, SessionEvent.CLIENT_DISCONNECTED)

    def on_shutdown(self, session: Session) -> NextStep | None:
        """Stop waiting for the pending attempt at shutdown; return the response, if there is one."""
        with self.context.lock:
            self.lifecycle.apply(session, SessionEvent.FRONT_STOPPED)
            return session.take_step_if_ready()
