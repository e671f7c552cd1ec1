"""What changed between two descriptions, and whether a client of the older one still works.

A client sends what the older one said and reads what the newer front answers. So what is sent may only be
asked for less, and what is answered may only hold more. For every place in a document it is known which way
it goes: requests and what players say go in, answers and what the front says go out.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Way(Enum):
    """Which way a schema's values go."""

    IN = "sent by clients"
    OUT = "read by clients"


@dataclass(frozen=True, slots=True)
class Difference:
    """One change: where, what, and whether it breaks clients of the older description."""

    place: str
    what: str
    breaks: bool


# Bounds whose growth lets more through, and those whose growth lets less.
UPPER = ("maximum", "exclusiveMaximum", "maxLength", "maxItems")
LOWER = ("minimum", "exclusiveMinimum", "minLength", "minItems")

Document = dict[str, Any]


class Comparison:
    """Two documents of one kind, walked side by side."""

    def __init__(self, old: Document, new: Document) -> None:
        self.old = old
        self.new = new
        self.seen: set[tuple[str, str, Way]] = set()

    def run(self) -> list[Difference]:
        """Every difference, the breaking ones first."""
        found = list(self._http() if "openapi" in self.new else self._socket())
        return sorted(dict.fromkeys(found), key=lambda item: (not item.breaks, item.place, item.what))

    # OpenAPI.

    def _http(self) -> Iterator[Difference]:
        old, new = self.old["paths"], self.new["paths"]
        for path in sorted(old.keys() | new.keys()):
            methods = old.get(path, {}).keys() | new.get(path, {}).keys()
            for method in sorted(methods):
                place = f"{method.upper()} {path}"
                before, after = old.get(path, {}).get(method), new.get(path, {}).get(method)
                if before is None:
                    yield Difference(place, "added", False)
                elif after is None:
                    yield Difference(place, "removed", True)
                else:
                    yield from self._operation(place, before, after)

    def _operation(self, place: str, old: Document, new: Document) -> Iterator[Difference]:
        before, after = _parameters(old), _parameters(new)
        for key in sorted(before.keys() | after.keys()):
            at = f"{place} {key[0]} {key[1]}"
            if key not in after:
                yield Difference(at, "removed", True)
            elif key not in before:
                yield Difference(at, "added", bool(after[key].get("required")))
            else:
                if after[key].get("required") and not before[key].get("required"):
                    yield Difference(at, "is required now", True)
                yield from self.schemas(at, before[key]["schema"], after[key]["schema"], Way.IN)
        yield from self._content(f"{place} body", old.get("requestBody"), new.get("requestBody"), Way.IN)
        if new.get("security") and {} not in new["security"] and new["security"] != old.get("security"):
            yield Difference(place, "needs other credentials", True)
        elif old.get("security") and not new.get("security"):
            yield Difference(place, "needs no credentials any more", False)
        statuses = old["responses"].keys() | new["responses"].keys()
        for status in sorted(statuses):
            at = f"{place} {status}"
            if status not in new["responses"]:
                yield Difference(at, "is answered no more", status.startswith("2"))
            elif status not in old["responses"]:
                yield Difference(at, "may be answered now", status.startswith(("2", "3")))
            else:
                one, two = old["responses"][status], new["responses"][status]
                for header in sorted(one.get("headers", {}).keys() - two.get("headers", {}).keys()):
                    yield Difference(at, f"header {header} removed", True)
                for header in sorted(two.get("headers", {}).keys() - one.get("headers", {}).keys()):
                    yield Difference(at, f"header {header} added", False)
                yield from self._content(at, one, two, Way.OUT)

    def _content(
        self, place: str, old: Document | None, new: Document | None, way: Way
    ) -> Iterator[Difference]:
        before = (old or {}).get("content", {})
        after = (new or {}).get("content", {})
        for media in sorted(before.keys() | after.keys()):
            if media not in after:
                yield Difference(place, f"{media} removed", True)
            elif media not in before:
                yield Difference(place, f"{media} added", way is Way.IN and not before)
            else:
                yield from self.schemas(place, before[media]["schema"], after[media]["schema"], way)

    # AsyncAPI.

    def _socket(self) -> Iterator[Difference]:
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
                way = Way.IN if after[name]["action"] == "receive" else Way.OUT
                yield from self._messages(name, before[name], after[name], way)
                one, two = before[name].get("reply", {}), after[name].get("reply", {})
                yield from self._messages(f"{name} answer", one, two, Way.OUT)

    def _messages(self, place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
        before, after = _messages(old), _messages(new)
        for name in sorted(before | after):
            at = f"{place} {name}"
            if name not in after:
                # One that waits for an answer that never comes is broken; one no longer told news is not.
                yield Difference(at, "removed", way is Way.IN or place.endswith("answer"))
            elif name not in before:
                yield Difference(at, "added", False)
            else:
                one = self.old["components"]["messages"][name]["payload"]
                two = self.new["components"]["messages"][name]["payload"]
                yield from self.schemas(at, one, two, way)

    # Schemas.

    def schemas(self, place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
        """What differs between two schemas whose values go one way."""
        if "$ref" in old and "$ref" in new:
            key = (old["$ref"], new["$ref"], way)
            if key in self.seen:
                return
            self.seen.add(key)
        old, new = _resolved(self.old, old), _resolved(self.new, new)
        yield from self._types(place, old, new, way)
        yield from _bounds(place, old, new, way)
        yield from _choices(place, old, new, way)
        yield from self._properties(place, old, new, way)
        if "items" in old and "items" in new:
            yield from self.schemas(f"{place}[]", old["items"], new["items"], way)

    def _types(self, place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
        before, after = _types(old), _types(new)
        if before == after or not before or not after:
            return
        wider, narrower = after - before, before - after
        breaks = bool(narrower) if way is Way.IN else bool(wider)
        # Any number may stand where an integer did for a sender, and the reverse for a reader.
        yield Difference(place, f"type {_said(before)} is {_said(after)} now", breaks)

    def _properties(self, place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
        before, after = old.get("properties", {}), new.get("properties", {})
        needed_before, needed_after = set(old.get("required", ())), set(new.get("required", ()))
        for name in sorted(before.keys() | after.keys()):
            at = f"{place}.{name}"
            if name not in after:
                # A front refuses what it does not know, and a reader misses what it relied on.
                yield Difference(at, "removed", True)
                continue
            if name not in before:
                yield Difference(at, "added", way is Way.IN and name in needed_after)
                continue
            if way is Way.IN and name in needed_after - needed_before:
                yield Difference(at, "is required now", True)
            if way is Way.OUT and name in needed_before - needed_after:
                yield Difference(at, "may be missing now", True)
            if name in needed_before ^ needed_after and not (
                (way is Way.IN and name in needed_after) or (way is Way.OUT and name in needed_before)
            ):
                yield Difference(at, "is optional now" if way is Way.IN else "is always there now", False)
            yield from self.schemas(at, before[name], after[name], way)


def _bounds(place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
    for names, sign in ((UPPER, 1), (LOWER, -1)):
        for name in names:
            before, after = old.get(name), new.get(name)
            if before == after:
                continue
            if before is None:
                wider = False
            elif after is None:
                wider = True
            else:
                wider = sign * (after - before) > 0
            yield Difference(place, f"{name} {before} is {after} now", wider is (way is Way.OUT))
    if old.get("pattern") != new.get("pattern"):
        breaks = new.get("pattern") is not None if way is Way.IN else old.get("pattern") is not None
        yield Difference(place, "the pattern is another", breaks)


def _choices(place: str, old: Document, new: Document, way: Way) -> Iterator[Difference]:
    before, after = old.get("enum"), new.get("enum")
    if before is None or after is None:
        return
    for value in sorted(map(str, set(before) - set(after))):
        yield Difference(place, f"{value!r} removed", way is Way.IN)
    for value in sorted(map(str, set(after) - set(before))):
        yield Difference(place, f"{value!r} added", way is Way.OUT and len(after) == 1)


def _types(schema: Document) -> set[str]:
    if "anyOf" in schema:
        return set().union(*(_types(part) for part in schema["anyOf"]))
    if "$ref" in schema:
        return {schema["$ref"].rpartition("/")[2]}
    found = schema.get("type")
    if found is None:
        return set()
    return {found} if isinstance(found, str) else set(found)


def _said(types: set[str]) -> str:
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


def _messages(operation: Document) -> set[str]:
    return {item["$ref"].rpartition("/")[2] for item in operation.get("messages", ())}


def stepped(old: str, new: str) -> bool:
    """Whether a version says that clients of the older one may break: another major number, or before 1.0
    another minor one.
    """
    one, two = ([int(part) for part in version.split(".")[:2]] for version in (old, new))
    return two[0] > one[0] or (one[0] == two[0] == 0 and two[1] > one[1])
