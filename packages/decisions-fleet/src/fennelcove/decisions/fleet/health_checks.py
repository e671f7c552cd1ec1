"""Who watches a server, how often, and when its watchers' words amount to its being gone.

A box is watched by a few fronts, chosen by a rendezvous hash over the fronts taken to live; the others hear.
So what a box sees of probes grows with its trouble, not with the fleet. A front whose own path is bad can
shut a box for itself alone: gone, for all, is what a stated number of watchers say, by words that are young.
Fronts that disagree on who lives may have more watchers for a box for a while, never fewer living ones than
each of them counts. Times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from hashlib import blake2b
from heapq import nsmallest
from zlib import crc32

CHECKERS_PER_SERVER = 3
UNHEALTHY_QUORUM = 2  # watchers whose word makes a box gone for all
HEALTHY_PROBE_INTERVAL_US = 4_000_000  # between two probes of one watcher while a box is well
SUSPECT_PROBE_INTERVAL_US = 500_000
MAX_PROBE_INTERVAL_US = 4_000_000
# A word older than this says nothing; a watcher repeats its own at every probe. Longer than two of the
# longest gaps, for one that is lost: with 8 s between probes and 6 s for a word, a dead box was well again.
REPORT_LIFETIME_US = 2 * MAX_PROBE_INTERVAL_US + 1_000_000
RECENTLY_SERVED_US = 1_000_000  # what served this front so lately is not gone for it, whoever says so
MAX_SERVERS = 10_000


class ProbeView(Enum):
    """What one watcher makes of a box."""

    HEALTHY = auto()
    SUSPECT = auto()  # one probe has failed: asked again soon
    UNHEALTHY = auto()


class ProbeResult(Enum):
    """How a probe ended."""

    ANSWERED = auto()
    FAILED = auto()


TRANSITIONS: dict[tuple[ProbeView, ProbeResult], ProbeView] = {
    **{(sight, ProbeResult.ANSWERED): ProbeView.HEALTHY for sight in ProbeView},
    (ProbeView.HEALTHY, ProbeResult.FAILED): ProbeView.SUSPECT,
    (ProbeView.SUSPECT, ProbeResult.FAILED): ProbeView.UNHEALTHY,
    (ProbeView.UNHEALTHY, ProbeResult.FAILED): ProbeView.UNHEALTHY,
}


def rendezvous_weight(server: str, front: int) -> bytes:
    """By what fronts are ranked for a box; alike in every process."""
    return blake2b(f"{server}\0{front}".encode(), digest_size=8).digest()


def chosen_checkers(server: str, living: Iterable[int], most: int = CHECKERS_PER_SERVER) -> tuple[int, ...]:
    """The watchers of a box among the fronts that live."""
    return tuple(nsmallest(most, living, key=lambda front: (rendezvous_weight(server, front), front)))


class HealthVerdict(IntEnum):
    """What a front says of a box."""

    HEALTHY = 0
    ILL = 1
    FAILED_ME = 2  # no verdict: a join was not answered there, and its watchers should look at once


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What one front tells the others of a box; the highest number of a watcher's verdicts counts."""

    server: int  # see `mark`
    tells: HealthVerdict
    number: int


def mark(server: str) -> int:
    """A box's address in four bytes; two that fell on one mark would be shut together, never opened."""
    return crc32(server.encode())


@dataclass(slots=True)
class WatchedServer:
    """One front's watch of one box, and what the box's other watchers say of it."""

    view: ProbeView = ProbeView.HEALTHY
    probe_interval_us: int = HEALTHY_PROBE_INTERVAL_US
    probe_due_us: int = 0
    reports: dict[int, tuple[bool, int, int]] = field(default_factory=dict)  # ill, number, when heard
    unhealthy_report_until_us: int = 0  # so long others may hold an ill word of this front
    served_us: int | None = None  # when it last served a join of this front
    check_requested_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last asked its watchers to look
    probed_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last probed it


