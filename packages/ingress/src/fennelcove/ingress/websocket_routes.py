"""The messages of players over WebSocket: how each is read, and what answers it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from fennelcove.core.requests import SessionRequest
from fennelcove.decisions.clients import access_tokens
from fennelcove.decisions.clients.access_tokens import Permission, TokenStatus
from fennelcove.decisions.servers.load_signals import ClientHints
from fennelcove.hints import cmcd
from fennelcove.ingress.replies import playing_state
from fennelcove.ingress.routes import asked_for, says
from fennelcove.wire import socket as wire

if TYPE_CHECKING:
    from fennelcove.ingress.websocket_session import WebSocketSession

_DECODER: msgspec.json.Decoder[wire.Request] = msgspec.json.Decoder(wire.Request)
_REF: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


def take(session: WebSocketSession, text: str) -> None:
    """Act on one message."""
    try:
        message = _DECODER.decode(text)
    except msgspec.MsgspecError as error:
        session.fault(_ref(text), "malformed", str(error))
        return
    HANDLERS[type(message)](session, message)


def _ref(text: str) -> str | None:
    """The ref of a message that is amiss otherwise: its sender waits for an answer to it."""
    try:
        ref = _REF.decode(text).get("ref")
    except msgspec.MsgspecError:
        return None
    return ref if isinstance(ref, str) and 0 < len(ref) <= 64 else None


def _hello(session: WebSocketSession, message: wire.Hello) -> None:
    if _shows(session, message.ref, message.token):
        session.say(session.welcome(message.ref))


def _renew(session: WebSocketSession, message: wire.Renew) -> None:
    if _shows(session, message.ref, message.token):
        session.say(wire.Renewed(ref=message.ref, pass_for_ms=session.pass_for_ms()))


def _shows(session: WebSocketSession, ref: str, token: str) -> bool:
    shown = access_tokens.verify_access_token(token, session.core.token_keys, session.core.clock.wall_us())
    if shown.token is None or shown.status not in (TokenStatus.VALID, TokenStatus.EXPIRING):
        session.fault(ref, "no-pass", f"the pass is {access_tokens.STATUS_DESCRIPTIONS[shown.status]}")
        return False
    if not access_tokens.may_replace(session.shown.token, shown.token):
        session.fault(ref, "not-permitted", "the pass is another client's; open a connection of its own")
        return False
    session.shown, session.told_pass_ends = shown, False
    return True


def _may(session: WebSocketSession, ref: str, demand: Permission) -> bool:
    """Whether the pass, as old as it is by now, lets its holder in for this."""
    if not session.core.requires_token:
        return True
    shown = session.shown
    if shown.token is not None and shown.status is not TokenStatus.FORGED:
        session.shown = shown = access_tokens.PresentedToken(
            access_tokens.status_at(shown.token, session.core.clock.wall_us()), shown.token
        )
    if not shown.has_permission(demand):
        session.fault(ref, "no-pass", f"the pass is {access_tokens.STATUS_DESCRIPTIONS[shown.status]}")
        return False
    return True


def _set_up(session: WebSocketSession, message: wire.AskSetUp) -> None:
    ref = message.ref
    if not _may(session, ref, Permission.CREATE_SESSION):
        return
    if ref in session.under_way:
        session.fault(None, "malformed", f"ref {ref!r} is of a set-up under way; use a new one")
        return
    held = len(session.core.notifier.ownerships.by_owner.get(session, ()))
    most = session.core.notifier.max_sessions
    if session.shown.token is not None:
        most = min(most, session.shown.token.most)
    if held + len(session.under_way) >= most:
        session.fault(ref, "not-permitted", f"{most} subscriptions at a time; release one")
        return
    hints = cmcd.read({}, {}, message.ask.cmcd)
    found = asked_for(session.core, message.ask, hints, session.shown)
    if isinstance(found, SessionRequest):
        session.begin(ref, found)
    else:
        session.fault(ref, *found)


def _resume(session: WebSocketSession, message: wire.Resume) -> None:
    if not _may(session, message.ref, Permission.CLAIM_SESSION):
        return
    id = message.subscription
    claimed = session.core.notifier.claim(session, id, session.client(), message.seen)
    if claimed.view is None:
        ended = session.core.close_reason(id)
        if ended is not None:
            session.fault(message.ref, "ended", ended)
        elif claimed.reason:
            session.fault(message.ref, "not-yours", claimed.reason)
        else:
            session.fault(message.ref, "unknown-subscription", id)
        return
    session.say(
        wire.Resumed(
            ref=message.ref,
            number=claimed.sequence,
            state=playing_state(claimed.view),
            missed=msgspec.UNSET if claimed.missed_count is None else claimed.missed_count,
        )
    )


def _release(session: WebSocketSession, message: wire.Release) -> None:
    if session.core.notifier.release(session, message.subscription):
        session.say(wire.Released(ref=message.ref, subscription=message.subscription))
    else:
        _not_mine(session, message.ref, message.subscription)


def _set_top(session: WebSocketSession, message: wire.SetTop) -> None:
    if not session.core.notifier.owns(session, message.subscription):
        _not_mine(session, message.ref, message.subscription)
        return
    view = session.core.on_client_report(message.subscription, ClientHints(), message.top_rung)
    if view is None:
        _not_mine(session, message.ref, message.subscription)
        return
    session.say(wire.ToldState(ref=message.ref, state=playing_state(view)))


def _renew_seat(session: WebSocketSession, message: wire.RenewSeat) -> None:
    id = message.subscription
    if not session.core.notifier.owns(session, id):
        _not_mine(session, message.ref, id)
        return
    left_us = session.core.seat_leases.renew(id, message.key or "")
    if left_us is None:
        session.fault(message.ref, "no-seat")
        return
    session.say(wire.SeatKept(ref=message.ref, subscription=id, seat_for_ms=left_us / 1000))


def _report(session: WebSocketSession, message: wire.Report) -> None:
    if session.core.notifier.owns(session, message.subscription):
        session.core.on_client_report(message.subscription, says(cmcd.read({}, {}, message.cmcd)))


def _not_mine(session: WebSocketSession, ref: str, id: str) -> None:
    why = session.core.close_reason(id)
    if why is not None:
        session.fault(ref, "ended", why)
    else:
        session.fault(ref, "unknown-subscription", f"{id} is not this connection's")


HANDLERS: dict[type[msgspec.Struct], Callable[[WebSocketSession, Any], None]] = {
    wire.Hello: _hello,
    wire.Renew: _renew,
    wire.AskSetUp: _set_up,
    wire.Resume: _resume,
    wire.Release: _release,
    wire.SetTop: _set_top,
    wire.RenewSeat: _renew_seat,
    wire.Report: _report,
}
