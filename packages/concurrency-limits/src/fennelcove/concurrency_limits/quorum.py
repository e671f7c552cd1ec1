"""The limit in force for one server, determined by the votes of several fronts.

Each server has up to fifteen voters, which every front computes alike from the server's key. These fronts
receive the server's histograms and vote on its limit. A front adopts the highest limit such that a majority
of the voters vote for it or a higher one, by votes that are still valid. In a network partition at most one
side has a majority, so two sides never both raise the limit, and dishonest voters cannot raise it unless they
are a majority. Lowering the limit needs no majority: the median of the received votes is enough.

Fronts may have different limits in force, but their shares never add up to more than the largest of these
limits: slot k has one home front, the same for all fronts, and exists there while k is below the limit in
force there. Nothing has to be transferred when a limit changes.

A front that does not receive a majority keeps the last limit in force, lowers it according to the votes that
it does receive, and lets the part above the initial limit decay (`limit_decay`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from fennelcove.concurrency_limits.limit_decay import decayed_limit
from fennelcove.state_machine import Transition, TransitionTable

MAX_VOTERS = 15
VOTE_VALIDITY_US = 4_000_000
MAX_SHAPE_LIMITS = 6  # in one vote


class AgreementState(Enum):
    """Whether this front receives the votes of a majority. The status page shows the member names."""

    ALONE = auto()  # never in this incarnation
    LED = auto()  # now
    CUT = auto()  # earlier, but not now


class AgreementSignal(Enum):
    """How many voters' votes are valid."""

    NO_VOTES = auto()
    MINORITY = auto()
    MAJORITY = auto()


class AgreementAction(Enum):
    """What to do with the limit in force."""

    DECAY = auto()
    LOWER_TO_MEDIAN = auto()  # lower to the median of the valid votes, if that is lower; and decay
    ADOPT_MAJORITY = auto()


_STATE, _SIGNAL, _ACTION = AgreementState, AgreementSignal, AgreementAction
TRANSITIONS: TransitionTable[AgreementState, AgreementSignal, AgreementAction] = TransitionTable(
    {
        (_STATE.ALONE, _SIGNAL.NO_VOTES): Transition(_STATE.ALONE, (_ACTION.DECAY,)),
        (_STATE.ALONE, _SIGNAL.MINORITY): Transition(_STATE.ALONE, (_ACTION.LOWER_TO_MEDIAN,)),
        (_STATE.ALONE, _SIGNAL.MAJORITY): Transition(_STATE.LED, (_ACTION.ADOPT_MAJORITY,)),
        (_STATE.LED, _SIGNAL.NO_VOTES): Transition(_STATE.CUT, (_ACTION.DECAY,)),
        (_STATE.LED, _SIGNAL.MINORITY): Transition(_STATE.CUT, (_ACTION.LOWER_TO_MEDIAN,)),
        (_STATE.LED, _SIGNAL.MAJORITY): Transition(_STATE.LED, (_ACTION.ADOPT_MAJORITY,)),
        (_STATE.CUT, _SIGNAL.NO_VOTES): Transition(_STATE.CUT, (_ACTION.DECAY,)),
        (_STATE.CUT, _SIGNAL.MINORITY): Transition(_STATE.CUT, (_ACTION.LOWER_TO_MEDIAN,)),
        (_STATE.CUT, _SIGNAL.MAJORITY): Transition(_STATE.LED, (_ACTION.ADOPT_MAJORITY,)),
    }
)


def voters_of(server: int, fronts: int) -> tuple[int, ...]:
    """The indexes of the fronts that vote on a server's limit, selected by rendezvous hashing."""
    if fronts <= MAX_VOTERS:
        return tuple(range(fronts))
    fronts_by_hash = sorted(range(fronts), key=lambda front: crc32(f"{server}/{front}".encode()))
    return tuple(sorted(fronts_by_hash[:MAX_VOTERS]))


def home_slots(server: int, limit: int, fronts: int, index: int) -> int:
    """How many of a server's slots have a front as their home.

    The home of slot k, from 0 to `limit` - 1, is the front `(server + k) % fronts`.
    """
    first_slot = (index - server) % fronts
    return len(range(first_slot, limit, fronts))


