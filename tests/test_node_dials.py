"""Set-ups that wait for a connection to a server while their client, the list or the clock moves on."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Callable
from typing import Any

from fennelcove.isup.messages import Cause, Kind
from fennelcove.node import door
from fennelcove.node.notices import Board
from tests.noderig import answered, eventually, notice, released
from tests.test_node_connections import (
    ID,
    OTHER,
    FrontHere,
    Peer,
    RigTest,
    read_all,
    read_one,
)


class DialTest(RigTest):
    def told(self, front: FrontHere, *rows: dict[str, Any]) -> None:
        for event in Board.parse({"rev": 2, "notices": [notice(2, list(rows))]}).notices:
            front.desk.board_says(event)

    def dialled(self, peer: Peer, meanwhile: Callable[[FrontHere], None]) -> tuple[FrontHere, socket.socket]:
        """A set-up's connection is made, and its thread gets the lock only after this has happened."""
        front = self.front(peer.row())
        with front.desk.lock:
            front.set_up(ID)
            eventually(front.dialled, "a connection that is made")
            meanwhile(front)
        return front, peer.accept()

    def nothing_sent(self, front: FrontHere, far: socket.socket) -> None:
        """Whatever is written on the connection until it ends is no set-up."""
        with front.desk.lock:
            front.desk.stopping = True
        eventually(lambda: front.dialled() is None, "the thread has had the lock")
        far.shutdown(socket.SHUT_WR)
        self.assertEqual([m for m in read_all(far) if m.kind is Kind.SET_UP], [])

    def test_a_client_that_leaves_while_its_connection_is_made(self) -> None:
        def leaves(front: FrontHere) -> None:
            door.tear_down(front.desk, front.viewer, bytes.fromhex(ID))

        front, far = self.dialled(Peer(), leaves)
        self.nothing_sent(front, far)
        self.assertFalse(front.desk.subs or front.desk.front.subs)

    def test_a_client_that_closes_while_its_connection_is_made(self) -> None:
        front, far = self.dialled(Peer(), lambda front: door.viewer_gone(front.desk, front.viewer))
        self.nothing_sent(front, far)
        self.assertFalse(front.desk.subs or front.desk.front.subs)

    def test_a_join_whose_time_is_over_while_its_connection_is_made(self) -> None:
        def passes(front: FrontHere) -> None:
            sub = front.desk.subs[bytes.fromhex(ID)]
            assert sub.join is not None
            front.desk.time_over(sub, sub.join)

        front, far = self.dialled(Peer(), passes)
        self.nothing_sent(front, far)
        self.assertEqual(front.caller.answer().status, 453)  # it never ran: refused as harmless

    def test_a_server_that_goes_and_comes_back_elsewhere_gets_nothing_at_its_old_address(self) -> None:
        peer, back = Peer(), Peer()

        def moves(front: FrontHere) -> None:
            self.told(front, {**peer.row(), "health": "removed"})
            self.told(front, back.row(), {**peer.row("s1", 1)})

        front, far = self.dialled(peer, moves)
        self.nothing_sent(front, far)

    def test_an_idle_connection_to_an_address_that_a_server_has_left_is_not_used(self) -> None:
        peer, back = Peer(), Peer()
        front = self.front(peer.row())
        front.caller.set_up(OTHER)
        far = peer.accept()
        sent = read_one(far)
        far.sendall(answered(sent) + released(sent, Cause.OK))
        self.assertEqual(front.caller.answer().status, 200)
        self.assertEqual(front.caller.request().method, "TEARDOWN")
        with front.desk.lock:
            self.told(front, back.row())
            front.set_up(ID)
        self.assertEqual(read_one(back.accept()).session.hex(), ID)


if __name__ == "__main__":
    unittest.main()
