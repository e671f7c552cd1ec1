"""Handlers of clients' messages: each is validated, then executed or answered with an error status."""

from __future__ import annotations

import re
from typing import Protocol

from fennelcove.interface import Request
from fennelcove.node import session_states
from fennelcove.node.config import Config
from fennelcove.node.model import ClientLink, Session, SessionState
from fennelcove.node.recent_ids import RecentIds
from fennelcove.node.session_states import SessionActions, SessionEvent
from fennelcove.node.setup_request import InvalidRequestError, SetupRequest, expects_answer, parse_setup
from fennelcove.rtsp import messages, writer

MAX_PENDING_PER_CONNECTION = 256  # set-up requests without an answer
MAX_CLIENT_IDS = 64  # recorded per connection
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_INVALID_SETUP = 451
STATUS_SESSION_NOT_FOUND = 454
STATUS_SESSION_EXISTS = 455
STATUS_UNKNOWN_METHOD = 501
STATUS_UNAVAILABLE = 503
_SESSION_ID = re.compile(r"[0-9a-fA-F]{16}")


class SessionService(SessionActions, Protocol):
    """The operations that clients' messages need; called with the node's lock held."""

    config: Config
    is_shutting_down: bool
    sessions: dict[bytes, Session]
    abandoned_ids: RecentIds  # of sessions whose client left, and which a server may have executed

    def deliver_pending(self, client: ClientLink, /) -> None:
        """Send the client's pending notifications."""
        ...

    def may_hold_sessions(self, client: ClientLink, /) -> bool:
        """Whether this connection may have open or established sessions."""
        ...

    def has_capacity_for(self, description: bytes, /) -> bool:
        """Whether the node may hold another session, with this description until it is answered."""
        ...

    def admit(self, session: Session, request: Request) -> None:
        """Accept a set-up request."""
        ...

    def take_over(self, session: Session, request: Request, server: str) -> bool:
        """Take over a session that is established at a server already; False if the server is unknown."""
        ...


def on_client_message(
    manager: SessionService, client: ClientLink, message: messages.Message, is_abandoned: bool = False
) -> None:
    """Handle a client's message; called with the node's lock held.

    Args:
        manager: the node that handles it.
        client: the connection on which it was received.
        message: the message.
        is_abandoned: whether the client no longer waits for an answer to it.
    """
    if isinstance(message, messages.Response):
        return  # the client's acknowledgement of a release
    if message.method == "OPTIONS":  # a health check of the platform, not of a client
        status = STATUS_UNAVAILABLE if manager.is_shutting_down else STATUS_OK
        client.send(writer.response(status, *_echo_fields(message)))
        return
    manager.deliver_pending(client)
    session = message.fields.get("session", "")
    if _SESSION_ID.fullmatch(session) is None:
        client.send(writer.response(STATUS_BAD_REQUEST, *_echo_fields(message)))
    elif message.method == "SETUP" and is_abandoned and expects_answer(message):
        client.withdrawn_ids.add(bytes.fromhex(session))
    elif message.method == "SETUP":
        set_up(manager, client, message, session)
    elif message.method == "TEARDOWN":
        is_found = tear_down(manager, client, bytes.fromhex(session))
        status = STATUS_OK if is_found else STATUS_SESSION_NOT_FOUND
        client.send(writer.response(status, *_echo_fields(message)))
    else:
        client.send(writer.response(STATUS_UNKNOWN_METHOD, *_echo_fields(message)))


