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
        keeper: EndpointListTracker,
        front: PlacementPolicy,
        book: ServerRegistry,
        moves: SessionMigrations,
        memories: SnapshotManager,
    ) -> None:
        self.context = context
        self.keeper = keeper
        self.front = front
        self.book = book
        self.moves = moves
        self.memories = memories
        self.source: EndpointListSource
        self.hear: Callable[[ListUpdate], ListUpdate] = lambda update: update
        self.taken_us = 0

    def age_ms(self) -> float | None:
        """How old the list in force is; None before the first."""
        if self.keeper.version is None:
            return None
        return (self.context.now_us() - self.taken_us) / 1000

    def news(self, news: EndpointListUpdate) -> ListDecision:
        """A message of the list service."""
        with self.context.lock:
            first, verdict = self.keeper.version is None, self.keeper.rule(news)
            self.context.tally(f"lists_{verdict.ruling.name.lower()}")
            if verdict.update is not None:
                now_us = self.context.now_us()
                self.taken_us = now_us
                self.front.handle(self.hear(verdict.update), now_us)
                if first:
                    self.book.greet_all(verdict.update, now_us)
                self.memories.listed()
                self.moves.listed(now_us)
                self.context.notice("list_taken", version=news.version, boxes=len(verdict.update.entries))
            elif verdict.ruling is ListDecision.REFUSED:
                self.context.notice("list_refused", version=news.version, reason=verdict.reason)
            if verdict.ruling is ListDecision.GAP:
                self.source.fetch()
            return verdict.ruling

    def failed(self) -> None:
        """A call that the module asked for, or the stream, failed."""
        with self.context.lock:
            self.front.handle(ListUpdate(ListMode.FAILED, ()), self.context.now_us())
