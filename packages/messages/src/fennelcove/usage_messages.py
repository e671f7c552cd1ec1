"""What fronts say to each other about slot-time, as bytes: a kind, then rows of one size. Nothing here
decides."""

from __future__ import annotations

import struct

from fennelcove.fair_queueing.usage_gossip import UsageReport, Row

GIVEN = 48
MOST_BYTES = 256
HEAD = struct.Struct(">BQI")  # kind, life, number
ROW = struct.Struct(">IIQ")  # box, tenant, microseconds since the life began
MOST_ROWS = (MOST_BYTES - HEAD.size) // ROW.size


def encode(said: UsageReport) -> list[bytes]:
    """The messages, of 256 bytes at most each, that say so much."""
    rows = [ROW.pack(row.server, row.tenant, row.given_us) for row in said.rows]
    head = HEAD.pack(GIVEN, said.life, said.number)
    return [head + b"".join(rows[i : i + MOST_ROWS]) for i in range(0, len(rows), MOST_ROWS)]


def decode(raw: bytes) -> UsageReport | None:
    """What a message says; None where it is malformed, as another build's may be, or altered."""
    sized = HEAD.size < len(raw) <= MOST_BYTES and not (len(raw) - HEAD.size) % ROW.size
    if not sized or raw[0] != GIVEN:
        return None
    _, life, number = HEAD.unpack_from(raw)
    return UsageReport(life, number, tuple(Row(*row) for row in ROW.iter_unpack(raw[HEAD.size :])))
