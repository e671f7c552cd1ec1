"""Parses and validates a client's set-up request completely before any of it is used."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from fennelcove.interface import Request, Settings
from fennelcove.rtsp import messages

MAX_TIMEOUT_MS = 3_600_000
MAX_CLIENT_ID_CHARS = 16
_TITLE_ADDRESS = re.compile(r"rtsp://media/([0-9a-f]{1,16})")
_INTEGER = re.compile(r"[0-9]{1,9}")


class InvalidRequestError(Exception):
    """A set-up request with a field that is missing, malformed or out of its range."""


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A valid set-up request."""

    request: Request
    current_server: str  # the server where the session is established already; empty for a new session
    client_id: str


def parse_setup(settings: Settings, message: messages.Request, key: str) -> SetupRequest:
    """Parse and validate the set-up request of the session whose id in the placement policy is `key`.

    Raises:
        InvalidRequestError: a field is missing, malformed or out of its range.
    """
    routing = _parse_routing(message.fields.get("routing-data", ""))
    title = _TITLE_ADDRESS.fullmatch(message.uri)
    service_class = message.fields.get("call-kind", "")
    if title is None or service_class not in settings.service_classes:
        raise InvalidRequestError
    request = Request(
        id=key,
        service_class=service_class,
        title=int(title[1], 16),
        first_cell=_parse_integer(routing, "home", 0, settings.cell_count - 1),
        cell_count=_parse_integer(routing, "copies", 1, settings.cell_count),
        top_rung=_parse_integer(routing, "top", 0, len(settings.ladder_kb) - 1),
        timeout_us=0 if "at" in routing else _parse_timeout_us(message.fields.get("answer-within", "")),
        is_repeat=routing.get("again", "0") == "1",
    )
    return SetupRequest(
        request=request,
        current_server=routing.get("at", ""),
        client_id=routing.get("viewer", "")[:MAX_CLIENT_ID_CHARS],
    )


def expects_answer(message: messages.Request) -> bool:
    """Whether a set-up request is to be answered; one that hands over an established session is not."""
    routing = message.fields.get("routing-data", "")
    return not any(part.startswith("at:") and part != "at:" for part in routing.split(";"))


def _parse_routing(raw: str) -> dict[str, str]:
    """Parse parts of the form `name:value`; a name may occur only once."""
    values: dict[str, str] = {}
    for part in raw.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in values:
            raise InvalidRequestError
        values[name] = value
    return values


def _parse_integer(routing: dict[str, str], name: str, minimum: int, maximum: int) -> int:
    raw = routing.get(name, "")
    if _INTEGER.fullmatch(raw) is None or not minimum <= int(raw) <= maximum:
        raise InvalidRequestError
    return int(raw)


def _parse_timeout_us(raw: str) -> int:
    """Parse the client's timeout, given in milliseconds."""
    try:
        timeout_ms = float(raw)
    except ValueError:
        raise InvalidRequestError from None
    if not math.isfinite(timeout_ms) or not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        raise InvalidRequestError
    return round(timeout_ms * 1000)