def other_homes(server: int, limit: int, fronts: int, index: int) -> tuple[int, ...]:
    """The fronts, except `index`, that are the home of some of a server's slots."""
    homes = ((server + slot) % fronts for slot in range(min(limit, fronts)))
    return tuple(home for home in homes if home != index)


@dataclass(frozen=True, slots=True)
class QuorumVote:
    """The limits that one voter proposes for a server."""

    limit: int
    shape_limits: tuple[tuple[int, int], ...] = ()  # shape, number of slots that it requires


@dataclass(frozen=True, slots=True)
class _ReceivedVote:
    """The newest vote of one front."""

    incarnation: int  # of the sender
    sequence: int  # unique within the incarnation
    vote: QuorumVote
    received_us: int

    def is_valid(self, now_us: int) -> bool:
        return now_us - self.received_us <= VOTE_VALIDITY_US


@dataclass(slots=True)
class QuorumAgreement:
    """The limit of one server in force at one front. The caller passes in times."""

    voters: tuple[int, ...]
    limit: int  # the limit in force
    initial_limit: int
    now_us: int
    state: AgreementState = AgreementState.ALONE
    votes: dict[int, _ReceivedVote] = field(default_factory=dict)  # by sender
    last_majority_us: int = 0  # also when the limit last decayed

    def __post_init__(self) -> None:
        """Measure the decay from the creation time."""
        self.last_majority_us = self.now_us

    @property
    def majority(self) -> int:
        """How many votes are a majority of all voters, including those that are not running."""
        return len(self.voters) // 2 + 1

    def on_vote(self, sender: int, incarnation: int, sequence: int, vote: QuorumVote, now_us: int) -> bool:
        """Handle a vote, unless it is a duplicate, reordered, or of a front that is not a voter.

        Returns:
            Whether it may change the limit in force.
        """
        if sender not in self.voters:
            return False
        latest = self.votes.get(sender)
        if latest is not None and (incarnation, sequence) <= (latest.incarnation, latest.sequence):
            return False
        self.votes[sender] = _ReceivedVote(incarnation, sequence, vote, now_us)
        return latest is None or latest.vote.limit != vote.limit or not latest.is_valid(now_us)

    def valid_votes(self, now_us: int) -> list[QuorumVote]:
        """The latest vote of each voter, unless it was received too long ago."""
        return [received.vote for received in self.votes.values() if received.is_valid(now_us)]

    def advance(self, now_us: int) -> int:
        """Update the limit in force from the votes that are valid now, and return it."""
        limits = sorted((vote.limit for vote in self.valid_votes(now_us)), reverse=True)
        transition = TRANSITIONS.apply(self.state, self._signal(len(limits)))
        self.state = transition.state
        for action in transition.actions:
            self._carry_out(action, limits, now_us)
        return self.limit

    def _signal(self, vote_count: int) -> AgreementSignal:
        if vote_count == 0:
            return AgreementSignal.NO_VOTES
        if vote_count < self.majority:
            return AgreementSignal.MINORITY
        return AgreementSignal.MAJORITY

    def _carry_out(self, action: AgreementAction, limits: list[int], now_us: int) -> None:
        """Carry out an action; `limits` are the valid votes' limits in descending order."""
        if action is AgreementAction.ADOPT_MAJORITY:
            # A majority votes for this limit or a higher one. Only that can raise the limit in force; the
            # median can lower it.
            majority_limit = limits[self.majority - 1]
            median = limits[len(limits) // 2]
            self.limit = max(majority_limit, min(self.limit, median))
            self.last_majority_us = now_us
            return
        if action is AgreementAction.LOWER_TO_MEDIAN:
            self.limit = min(self.limit, limits[len(limits) // 2])
        self._decay(now_us)

    def _decay(self, now_us: int) -> None:
        decayed = decayed_limit(self.limit, self.initial_limit, now_us - self.last_majority_us)
        if decayed < self.limit:
            self.limit = decayed
            self.last_majority_us = now_us

    def shape_limits(self, now_us: int) -> Mapping[int, int]:
        """The number of slots that each shape requires: the median of the valid votes that include it."""
        votes_by_shape: dict[int, list[int]] = {}
        for vote in self.valid_votes(now_us):
            for shape, slots in vote.shape_limits:
                votes_by_shape.setdefault(shape, []).append(slots)
        return {shape: sorted(slots)[len(slots) // 2] for shape, slots in votes_by_shape.items()}
