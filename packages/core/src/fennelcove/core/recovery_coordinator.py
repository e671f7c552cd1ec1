"""The core's part that brings service back in order after a start. It is handed what it needs; the core's
lock is round it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.requests import ResponseKind, SessionResponse, SessionRequest, EventLogger
from fennelcove.decisions.fleet.recovery_admission import RequestKind, AdmissionDecision, RecoveryState
from fennelcove.decisions.fleet.slow_start_allocation import LEAST_WAIT_US, SlowStartAllocation
from fennelcove.interface import Effect, ListEntry, ListMode, ListUpdate, ServerState
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import FrontSettings, RecoverySettings

LOOK_US = 250_000  # how often it is counted how many places are cold
AGAIN_US = 1_000_000  # and up to as much again, so that not all fronts ask a box at once
WORDS = {
    RecoveryState.DARK: "this front has no list of boxes yet",
    RecoveryState.ASKING: "this front asks its boxes what plays",
    RecoveryState.SETTLING: "some boxes have not said what plays there",
    RecoveryState.RATIONED: "boxes are warming up; a greater benefit goes first",
}


class RecoveryCoordinator:
    """Who comes in while a start is under way, what boxes say of their age, and the list that was kept."""

    def __init__(
        self,
        settings: FrontSettings,
        told: RecoverySettings,
        front: PlacementPolicy,
        book: ServerRegistry,
        clock: Clock,
        rng: Random,
        notice: EventLogger,
    ) -> None:
        self.told = told
        self.front = front
        self.book = book
        self.clock = clock
        self.rng = rng
        self.notice = notice
        self.service_classes = {service_class.name: service_class for service_class in settings.room_types}
        self.titles = {title.name: title for title in settings.titles}
        self.cells = settings.fleet.cells
        self.most_us = front.settings.retry_after_us
        self.ration = SlowStartAllocation()
        self.fronts: Callable[[], float] = lambda: settings.instance.fronts  # that share a cold box
        self.state = book.opening
        self.looked_us = -LOOK_US
        self.shown = RecoveryState.DARK
        self.entries: dict[str, ListEntry] = {}  # the list in force, for the store
        self.started: dict[str, int] = {}  # since when boxes are up, by their own word
        self.kept: tuple[ListEntry, ...] = ()  # the list of the last life
        self.stands_in = False
        self.again_us = 0  # when absent boxes are asked again
        self.listed: Callable[[], None] = lambda: None  # memories of boxes wait for a list
        self.opened: Callable[[], None] = lambda: None  # accounts are settled
        self.was_accounted = False
        book.heard_up = self.heard_up

    # The door.

    def before(self, ask: SessionRequest, now_us: int) -> SessionResponse | None:
        """One asks: the refusal to give at once, or None where it is let in."""
        self.look(now_us)
        service_class = self.service_classes[ask.service_class]
        accounted = service_class.seats > 0 or service_class.effect == Effect.SINGLE_SHOT.value
        let = self.state.entry(RequestKind.ACCOUNTED if accounted else RequestKind.PLAIN)
        if let is AdmissionDecision.IN:
            return None
        wait_us: int | None = LEAST_WAIT_US
        if let is AdmissionDecision.RATIONED:
            pace = self._pace(ask.title)
            if pace is None or not self.told.by_benefit:
                return None
            wait_us = self.ration.ask(
                ask.title, service_class.benefit, pace, self.most_us, now_us, self.rng.random()
            )
        if wait_us is None:
            return None
        return SessionResponse(ResponseKind.THROTTLED, WORDS[self.state.phase], wait_us)

    def _pace(self, title: str) -> float | None:
        """The turns a second that a title's holders give this front; None where one of them is warm."""
        told, total = self.titles[title], 0.0
        fronts = max(1.0, self.fronts())
        for i in range(min(told.cells, self.cells)):
            for server in self.front.replicas.get((told.first_cell + i) % self.cells, ()):
                if server.standing is not ServerState.ACTIVE:
                    continue
                if not self.front.is_cold(server):
                    return None
                now_us = self.clock.now_us()
                # The pace is what the turns of the next second will be.
                total += self.front.turns(server, now_us + 1_000_000) - self.front.turns(server, now_us)
        return total / fronts

    def look(self, now_us: int) -> None:
        """Move on by time, and by how many places are cold."""
        due = self.state.phase is not RecoveryState.OPEN and self.state.left_us(now_us) == 0
        if now_us - self.looked_us < LOOK_US and not due:
            return  # counted anew for each request, a fleet's boxes would cost more than its answer
        self.looked_us, self.front.now_us = now_us, now_us
        cold = places = 0
        for server in self.front.servers.values():
            if server.standing is ServerState.ACTIVE:
                places += server.streams_most
                cold += server.streams_most * self.front.is_cold(server)
        self.state.advance(2 * cold > places, now_us)
        self._ask_again(now_us)
        if self.state.accounted and not self.was_accounted:
            self.was_accounted = True
            self.opened()
        if self.state.phase is not self.shown:
            was, self.shown = self.shown, self.state.phase
            self.notice(
                "comeback", phase=self.shown.name.lower(), was=was.name.lower(), cold=cold, places=places
            )
            if self.stands_in and was is RecoveryState.ASKING:
                self._tell_kept()

    # The list.

    def hear_list(self, update: ListUpdate) -> ListUpdate:
        """A list has come: of two words on a box's start the younger counts, and the box's own stands beside
        every list. One restored from a copy took boxes for warm that had just begun."""
        if update.mode is ListMode.FULL:
            self.entries.clear()
            self.stands_in = False
        entries = tuple(self._younger(entry) for entry in update.entries)
        self.entries.update((entry.address, entry) for entry in entries)
        for entry in entries:
            if entry.standing is ServerState.LEFT:
                self.entries.pop(entry.address, None)
                self.started.pop(entry.address, None)
        return replace(update, entries=entries)

    def _younger(self, entry: ListEntry) -> ListEntry:
        own = self.started.get(entry.address, 0)
        return replace(entry, started_us=own) if own > entry.started_us else entry

    def heard_up(self, address: str, up_ms: float | None) -> None:
        """A box says for how long it has been up; None where it says nothing."""
        now_us = self.clock.now_us()
        if up_ms is not None:
            self.started[address] = max(1, now_us - round(up_ms * 1000))
        entry = self.entries.get(address)
        if self.stands_in and self.state.phase is not RecoveryState.ASKING:
            entry = next((kept for kept in self.kept if kept.address == address), None)
            if entry is not None and address not in self.started:
                entry = replace(entry, started_us=now_us)
        if entry is None:
            return
        younger = self._younger(entry)
        known = self.front.servers.get(address)
        if known is None or younger.started_us > known.started_us + LOOK_US:
            self.front.handle(ListUpdate(ListMode.INCREMENTAL, (younger,)), now_us)

    def stand_in(self) -> None:
        """No list has come for a while: the boxes of the last one are asked, and those that answer count."""
        if not self.kept or self.entries or not self.told.kept_list:
            return
        self.stands_in = True
        self.notice("kept_list", boxes=len(self.kept))
        self.book.greet_all(ListUpdate(ListMode.SAVED, self.kept), self.clock.now_us())

    def _ask_again(self, now_us: int) -> None:
        """Boxes of the kept list that were down when asked: no list will tell when they are back."""
        if not self.stands_in or self.state.phase is RecoveryState.ASKING or now_us < self.again_us:
            return
        self.again_us = now_us + round(AGAIN_US * (1 + self.rng.random()))
        absent = tuple(entry for entry in self.kept if entry.address not in self.book.greeters)
        self.book.greet_all(ListUpdate(ListMode.SAVED, absent), now_us)

    def _tell_kept(self) -> None:
        now_us = self.clock.now_us()
        answered = tuple(
            replace(entry, started_us=self.started.get(entry.address, now_us))
            for entry in self.kept
            if entry.address in self.book.greeters
        )
        if answered:
            self.front.handle(ListUpdate(ListMode.FULL, answered), now_us)
            self.listed()

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        now_us = self.clock.now_us()
        return {
            "phase": self.state.phase.name.lower(),
            "left_ms": self.state.left_us(now_us) / 1000,
            "boxes_due": len(self.state.due),
            "kept_list": self.stands_in,
            "entered": [[phase.name.lower(), (now_us - at) / 1000] for phase, at in self.state.entered],
        }
