"""The core of one front: receives events from clients and servers and answers with commands.

Every event passes through one lock; apart from it only a request blocks, while the placement policy probes
servers. What follows from an event is decided by the policy and by the tables in `fennelcove.decisions`.
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
    """The facade of one front's core: the events of a session, and its optional features."""

    # Optional features.

    def use_slots(self, scheduler: SlotScheduler) -> None:
        """Let attempts wait for slots of this scheduler."""
        self.slots.scheduler = scheduler
        self.status_reporter.add_section("fair", scheduler.status)

    def use_retry_budget(self, budget: RetryBudget) -> None:
        """Send retries only as far as this budget allows."""
        self.effects.set_retry_budget(budget)

    # The course of one session.

    def request_session(self, request: SessionRequest) -> RequestOutcome:
        """A client requests a session; see `SessionRequests.on_request`."""
        return self.requests.on_request(request)

    def on_attempt_completed(self, session: Session, attempt: int, result: AttemptResult) -> NextStep | None:
        """An attempt has ended; see `AttemptResults.on_attempt_completed`."""
        return self.attempts.on_attempt_completed(session, attempt, result)

    def on_client_gone(self, session: Session) -> None:
        """The client does not wait for its response any more."""
        self.attempts.on_client_gone(session)

    def on_shutdown(self, session: Session) -> NextStep | None:
        """This front shuts down while an attempt is pending; the response, if any."""
        return self.attempts.on_shutdown(session)

    def on_response_ready(self, session: Session) -> None:
        """The response to an admitted request is ready to be written."""
        self.admission.on_request_answered(session)

    def discard(self, session: Session) -> None:
        """Remove every trace of a session that failed."""
        self.requests.discard(session)

    def on_client_report(
        self, session_id: str, hints: ClientHints, requested_top_rung: int | None = None
    ) -> SessionView | None:
        """A client reported; its session now, or None where that is not established."""
        return self.client_reports.on_report(session_id, hints, requested_top_rung)

    def release(self, session_id: str, reason: str) -> bool:
        """Close an established session; False where there is none of that id."""
        return self.lifecycle.release(session_id, reason)

    def close_reason(self, session_id: str) -> str | None:
        """Why a session was closed, where that is still known."""
        return self.lifecycle.close_reason(session_id)

    def status(self) -> FrontStatus:
        """Figures for an operator."""
        return self.status_reporter.collect()
