"""`fennelcove store`: inspects, verifies, compacts and exports the store of a front."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec
from fennelcove.cli.error_output import exit_with_error
from fennelcove.core.snapshot_records import FRONT_KEY, SERVER_KEY_PREFIX
from fennelcove.decisions.recovery import snapshot
from fennelcove.store.base import BASE_FILE_NAME, BaseFileError
from fennelcove.store.directory import Store, StoreError, verify_folder

EXIT_CORRUPT = 1


def _open(folder: str) -> Store:
    if not (Path(folder) / BASE_FILE_NAME).exists():
        exit_with_error(StoreError("found no store in this folder", folder))
    try:
        return Store(folder, _size_mb(folder), "fennelcove store")
    except StoreError as error:
        exit_with_error(error)


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


def _format_time(wall_us: int) -> str:
    return datetime.fromtimestamp(wall_us / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S") if wall_us else "never"


@click.group()
def store() -> None:
    """Inspect the state that a front persists; its front must not run, except for `verify` on a copy."""


@store.command()
@click.argument("folder", type=click.Path())
def inspect(folder: str) -> None:
    """Print the records in FOLDER."""
    opened_store = _open(folder)
    try:
        for row in _rows(opened_store):
            if row["kind"] == "box" and "started_us" in row:
                click.echo(
                    f"box {row['name']}: started {_format_time(row['started_us'])}, "
                    f"{row['strikes']} strikes, last attempt {_format_time(row['joined_us'])}, "
                    f"last report {_format_time(row['heard_us'])}"
                )
            elif "usual" in row:
                click.echo(
                    f"front: written {_format_time(row['written_us'])}, usual arrivals {row['usual']:.1f} "
                    f"per half second, {len(row['further_us'])} retries in the window of the budget"
                )
            else:
                click.echo(f"{row['kind']} {row['name']}: {row['bytes']} bytes")
        click.echo(
            f"{len(opened_store.values)} records up to batch {opened_store.journal.sequence}, "
            f"{opened_store.base.byte_count()} bytes"
        )
    finally:
        opened_store.close()


@store.command("verify")
@click.argument("folder", type=click.Path())
def verify_(folder: str) -> None:
    """List the corrupt records in FOLDER; exit status 1 if there are any."""
    try:
        corrupt_records = verify_folder(folder)
    except StoreError as error:
        exit_with_error(error)
    for line in corrupt_records:
        click.echo(line)
    click.echo("sound" if not corrupt_records else f"{len(corrupt_records)} bad")
    sys.exit(EXIT_CORRUPT if corrupt_records else 0)


@store.command()
@click.argument("folder", type=click.Path())
def compact(folder: str) -> None:
    """Rewrite the base file in FOLDER without its free pages."""
    opened_store = _open(folder)
    fresh = Path(folder) / f"{BASE_FILE_NAME}.compact"
    try:
        opened_store.checkpoint()
        before = (Path(folder) / BASE_FILE_NAME).stat().st_size
        fresh.unlink(missing_ok=True)
        opened_store.base.copy_to(str(fresh))
    except BaseFileError as error:
        exit_with_error(error)
    except OSError as error:
        exit_with_error(StoreError(f"found no writable folder ({error})", folder))
    finally:
        opened_store.close()
    fresh.replace(Path(folder) / BASE_FILE_NAME)
    click.echo(f"{before} bytes before, {(Path(folder) / BASE_FILE_NAME).stat().st_size} now")


@store.command()
@click.argument("folder", type=click.Path())
@click.option("--out", type=click.Path(), help="Write to this file instead of standard output.")
def export(folder: str, out: str | None) -> None:
    """Write each record in FOLDER as a JSON line."""
    opened_store = _open(folder)
    try:
        lines = b"\n".join(msgspec.json.encode(row) for row in _rows(opened_store)) + b"\n"
    finally:
        opened_store.close()
    if out is None:
        click.echo(lines.decode(), nl=False)
    else:
        Path(out).write_bytes(lines)
