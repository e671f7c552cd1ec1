"""The HTTP door as OpenAPI 3.1, from the route table and the typed bodies."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from fennelcove.api.operations import JSON, OPERATIONS, PROBLEM, Operation
from fennelcove.hints import cmcd
from fennelcove.wire import sessions
from fennelcove.wire.orders import COMMANDS

Line = tuple[str, str, Callable[..., Any], str]
REF = "#/components/schemas/{name}"
GENERAL = ("too-slow", "malformed")
PARTS = {
    "id": ("The subscription", "^[0-9a-f]{1,16}-[0-9a-f]{24}$"),
    "change": ("The change", "^[A-Za-z0-9._-]{1,64}$"),
    "manifest": ("Which manifest", "^(master\\.m3u8|media\\.m3u8|manifest\\.mpd)$"),
    "seq": ("The segment's media sequence number", "^[0-9]{1,9}$"),
    "clip": ("The change whose clip it is", "^[A-Za-z0-9._-]{1,64}$"),
    "clip_segment": ("The change, and the segment's number", "^[A-Za-z0-9._-]{1,64}/[0-9]{1,9}$"),
    "command": ("What to do", f"^({'|'.join(COMMANDS)})$"),
    "init": ("The rendition: media, a slash, the rung, .mp4", "^[A-Za-z0-9._-]{1,64}/[0-9]{1,4}\\.mp4$"),
}


def document(lines: Sequence[Line]) -> dict[str, Any]:
    """The whole description.

    Raises:
        ValueError: a route without a description, or a description without a route.
    """
    named = {name for *_, name in lines}
    if named != set(OPERATIONS):
        raise ValueError(f"routes and descriptions differ: {sorted(named ^ set(OPERATIONS))}")
    paths: dict[str, dict[str, Any]] = {}
    for method, path, _, name in lines:
        paths.setdefault(path, {})[method.lower()] = _operation(name, path, OPERATIONS[name])
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "fennelcove session interface",
            "version": sessions.VERSION,
            "description": "Set up, watch and release subscriptions; read manifests; change lessons. "
            "Players send CMCD (CTA-5004) and read CMSD (CTA-5006).",
            "license": {"name": "MIT", "identifier": "MIT"},
        },
        "servers": [{"url": "/"}],
        "paths": paths,
        "components": {
            "schemas": _schemas(),
            "securitySchemes": {
                "pass": {"type": "http", "scheme": "bearer", "description": "A viewer's pass"},
                "author": {"type": "http", "scheme": "bearer", "description": "An author's key"},
            },
        },
    }


def text(lines: Sequence[Line]) -> str:
    """The description as it is kept and served."""
    return json.dumps(document(lines), indent=1, ensure_ascii=False, sort_keys=True) + "\n"


def _bodies() -> list[Any]:
    found: list[Any] = [sessions.Problem]
    for operation in OPERATIONS.values():
        found += [operation.body] if operation.body is not None else []
        found += [answer.body for answer in operation.answers.values() if answer.body is not None]
    return found


def _schemas() -> dict[str, Any]:
    _, schemas = msgspec.json.schema_components(_bodies(), ref_template=REF)
    schemas["Problem"]["properties"]["type"]["enum"] = [
        f"urn:fennelcove:problem:{kind}" for kind in sorted(sessions.PROBLEM_KINDS)
    ]
    return schemas


def _schema(body: Any) -> dict[str, Any]:
    (schema,), _ = msgspec.json.schema_components([body], ref_template=REF)
    return schema


def _operation(name: str, path: str, operation: Operation) -> dict[str, Any]:
    parameters: list[dict[str, Any]] = []
    for part in re.findall(r"\{([a-z_]+)\}", path):
        says, pattern = PARTS[part]
        schema = {"type": "string", "pattern": pattern}
        parameters.append(
            {"name": part, "in": "path", "required": True, "description": says, "schema": schema}
        )
    for key, says in operation.query.items():
        parameters.append({"name": key, "in": "query", "description": says, "schema": {"type": "string"}})
    if operation.cmcd:
        for header in cmcd.NAMES:
            parameters.append({"name": header, "in": "header", "schema": {"type": "string"}})
        parameters.append({"name": "CMCD", "in": "query", "schema": {"type": "string"}})
    found: dict[str, Any] = {
        "operationId": name,
        "summary": operation.summary,
        "responses": _responses(operation),
    }
    if parameters:
        found["parameters"] = parameters
    if operation.body is not None:
        found["requestBody"] = {"required": True, "content": {JSON: {"schema": _schema(operation.body)}}}
    if operation.security:
        # A front without a key file of viewers asks nobody for a pass.
        found["security"] = [{operation.security: []}, *([{}] if operation.security == "pass" else [])]
    return found


def _responses(operation: Operation) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for status, answer in operation.answers.items():
        told: dict[str, Any] = {"description": answer.says}
        if answer.headers:
            told["headers"] = {name: {"schema": {"type": "string"}} for name in answer.headers}
        if answer.body is not None:
            told["content"] = {JSON: {"schema": _schema(answer.body)}}
        elif answer.media and answer.media != (JSON,):
            told["content"] = {media: {"schema": {"type": "string"}} for media in answer.media}
        found[str(status)] = told
    kinds: dict[int, list[str]] = {}
    for kind in dict.fromkeys(
        (*operation.problems, *GENERAL, *(("not-json",) if operation.body or operation.sealed else ()))
    ):
        for status in sessions.PROBLEM_STATUSES.get(kind, (sessions.PROBLEM_KINDS[kind][0],)):
            kinds.setdefault(status, []).append(kind)
    for status, names in sorted(kinds.items()):
        told = {"description": ", ".join(names), "content": {PROBLEM: {"schema": _schema(sessions.Problem)}}}
        if {"throttled", "moving"} & set(names):
            told["headers"] = {"Retry-After": {"schema": {"type": "integer"}}}
        found[str(status)] = told
    return found
