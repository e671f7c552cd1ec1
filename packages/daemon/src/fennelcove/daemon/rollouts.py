"""A front's part in rollouts: its status, observations of servers, persisted state and restart."""

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
from fennelcove.decisions.clients.retry_storm import StormState
from fennelcove.decisions.fleet.recovery_admission import RecoveryState
from fennelcove.interface import ServerState
from fennelcove.placement import Server
from fennelcove.rollouts.coordinator import FrontStatus, PersistedState, RolloutAgreement, RolloutSettings
from fennelcove.rollouts.disruption_budget import DisruptionLimit, FleetLimits, Location
from fennelcove.rollouts.messages import ServingState
from fennelcove.settings.schema import FrontSettings, ReleaseSettings
from fennelcove.store.directory import Store
from msgspec import Struct

KEY = b"releases"
# A separate store inside the folder of the front's store, because its writes are synchronous.
STORE_FOLDER = "promises"
MAX_STORE_MB = 4
MAX_PLACE_NUMBER = 0x7FFF  # the largest place number that a rollout message can carry
# Outcomes of attempts that may be the fault of the front's version or settings; a full server is not.
FRONT_FAILURES = ("server_error", "no_answer", "no_connection", "connection_lost")
STORM_PHASE_NUMBERS = {phase: number for number, phase in enumerate(StormState)}


class StoredRollouts(Struct, frozen=True, array_like=True):
    """The stored record: the front's incarnation and the state of the rollout protocol."""

    incarnation: int
    state: PersistedState


_DECODER: msgspec.msgpack.Decoder[StoredRollouts] = msgspec.msgpack.Decoder(StoredRollouts)
_ENCODER = msgspec.msgpack.Encoder()


def zone_number(name: str) -> int:
    """The number of a zone in rollout messages, which is the same at all fronts."""
    return crc32(name.encode()) & MAX_PLACE_NUMBER


class RolloutStateStore:
    """The persisted rollout state of one front: the promises that it has made to other fronts.

    Without a store nothing is persisted, and the next incarnation waits until old promises have expired.
    """

    def __init__(self, settings: FrontSettings, wall_us: int, log_event: EventLogger) -> None:
        self.log_event = log_event
        self.store: Store | None = None
        self.state: PersistedState | None = None
        self.incarnation = wall_us // 1000
        if settings.store is None:
            return
        self.store = Store(f"{settings.store.folder}/{STORE_FOLDER}", MAX_STORE_MB, settings.name)
        raw = self.store.values.get(KEY)
        if raw is None:
            return
        try:
            stored = _DECODER.decode(raw)
        except msgspec.MsgspecError as error:
            log_event("promises_unread", reason=str(error))
            return
        # After a clock step backwards the incarnation must still increase: the others ignore older ones.
        self.incarnation, self.state = max(self.incarnation, stored.incarnation + 1), stored.state

    def persist(self, state: PersistedState) -> bool:
        """Persist the state; return whether it is on disk."""
        if self.store is None:
            return True
        try:
            self.store.commit([(KEY, _ENCODER.encode(StoredRollouts(self.incarnation, state)))])
            if self.store.needs_checkpoint:
                self.store.checkpoint()
        except OSError as error:
            self.log_event("promises_not_kept", reason=str(error))
            return False
        return True

    def close(self) -> None:
        """Close the store."""
        if self.store is not None:
            self.store.close()


