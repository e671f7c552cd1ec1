"""The metrics that a node counts and logs about itself."""

from __future__ import annotations

from typing import Any

from fennelcove.clock import ManualClock
from fennelcove.node.metrics import MAX_TRANSITIONS, REPORT_INTERVAL_US, SLOW_EVENT_US, Metric, NodeMetrics
from fennelcove.node.node_lock import NodeLock


class RecordingLogger:
    """Records log events and their fields."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


def test_counts_are_reported_once_per_interval_and_only_if_they_changed() -> None:
    clock, logger = ManualClock(), RecordingLogger()
    metrics = NodeMetrics(clock, logger)
    metrics.count(Metric.ANSWER, "200")
    metrics.report()
    assert logger.lines == []
    clock.advance(REPORT_INTERVAL_US)
    metrics.report()
    metrics.report()
    assert logger.lines == [("metrics_reported", {"answers": {"200": 1}, "max_event_us": 0})]
    clock.advance(REPORT_INTERVAL_US)
    metrics.report()
    assert len(logger.lines) == 1


def test_a_slow_event_is_logged_after_the_lock_is_released() -> None:
    clock, logger = ManualClock(), RecordingLogger()

    def log(event: str, **fields: Any) -> None:
        assert not lock.is_held
        logger(event, **fields)

    metrics = NodeMetrics(clock, log)
    lock = NodeLock(clock, metrics)
    for duration_us in (SLOW_EVENT_US - 1, SLOW_EVENT_US, SLOW_EVENT_US + 1, SLOW_EVENT_US):
        with lock:
            clock.advance(duration_us)
    assert {event for event, _ in logger.lines} == {"event_handled_slowly"}
    assert [fields["duration_us"] for _, fields in logger.lines] == [SLOW_EVENT_US, SLOW_EVENT_US + 1]
    assert metrics.max_event_us == SLOW_EVENT_US + 1
    assert metrics.counts[Metric.SLOW_EVENT].total() == 3


def test_recorded_transitions_are_bounded_and_found_by_session() -> None:
    metrics = NodeMetrics(ManualClock(), RecordingLogger())
    metrics.record_transition(b"first", "ATTEMPT_STARTED", "ATTEMPTING")
    assert metrics.transitions_of(b"first") == ["0 ms: ATTEMPT_STARTED -> ATTEMPTING"]
    for _ in range(MAX_TRANSITIONS):
        metrics.record_transition(b"other", "REJECTED", "CLOSED")
    assert metrics.transitions_of(b"first") == []
    assert len(metrics.transitions_of(b"other")) == MAX_TRANSITIONS
