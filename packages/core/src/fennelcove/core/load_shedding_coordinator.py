"""The core's part that sheds load as one of a fleet. It is handed what it needs; the core's lock is round
it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.requests import SessionRequest, EventLogger
from fennelcove.decisions.fleet.fleet_load import FleetLoadEstimator, LoadSummary
from fennelcove.decisions.fleet.slow_start_allocation import SlowStartAllocation
from fennelcove.decisions.fleet.shedding import SheddingAction, SheddingPolicy, SheddingLevel
from fennelcove.decisions.clients import waiting_room
from fennelcove.decisions.clients.waiting_room import WaitingQueue, QueueDecision, TicketStatus
from fennelcove.settings.schema import RoomTypeSettings


class LoadSheddingCoordinator:
    """One front's counts, what it hears of the others', and the step of the ladder. Attach `post` where there
    are others; call `window` every `burden.WINDOW_US`."""

    def __init__(
        self,
        service_classes: Sequence[RoomTypeSettings],
        fronts: Callable[[], int],
        life: int,
        storms: RetryStormGuard,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        notice: EventLogger,
    ) -> None:
        self.service_classes = {
            service_class.name: (i, service_class.benefit) for i, service_class in enumerate(service_classes)
        }
        self.fronts = fronts
        self.clock = clock
        self.rng = rng
        self.lock = lock
        self.notice = notice
        self.burden = FleetLoadEstimator(len(service_classes), clock.now_us(), life)
        self.ladder = SheddingPolicy()
        self.ration = SlowStartAllocation()
        self.post: Callable[[LoadSummary], None] = lambda said: None
        storms.ruler, storms.ended, storms.sheds = self.rule, self.ended, self.sheds

    def sheds(self) -> bool:
        """Whether those who are turned away get places."""
        return self.ladder.level is not SheddingLevel.NONE

    def rule(self, ask: SessionRequest, who: TicketStatus, queue: WaitingQueue, now_us: int) -> QueueDecision:
        """One asks, who stands so."""
        service_class, priority_weight = self.service_classes[ask.service_class]
        self.burden.asked(service_class)
        act = self.ladder.act(who)
        if act is SheddingAction.BY_BENEFIT:
            # The title's pace grows as long as the module refuses nobody, so that nobody steps back for good.
            kept_s = self.ration.ask(ask.title, priority_weight, queue.pace, None, now_us, self.rng.random())
            act = SheddingAction.PASS if kept_s is None else SheddingAction.TURN
        if act is SheddingAction.PASS:
            return QueueDecision.LET_IN
        self.burden.turned(service_class)
        return (
            QueueDecision.KEEP_PLACE
            if who is TicketStatus.EARLY
            else waiting_room.TURNED_AWAY.get(who, QueueDecision.GUEST_PLACE)
        )

    def ended(self, service_class: str, served: bool) -> None:
        """What was let in plays, or was refused by the module."""
        number, _ = self.service_classes[service_class]
        (self.burden.served if served else self.burden.turned)(number)

    def window(self) -> None:
        """A window has passed: stand where the fleet's figures say, and tell the others."""
        with self.lock:
            now_us = self.clock.now_us()
            if not self.burden.advance(now_us):
                return
            totals = self.burden.totals(self.fronts(), now_us)
            if self.ladder.window(totals):
                self.notice(
                    "overload",
                    level=self.ladder.level.name.lower(),
                    asked=totals.asked,
                    unmet=round(totals.unmet, 3),
                    heard=totals.heard,
                )
            said = self.burden.summary()
        self.post(said)

    def hear(self, sender: int, said: LoadSummary) -> None:
        """Another front's summary has come."""
        with self.lock:
            self.burden.hear(sender, said, self.clock.now_us())

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.lock:
            totals = self.burden.totals(self.fronts(), self.clock.now_us())
            return {
                "level": self.ladder.level.name.lower(),
                "changes": self.ladder.changes,
                "asked": totals.asked,
                "unmet": round(totals.unmet, 3),
                "heard": totals.heard,
            }
