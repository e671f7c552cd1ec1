"""Selects the server that a listed segment is fetched from, with fallbacks.

A segment of the title comes from the session's own server. A segment of a spliced clip comes from that server
if it stores the clip; else from another replica, then from a replica at a lower rung, then from the slate. A
clip can only be skipped as a whole before its segments are listed (`playlist_cursor.advance`).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto


class SegmentSource(Enum):
    """The source of a segment, the most preferred first.

    Counter names in the status contain the names of the members.
    """

    HOME = auto()  # the session's own server
    OTHER = auto()  # another replica, at the listed rung
    LOWER = auto()  # a replica at a lower rung
    SLATE = auto()  # the slate, a clip that stands in for any other
    WAIT = auto()  # the session has no server at the moment; the player should retry
    NONE = auto()  # no server can serve the segment


FALLBACK_ORDER = (SegmentSource.HOME, SegmentSource.OTHER, SegmentSource.LOWER, SegmentSource.SLATE)


@dataclass(frozen=True, slots=True)
class SegmentCandidates:
    """The servers that could serve a segment now, by address."""

    home_server: str | None  # None while the session is being migrated
    home_has_media: bool  # the session's server stores the clip
    replicas: Sequence[str]  # usable replicas at this rung, in order of preference
    lower_rung_replicas: Sequence[str]  # usable replicas at a lower rung at which the clip exists
    slate_server: str | None  # a usable server that stores the slate; None if there is none


@dataclass(frozen=True, slots=True)
class SegmentRoute:
    """The source of a segment and its server; no server for WAIT and NONE."""

    source: SegmentSource
    server: str = ""


def route_title_segment(candidates: SegmentCandidates) -> SegmentRoute:
    """Routes a segment of the title, which only the session's own server may serve."""
    if candidates.home_server is None:
        return SegmentRoute(SegmentSource.WAIT)
    return SegmentRoute(SegmentSource.HOME, candidates.home_server)


def route_clip_segment(candidates: SegmentCandidates, failed_servers: Sequence[str]) -> SegmentRoute:
    """Routes a segment of a spliced clip.

    Args:
        candidates: the servers that could serve it.
        failed_servers: the servers from which the player failed to fetch this segment.
    """
    for source in FALLBACK_ORDER:
        server = _find_server(source, candidates, failed_servers)
        if server is not None:
            return SegmentRoute(source, server)
    return SegmentRoute(SegmentSource.WAIT if candidates.home_server is None else SegmentSource.NONE)


def _find_server(
    source: SegmentSource, candidates: SegmentCandidates, failed_servers: Sequence[str]
) -> str | None:
    if source is SegmentSource.SLATE:
        return candidates.slate_server  # also if it failed before, as there is no further fallback
    if source is SegmentSource.HOME:
        servers = _home_servers(candidates)
    elif source is SegmentSource.OTHER:
        servers = candidates.replicas
    else:
        servers = candidates.lower_rung_replicas
    return next((server for server in servers if server not in failed_servers), None)


def _home_servers(candidates: SegmentCandidates) -> Sequence[str]:
    if candidates.home_server is None or not candidates.home_has_media:
        return ()
    return (candidates.home_server,)
