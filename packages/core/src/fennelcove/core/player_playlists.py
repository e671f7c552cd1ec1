"""Players' playlists: the segments that they list and the interstitials that they announce."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fennelcove.core.requests import Session
from fennelcove.decisions.playback import playlist_cursor
from fennelcove.decisions.playback.playlist_cursor import PlaylistTrack, SelectionContext
from fennelcove.decisions.playback.splices import ChangeLedger
from fennelcove.manifests.hls import Interstitial
from fennelcove.timeline.model import ListedSegment, Media

NO_SEQUENCE = -1  # the sequence number of a segment that is not in the player's own playlist


class InterstitialSegment(NamedTuple):
    """A segment of an interstitial: the id of the change that inserts it, and the segment's number."""

    change: str
    number: int


@dataclass(slots=True, eq=False)
class Player:
    """A session's playlist, and the servers tried for its latest segments."""

    track: PlaylistTrack
    tried: dict[int | InterstitialSegment, list[str]] = field(default_factory=dict)

    def servers_tried(self, segment: int | InterstitialSegment) -> list[str]:
        """Return the list of servers tried for a segment; the lists of old segments are evicted."""
        tried = self.tried.setdefault(segment, [])
        while len(self.tried) > playlist_cursor.RETAINED_SEGMENTS:
            del self.tried[next(iter(self.tried))]
        return tried


class PlaylistBuilder:
    """Extends players' playlists according to the ledger of changes; the caller holds the lock."""

    def __init__(
        self, media: Mapping[str, Media], ledger: ChangeLedger, is_playable: Callable[[str], bool]
    ) -> None:
        """Create a builder.

        Args:
            media: The configured media by title.
            ledger: The ledger of changes.
            is_playable: Returns whether a clip can be played now.
        """
        self._media = media
        self._ledger = ledger
        self._is_playable = is_playable

    def extend(self, session: Session, track: PlaylistTrack, wall_us: int) -> int:
        """Add the segments that are due; return how many were added.

        After a restart the playlist is extended twice: by the changes as of the resume token, then by the
        current ones.
        """
        added = 0
        for _ in range(2):
            replayed_version = track.replay_version()
            context = self._selection_context(session, track, wall_us, replayed_version)
            version = self._ledger.version if replayed_version is None else replayed_version
            added += track.extend(context, version)
            if replayed_version is None:
                break
        return added

    def _selection_context(
        self, session: Session, track: PlaylistTrack, wall_us: int, at_version: int | None
    ) -> SelectionContext:
        changes = tuple(self._ledger.active_changes(session.title, at_version))
        return SelectionContext(
            self._media,
            session.title,
            session.service_class,
            session.id,
            changes,
            session.rung,
            session.floor_rung,
            wall_us,
            track.began_wall_us,
            self._is_playable,
            track.uses_interstitials,
        )

    def interstitials(self, track: PlaylistTrack, listed: list[ListedSegment]) -> dict[str, Interstitial]:
        """Return a playlist's interstitials by change; a withdrawn one is retained if it has begun."""
        announced = (change for segment in listed for change in segment.interstitial_ids)
        interstitials = {}
        for change in (*announced, *track.cursor.interstitial_ids):
            entry = self._ledger.entries.get(change)
            if entry is None or (
                entry.withdrawn_version is not None and change not in track.interstitial_rungs
            ):
                continue
            interstitials[change] = Interstitial(change, self._media[entry.change.clip or ""])
        return interstitials

    def begun_interstitials(self, track: PlaylistTrack) -> Iterator[ListedSegment]:
        """Yield the first segment of each interstitial that a player has begun."""
        for change, rung in track.interstitial_rungs.items():
            entry = self._ledger.entries.get(change)
            clip = self._media.get(entry.change.clip or "") if entry is not None else None
            if clip is not None:
                yield interstitial_segment(clip, 0, rung, change)


def interstitial_segment(clip: Media, number: int, rung: int, change: str) -> ListedSegment:
    """Return a segment of an interstitial in the form that segment routing takes."""
    return ListedSegment(
        NO_SEQUENCE,
        clip.name,
        number,
        rung,
        clip.segment_start_s(number),
        clip.segment_duration_s,
        playlist_cursor.FIRST_PERIOD,
        change,
    )
