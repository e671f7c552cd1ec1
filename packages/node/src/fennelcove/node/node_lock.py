"""The node's single lock: acquired in the order of arrival, with a measurement of each hold."""

from __future__ import annotations

import threading
from collections import deque
from types import TracebackType

from fennelcove.clock import Clock
from fennelcove.node.metrics import NodeMetrics


class NodeLock:
    """A lock for `with` statements. The duration of each hold is recorded under the holding thread's name.

    It is handed to the thread that has waited longest. With a lock that any thread may take, a thread that
    releases it and acquires it again at once, for its client's next message, mostly gets it before others.
    """

    def __init__(self, clock: Clock, metrics: NodeMetrics) -> None:
        """Create the lock, not acquired."""
        self._clock = clock
        self._metrics = metrics
        self._mutex = threading.Lock()  # guards the next two, and is never held while a thread waits
        self._is_held = False
        self._turns: deque[threading.Lock] = deque()  # of the waiting threads; released when it is their turn
        self._acquired_us = 0

    def __enter__(self) -> None:
        """Acquire the lock."""
        turn = self._take_or_queue()
        if turn is not None:
            turn.acquire()
        self._acquired_us = self._clock.now_us()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Release the lock; a slow event is logged after that, since writing to the log may block."""
        duration_us = self._clock.now_us() - self._acquired_us
        should_log = self._metrics.record_duration(threading.current_thread().name, duration_us)
        self._hand_over()
        if should_log:
            self._metrics.log_slow_event(threading.current_thread().name, duration_us)

    @property
    def is_held(self) -> bool:
        """Whether a thread holds the lock, or it has just been handed to one."""
        return self._is_held

    @property
    def waiting_count(self) -> int:
        """The number of threads that wait for the lock."""
        return len(self._turns)

    def _take_or_queue(self) -> threading.Lock | None:
        """Take the lock if it is free; else return the lock to wait on until it is this thread's turn."""
        with self._mutex:
            if not self._is_held:
                self._is_held = True
                return None
            turn = threading.Lock()
            turn.acquire()
            self._turns.append(turn)
            return turn

    def _hand_over(self) -> None:
        """Hand the lock to the thread that has waited longest; it is free if none waits."""
        with self._mutex:
            if self._turns:
                self._turns.popleft().release()
            else:
                self._is_held = False
