"""Asks servers and fronts for their load, and lets set-ups wait for the answers; takes the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session
from fennelcove.interface import Outcome, PeerMessage, ProbeCompleted, TimerFired, TimerName
from fennelcove.placement import PlacementPolicy


class ProbeSender(Protocol):
    """Asks servers for their load."""

    def ask(self, server: str) -> bool:
        """Start a probe of a server without waiting for it; return False where that is impossible."""


class PeerMessenger(Protocol):
    """Sends messages to other fronts."""

    def tell(self, front: int, said: PeerMessage) -> None:
        """Send a message, or lose it, without waiting."""


class ProbeCoordinator:
    """One front's requests for load, and the set-ups that wait for the answers.

    The owner assigns `probes` and `fronts` where they are configured, and `may_probe`, which acquires the
    quota of a probe.
    """

    def __init__(self, context: CoreContext, front: PlacementPolicy) -> None:
        self._context = context
        self._policy = front
        self._decided = threading.Condition(context.lock)
        self.probes: ProbeSender | None = None
        self.fronts: PeerMessenger | None = None
        self.may_probe: Callable[[], bool] = lambda: True

    def wait(self, session: Session) -> None:
        """Wait while the policy holds a set-up for answers; past its time it decides by what it knows."""
        policy_session = self._policy.sessions.get(session.id)
        while session.step is None and policy_session is not None:
            now_us = self._context.now_us()
            left_us = self._policy.poll_deadline_us(policy_session) - now_us
            if left_us <= 0:
                self._policy.handle(TimerFired(TimerName.HELD), self._context.now_us())
                return
            self._decided.wait(left_us / 1e6)

    def moved(self) -> None:
        """Wake the set-ups that wait, as the policy may have decided on one."""
        self._decided.notify_all()

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        self._context.tally("probes")
        if self.probes is None or not self.may_probe() or not self.probes.ask(server):
            # Reported later, as the policy is in the middle of handling an event.
            failed = ProbeCompleted(server, Outcome.NOT_SENT, 0, None)
            self._context.timers.after(0, lambda: self.probed(failed))

    def tell(self, front: int, said: PeerMessage) -> None:
        """Send a message to another front, or lose it."""
        self._context.tally("messages")
        if self.fronts is not None:
            self.fronts.tell(front, said)

    def probed(self, event: ProbeCompleted) -> None:
        """Handle the end of a probe."""
        with self._context.lock:
            self._context.tally(f"probes_{event.outcome.value}")
            self._policy.handle(event, self._context.now_us())
            self.moved()

    def peer_says(self, event: PeerMessage) -> None:
        """Handle another front's message."""
        with self._context.lock:
            self._context.tally("messages_heard")
            self._policy.handle(event, self._context.now_us())
            self.moved()
