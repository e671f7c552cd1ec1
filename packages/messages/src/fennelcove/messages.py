"""What fronts say to each other, as bytes: a kind, then rows of one size. Nothing here decides."""

from __future__ import annotations

import math
import struct

from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource
from fennelcove.decisions.fleet.fleet_load import ClassLoad, LoadSummary
from fennelcove.decisions.fleet.membership import Heartbeat
from fennelcove.decisions.fleet.health_checks import HealthVerdict, HealthReport
from fennelcove.interface import CellLoad, PeerMessage

MOST_BYTES = 256
MOST_CELLS = 1 << 16  # a cell is two bytes
# First byte of a message: cells asked about, loads known, joins sent, a sign of life, what is asked.
ASKS, LOADS, JOINS, BEAT, SUMMARY, ASK, LOAN = 1, 2, 3, 4, 5, 6, 7
CELL = struct.Struct(">H")
LOAD = struct.Struct(">HBBB")  # cell, link and uplink in hundredths, age in tenths of a second
JOIN = struct.Struct(">HH")  # cell, kB a second
SIZES = {ASKS: CELL, LOADS: LOAD, JOINS: JOIN}
UNKNOWN = 255
# Kind, life, number, the taker's life and its number repeated, whether the sender leaves; then who is gone.
SIGN = struct.Struct(">BQIQIB")
COUNTED = struct.Struct(">BQI")  # kind, life, number; then a row for each room type
ROW = struct.Struct(">HHH")
SPARED = struct.Struct(">BQIBd")  # kind, the asker's life, number of the ask, thing, things a second
WORD = 60
WORDED = struct.Struct(">BIBQ")  # kind, mark of the box, what is told of it, number
TOLD = frozenset(HealthVerdict)
THINGS = frozenset(Resource)
MOST_ROWS = (MOST_BYTES - COUNTED.size) // ROW.size
MOST_GONE = (MOST_BYTES - SIGN.size) // CELL.size


def encode(said: PeerMessage) -> list[bytes]:
    """The messages, of 256 bytes at most each, that say so much."""
    parts: list[bytes] = []
    for kind, rows in (
        (ASKS, [CELL.pack(cell) for cell in said.asks]),
        (LOADS, [LOAD.pack(*row(load)) for load in said.loads]),
        (JOINS, [JOIN.pack(cell, min(kb, 65_535)) for cell, kb in said.attempts]),
    ):
        most = (MOST_BYTES - 1) // SIZES[kind].size
        parts += [bytes([kind]) + b"".join(rows[i : i + most]) for i in range(0, len(rows), most)]
    return parts


def row(load: CellLoad) -> tuple[int, int, int, int]:
    """A load as whole numbers of a byte or two."""
    age = min(255, load.age_us // 100_000)
    return load.cell, hundredths(load.link), hundredths(load.uplink), age


def hundredths(level: float | None) -> int:
    """A level as a byte, at most 2.54."""
    return UNKNOWN if level is None else max(0, round(min(UNKNOWN - 1, level * 100)))


def decode(sender: int, raw: bytes) -> PeerMessage | None:
    """What a message says; None where it is malformed, as another build's may be, or altered."""
    if not 1 < len(raw) <= MOST_BYTES:
        return None
    kind, body = raw[0], raw[1:]
    if kind not in SIZES or len(body) % SIZES[kind].size:
        return None
    rows = list(SIZES[kind].iter_unpack(body))
    if kind == ASKS:
        return PeerMessage(sender, asks=tuple(cell for (cell,) in rows))
    if kind == LOADS:
        return PeerMessage(sender, loads=tuple(load(*row) for row in rows))
    return PeerMessage(sender, attempts=tuple(rows))


def load(cell: int, link: int, uplink: int, age: int) -> CellLoad:
    """One row read back."""
    levels = [None if level == UNKNOWN else level / 100 for level in (link, uplink)]
    return CellLoad(cell, levels[0], levels[1], age * 100_000)


def pack_beat(beat: Heartbeat) -> bytes:
    """A sign of life as one message."""
    gone = b"".join(CELL.pack(index) for index in beat.gone[:MOST_GONE])
    parts = (BEAT, beat.life, beat.number, beat.heard_life, beat.heard_number, beat.leaving)
    return SIGN.pack(*parts) + gone


def unpack_beat(raw: bytes) -> Heartbeat | None:
    """A sign of life; None where it is malformed."""
    if not SIGN.size <= len(raw) <= MOST_BYTES or (len(raw) - SIGN.size) % CELL.size or raw[0] != BEAT:
        return None
    _, life, number, heard_life, heard_number, leaving = SIGN.unpack_from(raw)
    if leaving > 1:
        return None
    gone = tuple(index for (index,) in CELL.iter_unpack(raw[SIGN.size :]))
    return Heartbeat(life, number, heard_life, heard_number, bool(leaving), gone)


def pack_summary(said: LoadSummary) -> bytes:
    """What a front was asked, as one message."""
    rows = b"".join(ROW.pack(*row) for row in said.rows[:MOST_ROWS])
    return COUNTED.pack(SUMMARY, said.life, said.number) + rows


def unpack_summary(raw: bytes) -> LoadSummary | None:
    """What another front was asked; None where it is malformed."""
    if (
        not COUNTED.size <= len(raw) <= MOST_BYTES
        or (len(raw) - COUNTED.size) % ROW.size
        or raw[0] != SUMMARY
    ):
        return None
    _, life, number = COUNTED.unpack_from(raw)
    rows = tuple(ClassLoad(*counts) for counts in ROW.iter_unpack(raw[COUNTED.size :]))
    return LoadSummary(life, number, rows)


def pack_budget(said: QuotaRequest | QuotaTransfer) -> bytes:
    """An ask for more of a thing, or its answer."""
    kind = ASK if isinstance(said, QuotaRequest) else LOAN
    return SPARED.pack(kind, said.life, said.number, said.thing, said.rate)


def unpack_budget(raw: bytes) -> QuotaRequest | QuotaTransfer | None:
    """An ask or a loan; None where it is malformed."""
    if len(raw) != SPARED.size or raw[0] not in (ASK, LOAN):
        return None
    kind, life, number, thing, rate = SPARED.unpack(raw)
    if thing not in THINGS or not math.isfinite(rate) or rate <= 0:
        return None
    return (QuotaRequest if kind == ASK else QuotaTransfer)(life, number, Resource(thing), rate)


def pack_word(said: HealthReport) -> bytes:
    """A watcher's word on a box."""
    return WORDED.pack(WORD, said.server, said.tells, said.number)


def unpack_word(raw: bytes) -> HealthReport | None:
    """A watcher's word; None where it is malformed."""
    if len(raw) != WORDED.size or raw[0] != WORD:
        return None
    _, server, tells, number = WORDED.unpack(raw)
    return HealthReport(server, HealthVerdict(tells), number) if tells in TOLD else None