class RolloutService:
    """Owns the rollout thread. Set `is_open` once the front accepts client connections."""

    def __init__(
        self,
        settings: FrontSettings,
        release_settings: ReleaseSettings,
        core: Core,
        timers: Timers,
        clock: Clock,
        log_event: EventLogger,
        request_shutdown: Callable[[], None],
    ) -> None:
        self.release_settings = release_settings
        self.core = core
        self.timers = timers
        self.clock = clock
        self.log_event = log_event
        self.request_shutdown = request_shutdown
        self.shedding_level: Callable[[], int] = lambda: 0
        self.recovery_state: Callable[[], RecoveryState] = lambda: RecoveryState.OPEN
        self.is_open = self.is_ending = False
        self.serving_since_us: int | None = None
        # When the last successful attempt at each server was sent.
        self.served_attempt_us: dict[str, int] = {}
        self.state_store = RolloutStateStore(settings, clock.wall_us(), log_event)
        self.coordinator = RolloutCoordinator(
            self._agreement(settings, release_settings),
            round(release_settings.beat_ms * 1000),
            self.own_status,
            self.observe_servers,
            self.state_store.persist,
            clock,
            Random(f"{settings.seed}/releases"),
            log_event,
        )
        self.coordinator.leave_service, self.coordinator.take_server_out = (
            self.leave_service,
            self.take_server_out,
        )
        core.attempts.set_served_listener(self.on_attempt_served)
        core.status_reporter.add_section("releases", self.status)
        self.thread = threading.Thread(target=self.coordinator.run, name="releases")

    def _agreement(self, settings: FrontSettings, release_settings: ReleaseSettings) -> RolloutAgreement:
        instance = settings.instance
        zone_names = release_settings.halls or [instance.zone] * instance.fronts
        limits = FleetLimits(
            DisruptionLimit(
                release_settings.fronts_out,
                release_settings.fronts_out_hall,
                capacity_margin=release_settings.margin,
            ),
            DisruptionLimit(
                release_settings.boxes_out,
                release_settings.boxes_out_hall,
                release_settings.boxes_out_title,
                release_settings.margin,
            ),
        )
        heartbeat_us, window_us, silent_us, drain_visible_us = (
            round(ms * 1000)
            for ms in (
                release_settings.beat_ms,
                release_settings.window_ms,
                release_settings.silent_ms,
                release_settings.show_ms,
            )
        )
        rollout_settings = RolloutSettings(
            instance.fronts,
            instance.index,
            heartbeat_us,
            window_us,
            silent_us,
            drain_visible_us=drain_visible_us,
        )
        locations = tuple(
            Location(zone_number(name), 1.0, release_settings.front_load) for name in zone_names
        )
        now_us = self.clock.now_us()
        return RolloutAgreement(
            rollout_settings, limits, locations, self.state_store.incarnation, now_us, self.state_store.state
        )

    def start(self) -> None:
        """Start the thread, which may be before client connections are accepted."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread and close the store."""
        self.coordinator.stop()
        self.thread.join()
        self.state_store.close()

    def status(self) -> dict[str, object]:
        """The version and the rollout's state, for the status that operators read."""
        return {"version": self.release_settings.version, **self.coordinator.status()}

    # Status and observations; called on the rollout thread.

    def own_status(self) -> FrontStatus:
        """This front's current status.

        Requests rejected because the front drains are not counted: they say nothing about its version.
        """
        with self.core.lock:
            admission_state, counts, storm_detector = (
                self.core.admission_controller.state,
                Counter(self.core.counts),
                self.core.retry_storms.detector,
            )
            recovery_state = self.recovery_state()
            storm_phase, shedding_level = STORM_PHASE_NUMBERS[storm_detector.state], self.shedding_level()
        rejected = counts["damped"] + counts["refused_request_full"] + counts["refused_subscription_full"]
        serving_state = (
            ServingState.SERVING if admission_state is AdmissionState.OPEN else ServingState.DRAINING
        )
        if serving_state is ServingState.SERVING and (
            not self.is_open or recovery_state not in (RecoveryState.OPEN, RecoveryState.RATIONED)
        ):
            serving_state = ServingState.STARTING
        now_us = self.clock.now_us()
        if serving_state is ServingState.SERVING and self.serving_since_us is None:
            self.serving_since_us = now_us
        since_us = now_us if self.serving_since_us is None else self.serving_since_us
        return FrontStatus(
            serving_state,
            self.release_settings.version,
            (now_us - since_us) // 1_000_000,
            requested=counts["requests"] + rejected,
            served=counts["playing"],
            refused=counts["throttled"] + rejected,
            failed=sum(counts[f"joins_{outcome}"] for outcome in FRONT_FAILURES),
            shedding_level=shedding_level,
            storm_phase=storm_phase,
        )

    def on_attempt_served(self, address: str, sent_us: int) -> None:
        """An attempt sent at this time succeeded; called under the core's lock."""
        self.served_attempt_us[address] = max(sent_us, self.served_attempt_us.get(address, 0))

    def observe_servers(self) -> Mapping[int, ServerObservation]:
        """All servers by cell; empty if two share a cell, as a cell then identifies no server to take out."""
        found: dict[int, ServerObservation] = {}
        with self.core.lock:
            servers = [s for s in self.core.policy.servers.values() if s.state is not ServerState.LEFT]
            cells = Counter(server.cell for server in servers)
            if not servers or max(cells.values()) > 1 or max(cells) > MAX_PLACE_NUMBER:
                return {}
            now_us = self.core.policy.now_us = self.clock.now_us()
            for server in servers:
                found[server.cell] = self._observe(server, now_us)
            known = {server.address for server in servers}
            for address in self.served_attempt_us.keys() - known:
                del self.served_attempt_us[address]
        return found

    def _observe(self, server: Server, now_us: int) -> ServerObservation:
        policy, core = self.core.policy, self.core
        is_warm = not policy.is_warming_up(server)
        titles = frozenset(
            number
            for number, title in core.catalogue.titles.values()
            if (server.cell - title.first_cell) % policy.settings.cell_count < title.cells
        )
        capacity_kb = server.link.capacity_kb
        load_kb = min(capacity_kb, (server.link.report or 0.0) * capacity_kb)
        location = Location(zone_number(server.zone), capacity_kb, load_kb, titles, is_warm)
        served_us = self.served_attempt_us.get(server.address)
        is_usable = is_warm and server.state is ServerState.ACTIVE and now_us >= server.suspended_until_us
        if is_usable and served_us is not None and served_us >= server.started_us:
            return ServerObservation(location, True, served_us)
        # Only a response proves that the server worked after a known time: a report may have been delayed.
        return ServerObservation(location, False, now_us if not is_usable else server.started_us)

    # Taking this front or a server out of service.

    def leave_service(self, version: int) -> bool:
        """Drain and shut down, so that the supervisor starts this version."""
        try:
            write_atomically(Path(self.release_settings.wanted), f"{version}\n")
        except OSError as error:
            self.log_event("wanted_not_written", file=self.release_settings.wanted, reason=str(error))
            return False
        self.log_event("release_leaves", version=version)
        self.core.admission.change_state(AdmissionEvent.DRAIN)
        if not self.is_ending:
            self.is_ending = True
            if not self.timers.after(round(self.release_settings.drain_ms * 1000), self.request_shutdown):
                self.request_shutdown()  # no timer is free: shut down at once
        return True

    def take_server_out(self, cell: int) -> bool:
        """Permit the drain of a server by writing its address to a file beside `wanted`."""
        with self.core.lock:
            found = [s.address for s in self.core.policy.servers.values() if s.cell == cell]
        if not found:
            return False
        try:
            write_atomically(Path(f"{self.release_settings.wanted}.box"), f"{found[0]}\n")
        except OSError as error:
            self.log_event(
                "wanted_not_written", file=f"{self.release_settings.wanted}.box", reason=str(error)
            )
            return False
        self.log_event("release_takes_box", box=found[0], cell=cell)
        return True


def write_atomically(path: Path, text: str) -> None:
    """Replace the contents of a file atomically and sync them to the disk.

    Raises:
        OSError: the file can't be written.
    """
    temporary_path = path.with_name(path.name + ".new")
    with temporary_path.open("w", encoding="ascii") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.replace(path)
