"""Which order to a box goes out next: new rungs, and releases of what nobody watches.

Orders wait here while a box is slow. Of two rungs for one subscription the later counts; a release makes
every rung moot; one order a box is out at a time, so that a hanging box holds one sender and not all; boxes
take turns.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 2_000_000
MAX_TRIES = 6
CARRY_OUT_US = 1_000_000  # a box that needs longer for an order is tried again later


CommandKey = tuple[str, int, bool]


@dataclass(slots=True, eq=False)
class Command:
    """What one box is to do for one subscription's join: keep a mark, play a rung, or with neither release
    it."""

    server: str
    id: str
    attempt: int
    rung: int | None
    mark: str | None = None
    tries: int = 0

    @property
    def key(self) -> CommandKey:
        """Of two orders with one key the later counts."""
        return self.id, self.attempt, self.mark is not None


@dataclass(slots=True, eq=False)
class ServerCommands:
    """One box's orders, the oldest first."""

    commands: OrderedDict[CommandKey, Command] = field(default_factory=OrderedDict)
    is_in_flight: bool = False
    not_before_us: int = 0
    failures: int = 0


class CommandQueue:
    """All boxes' orders, bounded in number. Times in microseconds; the caller holds the lock."""

    def __init__(self, most: int) -> None:
        self.max_commands = most
        self.by_server: OrderedDict[str, ServerCommands] = OrderedDict()
        self.count = 0
        self.dropped_count = 0

    def add(self, order: Command) -> None:
        """Take an order in.

        Past the bound the oldest rung of the longest line goes: a rung comes again with the next note, a
        release does not. Where only releases are left the oldest goes, and the box's own limit ends what it
        names.
        """
        line = self.by_server.setdefault(order.server, ServerCommands())
        held = line.commands.get(order.key)
        if held is not None:
            if order.mark is not None:
                held.mark, held.tries = order.mark, 0
            elif held.rung is not None:
                held.rung, held.tries = order.rung, 0
            return
        line.commands[order.key] = order
        self.count += 1
        if self.count > self.max_commands:
            self._drop_one()

    def _drop_one(self) -> None:
        line = max(self.by_server.values(), key=lambda line: len(line.commands))
        mild = (
            key for key, order in line.commands.items() if order.rung is not None or order.mark is not None
        )
        victim = next(mild, None)
        line.commands.pop(victim if victim is not None else next(iter(line.commands)))
        self.count -= 1
        self.dropped_count += 1

    def take(self, now_us: int) -> Command | None:
        """The next order that may go out, marking its box busy; None where all must wait."""
        for server, line in self.by_server.items():
            if line.commands and not line.is_in_flight and line.not_before_us <= now_us:
                line.is_in_flight = True
                _, order = line.commands.popitem(last=False)
                self.count -= 1
                self.by_server.move_to_end(server)
                return order
        return None

    def wait_us(self, now_us: int) -> int | None:
        """How long until some order may go out; None while there is none to wait for."""
        times = [
            line.not_before_us for line in self.by_server.values() if line.commands and not line.is_in_flight
        ]
        return max(0, min(times) - now_us) if times else None

    def done(self, order: Command, carried_out: bool, now_us: int) -> None:
        """An order came back: carried out, or to be tried again after a growing pause, so often at most."""
        line = self.by_server[order.server]
        line.is_in_flight = False
        if carried_out:
            line.failures = 0
            if not line.commands:
                del self.by_server[order.server]  # boxes come and go: an idle one must leave nothing behind
            return
        line.failures += 1
        line.not_before_us = now_us + min(
            MAX_BACKOFF_US, INITIAL_BACKOFF_US * 2 ** min(line.failures - 1, 16)
        )
        order.tries += 1
        newer = order.key in line.commands
        if order.tries < MAX_TRIES and not newer:
            line.commands[order.key] = order
            line.commands.move_to_end(order.key, last=False)
            self.count += 1
        elif not newer:
            self.dropped_count += 1
        if not line.commands and not line.is_in_flight:
            del self.by_server[order.server]
