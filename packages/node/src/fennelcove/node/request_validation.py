"""What a viewer's message means: checked whole before anything behind the door sees it."""

from __future__ import annotations

import math
import re
from typing import Protocol

from fennelcove.interface import Request, Settings
from fennelcove.node import session_states
from fennelcove.node.config import Config
from fennelcove.node.model import ClientLink, SessionState, Session
from fennelcove.node.session_states import SessionEvent, SessionActions
from fennelcove.rtsp import messages, writer

_ID = re.compile(r"[0-9a-fA-F]{16}")
_TITLE = re.compile(r"rtsp://media/([0-9a-f]{1,16})")
_WHOLE = re.compile(r"[0-9]{1,9}")
MOST_WAIT_MS = 3_600_000
MOST_OPEN_HERE = 256  # set-ups open on one connection
MOST_FIGURES = 64  # of viewers, remembered of one connection
MOST_HELD = 10_000  # set-ups and subscriptions of a node


class Counter(SessionActions, Protocol):
    """What stands behind the door; its lock is held."""

    config: Config
    stopping: bool
    sessions: dict[bytes, Session]

    def deliver(self, viewer: ClientLink) -> None: ...

    def seated(self, viewer: ClientLink) -> bool: ...

    def take(self, session: Session, request: Request) -> None: ...

    def adopt(self, session: Session, request: Request, server: str) -> bool: ...


class InvalidRequestError(Exception):
    """A set-up that can't be used."""


def hear(desk: Counter, viewer: ClientLink, message: messages.Message, gone: bool = False) -> None:
    """Act on one message; the desk's lock is held. `gone`: nobody waits for an answer to it by now."""
    if isinstance(message, messages.Answer):
        return  # a release that was heard
    echo = [
        (name, message.fields[name.lower()]) for name in ("CSeq", "Session") if name.lower() in message.fields
    ]
    session = message.fields.get("session", "")
    if message.method != "OPTIONS":  # tests come from the platform, not from viewers
        desk.deliver(viewer)
    if message.method == "OPTIONS":
        viewer.send(writer.answer(503 if desk.stopping else 200, *echo))
    elif _ID.fullmatch(session) is None:
        viewer.send(writer.answer(400, *echo))
    elif message.method == "SETUP" and gone and waits(message):
        viewer.withdrawn.add(bytes.fromhex(session))
    elif message.method == "SETUP":
        set_up(desk, viewer, message, session)
    elif message.method == "TEARDOWN":
        found = tear_down(desk, viewer, bytes.fromhex(session))
        viewer.send(writer.answer(200 if found else 454, *echo))
    else:
        viewer.send(writer.answer(501, *echo))


def waits(message: messages.Request) -> bool:
    """Whether an answer to this set-up is owed; what plays already is only named."""
    routing = message.fields.get("routing-data", "")
    return not any(part.startswith("at:") and part != "at:" for part in routing.split(";"))


def set_up(desk: Counter, viewer: ClientLink, message: messages.Request, session: str) -> None:
    """A subscription to set up, or one that plays already."""
    cseq = message.fields.get("cseq", "1")
    echo = (("CSeq", cseq), ("Session", session))
    id = bytes.fromhex(session)
    held = desk.sessions.get(id)
    try:
        routing = parts(message.fields.get("routing-data", ""))
        at = routing.get("at", "")
        request = checked(desk.config.settings, message, id.hex(), routing)
    except InvalidRequestError:
        viewer.send(writer.answer(451, *echo))
        return
    if held is not None:
        if at:
            return  # it may name what is held already
        if held.viewer is viewer and held.state is not SessionState.STANDING:
            # One answer is owed under this id; a refusal here would be taken for it.
            viewer.shut()
            return
        viewer.send(writer.answer(455, *echo))
        return
    title = message.address.rpartition("/")[2]
    sub = Session(id, session, cseq, request.service_class, title, message.body, viewer, viewer.peer)
    sub.figure = routing.get("viewer", "")[:16]
    viewer.figures.pop(sub.figure, None)  # the latest last
    viewer.figures[sub.figure] = None
    if len(viewer.figures) > MOST_FIGURES:
        del viewer.figures[next(iter(viewer.figures))]
    if at:
        if not desk.seated(viewer):
            sub.viewer = None  # what stands belongs to no connection, and this one may have to go for others
        if len(desk.sessions) < MOST_HELD:
            desk.adopt(sub, request, at)
    elif len(viewer.open) >= MOST_OPEN_HERE or len(desk.sessions) >= MOST_HELD:
        viewer.send(writer.answer(503, *echo))
    elif not desk.seated(viewer):
        wait_us = desk.config.settings.retry_after_us
        come_back = (("Come-Back-Ms", str(max(1, wait_us // 1000))),) if wait_us else ()
        viewer.send(writer.answer(503, *echo, *come_back))
    else:
        desk.take(sub, request)


def checked(settings: Settings, message: messages.Request, key: str, routing: dict[str, str]) -> Request:
    """The set-up as the module takes it.

    Raises:
        Unfit: a field that is missing, of another form or out of its range.
    """
    title = _TITLE.fullmatch(message.address)
    service_class = message.fields.get("call-kind", "")
    if title is None or service_class not in settings.service_classes:
        raise InvalidRequestError
    return Request(
        id=key,
        service_class=service_class,
        title=int(title[1], 16),
        first_cell=whole(routing, "home", 0, settings.cells - 1),
        cell_count=whole(routing, "copies", 1, settings.cells),
        top_rung=whole(routing, "top", 0, len(settings.ladder_kb) - 1),
        timeout_us=0 if "at" in routing else wait_us(message.fields.get("answer-within", "")),
        returned=routing.get("again", "0") == "1",
    )


def parts(raw: str) -> dict[str, str]:
    """`name:value` parts, each name once.

    Raises:
        Unfit: another form.
    """
    found: dict[str, str] = {}
    for part in raw.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in found:
            raise InvalidRequestError
        found[name] = value
    return found


def whole(routing: dict[str, str], name: str, least: int, most: int) -> int:
    raw = routing.get(name, "")
    if _WHOLE.fullmatch(raw) is None or not least <= int(raw) <= most:
        raise InvalidRequestError
    return int(raw)


def wait_us(raw: str) -> int:
    """How long the viewer waits, from milliseconds."""
    try:
        value = float(raw)
    except ValueError:
        raise InvalidRequestError from None
    if not math.isfinite(value) or not 0 < value <= MOST_WAIT_MS:
        raise InvalidRequestError
    return round(value * 1000)


def tear_down(desk: Counter, viewer: ClientLink, id: bytes) -> bool:
    """The viewer gives up a set-up, or ends what stands; what stands may be ended on any connection."""
    withdrawn = id in viewer.withdrawn
    viewer.withdrawn.discard(id)
    session = desk.sessions.get(id)
    if session is None or (session.viewer is not viewer and session.state is not SessionState.STANDING):
        return withdrawn
    return session_states.apply_event(desk, session, SessionEvent.VIEWER_GONE)


def viewer_gone(desk: Counter, viewer: ClientLink) -> None:
    """A connection has ended: nobody waits for what is open on it, and what stands on it stands on."""
    for session in list(viewer.open):
        session_states.apply_event(desk, session, SessionEvent.VIEWER_GONE)
    for session in viewer.standing:
        session.viewer = None
    viewer.standing.clear()
