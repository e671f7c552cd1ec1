"""Types in the interface of the rollout coordinator: settings, commands, actions and persisted state.

The fields of `PersistedState` and `StoredPermit` are stored under their names and must not be renamed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.disruption_budget import FleetLimits
from fennelcove.rollouts.messages import PlaceKind, Plan, RolloutMessage, RolloutRecord, ServingState
from fennelcove.rollouts.permit_settings import PermitSettings

Outbox = list[tuple[int, RolloutMessage]]  # messages to send, each with the index of its receiver


@dataclass(frozen=True, slots=True)
class FrontStatus:
    """The state of this front. Counters start at 0 with each incarnation and only grow."""

    serving_state: ServingState
    version: int = 0
    serving_for_s: int = 0
    requested: int = 0  # session set-ups, of which `served` and `refused` count outcomes
    served: int = 0
    refused: int = 0
    failed: int = 0  # attempts that failed
    shedding_level: int = 0
    storm_phase: int = 0


@dataclass(slots=True)
class LocalFront:
    """This front, with the status passed in at the last heartbeat interval."""

    index: int
    incarnation: int
    status: FrontStatus
    jitter: float = 0.5  # random, in [0, 1)


class ActionKind(Enum):
    """The kinds of actions that the caller carries out for the coordinator."""

    DRAIN_FRONT = auto()  # call `begin`; if it returns True, drain and restart with `version`
    DRAIN_SERVER = auto()  # call `begin`; if it returns True, drain the server
    CANCEL = auto()  # a requested drain is no longer wanted
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
    """Commands that an operator can issue for a rollout plan."""

    START = auto()
    CHANGE = auto()  # replaces the active plan; the new plan is halted until `RESUME`
    HALT = auto()
    RESUME = auto()
    ROLL_BACK = auto()


class CommandOutcome(Enum):
    """The outcome of a command. The member names appear in HTTP responses."""

    PENDING = auto()  # no majority has accepted it yet
    DONE = auto()
    STALE = auto()  # the command's fence is not the current one
    WRONG = auto()  # not allowed in the plan's current phase
    BUSY = auto()  # this front has another command in progress, or can't vote at present
    LOST = auto()  # no majority accepted it before the timeout; it may still be accepted later


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's command, with the fence that the operator read from the status."""

    command_kind: CommandKind
    fence: int
    plan: Plan | None = None  # for START and CHANGE; the leader assigns its number


@dataclass(frozen=True, slots=True)
class StoredPermit:
    """A promised place, in the form in which it is persisted."""

    kind: PlaceKind
    place: int
    asker: int  # the requester: index of the front that requested the permit
    life: int  # incarnation of the requester
    number: int  # request number


@dataclass(frozen=True, slots=True)
class PersistedState:
    """The state that the next incarnation of this front needs.

    An incarnation that starts without it promises nothing until earlier promises can no longer be used.
    """

    term: int = 0  # the highest term in which this front voted
    record: RolloutRecord = field(default_factory=RolloutRecord)
    sure: bool = True  # whether `record` is certainly the last one that this front accepted
    whole: bool = True  # whether `promises` is complete: nothing else may have been promised
    promises: tuple[StoredPermit, ...] = ()
    off: tuple[tuple[PlaceKind, int], ...] = ()  # places that an operator has written off


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The settings of one front's coordinator."""

    front_count: int
    front_index: int
    heartbeat_us: int = 250_000
    permit_window_us: int = 2_000_000  # how long after a request votes count and the drain may begin
    front_timeout_us: int = 2_000_000  # a front without a heartbeat for this long is unavailable
    server_timeout_us: int = 5_000_000  # a server without an observation for this long is unavailable
    drain_visible_us: int = 5_000_000  # time until all fronts have observed a server's drain

    def permit_settings(self, kind: PlaceKind, limits: FleetLimits) -> PermitSettings:
        """Return the permit settings for one kind of place."""
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
