"""Describes the WebSocket API as AsyncAPI 3.0, from the message types."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from fennelcove.wire import sessions
from fennelcove.wire import websocket_messages as wire

REF_TEMPLATE = "#/components/schemas/{name}"


def tag(message_type: type[msgspec.Struct]) -> str:
    """The value of the field `type` that identifies a message type on the wire."""
    return str(message_type.__struct_config__.tag)


def sent_messages() -> list[type[msgspec.Struct]]:
    """All message types that the front sends, ordered by tag."""
    return sorted(wire.FrontMessage.__args__, key=tag)


def received_messages() -> list[type[msgspec.Struct]]:
    """All message types that the front receives from players, ordered by tag."""
    return sorted(wire.Request.__args__, key=tag)


def document() -> dict[str, Any]:
    """The AsyncAPI document."""
    _, schemas = msgspec.json.schema_components(
        [*sent_messages(), *received_messages()], ref_template=REF_TEMPLATE
    )
    messages = {}
    for message_type in [*received_messages(), *sent_messages()]:
        messages[tag(message_type)] = {
            "name": tag(message_type),
            "summary": " ".join((message_type.__doc__ or "").split()),
            "contentType": "application/json",
            "payload": {"$ref": REF_TEMPLATE.format(name=message_type.__name__)},
        }
    operations: dict[str, Any] = {}
    for request_type in received_messages():
        response_types = wire.RESPONSE_TYPES[request_type]
        operation: dict[str, Any] = {
            "action": "receive",
            "channel": {"$ref": "#/channels/session"},
            "messages": [_message_reference(request_type)],
        }
        if response_types:
            operation["reply"] = {
                "channel": {"$ref": "#/channels/session"},
                "messages": [_message_reference(message_type) for message_type in response_types],
            }
        operations[f"on-{tag(request_type)}"] = operation
    operations["news"] = {
        "action": "send",
        "channel": {"$ref": "#/channels/session"},
        "summary": "Sent by the front without a request",
        "messages": [
            _message_reference(message_type) for message_type in sorted(wire.NOTIFICATION_TYPES, key=tag)
        ],
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
    """The document as JSON text, as it is served and committed to the repository."""
    return json.dumps(document(), indent=1, ensure_ascii=False, sort_keys=True) + "\n"


def _message_reference(message_type: type[msgspec.Struct]) -> dict[str, str]:
    return {"$ref": f"#/channels/session/messages/{tag(message_type)}"}
