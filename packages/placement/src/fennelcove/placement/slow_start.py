"""Slow start: which servers warm up, and which front may send the next attempt to one of them."""

from math import ceil, floor, inf
from zlib import crc32

from fennelcove.placement.records import Server
from fennelcove.placement.state import PolicyState


def uptime_us(state: PolicyState, server: Server) -> float:
    """Time since a server's start; one on a saved list may have started just before this front."""
    since_us = server.started_us if state.list_is_fresh else max(server.started_us, state.created_us)
    return state.now_us - since_us if server.started_us or not state.list_is_fresh else inf


def is_warming_up(state: PolicyState, server: Server) -> bool:
    """Whether a server has started less than a warm-up ago."""
    return uptime_us(state, server) < state.settings.warm_up_us


def has_slow_start_turn(state: PolicyState, server: Server) -> bool:
    """Whether this front may send an attempt to a server that warms up.

    Unused turns expire: many used at once would overload the server.
    """
    turns_now = elapsed_turns(state, server, state.now_us)
    slack_turns = turns_now - elapsed_turns(state, server, state.now_us - state.settings.slow_start_slack_us)
    last_us = server.last_attempt_us or state.created_us * state.list_is_fresh
    is_current = last_us >= (server.started_us or 1)  # else it precedes the server's restart
    since_turns = max(
        elapsed_turns(state, server, last_us) + 1e-6 if is_current else -inf, turns_now - max(1, slack_turns)
    )
    turn_offset = (
        crc32(b"%d" % server.started_us + server.address.encode()) / 2**32 * state.settings.front_count
    )
    return any(
        state.owns_turn(turn)
        for turn in range(ceil(since_turns - turn_offset), floor(turns_now - turn_offset) + 1)
    )


def elapsed_turns(state: PolicyState, server: Server, at_us: int) -> float:
    """Turns from a server's start to a time; their rate rises linearly with the server's capacity."""
    warm_up_fraction = max(0, uptime_us(state, server) - state.now_us + at_us) / state.settings.warm_up_us
    return (
        server.max_streams
        * warm_up_fraction
        * (1 - (1 - state.settings.start_capacity) * (1 - warm_up_fraction / 2))
    )
