"""Chooses the servers from which players fetch segments and initialisation segments."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import Session
from fennelcove.decisions.playback import segment_routing
from fennelcove.decisions.playback.segment_routing import SegmentCandidates, SegmentRoute, SegmentSource
from fennelcove.interface import ServerState
from fennelcove.placement import PlacementPolicy, Server
from fennelcove.timeline.model import ListedSegment, Media

MAX_SERVERS_TRIED = 8
NO_CAPACITY = float("inf")  # the utilization factor of a server without capacity for the stream


@dataclass(frozen=True, slots=True)
class Fetch:
    """The source of a segment or initialisation segment.

    Attributes:
        source: The kind of source; if `url` is empty, why there is none.
        url: The URL to fetch; empty if there is no source.
    """

    source: SegmentSource
    url: str = ""


@dataclass(frozen=True, slots=True)
class _SegmentPath:
    """The part of a segment's URL that follows the server's address."""

    media: str
    rung: int
    number: int
    extra_query: str = ""


class SegmentLocator:
    """Chooses each segment's server by the placement policy's state; the caller holds the lock."""

    def __init__(
        self,
        context: CoreContext,
        catalogue: Catalogue,
        policy: PlacementPolicy,
        media: dict[str, Media],
        slate: str | None,
    ) -> None:
        self._context = context
        self._catalogue = catalogue
        self._policy = policy
        self._media = media
        self._slate = slate

    def is_playable(self, clip: str) -> bool:
        """Return whether a clip can be played now, or the slate in its place."""
        return self._slate is not None or bool(self._usable_replicas(clip))

    def segment(self, session: Session, segment: ListedSegment, tried: list[str]) -> Fetch:
        """Choose a segment's source and add its server to `tried`, the servers tried for it before."""
        route = self._route(session, segment, tried)
        self._context.increment(f"segments_{route.source.name.lower()}")
        if not route.server:
            return Fetch(route.source)
        if len(tried) < MAX_SERVERS_TRIED:
            tried.append(route.server)
        path = self._path(route.source, segment, session.floor_rung)
        attempt = session.current_target.attempt if session.current_target is not None else 0
        query = f"subscription={session.id}&join={attempt}{path.extra_query}"
        url = f"http://{route.server}/media/{path.media}/{path.rung}/{path.number}.m4s?{query}"
        return Fetch(route.source, url)

    def initialization(self, session: Session, segment: ListedSegment) -> Fetch:
        """Choose the source of the initialisation segment of a rendition."""
        route = self._route(session, segment, ())
        if not route.server:
            return Fetch(route.source)
        return Fetch(route.source, f"http://{route.server}/media/{segment.media}/{segment.rung}/init.mp4")

    def _route(self, session: Session, segment: ListedSegment, tried: Sequence[str]) -> SegmentRoute:
        candidates = self._candidates(session, segment)
        if segment.media == session.title:
            return segment_routing.route_title_segment(candidates)
        return segment_routing.route_clip_segment(candidates, tuple(tried))

    def _path(self, source: SegmentSource, segment: ListedSegment, floor: int) -> _SegmentPath:
        if source is SegmentSource.LOWER:
            return _SegmentPath(segment.media, self._lower_rung(segment, floor), segment.segment_number)
        if source is SegmentSource.SLATE:
            duration = f"&duration={float(segment.duration_s):.6f}"
            return _SegmentPath(self._slate or "", segment.rung, 0, duration)
        return _SegmentPath(segment.media, segment.rung, segment.segment_number)

    def _lower_rung(self, segment: ListedSegment, floor: int) -> int:
        """Return the media's next lower rung, not below `floor`; the same rung if there is none."""
        lower = [rung for rung in self._media[segment.media].rungs if floor <= rung < segment.rung]
        return max(lower, default=segment.rung)

    def _candidates(self, session: Session, segment: ListedSegment) -> SegmentCandidates:
        """Collect the servers that could serve a segment now."""
        current_server = self._current_server(session)
        if segment.media == session.title:
            return SegmentCandidates(current_server, True, (), (), None)
        replicas = self._usable_replicas(segment.media)
        is_current_usable = any(server.address == current_server for server in replicas)
        lower_rung = self._lower_rung(segment, session.floor_rung)
        at_lower_rung: list[str] = []
        if lower_rung < segment.rung:
            at_lower_rung = self._ordered(replicas, session.rates_kb[lower_rung])
        slate_server = self._slate_server(current_server)
        at_rung = self._ordered(replicas, session.rates_kb[segment.rung])
        return SegmentCandidates(current_server, is_current_usable, at_rung, at_lower_rung, slate_server)

    def _current_server(self, session: Session) -> str | None:
        """Return the server that plays the session; None if it is lost or has left."""
        if session.current_target is None or session.is_orphaned:
            return None
        server = self._policy.servers.get(session.current_target.server)
        if server is None or server.state is ServerState.LEFT:
            return None
        return session.current_target.server

    def _slate_server(self, current_server: str | None) -> str | None:
        if self._slate is None:
            return None
        usable = [server.address for server in self._usable_replicas(self._slate)]
        if current_server in usable:
            return current_server
        return usable[0] if usable else None

    def _usable_replicas(self, title: str) -> list[Server]:
        """Return the active and healthy servers that store a title."""
        _, title_settings = self._catalogue.titles[title]
        cells = {
            (title_settings.first_cell + offset) % self._catalogue.cell_count
            for offset in range(title_settings.cells)
        }
        return [
            server
            for cell in sorted(cells)
            for server in self._policy.replicas.get(cell, ())
            if server.state is ServerState.ACTIVE and self._policy.is_healthy(server)
        ]

    def _ordered(self, replicas: list[Server], rate_kb: float) -> list[str]:
        """Return the servers with capacity for a stream; the first one is drawn at random by the policy."""
        policy = self._policy
        policy.update_residuals(replicas)
        scored = [(server, *policy.utilization_factors(server, rate_kb)) for server in replicas]
        feasible = [row for row in scored if row[1] < NO_CAPACITY and row[2] < NO_CAPACITY]
        if not feasible:
            return []
        first = policy.draw_server(feasible)
        return [first.address, *(row[0].address for row in feasible if row[0] is not first)]
