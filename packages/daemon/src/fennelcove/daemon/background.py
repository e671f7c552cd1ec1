"""The thread that runs periodic background tasks."""

from __future__ import annotations

import threading
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.recovery.background_scheduler import (
    BackgroundScheduler,
    BackgroundTask,
    TaskPriority,
)


class Background:
    """Owns the thread. Call `add` before `start`; `stop` waits for the task that is running."""

    def __init__(self, clock: Clock, log_event: EventLogger) -> None:
        self.clock = clock
        self.log_event = log_event
        self.scheduler = BackgroundScheduler(clock.now_us())
        self.functions: dict[BackgroundTask, Callable[[], None]] = {}
        self.state_changed = threading.Condition()
        self.is_stopped = False
        self.thread = threading.Thread(target=self._run, name="background")

    def add(
        self,
        name: str,
        priority: TaskPriority,
        interval_us: int,
        max_lateness_us: int,
        function: Callable[[], None],
    ) -> None:
        """Add a periodic task, which must not block."""
        task = BackgroundTask(name, priority, interval_us, max_lateness_us)
        self.functions[task] = function
        self.scheduler.add(task, self.clock.now_us())

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        with self.state_changed:
            self.is_stopped = True
            self.state_changed.notify()
        self.thread.join()

    def status(self) -> dict[str, object]:
        """Statistics by task, for the status that operators read."""
        return {
            task.name: {
                "runs": task.run_count,
                "usual_ms": round(task.mean_run_us / 1000, 3),
                "latest_ms": task.max_lateness_us / 1000,
                "skipped": task.skipped_count,
            }
            for task in self.functions
        }

    def _run(self) -> None:
        while True:
            with self.state_changed:
                if self.is_stopped:
                    return
                scheduled = self.scheduler.next_task(self.clock.now_us())
                if scheduled.task is None:
                    self.state_changed.wait(scheduled.wait_us / 1e6)
                    continue
            started_us = self.clock.now_us()
            try:
                self.functions[scheduled.task]()
            except Exception as error:  # a task that fails must not end the others
                self.log_event("background_failed", task=scheduled.task.name, reason=repr(error))
            self.scheduler.on_run_completed(scheduled.task, started_us, self.clock.now_us())
