"""Plays and judges days, and shows verdicts."""

from __future__ import annotations

import click
import msgspec
from fennelcove.cli.telling import FileUnusable, ToolsMissing, tell
from fennelcove.emulators.recorder import load, save
from fennelcove.scenarios import outages, slots
from fennelcove.scenarios.checker import Verdict, check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.plots import draw_seconds
from fennelcove.scenarios.recovery import format_figures
from fennelcove.scenarios.script import read
from fennelcove.settings.reader import SettingsError

PASSED, BROKEN, USAGE = 0, 1, 2


def play(name: str, seed: int, record: str | None, as_json: bool, plot: str | None = None) -> int:
    """Play a day; the exit status."""
    try:
        day = read(name)
    except SettingsError as error:
        tell(error)
        return USAGE
    fronts = f"{day.fronts} fronts" if day.fronts > 1 else "one front"
    click.echo(f"playing {name}, seed {seed}: {len(day.boxes)} stand-in boxes, {fronts}, {day.seconds:g} s")
    try:
        records = ScenarioRunner(day, seed).play()
    except ScenarioError as error:
        tell(error)
        return BROKEN
    if record is not None:
        try:
            save(records, record)
        except OSError as error:
            tell(FileUnusable(f"found no writable file ({error.strerror})", record))
            return USAGE
    if plot is not None:
        try:
            draw_seconds(records, plot)
        except ImportError:
            tell(ToolsMissing("found no matplotlib to draw with"))
            return USAGE
        except OSError as error:
            tell(FileUnusable(f"found no writable file ({error.strerror})", plot))
            return USAGE
    return show(check_recording(records), as_json)


def judge_file(file: str, as_json: bool) -> int:
    """Judge a recording; the exit status."""
    try:
        return show(check_recording(load(file)), as_json)
    except OSError as error:
        tell(FileUnusable(f"found no readable file ({error.strerror})", file))
    except (ValueError, KeyError) as error:
        tell(FileUnusable(f"found no recording of a day ({error})", file))
    return USAGE


def show(verdict: Verdict, as_json: bool) -> int:
    """Print a verdict; the exit status."""
    click.echo(
        f"{verdict.day}: {verdict.requests} requests, {verdict.answers} answers: {verdict.played} played, "
        f"{verdict.throttled} throttled, {verdict.terminated} terminated; {verdict.hung_up} hung up, "
        f"{verdict.not_taken} found no front, {verdict.lost} lost while playing"
    )
    if verdict.seams or verdict.stalls:
        click.echo(
            f"{verdict.seams} seams crossed, {verdict.moves} changes of box, {verdict.stalls} stalls, "
            f"the longest {verdict.longest_stall_ms:.0f} ms"
        )
    if verdict.settled_s is not None:
        click.echo(f"refusals over a twentieth ended {verdict.settled_s:g} s after the last crowd")
    if verdict.rig_late_s:
        click.echo(
            f"the rig itself was late for {verdict.rig_late_s:g} s, by up to {verdict.rig_late_ms:.0f} ms: "
            "what broke meanwhile may be this machine's; play it again with nothing beside it"
        )
    if verdict.tenants is not None:
        seen = verdict.tenants
        click.echo(f"joins out at one box at a time: {seen.most_out} at most, of {seen.slots} slots")
        for row in seen.tenants:
            click.echo(
                f"tenant {row.name}: asked {row.asked}, {row.served:.3f} of its viewers served, wait "
                f"{row.wait_p50_ms:.0f} ms (p99 {row.wait_p99_ms:.0f}), slot-time {row.slot_s:.1f} s"
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
            f"rule {broken.rule} broken at {broken.time:.3f} s by {broken.subscription}: {broken.reason}"
        )
    for late in verdict.inconclusive[:50]:
        click.echo(
            f"rule {late.rule} inconclusive at {late.time:.3f} s by {late.subscription}: {late.reason}; "
            "the machine itself stood still then"
        )
    failed = "INCONCLUSIVE" if verdict.inconclusive and not verdict.broken else "FAILED"
    click.echo("passed" if verdict.passed else failed)
    if as_json:
        click.echo(msgspec.json.encode(verdict).decode())
    return PASSED if verdict.passed else BROKEN