def set_up(manager: SessionService, client: ClientLink, message: messages.Request, name: str) -> None:
    """Set up a session, or take over an established one; `name` is its id in the client's spelling."""
    cseq = message.fields.get("cseq", "1")
    echo = (("CSeq", cseq), ("Session", name))
    id = bytes.fromhex(name)
    existing = manager.sessions.get(id)
    try:
        setup = parse_setup(manager.config.settings, message, id.hex())
    except InvalidRequestError:
        client.send(writer.response(STATUS_INVALID_SETUP, *echo))
        return
    if existing is not None:
        _on_duplicate_setup(manager, client, existing, setup, echo)
        return
    if expects_answer(message) and manager.abandoned_ids.contains(id, manager.now_us()):
        client.send(writer.response(STATUS_SESSION_EXISTS, *echo))
        return
    session = Session(
        id=id,
        name=name,
        cseq=cseq,
        service_class=setup.request.service_class,
        title=message.uri.rpartition("/")[2],
        description=message.body,
        client=client,
        peer=client.peer,
        client_id=setup.client_id,
    )
    _remember_client_id(client, setup.client_id)
    if setup.current_server:
        _take_over(manager, client, session, setup)
    else:
        _accept_setup(manager, client, session, setup, echo)


def tear_down(manager: SessionService, client: ClientLink, id: bytes) -> bool:
    """Cancel a set-up request received on this connection, or end an established session of any connection.

    Returns:
        Whether there was a request to cancel or a session to end.
    """
    was_withdrawn = id in client.withdrawn_ids
    client.withdrawn_ids.discard(id)
    session = manager.sessions.get(id)
    if session is None:
        return was_withdrawn
    if session.client is not client and session.state is not SessionState.ESTABLISHED:
        return was_withdrawn
    return session_states.apply_event(manager, session, SessionEvent.CLIENT_GONE)


def answer_open_requests(manager: SessionService, client: ClientLink) -> None:
    """Answer all open set-up requests on a connection that the node is about to close."""
    for session in list(client.open_sessions):
        session_states.apply_event(manager, session, SessionEvent.ABORTED)


def on_client_gone(manager: SessionService, client: ClientLink) -> None:
    """Handle a connection's end: its set-up requests are cancelled, its established sessions continue."""
    for session in list(client.open_sessions):
        session_states.apply_event(manager, session, SessionEvent.CLIENT_GONE)
    for session in client.established_sessions:
        session.client = None
    client.established_sessions.clear()


def _echo_fields(message: messages.Request) -> list[tuple[str, str]]:
    """The header fields of a message that its answer repeats."""
    names = ("CSeq", "Session")
    return [(name, message.fields[name.lower()]) for name in names if name.lower() in message.fields]


def _on_duplicate_setup(
    manager: SessionService,
    client: ClientLink,
    existing: Session,
    setup: SetupRequest,
    echo: tuple[tuple[str, str], ...],
) -> None:
    if setup.current_server:
        return  # handed over repeatedly: the session is known already
    if existing.client is client and existing.state is not SessionState.ESTABLISHED:
        # An answer is pending under this id: the client would take an error status for that answer.
        answer_open_requests(manager, client)
        client.disconnect()
        return
    client.send(writer.response(STATUS_SESSION_EXISTS, *echo))


def _remember_client_id(client: ClientLink, client_id: str) -> None:
    client.recent_clients.pop(client_id, None)  # moves it to the end, where the latest is
    client.recent_clients[client_id] = None
    if len(client.recent_clients) > MAX_CLIENT_IDS:
        del client.recent_clients[next(iter(client.recent_clients))]


def _take_over(manager: SessionService, client: ClientLink, session: Session, setup: SetupRequest) -> None:
    if not manager.may_hold_sessions(client):
        # An established session needs no connection; this one may be evicted to admit others.
        session.client = None
    if manager.has_capacity_for(b""):
        manager.take_over(session, setup.request, setup.current_server)


def _accept_setup(
    manager: SessionService,
    client: ClientLink,
    session: Session,
    setup: SetupRequest,
    echo: tuple[tuple[str, str], ...],
) -> None:
    if len(client.open_sessions) >= MAX_PENDING_PER_CONNECTION:
        client.send(writer.response(STATUS_UNAVAILABLE, *echo))
    elif not manager.has_capacity_for(session.description) or not manager.may_hold_sessions(client):
        retry_after = session_states.retry_after_fields(manager.config.settings.retry_after_us or 0)
        client.send(writer.response(STATUS_UNAVAILABLE, *echo, *retry_after))
    else:
        manager.admit(session, setup.request)
