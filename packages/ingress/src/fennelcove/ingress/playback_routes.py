"""The session interface's second half: manifests and segments for players, changes for authors."""

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
FRESH = ("Cache-Control", "no-cache")
MOVING_MS = 50.0  # a home is made within some milliseconds
BUFFER_S = 2
CONFLICTS = (RejectionReason.OVERLAPS, RejectionReason.ID_TAKEN)
_ORDER: msgspec.json.Decoder[ChangeOrder] = msgspec.json.Decoder(ChangeOrder)
_INIT = re.compile(r"([A-Za-z0-9._-]{1,64})/([0-9]{1,4})\.mp4")


class PlaybackRoutes:
    """Answers for one front; `keep` writes a ruled change down before its author hears of it."""

    def __init__(self, core: Core, front: str, keep: Callable[[Change, bool, int], None]) -> None:
        self.core = core
        self.front = front
        self.keep = keep

    # Players.

    def manifest(self, id: str, name: str, says: ClientHints, apart: bool) -> Reply | None:
        """A manifest; None where nothing plays under this id."""
        view = self.core.on_client_report(id, says)
        if view is None:
            return None
        listing = self.core.content.playlist(id, apart)
        if listing is None:
            return replies.fault("unknown-title", "this title has no media; ask its box")
        kbit = {
            rung: round(kb * KBIT_PER_KB)
            for rung, kb in enumerate(self.core.catalogue.rates_kb(view.service_class))
        }
        fields = [FRESH, *replies.hints(view, "", self.front, None)]
        target = self.core.content.target_duration_s
        if name == "master.m3u8":
            lesson = self.core.content.media[view.title]
            text = hls.multivariant_playlist(max(kbit.values()) * 1000, kbit[view.rung] * 1000, lesson.codecs)
            return Reply(200, [HLS, *fields], text.encode())
        if name == "media.m3u8":
            return Reply(200, [HLS, *fields], hls.media_playlist(listing, target).encode())
        return Reply(200, [DASH, *fields], dash.media_presentation(listing, target, kbit, BUFFER_S).encode())

    def segment(self, id: str, seq: int, says: ClientHints) -> Reply | None:
        """Where a segment is to be had; None where nothing plays under this id."""
        view = self.core.on_client_report(id, says)
        if view is None:
            return None
        return self._sent(
            self.core.content.locate_segment(id, seq), replies.hints(view, "", self.front, None)
        )

    def asset(self, id: str, change: str, says: ClientHints) -> Reply | None:
        """The playlist of a clip told apart; None where nothing plays under this id."""
        view = self.core.on_client_report(id, says)
        if view is None:
            return None
        found = self.core.content.interstitial_rendition(id, change)
        if found is None:
            return replies.fault("not-shown")
        fields = [HLS, FRESH, *replies.hints(view, "", self.front, None)]
        return Reply(200, fields, hls.interstitial_playlist(change, *found).encode())

    def asset_segment(self, id: str, change: str, number: int, says: ClientHints) -> Reply | None:
        """Where a segment of a clip told apart is to be had."""
        view = self.core.on_client_report(id, says)
        if view is None:
            return None
        fetch = self.core.content.locate_interstitial_segment(id, change, number)
        return self._sent(fetch, replies.hints(view, "", self.front, None))

    def init(self, id: str, rest: str, says: ClientHints) -> Reply | None:
        """Where an initialisation is to be had."""
        view = self.core.on_client_report(id, says)
        match = _INIT.fullmatch(rest)
        if view is None:
            return None
        fetch = (
            self.core.content.locate_initialization(id, match[1], int(match[2]))
            if match is not None
            else None
        )
        return self._sent(fetch, replies.hints(view, "", self.front, None))

    def _sent(self, fetch: Fetch | None, hints: list[tuple[str, str]]) -> Reply:
        if fetch is None:
            return replies.fault("not-shown")
        if fetch.url:
            return Reply(307, [("Location", fetch.url), FRESH, *hints])
        if fetch.source is SegmentSource.WAIT:
            details = problem("moving", retry_after_ms=MOVING_MS)
            return Reply(503, [replies.PROBLEM_JSON, ("Retry-After", "1")], msgspec.json.encode(details))
        return replies.fault("not-shown", "no box can serve it any more", status=404)

    # Authors.

    def author(self, key: str, changes: bool) -> Author | Reply:
        """Whose key this is, or the answer to one who may not."""
        author = self.core.content.author_of_key(key) if key else None
        if author is None:
            reply = replies.fault("no-key", "send Authorization: Bearer and an author's key")
            reply.fields.append(("WWW-Authenticate", 'Bearer realm="changes"'))
            return reply
        if changes and not author.may_change:
            return replies.fault("not-permitted", f"{author.name} may look and not change")
        return author

    def submit(self, author: Author, body: bytes) -> Reply:
        """A change made, found made, or refused whole."""
        try:
            order = _ORDER.decode(body)
            change = _change(order, author.name)
        except (msgspec.MsgspecError, ValueError, ZeroDivisionError) as error:
            return replies.fault("malformed", str(error))
        verdict = self.core.content.submit(change)
        if verdict.status is ChangeStatus.REJECTED:
            return _refused(verdict)
        if verdict.status is ChangeStatus.ACCEPTED:
            self.keep(change, True, verdict.version)
        state = ChangeState(id=change.id, state=verdict.status.value, version=verdict.version)
        status = 201 if verdict.status is ChangeStatus.ACCEPTED else 200
        return Reply(
            status, [replies.JSON, ("Location", f"/v1/changes/{change.id}")], msgspec.json.encode(state)
        )

    def withdraw(self, id: str) -> Reply:
        """A change taken back, now or before."""
        verdict = self.core.content.withdraw(id)
        if verdict.status is ChangeStatus.UNKNOWN:
            return replies.fault("unknown-change", id[:80])
        change = self.core.content.ledger.entries[id].change
        self.keep(change, False, verdict.version)
        state = ChangeState(id=id, state=verdict.status.value, version=verdict.version)
        return Reply(200, [replies.JSON], msgspec.json.encode(state))

    def changes(self, title: str | None, id: str | None = None) -> Reply:
        """All changes, or one."""
        found = self.core.content.list_changes(title)
        if id is None:
            return Reply(200, [replies.JSON], msgspec.json.encode([_state(seen) for seen in found]))
        one = [seen for seen in found if seen.entry.change.id == id]
        if not one:
            return replies.fault("unknown-change", id[:80])
        return Reply(200, [replies.JSON], msgspec.json.encode(_state(one[0])))


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


def _refused(verdict: ChangeResult) -> Reply:
    assert verdict.reason is not None
    status = 409 if verdict.reason in CONFLICTS else 422
    details = msgspec.structs.replace(
        problem("refused-change", verdict.remedy, status), reason=verdict.reason.value
    )
    return Reply(status, [replies.PROBLEM_JSON], msgspec.json.encode(details))


def _time(at: Fraction | None) -> str | None:
    return None if at is None else str(at)


def _state(seen: ChangeReach) -> ChangeState:
    change, entry = seen.entry.change, seen.entry
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
        players_shown=seen.shown_count,
        players_ahead=seen.ahead_count,
    )
