"""A front's side of releases: what it is now, what it sees, where its promises are kept, how it goes out."""

from __future__ import annotations

import os
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from zlib import crc32

import msgspec
from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.core.core import Core
from fennelcove.core.requests import EventLogger
from fennelcove.core.rollout_coordinator import RolloutCoordinator, ServerObservation
from fennelcove.decisions.clients.admission import AdmissionEvent, AdmissionState
from fennelcove.decisions.clients.retry_storm import StormState as Weather
from fennelcove.decisions.fleet.recovery_admission import RecoveryState as Opening
from fennelcove.interface import ServerState
from fennelcove.placement import Server
from fennelcove.rollouts.coordinator import FrontStatus, PersistedState, RolloutAgreement, RolloutSettings
from fennelcove.rollouts.disruption_budget import DisruptionLimit, FleetLimits, Location
from fennelcove.rollouts.messages import ServingState
from fennelcove.settings.schema import FrontSettings, ReleaseSettings
from fennelcove.store.directory import Store
from msgspec import Struct

KEY = b"releases"
FOLDER = "promises"  # in the front's store: a store of its own, written at once
MOST_MB = 4
MOST_PLACE = 0x7FFF  # what a message can name
# A join that fails so says something of the front, or of its settings; a box that is full does not.
FAILED = ("server_error", "no_answer", "no_connection", "connection_lost")
WEATHER = {phase: number for number, phase in enumerate(Weather)}


class Kept(Struct, frozen=True, array_like=True):
    """What is safe in the folder."""

    life: int
    memory: PersistedState


_DECODER: msgspec.msgpack.Decoder[Kept] = msgspec.msgpack.Decoder(Kept)
_ENCODER = msgspec.msgpack.Encoder()


def zone(name: str) -> int:
    """A hall's number, the same at all fronts."""
    return crc32(name.encode()) & MOST_PLACE


class Promises:
    """The folder of one front's promises; without a folder nothing outlives the process, and the next life
    waits instead.
    """

    def __init__(self, settings: FrontSettings, wall_us: int, notice: EventLogger) -> None:
        self.notice = notice
        self.store: Store | None = None
        self.memory: PersistedState | None = None
        self.life = wall_us // 1000
        if settings.store is None:
            return
        self.store = Store(f"{settings.store.folder}/{FOLDER}", MOST_MB, settings.name)
        raw = self.store.values.get(KEY)
        if raw is None:
            return
        try:
            kept = _DECODER.decode(raw)
        except msgspec.MsgspecError as error:
            notice("promises_unread", reason=str(error))
            return
        # A clock that went back must not begin a life that the others hold to be over.
        self.life, self.memory = max(self.life, kept.life + 1), kept.memory

    def keep(self, memory: PersistedState) -> bool:
        """Whether it is safe now."""
        if self.store is None:
            return True
        try:
            self.store.commit([(KEY, _ENCODER.encode(Kept(self.life, memory)))])
            if self.store.needs_checkpoint:
                self.store.checkpoint()
        except OSError as error:
            self.notice("promises_not_kept", reason=str(error))
            return False
        return True

    def close(self) -> None:
        """Give the folder back."""
        if self.store is not None:
            self.store.close()


