"""Every message of a front, held against its descriptions as it passes."""

from __future__ import annotations

from typing import Any

from fennelcove.api import asyncapi, openapi
from fennelcove.api.described import Described
from fennelcove.emulators.recorder import Recorder
from fennelcove.ingress.routes import LINES


class DescribedWitness:
    """Writes down what no description mentions; the judge takes each for a break."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.http = Described(openapi.document(LINES))
        self.socket = Described(asyncapi.document())

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> None:
        """An answer of the HTTP door."""
        self._note(self.http.answer(method, path, status, media, body))

    def message(self, told: dict[str, Any]) -> None:
        """A message of the WebSocket door."""
        self._note(self.socket.message(told))

    def _note(self, amiss: list[str]) -> None:
        for fault in amiss:
            self.recorder.note("undescribed", fault=fault)
