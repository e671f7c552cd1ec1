"""What one event costs must not grow with the fleet: its work is done while every request waits for the lock.

Cost is counted in lines of Python run, so that the verdict does not hang on the machine.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

from fennelcove.interface import ListMode, ListUpdate, Outcome, ServerState
from fennelcove.placement import PlacementPolicy
from fennelcove.placement.state import MAX_SAMPLED_LINKS

from tests.helpers import end, entry, front, play

USUAL, MANY = 200, 3_200
GROWTH = (
    1.4  # the operators' bound on processor time from the usual number of servers to sixteen times as many
)
SESSIONS = 20


def lines_run(call: Callable[[], object]) -> int:
    """Lines of Python that a call runs, each time through a loop or a comprehension counted."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def policy_among(servers: int) -> PlacementPolicy:
    """A policy that knows so many servers in two racks, and has a session playing at each of a few."""
    policy, _ = front(0, total_links_kb=1_000.0 * servers, uplink_kb=1_000.0 * servers)
    policy.handle(ListUpdate(ListMode.FULL, tuple(entry(f"s{i}", i) for i in range(servers))), policy.now_us)
    for i in range(SESSIONS):
        play(policy, f"session-{i}", first_cell=i % policy.settings.cell_count)
    return policy


def assert_no_growth(lines_among: Callable[[int], int]) -> None:
    assert lines_among(MANY) <= GROWTH * lines_among(USUAL)


def test_the_end_of_a_session_visits_no_server_without_sessions() -> None:
    def lines_among(servers: int) -> int:
        policy = policy_among(servers)
        return lines_run(lambda: end(policy, Outcome.SERVED, "session-3", finished=True))

    assert_no_growth(lines_among)


def test_a_change_of_the_list_visits_no_unchanged_server() -> None:
    def lines_among(servers: int) -> int:
        policy = policy_among(servers)
        draining = ListUpdate(ListMode.INCREMENTAL, (entry("s100", 100, state=ServerState.LEAVING),))
        return lines_run(lambda: policy.handle(draining, policy.now_us))

    assert_no_growth(lines_among)


def test_racks_hold_active_servers_and_those_with_sessions_in_the_order_of_the_list() -> None:
    policy = policy_among(30)
    busy = next(iter(policy.sessions.values())).server
    update = tuple(
        entry(name, cell, state=ServerState.LEFT) for name, cell in ((busy.address, busy.cell), ("s20", 20))
    )
    policy.handle(ListUpdate(ListMode.INCREMENTAL, update), policy.now_us)
    policy.handle(ListUpdate(ListMode.INCREMENTAL, (entry("s30", 30), entry("s20", 20))), policy.now_us)
    names = [[server.address for server in rack.servers] for rack in policy.racks]
    assert names[0] == [f"s{i}" for i in range(0, 30, 2) if i != 20] + ["s30", "s20"]
    assert names[1] == [f"s{i}" for i in range(1, 30, 2)]
    for id in list(busy.sessions):
        end(policy, Outcome.SERVED, id.id, finished=True)
    policy.handle(ListUpdate(ListMode.INCREMENTAL, (entry("s31", 31),)), policy.now_us)
    assert busy.address not in policy.servers
    assert all(busy not in rack.servers for rack in policy.racks)


def test_the_mean_utilization_samples_a_bounded_number_of_servers() -> None:
    def lines_among(servers: int) -> int:
        policy = policy_among(servers)
        for server in policy.servers.values():
            policy.record_contact(server)
            server.link.observe(0.5, policy.now_us)
        policy.now_us += 1
        return lines_run(policy.mean_utilization)

    assert lines_among(MANY) <= GROWTH * lines_among(MAX_SAMPLED_LINKS)


def test_the_mean_utilization_follows_the_servers_contacted_last() -> None:
    policy = policy_among(2 * MAX_SAMPLED_LINKS)
    for server in policy.servers.values():
        policy.record_contact(server)
        server.link.observe(0.9, policy.now_us)
    again = list(policy.servers.values())[:MAX_SAMPLED_LINKS]
    for server in again:
        policy.record_contact(server)
        server.link.observe(0.3, policy.now_us)
    policy.now_us += 1
    assert abs(policy.mean_utilization() - 0.3) < 0.05
