"""The guard of session invariants: a step that would violate one is prevented or corrected, and counted."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.interface import Outcome
from fennelcove.isup.messages import MessageKind
from fennelcove.node import session_states
from fennelcove.node.metrics import Metric
from fennelcove.node.model import Attempt, Session, SessionState
from fennelcove.node.session_states import SessionEvent
from fennelcove.rtsp import writer

from tests.node_harness import SETTINGS, FakeServer, wait_until
from tests.node_process_control import LoggedNodeProcess
from tests.test_node_clients import no_reply
from tests.test_node_connections import InProcessFront

ID = "00000000000000a1"
SINGLE_SHOT: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "Effect": "single_shot"}]}


class GuardTest(unittest.TestCase):
    def start_attempt(
        self, settings: dict[str, Any] = SINGLE_SHOT
    ) -> tuple[InProcessFront, Session, FakeServer]:
        """A session with an open attempt at a server that does not answer."""
        server = FakeServer("s0", 0, no_reply)
        front = InProcessFront(server.host_entry, settings=settings)
        with front.manager.lock:
            front.set_up(ID)
        wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        return front, front.manager.sessions[bytes.fromhex(ID)], server

    def violations(self, front: InProcessFront) -> dict[str, int]:
        """The counted violations, by invariant."""
        return dict(front.manager.metrics.counts[Metric.VIOLATION])

    def test_a_second_answer_is_not_sent(self) -> None:
        front, session, _ = self.start_attempt()
        with front.manager.lock:
            session_states.apply_event(front.manager, session, SessionEvent.ABORTED)
            session.state = SessionState.PENDING
            session_states.apply_event(front.manager, session, SessionEvent.FAILED)
        assert front.client.receive_response().status == 500
        front.client.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert front.client.receive_response().fields["cseq"] == "3"
        assert self.violations(front) == {"answered_once": 1}

    def test_a_single_shot_request_that_may_have_run_is_neither_repeated_nor_rejected_for_a_retry(
        self,
    ) -> None:
        front, session, server = self.start_attempt()
        with front.manager.lock:
            session.current_attempt.outcome = Outcome.NO_ANSWER
            session.may_have_run = True
            second_attempt = session.attempt = Attempt(
                session.current_attempt.server, 1, front.manager.now_us(), 1_000_000
            )
            [link] = second_attempt.server.links
            link.dispatch(session)
            assert self.violations(front) == {"repeated_with_proof": 1}
        assert front.client.receive_response().status == 500
        assert len(server.messages(MessageKind.SET_UP)) == 1
        assert self.violations(front)["repeated_with_proof"] == 1

    def test_nothing_is_sent_after_the_client_s_timeout(self) -> None:
        # The connection was established as the time ran out, before the delayed timer ended the attempt.
        front, session, server = self.start_attempt()
        with front.manager.lock:
            attempt = session.current_attempt
            assert attempt.link is not None
            attempt.is_sent = False
            session.answer_deadline_us = front.manager.clock.now_us() - 1
            attempt.link.dispatch(session)
        assert len(server.messages(MessageKind.SET_UP)) == 1
        assert self.violations(front) == {}

    def test_an_attempt_is_sent_once(self) -> None:
        front, session, server = self.start_attempt()
        with front.manager.lock:
            link = session.current_attempt.link
            assert link is not None
            link.dispatch(session)
        assert self.violations(front) == {"one_attempt": 1}
        assert len(server.messages(MessageKind.SET_UP)) == 1

    def test_a_set_up_does_not_replace_another_under_its_id(self) -> None:
        front, session, _ = self.start_attempt()
        with front.manager.lock:
            front.manager.admission.admit(Session(session.id, ID, "1", "recorded", "7f", b"", None, ""), None)  # type: ignore[arg-type]
        assert front.manager.sessions[session.id] is session
        assert self.violations(front) == {"started_once": 1}


class LogTest(unittest.TestCase):
    def test_a_normal_request_violates_no_invariant(self) -> None:
        node = LoggedNodeProcess(FakeServer("s0", 0))
        self.addCleanup(node.close)
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        assert node.log_events("invariant_violated") == []
