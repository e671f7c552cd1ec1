"""The one thread that writes to a store, so that no answer waits for a disk."""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.recovery.write_behind import WriterAction, WriterEvent, WriteBehindQueue
from fennelcove.store.folder import Store

IDLE_S = 60.0


class StoreWriter:
    """Owns an open store. `keep` never waits; `stop` writes what waits, within a limit, and closes."""

    def __init__(self, store: Store, clock: Clock, notice: EventLogger) -> None:
        self.store = store
        self.clock = clock
        self.log_event = notice
        self.queue = WriteBehindQueue()
        self.condition = threading.Condition()
        self.is_stopping = False
        self.write_count = 0
        self.thread = threading.Thread(target=self._run, name="keeper")
        self.action_handlers: dict[WriterAction, Callable[[], None]] = {
            WriterAction.LOG_DISK_FULL: lambda: self.log_event("store_full", folder=store.folder),
            WriterAction.LOG_WRITE_FAILED: lambda: self.log_event("store_broken", folder=store.folder),
            WriterAction.LOG_RECOVERED: lambda: self.log_event("store_well", folder=store.folder),
            WriterAction.BACK_OFF: lambda: None,
        }

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def keep(self, entries: list[tuple[bytes, bytes | None]]) -> None:
        """To be written soon."""
        with self.condition:
            now_us = self.clock.now_us()
            for key, value in entries:
                self.queue.put(key, value, now_us)
            self.condition.notify()

    def stop(self, timeout_us: int) -> None:
        """Write what waits and end; a disk that hangs is not waited for."""
        with self.condition:
            self.is_stopping = True
            self.condition.notify()
        self.thread.join(timeout_us / 1e6)
        if self.thread.is_alive():
            self.log_event("store_left", folder=self.store.folder)
            return
        self.store.close()

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.is_stopping:
                    wait_us = self.queue.wait_us(self.clock.now_us())
                    if wait_us == 0:
                        break
                    self.condition.wait(IDLE_S if wait_us is None else wait_us / 1e6)
                batch = self.queue.next_batch(self.clock.now_us())
                if not batch and self.is_stopping:
                    return
            event = self._write(batch)
            with self.condition:
                if event is not WriterEvent.WRITTEN:
                    self.queue.requeue(batch)
                acts = self.queue.on_write_completed(event, self.clock.now_us())
                last = self.is_stopping and (event is not WriterEvent.WRITTEN or not self.queue.pending)
            for act in acts:
                self.action_handlers[act]()
            if last:
                return

    def _write(self, batch: list[tuple[bytes, bytes | None]]) -> WriterEvent:
        try:
            self.store.commit(batch)
            self.write_count += 1
            if self.store.heavy:
                self.store.fold()
            return WriterEvent.WRITTEN
        except OSError as error:
            return WriterEvent.NO_SPACE if error.errno in (errno.ENOSPC, errno.EDQUOT) else WriterEvent.FAILED
