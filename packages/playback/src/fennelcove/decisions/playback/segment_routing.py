"""Which server a listed segment is fetched from, and the fallbacks where that server can't serve it.

A segment of the title comes from the session's own server. A segment of a spliced clip comes from there too
if that server stores the clip; else from another replica, then at a lower rung, then from the slate. That a
clip is skipped altogether can only be decided before its segment is listed (`playlist_cursor.advance`).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto


class SegmentSource(Enum):
    """Where a segment comes from, the most preferred first.

    The members' names are part of the names of counters in the status.
    """

    HOME = auto()  # the session's own server
    OTHER = auto()  # another replica, at the listed rung
    LOWER = auto()  # a replica at a lower rung
    SLATE = auto()
    WAIT = auto()  # the session has no server at the moment; the player should retry
    NONE = auto()


FALLBACK_ORDER = (SegmentSource.HOME, SegmentSource.OTHER, SegmentSource.LOWER, SegmentSource.SLATE)


@dataclass(frozen=True, slots=True)
class SegmentCandidates:
    """The servers that could serve a segment now, by address."""

    home_server: str | None  # None while the session is being moved
    home_has_media: bool
    replicas: Sequence[str]  # usable replicas at this rung, in order of preference
    lower_rung_replicas: Sequence[str]  # usable replicas at a lower rung that the clip has
    slate_server: str | None  # a usable server for the slate, where there is a slate


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
        failed_servers: those from which the player has tried to fetch this segment without success.
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
        return candidates.slate_server  # also where it failed before: there is nothing behind it
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
