"""Where a subscription of the node stands, what moves it on, and what is done then."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from fennelcove.interface import ClientGone, Event, AttemptCompleted, Outcome, SessionStarted
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Code, Kind
from fennelcove.node.model import SessionState, Session
from fennelcove.rtsp import writer as rtsp

SessionEvent = Enum("SessionEvent", "JOIN ANSWERED ENDED THROTTLE TERMINATE RUNG MOVE VIEWER_GONE STOP")


class SessionActions(Protocol):
    """What effects are carried out with; the node's lock is held."""

    def now_us(self) -> int: ...

    def tell(self, event: Event) -> None: ...

    def carry(self, session: Session) -> None: ...

    def answer(self, session: Session, data: bytes) -> bool: ...

    def to_viewer(self, session: Session, data: bytes) -> None: ...

    def to_server(self, session: Session, data: bytes) -> None: ...

    def forget(self, session: Session) -> None: ...


Effect = Callable[[SessionActions, Session], None]

# What a server's release means to the viewer who is owed one.
RELEASES = {Outcome.SERVED: Cause.OK}


def apply_event(hands: SessionActions, session: Session, given: SessionEvent) -> bool:
    """Move on; False where the input means nothing here, as what crosses with an end does."""
    row = TABLE.get((session.state, given))
    if row is None:
        return False
    session.state, effect = row
    effect(hands, session)
    return True


def nothing(hands: SessionActions, session: Session) -> None:
    """The effect of a row that only keeps its state."""


def carry(hands: SessionActions, session: Session) -> None:
    if session.viewer is not None and session.viewer.left():
        # Its end lies unread while its thread waits for the lock, perhaps for long.
        apply_event(hands, session, SessionEvent.VIEWER_GONE)
    else:
        hands.carry(session)


def start(hands: SessionActions, session: Session) -> None:
    """The server's description goes to the viewer as it is."""
    attempt = session.attempt
    assert attempt is not None
    answer = rtsp.answer(200, ("CSeq", session.cseq), ("Session", session.name), body=session.answer)
    heard = hands.answer(session, answer)
    if session.viewer is not None:
        session.viewer.open.pop(session, None)
        session.viewer.standing[session] = None
    session.description = session.answer = b""
    attempt.link = None
    attempt.server.standing[session] = None
    hands.tell(SessionStarted(session.key, attempt.number, hands.now_us() - attempt.sent_us))
    if not heard:
        # Its connection broke under the answer: left standing, it would fill the server's link for nobody.
        apply_event(hands, session, SessionEvent.VIEWER_GONE)


def over(hands: SessionActions, session: Session, finished: bool) -> None:
    attempt = session.attempt
    assert attempt is not None
    attempt.link = None
    attempt.server.seen[attempt.outcome] += 1
    if finished:
        hands.forget(session)
    hands.tell(AttemptCompleted(session.key, attempt.number, attempt.outcome, finished, attempt.report))


def on_attempt_completed(hands: SessionActions, session: Session) -> None:
    over(hands, session, False)


def end(hands: SessionActions, session: Session) -> None:
    """What stood is over at its server; its viewer is owed a release, unless it ended it itself."""
    assert session.attempt is not None
    if session.attempt.outcome is not Outcome.CALLED_OFF:
        cause = RELEASES.get(session.attempt.outcome, Cause.RESET)
        hands.to_viewer(session, release(session, cause))
    over(hands, session, True)


def release(session: Session, cause: Cause) -> bytes:
    fields = (("CSeq", "2"), ("Session", session.name), ("Reason", f"cause={int(cause)}"))
    return rtsp.request("TEARDOWN", f"rtsp://media/{session.title}", *fields)


def leave(hands: SessionActions, session: Session) -> None:
    """The viewer has ended what stood: its server must let go of it."""
    assert session.attempt is not None
    hands.to_server(session, isup.release(session.id, Cause.OK))
    session.attempt.outcome = Outcome.CALLED_OFF
    over(hands, session, True)


def give_up(hands: SessionActions, session: Session) -> None:
    """Nobody waits for the answer any more."""
    assert session.attempt is not None
    if session.attempt.link is not None:
        session.attempt.link.give_up(session)
    session.attempt.outcome = Outcome.CALLED_OFF
    hands.tell(ClientGone(session.key))
    over(hands, session, True)


def gone(hands: SessionActions, session: Session) -> None:
    hands.forget(session)
    hands.tell(ClientGone(session.key))


def reject_session(hands: SessionActions, session: Session) -> None:
    wait = (("Come-Back-Ms", str(max(1, session.wait_us // 1000))),) if session.wait_us else ()
    hands.answer(session, rtsp.answer(453, ("CSeq", session.cseq), ("Session", session.name), *wait))
    hands.forget(session)


def fail_session(hands: SessionActions, session: Session) -> None:
    hands.answer(session, rtsp.answer(500, ("CSeq", session.cseq), ("Session", session.name)))
    hands.forget(session)


def abandon(hands: SessionActions, session: Session) -> None:
    """Answered past the module, which may have failed on it and holds it still."""
    fail_session(hands, session)
    hands.tell(ClientGone(session.key))


def cut_short(hands: SessionActions, session: Session) -> None:
    """The node ends: one answer is owed all the same, and nobody can tell whether the join ran."""
    hands.answer(session, rtsp.answer(500, ("CSeq", session.cseq), ("Session", session.name)))
    give_up(hands, session)


def change_rung(hands: SessionActions, session: Session) -> None:
    hands.to_server(session, isup.message(Kind.RUNG, session.id, (Code.RUNG, b"%d" % (session.rung or 0))))


def move(hands: SessionActions, session: Session) -> None:
    fields = (("CSeq", "4"), ("Session", session.name))
    hands.to_viewer(session, rtsp.request("REDIRECT", f"rtsp://media/{session.title}", *fields))
    leave(hands, session)


TABLE: dict[tuple[SessionState, SessionEvent], tuple[SessionState, Effect]] = {
    (SessionState.OPEN, SessionEvent.JOIN): (SessionState.JOINING, carry),
    (SessionState.OPEN, SessionEvent.RUNG): (SessionState.OPEN, nothing),  # goes out with the set-up
    (SessionState.OPEN, SessionEvent.THROTTLE): (SessionState.OVER, reject_session),
    (SessionState.OPEN, SessionEvent.TERMINATE): (SessionState.OVER, fail_session),
    (SessionState.OPEN, SessionEvent.VIEWER_GONE): (SessionState.OVER, gone),
    (SessionState.JOINING, SessionEvent.ANSWERED): (SessionState.STANDING, start),
    (SessionState.JOINING, SessionEvent.ENDED): (SessionState.OPEN, on_attempt_completed),
    (SessionState.JOINING, SessionEvent.VIEWER_GONE): (SessionState.OVER, give_up),
    (SessionState.OPEN, SessionEvent.STOP): (SessionState.OVER, abandon),
    (SessionState.JOINING, SessionEvent.STOP): (SessionState.OVER, cut_short),
    (SessionState.STANDING, SessionEvent.RUNG): (SessionState.STANDING, change_rung),
    (SessionState.STANDING, SessionEvent.MOVE): (SessionState.OVER, move),
    (SessionState.STANDING, SessionEvent.ENDED): (SessionState.OVER, end),
    (SessionState.STANDING, SessionEvent.VIEWER_GONE): (SessionState.OVER, leave),
}
