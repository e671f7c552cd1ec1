"""Common Media Server Data (CMSD): hints from servers, as CTA-5006 defines them.

`CMSD-Static` is a dictionary; `CMSD-Dynamic` is a list with one entry a hop. The servers add two custom keys,
with a hyphen as the specification requires: the ratio of the demand on the server's link to its capacity, and
the same ratio for the uplink of its rack.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from fennelcove.hints.structured_fields import (
    BareItem,
    Item,
    Params,
    parse_dictionary,
    parse_list,
    write_bare,
    write_dictionary,
    write_params,
)

STATIC, DYNAMIC = "cmsd-static", "cmsd-dynamic"
LINK_KEY, UPLINK_KEY = "fennelcove-link", "fennelcove-uplink"
KeyTypes = Mapping[str, type]
_STATIC_KEYS: KeyTypes = {
    "at": int,
    "br": int,
    "d": int,
    "ht": int,
    "n": str,
    "nor": str,
    "nrr": str,
    "ot": str,
    "sf": str,
    "st": str,
    "su": bool,
    "v": int,
}
_DYNAMIC_KEYS: KeyTypes = {
    "du": bool,
    "etp": int,
    "mb": int,
    "rd": int,
    "rtt": int,
}


@dataclass(frozen=True, slots=True)
class Hop:
    """The hints of one server on the path; rates are in kb/s, times in ms."""

    name: str
    values: Mapping[str, BareItem]

    def number(self, key: str) -> float | None:
        """Return the number of a key, or None if it is absent or not a number."""
        value = self.values.get(key)
        return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None

    @property
    def in_duress(self) -> bool:
        """Whether the server reports that it is overloaded (`du`)."""
        return self.values.get("du") is True


@dataclass(frozen=True, slots=True)
class Cmsd:
    """The hints of one response, and the number of malformed or unknown ones that were dropped."""

    static: Mapping[str, BareItem] = field(default_factory=dict)
    hops: tuple[Hop, ...] = ()
    dropped: int = 0


def _has_type(value: BareItem, value_type: type) -> bool:
    if value_type is bool or isinstance(value, bool):
        return value_type is bool and isinstance(value, bool)
    return isinstance(value, value_type)


def _check_types(values: Mapping[str, BareItem], key_types: KeyTypes) -> tuple[dict[str, BareItem], int]:
    found: dict[str, BareItem] = {}
    dropped = 0
    for key, value in values.items():
        if "-" in key or (key in key_types and _has_type(value, key_types[key])):
            found[key] = value
        else:
            dropped += 1
    return found, dropped


def read(static: str | None, dynamic: str | None) -> Cmsd:
    """Parse the values of the two headers; a malformed entry or key is dropped without the others."""
    dropped = 0
    static_values: dict[str, BareItem] = {}
    if static:
        items, dropped = parse_dictionary(static)
        bare_items = {key: item.value for key, item in items.items() if not isinstance(item.value, tuple)}
        static_values, dropped_now = _check_types(bare_items, _STATIC_KEYS)
        dropped += dropped_now + len(items) - len(bare_items)
    hops: list[Hop] = []
    if dynamic:
        entries, dropped_now = parse_list(dynamic)
        dropped += dropped_now
        for entry in entries:
            hop, dropped_now = _parse_hop(entry)
            dropped += dropped_now
            if hop is not None:
                hops.append(hop)
    return Cmsd(static_values, tuple(hops), dropped)


def _parse_hop(entry: Item) -> tuple[Hop | None, int]:
    if not isinstance(entry.value, str):
        return None, 1
    values, dropped_now = _check_types(entry.params, _DYNAMIC_KEYS)
    return Hop(str(entry.value), values), dropped_now


def write_static(values: Mapping[str, BareItem]) -> str:
    """Serialize the value of CMSD-Static with sorted keys.

    Raises:
        FieldError: a value can't be represented.
    """
    return write_dictionary({key: values[key] for key in sorted(values)})


def write_hop(name: str, values: Params) -> str:
    """Serialize one entry of CMSD-Dynamic.

    Raises:
        FieldError: a value can't be represented.
    """
    return write_bare(name) + write_params({key: values[key] for key in sorted(values)})


class CmsdCache:
    """A least-recently-used cache of parsed hints; a server repeats its values from response to response.

    Not thread-safe.
    """

    def __init__(self, max_entries: int = 512) -> None:
        self.max_entries = max_entries
        self.entries: OrderedDict[tuple[str | None, str | None], Cmsd] = OrderedDict()

    def read(self, static: str | None, dynamic: str | None) -> Cmsd:
        """Parse as `read` does, or return the cached result of the same pair of values."""
        key = (static, dynamic)
        if key in self.entries:
            self.entries.move_to_end(key)
            return self.entries[key]
        found = self.entries[key] = read(static, dynamic)
        if len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)
        return found
