"""Dispatch, timeout and completion of attempts to set sessions up at servers."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.interface import LoadReport, Outcome
from fennelcove.node import session_states
from fennelcove.node.model import Attempt, ConnectionState, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_pool import ServerPool
from fennelcove.node.session_states import SessionActions, SessionEvent

RunLocked = Callable[[Callable[[], None]], None]


class AttemptDispatcher:
    """Dispatches attempts on the pool's connections; used with the node's lock held."""

    def __init__(
        self, context: NodeContext, pool: ServerPool, actions: SessionActions, run_locked: RunLocked
    ) -> None:
        """Use the pool's connections; `run_locked` makes a call with the node's lock held."""
        self._context = context
        self._pool = pool
        self._actions = actions
        self._run_locked = run_locked

    def dispatch(self, session: Session) -> None:
        """Send the session's set-up on an idle connection or a new one; its timeout runs from now."""
        attempt = session.current_attempt
        if not self._start_timeout(session, attempt):
            # Without a timeout the attempt could outlast its client's own timeout.
            self.on_completed(session, Outcome.NOT_SENT, None)
            return
        idle = self._pool.find_idle(attempt.server, session)
        if idle:
            attempt.link = idle[-1]
            attempt.link.dispatch(session)
        elif self._pool.ensure_capacity():
            connection = attempt.link = self._pool.create(attempt.server)
            connection.dispatch(session)
            connection.start()
        else:
            self.on_completed(session, Outcome.NOT_SENT, None)

    def on_timeout(self, session: Session, attempt: Attempt) -> None:
        """Abandon an attempt that is still in flight, then notify the policy of its outcome."""
        link = attempt.link
        if session.attempt is not attempt or session.state is not SessionState.ATTEMPTING or link is None:
            return
        if link.state is ConnectionState.DIALLING:
            link.close(Outcome.NO_CONNECTION)
            return
        link.abandon(session)
        # After an answer that is missing or cut off, nothing that follows on the connection can be parsed.
        link.close(Outcome.NO_ANSWER)
        self.on_completed(session, Outcome.NO_ANSWER, None)

    def on_completed(self, session: Session, outcome: Outcome, report: LoadReport | None) -> None:
        """Record the outcome of an attempt, or of the session that it established."""
        if session.attempt is not None:
            session.attempt.outcome = outcome
            session.attempt.report = report
            session_states.apply_event(self._actions, session, SessionEvent.ATTEMPT_ENDED)

    def is_wanted(self, session: Session) -> bool:
        """Whether a set-up that waited for its connection is still to be sent; closes the session if not.

        The client may have closed just as the connection to the server opened, while its own thread still
        waits for the lock.
        """
        if session.client is None or not session.client.has_left():
            return True
        session_states.apply_event(self._actions, session, SessionEvent.CLIENT_GONE)
        return False

    def _start_timeout(self, session: Session, attempt: Attempt) -> bool:
        def on_timer() -> None:
            self._run_locked(lambda: self.on_timeout(session, attempt))

        return self._context.timers.after(attempt.timeout_us, on_timer)
