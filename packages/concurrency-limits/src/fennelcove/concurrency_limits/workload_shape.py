"""The shape of an attempt: its service class, its band of bitrates, and whether the server is ready for it.

Service times are compared within a shape only: a server that gets more attempts for titles that it must fetch
first is not a slower server. There are a few dozen shapes at most, so that a server's rows stay few; service
classes from the eighth on share one.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_SERVICE_CLASSES = 8
BAND_COUNT = 3  # low, middle and high rungs of the bitrate ladder
SHAPES_PER_BAND = 2  # not ready, ready
SHAPES_PER_CLASS = BAND_COUNT * SHAPES_PER_BAND
MAX_SHAPES = MAX_SERVICE_CLASSES * SHAPES_PER_CLASS
BAND_NAMES = ("low", "middle", "high")


def shape_of(service_class: int, rung: int, rung_count: int, is_ready: bool) -> int:
    """The number of a shape.

    Args:
        service_class: its index, in the order of the settings.
        rung: of the attempt, from 0.
        rung_count: the rungs of the bitrate ladder.
        is_ready: the server has the title at hand, and is not warming up.
    """
    band = min(BAND_COUNT - 1, max(0, rung) * BAND_COUNT // max(1, rung_count))
    bounded_class = min(service_class, MAX_SERVICE_CLASSES - 1)
    return (bounded_class * BAND_COUNT + band) * SHAPES_PER_BAND + is_ready


def shape_name(shape: int, service_classes: tuple[str, ...]) -> str:
    """The name of a shape, for the status page."""
    service_class, rest = divmod(shape, SHAPES_PER_CLASS)
    band, is_ready = divmod(rest, SHAPES_PER_BAND)
    if service_class < len(service_classes):
        class_name = service_classes[service_class]
    else:
        class_name = f"room type {service_class}"
    return f"{class_name} {BAND_NAMES[band]} {'ready' if is_ready else 'cold'}"


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
