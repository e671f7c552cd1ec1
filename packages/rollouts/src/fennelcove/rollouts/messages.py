"""The messages that fronts exchange about disruptions and rollouts.

Each message may be lost, delayed, duplicated or reordered. With the bounds stated here every message fits
into 256 bytes. Sequence and request numbers increase within one incarnation of a front, and incarnation
numbers increase for each front index. A heartbeat carries the sender's complete state, so a receiver uses
only the newest one.

A place is a front or a server, identified by the front's index or the server's first cell, from 0 to 32767.

The fields of `Plan` and `RolloutRecord` are stored under their names, and those of `Plan` are part of the
HTTP interface: they must not be renamed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

MAX_PROMISED_PLACES = 64  # per permit vote, two bytes each
MAX_OPEN_REQUESTS = 16  # per heartbeat, eight bytes each


class PlaceKind(IntEnum):
    """The kind of place that a permit is for. The member names appear in status JSON."""

    FRONT = 0
    BOX = 1  # a server


class ServingState(IntEnum):
    """The state that a front reports of itself; a front that reports nothing counts as unavailable."""

    SERVING = 0
    DRAINING = 1
    STARTING = 2  # a new incarnation is running but does not serve yet


class RolloutPhase(IntEnum):
    """The phase of a plan. The member names appear in status JSON."""

    NONE = 0
    MOVING = 1  # the fronts of one step are being replaced
    SOAKING = 2  # a step is complete and being observed
    HALTED = 3
    DONE = 4  # all fronts run the wanted version
    UNDONE = 5  # rolled back: all fronts run the previous version again


ACTIVE_PHASES = (RolloutPhase.MOVING, RolloutPhase.SOAKING)


class HaltReason(IntEnum):
    """Why a plan is halted. The member names appear in status JSON."""

    NONE = 0
    OPERATOR = 1
    SERVED = 2  # the fleet's ratio of served requests is below the plan's floor
    REFUSED = 3  # the ratio of refused requests is above the plan's limit
    FAILED = 4  # the ratio of failed attempts is above the plan's limit
    LADDER = 5  # the load-shedding level reached the plan's limit
    STORM = 6  # the phase of a retry storm reached the plan's limit
    OUT_LONG = 7  # a front has been unavailable for longer than the plan allows
    WORSE = 8  # fronts with the new version perform worse than those with the old one in the same zone
    WRONG = 9  # a front restarted without the wanted version: its settings or build were rejected
    FORGOTTEN = 10  # the fronts that agreed on the plan may have lost its latest record


class PermitVerdict(IntEnum):
    """A grantor's verdict on a permit request."""

    GRANTED = 0
    BUSY = 1  # another request has a promise that is not settled yet
    LIMIT_REACHED = 2  # as far as the grantor knows, a disruption limit would be exceeded
    STALE = 3  # the request belongs to an older record, or to an incarnation that has ended
    RECOVERING = 4  # the grantor started recently; earlier promises may still be in use


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A permit request that its sender has not released yet."""

    kind: PlaceKind
    place: int
    number: int  # request number, 1 to 2**32-1
    is_granted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's state, sent to each other front at every heartbeat interval.

    Counters start at 0 with each incarnation. `acked_incarnation` and `acked_sequence` identify the newest
    heartbeat that the sender has received from the receiver; a sequence of 0 means none.
    """

    incarnation: int  # 8 bytes
    sequence: int  # 4 bytes, from 1
    acked_incarnation: int = 0
    acked_sequence: int = 0
    serving_state: ServingState = ServingState.SERVING
    version: int = 0  # version that the sender runs, as numbered by its supervisor, 4 bytes
    serving_for_s: int = 0  # 4 bytes
    requested: int = 0  # session set-ups, 4 bytes each
    served: int = 0
    refused: int = 0
    failed: int = 0  # attempts that failed
    shedding_level: int = 0  # 1 byte
    storm_phase: int = 0  # 1 byte
    last_request_number: int = 0  # of the sender's permit requests, 4 bytes
    term: int = 0  # revision of the sender's record, 4 bytes each
    turn: int = 0
    is_record_known: bool = True  # whether the sender's record is certainly the last that it accepted
    open_requests: tuple[OpenRequest, ...] = ()  # complete; at most MAX_OPEN_REQUESTS


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit, sent to all fronts.

    `term` and `turn` are the revision of the record that ordered it; both are 0 for an operator's request.
    """

    incarnation: int  # 8 bytes
    number: int  # 4 bytes
    kind: PlaceKind
    place: int  # 2 bytes
    term: int = 0
    turn: int = 0


@dataclass(frozen=True, slots=True)
class PermitVote:
    """The answer to a permit request; a granting vote lists the other places that the grantor promised."""

    requester_incarnation: int
    request_number: int
    verdict: PermitVerdict
    promised_places: tuple[int, ...] = ()  # of the request's kind; at most MAX_PROMISED_PLACES


@dataclass(frozen=True, slots=True)
class Plan:
    """A rollout plan given by an operator. Ratios are in thousandths of the session set-ups in a window."""

    number: int = 0  # 4 bytes; higher than those of all earlier plans
    wanted: int = 0  # version to roll out, 4 bytes
    before: int = 0  # version to roll back to, 4 bytes
    canary: int = 1  # number of fronts in the first step, 2 bytes
    wave: int = 1  # number of fronts in each further step, 2 bytes
    soak_ms: int = 30_000  # observation time after each step, 4 bytes
    out_ms: int = 60_000  # a front that is unavailable for longer halts the plan, 4 bytes
    floor: int = 900  # minimum ratio of served requests, 2 bytes each
    refused: int = 100  # maximum ratio of refused requests
    failed: int = 50  # maximum ratio of failed attempts
    worse: int = 20  # maximum shortfall of the new version's success ratio against the old version's
    level: int = 2  # load-shedding level that halts the plan, 1 byte
    storm: int = 2  # phase of a retry storm that halts the plan, 1 byte


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The replicated state of a plan; a higher revision replaces a lower one."""

    term: int = 0  # term of the leader that proposed it, 4 bytes
    turn: int = 0  # grows with every change, 4 bytes
    phase: RolloutPhase = RolloutPhase.NONE
    reason: HaltReason = HaltReason.NONE
    back: bool = False  # whether the plan is being rolled back
    goal: int = 0  # the step is complete when this many fronts have the target version, 2 bytes
    fence: int = 0  # fencing token: grows with each accepted operator's command and each halt, 4 bytes
    plan: Plan = field(default_factory=Plan)

    @property
    def revision(self) -> tuple[int, int]:
        """Term and turn: the record with the higher revision is newer."""
        return self.term, self.turn


@dataclass(frozen=True, slots=True)
class LeaderVoteRequest:
    """A candidate's request to all fronts for their votes in a new term."""

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
    """A record, sent by its leader, or by any front to a front with an older record.

    It is addressed to one incarnation of its receiver, so that a proposal that was still in transit when all
    fronts lost their state can't restart a plan.
    """

    record: RolloutRecord
    receiver_incarnation: int  # 8 bytes


@dataclass(frozen=True, slots=True)
class ProposalAck:
    """Acknowledges that the sender has accepted the record with this revision."""

    term: int
    turn: int


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The leader's order to a front to drain and restart with a version."""

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
