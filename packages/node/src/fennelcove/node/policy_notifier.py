"""Delivers events to the placement policy, one at a time."""

from __future__ import annotations

from collections import deque

from fennelcove.interface import Event, Request
from fennelcove.node import session_states
from fennelcove.node.node_context import NodeContext
from fennelcove.node.session_states import SessionActions, SessionEvent
from fennelcove.placement import PlacementPolicy


class PolicyNotifier:
    """Queues events, so that the policy is not re-entered while it handles one; the node's lock is held."""

    def __init__(self, context: NodeContext, policy: PlacementPolicy, actions: SessionActions) -> None:
        """Start with an empty queue."""
        self._context = context
        self._policy = policy
        self._actions = actions
        self._events: deque[Event] = deque()
        self._is_delivering = False

    def notify(self, event: Event) -> None:
        """Deliver an event after those that are already queued."""
        self._events.append(event)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._events:
                self._deliver(self._events.popleft())
        finally:
            self._is_delivering = False

    def _deliver(self, event: Event) -> None:
        """Let the policy handle one event.

        The policy must not raise. If it does, the error is logged and all other sessions continue; a request
        that caused it is answered, since its client would wait indefinitely.
        """
        try:
            self._policy.handle(event, self._context.now_us())
        except Exception as error:  # noqa: BLE001 - a fault in the policy, logged and answered
            self._context.logger(
                "decision_failed", event_type=type(event).__name__, reason=f"{type(error).__name__}: {error}"
            )
            if isinstance(event, Request):
                self._abort(event)

    def _abort(self, request: Request) -> None:
        session = self._context.sessions.get(bytes.fromhex(request.id))
        if session is not None:
            session_states.apply_event(self._actions, session, SessionEvent.ABORTED)
