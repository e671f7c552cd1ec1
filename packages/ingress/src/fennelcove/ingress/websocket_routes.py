"""Handlers of the messages that clients send over WebSocket."""

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
from fennelcove.ingress.routes import build_session_request, client_hints
from fennelcove.wire import websocket_messages as wire

if TYPE_CHECKING:
    from fennelcove.ingress.websocket_session import WebSocketSession

_DECODER: msgspec.json.Decoder[wire.Request] = msgspec.json.Decoder(wire.Request)
_REF: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


def handle_message(session: WebSocketSession, text: str) -> None:
    """Decode a message and dispatch it to its handler."""
    try:
        message = _DECODER.decode(text)
    except msgspec.MsgspecError as error:
        session.fault(_message_ref(text), "malformed", str(error))
        return
    HANDLERS[type(message)](session, message)


def _message_ref(text: str) -> str | None:
    """Return the `ref` of an otherwise invalid message, whose sender waits for an answer with it."""
    try:
        ref = _REF.decode(text).get("ref")
    except msgspec.MsgspecError:
        return None
    return ref if isinstance(ref, str) and 0 < len(ref) <= 64 else None


def _hello(session: WebSocketSession, message: wire.Hello) -> None:
    if _accept_token(session, message.ref, message.token):
        session.send(session.welcome(message.ref))


def _renew(session: WebSocketSession, message: wire.Renew) -> None:
    if _accept_token(session, message.ref, message.token):
        session.send(wire.Renewed(ref=message.ref, pass_for_ms=session.pass_for_ms()))


def _accept_token(session: WebSocketSession, ref: str, token: str) -> bool:
    presented = access_tokens.verify_access_token(
        token, session.core.token_keys, session.core.clock.wall_us()
    )
    if presented.token is None or presented.status not in (TokenStatus.VALID, TokenStatus.EXPIRING):
        session.fault(ref, "no-pass", f"the pass is {access_tokens.STATUS_DESCRIPTIONS[presented.status]}")
        return False
    if not access_tokens.may_replace(session.presented.token, presented.token):
        session.fault(ref, "not-permitted", "the pass is another client's; open a connection of its own")
        return False
    session.presented, session.expiry_announced = presented, False
    return True


def _is_permitted(session: WebSocketSession, ref: str, permission: Permission) -> bool:
    """Return whether the access token, with its status as of now, grants the permission."""
    if not session.core.requires_token:
        return True
    presented = session.presented
    if presented.token is not None and presented.status is not TokenStatus.FORGED:
        session.presented = presented = access_tokens.PresentedToken(
            access_tokens.status_at(presented.token, session.core.clock.wall_us()), presented.token
        )
    if not presented.has_permission(permission):
        session.fault(ref, "no-pass", f"the pass is {access_tokens.STATUS_DESCRIPTIONS[presented.status]}")
        return False
    return True


def _set_up(session: WebSocketSession, message: wire.AskSetUp) -> None:
    ref = message.ref
    if not _is_permitted(session, ref, Permission.CREATE_SESSION):
        return
    if ref in session.setups_in_progress:
        session.fault(None, "malformed", f"ref {ref!r} is of a set-up under way; use a new one")
        return
    owned_count = len(session.core.notifier.ownerships.by_owner.get(session, ()))
    max_sessions = session.core.notifier.max_sessions
    if session.presented.token is not None:
        max_sessions = min(max_sessions, session.presented.token.most)
    if owned_count + len(session.setups_in_progress) >= max_sessions:
        session.fault(ref, "not-permitted", f"{max_sessions} subscriptions at a time; release one")
        return
    hints = cmcd.read({}, {}, message.ask.cmcd)
    setup = build_session_request(session.core, message.ask, hints, session.presented)
    if isinstance(setup, SessionRequest):
        session.start_setup(ref, setup)
    else:
        session.fault(ref, *setup)


def _resume(session: WebSocketSession, message: wire.Resume) -> None:
    if not _is_permitted(session, message.ref, Permission.CLAIM_SESSION):
        return
    id = message.subscription
    claimed = session.core.notifier.claim(session, id, session.client_name(), message.seen)
    if claimed.view is None:
        close_reason = session.core.close_reason(id)
        if close_reason is not None:
            session.fault(message.ref, "ended", close_reason)
        elif claimed.reason:
            session.fault(message.ref, "not-yours", claimed.reason)
        else:
            session.fault(message.ref, "unknown-subscription", id)
        return
    session.send(
        wire.Resumed(
            ref=message.ref,
            number=claimed.sequence,
            state=playing_state(claimed.view),
            missed=msgspec.UNSET if claimed.missed_count is None else claimed.missed_count,
        )
    )


def _release(session: WebSocketSession, message: wire.Release) -> None:
    if session.core.notifier.release(session, message.subscription):
        session.send(wire.Released(ref=message.ref, subscription=message.subscription))
    else:
        _not_owned(session, message.ref, message.subscription)


def _set_top(session: WebSocketSession, message: wire.SetTop) -> None:
    if not session.core.notifier.owns(session, message.subscription):
        _not_owned(session, message.ref, message.subscription)
        return
    view = session.core.on_client_report(message.subscription, ClientHints(), message.top_rung)
    if view is None:
        _not_owned(session, message.ref, message.subscription)
        return
    session.send(wire.ToldState(ref=message.ref, state=playing_state(view)))


def _renew_seat(session: WebSocketSession, message: wire.RenewSeat) -> None:
    id = message.subscription
    if not session.core.notifier.owns(session, id):
        _not_owned(session, message.ref, id)
        return
    left_us = session.core.seat_leases.renew(id, message.key or "")
    if left_us is None:
        session.fault(message.ref, "no-seat")
        return
    session.send(wire.SeatKept(ref=message.ref, subscription=id, seat_for_ms=left_us / 1000))


def _report(session: WebSocketSession, message: wire.Report) -> None:
    if session.core.notifier.owns(session, message.subscription):
        session.core.on_client_report(message.subscription, client_hints(cmcd.read({}, {}, message.cmcd)))


def _not_owned(session: WebSocketSession, ref: str, id: str) -> None:
    close_reason = session.core.close_reason(id)
    if close_reason is not None:
        session.fault(ref, "ended", close_reason)
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
