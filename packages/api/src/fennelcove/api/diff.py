"""Compares two versions of an API description, and finds changes that break clients of the older version.

Such a client sends requests of the older version, and reads responses of the newer one. A change is
compatible if requests have to satisfy fewer constraints, or if responses provide more. So each schema is
compared with its direction: requests and messages of players are sent by clients; responses and messages of
the front are read by clients.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Direction(Enum):
    """Whether clients send or read the values of a schema."""

    IN = "sent by clients"
    OUT = "read by clients"


@dataclass(frozen=True, slots=True)
class Difference:
    """One change: its location, what changed, and whether it breaks clients of the older version."""

    location: str
    change: str
    is_breaking: bool


# Raising an upper bound allows more values; raising a lower bound allows fewer.
UPPER_BOUNDS = ("maximum", "exclusiveMaximum", "maxLength", "maxItems")
LOWER_BOUNDS = ("minimum", "exclusiveMinimum", "minLength", "minItems")

Document = dict[str, Any]


class Comparison:
    """Compares two documents, both OpenAPI or both AsyncAPI."""

    def __init__(self, old: Document, new: Document) -> None:
        self.old = old
        self.new = new
        self.seen: set[tuple[str, str, Direction]] = set()

    def run(self) -> list[Difference]:
        """All differences, the breaking ones first."""
        found = list(self._http() if "openapi" in self.new else self._websocket())
        return sorted(
            dict.fromkeys(found), key=lambda item: (not item.is_breaking, item.location, item.change)
        )

    # OpenAPI

    def _http(self) -> Iterator[Difference]:
        old, new = self.old["paths"], self.new["paths"]
        for path in sorted(old.keys() | new.keys()):
            methods = old.get(path, {}).keys() | new.get(path, {}).keys()
            for method in sorted(methods):
                location = f"{method.upper()} {path}"
                before, after = old.get(path, {}).get(method), new.get(path, {}).get(method)
                if before is None:
                    yield Difference(location, "added", False)
                elif after is None:
                    yield Difference(location, "removed", True)
                else:
                    yield from self._operation(location, before, after)

    def _operation(self, location: str, old: Document, new: Document) -> Iterator[Difference]:
        before, after = _parameters(old), _parameters(new)
        for key in sorted(before.keys() | after.keys()):
            element_location = f"{location} {key[0]} {key[1]}"
            if key not in after:
                yield Difference(element_location, "removed", True)
            elif key not in before:
                yield Difference(element_location, "added", bool(after[key].get("required")))
            else:
                if after[key].get("required") and not before[key].get("required"):
                    yield Difference(element_location, "is required now", True)
                yield from self.schemas(
                    element_location, before[key]["schema"], after[key]["schema"], Direction.IN
                )
        yield from self._content(
            f"{location} body", old.get("requestBody"), new.get("requestBody"), Direction.IN
        )
        if new.get("security") and {} not in new["security"] and new["security"] != old.get("security"):
            yield Difference(location, "requires other credentials", True)
        elif old.get("security") and not new.get("security"):
            yield Difference(location, "requires no credentials any more", False)
        statuses = old["responses"].keys() | new["responses"].keys()
        for status in sorted(statuses):
            element_location = f"{location} {status}"
            if status not in new["responses"]:
                yield Difference(element_location, "is not returned any more", status.startswith("2"))
            elif status not in old["responses"]:
                yield Difference(element_location, "may be returned now", status.startswith(("2", "3")))
            else:
                old_item, new_item = old["responses"][status], new["responses"][status]
                for header in sorted(old_item.get("headers", {}).keys() - new_item.get("headers", {}).keys()):
                    yield Difference(element_location, f"header {header} removed", True)
                for header in sorted(new_item.get("headers", {}).keys() - old_item.get("headers", {}).keys()):
                    yield Difference(element_location, f"header {header} added", False)
                yield from self._content(element_location, old_item, new_item, Direction.OUT)

    def _content(
        self, location: str, old: Document | None, new: Document | None, direction: Direction
    ) -> Iterator[Difference]:
        before = (old or {}).get("content", {})
        after = (new or {}).get("content", {})
        for media in sorted(before.keys() | after.keys()):
            if media not in after:
                yield Difference(location, f"{media} removed", True)
            elif media not in before:
                yield Difference(location, f"{media} added", direction is Direction.IN and not before)
            else:
                yield from self.schemas(location, before[media]["schema"], after[media]["schema"], direction)

    # AsyncAPI

    def _websocket(self) -> Iterator[Difference]:
        old, new = self.old["channels"], self.new["channels"]
        for name in sorted(old.keys() | new.keys()):
            if name not in new or name not in old:
                yield Difference(f"channel {name}", "removed" if name in old else "added", name in old)
            elif old[name]["address"] != new[name]["address"]:
                yield Difference(f"channel {name}", "has another address", True)
        before, after = self.old["operations"], self.new["operations"]
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                yield Difference(name, "removed", True)
            elif name not in before:
                yield Difference(name, "added", False)
            else:
                direction = Direction.IN if after[name]["action"] == "receive" else Direction.OUT
                yield from self._compare_messages(name, before[name], after[name], direction)
                old_item, new_item = before[name].get("reply", {}), after[name].get("reply", {})
                yield from self._compare_messages(f"{name} reply", old_item, new_item, Direction.OUT)

    def _compare_messages(
        self, location: str, old: Document, new: Document, direction: Direction
    ) -> Iterator[Difference]:
        before, after = _message_names(old), _message_names(new)
        for name in sorted(before | after):
            element_location = f"{location} {name}"
            if name not in after:
                # A client that waits for a reply breaks without it; one without a notification does not.
                yield Difference(
                    element_location, "removed", direction is Direction.IN or location.endswith("reply")
                )
            elif name not in before:
                yield Difference(element_location, "added", False)
            else:
                old_item = self.old["components"]["messages"][name]["payload"]
                new_item = self.new["components"]["messages"][name]["payload"]
                yield from self.schemas(element_location, old_item, new_item, direction)

    # Schemas

    def schemas(
        self, location: str, old: Document, new: Document, direction: Direction
    ) -> Iterator[Difference]:
        """The differences between two schemas whose values have one direction."""
        if "$ref" in old and "$ref" in new:
            key = (old["$ref"], new["$ref"], direction)
            if key in self.seen:
                return
            self.seen.add(key)
        old, new = _resolved(self.old, old), _resolved(self.new, new)
        yield from self._types(location, old, new, direction)
        yield from _bounds(location, old, new, direction)
        yield from _choices(location, old, new, direction)
        yield from self._properties(location, old, new, direction)
        if "items" in old and "items" in new:
            yield from self.schemas(f"{location}[]", old["items"], new["items"], direction)

    def _types(
        self, location: str, old: Document, new: Document, direction: Direction
    ) -> Iterator[Difference]:
        before, after = _types(old), _types(new)
        if before == after or not before or not after:
            return
        added, removed = after - before, before - after
        is_breaking = bool(removed) if direction is Direction.IN else bool(added)
        # Values that clients send may gain types, and values that they read may lose types.
        yield Difference(location, f"type {_join_types(before)} is {_join_types(after)} now", is_breaking)

    def _properties(
        self, location: str, old: Document, new: Document, direction: Direction
    ) -> Iterator[Difference]:
        before, after = old.get("properties", {}), new.get("properties", {})
        required_before, required_after = set(old.get("required", ())), set(new.get("required", ()))
        for name in sorted(before.keys() | after.keys()):
            element_location = f"{location}.{name}"
            if name not in after:
                # The front rejects unknown fields, and a reader may depend on the missing field.
                yield Difference(element_location, "removed", True)
                continue
            if name not in before:
                yield Difference(
                    element_location, "added", direction is Direction.IN and name in required_after
                )
                continue
            if direction is Direction.IN and name in required_after - required_before:
                yield Difference(element_location, "is required now", True)
            if direction is Direction.OUT and name in required_before - required_after:
                yield Difference(element_location, "may be missing now", True)
            if name in required_before ^ required_after and not (
                (direction is Direction.IN and name in required_after)
                or (direction is Direction.OUT and name in required_before)
            ):
                yield Difference(
                    element_location,
                    "is optional now" if direction is Direction.IN else "is always present now",
                    False,
                )
            yield from self.schemas(element_location, before[name], after[name], direction)


def _bounds(location: str, old: Document, new: Document, direction: Direction) -> Iterator[Difference]:
    for names, sign in ((UPPER_BOUNDS, 1), (LOWER_BOUNDS, -1)):
        for name in names:
            before, after = old.get(name), new.get(name)
            if before == after:
                continue
            if before is None:
                is_wider = False
            elif after is None:
                is_wider = True
            else:
                is_wider = sign * (after - before) > 0
            yield Difference(
                location, f"{name} {before} is {after} now", is_wider is (direction is Direction.OUT)
            )
    if old.get("pattern") != new.get("pattern"):
        is_breaking = (
            new.get("pattern") is not None if direction is Direction.IN else old.get("pattern") is not None
        )
        yield Difference(location, "has another pattern", is_breaking)


def _choices(location: str, old: Document, new: Document, direction: Direction) -> Iterator[Difference]:
    before, after = old.get("enum"), new.get("enum")
    if before is None or after is None:
        return
    for value in sorted(map(str, set(before) - set(after))):
        yield Difference(location, f"{value!r} removed", direction is Direction.IN)
    for value in sorted(map(str, set(after) - set(before))):
        yield Difference(location, f"{value!r} added", direction is Direction.OUT and len(after) == 1)


def _types(schema: Document) -> set[str]:
    if "anyOf" in schema:
        return set().union(*(_types(part) for part in schema["anyOf"]))
    if "$ref" in schema:
        return {schema["$ref"].rpartition("/")[2]}
    found = schema.get("type")
    if found is None:
        return set()
    return {found} if isinstance(found, str) else set(found)


def _join_types(types: set[str]) -> str:
    return " or ".join(sorted(types))


def _resolved(document: Document, schema: Document) -> Document:
    while "$ref" in schema:
        found: Any = document
        for part in schema["$ref"].removeprefix("#/").split("/"):
            found = found[part]
        schema = found
    return schema


def _parameters(operation: Document) -> dict[tuple[str, str], Document]:
    return {(item["in"], item["name"]): item for item in operation.get("parameters", ())}


def _message_names(operation: Document) -> set[str]:
    return {item["$ref"].rpartition("/")[2] for item in operation.get("messages", ())}


def is_breaking_version_step(old: str, new: str) -> bool:
    """Whether a version step allows breaking changes: a new major number, or a new minor one before 1.0."""
    old_item, new_item = ([int(part) for part in version.split(".")[:2]] for version in (old, new))
    return new_item[0] > old_item[0] or (old_item[0] == new_item[0] == 0 and new_item[1] > old_item[1])
