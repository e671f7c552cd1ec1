"""`fennelcove`: one command, its parts loaded only when they are called."""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.metadata import PackageNotFoundError, version
from typing import ClassVar

import click


def _version() -> str:
    try:
        return version("fennelcove")
    except PackageNotFoundError:
        return "not installed"


class LazyGroup(click.Group):
    """Loads some commands only when they are called, so that a front starts without tables and colours."""

    LAZY: ClassVar[dict[str, tuple[str, str]]] = {
        "api": ("fennelcove.cli.api", "api"),
        "fleet": ("fennelcove.cli.fleet", "fleet"),
        "keys": ("fennelcove.cli.keys", "keys"),
        "store": ("fennelcove.cli.store", "store"),
        "storm": ("fennelcove.cli.storms", "storm"),
        "stitch": ("fennelcove.cli.stitch", "stitch"),
        "author-key": ("fennelcove.cli.stitch", "new_key"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.LAZY])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in self.LAZY:
            module, name = self.LAZY[cmd_name]
            command = getattr(import_module(module), name)
            assert isinstance(command, click.Command)
            return command
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="fennelcove")
def main() -> None:
    """A session front: places and shapes video subscriptions on streaming servers."""


@main.command()
@click.argument("config", type=click.Path())
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.option(
    "--wall-offset-s", type=float, default=0.0, hidden=True, help="Set its wall clock off, for days."
)
def front(config: str, log_level: str, wall_offset_s: float) -> None:
    """Run a front by the settings in CONFIG until SIGTERM or SIGINT; a second one shortens its end."""
    from fennelcove.cli.serve import run_front

    sys.exit(run_front(config, log_level, wall_offset_s))


@main.command()
@click.argument("config", type=click.Path())
def box(config: str) -> None:
    """Run a stand-in box by the settings in CONFIG until SIGTERM or SIGINT."""
    from fennelcove.cli.serve import run_box

    sys.exit(run_box(config))


@main.group()
def config() -> None:
    """Look at settings files."""


@config.command("check")
@click.argument("file", type=click.Path())
def config_check(file: str) -> None:
    """Read FILE as a front would and say what is amiss."""
    from fennelcove.cli.telling import fail
    from fennelcove.settings.checks import load_front
    from fennelcove.settings.reader import SettingsError

    try:
        settings = load_front(file)
    except SettingsError as error:
        fail(error)
    rooms, titles = len(settings.room_types), len(settings.titles)
    click.echo(f"{file}: a front named {settings.name!r} with {rooms} room types and {titles} titles")


@main.group()
def day() -> None:
    """Play scripted days of trouble against a live front, and judge recordings."""


@day.command("list")
def day_list() -> None:
    """The days that come with the program."""
    from fennelcove.scenarios.script import names

    for name in names():
        click.echo(name)


@day.command("play")
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--record", type=click.Path(), help="Keep the recording in this file.")
@click.option("--plot", type=click.Path(), help="Draw asked, played and refused a second into this PNG file.")
@click.option("--json", "as_json", is_flag=True, help="End with one JSON object on the last line.")
def day_play(name: str, seed: int, record: str | None, plot: str | None, as_json: bool) -> None:
    """Play the day NAME, or one of your own from a file that ends in `.sexp`; exit status 0 only where no
    rule broke and service reached its floor.
    """
    from fennelcove.cli.days import play

    sys.exit(play(name, seed, record, as_json, plot))


@day.command("judge")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="End with one JSON object on the last line.")
def day_judge(file: str, as_json: bool) -> None:
    """Judge the recording in FILE again."""
    from fennelcove.cli.days import judge_file

    sys.exit(judge_file(file, as_json))
