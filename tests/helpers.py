"""Builds fronts, servers and requests for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fennelcove.interface import (Effect, JoinEnded, ListEntry, ListMode, ListUpdate, Note, NoteKind, Outcome,
                                  Request, RoomType, Scope, Settings, Standing, Started)
from fennelcove.rules import Front

SECOND = 1_000_000
ROOM = RoomType(SECOND, 1.0, Effect.FREE, Scope.ALL, 5 * SECOND, 1.0, 0, 0)
SETTINGS = Settings({"room": ROOM}, 2, 0, "here", (100.0, 200.0, 400.0), (0.3, 0.6, 1.0), {"kind": 20},
                    1000.0, 3000.0, False, 2, 6, 2500.0, False, SECOND, 3 * SECOND, 1.0, 0.0, 4,
                    2 * SECOND, False, None, 0.5, 10 * SECOND, None, 0.0, 0)


class Recorder:
    """Effects that are only written down."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))

    def named(self, name: str) -> list[tuple[Any, ...]]:
        return [call for call in self.calls if call[0] == name]


def entry(address: str, cell: int, **changes: Any) -> ListEntry:
    return replace(ListEntry(address, "here", "kind", cell, Standing.ACTIVE, 1.0, 0), **changes)


def front(servers: int = 3, room: dict[str, Any] | None = None, warm: bool = True,
          **settings: Any) -> tuple[Front, Recorder]:
    """A front at 100 s that has heard an empty link from each server, all long warm unless told otherwise."""
    rooms = {"room": replace(ROOM, **(room or {}))}
    effects = Recorder()
    made = Front(replace(SETTINGS, rooms=rooms, **settings), 7, effects, 0)
    made.handle(ListUpdate(ListMode.FULL, tuple(entry(f"s{i}", i) for i in range(servers))), 0)
    made.now_us = 100 * SECOND if warm else 0
    for server in made.servers.values():
        server.link.hear(0.0, made.now_us - 1)
        made.met[server] = None
    effects.calls.clear()
    return made, effects


def ask(made: Front, id: str = "a", at: int | None = None, **changes: Any) -> None:
    request = replace(Request(id, "room", 5, 0, 3, 2, 3 * SECOND), **changes)
    made.handle(request, made.now_us if at is None else at)


def end(made: Front, outcome: Outcome, id: str = "a", join: int = 0, after: int = SECOND // 10,
        finished: bool = False) -> None:
    made.handle(JoinEnded(id, join, outcome, finished, None), made.now_us + after)


def play(made: Front, id: str = "a", **changes: Any) -> None:
    ask(made, id, **changes)
    made.handle(Started(id, len(made.subs[id].joins) - 1, SECOND // 10), made.now_us + SECOND // 10)


def note(made: Front, kind: NoteKind, level: float, id: str = "a", after: int = SECOND) -> None:
    made.handle(Note(id, made.subs[id].server.address, kind, level), made.now_us + after)
