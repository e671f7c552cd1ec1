"""Frames of the journal: one batch of changes each, with its length and checksum; free of I/O.

A frame is read whole or not at all, so a batch is in force whole or not at all. Nothing after the first frame
that is cut short or altered is used: what is recovered is always a prefix of what was committed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import blake3
import msgspec
from fennelcove.decisions.recovery.write_behind import Change
from msgspec import Struct

FORMAT_VERSION = 1
CHECKSUM_BYTES = 16
LENGTH_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_FRAME_BYTES = 8_000_000


class Batch(Struct, frozen=True, array_like=True):
    """Changes that are made together, with sequence numbers from 1; stored by position."""

    format: int
    number: int
    entries: list[Change]


_DECODER: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


class FrameFault(Enum):
    """What is wrong with a frame; reports show the values."""

    TRUNCATED = "cut short"
    CORRUPT = "altered"
    UNSUPPORTED_FORMAT = "of another format"
    OUT_OF_ORDER = "out of order"


@dataclass(frozen=True, slots=True)
class Damage:
    """Where reading had to stop, in bytes from the file's start, and why."""

    offset: int
    fault: FrameFault
    detail: str = ""


def checksum(raw: bytes) -> bytes:
    """A checksum that no accidental change passes."""
    return blake3.blake3(raw).digest(CHECKSUM_BYTES)


def encode_frame(batch: Batch) -> bytes:
    """The bytes of a batch as it is written."""
    body = _ENCODER.encode(batch)
    length = len(body).to_bytes(LENGTH_BYTES, "big")
    return length + checksum(length + body) + body


def _decode_body(raw: bytes, start: int) -> bytes | Damage:
    """The body of the frame that starts there, once its length and checksum are verified."""
    if len(raw) - start < HEADER_BYTES:
        return Damage(start, FrameFault.TRUNCATED, "in a head")
    length_field = raw[start : start + LENGTH_BYTES]
    length = int.from_bytes(length_field, "big")
    body_start = start + HEADER_BYTES
    if length > MAX_FRAME_BYTES:
        return Damage(start, FrameFault.CORRUPT, f"a length of {length}")
    if body_start + length > len(raw):
        return Damage(start, FrameFault.TRUNCATED, "in a body")
    body = raw[body_start : body_start + length]
    if checksum(length_field + body) != raw[start + LENGTH_BYTES : body_start]:
        return Damage(start, FrameFault.CORRUPT)
    return body


def _decode_batch(body: bytes, start: int, sequence: int) -> Batch | Damage:
    """The batch of a verified body, where it has the expected format and sequence number."""
    try:
        batch = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        return Damage(start, FrameFault.UNSUPPORTED_FORMAT, str(error))
    if batch.format != FORMAT_VERSION:
        return Damage(start, FrameFault.UNSUPPORTED_FORMAT, f"{batch.format}, this is {FORMAT_VERSION}")
    if batch.number != sequence:
        return Damage(start, FrameFault.OUT_OF_ORDER, f"{batch.number} after {sequence - 1}")
    return batch


def decode_frames(raw: bytes, after: int) -> Iterator[Batch | Damage]:
    """Decode the batches of a journal file.

    Args:
        raw: the file's bytes.
        after: the sequence number before the first batch.

    Yields:
        The batches in order; last, the damage that stopped the reading, if there is one.
    """
    start = 0
    sequence = after
    while start < len(raw):
        body = _decode_body(raw, start)
        if isinstance(body, Damage):
            yield body
            return
        sequence += 1
        batch = _decode_batch(body, start, sequence)
        yield batch
        if isinstance(batch, Damage):
            return
        start += HEADER_BYTES + len(body)
