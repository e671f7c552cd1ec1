"""Byte codec of the messages that fronts exchange about the concurrency limits of servers.

Each row has a kind and a length, so that a front can skip kinds of rows that a later version adds. A server
is identified by its number and its age; an age needs no synchronized clocks. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

from fennelcove.concurrency_limits.latency_histogram import LAST_CLASS, ClassCounts, HistogramRow
from fennelcove.concurrency_limits.quorum import QuorumVote
from fennelcove.concurrency_limits.replica import LimitReport
from fennelcove.concurrency_limits.server_limits import MAX_REPORTED_AGE_US
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource

MAX_BYTES = 256
# The first byte of a message: rows of counts, votes on limits, request and transfer of slots, start of an
# incarnation, notice that the slots of earlier incarnations are no longer in use.
COUNTS_REPORT, LIMIT_VOTES, SLOT_REQUEST, SLOT_TRANSFER, INCARNATION_BEGUN, SLOTS_CLEARED = range(64, 70)
KINDS = frozenset((COUNTS_REPORT, LIMIT_VOTES, SLOT_REQUEST, SLOT_TRANSFER, INCARNATION_BEGUN, SLOTS_CLEARED))
HEAD = struct.Struct(">BQI")  # kind, incarnation, sequence; then rows
ROW_HEAD = struct.Struct(">BB")  # kind, length of the body
# Server, its age in s, shape, requested, denied, unanswered; then the classes of service times,
# END_OF_CLASSES, and the classes of waiting times.
COUNTS = struct.Struct(">IHBHHH")
CLASS_COUNT = struct.Struct(">BB")  # histogram class, count
VOTE = struct.Struct(">IHH")  # server, its age in s, total limit; then the limits by shape
SHAPE_LIMIT = struct.Struct(">BH")  # shape, slots
SLOTS = struct.Struct(">BQIIH")  # kind, the requester's incarnation, request number, server, slots
INCARNATION = struct.Struct(">BQ")  # kind, incarnation
SERVER_ROW = 1  # the only known kind of row
END_OF_CLASSES = 255
US_PER_S = 1_000_000
MAX_AGE_S = MAX_REPORTED_AGE_US // US_PER_S
MAX_SERVICE_CLASSES, MAX_WAITING_CLASSES = 40, 24  # the most frequent classes, per row
MAX_COUNT = 255
MAX_SLOTS = 65_535


def encode(incarnation: int, sequence: int, reports: Sequence[LimitReport], now_us: int) -> list[bytes]:
    """Encode the reports of this front into messages of at most 256 bytes each."""
    counts = [_encode_counts(report, row, now_us) for report in reports for row in report.rows]
    votes = [_encode_vote(report, report.vote, now_us) for report in reports if report.vote is not None]
    messages = _fill_messages(HEAD.pack(COUNTS_REPORT, incarnation, sequence), counts)
    return messages + _fill_messages(HEAD.pack(LIMIT_VOTES, incarnation, sequence), votes)


def _fill_messages(head: bytes, rows: Sequence[bytes]) -> list[bytes]:
    messages: list[bytes] = []
    message = head
    for row in rows:
        if len(message) + len(row) > MAX_BYTES:
            messages.append(message)
            message = head
        message += row
    if len(message) > len(head):
        messages.append(message)
    return messages


def _age_s(started_us: int, now_us: int) -> int:
    """Return a server's age in seconds; `MAX_AGE_S` if it is older or its age is unknown."""
    return min(MAX_AGE_S, max(0, now_us - started_us) // US_PER_S) if started_us else MAX_AGE_S


def _started_us(age_s: int, now_us: int) -> int:
    return 0 if age_s >= MAX_AGE_S else max(1, now_us - age_s * US_PER_S)


def _encode_row(body: bytes) -> bytes:
    return ROW_HEAD.pack(SERVER_ROW, len(body)) + body


def _encode_classes(classes: ClassCounts, max_classes: int) -> bytes:
    most_frequent = sorted(classes, key=lambda pair: (-pair[1], pair[0]))[:max_classes]
    return b"".join(
        CLASS_COUNT.pack(number, min(MAX_COUNT, count)) for number, count in sorted(most_frequent)
    )


def _encode_counts(report: LimitReport, row: HistogramRow, now_us: int) -> bytes:
    age_s = _age_s(report.started_us, now_us)
    head = COUNTS.pack(report.server, age_s, row.shape, row.requested, row.denied, row.unanswered)
    service_times = _encode_classes(row.service_times, MAX_SERVICE_CLASSES)
    waiting_times = _encode_classes(row.waiting_times, MAX_WAITING_CLASSES)
    return _encode_row(head + service_times + bytes([END_OF_CLASSES]) + waiting_times)


def _encode_vote(report: LimitReport, vote: QuorumVote, now_us: int) -> bytes:
    head = VOTE.pack(report.server, _age_s(report.started_us, now_us), min(MAX_SLOTS, vote.limit))
    limits = b"".join(SHAPE_LIMIT.pack(shape, min(MAX_SLOTS, slots)) for shape, slots in vote.shape_limits)
    return _encode_row(head + limits)


def decode(raw: bytes, now_us: int) -> tuple[int, int, list[LimitReport]] | None:
    """Decode a message into incarnation, sequence and reports; None if it is malformed.

    Rows of an unknown kind are skipped.
    """
    if not HEAD.size < len(raw) <= MAX_BYTES or raw[0] not in (COUNTS_REPORT, LIMIT_VOTES):
        return None
    kind, incarnation, sequence = HEAD.unpack_from(raw)
    decode_body = _decode_counts if kind == COUNTS_REPORT else _decode_vote
    reports: list[LimitReport] = []
    for body in _row_bodies(raw[HEAD.size :]):
        if body is None:
            return None
        if not body:
            continue
        report = decode_body(body, now_us)
        if report is None:
            return None
        reports.append(report)
    return incarnation, sequence, reports


def _row_bodies(raw: bytes) -> Iterator[bytes | None]:
    """Yield the body of each row: empty for a row of an unknown kind, None for a truncated row."""
    while raw:
        if len(raw) < ROW_HEAD.size or len(raw) < ROW_HEAD.size + raw[1]:
            yield None
            return
        kind, size = ROW_HEAD.unpack_from(raw)
        end = ROW_HEAD.size + size
        yield raw[ROW_HEAD.size : end] if kind == SERVER_ROW else b""
        raw = raw[end:]


def _decode_counts(body: bytes, now_us: int) -> LimitReport | None:
    if len(body) <= COUNTS.size:
        return None
    server, age_s, shape, requested, denied, unanswered = COUNTS.unpack_from(body)
    pairs = body[COUNTS.size :]
    # No class number equals END_OF_CLASSES, so the first match at an even position is the separator.
    ends = [
        position for position in range(0, len(pairs), CLASS_COUNT.size) if pairs[position] == END_OF_CLASSES
    ]
    if not ends or (len(pairs) - ends[0]) % CLASS_COUNT.size == 0:
        return None
    service_times = _decode_classes(pairs[: ends[0]])
    waiting_times = _decode_classes(pairs[ends[0] + 1 :])
    if service_times is None or waiting_times is None:
        return None
    row = HistogramRow(shape, requested, denied, unanswered, service_times, waiting_times)
    return LimitReport((), server, _started_us(age_s, now_us), rows=(row,))


def _decode_classes(raw: bytes) -> ClassCounts | None:
    classes = tuple(CLASS_COUNT.iter_unpack(raw))
    return classes if all(number <= LAST_CLASS for number, _ in classes) else None


def _decode_vote(body: bytes, now_us: int) -> LimitReport | None:
    if len(body) < VOTE.size or (len(body) - VOTE.size) % SHAPE_LIMIT.size:
        return None
    server, age_s, total_limit = VOTE.unpack_from(body)
    if not total_limit:
        return None
    limits = tuple((shape, slots) for shape, slots in SHAPE_LIMIT.iter_unpack(body[VOTE.size :]))
    return LimitReport((), server, _started_us(age_s, now_us), vote=QuorumVote(total_limit, limits))


def encode_slot_message(server: int, message: QuotaRequest | QuotaTransfer) -> bytes:
    """Encode a request for slots of a server, or their transfer; a transfer of 0 slots returns them."""
    kind = SLOT_REQUEST if isinstance(message, QuotaRequest) else SLOT_TRANSFER
    slots = min(MAX_SLOTS, int(message.rate))
    return SLOTS.pack(kind, message.incarnation, message.sequence, server, slots)


def decode_slot_message(raw: bytes) -> tuple[int, QuotaRequest | QuotaTransfer] | None:
    """Decode a server and a request for its slots, or their transfer; None if it is malformed."""
    if len(raw) != SLOTS.size or raw[0] not in (SLOT_REQUEST, SLOT_TRANSFER):
        return None
    kind, incarnation, number, server, slots = SLOTS.unpack(raw)
    if kind == SLOT_TRANSFER:
        return server, QuotaTransfer(incarnation, number, Resource.SLOT, float(slots))
    return (server, QuotaRequest(incarnation, number, Resource.SLOT, float(slots))) if slots else None


def encode_incarnation(kind: int, incarnation: int) -> bytes:
    """Encode a notice about an incarnation; `kind` is `INCARNATION_BEGUN` or `SLOTS_CLEARED`."""
    return INCARNATION.pack(kind, incarnation)


def decode_incarnation(raw: bytes) -> int | None:
    """Decode the incarnation of such a notice; None if it is malformed."""
    if len(raw) != INCARNATION.size or raw[0] not in (INCARNATION_BEGUN, SLOTS_CLEARED):
        return None
    _, incarnation = INCARNATION.unpack(raw)
    return int(incarnation)
