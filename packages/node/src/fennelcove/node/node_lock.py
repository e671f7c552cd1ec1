"""The node's single lock, which measures for how long each event holds it."""

from __future__ import annotations

import threading
from types import TracebackType

from fennelcove.clock import Clock
from fennelcove.node.metrics import NodeMetrics


class NodeLock:
    """A lock for `with` statements. The duration of each hold is recorded under the holding thread's name."""

    def __init__(self, clock: Clock, metrics: NodeMetrics) -> None:
        """Create the lock, not acquired."""
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._acquired_us = 0

    def __enter__(self) -> None:
        """Acquire the lock."""
        self._lock.acquire()
        self._acquired_us = self._clock.now_us()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Release the lock; a slow event is logged after that, since writing to the log may block."""
        duration_us = self._clock.now_us() - self._acquired_us
        should_log = self._metrics.record_duration(threading.current_thread().name, duration_us)
        self._lock.release()
        if should_log:
            self._metrics.log_slow_event(threading.current_thread().name, duration_us)
