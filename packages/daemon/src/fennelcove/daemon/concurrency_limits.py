"""Joins up the running front's part in learned slots: boxes from the module, timers, the module's veto."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.concurrency_limits.latency_histogram import WINDOW_US
from fennelcove.core.core import Core
from fennelcove.core.learned_limits import QUOTA_EXCHANGE_INTERVAL_US, LearnedLimits, ListedServer
from fennelcove.core.requests import EventLogger
from fennelcove.settings.schema import FrontSettings, SlotSettings


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
        self.book.list_servers = self._servers
        self.book.schedule_quota_exchange = lambda: timers.after(0, self.book.exchange_quota)

    def free(self, id: str, server: str) -> bool:
        """As the module asks: whether a subscription may join there now."""
        return self.book.has_free_slot(server)

    def start(self) -> None:
        """Begin to learn and to trade."""
        self.timers.after(0, self._window)
        self.timers.after(QUOTA_EXCHANGE_INTERVAL_US, self._trade)

    def _servers(self) -> list[ListedServer]:
        """The boxes that the module knows, with the kinds that the list has told."""
        front, keeper, now_us = self.core.policy, self.core.endpoint_tracker, self.clock.now_us()
        return [
            ListedServer(
                server.address,
                keeper.kind_of(server.address),
                server.started_us,
                bool(server.started_us) and now_us - server.started_us < front.settings.warm_up_us,
            )
            for server in front.servers.values()
        ]

    def _window(self) -> None:
        if self.running():
            self.timers.after(WINDOW_US, self._window)
            self.book.close_window()

    def _trade(self) -> None:
        if self.running():
            self.timers.after(QUOTA_EXCHANGE_INTERVAL_US, self._trade)
            self.book.exchange_quota()
