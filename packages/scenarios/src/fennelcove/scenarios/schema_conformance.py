"""Checks every message of a front against the published API descriptions."""

from __future__ import annotations

from typing import Any

from fennelcove.api import asyncapi, openapi
from fennelcove.api.schema_checker import SchemaChecker
from fennelcove.emulators.recorder import Recorder
from fennelcove.ingress.routes import ROUTE_TABLE


class ConformanceWitness:
    """Records whatever the descriptions do not cover; the checker reports each as a violation."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.http = SchemaChecker(openapi.document(ROUTE_TABLE))
        self.socket = SchemaChecker(asyncapi.document())

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> None:
        """Check a response of the HTTP interface."""
        self._note(self.http.answer(method, path, status, media, body))

    def message(self, fields: dict[str, Any]) -> None:
        """Check a message of the WebSocket interface."""
        self._note(self.socket.message(fields))

    def _note(self, faults: list[str]) -> None:
        for fault in faults:
            self.recorder.note("undescribed", fault=fault)
