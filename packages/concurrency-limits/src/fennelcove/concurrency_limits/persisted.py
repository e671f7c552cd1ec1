"""The stored record of a server's limit, from which a restarted front initializes its limit."""

from __future__ import annotations

import msgspec
from fennelcove.concurrency_limits.limit_decay import decayed_limit

KEY_PREFIX = b"slots/"  # the server's address follows
START_TOLERANCE_US = 5_000_000  # fronts derive a server's start time from responses of varying delay
MAX_AGE_US = 7 * 86_400_000_000


class StoredLimit(msgspec.Struct, frozen=True, array_like=True):
    """A stored limit of a server; times are wall clock times.

    Attributes:
        kind: kind of the server's hardware.
        born_us: start time of the server, 0 if it started long ago.
        whole: limit that was in force.
        written_us: when the record was written.
    """

    kind: str
    born_us: int
    whole: int
    written_us: int


_DECODER: msgspec.msgpack.Decoder[StoredLimit] = msgspec.msgpack.Decoder(StoredLimit)


def restore_limit(raw: bytes, kind: str, started_us: int, initial_limit: int, wall_us: int) -> int | None:
    """Read the limit from a stored record.

    Args:
        raw: encoded record.
        kind: hardware kind of the server that has the address now.
        started_us: start time of that server by the wall clock, 0 if it started long ago.
        initial_limit: the limit decays towards this with the record's age.
        wall_us: current wall clock time.

    Returns:
        The limit; None if the record is malformed, too old, or of another server.
    """
    try:
        stored = _DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None
    age_us = wall_us - stored.written_us
    is_same_server = stored.kind == kind and is_same_start(stored.born_us, started_us)
    if not is_same_server or stored.whole < 1 or not 0 <= age_us <= MAX_AGE_US:
        return None
    return min(stored.whole, decayed_limit(stored.whole, initial_limit, age_us))


def is_same_start(first_us: int, second_us: int) -> bool:
    """Whether two start times may be of the same server; 0 means long ago and matches only 0."""
    if not first_us or not second_us:
        return first_us == second_us
    return abs(first_us - second_us) <= START_TOLERANCE_US
