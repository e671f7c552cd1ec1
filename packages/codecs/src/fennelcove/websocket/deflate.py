"""permessage-deflate (RFC 7692) without context takeover: each message stands alone.

So an idle connection holds no window (some 300 kB for both directions with takeover), and no message can be
read without all of it being in its bound.
"""

from __future__ import annotations

import zlib

from fennelcove.websocket.terms import CloseCode, Violation

FLUSH_TAIL = b"\x00\x00\xff\xff"  # section 7.2.1
COMPRESSION_LEVEL = 1  # the messages are short: more effort buys next to nothing
WINDOW_BITS = -15


def deflate(data: bytes) -> bytes:
    """A message's payload, compressed."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS)
    compressed = compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)
    return compressed[: -len(FLUSH_TAIL)] if compressed.endswith(FLUSH_TAIL) else compressed


class Inflater:
    """Inflates one message piece by piece, never past its bound: a bomb is cut off, not unpacked."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.decompressor = zlib.decompressobj(WINDOW_BITS)

    def add(self, data: bytes) -> bytes:
        """What this piece inflates to.

        Raises:
            Violation: more than the bound, or no deflated data.
        """
        try:
            # One byte over the bound is asked for: so much shows that there is more, and no more is made.
            inflated = self.decompressor.decompress(data, self.max_bytes - self.size + 1)
        except zlib.error:
            raise Violation(CloseCode.BAD_DATA, "a message can't be inflated") from None
        self.size += len(inflated)
        if self.size > self.max_bytes or self.decompressor.unconsumed_tail:
            raise Violation(CloseCode.TOO_BIG, f"a message inflates to over {self.max_bytes} bytes")
        return inflated

    def end(self) -> bytes:
        """The message is whole.

        Raises:
            Violation: as for `add`.
        """
        return self.add(FLUSH_TAIL) if not self.decompressor.eof else b""
