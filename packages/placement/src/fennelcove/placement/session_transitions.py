"""Lives: the table that moves subscriptions on, and the design's ordinary path to a join or an answer."""

from collections.abc import Callable

from fennelcove.placement import (attempts, bitrate_adaptation, health, observations, server_selection,
                                  utilization)
from fennelcove.placement.records import Session, SessionEvent, SessionState
from fennelcove.placement.state import PolicyState


def apply_event(state: PolicyState, session: Session, event: SessionEvent | None) -> None:
    while event is not None and (session.life, event) in TRANSITIONS:
        session.life, effect = row = TRANSITIONS[session.life, event]
        event = effect(state, session) if effect else None
        if row[0] is SessionState.ENDED:
            state.sessions.pop(session.id, None)


def place_session(state: PolicyState, session: Session) -> SessionEvent | None:
    replicas = [server for cell in session.cells for server in state.replicas.get(cell, ())
               if attempts.may_use_server(state, session, server)] if attempts.may_attempt(state,
                   session) else []
    # Where every holder looks ill, trying one beats turning the viewer away for certain.
    replicas = [s for s in replicas if health.is_well(state, s)] or replicas
    utilization.update_residuals(state, replicas)
    if observations.poll_peers_first(state, session, replicas):
        return None
    if (found := server_selection.choose_server_and_rung(state, session,
                                                         bitrate_adaptation.rationed_top_rung(state, session,
        replicas), replicas)) is None:
        return SessionEvent.NO_ROOM if attempts.may_reject(state, session) else SessionEvent.STUCK
    attempts.send_attempt(state, session, *found)
    return SessionEvent.PLACED


def reject_session(state: PolicyState, session: Session) -> None:
    state.effects.reject(session.id, state.settings.retry_after_us or 0)


def fail_session(state: PolicyState, session: Session) -> None:
    state.effects.fail(session.id)


TRANSITIONS: dict[tuple[SessionState, SessionEvent],
                  tuple[SessionState, Callable[[PolicyState, Session], SessionEvent | None] | None]] = {
    (SessionState.WAITING, SessionEvent.TRY): (SessionState.WAITING, place_session),
                      (SessionState.WAITING, SessionEvent.PLACED): (SessionState.JOINING, None),
    (SessionState.WAITING, SessionEvent.NO_ROOM): (SessionState.ENDED, reject_session),
                      (SessionState.WAITING, SessionEvent.STUCK): (SessionState.ENDED, fail_session),
    (SessionState.WAITING, SessionEvent.CLIENT_GONE): (SessionState.ENDED, None),
                      (SessionState.JOINING, SessionEvent.STARTED): (SessionState.PLAYING, None),
    (SessionState.JOINING, SessionEvent.FAILED): (SessionState.WAITING, place_session),
                      (SessionState.JOINING, SessionEvent.FINISHED): (SessionState.ENDED, None),
    (SessionState.JOINING, SessionEvent.CLIENT_GONE): (SessionState.ABANDONED, None),
                      **{(life, event): (SessionState.ENDED, None)
       for life in (SessionState.ABANDONED, SessionState.PLAYING) for event in (SessionEvent.FAILED,
                      SessionEvent.FINISHED)}, }
