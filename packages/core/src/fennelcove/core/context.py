"""State that all components of the core share: clock, timers, log, lock, counters, catalogue."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from random import Random

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.core.requests import EventLogger
from fennelcove.settings.schema import FrontSettings, ServiceClassSettings, Title


@dataclass(frozen=True, slots=True, eq=False)
class CoreContext:
    """The environment of a core.

    Attributes:
        lock: Guards the state of all components.
        counts: Event counters by name.
    """

    clock: Clock
    timers: Timers
    log_event: EventLogger
    rng: Random
    lock: threading.RLock = field(default_factory=threading.RLock)
    counts: dict[str, int] = field(default_factory=dict)

    def now_us(self) -> int:
        """Return the time of the monotonic clock in microseconds."""
        return self.clock.now_us()

    def wall_us(self) -> int:
        """Return the time of the wall clock in microseconds since the epoch."""
        return self.clock.wall_us()

    def increment(self, name: str) -> None:
        """Increment an event counter of the status."""
        self.counts[name] = self.counts.get(name, 0) + 1


class Catalogue:
    """Service classes and titles by name, and the rates of the bitrate ladder.

    Attributes:
        titles: Each title with its index in the settings, by name.
        ladder_kb: The rate of each rung in kB per second, before it is scaled for a service class.
        cell_count: The number of cells of the fleet.
    """

    def __init__(self, settings: FrontSettings) -> None:
        self.service_classes: dict[str, ServiceClassSettings] = {
            service_class.name: service_class for service_class in settings.room_types
        }
        self.titles: dict[str, tuple[int, Title]] = {
            title.name: (number, title) for number, title in enumerate(settings.titles)
        }
        self.ladder_kb = tuple(rung.kb for rung in settings.ladder)
        self.cell_count = settings.fleet.cells

    def rates_kb(self, service_class: str) -> tuple[float, ...]:
        """Return the rate of each rung for a service class, in kB per second."""
        scale = self.service_classes[service_class].scale
        return tuple(scale * kb for kb in self.ladder_kb)
