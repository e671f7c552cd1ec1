"""Stand-in viewers of the second door: the same habits, over one WebSocket that they open again when it is
lost.
"""

from __future__ import annotations

import random
from typing import Any

from fennelcove.emulators.clients import Heard, StandInViewer, Unanswered
from fennelcove.emulators.sockets import SocketPlayer
from fennelcove.http1.messages import ResponseHead

STATUS = {"playing": 201, "throttled": 503, "terminated": 504, "fault": 400}
REPORT_S = 0.5
RESUME_TRIES = 20
RESUME_PAUSE_S = 0.1


class StandInSocketViewer(StandInViewer):
    """A viewer that is told and does not poll."""

    def _open(self) -> SocketPlayer:
        chance = random.Random(f"{self.name}/{self.clock.now_us()}")
        deflates = chance.random() < 0.5
        return SocketPlayer(self.address(), self.clock, chance, deflates=deflates, witness=self.witness)

    def _cmcd(self, starved: bool = False, measured_kbit: int | None = None) -> dict[str, Any]:
        found: dict[str, Any] = {"sid": self.name, "cid": self.habits.title, "bs": starved}
        if self.habits.top_kbit is not None:
            found["tb"] = self.habits.top_kbit
        if measured_kbit is not None:
            found["mtp"] = measured_kbit // 100 * 100
        return found

    def _try(self, number: int) -> Heard | None:
        habits = self.habits
        told = {"viewer": self.name, "number": number}
        try:
            player = self._open()
        except Unanswered as error:
            # No connection, no request: what was never asked is owed no answer.
            self.recorder.note("no_connection", **told, how=error.how)
            return None
        told["front"] = player.address
        self.recorder.note(
            "asked",
            **told,
            room_type=habits.room_type,
            title=habits.title,
            timeout_ms=habits.timeout_s * 1000,
            temper=habits.temper,
        )
        ask: dict[str, Any] = {"room_type": habits.room_type, "client_timeout_ms": habits.timeout_s * 1000}
        ask |= {"cmcd": self._cmcd(), "retry": number > 0}
        if habits.top_rung is not None:
            ask["top_rung"] = habits.top_rung
        if self.place is not None:
            ask["place"] = self.place
        hangs_up = habits.hangs_up_after_s is not None and number == 0
        wait_s = min(habits.timeout_s, habits.hangs_up_after_s or habits.timeout_s)
        try:
            heard = player.ask("set-up", wait_s if hangs_up else habits.timeout_s, ask=ask)
        except Unanswered as error:
            how = "hung_up" if hangs_up and error.how == "timeout" else error.how.split()[0]
            self.recorder.note("unanswered", **told, how="reset" if how == "closed" else how)
            player.hang_up()
            return None
        state = heard.get("state") or {}
        self.recorder.note(
            "answered",
            **told,
            status=STATUS[heard["type"]],
            subscription=state.get("id") or heard.get("subscription"),
            rung=state.get("rung"),
            box=state.get("box"),
            retry_after=heard["type"] == "throttled",
            cmsd=None,
            detail=heard.get("detail"),
            wait_ms=heard.get("retry_after_ms"),
        )
        if heard["type"] == "playing":
            player = self._play(player, state)
        if any(item.get("ref") == heard["ref"] for item in player.heard):
            self.recorder.note("stray", **told)
        player.close()
        status = STATUS[heard["type"]]
        return Heard(status, ResponseHead(status, []), heard)

    def _play(self, player: SocketPlayer, state: dict[str, Any]) -> SocketPlayer:
        """Watch until the lesson is over or lost; the connection that is left."""
        id = state["id"]
        told = {"viewer": self.name, "subscription": id}
        until_us = self.clock.now_us() + round(self.habits.watch_s * 1e6)
        seen = 0
        while (left_s := (until_us - self.clock.now_us()) / 1e6) > 0 and not self.leaving.is_set():
            try:
                news = player.next(min(left_s, REPORT_S))
                if news is None:
                    share = self.share_of(state["box"])
                    starved = share < 0.98
                    measured = round(state["rate_kb"] * 8 * share) if starved else None
                    player.tell("report", subscription=id, cmcd=self._cmcd(starved, measured))
                    self.recorder.note("watches", **told, rung=state["rung"], share=round(share, 3))
                    continue
            except Unanswered:
                again = self._resume(id, seen)
                if again is None:
                    return player
                player, state = again
                continue
            if news.get("subscription") != id:
                continue
            seen = max(seen, news.get("number", 0))
            if news["type"] == "ended":
                self.recorder.note("lost", **told, status=410, detail=news["detail"])
                return player
            if news["type"] in ("rung", "moved"):
                state = state | {name: news[name] for name in ("rung", "rate_kb", "box") if name in news}
        if self.habits.vanishes:
            player.hang_up()
            return player
        self.recorder.note("releases", **told)
        try:
            player.ask("release", 2.0, subscription=id)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **told, how=error.how)
        return player

    def _resume(self, id: str, seen: int) -> tuple[SocketPlayer, dict[str, Any]] | None:
        """Another connection, and what was played on it; None where it has ended."""
        told = {"viewer": self.name, "subscription": id}
        for _ in range(RESUME_TRIES):
            self.leaving.wait(RESUME_PAUSE_S)
            try:
                player = self._open()
                heard = player.ask("resume", 2.0, subscription=id, seen=seen)
            except Unanswered:
                continue
            if heard["type"] == "resumed":
                self.recorder.note("resumed", **told, missed=heard.get("missed"))
                return player, heard["state"]
            player.close()
            if heard["kind"] == "ended":
                self.recorder.note("lost", **told, status=410, detail=heard["detail"])
                return None
        self.recorder.note("lost", **told, status=0, detail="could not be resumed")
        return None
