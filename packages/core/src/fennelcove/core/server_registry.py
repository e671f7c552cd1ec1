"""What the core holds of boxes: where something plays, whether their reports are heard, what they still
hold."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from fennelcove.core.session_adoption import SessionAdoption
from fennelcove.core.context import CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import ServerGateway, Session
from fennelcove.decisions.servers import event_stream, load_signals
from fennelcove.decisions.fleet import recovery_admission
from fennelcove.decisions.servers.event_stream import StreamLifecycle
from fennelcove.decisions.servers.load_signals import DeliveryMonitor, ServerHints
from fennelcove.decisions.clients.session_lifecycle import SessionEvent
from fennelcove.interface import ListUpdate, SessionReport, ReportKind, ServerState
from fennelcove.placement import PlacementPolicy
from fennelcove.wire.boxes import Held


@dataclass(slots=True, eq=False)
class ServerRecord:
    """What the core holds of one box while something plays there, or may."""

    address: str
    sessions: dict[str, Session] = field(default_factory=dict)
    stream: StreamLifecycle = field(default_factory=StreamLifecycle)
    delivery: DeliveryMonitor = field(default_factory=DeliveryMonitor)
    generation: int = 0
    stream_opened_us: int = 0
    idle_count: int = 0
    is_blamed: bool = False


class ServerRegistry:
    """The core's part that concerns boxes; the core's lock is round all of it. Attach `port` and `lost`
    first: what plays at a box that is gone moves on, or ends."""

    def __init__(
        self,
        context: CoreContext,
        recovery: recovery_admission.RecoveryAdmission,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        adoption: SessionAdoption,
    ) -> None:
        self.context = context
        self.opening = recovery
        self.policy = policy
        self.lifecycle = lifecycle
        self.adoption = adoption
        self.port: ServerGateway
        self.lost: Callable[[Session], None] = lambda session: None
        self.records: dict[str, ServerRecord] = {}
        self.generation_count = 0
        self.greeted_attempts: frozenset[tuple[str, int]] = frozenset()
        self.greeters: set[str] = set()  # boxes that have greeted this life of the front
        self.heard_up: Callable[[str, float | None], None] = lambda address, up_ms: None
        self.recovery_finished = threading.Event()
        self.stream_actions: dict[event_stream.StreamAction, Callable[[ServerRecord], None]] = {
            event_stream.StreamAction.OPEN_FEED: self._open_stream,
            event_stream.StreamAction.CLOSE_FEED: self._close_stream,
            event_stream.StreamAction.PAUSE: self._schedule_reopen,
            event_stream.StreamAction.LINGER: self._schedule_expiry,
            event_stream.StreamAction.FORGET: self._remove,
            event_stream.StreamAction.LOSE_ALL: self._report_all_lost,
            event_stream.StreamAction.LOSE_UNKNOWN: self._report_unknown_lost,
        }

    def on_session_established(self, session: Session) -> None:
        """A subscription plays at its box from now on."""
        server = self.records.setdefault(session.server, ServerRecord(session.server))
        server.sessions[session.id] = session
        if len(server.sessions) == 1:
            self.run_stream_actions(
                server, server.stream.apply(event_stream.StreamEvent.HELD, self.context.now_us())
            )

    def on_session_closed(self, session: Session) -> None:
        """It has ended there, if it played at all."""
        server = self.records.get(session.server)
        if server is not None and server.sessions.pop(session.id, None) is not None:
            server.delivery.forget(session.id)
            if not server.sessions:
                self.run_stream_actions(
                    server, server.stream.apply(event_stream.StreamEvent.NONE_HELD, self.context.now_us())
                )

    def on_hello(
        self, address: str, generation: int, boot: str, held: Sequence[Held], up_ms: float | None = None
    ) -> None:
        """A box greets on its feed and names the joins that it holds for this front, and for how long it has
        been up."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            if server is None:
                return
            now_us = self.context.now_us()
            self.greeters.add(address)
            self.heard_up(address, up_ms)
            self.greeted_attempts = frozenset((item.subscription, item.join) for item in held)
            self.run_stream_actions(server, server.stream.greet(boot, now_us))
            for item in held:
                session = self.adoption.claim(address, item)
                if session is not None:
                    server.sessions[session.id] = session
            self._finish_greeting(server, now_us)

    def _finish_greeting(self, server: ServerRecord, now_us: int) -> None:
        self.opening.settled(server.address, now_us)
        if not server.sessions and self.records.get(server.address) is server:
            self.run_stream_actions(server, server.stream.apply(event_stream.StreamEvent.NONE_HELD, now_us))
        if self.opening.accounted:
            self.recovery_finished.set()

    def on_load_report(
        self, address: str, generation: int, says: ServerHints, delivered: float | None
    ) -> None:
        """A box reports its load, and what share of the rates it delivers."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            carrier = next(iter(server.sessions.values()), None) if server is not None else None
            if server is not None and carrier is not None:
                self.forward_hints(carrier, says)
                if delivered is not None:
                    self.forward_report(carrier, ReportKind.DELIVERED, delivered)

    def on_session_ended(self, address: str, generation: int, id: str, attempt: int) -> None:
        """A box says that it plays a subscription no more."""
        with self.context.lock:
            session = self.lifecycle.held.get(id)
            if (
                self._record_of_stream(address, generation)
                and session is not None
                and session.home is not None
                and session.home.attempt == attempt
            ):
                session.close_reason, session.may_be_held_by_server = "ended at its box", False
                self.lifecycle.apply(session, SessionEvent.RELEASED)

    def on_stream_closed(self, address: str, generation: int, refused: bool) -> None:
        """A feed broke, fell silent or could not be opened."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            if server is not None:
                now_us = self.context.now_us()
                event = event_stream.StreamEvent.REFUSED if refused else event_stream.StreamEvent.CUT
                self.run_stream_actions(server, server.stream.apply(event, now_us))
                if refused:
                    self._finish_greeting(server, now_us)

    def greet_all(self, update: ListUpdate, now_us: int) -> None:
        """Ask every box on the first list what it still holds for this front."""
        addresses = {entry.address for entry in update.entries if entry.standing is not ServerState.LEFT}
        self.opening.listed(addresses, now_us)
        for address in sorted(addresses):
            server = self.records.setdefault(address, ServerRecord(address))
            self.run_stream_actions(server, server.stream.apply(event_stream.StreamEvent.HELD, now_us))

    def wait_until_recovered(self) -> None:
        """Wait until this front knows what it holds, or for as long as that may take."""
        while True:
            with self.context.lock:
                left_us = self.opening.left_us(self.context.now_us())
                if self.opening.accounted:
                    return
                if left_us == 0:
                    self.opening.apply(recovery_admission.RecoveryEvent.TIME, self.context.now_us())
                    continue
            self.recovery_finished.wait(min(0.05, left_us / 1e6))

    def forward_hints(self, session: Session, says: ServerHints) -> None:
        report = load_signals.load_report(says)
        if report is not None and report.link is not None:
            self.forward_report(session, ReportKind.LINK, report.link)
        if report is not None and report.uplink is not None:
            self.forward_report(session, ReportKind.UPLINK, report.uplink)

    def forward_report(self, session: Session, kind: ReportKind, level: float) -> None:
        """Hand a note to the module."""
        place = session.home
        if place is not None and not session.adrift:
            self.policy.handle(
                SessionReport(place.policy_id, place.server, kind, level), self.context.now_us()
            )

    def evaluate_delivery(self, server: ServerRecord, now_us: int) -> None:
        """The note of short delivery that viewers' hints amount to, and the one that it is over."""
        window_us = self.policy.settings.seen_after_us + self.policy.settings.reports_every_us
        short = server.delivery.short_delivery(now_us - window_us)
        carrier = next(iter(server.sessions.values()))
        if short is not None:
            server.is_blamed = True
            self.context.tally("boxes_blamed_by_viewers")
            self.forward_report(carrier, ReportKind.DELIVERED, short)
        elif server.is_blamed:
            server.is_blamed = False
            self.forward_report(carrier, ReportKind.DELIVERED, 1.0)

    def _record_of_stream(self, address: str, generation: int) -> ServerRecord | None:
        server = self.records.get(address)
        return server if server is not None and server.generation == generation else None

    def run_stream_actions(self, server: ServerRecord, acts: Iterable[event_stream.StreamAction]) -> None:
        for act in acts:
            self.stream_actions[act](server)

    def _open_stream(self, server: ServerRecord) -> None:
        self.generation_count += 1
        server.generation, server.stream_opened_us = self.generation_count, self.context.now_us()
        self.port.open_feed(server.address, server.generation)

    def _close_stream(self, server: ServerRecord) -> None:
        self.port.close_feed(server.address)

    def _schedule_expiry(self, server: ServerRecord) -> None:
        server.idle_count += 1
        since = server.idle_count

        def expire() -> None:
            with self.context.lock:
                if (
                    self.records.get(server.address) is server
                    and server.idle_count == since
                    and not server.sessions
                ):
                    self.run_stream_actions(
                        server, server.stream.apply(event_stream.StreamEvent.EXPIRED, self.context.now_us())
                    )

        self.context.timers.after(event_stream.LINGER_US, expire)

    def _remove(self, server: ServerRecord) -> None:
        self.records.pop(server.address, None)

    def _schedule_reopen(self, server: ServerRecord) -> None:
        def retry() -> None:
            with self.context.lock:
                if self.records.get(server.address) is server:
                    self.run_stream_actions(
                        server, server.stream.apply(event_stream.StreamEvent.RETRY, self.context.now_us())
                    )

        self.context.timers.after(server.stream.pause_us(self.context.rng.random()), retry)

    def _report_all_lost(self, server: ServerRecord) -> None:
        if server.sessions:
            self.context.notice("box_lost", box=server.address, subscriptions=len(server.sessions))
        else:
            self._finish_greeting(server, self.context.now_us())
        for session in list(server.sessions.values()):
            self.lost(session)

    def _report_unknown_lost(self, server: ServerRecord) -> None:
        for session in list(server.sessions.values()):
            # What began while the greeting was under way is not in it and is not lost.
            unknown = session.home is None or (session.id, session.home.attempt) not in self.greeted_attempts
            if unknown and session.established_us < server.stream_opened_us:
                session.close_reason = "its box knows it no more"
                self.lost(session)
