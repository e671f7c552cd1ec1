"""The thread that asks discovery: moves, asks for everything and pauses, each forced at its moment."""

from __future__ import annotations

import json
import random
import threading
import time
import unittest
from typing import Any
from unittest import mock

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.http1 import writer as http
from fennelcove.interface import ServerState
from fennelcove.log import silent
from fennelcove.node import config, session_manager
from fennelcove.node import discovery_client as discovery
from fennelcove.node.address import parse_address
from fennelcove.node.discovery_client import DiscoveryClient

from tests.discovery_harness import HeldBoard, dialled, hung
from tests.node_harness import eventually, notice
from tests.test_node_session_manager import HOST, TREE

DRAINING = {**HOST, "health": "draining"}


class Gate:
    """The desk's lock, which says when somebody waits for it and what is true each time it is let go."""

    def __init__(self, made: session_manager.SessionManager) -> None:
        self.desk, self.inner, self.wanted = made, threading.Lock(), threading.Event()
        self.seen: list[list[str]] = []

    def __enter__(self) -> None:
        self.wanted.set()
        self.inner.acquire()

    def __exit__(self, *_: object) -> None:
        servers = self.desk.policy.servers.values()
        self.seen.append([server.address for server in servers if server.state is ServerState.ACTIVE])
        self.inner.release()


class WatchTest(unittest.TestCase):
    """The thread that asks, on a desk of its own, where a step inside of it has to be held."""

    def watch(self, board: HeldBoard, rev: int = 1, seed: str = "0a") -> DiscoveryClient:
        clock = SystemClock()
        self.desk = session_manager.SessionManager(
            config.parse({**TREE, "seed": seed}), clock, Timers(clock), silent
        )
        for first in self.desk.config.initial_batch.events:
            self.desk.on_discovery_event(first)
        watch = DiscoveryClient(self.desk, clock, parse_address(board.address), rev)
        thread = threading.Thread(target=watch.run, daemon=True)
        thread.start()
        self.addCleanup(board.close)
        self.addCleanup(thread.join)
        self.addCleanup(watch.stop)
        return watch

    def standing(self) -> ServerState:
        return self.desk.policy.servers["s0"].state

    def changes(self, count: int) -> bytes:
        """A response with so many changes, the last of which drains the server."""
        rows = [{**HOST, "host": f"s{i}", "dial": f"127.0.0.1:{1 + i % 60_000}"} for i in range(1, count)]
        notices = [notice(rev, [row]) for rev, row in enumerate([*rows, DRAINING], 2)]
        body = json.dumps({"rev": count + 1, "notices": notices}).encode()
        return http.response(200, [], body)

    def test_a_list_of_thousands_of_servers_and_changes_is_not_too_long(self) -> None:
        # Past the bound of 1 MiB each poll failed, and the list never changed again.
        board = HeldBoard()
        self.watch(board)
        response = self.changes(9_000)
        assert 1 << 20 < len(response) < 4 << 20
        board.next().send(response)
        eventually(lambda: self.standing() is ServerState.LEAVING, "the last change")

    def test_a_list_that_takes_longer_than_the_poll_may_wait_is_read_to_its_end(self) -> None:
        # Given up after 1.4 s and asked for again, a large list over a slow path never arrived.
        board = HeldBoard()
        self.watch(board)
        response = self.changes(40)
        poll, step = board.next(), len(response) // 9
        for at in range(0, len(response), step):
            poll.send(response[at : at + step])
            time.sleep(0.2)
        eventually(lambda: self.standing() is ServerState.LEAVING, "the last change")
        assert board.next().watch == 41
        assert board.accepted == 1

    def test_an_answer_of_the_old_board_is_not_applied_after_the_move(self) -> None:
        # Read before the move and applied after it: the old board tells nothing further.
        old, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        watch = self.watch(old)
        poll = old.next()
        gate = Gate(self.desk)
        with mock.patch.object(self.desk, "lock", gate), gate.inner:
            poll.tell(2, notice(2, [DRAINING]))
            assert gate.wanted.wait(20)  # the answer is read whole, and waits for the lock
            watch.change_address(parse_address(new.address))
        poll = new.next()
        assert (poll.watch, self.standing()) == (1, ServerState.ACTIVE)

    def test_one_answer_is_applied_in_one_hold_of_the_lock(self) -> None:
        # A request between two events of one answer saw a server gone and the one in its place not there yet.
        board = HeldBoard()
        self.watch(board)
        poll = board.next()
        gate = Gate(self.desk)
        with mock.patch.object(self.desk, "lock", gate):
            heir = {**HOST, "host": "s1"}
            poll.tell(3, notice(2, [{**HOST, "health": "removed"}]), notice(3, [heir]))
            assert board.next().watch == 3
        assert gate.seen == [["s1"]]

    def test_everything_is_asked_for_anew_whatever_is_open(self) -> None:
        # An ask for everything that came while one for everything was open counted as answered by it.
        for rev in (1, 0):
            with self.subTest(rev):
                board = HeldBoard()
                watch = self.watch(board, rev)
                poll = board.next()
                assert poll.watch == rev
                watch.resync()
                poll.tell(2, notice(1, [HOST], whole=True), notice(2, [DRAINING]))
                poll = board.next()
                assert poll.watch == 0
                poll.tell(2, notice(1, [HOST], whole=True), notice(2, [DRAINING]))
                assert (board.next().watch, self.standing()) == (2, ServerState.LEAVING)

    def test_an_open_poll_does_not_keep_the_ask_for_everything_back(self) -> None:
        board = HeldBoard()
        watch = self.watch(board)
        with mock.patch.object(discovery, "RESPONSE_GRACE_US", 60_000_000):
            board.next().close()
            board.next()  # held for good
            watch.resync()
            assert board.next().watch == 0

    def test_a_move_does_not_wait_for_an_address_that_hangs(self) -> None:
        listener, fillers = hung(self)
        board, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        board.address = f"127.0.0.1:{listener.getsockname()[1]}"
        with mock.patch.object(discovery, "CONNECT_TIMEOUT_US", 60_000_000):
            watch = self.watch(board)
            eventually(lambda: dialled(listener, fillers), "a dial that hangs")
            watch.change_address(parse_address(new.address))
            assert new.next().watch == 1

    def test_a_move_ends_the_pause_after_a_failure(self) -> None:
        board, new = HeldBoard(), HeldBoard()
        self.addCleanup(new.close)
        told: list[str] = []
        with mock.patch.multiple(discovery, BACKOFF_BASE_US=60_000_000, BACKOFF_MAX_US=60_000_000):
            watch = self.watch(board)
            self.desk.logger = lambda event, **fields: told.append(event)
            poll = board.next()
            poll.close()
            eventually(lambda: told == ["discovery_poll_failed"], "the failure")
            watch.change_address(parse_address(new.address))
            poll = new.next()
            assert poll.watch == 1
            poll.close()  # the first failure there, whatever there was before
            eventually(lambda: told == ["discovery_poll_failed"] * 2, "the failure of the other board")

    def test_two_moves_in_a_row_end_at_the_second_and_are_no_failures(self) -> None:
        boards = [HeldBoard() for _ in range(3)]
        watch = self.watch(boards[0])
        told: list[str] = []
        self.desk.logger = lambda event, **fields: told.append(event)
        boards[0].next()
        for board in boards[1:]:
            self.addCleanup(board.close)
            watch.change_address(parse_address(board.address))
        boards[2].next().tell(2, notice(2, [DRAINING]))
        assert (boards[2].next().watch, self.standing()) == (2, ServerState.LEAVING)
        assert told == []

    def test_a_move_there_and_back_is_no_failure(self) -> None:
        board, other = HeldBoard(), HeldBoard()
        self.addCleanup(other.close)
        watch = self.watch(board)
        told: list[str] = []
        self.desk.logger = lambda event, **fields: told.append(event)
        board.next()
        watch.change_address(parse_address(other.address))
        watch.change_address(parse_address(board.address))
        assert (board.next().watch, told) == (1, [])

    def test_a_move_to_the_same_address_leaves_the_open_poll(self) -> None:
        board = HeldBoard()
        watch = self.watch(board)
        poll = board.next()
        watch.change_address(parse_address(board.address))
        poll.tell(2, notice(2, [DRAINING]))
        fresh = board.next()
        assert (fresh.watch, self.standing(), board.accepted) == (2, ServerState.LEAVING, 1)

    def test_a_fault_while_an_answer_is_applied_is_tried_again(self) -> None:
        board = HeldBoard()
        self.watch(board)
        poll = board.next()
        answer = [notice(2, [DRAINING]), notice(3, [{**HOST, "host": "s1"}])]
        faults = iter((None, KeyError("s1")))
        says = self.desk.updates._apply

        def breaking(told: Any) -> None:
            if fault := next(faults, None):
                raise fault
            says(told)

        with mock.patch.object(self.desk.updates, "_apply", breaking):
            poll.tell(3, *answer)
            poll = board.next()
            assert poll.watch == 1  # half of it stands, and all of it is told once more
            poll.tell(3, *answer)
            assert board.next().watch == 3
        assert set(self.desk.policy.servers) == {"s0", "s1"}


