"""HTTP responses of the session interface: statuses, problem details, Retry-After and CMSD."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from fennelcove.core.requests import ResponseKind, Session, SessionResponse, SessionView
from fennelcove.decisions.clients.admission import retry_after_s
from fennelcove.decisions.servers.load_signals import KBIT_PER_KB
from fennelcove.hints import cmsd
from fennelcove.http1 import writer
from fennelcove.wire.sessions import Playing, Problem, Rung, problem
from msgspec import UNSET, UnsetType

JSON = ("Content-Type", "application/json")
PROBLEM_JSON = ("Content-Type", "application/problem+json")
MAX_SERVER_HOP_CHARACTERS = 1024  # longer hop entries of servers are not passed on


@dataclass(slots=True)
class Reply:
    """A response before it is encoded."""

    status: int
    fields: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    close: bool = False

    def to_bytes(self, close: bool) -> bytes:
        """Encode the response; `close` adds `Connection: close`."""
        return writer.response(self.status, self.fields, self.body, self.close or close)


def fault(kind: str, detail: str = "", status: int | None = None, close: bool = False) -> Reply:
    """An error in the request itself, as problem details."""
    return _problem(problem(kind, detail, status), close)


def _problem(details: Problem, close: bool = False) -> Reply:
    return Reply(details.status, [PROBLEM_JSON], msgspec.json.encode(details), close)


def playing_state(view: SessionView, attempts: int | UnsetType = UNSET) -> Playing:
    """The state of a playing session, as sent over HTTP and WebSocket."""
    return Playing(
        id=view.id,
        state="playing",
        title=view.title,
        room_type=view.service_class,
        box=view.server,
        rung=view.rung,
        top_rung=view.top_rung,
        rate_kb=view.rate_kb,
        poll_after_ms=view.poll_interval_us / 1000,
        joins=attempts,
        seat_for_ms=UNSET if view.seat_remaining_us is None else view.seat_remaining_us / 1000,
    )


def playing(session: Session, view: SessionView, hops: str, front: str, took_us: int) -> Reply:
    """201: the session is playing."""
    fields = [JSON, ("Location", f"/v1/subscriptions/{view.id}"), *cmsd_fields(view, hops, front, took_us)]
    return Reply(201, fields, msgspec.json.encode(playing_state(view, session.attempt_count)))


def state(view: SessionView, front: str) -> Reply:
    """200: the state of a playing session."""
    return Reply(200, [JSON, *cmsd_fields(view, "", front, None)], msgspec.json.encode(playing_state(view)))


def rung(view: SessionView, front: str) -> Reply:
    """200: the current rung."""
    body = Rung(rung=view.rung, top_rung=view.top_rung, rate_kb=view.rate_kb)
    return Reply(200, [JSON, *cmsd_fields(view, "", front, None)], msgspec.json.encode(body))


def cmsd_fields(view: SessionView, hops: str, front: str, took_us: int | None) -> list[tuple[str, str]]:
    """Return the CMSD fields (CTA-5006): the rate, then the entry of each hop, the front's own last."""
    kbit = round(view.rate_kb * KBIT_PER_KB)
    own_values: dict[str, int | float | str | bool | bytes] = {"mb": kbit}
    if took_us is not None:
        own_values["rd"] = took_us // 1000
    own_hop = cmsd.write_hop(front, own_values)
    dynamic = f"{hops}, {own_hop}" if hops and len(hops) <= MAX_SERVER_HOP_CHARACTERS else own_hop
    return [("CMSD-Static", cmsd.write_static({"br": kbit})), ("CMSD-Dynamic", dynamic)]


def rejected(response: SessionResponse, front: str, session: Session | None, timed_out: bool) -> Reply:
    """503 with a time to retry, or 502 or 504 without one if an attempt may have run."""
    instance = f"/v1/subscriptions/{session.id}" if session is not None else ""
    if response.kind is ResponseKind.REJECTED:
        details = problem(
            "throttled", response.reason, instance=instance, retry_after_ms=response.retry_after_us / 1000
        )
        if response.queue_ticket:
            details = msgspec.structs.replace(
                details, latest_ms=response.retry_until_us / 1000, place=response.queue_ticket
            )
        reply = _problem(details)
        reply.fields.append(("Retry-After", str(retry_after_s(response.retry_after_us))))
        reply.fields.append(("CMSD-Dynamic", cmsd.write_hop(front, {"du": True})))
        return reply
    status = 504 if timed_out else 502
    return _problem(problem("terminated", response.reason, status, instance, may_have_run=True))
