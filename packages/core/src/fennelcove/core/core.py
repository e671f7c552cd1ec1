"""The core of a front: handles events from clients and servers and issues commands.

One lock serialises all events. Of the event handlers only a session request blocks for longer, while the
placement policy probes servers. The policy and the state tables in `fennelcove.decisions` make the decisions.
"""

from __future__ import annotations

from fennelcove.core.assembly import CoreAssembly
from fennelcove.core.front_status import FrontStatus
from fennelcove.core.policy_effects import RetryBudget
from fennelcove.core.requests import AttemptResult, NextStep, Session, SessionRequest, SessionView
from fennelcove.core.session_requests import RequestOutcome
from fennelcove.core.slot_scheduler import SlotScheduler
from fennelcove.decisions.servers.load_signals import ClientHints


class Core(CoreAssembly):
    """The facade of a front's core: session events and optional features."""

    # Optional features.

    def use_slots(self, scheduler: SlotScheduler) -> None:
        """Queue session requests with this scheduler until a slot is free."""
        self.slots.scheduler = scheduler
        self.status_reporter.add_section("fair", scheduler.status)

    def use_retry_budget(self, budget: RetryBudget) -> None:
        """Limit retries to this budget."""
        self.effects.set_retry_budget(budget)

    # Session events.

    def request_session(self, request: SessionRequest) -> RequestOutcome:
        """Handle a client's session request; see `SessionRequests.on_request`."""
        return self.requests.on_request(request)

    def on_attempt_completed(self, session: Session, attempt: int, result: AttemptResult) -> NextStep | None:
        """Handle the end of an attempt; see `AttemptResults.on_attempt_completed`."""
        return self.attempts.on_attempt_completed(session, attempt, result)

    def on_client_gone(self, session: Session) -> None:
        """Handle a client that no longer waits for its response."""
        self.attempts.on_client_gone(session)

    def on_shutdown(self, session: Session) -> NextStep | None:
        """Stop waiting for a pending attempt at shutdown; return the response, if there is one."""
        return self.attempts.on_shutdown(session)

    def on_response_ready(self, session: Session) -> None:
        """Handle that the response to an admitted request is ready to be written."""
        self.admission.on_request_answered(session)

    def discard(self, session: Session) -> None:
        """Remove all state of a session whose processing failed."""
        self.requests.discard(session)

    def on_client_report(
        self, session_id: str, hints: ClientHints, requested_top_rung: int | None = None
    ) -> SessionView | None:
        """Handle a client report; return the session, or None if it is not established."""
        return self.client_reports.on_report(session_id, hints, requested_top_rung)

    def release(self, session_id: str, reason: str) -> bool:
        """Close an established session; return False if there is none with that id."""
        return self.lifecycle.release(session_id, reason)

    def close_reason(self, session_id: str) -> str | None:
        """Return why a session was closed, or None if that is no longer known."""
        return self.lifecycle.close_reason(session_id)

    def status(self) -> FrontStatus:
        """Return the status that operators see."""
        return self.status_reporter.collect()
