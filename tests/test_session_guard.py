"""The guard of sessions' invariants: a step that would break one is refused or made harmless, and counted."""

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

from tests.node_harness import SETTINGS, StandInServer, eventually
from tests.node_process_control import Rig
from tests.test_node_clients import mute
from tests.test_node_connections import FrontHere

ID = "00000000000000a1"
SINGLE_SHOT: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "Effect": "single_shot"}]}


class GuardTest(unittest.TestCase):
    def begun(self, settings: dict[str, Any] = SINGLE_SHOT) -> tuple[FrontHere, Session, StandInServer]:
        """A session whose attempt is out at a server that says nothing."""
        server = StandInServer("s0", 0, mute)
        front = FrontHere(server.row, settings=settings)
        with front.manager.lock:
            front.set_up(ID)
        eventually(lambda: server.of(MessageKind.SET_UP), "the set-up")
        return front, front.manager.sessions[bytes.fromhex(ID)], server

    def violations(self, front: FrontHere) -> dict[str, int]:
        return dict(front.manager.metrics.counts[Metric.VIOLATION])

    def test_a_second_answer_is_not_sent(self) -> None:
        front, session, _ = self.begun()
        with front.manager.lock:
            session_states.apply_event(front.manager, session, SessionEvent.ABORTED)
            session.state = SessionState.PENDING
            session_states.apply_event(front.manager, session, SessionEvent.FAILED)
        assert front.caller.answer().status == 500
        front.caller.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert front.caller.answer().fields["cseq"] == "3"
        assert self.violations(front) == {"answered_once": 1}

    def test_a_single_shot_request_that_may_have_run_is_neither_repeated_nor_called_harmless(self) -> None:
        front, session, server = self.begun()
        with front.manager.lock:
            session.current_attempt.outcome = Outcome.NO_ANSWER
            session.may_have_run = True
            again = session.attempt = Attempt(
                session.current_attempt.server, 1, front.manager.now_us(), 1_000_000
            )
            [link] = again.server.links
            link.dispatch(session)
            assert self.violations(front) == {"repeated_with_proof": 1}
        assert front.caller.answer().status == 500
        assert len(server.of(MessageKind.SET_UP)) == 1
        assert self.violations(front)["repeated_with_proof"] == 1

    def test_nothing_is_sent_past_its_client_s_timeout(self) -> None:
        # Its connection was made as the time ran out, while the timer that ends the attempt waited.
        front, session, server = self.begun()
        with front.manager.lock:
            attempt = session.current_attempt
            assert attempt.link is not None
            attempt.is_sent = False
            session.answer_deadline_us = front.manager.clock.now_us() - 1
            attempt.link.dispatch(session)
        assert len(server.of(MessageKind.SET_UP)) == 1
        assert self.violations(front) == {}

    def test_an_attempt_is_sent_once(self) -> None:
        front, session, server = self.begun()
        with front.manager.lock:
            link = session.current_attempt.link
            assert link is not None
            link.dispatch(session)
        assert self.violations(front) == {"one_attempt": 1}
        assert len(server.of(MessageKind.SET_UP)) == 1

    def test_a_set_up_does_not_replace_another_under_its_id(self) -> None:
        front, session, _ = self.begun()
        with front.manager.lock:
            front.manager.admission.admit(Session(session.id, ID, "1", "recorded", "7f", b"", None, ""), None)  # type: ignore[arg-type]
        assert front.manager.sessions[session.id] is session
        assert self.violations(front) == {"started_once": 1}


class LogTest(unittest.TestCase):
    def test_a_node_that_is_served_by_the_rules_breaks_none(self) -> None:
        rig = Rig(StandInServer("s0", 0))
        self.addCleanup(rig.close)
        caller = rig.caller()
        caller.set_up(ID)
        assert caller.answer().status == 200
        assert rig.told("invariant_violated") == []
