"""Runs a front or a stand-in box until a signal."""

from __future__ import annotations

import signal
import sys
import threading
from typing import Annotated, ClassVar

import click
from fennelcove import log
from fennelcove.cli.telling import ListenFailed, tell
from fennelcove.clock import SystemClock
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.daemon.key_file import KeyFileError
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.emulators.model import RackModel, ServerModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.ingress.tls import TlsError
from fennelcove.settings.checks import load_front
from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import Name, SomeCount, SomeFigure, SomeMillis, Strict
from fennelcove.store.directory import StoreError
from msgspec import Meta

USAGE, FAILED = 2, 1


class BoxSettings(Strict, frozen=True, kw_only=True):
    """A stand-in box."""

    HEAD: ClassVar[str] = "box"

    name: Name
    streams: SomeCount
    link_kb: SomeFigure
    uplink_kb: SomeFigure
    reports_every_ms: SomeMillis = 1000.0
    ramp_ms: Annotated[float, Meta(ge=0)] = 0.0
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0


def _until_signal(second: threading.Event | None = None) -> threading.Event:
    """Set by SIGTERM or SIGINT; the second signal sets the other event."""
    first = threading.Event()

    def heard(_number: int, _frame: object) -> None:
        if first.is_set() and second is not None:
            second.set()
        first.set()

    signal.signal(signal.SIGTERM, heard)
    signal.signal(signal.SIGINT, heard)
    return first


def run_front(config: str, level: str, wall_off_s: float = 0.0) -> int:
    """The front's process; its exit status."""
    try:
        settings = load_front(config)
    except SettingsError as error:
        tell(error)
        return USAGE
    notice = log.configure(settings.name, level)
    hurry = threading.Event()
    asked = _until_signal(hurry)
    try:
        program = FrontDaemon(settings, notice, SystemClock(round(wall_off_s * 1e6)), end=asked.set)
    except (KeyFileError, StoreError, TlsError) as error:
        tell(error)
        return USAGE
    except OSError as error:
        tell(ListenFailed(f"found {settings.listen} in use or barred ({error})", f"{config}: listen"))
        return USAGE
    program.start()
    while not asked.wait(1.0):
        pass  # a bounded wait, so that a signal is handled even where the lock would hold it back
    ending = threading.Thread(target=program.stop, name="ending")
    ending.start()
    while ending.is_alive():
        ending.join(0.1)
        if hurry.is_set():
            program.hurry()
    return 0


def run_box(config: str) -> int:
    """The stand-in box's process; its exit status."""
    try:
        settings = load(config, BoxSettings)
    except SettingsError as error:
        tell(error)
        return USAGE
    clock = SystemClock()
    rack = RackModel(settings.uplink_kb)
    model = ServerModel(
        settings.link_kb,
        settings.streams,
        rack,
        round(settings.ramp_ms * 1000),
        settings.start_capacity,
        2.0,
        3_000_000,
    )
    rack.servers.append(model)
    box = EmulatedServer(
        settings.name, model, clock, Recorder(clock, retain=False), settings.reports_every_ms / 1000
    )
    asked = _until_signal()
    box.start()
    click.echo(box.address)
    sys.stdout.flush()
    while not asked.wait(1.0):
        pass
    box.stop()
    return 0
