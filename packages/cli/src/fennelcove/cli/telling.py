"""How the command line tells of a trouble: what happened, and on the next line what can be done."""

from __future__ import annotations

import sys
from typing import NoReturn

import click
from fennelcove.errors import OperatorError

USAGE = 2


class FileUnusable(OperatorError):
    """A file that a command was given can't be read or written, or is of another kind."""

    code = "file-unusable"
    advice = "Check the path, the rights and what is in the file; nothing was done"


class ListenFailed(OperatorError):
    """A front can't listen at the address of its settings."""

    code = "listen-failed"
    advice = "See what listens there, or name another address under `listen`; port 0 is any free one"


class FleetSilent(OperatorError):
    """No front of the inventory answers to an order that any of them could take."""

    code = "fleet-silent"
    advice = "`fennelcove fleet status` tells how each is; the order has reached none"


class ToolsMissing(OperatorError):
    """A library that only some commands need is not installed."""

    code = "tools-missing"
    advice = "Install the development tools: `make env` in a clone"


def tell(trouble: OperatorError) -> None:
    """On standard error."""
    click.echo(f"fennelcove: {trouble.lines()}", err=True)


def fail(trouble: OperatorError, status: int = USAGE) -> NoReturn:
    """Tell and end."""
    tell(trouble)
    sys.exit(status)
