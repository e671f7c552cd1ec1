"""Manifests and segments for players, and content changes for authors."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import UTC, datetime
from fractions import Fraction

import msgspec
from fennelcove.core.content_insertion import ChangeReach
from fennelcove.core.core import Core
from fennelcove.core.segment_sources import Fetch
from fennelcove.decisions.playback.segment_routing import SegmentSource
from fennelcove.decisions.playback.splices import (
    ChangeResult,
    ChangeStatus,
    RejectionReason,
    parse_media_time,
)
from fennelcove.decisions.servers.load_signals import KBIT_PER_KB, ClientHints
from fennelcove.ingress import replies
from fennelcove.ingress.replies import Reply
from fennelcove.manifests import dash, hls
from fennelcove.manifests.exact_time import format_wall_time
from fennelcove.settings.schema import Author
from fennelcove.timeline.model import Change, ChangeKind, ChangeTarget
from fennelcove.wire.sessions import ChangeOrder, ChangeState, problem

HLS = ("Content-Type", "application/vnd.apple.mpegurl")
DASH = ("Content-Type", "application/dash+xml")
NO_CACHE = ("Cache-Control", "no-cache")
MIGRATION_RETRY_MS = 50.0  # a session migrates within a few milliseconds
BUFFER_S = 2
CONFLICTS = (RejectionReason.OVERLAPS, RejectionReason.ID_TAKEN)
_ORDER: msgspec.json.Decoder[ChangeOrder] = msgspec.json.Decoder(ChangeOrder)
_INIT = re.compile(r"([A-Za-z0-9._-]{1,64})/([0-9]{1,4})\.mp4")


class PlaybackRoutes:
    """Answers players and authors; `persist_change` stores a change before its author is answered."""

    def __init__(self, core: Core, front: str, persist_change: Callable[[Change, bool, int], None]) -> None:
        self.core = core
        self.front = front
        self.persist_change = persist_change

    # Players.

    def manifest(self, id: str, name: str, hints: ClientHints, as_interstitials: bool) -> Reply | None:
        """Return a manifest; None if no session with this id is playing."""
        view = self.core.on_client_report(id, hints)
        if view is None:
            return None
        listing = self.core.content.playlist(id, as_interstitials)
        if listing is None:
            return replies.fault("unknown-title", "this title has no media; ask its box")
        rung_kbit = {
            rung: round(rate_kb * KBIT_PER_KB)
            for rung, rate_kb in enumerate(self.core.catalogue.rates_kb(view.service_class))
        }
        fields = [NO_CACHE, *replies.cmsd_fields(view, "", self.front, None)]
        target = self.core.content.target_duration_s
        if name == "master.m3u8":
            media = self.core.content.media[view.title]
            text = hls.multivariant_playlist(
                max(rung_kbit.values()) * 1000, rung_kbit[view.rung] * 1000, media.codecs
            )
            return Reply(200, [HLS, *fields], text.encode())
        if name == "media.m3u8":
            return Reply(200, [HLS, *fields], hls.media_playlist(listing, target).encode())
        return Reply(
            200, [DASH, *fields], dash.media_presentation(listing, target, rung_kbit, BUFFER_S).encode()
        )

    def segment(self, id: str, seq: int, hints: ClientHints) -> Reply | None:
        """Redirect to the source of a segment; None if no session with this id is playing."""
        view = self.core.on_client_report(id, hints)
        if view is None:
            return None
        return self._segment_reply(
            self.core.content.locate_segment(id, seq), replies.cmsd_fields(view, "", self.front, None)
        )

    def asset(self, id: str, change: str, hints: ClientHints) -> Reply | None:
        """Return the playlist of an interstitial; None if no session with this id is playing."""
        view = self.core.on_client_report(id, hints)
        if view is None:
            return None
        found = self.core.content.interstitial_rendition(id, change)
        if found is None:
            return replies.fault("not-shown")
        fields = [HLS, NO_CACHE, *replies.cmsd_fields(view, "", self.front, None)]
        return Reply(200, fields, hls.interstitial_playlist(change, *found).encode())

    def asset_segment(self, id: str, change: str, number: int, hints: ClientHints) -> Reply | None:
        """Redirect to the source of an interstitial's segment; None if no session with this id is playing."""
        view = self.core.on_client_report(id, hints)
        if view is None:
            return None
        fetch = self.core.content.locate_interstitial_segment(id, change, number)
        return self._segment_reply(fetch, replies.cmsd_fields(view, "", self.front, None))

    def init(self, id: str, resource: str, hints: ClientHints) -> Reply | None:
        """Redirect to the source of an initialization segment; None if no session with this id is playing."""
        view = self.core.on_client_report(id, hints)
        match = _INIT.fullmatch(resource)
        if view is None:
            return None
        fetch = (
            self.core.content.locate_initialization(id, match[1], int(match[2]))
            if match is not None
            else None
        )
        return self._segment_reply(fetch, replies.cmsd_fields(view, "", self.front, None))

    def _segment_reply(self, fetch: Fetch | None, fields: list[tuple[str, str]]) -> Reply:
        if fetch is None:
            return replies.fault("not-shown")
        if fetch.url:
            return Reply(307, [("Location", fetch.url), NO_CACHE, *fields])
        if fetch.source is SegmentSource.WAIT:
            details = problem("moving", retry_after_ms=MIGRATION_RETRY_MS)
            return Reply(503, [replies.PROBLEM_JSON, ("Retry-After", "1")], msgspec.json.encode(details))
        return replies.fault("not-shown", "no box can serve it any more", status=404)

    # Authors.

    def author(self, key: str, needs_write: bool) -> Author | Reply:
        """Return the author with this key, or the rejection if the key is unknown or lacks the permission."""
        author = self.core.content.author_of_key(key) if key else None
        if author is None:
            reply = replies.fault("no-key", "send Authorization: Bearer and an author's key")
            reply.fields.append(("WWW-Authenticate", 'Bearer realm="changes"'))
            return reply
        if needs_write and not author.may_change:
            return replies.fault("not-permitted", f"{author.name} may look and not change")
        return author

    def submit(self, author: Author, body: bytes) -> Reply:
        """Apply a change; confirm one that was already applied, reject an invalid one as a whole."""
        try:
            order = _ORDER.decode(body)
            change = _change(order, author.name)
        except (msgspec.MsgspecError, ValueError, ZeroDivisionError) as error:
            return replies.fault("malformed", str(error))
        verdict = self.core.content.submit(change)
        if verdict.status is ChangeStatus.REJECTED:
            return _rejected(verdict)
        if verdict.status is ChangeStatus.ACCEPTED:
            self.persist_change(change, True, verdict.version)
        state = ChangeState(id=change.id, state=verdict.status.value, version=verdict.version)
        status = 201 if verdict.status is ChangeStatus.ACCEPTED else 200
        return Reply(
            status, [replies.JSON, ("Location", f"/v1/changes/{change.id}")], msgspec.json.encode(state)
        )

    def withdraw(self, id: str) -> Reply:
        """Withdraw a change; confirm one that was already withdrawn."""
        verdict = self.core.content.withdraw(id)
        if verdict.status is ChangeStatus.UNKNOWN:
            return replies.fault("unknown-change", id[:80])
        change = self.core.content.ledger.entries[id].change
        self.persist_change(change, False, verdict.version)
        state = ChangeState(id=id, state=verdict.status.value, version=verdict.version)
        return Reply(200, [replies.JSON], msgspec.json.encode(state))

    def changes(self, title: str | None, id: str | None = None) -> Reply:
        """Return all changes, all of a title, or the one with this id."""
        found = self.core.content.list_changes(title)
        if id is None:
            return Reply(
                200,
                [replies.JSON],
                msgspec.json.encode([_change_state(change_reach) for change_reach in found]),
            )
        matching = [change_reach for change_reach in found if change_reach.entry.change.id == id]
        if not matching:
            return replies.fault("unknown-change", id[:80])
        return Reply(200, [replies.JSON], msgspec.json.encode(_change_state(matching[0])))


