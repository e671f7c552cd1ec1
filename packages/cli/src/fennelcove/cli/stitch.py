"""`fennelcove stitch`: an author's changes to running lessons."""

from __future__ import annotations

import os
import secrets
import sys
from pathlib import Path
from typing import Any

import blake3
import click
import msgspec
from fennelcove.cli.client import Failed, call
from fennelcove.cli.telling import FileUnusable, fail
from rich.console import Console
from rich.table import Table

REFUSED, USAGE, UNREACHED = 1, 2, 3
KEY_VARIABLE = "FENNELCOVE_KEY"


def _key(file: str | None) -> str:
    if file is not None:
        try:
            return Path(file).read_text("utf-8").strip()
        except OSError as error:
            fail(FileUnusable(f"found no readable key ({error.strerror})", file))
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        fail(FileUnusable("found no key", suggestion=f"give --key-file or set {KEY_VARIABLE}"))
    return key


class Front:
    """The front that an author speaks to."""

    def __init__(self, address: str, key_file: str | None, as_json: bool) -> None:
        self.address = address
        self.key = _key(key_file)
        self.as_json = as_json

    def call(self, method: str, path: str, body: bytes = b"") -> Any:
        """The answer's body; on a refusal the reason is told and the command ends with 1, unreached with
        3.
        """
        try:
            status, found = call(self.address, method, path, self.key, body)
        except Failed as error:
            fail(Failed(error.happened, error.where, "nothing is known of the change"), UNREACHED)
        if status >= 400:
            found = found if isinstance(found, dict) else {}
            reason = found.get("reason") or found.get("title", "")
            click.echo(f"fennelcove: refused ({status}): {reason}: {found.get('detail', '')}", err=True)
            sys.exit(REFUSED)
        if self.as_json:
            click.echo(msgspec.json.encode(found).decode())
        return found


@click.group()
@click.option("--front", required=True, help="The front's address, host:port.")
@click.option("--key-file", type=click.Path(), help=f"A file with the author's key; or set {KEY_VARIABLE}.")
@click.option("--json", "as_json", is_flag=True, help="Print the front's own answer.")
@click.pass_context
def stitch(ctx: click.Context, front: str, key_file: str | None, as_json: bool) -> None:
    """Change running lessons: insert, replace or cut, take back, and look."""
    ctx.obj = Front(front, key_file, as_json)


def _submit(front: Front, kind: str, id: str | None, **fields: str | None) -> None:
    order: dict[str, Any] = {"id": id or f"{kind}-{secrets.token_hex(6)}", "kind": kind}
    order |= {name: value for name, value in fields.items() if value is not None}
    found = front.call("POST", "/v1/changes", msgspec.json.encode(order))
    if not front.as_json:
        click.echo(f"{found['id']}: {found['state']}, version {found['version']}")


_TARGET = [
    click.option("--title", required=True),
    click.option("--room-type", help="Only for this room type."),
    click.option("--subscription", help="Only for this subscription."),
    click.option("--id", help="Your own name for the change: sent again, it is made once."),
]


def _targeted(command: Any) -> Any:
    for option in reversed(_TARGET):
        command = option(command)
    return command


@stitch.command()
@_targeted
@click.option("--clip", required=True)
@click.option("--at", help="Media time: 12.5, 37/3 or 1:02:03.25.")
@click.option("--wall", help="Wall time, RFC 3339, in place of --at.")
@click.pass_obj
def insert(front: Front, /, **fields: str | None) -> None:
    """Insert a clip between two segments."""
    _submit(front, "insert", fields.pop("id"), **fields)


@stitch.command()
@_targeted
@click.option("--clip", required=True)
@click.option("--at", required=True)
@click.option("--until", required=True)
@click.pass_obj
def replace(front: Front, /, **fields: str | None) -> None:
    """Play a clip in place of a stretch."""
    _submit(front, "replace", fields.pop("id"), **fields)


@stitch.command()
@_targeted
@click.option("--at", required=True)
@click.option("--until", required=True)
@click.pass_obj
def cut(front: Front, /, **fields: str | None) -> None:
    """Leave a stretch out."""
    _submit(front, "cut", fields.pop("id"), **fields)


@stitch.command()
@click.argument("id")
@click.pass_obj
def remove(front: Front, id: str) -> None:
    """Take a change back; players that were shown its first segment play it to its end."""
    found = front.call("DELETE", f"/v1/changes/{id}")
    if not front.as_json:
        click.echo(f"{found['id']}: {found['state']}, version {found['version']}")


@stitch.command("list")
@click.option("--title")
@click.pass_obj
def list_(front: Front, title: str | None) -> None:
    """All changes, the oldest first."""
    found = front.call("GET", "/v1/changes" + (f"?title={title}" if title else ""))
    if not front.as_json:
        table = Table("id", "state", "author", "kind", "title", "clip", "at", "until", "shown", "ahead")
        for item in found:
            at = item.get("at") or item.get("wall", "")
            shown, ahead = str(item.get("players_shown", 0)), str(item.get("players_ahead", 0))
            table.add_row(
                item["id"],
                item["state"],
                item["author"],
                item["kind"],
                item["title"],
                item.get("clip", ""),
                at,
                item.get("until", ""),
                shown,
                ahead,
            )
        Console().print(table)


@stitch.command()
@click.argument("id")
@click.pass_obj
def show(front: Front, id: str) -> None:
    """One change, and how many players it has reached."""
    found = front.call("GET", f"/v1/changes/{id}")
    if not front.as_json:
        for name, value in found.items():
            click.echo(f"{name}: {value}")


@click.command("key")
def new_key() -> None:
    """Make an author's key; the first line is for the author, the second for the front's settings."""
    key = secrets.token_urlsafe(32)
    click.echo(f"key: {key}")
    click.echo(f'(key-hash "{blake3.blake3(key.encode()).hexdigest()}")')
