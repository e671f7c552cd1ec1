"""`fennelcove stitch`: changes of an author to titles that are playing."""

from __future__ import annotations

import os
import secrets
import sys
from pathlib import Path
from typing import Any

import blake3
import click
import msgspec
from fennelcove.cli.client import FrontCallError, call
from fennelcove.cli.error_output import FileUnusableError, exit_with_error
from rich.console import Console
from rich.table import Table

EXIT_REJECTED, EXIT_USAGE, EXIT_UNREACHED = 1, 2, 3
KEY_VARIABLE = "FENNELCOVE_KEY"


def _key(file: str | None) -> str:
    if file is not None:
        try:
            return Path(file).read_text("utf-8").strip()
        except OSError as error:
            exit_with_error(FileUnusableError(f"found no readable key ({error.strerror})", file))
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        exit_with_error(
            FileUnusableError("found no key", suggestion=f"give --key-file or set {KEY_VARIABLE}")
        )
    return key


class FrontClient:
    """Sends the requests of an author to one front.

    Args:
        address: the address of the front, `host:port`.
        key_file: a file with the author's key, or None for the environment variable.
        as_json: whether each response is printed as JSON.
    """

    def __init__(self, address: str, key_file: str | None, as_json: bool) -> None:
        self.address = address
        self.key = _key(key_file)
        self.as_json = as_json

    def call(self, method: str, path: str, body: bytes = b"") -> Any:
        """The body of the response; exits with status 1 if the front rejects, 3 if it does not respond."""
        try:
            status, response = call(self.address, method, path, self.key, body)
        except FrontCallError as error:
            exit_with_error(
                FrontCallError(error.happened, error.where, "the state of the change is unknown"),
                EXIT_UNREACHED,
            )
        if status >= 400:
            response = response if isinstance(response, dict) else {}
            reason = response.get("reason") or response.get("title", "")
            click.echo(f"fennelcove: rejected ({status}): {reason}: {response.get('detail', '')}", err=True)
            sys.exit(EXIT_REJECTED)
        if self.as_json:
            click.echo(msgspec.json.encode(response).decode())
        return response


@click.group()
@click.option("--front", required=True, help="The address of the front, host:port.")
@click.option("--key-file", type=click.Path(), help=f"A file with the author's key; or set {KEY_VARIABLE}.")
@click.option("--json", "as_json", is_flag=True, help="Print the JSON response of the front.")
@click.pass_context
def stitch(ctx: click.Context, front: str, key_file: str | None, as_json: bool) -> None:
    """Change titles while they play: insert, replace or cut, and remove, list and show changes."""
    ctx.obj = FrontClient(front, key_file, as_json)


def _submit(front: FrontClient, kind: str, id: str | None, **fields: str | None) -> None:
    order: dict[str, Any] = {"id": id or f"{kind}-{secrets.token_hex(6)}", "kind": kind}
    order |= {name: value for name, value in fields.items() if value is not None}
    response = front.call("POST", "/v1/changes", msgspec.json.encode(order))
    if not front.as_json:
        click.echo(f"{response['id']}: {response['state']}, version {response['version']}")


_TARGET_OPTIONS = [
    click.option("--title", required=True),
    click.option("--room-type", help="Only for this room type."),
    click.option("--subscription", help="Only for this subscription."),
    click.option("--id", help="Your own id for the change, which makes retries idempotent."),
]


def _with_target_options(command: Any) -> Any:
    for option in reversed(_TARGET_OPTIONS):
        command = option(command)
    return command


@stitch.command()
@_with_target_options
@click.option("--clip", required=True)
@click.option("--at", help="Media time: 12.5, 37/3 or 1:02:03.25.")
@click.option("--wall", help="Wall time, RFC 3339, in place of --at.")
@click.pass_obj
def insert(front: FrontClient, /, **fields: str | None) -> None:
    """Insert a clip at a segment boundary."""
    _submit(front, "insert", fields.pop("id"), **fields)


@stitch.command()
@_with_target_options
@click.option("--clip", required=True)
@click.option("--at", required=True)
@click.option("--until", required=True)
@click.pass_obj
def replace(front: FrontClient, /, **fields: str | None) -> None:
    """Play a clip in place of a range of the title."""
    _submit(front, "replace", fields.pop("id"), **fields)


@stitch.command()
@_with_target_options
@click.option("--at", required=True)
@click.option("--until", required=True)
@click.pass_obj
def cut(front: FrontClient, /, **fields: str | None) -> None:
    """Skip a range of the title."""
    _submit(front, "cut", fields.pop("id"), **fields)


@stitch.command()
@click.argument("id")
@click.pass_obj
def remove(front: FrontClient, id: str) -> None:
    """Withdraw a change; players that were sent its first segment play it to its end."""
    response = front.call("DELETE", f"/v1/changes/{id}")
    if not front.as_json:
        click.echo(f"{response['id']}: {response['state']}, version {response['version']}")


@stitch.command("list")
@click.option("--title")
@click.pass_obj
def list_(front: FrontClient, title: str | None) -> None:
    """List all changes, the oldest first."""
    response = front.call("GET", "/v1/changes" + (f"?title={title}" if title else ""))
    if not front.as_json:
        table = Table("id", "state", "author", "kind", "title", "clip", "at", "until", "shown", "ahead")
        for item in response:
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
def show(front: FrontClient, id: str) -> None:
    """Show one change, and how many players it has reached."""
    response = front.call("GET", f"/v1/changes/{id}")
    if not front.as_json:
        for name, value in response.items():
            click.echo(f"{name}: {value}")


@click.command("key")
def new_key() -> None:
    """Create an author's key: the first line is for the author, the second for the settings of the front."""
    key = secrets.token_urlsafe(32)
    click.echo(f"key: {key}")
    click.echo(f'(key-hash "{blake3.blake3(key.encode()).hexdigest()}")')
