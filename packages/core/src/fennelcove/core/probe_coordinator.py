"""Probes servers and fronts for their load while set-ups wait; acquires the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session
from fennelcove.interface import Outcome, PeerMessage, ProbeCompleted, TimerFired, TimerName
from fennelcove.placement import PlacementPolicy


class ProbeSender(Protocol):
    """Sends probes to servers."""

    def start_probe(self, server: str) -> bool:
        """Start a probe of a server without waiting for it; return False if it cannot be started."""


class PeerMessenger(Protocol):
    """Sends messages to other fronts."""

    def send_message(self, front: int, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""


class ProbeCoordinator:
    """One front's requests for load, and the set-ups that wait for the answers.

    The owner assigns `probe_sender` and `peer_messenger` if they are configured, and `may_probe`, which
    acquires quota for a probe.
    """

    def __init__(self, context: CoreContext, policy: PlacementPolicy) -> None:
        self._context = context
        self._policy = policy
        self._decided = threading.Condition(context.lock)
        self.probe_sender: ProbeSender | None = None
        self.peer_messenger: PeerMessenger | None = None
        self.may_probe: Callable[[], bool] = lambda: True

    def wait_for_decision(self, session: Session) -> None:
        """Wait while the policy waits for answers; at its deadline it decides by what it has received."""
        policy_session = self._policy.sessions.get(session.id)
        while session.next_step is None and policy_session is not None:
            now_us = self._context.now_us()
            left_us = self._policy.poll_deadline_us(policy_session) - now_us
            if left_us <= 0:
                self._policy.handle(TimerFired(TimerName.POLL_DEADLINE), self._context.now_us())
                return
            self._decided.wait(left_us / 1e6)

    def wake_waiting(self) -> None:
        """Wake the waiting set-ups, as the policy may have decided on one of them."""
        self._decided.notify_all()

    def probe(self, server: str) -> None:
        """Request a server's load."""
        self._context.increment("probes")
        if self.probe_sender is None or not self.may_probe() or not self.probe_sender.start_probe(server):
            # Reported from a timer, as the policy is still handling the event that led here.
            failed = ProbeCompleted(server, Outcome.NOT_SENT, 0, None)
            self._context.timers.after(0, lambda: self.on_probe_completed(failed))

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Send a message to another front; it may be lost."""
        self._context.increment("messages")
        if self.peer_messenger is not None:
            self.peer_messenger.send_message(front, message)

    def on_probe_completed(self, event: ProbeCompleted) -> None:
        """Handle the end of a probe."""
        with self._context.lock:
            self._context.increment(f"probes_{event.outcome.value}")
            self._policy.handle(event, self._context.now_us())
            self.wake_waiting()

    def on_peer_message(self, event: PeerMessage) -> None:
        """Handle another front's message."""
        with self._context.lock:
            self._context.increment("messages_heard")
            self._policy.handle(event, self._context.now_us())
            self.wake_waiting()
