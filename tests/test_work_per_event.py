"""The cost of one event must not grow with the fleet, since all requests wait for the lock meanwhile.

Cost is counted in executed lines of Python, so that the result does not depend on the machine.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.interface import ListMode, ListUpdate, Outcome, ReportKind, ServerState
from fennelcove.log import silent
from fennelcove.node import config
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryEvent
from fennelcove.node.session_manager import SessionManager
from fennelcove.placement import PlacementPolicy
from fennelcove.placement.state import MAX_SAMPLED_LINKS

from tests.helpers import (
    SECOND_US,
    complete_attempt,
    establish_session,
    list_entry,
    make_policy,
    report_measurement,
)
from tests.node_harness import SETTINGS, notice

USUAL_SERVERS, MANY_SERVERS = 200, 3_200
GROWTH = (
    1.4  # the operators' bound on processor time from the usual number of servers to sixteen times as many
)
SESSIONS = 20


def lines_run(call: Callable[[], object]) -> int:
    """The number of Python lines that a call executes; each iteration of a loop or comprehension counts."""
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
    """A policy that knows so many servers in two racks, with one session at each of the first few."""
    policy, _ = make_policy(0, total_links_kb=1_000.0 * servers, uplink_kb=1_000.0 * servers)
    policy.handle(
        ListUpdate(ListMode.FULL, tuple(list_entry(f"s{i}", i) for i in range(servers))), policy.now_us
    )
    for i in range(SESSIONS):
        establish_session(policy, f"session-{i}", first_cell=i % policy.settings.cell_count)
    return policy


def assert_no_growth(lines_among: Callable[[int], int]) -> None:
    """Check that work for many servers is not much more than for the usual number."""
    assert lines_among(MANY_SERVERS) <= GROWTH * lines_among(USUAL_SERVERS)


def test_the_end_of_a_session_visits_no_server_without_sessions() -> None:
    def lines_among(servers: int) -> int:
        policy = policy_among(servers)
        return lines_run(lambda: complete_attempt(policy, Outcome.SERVED, "session-3", finished=True))

    assert_no_growth(lines_among)


def test_a_change_of_the_list_visits_no_unchanged_server() -> None:
    def lines_among(servers: int) -> int:
        policy = policy_among(servers)
        draining = ListUpdate(ListMode.INCREMENTAL, (list_entry("s100", 100, state=ServerState.LEAVING),))
        return lines_run(lambda: policy.handle(draining, policy.now_us))

    assert_no_growth(lines_among)


def test_racks_contain_active_servers_and_those_with_sessions_in_list_order() -> None:
    policy = policy_among(30)
    busy = next(iter(policy.sessions.values())).server
    update = tuple(
        list_entry(name, cell, state=ServerState.LEFT)
        for name, cell in ((busy.address, busy.cell), ("s20", 20))
    )
    policy.handle(ListUpdate(ListMode.INCREMENTAL, update), policy.now_us)
    policy.handle(
        ListUpdate(ListMode.INCREMENTAL, (list_entry("s30", 30), list_entry("s20", 20))), policy.now_us
    )
    names = [[server.address for server in rack.servers] for rack in policy.racks]
    assert names[0] == [f"s{i}" for i in range(0, 30, 2) if i != 20] + ["s30", "s20"]
    assert names[1] == [f"s{i}" for i in range(1, 30, 2)]
    for id in list(busy.sessions):
        complete_attempt(policy, Outcome.SERVED, id.id, finished=True)
    policy.handle(ListUpdate(ListMode.INCREMENTAL, (list_entry("s31", 31),)), policy.now_us)
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

    assert lines_among(MANY_SERVERS) <= GROWTH * lines_among(MAX_SAMPLED_LINKS)


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


def node_among(servers: int, connected: int = SESSIONS) -> SessionManager:
    """A session manager without sockets; the servers that it is connected to have just been removed."""
    entries = [host_entry(i) for i in range(servers)]
    known = {"rev": 1, "notices": [notice(1, entries, complete=True)]}
    node_config = {"listen": "127.0.0.1:1", "board": "127.0.0.1:2", "known": known, "settings": SETTINGS}
    clock = ManualClock(wall_start_us=1_700_000_000 * SECOND_US)
    node = SessionManager(config.parse(node_config), clock, Timers(clock), silent)
    for event in node.config.initial_batch.events:
        node.on_discovery_event(event)
    for i in range(connected):
        node.pool.create(node.servers[f"s{i}"])
    removed = [host_entry(i, health="removed") for i in range(connected)]
    node.on_discovery_event(change(2, *removed))
    return node


def host_entry(i: int, **changes: Any) -> dict[str, Any]:
    """The entry of a server in a discovery notice."""
    address = f"127.0.{i // 250}.{i % 250}:3868"
    defaults = {"site": "here", "class": "kind", "block": i, "health": "up", "share": 1, "born_ms": 0}
    return {"host": f"s{i}", "dial": address, **defaults, **changes}


def change(rev: int, *entries: dict[str, Any]) -> DiscoveryEvent:
    """A discovery event with these servers."""
    [event] = DiscoveryBatch.parse({"rev": rev, "notices": [notice(rev, list(entries))]}).events
    return event


def test_a_discovery_event_visits_no_server_without_connections() -> None:
    def lines_among(servers: int) -> int:
        node = node_among(servers)
        event = change(3, host_entry(100, host="new", dial="127.1.0.1:3868"))
        return lines_run(lambda: node.on_discovery_event(event))

    assert_no_growth(lines_among)


def test_a_batch_of_discovery_events_visits_connected_servers_once() -> None:
    # Each event of a batch visited all of them: the events of a release held the lock for 124 ms.
    def lines_with(connected: int) -> int:
        node = node_among(USUAL_SERVERS, connected)
        events = [
            change(rev, host_entry(rev, host=f"new-{rev}", dial=f"127.1.0.{rev}:3868"))
            for rev in range(3, 203)
        ]
        return lines_run(lambda: node.on_discovery_events(events))

    assert lines_with(80) <= GROWTH * lines_with(20)


def test_maintenance_visits_no_server_without_connections() -> None:
    def lines_among(servers: int) -> int:
        node = node_among(servers)
        node.run_maintenance()
        return lines_run(node.run_maintenance)

    assert_no_growth(lines_among)


def test_closing_an_idle_connection_visits_no_server_without_connections() -> None:
    def lines_among(servers: int) -> int:
        node = node_among(servers)
        node.run_maintenance()
        return lines_run(node.pool.close_idle)

    assert_no_growth(lines_among)


def test_the_work_on_a_batch_of_events_grows_only_with_their_number() -> None:
    def lines_for(events: int) -> int:
        notices = [notice(rev, [host_entry(rev)]) for rev in range(2, events + 2)]
        batch = DiscoveryBatch.parse({"rev": events + 1, "notices": notices})
        return lines_run(lambda: batch.events_after(1, gapless=True))

    assert lines_for(1_600) <= GROWTH * 16 * lines_for(100)


def test_a_change_of_the_list_visits_no_server_that_drains_unchanged() -> None:
    def lines_among(draining: int) -> int:
        policy = policy_among(MANY_SERVERS)
        update = tuple(list_entry(f"s{i}", i, state=ServerState.LEAVING) for i in range(draining))
        policy.handle(ListUpdate(ListMode.INCREMENTAL, update), policy.now_us)
        another = ListUpdate(ListMode.INCREMENTAL, (list_entry("new", 7),))
        return lines_run(lambda: policy.handle(another, policy.now_us))

    assert lines_among(USUAL_SERVERS * 10) <= GROWTH * lines_among(USUAL_SERVERS)


def overloaded(servers: int) -> PlacementPolicy:
    """A policy of one of three fronts that share the servers."""
    policy = policy_among(servers)
    policy.settings = replace(policy.settings, front_count=3)
    return policy


def test_an_overloaded_uplink_costs_no_work_and_no_memory_for_each_server_of_the_rack() -> None:
    # Each report added an entry to every link of the rack: 50 MB in 20 s with 3,200 servers.
    def lines_among(servers: int) -> int:
        policy = overloaded(servers)
        return lines_run(lambda: report_measurement(policy, ReportKind.UPLINK, 1.5, "session-3"))

    assert_no_growth(lines_among)
    policy = overloaded(MANY_SERVERS)
    for _ in range(20):
        report_measurement(policy, ReportKind.UPLINK, 1.5, "session-3")
    assert sum(len(server.link.unreported) for server in policy.servers.values()) < 20 * SESSIONS * 2


def test_an_overloaded_uplink_accounts_for_the_load_of_other_fronts_on_all_its_servers() -> None:
    policy = overloaded(USUAL_SERVERS)
    rack = policy.sessions["session-3"].server.rack
    report_measurement(policy, ReportKind.UPLINK, 1.5, "session-3")
    others_kb = sum(policy.others_kb(server) for server in rack.servers)
    assert abs(rack.uplink.unreported_kb) > 0.3 * others_kb


def test_a_report_of_short_delivery_visits_no_server_that_was_never_contacted() -> None:
    def lines_among(servers: int) -> int:
        policy = overloaded(servers)
        report_measurement(policy, ReportKind.LINK, 0.4, "session-3")
        return lines_run(
            lambda: report_measurement(policy, ReportKind.DELIVERED, 0.5, "session-3", delay_us=1)
        )

    assert_no_growth(lines_among)


def test_servers_whose_sessions_have_ended_are_not_loaded() -> None:
    # Rounding left a remainder in sums of rates, so each server ever used was visited at each session's end.
    sizes = {"total_links_kb": 90_000.0, "uplink_kb": 90_000.0, "ladder_kb": (100.1, 200.3, 400.7)}
    policy, _ = make_policy(6, {"rate_scale": 0.7}, **sizes)
    for i in range(60):
        establish_session(policy, f"session-{i}", first_cell=i % 6, cell_count=6)
    assert any(rack.loaded_servers for rack in policy.racks)
    for i in range(60):
        complete_attempt(policy, Outcome.SERVED, f"session-{i}", finished=True)
    assert not any(rack.loaded_servers for rack in policy.racks)
    assert not any(server.own_kb for server in policy.servers.values())
