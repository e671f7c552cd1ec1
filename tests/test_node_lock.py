"""The node's lock and the order in which threads acquire it."""

from __future__ import annotations

import threading

from fennelcove.clock import SystemClock
from fennelcove.log import silent
from fennelcove.node.metrics import NodeMetrics
from fennelcove.node.node_lock import NodeLock

from tests.node_harness import wait_until

THREADS = 20


def make_lock() -> NodeLock:
    """A lock that is not acquired."""
    clock = SystemClock()
    return NodeLock(clock, NodeMetrics(clock, silent))


def test_a_thread_that_acquires_the_lock_again_waits_behind_those_that_wait() -> None:
    # The thread of a client that sent at full speed got the lock again and again, before all others.
    lock, order = make_lock(), list[str]()

    def acquire(name: str) -> None:
        with lock:
            order.append(name)

    threads = []
    lock.__enter__()
    for number in range(THREADS):
        threads.append(threading.Thread(target=acquire, args=(str(number),)))
        threads[-1].start()
        wait_until(lambda: lock.waiting_count == len(threads), "a thread that waits")
    lock.__exit__(None, None, None)
    acquire("again")
    for thread in threads:
        thread.join()
    assert order == [*map(str, range(THREADS)), "again"]


def test_only_one_thread_holds_the_lock() -> None:
    lock, total = make_lock(), [0]

    def count() -> None:
        for _ in range(1_000):
            with lock:
                value = total[0]
                total[0] = value + 1

    threads = [threading.Thread(target=count) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert total == [THREADS * 1_000]
    assert not lock.is_held


def test_the_lock_is_released_when_an_event_fails() -> None:
    lock = make_lock()
    try:
        with lock:
            raise ValueError
    except ValueError:
        assert not lock.is_held
