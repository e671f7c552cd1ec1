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
        front: PlacementPolicy,
        catalogue: Catalogue,
        names: SessionIds,
        gate: AdmissionController,
        lifecycle: SessionLifecycle,
        presence: SessionExpiry,
        orders: CommandDispatcher,
        seats: SeatLeaseManager,
        stitches: ContentInsertion,
    ) -> None:
        self.context = context
        self.front = front
        self.catalogue = catalogue
        self.names = names
        self.gate = gate
        self.lifecycle = lifecycle
        self.presence = presence
        self.orders = orders
        self.seats = seats
        self.stitches = stitches

    def claim(self, address: str, held: Held) -> Session | None:
        """A box names a join that it holds: the subscription that plays there from now on, if one does."""
        session = self.lifecycle.held.get(held.subscription)
        known = None
        if session is not None:
            place = session.home or session.out
            if session.out is not None and session.out.attempt == held.join:
                place = session.out
            if place is not None:
                stage = SessionState.JOINING if place is session.out else session.stage
                known = reconciliation.KnownSession(stage, place.attempt, place.server)
        service_class = self.catalogue.service_classes.get(held.room_type)
        fits = service_class is not None and held.title in self.catalogue.titles
        fits = (
            fits
            and service_class is not None
            and service_class.floor <= held.rung < len(self.catalogue.ladder_kb)
        )
        free = fits and self._seat_free(held.title, held.room_type)
        mine = self.names.is_mine(held.subscription)
        found = reconciliation.claim(address, held.join, known, mine, fits, free)
        act = reconciliation.TRANSITIONS[found]
        if act is reconciliation.ClaimAction.KEEP:
            return None
        self.context.tally(f"claims_{found.name.lower()}")
        if act is reconciliation.ClaimAction.ADOPT_INSTEAD and session is not None:
            session.ended_because = "a later join of it was found"
            self.lifecycle.apply(session, SessionEvent.RELEASED)
        if act is reconciliation.ClaimAction.RELEASE:
            self.orders.tell_at(address, held.subscription, held.join, None)
            return None
        return self._adopt(address, held)

    def _seat_free(self, title: str, service_class: str) -> bool:
        terms = self.front.settings.service_classes[service_class]
        number, _ = self.catalogue.titles[title]
        return not terms.seats or self.front.seats.get((number, terms), 0) < terms.seats

    def _adopt(self, address: str, held: Held) -> Session | None:
        """Take over what an earlier life of this front set up; the module hears of it as of a handover."""
        service_class, (number, title) = (
            self.catalogue.service_classes[held.room_type],
            self.catalogue.titles[held.title],
        )
        now_us = self.context.now_us()
        listed = address in self.front.servers
        if not listed or self.gate.ask(Entry.SUBSCRIPTION) is not Entered.LET_IN:
            self.orders.tell_at(address, held.subscription, held.join, None)
            return None
        rates_kb = self.catalogue.rates_kb(held.room_type)
        top = len(rates_kb) - 1
        session = Session(
            held.subscription, held.room_type, held.title, service_class.floor, rates_kb, top, now_us, now_us
        )
        session.stage, session.top, session.rung = SessionState.PLAYING, top, held.rung
        session.home, session.attempts = AttemptTarget(address, held.join, session.id, 0), held.join + 1
        session.end, session.server_may_hold = AttemptResult(Outcome.SERVED, None, 0), True
        session.playing_since_us = now_us
        self.lifecycle.begin(session)
        self.seats.plays(session)
        self.presence.begin(session.id, now_us)
        request = Request(session.id, held.room_type, number, title.first_cell, title.cells, top, 1)
        self.front.handle(Handover(request, address), now_us)
        self.front.handle(SessionReport(session.id, address, ReportKind.RUNG, held.rung), now_us)
        self.stitches.adopt(session, held.mark)
        self.context.tally("adopted")
        return session
