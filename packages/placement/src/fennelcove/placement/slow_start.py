"""Cold boxes, and whose turn it is at one."""

from math import ceil, floor, inf
from zlib import crc32

from fennelcove.placement.records import Server
from fennelcove.placement.state import PolicyState


def uptime_us(state: PolicyState, server: Server) -> float:
    """Any server on a saved list may have started just before this front did."""
    since_us = server.started_us if state.list_is_fresh else max(server.started_us, state.created_us)
    return state.now_us - since_us if server.started_us or not state.list_is_fresh else inf


def is_warming_up(state: PolicyState, server: Server) -> bool:
    return uptime_us(state, server) < state.settings.ramp_us


def has_slow_start_turn(state: PolicyState, server: Server) -> bool:
    """Fronts can't agree: turns go round at the pace. Unused ones lapse, or many at once push it over."""
    now, last = turns(state, server, state.now_us), server.last_attempt_us or state.created_us * state.list_is_fresh
    used = turns(state, server, last) + 1e-6 if last >= (server.started_us or 1) else -inf  # past lives' too
    since = max(used, now - max(1, now - turns(state, server, state.now_us - state.settings.cold_slack_us)))
    start = crc32(b"%d" % server.started_us + server.address.encode()) / 2**32 * state.settings.fronts
    return any(state.mine(turn) for turn in range(ceil(since - start), floor(now - start) + 1))


def turns(state: PolicyState, server: Server, at_us: int) -> float:
    """How many turns of all fronts have come there by then, since its start."""
    age = max(0, uptime_us(state, server) - state.now_us + at_us) / state.settings.ramp_us
    return server.streams_most * age * (1 - (1 - state.settings.start_capacity) * (1 - age / 2))
