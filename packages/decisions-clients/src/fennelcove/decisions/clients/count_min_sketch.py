"""How often each client has asked lately, in a memory that ten million names do not enlarge.

Two count-min sketches take turns, so that what is counted is the last one to two spans. A count is never too
low; it is too high by more than `2 * total / WIDTH` with a chance of 2**-DEPTH at most (Cormode and
Muthukrishnan, 2005). Names are hashed under a key of this life, or a client could pick names that fall on
others'.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable

WIDTH, DEPTH = 8192, 4
WINDOW_US = 10_000_000

Hash = Callable[[bytes], bytes]


class CountMinSketch:
    """A sliding count of names; `hashed` must give at least 4 * DEPTH bytes."""

    def __init__(self, hashed: Hash, now_us: int) -> None:
        self.hash = hashed
        self.current, self.previous = self._empty_counters(), self._empty_counters()
        self.window_started_us = now_us

    def _empty_counters(self) -> array[int]:
        return array("L", bytes(array("L").itemsize * WIDTH * DEPTH))

    def _rotate(self, now_us: int) -> None:
        spans = (now_us - self.window_started_us) // WINDOW_US
        if spans <= 0:
            return
        self.previous = self.current if spans == 1 else self._empty_counters()
        self.current = self._empty_counters()
        self.window_started_us += spans * WINDOW_US

    def _indexes(self, name: str) -> list[int]:
        raw = self.hash(name.encode("utf-8", "replace"))
        return [
            row * WIDTH + int.from_bytes(raw[4 * row : 4 * row + 4], "little") % WIDTH for row in range(DEPTH)
        ]

    def add(self, name: str, now_us: int) -> int:
        """Count one more; how often it has come in the last one to two spans, this time included."""
        self._rotate(now_us)
        places = self._indexes(name)
        for place in places:
            self.current[place] += 1
        return min(self.current[place] + self.previous[place] for place in places)
