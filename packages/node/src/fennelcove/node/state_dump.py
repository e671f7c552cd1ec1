"""What the module believes of each server beside what the node has seen of it: one log line a server, and
one of the account of descriptors.

Off unless the environment sets FENNELCOVE_TRACE to a number of milliseconds between two rounds of lines.
"""

from __future__ import annotations

import os
import threading
import time
from typing import Protocol

from fennelcove.node.descriptor_budget import DescriptorBudget
from fennelcove.node.log import EventLogger
from fennelcove.node.model import Server
from fennelcove.placement import PlacementPolicy

MOST_ROUNDS = 1_000  # standard output counts as memory
LEAST_MS = 100


class StateDumper(Protocol):
    """What is traced."""

    lock: threading.Lock
    notice: EventLogger
    front: PlacementPolicy
    servers: dict[str, Server]
    descriptors: DescriptorBudget


def start(desk: StateDumper) -> None:
    """Begin to trace, where it is asked for."""
    raw = os.environ.get("FENNELCOVE_TRACE", "")
    if raw.isdecimal() and int(raw) > 0:
        gap_ms = max(LEAST_MS, int(raw))
        threading.Thread(target=_rounds, args=(desk, gap_ms), name="trace", daemon=True).start()


def _rounds(desk: StateDumper, gap_ms: int) -> None:
    for _ in range(MOST_ROUNDS):
        time.sleep(gap_ms / 1000)
        with desk.lock:
            found = lines(desk)
        for line in found:
            desk.notice("trace", **line)
        desk.notice("descriptors", **desk.descriptors.told())


def lines(desk: StateDumper) -> list[dict[str, object]]:
    """One for each server; the desk's lock is held."""
    found: list[dict[str, object]] = []
    for server in desk.servers.values():
        line: dict[str, object] = {
            "server": server.name,
            "listed": server.listed,
            "links": len(server.links),
            "standing": len(server.standing),
            "seen": {outcome.name: count for outcome, count in server.seen.items()},
        }
        held = desk.front.servers.get(server.name)
        if held is not None:
            asked = held.link.asked
            line |= {
                "zone": held.zone,
                "health": held.health.name,
                "strikes": held.strikes,
                "cold": desk.front.is_cold(held),
                "asked": None if asked is None else round(asked, 3),
                "taken_for": round(desk.front.link_asked(held), 3),
                "own": round(held.own_kb / held.link.size_kb, 3),
                "subs": len(held.sessions),
            }
        found.append(line)
    return found
