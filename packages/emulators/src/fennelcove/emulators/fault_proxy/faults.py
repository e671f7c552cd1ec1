"""What goes wrong between two parties, by rule. No sockets, no clock, no chance but what is handed in."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

Party = frozenset[str]  # every name that a party goes by: its own, its kind's, its hall's


class How(Enum):
    """What a fault does to one direction between two parties."""

    SILENT = "silent"  # bytes stay where they are until it heals; datagrams are gone
    RESET = "reset"  # open connections are reset, and so are new ones
    REFUSE = "refuse"  # new connections are reset at once; open ones go on
    DELAY = "delay"  # value: milliseconds, and up to half as much again
    THROTTLE = "throttle"  # value: kB a second on each connection
    CUT = "cut"  # each connection is reset in the middle of the next that is sent on it
    DROP = "lose"  # share: of datagrams
    DUPLICATE = "double"  # share: of datagrams, the second up to value milliseconds later
    REORDER = "reorder"  # share: of datagrams, each up to value milliseconds late


@dataclass(frozen=True, slots=True)
class Fault:
    """One rule: what `sender` sends to `taker` suffers. Either names a party or a group of them."""

    sender: str
    receiver: str
    kind: How
    value: float = 0.0
    share: float = 1.0

    def applies_to(self, sender: Party, receiver: Party) -> bool:
        """Whether it concerns this direction."""
        return _matches(self.sender, sender) and _matches(self.receiver, receiver)


def _matches(name: str, party: Party) -> bool:
    return name == "all" or any(part in party for part in name.split("|"))


class Rules:
    """The faults in force. What they mean for one direction is worked out once: it is asked several times for
    each piece that passes, and with four faults that was a quarter of what a report cost.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.faults = tuple(faults)
        self.found: dict[tuple[Party, Party], tuple[list[Fault], set[How]]] = {}

    def between(self, sender: Party, receiver: Party) -> list[Fault]:
        """The faults in one direction."""
        return self._effects(sender, receiver)[0]

    def kinds(self, sender: Party, receiver: Party) -> set[How]:
        """What they do, taken together."""
        return self._effects(sender, receiver)[1]

    def _effects(self, sender: Party, receiver: Party) -> tuple[list[Fault], set[How]]:
        found = self.found.get((sender, receiver))
        if found is None:
            faults = [fault for fault in self.faults if fault.applies_to(sender, receiver)]
            found = self.found[sender, receiver] = faults, {fault.kind for fault in faults}
        return found


def total_delay_us(faults: Iterable[Fault], draw: Callable[[], float]) -> int:
    """How late the faults make what passes now, in microseconds."""
    delays = [fault for fault in faults if fault.kind is How.DELAY]
    return round(sum(fault.value * (1 + draw() / 2) for fault in delays) * 1000)


def datagram_delays_us(faults: Iterable[Fault], draw: Callable[[], float]) -> list[int]:
    """When each copy of a datagram arrives, in microseconds from now; none where it is lost."""
    faults = list(faults)
    base_us, copies = total_delay_us(faults, draw), 1
    extra_us = 0
    for fault in faults:
        is_affected = draw() < fault.share
        if fault.kind in (How.SILENT, How.RESET, How.REFUSE) or (fault.kind is How.DROP and is_affected):
            return []
        if fault.kind is How.DUPLICATE and is_affected:
            copies = 2
        if fault.kind is How.REORDER and is_affected:
            extra_us = round(fault.value * 1000 * draw())
    again_us = max((round(f.value * 1000 * draw()) for f in faults if f.kind is How.DUPLICATE), default=0)
    return [base_us + extra_us, base_us + extra_us + again_us][:copies]


def throttle_kb(faults: Iterable[Fault]) -> float | None:
    """The least rate that a direction is throttled to, in kB a second; None where it is not."""
    return min((fault.value for fault in faults if fault.kind is How.THROTTLE), default=None)
