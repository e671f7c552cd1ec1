"""Runs scenarios, checks recordings of runs, and prints verdicts."""

from __future__ import annotations

import click
import msgspec
from fennelcove.cli.error_output import FileUnusableError, ToolsMissingError, print_error
from fennelcove.emulators.recorder import load, save
from fennelcove.scenarios import outages, slots
from fennelcove.scenarios.checker import Verdict, check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.plots import draw_seconds
from fennelcove.scenarios.recovery import format_figures
from fennelcove.scenarios.script import read
from fennelcove.settings.reader import SettingsError

EXIT_PASSED, EXIT_FAILED, EXIT_USAGE = 0, 1, 2


def play_scenario(name: str, seed: int, record: str | None, as_json: bool, plot: str | None = None) -> int:
    """Run a scenario, check it and print the verdict; returns the exit status."""
    try:
        scenario = read(name)
    except SettingsError as error:
        print_error(error)
        return EXIT_USAGE
    fronts = f"{scenario.fronts} fronts" if scenario.fronts > 1 else "one front"
    click.echo(
        f"playing {name}, seed {seed}: {len(scenario.boxes)} emulated servers, {fronts}, "
        f"{scenario.seconds:g} s"
    )
    try:
        records = ScenarioRunner(scenario, seed).play()
    except ScenarioError as error:
        print_error(error)
        return EXIT_FAILED
    if record is not None:
        try:
            save(records, record)
        except OSError as error:
            print_error(FileUnusableError(f"found no writable file ({error.strerror})", record))
            return EXIT_USAGE
    if plot is not None:
        try:
            draw_seconds(records, plot)
        except ImportError:
            print_error(ToolsMissingError("found no matplotlib, which draws the plots"))
            return EXIT_USAGE
        except OSError as error:
            print_error(FileUnusableError(f"found no writable file ({error.strerror})", plot))
            return EXIT_USAGE
    return print_verdict(check_recording(records), as_json)


def check_recording_file(file: str, as_json: bool) -> int:
    """Check a recording and print the verdict; returns the exit status."""
    try:
        return print_verdict(check_recording(load(file)), as_json)
    except OSError as error:
        print_error(FileUnusableError(f"found no readable file ({error.strerror})", file))
    except (ValueError, KeyError) as error:
        print_error(FileUnusableError(f"found no recording of a scenario ({error})", file))
    return EXIT_USAGE


def print_verdict(verdict: Verdict, as_json: bool) -> int:
    """Print a verdict; returns the exit status."""
    click.echo(
        f"{verdict.day}: {verdict.requests} requests, {verdict.answers} responses: {verdict.played} played, "
        f"{verdict.throttled} throttled, {verdict.terminated} terminated; {verdict.hung_up} hung up, "
        f"{verdict.not_taken} not accepted by any front, {verdict.lost} lost while playing"
    )
    if verdict.seams or verdict.stalls:
        click.echo(
            f"{verdict.seams} splice points played, {verdict.moves} moves to another server, "
            f"{verdict.stalls} stalls, the longest {verdict.longest_stall_ms:.0f} ms"
        )
    if verdict.settled_s is not None:
        click.echo(f"rejections above 5 % of requests ended {verdict.settled_s:g} s after the last crowd")
    if verdict.rig_late_s:
        click.echo(
            f"the test rig was late for {verdict.rig_late_s:g} s, by up to {verdict.rig_late_ms:.0f} ms: "
            "violations in that time may come from load on this machine; run it again on an idle machine"
        )
    if verdict.tenants is not None:
        tenants = verdict.tenants
        click.echo(f"most concurrent attempts at one server: {tenants.most_out} of {tenants.slots} slots")
        for row in tenants.tenants:
            click.echo(
                f"tenant {row.name}: {row.asked} requests, {row.served:.3f} of its clients served, wait "
                f"{row.wait_p50_ms:.0f} ms (p99 {row.wait_p99_ms:.0f}), slot time {row.slot_s:.1f} s"
            )
    if verdict.outs is not None:
        click.echo(outages.format_figures(verdict.outs))
    if verdict.slots is not None:
        click.echo(slots.format_figures(verdict.slots))
    if verdict.fleet is not None:
        for line in format_figures(verdict.fleet):
            click.echo(line)
    click.echo(f"service {verdict.service:.3f}, floor {verdict.service_floor:.3f}")
    for broken in verdict.broken[:50]:
        click.echo(
            f"rule {broken.rule} violated at {broken.time:.3f} s by {broken.subscription}: {broken.reason}"
        )
    for late in verdict.inconclusive[:50]:
        click.echo(
            f"rule {late.rule} inconclusive at {late.time:.3f} s by {late.subscription}: {late.reason}; "
            "the machine itself stalled at that time"
        )
    failed = "INCONCLUSIVE" if verdict.inconclusive and not verdict.broken else "FAILED"
    click.echo("passed" if verdict.passed else failed)
    if as_json:
        click.echo(msgspec.json.encode(verdict).decode())
    return EXIT_PASSED if verdict.passed else EXIT_FAILED
