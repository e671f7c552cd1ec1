"""What a front node takes over of a file at SIGHUP, and what it says of one that it can't use."""

from __future__ import annotations

import copy
import json
import re
import signal
import unittest
from collections.abc import Callable
from typing import Any

from fennelcove.node.config_reloader import MAX_ATTEMPTS

from tests.node_harness import StandInBoard, StandInServer, eventually
from tests.node_process_control import BRIEF, Gate, Rig, run


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
        before = len(rig.told("config_reloaded", "config_reload_failed"))
        rig.signal(signal.SIGHUP)
        lines = eventually(
            lambda: rig.told("config_reloaded", "config_reload_failed")[before:], "a line of the log"
        )
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
                assert (line["event"], line.get("code")) == (
                    "config_reload_failed",
                    "node-configuration-foreign",
                )
                assert line["reason"].endswith(f"differs from the running configuration in {field}"), line
                assert "restart the node" in line["advice"]
        polls = rig.board.polls
        eventually(lambda: rig.board.polls > polls + 2, "polls at the node's own board")
        assert stranger.polls == 0
        viewer = rig.caller()
        viewer.set_up("9b1f03aa5c7e2d41")
        assert viewer.answer().status == 200

    def test_a_refused_file_is_told_of_once(self) -> None:
        rig = self.rig()
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        for _ in range(MAX_ATTEMPTS):  # each try of one signal reads the same
            held = gate.held()
            gate.renew()
            gate.let(held, "{")
        eventually(lambda: rig.told("config_reload_failed"), "its line")
        rig.signal(signal.SIGHUP)
        gate.let(gate.held(), json.dumps(rig.config))
        eventually(lambda: rig.told("config_reloaded"), "the good file")
        assert len(rig.told("config_reload_failed")) == 1

    def test_a_file_caught_half_written_is_read_again(self) -> None:
        rig = self.rig()
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        held = gate.held()
        rig.write()  # the whole one is in its place before the half has been read
        gate.let(held, "{")
        eventually(lambda: rig.told("config_reloaded"), "the whole file")
        assert rig.told("config_reload_failed") == []

    def test_the_node_s_own_file_with_another_board_is_taken(self) -> None:
        rig = self.rig()
        board = StandInBoard(rig.board.notices)

        def own(tree: dict[str, Any]) -> None:
            tree.update(board=board.address, seed="0f", known={"rev": 0, "notices": []})
            tree["settings"]["NotRead"] = 7  # says nothing that the node runs by

        assert self.handed(rig, own)["event"] == "config_reloaded"
        eventually(lambda: board.polls > 2, "polls at the new board")


class UnusableTest(unittest.TestCase):
    """A file that can't be used, at a start and at SIGHUP."""

    def texts(self, good: dict[str, Any]) -> dict[str, str]:
        def with_settings(**fields: Any) -> str:
            return json.dumps({**good, "settings": {**good["settings"], **fields}})

        return {
            "empty": "",
            "half": json.dumps(good)[:-40],
            "no text": "\x00\x01",
            "a list": "[]",
            "nested past all depth": "[" * 100_000,
            "no settings": json.dumps({**good, "settings": None}),
            "no room types": with_settings(Lanes=[]),
            "a wait past all numbers": with_settings(Allowed={"ConnIdleMs": 1e308}),
            "no address": json.dumps({**good, "listen": "nowhere"}),
            "no board": json.dumps({**good, "board": None}),
            "a seed that is a list": json.dumps({**good, "seed": []}),
            "a seed past all numbers": json.dumps({**good, "seed": 0}).replace('"seed": 0', '"seed": 1e999'),
            "known that is none": json.dumps({**good, "known": {"rev": 1, "notices": [{"pool": 7}]}}),
            "a birth past all numbers": json.dumps(good).replace('"born_ms": 0', '"born_ms": 1e308'),
        }

    def test_at_a_start_it_is_told_with_what_can_be_done_and_status_1(self) -> None:
        rig = Rig(StandInServer("s0", 0))
        self.addCleanup(rig.close)
        path = rig.path.with_name("spoilt.json")
        texts = self.texts(rig.config)
        # Another's address, as seen from here: nothing can listen there.
        texts["an address that is taken"] = json.dumps(rig.config)
        for name, text in [*texts.items(), ("missing", None)]:
            with self.subTest(name):
                path.unlink(missing_ok=True)
                if text is not None:
                    path.write_text(text)
                process = run(path)
                said, _ = process.communicate(timeout=30)
                assert process.returncode == 1
                assert "Traceback" not in said
                assert re.search(
                    "(?s)^fennelcove: .+\\n  what can be done: .+ \\[node-configuration-\\w+\\]\\n$", said
                )

    def test_at_sighup_the_old_one_stays_whole(self) -> None:
        rig = Rig(StandInServer("s0", 0))
        self.addCleanup(rig.close)
        for count, (name, text) in enumerate(self.texts(rig.config).items(), 1):
            with self.subTest(name):
                rig.path.write_text(text)
                rig.signal(signal.SIGHUP)
                lines = eventually(
                    lambda count=count: rig.told("config_reload_failed")[count - 1 :], "its line"
                )
                assert lines[0].get("code") == "node-configuration-unusable"
        polls = rig.board.polls
        eventually(lambda: rig.board.polls > polls + 2, "polls at the node's own board")
        assert rig.test() == 200
