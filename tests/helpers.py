"""Builds fronts, servers and requests for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fennelcove.interface import (
    Effect,
    AttemptCompleted,
    ListEntry,
    ListMode,
    ListUpdate,
    SessionReport,
    ReportKind,
    Outcome,
    Request,
    ServiceClass,
    Scope,
    Settings,
    ServerState,
    SessionStarted,
)
from fennelcove.placement import PlacementPolicy

SECOND = 1_000_000
ROOM = ServiceClass(SECOND, 1.0, Effect.FREE, Scope.ALL, 5 * SECOND, 1.0, 0, 0)
SETTINGS = Settings(
    {"room": ROOM},
    2,
    0,
    "here",
    (100.0, 200.0, 400.0),
    (0.3, 0.6, 1.0),
    {"kind": 20},
    1000.0,
    3000.0,
    False,
    2,
    6,
    2500.0,
    False,
    SECOND,
    3 * SECOND,
    1.0,
    0.0,
    4,
    2 * SECOND,
    False,
    None,
    0.5,
    10 * SECOND,
    None,
    0.0,
    0,
)


class Recorder:
    """Effects that are only written down."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))

    def named(self, name: str) -> list[tuple[Any, ...]]:
        return [call for call in self.calls if call[0] == name]


def entry(address: str, cell: int, **changes: Any) -> ListEntry:
    return replace(ListEntry(address, "here", "kind", cell, ServerState.ACTIVE, 1.0, 0), **changes)


def front(
    servers: int = 3, service_class: dict[str, Any] | None = None, warm: bool = True, **settings: Any
) -> tuple[PlacementPolicy, Recorder]:
    """A front at 100 s that has heard an empty link from each server, all long warm unless told otherwise."""
    service_classes = {"room": replace(ROOM, **(service_class or {}))}
    effects = Recorder()
    made = PlacementPolicy(replace(SETTINGS, service_classes=service_classes, **settings), 7, effects, 0)
    made.handle(ListUpdate(ListMode.FULL, tuple(entry(f"s{i}", i) for i in range(servers))), 0)
    made.now_us = 100 * SECOND if warm else 0
    for server in made.servers.values():
        server.link.observe(0.0, made.now_us - 1)
        made.contacted[server] = None
    effects.calls.clear()
    return made, effects


def ask(made: PlacementPolicy, id: str = "a", at: int | None = None, **changes: Any) -> None:
    request = replace(Request(id, "room", 5, 0, 3, 2, 3 * SECOND), **changes)
    made.handle(request, made.now_us if at is None else at)


def end(
    made: PlacementPolicy,
    outcome: Outcome,
    id: str = "a",
    join: int = 0,
    after: int = SECOND // 10,
    finished: bool = False,
) -> None:
    made.handle(AttemptCompleted(id, join, outcome, finished, None), made.now_us + after)


def play(made: PlacementPolicy, id: str = "a", **changes: Any) -> None:
    ask(made, id, **changes)
    made.handle(
        SessionStarted(id, len(made.sessions[id].attempts) - 1, SECOND // 10), made.now_us + SECOND // 10
    )


def note(made: PlacementPolicy, kind: ReportKind, level: float, id: str = "a", after: int = SECOND) -> None:
    made.handle(SessionReport(id, made.sessions[id].server.address, kind, level), made.now_us + after)
