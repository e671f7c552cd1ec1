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

from fennelcove.scenarios.script import Scenario
from fennelcove.settings.writer import write

RUN_TIMEOUT_S = 150
MAX_REPEATS = 2


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "fennelcove", "day", *arguments, "--json"]


def run_scenarios(
    scenarios: dict[str, Scenario], folder: str, seed: int, parallel: int = 2
) -> dict[str, dict[str, Any]]:
    """Run the scenarios, `parallel` at a time, and return their verdicts.

    Each verdict is checked against that from the recording alone. An inconclusive scenario is run again and
    must not stay inconclusive.
    """
    verdicts: dict[str, dict[str, Any]] = {}
    names = list(scenarios)
    for start in range(0, len(names), parallel):
        runs = {
            name: start_run(name, scenarios[name], folder, seed) for name in names[start : start + parallel]
        }
        for name, process in runs.items():
            verdicts[name] = finish_run(name, process, folder)
        for name in runs:
            verdicts[name] = repeat_while_inconclusive(name, scenarios[name], folder, seed, verdicts[name])
    return verdicts


def start_run(name: str, scenario: Scenario, folder: str, seed: int) -> subprocess.Popen[bytes]:
    """Start a process that runs the scenario and records it."""
    script, record = Path(folder) / f"{name}.sexp", Path(folder) / f"{name}.jsonl"
    script.write_text(write(scenario), "utf-8")
    arguments = command("play", str(script), "--seed", str(seed), "--record", str(record))
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)


def finish_run(name: str, process: subprocess.Popen[bytes], folder: str) -> dict[str, Any]:
    """Wait for the verdict and check that the recording alone gives the same one."""
    output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
    lines = output.decode().splitlines()
    assert lines and lines[-1].startswith("{"), f"{name}: {output.decode()[-2000:]}"
    verdict: dict[str, Any] = json.loads(lines[-1])
    arguments = command("judge", str(Path(folder) / f"{name}.jsonl"))
    checked = subprocess.run(arguments, capture_output=True, timeout=RUN_TIMEOUT_S, check=False)
    assert json.loads(checked.stdout.splitlines()[-1]) == verdict, name
    return verdict


def repeat_while_inconclusive(
    name: str, scenario: Scenario, folder: str, seed: int, verdict: dict[str, Any]
) -> dict[str, Any]:
    """Run the scenario again while its verdict is inconclusive because the host stalled; the last verdict."""
    for attempt in range(1, MAX_REPEATS + 1):
        if verdict["broken"] or not verdict["inconclusive"]:
            break
        print(f"{name}: the host stalled, running again ({attempt} of {MAX_REPEATS})")
        verdict = finish_run(name, start_run(name, scenario, folder, seed), folder)
    assert verdict["broken"] or not verdict["inconclusive"], f"{name}: inconclusive {MAX_REPEATS + 1} times"
    return verdict
