"""What a join is like: room type, band of rungs, and whether the box has the title at hand and is warm.

Hold times are compared within a shape alone: a box that gets more cold titles is not a slower box. There are
a few dozen at most, so that a summary's rows stay few; room types past the eighth share the last name.
"""

from __future__ import annotations

MOST_ROOMS = 8
BANDS = 3  # low, middle and high rungs
MOST_SHAPES = MOST_ROOMS * BANDS * 2
BAND_NAMES = ("low", "middle", "high")


def shape_of(service_class: int, rung: int, rungs: int, ready: bool) -> int:
    """The shape's number.

    Args:
        room: of the room type, in the settings' order.
        rung: of the join, of so many `rungs` of the ladder.
        ready: the title is at hand at the box, and the box is warm.
    """
    band = min(BANDS - 1, max(0, rung) * BANDS // max(1, rungs))
    return (min(service_class, MOST_ROOMS - 1) * BANDS + band) * 2 + ready


def name_of(shape: int, service_classes: tuple[str, ...]) -> str:
    """A shape for an operator to read."""
    service_class, rest = divmod(shape, BANDS * 2)
    name = (
        service_classes[service_class]
        if service_class < len(service_classes)
        else f"room type {service_class}"
    )
    return f"{name} {BAND_NAMES[rest // 2]} {'ready' if rest % 2 else 'cold'}"
