"""What hints change: from what a box tells by CMSD and a viewer by CMCD to events that the module knows.

The smallest departure from the design that makes hints count (docs/design.md, 'Hints'): a box's word is a
load report, a viewer's word bounds its own highest rung, and several starving viewers of one box are the
short-delivery note that the box did not send.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median

from fennelcove.interface import LoadReport
from fennelcove.placement import HOLD_BACK, LIFT_MARGIN, WHOLE

KBIT = 8  # hints count kilobits, the ladder counts kilobytes
FULL_UTILIZATION = 1.0
MAX_CLIENTS = 256  # viewers remembered for each box
MIN_STARVING_CLIENTS = 2  # one viewer alone may be short by its own last mile


@dataclass(frozen=True, slots=True)
class ServerHints:
    """One answer's CMSD, of the hop nearest the box; rates in kilobits a second."""

    link_utilization: float | None = None
    uplink_utilization: float | None = None
    is_in_duress: bool = False
    most_kbit: float | None = None


@dataclass(frozen=True, slots=True)
class ClientHints:
    """One request's CMCD; rates in kilobits a second."""

    top_kbit: float | None = None
    measured_kbit: float | None = None
    is_starved: bool = False


def load_report(says: ServerHints) -> LoadReport | None:
    """The report that a box's hints amount to.

    Duress is the specification's word for 'send me nothing more', so it counts as a full link whatever figure
    stands beside it: a box that goes on accepting while it says so must draw no new work.
    """
    link = says.link_utilization
    if says.is_in_duress:
        link = max(FULL_UTILIZATION, link or 0.0)
    if link is None and says.uplink_utilization is None:
        return None
    return LoadReport(link, says.uplink_utilization)


def highest_rung(rates_kb: Sequence[float], kbit: float, floor: int) -> int:
    """The highest rung that fits; the floor where none does, since a room type never plays under it."""
    fitting = [rung for rung, kb in enumerate(rates_kb) if kb * KBIT <= kbit]
    return max(floor, fitting[-1] if fitting else 0)


def top_rung(rates_kb: Sequence[float], stated: int, floor: int, says: ClientHints) -> int:
    """The highest rung that a viewer can use, by its own hints.

    Measured throughput is read with the design's tenth held back. A viewer is never taken for less than the
    floor: that it may not be played under it is the room type's term, not the hint's.
    """
    top = min(stated, len(rates_kb) - 1)
    if says.top_kbit is not None and says.top_kbit > 0:
        top = min(top, highest_rung(rates_kb, says.top_kbit, floor))
    if says.measured_kbit is not None and says.measured_kbit > 0:
        top = min(top, highest_rung(rates_kb, says.measured_kbit * (1 - HOLD_BACK), floor))
    return max(top, min(floor, stated))


def adjusted_top_rung(rates_kb: Sequence[float], stated: int, now: int, floor: int, says: ClientHints) -> int:
    """A playing viewer's highest rung after new hints.

    Down at once; up only with the margin that raising keeps elsewhere, or the measure of a rung would carry
    the viewer up and down with its own spread.
    """
    down = top_rung(rates_kb, stated, floor, says)
    if down <= now or says.measured_kbit is None:
        return down
    calm = ClientHints(says.top_kbit, says.measured_kbit * (1 - LIFT_MARGIN), says.is_starved)
    return max(now, top_rung(rates_kb, stated, floor, calm))


@dataclass(slots=True)
class DeliveryMonitor:
    """What viewers of one box said lately, the longest ago first; times in microseconds."""

    observations: OrderedDict[str, tuple[int, float | None]] = field(default_factory=OrderedDict)

    def hear(self, id: str, delivered: float | None, now_us: int) -> None:
        """A viewer said that it starves at this share of its rate, or with None that it does not."""
        self.observations[id] = (now_us, delivered)
        self.observations.move_to_end(id)
        while len(self.observations) > MAX_CLIENTS:
            self.observations.popitem(last=False)

    def forget(self, id: str) -> None:
        """A viewer that has left says nothing more."""
        self.observations.pop(id, None)

    def short_delivery(self, since_us: int) -> float | None:
        """The share delivered, where the box and not its viewers' own links must be the cause.

        That is where more than half of the viewers heard since then starve, and more than one.
        """
        lately = [said for at_us, said in self.observations.values() if at_us >= since_us]
        starving = [said for said in lately if said is not None]
        if len(starving) < MIN_STARVING_CLIENTS or len(starving) * 2 <= len(lately):
            return None
        return median(starving)


def starving_share(says: ClientHints, rate_kb: float) -> float | None:
    """The share of its rate that a starving viewer gets; None while it does not starve."""
    if not says.is_starved:
        return None
    if says.measured_kbit is None or rate_kb <= 0:
        return WHOLE * (1 - HOLD_BACK)  # it starves and does not say how much: short by the tenth
    return max(HOLD_BACK, min(WHOLE * (1 - HOLD_BACK), says.measured_kbit / (rate_kb * KBIT)))
