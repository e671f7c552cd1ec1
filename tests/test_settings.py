"""Settings files: each fault in one line that names file, line, path, what was found and what would do."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.scenarios.script import names, read
from fennelcove.settings.checks import load_front, module_settings
from fennelcove.settings.reader import SettingsError, parse
from fennelcove.settings.schema import FrontSettings
from fennelcove.settings.writer import write

GOOD = """
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

    def amiss(self, old: str, new: str) -> str:
        """The one line that a changed file earns."""
        text = GOOD.replace(old, new, 1)
        assert text != GOOD
        self.file.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            load_front(str(self.file))
        line = str(caught.exception).replace(str(self.file), "F")
        assert "\n" not in line
        return line

    def test_a_good_file_and_back(self) -> None:
        self.file.write_text(GOOD)
        front = load_front(str(self.file))
        assert (front.name, front.room_types[0].floor, front.limits.waiting) == ("f1", 1, 512)
        assert parse(write(front), FrontSettings, "again") == front
        assert module_settings(front).service_classes["live"].latency_objective_us == 500000

    def test_every_day_that_ships_is_well_formed(self) -> None:
        for name in names():
            assert read(name).name == name
        assert len(names()) >= 7

    def test_each_fault_names_its_place_and_cure(self) -> None:
        for old, new, said in (
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
            line = self.amiss(old, new)
            for part in said:
                assert part in line

    def test_unreadable_files(self) -> None:
        with self.assertRaisesRegex(SettingsError, "no readable file"):
            load_front(str(self.file))
        self.file.write_bytes(b"(front \xff)")
        with self.assertRaisesRegex(SettingsError, "no UTF-8"):
            load_front(str(self.file))

    def test_the_command_says_it_and_what_can_be_done_with_status_2(self) -> None:
        self.file.write_text(GOOD.replace("(floor 1)", "(flor 1)"))
        for command in (["config", "check", str(self.file)], ["front", str(self.file)]):
            result = CliRunner().invoke(main, command)
            assert result.exit_code == 2
            assert "flor" in result.output
            said, cure = result.output.splitlines()
            assert "known are" not in said
            assert re.search("what can be done: known are: .+ \\[settings-amiss\\]$", cure)
        self.file.write_text(GOOD)
        assert CliRunner().invoke(main, ["config", "check", str(self.file)]).exit_code == 0

    def test_a_day_that_does_not_exist_or_is_no_recording(self) -> None:
        result = CliRunner().invoke(main, ["day", "play", "nowhere"])
        assert result.exit_code == 2
        assert "evening" in result.output
        self.file.write_text("{}\n")
        assert CliRunner().invoke(main, ["day", "judge", str(self.file)]).exit_code == 2


if __name__ == "__main__":
    unittest.main()
