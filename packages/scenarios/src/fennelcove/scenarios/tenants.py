"""Each tenant's share of the servers' slots, checked against the scenario's limits.

It is derived from what passed on the sockets of servers and clients, not from what fronts report.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from statistics import median
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.exemptions import SLACK_US

# Beside the six rules: attempts in flight at a server over all fronts; waits of other tenants; the share of
# their clients that is served; a fault that the scenario requires did not occur.
SLOTS_RULE = 10
WAITS_RULE = 11
SERVED_SHARE_RULE = 12
MISSING_FAULT_RULE = 13
STATUS_SERVED = 201
MIN_HOG_MULTIPLE = 3  # the hog must send at least this multiple of another tenant's requests


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one tenant, from when the hog arrives."""

    name: str
    asked: int
    served: float  # the share of its clients that were served, at the first try or a retry
    wait_p50_ms: float  # from the request until the attempt reaches its server
    wait_p99_ms: float
    slot_s: float


class Tenants(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of all tenants."""

    tenants: list[Tenant]
    most_out: int  # most attempts in flight at one server, over all fronts
    slots: int


@dataclass(slots=True)
class Violation:
    """One violation; `name` is a session or a tenant."""

    rule: int
    t_us: int
    name: str
    reason: str


@dataclass(slots=True)
class TenantResult:
    """The figures and the violations."""

    shown: Tenants
    violations: list[Violation] = field(default_factory=list)


@dataclass(slots=True)
class _Attempt:
    server: str
    front: str
    started_us: int
    completed_us: int | None = None
    outcome: str = ""


def check_tenants(records: list[Record]) -> TenantResult:
    """Compute and check the figures of all tenants."""
    terms = next(record for record in records if record["what"] == "terms")["tenants"]
    began_us = next(record["t_us"] for record in records if record["what"] == "day_began")
    from_us = began_us + round(terms["from_s"] * 1e6)
    asked = {(r["viewer"], r["number"]): r for r in records if r["what"] == "asked"}
    request_by_session, attempts = _index_attempts(records, asked)
    rows = _rows(records, asked, request_by_session, attempts, from_us)
    most, excess = _max_in_flight(attempts, terms["slots"])
    found = TenantResult(Tenants(tenants=rows, most_out=most, slots=terms["slots"]), excess)
    _check_bounds(found, terms, from_us)
    _check_faults_occurred(found, terms, records, attempts, asked)
    return found


def _index_attempts(
    records: list[Record], asked: dict[tuple[str, int], Record]
) -> tuple[dict[str, Record], dict[str, list[_Attempt]]]:
    request_by_session: dict[str, Record] = {}
    attempts: dict[str, list[_Attempt]] = defaultdict(list)
    for record in records:
        if record["what"] == "answered" and record.get("subscription"):
            request_by_session[record["subscription"]] = asked[record["viewer"], record["number"]]
        elif record["what"] == "set_up":
            attempts[record["subscription"]].append(_Attempt(record["box"], record["front"], record["t_us"]))
        elif record["what"] == "set_up_over":
            for attempt in reversed(attempts[record["subscription"]]):
                if attempt.server == record["box"] and attempt.completed_us is None:
                    attempt.completed_us, attempt.outcome = record["t_us"], record["how"]
                    break
    return request_by_session, attempts


def _pauses(records: list[Record]) -> dict[str, list[tuple[int, int]]]:
    """When each front was paused, by its address for clients; requests to it then wait for no slot."""
    addresses = {r["front"]: r["address"] for r in records if r["what"] == "front_started"}
    found: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for record in records:
        if record["what"] == "front_paused":
            found[addresses[record["front"]]].append((record["t_us"], records[-1]["t_us"]))
        elif record["what"] == "front_continued":
            spans = found[addresses[record["front"]]]
            spans[-1] = spans[-1][0], record["t_us"] + SLACK_US
    return found


def _rows(
    records: list[Record],
    asked: dict[tuple[str, int], Record],
    request_by_session: dict[str, Record],
    attempts: dict[str, list[_Attempt]],
    from_us: int,
) -> list[Tenant]:
    pauses = _pauses(records)
    waits, slot_us = defaultdict[str, list[int]](list), defaultdict[str, int](int)
    for id, found in attempts.items():
        ask = request_by_session.get(id)
        if ask is None:
            continue  # its client received no response, so its tenant is unknown
        tenant = ask["tenant"]
        was_paused = any(
            since < found[0].started_us and ask["t_us"] < until
            for since, until in pauses.get(ask["front"], ())
        )
        if ask["t_us"] >= from_us and not was_paused:
            waits[tenant].append(found[0].started_us - ask["t_us"])
        slot_us[tenant] += sum(
            max(0, attempt.completed_us - max(attempt.started_us, from_us))
            for attempt in found
            if attempt.completed_us is not None
        )
    clients, played = defaultdict[str, set[str]](set), defaultdict[str, set[str]](set)
    hung_up_clients = {r["viewer"] for r in records if r["what"] == "unanswered" and r["how"] == "hung_up"}
    for (client, number), ask in asked.items():
        if number == 0 and ask["t_us"] >= from_us and client not in hung_up_clients:
            clients[ask["tenant"]].add(client)
    for record in records:
        if record["what"] == "answered" and record["status"] == STATUS_SERVED:
            tenant = asked[record["viewer"], record["number"]]["tenant"]
            if record["viewer"] in clients[tenant]:
                played[tenant].add(record["viewer"])
    rows = []
    for tenant in sorted(clients):
        times = sorted(waits[tenant]) or [0]
        rows.append(
            Tenant(
                name=tenant,
                asked=sum(1 for ask in asked.values() if ask["tenant"] == tenant and ask["t_us"] >= from_us),
                served=round(len(played[tenant]) / len(clients[tenant]), 4),
                wait_p50_ms=times[len(times) // 2] / 1000,
                wait_p99_ms=times[min(len(times) - 1, len(times) * 99 // 100)] / 1000,
                slot_s=round(slot_us[tenant] / 1e6, 3),
            )
        )
    return rows


def _max_in_flight(attempts: dict[str, list[_Attempt]], slots: int) -> tuple[int, list[Violation]]:
    """The most attempts in flight at one server, and a violation for each moment with more than its slots."""
    changes_by_server: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    for id, found in attempts.items():
        for attempt in found:
            completed_us = attempt.completed_us if attempt.completed_us is not None else attempt.started_us
            if attempt.outcome == "front_closed":
                completed_us -= SLACK_US  # the server notices the cancellation late
            changes_by_server[attempt.server].append((attempt.started_us, 1, id))
            changes_by_server[attempt.server].append((max(attempt.started_us, completed_us), -1, id))
    most, violations = 0, []
    for server, changes in changes_by_server.items():
        in_flight = 0
        for t_us, change, id in sorted(changes):
            in_flight += change
            most = max(most, in_flight)
            if change > 0 and in_flight > slots:
                violations.append(
                    Violation(
                        SLOTS_RULE,
                        t_us,
                        id,
                        f"{in_flight} attempts in flight at {server}, which has {slots} slots",
                    )
                )
    return most, violations


def _check_bounds(found: TenantResult, terms: dict[str, Any], from_us: int) -> None:
    for row in found.shown.tenants:
        if row.name == terms["hog"]:
            continue
        if row.served < terms["served"]:
            found.violations.append(
                Violation(
                    SERVED_SHARE_RULE,
                    from_us,
                    row.name,
                    f"served {row.served}, at least {terms['served']} is required",
                )
            )
        if row.wait_p99_ms > terms["wait_ms"]:
            found.violations.append(
                Violation(
                    WAITS_RULE,
                    from_us,
                    row.name,
                    f"waits of {row.wait_p99_ms} ms (p99), at most {terms['wait_ms']} are allowed",
                )
            )


def _check_faults_occurred(
    found: TenantResult,
    terms: dict[str, Any],
    records: list[Record],
    attempts: dict[str, list[_Attempt]],
    asked: dict[tuple[str, int], Record],
) -> None:
    """Check that the overload and the faults of the scenario occurred."""
    end_us = records[-1]["t_us"]

    def missing(reason: str) -> None:
        found.violations.append(Violation(MISSING_FAULT_RULE, end_us, terms["hog"], reason))

    hog = next((row.asked for row in found.shown.tenants if row.name == terms["hog"]), 0)
    others = [row.asked for row in found.shown.tenants if row.name != terms["hog"]]
    if not others or hog < MIN_HOG_MULTIPLE * median(others):
        missing(f"the hog sent {hog} requests, the other tenants {others}")
    if found.shown.most_out < min(terms["slots"], terms["fills"]):
        missing(
            f"never more than {found.shown.most_out} of {found.shown.slots} slots of a server were in use"
        )
    if terms["cut"]:
        injected = [record for record in records if record["what"] == "fault" and record["on"]]
        if not injected:
            missing("no network fault was injected")
    if terms["hops"]:
        fronts = {ask["front"] for ask in asked.values() if ask["tenant"] == terms["hog"]}
        if len(fronts) < 2:
            missing("the hog used one front only")
    if terms["stopped"]:
        pauses = [record for record in records if record["what"] == "front_paused"]
        slots_in_use = [
            attempt
            for session_attempts in attempts.values()
            for attempt in session_attempts
            for stop in pauses
            if attempt.front == stop["front"]
            and attempt.started_us <= stop["t_us"] <= (attempt.completed_us or end_us)
        ]
        if not slots_in_use:
            missing("no front was paused while it used slots")
