"""The front node as a process on loopback, between stand-ins of our own."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
import unittest
from pathlib import Path

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter

from tests.node_harness import NodeRig, StandInBoard, StandInServer, answered, eventually, notice, released

ID, OTHER = "9b1f03aa5c7e2d41", "00000000000000a1"


def overasked(server: StandInServer, id: str) -> None:
    """The server tells a session's rung, 2, and that its link is asked for more than it gives."""
    for name, figure in ((b"profile", b"2"), (b"nic", b"1.6")):
        parameters = ((Parameter.REPORT_NAME, name), (Parameter.REPORT_VALUE, figure))
        server.say(isup.message(MessageKind.SESSION_REPORT, bytes.fromhex(id), *parameters))


class NodeTest(unittest.TestCase):
    def rig(self, *servers: StandInServer, sockets: int = 256) -> NodeRig:
        made = NodeRig(*servers, sockets=sockets)
        self.addCleanup(made.close)
        return made

    def test_a_set_up_is_answered_and_its_end_told(self) -> None:
        server = StandInServer("s0", 0)
        viewer = self.rig(server).caller()
        viewer.set_up(ID)
        answer = viewer.answer()
        assert (answer.status, answer.body) == (200, b"from the server")
        assert (answer.fields["cseq"], answer.fields["session"]) == ("1", ID)
        [sent] = server.of(MessageKind.SET_UP)
        assert sent.session == bytes.fromhex(ID)
        assert (sent.text(Parameter.SERVICE_CLASS), sent.text(Parameter.TITLE)) == ("recorded", "7f3a")
        assert (sent.text(Parameter.RUNG), sent.parameters[Parameter.DESCRIPTION]) == ("2", b"what is wanted")
        assert 0 < int(sent.text(Parameter.TIMEOUT_MS)) <= 8000
        server.say(released(sent, Cause.OK))
        release = viewer.request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        assert release.fields["reason"] == "cause=16"

    def test_another_holder_after_each_kind_of_failure(self) -> None:
        spoilt = b"\xff\xff\x09 an answer that claims more than there is"
        for name in ("noise", "error", "half"):
            with self.subTest(name):
                replies = {
                    "noise": lambda message: spoilt,
                    "error": lambda message: released(message, Cause.ERROR),
                    "half": lambda message: None,
                }
                bad = StandInServer("s0", 0, replies[name])
                good = StandInServer("s1", 1)
                viewer = self.rig(bad, good).caller()
                # Both hold the title, and chance may take the good one first.
                for number in range(1, 40):
                    viewer.set_up(f"{number:016x}")
                    assert viewer.answer().status == 200
                    if bad.of(MessageKind.SET_UP):
                        break
                assert bad.of(MessageKind.SET_UP)

    def test_extra_messages_end_nothing(self) -> None:
        def twice(message: object) -> bytes:
            stranger = isup.message(MessageKind.ANSWER, bytes(8), (Parameter.DESCRIPTION, b"ahead"))
            return answered(message) + answered(message) + stranger  # type: ignore[arg-type]

        server = StandInServer("s0", 0, twice)
        viewer = self.rig(server).caller()
        for id in (ID, OTHER):
            viewer.set_up(id)
            answer = viewer.answer()
            assert (answer.status, answer.fields["session"]) == (200, id)
        assert len(server.sockets) == 1

    def test_nobody_to_serve_is_throttled_at_once(self) -> None:
        server = StandInServer("s0", 0, lambda message: released(message, Cause.FULL))
        viewer = self.rig(server).caller()
        viewer.set_up(ID)
        answer = viewer.answer()
        assert (answer.status, answer.fields["come-back-ms"]) == (453, "500")

    def test_a_set_up_that_is_given_up_is_given_up_at_the_server(self) -> None:
        server = StandInServer("s0", 0, lambda message: b"")
        viewer = self.rig(server).caller()
        viewer.set_up(ID)
        eventually(lambda: server.of(MessageKind.SET_UP), "the set-up")
        viewer.tear_down(ID)
        assert viewer.answer().fields["cseq"] == "2"
        [release] = eventually(lambda: server.of(MessageKind.RELEASE), "the give-up")
        assert (release.session.hex(), release.cause) == (ID, Cause.OK)

    def test_what_stands_is_ended_from_any_connection(self) -> None:
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer, another = rig.caller(), rig.caller()
        viewer.set_up(ID)
        viewer.answer()
        another.tear_down(ID)
        assert another.answer().status == 200
        [release] = eventually(lambda: server.of(MessageKind.RELEASE), "the release")
        assert release.session.hex() == ID

    def test_a_dead_server_s_viewers_are_released(self) -> None:
        server = StandInServer("s0", 0)
        viewer = self.rig(server).caller()
        viewer.set_up(ID)
        viewer.answer()
        server.die()
        assert viewer.request().fields["reason"] == "cause=41"

    def test_what_plays_already_is_held_and_steered(self) -> None:
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        eventually(lambda: server.sockets, "a link for what plays there")
        overasked(server, ID)
        [change, *_] = eventually(
            lambda: server.of(MessageKind.RUNG), "a lower rung, as the link is overasked"
        )
        assert change.session.hex() == ID
        assert int(change.text(Parameter.RUNG)) < 2
        server.say(isup.release(bytes.fromhex(ID), Cause.RESET))
        assert viewer.request().fields["reason"] == "cause=41"

    def test_what_a_server_says_before_the_viewer_does_is_not_lost(self) -> None:
        # The rungs of most that played at a start went unheard, and were taken for the lowest.
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        eventually(lambda: server.sockets, "a link")
        overasked(server, OTHER)
        server.say(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(lambda: server.of(MessageKind.KEEPALIVE_ANSWER), "an answer behind the notes")
        viewer.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        [change, *_] = eventually(
            lambda: server.of(MessageKind.RUNG), "a lower rung, as the link is overasked"
        )
        assert change.session.hex() == OTHER

    def test_bad_clients_get_an_error_or_a_close(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        head = f"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: {ID}\r\n"
        fit = head + "Call-Kind: recorded\r\nAnswer-Within: 9\r\nRouting-Data: home:0;copies:1;top:0\r\n"
        for name, data in {
            "noise": bytes(range(1, 256)) * 40,
            "a line without end": b"SETUP " + b"x" * 60_000,
            "a negative length": (fit + "Content-Length: -5\r\n\r\n").encode(),
            "a huge length": (fit + "Content-Length: 60000000\r\n\r\n").encode(),
            "an unknown class": fit.replace("recorded", "nobody's").encode() + b"\r\n",
            "no number": fit.replace("Within: 9", "Within: nan").encode() + b"\r\n",
            "out of range": fit.replace("top:0", "top:9").encode() + b"\r\n",
            "no id": fit.replace(f"Session: {ID}\r\n", "").encode() + b"\r\n",
            "half a message": fit.encode(),
            "nothing": b"",
        }.items():
            with self.subTest(name):
                caller = rig.caller()
                caller.send(data)
                message = caller.next()
                assert message is None or message.status >= 400, message  # type: ignore[union-attr]
        assert rig.test() == 200

    def test_the_id_of_an_open_set_up_is_refused_without_harm(self) -> None:
        server = StandInServer("s0", 0, lambda message: b"")
        rig = self.rig(server)
        viewer, thief = rig.caller(), rig.caller()
        viewer.set_up(ID)
        [sent] = eventually(lambda: server.of(MessageKind.SET_UP), "the set-up")
        thief.set_up(ID)
        assert thief.answer().status == 455
        server.say(answered(sent))
        assert viewer.answer().status == 200

    def test_silent_connections_by_the_hundred_shut_nobody_out(self) -> None:
        rig = self.rig(StandInServer("s0", 0), sockets=64)
        mute = [rig.caller() for _ in range(100)]
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        assert mute[0].next() is None

    def test_a_new_configuration_names_another_board(self) -> None:
        first, second = StandInServer("s0", 0), StandInServer("s1", 0)
        rig = self.rig(first)
        gone = {**first.row, "health": "removed"}
        board = StandInBoard([rig.board.notices[0], notice(2, [second.row, gone])])
        rig.config["board"] = board.address
        rig.write()
        rig.signal(signal.SIGHUP)
        eventually(lambda: board.polls > 2, "polls at the new board")
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (0, 1)

    def test_what_stood_at_a_process_that_began_anew_is_over(self) -> None:
        # It was back at its address before two dials had failed, and its viewers were never told.
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        born = {**server.row, "born_ms": round(time.time() * 1000)}
        rig.board.notices.append(notice(2, [born]))
        release = viewer.request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        viewer.set_up(OTHER)
        assert viewer.answer().status == 200
        rig.board.notices.append(notice(3, [born]))
        polled = rig.board.polls
        eventually(lambda: rig.board.polls > polled + 2, "the same birth told again")
        viewer.tear_down(OTHER)
        assert viewer.answer().status == 200

    def test_a_configuration_that_is_refused_leaves_what_was(self) -> None:
        first, second = StandInServer("s0", 0), StandInServer("s1", 0)
        rig = self.rig(first)
        good = dict(rig.config)
        for spoilt in (
            "{",
            "[]",
            json.dumps({**good, "board": "nowhere"}),
            json.dumps({**good, "settings": 7}),
        ):
            rig.path.write_text(spoilt)
            rig.signal(signal.SIGHUP)
            polled = rig.board.polls
            eventually(lambda polled=polled: rig.board.polls > polled + 2, "polls at the same board")
            assert rig.process.poll() is None
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        gone = {**first.row, "health": "removed"}
        board = StandInBoard([rig.board.notices[0], notice(2, [second.row, gone])])
        rig.config["board"] = board.address
        rig.write()
        rig.signal(signal.SIGHUP)
        eventually(lambda: board.polls > 2, "polls at the new board")

    def test_sigterm_fails_tests_and_answers_what_still_comes(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        rig.signal(signal.SIGTERM)
        eventually(lambda: rig.test() == 503, "a failed test")
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        assert rig.process.wait(60) == 0


class DeployTest(unittest.TestCase):
    """What the standing fleet test asks of `run`: one process, the same as was started, over IPv4 alone."""

    def test_run_ends_in_one_process_without_children_or_other_sockets(self) -> None:
        root = Path(__file__).parents[1]
        run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
        server = StandInServer("s0", 0)
        rig = NodeRig(server, command=["/bin/sh", "-c", run], cwd=str(root))
        self.addCleanup(rig.close)
        viewer = rig.caller()
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        here = Path("/proc") / str(rig.process.pid)
        assert "python" in (here / "exe").readlink().name
        children = [path.read_text().split() for path in here.glob("task/*/children")]
        assert [child for some in children for child in some] == []
        maps = (here / "maps").read_text()
        assert re.search("/(libc\\.so|libc-|ld-musl)", maps)  # linked dynamically against the C library
        targets = [os.readlink(path) for path in (here / "fd").iterdir()]
        own = {target[8:-1] for target in targets if target.startswith("socket:[")}
        assert own
        listening = [line.split() for line in (here / "net" / "tcp").read_text().splitlines()[1:]]
        at = [row[1] for row in listening if row[3] == "0A" and row[9] in own]
        assert at == [f"0100007F:{rig.address[1]:04X}"]  # on the address it was told, and no other
        for table, column in (("unix", 6), ("tcp6", 9), ("udp6", 9)):
            rows = [line.split() for line in (here / "net" / table).read_text().splitlines()[1:]]
            assert own & {row[column] for row in rows if len(row) > column} == set(), table


class ImportTest(unittest.TestCase):
    def test_the_node_needs_the_standard_library_alone(self) -> None:
        code = (
            "import sys\n"
            "before = set(sys.modules)\n"  # what the environment itself loads is none of ours
            "import fennelcove.node.program\n"
            "files = [getattr(sys.modules[n], '__file__', '') or '' for n in set(sys.modules) - before]\n"
            "print([name for name in files if 'site-packages' in name])"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        assert done.stdout.strip() == "[]"
