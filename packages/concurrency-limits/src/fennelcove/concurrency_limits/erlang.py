"""The number of slots that keeps waiting times short, by the Erlang C formula.

The formula assumes Poisson arrivals and one queue for all slots.
"""

from __future__ import annotations

from math import exp

MAX_SLOTS = 4096
MIN_HOLD_S = 1e-9  # avoids a division by zero


def _next_erlang_b(blocking: float, slots: int, offered_load: float) -> float:
    """Erlang B for `slots`, from its value for one slot fewer; the recurrence avoids large factorials."""
    return offered_load * blocking / (slots + offered_load * blocking)


def _erlang_c(blocking: float, slots: int, offered_load: float) -> float:
    """Erlang C, from Erlang B; the load must be below the number of slots."""
    return blocking / (1 - offered_load / slots * (1 - blocking))


def waiting_probability(slots: int, offered_load: float) -> float:
    """The share of arrivals that find all slots in use (Erlang C).

    Args:
        slots: number of slots.
        offered_load: mean number of arrivals during one mean service time.
    """
    if offered_load >= slots:
        return 1.0
    blocking = 1.0
    for count in range(1, slots + 1):
        blocking = _next_erlang_b(blocking, count, offered_load)
    return _erlang_c(blocking, slots, offered_load)


def required_slots(arrivals_per_s: float, hold_s: float, max_wait_s: float, late_share: float) -> int:
    """The smallest number of slots at which at most `late_share` of the arrivals wait too long.

    Args:
        arrivals_per_s: arrival rate.
        hold_s: mean service time.
        max_wait_s: longest acceptable wait.
        late_share: share of arrivals that may wait longer than `max_wait_s`.

    Returns:
        The number of slots, at most `MAX_SLOTS`.
    """
    offered_load = arrivals_per_s * hold_s
    slots = 0
    blocking = 1.0
    while slots < MAX_SLOTS:
        slots += 1
        blocking = _next_erlang_b(blocking, slots, offered_load)
        if offered_load >= slots:
            continue
        late_if_waiting = exp(-(slots - offered_load) * max_wait_s / max(hold_s, MIN_HOLD_S))
        if _erlang_c(blocking, slots, offered_load) * late_if_waiting <= late_share:
            break
    return slots
