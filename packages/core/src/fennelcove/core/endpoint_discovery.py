"""The core's part that takes lists of boxes in; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.context import CoreContext
from fennelcove.core.snapshot_manager import SnapshotManager
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.core.requests import EndpointListSource
from fennelcove.decisions.servers.endpoint_list import EndpointListTracker, EndpointListUpdate, ListDecision
from fennelcove.interface import ListMode, ListUpdate
from fennelcove.placement import PlacementPolicy


class EndpointDiscovery:
    """The list in force and who hears of a new one. Attach `source` first."""

    def __init__(
        self,
        context: CoreContext,
        tracker: EndpointListTracker,
        policy: PlacementPolicy,
        server_registry: ServerRegistry,
        migrations: SessionMigrations,
        snapshots: SnapshotManager,
    ) -> None:
        self.context = context
        self.tracker = tracker
        self.policy = policy
        self.server_registry = server_registry
        self.migrations = migrations
        self.snapshots = snapshots
        self.source: EndpointListSource
        self.hear: Callable[[ListUpdate], ListUpdate] = lambda update: update
        self.accepted_us = 0

    def age_ms(self) -> float | None:
        """How old the list in force is; None before the first."""
        if self.tracker.version is None:
            return None
        return (self.context.now_us() - self.accepted_us) / 1000

    def on_list(self, news: EndpointListUpdate) -> ListDecision:
        """A message of the list service."""
        with self.context.lock:
            first, verdict = self.tracker.version is None, self.tracker.rule(news)
            self.context.tally(f"lists_{verdict.ruling.name.lower()}")
            if verdict.update is not None:
                now_us = self.context.now_us()
                self.accepted_us = now_us
                self.policy.handle(self.hear(verdict.update), now_us)
                if first:
                    self.server_registry.greet_all(verdict.update, now_us)
                self.snapshots.listed()
                self.migrations.on_list(now_us)
                self.context.notice("list_taken", version=news.version, boxes=len(verdict.update.entries))
            elif verdict.ruling is ListDecision.REFUSED:
                self.context.notice("list_refused", version=news.version, reason=verdict.reason)
            if verdict.ruling is ListDecision.GAP:
                self.source.fetch()
            return verdict.ruling

    def on_list_unavailable(self) -> None:
        """A call that the module asked for, or the stream, failed."""
        with self.context.lock:
            self.policy.handle(ListUpdate(ListMode.FAILED, ()), self.context.now_us())
