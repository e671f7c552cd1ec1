"""A scenario delayed by the machine itself is inconclusive; one delayed by a front fails."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove.clock import SystemClock
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.stall_monitor import STALL_S, StallMonitor
from fennelcove.scenarios import player
from fennelcove.scenarios.checker import SLACK_US, check_recording
from fennelcove.scenarios.fronts import Fronts
from fennelcove.scenarios.script import read
from msgspec.structs import replace

from tests.test_checker import MS, RecordingBuilder

LATE_MS = 400


def recording_with_late_answer(**stall_us: int) -> RecordingBuilder:
    """Return a recording of one answer sent too late, and optionally of a stall of the machine."""
    recording = RecordingBuilder().ask(0, "a").answer(LATE_MS, "a", 503)
    return recording.add(900, "machine_stalled", **stall_us) if stall_us else recording


def test_an_answer_late_within_a_measured_stall_is_inconclusive() -> None:
    verdict = check_recording(
        recording_with_late_answer(from_us=100 * MS, until_us=(LATE_MS - 10) * MS).records
    )
    assert verdict.broken == []
    assert [(found.rule, found.subscription) for found in verdict.inconclusive] == [(1, "a/0")]
    assert not verdict.passed


def test_an_answer_late_outside_every_stall_breaks_the_rule() -> None:
    before = recording_with_late_answer(from_us=0, until_us=LATE_MS * MS - SLACK_US - 1)
    after = recording_with_late_answer(from_us=LATE_MS * MS + 1, until_us=900 * MS)
    for recording in (recording_with_late_answer(), before, after):
        verdict = check_recording(recording.records)
        assert [found.rule for found in verdict.broken] == [1]
        assert verdict.inconclusive == []


def test_a_rule_independent_of_time_is_broken_within_a_stall_too() -> None:
    recording = RecordingBuilder().ask(0, "a").answer(5, "a").answer(6, "a")
    verdict = check_recording(recording.add(900, "machine_stalled", from_us=0, until_us=500 * MS).records)
    assert [found.rule for found in verdict.broken] == [1]
    assert verdict.inconclusive == []


def test_the_monitor_records_the_time_in_which_it_was_not_scheduled() -> None:
    recorder = Recorder(SystemClock())
    monitor = StallMonitor(recorder)
    monitor.start()
    process = monitor.process
    assert process is not None
    time.sleep(1.0)  # wait until it has started, which is not a stall
    os.kill(process.pid, signal.SIGSTOP)
    time.sleep(STALL_S * 3)
    os.kill(process.pid, signal.SIGCONT)
    time.sleep(0.1)
    monitor.stop()
    stalls = [record for record in recorder.records if record["what"] == "machine_stalled"]
    assert any(record["until_us"] - record["from_us"] >= STALL_S * 2e6 for record in stalls)


def test_a_late_front_on_a_machine_without_stalls_breaks_the_rule(tmp_path: Path) -> None:
    """Guards against a monitor or a tolerance that attributes the delay of a front to the machine."""
    scenario = read("drain")
    crowd = replace(scenario.crowds[0], per_s=30.0, from_s=0, to_s=3, watch_s=1, hang_up=0.0, timeout_s=0.5)
    scenario = replace(scenario, seconds=4, crowds=[crowd], troubles=[], service_floor=0.0)
    started: list[Fronts] = []

    class RecordedFronts(Fronts):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            started.append(self)

    def pause_first_front() -> None:
        while not started or not started[0].all[0].serves():
            time.sleep(0.02)
        time.sleep(1.0)
        process = started[0].all[0].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        time.sleep(1.2)
        process.send_signal(signal.SIGCONT)

    thread = threading.Thread(target=pause_first_front, daemon=True)
    thread.start()
    with mock.patch.object(player, "Fronts", RecordedFronts):
        verdict = check_recording(player.ScenarioRunner(scenario, 1).play())
    thread.join()
    assert 1 in [found.rule for found in verdict.broken]
