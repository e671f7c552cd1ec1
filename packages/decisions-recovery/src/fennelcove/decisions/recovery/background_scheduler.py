"""Which background work runs when: priorities, deadlines, and a bound on what all of it takes.

Sweeps, memories and certificates share one thread. Each task has a pace and a time by which it must have run.
Until then it waits for the budget, a share of the time that passes; past it, it runs whatever the budget
says, and the others wait for what that cost. So a bound holds on the whole, and nothing starves.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

TIME_SHARE = 0.1  # of the time: what background work may take from those who answer viewers
MAX_SAVED_US = 50_000  # the most that is saved up while nothing is due
MAX_DEBT_US = 1_000_000  # the most that is owed: a task that hung once must not stop the rest for long
RUN_TIME_SMOOTHING = 8
MAX_WAIT_US = 60_000_000


class TaskPriority(IntEnum):
    """Of two tasks that may run, the lower number goes first."""

    VIEWERS = 0  # what somebody waits for
    MEMORY = 1
    HOUSEKEEPING = 2


@dataclass(slots=True, eq=False)
class BackgroundTask:
    """Work that comes again; times in microseconds."""

    name: str
    priority: TaskPriority
    interval_us: int
    max_delay_us: int  # past its time by so much it runs whatever the budget says
    due_us: int = 0
    usual_us: float = 0.0  # what a run takes
    runs: int = 0
    skipped: int = 0  # times it was due again before it had run
    latest_us: int = 0  # how late it began at worst


@dataclass(frozen=True, slots=True)
class ScheduledTask:
    """A task to run now, or how long to wait."""

    task: BackgroundTask | None
    wait_us: int = 0


class BackgroundScheduler:
    """All tasks of one thread; the caller hands in the time."""

    def __init__(self, now_us: int, share: float = TIME_SHARE) -> None:
        self.time_share = share
        self.tasks: list[BackgroundTask] = []
        self.budget_us = float(MAX_SAVED_US)
        self.accrued_at_us = now_us

    def add(self, task: BackgroundTask, now_us: int) -> None:
        """One more; first due at once."""
        task.due_us = now_us
        self.tasks.append(task)

    def _accrue(self, now_us: int) -> None:
        passed = max(0, now_us - self.accrued_at_us)
        self.accrued_at_us = max(now_us, self.accrued_at_us)
        self.budget_us = min(float(MAX_SAVED_US), self.budget_us + passed * self.time_share)

    def pick(self, now_us: int) -> ScheduledTask:
        """What to do now."""
        self._accrue(now_us)
        due = [task for task in self.tasks if task.due_us <= now_us]
        late = [task for task in due if now_us >= task.due_us + task.max_delay_us]
        if late:
            return ScheduledTask(min(late, key=lambda task: (task.due_us + task.max_delay_us, task.priority)))
        fitting = [task for task in due if task.usual_us <= self.budget_us]
        if fitting:
            return ScheduledTask(min(fitting, key=lambda task: (task.priority, task.due_us)))
        return ScheduledTask(None, self._wait_us(due, now_us))

    def _wait_us(self, due: list[BackgroundTask], now_us: int) -> int:
        waits = [task.due_us - now_us for task in self.tasks if task.due_us > now_us]
        waits += [task.due_us + task.max_delay_us - now_us for task in due]
        if self.time_share > 0:
            waits += [round((task.usual_us - self.budget_us) / self.time_share) + 1 for task in due]
        return max(1, min([*waits, MAX_WAIT_US]))

    def over(self, task: BackgroundTask, began_us: int, now_us: int) -> None:
        """A run has ended. What was due again meanwhile is skipped: catching up would make it worse."""
        self._accrue(now_us)
        took_us = max(0, now_us - began_us)
        self.budget_us = max(-float(MAX_DEBT_US), self.budget_us - took_us)
        task.usual_us += (took_us - task.usual_us) / (RUN_TIME_SMOOTHING if task.runs else 1)
        task.runs += 1
        task.latest_us = max(task.latest_us, began_us - task.due_us)
        missed = max(0, (now_us - task.due_us) // task.interval_us)
        task.skipped += max(0, missed - 1)
        task.due_us = max(task.due_us + task.interval_us, began_us + task.interval_us)
