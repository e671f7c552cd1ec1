"""Authors' changes to titles, and each player's playlist; methods acquire the core's lock."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import blake3
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.player_playlists import (
    InterstitialSegment,
    Player,
    PlaylistBuilder,
    interstitial_segment,
)
from fennelcove.core.requests import Session
from fennelcove.core.segment_sources import Fetch, SegmentLocator
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.playback import playlist_cursor, resume_tokens
from fennelcove.decisions.playback.playlist_cursor import PlaylistTrack
from fennelcove.decisions.playback.splices import (
    ChangeLedger,
    ChangeResult,
    ChangeStatus,
    LedgerEntry,
    ValidationContext,
)
from fennelcove.decisions.servers.command_queue import Command
from fennelcove.manifests.hls import MediaListing, target_duration
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import Author, StitchSettings
from fennelcove.timeline.model import Change, ChangeTarget, Media


class ClipRendition(NamedTuple):
    """A clip and the rung at which a player gets it."""

    media: Media
    rung: int


@dataclass(frozen=True, slots=True)
class ChangeReach:
    """A change and the number of players that it reaches.

    Attributes:
        entry: The change's entry in the ledger.
        shown_count: The number of players that have it in their playlists.
        ahead_count: The number of players that have not reached its position yet.
    """

    entry: LedgerEntry
    shown_count: int
    ahead_count: int


def configured_media(catalogue: Catalogue) -> dict[str, Media]:
    """Return the configured media by title."""
    all_rungs = tuple(range(len(catalogue.ladder_kb)))
    media_by_title = {}
    for _, title in catalogue.titles.values():
        settings = title.media
        if settings is None:
            continue
        media_by_title[title.name] = Media(
            title.name,
            settings.timescale,
            settings.segment_ticks,
            settings.segments,
            tuple(sorted(settings.rungs)) or all_rungs,
            settings.codecs,
            settings.live_from_ms * 1000,
        )
    return media_by_title


class ContentInsertion:
    """The configured media, the ledger of changes, and each player's playlist."""

    def __init__(
        self,
        context: CoreContext,
        settings: StitchSettings,
        catalogue: Catalogue,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        commands: CommandDispatcher,
        notifier: ClientNotifier,
    ) -> None:
        self._context = context
        self._authors = settings.authors
        self._catalogue = catalogue
        self._lifecycle = lifecycle
        self._commands = commands
        self._notifier = notifier
        self.media = configured_media(catalogue)
        self.target_duration_s = target_duration(self.media.values())
        self.ledger = ChangeLedger()
        self.players: dict[str, Player] = {}
        self._locator = SegmentLocator(context, catalogue, policy, self.media, settings.slate)
        self._playlists = PlaylistBuilder(self.media, self.ledger, self._locator.is_playable)

    # Authors.

    def author_of_key(self, key: str) -> Author | None:
        """Return the author with this key, or None; all hashes are compared, each in constant time."""
        hashed = blake3.blake3(key.encode()).hexdigest()
        matching = None
        for author in self._authors:
            if hmac.compare_digest(author.key_hash, hashed):
                matching = author
        return matching

    def submit(self, change: Change) -> ChangeResult:
        """Validate a change; an accepted one takes effect at once."""
        with self._context.lock:
            result = self.ledger.submit(change, self._validation_context(change.target))
            self._context.increment(f"changes_{result.status.value}")
            if result.status is ChangeStatus.ACCEPTED:
                self._notifier.on_content_changed(change, "made")
            return result

    def withdraw(self, change_id: str) -> ChangeResult:
        """Withdraw a change."""
        with self._context.lock:
            result = self.ledger.withdraw(change_id)
            self._context.increment(f"changes_{result.status.value}")
            if result.status is ChangeStatus.WITHDRAWN:
                self._notifier.on_content_changed(self.ledger.entries[change_id].change, "withdrawn")
            return result

    def restore(self, entries: Iterable[tuple[Change, bool]]) -> None:
        """Restore the changes of an earlier incarnation.

        Args:
            entries: The changes in their order, each with True if it was made and False if it was withdrawn.
        """
        with self._context.lock:
            for change, was_made in entries:
                if not was_made:
                    self.ledger.withdraw(change.id)
                elif change.id not in self.ledger.entries:
                    self.ledger.add(change)

    def list_changes(self, title: str | None = None) -> list[ChangeReach]:
        """Return all changes, or those of one title, with their reach; the oldest first."""
        with self._context.lock:
            return [
                self._change_reach(entry)
                for entry in self.ledger.entries.values()
                if title in (None, entry.change.target.title)
            ]

    def _validation_context(self, target: ChangeTarget) -> ValidationContext:
        """Collect what the ledger needs to know of a change's target to validate the change."""
        session = self._lifecycle.sessions.get(target.session_id) if target.session_id else None
        is_playing = target.session_id is None or (session is not None and session.title == target.title)
        player = self.players.get(session.id) if session is not None else None
        position = player.track.cursor.next_title_segment if player is not None else None
        floor = session.floor_rung if session is not None else self._highest_floor(target.service_class)
        return ValidationContext(self.media, floor, self._context.wall_us(), position, is_playing)

    def _highest_floor(self, service_class: str | None) -> int:
        """Return the floor rung of a service class, or the highest one of all classes."""
        floors = [
            known.floor
            for known in self._catalogue.service_classes.values()
            if service_class in (None, known.name)
        ]
        return max(floors, default=0)

    def _change_reach(self, entry: LedgerEntry) -> ChangeReach:
        shown_count = ahead_count = 0
        for id, player in self.players.items():
            session = self._lifecycle.sessions[id]
            if not entry.change.target.matches(session.title, session.service_class, id):
                continue
            if player.track.lists_change(entry.change.id):
                shown_count += 1
                continue
            first_segment = entry.change.first_segment(self.media[session.title])
            if first_segment is None or first_segment >= player.track.cursor.next_title_segment:
                ahead_count += 1
        return ChangeReach(entry, shown_count, ahead_count)

    # Playlists.

    def playlist(self, session_id: str, with_interstitials: bool = False) -> MediaListing | None:
        """Return a player's current playlist; None if the session does not play or its title has no media.

        Args:
            session_id: The session's id.
            with_interstitials: Whether clips are inserted as interstitials; the first call decides this for
                the whole session.
        """
        with self._context.lock:
            session = self._lifecycle.find_established(session_id)
            if session is None or session.title not in self.media:
                return None
            media, wall_us = self.media[session.title], self._context.wall_us()
            player = self.players.get(session_id)
            if player is None:
                player = self.players[session_id] = Player(
                    playlist_cursor.new_track(media, wall_us, with_interstitials)
                )
            track = player.track
            if self._playlists.extend(session, track, wall_us):
                self._save_resume_token(session, track)
            listed, discontinuity_sequence = track.window()
            return MediaListing(
                listed,
                discontinuity_sequence,
                track.is_ended,
                media.is_live,
                track.began_wall_us,
                self.media,
                self._playlists.interstitials(track, listed),
                track.cursor.interstitial_ids if track.is_ended else (),
            )

    # Segments.

    def locate_segment(self, session_id: str, sequence: int) -> Fetch | None:
        """Return where a player fetches a segment; None for one that its playlist has not listed."""
        with self._context.lock:
            session, player = self._lifecycle.sessions.get(session_id), self.players.get(session_id)
            if session is None or player is None:
                return None
            is_repeated = sequence <= player.track.last_fetched
            segment = player.track.on_segment_requested(sequence)
            if segment is None:
                return None
            tried = player.servers_tried(sequence)
            if not is_repeated:
                tried.clear()
            return self._locator.segment(session, segment, tried)

    def interstitial_rendition(self, session_id: str, change: str) -> ClipRendition | None:
        """Return an interstitial's clip and rung; None if it was not announced to this player."""
        with self._context.lock:
            session, player = self._lifecycle.sessions.get(session_id), self.players.get(session_id)
            entry = self.ledger.entries.get(change)
            if session is None or player is None or entry is None or entry.change.clip not in self.media:
                return None
            clip, track = self.media[entry.change.clip], player.track
            is_new = change not in track.interstitial_rungs
            rung = track.interstitial_rung(
                change, clip, session.rung, session.floor_rung, entry.withdrawn_version is not None
            )
            if rung is None:
                return None
            if is_new:
                self._save_resume_token(session, track)
            return ClipRendition(clip, rung)

    def locate_interstitial_segment(self, session_id: str, change: str, number: int) -> Fetch | None:
        """Return where a player fetches a segment of an interstitial; None before it has its playlist."""
        with self._context.lock:
            session, player = self._lifecycle.sessions.get(session_id), self.players.get(session_id)
            entry = self.ledger.entries.get(change)
            rung = player.track.interstitial_rungs.get(change) if player is not None else None
            if session is None or player is None or entry is None or rung is None:
                return None
            clip = self.media[entry.change.clip or ""]
            if number >= (clip.segment_count or 0):
                return None
            segment = interstitial_segment(clip, number, rung, change)
            tried = player.servers_tried(InterstitialSegment(change, number))
            return self._locator.segment(session, segment, tried)

    def locate_initialization(self, session_id: str, media: str, rung: int) -> Fetch | None:
        """Return where a player fetches a rendition's initialisation segment; None if it was not listed."""
        with self._context.lock:
            session, player = self._lifecycle.sessions.get(session_id), self.players.get(session_id)
            if session is None or player is None:
                return None
            for segment in (*player.track.segments, *self._playlists.begun_interstitials(player.track)):
                if segment.media == media and segment.rung == rung:
                    return self._locator.initialization(session, segment)
            return None

    # Sessions.

    def resume_playlist(self, session: Session, token: str) -> None:
        """Resume the playlist of an earlier incarnation's session from the token that its server stored."""
        track = resume_tokens.decode(token)
        if track is not None and session.title in self.media:
            self.players[session.id] = Player(track)

    def on_session_closed(self, session: Session) -> None:
        """Remove the player of a session that has ended."""
        self.players.pop(session.id, None)

    def _save_resume_token(self, session: Session, track: PlaylistTrack) -> None:
        """Have the session's server store a token of the playlist's position."""
        if session.current_target is not None and not session.is_orphaned:
            target = session.current_target
            token = resume_tokens.encode(track)
            self._commands.enqueue(Command(target.server, session.id, target.attempt, None, token))
