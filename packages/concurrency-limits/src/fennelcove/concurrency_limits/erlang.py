"""How many slots keep waiting short: Erlang's formula for arrivals at random and a line that waits."""

from __future__ import annotations

from math import exp

MAX_SLOTS = 4096


def waiting_probability(slots: int, offered: float) -> float:
    """The share of arrivals that find all slots taken (Erlang C).

    Args:
        offered: arrivals in a mean hold time.
    """
    if offered >= slots:
        return 1.0
    blocked = 1.0  # Erlang B, slot by slot: no factorial of a large number
    for count in range(1, slots + 1):
        blocked = offered * blocked / (count + offered * blocked)
    return blocked / (1 - offered / slots * (1 - blocked))


def required_slots(rate: float, hold_s: float, wait_s: float, late: float) -> int:
    """The least number of slots at which no more than a share `late` waits longer than `wait_s`.

    Args:
        rate: arrivals a second.
        hold_s: mean hold time of a slot.
    """
    offered = rate * hold_s
    slots, blocked = 0, 1.0
    while slots < MAX_SLOTS:
        slots += 1
        blocked = offered * blocked / (slots + offered * blocked)
        if offered >= slots:
            continue
        waits = blocked / (1 - offered / slots * (1 - blocked))
        if waits * exp(-(slots - offered) * wait_s / max(hold_s, 1e-9)) <= late:
            break
    return slots
