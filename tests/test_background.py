"""Background tasks: their order, the time that they may use, and that none starves."""

from __future__ import annotations

import unittest

from fennelcove.clock import SystemClock
from fennelcove.daemon.background import Background
from fennelcove.decisions.recovery.background_scheduler import (
    MAX_DEBT_US,
    MAX_SAVED_US,
    BackgroundScheduler,
    BackgroundTask,
    TaskPriority,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.front_case import wait_for

MS = 1000


def run_schedule(
    scheduler: BackgroundScheduler, run_us_by_name: dict[str, int], duration_us: int
) -> tuple[int, int]:
    """Run a scheduler in simulated time; return the elapsed time and the time used by tasks."""
    now_us = used_us = 0
    while now_us < duration_us:
        scheduled = scheduler.next_task(now_us)
        if scheduled.task is None:
            now_us += scheduled.wait_us
            continue
        started_us = now_us
        now_us += run_us_by_name[scheduled.task.name]
        used_us += run_us_by_name[scheduled.task.name]
        scheduler.on_run_completed(scheduled.task, started_us, now_us)
    return now_us, used_us


class BackgroundSchedulerTest(unittest.TestCase):
    def new_scheduler(self, *tasks: BackgroundTask) -> BackgroundScheduler:
        scheduler = BackgroundScheduler(0)
        for task in tasks:
            scheduler.add(task, 0)
        return scheduler

    def test_client_facing_tasks_run_first_and_overdue_tasks_before_them(self) -> None:
        client_facing = BackgroundTask("v", TaskPriority.CLIENT_FACING, 100 * MS, 100 * MS)
        housekeeping = BackgroundTask("h", TaskPriority.HOUSEKEEPING, 100 * MS, 50 * MS)
        scheduler = self.new_scheduler(housekeeping, client_facing)
        assert scheduler.next_task(0).task is client_facing
        assert scheduler.next_task(60 * MS).task is housekeeping

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(list(TaskPriority)),
                st.integers(20, 2000),
                st.integers(0, 2000),
                st.integers(0, 30),
            ),
            min_size=1,
            max_size=6,
        )
    )
    @settings(max_examples=150, deadline=None)
    def test_no_task_starves_and_the_time_share_holds_unless_deadlines_pass(
        self, given_tasks: list[tuple[TaskPriority, int, int, int]]
    ) -> None:
        tasks = [
            BackgroundTask(f"t{i}", priority, interval * MS, max_delay * MS)
            for i, (priority, interval, max_delay, _) in enumerate(given_tasks)
        ]
        run_us_by_name = {f"t{i}": cost * MS for i, (*_, cost) in enumerate(given_tasks)}
        scheduler = self.new_scheduler(*tasks)
        elapsed_us, used_us = run_schedule(scheduler, run_us_by_name, 20_000 * MS)
        total_run_us = sum(run_us_by_name.values())
        for task in tasks:
            assert task.run_count > 0
            # After its deadline a task runs before all that are not overdue, so only other overdue tasks can
            # delay it further.
            assert task.max_lateness_us <= task.max_delay_us + total_run_us
        assert scheduler.budget_us >= -MAX_DEBT_US
        if not any(task.max_lateness_us >= task.max_delay_us for task in tasks):
            assert used_us <= scheduler.time_share * elapsed_us + MAX_SAVED_US + total_run_us

    def test_an_expensive_task_waits_for_the_budget_and_a_cheap_one_does_not(self) -> None:
        expensive = BackgroundTask("expensive", TaskPriority.CLIENT_FACING, 100 * MS, 10_000 * MS)
        cheap = BackgroundTask("cheap", TaskPriority.HOUSEKEEPING, 100 * MS, 10_000 * MS)
        scheduler = self.new_scheduler(expensive, cheap)
        elapsed_us, used_us = run_schedule(scheduler, {"expensive": 40 * MS, "cheap": MS // 10}, 30_000 * MS)
        assert used_us / elapsed_us < 0.12
        assert cheap.run_count > 2 * expensive.run_count
        assert expensive.skipped_count > 0

    def test_a_task_that_stalled_once_does_not_block_the_others_for_long(self) -> None:
        stalled, other = (
            BackgroundTask("stalled", TaskPriority.SNAPSHOT, 1000 * MS, 500 * MS),
            BackgroundTask("o", TaskPriority.SNAPSHOT, 1000 * MS, 500 * MS),
        )
        scheduler = self.new_scheduler(stalled, other)
        scheduler.on_run_completed(stalled, 0, 60_000 * MS)
        now_us = 60_000 * MS
        assert scheduler.next_task(now_us).task is other
        scheduler.on_run_completed(other, now_us, now_us + MS)
        assert scheduler.next_task(now_us + 2 * MS).wait_us < 1000 * MS


class BackgroundTest(unittest.TestCase):
    def test_a_failing_task_is_logged_and_the_others_continue(self) -> None:
        logged_tasks, runs = list[str](), list[int]()
        background = Background(
            SystemClock(), lambda event, **fields: logged_tasks.append(str(fields["task"]))
        )

        def fail() -> None:
            raise ValueError("no")

        background.add("bad", TaskPriority.CLIENT_FACING, MS, MS, fail)
        background.add("good", TaskPriority.SNAPSHOT, MS, MS, lambda: runs.append(1))
        background.start()
        wait_for(lambda: len(runs) > 3 and len(logged_tasks) > 3, "runs of both tasks")
        background.stop()
        assert set(logged_tasks) == {"bad"}
        assert not background.thread.is_alive()
        assert set(background.status()) == {"bad", "good"}


if __name__ == "__main__":
    unittest.main()
