"""What the decision module asks of the node: each of its effects as an input to the table of states."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from fennelcove.clock.timers import Timers
from fennelcove.interface import PeerMessage, TimerFired
from fennelcove.node import session_states
from fennelcove.node.model import Attempt, Server, Session
from fennelcove.node.session_states import SessionEvent, SessionActions


class Stock(SessionActions, Protocol):
    """What the node holds by the module's names, and what its wishes are carried out with."""

    sessions: dict[bytes, Session]
    servers: dict[str, Server]
    timers: Timers
    fetch: Callable[[], None]

    def due(self, call: Callable[[], None]) -> None: ...


class PolicyEffects:
    """The module's `Effects`; called with the desk's lock held."""

    def __init__(self, desk: Stock) -> None:
        self.desk = desk

    def _session(self, id: str) -> Session:
        return self.desk.sessions[bytes.fromhex(id)]

    def start_attempt(self, id: str, server: str, allow_us: int) -> None:
        session = self._session(id)
        session.attempt = Attempt(self.desk.servers[server], session.attempts, self.desk.now_us(), allow_us)
        session.attempts += 1
        session_states.apply_event(self.desk, session, SessionEvent.JOIN)

    def set_rung(self, id: str, rung: int) -> None:
        session = self._session(id)
        session.rung = rung
        session_states.apply_event(self.desk, session, SessionEvent.RUNG)

    def reject(self, id: str, wait_us: int) -> None:
        session = self._session(id)
        session.wait_us = wait_us
        session_states.apply_event(self.desk, session, SessionEvent.THROTTLE)

    def fail(self, id: str) -> None:
        session_states.apply_event(self.desk, self._session(id), SessionEvent.TERMINATE)

    def migrate(self, id: str) -> None:
        session_states.apply_event(self.desk, self._session(id), SessionEvent.MOVE)

    def set_timer(self, name: int, delay_us: int) -> None:
        desk = self.desk
        desk.timers.after(delay_us, lambda: desk.due(lambda: desk.tell(TimerFired(name))))

    def fetch_list(self) -> None:
        self.desk.fetch()

    def watch_list(self) -> None:
        """The board is always watched."""

    def probe(self, server: str) -> None:
        """This protocol's test shows a connection and no load: there is nothing to probe with."""

    def send_peer_message(self, front: int, said: PeerMessage) -> None:
        """Fronts of this protocol don't speak with each other."""
