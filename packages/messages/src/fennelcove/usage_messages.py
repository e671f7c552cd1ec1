"""Byte codec of the service-time reports that fronts exchange: a header, then rows of fixed size."""

from __future__ import annotations

import struct

from fennelcove.fair_queueing.usage_gossip import UsageReport, UsageRow

USAGE_REPORT = 48
MAX_BYTES = 256
HEAD = struct.Struct(">BQI")  # kind, incarnation, sequence
ROW = struct.Struct(">IIQ")  # server number, tenant, service time in us since the incarnation began
MAX_ROWS = (MAX_BYTES - HEAD.size) // ROW.size


def encode(report: UsageReport) -> list[bytes]:
    """Encode a report into messages of at most 256 bytes each."""
    rows = [ROW.pack(row.server, row.tenant, row.used_us) for row in report.rows]
    head = HEAD.pack(USAGE_REPORT, report.incarnation, report.sequence)
    starts = range(0, len(rows), MAX_ROWS)
    return [head + b"".join(rows[start : start + MAX_ROWS]) for start in starts]


def decode(raw: bytes) -> UsageReport | None:
    """Decode one message; None if it is malformed or its kind is unknown."""
    has_complete_rows = HEAD.size < len(raw) <= MAX_BYTES and not (len(raw) - HEAD.size) % ROW.size
    if not has_complete_rows or raw[0] != USAGE_REPORT:
        return None
    _, incarnation, sequence = HEAD.unpack_from(raw)
    rows = tuple(UsageRow(*row) for row in ROW.iter_unpack(raw[HEAD.size :]))
    return UsageReport(incarnation, sequence, rows)
