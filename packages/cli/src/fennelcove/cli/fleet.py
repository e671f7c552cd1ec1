"""`fennelcove fleet`: queries and controls many fronts concurrently."""

from __future__ import annotations

import secrets
import sys
import threading
from collections.abc import Callable
from typing import ClassVar

import click
import msgspec
from fennelcove.cli.error_output import exit_with_error
from fennelcove.cli.main import LazyGroup
from fennelcove.clock import SystemClock
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon.key_file import KeyFileError, load
from fennelcove.decisions.operators import command_authorization, reachability
from fennelcove.decisions.operators.command_authorization import SignedCommand
from fennelcove.decisions.operators.convergence import ConvergenceWait, DesiredState
from fennelcove.decisions.operators.reachability import CallOutcome, CallStatus
from fennelcove.fleet import inventory
from fennelcove.fleet.front_calls import Call, CallTimeouts, Fields, call_fronts
from fennelcove.fleet.inventory import FrontEntry
from fennelcove.settings.reader import SettingsError
from rich.console import Console
from rich.table import Table

ColumnFormatter = Callable[[CallOutcome], list[str]]


class FleetContext:
    """The options of the group that all of its commands share.

    Args:
        source: the path of the inventory file.
        timeouts: the time limits of the calls.
        at_once: the largest number of concurrent calls.
        as_json: whether output is JSON lines instead of a table.
    """

    def __init__(self, source: str, timeouts: CallTimeouts, at_once: int, as_json: bool) -> None:
        self.source = source
        self.timeouts = timeouts
        self.at_once = at_once
        self.as_json = as_json
        self.clock = SystemClock()

    def select_fronts(self, selectors: tuple[str, ...]) -> list[FrontEntry]:
        """The fronts that the selectors name; on an error, prints it and exits with status 2."""
        try:
            return inventory.selected(inventory.read(self.source), list(selectors), self.source)
        except SettingsError as error:
            exit_with_error(error)

    def call_and_print(
        self,
        lines: list[FrontEntry],
        call: Call,
        format_columns: Callable[[CallOutcome], list[str]],
        column_names: list[str],
    ) -> None:
        """Call all fronts, print all outcomes, and exit with the status that they imply."""
        outcomes: dict[str, CallOutcome] = {}
        for outcome in call_fronts(lines, call, self.timeouts, self.clock, self.at_once):
            outcomes[outcome.front] = outcome
            if not self.as_json and sys.stderr.isatty():
                click.echo(f"\r{len(outcomes)} of {len(lines)}", nl=False, err=True)
        ordered = [outcomes[line.name] for line in lines]
        changes_state = call.method != "GET"
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
            self._table(ordered, format_columns, column_names)
            failed = [outcome for outcome in ordered if outcome.status is not CallStatus.DONE]
            unknown = [outcome for outcome in failed if changes_state and outcome.is_indeterminate]
            click.echo(
                f"{len(ordered) - len(failed)} of {len(ordered)} done, {len(failed) - len(unknown)} failed"
                + (f", {len(unknown)} unknown: they may have executed the command" if unknown else "")
            )
        sys.exit(reachability.exit_code(ordered, changes_state).value)

    def _table(
        self, ordered: list[CallOutcome], format_columns: ColumnFormatter, column_names: list[str]
    ) -> None:
        table = Table(box=None, pad_edge=False)
        for column_name in ["front", "outcome", *column_names, "detail"]:
            table.add_column(column_name, overflow="fold")
        for outcome in ordered:
            cells = format_columns(outcome) if outcome.status is CallStatus.DONE else [""] * len(column_names)
            table.add_row(outcome.front, outcome.status.value, *cells, outcome.detail)
        Console(width=None if sys.stdout.isatty() else 140).print(table)


