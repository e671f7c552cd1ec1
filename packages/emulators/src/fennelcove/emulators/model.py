"""What a box is like inside: its link, its rack's uplink, its places, its warm-up. No sockets, no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto


class SetUp(Enum):
    """What became of a set-up."""

    STARTED = auto()
    TURNED_AWAY = auto()
    FELL = auto()


@dataclass(slots=True, eq=False)
class RackModel:
    """The uplink that a rack's boxes share, in kB a second."""

    uplink_kb: float
    boxes: list[BoxModel] = field(default_factory=list)

    def asked(self) -> float:
        """What is asked of the uplink over what it gives."""
        return sum(box.demand_kb() for box in self.boxes if box.up) / self.uplink_kb


@dataclass(slots=True, eq=False)
class BoxModel:
    """One box; rates in kB a second, times in microseconds."""

    link_kb: float
    streams: int
    rack: RackModel
    ramp_us: int
    start_capacity: float
    fall_multiple: float
    tip_after_us: int
    guard: float = 0.0
    up: bool = True
    started_us: int | None = None  # None: long ago
    others_kb: float = 0.0  # another program on the same link
    playing: dict[tuple[str, int], float] = field(default_factory=dict)
    recent_setups_us: deque[int] = field(default_factory=deque)

    def demand_kb(self) -> float:
        """The rates of all that plays, and of the other program."""
        return sum(self.playing.values()) + self.others_kb

    def asked(self) -> float:
        """What is asked of the link over what it gives."""
        return self.demand_kb() / self.link_kb

    def delivered(self) -> float:
        """The share of its rate that each subscription gets."""
        return min(1.0, 1 / max(self.asked(), self.rack.asked(), 1e-9))

    def warm_up_factor(self, now_us: int) -> float:
        """The share of its pace of set-ups that it has reached."""
        if self.started_us is None or now_us - self.started_us >= self.ramp_us:
            return 1.0
        progress = (now_us - self.started_us) / self.ramp_us
        return self.start_capacity + (1 - self.start_capacity) * progress

    def is_cold(self, now_us: int) -> bool:
        """It has not warmed up yet."""
        return self.started_us is not None and now_us - self.started_us < self.ramp_us

    def set_up(self, key: tuple[str, int], rate_kb: float, now_us: int) -> SetUp:
        """Take one set-up."""
        if self.is_cold(now_us):
            self.recent_setups_us.append(now_us)
            while self.recent_setups_us[0] < now_us - self.tip_after_us:
                self.recent_setups_us.popleft()
            setups_per_us = self.streams / self.ramp_us * self.warm_up_factor(now_us)
            if len(self.recent_setups_us) > self.fall_multiple * setups_per_us * self.tip_after_us + 1:
                return SetUp.FELL
        if key not in self.playing and len(self.playing) >= self.streams:
            return SetUp.TURNED_AWAY
        if self.guard and self.asked() >= self.guard:
            return SetUp.TURNED_AWAY
        self.playing[key] = rate_kb
        return SetUp.STARTED

    def start(self, now_us: int) -> None:
        """The process starts: cold, and holding nothing."""
        self.up, self.started_us = True, now_us
        self.playing.clear()
        self.recent_setups_us.clear()

    def stop(self) -> None:
        """The process is gone, with all that it played."""
        self.up = False
        self.playing.clear()
