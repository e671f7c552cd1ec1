"""The messages that fronts exchange about disruptions and rollouts.

Each message may be lost, delayed, duplicated or reordered. Every kind fits into 256 bytes with the bounds
stated here. Sequence and request numbers only grow within one incarnation of a front, and incarnations only
grow under one front index. A heartbeat carries the sender's whole state, so only the newest one counts.

A place is a front's index or the number of a server's first cell, from 0 to 32767.

The fields of `Plan` and `RolloutRecord` are stored under their names, and those of `Plan` are part of the
HTTP interface: they are not renamed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

MAX_PROMISED_PLACES = 64  # in a permit vote, two bytes each
MAX_OPEN_REQUESTS = 16  # in a heartbeat, eight bytes each


class PlaceKind(IntEnum):
    """The kind of place that a permit is for. The names appear in status JSON."""

    FRONT = 0
    BOX = 1  # a server


class ServingState(IntEnum):
    """What a front reports of itself; a front that reports nothing counts as unavailable."""

    SERVING = 0
    DRAINING = 1
    STARTING = 2  # a new incarnation that does not serve yet


class RolloutPhase(IntEnum):
    """The phase of a plan. The names appear in status JSON."""

    NONE = 0
    MOVING = 1  # the fronts of one step are being replaced
    SOAKING = 2  # a step is complete and under observation
    HALTED = 3
    DONE = 4  # all fronts run the wanted version
    UNDONE = 5  # all fronts run the previous version again


ACTIVE_PHASES = (RolloutPhase.MOVING, RolloutPhase.SOAKING)


class HaltReason(IntEnum):
    """Why a plan is halted. The names appear in status JSON."""

    NONE = 0
    OPERATOR = 1
    SERVED = 2  # the fleet's ratio of served requests is below the plan's floor
    REFUSED = 3
    FAILED = 4
    LADDER = 5  # the load-shedding level
    STORM = 6  # the phase of a retry storm
    OUT_LONG = 7  # a front has been unavailable for longer than the plan allows
    WORSE = 8  # fronts with the new version do worse than their neighbours at the same time
    WRONG = 9  # a front came back without the wanted version: its settings or build were refused
    FORGOTTEN = 10  # the fronts that agreed on the plan may have lost its latest record


class PermitVerdict(IntEnum):
    """A grantor's answer to a permit request."""

    GRANTED = 0
    BUSY = 1  # another request is promised and not settled yet
    LIMIT_REACHED = 2  # by what the grantor knows, a limit would be exceeded
    STALE = 3  # the request belongs to an older record, or to an incarnation that has ended
    RECOVERING = 4  # the grantor started lately and does not know what it promised before


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A permit request that its sender has not released."""

    kind: PlaceKind
    place: int
    number: int  # of the request, 1 to 2**32-1
    is_granted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's state, sent to each other front at every heartbeat interval.

    Counters are of the sender's incarnation. `acked_incarnation` and `acked_sequence` name the newest
    heartbeat that the sender has received from the receiver; a sequence of 0 means none.
    """

    incarnation: int  # 8 bytes
    sequence: int  # 4 bytes, from 1
    acked_incarnation: int = 0
    acked_sequence: int = 0
    serving_state: ServingState = ServingState.SERVING
    version: int = 0  # what the sender runs, 4 bytes; a number that its supervisor knows
    serving_for_s: int = 0  # 4 bytes
    requested: int = 0  # session set-ups, 4 bytes each
    served: int = 0
    refused: int = 0
    failed: int = 0  # attempts that failed
    shedding_level: int = 0  # 1 byte
    storm_phase: int = 0  # 1 byte
    last_request_number: int = 0  # of permit requests, 4 bytes
    term: int = 0  # of the sender's record, 4 bytes each
    turn: int = 0
    is_record_known: bool = True  # whether the sender knows all that it ever agreed to
    open_requests: tuple[OpenRequest, ...] = ()  # all that are not released; at most MAX_OPEN_REQUESTS


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit, sent to all fronts.

    `term` and `turn` are the revision of the record that it belongs to; both are 0 for a request by an
    operator.
    """

    incarnation: int  # 8 bytes
    number: int  # 4 bytes
    kind: PlaceKind
    place: int  # 2 bytes
    term: int = 0
    turn: int = 0


@dataclass(frozen=True, slots=True)
class PermitVote:
    """The answer to a permit request, with all places that the grantor holds to be promised."""

    requester_incarnation: int
    request_number: int
    verdict: PermitVerdict
    promised_places: tuple[int, ...] = ()  # of the request's kind; at most MAX_PROMISED_PLACES


@dataclass(frozen=True, slots=True)
class Plan:
    """A rollout as an operator ordered it. Ratios are in thousandths of session set-ups in a window."""

    number: int = 0  # 4 bytes; higher than that of all earlier plans
    wanted: int = 0  # version, 4 bytes
    before: int = 0  # the version to roll back to
    canary: int = 1  # fronts of the first step, 2 bytes
    wave: int = 1  # fronts of each further step, 2 bytes
    soak_ms: int = 30_000  # 4 bytes
    out_ms: int = 60_000  # a front that is unavailable for longer halts the plan, 4 bytes
    floor: int = 900  # minimum served, 2 bytes
    refused: int = 100  # maximum refused
    failed: int = 50  # maximum with a failed attempt
    worse: int = 20  # by how much the new version may be behind its neighbours
    level: int = 2  # load-shedding level that halts the plan, 1 byte
    storm: int = 2  # phase of a retry storm that halts the plan, 1 byte


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The replicated state of a plan; a higher revision replaces a lower one."""

    term: int = 0  # 4 bytes: the leader's
    turn: int = 0  # 4 bytes: grows with every change
    phase: RolloutPhase = RolloutPhase.NONE
    reason: HaltReason = HaltReason.NONE
    back: bool = False  # whether the plan is being rolled back
    goal: int = 0  # fronts with the target version at which this step is complete, 2 bytes
    fence: int = 0  # 4 bytes: grows with each accepted command of an operator, and with each halt
    plan: Plan = field(default_factory=Plan)

    @property
    def revision(self) -> tuple[int, int]:
        """Term and turn: of two records the one with the higher revision is newer."""
        return self.term, self.turn


@dataclass(frozen=True, slots=True)
class LeaderVoteRequest:
    """A candidate asks all fronts for their votes in a new term."""

    incarnation: int  # 8 bytes
    term: int


@dataclass(frozen=True, slots=True)
class LeaderVote:
    """The answer to a candidate, with the newest record that the voter has accepted."""

    candidate_incarnation: int
    term: int
    is_granted: bool
    is_record_known: bool
    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record, sent by its leader, or by any front to one that has an older record.

    It is addressed to one incarnation of its receiver: a proposal that was under way while all fronts lost
    their state must not set a plan in motion again.
    """

    record: RolloutRecord
    receiver_incarnation: int  # 8 bytes


@dataclass(frozen=True, slots=True)
class ProposalAck:
    """The sender has accepted the record of this revision."""

    term: int
    turn: int


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The leader orders a front to drain and to return with a version."""

    receiver_incarnation: int  # 8 bytes
    term: int
    turn: int
    version: int


RolloutMessage = (
    Heartbeat
    | PermitRequest
    | PermitVote
    | LeaderVoteRequest
    | LeaderVote
    | Proposal
    | ProposalAck
    | RolloutOrder
)
