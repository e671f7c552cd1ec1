"""What fronts say to each other about who is out. Each may be lost, late, doubled or overtaken.

Every kind fits into 256 bytes with the bounds that stand here. Numbers only grow within a life, lives only
grow under one index. A word says all of what its sender holds, so the newest alone counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

MAX_PROMISED_PLACES = 64  # places in a vote, two bytes each
MAX_OPEN_REQUESTS = 16  # asks in a word, seven bytes each


class Kind(IntEnum):
    """What may be out."""

    FRONT = 0
    BOX = 1


class ServingState(IntEnum):
    """How a front says that it stands; one that says nothing is out."""

    SERVING = 0
    DRAINING = 1  # drained, or on its way out
    STARTING = 2  # in a new life, and not serving yet


class RolloutPhase(IntEnum):
    """How far a plan is."""

    NONE = 0
    MOVING = 1  # fronts go out, a step of them
    SOAKING = 2  # a step is done and is watched
    HALTED = 3
    DONE = 4  # all have what was wanted
    UNDONE = 5  # all have what was before


class HaltReason(IntEnum):
    """Why a plan is halted."""

    NONE = 0
    OPERATOR = 1
    SERVED = 2  # the fleet's served share is under the floor
    REFUSED = 3
    FAILED = 4
    LADDER = 5
    STORM = 6
    OUT_LONG = 7  # a front is out for longer than stated
    WORSE = 8  # those with the new version do worse than their neighbours at the same time
    WRONG = 9  # a front came back without what was wanted: its settings or build were refused
    FORGOTTEN = 10  # those who agreed on the plan may have forgotten what it last was


class PermitVerdict(IntEnum):
    """A voter's answer to an ask for a permit."""

    GRANTED = 0
    BUSY = 1  # its voice is promised to another ask that is not settled
    LIMIT_REACHED = 2  # a limit would be passed by what it knows
    STALE = 3  # the ask is of an older state of the plan, or of a life that is over
    RECOVERING = 4  # it began lately and does not know what it promised


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """An ask that its sender has not given up."""

    kind: Kind
    place: int  # a front's index or a box's first cell: 0 to 32767
    number: int  # of the ask, 1 to 2**32-1
    is_granted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Told to each other front every beat: what the sender is and holds."""

    incarnation: int  # 8 bytes
    sequence: int  # of this word, 4 bytes, from 1
    acked_incarnation: int = 0  # the taker's, as the sender knows it
    acked_sequence: int = 0  # the taker's newest word in it; 0: none
    serving_state: ServingState = ServingState.SERVING
    version: int = 0  # what it runs, 4 bytes; a number that its supervisor knows
    serving_for_s: int = 0  # for how long it has served in this life, 4 bytes
    requested: int = 0  # set-ups in this life, 4 bytes each
    served: int = 0
    refused: int = 0
    failed: int = 0  # joins that failed
    shedding_level: int = 0  # of the ladder, 1 byte
    storm_phase: int = 0  # the storm's phase, 1 byte
    last_request_number: int = 0  # the last number of an ask in this life, 4 bytes
    term: int = 0  # of the record that it has, 4 bytes each
    turn: int = 0
    is_record_known: bool = True  # whether it knows all that it ever agreed to
    open_requests: tuple[OpenRequest, ...] = ()  # all asks up to `asks` that are not over; at most MOST_OPEN


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A front asks all for a permit."""

    incarnation: int  # 8 bytes
    number: int  # 4 bytes
    kind: Kind
    place: int  # 2 bytes
    term: int = 0  # the record of the plan under which it goes; 0 and 0: by hand
    turn: int = 0


@dataclass(frozen=True, slots=True)
class PermitVote:
    """The answer to an ask, with all places that the voter holds to be promised."""

    requester_incarnation: int  # the asker's
    request_number: int
    verdict: PermitVerdict
    promised_places: tuple[int, ...] = ()  # of the ask's kind; at most MOST_HELD


@dataclass(frozen=True, slots=True)
class Plan:
    """What an operator wants."""

    number: int = 0  # 4 bytes; each plan has a higher one than all before
    wanted: int = 0  # version, 4 bytes
    before: int = 0  # what to go back to
    canary: int = 1  # fronts of the first step, 2 bytes
    wave: int = 1  # fronts of each further step, 2 bytes
    soak_ms: int = 30_000  # 4 bytes
    out_ms: int = 60_000  # a front that is out for longer halts the plan, 4 bytes
    floor: int = 900  # thousandths of all set-ups of a window that are served at least, 2 bytes
    refused: int = 100  # thousandths of set-ups refused at most
    failed: int = 50  # thousandths of set-ups with a failed join at most
    worse: int = 20  # thousandths by which those with the new version may be behind their neighbours
    level: int = 2  # step of the ladder that halts, 1 byte
    storm: int = 2  # phase of a storm that halts, 1 byte


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The plan and how far it is, as agreed; the higher (term, turn) replaces the lower."""

    term: int = 0  # 4 bytes: of the front that leads
    turn: int = 0  # 4 bytes: rises with every change
    phase: RolloutPhase = RolloutPhase.NONE
    reason: HaltReason = HaltReason.NONE
    back: bool = False  # on the way back
    goal: int = 0  # fronts that have what they are to have when this step is done, 2 bytes
    fence: int = 0  # 4 bytes: rises with each command of an operator that is taken, and with each halt
    plan: Plan = field(default_factory=Plan)

    @property
    def revision(self) -> tuple[int, int]:
        """Which of two is newer."""
        return self.term, self.turn


@dataclass(frozen=True, slots=True)
class LeaderVoteRequest:
    """A front wants to lead: it asks all for their voices in a term that had none."""

    incarnation: int  # 8 bytes
    term: int


@dataclass(frozen=True, slots=True)
class LeaderVote:
    """The answer: yes or no, and the newest record that the voter took."""

    candidate_incarnation: int  # the asker's
    term: int
    is_granted: bool
    is_record_known: bool
    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record is told, by its leader or by one that knows it to one that does not.

    It is meant for one life of its taker: what was on its way when all forgot must not move a plan again.
    """

    record: RolloutRecord
    receiver_incarnation: int  # the taker's, 8 bytes


@dataclass(frozen=True, slots=True)
class ProposalAck:
    """A record of this stamp was taken."""

    term: int
    turn: int


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The leader tells a front that it is its turn."""

    receiver_incarnation: int  # the taker's, 8 bytes
    term: int
    turn: int
    version: int  # to come back with


Said = (
    Heartbeat
    | PermitRequest
    | PermitVote
    | LeaderVoteRequest
    | LeaderVote
    | Proposal
    | ProposalAck
    | RolloutOrder
)
