"""Stand-in players: HLS manifests read by a parser that is not ours, segments fetched, stalls noted."""

from __future__ import annotations

from typing import Any

import m3u8
from fennelcove.emulators.clients import Heard, Player, StandInViewer, Unanswered
from fennelcove.http1.messages import ResponseHead

INTERSTITIAL = "com.apple.hls.interstitial"
START_SEGMENTS = 2
BUFFERED = 2.5  # segments that a player keeps ahead
MOST_TRIES = 40
PAUSE_S = 0.05


class StandInPlayer(StandInViewer):
    """A viewer that plays what its manifests say, in real time."""

    def _watch(self, player: Player, fields: dict[str, Any]) -> None:
        self.told = {"viewer": self.name, "subscription": fields["id"]}
        self.path = f"/v1/subscriptions/{fields['id']}"
        self.front = player
        self.boxes: dict[str, Player] = {}
        self.next_seq = 0
        self.fetched: list[float] = []
        self.play_end_us = 0
        self.seams = 0
        self.last_box = ""
        self.met: set[str] = set()  # changes seen in a manifest
        self.played: set[str] = set()  # clips told apart that were played
        ended = False
        until_us = self.clock.now_us() + round(self.habits.watch_s * 1e6)
        try:
            while not ended and self.clock.now_us() < until_us and not self.leaving.is_set():
                ended = self._round()
        finally:
            for box in self.boxes.values():
                box.close()
        self.recorder.note(
            "played", **self.told, segments=self.next_seq, seams=self.seams, ended=ended and not self.lost
        )
        if not self.lost and not self.habits.vanishes:
            self.recorder.note("releases", **self.told)
            self._ask("DELETE", self.path)

    lost = False
    target_s = 0.0

    def _ask(self, method: str, path: str, fields: list[tuple[str, str]] | None = None) -> Heard | None:
        try:
            return self.front.ask(method, path, fields or [], b"", 2.0)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **self.told, how=error.how)
            self.front = Player(self.address(), self.clock, self.witness)
            self.leaving.wait(PAUSE_S)
            return None

    def _round(self) -> bool:
        """One manifest and what is new in it; whether the lesson is over."""
        query = "?interstitials=1" if self.habits.apart else ""
        heard = self._ask("GET", f"{self.path}/media.m3u8{query}", self.hints())
        if heard is None:
            return False
        if heard.status != 200:
            self.recorder.note("lost", **self.told, status=heard.status, detail=heard.body.get("detail"))
            self.lost = True
            return True
        listed, asked_from = m3u8.loads(heard.text), self.next_seq
        self.target_s = float(listed.target_duration)
        first = listed.media_sequence or 0
        if first > self.next_seq:
            self.recorder.note("fell_off", **self.told, first=first, wanted=self.next_seq)
            self.next_seq = first
        for i, segment in enumerate(listed.segments):
            for told in segment.dateranges or ():
                if not self._told(told, first + i == self.next_seq):
                    return True
            if first + i == self.next_seq:
                if not self._segment(segment):
                    return True
                self.next_seq += 1
        over = listed.is_endlist and self.next_seq == first + len(listed.segments)
        if self.next_seq == asked_from and not over:
            # Half a target duration where nothing is new (RFC 8216, section 6.3.4).
            self.leaving.wait(listed.target_duration / 2)
        return bool(over)

    def _told(self, told: Any, here: bool) -> bool:
        """A change is seen for the first time; one told apart is played where its place is reached."""
        if told.id not in self.met:
            self.met.add(told.id)
            self.recorder.note("sees", **self.told, change=told.id)
        if not here or told.class_ != INTERSTITIAL or told.id in self.played:
            return True
        self.played.add(told.id)
        asset = next(value for name, value in told.x_client_attrs if name == "x_asset_uri").strip('"')
        heard = self._ask("GET", f"{self.path}/{asset}", self.hints())
        if heard is None or heard.status != 200:
            status = None if heard is None else heard.status
            self.recorder.note("denied", **self.told, uri=asset, status=status, detail=None)
            self.lost = True
            return False
        clip = m3u8.loads(heard.text)
        for number, segment in enumerate(clip.segments):
            segment.uri, segment.discontinuity = f"asset/{segment.uri}", number == 0
            if not self._segment(segment):
                return False
        return True

    def _segment(self, segment: Any) -> bool:
        """Fetch one segment when the buffer has room for it; False where it can't be had."""
        ahead_s = (self.play_end_us - self.clock.now_us()) / 1e6 if self.play_end_us else 0.0
        room_s = BUFFERED * self.target_s
        if ahead_s > room_s:
            self.leaving.wait(ahead_s - room_s)
        for attempt in range(MOST_TRIES):
            if self.leaving.is_set():
                return False
            box = self._fetch(segment.uri)
            if box:
                self._played(segment, box, attempt)
                return True
            if self.lost:
                return False
            self.recorder.note("tried_again", **self.told, seq=self.next_seq)
            self.leaving.wait(PAUSE_S)
        self.recorder.note("no_segment", **self.told, seq=self.next_seq)
        return False

    def _fetch(self, uri: str) -> str:
        """The box that served it whole; nothing where it must be tried again."""
        heard = self._ask("GET", f"{self.path}/{uri}", self.hints())
        if heard is None:
            return ""
        if heard.status == 410:
            # The subscription has ended, and its front says so: a loss, and no segment denied.
            self.recorder.note("lost", **self.told, status=heard.status, detail=heard.body.get("detail"))
            self.lost = True
            return ""
        if heard.status == 404:
            self.recorder.note(
                "denied", **self.told, uri=uri, status=heard.status, detail=heard.body.get("detail")
            )
            self.lost = True
            return ""
        if heard.status != 307:
            return ""
        where = (heard.head.get(b"location") or b"").decode().removeprefix("http://")
        address, _, path = where.partition("/")
        box = self.boxes.setdefault(address, Player(address, self.clock))
        try:
            got = box.ask("GET", f"/{path}", [], b"", 1.0)
        except Unanswered:
            return ""
        assert isinstance(got.head, ResponseHead)
        return address if got.status == 200 else ""

    def _played(self, segment: Any, box: str, attempt: int) -> None:
        now_us, seam = self.clock.now_us(), bool(segment.discontinuity)
        moved = bool(self.last_box) and box != self.last_box
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
                **self.told,
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
            self.recorder.note("seam", **self.told, seq=self.next_seq, box=box)
        if moved:
            self.recorder.note("other_box", **self.told, seq=self.next_seq, box=box, was=self.last_box)
        self.last_box = box
