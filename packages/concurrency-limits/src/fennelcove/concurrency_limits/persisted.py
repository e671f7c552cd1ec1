"""The stored record of a server's limit, from which a restarted front begins."""

from __future__ import annotations

import msgspec
from fennelcove.concurrency_limits.limit_decay import decayed_limit

KEY_PREFIX = b"slots/"  # the prefix of the records' keys; the server's address follows
START_TOLERANCE_US = 5_000_000  # two fronts learn a server's start from responses that took a while
MAX_AGE_US = 7 * 86_400_000_000


class StoredLimit(msgspec.Struct, frozen=True, array_like=True):
    """A server's limit as it was stored; times by the wall clock.

    Attributes:
        kind: of the server's hardware.
        born_us: when the server started, 0 where that was long ago.
        whole: the limit in force.
        written_us: when the record was written.
    """

    kind: str
    born_us: int
    whole: int
    written_us: int


_DECODER: msgspec.msgpack.Decoder[StoredLimit] = msgspec.msgpack.Decoder(StoredLimit)


def restore_limit(raw: bytes, kind: str, started_us: int, initial_limit: int, wall_us: int) -> int | None:
    """The limit to begin with, out of a stored record.

    Args:
        raw: the record.
        kind: of the server that has the address now.
        started_us: when that server started by the wall clock, 0 where that was long ago.
        initial_limit: towards which the limit decays with the record's age.
        wall_us: the time by the wall clock.

    Returns:
        The limit; None where the record is malformed, too old, or another server's.
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
    """Whether two starts of servers may be one; 0 is long ago, and equals only itself."""
    if not first_us or not second_us:
        return first_us == second_us
    return abs(first_us - second_us) <= START_TOLERANCE_US
