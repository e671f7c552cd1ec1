"""Byte codec of the messages that fronts exchange about servers and membership: a kind byte, then rows.

Messages about concurrency limits, service time and rollouts have their own codec modules. All numbers are
big-endian.
"""

from __future__ import annotations

import math
import struct

from fennelcove.decisions.fleet.fleet_load import ClassLoad, LoadSummary
from fennelcove.decisions.fleet.health_checks import HealthReport, HealthVerdict
from fennelcove.decisions.fleet.membership import Heartbeat
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource
from fennelcove.interface import CellLoad, PeerMessage

MAX_BYTES = 256
MAX_CELLS = 1 << 16  # a cell number has two bytes
KIND_BYTES = 1
# The first byte of a message: cells whose load is requested, known loads, rates of the attempts sent,
# membership heartbeat, summary of a front's load, quota request, quota transfer; and below, health report.
LOAD_REQUEST, LOAD_REPORT, ATTEMPTS, HEARTBEAT, LOAD_SUMMARY, QUOTA_REQUEST, QUOTA_TRANSFER = (
    1,
    2,
    3,
    4,
    5,
    6,
    7,
)
HEALTH_REPORT_KIND = 60
KINDS = (
    LOAD_REQUEST,
    LOAD_REPORT,
    ATTEMPTS,
    HEARTBEAT,
    LOAD_SUMMARY,
    QUOTA_REQUEST,
    QUOTA_TRANSFER,
    HEALTH_REPORT_KIND,
)

CELL = struct.Struct(">H")
LOAD = struct.Struct(">HBBB")  # cell, levels of link and uplink in hundredths, age in tenths of a second
ATTEMPT = struct.Struct(">HH")  # cell, rate in kB per second
ROWS_BY_KIND = {LOAD_REQUEST: CELL, LOAD_REPORT: LOAD, ATTEMPTS: ATTEMPT}
MAX_RATE_KB = 65_535
AGE_UNIT_US = 100_000
MAX_AGE = 255  # in units of AGE_UNIT_US
LEVEL_UNITS = 100  # units per 1.0 of a level
UNKNOWN_LEVEL = 255
MAX_LEVEL = UNKNOWN_LEVEL - 1

# Kind, incarnation, sequence, acknowledged incarnation and sequence, whether the sender is leaving; then the
# indexes of departed fronts.
HEARTBEAT_HEAD = struct.Struct(">BQIQIB")
SUMMARY_HEAD = struct.Struct(">BQI")  # kind, incarnation, sequence; then a row for each service class
SUMMARY_ROW = struct.Struct(">HHH")  # the counts of `ClassLoad`
QUOTA = struct.Struct(">BQIBd")  # kind, requester's incarnation, request number, resource, units per second
HEALTH_REPORT = struct.Struct(">BIBQ")  # kind, key of the server, verdict, number
HEALTH_VERDICTS = frozenset(HealthVerdict)
RESOURCES = frozenset(Resource)
MAX_SUMMARY_ROWS = (MAX_BYTES - SUMMARY_HEAD.size) // SUMMARY_ROW.size
MAX_DEPARTED = (MAX_BYTES - HEARTBEAT_HEAD.size) // CELL.size


def encode(message: PeerMessage) -> list[bytes]:
    """Encode a message about servers into messages of at most 256 bytes each."""
    rows_by_kind = {
        LOAD_REQUEST: [CELL.pack(cell) for cell in message.polled_cells],
        LOAD_REPORT: [_encode_load(load) for load in message.loads],
        ATTEMPTS: [ATTEMPT.pack(cell, min(rate_kb, MAX_RATE_KB)) for cell, rate_kb in message.sent_rates],
    }
    encoded: list[bytes] = []
    for kind, rows in rows_by_kind.items():
        max_rows = (MAX_BYTES - KIND_BYTES) // ROWS_BY_KIND[kind].size
        for first in range(0, len(rows), max_rows):
            encoded.append(bytes([kind]) + b"".join(rows[first : first + max_rows]))
    return encoded


