"""Applies the placement policy's effects: most become events of a session's state machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from fennelcove.clock.timers import Timers
from fennelcove.interface import PeerMessage, TimerFired
from fennelcove.node import session_states
from fennelcove.node.model import Attempt, Server, Session
from fennelcove.node.session_states import SessionActions, SessionEvent


class EffectTarget(SessionActions, Protocol):
    """The node, as the placement policy's effects use it."""

    sessions: dict[bytes, Session]
    servers: dict[str, Server]
    timers: Timers
    request_full_list: Callable[[], None]  # requests a full update of the server list

    def run_locked(self, call: Callable[[], None]) -> None:
        """Make a call with the node's lock held."""
        ...


class PolicyEffects:
    """Implements `Effects` of the placement policy; called with the node's lock held."""

    def __init__(self, target: EffectTarget) -> None:
        self._target = target

    def start_attempt(self, id: str, server: str, timeout_us: int) -> None:
        """Start an attempt to set the session up at this server."""
        target = self._target
        session = self._session(id)
        session.attempt = Attempt(target.servers[server], session.attempts, target.now_us(), timeout_us)
        session.attempts += 1
        session_states.apply_event(target, session, SessionEvent.ATTEMPT_STARTED)

    def set_rung(self, id: str, rung: int) -> None:
        """Change the session's rung of the bitrate ladder."""
        session = self._session(id)
        session.rung = rung
        session_states.apply_event(self._target, session, SessionEvent.RUNG_CHANGED)

    def reject(self, id: str, retry_after_us: int) -> None:
        """Reject the session, to be retried after `retry_after_us`; 0 sends no delay."""
        session = self._session(id)
        session.retry_after_us = retry_after_us
        session_states.apply_event(self._target, session, SessionEvent.REJECTED)

    def fail(self, id: str) -> None:
        """Answer the session's set-up request with an error."""
        session_states.apply_event(self._target, self._session(id), SessionEvent.FAILED)

    def migrate(self, id: str) -> None:
        """Redirect the client to set the session up again, and release it here."""
        session_states.apply_event(self._target, self._session(id), SessionEvent.MIGRATED)

    def set_timer(self, name: int, delay_us: int) -> None:
        """Deliver `TimerFired` to the policy after a delay."""
        target = self._target
        target.timers.after(
            delay_us, lambda: target.run_locked(lambda: target.notify_policy(TimerFired(name)))
        )

    def fetch_list(self) -> None:
        """Request a full update of the server list."""
        self._target.request_full_list()

    def watch_list(self) -> None:
        """Do nothing: the discovery client always watches the list."""

    def probe(self, server: str) -> None:
        """Do nothing: a probe of this protocol checks the connection only and reports no load."""

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Do nothing: fronts exchange no messages on this protocol."""

    def _session(self, id: str) -> Session:
        return self._target.sessions[bytes.fromhex(id)]
