"""`fennelcove fleet`: many fronts asked and told at once."""

from __future__ import annotations

import secrets
import sys
import threading
from collections.abc import Callable
from typing import ClassVar

import click
import msgspec
from fennelcove.cli.main import LazyGroup
from fennelcove.cli.telling import fail
from fennelcove.clock import SystemClock
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon.key_file import KeyFileError, load
from fennelcove.decisions.operators import command_authorization, reachability
from fennelcove.decisions.operators.command_authorization import SignedCommand
from fennelcove.decisions.operators.convergence import ConvergenceWait, DesiredState
from fennelcove.decisions.operators.reachability import CallOutcome, CallStatus
from fennelcove.fleet import inventory
from fennelcove.fleet.asker import Call, Fields, Times, ask_all
from fennelcove.fleet.inventory import FrontLine
from fennelcove.settings.reader import SettingsError
from rich.console import Console
from rich.table import Table

Show = Callable[[CallOutcome], list[str]]


class Fleet:
    """What every command of the group needs."""

    def __init__(self, source: str, times: Times, at_once: int, as_json: bool) -> None:
        self.source = source
        self.times = times
        self.at_once = at_once
        self.as_json = as_json
        self.clock = SystemClock()

    def chosen(self, selectors: tuple[str, ...]) -> list[FrontLine]:
        """The fronts meant, or one line and exit status 2."""
        try:
            return inventory.selected(inventory.read(self.source), list(selectors), self.source)
        except SettingsError as error:
            fail(error)

    def run(
        self, lines: list[FrontLine], call: Call, show: Callable[[CallOutcome], list[str]], heads: list[str]
    ) -> None:
        """Ask all, show all, and end with the status that belongs to it."""
        outcomes: dict[str, CallOutcome] = {}
        for outcome in ask_all(lines, call, self.times, self.clock, self.at_once):
            outcomes[outcome.front] = outcome
            if not self.as_json and sys.stderr.isatty():
                click.echo(f"\r{len(outcomes)} of {len(lines)}", nl=False, err=True)
        ordered = [outcomes[line.name] for line in lines]
        commands = call.method != "GET"
        if self.as_json:
            for outcome in ordered:
                row: dict[str, object] = {
                    "front": outcome.front,
                    "outcome": outcome.status.value,
                    "detail": outcome.detail,
                }
                row |= {"took_ms": outcome.took_us / 1000, "said": outcome.body}
                click.echo(msgspec.json.encode(row).decode())
        else:
            self._table(ordered, show, heads)
            failed = [outcome for outcome in ordered if outcome.status is not CallStatus.DONE]
            unknown = [outcome for outcome in failed if commands and outcome.is_indeterminate]
            click.echo(
                f"{len(ordered) - len(failed)} of {len(ordered)} done, {len(failed) - len(unknown)} failed"
                + (f", {len(unknown)} unknown: they may have done it" if unknown else "")
            )
        sys.exit(reachability.exit_code(ordered, commands).value)

    def _table(self, ordered: list[CallOutcome], show: Show, heads: list[str]) -> None:
        table = Table(box=None, pad_edge=False)
        for head in ["front", "outcome", *heads, "detail"]:
            table.add_column(head, overflow="fold")
        for outcome in ordered:
            told = show(outcome) if outcome.status is CallStatus.DONE else [""] * len(heads)
            table.add_row(outcome.front, outcome.status.value, *told, outcome.detail)
        Console(width=None if sys.stdout.isatty() else 140).print(table)


class FleetGroup(LazyGroup):
    """Releases stand in a file of their own."""

    LAZY: ClassVar[dict[str, tuple[str, str]]] = {
        "release": ("fennelcove.cli.releases", "release"),
        "out": ("fennelcove.cli.releases", "out"),
        "box-out": ("fennelcove.cli.releases", "box_out"),
        "write-off": ("fennelcove.cli.releases", "write_off"),
    }


