"""`fennelcove storm`: keys of queue tickets, replays and plots of retry storms, and explained logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec
from fennelcove.cli.error_output import FileUnusableError, ToolsMissingError, exit_with_error, print_error
from fennelcove.cli.scenarios import print_verdict
from fennelcove.clock import SystemClock
from fennelcove.daemon.key_file import KeyFileError, rotate
from fennelcove.emulators.recorder import Record, load, save
from fennelcove.scenarios import replays
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.script import read
from fennelcove.settings.reader import SettingsError

EXIT_FAILED = 1


@click.group()
def storm() -> None:
    """Retry storms: create keys, replay and plot storms, and explain logs."""


@storm.command()
@click.argument("file", type=click.Path())
def key(file: str) -> None:
    """Add a new key to FILE; older keys stay valid for another hour."""
    try:
        count = rotate(file, SystemClock().wall_us() // 1000)
    except KeyFileError as error:
        exit_with_error(error)
    click.echo(f"{file}: a new key; {count} in use")


@storm.command()
@click.argument("day")
@click.option("--from", "source", type=click.Path(), help="Replay the first requests of this recording.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--record", type=click.Path(), help="Write the recording to this file.")
@click.option("--plot", type=click.Path(), help="Write plots to this folder (PNG and SVG).")
@click.option("--json", "as_json", is_flag=True)
def replay(
    day: str, source: str | None, seed: int, record: str | None, plot: str | None, as_json: bool
) -> None:
    """Run a retry storm against real fronts on loopback.

    The requests are those of the scenario DAY or, with --from, those of a recording; the servers and the
    fronts are always those of DAY.
    """
    try:
        script = read(day)
        planned_arrivals = None
        if source is not None:
            watch_s = script.crowds[0].watch_s
            planned_arrivals = list(replays.arrivals(load(source), script.crowds[-1].retries, watch_s))
    except SettingsError as error:
        exit_with_error(error)
    except (OSError, ValueError, KeyError) as error:
        exit_with_error(FileUnusableError(f"found no recording of a scenario ({error})", source or day))
    try:
        records: list[Record] = ScenarioRunner(script, seed, arrivals=planned_arrivals).play()
    except ScenarioError as error:
        exit_with_error(error, EXIT_FAILED)
    if record is not None:
        save(records, record)
    if plot is not None:
        draw(records, plot)
    sys.exit(print_verdict(check_recording(records), as_json))


def draw(records: list[Record], folder: str) -> None:
    """Draw the plots of a storm, or print an error if matplotlib is not installed."""
    try:
        from fennelcove.scenarios import plots

        for file in plots.draw(records, folder):
            click.echo(file)
    except ImportError:
        print_error(ToolsMissingError("found no matplotlib, which draws the plots"))


@storm.command()
@click.argument("recording", type=click.Path())
@click.argument("folder", type=click.Path())
def plot(recording: str, folder: str) -> None:
    """Plot arrivals, responses, retry times and server load of RECORDING into FOLDER."""
    try:
        draw(load(recording), folder)
    except (OSError, ValueError, KeyError) as error:
        exit_with_error(FileUnusableError(f"found no recording of a scenario ({error})", recording))


@storm.command()
@click.argument("log", type=click.Path())
def explain(log: str) -> None:
    """Explain why each client was rejected, from the LOG of a front (JSON lines)."""
    lines: list[dict[str, Any]] = []
    try:
        for raw in Path(log).read_bytes().splitlines():
            if raw.startswith(b"{"):
                lines.append(msgspec.json.decode(raw, type=dict))
    except (OSError, msgspec.MsgspecError) as error:
        exit_with_error(FileUnusableError(f"found no log of JSON lines ({error})", log))
    for line in replays.explained(lines):
        click.echo(line)
