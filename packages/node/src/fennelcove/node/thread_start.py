"""Starts a thread with retries, in case the system has run out of threads temporarily."""

from __future__ import annotations

import threading
import time

from fennelcove.clock import Clock

RETRY_DELAY_S = 0.05


def start_thread(thread: threading.Thread, clock: Clock, timeout_us: int) -> None:
    """Start a thread, and retry until the timeout while the system has none available.

    If many processes start together, the system may run out of threads briefly; a process that exits because
    of that counts as crashed.

    Raises:
        RuntimeError: no thread became available in time.
    """
    deadline_us = clock.now_us() + timeout_us
    while True:
        try:
            thread.start()
            return
        except RuntimeError:
            if clock.now_us() >= deadline_us:
                raise
            time.sleep(RETRY_DELAY_S)
