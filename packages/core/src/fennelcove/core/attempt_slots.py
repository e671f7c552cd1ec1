"""Concurrency slots for attempts, if the settings share them among tenants."""

from __future__ import annotations

from fennelcove.core.requests import NextStep, Session, SessionStateError, WaitForSlot
from fennelcove.core.slot_scheduler import SlotScheduler
from fennelcove.fair_queueing.waiter import WaiterEvent
from fennelcove.interface import Outcome, Request


class AttemptSlots:
    """Access to the slot scheduler; without a scheduler every attempt may start at once."""

    def __init__(self) -> None:
        self.scheduler: SlotScheduler | None = None

    def enqueue(self, session: Session, request: Request) -> bool:
        """Queue a request for a slot; return False if slots are not scheduled."""
        if self.scheduler is None:
            return False
        self.scheduler.admit(session, request)
        return True

    def acquire(self, session: Session, server: str, attempt: int) -> bool:
        """Acquire a slot for an attempt; return False if the server has none free."""
        return self.scheduler is None or self.scheduler.try_acquire(session, server, attempt)

    def release(self, session: Session, attempt: int, outcome: Outcome) -> None:
        """Release the slot of an attempt that has ended."""
        if self.scheduler is not None:
            self.scheduler.release(session, attempt, outcome)

    def assign_free_slots(self) -> None:
        """Assign free slots to waiting requests."""
        if self.scheduler is not None:
            self.scheduler.assign_free_slots()

    def is_waiting(self, session: Session) -> bool:
        """Return whether a session without a suitable server waits for a slot instead of being rejected."""
        return self.scheduler is not None and self.scheduler.waits_for_other_servers(session)

    def on_wait_ended(self, step: WaitForSlot, event: WaiterEvent | None) -> NextStep | None:
        """Handle the end of a wait, by its wake-up or by the event given; return the next step.

        Raises:
            SessionStateError: Slots are not scheduled, so no request can wait for one.
        """
        if self.scheduler is None:
            raise SessionStateError(f"session {step.session.id} waits for a slot, but none are scheduled")
        return self.scheduler.end_wait(step, event)

    def discard(self, session: Session) -> None:
        """Remove a session whose processing failed and release its slots."""
        if self.scheduler is not None:
            self.scheduler.discard(session)

    def on_session_closed(self, session: Session) -> None:
        """Remove the session's request from the queue."""
        if self.scheduler is not None:
            self.scheduler.on_set_up_ended(session)
