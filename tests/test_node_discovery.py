"""Service discovery of the front node against boards that hold each step until told."""

from __future__ import annotations

import json
import os
import random
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

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.http1 import writer as http
from fennelcove.interface import Standing
from fennelcove.isup.messages import Cause, Kind
from fennelcove.log import silent
from fennelcove.node import board as discovery
from fennelcove.node import config, desk
from fennelcove.node.address import parse_address
from fennelcove.node.board import Watch
from tests.boardrig import BoardRig, HeldBoard, Poll
from tests.noderig import Caller, NodeRig, StandInServer, eventually, notice, released
from tests.test_node_desk import HOST, TREE

DRAINING = {**HOST, "health": "draining"}


def off(server: StandInServer) -> dict[str, Any]:
    return {**server.row, "health": "removed"}


class Gate:
    """The desk's lock, which says when somebody waits for it and what is true each time it is let go."""

    def __init__(self, made: desk.Desk) -> None:
        self.desk, self.inner, self.wanted = made, threading.Lock(), threading.Event()
        self.seen: list[list[str]] = []

    def __enter__(self) -> None:
        self.wanted.set()
        self.inner.acquire()

    def __exit__(self, *_: object) -> None:
        servers = self.desk.front.servers.values()
        self.seen.append([server.address for server in servers if server.standing is Standing.ACTIVE])
        self.inner.release()


