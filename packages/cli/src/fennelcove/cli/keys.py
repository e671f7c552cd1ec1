"""`fennelcove keys`: TLS certificates, and access tokens (passes) of clients."""

from __future__ import annotations

import sys
from datetime import UTC, datetime, timedelta
from pathlib import Path

import click
from fennelcove.cli.error_output import FileUnusableError, exit_with_error
from fennelcove.clock import SystemClock
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon.key_file import KeyFileError, load, rotate
from fennelcove.decisions.clients import access_tokens


@click.group()
def keys() -> None:
    """Manage TLS certificates and access tokens (passes) of clients."""


@keys.command()
@click.argument("folder", type=click.Path())
@click.option("--name", "names", multiple=True, default=("localhost",), show_default=True)
@click.option("--days", type=click.IntRange(1, 825), default=90, show_default=True)
def new(folder: str, names: tuple[str, ...], days: int) -> None:
    """Create a self-signed certificate and its key in FOLDER."""
    if (Path(folder) / "certificate.pem").exists():
        exit_with_error(
            FileUnusableError("found a certificate", folder, "fennelcove keys rotate replaces it")
        )
    _write(folder, names, days)


@keys.command("rotate")
@click.argument("folder", type=click.Path())
@click.option("--days", type=click.IntRange(1, 825), default=90, show_default=True)
def rotate_(folder: str, days: int) -> None:
    """Replace the certificate in FOLDER, with the same names; a running front loads the new one itself."""
    from fennelcove.daemon import certificates

    try:
        certificate = certificates.read(folder)
    except certificates.CertificateError as error:
        exit_with_error(error)
    _write(folder, certificate.names, days)


def _write(folder: str, names: tuple[str, ...], days: int) -> None:
    from fennelcove.daemon import certificates

    try:
        certificates.make(folder, names, datetime.now(UTC), timedelta(days=days))
    except certificates.CertificateError as error:
        exit_with_error(error)
    click.echo(f"{folder}: a certificate for {', '.join(names)}, valid for {days} days")


@keys.command("list")
@click.argument("folder", type=click.Path())
def list_(folder: str) -> None:
    """Show the certificate in FOLDER; exit status 1 if it has expired or its key does not match."""
    from fennelcove.daemon import certificates

    try:
        certificate = certificates.read(folder)
    except certificates.CertificateError as error:
        exit_with_error(error)
    remaining = certificate.until - datetime.now(UTC)
    click.echo(f"names: {', '.join(certificate.names)}")
    click.echo(
        f"from {certificate.since:%Y-%m-%d %H:%M} to {certificate.until:%Y-%m-%d %H:%M} UTC, "
        f"{remaining.days} days left"
    )
    click.echo(f"sha256: {certificate.fingerprint}")
    click.echo(f"key: {'fits' if certificate.fits else 'does not fit'}")
    sys.exit(0 if certificate.fits and remaining > timedelta() else 1)


@keys.command("pass-key")
@click.argument("file", type=click.Path())
def pass_key(file: str) -> None:
    """Add a new signing key for access tokens to FILE; older keys stay valid for another hour."""
    try:
        count = rotate(file, SystemClock().wall_us() // 1000)
    except KeyFileError as error:
        exit_with_error(error)
    click.echo(f"{file}: a new key; {count} in use")


@keys.command("pass")
@click.argument("file", type=click.Path())
@click.option("--client", required=True, help="The client that the token is for.")
@click.option("--minutes", type=click.FloatRange(0.01, 100_000), default=60.0, show_default=True)
@click.option("--most", type=click.IntRange(1, 64), default=8, show_default=True, help="Concurrent sessions.")
@click.option("--title", "titles", multiple=True, help="Only these titles; by default all.")
def pass_(file: str, client: str, minutes: float, most: int, titles: tuple[str, ...]) -> None:
    """Create an access token, signed with the newest key in FILE."""
    now_us = SystemClock().wall_us()
    try:
        newest = load(file, now_us // 1000)[0]
    except KeyFileError as error:
        exit_with_error(error)
    token = access_tokens.AccessToken(
        client, now_us - 5_000_000, now_us + round(minutes * 60e6), most, titles
    )
    click.echo(access_tokens.sign_access_token(token, keyed_mac(newest)))
