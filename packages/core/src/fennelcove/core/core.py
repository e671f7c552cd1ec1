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
        self.notice = notice
        self.names = names or SessionIds()
        self.rng = Random(settings.seed)
        context = self.context = CoreContext(clock, timers, notice, self.rng)
        self.lock, self.counts, self.tally = context.lock, context.counts, context.tally
        catalogue = self.catalogue = Catalogue(settings)
        self.service_classes, self.titles = catalogue.service_classes, catalogue.titles
        told, now_us = module_settings(settings), clock.now_us()
        self.front = PlacementPolicy(told, settings.seed, self, now_us)
        self.watched: ShadowedPolicy | None = None
        if settings.watch is not None:
            other = module_settings(settings, settings.watch)
            self.front = self.watched = ShadowedPolicy(told, other, settings.seed, self, now_us)
        front = self.front
        self.keeper = EndpointListTracker()
        self.may_attempt_again: Callable[[], bool] = lambda: True
        self.gates: list[
            Callable[[SessionRequest, int], SessionResponse | None]
        ] = []  # who is refused at the door, in order
        # A box has answered a join well that was sent then.
        self.server_attempted: Callable[[str, int], None] = lambda server, sent_us: None
        self.shown: dict[str, Callable[[], object]] = {}  # figures of others that belong into the status
        self.slots: SlotScheduler | None = None  # where slots are shared out among tenants
        self.passes: list[Mac] = []  # the keys of viewers' passes, the newest first
        self.passes_needed = settings.viewers.key_file is not None
        # The parts, each handed those before it that it needs.
        most, ramp_us = settings.limits, round(settings.rules.ramp_ms * 1000)
        opening = RecoveryAdmission(now_us, settings.recovery is not None, ramp_us)
        self.gate = AdmissionController(
            AdmissionLimits(most.connections, most.waiting, most.held, most.buffered_bytes)
        )
        presence = self.presence = SessionExpiry(round(settings.limits.silent_ms * 1000))
        sessions = self.lifecycle = SessionLifecycle(context, front)
        self.sessions, self.by_module, self.release = sessions.held, sessions.by_module, sessions.release
        orders = self.orders = CommandDispatcher(context, most.held)
        self.news = ProbeCoordinator(context, front)
        seats = self.seats = SeatLeaseManager(context, catalogue, sessions)
        pushes = self.pushes = ClientNotifier(
            context, settings.websocket.subscriptions, self.passes_needed, sessions, presence, self.view
        )
        self.stitches = ContentInsertion(context, settings.stitch, catalogue, front, sessions, orders, pushes)
        adoptions = SessionAdoption(
            context, front, catalogue, self.names, self.gate, sessions, presence, orders, seats, self.stitches
        )
        self.book = ServerRegistry(context, opening, front, sessions, adoptions)
        self.storms = RetryStormGuard(
            context, settings.storm, self.names.key, catalogue, front, pushes.weather
        )
        self.moves = SessionMigrations(
            context,
            settings.stitch.moves_at_once,
            round(settings.rules.drain_grace_ms * 1000),
            front,
            sessions,
            orders,
            self.book,
            self.storms,
            pushes,
        )
        self.repeats = IdempotencyStore(context, front, sessions, lambda: opening.accounted)
        self.memories = SnapshotManager(
            context, front, self.storms.weather, seats, self.repeats, lambda: self.keeper.version
        )
        self.lists = EndpointDiscovery(context, self.keeper, front, self.book, self.moves, self.memories)
        self.course = SessionActions(context, front, sessions, presence, orders, self.book, seats, pushes)
        self._wire_parts()

    def _wire_parts(self) -> None:
        """What parts say to those that stand after them."""
        self.gates.append(self.storms.before)
        self.book.lost = self.moves.lost
        self.orders.may_tell = self.moves.may_tell
        self.orders.ready = lambda: self.book.port.orders_ready()
        self.lifecycle.acts = self.course.acts
        self.course.over = (
            lambda _: self.gate.session_ended(),
            self.pushes.ended,
            self.repeats.ended,
            self.seats.over,
            self.lifecycle.drop,
            lambda session: self.presence.end(session.id),
            self.moves.over,
            self.stitches.over,
            self.lifecycle.remember,
            self.book.plays_no_more,
        )

    def use_slots(self, slots: SlotScheduler) -> None:
        """Set-ups wait for slots from now on."""
        self.slots = slots
        self.moves.returned = self._moved
        self.course.over = (*self.course.over, slots.over)
        self.shown["fair"] = slots.status

    # What doors call.

    def enter(self, entry: Entry) -> SessionResponse | None:
        """Something wants in; the refusal to answer at once, or None where it is let in and counted."""
        with self.lock:
            ruling = self.gate.ask(entry)
            if ruling is Entered.LET_IN:
                return None
            self.tally(f"refused_{entry.name.lower()}_{ruling.name.lower()}")
            return SessionResponse(ResponseKind.THROTTLED, TURNED_AWAY[ruling], self.come_back_us())

    def come_back_us(self) -> int:
        """When one that is turned away at the door should ask again."""
        with self.lock:
            return self.gate.come_back_us(self.rng.random(), self.front.settings.retry_after_us)

    def stop_entries(self) -> None:
        """This front is ending: nothing new comes in from now on."""
        with self.lock:
            self.gate.turn(AdmissionEvent.STOP)

    def turn(self, turn: AdmissionEvent) -> dict[str, object]:
        """An operator drains this front or opens it again; what is so from now on."""
        with self.lock:
            phase = self.gate.turn(turn)
            self.notice("turned", turn=turn.name.lower(), phase=phase.name.lower())
            return {
                "front": self.settings.name,
                "phase": phase.name.lower(),
                "held": self.gate.held,
                "waiting": self.gate.waiting,
            }

    def status(self) -> dict[str, object]:
        """Figures for an operator, all of them this front's own."""
        with self.lock:
            return {
                "front": self.settings.name,
                "boot": self.names.boot,
                "phase": self.gate.phase.name.lower(),
                "connections": self.gate.connections,
                "waiting": self.gate.waiting,
                "held": self.gate.held,
                "boxes_playing": sum(1 for server in self.book.servers.values() if server.playing),
                "orders_waiting": self.orders.orders.count,
                "sockets": len(self.pushes.mailboxes),
                "list_version": self.keeper.version,
                "list_age_ms": self.lists.age_ms(),
                "storm": self.storms.status(),
                "counts": dict(self.counts),
                "watch": self.watched.told() if self.watched is not None else None,
                **{name: show() for name, show in self.shown.items()},
            }

    def leave(self) -> None:
        """A connection that was let in has gone."""
        with self.lock:
            self.gate.connection_closed()

    def buffer(self, more_bytes: int) -> bool:
        """Count bytes read and not yet acted on; False where there is no room for them."""
        with self.lock:
            return self.gate.buffer(more_bytes)

    def patience_us(self, limit_us: int) -> int:
        """How long an idle or slow connection may stay now."""
        with self.lock:
            return self.gate.patience_us(limit_us)

    def ask(self, ask: SessionRequest) -> tuple[Session | None, NextStep]:
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
        stated = len(rates_kb) - 1 if ask.stated_top is None else min(ask.stated_top, len(rates_kb) - 1)
        top = load_signals.top_rung(rates_kb, stated, service_class.floor, ask.says)
        work_us = session_lifecycle.time_to_answer_us(timeout_us)
        with self.lock:
            refusal = self.enter(Entry.REQUEST)
            if refusal is None and (refusal := self.enter(Entry.SUBSCRIPTION)) is not None:
                self.gate.request_answered(0)
            if refusal is not None:
                return None, refusal
            damped = next(filter(None, (rule(ask, now_us) for rule in self.gates)), None)
            if damped is not None:
                self.gate.request_answered(0)
                self.gate.session_ended()
                self.tally("damped")
                return None, damped
            session = Session(
                self.names.next(),
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
            self.lifecycle.begin(session)
            self.tally("requests")
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
                ask.watch_guess_us,
            )
            try:
                if self.slots is not None:
                    self.slots.ask(session, request)
                else:
                    self.front.handle(request, now_us)
                self.news.wait(session)
            except Exception:
                # What failed once would fail again: without this each such request kept its place for ever,
                # and a front full of nothing refused everybody.
                self.gate.request_answered(0)
                self.discard(session)
                raise
            return session, self._taken(session)

    def discard(self, session: Session) -> None:
        """Something failed in the middle of this one: hold nothing of it any more, whatever stage it is
        in."""
        with self.lock:
            for place in (session.home, session.out):
                if place is not None and session.stage is not SessionState.ENDED:
                    self.front.sessions.pop(place.module_id, None)
                    self.by_module.pop(place.module_id, None)
                    self.orders.tell(place, session, None)
            self.front.sessions.pop(session.id, None)
            if self.slots is not None:
                self.slots.drop(session)
            if self.sessions.get(session.id) is session:
                self.course.forget(session)
            session.stage = SessionState.ENDED

    def on_attempt_completed(
        self, session: Session, attempt: int, outcome: Outcome, says: ServerHints | None, took_us: int
    ) -> NextStep | None:
        """The join that is out has ended so; what to do next, or None where nobody is owed anything."""
        with self.lock:
            out, stages = session.out, (SessionState.JOINING, SessionState.ABANDONED)
            if out is None or out.attempt != attempt or session.stage not in stages:
                return None
            now_us = self.clock.now_us()
            event = SessionEvent.FAILED
            if outcome is Outcome.SERVED:
                # In the very instant in which the front's time is over, the give-up counts: it is the side on
                # which the viewer surely still hears the answer.
                event = SessionEvent.SERVED if now_us < session.give_up_us else SessionEvent.SERVED_LATE
                if session.out_sent_us >= 0:
                    self.server_attempted(out.server, session.out_sent_us)
            self.storms.on_attempt_completed(session, out.server, outcome, now_us)
            self.returned(session, attempt, outcome)
            counted = Outcome.NO_ANSWER if event is SessionEvent.SERVED_LATE else outcome
            session.end = AttemptResult(counted, says, took_us)
            session.server_may_hold = attempt_exchange.may_need_release(outcome)
            self.tally(f"joins_{outcome.value}")
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

    def viewer_gone(self, session: Session) -> None:
        """The viewer hung up before its answer, or its answer could not be written."""
        with self.lock:
            self.lifecycle.apply(session, SessionEvent.VIEWER_GONE)

    def stopped(self, session: Session) -> NextStep | None:
        """This front ends and waits no longer for the join that is out."""
        with self.lock:
            self.lifecycle.apply(session, SessionEvent.STOPPED)
            return self._taken(session) if session.step is not None else None

    def hear_viewer(self, id: str, says: ClientHints, stated_top: int | None = None) -> SessionView | None:
        """A playing viewer gives a sign of life, with what it says; None where it does not play."""
        with self.lock:
            session = self.sessions.get(id)
            if session is None or session.stage is not SessionState.PLAYING:
                return None
            now_us = self.clock.now_us()
            self.presence.hear(id, now_us)
            if stated_top is not None:
                session.stated_top = min(stated_top, len(session.rates_kb) - 1)
            server = self.book.servers.get(session.server) if not session.adrift else None
            rate_kb = session.rates_kb[session.rung]
            share = load_signals.starving_share(says, rate_kb)
            if server is not None:
                server.ear.hear(id, share, now_us)
                self.book.judge(server, now_us)
            if share is None or server is None or not server.blamed:
                top = load_signals.adjusted_top_rung(
                    session.rates_kb, session.stated_top, session.top, session.floor, says
                )
                if top != session.top:
                    self.course.tell_top(session, top)
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
            self.presence.poll_every_us(),
            self.seats.left_us(session.id),
        )

    def why_ended(self, id: str) -> str | None:
        """Why a subscription ended, where that is still known."""
        with self.lock:
            return self.lifecycle.ended.get(id)

    def sweep(self) -> None:
        """End what is watched by nobody; called every so often."""
        with self.lock:
            for id in self.presence.silent(self.clock.now_us()):
                session = self.sessions.get(id)
                if session is not None:
                    session.ended_because = "its viewer fell silent"
                    self.tally("silent")
                    self.lifecycle.apply(session, SessionEvent.RELEASED)

    # Effects: what the module asks for.

    def start_attempt(self, id: str, server: str, allow_us: int) -> None:
        session = self.by_module[id]
        place = AttemptTarget(server, session.attempts, id, len(self.front.sessions[id].attempts) - 1)
        session.out = place
        session.attempts += 1
        self.tally("joins")
        blocked = not ((session.attempts < 2 or self.may_attempt_again()) and self.storms.enter(server))
        if self.slots is not None and not blocked:
            blocked = not self.slots.take(session, server, place.attempt)
        session.out_sent_us = -1 if blocked else self.clock.now_us()
        if session.home is not None:
            self.moves.send(SendAttempt(session, place.attempt, server, session.out_rung, allow_us, blocked))
            return
        left_us = session.give_up_us - self.clock.now_us()
        allow_us = max(1, min(allow_us, left_us))
        session.step = SendAttempt(session, place.attempt, server, session.out_rung, allow_us, blocked)
        self.lifecycle.apply(session, SessionEvent.JOIN)

    def set_rung(self, id: str, rung: int) -> None:
        session = self.by_module[id]
        if session.home is None or session.home.module_id != id:
            session.out_rung = rung
            return
        changed = session.rung != rung
        session.rung = rung
        if changed and session.stage is SessionState.PLAYING:
            self.pushes.rung(session)
        if session.stage is SessionState.PLAYING and not session.adrift:
            self.orders.tell(session.home, session, rung)

    def reject(self, id: str, wait_us: int) -> None:
        session = self.by_module[id]
        if session.home is not None:
            self.moves.refused(session, id)
            return
        if self.slots is not None and self.slots.waits_on(session):
            return
        why = "no holder has room" if not session.attempts else "no further holder may be tried"
        session.step = self.storms.refused(session, why, wait_us)
        self.lifecycle.apply(session, SessionEvent.THROTTLE)

    def fail(self, id: str) -> None:
        session = self.by_module[id]
        if session.home is not None:
            self.moves.refused(session, id)
            return
        session.step = SessionResponse(
            ResponseKind.TERMINATED, "a join may have run and must not be repeated"
        )
        self.lifecycle.apply(session, SessionEvent.TERMINATE)

    def migrate(self, id: str) -> None:
        self.notice("move_asked", subscription=id)

    def probe(self, server: str) -> None:
        self.news.probe(server)

    def send_peer_message(self, front: int, said: PeerMessage) -> None:
        self.news.tell(front, said)

    def set_timer(self, name: int, delay_us: int) -> None:
        self.timers.after(delay_us, lambda: self._fire(name))

    def watch_list(self) -> None:
        self.lists.source.watch()

    def fetch_list(self) -> None:
        self.lists.source.fetch()

    def _fire(self, name: int) -> None:
        with self.lock:
            self.front.handle(TimerFired(name), self.clock.now_us())
            self.news.moved()

    # Sessions.

    def _taken(self, session: Session) -> NextStep:
        step, session.step = session.step, None
        assert step is not None
        return step

    def answered(self, session: Session) -> None:
        """The door has the answer of a session that was let in and will hand it on."""
        with self.lock:
            self.gate.request_answered(self.clock.now_us() - session.asked_us)
