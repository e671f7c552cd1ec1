"""`fennelcove fleet release`: shows rollouts, and sends each command to one front that can execute it."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

import click
import msgspec
from fennelcove.cli.error_output import FleetUnresponsiveError, exit_with_error
from fennelcove.cli.fleet import KEY_FILE_OPTION, KEY_OPTION, FleetContext, signed_call
from fennelcove.decisions.operators import reachability
from fennelcove.decisions.operators.reachability import CallOutcome, CallStatus
from fennelcove.fleet.front_calls import Call, call_front, call_fronts
from fennelcove.fleet.inventory import FrontEntry
from fennelcove.wire.operator_commands import PlanOrder

COLUMN_NAMES = ["version", "phase", "plan", "wanted", "reason", "fence", "leads", "fronts out", "boxes out"]
STATUS_CALL = Call("GET", "/v1/status")
FENCE_OPTION = click.option(
    "--fence", type=click.IntRange(0), help="The fence that `state` shows; by default the current one."
)


def _release_status(outcome: CallOutcome) -> dict[str, Any]:
    release_fields = outcome.body.get("releases", outcome.body)
    return release_fields if isinstance(release_fields, dict) else {}


def _status_columns(outcome: CallOutcome) -> list[str]:
    release_fields = _release_status(outcome)
    out = release_fields.get("out", {})

    def format_places(kind: str) -> str:
        entry = out.get(kind, {})
        out_of_service = sorted({*entry.get("dark", []), *entry.get("held", [])})
        disabled = [f"{place} off" for place in entry.get("off", [])]
        return " ".join([*map(str, out_of_service), *disabled])

    phase_text = str(release_fields.get("phase", "not configured"))
    if release_fields.get("back"):
        phase_text += ", back"
    if not release_fields.get("sure", True):
        phase_text += ", unsure"
    cells = [str(release_fields.get(name, "")) for name in ("version",)]
    cells += [
        phase_text,
        *(str(release_fields.get(name, "")) for name in ("plan", "wanted", "reason", "fence")),
    ]
    return [
        *cells,
        "leads" if release_fields.get("leads") else "",
        format_places("front"),
        format_places("box"),
    ]


@click.group()
def release() -> None:
    """Roll a version out over the fleet in waves: start, change, halt, resume, roll back, show."""


@release.command()
@click.argument("selectors", nargs=-1)
@click.pass_obj
def state(context: FleetContext, selectors: tuple[str, ...]) -> None:
    """Show the state of a rollout as each front knows it; `reason` is why it is halted."""
    context.call_and_print(context.select_fronts(selectors), STATUS_CALL, _status_columns, COLUMN_NAMES)


def _submit_order(
    context: FleetContext, command_name: str, key: str, file: str, fence: int | None, fields: dict[str, Any]
) -> None:
    """Send a command to the leader, then to others while no front can have executed it."""
    lines = context.select_fronts(())
    outcome_by_front = {
        entry.front: entry
        for entry in call_fronts(lines, STATUS_CALL, context.timeouts, context.clock, context.at_once)
    }
    responding = [
        line
        for line in lines
        if outcome_by_front[line.name].status is CallStatus.DONE
        and _release_status(outcome_by_front[line.name])
    ]
    if not responding:
        exit_with_error(
            FleetUnresponsiveError("found no front that responds and has releases in its settings"),
            reachability.ExitCode.SOME_FAILED.value,
        )
    if fence is None:
        fence = max(int(_release_status(outcome_by_front[line.name]).get("fence", 0)) for line in responding)
    responding.sort(key=lambda line: not _release_status(outcome_by_front[line.name]).get("leads"))
    body = msgspec.json.encode({"fence": fence, **fields})
    _call_until_executed(context, responding, signed_call(context, command_name, key, file, body))


def _call_until_executed(context: FleetContext, lines: Sequence[FrontEntry], call: Call) -> None:
    outcomes: list[CallOutcome] = []
    until_us = context.clock.now_us() + context.timeouts.total_us
    for line in lines:
        outcome = call_front(line, call, context.timeouts, context.clock, until_us)
        outcomes.append(outcome)
        if not _certainly_not_executed(outcome):
            break
    for outcome in outcomes:
        message = f"{outcome.front}: {outcome.status.value} {outcome.detail}".rstrip()
        if outcome.status is CallStatus.DONE:
            fields = _release_status(outcome)
            message += f"; plan {fields.get('plan')} is {fields.get('phase')}, fence {fields.get('fence')}"
        click.echo(message)
    last = outcomes[-1]
    sys.exit(reachability.exit_code([last], True).value)


def _certainly_not_executed(outcome: CallOutcome) -> bool:
    """Whether the front certainly did not execute the command, being busy or unreachable, and another may."""
    if outcome.status is CallStatus.DECLINED:
        return "busy" in outcome.detail
    return outcome.status in (CallStatus.REFUSED, CallStatus.UNREACHABLE, CallStatus.UNRESOLVED)


PLAN_OPTIONS = (
    click.option("--wanted", type=click.IntRange(1), required=True, help="The version to roll out."),
    click.option("--before", type=click.IntRange(1), required=True, help="The version to roll back to."),
    click.option(
        "--canary", type=click.IntRange(1), default=1, show_default=True, help="Fronts in the first wave."
    ),
    click.option(
        "--wave", type=click.IntRange(1), default=1, show_default=True, help="Fronts in each further wave."
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


def _with_plan_options(command: Any) -> Any:
    for option in reversed(PLAN_OPTIONS):
        command = option(command)
    return command


def _plan_fields(options: dict[str, Any]) -> dict[str, Any]:
    shares = {name: round(options[name] * 1000) for name in ("floor", "refused", "failed", "worse")}
    times = {f"{name}_ms": round(options[f"{name}_s"] * 1000) for name in ("soak", "out")}
    plain = {name: options[name] for name in ("wanted", "before", "canary", "wave", "level", "storm")}
    fields = {**plain, **times, **shares}
    msgspec.convert({"fence": 0, **fields}, PlanOrder)
    return fields


@release.command()
@_with_plan_options
@FENCE_OPTION
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def start(context: FleetContext, /, fence: int | None, key: str, file: str, **options: Any) -> None:
    """Start a plan: first the canary fronts, then waves, each observed for the soak time."""
    _submit_order(context, "release-start", key, file, fence, _plan_fields(options))


@release.command()
@_with_plan_options
@FENCE_OPTION
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def change(context: FleetContext, /, fence: int | None, key: str, file: str, **options: Any) -> None:
    """Replace the plan in progress; the new plan is halted until `on`."""
    _submit_order(context, "release-change", key, file, fence, _plan_fields(options))


@release.command()
@FENCE_OPTION
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def halt(context: FleetContext, fence: int | None, key: str, file: str) -> None:
    """Halt the plan: no more fronts are taken out, and those being taken out return to service."""
    _submit_order(context, "release-halt", key, file, fence, {})


@release.command()
@FENCE_OPTION
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def on(context: FleetContext, fence: int | None, key: str, file: str) -> None:
    """Resume a halted plan where it was."""
    _submit_order(context, "release-on", key, file, fence, {})


@release.command()
@FENCE_OPTION
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def back(context: FleetContext, fence: int | None, key: str, file: str) -> None:
    """Roll all fronts back to the previous version, the latest first, within the same limits."""
    _submit_order(context, "release-back", key, file, fence, {})


@release.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def anew(context: FleetContext, selectors: tuple[str, ...], key: str, file: str) -> None:
    """Recover from lost stores: the fronts take what they know of a plan as the complete state."""
    context.call_and_print(
        context.select_fronts(selectors),
        signed_call(context, "release-anew", key, file),
        _status_columns,
        COLUMN_NAMES,
    )


@click.command()
@click.argument("front")
@click.option("--version", type=click.IntRange(1), required=True, help="The version to restart with.")
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def out(context: FleetContext, front: str, version: int, key: str, file: str) -> None:
    """Take FRONT out of service without a plan, once the others permit it; its supervisor restarts it."""
    body = msgspec.json.encode({"kind": "front", "version": version})
    context.call_and_print(
        context.select_fronts((front,)),
        signed_call(context, "out", key, file, body),
        _status_columns,
        COLUMN_NAMES,
    )


@click.command()
@click.argument("cell", type=click.IntRange(0, 0x7FFF))
@click.option("--by", required=True, help="The front that requests it and notifies discovery.")
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def box_out(context: FleetContext, cell: int, by: str, key: str, file: str) -> None:
    """Take the server of CELL out of service, once the fronts permit it."""
    body = msgspec.json.encode({"kind": "box", "place": cell})
    context.call_and_print(
        context.select_fronts((by,)),
        signed_call(context, "box-out", key, file, body),
        _status_columns,
        COLUMN_NAMES,
    )


@click.command()
@click.argument("kind", type=click.Choice(["front", "box"]))
@click.argument("place", type=click.IntRange(0, 0x7FFF))
@click.argument("selectors", nargs=-1)
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def write_off(
    context: FleetContext, kind: str, place: int, selectors: tuple[str, ...], key: str, file: str
) -> None:
    """Declare a front (by index) or a server (by cell) lost: it is not counted until it serves again.

    Send this to all fronts: those that do not receive it continue to count it.
    """
    body = msgspec.json.encode({"kind": kind, "place": place})
    context.call_and_print(
        context.select_fronts(selectors),
        signed_call(context, "write-off", key, file, body),
        _status_columns,
        COLUMN_NAMES,
    )
