"""Adopts or releases sessions that servers still play for this front; the caller holds the core's lock."""

from __future__ import annotations

from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.content_insertion import ContentInsertion
from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import AttemptResult, AttemptTarget, Session
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.admission import AdmissionController, AdmissionDecision, AdmissionRequest
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.decisions.recovery import reconciliation
from fennelcove.decisions.recovery.reconciliation import ClaimAction
from fennelcove.interface import Handover, Outcome, ReportKind, Request, SessionReport
from fennelcove.placement import PlacementPolicy
from fennelcove.wire.servers import Held


class SessionAdoption:
    """Reconciles the sessions that a server reports with those of this front.

    Sessions of an earlier incarnation of the front continue under the current one.
    """

    def __init__(
        self,
        context: CoreContext,
        policy: PlacementPolicy,
        catalogue: Catalogue,
        session_ids: SessionIds,
        admission_controller: AdmissionController,
        lifecycle: SessionLifecycle,
        expiry: SessionExpiry,
        commands: CommandDispatcher,
        seat_leases: SeatLeaseManager,
        content: ContentInsertion,
    ) -> None:
        self.context = context
        self.policy = policy
        self.catalogue = catalogue
        self.session_ids = session_ids
        self.admission_controller = admission_controller
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.commands = commands
        self.seat_leases = seat_leases
        self.content = content

    def reconcile(self, address: str, reported: Held) -> Session | None:
        """Handle a server's report of an attempt that it serves.

        Returns:
            The adopted session; None if the attempt was released or already known.
        """
        session = self.lifecycle.sessions.get(reported.subscription)
        known = _known_session(session, reported) if session is not None else None
        fits = self._fits_settings(reported)
        has_free_seat = fits and self._has_free_seat(reported.title, reported.room_type)
        is_issued_here = self.session_ids.is_issued_here(reported.subscription)
        claim = reconciliation.classify_claim(
            address, reported.join, known, is_issued_here, fits, has_free_seat
        )
        action = reconciliation.CLAIM_ACTIONS[claim]
        if action is ClaimAction.KEEP:
            return None
        self.context.increment(f"claims_{claim.name.lower()}")
        if action is ClaimAction.ADOPT_INSTEAD and session is not None:
            session.close_reason = "a later join of it was found"
            self.lifecycle.apply(session, SessionEvent.RELEASED)
        if action is ClaimAction.RELEASE:
            self._release(address, reported)
            return None
        return self._adopt(address, reported)

    def _fits_settings(self, reported: Held) -> bool:
        service_class = self.catalogue.service_classes.get(reported.room_type)
        if service_class is None or reported.title not in self.catalogue.titles:
            return False
        return service_class.floor <= reported.rung < len(self.catalogue.ladder_kb)

    def _has_free_seat(self, title: str, service_class: str) -> bool:
        terms = self.policy.settings.service_classes[service_class]
        number, _ = self.catalogue.titles[title]
        return not terms.seats or self.policy.seats.get((number, terms), 0) < terms.seats

    def _release(self, address: str, reported: Held) -> None:
        self.commands.send_to(address, reported.subscription, reported.join, None)

    def _adopt(self, address: str, reported: Held) -> Session | None:
        """Adopt a session of an earlier incarnation; the policy receives it as a handover."""
        is_listed = address in self.policy.servers
        if (
            not is_listed
            or self.admission_controller.admit(AdmissionRequest.SUBSCRIPTION) is not AdmissionDecision.LET_IN
        ):
            self._release(address, reported)
            return None
        now_us = self.context.now_us()
        session = self._established_session(address, reported, now_us)
        self.lifecycle.add(session)
        self.seat_leases.on_session_established(session)
        self.expiry.add(session.id, now_us)
        number, title = self.catalogue.titles[reported.title]
        request = Request(
            session.id, reported.room_type, number, title.first_cell, title.cells, session.top_rung, 1
        )
        self.policy.handle(Handover(request, address), now_us)
        self.policy.handle(SessionReport(session.id, address, ReportKind.RUNG, reported.rung), now_us)
        self.content.resume_playlist(session, reported.mark)
        self.context.increment("adopted")
        return session

    def _established_session(self, address: str, reported: Held, now_us: int) -> Session:
        rates_kb = self.catalogue.rates_kb(reported.room_type)
        top_rung = len(rates_kb) - 1
        return Session(
            reported.subscription,
            reported.room_type,
            reported.title,
            self.catalogue.service_classes[reported.room_type].floor,
            rates_kb,
            top_rung,
            now_us,
            now_us,
            state=SessionState.ESTABLISHED,
            top_rung=top_rung,
            rung=reported.rung,
            attempt_count=reported.join + 1,
            current_target=AttemptTarget(address, reported.join, reported.subscription, 0),
            last_result=AttemptResult(Outcome.SERVED, None, 0),
            may_exist_on_server=True,
            established_us=now_us,
        )


def _known_session(session: Session, reported: Held) -> reconciliation.KnownSession | None:
    """Return what this front knows of a session that a server reports."""
    pending = session.pending_target
    is_pending = pending is not None and pending.attempt == reported.join
    target = pending if is_pending else session.current_target or pending
    if target is None:
        return None
    state = SessionState.ATTEMPTING if target is pending else session.state
    return reconciliation.KnownSession(state, target.attempt, target.server)
