"""The one thread of background work."""

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
    """Owns its thread; `add` before `start`, and `stop` waits for the run under way."""

    def __init__(self, clock: Clock, notice: EventLogger) -> None:
        self.clock = clock
        self.notice = notice
        self.schedule = BackgroundScheduler(clock.now_us())
        self.calls: dict[BackgroundTask, Callable[[], None]] = {}
        self.changed = threading.Condition()
        self.stopped = False
        self.thread = threading.Thread(target=self._run, name="background")

    def add(
        self, name: str, priority: TaskPriority, every_us: int, late_us: int, call: Callable[[], None]
    ) -> None:
        """Work that comes again; it must not wait for anything."""
        task = BackgroundTask(name, priority, every_us, late_us)
        self.calls[task] = call
        self.schedule.add(task, self.clock.now_us())

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End it."""
        with self.changed:
            self.stopped = True
            self.changed.notify()
        self.thread.join()

    def status(self) -> dict[str, object]:
        """Figures for an operator, by task."""
        return {
            task.name: {
                "runs": task.run_count,
                "usual_ms": round(task.mean_run_us / 1000, 3),
                "latest_ms": task.max_lateness_us / 1000,
                "skipped": task.skipped_count,
            }
            for task in self.calls
        }

    def _run(self) -> None:
        while True:
            with self.changed:
                if self.stopped:
                    return
                pick = self.schedule.next_task(self.clock.now_us())
                if pick.task is None:
                    self.changed.wait(pick.wait_us / 1e6)
                    continue
            began_us = self.clock.now_us()
            try:
                self.calls[pick.task]()
            except Exception as error:  # one task that fails must not end the others
                self.notice("background_failed", task=pick.task.name, reason=repr(error))
            self.schedule.on_run_completed(pick.task, began_us, self.clock.now_us())
