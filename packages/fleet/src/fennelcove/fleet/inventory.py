"""The inventory: an S-expression file that lists the fronts of a fleet."""

from __future__ import annotations

from typing import Annotated, ClassVar

from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import Name, StrictStruct
from msgspec import Meta, field

HostAddress = Annotated[str, Meta(max_length=255, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]


class FrontEntry(StrictStruct, frozen=True, kw_only=True):
    """One front: the name in its settings, its address, its zone (`hall`) and its groups."""

    name: Name
    address: HostAddress
    hall: Name = "hall"
    groups: list[Name] = field(default_factory=list)


class Inventory(StrictStruct, frozen=True, kw_only=True):
    """The fronts of a fleet."""

    HEAD: ClassVar[str] = "fleet"

    fronts: Annotated[list[FrontEntry], Meta(min_length=1, max_length=2000)]


def read(path: str) -> Inventory:
    """Read an inventory from a file.

    Raises:
        SettingsError: the file is unreadable, or a name or an address occurs twice.
    """
    found = load(path, Inventory)
    for field_name in ("name", "address"):
        seen: set[str] = set()
        for i, line in enumerate(found.fronts):
            value = getattr(line, field_name)
            if value in seen:
                raise SettingsError(
                    f"found {value} a second time",
                    f"{path}: fronts[{i}].{field_name}",
                    "list each front once",
                )
            seen.add(value)
    return found


def selected(inventory: Inventory, selectors: list[str], source: str) -> list[FrontEntry]:
    """The fronts that match any selector: a name, `hall=NAME` or `group=NAME`; without selectors, all.

    Raises:
        SettingsError: a selector matches no front, so that a mistyped command is not taken as successful.
    """
    if not selectors:
        return list(inventory.fronts)
    chosen: dict[str, FrontEntry] = {}
    for selector in selectors:
        kind, equals, value = selector.partition("=")
        if not equals:
            found = [line for line in inventory.fronts if line.name == selector]
        elif kind == "hall":
            found = [line for line in inventory.fronts if line.hall == value]
        elif kind == "group":
            found = [line for line in inventory.fronts if value in line.groups]
        else:
            raise SettingsError(
                "found an unknown kind of selector", selector, "use a front's name, hall=NAME or group=NAME"
            )
        if not found:
            raise SettingsError(f"found no front in {source} that matches", selector)
        chosen |= {line.name: line for line in found}
    return list(chosen.values())