def _encode_load(load: CellLoad) -> bytes:
    age = min(MAX_AGE, load.age_us // AGE_UNIT_US)
    return LOAD.pack(load.cell, _encode_level(load.link), _encode_level(load.uplink), age)


def _encode_level(level: float | None) -> int:
    """Return a level as a byte, clamped to 2.54."""
    if level is None:
        return UNKNOWN_LEVEL
    return max(0, round(min(MAX_LEVEL, level * LEVEL_UNITS)))


def decode(sender: int, raw: bytes) -> PeerMessage | None:
    """Decode a message about servers; None if it is malformed or its kind is unknown."""
    if not KIND_BYTES < len(raw) <= MAX_BYTES:
        return None
    kind, body = raw[0], raw[KIND_BYTES:]
    if kind not in ROWS_BY_KIND or len(body) % ROWS_BY_KIND[kind].size:
        return None
    rows = list(ROWS_BY_KIND[kind].iter_unpack(body))
    if kind == LOAD_REQUEST:
        return PeerMessage(sender, polled_cells=tuple(cell for (cell,) in rows))
    if kind == LOAD_REPORT:
        return PeerMessage(sender, loads=tuple(_decode_load(*row) for row in rows))
    return PeerMessage(sender, sent_rates=tuple(rows))


def _decode_load(cell: int, link: int, uplink: int, age: int) -> CellLoad:
    return CellLoad(cell, _decode_level(link), _decode_level(uplink), age * AGE_UNIT_US)


def _decode_level(level: int) -> float | None:
    return None if level == UNKNOWN_LEVEL else level / LEVEL_UNITS


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a membership heartbeat."""
    departed_fronts = b"".join(CELL.pack(index) for index in heartbeat.departed[:MAX_DEPARTED])
    head = HEARTBEAT_HEAD.pack(
        HEARTBEAT,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.acknowledged_incarnation,
        heartbeat.acknowledged_sequence,
        heartbeat.is_leaving,
    )
    return head + departed_fronts


def decode_heartbeat(raw: bytes) -> Heartbeat | None:
    """Decode a membership heartbeat; None if it is malformed."""
    if not _has_complete_rows(raw, HEARTBEAT_HEAD, CELL) or raw[0] != HEARTBEAT:
        return None
    _, incarnation, sequence, acked_incarnation, acked_sequence, is_leaving = HEARTBEAT_HEAD.unpack_from(raw)
    if is_leaving > 1:
        return None
    departed_fronts = tuple(index for (index,) in CELL.iter_unpack(raw[HEARTBEAT_HEAD.size :]))
    return Heartbeat(
        incarnation, sequence, acked_incarnation, acked_sequence, bool(is_leaving), departed_fronts
    )


def encode_load_summary(summary: LoadSummary) -> bytes:
    """Encode a summary of a front's load."""
    rows = b"".join(SUMMARY_ROW.pack(*row) for row in summary.class_loads[:MAX_SUMMARY_ROWS])
    return SUMMARY_HEAD.pack(LOAD_SUMMARY, summary.incarnation, summary.sequence) + rows


def decode_load_summary(raw: bytes) -> LoadSummary | None:
    """Decode a summary of another front's load; None if it is malformed."""
    if not _has_complete_rows(raw, SUMMARY_HEAD, SUMMARY_ROW) or raw[0] != LOAD_SUMMARY:
        return None
    _, incarnation, sequence = SUMMARY_HEAD.unpack_from(raw)
    body = raw[SUMMARY_HEAD.size :]
    rows = tuple(ClassLoad(*counts) for counts in SUMMARY_ROW.iter_unpack(body))
    return LoadSummary(incarnation, sequence, rows)


def _has_complete_rows(raw: bytes, head: struct.Struct, row: struct.Struct) -> bool:
    return head.size <= len(raw) <= MAX_BYTES and not (len(raw) - head.size) % row.size


def encode_quota_message(message: QuotaRequest | QuotaTransfer) -> bytes:
    """Encode a quota request or a quota transfer."""
    kind = QUOTA_REQUEST if isinstance(message, QuotaRequest) else QUOTA_TRANSFER
    return QUOTA.pack(kind, message.incarnation, message.sequence, message.resource, message.rate)


def decode_quota_message(raw: bytes) -> QuotaRequest | QuotaTransfer | None:
    """Decode a quota request or a quota transfer; None if it is malformed."""
    if len(raw) != QUOTA.size or raw[0] not in (QUOTA_REQUEST, QUOTA_TRANSFER):
        return None
    kind, incarnation, number, resource, rate = QUOTA.unpack(raw)
    if resource not in RESOURCES or not math.isfinite(rate) or rate <= 0:
        return None
    message_type = QuotaRequest if kind == QUOTA_REQUEST else QuotaTransfer
    return message_type(incarnation, number, Resource(resource), rate)


def encode_health_report(report: HealthReport) -> bytes:
    """Encode a report on a server's health."""
    return HEALTH_REPORT.pack(HEALTH_REPORT_KIND, report.server_hash, report.verdict, report.sequence)


def decode_health_report(raw: bytes) -> HealthReport | None:
    """Decode a report on a server's health; None if it is malformed."""
    if len(raw) != HEALTH_REPORT.size or raw[0] != HEALTH_REPORT_KIND:
        return None
    _, server, verdict, number = HEALTH_REPORT.unpack(raw)
    return HealthReport(server, HealthVerdict(verdict), number) if verdict in HEALTH_VERDICTS else None
