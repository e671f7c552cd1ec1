"""Frames (RFC 6455, section 5.2): a serializer, and an incremental parser."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.websocket.protocol_constants import (
    MAX_CONTROL_BYTES,
    Bounds,
    CloseCode,
    Opcode,
    ProtocolViolationError,
)

FIN, COMPRESSED, RESERVED = 0x80, 0x40, 0x30
MASKED = 0x80
FIRST_CONTROL_OPCODE = 8  # control frames have this opcode or a higher one


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """The header of a frame; `length` is that of the payload, in bytes."""

    fin: bool
    compressed: bool
    opcode: Opcode
    length: int
    mask: bytes | None


@dataclass(frozen=True, slots=True)
class FramePart:
    """A part of a frame's payload, unmasked; `is_last` if the frame is complete with it."""

    header: FrameHeader
    data: bytes
    is_last: bool


def apply_mask(data: bytes, mask: bytes, offset: int = 0) -> bytes:
    """Mask or unmask payload data (section 5.3).

    One exclusive or of two long integers is forty times as fast as a loop over the bytes.

    Args:
        data: the payload, or a part of it.
        mask: the four bytes of the masking key.
        offset: the position of the data in the payload.
    """
    if not data:
        return b""
    rotated = mask[offset % 4 :] + mask[: offset % 4]
    count = len(data)
    keystream = (rotated * (count // 4 + 1))[:count]
    return (int.from_bytes(data, "little") ^ int.from_bytes(keystream, "little")).to_bytes(count, "little")


def write(
    opcode: Opcode, data: bytes, mask: bytes | None, fin: bool = True, compressed: bool = False
) -> bytes:
    """Serialize one frame; frames of a client need a mask of four bytes, those of a server have none."""
    header = bytearray([opcode | (FIN if fin else 0) | (COMPRESSED if compressed else 0)])
    mask_bit = MASKED if mask is not None else 0
    count = len(data)
    if count <= 125:
        header.append(mask_bit | count)
    elif count < 65_536:
        header.append(mask_bit | 126)
        header += count.to_bytes(2, "big")
    else:
        header.append(mask_bit | 127)
        header += count.to_bytes(8, "big")
    if mask is not None:
        return bytes(header) + mask + apply_mask(data, mask)
    return bytes(header) + data


class FrameReader:
    """Parses the frames of one peer: `feed` received bytes, then call `next` until it returns None.

    A frame that exceeds the size limit is rejected by its header, before any of its payload is buffered.
    """

    def __init__(self, from_client: bool, deflates: bool, bounds: Bounds) -> None:
        self.from_client = from_client
        self.deflates = deflates
        self.bounds = bounds
        self.buffer = bytearray()
        self.header: FrameHeader | None = None
        self.received = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    @property
    def is_mid_frame(self) -> bool:
        """Whether a part of a frame has been received and its end has not."""
        return self.header is not None or bool(self.buffer)

    def next(self) -> FramePart | None:
        """Return the next part, or None if more bytes are needed.

        Raises:
            ProtocolViolationError: a frame is malformed or exceeds the size limit.
        """
        if self.header is None:
            self.header = self._read_header()
            self.received = 0
            if self.header is None:
                return None
        header = self.header
        remaining = header.length - self.received
        is_control = header.opcode >= FIRST_CONTROL_OPCODE
        if remaining and (not self.buffer or (is_control and len(self.buffer) < remaining)):
            return None
        data = bytes(self.buffer[:remaining])
        del self.buffer[:remaining]
        if header.mask is not None:
            data = apply_mask(data, header.mask, self.received)
        self.received += len(data)
        is_last = self.received == header.length
        if is_last:
            self.header = None
        return FramePart(header, data, is_last)

    def _read_header(self) -> FrameHeader | None:
        buffer = self.buffer
        if len(buffer) < 2:
            return None
        first, second = buffer[0], buffer[1]
        if first & RESERVED or (first & COMPRESSED and not self.deflates):
            raise ProtocolViolationError(CloseCode.PROTOCOL_ERROR, "a reserved bit is set")
        try:
            opcode = Opcode(first & 0x0F)
        except ValueError:
            raise ProtocolViolationError(
                CloseCode.PROTOCOL_ERROR, f"opcode {first & 0x0F} is reserved"
            ) from None
        fin, length_code = bool(first & FIN), second & 0x7F
        if opcode >= FIRST_CONTROL_OPCODE and (
            not fin or length_code > MAX_CONTROL_BYTES or first & COMPRESSED
        ):
            raise ProtocolViolationError(
                CloseCode.PROTOCOL_ERROR, "a control frame is fragmented, compressed or too long"
            )
        if first & COMPRESSED and opcode is Opcode.CONTINUATION:
            raise ProtocolViolationError(
                CloseCode.PROTOCOL_ERROR, "only a message's first frame says that it is compressed"
            )
        has_mask = bool(second & MASKED)
        if has_mask is not self.from_client:
            reason = "a client's frame is not masked" if self.from_client else "a server's frame is masked"
            raise ProtocolViolationError(CloseCode.PROTOCOL_ERROR, reason)
        length_bytes = {126: 2, 127: 8}.get(length_code, 0)
        header_bytes = 2 + length_bytes + (4 if has_mask else 0)
        if len(buffer) < 2 + length_bytes:
            return None
        length = int.from_bytes(buffer[2 : 2 + length_bytes], "big") if length_bytes else length_code
        if (length_bytes == 2 and length <= 125) or (length_bytes == 8 and (length < 65_536 or length >> 63)):
            raise ProtocolViolationError(CloseCode.PROTOCOL_ERROR, "a length is not written the shortest way")
        if length > self.bounds.frame_bytes:
            raise ProtocolViolationError(
                CloseCode.TOO_BIG, f"a frame of {length} bytes; {self.bounds.frame_bytes} at most"
            )
        if len(buffer) < header_bytes:
            return None
        mask = bytes(buffer[header_bytes - 4 : header_bytes]) if has_mask else None
        del buffer[:header_bytes]
        return FrameHeader(fin, bool(first & COMPRESSED), opcode, length, mask)
