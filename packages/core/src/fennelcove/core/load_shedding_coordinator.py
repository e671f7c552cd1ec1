"""Load shedding by the load of the whole fleet; acquires the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger, SessionRequest
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.decisions.clients import waiting_room
from fennelcove.decisions.clients.waiting_room import QueueDecision, TicketStatus, WaitingQueue
from fennelcove.decisions.fleet.fleet_load import FleetLoadEstimator, FleetTotals, LoadSummary
from fennelcove.decisions.fleet.shedding import SheddingAction, SheddingLevel, SheddingPolicy
from fennelcove.decisions.fleet.slow_start_allocation import SlowStartAllocation
from fennelcove.settings.schema import ServiceClassSettings


@dataclass(frozen=True, slots=True)
class SheddingClass:
    """The properties of a service class that load shedding uses."""

    number: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class LoadSheddingStatus:
    """The `overload` section of the status; the field names are keys of the status JSON.

    Attributes:
        level: The shedding level.
        changes: How often the level has changed.
        asked: The number of requests, over all fronts.
        unmet: The fraction of these that were not served.
        heard: The number of peers with a recent summary.
    """

    level: str
    changes: int
    asked: int
    unmet: float
    heard: int


class LoadSheddingCoordinator:
    """One front's load, the summaries of the other fronts, and the shedding level.

    It replaces the decisions of the retry-storm guard. The owner assigns `broadcast` (sends a summary to the
    other fronts) and calls `close_window` every `fleet_load.WINDOW_US`.
    """

    def __init__(
        self,
        service_classes: Sequence[ServiceClassSettings],
        front_count: Callable[[], int],
        incarnation: int,
        storm_guard: RetryStormGuard,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        log: EventLogger,
    ) -> None:
        self._service_classes = {
            service_class.name: SheddingClass(number, service_class.benefit)
            for number, service_class in enumerate(service_classes)
        }
        self._front_count = front_count
        self._clock = clock
        self._rng = rng
        self._lock = lock
        self._log = log
        self._load = FleetLoadEstimator(len(service_classes), clock.now_us(), incarnation)
        self.policy = SheddingPolicy()
        self._allocation = SlowStartAllocation()
        self.broadcast: Callable[[LoadSummary], None] = lambda _summary: None
        storm_guard.admission_rule = self._decide
        storm_guard.on_request_ended = self._on_request_ended
        storm_guard.is_shedding = self._is_shedding

    def _is_shedding(self) -> bool:
        """Return whether rejected requests get tickets."""
        return self.policy.level is not SheddingLevel.NONE

    def _decide(
        self, request: SessionRequest, status: TicketStatus, queue: WaitingQueue, now_us: int
    ) -> QueueDecision:
        """Admit or shed a request."""
        service_class = self._service_classes[request.service_class]
        self._load.record_requested(service_class.number)
        action = self.policy.action_for(status)
        if action is SheddingAction.BY_PRIORITY:
            action = self._action_by_priority(request.title, service_class, queue, now_us)
        if action is SheddingAction.ADMIT:
            return QueueDecision.ADMIT
        self._load.record_rejected(service_class.number)
        if status is TicketStatus.EARLY:
            return QueueDecision.KEEP_TICKET
        return waiting_room.REJECTED_DECISIONS.get(status, QueueDecision.UNRESERVED_TICKET)

    def _action_by_priority(
        self, title: str, service_class: SheddingClass, queue: WaitingQueue, now_us: int
    ) -> SheddingAction:
        # The title's admission rate grows while the placement policy rejects nothing, so that no class is
        # shed for ever.
        wait_us = self._allocation.retry_after_us(
            title, service_class.priority_weight, queue.rate_per_s, None, now_us, self._rng.random()
        )
        return SheddingAction.ADMIT if wait_us is None else SheddingAction.REJECT

    def _on_request_ended(self, service_class: str, was_served: bool) -> None:
        """Count an admitted request that was served, or that the placement policy rejected."""
        number = self._service_classes[service_class].number
        if was_served:
            self._load.record_served(number)
        else:
            self._load.record_rejected(number)

    def close_window(self) -> None:
        """Close a window: set the level by the fleet's load and send this front's load to the others."""
        with self._lock:
            now_us = self._clock.now_us()
            if not self._load.advance(now_us):
                return
            totals = self._load.totals(self._front_count(), now_us)
            if self.policy.on_window_closed(totals):
                self._log_level(totals)
            summary = self._load.summary()
        self.broadcast(summary)

    def _log_level(self, totals: FleetTotals) -> None:
        self._log(
            "shedding_level_changed",
            level=self.policy.level.name.lower(),
            asked=totals.requested,
            unmet=round(totals.unmet_fraction, 3),
            heard=totals.reporting_peers,
        )

    def on_summary(self, sender: int, summary: LoadSummary) -> None:
        """Handle another front's summary."""
        with self._lock:
            self._load.on_summary(sender, summary, self._clock.now_us())

    def status(self) -> dict[str, object]:
        """Return the figures of the `overload` section of the status JSON."""
        with self._lock:
            totals = self._load.totals(self._front_count(), self._clock.now_us())
            status = LoadSheddingStatus(
                level=self.policy.level.name.lower(),
                changes=self.policy.change_count,
                asked=totals.requested,
                unmet=round(totals.unmet_fraction, 3),
                heard=totals.reporting_peers,
            )
            return asdict(status)