@click.group(cls=FleetGroup)
@click.option("--inventory", "source", type=click.Path(), required=True, envvar="FENNELCOVE_FLEET")
@click.option("--at-once", type=click.IntRange(1, 256), default=32, show_default=True)
@click.option("--connect-s", type=click.FloatRange(0.01, 60), default=2.0, show_default=True)
@click.option("--answer-s", type=click.FloatRange(0.01, 60), default=5.0, show_default=True)
@click.option("--whole-s", type=click.FloatRange(0.1, 3600), default=60.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def fleet(
    ctx: click.Context,
    source: str,
    at_once: int,
    connect_s: float,
    answer_s: float,
    whole_s: float,
    as_json: bool,
) -> None:
    """Many fronts at once. Exit status: 0 all done, 1 some failed, 3 some may have done it and did not
    say.
    """
    times = Times(*(round(seconds * 1e6) for seconds in (connect_s, answer_s, whole_s)))
    ctx.obj = Fleet(source, times, at_once, as_json)


def _status(outcome: CallOutcome) -> list[str]:
    said = outcome.body
    storm = said.get("storm")
    weather = str(storm.get("phase", "")) if isinstance(storm, dict) else ""
    return [str(said.get(name, "")) for name in ("phase", "held", "waiting", "list_version")] + [weather]


@fleet.command()
@click.argument("selectors", nargs=-1)
@click.pass_obj
def status(tool: Fleet, selectors: tuple[str, ...]) -> None:
    """How the fronts are. SELECTORS: names, hall=NAME, group=NAME; none is all."""
    heads = ["phase", "held", "waiting", "list", "weather"]
    tool.run(tool.chosen(selectors), Call("GET", "/v1/status"), _status, heads)


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@click.option("--phase", type=click.Choice(["open", "draining", "stopping"]))
@click.option("--held-most", type=click.IntRange(0))
@click.option("--for-s", type=click.FloatRange(0.1, 86_400), default=600.0, show_default=True)
@click.pass_obj
def wait(
    tool: Fleet, selectors: tuple[str, ...], phase: str | None, held_most: int | None, for_s: float
) -> None:
    """Ask until every front is in a phase, or holds so few subscriptions. Exit status 1: not in time."""
    lines, call = tool.chosen(selectors), Call("GET", "/v1/status")
    waiting = ConvergenceWait(DesiredState(phase, held_most), tool.clock.now_us() + round(for_s * 1e6))
    while True:
        waiting.observe(ask_all(lines, call, tool.times, tool.clock, tool.at_once))
        pause_us = waiting.poll_delay_us(tool.clock.now_us())
        if pause_us is None:
            break
        threading.Event().wait(pause_us / 1e6)
    for line in lines:
        click.echo(f"{line.name}: {waiting.states[line.name].name.lower().replace('_', ' ')}")
    sys.exit(0 if waiting.has_converged else 1)


def _turned(outcome: CallOutcome) -> list[str]:
    return [str(outcome.body.get(name, "")) for name in ("phase", "held")]


def sealed(tool: Fleet, what: str, key: str, file: str, body: bytes = b"{}") -> Call:
    """A command with a seal for each front, or one line and exit status 2."""
    try:
        seal = keyed_mac(load(file, tool.clock.wall_us() // 1000)[0])
    except KeyFileError as error:
        fail(error)
    path = f"/v1/control/{what}"

    def fields(line: FrontLine) -> Fields:
        command = SignedCommand(line.name, "POST", path, body, tool.clock.wall_us(), secrets.token_hex(12))
        return [(command_authorization.HEADER_NAME, command_authorization.sign_command(command, key, seal))]

    return Call("POST", path, body, fields)


def _told(tool: Fleet, selectors: tuple[str, ...], what: str, key: str, file: str) -> None:
    tool.run(tool.chosen(selectors), sealed(tool, what, key, file), _turned, ["phase", "held"])


KEY = click.option("--key", default="ops", show_default=True, help="The key's name in the fronts' settings.")
FILE = click.option("--key-file", "file", type=click.Path(), required=True, envvar="FENNELCOVE_OPERATOR_KEY")


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY
@FILE
@click.pass_obj
def drain(tool: Fleet, selectors: tuple[str, ...], key: str, file: str) -> None:
    """Take no new subscriptions from now on; what plays goes on."""
    _told(tool, selectors, "drain", key, file)


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY
@FILE
@click.pass_obj
def undrain(tool: Fleet, selectors: tuple[str, ...], key: str, file: str) -> None:
    """Take new subscriptions again."""
    _told(tool, selectors, "undrain", key, file)


@fleet.command("audit")
@click.argument("file", type=click.Path(exists=True))
def audit(file: str) -> None:
    """Whether an audit file of a front is what was written. Exit status 1 where it is not."""
    from fennelcove.daemon.audit_file import check

    bad = check(file)
    click.echo("sound" if bad is None else f"{file}:{bad}: not what was written")
    sys.exit(0 if bad is None else 1)
