"""Handling of servers' messages, and of those that come before their session is known."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.interface import Outcome, ReportKind, SessionReport
from fennelcove.isup.messages import Message, MessageKind, Parameter
from fennelcove.node import outcome_mapping, session_states
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.model import ServerLink, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.session_states import SessionActions, SessionEvent

EARLY_MESSAGE_US = 2_000_000  # how long messages are cached for sessions that are not known yet
MAX_EARLY_SESSIONS = 4_096
MAX_EARLY_MESSAGES = 8  # per session


@dataclass(frozen=True, slots=True)
class EarlyMessage:
    """A server's message on a session that is not known yet."""

    received_us: int
    link: ServerLink
    message: Message


class ServerMessageHandler:
    """Handles the messages of all servers; used with the node's lock held."""

    def __init__(self, context: NodeContext, attempts: AttemptDispatcher, actions: SessionActions) -> None:
        """Start with no cached messages."""
        self._context = context
        self._attempts = attempts
        self._actions = actions
        self.early: dict[bytes, list[EarlyMessage]] = {}  # by session, in the order of their first messages

    def on_message(self, link: ServerLink, message: Message) -> None:
        """Handle a message of a server.

        An answer without a request is ignored: it may have crossed with the end of its session, be a second
        copy, or come ahead of its request.
        """
        session = self._context.sessions.get(message.session)
        if message.kind is MessageKind.KEEPALIVE:
            link.answer_keepalive()
        if session is None and message.kind in (MessageKind.SESSION_REPORT, MessageKind.RELEASE):
            # At a start a server reports the rungs of all its sessions as soon as a connection is open, and
            # most clients have not named theirs by then: ignored, all would be taken for the lowest rung.
            self._cache(link, message)
        if session is None or session.attempt is None or session.attempt.server is not link.server:
            return
        if session.state is SessionState.ATTEMPTING and session.attempt.link is not link:
            return  # of an earlier attempt under this id: until it succeeds, an attempt has one connection
        if message.kind is MessageKind.ANSWER:
            self._on_answer(link, session, message)
        elif message.kind is MessageKind.RELEASE:
            self._on_release(link, session, message)
        elif message.kind is MessageKind.SESSION_REPORT and session.state is SessionState.ESTABLISHED:
            self._on_report(session, message)

    def replay(self, session: Session) -> None:
        """Handle the messages that came before the session was known."""
        for early in self.early.pop(session.id, ()):
            self.on_message(early.link, early.message)

    def expire(self, now_us: int) -> None:
        """Drop cached messages whose sessions have not become known in time."""
        for id, messages in list(self.early.items()):
            if now_us - messages[0].received_us <= EARLY_MESSAGE_US:
                break
            del self.early[id]

    def _cache(self, link: ServerLink, message: Message) -> None:
        """Keep a message; bounded in sessions, in each one's messages and in age, as most are never used."""
        if message.session not in self.early and len(self.early) >= MAX_EARLY_SESSIONS:
            return
        messages = self.early.setdefault(message.session, [])
        if len(messages) < MAX_EARLY_MESSAGES:
            messages.append(EarlyMessage(self._context.now_us(), link, message))
        elif message.kind is MessageKind.RELEASE:
            # Crowded out by notes, the end of a session was lost, and its client waited for good.
            messages[-1] = EarlyMessage(self._context.now_us(), link, message)

    def _on_answer(self, link: ServerLink, session: Session, message: Message) -> None:
        if session.state is not SessionState.ATTEMPTING:
            return  # a second copy
        description = message.parameters.get(Parameter.DESCRIPTION)
        if description is None:
            link.close(Outcome.CONNECTION_LOST)
            return
        if link.dispatched_session is session:
            link.on_set_up_completed()
        session.answer = description
        session_states.apply_event(self._actions, session, SessionEvent.SETUP_ANSWERED)

    def _on_release(self, link: ServerLink, session: Session, message: Message) -> None:
        is_established = session.state is SessionState.ESTABLISHED
        outcome = outcome_mapping.release_outcome(message, is_established=is_established)
        if link.dispatched_session is session:
            link.on_set_up_completed()
        self._attempts.on_completed(session, outcome, outcome_mapping.parse_load_report(message))

    def _on_report(self, session: Session, message: Message) -> None:
        kind = outcome_mapping.REPORT_KINDS.get(message.text(Parameter.REPORT_NAME))
        value = outcome_mapping.parse_number(message.text(Parameter.REPORT_VALUE))
        if kind is None or value is None or session.attempt is None:
            return
        if kind is ReportKind.RUNG:
            if not 0 <= value < len(self._context.config.settings.ladder_kb):
                return
            session.rung = int(value)
        self._actions.notify_policy(SessionReport(session.key, session.attempt.server.name, kind, value))
