"""Takes over, or releases, the sessions that servers still hold for this front; the core's lock guards it."""

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
from fennelcove.wire.boxes import Held


class SessionAdoption:
    """Reconciles what a server reports with the sessions of this front.

    Sessions of an earlier incarnation play on under this one.
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

    def claim(self, address: str, held: Held) -> Session | None:
        """A server reports an attempt that it holds.

        Returns:
            The session that plays there from now on; None where none does, or it was known already.
        """
        session = self.lifecycle.sessions.get(held.subscription)
        known = _known_session(session, held) if session is not None else None
        fits = self._fits_settings(held)
        has_free_seat = fits and self._has_free_seat(held.title, held.room_type)
        is_issued_here = self.session_ids.is_issued_here(held.subscription)
        found = reconciliation.classify_claim(address, held.join, known, is_issued_here, fits, has_free_seat)
        action = reconciliation.CLAIM_ACTIONS[found]
        if action is ClaimAction.KEEP:
            return None
        self.context.increment(f"claims_{found.name.lower()}")
        if action is ClaimAction.ADOPT_INSTEAD and session is not None:
            session.close_reason = "a later join of it was found"
            self.lifecycle.apply(session, SessionEvent.RELEASED)
        if action is ClaimAction.RELEASE:
            self._release(address, held)
            return None
        return self._adopt(address, held)

    def _fits_settings(self, held: Held) -> bool:
        service_class = self.catalogue.service_classes.get(held.room_type)
        if service_class is None or held.title not in self.catalogue.titles:
            return False
        return service_class.floor <= held.rung < len(self.catalogue.ladder_kb)

    def _has_free_seat(self, title: str, service_class: str) -> bool:
        terms = self.policy.settings.service_classes[service_class]
        number, _ = self.catalogue.titles[title]
        return not terms.seats or self.policy.seats.get((number, terms), 0) < terms.seats

    def _release(self, address: str, held: Held) -> None:
        self.commands.send_to(address, held.subscription, held.join, None)

    def _adopt(self, address: str, held: Held) -> Session | None:
        """Take over a session of an earlier incarnation; the policy receives it as a handover."""
        is_listed = address in self.policy.servers
        if (
            not is_listed
            or self.admission_controller.admit(AdmissionRequest.SUBSCRIPTION) is not AdmissionDecision.LET_IN
        ):
            self._release(address, held)
            return None
        now_us = self.context.now_us()
        session = self._established_session(address, held, now_us)
        self.lifecycle.add(session)
        self.seat_leases.on_session_established(session)
        self.expiry.add(session.id, now_us)
        number, title = self.catalogue.titles[held.title]
        request = Request(
            session.id, held.room_type, number, title.first_cell, title.cells, session.top_rung, 1
        )
        self.policy.handle(Handover(request, address), now_us)
        self.policy.handle(SessionReport(session.id, address, ReportKind.RUNG, held.rung), now_us)
        self.content.resume_playlist(session, held.mark)
        self.context.increment("adopted")
        return session

    def _established_session(self, address: str, held: Held, now_us: int) -> Session:
        rates_kb = self.catalogue.rates_kb(held.room_type)
        top_rung = len(rates_kb) - 1
        return Session(
            held.subscription,
            held.room_type,
            held.title,
            self.catalogue.service_classes[held.room_type].floor,
            rates_kb,
            top_rung,
            now_us,
            now_us,
            state=SessionState.ESTABLISHED,
            top_rung=top_rung,
            rung=held.rung,
            attempt_count=held.join + 1,
            current_target=AttemptTarget(address, held.join, held.subscription, 0),
            last_result=AttemptResult(Outcome.SERVED, None, 0),
            may_be_held_by_server=True,
            established_us=now_us,
        )


def _known_session(session: Session, held: Held) -> reconciliation.KnownSession | None:
    """What this front knows of the session that a server reports."""
    pending = session.pending_target
    is_pending = pending is not None and pending.attempt == held.join
    target = pending if is_pending else session.current_target or pending
    if target is None:
        return None
    state = SessionState.ATTEMPTING if target is pending else session.state
    return reconciliation.KnownSession(state, target.attempt, target.server)
