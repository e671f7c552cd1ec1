"""Which background work runs when: priorities, deadlines, and a bound on what all of it takes.

Sweeps, memories and certificates share one thread. Each task has a pace and a time by which it must have run.
Until then it waits for the budget, a share of the time that passes; past it, it runs whatever the budget
says, and the others wait for what that cost. So a bound holds on the whole, and nothing starves.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SHARE = 0.1  # of the time: what background work may take from those who answer viewers
SAVED_US = 50_000  # the most that is saved up while nothing is due
DEBT_US = 1_000_000  # the most that is owed: a task that hung once must not stop the rest for long
SMOOTHING = 8
LONGEST_WAIT_US = 60_000_000


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
    every_us: int
    late_us: int  # past its time by so much it runs whatever the budget says
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

    def __init__(self, now_us: int, share: float = SHARE) -> None:
        self.share = share
        self.tasks: list[BackgroundTask] = []
        self.level_us = float(SAVED_US)
        self.at_us = now_us

    def add(self, task: BackgroundTask, now_us: int) -> None:
        """One more; first due at once."""
        task.due_us = now_us
        self.tasks.append(task)

    def _fill(self, now_us: int) -> None:
        passed = max(0, now_us - self.at_us)
        self.at_us = max(now_us, self.at_us)
        self.level_us = min(float(SAVED_US), self.level_us + passed * self.share)

    def pick(self, now_us: int) -> ScheduledTask:
        """What to do now."""
        self._fill(now_us)
        due = [task for task in self.tasks if task.due_us <= now_us]
        late = [task for task in due if now_us >= task.due_us + task.late_us]
        if late:
            return ScheduledTask(min(late, key=lambda task: (task.due_us + task.late_us, task.priority)))
        fitting = [task for task in due if task.usual_us <= self.level_us]
        if fitting:
            return ScheduledTask(min(fitting, key=lambda task: (task.priority, task.due_us)))
        return ScheduledTask(None, self._wait_us(due, now_us))

    def _wait_us(self, due: list[BackgroundTask], now_us: int) -> int:
        waits = [task.due_us - now_us for task in self.tasks if task.due_us > now_us]
        waits += [task.due_us + task.late_us - now_us for task in due]
        if self.share > 0:
            waits += [round((task.usual_us - self.level_us) / self.share) + 1 for task in due]
        return max(1, min([*waits, LONGEST_WAIT_US]))

    def over(self, task: BackgroundTask, began_us: int, now_us: int) -> None:
        """A run has ended. What was due again meanwhile is skipped: catching up would make it worse."""
        self._fill(now_us)
        took_us = max(0, now_us - began_us)
        self.level_us = max(-float(DEBT_US), self.level_us - took_us)
        task.usual_us += (took_us - task.usual_us) / (SMOOTHING if task.runs else 1)
        task.runs += 1
        task.latest_us = max(task.latest_us, began_us - task.due_us)
        missed = max(0, (now_us - task.due_us) // task.every_us)
        task.skipped += max(0, missed - 1)
        task.due_us = max(task.due_us + task.every_us, began_us + task.every_us)
