"""The core's part that asks boxes and fronts for news and lets a set-up wait for it; the core's lock is round
it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session
from fennelcove.interface import Outcome, PeerMessage, ProbeCompleted, TimerFired, TimerName
from fennelcove.placement import PlacementPolicy


class ProbeSender(Protocol):
    """What asks boxes for their load."""

    def ask(self, server: str) -> bool: ...


class PeerMessenger(Protocol):
    """What carries messages to other fronts."""

    def tell(self, front: int, said: PeerMessage) -> None: ...


class ProbeCoordinator:
    """One front's questions, and who waits for the answers. Attach `probes` and `fronts` where configured."""

    def __init__(self, context: CoreContext, front: PlacementPolicy) -> None:
        self.context = context
        self.front = front
        self.decided = threading.Condition(context.lock)
        self.probes: ProbeSender | None = None
        self.fronts: PeerMessenger | None = None
        self.may_probe: Callable[[], bool] = lambda: True

    def wait(self, session: Session) -> None:
        """The module may hold a request while it asks; past its time it decides by what it knows."""
        clock, front = self.context.clock, self.front
        policy_session = front.sessions.get(session.id)
        while session.step is None and policy_session is not None:
            left_us = front.poll_deadline_us(policy_session) - clock.now_us()
            if left_us <= 0:
                front.handle(TimerFired(TimerName.HELD), clock.now_us())
                return
            self.decided.wait(left_us / 1e6)

    def moved(self) -> None:
        """Something was decided that a set-up may wait for."""
        self.decided.notify_all()

    def probe(self, server: str) -> None:
        """Ask this box for its load."""
        self.context.tally("probes")
        if self.probes is None or not self.may_probe() or not self.probes.ask(server):
            # Told later: the module is in the middle of a step.
            failed = ProbeCompleted(server, Outcome.NOT_SENT, 0, None)
            self.context.timers.after(0, lambda: self.probed(failed))

    def tell(self, front: int, said: PeerMessage) -> None:
        """Say this to another front, or lose it."""
        self.context.tally("messages")
        if self.fronts is not None:
            self.fronts.tell(front, said)

    def probed(self, event: ProbeCompleted) -> None:
        """A probe is over."""
        with self.context.lock:
            self.context.tally(f"probes_{event.outcome.value}")
            self.front.handle(event, self.context.now_us())
            self.moved()

    def peer_says(self, event: PeerMessage) -> None:
        """Another front's message has come."""
        with self.context.lock:
            self.context.tally("messages_heard")
            self.front.handle(event, self.context.now_us())
            self.moved()
