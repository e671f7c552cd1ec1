"""The core's part that concerns changes to lessons and what players are shown; the core's lock is round all
of it."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field

import blake3

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import Session
from fennelcove.decisions.playback import segment_routing, playlist_cursor
from fennelcove.decisions.servers.command_queue import Command
from fennelcove.decisions.playback.splices import Entry, Ledger, Ruling, Scene, Verdict
from fennelcove.decisions.playback.segment_routing import Offer, Source
from fennelcove.decisions.playback.playlist_cursor import PlaylistTrack, Viewpoint
from fennelcove.interface import ServerState
from fennelcove.manifests.hls import Interstitial, Listing, target_duration
from fennelcove.placement import PlacementPolicy, Server
from fennelcove.settings.schema import Author, StitchSettings
from fennelcove.decisions.playback import resume_tokens
from fennelcove.timeline.model import Change, Media, Shown

MOST_TRIED = 8


@dataclass(slots=True, eq=False)
class Player:
    """One subscription's track, and where its fetches have failed."""

    track: PlaylistTrack
    tried: dict[int | tuple[str, int], list[str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fetch:
    """Where a player's segment or initialisation is to be had; without a box, why not."""

    source: Source
    url: str = ""


@dataclass(frozen=True, slots=True)
class Seen:
    """A change and how many players' tracks have it, and have passed it by."""

    entry: Entry
    shown: int
    ahead: int


class ContentInsertion:
    """Media of the settings, the ledger of changes, and each player's track."""

    def __init__(
        self,
        context: CoreContext,
        settings: StitchSettings,
        catalogue: Catalogue,
        front: PlacementPolicy,
        lifecycle: SessionLifecycle,
        orders: CommandDispatcher,
        pushes: ClientNotifier,
    ) -> None:
        self.context = context
        self.settings = settings
        self.catalogue = catalogue
        self.front = front
        self.lifecycle = lifecycle
        self.orders = orders
        self.pushes = pushes
        ladder = tuple(range(len(catalogue.ladder_kb)))
        self.media: dict[str, Media] = {}
        for _, title in catalogue.titles.values():
            told = title.media
            if told is not None:
                rungs = tuple(sorted(told.rungs)) or ladder
                self.media[title.name] = Media(
                    title.name,
                    told.timescale,
                    told.segment_ticks,
                    told.segments,
                    rungs,
                    told.codecs,
                    told.live_from_ms * 1000,
                )
        self.target = target_duration(self.media.values())
        self.ledger = Ledger()
        self.players: dict[str, Player] = {}
        self.slate = settings.slate

    # Authors.

    def author(self, key: str) -> Author | None:
        """Whose key this is. Every hash is compared, and each in constant time."""
        hashed = blake3.blake3(key.encode()).hexdigest()
        found = None
        for author in self.settings.authors:
            if hmac.compare_digest(author.key_hash, hashed):
                found = author
        return found

    def submit(self, change: Change) -> Verdict:
        """Rule on a change; one that is made is in force at once."""
        with self.context.lock:
            target = change.target
            session = self.lifecycle.held.get(target.subscription) if target.subscription else None
            playing = target.subscription is None or (session is not None and session.title == target.title)
            service_classes = self.catalogue.service_classes.values()
            floors = [
                service_class.floor
                for service_class in service_classes
                if target.room_type in (None, service_class.name)
            ]
            floor = session.floor if session is not None else max(floors, default=0)
            held = self.players.get(session.id) if session is not None else None
            shown = held.track.cursor.lesson if held is not None else None
            scene = Scene(self.media, floor, self.context.wall_us(), shown, playing)
            verdict = self.ledger.submit(change, scene)
            self.context.tally(f"changes_{verdict.ruling.value}")
            if verdict.ruling is Ruling.MADE:
                self.pushes.stitched(change, "made")
            return verdict

    def withdraw(self, id: str) -> Verdict:
        """Take a change back."""
        with self.context.lock:
            verdict = self.ledger.withdraw(id)
            self.context.tally(f"changes_{verdict.ruling.value}")
            if verdict.ruling is Ruling.WITHDRAWN:
                self.pushes.stitched(self.ledger.entries[id].change, "withdrawn")
            return verdict

    def restore(self, entries: Iterable[tuple[Change, bool]]) -> None:
        """Changes that an earlier life of this front made, in their order, and whether each was withdrawn."""
        with self.context.lock:
            for change, made in entries:
                if made and change.id not in self.ledger.entries:
                    self.ledger.put(change)
                elif not made:
                    self.ledger.withdraw(change.id)

    def changes(self, title: str | None = None) -> list[Seen]:
        """Every change, the oldest first, with how many players it has reached."""
        with self.context.lock:
            found = []
            for entry in self.ledger.entries.values():
                if title in (None, entry.change.target.title):
                    found.append(self._seen(entry))
            return found

    def _seen(self, entry: Entry) -> Seen:
        shown = ahead = 0
        for id, player in self.players.items():
            session = self.lifecycle.held[id]
            if entry.change.target.meets(session.title, session.service_class, id):
                here = player.track.names(entry.change.id)
                shown += here
                first = entry.change.first(self.media[session.title])
                ahead += not here and (first is None or first >= player.track.cursor.lesson)
        return Seen(entry, shown, ahead)

    # Players.

    def listing(self, id: str, apart: bool = False) -> Listing | None:
        """What a player's manifest names now; None where nothing plays or the title has no media.

        Its first manifest settles whether it has clips apart from the lesson, for as long as it plays.
        """
        with self.context.lock:
            session = self.lifecycle.playing(id)
            if session is None or session.title not in self.media:
                return None
            lesson, wall_us = self.media[session.title], self.context.wall_us()
            player = self.players.get(id)
            if player is None:
                player = self.players[id] = Player(playlist_cursor.begin(lesson, wall_us, apart))
            track = player.track
            new = 0
            # Twice after a restart: by the changes of the mark's time, then by those of now.
            for _ in range(2):
                at_version = track.replays()
                view = self._view(session, track, wall_us, at_version)
                version = self.ledger.version if at_version is None else at_version
                new += track.extend(view, version)
                if at_version is None:
                    break
            if new:
                self._mark(session, track)
            shown, joints = track.window()
            return Listing(
                shown,
                joints,
                track.ended,
                lesson.live,
                track.began_wall_us,
                self.media,
                self._breaks(track, shown),
                track.cursor.breaks if track.ended else (),
            )

    def _breaks(self, track: PlaylistTrack, shown: list[Shown]) -> dict[str, Interstitial]:
        """The clips told apart in a manifest; one withdrawn is told only to who has begun it."""
        found = {}
        for id in (*(id for item in shown for id in item.breaks), *track.cursor.breaks):
            entry = self.ledger.entries.get(id)
            if entry is None or (entry.withdrawn is not None and id not in track.begun):
                continue
            found[id] = Interstitial(id, self.media[entry.change.clip or ""])
        return found

    def asset(self, id: str, change: str) -> tuple[Media, int] | None:
        """A clip told apart and its rung; None for one that this player was not told of."""
        with self.context.lock:
            session, player = self.lifecycle.held.get(id), self.players.get(id)
            entry = self.ledger.entries.get(change)
            if session is None or player is None or entry is None or entry.change.clip not in self.media:
                return None
            clip, track = self.media[entry.change.clip], player.track
            new = change not in track.begun
            rung = track.asset(change, clip, session.rung, session.floor, entry.withdrawn is not None)
            if rung is None:
                return None
            if new:
                self._mark(session, track)
            return clip, rung

    def asset_segment(self, id: str, change: str, number: int) -> Fetch | None:
        """Where a player fetches a segment of a clip told apart, once it has the clip's playlist."""
        with self.context.lock:
            session, player = self.lifecycle.held.get(id), self.players.get(id)
            entry = self.ledger.entries.get(change)
            rung = player.track.begun.get(change) if player is not None else None
            if session is None or player is None or entry is None or rung is None:
                return None
            clip = self.media[entry.change.clip or ""]
            if number >= (clip.count or 0):
                return None
            beginning = playlist_cursor.BEGINNING
            shown = Shown(-1, clip.name, number, rung, clip.start(number), clip.each, beginning, change)
            return self._fetch(session, shown, self._tried(player, (change, number)))

    def _tried(self, player: Player, key: int | tuple[str, int]) -> list[str]:
        tried = player.tried.setdefault(key, [])
        while len(player.tried) > playlist_cursor.KEPT:
            del player.tried[next(iter(player.tried))]
        return tried

    def _view(
        self, session: Session, track: PlaylistTrack, wall_us: int, at_version: int | None
    ) -> Viewpoint:
        changes = tuple(self.ledger.standing(session.title, at_version))
        return Viewpoint(
            self.media,
            session.title,
            session.service_class,
            session.id,
            changes,
            session.rung,
            session.floor,
            wall_us,
            track.began_wall_us,
            self._playable,
            track.apart,
        )

    def _playable(self, clip: str) -> bool:
        return self.slate is not None or bool(self._replicas(clip))

    def _mark(self, session: Session, track: PlaylistTrack) -> None:
        if session.home is not None and not session.adrift:
            home = session.home
            self.orders.put(Command(home.server, session.id, home.attempt, None, resume_tokens.write(track)))

    def adopt(self, session: Session, mark: str) -> None:
        """A subscription of an earlier life goes on where its box says that it was."""
        track = resume_tokens.read(mark)
        if track is not None and session.title in self.media:
            self.players[session.id] = Player(track)

    def segment(self, id: str, seq: int) -> Fetch | None:
        """Where a player fetches a segment that it was shown; None for one that it was not."""
        with self.context.lock:
            session, player = self.lifecycle.held.get(id), self.players.get(id)
            if session is None or player is None:
                return None
            again = seq <= player.track.fetched
            shown = player.track.fetch(seq)
            if shown is None:
                return None
            tried = self._tried(player, seq)
            if not again:
                tried.clear()
            return self._fetch(session, shown, tried)

    def _fetch(self, session: Session, shown: Shown, tried: list[str]) -> Fetch:
        title = session.title
        offer = self._offer(session, shown)
        if shown.media == title:
            pick = segment_routing.pick_lesson(offer)
        else:
            pick = segment_routing.pick_clip(offer, tuple(tried))
        self.context.tally(f"segments_{pick.source.name.lower()}")
        if not pick.server:
            return Fetch(pick.source)
        if len(tried) < MOST_TRIED:
            tried.append(pick.server)
        name, rung, number, more = shown.media, shown.rung, shown.number, ""
        if pick.source is Source.LOWER:
            rung = self._lower(shown, session.floor)
        elif pick.source is Source.SLATE:
            name, number, more = self.slate or "", 0, f"&duration={float(shown.duration):.6f}"
        attempt = session.home.attempt if session.home is not None else 0
        query = f"subscription={session.id}&join={attempt}{more}"
        return Fetch(pick.source, f"http://{pick.server}/media/{name}/{rung}/{number}.m4s?{query}")

    def _lower(self, shown: Shown, floor: int) -> int:
        under = [rung for rung in self.media[shown.media].rungs if floor <= rung < shown.rung]
        return max(under, default=shown.rung)

    def _offer(self, session: Session, shown: Shown) -> Offer:
        home = None
        if session.home is not None and not session.adrift:
            server = self.front.servers.get(session.home.server)
            if server is not None and server.standing is not ServerState.LEFT:
                home = session.home.server
        if shown.media == session.title:
            return Offer(home, True, (), (), None)
        kb = session.rates_kb[shown.rung]
        replicas = self._replicas(shown.media)
        holds = any(server.address == home for server in replicas)
        lower = self._lower(shown, session.floor)
        fewer = self._drawn(replicas, session.rates_kb[lower]) if lower < shown.rung else []
        slate: str | None = None
        if self.slate is not None:
            usable = [server.address for server in self._replicas(self.slate)]
            slate = home if home in usable else (usable[0] if usable else None)
        return Offer(home, holds, self._drawn(replicas, kb), fewer, slate)

    def _replicas(self, title: str) -> list[Server]:
        """Boxes in service that hold a title and look well, by the module's own knowledge."""
        front, (_, told) = self.front, self.catalogue.titles[title]
        cells = {(told.first_cell + i) % self.catalogue.cells for i in range(told.cells)}
        return [
            server
            for cell in sorted(cells)
            for server in front.replicas.get(cell, ())
            if server.standing is ServerState.ACTIVE and front.is_well(server)
        ]

    def _drawn(self, replicas: list[Server], kb: float) -> list[str]:
        """The feasible ones, one drawn by the design's factors first."""
        front = self.front
        front.weigh(replicas)
        scored = [(server, *front.factors(server, kb)) for server in replicas]
        feasible = [row for row in scored if row[1] < float("inf") and row[2] < float("inf")]
        if not feasible:
            return []
        first = front.draw(feasible)
        return [first.address, *(row[0].address for row in feasible if row[0] is not first)]

    def init(self, id: str, media: str, rung: int) -> Fetch | None:
        """Where a player fetches the initialisation of a rendition that it was shown."""
        with self.context.lock:
            session, player = self.lifecycle.held.get(id), self.players.get(id)
            if session is None or player is None:
                return None
            for shown in (*player.track.shown, *self._begun(player.track)):
                if shown.media == media and shown.rung == rung:
                    offer = self._offer(session, shown)
                    lesson = media == session.title
                    pick = (
                        segment_routing.pick_lesson(offer) if lesson else segment_routing.pick_clip(offer, ())
                    )
                    return Fetch(
                        pick.source,
                        f"http://{pick.server}/media/{media}/{rung}/init.mp4" if pick.server else "",
                    )
            return None

    def _begun(self, track: PlaylistTrack) -> Iterable[Shown]:
        for id, rung in track.begun.items():
            entry = self.ledger.entries.get(id)
            clip = self.media.get(entry.change.clip or "") if entry is not None else None
            if clip is not None:
                yield Shown(-1, clip.name, 0, rung, clip.start(0), clip.each, playlist_cursor.BEGINNING, id)

    def over(self, session: Session) -> None:
        """The subscription has ended."""
        self.players.pop(session.id, None)
