"""The command `fennelcove`; the modules of its subcommands are imported only when they are called."""

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
    """Imports some commands only when they are called, so that a front starts without loading `rich`."""

    LAZY_COMMANDS: ClassVar[dict[str, tuple[str, str]]] = {
        "api": ("fennelcove.cli.api", "api"),
        "fleet": ("fennelcove.cli.fleet", "fleet"),
        "keys": ("fennelcove.cli.keys", "keys"),
        "store": ("fennelcove.cli.store", "store"),
        "storm": ("fennelcove.cli.retry_storms", "storm"),
        "stitch": ("fennelcove.cli.stitch", "stitch"),
        "author-key": ("fennelcove.cli.stitch", "new_key"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, without importing their modules."""
        return sorted([*super().list_commands(ctx), *self.LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of a name, whose module is imported if necessary."""
        if cmd_name in self.LAZY_COMMANDS:
            module, name = self.LAZY_COMMANDS[cmd_name]
            command = getattr(import_module(module), name)
            assert isinstance(command, click.Command)
            return command
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="fennelcove")
def main() -> None:
    """A session front: places video sessions on streaming servers and selects their bitrate."""


@main.command()
@click.argument("config", type=click.Path())
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.option(
    "--wall-offset-s", type=float, default=0.0, hidden=True, help="Offset of the wall clock, for scenarios."
)
def front(config: str, log_level: str, wall_offset_s: float) -> None:
    """Run a front with the settings in CONFIG until SIGTERM or SIGINT; a second one shortens the shutdown."""
    from fennelcove.cli.serve import run_front

    sys.exit(run_front(config, log_level, wall_offset_s))


@main.command()
@click.argument("config", type=click.Path())
def box(config: str) -> None:
    """Run an emulated server with the settings in CONFIG until SIGTERM or SIGINT."""
    from fennelcove.cli.serve import run_emulated_server

    sys.exit(run_emulated_server(config))


@main.group()
def config() -> None:
    """Check settings files."""


@config.command("check")
@click.argument("file", type=click.Path())
def config_check(file: str) -> None:
    """Read FILE as a front would, and report the first error."""
    from fennelcove.cli.error_output import exit_with_error
    from fennelcove.settings.reader import SettingsError
    from fennelcove.settings.validation import load_front

    try:
        settings = load_front(file)
    except SettingsError as error:
        exit_with_error(error)
    rooms, titles = len(settings.room_types), len(settings.titles)
    click.echo(f"{file}: a front named {settings.name!r} with {rooms} room types and {titles} titles")


@main.group()
def day() -> None:
    """Run scripted failure scenarios against real fronts, and check recordings of them."""


@day.command("list")
def day_list() -> None:
    """List the scenarios that come with the program."""
    from fennelcove.scenarios.script import names

    for name in names():
        click.echo(name)


@day.command("play")
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--record", type=click.Path(), help="Write the recording to this file.")
@click.option("--plot", type=click.Path(), help="Plot requests, plays and rejections per second (PNG file).")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as a JSON object on the last line.")
def day_play(name: str, seed: int, record: str | None, plot: str | None, as_json: bool) -> None:
    """Run the scenario NAME, or a scenario of your own from a `.sexp` file.

    The exit status is 0 only if no rule was violated and the service score reached its minimum.
    """
    from fennelcove.cli.scenarios import play_scenario

    sys.exit(play_scenario(name, seed, record, as_json, plot))


@day.command("judge")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as a JSON object on the last line.")
def day_judge(file: str, as_json: bool) -> None:
    """Check the recording in FILE again."""
    from fennelcove.cli.scenarios import check_recording_file

    sys.exit(check_recording_file(file, as_json))
