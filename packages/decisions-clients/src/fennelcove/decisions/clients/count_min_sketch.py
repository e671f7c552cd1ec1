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
SPAN_US = 10_000_000

Hash = Callable[[bytes], bytes]


class CountMinSketch:
    """A sliding count of names; `hashed` must give at least 4 * DEPTH bytes."""

    def __init__(self, hashed: Hash, now_us: int) -> None:
        self.hashed = hashed
        self.now, self.before = self._empty(), self._empty()
        self.began_us = now_us

    def _empty(self) -> array[int]:
        return array("L", bytes(array("L").itemsize * WIDTH * DEPTH))

    def _turn(self, now_us: int) -> None:
        spans = (now_us - self.began_us) // SPAN_US
        if spans <= 0:
            return
        self.before = self.now if spans == 1 else self._empty()
        self.now = self._empty()
        self.began_us += spans * SPAN_US

    def _places(self, name: str) -> list[int]:
        raw = self.hashed(name.encode("utf-8", "replace"))
        return [
            row * WIDTH + int.from_bytes(raw[4 * row : 4 * row + 4], "little") % WIDTH for row in range(DEPTH)
        ]

    def add(self, name: str, now_us: int) -> int:
        """Count one more; how often it has come in the last one to two spans, this time included."""
        self._turn(now_us)
        places = self._places(name)
        for place in places:
            self.now[place] += 1
        return min(self.now[place] + self.before[place] for place in places)
