"""What outlives the process: a box's number, with its age and whose it was."""

from __future__ import annotations

import msgspec

from fennelcove.concurrency_limits.limit_decay import decayed_limit

KEY = b"slots/"
START_TOLERANCE_US = 5_000_000  # two fronts learn a box's birth from answers that took a while
MAX_AGE_US = 7 * 86_400_000_000


class KeptSlots(msgspec.Struct, frozen=True, array_like=True):
    """A box's number as it stood; times by the wall clock, a birth of 0 for long ago."""

    kind: str
    born_us: int
    whole: int
    written_us: int


_DECODER: msgspec.msgpack.Decoder[KeptSlots] = msgspec.msgpack.Decoder(KeptSlots)


def recall(raw: bytes, kind: str, born_us: int, start: int, wall_us: int) -> int | None:
    """The number to begin with; None where there is none, or it was another box's, or nobody's for long.

    Args:
        kind: of the box that stands at the address now.
        born_us: its birth by the wall clock, 0 for long ago.
    """
    try:
        kept = _DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None
    age_us = wall_us - kept.written_us
    same = kept.kind == kind and is_same_start(kept.born_us, born_us)
    if not same or kept.whole < 1 or not 0 <= age_us <= MAX_AGE_US:
        return None
    return min(kept.whole, decayed_limit(kept.whole, start, age_us))


def is_same_start(one_us: int, other_us: int) -> bool:
    """Whether two births may be one; 0 is long ago, and only that."""
    if not one_us or not other_us:
        return one_us == other_us
    return abs(one_us - other_us) <= START_TOLERANCE_US
