"""Periodic dump of the state of servers, as the placement policy and the node see them, and of descriptors.

Disabled unless FENNELCOVE_TRACE in the environment gives the interval in milliseconds.
"""

from __future__ import annotations

import os
import threading
import time
from typing import Protocol

from fennelcove.node.descriptor_budget import DescriptorBudget
from fennelcove.node.log import EventLogger
from fennelcove.node.model import Server
from fennelcove.node.node_lock import NodeLock
from fennelcove.placement import PlacementPolicy

INTERVAL_VARIABLE = "FENNELCOVE_TRACE"
MAX_DUMPS = 1_000  # bounds the standard output, which counts as memory of the process
MIN_INTERVAL_MS = 100


class DumpedNode(Protocol):
    """The node, as the dump uses it."""

    lock: NodeLock
    logger: EventLogger
    policy: PlacementPolicy
    servers: dict[str, Server]
    descriptors: DescriptorBudget


def start(node: DumpedNode) -> None:
    """Start the dump's thread if the environment enables it."""
    raw = os.environ.get(INTERVAL_VARIABLE, "")
    if not raw.isdecimal() or int(raw) <= 0:
        return
    interval_ms = max(MIN_INTERVAL_MS, int(raw))
    threading.Thread(target=_dump_periodically, args=(node, interval_ms), name="trace", daemon=True).start()


def server_states(node: DumpedNode) -> list[dict[str, object]]:
    """The fields of one log line for each server; called with the node's lock held."""
    return [_server_fields(node, server) for server in node.servers.values()]


def _dump_periodically(node: DumpedNode, interval_ms: int) -> None:
    for _ in range(MAX_DUMPS):
        time.sleep(interval_ms / 1000)
        with node.lock:
            states = server_states(node)
        for state in states:
            node.logger("trace", **state)
        node.logger("descriptors", **node.descriptors.counts_by_use())


def _server_fields(node: DumpedNode, server: Server) -> dict[str, object]:
    fields: dict[str, object] = {
        "server": server.name,
        "listed": server.listed,
        "links": len(server.links),
        "standing": len(server.established),
        "seen": {outcome.name: count for outcome, count in server.outcome_counts.items()},
    }
    entry = node.policy.servers.get(server.name)
    if entry is None:
        return fields
    load = entry.link.report
    return fields | {
        "zone": entry.zone,
        "health": entry.health.name,
        "strikes": entry.strikes,
        "cold": node.policy.is_warming_up(entry),
        "asked": None if load is None else round(load, 3),
        "taken_for": round(node.policy.link_utilization(entry), 3),
        "own": round(entry.own_kb / entry.link.capacity_kb, 3),
        "subs": len(entry.sessions),
    }
