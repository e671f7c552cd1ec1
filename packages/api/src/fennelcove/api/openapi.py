"""Describes the HTTP API as OpenAPI 3.1, from the route table and the types of the bodies."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from fennelcove.api.operations import JSON_MEDIA_TYPE, OPERATIONS, PROBLEM_MEDIA_TYPE, Operation
from fennelcove.hints import cmcd
from fennelcove.wire import sessions
from fennelcove.wire.operator_commands import COMMANDS

Route = tuple[str, str, Callable[..., Any], str]
REF_TEMPLATE = "#/components/schemas/{name}"
GENERAL_PROBLEMS = ("too-slow", "malformed")
PATH_PARAMETERS = {
    "id": ("The id of the session", "^[0-9a-f]{1,16}-[0-9a-f]{24}$"),
    "change": ("The id of the change", "^[A-Za-z0-9._-]{1,64}$"),
    "manifest": ("The name of the manifest", "^(master\\.m3u8|media\\.m3u8|manifest\\.mpd)$"),
    "seq": ("The media sequence number of the segment", "^[0-9]{1,9}$"),
    "clip": ("The id of the change that inserted the clip", "^[A-Za-z0-9._-]{1,64}$"),
    "clip_segment": (
        "The id of the change, a slash, and the number of the segment",
        "^[A-Za-z0-9._-]{1,64}/[0-9]{1,9}$",
    ),
    "command": ("The name of the command", f"^({'|'.join(COMMANDS)})$"),
    "init": (
        "The rendition: the media, a slash, the rung, and .mp4",
        "^[A-Za-z0-9._-]{1,64}/[0-9]{1,4}\\.mp4$",
    ),
}


def document(routes: Sequence[Route]) -> dict[str, Any]:
    """The OpenAPI document.

    Raises:
        ValueError: a route has no description, or a description no route.
    """
    routed_operations = {name for *_, name in routes}
    if routed_operations != set(OPERATIONS):
        raise ValueError(f"routes and descriptions differ: {sorted(routed_operations ^ set(OPERATIONS))}")
    paths: dict[str, dict[str, Any]] = {}
    for method, path, _, name in routes:
        paths.setdefault(path, {})[method.lower()] = _operation(name, path, OPERATIONS[name])
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "fennelcove session interface",
            "version": sessions.VERSION,
            "description": "Set up, observe and release sessions; read manifests; change titles while they "
            "play. Players send CMCD (CTA-5004) and read CMSD (CTA-5006).",
            "license": {"name": "MIT", "identifier": "MIT"},
        },
        "servers": [{"url": "/"}],
        "paths": paths,
        "components": {
            "schemas": _schemas(),
            "securitySchemes": {
                "pass": {"type": "http", "scheme": "bearer", "description": "An access token of a client"},
                "author": {"type": "http", "scheme": "bearer", "description": "The key of an author"},
            },
        },
    }


def text(routes: Sequence[Route]) -> str:
    """The document as JSON text, as it is served and committed to the repository."""
    return json.dumps(document(routes), indent=1, ensure_ascii=False, sort_keys=True) + "\n"


def _bodies() -> list[Any]:
    bodies: list[Any] = [sessions.Problem]
    for operation in OPERATIONS.values():
        bodies += [operation.body] if operation.body is not None else []
        bodies += [response.body for response in operation.responses.values() if response.body is not None]
    return bodies


def _schemas() -> dict[str, Any]:
    _, schemas = msgspec.json.schema_components(_bodies(), ref_template=REF_TEMPLATE)
    schemas["Problem"]["properties"]["type"]["enum"] = [
        f"urn:fennelcove:problem:{kind}" for kind in sorted(sessions.PROBLEM_KINDS)
    ]
    return schemas


def _schema(body: Any) -> dict[str, Any]:
    (schema,), _ = msgspec.json.schema_components([body], ref_template=REF_TEMPLATE)
    return schema


def _operation(name: str, path: str, operation: Operation) -> dict[str, Any]:
    parameters: list[dict[str, Any]] = []
    for part in re.findall(r"\{([a-z_]+)\}", path):
        description, pattern = PATH_PARAMETERS[part]
        schema = {"type": "string", "pattern": pattern}
        parameters.append(
            {"name": part, "in": "path", "required": True, "description": description, "schema": schema}
        )
    for key, description in operation.query.items():
        parameters.append(
            {"name": key, "in": "query", "description": description, "schema": {"type": "string"}}
        )
    if operation.accepts_cmcd:
        for header in cmcd.HEADER_NAMES:
            parameters.append({"name": header, "in": "header", "schema": {"type": "string"}})
        parameters.append({"name": "CMCD", "in": "query", "schema": {"type": "string"}})
    operation_object: dict[str, Any] = {
        "operationId": name,
        "summary": operation.summary,
        "responses": _responses(operation),
    }
    if parameters:
        operation_object["parameters"] = parameters
    if operation.body is not None:
        operation_object["requestBody"] = {
            "required": True,
            "content": {JSON_MEDIA_TYPE: {"schema": _schema(operation.body)}},
        }
    if operation.security:
        # Without a key file for clients, a front requires no access token.
        operation_object["security"] = [
            {operation.security: []},
            *([{}] if operation.security == "pass" else []),
        ]
    return operation_object


def _responses(operation: Operation) -> dict[str, Any]:
    responses: dict[str, Any] = {}
    for status, response in operation.responses.items():
        response_object: dict[str, Any] = {"description": response.description}
        if response.headers:
            response_object["headers"] = {name: {"schema": {"type": "string"}} for name in response.headers}
        if response.body is not None:
            response_object["content"] = {JSON_MEDIA_TYPE: {"schema": _schema(response.body)}}
        elif response.media and response.media != (JSON_MEDIA_TYPE,):
            response_object["content"] = {media: {"schema": {"type": "string"}} for media in response.media}
        responses[str(status)] = response_object
    kinds: dict[int, list[str]] = {}
    for kind in dict.fromkeys(
        (
            *operation.problems,
            *GENERAL_PROBLEMS,
            *(("not-json",) if operation.body or operation.is_signed else ()),
        )
    ):
        for status in sessions.PROBLEM_STATUSES.get(kind, (sessions.PROBLEM_KINDS[kind][0],)):
            kinds.setdefault(status, []).append(kind)
    for status, names in sorted(kinds.items()):
        response_object = {
            "description": ", ".join(names),
            "content": {PROBLEM_MEDIA_TYPE: {"schema": _schema(sessions.Problem)}},
        }
        if {"throttled", "moving"} & set(names):
            response_object["headers"] = {"Retry-After": {"schema": {"type": "integer"}}}
        responses[str(status)] = response_object
    return responses
