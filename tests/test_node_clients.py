"""Clients that leave, take back or repeat at a bad moment, over real connections, the bad order each time."""

from __future__ import annotations

import copy
import re
import socket
import sys
import threading
import time
import unittest
from unittest import mock

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.node.model import ConnectionState, SessionState
from fennelcove.rtsp import messages as rtsp
from fennelcove.rtsp import writer

from tests import node_harness
from tests.client_connection_harness import (
    Inside,
    Stopped,
    arrived,
    ended,
    holds,
    reset,
    rest,
    sockets,
    taken,
)
from tests.node_harness import SETTINGS, Caller, NodeRig, StandInServer, answered, eventually, released
from tests.node_process_control import Rig

ID, OTHER = "9b1f03aa5c7e2d41", "00000000000000a1"


def many(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(1, count + 1)]


def mute(_: ServerMessage) -> bytes:
    return b""


class Script(Caller):
    """A connection on which messages are gathered and go out together."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address)
        self.gathered = bytearray()

    def send(self, data: bytes) -> None:
        self.gathered += data

    def flush(self) -> None:
        self.sock.sendall(self.gathered)
        self.gathered.clear()


class RigTest(unittest.TestCase):
    def rig(self, *servers: StandInServer, sockets: int = 256, command: list[str] | None = None) -> NodeRig:
        made = NodeRig(*servers, sockets=sockets, command=command)
        self.addCleanup(made.close)
        return made

    def script(self, rig: NodeRig) -> Script:
        made = Script(rig.address)
        self.addCleanup(made.sock.close)
        return made


class GoneTest(RigTest):
    """Nothing is begun for a viewer that has left or taken its set-up back."""

    def test_an_end_behind_many_set_ups_is_acted_on_before_them(self) -> None:
        for name in ("half-closed", "reset"):
            with self.subTest(name):
                server = StandInServer("s0", 0, mute)
                rig = self.rig(server)
                viewer = self.script(rig)
                inode = taken(rig, viewer)
                for id in many(150):
                    viewer.set_up(id)
                with Stopped(rig):
                    viewer.flush()
                    arrived(viewer.sock)
                    if name == "half-closed":
                        viewer.sock.shutdown(socket.SHUT_WR)
                        arrived(viewer.sock)
                    else:
                        reset(viewer.sock)
                eventually(lambda rig=rig, inode=inode: not holds(rig, inode), "the connection closed")
                assert len(server.of(MessageKind.SET_UP)) == 0

    def test_a_set_up_taken_back_in_the_same_read_is_not_begun(self) -> None:
        server = StandInServer("s0", 0, mute)
        rig = self.rig(server)
        viewer = self.script(rig)
        for id in many(60):
            viewer.set_up(id)
        for id in many(60):
            viewer.tear_down(id)
        viewer.set_up(many(1)[0])  # an id that has just ended is a new set-up's
        with Stopped(rig):
            viewer.flush()
            arrived(viewer.sock)
        answers = [viewer.answer() for _ in many(60)]
        assert {(a.status, a.fields["cseq"]) for a in answers} == {(200, "2")}
        [sent] = eventually(lambda: server.of(MessageKind.SET_UP), "the one that was not taken back")
        assert sent.session.hex() == many(1)[0]
        server.say(answered(sent))
        assert viewer.answer().fields["cseq"] == "1"

    def test_an_end_far_behind_what_is_read_ahead_is_seen(self) -> None:
        server = StandInServer("s0", 0, mute)
        inside = Inside(self, server)
        viewer, far = inside.meet()
        script = Script(inside.listener.getsockname())
        script.sock.close()
        script.sock = viewer.sock
        for id in many(1500):
            script.set_up(id)
        assert len(script.gathered) > 4 * 65536
        script.flush()
        viewer.sock.shutdown(socket.SHUT_WR)
        arrived(viewer.sock)
        inside.read(far).join(node_harness.WAIT_S)
        assert not (inside.desk.servers["s0"].links or inside.desk.sessions)

    def test_what_is_only_named_or_ended_counts_though_its_viewer_has_left(self) -> None:
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer = rig.caller()
        for id in many(40):
            viewer.set_up(id)
            assert viewer.answer().status == 200
        leaver = self.script(rig)
        leaver.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        for id in (OTHER, *many(40)):
            leaver.tear_down(id)
        with Stopped(rig):
            leaver.flush()
            arrived(leaver.sock)
            reset(leaver.sock)  # no answer can be written: what comes next is acted on all the same
        eventually(lambda: len(server.of(MessageKind.RELEASE)) == 41, "each end at the server")
        assert {message.session.hex() for message in server.of(MessageKind.RELEASE)} == {OTHER, *many(40)}

    def test_a_set_up_whose_viewer_left_while_it_waited_for_the_lock(self) -> None:
        inside = Inside(self, StandInServer("s0", 0, mute))
        caller, far = inside.meet()
        inside.gate.hold("viewer")
        thread = inside.read(far)
        caller.set_up(ID)
        eventually(lambda: inside.gate.reached("viewer"), "the set-up read")
        caller.sock.close()
        eventually(lambda: ended(far.sock), "the end at the node's kernel")
        inside.gate.free("viewer")
        thread.join(node_harness.WAIT_S)
        assert not (inside.desk.servers["s0"].links or inside.desk.sessions)

    def test_a_set_up_whose_viewer_left_while_it_waited_for_a_dial(self) -> None:
        for name in ("closed", "reset", "taken back"):
            with self.subTest(name):
                slow = StandInServer("s0", 0, mute)
                slow.listener.close()
                slow.listener = listener = socket.create_server(("127.0.0.1", 0), backlog=1)
                self.addCleanup(listener.close)
                crowd = [socket.socket() for _ in range(8)]
                for sock in crowd:  # a full backlog: who comes now is not let in until its kernel asks again
                    self.addCleanup(sock.close)
                    sock.setblocking(False)
                    sock.connect_ex(listener.getsockname())
                rig = self.rig(slow)
                viewer = rig.caller()
                inode = taken(rig, viewer)
                viewer.set_up(ID)
                port = listener.getsockname()[1]
                eventually(lambda rig=rig, port=port: sockets(rig, None, port), "the dial")
                if name == "taken back":
                    viewer.tear_down(ID)
                    assert viewer.answer().status == 200
                elif name == "closed":
                    viewer.sock.close()
                else:
                    reset(viewer.sock)
                if name != "taken back":
                    eventually(lambda rig=rig, inode=inode: not holds(rig, inode), "the end acted on")
                for sock in crowd:
                    sock.close()
                threading.Thread(target=slow._accept, daemon=True).start()
                # The link that was dialled in vain carries the next one: nothing has gone out on it before.
                eventually(lambda slow=slow: len(slow.sockets) > 0, "a connection let in")
                following = rig.caller()
                following.set_up(OTHER)
                eventually(lambda slow=slow: slow.of(MessageKind.SET_UP), "the next set-up")
                assert [m.session.hex() for m in slow.heard] == [OTHER]

    def test_a_set_up_whose_viewer_left_while_the_module_held_it(self) -> None:
        settings = copy.deepcopy(node_harness.SETTINGS)
        settings["LoadReport"]["Source"] = "probes"
        settings["Allowed"]["MayProbe"] = True
        server = StandInServer("s0", 0, mute)
        with mock.patch.object(node_harness, "SETTINGS", settings):
            rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID)
        viewer.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert viewer.answer().fields["cseq"] == "3"
        assert not server.heard  # it is held
        viewer.sock.close()
        following = rig.caller()
        following.set_up(OTHER)
        eventually(lambda: server.of(MessageKind.SET_UP), "the next set-up, which was held as long")
        assert [message.session.hex() for message in server.of(MessageKind.SET_UP)] == [OTHER]

    def test_no_further_attempt_for_a_viewer_whose_end_was_not_read_yet(self) -> None:
        servers = [StandInServer("s0", 0, mute), StandInServer("s1", 1, mute)]
        inside = Inside(self, *servers)
        caller, far = inside.meet()
        thread = inside.read(far)
        caller.set_up(ID)
        tried = eventually(lambda: [s for s in servers if s.of(MessageKind.SET_UP)], "the first attempt")[0]
        other = next(server for server in servers if server is not tried)
        inside.gate.hold("viewer")
        caller.sock.close()
        eventually(lambda: inside.gate.reached("viewer"), "the end read, and not acted on")
        tried.say(released(tried.of(MessageKind.SET_UP)[0], Cause.FULL))
        eventually(lambda: inside.desk.servers[tried.name].outcome_counts, "the refusal heard")
        with inside.gate:
            assert not (inside.desk.servers[other.name].links or inside.desk.sessions)
        inside.gate.free("viewer")
        thread.join(node_harness.WAIT_S)
        assert not inside.desk.policy.sessions

    def test_a_dial_that_is_made_as_its_viewer_leaves_carries_no_set_up(self) -> None:
        server = StandInServer("s0", 0)
        inside = Inside(self, server)
        caller, far = inside.meet()
        inside.gate.hold("server")
        thread = inside.read(far)
        caller.set_up(ID)
        eventually(lambda: inside.gate.reached("server"), "a connection that is made")
        inside.gate.hold("viewer")
        caller.sock.close()
        eventually(lambda: inside.gate.reached("viewer"), "the end read, and not acted on")
        inside.gate.free("server")
        [link] = inside.desk.servers["s0"].links
        eventually(lambda: link.state is ConnectionState.OPEN, "the connection in use")
        with inside.gate:
            assert not (inside.desk.sessions or link.dispatched_session)
            assert not inside.desk.policy.sessions
        inside.gate.free("viewer")
        thread.join(node_harness.WAIT_S)
        server.say(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(lambda: server.of(MessageKind.KEEPALIVE_ANSWER), "an answer behind whatever else was sent")
        assert [message.kind for message in server.heard] == [MessageKind.KEEPALIVE_ANSWER]

    def test_an_answer_to_a_viewer_whose_end_was_not_read_yet_leaves_nothing_standing(self) -> None:
        server = StandInServer("s0", 0, mute)
        inside = Inside(self, server)
        caller, far = inside.meet()
        thread = inside.read(far)
        caller.set_up(ID)
        [sent] = eventually(lambda: server.of(MessageKind.SET_UP), "the set-up")
        sub = inside.desk.sessions[bytes.fromhex(ID)]
        inside.gate.hold("viewer")
        caller.sock.close()
        eventually(lambda: inside.gate.reached("viewer"), "the end read, and not acted on")
        server.say(answered(sent))
        eventually(lambda: sub.state in (SessionState.ESTABLISHED, SessionState.CLOSED), "the answer heard")
        inside.gate.free("viewer")
        thread.join(node_harness.WAIT_S)
        [release] = eventually(lambda: server.of(MessageKind.RELEASE), "its end at the server")
        assert release.session.hex() == ID
        assert not inside.desk.sessions


class CloseTest(RigTest):
    """What the node has written before it closes can be read, and what crosses with its close is answered."""

    def test_a_refusal_can_be_read_behind_megabytes_that_were_not(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        head = f"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: {ID}\r\n"
        for status, broken in {
            400: "no line at all\r\n\r\n",
            413: f"{head}Content-Length: 60000000\r\n\r\n",
        }.items():
            with self.subTest(status):
                caller = rig.caller()
                caller.send(broken.encode() + b"x" * (4 << 20))
                caller.sock.shutdown(socket.SHUT_WR)
                said = rest(caller)
                assert said.startswith(b"RTSP/1.0 %d " % status), said[:80]
                assert said.endswith(b"\r\n\r\n"), said

    def test_what_was_answered_before_a_connection_is_shut_can_be_read(self) -> None:
        server = StandInServer("s0", 0, mute)
        rig = self.rig(server)
        caller = self.script(rig)
        caller.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        caller.set_up(ID)
        caller.set_up(ID)  # the first is answered, once, before the connection is shut
        caller.gathered += b"x" * (1 << 20)
        caller.flush()
        caller.sock.shutdown(socket.SHUT_WR)
        said = rest(caller)
        statuses = re.findall(rb"RTSP/1\.0 (\d+) [^\r]*\r\nCSeq: (\d)", said)
        assert statuses == [(b"200", b"3"), (b"500", b"1")]
        assert said.count(b"RTSP/1.0 ") == 2

    def test_an_open_request_is_answered_before_its_connection_is_closed_for_what_follows_it(self) -> None:
        # Closed for unreadable bytes, or for a message that stops short, the request was never answered.
        patient = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "AimMs": 20_000}]}
        for broken in (b"no line at all\r\n\r\n", b"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSe"):
            with self.subTest(broken):
                rig = Rig(StandInServer("s0", 0, mute), settings=patient)
                self.addCleanup(rig.close)
                caller = rig.caller()
                caller.set_up(ID)
                caller.send(broken)
                answer = caller.answer()
                assert (answer.status, answer.fields["session"]) == (500, ID)
                rest(caller)

    def test_who_never_ends_is_closed_all_the_same(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        caller = rig.caller()
        inode = taken(rig, caller)
        caller.send(b"no line at all\r\n\r\n")
        assert caller.answer().status == 400
        assert caller.next() is None
        eventually(lambda: not holds(rig, inode), "the descriptor back, with the far side open")

    def test_a_set_up_that_comes_as_the_limit_strikes_is_served(self) -> None:
        server = StandInServer("s0", 0)
        inside = Inside(self, server)
        caller, far = inside.meet()
        inside.gate.hold("viewer")
        inside.read(far)
        eventually(lambda: inside.gate.reached("viewer"), "the limit")
        caller.set_up(ID)
        arrived(caller.sock)
        inside.gate.free("viewer")
        assert caller.answer().status == 200

    def test_a_set_up_read_as_its_connection_is_shut_is_served_on_the_next(self) -> None:
        server = StandInServer("s0", 0)
        inside = Inside(self, server)
        first = inside.connect()
        first.set_up(OTHER)
        assert first.answer().status == 200  # its link is free: what is begun now is sent at once
        caller, far = inside.meet()
        inside.gate.hold("viewer")
        thread = inside.read(far)
        caller.set_up(ID)
        eventually(lambda: inside.gate.reached("viewer"), "the set-up read")
        with inside.gate:
            far.disconnect()
        inside.gate.free("viewer")
        assert caller.next() is None
        caller.sock.close()
        thread.join(node_harness.WAIT_S)
        again = inside.connect()
        again.set_up(ID)
        assert again.answer().status == 200
        assert [m.session.hex() for m in server.of(MessageKind.SET_UP)] == [OTHER, ID]

    def test_room_is_not_made_by_closing_what_has_just_spoken(self) -> None:
        server = StandInServer("s0", 0)
        inside = Inside(self, server, sockets=32)
        pairs = [inside.meet() for _ in range(inside.desk.connections.max_connections)]
        unread, read, idle = (far for _, far in pairs[:3])
        inside.gate.hold("viewer")
        inside.read(read)
        pairs[1][0].set_up(OTHER)
        eventually(lambda: inside.gate.reached("viewer"), "a set-up read and not acted on")
        pairs[0][0].set_up(ID)
        arrived(pairs[0][0].sock)
        inside.meet()
        assert [far.is_closed for far in (unread, read, idle)] == [False, False, True]
        inside.gate.free("viewer")
        inside.read(unread)
        for caller, _ in pairs[:2]:
            assert caller.answer().status == 200


class OneAnswerTest(RigTest):
    """Each set-up has one final answer, whatever servers say, and whatever crosses with it."""

    def told(self, viewer: Caller, server: StandInServer) -> list[str]:
        """All that this connection is sent up to now, the answer to a test ending it."""
        server.say(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(lambda: server.of(MessageKind.KEEPALIVE_ANSWER), "all that the server said heard")
        viewer.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        found = list[str]()
        while (message := viewer.next()) is not None and message.fields.get("cseq") != "3":
            kind = message.status if isinstance(message, rtsp.Response) else message.method
            found.append(f"{kind} {message.fields['cseq']}")
        return found

    def test_whatever_a_server_says_behind_its_first_word(self) -> None:
        full, error = Cause.FULL, Cause.ERROR
        for name, says, expected in (
            ("answers", lambda m: answered(m) * 3, ["200 1"]),
            ("answer and refusal", lambda m: answered(m) + released(m, full), ["200 1", "TEARDOWN 2"]),
            ("refusal and answer", lambda m: released(m, full) + answered(m), ["453 1"]),
            ("refusals", lambda m: released(m, error) + released(m, full) + answered(m), ["453 1"]),
        ):
            with self.subTest(name):
                server = StandInServer("s0", 0, says)
                viewer = self.rig(server).caller()
                viewer.set_up(ID)
                answer = viewer.answer()  # by now all of it is on its way
                found = [f"{answer.status} {answer.fields['cseq']}", *self.told(viewer, server)]
                assert found == expected

    def test_a_teardown_that_crosses_with_the_answer(self) -> None:
        server = StandInServer("s0", 0, mute)
        rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID)
        [sent] = eventually(lambda: server.of(MessageKind.SET_UP), "the set-up")
        with Stopped(rig):
            server.say(answered(sent))
            viewer.tear_down(ID)
            arrived(server.sockets[-1])
            arrived(viewer.sock)
        [release] = eventually(lambda: server.of(MessageKind.RELEASE), "its end at the server")
        assert (release.session.hex(), release.cause) == (ID, Cause.OK)
        assert self.told(viewer, server) in (["200 1", "200 2"], ["200 2"])
        assert len(server.of(MessageKind.RELEASE)) == 1

    def test_an_id_that_has_just_ended_is_a_new_set_up_s(self) -> None:
        replies = [answered]
        server = StandInServer("s0", 0, lambda message: replies[-1](message))
        viewer = self.rig(server).caller()
        viewer.set_up(ID)
        viewer.tear_down(ID)  # ended by its viewer, perhaps before it was answered
        viewer.set_up(ID)
        answers = [viewer.answer(), viewer.answer()]
        if answers[-1].fields["cseq"] == "2":
            answers.append(viewer.answer())
        assert (answers[-1].status, answers[-1].fields["cseq"]) == (200, "1")
        server.say(released(server.of(MessageKind.SET_UP)[-1], Cause.OK))  # ended by its server
        assert viewer.request().method == "TEARDOWN"
        replies.append(lambda message: released(message, Cause.FULL))
        for _ in range(2):  # refused
            viewer.set_up(ID)
            assert viewer.answer().status == 453


# A front node whose module fails at every event of one kind: nothing else answers what it was told of.
FAULTY = """
import sys
from fennelcove.node import program, session_manager

