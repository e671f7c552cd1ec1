"""`fennelcove storm`: keys of places, storms played again, a log explained."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec
from fennelcove.cli.days import show
from fennelcove.cli.telling import FileUnusable, ToolsMissing, fail, tell
from fennelcove.clock import SystemClock
from fennelcove.daemon.key_file import KeyFileError, rotate
from fennelcove.emulators.recorder import Record, load, save
from fennelcove.scenarios import replays
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.script import read
from fennelcove.settings.reader import SettingsError

FAILED = 1


@click.group()
def storm() -> None:
    """Retry storms: keys of places, storms played again, a log explained."""


@storm.command()
@click.argument("file", type=click.Path())
def key(file: str) -> None:
    """Make a new key in FILE; older ones are known for an hour more."""
    try:
        count = rotate(file, SystemClock().wall_us() // 1000)
    except KeyFileError as error:
        fail(error)
    click.echo(f"{file}: a new key; {count} in use")


@storm.command()
@click.argument("day")
@click.option(
    "--from", "source", type=click.Path(), help="First tries of this recording in place of the day's."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--record", type=click.Path(), help="Keep the recording in this file.")
@click.option("--plot", type=click.Path(), help="Draw plots into this folder (PNG and SVG).")
@click.option("--json", "as_json", is_flag=True)
def replay(
    day: str, source: str | None, seed: int, record: str | None, plot: str | None, as_json: bool
) -> None:
    """Play a storm against real fronts on loopback: DAY's own, or a recorded one on DAY's boxes and
    fronts.
    """
    try:
        script = read(day)
        again = None
        if source is not None:
            watch_s = script.crowds[0].watch_s
            again = list(replays.arrivals(load(source), script.crowds[-1].retries, watch_s))
    except SettingsError as error:
        fail(error)
    except (OSError, ValueError, KeyError) as error:
        fail(FileUnusable(f"found no recording of a day ({error})", source or day))
    try:
        records: list[Record] = ScenarioRunner(script, seed, arrivals=again).play()
    except ScenarioError as error:
        fail(error, FAILED)
    if record is not None:
        save(records, record)
    if plot is not None:
        draw(records, plot)
    sys.exit(show(check_recording(records), as_json))


def draw(records: list[Record], folder: str) -> None:
    """Draw, or say what is missing."""
    try:
        from fennelcove.scenarios import plots

        for file in plots.draw(records, folder):
            click.echo(file)
    except ImportError:
        tell(ToolsMissing("found no matplotlib to draw with"))


@storm.command()
@click.argument("recording", type=click.Path())
@click.argument("folder", type=click.Path())
def plot(recording: str, folder: str) -> None:
    """Draw arrivals, answers, come-back times and box load of RECORDING into FOLDER."""
    try:
        draw(load(recording), folder)
    except (OSError, ValueError, KeyError) as error:
        fail(FileUnusable(f"found no recording of a day ({error})", recording))


@storm.command()
@click.argument("log", type=click.Path())
def explain(log: str) -> None:
    """Tell in words why each viewer was turned away, from a front's LOG of JSON lines."""
    lines: list[dict[str, Any]] = []
    try:
        for raw in Path(log).read_bytes().splitlines():
            if raw.startswith(b"{"):
                lines.append(msgspec.json.decode(raw, type=dict))
    except (OSError, msgspec.MsgspecError) as error:
        fail(FileUnusable(f"found no log of JSON lines ({error})", log))
    for line in replays.explained(lines):
        click.echo(line)
