"""Emulated clients of the WebSocket API, with the same behavior as those of the HTTP API.

A lost connection is opened again and the session resumed.
"""

from __future__ import annotations

import random
from typing import Any

from fennelcove.emulators.clients import EmulatedClient, Response, Unanswered
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.http1.messages import ResponseHead

STATUS_BY_TYPE = {"playing": 201, "throttled": 503, "terminated": 504, "fault": 400}
REPORT_INTERVAL_S = 0.5
RESUME_TRIES = 20
RESUME_PAUSE_S = 0.1


class EmulatedWebSocketClient(EmulatedClient):
    """A client that receives events over a WebSocket instead of polling."""

    def _open(self) -> WebSocketClient:
        rng = random.Random(f"{self.name}/{self.clock.now_us()}")
        deflates = rng.random() < 0.5
        return WebSocketClient(self.address(), self.clock, rng, deflates=deflates, observer=self.observer)

    def _cmcd(self, starved: bool = False, measured_kbit: int | None = None) -> dict[str, Any]:
        hints: dict[str, Any] = {"sid": self.name, "cid": self.behavior.title, "bs": starved}
        if self.behavior.top_kbit is not None:
            hints["tb"] = self.behavior.top_kbit
        if measured_kbit is not None:
            hints["mtp"] = measured_kbit // 100 * 100
        return hints

    def _attempt(self, number: int) -> Response | None:
        behavior = self.behavior
        record_fields = {"viewer": self.name, "number": number}
        try:
            player = self._open()
        except Unanswered as error:
            # Without a connection no request was sent, so none must be recorded as left without a response.
            self.recorder.note("no_connection", **record_fields, how=error.how)
            return None
        record_fields["front"] = player.address
        self.recorder.note(
            "asked",
            **record_fields,
            room_type=behavior.room_type,
            title=behavior.title,
            timeout_ms=behavior.timeout_s * 1000,
            temper=behavior.temper,
        )
        ask: dict[str, Any] = {
            "room_type": behavior.room_type,
            "client_timeout_ms": behavior.timeout_s * 1000,
        }
        ask |= {"cmcd": self._cmcd(), "retry": number > 0}
        if behavior.top_rung is not None:
            ask["top_rung"] = behavior.top_rung
        if self.queue_token is not None:
            ask["place"] = self.queue_token
        hangs_up = behavior.hangs_up_after_s is not None and number == 0
        wait_s = min(behavior.timeout_s, behavior.hangs_up_after_s or behavior.timeout_s)
        try:
            response = player.ask("set-up", wait_s if hangs_up else behavior.timeout_s, ask=ask)
        except Unanswered as error:
            how = "hung_up" if hangs_up and error.how == "timeout" else error.how.split()[0]
            self.recorder.note("unanswered", **record_fields, how="reset" if how == "closed" else how)
            player.hang_up()
            return None
        state = response.get("state") or {}
        self.recorder.note(
            "answered",
            **record_fields,
            status=STATUS_BY_TYPE[response["type"]],
            subscription=state.get("id") or response.get("subscription"),
            rung=state.get("rung"),
            box=state.get("box"),
            retry_after=response["type"] == "throttled",
            cmsd=None,
            detail=response.get("detail"),
            wait_ms=response.get("retry_after_ms"),
        )
        if response["type"] == "playing":
            player = self._play(player, state)
        if any(item.get("ref") == response["ref"] for item in player.inbox):
            self.recorder.note("stray", **record_fields)
        player.close()
        status = STATUS_BY_TYPE[response["type"]]
        return Response(status, ResponseHead(status, []), response)

    def _play(self, player: WebSocketClient, state: dict[str, Any]) -> WebSocketClient:
        """Watch until the end or until the session is lost; return the connection last used."""
        id = state["id"]
        record_fields = {"viewer": self.name, "subscription": id}
        until_us = self.clock.now_us() + round(self.behavior.watch_s * 1e6)
        seen = 0
        while (left_s := (until_us - self.clock.now_us()) / 1e6) > 0 and not self.stopping.is_set():
            try:
                message = player.next(min(left_s, REPORT_INTERVAL_S))
                if message is None:
                    share = self.share_of(state["box"])
                    starved = share < 0.98
                    measured = round(state["rate_kb"] * 8 * share) if starved else None
                    player.send_message("report", subscription=id, cmcd=self._cmcd(starved, measured))
                    self.recorder.note("watches", **record_fields, rung=state["rung"], share=round(share, 3))
                    continue
            except Unanswered:
                resumed = self._resume(id, seen)
                if resumed is None:
                    return player
                player, state = resumed
                continue
            if message.get("subscription") != id:
                continue
            seen = max(seen, message.get("number", 0))
            if message["type"] == "ended":
                self.recorder.note("lost", **record_fields, status=410, detail=message["detail"])
                return player
            if message["type"] in ("rung", "moved"):
                state = state | {
                    name: message[name] for name in ("rung", "rate_kb", "box") if name in message
                }
        if self.behavior.vanishes:
            player.hang_up()
            return player
        self.recorder.note("releases", **record_fields)
        try:
            player.ask("release", 2.0, subscription=id)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **record_fields, how=error.how)
        return player

    def _resume(self, id: str, seen: int) -> tuple[WebSocketClient, dict[str, Any]] | None:
        """Resume the session on a new connection; return both, or None if the session has ended."""
        record_fields = {"viewer": self.name, "subscription": id}
        for _ in range(RESUME_TRIES):
            self.stopping.wait(RESUME_PAUSE_S)
            try:
                player = self._open()
                response = player.ask("resume", 2.0, subscription=id, seen=seen)
            except Unanswered:
                continue
            if response["type"] == "resumed":
                self.recorder.note("resumed", **record_fields, missed=response.get("missed"))
                return player, response["state"]
            player.close()
            if response["kind"] == "ended":
                self.recorder.note("lost", **record_fields, status=410, detail=response["detail"])
                return None
        self.recorder.note("lost", **record_fields, status=0, detail="could not be resumed")
        return None
