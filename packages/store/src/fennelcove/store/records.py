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

FORMAT_VERSION = 1
CHECKSUM_BYTES = 16
HEADER_BYTES = 4 + CHECKSUM_BYTES
MAX_FRAME_BYTES = 8_000_000

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


def checksum(raw: bytes) -> bytes:
    """A checksum that no accident passes."""
    return blake3.blake3(raw).digest(CHECKSUM_BYTES)


def encode_frame(batch: Batch) -> bytes:
    """A batch as it is written."""
    body = _ENCODER.encode(batch)
    length = len(body).to_bytes(4, "big")
    return length + checksum(length + body) + body


def decode_frames(raw: bytes, after: int) -> Iterator[Batch | Damage]:
    """The batches of a journal, in order, numbered on from `after`; last, what stopped the reading, if
    anything did."""
    at = 0
    while at < len(raw):
        if len(raw) - at < HEADER_BYTES:
            yield Damage(at, FrameFault.CUT_SHORT, "in a head")
            return
        length = int.from_bytes(raw[at : at + 4], "big")
        end = at + HEADER_BYTES + length
        if length > MAX_FRAME_BYTES:
            yield Damage(at, FrameFault.ALTERED, f"a length of {length}")
            return
        if end > len(raw):
            yield Damage(at, FrameFault.CUT_SHORT, "in a body")
            return
        body = raw[at + HEADER_BYTES : end]
        if checksum(raw[at : at + 4] + body) != raw[at + 4 : at + HEADER_BYTES]:
            yield Damage(at, FrameFault.ALTERED)
            return
        try:
            batch = _DECODER.decode(body)
        except msgspec.MsgspecError as error:
            yield Damage(at, FrameFault.OTHER_FORMAT, str(error))
            return
        if batch.format != FORMAT_VERSION:
            yield Damage(at, FrameFault.OTHER_FORMAT, f"{batch.format}, this is {FORMAT_VERSION}")
            return
        if batch.number != after + 1:
            yield Damage(at, FrameFault.OUT_OF_ORDER, f"{batch.number} after {after}")
            return
        yield batch
        after, at = batch.number, end
