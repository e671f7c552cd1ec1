"""Settings files: parsing, round trips, and errors that state the file, the line, the path and the remedy."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.scenarios.script import names, read
from fennelcove.settings.reader import SettingsError, parse
from fennelcove.settings.schema import FrontSettings
from fennelcove.settings.validation import load_front, to_policy_settings
from fennelcove.settings.writer import write

VALID_SETTINGS = """
; a front
(front
  (name "f1")
  (listen "127.0.0.1:0")
  (lists (address "127.0.0.1:9"))
  (room-types
    (item (name "live") (objective-ms 500)
          (client-timeout-ms 900) (floor 1)))
  (ladder (item (kb 100) (worth 0.5)) (item (kb 200) (worth 1)))
  (fleet (kinds (item (name "k") (streams 5))) (cells 4) (racks 2))
  (titles (item (name "t") (first-cell 3) (cells 2))))
"""


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "front.sexp"

    def error_message(self, old: str, new: str) -> str:
        """The error message for the valid file with a replaced part."""
        text = VALID_SETTINGS.replace(old, new, 1)
        assert text != VALID_SETTINGS
        self.file.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            load_front(str(self.file))
        line = str(caught.exception).replace(str(self.file), "F")
        assert "\n" not in line
        return line

    def test_a_valid_file_round_trips(self) -> None:
        self.file.write_text(VALID_SETTINGS)
        front = load_front(str(self.file))
        assert (front.name, front.room_types[0].floor, front.limits.waiting) == ("f1", 1, 512)
        assert parse(write(front), FrontSettings, "again") == front
        assert to_policy_settings(front).service_classes["live"].latency_objective_us == 500000

    def test_every_included_scenario_is_valid(self) -> None:
        for name in names():
            assert read(name).name == name
        assert len(names()) >= 7

    def test_each_error_states_its_location_and_remedy(self) -> None:
        for old, new, expected_parts in (
            ("(floor 1)", "(flor 1)", ("F:9: room-types[0].flor", "unknown field 'flor'", "floor")),
            ("(floor 1)", "(floor true)", ("F:9: room-types[0].floor: found True", "int")),
            ("(floor 1)", "(floor -1)", ("room-types[0].floor: found -1", ">= 0")),
            ("(floor 1)", "(floor 1) (floor 0)", ("'floor' a second time",)),
            ("(floor 1)", "(floor 2)", ("room-types[0].floor: found 2 on a ladder of 2", "0 to 1")),
            ("(floor 1)", "(floor 1 1)", ("found 2 values", "exactly one")),
            ('(name "f1")', "", ("the file", "name")),
            ('"127.0.0.1:0"', '"127.0.0.1:70000"', ("found port 70000",)),
            ('"127.0.0.1:0"', '"here"', ("F:5: listen: found 'here'",)),
            ("(objective-ms 500)", "(objective-ms 950)", ("past the client timeout", "at most 900")),
            ("(kb 200)", "(kb 100)", ("ladder[1]: found a rung not above",)),
            ("(cells 2)", "(cells 5)", ("titles[0]: found cells 3+5 of 4",)),
            ("(racks 2)", "(racks 0)", ("fleet.racks: found 0", ">= 1")),
            ("(racks 2)", "(racks (2))", ("plain value",)),
            ("(ladder", "(ladder 5", ("ladder[0]: found 5",)),
            ("(front", "(back", ("(front ...)",)),
            ("(worth 1)))", "(worth 1)", ("never closed",)),
            ("(cells 2))))", "(cells 2)))))", ("closes nothing",)),
        ):
            line = self.error_message(old, new)
            for part in expected_parts:
                assert part in line

    def test_unreadable_files_are_rejected(self) -> None:
        with self.assertRaisesRegex(SettingsError, "no readable file"):
            load_front(str(self.file))
        self.file.write_bytes(b"(front \xff)")
        with self.assertRaisesRegex(SettingsError, "not UTF-8"):
            load_front(str(self.file))

    def test_the_command_prints_the_error_and_the_remedy_with_status_2(self) -> None:
        self.file.write_text(VALID_SETTINGS.replace("(floor 1)", "(flor 1)"))
        for command in (["config", "check", str(self.file)], ["front", str(self.file)]):
            result = CliRunner().invoke(main, command)
            assert result.exit_code == 2
            assert "flor" in result.output
            happened, remedy = result.output.splitlines()
            assert "known are" not in happened
            assert re.search("what can be done: known are: .+ \\[settings-amiss\\]$", remedy)
        self.file.write_text(VALID_SETTINGS)
        assert CliRunner().invoke(main, ["config", "check", str(self.file)]).exit_code == 0

    def test_unknown_scenarios_and_invalid_recordings_are_rejected(self) -> None:
        result = CliRunner().invoke(main, ["day", "play", "nowhere"])
        assert result.exit_code == 2
        assert "evening" in result.output
        self.file.write_text("{}\n")
        assert CliRunner().invoke(main, ["day", "judge", str(self.file)]).exit_code == 2


if __name__ == "__main__":
    unittest.main()
