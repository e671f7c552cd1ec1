"""Sends the scenario's playlist changes to a front, with an author's key."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.clients import HttpClient, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.manifests.exact_time import format_wall_time
from fennelcove.scenarios.script import PlaylistChange

AUTHOR_KEY = "a-key-for-scripted-days-only"


def send_change(
    change: PlaylistChange, number: int, address: Callable[[], str], clock: Clock, recorder: Recorder
) -> None:
    """Submit or delete one change and record the response."""
    player = HttpClient(address(), clock)
    fields = [("Authorization", f"Bearer {AUTHOR_KEY}"), ("Content-Type", "application/json")]
    id = change.id or f"change-{number}"
    try:
        if change.kind == "remove":
            response = player.ask("DELETE", f"/v1/changes/{id}", fields, b"", 5.0)
        else:
            body = {"id": id, "kind": change.kind, "title": change.title}
            body |= {
                name: value
                for name, value in (("clip", change.clip), ("at", change.at), ("until", change.until))
                if value is not None
            }
            if change.wall_in_s is not None:
                body["wall"] = format_wall_time(clock.wall_us() + round(change.wall_in_s * 1e6))
            response = player.ask("POST", "/v1/changes", fields, msgspec.json.encode(body), 5.0)
        recorder.note(
            "change", id=id, kind=change.kind, status=response.status, reason=response.body.get("reason")
        )
    except Unanswered as error:
        recorder.note("change", id=id, kind=change.kind, status=0, reason=error.how)
    finally:
        player.close()
