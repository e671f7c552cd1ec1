"""Service discovery of the front node against boards that hold each step until told."""

from __future__ import annotations

import json
import os
import signal
import socket
import tempfile
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove.http1 import writer as http
from fennelcove.isup.messages import Cause, MessageKind

from tests.discovery_harness import BoardRig, HeldBoard, Poll, dialled, hung
from tests.node_harness import Caller, NodeRig, StandInServer, eventually, notice, released


def off(server: StandInServer) -> dict[str, Any]:
    return {**server.row, "health": "removed"}


def take_in(listener: socket.socket, server: StandInServer) -> None:
    """The server serves whoever comes to this listener as well."""
    with suppress(OSError):  # closed at the end of the test
        while True:
            sock, _ = listener.accept()
            server.sockets.append(sock)
            threading.Thread(target=server._serve, args=(sock,), daemon=True).start()


class DiscoveryTest(unittest.TestCase):
    """A front node as a process."""

    def rig(self, board: HeldBoard, *servers: StandInServer, rev: int = 1, **changes: Any) -> BoardRig:
        self.addCleanup(board.close)
        made = BoardRig(board, *servers, rev=rev, **changes)
        self.addCleanup(made.close)
        return made

    def served(self, rig: NodeRig, number: int = 1) -> Caller:
        viewer = rig.caller()
        self.addCleanup(viewer.sock.close)
        viewer.set_up(f"{number:016x}")
        assert viewer.answer().status == 200
        return viewer

    def moved(self, rig: BoardRig, board: HeldBoard) -> None:
        rig.asked = board
        rig.write()
        rig.signal(signal.SIGHUP)

    def test_no_answer_ends_the_asking(self) -> None:
        # An exception that the thread did not expect ended it: the list was never updated again.
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)

        def one(**changes: Any) -> bytes:
            return json.dumps({"rev": 2, "notices": [notice(2, [{**first.row, **changes}])]}).encode()

        for name, body in {
            "a list in a list, deeper than can be read": b"[" * 500_000,
            "an object in an object": b'{"a":' * 100_000,
            "a number without end": one().replace(b'"share": 1', b'"share": 1' + b"0" * 400),
            "a birth beyond all numbers": one(born_ms=1e308),
            "an address that no call takes": one(dial="127.0.0.1\x00:80"),
            "an address with a line in it": one(dial="a b\r\n:80"),
            "no object": b"null",
            "an event that is none": b'{"rev":2,"notices":[null]}',
            "a number that is none": b'{"rev":true,"notices":[]}',
            "a negative number": b'{"rev":-1,"notices":[]}',
            "no JSON": b"\xff\xfe{",
            "half of it": one()[:-9],
        }.items():
            with self.subTest(name):
                board.next().body(body)
        for status in (500, 404, 302):
            board.next().body(one(health="removed"), status)
        poll = board.next()
        assert poll.watch == 1
        poll.tell(2, notice(2, [off(first), second.row]))
        assert board.next().watch == 2
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (0, 1)

    def test_a_log_that_nobody_reads_ends_no_asking(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        pipe = Path(folder.name) / "log"
        os.mkfifo(pipe)
        reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
        board = HeldBoard()
        with mock.patch.object(BoardRig, "LOG", str(pipe)):
            self.rig(board, StandInServer("s0", 0))
        os.set_blocking(reader, True)
        assert b"node_started" in os.read(reader, 4096)  # its last word that anybody hears
        os.close(reader)
        for _ in range(3):
            board.next().close()
        assert board.next().watch == 1

    def test_lengths_that_are_wrong_take_nothing_over(self) -> None:
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        body = json.dumps({"rev": 2, "notices": [notice(2, [off(first), second.row])]}).encode()
        head = b"HTTP/1.1 200 OK\r\n"
        for name, data in {
            "cut at its end": http.response(200, [], body)[:-1],
            "too short a length": head + b"Content-Length: %d\r\n\r\n" % (len(body) - 1) + body,
            "longer than the bound": head + b"Content-Length: 3000000000\r\n\r\n" + body,
            "a negative length": head + b"Content-Length: -1\r\n\r\n" + body,
            "a chunk cut off": head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body) + body[:-1],
            "a last chunk that is missing": head
            + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            + body
            + b"\r\n",
            "a head cut off": head,
            "nothing": b"",
        }.items():
            with self.subTest(name):
                poll = board.next()
                assert poll.watch == 1
                poll.send(data)
                poll.close()
        assert board.next().watch == 1
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (1, 0)

    def test_silence_and_a_trickle_are_given_up(self) -> None:
        board = HeldBoard()
        self.rig(board, StandInServer("s0", 0))
        for start in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"):
            with self.subTest(start):
                poll = board.next()
                poll.send(start)
                while not poll.ended.wait(0.05):  # a byte now and then renews nothing
                    poll.send(b" " if start else b"")
        assert board.next().watch == 1

    def test_a_second_copy_is_not_taken_for_the_next_answer(self) -> None:
        # Each answer was taken for that of the poll after its own from then on.
        board = HeldBoard()
        self.rig(board, StandInServer("s0", 0))
        poll = board.next()
        answer = http.response(200, [], b'{"rev":1,"notices":[]}')
        poll.send(answer + answer)
        assert board.next().sock is not poll.sock

    def test_a_board_that_began_its_numbers_anew_is_asked_for_everything(self) -> None:
        # The node stayed at its high number for good and heard of no change any more.
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first, rev=7)
        poll = board.next()
        assert poll.watch == 7
        poll.tell(2)
        poll = board.next()
        assert poll.watch == 0
        poll.tell(2, notice(1, [first.row], whole=True), notice(2, [second.row, off(first)]))
        assert board.next().watch == 2
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (0, 1)

    def test_a_list_told_anew_leaves_what_a_later_event_named_as_it_is(self) -> None:
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        events = notice(1, [first.row], whole=True), notice(2, [second.row, off(first)])
        board.next().tell(2, events[1])
        poll = board.next()
        viewer = self.served(rig)
        second.say(released(second.of(MessageKind.SET_UP)[0], Cause.OK))
        viewer.request()
        poll.tell(1)
        poll = board.next()
        assert poll.watch == 0
        poll.tell(2, *events)
        assert board.next().watch == 2
        self.served(rig, 2)
        assert (len(first.sockets), len(second.sockets)) == (0, 1)

    def test_a_whole_list_ends_what_it_does_not_name(self) -> None:
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        board.next().tell(3, notice(2, [first.row]), notice(3, [second.row], whole=True))
        assert board.next().watch == 3
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (0, 1)

    def test_events_out_of_order_or_doubled_are_taken_in_order_and_once(self) -> None:
        # The last that was written won, also where an older event came after a newer one.
        for order in ((3, 2), (2, 3, 2)):
            with self.subTest(order):
                server, board = StandInServer("s0", 0), HeldBoard()
                rig = self.rig(board, server)
                told = {2: notice(2, [{**server.row, "share": 2}]), 3: notice(3, [off(server)])}
                board.next().tell(3, *(told[rev] for rev in order))
                assert board.next().watch == 3
                viewer = rig.caller()
                self.addCleanup(viewer.sock.close)
                viewer.set_up("00000000000000a1")
                assert viewer.answer().status == 453

    def test_an_event_that_is_missing_is_asked_for(self) -> None:
        # Its number was counted as told: the change that it carried was lost for good.
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        for told in ([notice(3, [second.row])], []):  # the one between, or the last
            board.next().tell(3, *told)
            poll = board.next()
            assert poll.watch == 0
            poll.tell(1, notice(1, [first.row], whole=True))
            poll = board.next()
            assert poll.watch == 1
            poll.close()
        all_told = notice(1, [first.row], whole=True), notice(2, [off(first)]), notice(3, [second.row])
        board.next().tell(3, *all_told[1:])
        assert board.next().watch == 3
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (0, 1)

    def test_numbers_that_are_left_out_from_the_first_say_nothing(self) -> None:
        # Each change would cost a second call, and calls are priced.
        first, board = StandInServer("s0", 0), HeldBoard()
        self.rig(board, first)
        board.next().tell(9, notice(5, [first.row]))
        poll = board.next()
        assert poll.watch == 0
        poll.tell(9, notice(1, [first.row], whole=True), notice(5, [first.row]))
        poll = board.next()
        assert poll.watch == 9
        poll.tell(20, notice(15, [first.row]))
        assert board.next().watch == 20

    def test_changes_of_a_list_that_was_never_told_are_not_taken(self) -> None:
        server, board = StandInServer("s0", 0), HeldBoard()
        rig = self.rig(board, known={"rev": 0, "notices": []})
        poll = board.next()
        assert poll.watch == 0
        poll.tell(2, notice(2, [server.row]))
        poll = board.next()
        assert poll.watch == 0
        poll.tell(2, notice(1, [server.row], whole=True), notice(2, [server.row]))
        assert board.next().watch == 2
        self.served(rig)

    def test_half_an_answer_of_the_old_board_is_not_taken_after_the_move(self) -> None:
        first, second, old, new = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        rig = self.rig(old, first)
        poll = old.next()
        body = json.dumps({"rev": 2, "notices": [notice(2, [off(first), second.row])]}).encode()
        data = http.response(200, [], body)
        poll.send(data[:-1])
        self.moved(rig, new)
        fresh = new.next()
        assert fresh.watch == 1
        poll.send(data[-1:])
        fresh.tell(1)
        assert new.next().watch == 1
        self.served(rig)
        assert (len(first.of(MessageKind.SET_UP)), len(second.of(MessageKind.SET_UP))) == (1, 0)

    def test_a_long_outage_takes_one_line_of_the_log_and_its_end_another(self) -> None:
        board = HeldBoard()
        rig = self.rig(board, StandInServer("s0", 0))
        for _ in range(5):
            board.next().body(b"down", 503)
        board.next().tell(1)
        board.next()
        assert len(rig.log("discovery_poll_failed")) == 1
        assert [line["failures"] for line in rig.log("discovery_poll_recovered")] == [5]

    def test_a_board_that_is_down_from_the_start_is_found_when_it_comes(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            nowhere = free.getsockname()[1]
        board = HeldBoard()
        self.addCleanup(board.close)
        board.address = f"127.0.0.1:{nowhere}"
        first, second = StandInServer("s0", 0), StandInServer("s1", 0)
        rig = self.rig(board, first)
        eventually(lambda: rig.log("discovery_poll_failed"), "a failed call")
        self.served(rig)
        late = HeldBoard(nowhere)
        self.addCleanup(late.close)
        late.next().tell(2, notice(2, [off(first), second.row]))
        assert late.next().watch == 2
        self.served(rig, 2)
        assert len(second.of(MessageKind.SET_UP)) == 1

    def test_breaks_and_moves_leave_no_descriptor_behind(self) -> None:
        boards = HeldBoard(), HeldBoard()
        self.addCleanup(boards[1].close)
        rig = self.rig(boards[0], StandInServer("s0", 0))
        here = Path("/proc") / str(rig.process.pid) / "fd"

        def sockets() -> int:
            names = []
            for path in here.iterdir():
                with suppress(OSError):
                    names.append(os.readlink(path))
            return sum(name.startswith("socket:") for name in names)

        at, poll = 0, boards[0].next()
        eventually(lambda: sockets() == 2, "the listener and the open poll")
        for _ in range(4):
            for end in (Poll.close, lambda poll: poll.body(b"x"), lambda poll: poll.tell(1)):
                end(poll)
                poll = boards[at].next()
            at = 1 - at
            self.moved(rig, boards[at])
            poll = boards[at].next()
        eventually(lambda: sockets() == 2, "the listener and the open poll")

    def test_a_host_that_has_another_address_is_reached_there(self) -> None:
        # Set-ups went on to the old address on the connections that were open to it.
        old, new, board = StandInServer("s0", 0), StandInServer("s0", 0), HeldBoard()
        rig = self.rig(board, old)
        poll = board.next()
        viewer = self.served(rig)
        old.say(released(old.of(MessageKind.SET_UP)[0], Cause.OK))
        viewer.request()
        poll.tell(2, notice(2, [new.row]))
        assert board.next().watch == 2
        self.served(rig, 2)
        assert (len(old.of(MessageKind.SET_UP)), len(new.of(MessageKind.SET_UP))) == (1, 1)

    def test_a_connection_to_a_successor_not_listed_yet_does_not_hold_sessions_of_the_one_that_went(
        self,
    ) -> None:
        # Made anew as soon as the first had reset it, it was answered by the second, and nobody was released.
        gone, board = StandInServer("s0", 0), HeldBoard()
        rig = self.rig(board, gone)
        poll = board.next()
        viewer = self.served(rig)
        address = gone.listener.getsockname()
        gone.die()
        started_ms = time.time_ns() // 1_000_000
        heir = StandInServer("s1", 0, address=address)
        eventually(lambda: heir.sockets, "a connection to the second")
        rows = [{**heir.row, "host": "s0", "health": "removed"}, {**heir.row, "born_ms": started_ms}]
        poll.tell(2, notice(2, rows))
        assert board.next().watch == 2
        release = viewer.request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", "cause=41")

    def test_a_dial_under_way_does_not_take_a_successor_for_the_one_that_went(self) -> None:
        # What played at the one that went was held by a connection to the other, and never released.
        listener, fillers = hung(self)
        gone, heir = StandInServer("s0", 0), StandInServer("s1", 0)
        rows = [{**s.row, "dial": f"127.0.0.1:{listener.getsockname()[1]}"} for s in (gone, heir)]
        board = HeldBoard()
        rig = self.rig(board, known={"rev": 1, "notices": [notice(1, rows[:1], whole=True)]})
        viewer = rig.caller()
        self.addCleanup(viewer.sock.close)
        viewer.set_up("00000000000000a1", routing="home:0;copies:4;top:2;at:s0")
        eventually(lambda: dialled(listener, fillers), "a dial that hangs")
        board.next().tell(2, notice(2, [{**rows[0], "health": "removed"}, rows[1]]))
        assert board.next().watch == 2
        threading.Thread(target=take_in, args=(listener, heir), daemon=True).start()
        release = viewer.request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", "cause=41")
