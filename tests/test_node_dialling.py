"""Set-ups that wait for a connection to a server while their client, the list or the clock moves on."""

from __future__ import annotations

import socket
import threading
import unittest
from collections.abc import Callable
from contextlib import suppress
from select import POLLIN
from types import SimpleNamespace
from typing import Any

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.node import client_requests
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.discovery_events import DiscoveryBatch

from tests.node_harness import SETTINGS, NodeRig, StandInServer, answered, eventually, notice, released
from tests.test_node_connections import (
    ID,
    OTHER,
    SINGLE_SHOT,
    THIRD,
    FrontHere,
    Peer,
    RigTest,
    read_all,
    read_one,
    reset_on_close,
    silence,
    waits,
)


class DialTest(RigTest):
    def told(self, front: FrontHere, *rows: dict[str, Any]) -> None:
        for event in DiscoveryBatch.parse({"rev": 2, "notices": [notice(2, list(rows))]}).events:
            front.manager.on_discovery_event(event)

    def dialled(self, peer: Peer, meanwhile: Callable[[FrontHere], None]) -> tuple[FrontHere, socket.socket]:
        """A set-up's connection is made, and its thread gets the lock only after this has happened."""
        front = self.front(peer.row())
        with front.manager.lock:
            front.set_up(ID)
            eventually(front.dialled, "a connection that is made")
            meanwhile(front)
        return front, peer.accept()

    def nothing_sent(self, front: FrontHere, far: socket.socket) -> None:
        """Whatever is written on the connection until it ends is no set-up."""
        with front.manager.lock:
            front.manager.is_shutting_down = True
        eventually(lambda: front.dialled() is None, "the thread has had the lock")
        far.shutdown(socket.SHUT_WR)
        assert [m for m in read_all(far) if m.kind is MessageKind.SET_UP] == []

    def test_a_client_that_leaves_while_its_connection_is_made(self) -> None:
        def leaves(front: FrontHere) -> None:
            client_requests.tear_down(front.manager, front.viewer, bytes.fromhex(ID))

        front, far = self.dialled(Peer(), leaves)
        self.nothing_sent(front, far)
        assert not (front.manager.sessions or front.manager.policy.sessions)

    def test_a_client_that_closes_while_its_connection_is_made(self) -> None:
        front, far = self.dialled(
            Peer(), lambda front: client_requests.on_client_gone(front.manager, front.viewer)
        )
        self.nothing_sent(front, far)
        assert not (front.manager.sessions or front.manager.policy.sessions)

    def test_a_join_whose_time_is_over_while_its_connection_is_made(self) -> None:
        def passes(front: FrontHere) -> None:
            sub = front.manager.sessions[bytes.fromhex(ID)]
            assert sub.attempt is not None
            front.manager.on_attempt_timeout(sub, sub.attempt)

        front, far = self.dialled(Peer(), passes)
        self.nothing_sent(front, far)
        assert front.caller.answer().status == 453  # it never ran: refused as harmless

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
        assert front.caller.answer().status == 200
        assert front.caller.request().method == "TEARDOWN"
        with front.manager.lock:
            self.told(front, back.row())
            front.set_up(ID)
        assert read_one(back.accept()).session.hex() == ID

    def standing_and_out(self, peer: Peer) -> tuple[FrontHere, socket.socket, socket.socket]:
        """One session stands, a set-up is out on its connection and another on a second."""
        front = self.front(peer.row())
        front.caller.set_up(ID)
        first = peer.accept()
        first.sendall(answered(read_one(first)))
        assert front.caller.answer().status == 200
        front.caller.set_up(OTHER)
        assert read_one(first).session.hex() == OTHER
        front.caller.set_up(THIRD)
        second = peer.accept()
        assert read_one(second).session.hex() == THIRD
        return front, first, second

    def give_up(self, front: FrontHere) -> None:
        """The wait for the set-up is over that is out on the first connection; the lock is held."""
        sub = front.manager.sessions[bytes.fromhex(OTHER)]
        assert sub.attempt is not None
        front.manager.on_attempt_timeout(sub, sub.attempt)

    def test_an_end_told_on_a_connection_that_is_being_closed_is_heard(self) -> None:
        front, first, _ = self.standing_and_out(Peer())
        with front.manager.lock:
            first.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
            self.give_up(front)
        assert front.caller.answer().fields["session"] == OTHER
        front.caller.sock.settimeout(3)
        assert front.caller.request().fields["reason"] == "cause=16"

    def test_for_what_stands_a_connection_closed_unread_is_followed_by_another(self) -> None:
        # What was on its way there is told again on the next connection; with a second open none came.
        peer = Peer()
        front, first, second = self.standing_and_out(peer)
        with front.manager.lock:
            self.give_up(front)
            front.manager.run_maintenance()
        peer.listener.settimeout(3)
        third = peer.accept()
        third.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
        assert front.caller.answer().fields["session"] == OTHER
        assert front.caller.request().fields["reason"] == "cause=16"
        for sock in (first, second, third):
            sock.close()

    def test_an_idle_connection_is_none_to_a_process_that_began_anew(self) -> None:
        # As after a machine that vanished: its old connection looks open, and resets what is sent on it.
        peer = Peer()
        front = self.front(peer.row())
        front.caller.set_up(OTHER)
        far = peer.accept()
        sent = read_one(far)
        far.sendall(answered(sent) + released(sent, Cause.OK))
        assert front.caller.answer().status == 200
        assert front.caller.request().method == "TEARDOWN"
        with front.manager.lock:
            born_ms = front.manager.now_us() // 1000 + 1
            self.told(front, {**peer.row(), "born_ms": born_ms})
        far.settimeout(3)
        assert far.recv(4096) == b""

    def test_an_answer_that_crosses_with_the_end_of_its_wait_is_given_up_at_its_server(self) -> None:
        # The next join is out at another server by then: two would play, and the client be told of one.
        peers = {"s0": Peer(), "s1": Peer()}
        rows = [peer.row(name, cell) for cell, (name, peer) in enumerate(peers.items())]
        front = self.front(*rows, settings=SETTINGS)
        front.caller.set_up(ID)
        sub = eventually(lambda: front.manager.sessions.get(bytes.fromhex(ID)), "the set-up")
        late = peers.pop(sub.attempt.server.name).accept()
        sent = read_one(late)
        [other] = peers.values()
        with front.manager.lock:
            late.sendall(answered(sent) + answered(sent))
            front.manager.on_attempt_timeout(sub, sub.attempt)
        given_up = read_one(late)
        assert (given_up.kind, given_up.session, given_up.cause) == (MessageKind.RELEASE, sub.id, Cause.OK)
        assert read_all(late) == []
        next_one = other.accept()
        again = read_one(next_one)
        assert (again.kind, again.session) == (MessageKind.SET_UP, sub.id)
        next_one.sendall(isup.message(MessageKind.ANSWER, sub.id, (Parameter.DESCRIPTION, b"of the next")))
        answer = front.caller.answer()
        assert (answer.status, answer.body) == (200, b"of the next")

    def test_room_is_made_at_a_server_where_nothing_stands(self) -> None:
        peers = [Peer() for _ in range(3)]
        front = self.front(*(peer.row(f"s{cell}", cell) for cell, peer in enumerate(peers)))
        front.manager.descriptors.limits[DescriptorUse.SERVER] = 2
        here = []
        for cell, id in enumerate((ID, OTHER, THIRD)):
            front.caller.set_up(id, routing=f"home:{cell};copies:1;top:2")
            here.append(peers[cell].accept())
            sent = read_one(here[cell])
            assert sent.session.hex() == id
            here[cell].sendall(answered(sent) + (released(sent, Cause.OK) if cell else b""))
            assert front.caller.answer().status == 200
            if cell:
                assert front.caller.request().method == "TEARDOWN"
        here[1].settimeout(3)
        assert here[1].recv(4096) == b""
        with front.manager.lock:
            assert [link.is_idle for link in front.manager.servers["s0"].links] == [True]


