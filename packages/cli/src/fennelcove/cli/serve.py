"""Runs a front or an emulated server until a signal."""

from __future__ import annotations

import signal
import sys
import threading
from typing import Annotated, ClassVar

import click
from fennelcove import log
from fennelcove.cli.error_output import ListenError, print_error
from fennelcove.clock import SystemClock
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.daemon.key_file import KeyFileError
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.emulators.model import RackModel, ServerModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.ingress.tls import TlsError
from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import Name, PositiveCount, PositiveMilliseconds, PositiveNumber, StrictStruct
from fennelcove.settings.validation import load_front
from fennelcove.store.directory import StoreError
from msgspec import Meta

EXIT_USAGE, EXIT_FAILED = 2, 1


class EmulatedServerSettings(StrictStruct, frozen=True, kw_only=True):
    """The settings of an emulated server."""

    HEAD: ClassVar[str] = "box"

    name: Name
    streams: PositiveCount
    link_kb: PositiveNumber
    uplink_kb: PositiveNumber
    reports_every_ms: PositiveMilliseconds = 1000.0
    ramp_ms: Annotated[float, Meta(ge=0)] = 0.0
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0


def _stop_event_on_signals(second_signal: threading.Event | None = None) -> threading.Event:
    """An event that SIGTERM or SIGINT sets; a second signal sets `second_signal`."""
    first_signal = threading.Event()

    def handle_signal(_number: int, _frame: object) -> None:
        if first_signal.is_set() and second_signal is not None:
            second_signal.set()
        first_signal.set()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    return first_signal


def run_front(config: str, level: str, wall_offset_s: float = 0.0) -> int:
    """Run a front in this process; returns the exit status."""
    try:
        settings = load_front(config)
    except SettingsError as error:
        print_error(error)
        return EXIT_USAGE
    log_event = log.configure(settings.name, level)
    shutdown_shortened = threading.Event()
    stop_requested = _stop_event_on_signals(shutdown_shortened)
    try:
        front_process = FrontDaemon(
            settings, log_event, SystemClock(round(wall_offset_s * 1e6)), request_shutdown=stop_requested.set
        )
    except (KeyFileError, StoreError, TlsError) as error:
        print_error(error)
        return EXIT_USAGE
    except OSError as error:
        print_error(
            ListenError(f"found {settings.listen} in use or not permitted ({error})", f"{config}: listen")
        )
        return EXIT_USAGE
    front_process.start()
    while not stop_requested.wait(1.0):
        pass  # the wait has a timeout, since a signal may not interrupt an unlimited wait for the lock
    stop_thread = threading.Thread(target=front_process.stop, name="ending")
    stop_thread.start()
    while stop_thread.is_alive():
        stop_thread.join(0.1)
        if shutdown_shortened.is_set():
            front_process.cancel_pending_attempts()
    return 0


def run_emulated_server(config: str) -> int:
    """Run an emulated server in this process; returns the exit status."""
    try:
        settings = load(config, EmulatedServerSettings)
    except SettingsError as error:
        print_error(error)
        return EXIT_USAGE
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
    server = EmulatedServer(
        settings.name, model, clock, Recorder(clock, retain=False), settings.reports_every_ms / 1000
    )
    stop_requested = _stop_event_on_signals()
    server.start()
    click.echo(server.address)
    sys.stdout.flush()
    while not stop_requested.wait(1.0):
        pass
    server.stop()
    return 0
