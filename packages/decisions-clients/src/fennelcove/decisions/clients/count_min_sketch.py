"""Counts how often each client has made requests recently, in memory independent of the number of clients.

Two count-min sketches alternate, so that a count covers the last one to two windows. A count is never too
low; it is too high by more than `2 * total / WIDTH` with a probability of 2**-DEPTH at most (Cormode and
Muthukrishnan, 2005). Names are hashed under a key of this process, so that no client can choose names that
collide with those of others.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable

WIDTH = 8192
DEPTH = 4
WINDOW_US = 10_000_000
HASH_BYTES_PER_ROW = 4
COUNTER_TYPE = "L"

Hash = Callable[[bytes], bytes]


class CountMinSketch:
    """A count of names over a sliding window.

    `hash_function` must return at least `HASH_BYTES_PER_ROW * DEPTH` bytes.
    """

    def __init__(self, hash_function: Hash, now_us: int) -> None:
        self.hash_function = hash_function
        self.current = _empty_counters()
        self.previous = _empty_counters()
        self.window_started_us = now_us

    def add(self, name: str, now_us: int) -> int:
        """Count a name once more; return its count in the last one to two windows, including this time."""
        self._rotate(now_us)
        indexes = self._indexes(name)
        for index in indexes:
            self.current[index] += 1
        return min(self.current[index] + self.previous[index] for index in indexes)

    def _rotate(self, now_us: int) -> None:
        windows = (now_us - self.window_started_us) // WINDOW_US
        if windows <= 0:
            return
        self.previous = self.current if windows == 1 else _empty_counters()
        self.current = _empty_counters()
        self.window_started_us += windows * WINDOW_US

    def _indexes(self, name: str) -> list[int]:
        digest = self.hash_function(name.encode("utf-8", "replace"))
        return [row * WIDTH + _column(digest, row) for row in range(DEPTH)]


def _column(digest: bytes, row: int) -> int:
    start = row * HASH_BYTES_PER_ROW
    return int.from_bytes(digest[start : start + HASH_BYTES_PER_ROW], "little") % WIDTH


def _empty_counters() -> array[int]:
    return array(COUNTER_TYPE, bytes(array(COUNTER_TYPE).itemsize * WIDTH * DEPTH))
