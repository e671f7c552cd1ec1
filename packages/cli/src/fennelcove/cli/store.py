"""`fennelcove store`: what a front's folder holds, whether it is sound, and copies of it."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec
from fennelcove.cli.telling import fail
from fennelcove.core.snapshot_records import FRONT_KEY, SERVER_KEY_PREFIX
from fennelcove.decisions.recovery import snapshot
from fennelcove.store.base import BASE_FILE_NAME, BaseFileError
from fennelcove.store.directory import Store, StoreError, verify_folder

BAD = 1


def _open(folder: str) -> Store:
    if not (Path(folder) / BASE_FILE_NAME).exists():
        fail(StoreError("found no store there", folder))
    try:
        return Store(folder, _size_mb(folder), "fennelcove store")
    except StoreError as error:
        fail(error)


def _size_mb(folder: str) -> int:
    return max(64, (Path(folder) / BASE_FILE_NAME).stat().st_size // 1_000_000 + 1)


def _rows(store: Store) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for key, raw in sorted(store.values.items()):
        found: msgspec.Struct | None
        if key.startswith(SERVER_KEY_PREFIX):
            kind, found = "box", snapshot.read_server(raw)
        else:
            kind, found = ("front" if key == FRONT_KEY else "unknown"), snapshot.read_front(raw)
        name = key.removeprefix(SERVER_KEY_PREFIX).decode("utf-8", "replace")
        row: dict[str, Any] = {"kind": kind, "name": name, "bytes": len(raw)}
        if found is not None:
            row |= msgspec.structs.asdict(found)
        rows.append(row)
    return rows


def _at(wall_us: int) -> str:
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S") if wall_us else "never"


@click.group()
def store() -> None:
    """What a front keeps across its lives. Its front must not run, but for `verify` on a copy."""


@store.command()
@click.argument("folder", type=click.Path())
def inspect(folder: str) -> None:
    """Show what FOLDER holds."""
    held = _open(folder)
    try:
        for row in _rows(held):
            if row["kind"] == "box" and "started_us" in row:
                click.echo(
                    f"box {row['name']}: started {_at(row['started_us'])}, {row['strikes']} strikes, "
                    f"last given work {_at(row['joined_us'])}, last known {_at(row['heard_us'])}"
                )
            elif "usual" in row:
                click.echo(
                    f"front: written {_at(row['written_us'])}, usual arrivals {row['usual']:.1f} in half a "
                    "second, "
                    f"{len(row['further_us'])} further joins in the budget's span"
                )
            else:
                click.echo(f"{row['kind']} {row['name']}: {row['bytes']} bytes")
        click.echo(
            f"{len(held.values)} records up to batch {held.journal.sequence}, {held.base.byte_count()} bytes"
        )
    finally:
        held.close()


@store.command("verify")
@click.argument("folder", type=click.Path())
def verify_(folder: str) -> None:
    """Name each bad record of FOLDER. Exit status 1 where there is one."""
    try:
        told = verify_folder(folder)
    except StoreError as error:
        fail(error)
    for line in told:
        click.echo(line)
    click.echo("sound" if not told else f"{len(told)} bad")
    sys.exit(BAD if told else 0)


@store.command()
@click.argument("folder", type=click.Path())
def compact(folder: str) -> None:
    """Write the base of FOLDER anew without what is free in it."""
    held = _open(folder)
    fresh = Path(folder) / f"{BASE_FILE_NAME}.compact"
    try:
        held.checkpoint()
        before = (Path(folder) / BASE_FILE_NAME).stat().st_size
        fresh.unlink(missing_ok=True)
        held.base.copy_to(str(fresh))
    except BaseFileError as error:
        fail(error)
    except OSError as error:
        fail(StoreError(f"found no way to write there ({error})", folder))
    finally:
        held.close()
    fresh.replace(Path(folder) / BASE_FILE_NAME)
    click.echo(f"{before} bytes before, {(Path(folder) / BASE_FILE_NAME).stat().st_size} now")


@store.command()
@click.argument("folder", type=click.Path())
@click.option("--out", type=click.Path(), help="Write to this file.")
def export(folder: str, out: str | None) -> None:
    """Every record of FOLDER as a JSON line."""
    held = _open(folder)
    try:
        lines = b"\n".join(msgspec.json.encode(row) for row in _rows(held)) + b"\n"
    finally:
        held.close()
    if out is None:
        click.echo(lines.decode(), nl=False)
    else:
        Path(out).write_bytes(lines)
