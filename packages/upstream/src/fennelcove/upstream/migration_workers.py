"""Carries out the joins of moves on a few threads of its own."""

from __future__ import annotations

import queue
import threading

from fennelcove.core.core import Core
from fennelcove.core.requests import SendAttempt
from fennelcove.upstream.attempts import AttemptSender

MOST_WAITING = 4096


class MigrationWorkers:
    """Owns the movers: `start` them once, `stop` ends them when the joins in hand are over."""

    def __init__(self, core: Core, joiner: AttemptSender, count: int) -> None:
        self.core = core
        self.joiner = joiner
        self.line: queue.Queue[SendAttempt | None] = queue.Queue(MOST_WAITING)
        self.threads = [threading.Thread(target=self._run, name=f"mover-{i}") for i in range(count)]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def send(self, step: SendAttempt) -> bool:
        try:
            self.line.put_nowait(step)
            return True
        except queue.Full:
            return False

    def stop(self) -> None:
        """End the threads; the front's halt has ended the joins that are out."""
        for _ in self.threads:
            self.line.put(None)
        for thread in self.threads:
            thread.join()

    def _run(self) -> None:
        while (step := self.line.get()) is not None:
            run = self.joiner.run(step, None)
            self.core.migrations.on_attempt_completed(step, run.end)
