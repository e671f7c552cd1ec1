"""Threads that send the attempts of session migrations."""

from __future__ import annotations

import queue
import threading

from fennelcove.core.requests import SendAttempt
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.upstream.attempts import AttemptSender

MAX_QUEUED_ATTEMPTS = 4096


class MigrationWorkers:
    """Owns the worker threads; implements `fennelcove.core.ports.MigrationSender`."""

    def __init__(self, attempt_sender: AttemptSender, thread_count: int) -> None:
        self.attempt_sender = attempt_sender
        self.thread_count = thread_count
        self.pending: queue.Queue[SendAttempt | None] = queue.Queue(MAX_QUEUED_ATTEMPTS)
        self.threads: list[threading.Thread] = []

    def start(self, migrations: SessionMigrations) -> None:
        """Start the threads, once; they report results to the migrations."""
        for i in range(self.thread_count):
            thread = threading.Thread(target=self._run, args=(migrations,), name=f"mover-{i}")
            self.threads.append(thread)
            thread.start()

    def send(self, step: SendAttempt) -> bool:
        """Queue an attempt; False where the queue is full."""
        try:
            self.pending.put_nowait(step)
            return True
        except queue.Full:
            return False

    def stop(self) -> None:
        """End the threads; the front's shutdown has already cancelled the pending attempts."""
        for _ in self.threads:
            self.pending.put(None)
        for thread in self.threads:
            thread.join()

    def _run(self, migrations: SessionMigrations) -> None:
        while (step := self.pending.get()) is not None:
            run = self.attempt_sender.run(step, None)
            migrations.on_attempt_completed(step, run.result)
