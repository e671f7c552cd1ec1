"""The WebSocket door as AsyncAPI 3.0, from the typed messages of either side."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from fennelcove.wire import sessions
from fennelcove.wire import socket as wire

REF = "#/components/schemas/{name}"


def tag(kind: type[msgspec.Struct]) -> str:
    """A message's word on the wire."""
    return str(kind.__struct_config__.tag)


def told() -> list[type[msgspec.Struct]]:
    """Everything that the front may say."""
    return sorted(wire.FrontMessage.__args__, key=tag)


def asked() -> list[type[msgspec.Struct]]:
    """Everything that a player may say."""
    return sorted(wire.Request.__args__, key=tag)


def document() -> dict[str, Any]:
    """The whole description."""
    _, schemas = msgspec.json.schema_components([*told(), *asked()], ref_template=REF)
    messages = {}
    for kind in [*asked(), *told()]:
        messages[tag(kind)] = {
            "name": tag(kind),
            "summary": " ".join((kind.__doc__ or "").split()),
            "contentType": "application/json",
            "payload": {"$ref": REF.format(name=kind.__name__)},
        }
    operations: dict[str, Any] = {}
    for request in asked():
        answers = wire.RESPONSE_TYPES[request]
        operation: dict[str, Any] = {
            "action": "receive",
            "channel": {"$ref": "#/channels/session"},
            "messages": [_in_channel(request)],
        }
        if answers:
            operation["reply"] = {
                "channel": {"$ref": "#/channels/session"},
                "messages": [_in_channel(kind) for kind in answers],
            }
        operations[f"on-{tag(request)}"] = operation
    operations["news"] = {
        "action": "send",
        "channel": {"$ref": "#/channels/session"},
        "summary": "Said without being asked",
        "messages": [_in_channel(kind) for kind in sorted(wire.NOTIFICATION_TYPES, key=tag)],
    }
    return {
        "asyncapi": "3.0.0",
        "info": {
            "title": "fennelcove session interface over WebSocket",
            "version": sessions.VERSION,
            "description": f"One connection, subprotocol {wire.SUBPROTOCOL}; every message is a JSON text.",
        },
        "servers": {"front": {"host": "localhost", "protocol": "ws"}},
        "defaultContentType": "application/json",
        "channels": {
            "session": {
                "address": wire.PATH,
                "messages": {name: {"$ref": f"#/components/messages/{name}"} for name in messages},
                "bindings": {"ws": {"method": "GET", "bindingVersion": "0.1.0"}},
            }
        },
        "operations": operations,
        "components": {"messages": messages, "schemas": schemas},
    }


def text() -> str:
    """The description as it is kept and served."""
    return json.dumps(document(), indent=1, ensure_ascii=False, sort_keys=True) + "\n"


def _in_channel(kind: type[msgspec.Struct]) -> dict[str, str]:
    return {"$ref": f"#/channels/session/messages/{tag(kind)}"}
