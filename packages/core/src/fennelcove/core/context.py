"""What every part of the core shares: clock, timers, log, random numbers, lock, counters and catalogue."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from random import Random

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.core.requests import EventLogger
from fennelcove.settings.schema import FrontSettings, RoomTypeSettings, Title


@dataclass(frozen=True, slots=True, eq=False)
class CoreContext:
    """The environment of one core.

    Attributes:
        lock: guards every part of the core.
        counts: how often each counted event happened.
    """

    clock: Clock
    timers: Timers
    log_event: EventLogger
    rng: Random
    lock: threading.RLock = field(default_factory=threading.RLock)
    counts: dict[str, int] = field(default_factory=dict)

    def now_us(self) -> int:
        """The time of the monotonic clock, in microseconds."""
        return self.clock.now_us()

    def wall_us(self) -> int:
        """The time of the wall clock, in microseconds since the epoch."""
        return self.clock.wall_us()

    def increment(self, name: str) -> None:
        """Count an event for the operators' status."""
        self.counts[name] = self.counts.get(name, 0) + 1


class Catalogue:
    """Service classes and titles by name, and the rates of the bitrate ladder.

    Attributes:
        titles: each title with its number in the settings.
        ladder_kb: the rate of each rung in kB a second, before the scale of a service class.
    """

    def __init__(self, settings: FrontSettings) -> None:
        self.service_classes: dict[str, RoomTypeSettings] = {
            service_class.name: service_class for service_class in settings.room_types
        }
        self.titles: dict[str, tuple[int, Title]] = {
            title.name: (number, title) for number, title in enumerate(settings.titles)
        }
        self.ladder_kb = tuple(rung.kb for rung in settings.ladder)
        self.cell_count = settings.fleet.cells

    def rates_kb(self, service_class: str) -> tuple[float, ...]:
        """The rate of each rung for a service class, in kB a second."""
        scale = self.service_classes[service_class].scale
        return tuple(scale * kb for kb in self.ladder_kb)
