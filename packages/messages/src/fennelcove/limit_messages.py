"""What fronts say to each other about slots at boxes, as bytes. Nothing here decides.

Rows have a kind and a length, so that a front passes over what a later version adds. A box is told by a
number and by its age: no two machines' clocks are compared.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource
from fennelcove.concurrency_limits.quorum import QuorumVote
from fennelcove.concurrency_limits.latency_histogram import LAST, Classes, Row
from fennelcove.concurrency_limits.replica import OLD_US, ReplicaMessages

MOST_BYTES = 256
ROWS, WORDS, ASK, LOAN, BEGUN, CLEAR = range(64, 70)
KINDS = frozenset((ROWS, WORDS, ASK, LOAN, BEGUN, CLEAR))
HEAD = struct.Struct(">BQI")  # kind, life, number; then rows
ROW_HEAD = struct.Struct(">BB")  # kind, length of the rest
COUNTS = struct.Struct(">IHBHHH")  # box, its age in s, shape, asked, denied, lost; then holds, END, waits
PAIR = struct.Struct(">BB")  # class, count
WORD = struct.Struct(">IHH")  # box, its age in s, whole; then shapes
PART = struct.Struct(">BH")  # shape, slots that it needs
TRADE = struct.Struct(">BQIIH")  # kind, life of the asker, number of its ask, box, slots; 0 gives back
LIFE = struct.Struct(">BQ")
OF_SERVER = 1  # the kind of a row that is known here
END = 255
OLD_S = OLD_US // 1_000_000
MOST_HOLDS, MOST_WAITS = 40, 24  # classes in a row: the most numerous
MOST_WHOLE = 65_535


def encode(life: int, number: int, told: Sequence[ReplicaMessages], now_us: int) -> list[bytes]:
    """The messages that say so much, each of 256 bytes at most."""
    found: list[bytes] = []
    for kind, rows in (
        (ROWS, [_row(said, row, now_us) for said in told for row in said.rows]),
        (WORDS, [_word(said, said.word, now_us) for said in told if said.word is not None]),
    ):
        head = HEAD.pack(kind, life, number)
        part = head
        for row in rows:
            if len(part) + len(row) > MOST_BYTES:
                found.append(part)
                part = head
            part += row
        if len(part) > len(head):
            found.append(part)
    return found


def _age(born_us: int, now_us: int) -> int:
    """In whole seconds; one that is old or unknown is `OLD_S`."""
    return min(OLD_S, max(0, now_us - born_us) // 1_000_000) if born_us else OLD_S


def _born(age_s: int, now_us: int) -> int:
    return 0 if age_s >= OLD_S else max(1, now_us - age_s * 1_000_000)


def _framed(body: bytes) -> bytes:
    return ROW_HEAD.pack(OF_SERVER, len(body)) + body


def _most(classes: Classes, most: int) -> bytes:
    kept = sorted(classes, key=lambda pair: (-pair[1], pair[0]))[:most]
    return b"".join(PAIR.pack(number, min(255, count)) for number, count in sorted(kept))


def _row(said: ReplicaMessages, row: Row, now_us: int) -> bytes:
    age_s = _age(said.born_us, now_us)
    head = COUNTS.pack(said.server, age_s, row.shape, row.asked, row.denied, row.lost)
    return _framed(head + _most(row.holds, MOST_HOLDS) + bytes([END]) + _most(row.waits, MOST_WAITS))


def _word(said: ReplicaMessages, word: QuorumVote, now_us: int) -> bytes:
    head = WORD.pack(said.server, _age(said.born_us, now_us), min(MOST_WHOLE, word.whole))
    parts = b"".join(PART.pack(shape, min(MOST_WHOLE, slots)) for shape, slots in word.parts)
    return _framed(head + parts)


def decode(raw: bytes, now_us: int) -> tuple[int, int, list[ReplicaMessages]] | None:
    """Life, number and what is told; None where it is malformed. Rows of an unknown kind are passed over."""
    if not HEAD.size < len(raw) <= MOST_BYTES or raw[0] not in (ROWS, WORDS):
        return None
    kind, life, number = HEAD.unpack_from(raw)
    found: list[ReplicaMessages] = []
    for body in _bodies(raw[HEAD.size :]):
        if not body:
            if body is None:
                return None
            continue
        told = _read_row(body, now_us) if kind == ROWS else _read_word(body, now_us)
        if told is None:
            return None
        found.append(told)
    return life, number, found


def _bodies(raw: bytes) -> Iterator[bytes | None]:
    """The rows; empty for one of an unknown kind, None for one that is cut."""
    while raw:
        if len(raw) < ROW_HEAD.size or len(raw) < ROW_HEAD.size + raw[1]:
            yield None
            return
        kind, size = ROW_HEAD.unpack_from(raw)
        yield raw[ROW_HEAD.size : ROW_HEAD.size + size] if kind == OF_SERVER and size else b""
        raw = raw[ROW_HEAD.size + size :]


def _read_row(body: bytes, now_us: int) -> ReplicaMessages | None:
    if len(body) <= COUNTS.size:
        return None
    server, age_s, shape, asked, denied, lost = COUNTS.unpack_from(body)
    pairs = body[COUNTS.size :]
    # A class is never END, so that it stands at an even place once.
    ends = [at for at in range(0, len(pairs), 2) if pairs[at] == END]
    if not ends or (len(pairs) - ends[0]) % 2 == 0:
        return None
    holds, waits = _pairs(pairs[: ends[0]]), _pairs(pairs[ends[0] + 1 :])
    if holds is None or waits is None:
        return None
    return ReplicaMessages(
        (), server, _born(age_s, now_us), rows=(Row(shape, asked, denied, lost, holds, waits),)
    )


def _pairs(raw: bytes) -> Classes | None:
    found = tuple(PAIR.iter_unpack(raw))
    return found if all(number <= LAST for number, _ in found) else None


def _read_word(body: bytes, now_us: int) -> ReplicaMessages | None:
    if len(body) < WORD.size or (len(body) - WORD.size) % PART.size:
        return None
    server, age_s, whole = WORD.unpack_from(body)
    parts = tuple((shape, slots) for shape, slots in PART.iter_unpack(body[WORD.size :]))
    return ReplicaMessages((), server, _born(age_s, now_us), word=QuorumVote(whole, parts)) if whole else None


def pack_trade(server: int, said: QuotaRequest | QuotaTransfer) -> bytes:
    """An ask for slots of a box, its answer, or what is given back."""
    kind = ASK if isinstance(said, QuotaRequest) else LOAN
    return TRADE.pack(kind, said.life, said.number, server, min(MOST_WHOLE, int(said.rate)))


def unpack_trade(raw: bytes) -> tuple[int, QuotaRequest | QuotaTransfer] | None:
    """The box and what is said; None where it is malformed."""
    if len(raw) != TRADE.size or raw[0] not in (ASK, LOAN):
        return None
    kind, life, number, server, slots = TRADE.unpack(raw)
    if kind == ASK:
        return (server, QuotaRequest(life, number, Resource.SLOT, float(slots))) if slots else None
    return server, QuotaTransfer(life, number, Resource.SLOT, float(slots))


def pack_life(kind: int, life: int) -> bytes:
    """A life begins (`BEGUN`), or nothing of its last ones is used any more (`CLEAR`)."""
    return LIFE.pack(kind, life)


def unpack_life(raw: bytes) -> int | None:
    """The life; None where it is malformed."""
    return LIFE.unpack(raw)[1] if len(raw) == LIFE.size and raw[0] in (BEGUN, CLEAR) else None
