"""Background work: what runs first, what it may take, and that nothing starves."""

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

from tests.rig import wait_for

MS = 1000


def played(schedule: BackgroundScheduler, costs: dict[str, int], for_us: int) -> tuple[int, int]:
    """Run a schedule in simulated time; the time passed and the time taken."""
    now_us = taken = 0
    while now_us < for_us:
        pick = schedule.next_task(now_us)
        if pick.task is None:
            now_us += pick.wait_us
            continue
        began_us = now_us
        now_us += costs[pick.task.name]
        taken += costs[pick.task.name]
        schedule.on_run_completed(pick.task, began_us, now_us)
    return now_us, taken


class ScheduleTest(unittest.TestCase):
    def made(self, *tasks: BackgroundTask) -> BackgroundScheduler:
        schedule = BackgroundScheduler(0)
        for task in tasks:
            schedule.add(task, 0)
        return schedule

    def test_what_somebody_waits_for_goes_first_and_what_is_past_its_time_before_that(self) -> None:
        viewers = BackgroundTask("v", TaskPriority.CLIENT_FACING, 100 * MS, 100 * MS)
        house = BackgroundTask("h", TaskPriority.HOUSEKEEPING, 100 * MS, 50 * MS)
        schedule = self.made(house, viewers)
        assert schedule.next_task(0).task is viewers
        assert schedule.next_task(60 * MS).task is house

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
    def test_nothing_starves_and_the_whole_keeps_to_its_share_where_deadlines_allow(
        self, told: list[tuple[TaskPriority, int, int, int]]
    ) -> None:
        tasks = [
            BackgroundTask(f"t{i}", p, every * MS, late * MS) for i, (p, every, late, _) in enumerate(told)
        ]
        costs = {f"t{i}": cost * MS for i, (*_, cost) in enumerate(told)}
        schedule = self.made(*tasks)
        passed, taken = played(schedule, costs, 20_000 * MS)
        longest = sum(costs.values())
        for task in tasks:
            assert task.run_count > 0
            # Past its deadline it goes before all that are not; only others as late can be before it.
            assert task.max_lateness_us <= task.max_delay_us + longest
        assert schedule.budget_us >= -MAX_DEBT_US
        if not any(task.max_lateness_us >= task.max_delay_us for task in tasks):
            assert taken <= schedule.time_share * passed + MAX_SAVED_US + longest

    def test_a_dear_task_waits_for_its_budget_and_a_cheap_one_does_not(self) -> None:
        dear = BackgroundTask("dear", TaskPriority.CLIENT_FACING, 100 * MS, 10_000 * MS)
        cheap = BackgroundTask("cheap", TaskPriority.HOUSEKEEPING, 100 * MS, 10_000 * MS)
        schedule = self.made(dear, cheap)
        passed, taken = played(schedule, {"dear": 40 * MS, "cheap": MS // 10}, 30_000 * MS)
        assert taken / passed < 0.12
        assert cheap.run_count > 2 * dear.run_count
        assert dear.skipped_count > 0

    def test_one_that_hung_once_does_not_stop_the_rest_for_long(self) -> None:
        hung, other = (
            BackgroundTask("hung", TaskPriority.SNAPSHOT, 1000 * MS, 500 * MS),
            BackgroundTask("o", TaskPriority.SNAPSHOT, 1000 * MS, 500 * MS),
        )
        schedule = self.made(hung, other)
        schedule.on_run_completed(hung, 0, 60_000 * MS)
        now_us = 60_000 * MS
        assert schedule.next_task(now_us).task is other
        schedule.on_run_completed(other, now_us, now_us + MS)
        assert schedule.next_task(now_us + 2 * MS).wait_us < 1000 * MS


class BackgroundTest(unittest.TestCase):
    def test_one_that_fails_is_told_and_the_others_go_on(self) -> None:
        told, runs = list[str](), list[int]()
        background = Background(SystemClock(), lambda event, **fields: told.append(str(fields["task"])))

        def fail() -> None:
            raise ValueError("no")

        background.add("bad", TaskPriority.CLIENT_FACING, MS, MS, fail)
        background.add("good", TaskPriority.SNAPSHOT, MS, MS, lambda: runs.append(1))
        background.start()
        wait_for(lambda: len(runs) > 3 and len(told) > 3, "both")
        background.stop()
        assert set(told) == {"bad"}
        assert not background.thread.is_alive()
        assert set(background.status()) == {"bad", "good"}


if __name__ == "__main__":
    unittest.main()
