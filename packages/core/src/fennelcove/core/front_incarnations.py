"""The known incarnations of fronts; a front's incarnation number increases with each start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FrontIncarnations:
    """The incarnations of all fronts.

    Attributes:
        own: This front's incarnation; 0 without peers.
        latest_before: The latest earlier incarnation of this front that peers reported; 0 if there is none.
        by_front: The known incarnation of each front by index; 0 if the front has not been heard from.
    """

    own: int = 0
    latest_before: int = 0
    by_front: tuple[int, ...] = ()
