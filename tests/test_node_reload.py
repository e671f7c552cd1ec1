"""What a front node takes over of a file at SIGHUP, and what it says of one that it can't use."""

from __future__ import annotations

import copy
import json
import signal
import unittest
from collections.abc import Callable
from typing import Any

from fennelcove.node.program import RELOADS
from tests.nodeprocess import BRIEF, Gate, Rig
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

    def test_a_file_that_is_not_this_node_s_is_refused_whole(self) -> None:
        rig = self.rig()
        stranger = StandInBoard(rig.board.notices)

        def settings(tree: dict[str, Any], **fields: Any) -> None:
            tree["settings"].update(fields)

        lane = {**BRIEF["Lanes"][0], "Name": "another's"}
        changes: dict[str, Callable[[dict[str, Any]], Any]] = {
            "name": lambda tree: tree.update(name="n7"),
            "listen": lambda tree: tree.update(listen="127.0.0.1:9"),
            "limits.sockets": lambda tree: tree["limits"].update(sockets=64),
            "limits.memory_mb": lambda tree: tree["limits"].update(memory_mb=32),
            "settings.Lanes": lambda tree: settings(tree, Lanes=[lane]),
            "settings.Balancers": lambda tree: settings(tree, Balancers=2),
            "settings.Allowed": lambda tree: settings(tree, Allowed={"ConnIdleMs": 1000}),
        }
        for field, change in changes.items():
            with self.subTest(field):

                def foreign(tree: dict[str, Any], change: Callable[[dict[str, Any]], Any] = change) -> None:
                    tree["board"] = stranger.address
                    change(tree)

                line = self.handed(rig, foreign)
                self.assertEqual(
                    (line["event"], line.get("code")), ("reload_failed", "node-configuration-foreign")
                )
                self.assertTrue(
                    line["reason"].endswith(f"differs from what the node runs by in {field}"), line
                )
                self.assertIn("restart the node", line["advice"])
        polls = rig.board.polls
        eventually(lambda: rig.board.polls > polls + 2, "polls at the node's own board")
        self.assertEqual(stranger.polls, 0)
        viewer = rig.caller()
        viewer.set_up("9b1f03aa5c7e2d41")
        self.assertEqual(viewer.answer().status, 200)

    def test_a_refused_file_is_told_of_once(self) -> None:
        rig = self.rig()
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        for _ in range(RELOADS):  # each try of one signal reads the same
            held = gate.held()
            gate.renew()
            gate.let(held, "{")
        eventually(lambda: rig.told("reload_failed"), "its line")
        rig.signal(signal.SIGHUP)
        gate.let(gate.held(), json.dumps(rig.config))
        eventually(lambda: rig.told("reloaded"), "the good file")
        self.assertEqual(len(rig.told("reload_failed")), 1)

    def test_a_file_caught_half_written_is_read_again(self) -> None:
        rig = self.rig()
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        held = gate.held()
        rig.write()  # the whole one is in its place before the half has been read
        gate.let(held, "{")
        eventually(lambda: rig.told("reloaded"), "the whole file")
        self.assertEqual(rig.told("reload_failed"), [])

    def test_the_node_s_own_file_with_another_board_is_taken(self) -> None:
        rig = self.rig()
        board = StandInBoard(rig.board.notices)

        def own(tree: dict[str, Any]) -> None:
            tree.update(board=board.address, seed="0f", known={"rev": 0, "notices": []})
            tree["settings"]["NotRead"] = 7  # says nothing that the node runs by

        self.assertEqual(self.handed(rig, own)["event"], "reloaded")
        eventually(lambda: board.polls > 2, "polls at the new board")
