"""Session state machine, and the steps that lead from a request to an attempt or an answer."""

from fennelcove.placement import attempts, bitrate_adaptation, health, load_polling, server_selection
from fennelcove.placement.records import Session, SessionAction, SessionEvent, SessionState
from fennelcove.placement.state import PolicyState
from fennelcove.state_machine import Transition, TransitionTable


def apply_event(state: PolicyState, session: Session, event: SessionEvent | None) -> None:
    """Apply an event, then those that its actions return; an event without a transition is ignored."""
    while event is not None and (transition := TRANSITIONS.find(session.state, event)) is not None:
        session.state, event = transition.state, None
        for action in transition.actions:
            event = action(state, session)
        if transition.state is SessionState.ENDED:
            state.sessions.pop(session.id, None)


def place_session(state: PolicyState, session: Session) -> SessionEvent | None:
    """Choose a server and a rung and send an attempt, unless loads are polled first.

    Returns:
        The next event of the session; None while it waits for polled loads.
    """
    cells = session.cells if attempts.may_attempt(state, session) else ()
    replicas = [
        server
        for cell in cells
        for server in state.replicas.get(cell, ())
        if attempts.may_use_server(state, session, server)
    ]
    # If no replica is healthy, any may be tried.
    replicas = [server for server in replicas if health.is_healthy(state, server)] or replicas
    server_selection.update_residuals(state, replicas)
    if load_polling.poll_before_placement(state, session, replicas):
        return None
    top_rung = bitrate_adaptation.initial_top_rung(state, session, replicas)
    placement = server_selection.choose_placement(state, session, top_rung, replicas)
    if placement is None:
        return SessionEvent.NO_ROOM if attempts.may_reject(state, session) else SessionEvent.STUCK
    attempts.send_attempt(state, session, placement.server, placement.rung)
    return SessionEvent.PLACED


def reject_session(state: PolicyState, session: Session) -> None:
    """Reject the request with the longest Retry-After that is allowed."""
    state.effects.reject(session.id, state.settings.retry_after_us or 0)


def fail_session(state: PolicyState, session: Session) -> None:
    """Answer the request with an error, since a rejection is not safe."""
    state.effects.fail(session.id)


TRANSITIONS: TransitionTable[SessionState, SessionEvent, SessionAction] = TransitionTable(
    {
        (SessionState.WAITING, SessionEvent.TRY): Transition(SessionState.WAITING, (place_session,)),
        (SessionState.WAITING, SessionEvent.PLACED): Transition(SessionState.JOINING),
        (SessionState.WAITING, SessionEvent.NO_ROOM): Transition(SessionState.ENDED, (reject_session,)),
        (SessionState.WAITING, SessionEvent.STUCK): Transition(SessionState.ENDED, (fail_session,)),
        (SessionState.WAITING, SessionEvent.CLIENT_GONE): Transition(SessionState.ENDED),
        (SessionState.JOINING, SessionEvent.STARTED): Transition(SessionState.PLAYING),
        (SessionState.JOINING, SessionEvent.FAILED): Transition(SessionState.WAITING, (place_session,)),
        (SessionState.JOINING, SessionEvent.FINISHED): Transition(SessionState.ENDED),
        (SessionState.JOINING, SessionEvent.CLIENT_GONE): Transition(SessionState.ABANDONED),
        **{
            (status, event): Transition(SessionState.ENDED)
            for status in (SessionState.ABANDONED, SessionState.PLAYING)
            for event in (SessionEvent.FAILED, SessionEvent.FINISHED)
        },
    }
)
