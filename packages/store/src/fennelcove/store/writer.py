"""The thread that writes to a store, so that no response waits for the disk."""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.recovery.write_behind import Change, WriteBehindQueue, WriterAction, WriterEvent
from fennelcove.store.directory import Store

IDLE_S = 60.0
MICROSECONDS_PER_SECOND = 1e6
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class StoreWriter:
    """Writes queued changes to a store in a thread of its own."""

    def __init__(self, store: Store, clock: Clock, log_event: EventLogger) -> None:
        """Take over an open store; `start` runs the thread."""
        self.store = store
        self.clock = clock
        self.log_event = log_event
        self.queue = WriteBehindQueue()
        self.condition = threading.Condition()
        self.is_stopping = False
        self.write_count = 0
        self.thread = threading.Thread(target=self._run, name="store-writer")
        self.action_handlers: dict[WriterAction, Callable[[], None]] = {
            WriterAction.LOG_DISK_FULL: lambda: self._log("store_space_exhausted"),
            WriterAction.LOG_WRITE_FAILED: lambda: self._log("store_write_failed"),
            WriterAction.LOG_RECOVERED: lambda: self._log("store_write_recovered"),
            WriterAction.BACK_OFF: lambda: None,  # the queue itself delays the next batch
        }

    def _log(self, event: str) -> None:
        self.log_event(event, folder=self.store.folder)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def enqueue(self, entries: list[Change]) -> None:
        """Queue changes without waiting for the disk."""
        with self.condition:
            now_us = self.clock.now_us()
            for key, value in entries:
                self.queue.put(key, value, now_us)
            self.condition.notify()

    def stop(self, timeout_us: int) -> None:
        """Write the queued changes and close the store; gives up after the timeout if the disk hangs."""
        with self.condition:
            self.is_stopping = True
            self.condition.notify()
        self.thread.join(timeout_us / MICROSECONDS_PER_SECOND)
        if self.thread.is_alive():
            self._log("store_shutdown_timed_out")
            return
        self.store.close()

    def _run(self) -> None:
        is_finished = False
        while not is_finished:
            batch = self._next_batch()
            if batch is None:
                return
            event = self._write(batch)
            with self.condition:
                if event is not WriterEvent.WRITTEN:
                    self.queue.requeue(batch)
                actions = self.queue.on_write_completed(event, self.clock.now_us())
                is_drained = event is not WriterEvent.WRITTEN or not self.queue.pending
                is_finished = self.is_stopping and is_drained
            for action in actions:
                self.action_handlers[action]()

    def _next_batch(self) -> list[Change] | None:
        """Wait for the next batch; None if the writer is stopping and nothing is queued."""
        with self.condition:
            while not self.is_stopping:
                wait_us = self.queue.wait_us(self.clock.now_us())
                if wait_us == 0:
                    break
                self.condition.wait(IDLE_S if wait_us is None else wait_us / MICROSECONDS_PER_SECOND)
            batch = self.queue.next_batch(self.clock.now_us())
            if not batch and self.is_stopping:
                return None
            return batch

    def _write(self, batch: list[Change]) -> WriterEvent:
        try:
            self.store.commit(batch)
            self.write_count += 1
            if self.store.needs_checkpoint:
                self.store.checkpoint()
        except OSError as error:
            return WriterEvent.NO_SPACE if error.errno in NO_SPACE_ERRORS else WriterEvent.FAILED
        return WriterEvent.WRITTEN
