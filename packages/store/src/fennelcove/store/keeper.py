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
        self.notice = notice
        self.waiting = WriteBehindQueue()
        self.changed = threading.Condition()
        self.stopped = False
        self.writes = 0
        self.thread = threading.Thread(target=self._run, name="keeper")
        self.acts: dict[WriterAction, Callable[[], None]] = {
            WriterAction.TELL_FULL: lambda: self.notice("store_full", folder=store.folder),
            WriterAction.TELL_BROKEN: lambda: self.notice("store_broken", folder=store.folder),
            WriterAction.TELL_WELL: lambda: self.notice("store_well", folder=store.folder),
            WriterAction.PAUSE: lambda: None,
        }

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def keep(self, entries: list[tuple[bytes, bytes | None]]) -> None:
        """To be written soon."""
        with self.changed:
            now_us = self.clock.now_us()
            for key, value in entries:
                self.waiting.put(key, value, now_us)
            self.changed.notify()

    def stop(self, timeout_us: int) -> None:
        """Write what waits and end; a disk that hangs is not waited for."""
        with self.changed:
            self.stopped = True
            self.changed.notify()
        self.thread.join(timeout_us / 1e6)
        if self.thread.is_alive():
            self.notice("store_left", folder=self.store.folder)
            return
        self.store.close()

    def _run(self) -> None:
        while True:
            with self.changed:
                while not self.stopped:
                    wait_us = self.waiting.wait_us(self.clock.now_us())
                    if wait_us == 0:
                        break
                    self.changed.wait(IDLE_S if wait_us is None else wait_us / 1e6)
                batch = self.waiting.take(self.clock.now_us())
                if not batch and self.stopped:
                    return
            event = self._write(batch)
            with self.changed:
                if event is not WriterEvent.DONE:
                    self.waiting.back(batch)
                acts = self.waiting.over(event, self.clock.now_us())
                last = self.stopped and (event is not WriterEvent.DONE or not self.waiting.keys)
            for act in acts:
                self.acts[act]()
            if last:
                return

    def _write(self, batch: list[tuple[bytes, bytes | None]]) -> WriterEvent:
        try:
            self.store.commit(batch)
            self.writes += 1
            if self.store.heavy:
                self.store.fold()
            return WriterEvent.DONE
        except OSError as error:
            return WriterEvent.NO_SPACE if error.errno in (errno.ENOSPC, errno.EDQUOT) else WriterEvent.FAILED
