"""Clients that are generated from the API descriptions: no path, field or message name is written here."""

from __future__ import annotations

import json
import re
from typing import Any

from fennelcove.api.schema_checker import SchemaChecker
from fennelcove.emulators.clients import HttpClient, Response
from fennelcove.emulators.websocket_client import WebSocketClient


class UndescribedError(AssertionError):
    """The front sent something that is not described, or rejected something that is."""


class GeneratedHttp:
    """Calls operations of the HTTP API by their operation ids."""

    def __init__(self, document: dict[str, Any], player: HttpClient) -> None:
        self.document = document
        self.described = SchemaChecker(document)
        self.player = player
        self.operations = {
            operation["operationId"]: (method.upper(), path, operation)
            for path, item in document["paths"].items()
            for method, operation in item.items()
        }

    def call(
        self, name: str, values: dict[str, Any], headers: list[tuple[str, str]] | None = None
    ) -> Response:
        """Call an operation; `values` has its parameters and body fields by their described names."""
        method, path, operation = self.operations[name]
        path = re.sub(r"\{([a-z_]+)\}", lambda match: str(values[match[1]]), path)
        fields, body = list(headers or []), b""
        if "requestBody" in operation:
            ((media, content),) = operation["requestBody"]["content"].items()
            schema = content["schema"]
            while "$ref" in schema:
                schema = self.described._resolve(schema["$ref"])
            message_fields = {key: values[key] for key in schema["properties"] if key in values}
            violations = list(self.described.violations(content["schema"], message_fields, name))
            if violations:
                raise UndescribedError(violations)
            fields.append(("Content-Type", media))
            body = json.dumps(message_fields).encode()
        response = self.player.ask(method, path, fields, body, 10.0)
        media = (response.head.get(b"content-type") or b"").decode()
        decoded = json.loads(response.text) if media.endswith("json") else (response.text or None)
        violations = self.described.answer(method, path, response.status, media, decoded)
        if violations:
            raise UndescribedError(violations)
        return response


class GeneratedSocket:
    """Sends requests of the WebSocket API by the names of their operations, and checks what it receives."""

    def __init__(self, document: dict[str, Any], player: WebSocketClient) -> None:
        self.document = document
        self.described = SchemaChecker(document)
        self.player = player
        player.observer = self

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> None:
        raise UndescribedError("an HTTP response on a WebSocket connection")

    def message(self, message_fields: dict[str, Any]) -> None:
        violations = self.described.message(message_fields)
        if violations:
            raise UndescribedError(violations)

    def call(self, operation: str, values: dict[str, Any]) -> dict[str, Any]:
        """Send a request; returns the reply, which must be one that is described for the request."""
        found = self.document["operations"][operation]
        (reference,) = found["messages"]
        name = reference["$ref"].rpartition("/")[2]
        schema = self.described._resolve(self.document["components"]["messages"][name]["payload"]["$ref"])
        message_fields = {key: values[key] for key in schema["properties"] if key in values}
        violations = self.described.message(
            {"type": name, "ref": "x", **message_fields}
            if "ref" in schema["properties"]
            else {"type": name, **message_fields},
            False,
        )
        if violations:
            raise UndescribedError(violations)
        response = self.player.ask(name, 10.0, **message_fields)
        expected_replies = {item["$ref"].rpartition("/")[2] for item in found["reply"]["messages"]}
        if response["type"] not in expected_replies:
            raise UndescribedError(
                f"{response['type']} received in reply to {name}; described are {expected_replies}"
            )
        return response
