"""A day that the machine itself held up is inconclusive; one that a front held up fails as before."""

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
from fennelcove.scenarios.checker import SLACK_US, judge
from fennelcove.scenarios.fronts import Fronts
from fennelcove.scenarios.script import read
from msgspec.structs import replace

from tests.test_judge import MS, Made

LATE_MS = 400


def late(**stall_us: int) -> Made:
    """A recording of one answer that was given up and held back, and of a stall of the machine."""
    made = Made().ask(0, "a").answer(LATE_MS, "a", 503)
    return made.add(900, "machine_stalled", **stall_us) if stall_us else made


def test_an_answer_late_inside_a_measured_stall_is_inconclusive_by_name() -> None:
    verdict = judge(late(from_us=100 * MS, until_us=(LATE_MS - 10) * MS).records)
    assert verdict.broken == []
    assert [(found.rule, found.subscription) for found in verdict.inconclusive] == [(1, "a/0")]
    assert not verdict.passed


def test_an_answer_late_outside_of_every_stall_is_a_broken_rule() -> None:
    before = late(from_us=0, until_us=LATE_MS * MS - SLACK_US - 1)
    after = late(from_us=LATE_MS * MS + 1, until_us=900 * MS)
    for made in (late(), before, after):
        verdict = judge(made.records)
        assert [found.rule for found in verdict.broken] == [1]
        assert verdict.inconclusive == []


def test_a_rule_that_no_lateness_breaks_is_broken_inside_a_stall_too() -> None:
    made = Made().ask(0, "a").answer(5, "a").answer(6, "a")
    verdict = judge(made.add(900, "machine_stalled", from_us=0, until_us=500 * MS).records)
    assert [found.rule for found in verdict.broken] == [1]
    assert verdict.inconclusive == []


def test_the_monitor_records_when_it_was_given_no_time() -> None:
    recorder = Recorder(SystemClock())
    monitor = StallMonitor(recorder)
    monitor.start()
    process = monitor.process
    assert process is not None
    time.sleep(1.0)  # it has to sleep already: a start is no stall
    os.kill(process.pid, signal.SIGSTOP)
    time.sleep(STALL_S * 3)
    os.kill(process.pid, signal.SIGCONT)
    time.sleep(0.1)
    monitor.stop()
    stalls = [record for record in recorder.records if record["what"] == "machine_stalled"]
    assert any(record["until_us"] - record["from_us"] >= STALL_S * 2e6 for record in stalls)


def test_a_front_that_is_late_on_a_machine_that_is_not_breaks_the_rule(tmp_path: Path) -> None:
    """Guards against a monitor, or a window, that would excuse the front itself."""
    day = read("drain")
    crowd = replace(day.crowds[0], per_s=30.0, from_s=0, to_s=3, watch_s=1, hang_up=0.0, timeout_s=0.5)
    day = replace(day, seconds=4, crowds=[crowd], troubles=[], service_floor=0.0)
    made: list[Fronts] = []

    class KnownFronts(Fronts):
        def __init__(self, *words: Any) -> None:
            super().__init__(*words)
            made.append(self)

    def pause() -> None:
        while not made or not made[0].all[0].serves():
            time.sleep(0.02)
        time.sleep(1.0)
        process = made[0].all[0].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        time.sleep(1.2)
        process.send_signal(signal.SIGCONT)

    thread = threading.Thread(target=pause, daemon=True)
    thread.start()
    with mock.patch.object(player, "Fronts", KnownFronts):
        verdict = judge(player.DayPlayer(day, 1).play())
    thread.join()
    assert 1 in [found.rule for found in verdict.broken]
