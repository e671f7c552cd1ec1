"""The core's part that rules on what boxes still hold for this front; the core's lock is round all of it."""

from __future__ import annotations

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.content_insertion import ContentInsertion
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import AttemptResult, AttemptTarget, Session
from fennelcove.decisions.recovery import reconciliation
from fennelcove.decisions.clients.admission import Entry, AdmissionController
from fennelcove.decisions.clients.admission import AdmissionDecision as Entered
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.interface import Handover, SessionReport, ReportKind, Outcome, Request
from fennelcove.placement import PlacementPolicy
from fennelcove.wire.boxes import Held


class SessionAdoption:
    """What an earlier life of this front set up plays on under this one, or is taken back."""

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
        """A box names a join that it holds: the subscription that plays there from now on, if one does."""
        session = self.lifecycle.held.get(held.subscription)
        known = None
        if session is not None:
            place = session.home or session.pending_target
            if session.pending_target is not None and session.pending_target.attempt == held.join:
                place = session.pending_target
            if place is not None:
                stage = SessionState.JOINING if place is session.pending_target else session.state
                known = reconciliation.KnownSession(stage, place.attempt, place.server)
        service_class = self.catalogue.service_classes.get(held.room_type)
        fits = service_class is not None and held.title in self.catalogue.titles
        fits = (
            fits
            and service_class is not None
            and service_class.floor <= held.rung < len(self.catalogue.ladder_kb)
        )
        free = fits and self._has_free_seat(held.title, held.room_type)
        mine = self.session_ids.is_issued_here(held.subscription)
        found = reconciliation.claim(address, held.join, known, mine, fits, free)
        act = reconciliation.TRANSITIONS[found]
        if act is reconciliation.ClaimAction.KEEP:
            return None
        self.context.tally(f"claims_{found.name.lower()}")
        if act is reconciliation.ClaimAction.ADOPT_INSTEAD and session is not None:
            session.close_reason = "a later join of it was found"
            self.lifecycle.apply(session, SessionEvent.RELEASED)
        if act is reconciliation.ClaimAction.RELEASE:
            self.commands.send_to(address, held.subscription, held.join, None)
            return None
        return self._adopt(address, held)

    def _has_free_seat(self, title: str, service_class: str) -> bool:
        terms = self.policy.settings.service_classes[service_class]
        number, _ = self.catalogue.titles[title]
        return not terms.seats or self.policy.seats.get((number, terms), 0) < terms.seats

    def _adopt(self, address: str, held: Held) -> Session | None:
        """Take over what an earlier life of this front set up; the module hears of it as of a handover."""
        service_class, (number, title) = (
            self.catalogue.service_classes[held.room_type],
            self.catalogue.titles[held.title],
        )
        now_us = self.context.now_us()
        listed = address in self.policy.servers
        if not listed or self.admission_controller.ask(Entry.SUBSCRIPTION) is not Entered.LET_IN:
            self.commands.send_to(address, held.subscription, held.join, None)
            return None
        rates_kb = self.catalogue.rates_kb(held.room_type)
        top = len(rates_kb) - 1
        session = Session(
            held.subscription, held.room_type, held.title, service_class.floor, rates_kb, top, now_us, now_us
        )
        session.state, session.top, session.rung = SessionState.PLAYING, top, held.rung
        session.home, session.attempt_count = AttemptTarget(address, held.join, session.id, 0), held.join + 1
        session.last_result, session.may_be_held_by_server = AttemptResult(Outcome.SERVED, None, 0), True
        session.established_us = now_us
        self.lifecycle.add(session)
        self.seat_leases.on_session_established(session)
        self.expiry.begin(session.id, now_us)
        request = Request(session.id, held.room_type, number, title.first_cell, title.cells, top, 1)
        self.policy.handle(Handover(request, address), now_us)
        self.policy.handle(SessionReport(session.id, address, ReportKind.RUNG, held.rung), now_us)
        self.content.adopt(session, held.mark)
        self.context.tally("adopted")
        return session
