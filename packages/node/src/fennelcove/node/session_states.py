"""The state machine of a session: its transitions, and the actions carried out on each of them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from fennelcove.interface import AttemptCompleted, ClientGone, Event, Outcome, SessionStarted
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.node.metrics import Metric, NodeMetrics
from fennelcove.node.model import Session, SessionState
from fennelcove.rtsp import writer as rtsp
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

STATUS_OK = 200
STATUS_REJECTED = 453
STATUS_FAILED = 500
RETRY_AFTER_FIELD = "Come-Back-Ms"
TEARDOWN_CSEQ = "2"
REDIRECT_CSEQ = "4"
# Outcomes that prove that no server has executed the attempt.
NOT_EXECUTED_OUTCOMES = frozenset({Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT})
# The release cause sent to the client, by the outcome of its session; any other outcome is sent as a reset.
RELEASE_CAUSES = {Outcome.SERVED: Cause.OK}


class SessionEvent(Enum):
    """Events of a session's state machine."""

    ATTEMPT_STARTED = auto()
    SETUP_ANSWERED = auto()
    ATTEMPT_ENDED = auto()  # the attempt has failed, or its established session has ended
    REJECTED = auto()
    FAILED = auto()
    RUNG_CHANGED = auto()
    MIGRATED = auto()
    CLIENT_GONE = auto()
    ABORTED = auto()  # the node itself ends it: at shutdown, a deadline, a close, or a fault of the policy


class Guard(Protocol):
    """The invariants that transitions check; `session_guard` implements them."""

    def may_answer(self, session: Session) -> bool:
        """Whether the set-up request may be answered."""
        ...

    def may_reject(self, session: Session) -> bool:
        """Whether the answer may state that a retry is safe."""
        ...


class SessionActions(Protocol):
    """The operations that transitions perform on the node; called with the node's lock held."""

    metrics: NodeMetrics

    @property
    def guard(self) -> Guard:
        """The guard of sessions' invariants."""
        ...

    def now_us(self) -> int:
        """The Unix time in microseconds; monotonic."""
        ...

    def notify_policy(self, event: Event) -> None:
        """Notify the placement policy."""
        ...

    def dispatch_attempt(self, session: Session) -> None:
        """Dispatch the session's current attempt."""
        ...

    def answer_setup(self, session: Session, data: bytes) -> bool:
        """Answer the set-up request; False if the answer could not be delivered in full."""
        ...

    def send_to_client(self, session: Session, data: bytes) -> None:
        """Send to the client on any of its connections, or queue for its next one."""
        ...

    def send_to_server(self, session: Session, data: bytes) -> None:
        """Send to the session's server on an open connection, or queue for its next one."""
        ...

    def forget_session(self, session: Session) -> None:
        """Remove the session from every table."""
        ...

    def drop_description(self, session: Session) -> None:
        """Drop the description of a set-up request that needs no further attempt."""
        ...

    def remember_abandoned(self, session: Session) -> None:
        """Remember the session's id, so that it is not executed again."""
        ...


Action = Callable[[SessionActions, Session], None]


def apply_event(actions: SessionActions, session: Session, event: SessionEvent) -> bool:
    """Apply an event to a session and carry out the actions of the transition.

    Returns:
        False if the state has no transition for the event, as when the event crosses the session's end.
    """
    transition = TRANSITIONS.find(session.state, event)
    if transition is None:
        return False
    session.state = transition.state
    actions.metrics.record_transition(session.id, event.name, transition.state.name)
    for action in transition.actions:
        action(actions, session)
    return True


def release_message(session: Session, cause: Cause) -> bytes:
    """Encode the message that notifies a client of its session's end."""
    return rtsp.request(
        "TEARDOWN",
        f"rtsp://media/{session.title}",
        ("CSeq", TEARDOWN_CSEQ),
        ("Session", session.name),
        ("Reason", f"cause={int(cause)}"),
    )


