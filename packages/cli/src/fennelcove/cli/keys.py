"""`fennelcove keys`: certificates for TLS, and passes of viewers."""

from __future__ import annotations

import sys
from datetime import UTC, datetime, timedelta
from pathlib import Path

import click
from fennelcove.cli.telling import FileUnusable, fail
from fennelcove.clock import SystemClock
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon.key_file import KeyFileError, load, rotate
from fennelcove.decisions.clients import access_tokens


@click.group()
def keys() -> None:
    """Certificates for TLS, and passes of viewers."""


@keys.command()
@click.argument("folder", type=click.Path())
@click.option("--name", "names", multiple=True, default=("localhost",), show_default=True)
@click.option("--days", type=click.IntRange(1, 825), default=90, show_default=True)
def new(folder: str, names: tuple[str, ...], days: int) -> None:
    """Make a certificate of its own signature and its key in FOLDER."""
    if (Path(folder) / "certificate.pem").exists():
        fail(FileUnusable("found a certificate", folder, "fennelcove keys rotate replaces it"))
    _write(folder, names, days)


@keys.command("rotate")
@click.argument("folder", type=click.Path())
@click.option("--days", type=click.IntRange(1, 825), default=90, show_default=True)
def rotate_(folder: str, days: int) -> None:
    """Replace the certificate in FOLDER, for the same names. A running front takes the new one by itself."""
    from fennelcove.daemon import certificates

    try:
        held = certificates.read(folder)
    except certificates.CertificateError as error:
        fail(error)
    _write(folder, held.names, days)


def _write(folder: str, names: tuple[str, ...], days: int) -> None:
    from fennelcove.daemon import certificates

    try:
        certificates.make(folder, names, datetime.now(UTC), timedelta(days=days))
    except certificates.CertificateError as error:
        fail(error)
    click.echo(f"{folder}: a certificate for {', '.join(names)}, good for {days} days")


@keys.command("list")
@click.argument("folder", type=click.Path())
def list_(folder: str) -> None:
    """Show what the certificate in FOLDER is for. Exit status 1 where it is over, or its key does not fit."""
    from fennelcove.daemon import certificates

    try:
        held = certificates.read(folder)
    except certificates.CertificateError as error:
        fail(error)
    left = held.until - datetime.now(UTC)
    click.echo(f"names: {', '.join(held.names)}")
    click.echo(f"from {held.since:%Y-%m-%d %H:%M} to {held.until:%Y-%m-%d %H:%M} UTC, {left.days} days left")
    click.echo(f"sha256: {held.fingerprint}")
    click.echo(f"key: {'fits' if held.fits else 'does not fit'}")
    sys.exit(0 if held.fits and left > timedelta() else 1)


@keys.command("pass-key")
@click.argument("file", type=click.Path())
def pass_key(file: str) -> None:
    """Make a key of passes in FILE, or a further one; older ones are known for an hour more."""
    try:
        count = rotate(file, SystemClock().wall_us() // 1000)
    except KeyFileError as error:
        fail(error)
    click.echo(f"{file}: a new key; {count} in use")


@keys.command("pass")
@click.argument("file", type=click.Path())
@click.option("--client", required=True, help="Whom the pass is for.")
@click.option("--minutes", type=click.FloatRange(0.01, 100_000), default=60.0, show_default=True)
@click.option(
    "--most", type=click.IntRange(1, 64), default=8, show_default=True, help="Subscriptions at once."
)
@click.option("--title", "titles", multiple=True, help="Only these titles; none named is any.")
def pass_(file: str, client: str, minutes: float, most: int, titles: tuple[str, ...]) -> None:
    """Make a pass under the newest key in FILE."""
    now_us = SystemClock().wall_us()
    try:
        newest = load(file, now_us // 1000)[0]
    except KeyFileError as error:
        fail(error)
    held = access_tokens.AccessToken(client, now_us - 5_000_000, now_us + round(minutes * 60e6), most, titles)
    click.echo(access_tokens.sign_access_token(held, keyed_mac(newest)))