class RolloutService:
    """Owns the thread of releases. `start` and `stop` with the front; `opened` once its door is open."""

    def __init__(
        self,
        settings: FrontSettings,
        told: ReleaseSettings,
        core: Core,
        timers: Timers,
        clock: Clock,
        notice: EventLogger,
        end: Callable[[], None],
    ) -> None:
        self.told = told
        self.core = core
        self.timers = timers
        self.clock = clock
        self.notice = notice
        self.end = end
        self.level: Callable[[], int] = lambda: 0
        self.opening: Callable[[], Opening] = lambda: Opening.OPEN
        self.is_open = self.ending = False
        self.served_from_us: int | None = None
        self.joined_us: dict[str, int] = {}  # when the last join was sent that each box has answered well
        self.promises = Promises(settings, clock.wall_us(), notice)
        self.book = RolloutCoordinator(
            self._agreement(settings, told),
            round(told.beat_ms * 1000),
            self.mine,
            self.servers,
            self.promises.keep,
            clock,
            Random(f"{settings.seed}/releases"),
            notice,
        )
        self.book.leave_service, self.book.take_server_out = self.leave, self.take_server
        core.attempts.set_served_listener(self.server_attempted)
        core.status_reporter.add_section("releases", self.status)
        self.thread = threading.Thread(target=self.book.run, name="releases")

    def _agreement(self, settings: FrontSettings, told: ReleaseSettings) -> RolloutAgreement:
        instance = settings.instance
        halls = told.halls or [instance.zone] * instance.fronts
        limits = FleetLimits(
            DisruptionLimit(told.fronts_out, told.fronts_out_hall, capacity_margin=told.margin),
            DisruptionLimit(told.boxes_out, told.boxes_out_hall, told.boxes_out_title, told.margin),
        )
        beat_us, window_us, silent_us, show_us = (
            round(ms * 1000) for ms in (told.beat_ms, told.window_ms, told.silent_ms, told.show_ms)
        )
        terms = RolloutSettings(
            instance.fronts, instance.index, beat_us, window_us, silent_us, drain_visible_us=show_us
        )
        places = tuple(Location(zone(name), 1.0, told.front_load) for name in halls)
        now_us = self.clock.now_us()
        return RolloutAgreement(terms, limits, places, self.promises.life, now_us, self.promises.memory)

    def start(self) -> None:
        """Begin to speak: the door may still be shut."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread and give the folder back."""
        self.book.stop()
        self.thread.join()
        self.promises.close()

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        return {"version": self.told.version, **self.book.status()}

    # What it is and sees; called on the thread of releases.

    def mine(self) -> FrontStatus:
        """What this front is now. What it turns away since it drains says nothing about its version."""
        with self.core.lock:
            phase, counts, weather = (
                self.core.admission_controller.state,
                Counter(self.core.counts),
                self.core.retry_storms.detector,
            )
            opening = self.opening()
            storm, level = WEATHER[weather.state], self.level()
        away = counts["damped"] + counts["refused_request_full"] + counts["refused_subscription_full"]
        stands = ServingState.SERVING if phase is AdmissionState.OPEN else ServingState.DRAINING
        if stands is ServingState.SERVING and (
            not self.is_open or opening not in (Opening.OPEN, Opening.RATIONED)
        ):
            stands = ServingState.STARTING
        now_us = self.clock.now_us()
        if stands is ServingState.SERVING and self.served_from_us is None:
            self.served_from_us = now_us
        since_us = now_us if self.served_from_us is None else self.served_from_us
        return FrontStatus(
            stands,
            self.told.version,
            (now_us - since_us) // 1_000_000,
            requested=counts["requests"] + away,
            served=counts["playing"],
            refused=counts["throttled"] + away,
            failed=sum(counts[f"joins_{how}"] for how in FAILED),
            shedding_level=level,
            storm_phase=storm,
        )

    def server_attempted(self, address: str, sent_us: int) -> None:
        """A box has answered a join well that was sent then; the core's lock is round it."""
        self.joined_us[address] = max(sent_us, self.joined_us.get(address, 0))

    def servers(self) -> Mapping[int, ServerObservation]:
        """All boxes by their cells. Where two share one, a cell names no box: then none may be taken out."""
        found: dict[int, ServerObservation] = {}
        with self.core.lock:
            servers = [s for s in self.core.policy.servers.values() if s.state is not ServerState.LEFT]
            cells = Counter(server.cell for server in servers)
            if not servers or max(cells.values()) > 1 or max(cells) > MOST_PLACE:
                return {}
            now_us = self.core.policy.now_us = self.clock.now_us()
            for server in servers:
                found[server.cell] = self._sight(server, now_us)
            known = {server.address for server in servers}
            for address in self.joined_us.keys() - known:
                del self.joined_us[address]
        return found

    def _sight(self, server: Server, now_us: int) -> ServerObservation:
        front, core = self.core.policy, self.core
        warm = not front.is_warming_up(server)
        titles = frozenset(
            number
            for number, title in core.catalogue.titles.values()
            if (server.cell - title.first_cell) % front.settings.cell_count < title.cells
        )
        size_kb = server.link.capacity_kb
        load_kb = min(size_kb, (server.link.report or 0.0) * size_kb)
        place = Location(zone(server.zone), size_kb, load_kb, titles, warm)
        attempted_us = self.joined_us.get(server.address)
        well = warm and server.state is ServerState.ACTIVE and now_us >= server.suspended_until_us
        if well and attempted_us is not None and attempted_us >= server.started_us:
            return ServerObservation(place, True, attempted_us)
        # Nothing but an answer to what was sent tells of a time: a report may have lain anywhere.
        return ServerObservation(place, False, now_us if not well else server.started_us)

    # How it goes out.

    def leave(self, version: int) -> bool:
        """Take nothing new from now on, and end so that the supervisor starts this version."""
        try:
            write_whole(Path(self.told.wanted), f"{version}\n")
        except OSError as error:
            self.notice("wanted_not_written", file=self.told.wanted, reason=str(error))
            return False
        self.notice("release_leaves", version=version)
        self.core.admission.change_state(AdmissionEvent.DRAIN)
        if not self.ending:
            self.ending = True
            if not self.timers.after(round(self.told.drain_ms * 1000), self.end):
                self.end()  # no timer is left: better at once than never
        return True

    def take_server(self, cell: int) -> bool:
        """Tell whoever keeps the list that this box may be drained now: a line in a file beside `wanted`."""
        with self.core.lock:
            found = [s.address for s in self.core.policy.servers.values() if s.cell == cell]
        if not found:
            return False
        try:
            write_whole(Path(f"{self.told.wanted}.box"), f"{found[0]}\n")
        except OSError as error:
            self.notice("wanted_not_written", file=f"{self.told.wanted}.box", reason=str(error))
            return False
        self.notice("release_takes_box", box=found[0], cell=cell)
        return True


def write_whole(path: Path, text: str) -> None:
    """Whole or not at all, and safe when it returns.

    Raises:
        OSError: it can't be written.
    """
    fresh = path.with_name(path.name + ".new")
    with fresh.open("w", encoding="ascii") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
