"""Releases over many fronts: their state, and operators' orders, each told to one front that answers."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

import click
import msgspec
from fennelcove.cli.fleet import FILE, KEY, Fleet, sealed
from fennelcove.cli.telling import FleetSilent, fail
from fennelcove.decisions.operators import reachability
from fennelcove.decisions.operators.reachability import CallOutcome, CallStatus
from fennelcove.fleet.asker import Call, ask, ask_all
from fennelcove.fleet.inventory import FrontLine
from fennelcove.wire.orders import PlanOrder

HEADS = ["version", "phase", "plan", "wanted", "reason", "fence", "leads", "fronts out", "boxes out"]
STATUS = Call("GET", "/v1/status")
FENCE = click.option("--fence", type=click.IntRange(0), help="What `state` told; without it that of now.")


def _told(outcome: CallOutcome) -> dict[str, Any]:
    said = outcome.body.get("releases", outcome.body)
    return said if isinstance(said, dict) else {}


def _row(outcome: CallOutcome) -> list[str]:
    said = _told(outcome)
    out = said.get("out", {})

    def places(kind: str) -> str:
        one = out.get(kind, {})
        seen = sorted({*one.get("dark", []), *one.get("held", [])})
        off = [f"{place} off" for place in one.get("off", [])]
        return " ".join([*map(str, seen), *off])

    phase = str(said.get("phase", "none of it in its settings"))
    if said.get("back"):
        phase += ", back"
    if not said.get("sure", True):
        phase += ", unsure"
    cells = [str(said.get(name, "")) for name in ("version",)]
    cells += [phase, *(str(said.get(name, "")) for name in ("plan", "wanted", "reason", "fence"))]
    return [*cells, "leads" if said.get("leads") else "", places("front"), places("box")]


@click.group()
def release() -> None:
    """A version over the fleet, in waves: start, halt, on, back, and how it stands."""


@release.command()
@click.argument("selectors", nargs=-1)
@click.pass_obj
def state(tool: Fleet, selectors: tuple[str, ...]) -> None:
    """How a release stands, as each front knows it; `reason` is why it is halted."""
    tool.run(tool.chosen(selectors), STATUS, _row, HEADS)


def _order(tool: Fleet, what: str, key: str, file: str, fence: int | None, fields: dict[str, Any]) -> None:
    """Tell one front: who leads first, then whoever answers, as long as none may have taken it."""
    lines = tool.chosen(())
    seen = {one.front: one for one in ask_all(lines, STATUS, tool.times, tool.clock, tool.at_once)}
    up = [line for line in lines if seen[line.name].status is CallStatus.DONE and _told(seen[line.name])]
    if not up:
        fail(
            FleetSilent("found no front that answers and has releases"),
            reachability.ExitCode.SOME_FAILED.value,
        )
    if fence is None:
        fence = max(int(_told(seen[line.name]).get("fence", 0)) for line in up)
    up.sort(key=lambda line: not _told(seen[line.name]).get("leads"))
    body = msgspec.json.encode({"fence": fence, **fields})
    _first(tool, up, sealed(tool, what, key, file, body))


def _first(tool: Fleet, lines: Sequence[FrontLine], call: Call) -> None:
    outcomes: list[CallOutcome] = []
    until_us = tool.clock.now_us() + tool.times.whole_us
    for line in lines:
        outcome = ask(line, call, tool.times, tool.clock, until_us)
        outcomes.append(outcome)
        if not _untaken(outcome):
            break
    for outcome in outcomes:
        said = f"{outcome.front}: {outcome.status.value} {outcome.detail}".rstrip()
        if outcome.status is CallStatus.DONE:
            told = _told(outcome)
            said += f"; plan {told.get('plan')} is {told.get('phase')}, fence {told.get('fence')}"
        click.echo(said)
    last = outcomes[-1]
    sys.exit(reachability.exit_code([last], True).value)


def _untaken(outcome: CallOutcome) -> bool:
    """Whether it surely has not taken the order, and another may: it is busy, or could not be reached."""
    if outcome.status is CallStatus.DECLINED:
        return "busy" in outcome.detail
    return outcome.status in (CallStatus.REFUSED, CallStatus.UNREACHABLE, CallStatus.UNRESOLVED)


PLAN = (
    click.option("--wanted", type=click.IntRange(1), required=True, help="The version to come to."),
    click.option("--before", type=click.IntRange(1), required=True, help="The version to go back to."),
    click.option("--canary", type=click.IntRange(1), default=1, show_default=True, help="Who goes first."),
    click.option(
        "--wave", type=click.IntRange(1), default=1, show_default=True, help="Of each further wave."
    ),
    click.option("--soak-s", type=click.FloatRange(0, 86_400), default=30.0, show_default=True),
    click.option("--out-s", type=click.FloatRange(0.1, 86_400), default=60.0, show_default=True),
    click.option("--floor", type=click.FloatRange(0, 1), default=0.9, show_default=True),
    click.option("--refused", type=click.FloatRange(0, 1), default=0.1, show_default=True),
    click.option("--failed", type=click.FloatRange(0, 1), default=0.05, show_default=True),
    click.option("--worse", type=click.FloatRange(0, 1), default=0.02, show_default=True),
    click.option("--level", type=click.IntRange(1, 4), default=2, show_default=True),
    click.option("--storm", type=click.IntRange(1, 4), default=2, show_default=True),
)


def _planned(command: Any) -> Any:
    for option in reversed(PLAN):
        command = option(command)
    return command


def _fields(told: dict[str, Any]) -> dict[str, Any]:
    shares = {name: round(told[name] * 1000) for name in ("floor", "refused", "failed", "worse")}
    times = {f"{name}_ms": round(told[f"{name}_s"] * 1000) for name in ("soak", "out")}
    plain = {name: told[name] for name in ("wanted", "before", "canary", "wave", "level", "storm")}
    fields = {**plain, **times, **shares}
    msgspec.convert({"fence": 0, **fields}, PlanOrder)
    return fields


@release.command()
@_planned
@FENCE
@KEY
@FILE
@click.pass_obj
def start(tool: Fleet, /, fence: int | None, key: str, file: str, **told: Any) -> None:
    """Begin a plan: some fronts first, then waves, each watched for a while."""
    _order(tool, "release-start", key, file, fence, _fields(told))


@release.command()
@_planned
@FENCE
@KEY
@FILE
@click.pass_obj
def change(tool: Fleet, /, fence: int | None, key: str, file: str, **told: Any) -> None:
    """Another plan in place of the one under way; it is halted until `on`."""
    _order(tool, "release-change", key, file, fence, _fields(told))


@release.command()
@FENCE
@KEY
@FILE
@click.pass_obj
def halt(tool: Fleet, fence: int | None, key: str, file: str) -> None:
    """Nothing more goes out; who is on the way out comes back."""
    _order(tool, "release-halt", key, file, fence, {})


@release.command()
@FENCE
@KEY
@FILE
@click.pass_obj
def on(tool: Fleet, fence: int | None, key: str, file: str) -> None:
    """A halted plan goes on where it was."""
    _order(tool, "release-on", key, file, fence, {})


@release.command()
@FENCE
@KEY
@FILE
@click.pass_obj
def back(tool: Fleet, fence: int | None, key: str, file: str) -> None:
    """All go back to the version before, the newest first, under the same limits."""
    _order(tool, "release-back", key, file, fence, {})


@release.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY
@FILE
@click.pass_obj
def anew(tool: Fleet, selectors: tuple[str, ...], key: str, file: str) -> None:
    """What these fronts know of a plan is all there is: for a fleet whose folders were lost."""
    tool.run(tool.chosen(selectors), sealed(tool, "release-anew", key, file), _row, HEADS)


@click.command()
@click.argument("front")
@click.option("--version", type=click.IntRange(1), required=True, help="What it is to come back with.")
@KEY
@FILE
@click.pass_obj
def out(tool: Fleet, front: str, version: int, key: str, file: str) -> None:
    """Take FRONT out once the others permit it, without a plan; its supervisor starts it again."""
    body = msgspec.json.encode({"kind": "front", "version": version})
    tool.run(tool.chosen((front,)), sealed(tool, "out", key, file, body), _row, HEADS)


@click.command()
@click.argument("cell", type=click.IntRange(0, 0x7FFF))
@click.option("--by", required=True, help="The front that asks for it and tells the list's keeper.")
@KEY
@FILE
@click.pass_obj
def box_out(tool: Fleet, cell: int, by: str, key: str, file: str) -> None:
    """Take the box of CELL out once the fronts permit it."""
    body = msgspec.json.encode({"kind": "box", "place": cell})
    tool.run(tool.chosen((by,)), sealed(tool, "box-out", key, file, body), _row, HEADS)


@click.command()
@click.argument("kind", type=click.Choice(["front", "box"]))
@click.argument("place", type=click.IntRange(0, 0x7FFF))
@click.argument("selectors", nargs=-1)
@KEY
@FILE
@click.pass_obj
def write_off(tool: Fleet, kind: str, place: int, selectors: tuple[str, ...], key: str, file: str) -> None:
    """A front by its index, or a box by its cell, does not come back: it counts no more until it is seen to
    serve. Tell all fronts: those that don't hear it go on counting it.
    """
    body = msgspec.json.encode({"kind": kind, "place": place})
    tool.run(tool.chosen(selectors), sealed(tool, "write-off", key, file, body), _row, HEADS)
