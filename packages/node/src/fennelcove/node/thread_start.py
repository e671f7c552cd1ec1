"""Starting a thread on a machine that may be out of threads for a moment."""

from __future__ import annotations

import threading
import time

from fennelcove.clock import Clock

RETRY_DELAY_S = 0.05


def start_thread(thread: threading.Thread, clock: Clock, timeout_us: int) -> None:
    """Start a thread as soon as the machine has one.

    Where many processes start together it may be out of them for a moment; a process that ended because of
    that counted as a crash.

    Raises:
        RuntimeError: none became available in time.
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
