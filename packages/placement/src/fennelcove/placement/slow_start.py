"""Cold boxes, and whose turn it is at one."""

from math import ceil, floor, inf
from zlib import crc32

from fennelcove.placement.records import Server
from fennelcove.placement.state import PolicyState


def age_us(known: PolicyState, server: Server) -> float:
    """Any server on a saved list may have started just before this front did."""
    since_us = server.started_us if known.list_is_fresh else max(server.started_us, known.born_us)
    return known.now_us - since_us if server.started_us or not known.list_is_fresh else inf


def is_warming_up(known: PolicyState, server: Server) -> bool:
    return age_us(known, server) < known.settings.ramp_us


def slow_start_turn(known: PolicyState, server: Server) -> bool:
    """Fronts can't agree: turns go round at the pace. Unused ones lapse, or many at once push it over."""
    now, last = turns(known, server, known.now_us), server.last_attempt_us or known.born_us * known.list_is_fresh
    used = turns(known, server, last) + 1e-6 if last >= (server.started_us or 1) else -inf  # past lives' too
    since = max(used, now - max(1, now - turns(known, server, known.now_us - known.settings.cold_slack_us)))
    start = crc32(b"%d" % server.started_us + server.address.encode()) / 2**32 * known.settings.fronts
    return any(known.mine(turn) for turn in range(ceil(since - start), floor(now - start) + 1))


def turns(known: PolicyState, server: Server, at_us: int) -> float:
    """How many turns of all fronts have come there by then, since its start."""
    age = max(0, age_us(known, server) - known.now_us + at_us) / known.settings.ramp_us
    return server.streams_most * age * (1 - (1 - known.settings.start_capacity) * (1 - age / 2))