class HealthCheckAssignment:
    """All boxes of one front. The caller hands in times, chance and who lives, and carries words."""

    def __init__(self, index: int, fronts: int, first: int = 0) -> None:
        self.index = index
        self.front_count = fronts
        self.servers: OrderedDict[str, WatchedServer] = OrderedDict()
        self.sequence = first  # above all of an earlier life, whose words others may still hold

    def _watched(self, server: str) -> WatchedServer:
        found = self.servers.get(server)
        if found is None:
            found = self.servers[server] = WatchedServer()
            if len(self.servers) > MAX_SERVERS:
                self.servers.popitem(last=False)
        self.servers.move_to_end(server)
        return found

    def due(self, servers: Iterable[str], living: Iterable[int], draw: float, now_us: int) -> list[str]:
        """The boxes that this front should probe now."""
        here = sorted(set(living) | {self.index})
        found = []
        for server in servers:
            if self.index not in chosen_checkers(server, here):
                continue
            watch = self._watched(server)
            if not watch.probe_due_us:
                # A watch that begins is spread over its gap: after a partition all would begin at once.
                watch.probe_due_us = now_us + round(draw * SUSPECT_PROBE_INTERVAL_US)
            if now_us >= watch.probe_due_us:
                watch.probe_due_us, watch.probed_us = now_us + watch.probe_interval_us, now_us
                found.append(server)
        return found

    def probed(self, server: str, seen: ProbeResult, now_us: int) -> tuple[bool, int]:
        """A probe has ended; the word to tell the other fronts: whether the box is ill, and its number."""
        watch = self._watched(server)
        watch.view = TRANSITIONS[watch.view, seen]
        if watch.view is ProbeView.HEALTHY:
            watch.probe_interval_us = HEALTHY_PROBE_INTERVAL_US
        elif watch.view is ProbeView.SUSPECT:
            watch.probe_interval_us = SUSPECT_PROBE_INTERVAL_US
        else:
            watch.probe_interval_us = min(2 * watch.probe_interval_us, MAX_PROBE_INTERVAL_US)
        watch.probe_due_us = (
            min(watch.probe_due_us, now_us + watch.probe_interval_us)
            if seen is ProbeResult.FAILED
            else watch.probe_due_us
        )
        self.sequence += 1
        word = (watch.view is ProbeView.UNHEALTHY, self.sequence, now_us)
        watch.reports[self.index] = word
        return word[0], word[1]

    def tells(self, server: str, now_us: int) -> HealthReport | None:
        """What the others have to hear after a probe: that a box is ill, or is so no more. Nothing where none
        of them can hold an ill word of this front, so that a calm fleet says nothing."""
        watch = self._watched(server)
        ill = watch.view is ProbeView.UNHEALTHY
        if ill:
            watch.unhealthy_report_until_us = now_us + REPORT_LIFETIME_US
        tells = HealthVerdict.ILL if ill else HealthVerdict.HEALTHY
        return (
            HealthReport(mark(server), tells, self.sequence)
            if now_us < watch.unhealthy_report_until_us
            else None
        )

    def failed(self, server: str, now_us: int) -> HealthReport | None:
        """A join of this front was not answered there: the watchers are asked to look, so that it is found
        out in a probe's time and not at the next calm one. Once in a while is enough from one front."""
        watch = self._watched(server)
        if now_us < watch.check_requested_us + SUSPECT_PROBE_INTERVAL_US:
            return None
        watch.check_requested_us = now_us
        self.urge(server, now_us)
        return HealthReport(mark(server), HealthVerdict.FAILED_ME, self.sequence)

    def urge(self, server: str, now_us: int) -> None:
        """Some front's join failed there. However many say so, a watcher probes no more than each `DOUBT_US`,
        and one that knows the box for ill goes on at its own pace."""
        watch = self._watched(server)
        if watch.view is ProbeView.HEALTHY and watch.probe_due_us:
            watch.probe_due_us = max(
                now_us, min(watch.probe_due_us, watch.probed_us + SUSPECT_PROBE_INTERVAL_US)
            )

    def served(self, server: str, now_us: int) -> None:
        """A join of this front was served there: its own eyes go before what others say."""
        self._watched(server).served_us = now_us

    def hear(self, sender: int, server: str, ill: bool, number: int, now_us: int) -> None:
        """Another front's word; one that is doubled or overtaken says nothing."""
        if not 0 <= sender < self.front_count or sender == self.index:
            return
        watch = self._watched(server)
        known = watch.reports.get(sender)
        if known is None or number > known[1] or now_us - known[2] > REPORT_LIFETIME_US:
            watch.reports[sender] = (ill, number, now_us)

    def gone(self, server: str, living: Iterable[int], now_us: int) -> bool:
        """Whether enough of the box's watchers say so."""
        watch = self.servers.get(server)
        if watch is None or (watch.served_us is not None and now_us - watch.served_us <= RECENTLY_SERVED_US):
            return False
        here = set(living) | {self.index}
        entitled = chosen_checkers(server, here)
        words = {
            front: ill
            for front, (ill, _, heard_us) in watch.reports.items()
            if front in entitled and now_us - heard_us <= REPORT_LIFETIME_US
        }
        # With fewer fronts alive than have to agree, all of them have to.
        return sum(words.values()) >= min(UNHEALTHY_QUORUM, len(entitled))
