"""Scheduling of background work: priorities, deadlines, and a limit on its total running time.

Sweeps, snapshots and certificate checks share one thread. Each task has an interval and a deadline. Before
its deadline a due task waits for the time budget, which is a share of the elapsed time. After the deadline it
runs regardless of the budget, and the other tasks wait until the budget has recovered. The limit thus holds
on average, and no task starves. Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

TIME_SHARE = 0.1  # of the elapsed time, which background work may take from the threads that serve clients
MAX_SAVED_US = 50_000  # of budget that is saved up while nothing is due
MAX_DEBT_US = 1_000_000  # of budget: a task that hung once must not block the others for long
RUN_TIME_SMOOTHING = 8
MAX_WAIT_US = 60_000_000


class TaskPriority(IntEnum):
    """The order of tasks that may run: the lowest number runs first."""

    CLIENT_FACING = 0  # a client waits for it
    SNAPSHOT = 1
    HOUSEKEEPING = 2


@dataclass(slots=True, eq=False)
class BackgroundTask:
    """A task that is repeated at an interval."""

    name: str
    priority: TaskPriority
    interval_us: int
    max_delay_us: int  # with a longer delay it runs regardless of the budget
    due_us: int = 0
    mean_run_us: float = 0.0  # smoothed duration of a run
    run_count: int = 0
    skipped_count: int = 0  # runs that became due before the previous one had started
    max_lateness_us: int = 0  # the longest delay of a run

    @property
    def deadline_us(self) -> int:
        """The time from which it runs regardless of the budget."""
        return self.due_us + self.max_delay_us


@dataclass(frozen=True, slots=True)
class ScheduledTask:
    """The task to run now, or the time to wait."""

    task: BackgroundTask | None
    wait_us: int = 0


class BackgroundScheduler:
    """The tasks of one thread; the caller supplies times."""

    def __init__(self, now_us: int, time_share: float = TIME_SHARE) -> None:
        self.time_share = time_share
        self.tasks: list[BackgroundTask] = []
        self.budget_us = float(MAX_SAVED_US)
        self.accrued_at_us = now_us

    def add(self, task: BackgroundTask, now_us: int) -> None:
        """Add a task; its first run is due at once."""
        task.due_us = now_us
        self.tasks.append(task)

    def _accrue(self, now_us: int) -> None:
        passed_us = max(0, now_us - self.accrued_at_us)
        self.accrued_at_us = max(now_us, self.accrued_at_us)
        self.budget_us = min(float(MAX_SAVED_US), self.budget_us + passed_us * self.time_share)

    def next_task(self, now_us: int) -> ScheduledTask:
        """The next task to run: one past its deadline, else one that the budget permits."""
        self._accrue(now_us)
        due = [task for task in self.tasks if task.due_us <= now_us]
        overdue = [task for task in due if now_us >= task.deadline_us]
        if overdue:
            return ScheduledTask(min(overdue, key=lambda task: (task.deadline_us, task.priority)))
        affordable = [task for task in due if task.mean_run_us <= self.budget_us]
        if affordable:
            return ScheduledTask(min(affordable, key=lambda task: (task.priority, task.due_us)))
        return ScheduledTask(None, self._wait_us(due, now_us))

    def _wait_us(self, due: list[BackgroundTask], now_us: int) -> int:
        waits_us = [task.due_us - now_us for task in self.tasks if task.due_us > now_us]
        waits_us += [task.deadline_us - now_us for task in due]
        if self.time_share > 0:
            waits_us += [round((task.mean_run_us - self.budget_us) / self.time_share) + 1 for task in due]
        return max(1, min([*waits_us, MAX_WAIT_US]))

    def on_run_completed(self, task: BackgroundTask, started_us: int, now_us: int) -> None:
        """Handle the end of a run; runs missed meanwhile are skipped, since catching up would add load."""
        self._accrue(now_us)
        run_us = max(0, now_us - started_us)
        self.budget_us = max(-float(MAX_DEBT_US), self.budget_us - run_us)
        smoothing = RUN_TIME_SMOOTHING if task.run_count else 1
        task.mean_run_us += (run_us - task.mean_run_us) / smoothing
        task.run_count += 1
        task.max_lateness_us = max(task.max_lateness_us, started_us - task.due_us)
        missed = max(0, (now_us - task.due_us) // task.interval_us)
        task.skipped_count += max(0, missed - 1)
        task.due_us = max(task.due_us, started_us) + task.interval_us
