"""Frames of the journal: one batch each, with its length and checksum, free of I/O.

A frame is read whole or not at all, so a batch is in force whole or not at all. What follows the first frame
that is cut short or altered is not used: what is recovered is always a beginning of what was committed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import blake3
import msgspec
from msgspec import Struct

FORMAT = 1
CHECK_BYTES = 16
HEAD_BYTES = 4 + CHECK_BYTES
MOST_FRAME = 8_000_000

Entry = tuple[bytes, bytes | None]  # a key, and its value; None takes it out


class Batch(Struct, frozen=True, array_like=True):
    """Changes that are made together, numbered from 1 on."""

    format: int
    number: int
    entries: list[tuple[bytes, bytes | None]]


_DECODER: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


class FrameFault(Enum):
    """What is amiss with a frame."""

    CUT_SHORT = "cut short"
    ALTERED = "altered"
    OTHER_FORMAT = "of another format"
    OUT_OF_ORDER = "out of order"


@dataclass(frozen=True, slots=True)
class Damage:
    """Where reading had to stop, in bytes from the file's start, and why."""

    at: int
    fault: FrameFault
    detail: str = ""


def check(raw: bytes) -> bytes:
    """A checksum that no accident passes."""
    return blake3.blake3(raw).digest(CHECK_BYTES)


def frame(batch: Batch) -> bytes:
    """A batch as it is written."""
    body = _ENCODER.encode(batch)
    length = len(body).to_bytes(4, "big")
    return length + check(length + body) + body


def read(raw: bytes, after: int) -> Iterator[Batch | Damage]:
    """The batches of a journal, in order, numbered on from `after`; last, what stopped the reading, if
    anything did."""
    at = 0
    while at < len(raw):
        if len(raw) - at < HEAD_BYTES:
            yield Damage(at, FrameFault.CUT_SHORT, "in a head")
            return
        length = int.from_bytes(raw[at : at + 4], "big")
        end = at + HEAD_BYTES + length
        if length > MOST_FRAME:
            yield Damage(at, FrameFault.ALTERED, f"a length of {length}")
            return
        if end > len(raw):
            yield Damage(at, FrameFault.CUT_SHORT, "in a body")
            return
        body = raw[at + HEAD_BYTES : end]
        if check(raw[at : at + 4] + body) != raw[at + 4 : at + HEAD_BYTES]:
            yield Damage(at, FrameFault.ALTERED)
            return
        try:
            batch = _DECODER.decode(body)
        except msgspec.MsgspecError as error:
            yield Damage(at, FrameFault.OTHER_FORMAT, str(error))
            return
        if batch.format != FORMAT:
            yield Damage(at, FrameFault.OTHER_FORMAT, f"{batch.format}, this is {FORMAT}")
            return
        if batch.number != after + 1:
            yield Damage(at, FrameFault.OUT_OF_ORDER, f"{batch.number} after {after}")
            return
        yield batch
        after, at = batch.number, end
