"""Errors of the command line, printed as what happened and, on the next line, what can be done."""

from __future__ import annotations

import sys
from typing import NoReturn

import click
from fennelcove.errors import OperatorError

EXIT_USAGE = 2


class FileUnusableError(OperatorError):
    """A file that was given to a command can't be read or written, or has the wrong format."""

    code = "file-unusable"
    advice = "Check the path, the permissions and the content of the file; the command had no effect"


class ListenError(OperatorError):
    """A front can't listen on the address in its settings."""

    code = "listen-failed"
    advice = (
        "Check which process uses the address, or set another `listen` address; port 0 takes any free port"
    )


class FleetUnresponsiveError(OperatorError):
    """No front of the inventory responds to a command that any of them could execute."""

    code = "fleet-silent"
    advice = "Check each front with `fennelcove fleet status`; the command was sent to none of them"


class ToolsMissingError(OperatorError):
    """A library that only some commands require is not installed."""

    code = "tools-missing"
    advice = "Install the development tools: `make env` in a clone"


def print_error(error: OperatorError) -> None:
    """Print an error and its remedy to standard error."""
    click.echo(f"fennelcove: {error.lines()}", err=True)


def exit_with_error(error: OperatorError, status: int = EXIT_USAGE) -> NoReturn:
    """Print an error and exit with a status."""
    print_error(error)
    sys.exit(status)
