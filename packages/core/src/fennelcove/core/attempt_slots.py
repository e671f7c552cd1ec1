"""Concurrency slots for attempts, where the settings share them among tenants."""

from __future__ import annotations

from fennelcove.core.requests import NextStep, Session, SessionStateError, WaitForSlot
from fennelcove.core.slot_scheduler import SlotScheduler
from fennelcove.fair_queueing.waiter import WaiterEvent
from fennelcove.interface import Outcome, Request


class AttemptSlots:
    """The slot scheduler, or none: without one every attempt may start at once."""

    def __init__(self) -> None:
        self.scheduler: SlotScheduler | None = None

    def enqueue(self, session: Session, request: Request) -> bool:
        """Let a request wait for its slot; False where slots are not scheduled."""
        if self.scheduler is None:
            return False
        self.scheduler.admit(session, request)
        return True

    def acquire(self, session: Session, server: str, attempt: int) -> bool:
        """Take a slot for an attempt; False where the server has none free."""
        return self.scheduler is None or self.scheduler.try_acquire(session, server, attempt)

    def release(self, session: Session, attempt: int, outcome: Outcome) -> None:
        """Return the slot of an attempt that has ended."""
        if self.scheduler is not None:
            self.scheduler.release(session, attempt, outcome)

    def assign_free_slots(self) -> None:
        """Start the requests for which slots are free now."""
        if self.scheduler is not None:
            self.scheduler.assign_free_slots()

    def is_waiting(self, session: Session) -> bool:
        """Whether a session that found no server waits for a slot instead of being rejected."""
        return self.scheduler is not None and self.scheduler.waits_for_other_servers(session)

    def on_wait_ended(self, step: WaitForSlot, event: WaiterEvent | None) -> NextStep | None:
        """A request was woken, or waits no longer for the reason given; what to do next.

        Raises:
            SessionStateError: slots are not scheduled, so that nothing can wait for them.
        """
        if self.scheduler is None:
            raise SessionStateError(f"session {step.session.id} waits for a slot, but none are scheduled")
        return self.scheduler.end_wait(step, event)

    def discard(self, session: Session) -> None:
        """Remove a session that failed, together with its slots."""
        if self.scheduler is not None:
            self.scheduler.discard(session)

    def on_session_closed(self, session: Session) -> None:
        """Remove the session's request from the queue."""
        if self.scheduler is not None:
            self.scheduler.on_set_up_ended(session)
