"""Emulated HLS players: they parse manifests with a third-party parser, fetch segments and record stalls."""

from __future__ import annotations

from typing import Any

import m3u8
from fennelcove.emulators.clients import EmulatedClient, HttpClient, Response, Unanswered
from fennelcove.http1.messages import ResponseHead

INTERSTITIAL = "com.apple.hls.interstitial"
START_SEGMENTS = 2
BUFFER_SEGMENTS = 2.5  # target buffer length in segments
MAX_TRIES = 40
RETRY_PAUSE_S = 0.05


class EmulatedPlayer(EmulatedClient):
    """A client that plays its HLS media playlist in real time."""

    def _watch(self, player: HttpClient, session: dict[str, Any]) -> None:
        self.record_fields = {"viewer": self.name, "subscription": session["id"]}
        self.path = f"/v1/subscriptions/{session['id']}"
        self.front = player
        self.server_connections: dict[str, HttpClient] = {}
        self.next_seq = 0
        self.fetched: list[float] = []
        self.play_end_us = 0
        self.seams = 0
        self.last_server = ""
        self.seen_changes: set[str] = set()  # identifiers of the date ranges seen in a manifest
        self.played_interstitials: set[str] = set()  # identifiers of the interstitials already played
        ended = False
        until_us = self.clock.now_us() + round(self.behavior.watch_s * 1e6)
        try:
            while not ended and self.clock.now_us() < until_us and not self.stopping.is_set():
                ended = self._poll_playlist()
        finally:
            for connection in self.server_connections.values():
                connection.close()
        self.recorder.note(
            "played",
            **self.record_fields,
            segments=self.next_seq,
            seams=self.seams,
            ended=ended and not self.lost,
        )
        if not self.lost and not self.behavior.vanishes:
            self.recorder.note("releases", **self.record_fields)
            self._request("DELETE", self.path)

    lost = False
    target_s = 0.0

    def _request(
        self, method: str, path: str, fields: list[tuple[str, str]] | None = None
    ) -> Response | None:
        try:
            return self.front.ask(method, path, fields or [], b"", 2.0)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **self.record_fields, how=error.how)
            self.front = HttpClient(self.address(), self.clock, self.observer)
            self.stopping.wait(RETRY_PAUSE_S)
            return None

    def _poll_playlist(self) -> bool:
        """Fetch the playlist and play its new segments; return whether playback has ended."""
        query = "?interstitials=1" if self.behavior.apart else ""
        response = self._request("GET", f"{self.path}/media.m3u8{query}", self.cmcd_headers())
        if response is None:
            return False
        if response.status != 200:
            self.recorder.note(
                "lost", **self.record_fields, status=response.status, detail=response.body.get("detail")
            )
            self.lost = True
            return True
        playlist, first_wanted = m3u8.loads(response.text), self.next_seq
        self.target_s = float(playlist.target_duration)
        first = playlist.media_sequence or 0
        if first > self.next_seq:
            self.recorder.note("fell_off", **self.record_fields, first=first, wanted=self.next_seq)
            self.next_seq = first
        for i, segment in enumerate(playlist.segments):
            for daterange in segment.dateranges or ():
                if not self._on_daterange(daterange, first + i == self.next_seq):
                    return True
            if first + i == self.next_seq:
                if not self._segment(segment):
                    return True
                self.next_seq += 1
        is_over = playlist.is_endlist and self.next_seq == first + len(playlist.segments)
        if self.next_seq == first_wanted and not is_over:
            # Half a target duration if the playlist has no new segment (RFC 8216, section 6.3.4).
            self.stopping.wait(playlist.target_duration / 2)
        return bool(is_over)

    def _on_daterange(self, daterange: Any, is_reached: bool) -> bool:
        """Record a new date range, and play an interstitial once its position is reached."""
        if daterange.id not in self.seen_changes:
            self.seen_changes.add(daterange.id)
            self.recorder.note("sees", **self.record_fields, change=daterange.id)
        if not is_reached or daterange.class_ != INTERSTITIAL or daterange.id in self.played_interstitials:
            return True
        self.played_interstitials.add(daterange.id)
        asset = next(value for name, value in daterange.x_client_attrs if name == "x_asset_uri").strip('"')
        response = self._request("GET", f"{self.path}/{asset}", self.cmcd_headers())
        if response is None or response.status != 200:
            status = None if response is None else response.status
            self.recorder.note("denied", **self.record_fields, uri=asset, status=status, detail=None)
            self.lost = True
            return False
        clip = m3u8.loads(response.text)
        for number, segment in enumerate(clip.segments):
            segment.uri, segment.discontinuity = f"asset/{segment.uri}", number == 0
            if not self._segment(segment):
                return False
        return True

    def _segment(self, segment: Any) -> bool:
        """Fetch one segment once the buffer has room; return False if it is not available."""
        ahead_s = (self.play_end_us - self.clock.now_us()) / 1e6 if self.play_end_us else 0.0
        room_s = BUFFER_SEGMENTS * self.target_s
        if ahead_s > room_s:
            self.stopping.wait(ahead_s - room_s)
        for attempt in range(MAX_TRIES):
            if self.stopping.is_set():
                return False
            server = self._fetch(segment.uri)
            if server:
                self._record_playback(segment, server, attempt)
                return True
            if self.lost:
                return False
            self.recorder.note("tried_again", **self.record_fields, seq=self.next_seq)
            self.stopping.wait(RETRY_PAUSE_S)
        self.recorder.note("no_segment", **self.record_fields, seq=self.next_seq)
        return False

    def _fetch(self, uri: str) -> str:
        """Return the address of the server that delivered the segment, or "" if the request failed."""
        response = self._request("GET", f"{self.path}/{uri}", self.cmcd_headers())
        if response is None:
            return ""
        if response.status == 410:
            # The front reports the end of the session: recorded as a lost session, not as a denied segment.
            self.recorder.note(
                "lost", **self.record_fields, status=response.status, detail=response.body.get("detail")
            )
            self.lost = True
            return ""
        if response.status == 404:
            self.recorder.note(
                "denied",
                **self.record_fields,
                uri=uri,
                status=response.status,
                detail=response.body.get("detail"),
            )
            self.lost = True
            return ""
        if response.status != 307:
            return ""
        location = (response.head.get(b"location") or b"").decode().removeprefix("http://")
        address, _, path = location.partition("/")
        connection = self.server_connections.setdefault(address, HttpClient(address, self.clock))
        try:
            segment_response = connection.ask("GET", f"/{path}", [], b"", 1.0)
        except Unanswered:
            return ""
        assert isinstance(segment_response.head, ResponseHead)
        return address if segment_response.status == 200 else ""

    def _record_playback(self, segment: Any, server: str, attempt: int) -> None:
        now_us, seam = self.clock.now_us(), bool(segment.discontinuity)
        moved = bool(self.last_server) and server != self.last_server
        self.fetched.append(segment.duration)
        length_us = round(segment.duration * 1e6)
        if len(self.fetched) < START_SEGMENTS:
            pass
        elif not self.play_end_us:
            self.play_end_us = now_us + round(sum(self.fetched) * 1e6)
        elif now_us > self.play_end_us:
            late_ms = (now_us - self.play_end_us) / 1000
            self.recorder.note(
                "stall",
                **self.record_fields,
                seq=self.next_seq,
                ms=round(late_ms, 1),
                seam=seam,
                moved=moved,
                tries=attempt,
            )
            self.play_end_us = now_us + length_us
        else:
            self.play_end_us += length_us
        if seam:
            self.seams += 1
            self.recorder.note("seam", **self.record_fields, seq=self.next_seq, box=server)
        if moved:
            self.recorder.note(
                "other_box", **self.record_fields, seq=self.next_seq, box=server, was=self.last_server
            )
        self.last_server = server