class FleetGroup(LazyGroup):
    """The commands about releases are in a module of their own, which is imported only when needed."""

    LAZY_COMMANDS: ClassVar[dict[str, tuple[str, str]]] = {
        "release": ("fennelcove.cli.rollouts", "release"),
        "out": ("fennelcove.cli.rollouts", "out"),
        "box-out": ("fennelcove.cli.rollouts", "box_out"),
        "write-off": ("fennelcove.cli.rollouts", "write_off"),
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
    """Query and control many fronts concurrently.

    The exit status is 0 if all calls were successful, 1 if some failed, and 3 if some fronts may have
    executed the command but did not confirm it.
    """
    timeouts = CallTimeouts(*(round(seconds * 1e6) for seconds in (connect_s, answer_s, whole_s)))
    ctx.obj = FleetContext(source, timeouts, at_once, as_json)


def _status_columns(outcome: CallOutcome) -> list[str]:
    response_body = outcome.body
    storm = response_body.get("storm")
    storm_phase = str(storm.get("phase", "")) if isinstance(storm, dict) else ""
    return [str(response_body.get(name, "")) for name in ("phase", "held", "waiting", "list_version")] + [
        storm_phase
    ]


@fleet.command()
@click.argument("selectors", nargs=-1)
@click.pass_obj
def status(context: FleetContext, selectors: tuple[str, ...]) -> None:
    """Show the state of fronts. SELECTORS: names, hall=NAME, group=NAME; by default all fronts."""
    column_names = ["phase", "held", "waiting", "list", "weather"]
    context.call_and_print(
        context.select_fronts(selectors), Call("GET", "/v1/status"), _status_columns, column_names
    )


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@click.option("--phase", type=click.Choice(["open", "draining", "stopping"]))
@click.option("--held-most", type=click.IntRange(0))
@click.option("--for-s", type=click.FloatRange(0.1, 86_400), default=600.0, show_default=True)
@click.pass_obj
def wait(
    context: FleetContext, selectors: tuple[str, ...], phase: str | None, held_most: int | None, for_s: float
) -> None:
    """Poll until every front is in a phase or has at most a number of sessions; exit status 1 on timeout."""
    lines, call = context.select_fronts(selectors), Call("GET", "/v1/status")
    convergence_wait = ConvergenceWait(
        DesiredState(phase, held_most), context.clock.now_us() + round(for_s * 1e6)
    )
    while True:
        convergence_wait.observe(call_fronts(lines, call, context.timeouts, context.clock, context.at_once))
        pause_us = convergence_wait.poll_delay_us(context.clock.now_us())
        if pause_us is None:
            break
        threading.Event().wait(pause_us / 1e6)
    for line in lines:
        click.echo(f"{line.name}: {convergence_wait.states[line.name].name.lower().replace('_', ' ')}")
    sys.exit(0 if convergence_wait.has_converged else 1)


def _admission_columns(outcome: CallOutcome) -> list[str]:
    return [str(outcome.body.get(name, "")) for name in ("phase", "held")]


def signed_call(context: FleetContext, command_name: str, key: str, file: str, body: bytes = b"{}") -> Call:
    """A command that is signed for each front; on an error, prints it and exits with status 2."""
    try:
        mac = keyed_mac(load(file, context.clock.wall_us() // 1000)[0])
    except KeyFileError as error:
        exit_with_error(error)
    path = f"/v1/control/{command_name}"

    def fields(line: FrontEntry) -> Fields:
        command = SignedCommand(line.name, "POST", path, body, context.clock.wall_us(), secrets.token_hex(12))
        return [(command_authorization.HEADER_NAME, command_authorization.sign_command(command, key, mac))]

    return Call("POST", path, body, fields)


def _send_command(
    context: FleetContext, selectors: tuple[str, ...], command_name: str, key: str, file: str
) -> None:
    context.call_and_print(
        context.select_fronts(selectors),
        signed_call(context, command_name, key, file),
        _admission_columns,
        ["phase", "held"],
    )


KEY_OPTION = click.option(
    "--key", default="ops", show_default=True, help="The name of the key in the settings of the fronts."
)
KEY_FILE_OPTION = click.option(
    "--key-file", "file", type=click.Path(), required=True, envvar="FENNELCOVE_OPERATOR_KEY"
)


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def drain(context: FleetContext, selectors: tuple[str, ...], key: str, file: str) -> None:
    """Stop accepting new sessions; sessions that play continue."""
    _send_command(context, selectors, "drain", key, file)


@fleet.command()
@click.argument("selectors", nargs=-1, required=True)
@KEY_OPTION
@KEY_FILE_OPTION
@click.pass_obj
def undrain(context: FleetContext, selectors: tuple[str, ...], key: str, file: str) -> None:
    """Accept new sessions again."""
    _send_command(context, selectors, "undrain", key, file)


@fleet.command("audit")
@click.argument("file", type=click.Path(exists=True))
def audit(file: str) -> None:
    """Verify that an audit file of a front was not modified; exit status 1 if it was."""
    from fennelcove.daemon.audit_file import check

    first_invalid_line = check(file)
    click.echo(
        "sound" if first_invalid_line is None else f"{file}:{first_invalid_line}: the line was modified"
    )
    sys.exit(0 if first_invalid_line is None else 1)