def hung(test: unittest.TestCase) -> tuple[socket.socket, list[socket.socket]]:
    """A listener that answers no further connection until its backlog is taken in."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        test.addCleanup(filler.close)
    test.addCleanup(listener.close)
    return listener, fillers


def dialled(listener: socket.socket, but: list[socket.socket]) -> bool:
    """Whether a connection to it is under way that is none of these."""
    port = listener.getsockname()[1]
    own = set()
    for sock in but:
        with suppress(OSError):
            own.add(sock.getsockname()[1])
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        local, remote = (int(row[column].rpartition(":")[2], 16) for column in (1, 2))
        if remote == port and row[3] == "02" and local not in own:
            return True
    return False


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
        self.assertEqual(viewer.answer().status, 200)
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
        self.assertEqual(poll.watch, 1)
        poll.tell(2, notice(2, [off(first), second.row]))
        self.assertEqual(board.next().watch, 2)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (0, 1))

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
        self.assertIn(b"ready", os.read(reader, 4096))  # its last word that anybody hears
        os.close(reader)
        for _ in range(3):
            board.next().close()
        self.assertEqual(board.next().watch, 1)

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
                self.assertEqual(poll.watch, 1)
                poll.send(data)
                poll.close()
        self.assertEqual(board.next().watch, 1)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (1, 0))

    def test_silence_and_a_trickle_are_given_up(self) -> None:
        board = HeldBoard()
        self.rig(board, StandInServer("s0", 0))
        for start in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"):
            with self.subTest(start):
                poll = board.next()
                poll.send(start)
                while not poll.ended.wait(0.05):  # a byte now and then renews nothing
                    poll.send(b" " if start else b"")
        self.assertEqual(board.next().watch, 1)

    def test_a_second_copy_is_not_taken_for_the_next_answer(self) -> None:
        # Each answer was taken for that of the poll after its own from then on.
        board = HeldBoard()
        self.rig(board, StandInServer("s0", 0))
        poll = board.next()
        answer = http.response(200, [], b'{"rev":1,"notices":[]}')
        poll.send(answer + answer)
        self.assertIsNot(board.next().sock, poll.sock)

    def test_a_board_that_began_its_numbers_anew_is_asked_for_everything(self) -> None:
        # The node stayed at its high number for good and heard of no change any more.
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first, rev=7)
        poll = board.next()
        self.assertEqual(poll.watch, 7)
        poll.tell(2)
        poll = board.next()
        self.assertEqual(poll.watch, 0)
        poll.tell(2, notice(1, [first.row], whole=True), notice(2, [second.row, off(first)]))
        self.assertEqual(board.next().watch, 2)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (0, 1))

    def test_a_list_told_anew_leaves_what_a_later_event_named_as_it_is(self) -> None:
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        events = notice(1, [first.row], whole=True), notice(2, [second.row, off(first)])
        board.next().tell(2, events[1])
        poll = board.next()
        viewer = self.served(rig)
        second.say(released(second.of(Kind.SET_UP)[0], Cause.OK))
        viewer.request()
        poll.tell(1)
        poll = board.next()
        self.assertEqual(poll.watch, 0)
        poll.tell(2, *events)
        self.assertEqual(board.next().watch, 2)
        self.served(rig, 2)
        self.assertEqual((len(first.sockets), len(second.sockets)), (0, 1))

    def test_a_whole_list_ends_what_it_does_not_name(self) -> None:
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        board.next().tell(3, notice(2, [first.row]), notice(3, [second.row], whole=True))
        self.assertEqual(board.next().watch, 3)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (0, 1))

    def test_events_out_of_order_or_doubled_are_taken_in_order_and_once(self) -> None:
        # The last that was written won, also where an older event came after a newer one.
        for order in ((3, 2), (2, 3, 2)):
            with self.subTest(order):
                server, board = StandInServer("s0", 0), HeldBoard()
                rig = self.rig(board, server)
                told = {2: notice(2, [{**server.row, "share": 2}]), 3: notice(3, [off(server)])}
                board.next().tell(3, *(told[rev] for rev in order))
                self.assertEqual(board.next().watch, 3)
                viewer = rig.caller()
                self.addCleanup(viewer.sock.close)
                viewer.set_up("00000000000000a1")
                self.assertEqual(viewer.answer().status, 453)

    def test_an_event_that_is_missing_is_asked_for(self) -> None:
        # Its number was counted as told: the change that it carried was lost for good.
        first, second, board = StandInServer("s0", 0), StandInServer("s1", 0), HeldBoard()
        rig = self.rig(board, first)
        for told in ([notice(3, [second.row])], []):  # the one between, or the last
            board.next().tell(3, *told)
            poll = board.next()
            self.assertEqual(poll.watch, 0)
            poll.tell(1, notice(1, [first.row], whole=True))
            poll = board.next()
            self.assertEqual(poll.watch, 1)
            poll.close()
        all_told = notice(1, [first.row], whole=True), notice(2, [off(first)]), notice(3, [second.row])
        board.next().tell(3, *all_told[1:])
        self.assertEqual(board.next().watch, 3)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (0, 1))

    def test_numbers_that_are_left_out_from_the_first_say_nothing(self) -> None:
        # Each change would cost a second call, and calls are priced.
        first, board = StandInServer("s0", 0), HeldBoard()
        self.rig(board, first)
        board.next().tell(9, notice(5, [first.row]))
        poll = board.next()
        self.assertEqual(poll.watch, 0)
        poll.tell(9, notice(1, [first.row], whole=True), notice(5, [first.row]))
        poll = board.next()
        self.assertEqual(poll.watch, 9)
        poll.tell(20, notice(15, [first.row]))
        self.assertEqual(board.next().watch, 20)

    def test_changes_of_a_list_that_was_never_told_are_not_taken(self) -> None:
        server, board = StandInServer("s0", 0), HeldBoard()
        rig = self.rig(board, known={"rev": 0, "notices": []})
        poll = board.next()
        self.assertEqual(poll.watch, 0)
        poll.tell(2, notice(2, [server.row]))
        poll = board.next()
        self.assertEqual(poll.watch, 0)
        poll.tell(2, notice(1, [server.row], whole=True), notice(2, [server.row]))
        self.assertEqual(board.next().watch, 2)
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
        self.assertEqual(fresh.watch, 1)
        poll.send(data[-1:])
        fresh.tell(1)
        self.assertEqual(new.next().watch, 1)
        self.served(rig)
        self.assertEqual((len(first.of(Kind.SET_UP)), len(second.of(Kind.SET_UP))), (1, 0))

    def test_a_long_outage_takes_one_line_of_the_log_and_its_end_another(self) -> None:
        board = HeldBoard()
        rig = self.rig(board, StandInServer("s0", 0))
        for _ in range(5):
            board.next().body(b"down", 503)
        board.next().tell(1)
        board.next()
        self.assertEqual(len(rig.log("board_call_failed")), 1)
        self.assertEqual([line["failures"] for line in rig.log("board_reached")], [5])

    def test_a_board_that_is_down_from_the_start_is_found_when_it_comes(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            nowhere = free.getsockname()[1]
        board = HeldBoard()
        self.addCleanup(board.close)
        board.address = f"127.0.0.1:{nowhere}"
        first, second = StandInServer("s0", 0), StandInServer("s1", 0)
        rig = self.rig(board, first)
        eventually(lambda: rig.log("board_call_failed"), "a failed call")
        self.served(rig)
        late = HeldBoard(nowhere)
        self.addCleanup(late.close)
        late.next().tell(2, notice(2, [off(first), second.row]))
        self.assertEqual(late.next().watch, 2)
        self.served(rig, 2)
        self.assertEqual(len(second.of(Kind.SET_UP)), 1)

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
        old.say(released(old.of(Kind.SET_UP)[0], Cause.OK))
        viewer.request()
        poll.tell(2, notice(2, [new.row]))
        self.assertEqual(board.next().watch, 2)
        self.served(rig, 2)
        self.assertEqual((len(old.of(Kind.SET_UP)), len(new.of(Kind.SET_UP))), (1, 1))

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
        self.assertEqual(board.next().watch, 2)
        threading.Thread(target=take_in, args=(listener, heir), daemon=True).start()
        release = viewer.request()
        self.assertEqual((release.method, release.fields["reason"]), ("TEARDOWN", "cause=41"))


class WatchTest(unittest.TestCase):
    """The thread that asks, on a desk of its own, where a step inside of it has to be held."""

    def watch(self, board: HeldBoard, rev: int = 1, seed: str = "0a") -> Watch:
        clock = SystemClock()
        self.desk = desk.Desk(config.parse({**TREE, "seed": seed}), clock, Timers(clock), silent)
        for first in self.desk.config.known.notices:
            self.desk.board_says(first)
        watch = Watch(self.desk, clock, parse_address(board.address), rev)
        thread = threading.Thread(target=watch.run, daemon=True)
        thread.start()
        self.addCleanup(board.close)
        self.addCleanup(thread.join)
        self.addCleanup(watch.stop)
        return watch

    def standing(self) -> Standing:
        return self.desk.front.servers["s0"].standing

    def test_an_answer_of_the_old_board_is_not_applied_after_the_move(self) -> None:
        # Read before the move and applied after it: the old board tells nothing further.
        old, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        watch = self.watch(old)
        poll = old.next()
        gate = Gate(self.desk)
        with mock.patch.object(self.desk, "lock", gate), gate.inner:
            poll.tell(2, notice(2, [DRAINING]))
            self.assertTrue(gate.wanted.wait(20))  # the answer is read whole, and waits for the lock
            watch.move(parse_address(new.address))
        poll = new.next()
        self.assertEqual((poll.watch, self.standing()), (1, Standing.ACTIVE))

    def test_one_answer_is_applied_in_one_hold_of_the_lock(self) -> None:
        # A request between two events of one answer saw a server gone and the one in its place not there yet.
        board = HeldBoard()
        self.watch(board)
        poll = board.next()
        gate = Gate(self.desk)
        with mock.patch.object(self.desk, "lock", gate):
            heir = {**HOST, "host": "s1"}
            poll.tell(3, notice(2, [{**HOST, "health": "removed"}]), notice(3, [heir]))
            self.assertEqual(board.next().watch, 3)
        self.assertEqual(gate.seen, [["s1"]])

    def test_everything_is_asked_for_anew_whatever_is_open(self) -> None:
        # An ask for everything that came while one for everything was open counted as answered by it.
        for rev in (1, 0):
            with self.subTest(rev):
                board = HeldBoard()
                watch = self.watch(board, rev)
                poll = board.next()
                self.assertEqual(poll.watch, rev)
                watch.again()
                poll.tell(2, notice(1, [HOST], whole=True), notice(2, [DRAINING]))
                poll = board.next()
                self.assertEqual(poll.watch, 0)
                poll.tell(2, notice(1, [HOST], whole=True), notice(2, [DRAINING]))
                self.assertEqual((board.next().watch, self.standing()), (2, Standing.LEAVING))

    def test_an_open_poll_does_not_keep_the_ask_for_everything_back(self) -> None:
        board = HeldBoard()
        watch = self.watch(board)
        with mock.patch.object(discovery, "ANSWER_US", 60_000_000):
            board.next().close()
            board.next()  # held for good
            watch.again()
            self.assertEqual(board.next().watch, 0)

    def test_a_move_does_not_wait_for_an_address_that_hangs(self) -> None:
        listener, fillers = hung(self)
        board, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        board.address = f"127.0.0.1:{listener.getsockname()[1]}"
        with mock.patch.object(discovery, "CONNECT_US", 60_000_000):
            watch = self.watch(board)
            eventually(lambda: dialled(listener, fillers), "a dial that hangs")
            watch.move(parse_address(new.address))
            self.assertEqual(new.next().watch, 1)

    def test_a_move_ends_the_pause_after_a_failure(self) -> None:
        board, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        told: list[str] = []
        with mock.patch.object(discovery, "PAUSE_US", 60_000_000):
            watch = self.watch(board)
            self.desk.notice = lambda event, **fields: told.append(event)
            poll = board.next()
            poll.close()
            eventually(lambda: told == ["board_call_failed"], "the failure")
            watch.move(parse_address(new.address))
            self.assertEqual(new.next().watch, 1)

    def test_two_moves_in_a_row_end_at_the_second_and_are_no_failures(self) -> None:
        boards = [HeldBoard() for _ in range(3)]
        watch = self.watch(boards[0])
        told: list[str] = []
        self.desk.notice = lambda event, **fields: told.append(event)
        boards[0].next()
        for board in boards[1:]:
            self.addCleanup(board.close)
            watch.move(parse_address(board.address))
        boards[2].next().tell(2, notice(2, [DRAINING]))
        self.assertEqual((boards[2].next().watch, self.standing()), (2, Standing.LEAVING))
        self.assertEqual(told, [])

    def test_a_move_there_and_back_is_no_failure(self) -> None:
        board, other = HeldBoard(), HeldBoard()
        self.addCleanup(other.close)
        watch = self.watch(board)
        told: list[str] = []
        self.desk.notice = lambda event, **fields: told.append(event)
        board.next()
        watch.move(parse_address(other.address))
        watch.move(parse_address(board.address))
        self.assertEqual((board.next().watch, told), (1, []))

    def test_a_move_to_the_same_address_leaves_the_open_poll(self) -> None:
        board = HeldBoard()
        watch = self.watch(board)
        poll = board.next()
        watch.move(parse_address(board.address))
        poll.tell(2, notice(2, [DRAINING]))
        fresh = board.next()
        self.assertEqual((fresh.watch, self.standing(), board.accepted), (2, Standing.LEAVING, 1))

    def test_a_fault_while_an_answer_is_applied_is_tried_again(self) -> None:
        board = HeldBoard()
        self.watch(board)
        poll = board.next()
        answer = [notice(2, [DRAINING]), notice(3, [{**HOST, "host": "s1"}])]
        faults = iter((None, KeyError("s1")))
        says = self.desk.board_says

        def breaking(told: Any) -> None:
            if fault := next(faults, None):
                raise fault
            says(told)

        with mock.patch.object(self.desk, "board_says", breaking):
            poll.tell(3, *answer)
            poll = board.next()
            self.assertEqual(poll.watch, 1)  # half of it stands, and all of it is told once more
            poll.tell(3, *answer)
            self.assertEqual(board.next().watch, 3)
        self.assertEqual(set(self.desk.front.servers), {"s0", "s1"})


class PauseTest(unittest.TestCase):
    def test_pauses_grow_to_a_bound_and_differ_from_one_process_to_the_next(self) -> None:
        rows = [
            [discovery.pause_us(n, draws) for n in range(1, 40)] for draws in map(random.Random, range(50))
        ]
        for n, column in enumerate(zip(*rows, strict=True)):
            self.assertGreater(len(set(column)), 40)  # spread
            mean_us = sum(column) / len(column)
            self.assertTrue(0.7 < mean_us / min(100_000 * 2**n, 500_000) < 1.3, mean_us)
            self.assertLess(max(column), 1_000_000)
        self.assertLessEqual(max(row[0] for row in rows), 150_000)
        self.assertEqual(rows[3][0], discovery.pause_us(1, random.Random(3)))  # the seed's alone

    def test_a_board_that_is_down_is_asked_less_and_less(self) -> None:
        # 200 processes asked one that was down 10 times a second each, in step.
        board = HeldBoard()
        self.addCleanup(board.close)
        clock = SystemClock()
        made = desk.Desk(config.parse(TREE), clock, Timers(clock), silent)
        watch = Watch(made, clock, parse_address(board.address), 1)
        thread = threading.Thread(target=watch.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(watch.stop)
        board.next().close()
        began = time.monotonic()
        for _ in range(5):
            board.next().close()
        self.assertGreater(time.monotonic() - began, 0.84)  # half of 0.1, 0.2, 0.4, 0.5 and 0.5 s
