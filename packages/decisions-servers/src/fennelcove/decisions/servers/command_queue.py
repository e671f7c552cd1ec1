"""Commands that wait to be sent to servers: bitrate changes, resume tokens and releases.

Each server has at most one command in flight, so that a server that hangs blocks a single sender; servers are
served in turn. A later bitrate change for an attempt replaces an earlier one, and a release replaces both.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from fennelcove.decisions.servers.backoff import Backoff

INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 2_000_000
MAX_TRIES = 6
COMMAND_TIMEOUT_US = 1_000_000  # a command that takes longer is retried later
BACKOFF = Backoff(INITIAL_BACKOFF_US, MAX_BACKOFF_US)


@dataclass(frozen=True, slots=True)
class CommandKey:
    """The subject of a command: the later of two commands with the same key replaces the earlier."""

    session_id: str
    attempt: int
    is_resume_token: bool


@dataclass(slots=True, eq=False)
class Command:
    """A command to a server about one attempt of a session.

    It sets a resume token or the rung of the bitrate ladder; a command with neither releases the attempt.
    """

    server: str
    session_id: str
    attempt: int
    rung: int | None
    resume_token: str | None = None
    tries: int = 0

    @property
    def key(self) -> CommandKey:
        """The subject of the command."""
        return CommandKey(self.session_id, self.attempt, self.resume_token is not None)

    @property
    def is_release(self) -> bool:
        """Whether the command releases its attempt."""
        return self.rung is None and self.resume_token is None

    def replace_with(self, newer: Command) -> None:
        """Adopt the values of a newer command with the same key; a release is not changed."""
        if newer.resume_token is not None:
            self.resume_token, self.tries = newer.resume_token, 0
        elif self.rung is not None:
            self.rung, self.tries = newer.rung, 0


@dataclass(slots=True, eq=False)
class ServerCommands:
    """The commands for one server, the oldest first."""

    commands: OrderedDict[CommandKey, Command] = field(default_factory=OrderedDict)
    is_in_flight: bool = False
    not_before_us: int = 0
    failures: int = 0

    def is_ready(self, now_us: int) -> bool:
        """Whether a command may be sent to the server now."""
        return bool(self.commands) and not self.is_in_flight and self.not_before_us <= now_us


class CommandQueue:
    """The commands of all servers, bounded in number. Times in microseconds; the caller holds the lock."""

    def __init__(self, max_commands: int) -> None:
        self.max_commands = max_commands
        self.by_server: OrderedDict[str, ServerCommands] = OrderedDict()
        self.count = 0
        self.dropped_count = 0

    def add(self, command: Command) -> None:
        """Enqueue a command, or let it replace the queued one with the same key.

        Beyond the bound, the longest queue drops its oldest command that is not a release: a rung is sent
        again with the next load report, a release is not. If the queue has only releases, the oldest one is
        dropped, and the server's own time limit ends the session.
        """
        queue = self.by_server.setdefault(command.server, ServerCommands())
        waiting = queue.commands.get(command.key)
        if waiting is not None:
            waiting.replace_with(command)
            return
        queue.commands[command.key] = command
        self.count += 1
        if self.count > self.max_commands:
            self._drop_one()

    def _drop_one(self) -> None:
        queue = max(self.by_server.values(), key=lambda queue: len(queue.commands))
        repeatable = (key for key, command in queue.commands.items() if not command.is_release)
        oldest = next(iter(queue.commands))
        queue.commands.pop(next(repeatable, oldest))
        self.count -= 1
        self.dropped_count += 1

    def pop_ready(self, now_us: int) -> Command | None:
        """Remove and return the next command to send, which then is in flight; None where all must wait."""
        for server, queue in self.by_server.items():
            if queue.is_ready(now_us):
                queue.is_in_flight = True
                _, command = queue.commands.popitem(last=False)
                self.count -= 1
                self.by_server.move_to_end(server)
                return command
        return None

    def wait_us(self, now_us: int) -> int | None:
        """The time until a command may be sent; None if none is queued for a server without one in flight."""
        times = [
            queue.not_before_us
            for queue in self.by_server.values()
            if queue.commands and not queue.is_in_flight
        ]
        return max(0, min(times) - now_us) if times else None

    def complete(self, command: Command, has_succeeded: bool, now_us: int) -> None:
        """Complete a command that was in flight: it has succeeded, or is retried after a backoff.

        It is dropped after `MAX_TRIES` tries, or if a newer command with its key is queued.
        """
        queue = self.by_server[command.server]
        queue.is_in_flight = False
        if has_succeeded:
            queue.failures = 0
        else:
            queue.failures += 1
            queue.not_before_us = now_us + BACKOFF.delay_us(queue.failures - 1)
            self._retry(queue, command)
        if not queue.commands:
            del self.by_server[command.server]  # servers come and go: an idle one must not occupy memory

    def _retry(self, queue: ServerCommands, command: Command) -> None:
        command.tries += 1
        if command.key in queue.commands:
            return
        if command.tries >= MAX_TRIES:
            self.dropped_count += 1
            return
        queue.commands[command.key] = command
        queue.commands.move_to_end(command.key, last=False)
        self.count += 1
