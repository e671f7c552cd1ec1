"""Capacity model of an emulated server: its link, its rack's uplink, its session slots and its warm-up.

Pure state: no sockets and no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto


class SetUpResult(Enum):
    """The result of a set-up: started, rejected, or the server crashed."""

    STARTED = auto()
    REJECTED = auto()
    CRASHED = auto()


@dataclass(slots=True, eq=False)
class RackModel:
    """A rack whose servers share one uplink; the rate is in kB per second."""

    uplink_kb: float
    servers: list[ServerModel] = field(default_factory=list)

    def utilization(self) -> float:
        """Return the demand on the uplink relative to its capacity."""
        return sum(server.demand_kb() for server in self.servers if server.up) / self.uplink_kb


@dataclass(slots=True, eq=False)
class ServerModel:
    """One server; rates in kB per second, times in microseconds.

    A server that is warming up crashes when more than `fall_multiple` times the set-ups it can take arrive
    within `tip_after_us`. With a `guard` above 0 it rejects set-ups at that link utilization.
    """

    link_kb: float
    streams: int
    rack: RackModel
    ramp_us: int
    start_capacity: float
    fall_multiple: float
    tip_after_us: int
    guard: float = 0.0
    up: bool = True
    started_us: int | None = None  # None if it has been running for a long time
    competing_kb: float = 0.0  # traffic of another program on the same link
    playing: dict[tuple[str, int], float] = field(default_factory=dict)
    recent_setups_us: deque[int] = field(default_factory=deque)

    def demand_kb(self) -> float:
        """Return the total rate of all sessions and of the other program."""
        return sum(self.playing.values()) + self.competing_kb

    def utilization(self) -> float:
        """Return the demand on the link relative to its capacity."""
        return self.demand_kb() / self.link_kb

    def delivered(self) -> float:
        """Return the fraction of its rate that each session gets."""
        return min(1.0, 1 / max(self.utilization(), self.rack.utilization(), 1e-9))

    def warm_up_factor(self, now_us: int) -> float:
        """Return the fraction of its full set-up rate that the server has reached."""
        if self.started_us is None or now_us - self.started_us >= self.ramp_us:
            return 1.0
        progress = (now_us - self.started_us) / self.ramp_us
        return self.start_capacity + (1 - self.start_capacity) * progress

    def is_warming_up(self, now_us: int) -> bool:
        """Whether the server is still warming up."""
        return self.started_us is not None and now_us - self.started_us < self.ramp_us

    def set_up(self, key: tuple[str, int], rate_kb: float, now_us: int) -> SetUpResult:
        """Process one set-up."""
        if self.is_warming_up(now_us):
            self.recent_setups_us.append(now_us)
            while self.recent_setups_us[0] < now_us - self.tip_after_us:
                self.recent_setups_us.popleft()
            setups_per_us = self.streams / self.ramp_us * self.warm_up_factor(now_us)
            if len(self.recent_setups_us) > self.fall_multiple * setups_per_us * self.tip_after_us + 1:
                return SetUpResult.CRASHED
        if key not in self.playing and len(self.playing) >= self.streams:
            return SetUpResult.REJECTED
        if self.guard and self.utilization() >= self.guard:
            return SetUpResult.REJECTED
        self.playing[key] = rate_kb
        return SetUpResult.STARTED

    def start(self, now_us: int) -> None:
        """Start the process: cold and without sessions."""
        self.up, self.started_us = True, now_us
        self.playing.clear()
        self.recent_setups_us.clear()

    def stop(self) -> None:
        """Stop the process; all its sessions are lost."""
        self.up = False
        self.playing.clear()
