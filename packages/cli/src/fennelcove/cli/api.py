"""`fennelcove api`: the descriptions of both doors, and what changed between two of them."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from fennelcove.api import asyncapi, openapi
from fennelcove.api.diff import Comparison, stepped
from fennelcove.cli.telling import FileUnusable, fail
from fennelcove.ingress.routes import ROUTE_TABLE

BREAKS = 1


@click.group()
def api() -> None:
    """The descriptions of both doors."""


def _write(text: str, file: str | None) -> None:
    if file is None:
        click.echo(text, nl=False)
    else:
        Path(file).write_text(text, "utf-8")


@api.command("openapi")
@click.option("--out", type=click.Path(), help="Write to this file.")
def openapi_(out: str | None) -> None:
    """The HTTP door as OpenAPI 3.1."""
    _write(openapi.text(ROUTE_TABLE), out)


@api.command("asyncapi")
@click.option("--out", type=click.Path(), help="Write to this file.")
def asyncapi_(out: str | None) -> None:
    """The WebSocket door as AsyncAPI 3.0."""
    _write(asyncapi.text(), out)


def _load(file: str) -> dict[str, Any]:
    try:
        found = json.loads(Path(file).read_text("utf-8"))
    except (OSError, ValueError) as error:
        fail(FileUnusable(f"found no description ({error})", file))
    if not isinstance(found, dict) or not {"openapi", "asyncapi"} & found.keys():
        fail(FileUnusable("found no description", file, "fennelcove api openapi writes one"))
    return found


@api.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
def diff(old: str, new: str) -> None:
    """What changed from OLD to NEW. Exit status 1 on a breaking change without a version step."""
    before, after = _load(old), _load(new)
    if ("openapi" in before) != ("openapi" in after):
        fail(FileUnusable("found one OpenAPI and one AsyncAPI document", suggestion="give two of a kind"))
    found = Comparison(before, after).run()
    for item in found:
        click.echo(f"{'breaking' if item.breaks else 'compatible'}: {item.place}: {item.what}")
    versions = before["info"]["version"], after["info"]["version"]
    breaking = sum(item.breaks for item in found)
    click.echo(
        f"{breaking} breaking, {len(found) - breaking} compatible; version {versions[0]} -> {versions[1]}"
    )
    if breaking and not stepped(*versions):
        click.echo("a breaking change needs a version step")
        sys.exit(BREAKS)
