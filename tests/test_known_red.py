"""Only listed failures are tolerated, and a run fails if the list of known failures is wrong."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
HOOKS = (
    "from tests.known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary\n"
)
TESTS = """
def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    assert 1 == 2
"""
MORE_TESTS = "".join(f"\ndef test_bad_{i}():\n    assert False\n" for i in range(4))
MISSING_LINE, BAD_LINE = "test_some.py::no | run 1 | a | 1\n", "test_some.py::test_bad | run 1 | a | 1\n"


class KnownFailuresTest(unittest.TestCase):
    def run_with_list(self, known_failures: str | None, *options: str, tests: str = TESTS) -> tuple[int, str]:
        """Run pytest with a list of known failures and return the exit status and the output."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "pytest.ini").write_text("[pytest]\n")
            (root / "conftest.py").write_text(HOOKS)
            (root / "test_some.py").write_text(tests)
            if known_failures is not None:
                (root / "KNOWN-RED.txt").write_text(known_failures)
            completed = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "xdist", *options],
                cwd=root,
                env={**os.environ, "PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
                capture_output=True,
                text=True,
            )
            return completed.returncode, completed.stdout + completed.stderr

    def test_only_listed_failures_are_tolerated_and_printed(self) -> None:
        bad, worse = (
            "test_some.py::test_bad | run --seed 7 | seen once | issue 1\n",
            "test_some.py::test_worse | run --seed 8 | another | issue 2\n",
        )
        for options in ((), ("-n", "2")):
            with self.subTest(options):
                status, output = self.run_with_list(bad + worse, *options)
                assert status == 0, output
                assert (
                    "known red, passed over: test_some.py::test_bad: seen once (run --seed 7; issue 1)"
                    in output
                )
                assert (
                    "known red, passed over: test_some.py::test_worse: another (run --seed 8; issue 2)"
                    in output
                )
                status, output = self.run_with_list(bad, *options)
                assert status == 1, output
                assert "FAILED test_some.py::test_worse" in output

    def test_a_wrong_list_fails_the_run(self) -> None:
        workers = ("-n", "2")
        for name, known_failures, options in (
            ("a listed test passes", "test_some.py::test_good | run 1 | none | issue 1\n", ()),
            ("a listed test passes", "test_some.py::test_good | run 1 | none | issue 1\n", workers),
            ("no such test", BAD_LINE + BAD_LINE.replace("bad", "worse") + MISSING_LINE, ()),
            ("no such file", BAD_LINE.replace("some", "none"), ()),
            ("twice", BAD_LINE + BAD_LINE, ()),
            ("no command", "test_some.py::test_bad | a | 1\n", ()),
            ("only a name", "test_some.py::test_bad\n", ()),
        ):
            with self.subTest(name, options=options):
                status, output = self.run_with_list(known_failures, *options)
                assert status != 0, output
                expected = "XPASS" if name == "a listed test passes" else "KNOWN-RED.txt"
                assert expected in output

    def test_a_list_may_be_longer_than_three(self) -> None:
        bad = "".join(f"test_some.py::test_bad_{i} | run --seed {i} | seen | issue {i}\n" for i in range(4))
        status, output = self.run_with_list(bad, tests=TESTS + MORE_TESTS)
        assert status == 1, output
        assert output.count("known red, passed over: test_some.py::test_bad_") == 4
        assert "FAILED test_some.py::test_bad -" in output
        assert "FAILED test_some.py::test_worse -" in output

    def test_only_a_flaky_test_may_also_pass(self) -> None:
        flaky = "test_some.py::test_good | run 1 | flaky: 1 of 9 | issue 1\n"
        status, output = self.run_with_list(flaky + BAD_LINE + BAD_LINE.replace("bad", "worse"))
        assert status == 0, output
        assert "1 xpassed" in output

    def test_without_a_list_every_failure_counts(self) -> None:
        for known_failures in (None, "\n"):
            status, output = self.run_with_list(known_failures)
            assert status == 1, output
            assert "2 failed, 1 passed" in output
