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

WATCHERS = 3
AGREED = 2  # watchers whose word makes a box gone for all
CALM_US = 4_000_000  # between two probes of one watcher while a box is well
DOUBT_US = 500_000
MOST_US = 4_000_000
# A word older than this says nothing; a watcher repeats its own at every probe. Longer than two of the
# longest gaps, for one that is lost: with 8 s between probes and 6 s for a word, a dead box was well again.
WORD_US = 2 * MOST_US + 1_000_000
SERVED_US = 1_000_000  # what served this front so lately is not gone for it, whoever says so
MOST_SERVERS = 10_000


class ProbeView(Enum):
    """What one watcher makes of a box."""

    WELL = auto()
    DOUBTED = auto()  # one probe has failed: asked again soon
    ILL = auto()


class ProbeResult(Enum):
    """How a probe ended."""

    ANSWERED = auto()
    FAILED = auto()


TRANSITIONS: dict[tuple[ProbeView, ProbeResult], ProbeView] = {
    **{(sight, ProbeResult.ANSWERED): ProbeView.WELL for sight in ProbeView},
    (ProbeView.WELL, ProbeResult.FAILED): ProbeView.DOUBTED,
    (ProbeView.DOUBTED, ProbeResult.FAILED): ProbeView.ILL,
    (ProbeView.ILL, ProbeResult.FAILED): ProbeView.ILL,
}


def weight(server: str, front: int) -> bytes:
    """By what fronts are ranked for a box; alike in every process."""
    return blake2b(f"{server}\0{front}".encode(), digest_size=8).digest()


def chosen_checkers(server: str, living: Iterable[int], most: int = WATCHERS) -> tuple[int, ...]:
    """The watchers of a box among the fronts that live."""
    return tuple(nsmallest(most, living, key=lambda front: (weight(server, front), front)))


class HealthVerdict(IntEnum):
    """What a front says of a box."""

    WELL = 0
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

    sight: ProbeView = ProbeView.WELL
    gap_us: int = CALM_US
    due_us: int = 0
    words: dict[int, tuple[bool, int, int]] = field(default_factory=dict)  # ill, number, when heard
    told_until_us: int = 0  # so long others may hold an ill word of this front
    served_us: int | None = None  # when it last served a join of this front
    asked_us: int = -DOUBT_US  # when this front last asked its watchers to look
    probed_us: int = -DOUBT_US  # when this front last probed it


class HealthCheckAssignment:
    """All boxes of one front. The caller hands in times, chance and who lives, and carries words."""

    def __init__(self, index: int, fronts: int, first: int = 0) -> None:
        self.index = index
        self.fronts = fronts
        self.servers: OrderedDict[str, WatchedServer] = OrderedDict()
        self.number = first  # above all of an earlier life, whose words others may still hold

    def _of(self, server: str) -> WatchedServer:
        found = self.servers.get(server)
        if found is None:
            found = self.servers[server] = WatchedServer()
            if len(self.servers) > MOST_SERVERS:
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
            watch = self._of(server)
            if not watch.due_us:
                # A watch that begins is spread over its gap: after a partition all would begin at once.
                watch.due_us = now_us + round(draw * DOUBT_US)
            if now_us >= watch.due_us:
                watch.due_us, watch.probed_us = now_us + watch.gap_us, now_us
                found.append(server)
        return found

    def probed(self, server: str, seen: ProbeResult, now_us: int) -> tuple[bool, int]:
        """A probe has ended; the word to tell the other fronts: whether the box is ill, and its number."""
        watch = self._of(server)
        watch.sight = TRANSITIONS[watch.sight, seen]
        if watch.sight is ProbeView.WELL:
            watch.gap_us = CALM_US
        elif watch.sight is ProbeView.DOUBTED:
            watch.gap_us = DOUBT_US
        else:
            watch.gap_us = min(2 * watch.gap_us, MOST_US)
        watch.due_us = (
            min(watch.due_us, now_us + watch.gap_us) if seen is ProbeResult.FAILED else watch.due_us
        )
        self.number += 1
        word = (watch.sight is ProbeView.ILL, self.number, now_us)
        watch.words[self.index] = word
        return word[0], word[1]

    def tells(self, server: str, now_us: int) -> HealthReport | None:
        """What the others have to hear after a probe: that a box is ill, or is so no more. Nothing where none
        of them can hold an ill word of this front, so that a calm fleet says nothing."""
        watch = self._of(server)
        ill = watch.sight is ProbeView.ILL
        if ill:
            watch.told_until_us = now_us + WORD_US
        tells = HealthVerdict.ILL if ill else HealthVerdict.WELL
        return HealthReport(mark(server), tells, self.number) if now_us < watch.told_until_us else None

    def failed(self, server: str, now_us: int) -> HealthReport | None:
        """A join of this front was not answered there: the watchers are asked to look, so that it is found
        out in a probe's time and not at the next calm one. Once in a while is enough from one front."""
        watch = self._of(server)
        if now_us < watch.asked_us + DOUBT_US:
            return None
        watch.asked_us = now_us
        self.urge(server, now_us)
        return HealthReport(mark(server), HealthVerdict.FAILED_ME, self.number)

    def urge(self, server: str, now_us: int) -> None:
        """Some front's join failed there. However many say so, a watcher probes no more than each `DOUBT_US`,
        and one that knows the box for ill goes on at its own pace."""
        watch = self._of(server)
        if watch.sight is ProbeView.WELL and watch.due_us:
            watch.due_us = max(now_us, min(watch.due_us, watch.probed_us + DOUBT_US))

    def served(self, server: str, now_us: int) -> None:
        """A join of this front was served there: its own eyes go before what others say."""
        self._of(server).served_us = now_us

    def hear(self, sender: int, server: str, ill: bool, number: int, now_us: int) -> None:
        """Another front's word; one that is doubled or overtaken says nothing."""
        if not 0 <= sender < self.fronts or sender == self.index:
            return
        watch = self._of(server)
        known = watch.words.get(sender)
        if known is None or number > known[1] or now_us - known[2] > WORD_US:
            watch.words[sender] = (ill, number, now_us)

    def gone(self, server: str, living: Iterable[int], now_us: int) -> bool:
        """Whether enough of the box's watchers say so."""
        watch = self.servers.get(server)
        if watch is None or (watch.served_us is not None and now_us - watch.served_us <= SERVED_US):
            return False
        here = set(living) | {self.index}
        entitled = chosen_checkers(server, here)
        words = {
            front: ill
            for front, (ill, _, heard_us) in watch.words.items()
            if front in entitled and now_us - heard_us <= WORD_US
        }
        # With fewer fronts alive than have to agree, all of them have to.
        return sum(words.values()) >= min(AGREED, len(entitled))
