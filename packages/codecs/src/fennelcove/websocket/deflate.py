"""permessage-deflate (RFC 7692) without context takeover: each message is compressed on its own.

With context takeover, the windows of an idle connection would take about 300 kB for both directions. Without
it, the size limit of a message also limits all data that must be inflated to read it.
"""

from __future__ import annotations

import zlib

from fennelcove.websocket.protocol_constants import CloseCode, ProtocolViolationError

FLUSH_TAIL = b"\x00\x00\xff\xff"  # of a sync flush; the sender removes it (section 7.2.1)
COMPRESSION_LEVEL = 1  # messages are short; a higher level saves almost nothing
WINDOW_BITS = -15  # negative: a raw deflate stream without a zlib header


def deflate(data: bytes) -> bytes:
    """Compress the payload of a message."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS)
    compressed = compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)
    return compressed[: -len(FLUSH_TAIL)] if compressed.endswith(FLUSH_TAIL) else compressed


class Inflater:
    """Inflates one message in parts, and stops at the size limit to withstand decompression bombs."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.decompressor = zlib.decompressobj(WINDOW_BITS)

    def add(self, data: bytes) -> bytes:
        """Inflate the next part of the message.

        Raises:
            ProtocolViolationError: the message exceeds the limit or is not valid deflate data.
        """
        try:
            # Inflates at most one byte past the limit, which suffices to detect that the limit is exceeded.
            inflated = self.decompressor.decompress(data, self.max_bytes - self.size + 1)
        except zlib.error:
            raise ProtocolViolationError(CloseCode.BAD_DATA, "a message can't be inflated") from None
        self.size += len(inflated)
        if self.size > self.max_bytes or self.decompressor.unconsumed_tail:
            raise ProtocolViolationError(
                CloseCode.TOO_BIG, f"a message inflates to over {self.max_bytes} bytes"
            )
        return inflated

    def end(self) -> bytes:
        """Return the rest of the message; no part follows.

        Raises:
            ProtocolViolationError: as for `add`.
        """
        return self.add(FLUSH_TAIL) if not self.decompressor.eof else b""
