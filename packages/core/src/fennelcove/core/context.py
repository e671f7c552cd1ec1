"""What every part of the core stands on, and what the settings sell. A part is handed these and the calls of
other parts that it needs, never the core."""

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
    """The times, the chance and the log of one front, and the lock that is round all its parts."""

    clock: Clock
    timers: Timers
    notice: EventLogger
    rng: Random
    lock: threading.RLock = field(default_factory=threading.RLock)
    counts: dict[str, int] = field(default_factory=dict)

    def now_us(self) -> int:
        return self.clock.now_us()

    def wall_us(self) -> int:
        return self.clock.wall_us()

    def tally(self, name: str) -> None:
        """Count something for the operator."""
        self.counts[name] = self.counts.get(name, 0) + 1


class Catalogue:
    """Room types and titles by name, and the rates of the ladder's rungs."""

    def __init__(self, settings: FrontSettings) -> None:
        self.service_classes: dict[str, RoomTypeSettings] = {
            service_class.name: service_class for service_class in settings.room_types
        }
        self.titles: dict[str, tuple[int, Title]] = {
            title.name: (number, title) for number, title in enumerate(settings.titles)
        }
        self.ladder_kb = tuple(rung.kb for rung in settings.ladder)
        self.cells = settings.fleet.cells

    def rates_kb(self, service_class: str) -> tuple[float, ...]:
        """A room type's rates in kB a second, by rung."""
        return tuple(self.service_classes[service_class].scale * kb for kb in self.ladder_kb)