def retry_after_fields(retry_after_us: int) -> tuple[tuple[str, str], ...]:
    """The header field that asks a client to retry later; empty if the delay is 0."""
    if not retry_after_us:
        return ()
    return ((RETRY_AFTER_FIELD, str(max(1, retry_after_us // 1000))),)


def _dispatch_attempt(actions: SessionActions, session: Session) -> None:
    if session.client is not None and session.client.has_left():
        # The client has closed, but its thread has not read that yet: it may wait for the lock for long.
        apply_event(actions, session, SessionEvent.CLIENT_GONE)
    else:
        actions.dispatch_attempt(session)


def _establish(actions: SessionActions, session: Session) -> None:
    """Pass the server's description on to the client unchanged."""
    attempt = session.current_attempt
    is_delivered = _answer(actions, session, STATUS_OK, body=session.answer)
    if session.client is not None:
        session.client.open_sessions.pop(session, None)
        session.client.established_sessions[session] = None
    actions.drop_description(session)
    session.answer = b""
    attempt.link = None
    attempt.server.established[session] = None
    actions.notify_policy(SessionStarted(session.key, attempt.number, actions.now_us() - attempt.sent_us))
    if not is_delivered:
        # The connection broke before the answer was delivered: the session would load the server unused.
        apply_event(actions, session, SessionEvent.CLIENT_GONE)


def _on_attempt_failed(actions: SessionActions, session: Session) -> None:
    _complete_attempt(actions, session, is_finished=False)


def _on_session_ended(actions: SessionActions, session: Session) -> None:
    """Close a session that has ended at its server; notify the client unless the client ended it."""
    outcome = session.current_attempt.outcome
    if outcome is not Outcome.CANCELLED:
        cause = RELEASE_CAUSES.get(outcome, Cause.RESET)
        actions.send_to_client(session, release_message(session, cause))
    _complete_attempt(actions, session, is_finished=True)


def _remember_if_executed(actions: SessionActions, session: Session) -> None:
    """Remember the id of a session whose client has left, if a server may have executed it."""
    may_have_run = session.may_have_run or (session.attempt is not None and session.attempt.is_sent)
    if may_have_run and (session.client is None or session.client.has_left()):
        actions.remember_abandoned(session)


def _release_at_server(actions: SessionActions, session: Session) -> None:
    """Release an established session at its server: the client has ended it, or it migrates."""
    actions.send_to_server(session, isup.release(session.id, Cause.OK))
    session.current_attempt.outcome = Outcome.CANCELLED
    _complete_attempt(actions, session, is_finished=True)


def _abandon_attempt(actions: SessionActions, session: Session) -> None:
    """Abandon the attempt in flight: its set-up request was answered or its client has gone."""
    attempt = session.current_attempt
    if attempt.link is not None:
        attempt.link.abandon(session)
    attempt.outcome = Outcome.CANCELLED
    actions.notify_policy(ClientGone(session.key))
    _complete_attempt(actions, session, is_finished=True)


def _forget_pending(actions: SessionActions, session: Session) -> None:
    actions.forget_session(session)
    actions.notify_policy(ClientGone(session.key))


def _reject(actions: SessionActions, session: Session) -> None:
    if actions.guard.may_reject(session):
        _answer(actions, session, STATUS_REJECTED, *retry_after_fields(session.retry_after_us))
    else:
        _answer(actions, session, STATUS_FAILED)
    actions.forget_session(session)


def _fail(actions: SessionActions, session: Session) -> None:
    _answer(actions, session, STATUS_FAILED)
    actions.forget_session(session)


def _abort_pending(actions: SessionActions, session: Session) -> None:
    """Answer without the placement policy, which may have failed while it handled the session."""
    _fail(actions, session)
    actions.notify_policy(ClientGone(session.key))


def _abort_attempt(actions: SessionActions, session: Session) -> None:
    """Answer with a failure: it is unknown whether the server executes the attempt in flight."""
    _answer(actions, session, STATUS_FAILED)
    _abandon_attempt(actions, session)


def _send_rung(actions: SessionActions, session: Session) -> None:
    rung = b"%d" % (session.rung or 0)
    actions.send_to_server(session, isup.message(MessageKind.RUNG, session.id, (Parameter.RUNG, rung)))


def _migrate(actions: SessionActions, session: Session) -> None:
    """Ask the client to set the session up again, and release the current one."""
    fields = (("CSeq", REDIRECT_CSEQ), ("Session", session.name))
    actions.send_to_client(session, rtsp.request("REDIRECT", f"rtsp://media/{session.title}", *fields))
    _release_at_server(actions, session)


def _complete_attempt(actions: SessionActions, session: Session, *, is_finished: bool) -> None:
    attempt = session.current_attempt
    attempt.link = None
    session.may_have_run |= attempt.outcome not in NOT_EXECUTED_OUTCOMES
    attempt.server.outcome_counts[attempt.outcome] += 1
    actions.metrics.count(Metric.ATTEMPT, attempt.outcome.name)
    if is_finished:
        actions.forget_session(session)
    actions.notify_policy(
        AttemptCompleted(session.key, attempt.number, attempt.outcome, is_finished, attempt.report)
    )


def _answer(
    actions: SessionActions, session: Session, status: int, *fields: tuple[str, str], body: bytes = b""
) -> bool:
    """Answer the set-up request; False if the answer could not be delivered in full."""
    if not actions.guard.may_answer(session):
        return False
    session.is_answered = True
    data = rtsp.response(status, ("CSeq", session.cseq), ("Session", session.name), *fields, body=body)
    is_delivered = actions.answer_setup(session, data)
    actions.metrics.count(Metric.ANSWER if is_delivered else Metric.UNDELIVERED_ANSWER, str(status))
    return is_delivered


def _transition_to(state: SessionState, *actions: Action) -> Transition[SessionState, Action]:
    return Transition(state, actions)


TRANSITIONS = TransitionTable[SessionState, SessionEvent, Action](
    {
        (SessionState.PENDING, SessionEvent.ATTEMPT_STARTED): _transition_to(
            SessionState.ATTEMPTING, _dispatch_attempt
        ),
        # The rung is sent with the set-up request.
        (SessionState.PENDING, SessionEvent.RUNG_CHANGED): _transition_to(SessionState.PENDING),
        (SessionState.PENDING, SessionEvent.REJECTED): _transition_to(SessionState.CLOSED, _reject),
        (SessionState.PENDING, SessionEvent.FAILED): _transition_to(SessionState.CLOSED, _fail),
        (SessionState.PENDING, SessionEvent.CLIENT_GONE): _transition_to(
            SessionState.CLOSED, _remember_if_executed, _forget_pending
        ),
        (SessionState.PENDING, SessionEvent.ABORTED): _transition_to(SessionState.CLOSED, _abort_pending),
        (SessionState.ATTEMPTING, SessionEvent.SETUP_ANSWERED): _transition_to(
            SessionState.ESTABLISHED, _establish
        ),
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_ENDED): _transition_to(
            SessionState.PENDING, _on_attempt_failed
        ),
        (SessionState.ATTEMPTING, SessionEvent.CLIENT_GONE): _transition_to(
            SessionState.CLOSED, _remember_if_executed, _abandon_attempt
        ),
        (SessionState.ATTEMPTING, SessionEvent.ABORTED): _transition_to(SessionState.CLOSED, _abort_attempt),
        (SessionState.ESTABLISHED, SessionEvent.RUNG_CHANGED): _transition_to(
            SessionState.ESTABLISHED, _send_rung
        ),
        (SessionState.ESTABLISHED, SessionEvent.MIGRATED): _transition_to(SessionState.CLOSED, _migrate),
        (SessionState.ESTABLISHED, SessionEvent.ATTEMPT_ENDED): _transition_to(
            SessionState.CLOSED, _remember_if_executed, _on_session_ended
        ),
        (SessionState.ESTABLISHED, SessionEvent.CLIENT_GONE): _transition_to(
            SessionState.CLOSED, _remember_if_executed, _release_at_server
        ),
    },
    unlisted=Unlisted.IGNORE,
)
