"""Types that the coordinator of rollouts takes and returns: settings, commands, actions, persisted state.

The fields of `Memory` and `StoredPermit` are stored under their names: they are not renamed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.disruption_budget import FleetLimits
from fennelcove.rollouts.messages import PlaceKind, Plan, RolloutMessage, RolloutRecord, ServingState
from fennelcove.rollouts.permit_settings import PermitSettings

Outbox = list[tuple[int, RolloutMessage]]  # messages to send, each with the index of the front that it is for


@dataclass(frozen=True, slots=True)
class FrontStatus:
    """The state of this front; counters are of this incarnation and only grow."""

    serving_state: ServingState
    version: int = 0
    serving_for_s: int = 0
    requested: int = 0  # session set-ups
    served: int = 0
    refused: int = 0
    failed: int = 0
    shedding_level: int = 0
    storm_phase: int = 0


@dataclass(slots=True)
class LocalFront:
    """This front, as its supervisor reported it at the last heartbeat interval."""

    index: int
    incarnation: int
    status: FrontStatus
    jitter: float = 0.5  # random, from 0 to below 1


class ActionKind(Enum):
    """What this front has to do."""

    DRAIN_FRONT = auto()  # call `begin`; where it permits that, drain and return with `version`
    DRAIN_SERVER = auto()  # call `begin`; where it permits that, have the server drained
    CANCEL = auto()  # a drain that was requested is cancelled
    LOG = auto()  # write `text` to the log


@dataclass(frozen=True, slots=True)
class Action:
    """One action, to be carried out once."""

    action_kind: ActionKind
    kind: PlaceKind = PlaceKind.FRONT
    place: int = 0
    version: int = 0
    text: str = ""


class CommandKind(Enum):
    """The commands that an operator can give about a plan."""

    START = auto()
    CHANGE = auto()  # replaces the active plan; the new one is halted until `ON`
    HALT = auto()
    RESUME = auto()
    ROLL_BACK = auto()


class CommandOutcome(Enum):
    """The outcome of a command. The names appear in HTTP answers."""

    PENDING = auto()  # no majority has accepted it yet
    DONE = auto()
    STALE = auto()  # the fence is not the present one
    WRONG = auto()  # not possible in the plan's present phase
    BUSY = auto()  # this front has another command in progress, or may not vote now
    LOST = auto()  # no majority accepted it in time; it may still be accepted


@dataclass(frozen=True, slots=True)
class Command:
    """A command of an operator, with the fence that the operator saw in the status."""

    command_kind: CommandKind
    fence: int
    plan: Plan | None = None  # of START and CHANGE; the leader assigns its number


@dataclass(frozen=True, slots=True)
class StoredPermit:
    """A place that is promised, as it is persisted."""

    kind: PlaceKind
    place: int
    asker: int  # index of the front that requested it
    life: int  # the requester's incarnation
    number: int  # of the request


@dataclass(frozen=True, slots=True)
class PersistedState:
    """What has to be persisted for the next incarnation.

    Without it the next incarnation waits before it promises anything.
    """

    term: int = 0  # the highest in which this front voted
    record: RolloutRecord = field(default_factory=RolloutRecord)
    sure: bool = True  # whether `record` is known to be the last one that this front accepted
    whole: bool = True  # whether `promises` are all that this front may have promised
    promises: tuple[StoredPermit, ...] = ()
    off: tuple[tuple[PlaceKind, int], ...] = ()  # places that are written off


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The settings of one front's coordinator."""

    front_count: int
    front_index: int
    heartbeat_us: int = 250_000
    permit_window_us: int = 2_000_000  # from a request, until when its permit may be counted and begun
    front_timeout_us: int = 2_000_000  # a front without a heartbeat for so long is unavailable
    server_timeout_us: int = 5_000_000  # a server without an observation for so long is unavailable
    drain_visible_us: int = 5_000_000  # until when all fronts see that a server drains

    def permit_settings(self, kind: PlaceKind, limits: FleetLimits) -> PermitSettings:
        """The settings of permits for one kind of place."""
        if kind is PlaceKind.FRONT:
            limit, health_timeout_us, drain_visible_us = limits.fronts, self.front_timeout_us, 0
        else:
            limit, health_timeout_us = limits.servers, self.server_timeout_us
            drain_visible_us = self.drain_visible_us
        return PermitSettings(
            kind,
            self.front_count,
            self.front_index,
            limit,
            self.permit_window_us,
            health_timeout_us,
            drain_visible_us,
        )
