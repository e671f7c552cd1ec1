"""Joins up the running front's part in learned slots: boxes from the module, timers, the module's veto."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.learned_limits import TRADE_US, LearnedLimits, Listed
from fennelcove.clock.timers import Timers
from fennelcove.core.requests import EventLogger
from fennelcove.settings.schema import FrontSettings, SlotSettings
from fennelcove.concurrency_limits.latency_histogram import WINDOW_US


class LimitService:
    """The book of one front, with what it is fed. `start` when the timers run."""

    def __init__(
        self,
        settings: FrontSettings,
        told: SlotSettings,
        core: Core,
        timers: Timers,
        clock: Clock,
        notice: EventLogger,
        running: Callable[[], bool],
    ) -> None:
        self.core = core
        self.timers = timers
        self.clock = clock
        self.running = running
        self.book = LearnedLimits(
            told,
            settings.room_types,
            len(settings.ladder),
            settings.instance,
            clock.wall_us() // 1000,
            clock,
            core.rng,
            core.lock,
            notice,
        )
        self.book.servers = self._servers
        self.book.soon = lambda: timers.after(0, self.book.trade)

    def free(self, id: str, server: str) -> bool:
        """As the module asks: whether a subscription may join there now."""
        return self.book.free(server)

    def start(self) -> None:
        """Begin to learn and to trade."""
        self.timers.after(0, self._window)
        self.timers.after(TRADE_US, self._trade)

    def _servers(self) -> list[Listed]:
        """The boxes that the module knows, with the kinds that the list has told."""
        front, keeper, now_us = self.core.policy, self.core.endpoint_tracker, self.clock.now_us()
        return [
            Listed(
                server.address,
                keeper.kind_of(server.address),
                server.started_us,
                bool(server.started_us) and now_us - server.started_us < front.settings.ramp_us,
            )
            for server in front.servers.values()
        ]

    def _window(self) -> None:
        if self.running():
            self.timers.after(WINDOW_US, self._window)
            self.book.window()

    def _trade(self) -> None:
        if self.running():
            self.timers.after(TRADE_US, self._trade)
            self.book.trade()
