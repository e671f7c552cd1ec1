"""Scenarios against one front in its own process; a recording always gives the verdict of its run."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

RUN_TIMEOUT_S = 120
# Few at a time, with one front each: with more, the load of the host would dominate the results.
SCENARIO_BATCHES = (("evening",), ("drain", "stitch-drain"), ("front-restart", "stitch"))
# A run that is inconclusive because of a measured stall of the host is repeated.
MAX_REPEATS = 2


class ScenarioTest(unittest.TestCase):
    def test_no_rule_breaks_and_service_reaches_its_floor(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for batch in SCENARIO_BATCHES:
                runs = {
                    scenario: self.start_run(scenario, str(Path(folder) / f"{scenario}.jsonl"))
                    for scenario in batch
                }
                for scenario, process in runs.items():
                    output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
                    with self.subTest(day=scenario):
                        record = str(Path(folder) / f"{scenario}.jsonl")
                        output_text, status = self.repeat_while_inconclusive(
                            scenario, output.decode(), process.returncode, record
                        )
                        self.check(output_text, status, record)

    def repeat_while_inconclusive(
        self, scenario: str, output_text: str, status: int, record: str
    ) -> tuple[str, int]:
        """Run the scenario again while it is inconclusive; its last output and exit status."""
        for attempt in range(1, MAX_REPEATS + 1):
            verdict = json.loads(output_text.splitlines()[-1])
            if verdict["broken"] or not verdict["inconclusive"]:
                break
            print(f"{scenario}: the host stalled, running again ({attempt} of {MAX_REPEATS})")
            process = self.start_run(scenario, record)
            output, _ = process.communicate(timeout=RUN_TIMEOUT_S)
            output_text, status = output.decode(), process.returncode
        return output_text, status

    def start_run(self, scenario: str, record: str) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "fennelcove", "day", "play", scenario, "--record", record, "--json"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)

    def check(self, output_text: str, status: int, record: str) -> None:
        verdict = json.loads(output_text.splitlines()[-1])
        assert verdict["broken"] == []
        assert verdict["inconclusive"] == []
        assert status == 0, output_text
        assert verdict["service"] >= verdict["service_floor"]
        answered = verdict["answers"] + verdict["hung_up"] + verdict["not_taken"]
        assert verdict["requests"] == answered
        assert verdict["played"] > 40
        command = [sys.executable, "-m", "fennelcove", "day", "judge", record, "--json"]
        checked = subprocess.run(command, capture_output=True, timeout=RUN_TIMEOUT_S, check=False)
        assert json.loads(checked.stdout.splitlines()[-1]) == verdict


if __name__ == "__main__":
    unittest.main()
