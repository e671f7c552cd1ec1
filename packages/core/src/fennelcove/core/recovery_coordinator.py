"""Recovery after a front's start: admission, servers' start times, and the stored endpoint list.

The caller of every method holds the core's lock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger, ResponseKind, SessionRequest, SessionResponse
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.decisions.fleet.recovery_admission import AdmissionDecision, RecoveryState, RequestKind
from fennelcove.decisions.fleet.slow_start_allocation import MIN_RETRY_AFTER_US, SlowStartAllocation
from fennelcove.interface import Effect, ListEntry, ListMode, ListUpdate, ServerState
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import FrontSettings, RecoverySettings

CAPACITY_CHECK_INTERVAL_US = 250_000
START_TOLERANCE_US = 250_000  # by how much reports of the same start of a server may differ
POLL_INTERVAL_US = (
    1_000_000  # a random time of up to as much is added, so that fronts don't poll a server at once
)
RATE_WINDOW_US = 1_000_000
REJECTION_REASONS = {
    RecoveryState.DARK: "this front has no list of boxes yet",
    RecoveryState.ASKING: "this front asks its boxes what plays",
    RecoveryState.SETTLING: "some boxes have not said what plays there",
    RecoveryState.RATIONED: "boxes are warming up; a greater benefit goes first",
}


@dataclass(frozen=True, slots=True)
class FleetCapacity:
    """The streams that active servers can serve, and how many of these are at servers in slow start."""

    max_streams: int
    warming_up: int

    def is_mostly_warming_up(self) -> bool:
        """Return whether more than half of the capacity is at servers in slow start."""
        return 2 * self.warming_up > self.max_streams


@dataclass(frozen=True, slots=True)
class RecoveryStatus:
    """The `comeback` section of the status; the field names are keys of the status JSON.

    Attributes:
        phase: The recovery state.
        left_ms: The time left until the state times out.
        boxes_due: The number of servers that have not reported their sessions.
        kept_list: Whether the stored endpoint list is in use.
        entered: The name of each state entered, and how many milliseconds ago that was.
    """

    phase: str
    left_ms: float
    boxes_due: int
    kept_list: bool
    entered: list[list[str | float]]


class RecoveryCoordinator:
    """Admission during recovery, the start times that servers report, and the stored endpoint list.

    The owner assigns `front_count` (the number of fronts that share a server in slow start), `stored_list`,
    and the callbacks `on_list_applied` (an endpoint list is in force) and `on_sessions_accounted` (every
    session is accounted for). It calls `advance` often, and `use_stored_list` if no list arrives for a while.
    """

    def __init__(
        self,
        settings: FrontSettings,
        recovery_settings: RecoverySettings,
        policy: PlacementPolicy,
        registry: ServerRegistry,
        clock: Clock,
        rng: Random,
        log: EventLogger,
    ) -> None:
        self._settings = recovery_settings
        self._policy = policy
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._log = log
        self._service_classes = {service_class.name: service_class for service_class in settings.room_types}
        self._titles = {title.name: title for title in settings.titles}
        self._cell_count = settings.fleet.cells
        self._max_wait_us = policy.settings.retry_after_us
        self._allocation = SlowStartAllocation()
        self.state = registry.recovery
        self._logged_state = RecoveryState.DARK
        self._was_accounted = False
        self._capacity_checked_us = -CAPACITY_CHECK_INTERVAL_US
        self.front_count: Callable[[], float] = lambda: settings.instance.fronts
        self.list_entries: dict[str, ListEntry] = {}  # the list in force, by address
        self._reported_starts: dict[str, int] = {}  # when servers started, by their own reports
        self.stored_list: tuple[ListEntry, ...] = ()
        self._uses_stored_list = False
        self._next_poll_us = 0  # of servers of the stored list that have not answered
        self.on_list_applied: Callable[[], None] = lambda: None
        self.on_sessions_accounted: Callable[[], None] = lambda: None
        registry.on_uptime = self.on_uptime_reported

    # Admission.

    def check_request(self, request: SessionRequest, now_us: int) -> SessionResponse | None:
        """Return the rejection of a request, or None if it is admitted."""
        self.advance(now_us)
        service_class = self._service_classes[request.service_class]
        is_accounted = service_class.seats > 0 or service_class.effect == Effect.SINGLE_SHOT.value
        decision = self.state.decide(RequestKind.ACCOUNTED if is_accounted else RequestKind.PLAIN)
        if decision is AdmissionDecision.ADMIT:
            return None
        wait_us: int | None = MIN_RETRY_AFTER_US
        if decision is AdmissionDecision.BY_PRIORITY:
            wait_us = self._rationed_wait_us(request.title, service_class.benefit, now_us)
        if wait_us is None:
            return None
        return SessionResponse(ResponseKind.REJECTED, REJECTION_REASONS[self.state.state], wait_us)

    def _rationed_wait_us(self, title: str, priority_weight: float, now_us: int) -> int | None:
        """Return after how long to retry a request while servers warm up; None if it is admitted."""
        rate = self._slow_start_rate(title)
        if rate is None or not self._settings.by_benefit:
            return None
        draw = self._rng.random()
        return self._allocation.retry_after_us(title, priority_weight, rate, self._max_wait_us, now_us, draw)

    def _slow_start_rate(self, title: str) -> float | None:
        """Return the set-ups per second that a title's replicas accept from this front.

        None if one of them is not in slow start.
        """
        title_settings, total = self._titles[title], 0.0
        front_count = max(1.0, self.front_count())
        for offset in range(min(title_settings.cells, self._cell_count)):
            cell = (title_settings.first_cell + offset) % self._cell_count
            for server in self._policy.replicas.get(cell, ()):
                if server.state is not ServerState.ACTIVE:
                    continue
                if not self._policy.is_warming_up(server):
                    return None
                now_us = self._clock.now_us()
                turns_by_end = self._policy.elapsed_turns(server, now_us + RATE_WINDOW_US)
                total += turns_by_end - self._policy.elapsed_turns(server, now_us)
        return total / front_count

    def advance(self, now_us: int) -> None:
        """Advance the recovery state by time and by the share of capacity in slow start."""
        is_due = self.state.state is not RecoveryState.OPEN and self.state.remaining_us(now_us) == 0
        if now_us - self._capacity_checked_us < CAPACITY_CHECK_INTERVAL_US and not is_due:
            return  # computing a fleet's capacity for each request would cost more than the response
        self._capacity_checked_us, self._policy.now_us = now_us, now_us
        capacity = self._capacity()
        self.state.advance(capacity.is_mostly_warming_up(), now_us)
        self._poll_absent_servers(now_us)
        if self.state.is_settled and not self._was_accounted:
            self._was_accounted = True
            self.on_sessions_accounted()
        if self.state.state is not self._logged_state:
            self._on_state_changed(capacity)

    def _capacity(self) -> FleetCapacity:
        max_streams = warming_up = 0
        for server in self._policy.servers.values():
            if server.state is not ServerState.ACTIVE:
                continue
            max_streams += server.max_streams
            if self._policy.is_warming_up(server):
                warming_up += server.max_streams
        return FleetCapacity(max_streams, warming_up)

    def _on_state_changed(self, capacity: FleetCapacity) -> None:
        state_before, self._logged_state = self._logged_state, self.state.state
        self._log(
            "recovery_state_changed",
            phase=self._logged_state.name.lower(),
            was=state_before.name.lower(),
            cold=capacity.warming_up,
            places=capacity.max_streams,
        )
        if self._uses_stored_list and state_before is RecoveryState.ASKING:
            self._apply_stored_list()

    # The endpoint list.

    def correct_list(self, update: ListUpdate) -> ListUpdate:
        """Replace start times in an endpoint list by later ones that the servers themselves report.

        A list restored from a backup has outdated start times of servers that have since restarted.
        """
        if update.mode is ListMode.FULL:
            self.list_entries.clear()
            self._uses_stored_list = False
        entries = tuple(self._with_latest_start(entry) for entry in update.entries)
        self.list_entries.update((entry.address, entry) for entry in entries)
        for entry in entries:
            if entry.state is ServerState.LEFT:
                self.list_entries.pop(entry.address, None)
                self._reported_starts.pop(entry.address, None)
        return replace(update, entries=entries)

    def _with_latest_start(self, entry: ListEntry) -> ListEntry:
        reported_us = self._reported_starts.get(entry.address, 0)
        return replace(entry, started_us=reported_us) if reported_us > entry.started_us else entry

    def on_uptime_reported(self, address: str, up_ms: float | None) -> None:
        """Handle a server's report of its uptime; None if it reports none."""
        now_us = self._clock.now_us()
        if up_ms is not None:
            self._reported_starts[address] = max(1, now_us - round(up_ms * 1000))
        entry = self._entry(address, now_us)
        if entry is None:
            return
        corrected = self._with_latest_start(entry)
        known = self._policy.servers.get(address)
        if known is None or corrected.started_us > known.started_us + START_TOLERANCE_US:
            self._policy.handle(ListUpdate(ListMode.INCREMENTAL, (corrected,)), now_us)

    def _entry(self, address: str, now_us: int) -> ListEntry | None:
        """Return a server's entry in the list in use; None if it has none.

        A server of the stored list that has not reported its start counts as started now.
        """
        if not self._uses_stored_list or self.state.state is RecoveryState.ASKING:
            return self.list_entries.get(address)
        stored = next((entry for entry in self.stored_list if entry.address == address), None)
        if stored is not None and address not in self._reported_starts:
            return replace(stored, started_us=now_us)
        return stored

    def use_stored_list(self) -> None:
        """Use the stored list while none arrives; its servers are used once they answer."""
        if not self.stored_list or self.list_entries or not self._settings.kept_list:
            return
        self._uses_stored_list = True
        self._log("stored_list_used", boxes=len(self.stored_list))
        self._registry.request_session_reports(
            ListUpdate(ListMode.SAVED, self.stored_list), self._clock.now_us()
        )

    def _poll_absent_servers(self, now_us: int) -> None:
        """Poll the servers of the stored list that have not answered, as no list service reports them."""
        is_polling = self._uses_stored_list and self.state.state is not RecoveryState.ASKING
        if not is_polling or now_us < self._next_poll_us:
            return
        self._next_poll_us = now_us + round(POLL_INTERVAL_US * (1 + self._rng.random()))
        absent = tuple(
            entry for entry in self.stored_list if entry.address not in self._registry.synced_servers
        )
        self._registry.request_session_reports(ListUpdate(ListMode.SAVED, absent), now_us)

    def _apply_stored_list(self) -> None:
        """Put the servers of the stored list that have answered in force."""
        now_us = self._clock.now_us()
        answered = tuple(
            replace(entry, started_us=self._reported_starts.get(entry.address, now_us))
            for entry in self.stored_list
            if entry.address in self._registry.synced_servers
        )
        if answered:
            self._policy.handle(ListUpdate(ListMode.FULL, answered), now_us)
            self.on_list_applied()

    def status(self) -> dict[str, object]:
        """Return the figures of the `comeback` section of the status JSON."""
        now_us = self._clock.now_us()
        status = RecoveryStatus(
            phase=self.state.state.name.lower(),
            left_ms=self.state.remaining_us(now_us) / 1000,
            boxes_due=len(self.state.unsettled_servers),
            kept_list=self._uses_stored_list,
            entered=[[state.name.lower(), (now_us - at_us) / 1000] for state, at_us in self.state.history],
        )
        return asdict(status)
