"""Network addresses in the platform's notation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """A host and port to connect to or to listen on."""

    host: str
    port: int


def parse_address(raw: Any) -> Address:
    """Parse an address of the form `host:port`.

    Raises:
        ValueError: it has another form.
    """
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address of the form host:port: {raw!r}")
    return Address(host, int(port))
