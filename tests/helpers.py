"""Builds placement policies, servers and events for tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fennelcove.interface import (
    AttemptCompleted,
    Effect,
    ListEntry,
    ListMode,
    ListUpdate,
    Outcome,
    ReportKind,
    Request,
    Scope,
    ServerState,
    ServiceClass,
    SessionReport,
    SessionStarted,
    Settings,
)
from fennelcove.placement import PlacementPolicy

SECOND_US = 1_000_000
SERVICE_CLASS = ServiceClass(SECOND_US, 1.0, Effect.FREE, Scope.ALL, 5 * SECOND_US, 1.0, 0, 0)
SETTINGS = Settings(
    {"standard": SERVICE_CLASS},
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
    SECOND_US,
    3 * SECOND_US,
    1.0,
    0.0,
    4,
    2 * SECOND_US,
    False,
    None,
    0.5,
    10 * SECOND_US,
    None,
    0.0,
    0,
)


class Recorder:
    """Records the effects of a policy."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))

    def named(self, name: str) -> list[tuple[Any, ...]]:
        return [call for call in self.calls if call[0] == name]


def list_entry(address: str, cell: int, **changes: Any) -> ListEntry:
    return replace(ListEntry(address, "here", "kind", cell, ServerState.ACTIVE, 1.0, 0), **changes)


def make_policy(
    servers: int = 3, service_class: dict[str, Any] | None = None, warm: bool = True, **settings: Any
) -> tuple[PlacementPolicy, Recorder]:
    """Return a policy at 100 s and its recorded effects; each server has reported an empty link.

    The servers have warmed up, unless `warm` is False: then the policy is at 0 s.
    """
    service_classes = {"standard": replace(SERVICE_CLASS, **(service_class or {}))}
    effects = Recorder()
    policy = PlacementPolicy(replace(SETTINGS, service_classes=service_classes, **settings), 7, effects, 0)
    policy.handle(ListUpdate(ListMode.FULL, tuple(list_entry(f"s{i}", i) for i in range(servers))), 0)
    policy.now_us = 100 * SECOND_US if warm else 0
    for server in policy.servers.values():
        server.link.observe(0.0, policy.now_us - 1)
        policy.record_contact(server)
    effects.calls.clear()
    return policy, effects


def request_session(
    policy: PlacementPolicy, id: str = "a", time_us: int | None = None, **changes: Any
) -> None:
    request = replace(Request(id, "standard", 5, 0, 3, 2, 3 * SECOND_US), **changes)
    policy.handle(request, policy.now_us if time_us is None else time_us)


def complete_attempt(
    policy: PlacementPolicy,
    outcome: Outcome,
    id: str = "a",
    attempt: int = 0,
    delay_us: int = SECOND_US // 10,
    finished: bool = False,
) -> None:
    policy.handle(AttemptCompleted(id, attempt, outcome, finished, None), policy.now_us + delay_us)


def establish_session(policy: PlacementPolicy, id: str = "a", **changes: Any) -> None:
    request_session(policy, id, **changes)
    policy.handle(
        SessionStarted(id, len(policy.sessions[id].attempts) - 1, SECOND_US // 10),
        policy.now_us + SECOND_US // 10,
    )


def report_measurement(
    policy: PlacementPolicy, kind: ReportKind, level: float, id: str = "a", delay_us: int = SECOND_US
) -> None:
    policy.handle(
        SessionReport(id, policy.sessions[id].server.address, kind, level), policy.now_us + delay_us
    )
