"""Structured fields (RFC 8941), parsed member by member.

Each member is parsed as strictly as the RFC requires, but a malformed member is dropped without its
neighbours. The library http_sfv, which rejects a field as a whole for one malformed member, is the reference
in the tests; docs/results.md compares the cost of both.
"""

from __future__ import annotations

import base64
import binascii
import math
import re
from collections.abc import Iterator
from decimal import ROUND_HALF_EVEN, Decimal
from typing import NamedTuple

MAX_CHARS = 4096
MAX_MEMBERS = 64


class Token(str):
    """A token, as distinct from a string."""

    __slots__ = ()


BareItem = int | float | str | bool | bytes
Params = dict[str, BareItem]


class Item(NamedTuple):
    """A bare item or an inner list, with its parameters."""

    value: BareItem | tuple[Item, ...]
    params: Params


class FieldError(ValueError):
    """A malformed member, or a value that a structured field can't represent."""


_KEY = re.compile(r"[a-z*][a-z0-9_.*-]*")
_NUMBER = re.compile(r"(-?[0-9]{1,15})(?:\.([0-9]{1,3}))?(?![0-9.])")
_STRING = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*)"')
_TOKEN = re.compile(r"[A-Za-z*][!#$%&'*+\-.^_`|~0-9A-Za-z:/]*")
_BYTES = re.compile(r":([A-Za-z0-9+/=]*):")
_BOOL = re.compile(r"\?([01])")
_SPACES = re.compile(r" *")
# A member ends at the next comma outside strings and inner lists.
_MEMBER = re.compile(r'(?:"(?:[^"\\]|\\.)*"?|[^,"()]|\((?:"(?:[^"\\]|\\.)*"?|[^")])*\)?|\))+')


def _parse_bare(text: str, position: int) -> tuple[BareItem, int]:
    first_char = text[position : position + 1]
    if first_char == '"' and (match := _STRING.match(text, position)):
        return re.sub(r"\\(.)", r"\1", match[1]), match.end()
    if (first_char.isdigit() or first_char == "-") and (match := _NUMBER.match(text, position)):
        if match[2] is None:
            return int(match[1]), match.end()
        if len(match[1].lstrip("-")) > 12:
            raise FieldError(f"a decimal with more than 12 integer digits at position {position}")
        return float(f"{match[1]}.{match[2]}"), match.end()
    if first_char == "?" and (match := _BOOL.match(text, position)):
        return match[1] == "1", match.end()
    if first_char == ":" and (match := _BYTES.match(text, position)):
        try:
            return base64.b64decode(match[1] + "=" * (-len(match[1]) % 4), validate=True), match.end()
        except binascii.Error:
            raise FieldError(f"a byte sequence that is not valid base64 at position {position}") from None
    if match := _TOKEN.match(text, position):
        return Token(match[0]), match.end()
    raise FieldError(f"no valid value at position {position} of {text[:40]!r}")


def _parse_params(text: str, position: int) -> tuple[Params, int]:
    found: Params = {}
    while text.startswith(";", position):
        spaces = _SPACES.match(text, position + 1)
        assert spaces is not None
        key = _KEY.match(text, spaces.end())
        if key is None:
            raise FieldError(f"no parameter key at position {position}")
        position = key.end()
        found[key[0]] = True
        if text.startswith("=", position):
            found[key[0]], position = _parse_bare(text, position + 1)
    return found, position


def _parse_item(text: str, position: int) -> tuple[Item, int]:
    if text.startswith("(", position):
        return _parse_inner_list(text, position + 1)
    value, position = _parse_bare(text, position)
    params, position = _parse_params(text, position)
    return Item(value, params), position


def _parse_inner_list(text: str, position: int) -> tuple[Item, int]:
    items: list[Item] = []
    while True:
        spaces = _SPACES.match(text, position)
        assert spaces is not None
        space_count, position = spaces.end() - position, spaces.end()
        if text.startswith(")", position):
            params, position = _parse_params(text, position + 1)
            return Item(tuple(items), params), position
        if items and not space_count:
            raise FieldError(f"inner list items without a space between them at position {position}")
        if text.startswith("(", position):
            raise FieldError(f"a nested inner list at position {position}")
        item, position = _parse_item(text, position)
        items.append(item)


