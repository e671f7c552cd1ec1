"""Creates sessions for the client requests that pass admission control."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.core.admission import Admission
from fennelcove.core.attempt_slots import AttemptSlots
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.probe_coordinator import ProbeCoordinator
from fennelcove.core.requests import NextStep, Session, SessionRequest
from fennelcove.core.session_actions import SessionActions
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients import session_lifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.decisions.servers import load_signals
from fennelcove.interface import Request
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import Title


@dataclass(frozen=True, slots=True)
class SessionTerms:
    """The terms of a request: its limits by the settings and the client's hints.

    Attributes:
        title_number: The index of the title in the settings.
        rates_kb: The rate of each rung in kB per second.
        work_us: How long the front may take to respond.
    """

    title_number: int
    title: Title
    rates_kb: tuple[float, ...]
    floor_rung: int
    requested_top_rung: int
    top_rung: int
    work_us: int


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request.

    Attributes:
        session: The session; None if the request was rejected.
        step: The first step to take; the response if the request was rejected.
    """

    session: Session | None
    step: NextStep


class SessionRequests:
    """Creates a session for each admitted request and passes it to the placement policy."""

    def __init__(
        self,
        context: CoreContext,
        catalogue: Catalogue,
        policy: PlacementPolicy,
        session_ids: SessionIds,
        admission: Admission,
        lifecycle: SessionLifecycle,
        slots: AttemptSlots,
        probes: ProbeCoordinator,
        commands: CommandDispatcher,
        actions: SessionActions,
    ) -> None:
        self.context = context
        self.catalogue = catalogue
        self.policy = policy
        self.session_ids = session_ids
        self.admission = admission
        self.lifecycle = lifecycle
        self.slots = slots
        self.probes = probes
        self.commands = commands
        self.actions = actions

    def on_request(self, request: SessionRequest) -> RequestOutcome:
        """Handle a client's session request.

        Returns:
            The session and its first step, or only the rejection.

        Raises:
            KeyError: The settings do not name the request's service class or title.
        """
        terms = self._resolve_terms(request)
        now_us = self.context.now_us()
        with self.context.lock:
            rejection = self.admission.try_admit_request(request, now_us)
            if rejection is not None:
                return RequestOutcome(None, rejection)
            session = self._create_session(request, terms, now_us)
            self.lifecycle.add(session)
            self.context.increment("requests")
            self._place(session, _policy_request(session, request, terms), now_us)
            return RequestOutcome(session, session.take_step())

    def _resolve_terms(self, request: SessionRequest) -> SessionTerms:
        service_class = self.catalogue.service_classes[request.service_class]
        title_number, title = self.catalogue.titles[request.title]
        timeout_us = session_lifecycle.effective_timeout_us(
            request.client_timeout_us, round(service_class.client_timeout_ms * 1000)
        )
        rates_kb = self.catalogue.rates_kb(request.service_class)
        requested_top_rung = len(rates_kb) - 1
        if request.requested_top_rung is not None:
            requested_top_rung = min(request.requested_top_rung, requested_top_rung)
        floor_rung = service_class.floor
        top_rung = load_signals.top_rung(rates_kb, requested_top_rung, floor_rung, request.hints)
        work_us = session_lifecycle.processing_time_us(timeout_us)
        return SessionTerms(title_number, title, rates_kb, floor_rung, requested_top_rung, top_rung, work_us)

    def _create_session(self, request: SessionRequest, terms: SessionTerms, now_us: int) -> Session:
        return Session(
            self.session_ids.next_id(),
            request.service_class,
            request.title,
            terms.floor_rung,
            terms.rates_kb,
            terms.requested_top_rung,
            now_us,
            now_us + terms.work_us,
            top_rung=terms.top_rung,
            request=request,
        )

    def _place(self, session: Session, request: Request, now_us: int) -> None:
        try:
            is_enqueued = self.slots.enqueue(session, request)
            if not is_enqueued:
                self.policy.handle(request, now_us)
            self.probes.wait_for_decision(session)
        except Exception:
            # Release the failed request's admission: otherwise it stays counted for ever, and a front without
            # any sessions ends up rejecting every request.
            self.admission.controller.on_request_answered(0)
            self.discard(session)
            raise

    def discard(self, session: Session) -> None:
        """Remove all state of a session whose processing failed, whatever its state."""
        with self.context.lock:
            for target in (session.current_target, session.pending_target):
                if target is not None and session.state is not SessionState.CLOSED:
                    self.policy.sessions.pop(target.policy_id, None)
                    self.lifecycle.by_policy_id.pop(target.policy_id, None)
                    self.commands.send(target, session, None)
            self.policy.sessions.pop(session.id, None)
            self.slots.discard(session)
            if self.lifecycle.sessions.get(session.id) is session:
                self.actions.close(session)
            session.state = SessionState.CLOSED


def _policy_request(session: Session, request: SessionRequest, terms: SessionTerms) -> Request:
    return Request(
        session.id,
        request.service_class,
        terms.title_number,
        terms.title.first_cell,
        terms.title.cells,
        terms.top_rung,
        terms.work_us,
        request.tenant,
        request.is_retry,
        request.expected_watch_us,
    )
