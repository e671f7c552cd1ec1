"""Sends the scenario's playlist changes to a front, with an author's key."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.clients import Player, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.manifests.exact_time import format_wall_time
from fennelcove.scenarios.script import ChangeLine

KEY = "a-key-for-scripted-days-only"


def send(line: ChangeLine, number: int, address: Callable[[], str], clock: Clock, recorder: Recorder) -> None:
    """Submit or delete one change and record the response."""
    player = Player(address(), clock)
    fields = [("Authorization", f"Bearer {KEY}"), ("Content-Type", "application/json")]
    id = line.id or f"change-{number}"
    try:
        if line.kind == "remove":
            heard = player.ask("DELETE", f"/v1/changes/{id}", fields, b"", 5.0)
        else:
            order = {"id": id, "kind": line.kind, "title": line.title}
            order |= {
                name: value
                for name, value in (("clip", line.clip), ("at", line.at), ("until", line.until))
                if value is not None
            }
            if line.wall_in_s is not None:
                order["wall"] = format_wall_time(clock.wall_us() + round(line.wall_in_s * 1e6))
            heard = player.ask("POST", "/v1/changes", fields, msgspec.json.encode(order), 5.0)
        recorder.note("change", id=id, kind=line.kind, status=heard.status, reason=heard.body.get("reason"))
    except Unanswered as error:
        recorder.note("change", id=id, kind=line.kind, status=0, reason=error.how)
    finally:
        player.close()
