"""`fennelcove api`: generates the API descriptions, and compares two versions of one."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from fennelcove.api import asyncapi, openapi
from fennelcove.api.diff import Comparison, is_breaking_version_step
from fennelcove.cli.error_output import FileUnusableError, exit_with_error
from fennelcove.ingress.routes import ROUTE_TABLE

EXIT_BREAKING_CHANGE = 1


@click.group()
def api() -> None:
    """Generate and compare the descriptions of the HTTP and WebSocket APIs."""


def _write(text: str, file: str | None) -> None:
    if file is None:
        click.echo(text, nl=False)
    else:
        Path(file).write_text(text, "utf-8")


@api.command("openapi")
@click.option("--out", type=click.Path(), help="Write to this file instead of standard output.")
def openapi_(out: str | None) -> None:
    """Write the description of the HTTP API (OpenAPI 3.1)."""
    _write(openapi.text(ROUTE_TABLE), out)


@api.command("asyncapi")
@click.option("--out", type=click.Path(), help="Write to this file instead of standard output.")
def asyncapi_(out: str | None) -> None:
    """Write the description of the WebSocket API (AsyncAPI 3.0)."""
    _write(asyncapi.text(), out)


def _load(file: str) -> dict[str, Any]:
    try:
        found = json.loads(Path(file).read_text("utf-8"))
    except (OSError, ValueError) as error:
        exit_with_error(FileUnusableError(f"found no readable API description ({error})", file))
    if not isinstance(found, dict) or not {"openapi", "asyncapi"} & found.keys():
        exit_with_error(
            FileUnusableError(
                "found neither an OpenAPI nor an AsyncAPI document", file, "fennelcove api openapi writes one"
            )
        )
    return found


@api.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
def diff(old: str, new: str) -> None:
    """List the changes from OLD to NEW.

    The exit status is 1 if there is a breaking change and the version was not raised accordingly.
    """
    before, after = _load(old), _load(new)
    if ("openapi" in before) != ("openapi" in after):
        exit_with_error(
            FileUnusableError(
                "found one OpenAPI and one AsyncAPI document", suggestion="give two of the same type"
            )
        )
    found = Comparison(before, after).run()
    for item in found:
        click.echo(f"{'breaking' if item.is_breaking else 'compatible'}: {item.location}: {item.change}")
    versions = before["info"]["version"], after["info"]["version"]
    breaking = sum(item.is_breaking for item in found)
    click.echo(
        f"{breaking} breaking, {len(found) - breaking} compatible; version {versions[0]} -> {versions[1]}"
    )
    if breaking and not is_breaking_version_step(*versions):
        click.echo("a breaking change requires a new major version, or before 1.0 a new minor version")
        sys.exit(EXIT_BREAKING_CHANGE)
