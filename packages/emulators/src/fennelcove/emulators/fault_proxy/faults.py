"""Network fault rules between two parties.

Pure functions and data: no sockets, no clock, and randomness only from the given source.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

Party = frozenset[str]  # all names of a party: its own, that of its kind, that of its zone


class FaultKind(Enum):
    """The effect of a fault on one direction between two parties; scenario scripts name the values."""

    SILENT = "silent"  # data is held back until the fault ends; datagrams are lost
    RESET = "reset"  # open and new connections are reset
    REFUSE = "refuse"  # new connections are reset; open ones are unaffected
    DELAY = "delay"  # value: milliseconds, plus a random 0 to 50 %
    THROTTLE = "throttle"  # value: kB per second on each connection
    CUT = "cut"  # each connection is reset halfway through the next data sent on it
    DROP = "lose"  # share: fraction of datagrams lost
    DUPLICATE = "double"  # share: fraction of datagrams sent twice, the copy up to `value` milliseconds later
    REORDER = "reorder"  # share: fraction of datagrams delayed, each by up to `value` milliseconds


@dataclass(frozen=True, slots=True)
class Fault:
    """A rule for the traffic from `sender` to `receiver`.

    Each is "all", or the name of a party or of a group of parties, or several names separated by "|".
    """

    sender: str
    receiver: str
    kind: FaultKind
    value: float = 0.0
    share: float = 1.0

    def applies_to(self, sender: Party, receiver: Party) -> bool:
        """Whether the rule applies to traffic from this sender to this receiver."""
        return _matches(self.sender, sender) and _matches(self.receiver, receiver)


def _matches(name: str, party: Party) -> bool:
    return name == "all" or any(part in party for part in name.split("|"))


class Rules:
    """The active faults, with the effects on each direction cached.

    The effects are looked up several times for each chunk of data; without the cache and with four faults
    this was a quarter of the cost of relaying a report.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.faults = tuple(faults)
        self.effects_by_direction: dict[tuple[Party, Party], tuple[list[Fault], set[FaultKind]]] = {}

    def between(self, sender: Party, receiver: Party) -> list[Fault]:
        """Return the faults that apply to one direction."""
        return self._effects(sender, receiver)[0]

    def kinds(self, sender: Party, receiver: Party) -> set[FaultKind]:
        """Return the kinds of the faults that apply to one direction."""
        return self._effects(sender, receiver)[1]

    def _effects(self, sender: Party, receiver: Party) -> tuple[list[Fault], set[FaultKind]]:
        effects = self.effects_by_direction.get((sender, receiver))
        if effects is None:
            faults = [fault for fault in self.faults if fault.applies_to(sender, receiver)]
            effects = self.effects_by_direction[sender, receiver] = faults, {fault.kind for fault in faults}
        return effects


def total_delay_us(faults: Iterable[Fault], draw: Callable[[], float]) -> int:
    """Return the delay for data sent now, in microseconds; several delays add up."""
    delays = [fault for fault in faults if fault.kind is FaultKind.DELAY]
    return round(sum(fault.value * (1 + draw() / 2) for fault in delays) * 1000)


def datagram_delays_us(faults: Iterable[Fault], draw: Callable[[], float]) -> list[int]:
    """Return the delay of each copy of a datagram in microseconds; empty if it is lost."""
    faults = list(faults)
    base_us, copies = total_delay_us(faults, draw), 1
    extra_us = 0
    for fault in faults:
        is_affected = draw() < fault.share
        if fault.kind in (FaultKind.SILENT, FaultKind.RESET, FaultKind.REFUSE) or (
            fault.kind is FaultKind.DROP and is_affected
        ):
            return []
        if fault.kind is FaultKind.DUPLICATE and is_affected:
            copies = 2
        if fault.kind is FaultKind.REORDER and is_affected:
            extra_us = round(fault.value * 1000 * draw())
    duplicate_us = max(
        (round(f.value * 1000 * draw()) for f in faults if f.kind is FaultKind.DUPLICATE), default=0
    )
    return [base_us + extra_us, base_us + extra_us + duplicate_us][:copies]


def throttle_kb(faults: Iterable[Fault]) -> float | None:
    """Return the lowest rate that a direction is throttled to, in kB per second, or None."""
    return min((fault.value for fault in faults if fault.kind is FaultKind.THROTTLE), default=None)
