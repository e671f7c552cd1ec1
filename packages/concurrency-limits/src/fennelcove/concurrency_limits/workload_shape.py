"""The workload shape of an attempt: its service class, its bitrate band, and whether the server is ready.

Service times are compared within a shape only: a server that receives more attempts for titles that it must
fetch first has longer service times without being slower. There are a few dozen shapes at most, which bounds
the number of histogram rows for each server; service classes from the eighth on share one index.
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
    """The index of a shape.

    Args:
        service_class: index of the service class, in the order of the settings.
        rung: rung of the attempt, from 0.
        rung_count: number of rungs of the bitrate ladder.
        is_ready: whether the server has the title loaded and is not warming up.
    """
    band = min(BAND_COUNT - 1, max(0, rung) * BAND_COUNT // max(1, rung_count))
    bounded_class = min(service_class, MAX_SERVICE_CLASSES - 1)
    return (bounded_class * BAND_COUNT + band) * SHAPES_PER_BAND + is_ready


def shape_name(shape: int, service_classes: tuple[str, ...]) -> str:
    """The name of a shape, as the status page shows it."""
    service_class, rest = divmod(shape, SHAPES_PER_CLASS)
    band, is_ready = divmod(rest, SHAPES_PER_BAND)
    if service_class < len(service_classes):
        class_name = service_classes[service_class]
    else:
        class_name = f"room type {service_class}"
    return f"{class_name} {BAND_NAMES[band]} {'ready' if is_ready else 'cold'}"


def shape_share(slots: int, shape_limits: Mapping[int, int], shape: int) -> int:
    """How many of `slots` the attempts of one shape may use.

    A shape may use the slots that the other shapes do not require, and at least a share in proportion to what
    it requires. So a slow shape never occupies all slots while fast ones require some.

    Args:
        slots: total number of slots.
        shape_limits: number of slots that each shape requires.
        shape: the shape in question; it requires one slot if it is not in `shape_limits`.
    """
    required = shape_limits.get(shape, 1)
    total = sum(shape_limits.values())
    if shape not in shape_limits:
        total += required
    residual = slots - (total - required)
    fair_share = slots * required // max(1, total)
    return max(1, min(slots, max(residual, fair_share)))