class PauseTest(unittest.TestCase):
    def test_pauses_grow_to_a_bound_and_differ_from_one_process_to_the_next(self) -> None:
        rows = [
            [discovery.backoff_us(n, draws) for n in range(1, 40)] for draws in map(random.Random, range(50))
        ]
        for n, column in enumerate(zip(*rows, strict=True)):
            assert len(set(column)) > 40  # spread
            mean_us = sum(column) / len(column)
            assert 0.7 < mean_us / min(100000 * 2**n, 500000) < 1.3, mean_us
            assert max(column) < 1000000
        assert max(row[0] for row in rows) <= 150000
        assert rows[3][0] == discovery.backoff_us(1, random.Random(3))  # the seed's alone

    def test_a_board_that_is_down_is_asked_less_and_less(self) -> None:
        # 200 processes asked one that was down 10 times a second each, in step.
        board = HeldBoard()
        self.addCleanup(board.close)
        clock = SystemClock()
        made = session_manager.SessionManager(config.parse(TREE), clock, Timers(clock), silent)
        watch = DiscoveryClient(made, clock, parse_address(board.address), 1)
        thread = threading.Thread(target=watch.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(watch.stop)
        board.next().close()
        began = time.monotonic()
        for _ in range(5):
            board.next().close()
        assert time.monotonic() - began > 0.84  # half of 0.1, 0.2, 0.4, 0.5 and 0.5 s
