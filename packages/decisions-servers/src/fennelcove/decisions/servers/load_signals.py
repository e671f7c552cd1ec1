"""Conversion of CMSD and CMCD hints into inputs of the placement policy.

Hints are mapped to the policy's existing inputs (docs/design.md, 'Hints'): a server's CMSD counts as a load
report, a client's CMCD limits its own highest rung, and several starving clients of one server count as the
short-delivery report that the server did not send.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median

from fennelcove.interface import LoadReport
from fennelcove.placement import FULL_DELIVERY, RAISE_MARGIN, RESERVE

KBIT_PER_KB = 8  # hints count kilobits, the bitrate ladder counts kilobytes
FULL_UTILIZATION = 1.0
MAX_CLIENTS = 256  # observed at each server
MIN_STARVING_CLIENTS = 2  # a single client may starve because of its own last mile
MAX_STARVING_FRACTION = FULL_DELIVERY * (1 - RESERVE)
MIN_STARVING_FRACTION = RESERVE


@dataclass(frozen=True, slots=True)
class ServerHints:
    """The CMSD of one response, from the hop nearest to the server; rates in kilobits a second."""

    link_utilization: float | None = None
    uplink_utilization: float | None = None
    is_in_duress: bool = False
    max_kbit: float | None = None


@dataclass(frozen=True, slots=True)
class ClientHints:
    """The CMCD of one request; rates in kilobits a second."""

    top_kbit: float | None = None
    measured_kbit: float | None = None
    is_starved: bool = False


def load_report(hints: ServerHints) -> LoadReport | None:
    """The load report equivalent to a server's hints; None where they contain no load.

    A server in duress asks for no further requests (CTA-5006), so its link counts as full, whatever
    utilization it reports: otherwise it would still receive work.
    """
    link = hints.link_utilization
    if hints.is_in_duress:
        link = max(FULL_UTILIZATION, link or 0.0)
    if link is None and hints.uplink_utilization is None:
        return None
    return LoadReport(link, hints.uplink_utilization)


def highest_fitting_rung(rates_kb: Sequence[float], kbit: float, floor: int) -> int:
    """The highest rung that fits into a rate; the floor if none does.

    A service class is never played below its floor.
    """
    fitting = [rung for rung, rate_kb in enumerate(rates_kb) if rate_kb * KBIT_PER_KB <= kbit]
    highest = fitting[-1] if fitting else 0
    return max(floor, highest)


def top_rung(rates_kb: Sequence[float], stated: int, floor: int, hints: ClientHints) -> int:
    """The highest rung that a client can use according to its hints.

    A tenth of the measured throughput is reserved, as everywhere in the policy. The result is never below the
    floor, which is set by the service class and not by hints.

    Args:
        rates_kb: the rates of the bitrate ladder in kilobytes a second.
        stated: the highest rung that the client's request states.
        floor: the lowest rung of its service class.
        hints: its CMCD.
    """
    top = min(stated, len(rates_kb) - 1)
    if hints.top_kbit is not None and hints.top_kbit > 0:
        top = min(top, highest_fitting_rung(rates_kb, hints.top_kbit, floor))
    if hints.measured_kbit is not None and hints.measured_kbit > 0:
        usable_kbit = hints.measured_kbit * (1 - RESERVE)
        top = min(top, highest_fitting_rung(rates_kb, usable_kbit, floor))
    return max(top, min(floor, stated))


def adjusted_top_rung(
    rates_kb: Sequence[float], stated: int, current: int, floor: int, hints: ClientHints
) -> int:
    """The highest rung of an established session after new hints.

    It is lowered at once, but raised only with the margin that the policy requires for raising: otherwise the
    variation of the client's measurements would move it up and down.
    """
    top = top_rung(rates_kb, stated, floor, hints)
    if top <= current or hints.measured_kbit is None:
        return top
    with_margin = ClientHints(hints.top_kbit, hints.measured_kbit * (1 - RAISE_MARGIN), hints.is_starved)
    return max(current, top_rung(rates_kb, stated, floor, with_margin))


@dataclass(frozen=True, slots=True)
class DeliveryObservation:
    """One client's delivered fraction of its rate according to its hints; None while it does not starve."""

    at_us: int
    delivered_fraction: float | None


@dataclass(slots=True)
class DeliveryMonitor:
    """Recent observations of one server's clients, the oldest first; times in microseconds."""

    observations: OrderedDict[str, DeliveryObservation] = field(default_factory=OrderedDict)

    def observe(self, session_id: str, delivered_fraction: float | None, now_us: int) -> None:
        """Record a starving client's delivered fraction of its rate, or None where it does not starve."""
        self.observations[session_id] = DeliveryObservation(now_us, delivered_fraction)
        self.observations.move_to_end(session_id)
        while len(self.observations) > MAX_CLIENTS:
            self.observations.popitem(last=False)

    def forget(self, session_id: str) -> None:
        """Drop the observation of a closed session."""
        self.observations.pop(session_id, None)

    def delivered_fraction(self, since_us: int) -> float | None:
        """The delivered fraction, if the server and not its clients' own links must be the cause; else None.

        That is so if more than half of the clients observed since then starve, and more than one.
        """
        recent = [
            observation.delivered_fraction
            for observation in self.observations.values()
            if observation.at_us >= since_us
        ]
        starving = [fraction for fraction in recent if fraction is not None]
        if len(starving) < MIN_STARVING_CLIENTS or len(starving) * 2 <= len(recent):
            return None
        return median(starving)


def starving_delivered_fraction(hints: ClientHints, rate_kb: float) -> float | None:
    """The fraction of its rate that a starving client receives; None while it does not starve."""
    if not hints.is_starved:
        return None
    if hints.measured_kbit is None or rate_kb <= 0:
        return MAX_STARVING_FRACTION  # its throughput is unknown: assumed short by the reserved tenth
    fraction = hints.measured_kbit / (rate_kb * KBIT_PER_KB)
    return max(MIN_STARVING_FRACTION, min(MAX_STARVING_FRACTION, fraction))
