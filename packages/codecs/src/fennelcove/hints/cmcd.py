"""Common Media Client Data (CMCD): hints from a client, as CTA-5004 defines them.

The keys of version 1 are supported, and those of version 2 as far as they are public. Hints arrive in one of
the three ways of the specification: four request headers, one query argument or one JSON object. The type of
reserved keys is checked; custom keys, which contain a hyphen, are accepted with any type. Malformed hints are
dropped and counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import msgspec
from fennelcove.hints.structured_fields import BareItem, Item, Token, parse_dictionary, write_dictionary

HEADER_NAMES = ("CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session")
HEADER_KEYS = ("cmcd-request", "cmcd-object", "cmcd-status", "cmcd-session")
QUERY_KEY = "CMCD"


@dataclass(slots=True)
class Cmcd:
    """The hints of one request; rates are in kb/s, times in ms.

    Attributes:
        values: reserved keys with valid values.
        custom: custom keys.
        dropped: the number of malformed or unknown hints.
    """

    values: dict[str, BareItem] = field(default_factory=dict)
    custom: dict[str, BareItem] = field(default_factory=dict)
    dropped: int = 0

    def number(self, key: str) -> float | None:
        """Return the number of a reserved key, or None if it is absent or has another type."""
        value = self.values.get(key)
        return None if value is None or isinstance(value, str | bytes) else float(value)

    def text(self, key: str) -> str | None:
        """Return the text of a reserved key, or None if it is absent or has another type."""
        value = self.values.get(key)
        return value if isinstance(value, str) else None

    def flag(self, key: str) -> bool:
        """Return whether a reserved flag is set; an absent flag is false (CTA-5004, section on keys)."""
        return self.values.get(key) is True


def _non_negative_integer(value: BareItem) -> BareItem | None:
    # Senders must round some values to the nearest hundred; a value that is not rounded is accepted.
    is_valid = isinstance(value, int) and not isinstance(value, bool) and value >= 0
    return value if is_valid else None


def _non_negative_number(value: BareItem) -> BareItem | None:
    is_valid = isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
    return float(value) if is_valid and not isinstance(value, str | bytes) else None


def _boolean(value: BareItem) -> BareItem | None:
    return value if isinstance(value, bool) else None


def _string(max_chars: int) -> Callable[[BareItem], BareItem | None]:
    def check(value: BareItem) -> BareItem | None:
        is_valid = isinstance(value, str) and not isinstance(value, Token) and len(value) <= max_chars
        return value if is_valid else None

    return check


def _token(*allowed: str) -> Callable[[BareItem], BareItem | None]:
    def check(value: BareItem) -> BareItem | None:
        # JSON and some players send strings where the specification has tokens.
        return Token(value) if isinstance(value, str) and (not allowed or value in allowed) else None

    return check


_V1: Mapping[str, Callable[[BareItem], BareItem | None]] = {
    "br": _non_negative_integer,
    "bl": _non_negative_integer,
    "bs": _boolean,
    "cid": _string(64),
    "d": _non_negative_integer,
    "dl": _non_negative_integer,
    "mtp": _non_negative_integer,
    "nor": _string(2048),
    "nrr": _string(64),
    "ot": _token("m", "a", "v", "av", "i", "c", "tt", "k", "o"),
    "pr": _non_negative_number,
    "rtp": _non_negative_integer,
    "sf": _token("d", "h", "s", "o"),
    "sid": _string(64),
    "st": _token("v", "l"),
    "su": _boolean,
    "tb": _non_negative_integer,
    "v": _non_negative_integer,
}
_V2: Mapping[str, Callable[[BareItem], BareItem | None]] = {
    "ab": _non_negative_integer,
    "bg": _boolean,
    "bsa": _non_negative_integer,
    "bsd": _non_negative_integer,
    "bsda": _non_negative_integer,
    "cdn": _string(128),
    "cmsdd": _string(2048),
    "cmsds": _string(2048),
    "cs": _string(128),
    "df": _non_negative_integer,
    "e": _token(),
    "ec": _string(64),
    "h": _string(128),
    "lab": _non_negative_integer,
    "lb": _non_negative_integer,
    "ltc": _non_negative_integer,
    "msd": _non_negative_integer,
    "nr": _boolean,
    "pb": _non_negative_integer,
    "pt": _non_negative_integer,
    "rc": _non_negative_integer,
    "sn": _non_negative_integer,
    "sta": _token("s", "p", "k", "r", "a", "w", "e", "f", "q", "d"),
    "tab": _non_negative_integer,
    "tbl": _non_negative_integer,
    "tpb": _non_negative_integer,
    "ts": _non_negative_integer,
    "ttfb": _non_negative_integer,
    "ttfbb": _non_negative_integer,
    "ttlb": _non_negative_integer,
    "url": _string(2048),
}
RESERVED_KEYS: Mapping[str, Callable[[BareItem], BareItem | None]] = {**_V1, **_V2}
# The index in `HEADER_NAMES` of the header that version 1 assigns to each key; on reception any header is
# accepted.
HEADER_INDEX = {
    "bl": 0,
    "dl": 0,
    "mtp": 0,
    "nor": 0,
    "nrr": 0,
    "su": 0,
    "br": 1,
    "d": 1,
    "ot": 1,
    "tb": 1,
    "bs": 2,
    "rtp": 2,
    "cid": 3,
    "pr": 3,
    "sf": 3,
    "sid": 3,
    "st": 3,
    "v": 3,
}


def _add(hints: Cmcd, key: str, value: BareItem) -> None:
    if "-" in key:
        hints.custom[key] = value
        return
    check = RESERVED_KEYS.get(key)
    checked = check(value) if check else None
    if checked is None:
        hints.dropped += 1
    else:
        hints.values[key] = checked


def _first_value(item: Item) -> BareItem | None:
    """Return the value, or the first item of an inner list: version 2 lists numbers by object type."""
    if isinstance(item.value, tuple):
        first = item.value[0].value if item.value else None
        return None if isinstance(first, tuple) else first
    return item.value


def read_text(texts: Iterable[str]) -> Cmcd:
    """Parse header values, or a query argument that is already percent-decoded."""
    found = Cmcd()
    for text in texts:
        items, dropped = parse_dictionary(text)
        found.dropped += dropped
        for key, item in items.items():
            value = _first_value(item)
            if value is None:
                found.dropped += 1
            else:
                _add(found, key, value)
    return found


def read_json(raw: bytes | Mapping[str, Any]) -> Cmcd:
    """Parse a JSON object, encoded or decoded."""
    found = Cmcd()
    decoded: Any = raw
    if isinstance(raw, bytes):
        try:
            decoded = msgspec.json.decode(raw)
        except msgspec.DecodeError:
            decoded = None
    if not isinstance(decoded, Mapping):
        found.dropped += 1
        return found
    for key, value in list(decoded.items())[:64]:
        if isinstance(value, list) and value:
            value = value[0]
        if isinstance(key, str) and isinstance(value, int | float | str | bool):
            _add(found, key, value)
        else:
            found.dropped += 1
    return found


def read(headers: Mapping[str, str], query: Mapping[str, str], body: Any = None) -> Cmcd:
    """Parse the hints of a request: its headers, else its query argument, else a JSON object.

    Names of headers are in lower case.
    """
    texts = [headers[name] for name in HEADER_KEYS if name in headers]
    if texts:
        return read_text(texts)
    if QUERY_KEY in query:
        return read_text([query[QUERY_KEY]])
    return read_json(body) if body is not None else Cmcd()


def query_arguments(query: str) -> dict[str, str]:
    """Return the first argument of each name in a query; parts without `=` are ignored."""
    found: dict[str, str] = {}
    for part in query.split("&")[:64]:
        name, separator, value = part.partition("=")
        if separator:
            found.setdefault(unquote(name), unquote(value))
    return found


def write_headers(values: Mapping[str, BareItem]) -> list[tuple[str, str]]:
    """Serialize hints as the four headers with sorted keys; for players and emulated clients.

    Raises:
        FieldError: a value can't be represented.
    """
    groups: list[dict[str, BareItem]] = [{}, {}, {}, {}]
    for key in sorted(values):
        if values[key] is not False:
            groups[HEADER_INDEX.get(key, 3)][key] = values[key]
    return [
        (name, write_dictionary(group)) for name, group in zip(HEADER_NAMES, groups, strict=True) if group
    ]
