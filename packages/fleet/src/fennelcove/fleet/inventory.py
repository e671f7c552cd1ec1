"""The fronts of a fleet, as a file of S-expressions names them."""

from __future__ import annotations

from typing import Annotated, ClassVar

from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import Name, Strict
from msgspec import Meta, field

Host = Annotated[str, Meta(max_length=255, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]


class FrontLine(Strict, frozen=True, kw_only=True):
    """One front: the name in its settings, where its door is, and what it belongs to."""

    name: Name
    address: Host
    hall: Name = "hall"
    groups: list[Name] = field(default_factory=list)


class Inventory(Strict, frozen=True, kw_only=True):
    """All fronts."""

    HEAD: ClassVar[str] = "fleet"

    fronts: Annotated[list[FrontLine], Meta(min_length=1, max_length=2000)]


def read(path: str) -> Inventory:
    """An inventory from a file.

    Raises:
        SettingsError: unreadable, or a front or an address is named twice.
    """
    found = load(path, Inventory)
    for what in ("name", "address"):
        seen: set[str] = set()
        for i, line in enumerate(found.fronts):
            value = getattr(line, what)
            if value in seen:
                raise SettingsError(
                    f"found {value} a second time", f"{path}: fronts[{i}].{what}", "name each front once"
                )
            seen.add(value)
    return found


def selected(inventory: Inventory, selectors: list[str], source: str) -> list[FrontLine]:
    """The fronts that any selector names: a front, `hall=NAME` or `group=NAME`; without one, all.

    Raises:
        SettingsError: a selector that names nobody: a command meant for somebody must not go to nobody.
    """
    if not selectors:
        return list(inventory.fronts)
    chosen: dict[str, FrontLine] = {}
    for selector in selectors:
        kind, equals, value = selector.partition("=")
        if not equals:
            found = [line for line in inventory.fronts if line.name == selector]
        elif kind == "hall":
            found = [line for line in inventory.fronts if line.hall == value]
        elif kind == "group":
            found = [line for line in inventory.fronts if value in line.groups]
        else:
            raise SettingsError("found no such kind", selector, "use a front's name, hall=NAME or group=NAME")
        if not found:
            raise SettingsError(f"found no front in {source} by it", selector)
        chosen |= {line.name: line for line in found}
    return list(chosen.values())
