"""Clients made from the descriptions alone: no path, field or message name is written here."""

from __future__ import annotations

import json
import re
from typing import Any

from fennelcove.api.described import Described
from fennelcove.emulators.clients import HttpClient, Response
from fennelcove.emulators.sockets import WebSocketClient


class Undescribed(AssertionError):
    """The front said what its description does not mention, or refused what it promises."""


class GeneratedHttp:
    """Calls operations by their ids, with values for what the description names."""

    def __init__(self, document: dict[str, Any], player: HttpClient) -> None:
        self.document = document
        self.described = Described(document)
        self.player = player
        self.operations = {
            operation["operationId"]: (method.upper(), path, operation)
            for path, item in document["paths"].items()
            for method, operation in item.items()
        }

    def call(
        self, name: str, values: dict[str, Any], headers: list[tuple[str, str]] | None = None
    ) -> Response:
        """One operation; values are taken by their described names."""
        method, path, operation = self.operations[name]
        path = re.sub(r"\{([a-z_]+)\}", lambda match: str(values[match[1]]), path)
        fields, body = list(headers or []), b""
        if "requestBody" in operation:
            ((media, content),) = operation["requestBody"]["content"].items()
            schema = content["schema"]
            while "$ref" in schema:
                schema = self.described._resolve(schema["$ref"])
            told = {key: values[key] for key in schema["properties"] if key in values}
            amiss = list(self.described.amiss(content["schema"], told, name))
            if amiss:
                raise Undescribed(amiss)
            fields.append(("Content-Type", media))
            body = json.dumps(told).encode()
        heard = self.player.ask(method, path, fields, body, 10.0)
        media = (heard.head.get(b"content-type") or b"").decode()
        decoded = json.loads(heard.text) if media.endswith("json") else (heard.text or None)
        amiss = self.described.answer(method, path, heard.status, media, decoded)
        if amiss:
            raise Undescribed(amiss)
        return heard


class GeneratedSocket:
    """Sends requests by the names of their operations, and takes only what is described."""

    def __init__(self, document: dict[str, Any], player: WebSocketClient) -> None:
        self.document = document
        self.described = Described(document)
        self.player = player
        player.observer = self

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> None:
        raise Undescribed("no HTTP here")

    def message(self, told: dict[str, Any]) -> None:
        amiss = self.described.message(told)
        if amiss:
            raise Undescribed(amiss)

    def call(self, operation: str, values: dict[str, Any]) -> dict[str, Any]:
        """One request, and an answer that the description promises for it."""
        found = self.document["operations"][operation]
        (reference,) = found["messages"]
        name = reference["$ref"].rpartition("/")[2]
        schema = self.described._resolve(self.document["components"]["messages"][name]["payload"]["$ref"])
        told = {key: values[key] for key in schema["properties"] if key in values}
        amiss = self.described.message(
            {"type": name, "ref": "x", **told} if "ref" in schema["properties"] else {"type": name, **told},
            False,
        )
        if amiss:
            raise Undescribed(amiss)
        heard = self.player.ask(name, 10.0, **told)
        promised = {item["$ref"].rpartition("/")[2] for item in found["reply"]["messages"]}
        if heard["type"] not in promised:
            raise Undescribed(f"{heard['type']} answers {name}; described are {promised}")
        return heard
