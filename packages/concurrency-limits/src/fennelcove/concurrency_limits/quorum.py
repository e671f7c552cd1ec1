"""Which whole number counts where fronts differ on it.

Each box has a panel, the same for all by its name: up to fifteen fronts that are told its figures and say,
each, how many joins it takes. A front goes by what a **majority of the panel** says at least, by words that
are young; there is one such majority in any partition, so that nobody rises in two halves, and fewer than
half who lie raise nothing. Less counts sooner: the median of whoever is heard, majority or not.

With every front on another number the parts still add up to no more than the largest: slot k has one home
front, the same for all, and exists there while k is under the number that counts *there*. Nothing has to be
handed over when a number changes.

A front that hears no majority goes on with what counted last, lowered by whom it hears, and gives up half of
what is above the first number in ten minutes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from fennelcove.concurrency_limits.adaptive_limit import aged

PANEL = 15
WORD_US = 4_000_000  # how long a word counts
MOST_PARTS = 6  # shapes of which a word says what they need


class AgreementState(Enum):
    """How this front stands to the panel."""

    ALONE = auto()  # no majority yet, in this life
    LED = auto()
    CUT = auto()  # there was one


class AgreementSignal(Enum):
    """Who is heard."""

    NOBODY = auto()
    SOME = auto()
    MAJORITY = auto()


class AgreementAction(Enum):
    """What follows for the number in force."""

    AGE = auto()
    LOWER = auto()  # to the median of whoever is heard, if that is less
    TAKE = auto()


TRANSITIONS: dict[tuple[AgreementState, AgreementSignal], tuple[AgreementState, AgreementAction]] = {
    (AgreementState.ALONE, AgreementSignal.NOBODY): (AgreementState.ALONE, AgreementAction.AGE),
    (AgreementState.ALONE, AgreementSignal.SOME): (AgreementState.ALONE, AgreementAction.LOWER),
    (AgreementState.ALONE, AgreementSignal.MAJORITY): (AgreementState.LED, AgreementAction.TAKE),
    (AgreementState.LED, AgreementSignal.NOBODY): (AgreementState.CUT, AgreementAction.AGE),
    (AgreementState.LED, AgreementSignal.SOME): (AgreementState.CUT, AgreementAction.LOWER),
    (AgreementState.LED, AgreementSignal.MAJORITY): (AgreementState.LED, AgreementAction.TAKE),
    (AgreementState.CUT, AgreementSignal.NOBODY): (AgreementState.CUT, AgreementAction.AGE),
    (AgreementState.CUT, AgreementSignal.SOME): (AgreementState.CUT, AgreementAction.LOWER),
    (AgreementState.CUT, AgreementSignal.MAJORITY): (AgreementState.LED, AgreementAction.TAKE),
}


def panel_of(server: int, fronts: int) -> tuple[int, ...]:
    """The fronts that judge a box, by rendezvous hash."""
    if fronts <= PANEL:
        return tuple(range(fronts))
    return tuple(sorted(range(fronts), key=lambda i: crc32(f"{server}/{i}".encode()))[:PANEL])


def home_slots(server: int, whole: int, fronts: int, index: int) -> int:
    """How many of the slots 0 to whole - 1 are at home at a front: slot k is at `(box + k) % fronts`."""
    return len(range((index - server) % fronts, whole, fronts))


def homes_of(server: int, whole: int, fronts: int, index: int) -> tuple[int, ...]:
    """The other fronts at which some are at home."""
    return tuple(i for slot in range(min(whole, fronts)) if (i := (server + slot) % fronts) != index)


@dataclass(frozen=True, slots=True)
class QuorumVote:
    """What one front of the panel says of a box."""

    whole: int
    parts: tuple[tuple[int, int], ...] = ()  # shape, slots that it needs


@dataclass(slots=True)
class QuorumAgreement:
    """What counts at one front for one box. The caller hands in times."""

    panel: tuple[int, ...]
    whole: int  # in force
    start: int
    now_us: int
    stand: AgreementState = AgreementState.ALONE
    words: dict[int, tuple[int, int, QuorumVote, int]] = field(default_factory=dict)
    led_us: int = 0  # when a majority last counted

    def __post_init__(self) -> None:
        self.led_us = self.now_us

    @property
    def majority(self) -> int:
        """Of the panel, whoever lives."""
        return len(self.panel) // 2 + 1

    def hear(self, sender: int, life: int, number: int, word: QuorumVote, now_us: int) -> bool:
        """A word has come; whether it says something new. Only the panel's count."""
        known = self.words.get(sender)
        if sender not in self.panel or (known is not None and (life, number) <= known[:2]):
            return False
        self.words[sender] = (life, number, word, now_us)
        return known is None or known[2].whole != word.whole or now_us - known[3] > WORD_US

    def young(self, now_us: int) -> list[QuorumVote]:
        """The words that count."""
        return [word for _, _, word, heard_us in self.words.values() if now_us - heard_us <= WORD_US]

    def advance(self, now_us: int) -> int:
        """The number in force from now on."""
        said = sorted((word.whole for word in self.young(now_us)), reverse=True)
        sign = (
            AgreementSignal.NOBODY
            if not said
            else AgreementSignal.SOME
            if len(said) < self.majority
            else AgreementSignal.MAJORITY
        )
        self.stand, act = TRANSITIONS[self.stand, sign]
        median = said[len(said) // 2] if said else self.whole
        if act is AgreementAction.TAKE:
            # At least a majority of the panel says so much: more counts by that alone, less by the median.
            self.whole = max(said[self.majority - 1], min(self.whole, median))
            self.led_us = now_us
        elif act is AgreementAction.LOWER:
            self.whole = min(self.whole, median)
        if act is not AgreementAction.TAKE:
            kept = aged(self.whole, self.start, now_us - self.led_us)
            if kept < self.whole:
                self.whole, self.led_us = kept, now_us
        return self.whole

    def parts(self, now_us: int) -> Mapping[int, int]:
        """What each shape needs: the median of whoever names it."""
        named: dict[int, list[int]] = {}
        for word in self.young(now_us):
            for shape, slots in word.parts:
                named.setdefault(shape, []).append(slots)
        return {shape: sorted(said)[len(said) // 2] for shape, said in named.items()}
