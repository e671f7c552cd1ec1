"""Connects the learned concurrency limits to a running front: its servers, its timers, its placement."""

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
    """The learned limits of one front and what drives them. Call `start` once the timers run."""

    def __init__(
        self,
        settings: FrontSettings,
        slot_settings: SlotSettings,
        core: Core,
        timers: Timers,
        clock: Clock,
        log_event: EventLogger,
        is_running: Callable[[], bool],
    ) -> None:
        self.core = core
        self.timers = timers
        self.clock = clock
        self.is_running = is_running
        self.learned_limits = LearnedLimits(
            slot_settings,
            settings.room_types,
            len(settings.ladder),
            settings.instance,
            clock.wall_us() // 1000,
            clock,
            core.rng,
            core.lock,
            log_event,
        )
        self.learned_limits.list_servers = self._list_servers
        self.learned_limits.schedule_quota_exchange = lambda: timers.after(
            0, self.learned_limits.exchange_quota
        )

    def may_use_server(self, id: str, server: str) -> bool:
        """Filter for the placement policy: whether an attempt may be sent to the server now."""
        return self.learned_limits.has_free_slot(server)

    def start(self) -> None:
        """Start the windows that limits are learned in, and the exchange of quota with other fronts."""
        self.timers.after(0, self._close_window)
        self.timers.after(QUOTA_EXCHANGE_INTERVAL_US, self._exchange_quota)

    def _list_servers(self) -> list[ListedServer]:
        """The servers that the placement policy knows, with their kinds from the endpoint list."""
        policy, endpoint_tracker, now_us = self.core.policy, self.core.endpoint_tracker, self.clock.now_us()
        return [
            ListedServer(
                server.address,
                endpoint_tracker.kind_of(server.address),
                server.started_us,
                bool(server.started_us) and now_us - server.started_us < policy.settings.warm_up_us,
            )
            for server in policy.servers.values()
        ]

    def _close_window(self) -> None:
        if self.is_running():
            self.timers.after(WINDOW_US, self._close_window)
            self.learned_limits.close_window()

    def _exchange_quota(self) -> None:
        if self.is_running():
            self.timers.after(QUOTA_EXCHANGE_INTERVAL_US, self._exchange_quota)
            self.learned_limits.exchange_quota()
