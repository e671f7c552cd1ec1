"""The core: every door's events pass through it one at a time, and it hands back what to do.

It decides nothing: the module places, the tables in `fennelcove.decisions` say what follows from what, and
the core carries it out. A door calls `ask`, runs the join it is handed, calls `join_over`, and so on until it
is told to answer. All calls are short; none waits for anything but the lock.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.session_adoption import SessionAdoption
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.session_actions import SessionActions
from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.core.snapshot_manager import SnapshotManager
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.probe_coordinator import ProbeCoordinator
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.idempotency_store import IdempotencyStore
from fennelcove.core.content_insertion import ContentInsertion
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.slot_scheduler import SlotScheduler
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.clock.timers import Timers
from fennelcove.core.requests import (
    ResponseKind,
    SessionResponse,
    SessionRequest,
    AttemptResult,
    EventLogger,
    AttemptTarget,
    SendAttempt,
    Session,
    NextStep,
    SessionView,
)
from fennelcove.decisions.servers import load_signals, attempt_exchange
from fennelcove.decisions.fleet.recovery_admission import RecoveryAdmission
from fennelcove.decisions.clients import session_lifecycle
from fennelcove.decisions.clients.admission import AdmissionLimits, Entry, AdmissionController, AdmissionEvent
from fennelcove.decisions.clients.admission import AdmissionDecision as Entered
from fennelcove.decisions.servers.load_signals import ServerHints, ClientHints
from fennelcove.decisions.servers.endpoint_list import EndpointListTracker
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.signed_tokens import Mac
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.decisions.operators.shadow_policy import ShadowedPolicy
from fennelcove.interface import (
    Outcome,
    PeerMessage,
    Request,
    TimerFired,
)
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.checks import module_settings
from fennelcove.settings.schema import FrontSettings

TURNED_AWAY = {
    Entered.FULL: "this front holds all that it can",
    Entered.DRAINING: "this front drains; another has room",
    Entered.CLOSING: "this front is stopping",
}


class Core:
    """One front's state behind its doors. Attach `book.port` and `lists.source` before the first event."""

    def __init__(
        self,
        settings: FrontSettings,
        clock: Clock,
        timers: Timers,
        notice: EventLogger,
        names: SessionIds | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timers = timers
        self.log_event = notice
        self.session_ids = names or SessionIds()
        self.rng = Random(settings.seed)
        context = self.context = CoreContext(clock, timers, notice, self.rng)
        self.lock, self.counts, self.increment = context.lock, context.counts, context.tally
        catalogue = self.catalogue = Catalogue(settings)
        self.service_classes, self.titles = catalogue.service_classes, catalogue.titles
        told, now_us = module_settings(settings), clock.now_us()
        self.policy = PlacementPolicy(told, settings.seed, self, now_us)
        self.shadow_policy: ShadowedPolicy | None = None
        if settings.watch is not None:
            other = module_settings(settings, settings.watch)
            self.policy = self.shadow_policy = ShadowedPolicy(told, other, settings.seed, self, now_us)
        front = self.policy
        self.endpoint_tracker = EndpointListTracker()
        self.may_attempt_again: Callable[[], bool] = lambda: True
        self.gates: list[
            Callable[[SessionRequest, int], SessionResponse | None]
        ] = []  # who is refused at the door, in order
        # A box has answered a join well that was sent then.
        self.server_attempted: Callable[[str, int], None] = lambda server, sent_us: None
        self.shown: dict[str, Callable[[], object]] = {}  # figures of others that belong into the status
        self.slots: SlotScheduler | None = None  # where slots are shared out among tenants
        self.token_keys: list[Mac] = []  # the keys of viewers' passes, the newest first
        self.requires_token = settings.viewers.key_file is not None
        # The parts, each handed those before it that it needs.
        most, ramp_us = settings.limits, round(settings.rules.ramp_ms * 1000)
        opening = RecoveryAdmission(now_us, settings.recovery is not None, ramp_us)
        self.admission_controller = AdmissionController(
            AdmissionLimits(most.connections, most.waiting, most.held, most.buffered_bytes)
        )
        presence = self.expiry = SessionExpiry(round(settings.limits.silent_ms * 1000))
        sessions = self.lifecycle = SessionLifecycle(context, front)
        self.sessions, self.sessions_by_policy_id, self.release = (
            sessions.held,
            sessions.by_module,
            sessions.release,
        )
        orders = self.commands = CommandDispatcher(context, most.held)
        self.probes = ProbeCoordinator(context, front)
        seats = self.seat_leases = SeatLeaseManager(context, catalogue, sessions)
        pushes = self.notifier = ClientNotifier(
            context, settings.websocket.subscriptions, self.requires_token, sessions, presence, self.view
        )
        self.content = ContentInsertion(context, settings.stitch, catalogue, front, sessions, orders, pushes)
        adoptions = SessionAdoption(
            context,
            front,
            catalogue,
            self.session_ids,
            self.admission_controller,
            sessions,
            presence,
            orders,
            seats,
            self.content,
        )
        self.server_registry = ServerRegistry(context, opening, front, sessions, adoptions)
        self.retry_storms = RetryStormGuard(
            context, settings.storm, self.session_ids.key, catalogue, front, pushes.on_storm_state_changed
        )
        self.migrations = SessionMigrations(
            context,
            settings.stitch.moves_at_once,
            round(settings.rules.drain_grace_ms * 1000),
            front,
            sessions,
            orders,
            self.server_registry,
            self.retry_storms,
            pushes,
        )
        self.idempotency = IdempotencyStore(context, front, sessions, lambda: opening.accounted)
        self.snapshots = SnapshotManager(
            context,
            front,
            self.retry_storms.weather,
            seats,
            self.idempotency,
            lambda: self.endpoint_tracker.version,
        )
        self.discovery = EndpointDiscovery(
            context, self.endpoint_tracker, front, self.server_registry, self.migrations, self.snapshots
        )
        self.actions = SessionActions(
            context, front, sessions, presence, orders, self.server_registry, seats, pushes
        )
        self._wire_parts()

    def _wire_parts(self) -> None:
        """What parts say to those that stand after them."""
        self.gates.append(self.retry_storms.before)
        self.server_registry.lost = self.migrations.on_server_lost
        self.commands.may_tell = self.migrations.may_tell
        self.commands.ready = lambda: self.server_registry.port.orders_ready()
        self.lifecycle.actions = self.actions.handlers
        self.actions.close_listeners = (
            lambda _: self.admission_controller.session_ended(),
            self.notifier.on_session_closed,
            self.idempotency.on_session_closed,
            self.seat_leases.on_session_closed,
            self.lifecycle.remove,
            lambda session: self.expiry.end(session.id),
            self.migrations.on_session_closed,
            self.content.over,
            self.lifecycle.remember_close_reason,
            self.server_registry.on_session_closed,
        )

    def use_slots(self, slots: SlotScheduler) -> None:
        """Set-ups wait for slots from now on."""
        self.slots = slots
        self.migrations.returned = self._moved
        self.actions.close_listeners = (*self.actions.close_listeners, slots.over)
        self.shown["fair"] = slots.status

    # What doors call.

    def try_admit(self, entry: Entry) -> SessionResponse | None:
        """Something wants in; the refusal to answer at once, or None where it is let in and counted."""
        with self.lock:
            ruling = self.admission_controller.ask(entry)
            if ruling is Entered.LET_IN:
                return None
            self.increment(f"refused_{entry.name.lower()}_{ruling.name.lower()}")
            return SessionResponse(ResponseKind.THROTTLED, TURNED_AWAY[ruling], self.retry_after_us())

    def retry_after_us(self) -> int:
        """When one that is turned away at the door should ask again."""
        with self.lock:
            return self.admission_controller.come_back_us(
                self.rng.random(), self.policy.settings.retry_after_us
            )

    def stop_admission(self) -> None:
        """This front is ending: nothing new comes in from now on."""
        with self.lock:
            self.admission_controller.turn(AdmissionEvent.STOP)

    def change_admission(self, turn: AdmissionEvent) -> dict[str, object]:
        """An operator drains this front or opens it again; what is so from now on."""
        with self.lock:
            phase = self.admission_controller.turn(turn)
            self.log_event("turned", turn=turn.name.lower(), phase=phase.name.lower())
            return {
                "front": self.settings.name,
                "phase": phase.name.lower(),
                "held": self.admission_controller.held,
                "waiting": self.admission_controller.waiting,
            }

    def status(self) -> dict[str, object]:
        """Figures for an operator, all of them this front's own."""
        with self.lock:
            return {
                "front": self.settings.name,
                "boot": self.session_ids.boot_id,
                "phase": self.admission_controller.phase.name.lower(),
                "connections": self.admission_controller.connections,
                "waiting": self.admission_controller.waiting,
                "held": self.admission_controller.held,
                "boxes_playing": sum(
                    1 for server in self.server_registry.records.values() if server.sessions
                ),
                "orders_waiting": self.commands.queue.count,
                "sockets": len(self.notifier.mailboxes),
                "list_version": self.endpoint_tracker.version,
                "list_age_ms": self.discovery.age_ms(),
                "storm": self.retry_storms.status(),
                "counts": dict(self.counts),
                "watch": self.shadow_policy.told() if self.shadow_policy is not None else None,
                **{name: show() for name, show in self.shown.items()},
            }

    def on_connection_closed(self) -> None:
        """A connection that was let in has gone."""
        with self.lock:
            self.admission_controller.connection_closed()

    def reserve_buffer(self, more_bytes: int) -> bool:
        """Count bytes read and not yet acted on; False where there is no room for them."""
        with self.lock:
            return self.admission_controller.buffer(more_bytes)

    def effective_timeout_us(self, limit_us: int) -> int:
        """How long an idle or slow connection may stay now."""
        with self.lock:
            return self.admission_controller.patience_us(limit_us)

    def request_session(self, ask: SessionRequest) -> tuple[Session | None, NextStep]:
        """A viewer asks; the session, and what to do first. Without a session the door is full.

        Raises:
            KeyError: a room type or title that the settings do not name.
        """
        service_class, (number, title) = self.service_classes[ask.service_class], self.titles[ask.title]
        now_us = self.clock.now_us()
        timeout_us = session_lifecycle.honest_timeout_us(
            ask.client_timeout_us, round(service_class.client_timeout_ms * 1000)
        )
        rates_kb = self.catalogue.rates_kb(ask.service_class)
        stated = (
            len(rates_kb) - 1
            if ask.requested_top_rung is None
            else min(ask.requested_top_rung, len(rates_kb) - 1)
        )
        top = load_signals.top_rung(rates_kb, stated, service_class.floor, ask.hints)
        work_us = session_lifecycle.time_to_answer_us(timeout_us)
        with self.lock:
            refusal = self.try_admit(Entry.REQUEST)
            if refusal is None and (refusal := self.try_admit(Entry.SUBSCRIPTION)) is not None:
                self.admission_controller.request_answered(0)
            if refusal is not None:
                return None, refusal
            damped = next(filter(None, (rule(ask, now_us) for rule in self.gates)), None)
            if damped is not None:
                self.admission_controller.request_answered(0)
                self.admission_controller.session_ended()
                self.increment("damped")
                return None, damped
            session = Session(
                self.session_ids.next_id(),
                ask.service_class,
                ask.title,
                service_class.floor,
                rates_kb,
                stated,
                now_us,
                now_us + work_us,
                top=top,
            )
            session.ask = ask
            self.lifecycle.add(session)
            self.increment("requests")
            request = Request(
                session.id,
                ask.service_class,
                number,
                title.first_cell,
                title.cells,
                top,
                work_us,
                ask.tenant,
                ask.again,
                ask.expected_watch_us,
            )
            try:
                if self.slots is not None:
                    self.slots.ask(session, request)
                else:
                    self.policy.handle(request, now_us)
                self.probes.wait(session)
            except Exception:
                # What failed once would fail again: without this each such request kept its place for ever,
                # and a front full of nothing refused everybody.
                self.admission_controller.request_answered(0)
                self.discard(session)
                raise
            return session, self._taken(session)

    def discard(self, session: Session) -> None:
        """Something failed in the middle of this one: hold nothing of it any more, whatever stage it is
        in."""
        with self.lock:
            for place in (session.home, session.pending_target):
                if place is not None and session.state is not SessionState.ENDED:
                    self.policy.sessions.pop(place.policy_id, None)
                    self.sessions_by_policy_id.pop(place.policy_id, None)
                    self.commands.send(place, session, None)
            self.policy.sessions.pop(session.id, None)
            if self.slots is not None:
                self.slots.drop(session)
            if self.sessions.get(session.id) is session:
                self.actions.close(session)
            session.state = SessionState.ENDED

    def on_attempt_completed(
        self, session: Session, attempt: int, outcome: Outcome, says: ServerHints | None, took_us: int
    ) -> NextStep | None:
        """The join that is out has ended so; what to do next, or None where nobody is owed anything."""
        with self.lock:
            out, stages = session.pending_target, (SessionState.JOINING, SessionState.ABANDONED)
            if out is None or out.attempt != attempt or session.state not in stages:
                return None
            now_us = self.clock.now_us()
            event = SessionEvent.FAILED
            if outcome is Outcome.SERVED:
                # In the very instant in which the front's time is over, the give-up counts: it is the side on
                # which the viewer surely still hears the answer.
                event = SessionEvent.SERVED if now_us < session.give_up_us else SessionEvent.SERVED_LATE
                if session.out_sent_us >= 0:
                    self.server_attempted(out.server, session.out_sent_us)
            self.retry_storms.on_attempt_completed(session, out.server, outcome, now_us)
            self.returned(session, attempt, outcome)
            counted = Outcome.NO_ANSWER if event is SessionEvent.SERVED_LATE else outcome
            session.last_result = AttemptResult(counted, says, took_us)
            session.may_be_held_by_server = attempt_exchange.may_need_release(outcome)
            self.increment(f"joins_{outcome.value}")
            self.lifecycle.apply(session, event)
            if self.slots is not None:
                self.slots.pump()
            return self._taken(session) if session.step is not None else None

    def returned(self, session: Session, attempt: int, outcome: Outcome) -> None:
        """A join is over, and its slot is back."""
        if self.slots is not None:
            self.slots.give_back(session, attempt, outcome)

    def _moved(self, session: Session, attempt: int, outcome: Outcome) -> None:
        self.returned(session, attempt, outcome)
        if self.slots is not None:
            self.slots.pump()

    def on_client_gone(self, session: Session) -> None:
        """The viewer hung up before its answer, or its answer could not be written."""
        with self.lock:
            self.lifecycle.apply(session, SessionEvent.VIEWER_GONE)

    def on_shutdown(self, session: Session) -> NextStep | None:
        """This front ends and waits no longer for the join that is out."""
        with self.lock:
            self.lifecycle.apply(session, SessionEvent.STOPPED)
            return self._taken(session) if session.step is not None else None

    def on_client_report(
        self, id: str, says: ClientHints, stated_top: int | None = None
    ) -> SessionView | None:
        """A playing viewer gives a sign of life, with what it says; None where it does not play."""
        with self.lock:
            session = self.sessions.get(id)
            if session is None or session.state is not SessionState.PLAYING:
                return None
            now_us = self.clock.now_us()
            self.expiry.hear(id, now_us)
            if stated_top is not None:
                session.requested_top_rung = min(stated_top, len(session.rates_kb) - 1)
            server = self.server_registry.records.get(session.server) if not session.adrift else None
            rate_kb = session.rates_kb[session.rung]
            share = load_signals.starving_share(says, rate_kb)
            if server is not None:
                server.delivery.hear(id, share, now_us)
                self.server_registry.evaluate_delivery(server, now_us)
            if share is None or server is None or not server.is_blamed:
                top = load_signals.adjusted_top_rung(
                    session.rates_kb, session.requested_top_rung, session.top, session.floor, says
                )
                if top != session.top:
                    self.actions.set_top_rung(session, top)
            return self.view(session)

    def view(self, session: Session) -> SessionView:
        """What the viewer may know."""
        return SessionView(
            session.id,
            session.title,
            session.service_class,
            session.server,
            session.rung,
            session.top,
            session.rates_kb[session.rung],
            self.expiry.poll_every_us(),
            self.seat_leases.remaining_us(session.id),
        )

    def close_reason(self, id: str) -> str | None:
        """Why a subscription ended, where that is still known."""
        with self.lock:
            return self.lifecycle.close_reasons.get(id)

    def close_silent_sessions(self) -> None:
        """End what is watched by nobody; called every so often."""
        with self.lock:
            for id in self.expiry.silent(self.clock.now_us()):
                session = self.sessions.get(id)
                if session is not None:
                    session.close_reason = "its viewer fell silent"
                    self.increment("silent")
                    self.lifecycle.apply(session, SessionEvent.RELEASED)

    # Effects: what the module asks for.

    def start_attempt(self, id: str, server: str, allow_us: int) -> None:
        session = self.sessions_by_policy_id[id]
        place = AttemptTarget(server, session.attempt_count, id, len(self.policy.sessions[id].attempts) - 1)
        session.pending_target = place
        session.attempt_count += 1
        self.increment("joins")
        blocked = not (
            (session.attempt_count < 2 or self.may_attempt_again()) and self.retry_storms.enter(server)
        )
        if self.slots is not None and not blocked:
            blocked = not self.slots.take(session, server, place.attempt)
        session.out_sent_us = -1 if blocked else self.clock.now_us()
        if session.home is not None:
            self.migrations.send_attempt(
                SendAttempt(session, place.attempt, server, session.pending_rung, allow_us, blocked)
            )
            return
        left_us = session.give_up_us - self.clock.now_us()
        allow_us = max(1, min(allow_us, left_us))
        session.step = SendAttempt(session, place.attempt, server, session.pending_rung, allow_us, blocked)
        self.lifecycle.apply(session, SessionEvent.JOIN)

    def set_rung(self, id: str, rung: int) -> None:
        session = self.sessions_by_policy_id[id]
        if session.home is None or session.home.policy_id != id:
            session.pending_rung = rung
            return
        changed = session.rung != rung
        session.rung = rung
        if changed and session.state is SessionState.PLAYING:
            self.notifier.on_rung_changed(session)
        if session.state is SessionState.PLAYING and not session.adrift:
            self.commands.send(session.home, session, rung)

    def reject(self, id: str, wait_us: int) -> None:
        session = self.sessions_by_policy_id[id]
        if session.home is not None:
            self.migrations.on_attempt_refused(session, id)
            return
        if self.slots is not None and self.slots.waits_on(session):
            return
        why = "no holder has room" if not session.attempt_count else "no further holder may be tried"
        session.step = self.retry_storms.refused(session, why, wait_us)
        self.lifecycle.apply(session, SessionEvent.THROTTLE)

    def fail(self, id: str) -> None:
        session = self.sessions_by_policy_id[id]
        if session.home is not None:
            self.migrations.on_attempt_refused(session, id)
            return
        session.step = SessionResponse(ResponseKind.FAILED, "a join may have run and must not be repeated")
        self.lifecycle.apply(session, SessionEvent.TERMINATE)

    def migrate(self, id: str) -> None:
        self.log_event("move_asked", subscription=id)

    def probe(self, server: str) -> None:
        self.probes.probe(server)

    def send_peer_message(self, front: int, said: PeerMessage) -> None:
        self.probes.tell(front, said)

    def set_timer(self, name: int, delay_us: int) -> None:
        self.timers.after(delay_us, lambda: self._fire(name))

    def watch_list(self) -> None:
        self.discovery.source.watch()

    def fetch_list(self) -> None:
        self.discovery.source.fetch()

    def _fire(self, name: int) -> None:
        with self.lock:
            self.policy.handle(TimerFired(name), self.clock.now_us())
            self.probes.moved()

    # Sessions.

    def _taken(self, session: Session) -> NextStep:
        step, session.step = session.step, None
        assert step is not None
        return step

    def on_response_sent(self, session: Session) -> None:
        """The door has the answer of a session that was let in and will hand it on."""
        with self.lock:
            self.admission_controller.request_answered(self.clock.now_us() - session.received_us)
