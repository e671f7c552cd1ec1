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
    playing: dict[str, Session] = field(default_factory=dict)
    feed: StreamLifecycle = field(default_factory=StreamLifecycle)
    ear: DeliveryMonitor = field(default_factory=DeliveryMonitor)
    generation: int = 0
    opened_us: int = 0
    idle_count: int = 0
    blamed: bool = False


class ServerRegistry:
    """The core's part that concerns boxes; the core's lock is round all of it. Attach `port` and `lost`
    first: what plays at a box that is gone moves on, or ends."""

    def __init__(
        self,
        context: CoreContext,
        opening: recovery_admission.RecoveryAdmission,
        front: PlacementPolicy,
        lifecycle: SessionLifecycle,
        adoptions: SessionAdoption,
    ) -> None:
        self.context = context
        self.opening = opening
        self.front = front
        self.lifecycle = lifecycle
        self.adoptions = adoptions
        self.port: ServerGateway
        self.lost: Callable[[Session], None] = lambda session: None
        self.servers: dict[str, ServerRecord] = {}
        self.generations = 0
        self.greeted: frozenset[tuple[str, int]] = frozenset()
        self.greeters: set[str] = set()  # boxes that have greeted this life of the front
        self.heard_up: Callable[[str, float | None], None] = lambda address, up_ms: None
        self.open = threading.Event()
        self.acts: dict[event_stream.StreamAction, Callable[[ServerRecord], None]] = {
            event_stream.StreamAction.OPEN_FEED: self._open_feed,
            event_stream.StreamAction.CLOSE_FEED: self._close_feed,
            event_stream.StreamAction.PAUSE: self._pause_feed,
            event_stream.StreamAction.LINGER: self._linger,
            event_stream.StreamAction.FORGET: self._forget,
            event_stream.StreamAction.LOSE_ALL: self._lose_all,
            event_stream.StreamAction.LOSE_UNKNOWN: self._lose_unknown,
        }

    def plays(self, session: Session) -> None:
        """A subscription plays at its box from now on."""
        server = self.servers.setdefault(session.server, ServerRecord(session.server))
        server.playing[session.id] = session
        if len(server.playing) == 1:
            self.feed(server, server.feed.apply(event_stream.StreamEvent.HELD, self.context.now_us()))

    def plays_no_more(self, session: Session) -> None:
        """It has ended there, if it played at all."""
        server = self.servers.get(session.server)
        if server is not None and server.playing.pop(session.id, None) is not None:
            server.ear.forget(session.id)
            if not server.playing:
                self.feed(
                    server, server.feed.apply(event_stream.StreamEvent.NONE_HELD, self.context.now_us())
                )

    def hello(
        self, address: str, generation: int, boot: str, held: Sequence[Held], up_ms: float | None = None
    ) -> None:
        """A box greets on its feed and names the joins that it holds for this front, and for how long it has
        been up."""
        with self.context.lock:
            server = self._feed_of(address, generation)
            if server is None:
                return
            now_us = self.context.now_us()
            self.greeters.add(address)
            self.heard_up(address, up_ms)
            self.greeted = frozenset((item.subscription, item.join) for item in held)
            self.feed(server, server.feed.greet(boot, now_us))
            for item in held:
                session = self.adoptions.claim(address, item)
                if session is not None:
                    server.playing[session.id] = session
            self._settle(server, now_us)

    def _settle(self, server: ServerRecord, now_us: int) -> None:
        self.opening.settled(server.address, now_us)
        if not server.playing and self.servers.get(server.address) is server:
            self.feed(server, server.feed.apply(event_stream.StreamEvent.NONE_HELD, now_us))
        if self.opening.accounted:
            self.open.set()

    def report(self, address: str, generation: int, says: ServerHints, delivered: float | None) -> None:
        """A box reports its load, and what share of the rates it delivers."""
        with self.context.lock:
            server = self._feed_of(address, generation)
            carrier = next(iter(server.playing.values()), None) if server is not None else None
            if server is not None and carrier is not None:
                self.notes(carrier, says)
                if delivered is not None:
                    self.note(carrier, ReportKind.DELIVERED, delivered)

    def ended(self, address: str, generation: int, id: str, attempt: int) -> None:
        """A box says that it plays a subscription no more."""
        with self.context.lock:
            session = self.lifecycle.held.get(id)
            if (
                self._feed_of(address, generation)
                and session is not None
                and session.home is not None
                and session.home.attempt == attempt
            ):
                session.ended_because, session.server_may_hold = "ended at its box", False
                self.lifecycle.apply(session, SessionEvent.RELEASED)

    def cut(self, address: str, generation: int, refused: bool) -> None:
        """A feed broke, fell silent or could not be opened."""
        with self.context.lock:
            server = self._feed_of(address, generation)
            if server is not None:
                now_us = self.context.now_us()
                event = event_stream.StreamEvent.REFUSED if refused else event_stream.StreamEvent.CUT
                self.feed(server, server.feed.apply(event, now_us))
                if refused:
                    self._settle(server, now_us)

    def greet_all(self, update: ListUpdate, now_us: int) -> None:
        """Ask every box on the first list what it still holds for this front."""
        addresses = {entry.address for entry in update.entries if entry.standing is not ServerState.LEFT}
        self.opening.listed(addresses, now_us)
        for address in sorted(addresses):
            server = self.servers.setdefault(address, ServerRecord(address))
            self.feed(server, server.feed.apply(event_stream.StreamEvent.HELD, now_us))

    def wait_open(self) -> None:
        """Wait until this front knows what it holds, or for as long as that may take."""
        while True:
            with self.context.lock:
                left_us = self.opening.left_us(self.context.now_us())
                if self.opening.accounted:
                    return
                if left_us == 0:
                    self.opening.apply(recovery_admission.RecoveryEvent.TIME, self.context.now_us())
                    continue
            self.open.wait(min(0.05, left_us / 1e6))

    def notes(self, session: Session, says: ServerHints) -> None:
        report = load_signals.load_report(says)
        if report is not None and report.link is not None:
            self.note(session, ReportKind.LINK, report.link)
        if report is not None and report.uplink is not None:
            self.note(session, ReportKind.UPLINK, report.uplink)

    def note(self, session: Session, kind: ReportKind, level: float) -> None:
        """Hand a note to the module."""
        place = session.home
        if place is not None and not session.adrift:
            self.front.handle(
                SessionReport(place.module_id, place.server, kind, level), self.context.now_us()
            )

    def judge(self, server: ServerRecord, now_us: int) -> None:
        """The note of short delivery that viewers' hints amount to, and the one that it is over."""
        window_us = self.front.settings.seen_after_us + self.front.settings.reports_every_us
        short = server.ear.short_delivery(now_us - window_us)
        carrier = next(iter(server.playing.values()))
        if short is not None:
            server.blamed = True
            self.context.tally("boxes_blamed_by_viewers")
            self.note(carrier, ReportKind.DELIVERED, short)
        elif server.blamed:
            server.blamed = False
            self.note(carrier, ReportKind.DELIVERED, 1.0)

    def _feed_of(self, address: str, generation: int) -> ServerRecord | None:
        server = self.servers.get(address)
        return server if server is not None and server.generation == generation else None

    def feed(self, server: ServerRecord, acts: Iterable[event_stream.StreamAction]) -> None:
        for act in acts:
            self.acts[act](server)

    def _open_feed(self, server: ServerRecord) -> None:
        self.generations += 1
        server.generation, server.opened_us = self.generations, self.context.now_us()
        self.port.open_feed(server.address, server.generation)

    def _close_feed(self, server: ServerRecord) -> None:
        self.port.close_feed(server.address)

    def _linger(self, server: ServerRecord) -> None:
        server.idle_count += 1
        since = server.idle_count

        def expire() -> None:
            with self.context.lock:
                if (
                    self.servers.get(server.address) is server
                    and server.idle_count == since
                    and not server.playing
                ):
                    self.feed(
                        server, server.feed.apply(event_stream.StreamEvent.EXPIRED, self.context.now_us())
                    )

        self.context.timers.after(event_stream.LINGER_US, expire)

    def _forget(self, server: ServerRecord) -> None:
        self.servers.pop(server.address, None)

    def _pause_feed(self, server: ServerRecord) -> None:
        def retry() -> None:
            with self.context.lock:
                if self.servers.get(server.address) is server:
                    self.feed(
                        server, server.feed.apply(event_stream.StreamEvent.RETRY, self.context.now_us())
                    )

        self.context.timers.after(server.feed.pause_us(self.context.rng.random()), retry)

    def _lose_all(self, server: ServerRecord) -> None:
        if server.playing:
            self.context.notice("box_lost", box=server.address, subscriptions=len(server.playing))
        else:
            self._settle(server, self.context.now_us())
        for session in list(server.playing.values()):
            self.lost(session)

    def _lose_unknown(self, server: ServerRecord) -> None:
        for session in list(server.playing.values()):
            # What began while the greeting was under way is not in it and is not lost.
            unknown = session.home is None or (session.id, session.home.attempt) not in self.greeted
            if unknown and session.playing_since_us < server.opened_us:
                session.ended_because = "its box knows it no more"
                self.lost(session)
