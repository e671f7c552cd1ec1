"""Runs scenarios of whole fleets, each in its own process.

Two scenarios in one process share its interpreter lock: clients then process responses late that arrived in
time.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from fennelcove.scenarios.script import Day
from fennelcove.settings.writer import write

LONGEST_S = 150
MAX_REPLAYS = 2


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "fennelcove", "day", *words, "--json"]


def played(days: dict[str, Day], folder: str, seed: int, beside: int = 2) -> dict[str, dict[str, Any]]:
    """Run the scenarios, `parallel` at a time, and return their verdicts.

    Each verdict is checked against that from the recording alone. An inconclusive scenario is run again and
    must not stay inconclusive.
    """
    found: dict[str, dict[str, Any]] = {}
    names = list(days)
    for at in range(0, len(names), beside):
        runs = {name: begin(name, days[name], folder, seed) for name in names[at : at + beside]}
        for name, process in runs.items():
            found[name] = finish(name, process, folder)
        for name in runs:
            found[name] = replayed(name, days[name], folder, seed, found[name])
    return found


def begin(name: str, day: Day, folder: str, seed: int) -> subprocess.Popen[bytes]:
    """Start a process that runs the scenario and records it."""
    script, record = Path(folder) / f"{name}.sexp", Path(folder) / f"{name}.jsonl"
    script.write_text(write(day), "utf-8")
    words = command("play", str(script), "--seed", str(seed), "--record", str(record))
    return subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)


def finish(name: str, process: subprocess.Popen[bytes], folder: str) -> dict[str, Any]:
    """Wait for the verdict and check that the recording alone gives the same one."""
    output, _ = process.communicate(timeout=LONGEST_S)
    lines = output.decode().splitlines()
    assert lines and lines[-1].startswith("{"), f"{name}: {output.decode()[-2000:]}"
    verdict: dict[str, Any] = json.loads(lines[-1])
    words = command("judge", str(Path(folder) / f"{name}.jsonl"))
    again = subprocess.run(words, capture_output=True, timeout=LONGEST_S, check=False)
    assert json.loads(again.stdout.splitlines()[-1]) == verdict, name
    return verdict


def replayed(name: str, day: Day, folder: str, seed: int, verdict: dict[str, Any]) -> dict[str, Any]:
    """Run the scenario again while its verdict is inconclusive because the host stalled; the last verdict."""
    for replay in range(1, MAX_REPLAYS + 1):
        if verdict["broken"] or not verdict["inconclusive"]:
            break
        print(f"{name}: the host stalled, running again ({replay} of {MAX_REPLAYS})")
        verdict = finish(name, begin(name, day, folder, seed), folder)
    assert verdict["broken"] or not verdict["inconclusive"], f"{name}: inconclusive {MAX_REPLAYS + 1} times"
    return verdict
