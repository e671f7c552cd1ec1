"""Structured logging: human-readable lines on a terminal, JSON lines otherwise."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import msgspec
import structlog
from fennelcove.core.requests import EventLogger

LOG_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# Events that an operator should look at; all others are part of normal operation.
WARNINGS = frozenset(
    {
        "accept_failed",
        "server_lost",
        "feed_broken",
        "feeds_full",
        "list_call_failed",
        "endpoint_list_rejected",
        "ledger_line_passed_over",
        "list_stream_broken",
        "migration_abandoned",
    }
)
ERRORS = frozenset({"connection_failed", "subscription_failed", "timer_failed"})


def _json(fields: Any, **_: Any) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()


def configure(front: str, level: str = "info", stream: TextIO | None = None) -> EventLogger:
    """A function that logs one event, to standard error unless another stream is given."""
    stream_in_use = stream or sys.stderr
    human = stream_in_use.isatty()
    renderer: Any = structlog.dev.ConsoleRenderer() if human else structlog.processors.JSONRenderer(_json)
    timestamper = structlog.processors.TimeStamper(fmt="iso", utc=True)
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream_in_use),
        processors=[structlog.processors.add_log_level, timestamper, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVELS[level]),
        cache_logger_on_first_use=True,
    )
    bound = logger.bind(front=front)

    def log_event(event: str, **fields: object) -> None:
        if event in ERRORS:
            bound.error(event, **fields)
        elif event in WARNINGS:
            bound.warning(event, **fields)
        elif event == "join_over":
            bound.debug(event, **fields)
        else:
            bound.info(event, **fields)

    return log_event


def silent(event: str, **fields: object) -> None:
    """Discards an event; for callers that need no log."""