def _change(order: ChangeOrder, author: str) -> Change:
    wall_us = None
    if order.wall is not None:
        if order.wall.tzinfo is None:
            raise ValueError("wall: a time needs its zone, such as Z")
        since = order.wall - datetime(1970, 1, 1, tzinfo=UTC)
        wall_us = (since.days * 86_400 + since.seconds) * 1_000_000 + since.microseconds
    return Change(
        order.id,
        author,
        ChangeTarget(order.title, order.room_type, order.subscription),
        ChangeKind(order.kind),
        order.clip,
        None if order.at is None else parse_media_time(order.at),
        None if order.until is None else parse_media_time(order.until),
        wall_us,
    )


def _rejected(verdict: ChangeResult) -> Reply:
    assert verdict.reason is not None
    status = 409 if verdict.reason in CONFLICTS else 422
    details = msgspec.structs.replace(
        problem("refused-change", verdict.remedy, status), reason=verdict.reason.value
    )
    return Reply(status, [replies.PROBLEM_JSON], msgspec.json.encode(details))


def _time(at: Fraction | None) -> str | None:
    return None if at is None else str(at)


def _change_state(change_reach: ChangeReach) -> ChangeState:
    change, entry = change_reach.entry.change, change_reach.entry
    return ChangeState(
        id=change.id,
        state="made" if entry.withdrawn_version is None else "withdrawn",
        version=entry.version,
        author=change.author,
        kind=change.kind.value,
        title=change.target.title,
        room_type=change.target.service_class,
        subscription=change.target.session_id,
        clip=change.clip,
        at=_time(change.start_s),
        until=_time(change.end_s),
        wall=None if change.wall_us is None else format_wall_time(change.wall_us),
        players_shown=change_reach.shown_count,
        players_ahead=change_reach.ahead_count,
    )
