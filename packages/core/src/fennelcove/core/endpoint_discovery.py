"""Applies updates of the endpoint list; acquires the core's lock."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.core.context import CoreContext
from fennelcove.core.ports import EndpointListSource
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.core.snapshot_manager import SnapshotManager
from fennelcove.decisions.servers.endpoint_list import EndpointListTracker, EndpointListUpdate, ListDecision
from fennelcove.interface import ListMode, ListUpdate
from fennelcove.placement import PlacementPolicy

UpdateFilter = Callable[[ListUpdate], ListUpdate]
"""Modifies a list update before the policy receives it."""


class EndpointDiscovery:
    """Tracks the endpoint list in force and distributes accepted updates."""

    def __init__(
        self,
        context: CoreContext,
        source: EndpointListSource,
        tracker: EndpointListTracker,
        policy: PlacementPolicy,
        server_registry: ServerRegistry,
        migrations: SessionMigrations,
        snapshots: SnapshotManager,
    ) -> None:
        self.context = context
        self.source = source
        self.tracker = tracker
        self.policy = policy
        self.server_registry = server_registry
        self.migrations = migrations
        self.snapshots = snapshots
        self.accepted_us = 0
        self._update_filter: UpdateFilter | None = None

    def set_update_filter(self, update_filter: UpdateFilter) -> None:
        """Set the filter that accepted updates pass through."""
        self._update_filter = update_filter

    @property
    def version(self) -> int | None:
        """The version of the list in force; None before the first list."""
        return self.tracker.version

    def age_ms(self) -> float | None:
        """Return for how long the list has been in force; None before the first list."""
        if self.tracker.version is None:
            return None
        return (self.context.now_us() - self.accepted_us) / 1000

    def on_list(self, message: EndpointListUpdate) -> ListDecision:
        """Handle a list, or changes to it, from the list service."""
        with self.context.lock:
            is_first = self.tracker.version is None
            result = self.tracker.apply(message)
            self.context.increment(f"lists_{result.decision.name.lower()}")
            if result.update is not None:
                self._accept(result.update, message.version, is_first=is_first)
            elif result.decision is ListDecision.REFUSED:
                self.context.log_event(
                    "endpoint_list_rejected", version=message.version, reason=result.reason
                )
            if result.decision is ListDecision.GAP:
                self.source.fetch()
            return result.decision

    def _accept(self, update: ListUpdate, version: int, *, is_first: bool) -> None:
        now_us = self.context.now_us()
        self.accepted_us = now_us
        policy_update = update if self._update_filter is None else self._update_filter(update)
        self.policy.handle(policy_update, now_us)
        if is_first:
            self.server_registry.request_session_reports(update, now_us)
        self.snapshots.on_list_received()
        self.migrations.on_list(now_us)
        self.context.log_event("endpoint_list_accepted", version=version, boxes=len(update.entries))

    def on_list_unavailable(self) -> None:
        """Handle the failure of a call to the list service or of its stream."""
        with self.context.lock:
            self.policy.handle(ListUpdate(ListMode.FAILED, ()), self.context.now_us())
