"""What a join is like: room type, band of rungs, and whether the box has the title at hand and is warm.

Hold times are compared within a shape alone: a box that gets more cold titles is not a slower box. There are
a few dozen at most, so that a summary's rows stay few; room types past the eighth share the last name.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_SERVICE_CLASSES = 8
BANDS = 3  # low, middle and high rungs
MAX_SHAPES = MAX_SERVICE_CLASSES * BANDS * 2
BAND_NAMES = ("low", "middle", "high")


def shape_of(service_class: int, rung: int, rungs: int, ready: bool) -> int:
    """The shape's number.

    Args:
        room: of the room type, in the settings' order.
        rung: of the join, of so many `rungs` of the ladder.
        ready: the title is at hand at the box, and the box is warm.
    """
    band = min(BANDS - 1, max(0, rung) * BANDS // max(1, rungs))
    return (min(service_class, MAX_SERVICE_CLASSES - 1) * BANDS + band) * 2 + ready


def name_of(shape: int, service_classes: tuple[str, ...]) -> str:
    """A shape for an operator to read."""
    service_class, rest = divmod(shape, BANDS * 2)
    name = (
        service_classes[service_class]
        if service_class < len(service_classes)
        else f"room type {service_class}"
    )
    return f"{name} {BAND_NAMES[rest // 2]} {'ready' if rest % 2 else 'cold'}"


def shape_share(slots: int, shape_limits: Mapping[int, int], shape: int) -> int:
    """How many of `slots` the attempts of one shape may use.

    It is what the other shapes do not require, and at least its share by requirement. So a slow shape never
    uses all slots while fast ones require some.

    Args:
        slots: all that there are.
        shape_limits: the slots that each shape requires.
        shape: one that `shape_limits` does not name requires one.
    """
    required = shape_limits.get(shape, 1)
    total = sum(shape_limits.values())
    if shape not in shape_limits:
        total += required
    residual = slots - (total - required)
    fair_share = slots * required // max(1, total)
    return max(1, min(slots, max(residual, fair_share)))
