"""The checker of the soak test: what it counts as a broken rule, and what the specification allows."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from tests.soak.checker import Checker
from tests.soak.plan import draw

SESSION = "0003000100000355"
START_S = 1_000_000.0


def broken_rules(
    folder: Path,
    *client_events: tuple[float, str],
    release: str = "release_sent",
    end: float = 16.563,
    silent: tuple[float, float] | None = None,
) -> dict[str, int]:
    """The rules broken by a session that its server ends at `end`, with what its client sees.

    Its server is cut off during the span `silent`, if that is given.
    """
    plan = replace(draw(3, 16, 20_000, 20.0, 60), start=START_S, signals=[], faults=[])
    replace(plan, changes=[], discovery=[]).save(folder / "plan.json")
    for node in range(plan.nodes):
        (folder / f"node-{node}.log").touch()
    server: dict[str, Any] = {"by": "servers-1", "server": "s-00020", "session": SESSION}
    client: dict[str, Any] = {"by": "clients", "node": 1, "session": SESSION}
    description = f"s-00020;{SESSION};103d9511"
    events = [
        {"t": 12.03, "event": "sent", "service_class": "recorded", "limit": 6.0, "resent": False, **client},
        {"t": 12.05, "event": "set_up", "service_class": "recorded", "wait": 1.5, **server},
        {"t": 12.08, "event": "answered", "description": description, **server},
        {"t": 12.081, "event": "answer", "status": 200, "body": description, **client},
        {"t": end, "event": "over", **server},
        {"t": end + 0.001, "event": release, **server},
        *({"t": at, "event": event, **client} for at, event in client_events),
        {"t": 40.0, "by": "clients", "event": "finished"},
    ]
    for at, event in zip(silent or (), ("silent", "resumed"), strict=False):
        events.append({"t": at, "event": event, "by": "servers-1", "server": "s-00020"})
    lines = [json.dumps({**event, "t": START_S + event["t"]}) + "\n" for event in events]
    (folder / "all.rec").write_text("".join(lines), encoding="utf-8")
    return Checker(folder).check().by_rule()


def test_a_client_that_is_not_told_of_the_end_of_its_session_breaks_a_rule(tmp_path: Path) -> None:
    assert broken_rules(tmp_path) == {"lost": 1}


def test_a_release_that_comes_too_late_breaks_a_rule(tmp_path: Path) -> None:
    assert broken_rules(tmp_path, (17.7, "released")) == {"lost": 1}
    assert broken_rules(tmp_path, (17.5, "released")) == {}


def test_a_client_that_gave_up_as_the_answer_came_is_owed_no_release(tmp_path: Path) -> None:
    # It was reported as lost if its server had not heard of the end either (trace in the commit).
    assert broken_rules(tmp_path, (12.08, "given_up")) == {}


def test_a_release_behind_a_malformed_answer_could_not_be_sent(tmp_path: Path) -> None:
    # Its server ended before the node could open another connection: 8 s are allowed (trace in the commit).
    unreadable = "release_unreadable"
    assert broken_rules(tmp_path, (24.5, "released"), release=unreadable) == {}
    assert broken_rules(tmp_path, (24.7, "released"), release=unreadable) == {"lost": 1}


def test_a_session_that_goes_on_after_its_client_has_ended_it_breaks_a_rule(tmp_path: Path) -> None:
    # Sessions that ended during a cut stood on at their servers, and nothing in the soak asked for them.
    assert broken_rules(tmp_path, (13.0, "torn_down"), end=23.5) == {"standing": 1}
    assert broken_rules(tmp_path, (13.0, "released"), end=23.5) == {"standing": 1}
    assert broken_rules(tmp_path, (13.0, "torn_down"), end=22.5) == {}


def test_a_server_that_is_cut_off_is_released_after_the_cut(tmp_path: Path) -> None:
    silent = (12.5, 18.5)
    assert broken_rules(tmp_path, (13.0, "torn_down"), end=28.0, silent=silent) == {}
    assert broken_rules(tmp_path, (13.0, "torn_down"), end=29.0, silent=silent) == {"standing": 1}
