"""Checks messages and responses against an API description; scenarios check everything that a front sends.

Only the keywords of JSON Schema that the descriptions use are implemented. Any other keyword is reported as a
violation, so that no constraint is ignored without notice.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

KNOWN_KEYWORDS = {
    "$ref", "type", "properties", "required", "additionalProperties", "items", "enum", "const", "anyOf",
    "pattern", "minimum", "maximum", "exclusiveMinimum", "exclusiveMaximum", "minLength", "maxLength",
    "minItems", "maxItems", "title", "description", "default", "format", "discriminator", "oneOf",
}  # fmt: skip
PYTHON_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "number": (int, float),
    "integer": (int,),
    "boolean": (bool,),
    "object": (dict,),
    "array": (list,),
    "null": (type(None),),
}


class SchemaChecker:
    """Checks values against one OpenAPI or AsyncAPI document."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.operations: list[tuple[re.Pattern[str], dict[str, Any]]] = []
        for path, item in document.get("paths", {}).items():
            parts = re.split(r"\{([a-z_]+)\}", path)
            parameter_patterns = {
                parameter["name"]: parameter["schema"]["pattern"].strip("^$")
                for operation in item.values()
                for parameter in operation.get("parameters", ())
                if parameter["in"] == "path"
            }
            pattern_parts = [
                f"(?:{parameter_patterns[part]})" if i % 2 else re.escape(part)
                for i, part in enumerate(parts)
            ]
            self.operations.append((re.compile("".join(pattern_parts)), item))

    def message(self, message_fields: dict[str, Any], sent_by_front: bool = True) -> list[str]:
        """The violations in a message of the WebSocket API."""
        name = str(message_fields.get("type"))
        messages = self.document["components"]["messages"]
        if name not in messages:
            return [f"{name!r} is not a message of the description"]
        action = "send" if sent_by_front else "receive"
        if not any(name in names for names in self._message_names(action)):
            return [f"{name!r} is not {'sent' if sent_by_front else 'received'} by the front"]
        return list(self.violations(messages[name]["payload"], message_fields, name))

    def _message_names(self, action: str) -> Iterator[set[str]]:
        for operation in self.document["operations"].values():
            parts = [operation] if operation["action"] == action else []
            if action == "send" and "reply" in operation:
                parts.append(operation["reply"])
            for part in parts:
                yield {item["$ref"].rpartition("/")[2] for item in part["messages"]}

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> list[str]:
        """The violations in a response of the HTTP API; `body` is decoded if it is JSON."""
        for pattern, item in self.operations:
            operation = item.get(method.lower())
            if operation is None or pattern.fullmatch(path.partition("?")[0]) is None:
                continue
            response = operation["responses"].get(str(status))
            if response is None:
                return [f"{method} {path}: {status} is not described"]
            content = response.get("content", {})
            if not content:
                return [] if not body else [f"{method} {path}: {status} has a body that is not described"]
            if media not in content:
                return [f"{method} {path}: {status} has media type {media!r}, which is not described"]
            if not media.endswith("json"):
                return []
            return list(self.violations(content[media]["schema"], body, f"{method} {path} {status}"))
        return [f"{method} {path} is not described"]

    def violations(self, schema: dict[str, Any], value: Any, location: str) -> Iterator[str]:
        """Each violation of a schema by a value; `location` is the prefix of the messages."""
        unknown = schema.keys() - KNOWN_KEYWORDS
        if unknown:
            yield f"{location}: keywords that this check does not implement: {sorted(unknown)}"
            return
        if "$ref" in schema:
            yield from self.violations(self._resolve(schema["$ref"]), value, location)
            return
        for keyword in ("anyOf", "oneOf"):
            if keyword in schema:
                branches = [list(self.violations(part, value, location)) for part in schema[keyword]]
                if all(branches):
                    yield min(branches, key=len)[0]
                return
        if "const" in schema and value != schema["const"]:
            yield f"{location}: {value!r} is not {schema['const']!r}"
        if "enum" in schema and value not in schema["enum"]:
            yield f"{location}: {value!r} is not one of {schema['enum']}"
        if "type" in schema:
            names = [schema["type"]] if isinstance(schema["type"], str) else schema["type"]
            has_right_type = any(isinstance(value, PYTHON_TYPES[name]) for name in names)
            if not has_right_type or (isinstance(value, bool) and "boolean" not in names):
                yield f"{location}: {type(value).__name__} is not {' or '.join(names)}"
                return
        if isinstance(value, str):
            yield from self._string_violations(schema, value, location)
        elif isinstance(value, int | float) and not isinstance(value, bool):
            yield from _number_violations(schema, value, location)
        elif isinstance(value, dict):
            yield from self._object_violations(schema, value, location)
        elif isinstance(value, list) and "items" in schema:
            for i, item in enumerate(value):
                yield from self.violations(schema["items"], item, f"{location}[{i}]")

    def _string_violations(self, schema: dict[str, Any], value: str, location: str) -> Iterator[str]:
        if len(value) > schema.get("maxLength", len(value)) or len(value) < schema.get("minLength", 0):
            yield f"{location}: a string of {len(value)} characters, outside of its length limits"
        if "pattern" in schema and re.search(schema["pattern"], value) is None:
            yield f"{location}: {value[:40]!r} does not match its pattern"

    def _object_violations(
        self, schema: dict[str, Any], value: dict[str, Any], location: str
    ) -> Iterator[str]:
        properties = schema.get("properties", {})
        for name in schema.get("required", ()):
            if name not in value:
                yield f"{location}: {name} is missing"
        for name, item in value.items():
            if name in properties:
                yield from self.violations(properties[name], item, f"{location}.{name}")
            elif properties or schema.get("additionalProperties") is False:
                # The descriptions list all properties: any other was renamed, or was never described.
                yield f"{location}: {name} is not described"

    def _resolve(self, ref: str) -> dict[str, Any]:
        found: Any = self.document
        for part in ref.removeprefix("#/").split("/"):
            found = found[part]
        assert isinstance(found, dict)
        return found


def _number_violations(schema: dict[str, Any], value: float, location: str) -> Iterator[str]:
    low, high = schema.get("minimum"), schema.get("maximum")
    over, under = schema.get("exclusiveMinimum"), schema.get("exclusiveMaximum")
    if (
        (low is not None and value < low)
        or (high is not None and value > high)
        or (over is not None and value <= over)
        or (under is not None and value >= under)
    ):
        yield f"{location}: {value} is out of range"
