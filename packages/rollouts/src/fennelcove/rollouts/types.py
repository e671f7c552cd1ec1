"""What the agreement is handed and hands back: figures, operators' words, things to do and to keep."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.disruption_permits import PermitSettings
from fennelcove.rollouts.disruption_budget import FleetLimits
from fennelcove.rollouts.messages import Kind, Plan, RolloutRecord, Said, ServingState

Post = list[tuple[int, Said]]  # to whom, what


@dataclass(frozen=True, slots=True)
class Mine:
    """What this front is now; counters are of this life and only grow."""

    serving_state: ServingState
    version: int = 0
    serving_for_s: int = 0
    requested: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    shedding_level: int = 0
    storm_phase: int = 0


class Do(Enum):
    """What this front is to do."""

    DRAIN_FRONT = auto()  # call `begin`, and where it says yes go out and come back with `version`
    DRAIN_SERVER = auto()  # the same for a box: tell the list to drain it
    STAY = auto()  # what was wanted is given up or out of date; nothing goes out
    NOTE = auto()  # for the log


@dataclass(frozen=True, slots=True)
class Act:
    """One thing to do, once."""

    do: Do
    kind: Kind = Kind.FRONT
    place: int = 0
    version: int = 0
    text: str = ""


class Wish(Enum):
    """What an operator may say about a plan."""

    START = auto()
    CHANGE = auto()  # of the plan that is under way; it is halted until `ON`
    HALT = auto()
    ON = auto()
    BACK = auto()


class Answer(Enum):
    """What becomes of an operator's word; `PENDING` until a majority has taken it."""

    PENDING = auto()
    DONE = auto()
    STALE = auto()  # the fence is not the present one: look again
    WRONG = auto()  # not possible in this phase
    BUSY = auto()  # this front carries another word already, or can't speak for the fleet now
    LOST = auto()  # no majority took it in time; it may still be taken: look again


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's word, with the fence that the operator saw (`status` tells it)."""

    wish: Wish
    fence: int
    plan: Plan | None = None  # START and CHANGE; its number is given by the fleet


@dataclass(frozen=True, slots=True)
class StoredPermit:
    """A place that is promised, for the folder."""

    kind: Kind
    place: int
    asker: int
    life: int
    number: int


@dataclass(frozen=True, slots=True)
class Memory:
    """What the folder has to keep for the next life. Without it the next life waits before it promises."""

    term: int = 0  # the highest that this front gave its voice in
    record: RolloutRecord = field(default_factory=RolloutRecord)
    sure: bool = True
    whole: bool = True  # no place is left of which this life does not know what the last one promised
    promises: tuple[StoredPermit, ...] = ()
    off: tuple[tuple[Kind, int], ...] = ()  # places written off


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The figures of one fleet."""

    front_count: int
    front_index: int
    heartbeat_us: int = 250_000
    permit_window_us: int = 2_000_000  # from an ask until which its permit may be counted and begun
    front_timeout_us: int = 2_000_000  # a front not heard for so long is out
    server_timeout_us: int = 5_000_000  # a box not seen for so long is out
    drain_visible_us: int = 5_000_000  # in which a box told to drain is seen to drain, by all

    def permit_settings(self, kind: Kind, limits: FleetLimits) -> PermitSettings:
        """The figures of permits for one kind."""
        front = kind is Kind.FRONT
        return PermitSettings(
            kind,
            self.front_count,
            self.front_index,
            limits.fronts if front else limits.servers,
            self.permit_window_us,
            self.front_timeout_us if front else self.server_timeout_us,
            0 if front else self.drain_visible_us,
        )
