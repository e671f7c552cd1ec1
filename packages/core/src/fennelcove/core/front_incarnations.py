"""What the other fronts know of incarnations; a front's number grows each time it starts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FrontIncarnations:
    """Incarnations of fronts.

    Attributes:
        own: This front's incarnation; 0 without peers.
        latest_before: The latest incarnation under this front's index that was known before it; 0 for none.
        by_front: The known incarnation of each front by index; 0 where nothing was heard of it.
    """

    own: int = 0
    latest_before: int = 0
    by_front: tuple[int, ...] = ()