def parse_item(text: str) -> Item:
    """Parse one item or inner list.

    Raises:
        FieldError: the text is malformed, or more follows the item.
    """
    found, position = _parse_item(text, 0)
    if position != len(text):
        raise FieldError(f"unexpected characters at position {position} of {text[:40]!r}")
    return found


def parse_member(text: str) -> tuple[str, Item]:
    """Parse one member of a dictionary: `key`, `key=item` or `key;params`.

    Raises:
        FieldError: the text is malformed, or more follows the member.
    """
    key = _KEY.match(text)
    if key is None:
        raise FieldError(f"no valid key at the start of {text[:40]!r}")
    if text.startswith("=", key.end()):
        return key[0], parse_item(text[key.end() + 1 :])
    params, position = _parse_params(text, key.end())
    if position != len(text):
        raise FieldError(f"unexpected characters at position {position} of {text[:40]!r}")
    return key[0], Item(True, params)


def split_members(text: str) -> Iterator[str | None]:
    """Split a list or dictionary into its raw members.

    An empty member is None. Text after `MAX_MEMBERS` members, or a text longer than `MAX_CHARS`, is one None.
    """
    if len(text) > MAX_CHARS:
        yield None
        return
    position, count = 0, 0
    while position < len(text):
        match = _MEMBER.match(text, position)
        raw = match[0].strip(" \t") if match else ""
        position = match.end() if match else position
        if position < len(text):
            position += 1
            if position == len(text):
                yield raw or None
                yield None  # a trailing comma
                return
        count += 1
        if count > MAX_MEMBERS:
            yield None
            return
        yield raw or None


def parse_dictionary(text: str) -> tuple[dict[str, Item], int]:
    """Return the well-formed members, the last one of each key, and the number of dropped members."""
    found: dict[str, Item] = {}
    dropped = 0
    for raw in split_members(text):
        try:
            if raw is None:
                raise FieldError("an empty member")
            key, value = parse_member(raw)
        except FieldError:
            dropped += 1
            continue
        found.pop(key, None)
        found[key] = value
    return found, dropped


def parse_list(text: str) -> tuple[list[Item], int]:
    """Return the well-formed members of a list, and the number of dropped members."""
    found: list[Item] = []
    dropped = 0
    for raw in split_members(text):
        try:
            if raw is None:
                raise FieldError("an empty member")
            found.append(parse_item(raw))
        except FieldError:
            dropped += 1
    return found, dropped


def write_bare(value: BareItem) -> str:
    """Serialize a bare item (RFC 8941 section 4.1).

    Raises:
        FieldError: the value can't be represented.
    """
    if isinstance(value, bool):
        return f"?{int(value)}"
    if isinstance(value, int):
        if abs(value) > 999_999_999_999_999:
            raise FieldError(f"an integer with more than 15 digits: {value}")
        return str(value)
    if isinstance(value, float):
        if not math.isfinite(value):
            raise FieldError(f"not a finite number: {value}")
        rounded = Decimal(value).quantize(Decimal("0.001"), ROUND_HALF_EVEN)
        if abs(rounded) >= 10**12:
            raise FieldError(f"a decimal with more than 12 integer digits: {value}")
        text = f"{rounded:f}".rstrip("0")
        return text + "0" if text.endswith(".") else text
    if isinstance(value, bytes):
        return f":{base64.b64encode(value).decode()}:"
    if isinstance(value, Token):
        if _TOKEN.fullmatch(value) is None:
            raise FieldError(f"not a valid token: {value!r}")
        return str(value)
    if not value.isascii() or not value.isprintable():
        raise FieldError(f"a string with characters other than printable ASCII: {value!r}")
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'


def write_params(params: Params) -> str:
    """Serialize the parameters of an item.

    Raises:
        FieldError: a value can't be represented.
    """
    return "".join(
        f";{key}" if value is True else f";{key}={write_bare(value)}" for key, value in params.items()
    )


def write_dictionary(values: dict[str, BareItem]) -> str:
    """Serialize a dictionary of bare items; true is written as the key alone.

    Raises:
        FieldError: a value can't be represented.
    """
    return ",".join(key if value is True else f"{key}={write_bare(value)}" for key, value in values.items())
