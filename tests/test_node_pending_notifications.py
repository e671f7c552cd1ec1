"""What a client must hear of an end whose connection is gone, over real connections."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from unittest import mock

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.node import client_requests
from fennelcove.node.model import SessionState

from tests import node_harness
from tests.client_connection_harness import Inside, Stopped, arrived, holds, taken
from tests.node_harness import StandInServer, eventually, notice, released
from tests.test_node_clients import ID, OTHER, RigTest, many


def answer_tests(sock: socket.socket) -> None:
    """Answer whatever comes as a test of the connection, until it ends."""
    with suppress(OSError):
        while sock.recv(4096):
            sock.sendall(isup.message(MessageKind.KEEPALIVE_ANSWER, bytes(8), (Parameter.CAUSE, b"\1")))


class OwedTest(RigTest):
    """The end of what stands reaches its client on whichever connection is open, or the next that is."""

    def test_an_end_told_as_its_connection_ends_waits_for_the_next(self) -> None:
        server = StandInServer("s0", 0)
        inside = Inside(self, server)
        caller, far = inside.meet()
        thread = inside.read(far)
        caller.set_up(ID)
        assert caller.answer().status == 200
        sub = inside.desk.sessions[bytes.fromhex(ID)]
        inside.gate.hold("viewer")
        caller.sock.close()
        eventually(lambda: inside.gate.reached("viewer"), "the end read, and not acted on")
        server.say(released(server.of(MessageKind.SET_UP)[0], Cause.OK))
        eventually(lambda: sub.state is SessionState.CLOSED, "the end at the server heard")
        inside.gate.free("viewer")
        thread.join(node_harness.WAIT_S)
        following = inside.connect()
        following.tear_down(OTHER)
        assert following.request().fields["session"] == ID
        assert following.answer().status == 454

    def test_what_is_owed_is_not_sent_to_one_that_has_left(self) -> None:
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        viewer = rig.caller()
        inode = taken(rig, viewer)
        viewer.set_up(ID)
        assert viewer.answer().status == 200
        viewer.sock.close()
        eventually(lambda: not holds(rig, inode), "its connection closed")
        server.say(released(server.of(MessageKind.SET_UP)[0], Cause.OK))
        server.say(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(lambda: server.of(MessageKind.KEEPALIVE_ANSWER), "the end heard")
        leaver = self.script(rig)
        inode = taken(rig, leaver)
        leaver.tear_down(OTHER)
        with Stopped(rig):
            leaver.flush()
            leaver.sock.shutdown(socket.SHUT_WR)
            arrived(leaver.sock)
        eventually(lambda: not holds(rig, inode), "what was sent acted on, and the connection closed")
        following = rig.caller()
        following.tear_down(OTHER)
        assert following.request().fields["session"] == ID

    def test_of_clients_that_share_an_address_each_gets_its_own(self) -> None:
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        routing = "home:0;copies:4;top:2;viewer:{}"
        first, neighbour, second = rig.caller(), rig.caller(), rig.caller()
        for caller, id, figure in (
            (neighbour, many(3)[0], "b" * 16),
            (first, ID, "a" * 16),
            (second, many(3)[1], "a" * 16),
        ):
            inode = taken(rig, caller)
            caller.set_up(id, routing=routing.format(figure))
            assert caller.answer().status == 200
            if caller is first:
                first.sock.close()
                eventually(lambda inode=inode: not holds(rig, inode), "its connection closed")
        [sent] = [m for m in server.of(MessageKind.SET_UP) if m.session.hex() == ID]
        server.say(released(sent, Cause.OK))
        assert second.request().fields["session"] == ID

    def test_the_figures_of_one_connection_are_bounded(self) -> None:
        inside = Inside(self, StandInServer("s0", 0))
        caller, far = inside.meet()
        inside.read(far)
        for number, id in enumerate(many(client_requests.MAX_CLIENT_IDS + 9)):
            caller.set_up(id, routing=f"home:0;copies:4;top:2;viewer:{number:016x}")
            caller.answer()
        assert list(far.recent_clients) == [f"{n:016x}" for n in range(9, client_requests.MAX_CLIENT_IDS + 9)]

    def test_a_session_handed_over_is_older_than_a_server_that_started_after_this_node(self) -> None:
        # Dated by its hand-over, it was kept for a server's new process that never had it.
        server = StandInServer("s0", 0)
        rig = self.rig(server)
        started_ms = time.time_ns() // 1_000_000 + 1
        time.sleep(0.01)
        viewer = rig.caller()
        viewer.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        eventually(lambda: server.sockets, "the session taken over")
        rig.board.notices.append(notice(2, [{**server.row, "born_ms": started_ms}]))
        release = viewer.request()
        assert (release.fields["session"], release.fields["reason"]) == (ID, "cause=41")
        viewer.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        assert viewer.request().fields["session"] == OTHER

    def test_a_server_that_hung_gets_a_further_connection_once_it_answers(self) -> None:
        # It told the end on the connection that had been closed unanswered; the one made while it hung stayed
        # open, none followed, and its client waited for good.
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(node_harness.WAIT_S)
        self.addCleanup(listener.close)
        server = StandInServer("s0", 0)
        row = {**server.row, "dial": f"127.0.0.1:{listener.getsockname()[1]}"}
        with mock.patch.object(StandInServer, "row", row):
            rig = self.rig(server)
        viewer = rig.caller()
        viewer.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        unanswered, _ = listener.accept()
        meanwhile, _ = listener.accept()
        with unanswered, meanwhile:
            threading.Thread(target=answer_tests, args=(meanwhile,), daemon=True).start()
            following, _ = listener.accept()
            with following:
                following.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
                assert viewer.request().fields["session"] == ID
