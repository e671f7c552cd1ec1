"""What a front node takes over of a file at SIGHUP, and what it says of one that it can't use."""

from __future__ import annotations

import copy
import json
import signal
import unittest
from collections.abc import Callable
from typing import Any

from tests.nodeprocess import Rig
from tests.noderig import StandInBoard, StandInServer, eventually


class ReloadTest(unittest.TestCase):
    def rig(self) -> Rig:
        made = Rig(StandInServer("s0", 0))
        self.addCleanup(made.close)
        return made

    def handed(self, rig: Rig, change: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
        """The log line of one SIGHUP with the rig's file changed so."""
        tree = copy.deepcopy(rig.config)
        change(tree)
        fresh = rig.path.with_suffix(".other")
        fresh.write_text(json.dumps(tree))
        fresh.replace(rig.path)
        before = len(rig.told("reloaded", "reload_failed"))
        rig.signal(signal.SIGHUP)
        lines = eventually(lambda: rig.told("reloaded", "reload_failed")[before:], "a line of the log")
        return dict(lines[0])

    def test_what_differs_beyond_the_board_is_named(self) -> None:
        rig = self.rig()
        board = StandInBoard(rig.board.notices)

        def own(tree: dict[str, Any]) -> None:
            tree.update(board=board.address, seed="0f", known={"rev": 0, "notices": []})
            tree["settings"]["NotRead"] = 7  # says nothing that the node runs by

        self.assertEqual(self.handed(rig, own)["differs"], [])
        eventually(lambda: board.polls > 2, "polls at the new board")