class OnceNode(NodeRig):
    """A front node whose one room type may be set up once, and that waits for connections only shortly."""

    aim_ms = 8000

    def write(self) -> None:
        lane = {**SINGLE_SHOT["Lanes"][0], "AimMs": self.aim_ms}
        allowed = {**SINGLE_SHOT["Allowed"], "ConnectTimeoutMs": 200}
        self.config["settings"] = {**SINGLE_SHOT, "Lanes": [lane], "Allowed": allowed}
        super().write()


class ShortNode(OnceNode):
    """And for answers as well."""

    aim_ms = 800


class SingleShotTest(unittest.TestCase):
    """How often a set-up that may not be repeated reaches two servers that end each join alike, and what its
    client is told: refused as harmless only where it never ran."""

    def ends(self, *servers: Any, kind: type[OnceNode] = OnceNode) -> int:
        """The status that the client gets, while these servers are the two that could play it."""
        node = kind(*servers)
        self.addCleanup(node.close)
        viewer = node.caller()
        viewer.set_up(ID)
        answer = viewer.answer()
        assert answer.fields["session"] == ID
        return answer.status

    def peers(self, backlog: int = 8) -> list[Peer]:
        made = [Peer(backlog), Peer(backlog)]
        for peer in made:
            self.addCleanup(peer.listener.close)
        return made

    def rows(self, peers: list[Peer]) -> list[Any]:
        return [SimpleNamespace(row=peer.row(f"s{i}", i)) for i, peer in enumerate(peers)]

    def test_refused_connections_prove_that_it_never_ran(self) -> None:
        peers = self.peers()
        for peer in peers:
            peer.listener.close()
        assert self.ends(*self.rows(peers)) == 453

    def test_connections_not_made_in_time_prove_that_it_never_ran(self) -> None:
        peers = self.peers(backlog=0)
        for peer in peers:  # the queue of one is full: the machine answers no further dial
            full = socket.create_connection(peer.address)
            self.addCleanup(full.close)
        assert self.ends(*self.rows(peers)) == 453
        for peer in peers:
            queued, _ = peer.listener.accept()
            peer.listener.setblocking(False)
            queued.close()

    def test_a_reset_with_the_set_up_unread_proves_nothing(self) -> None:
        peers, reached = self.peers(), list[int]()

        def reset(number: int) -> None:
            with suppress(OSError):  # the one that is never asked
                sock = peers[number].accept()
                eventually(lambda: waits(sock, POLLIN), "a set-up")
                reached.append(number)
                reset_on_close(sock)
                sock.close()

        for number in range(2):
            threading.Thread(target=reset, args=(number,), daemon=True).start()
        assert self.ends(*self.rows(peers)) == 500
        assert len(reached) == 1

    def met(
        self, reply: Callable[[Message], bytes | None], kind: type[OnceNode] = OnceNode
    ) -> tuple[int, int]:
        servers = [StandInServer(f"s{i}", i, reply) for i in range(2)]
        status = self.ends(*servers, kind=kind)
        return status, sum(len(server.of(MessageKind.SET_UP)) for server in servers)

    def test_a_close_behind_the_set_up_proves_nothing(self) -> None:
        assert self.met(lambda message: None) == (500, 1)

    def test_silence_proves_nothing(self) -> None:
        assert self.met(silence, ShortNode) == (500, 1)

    def test_answers_that_can_t_be_read_prove_nothing(self) -> None:
        for name, data in (
            ("noise", b"\xff\xff\x09 an answer that claims more than there is"),
            ("no description", b"\0\x09\x09" + bytes.fromhex(ID)),
            ("a parameter longer than its message", b"\0\x0c\x09" + bytes.fromhex(ID) + b"\x91\xff\xff"),
        ):
            with self.subTest(name):
                assert self.met(lambda message, data=data: data) == (500, 1)

    def test_full_and_moot_prove_that_it_never_ran(self) -> None:
        for cause in (Cause.FULL, Cause.NOT_EXECUTED):
            with self.subTest(cause):
                assert self.met(lambda message, cause=cause: released(message, cause)) == (453, 2)


if __name__ == "__main__":
    unittest.main()