class Faulty(session_manager.PlacementPolicy):
    def handle(self, event, now_us):
        if type(event).__name__ == {event!r}:
            raise KeyError("a fault of the module")
        super().handle(event, now_us)

session_manager.PlacementPolicy = Faulty
sys.exit(program.main())
"""


class FaultTest(RigTest):
    """Each set-up that is taken gets its answer by its client timeout, whatever the module does."""

    def faulty(self, server: StandInServer, event: str) -> NodeRig:
        return self.rig(server, command=[sys.executable, "-c", FAULTY.format(event=event)])

    def test_a_fault_as_a_join_ends(self) -> None:
        server = StandInServer("s0", 0, lambda message: released(message, Cause.FULL))
        viewer = self.faulty(server, "AttemptCompleted").caller()
        began = time.monotonic()
        viewer.set_up(ID, **{"Answer-Within": "700"})
        viewer.set_up(OTHER, **{"Answer-Within": "400"})
        answers = [viewer.answer(), viewer.answer()]
        assert time.monotonic() - began >= 0.7
        assert [(a.status, a.fields["session"]) for a in answers] == [(500, OTHER), (500, ID)]
        viewer.tear_down(ID)
        assert viewer.answer().status == 454  # nothing of it is left, nor a second answer

    def test_a_fault_as_a_timer_falls_due(self) -> None:
        settings = copy.deepcopy(node_harness.SETTINGS)
        settings["LoadReport"]["Source"] = "probes"
        settings["Allowed"]["MayProbe"] = True
        with mock.patch.object(node_harness, "SETTINGS", settings):
            rig = self.faulty(StandInServer("s0", 0), "TimerFired")
        viewer = rig.caller()
        viewer.set_up(ID, **{"Answer-Within": "700"})
        answer = viewer.answer()
        assert (answer.status, answer.fields["session"]) == (500, ID)

    def test_a_fault_as_a_request_is_taken_and_the_same_id_once_more(self) -> None:
        viewer = self.faulty(StandInServer("s0", 0), "Request").caller()
        for _ in range(2):
            viewer.set_up(ID)
            assert viewer.answer().status == 500

    def test_deadlines_leave_nothing_behind(self) -> None:
        inside = Inside(self, StandInServer("s0", 0))
        viewer = inside.connect()
        for number, id in enumerate(many(200)):
            viewer.set_up(id, **{"Answer-Within": str(3_600_000 - number)})
            assert viewer.answer().status in (200, 453)
        waits = inside.desk.deadlines
        with inside.gate:
            assert not waits.entries
            looks = [at for at, _, call in inside.timers.due if call is waits.on_timer]
        assert len(looks) <= 1


if __name__ == "__main__":
    unittest.main()
