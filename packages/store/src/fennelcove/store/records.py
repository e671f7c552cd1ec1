"""Encoding of journal frames, each with the length, the checksum and the body of one batch; no I/O.

A batch is applied only if its frame is complete, so batches are atomic. Nothing after the first truncated or
corrupt frame of a file is used, so the recovered batches are always a prefix of the committed ones.
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
    """Changes that are committed atomically, numbered from 1; its fields are stored by position."""

    format: int
    number: int
    entries: list[Change]


_DECODER: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


class FrameFault(Enum):
    """Why a frame can't be used; the values appear in the output of `fennelcove store verify`."""

    TRUNCATED = "cut short"
    CORRUPT = "altered"
    UNSUPPORTED_FORMAT = "of another format"
    OUT_OF_ORDER = "out of order"


@dataclass(frozen=True, slots=True)
class Damage:
    """Where the reading of a file stopped, in bytes from its start, and why."""

    offset: int
    fault: FrameFault
    detail: str = ""


def checksum(raw: bytes) -> bytes:
    """A truncated BLAKE3 hash, which detects any accidental change."""
    return blake3.blake3(raw).digest(CHECKSUM_BYTES)


def encode_frame(batch: Batch) -> bytes:
    """Encode a batch as a frame."""
    body = _ENCODER.encode(batch)
    length = len(body).to_bytes(LENGTH_BYTES, "big")
    return length + checksum(length + body) + body


def _decode_body(raw: bytes, start: int) -> bytes | Damage:
    """The body of the frame at offset `start`, if its length and checksum are valid."""
    if len(raw) - start < HEADER_BYTES:
        return Damage(start, FrameFault.TRUNCATED, "in the header")
    length_field = raw[start : start + LENGTH_BYTES]
    length = int.from_bytes(length_field, "big")
    body_start = start + HEADER_BYTES
    if length > MAX_FRAME_BYTES:
        return Damage(start, FrameFault.CORRUPT, f"length field is {length}")
    if body_start + length > len(raw):
        return Damage(start, FrameFault.TRUNCATED, "in the body")
    body = raw[body_start : body_start + length]
    if checksum(length_field + body) != raw[start + LENGTH_BYTES : body_start]:
        return Damage(start, FrameFault.CORRUPT)
    return body


def _decode_batch(body: bytes, start: int, sequence: int) -> Batch | Damage:
    """The batch in a verified body, if it has the expected format and sequence number."""
    try:
        batch = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        return Damage(start, FrameFault.UNSUPPORTED_FORMAT, str(error))
    if batch.format != FORMAT_VERSION:
        return Damage(
            start, FrameFault.UNSUPPORTED_FORMAT, f"found {batch.format}, expected {FORMAT_VERSION}"
        )
    if batch.number != sequence:
        return Damage(start, FrameFault.OUT_OF_ORDER, f"batch {batch.number} after {sequence - 1}")
    return batch


def decode_frames(raw: bytes, after: int) -> Iterator[Batch | Damage]:
    """Decode the batches of a journal file.

    Args:
        raw: the file's bytes.
        after: the sequence number before the first batch.

    Yields:
        The batches in order; then the damage that stopped the reading, if there is any.
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
