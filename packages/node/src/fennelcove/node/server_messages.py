"""Handles servers' messages, including those that arrive before their session is known."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.interface import Outcome, ReportKind, SessionReport
from fennelcove.isup.messages import Message, MessageKind, Parameter
from fennelcove.node import outcome_mapping, session_states
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.model import ServerLink, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.session_states import SessionActions, SessionEvent

EARLY_MESSAGE_US = 2_000_000  # how long a message is cached for a session that is not known yet
MAX_EARLY_SESSIONS = 4_096
MAX_EARLY_MESSAGES = 8  # per session


@dataclass(frozen=True, slots=True)
class EarlyMessage:
    """A server's message about a session that is not known yet."""

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
        self.early: dict[bytes, list[EarlyMessage]] = {}  # by session id, oldest first message first

    def on_message(self, link: ServerLink, message: Message) -> None:
        """Handle a message of a server.

        An answer without a matching request is ignored: it may have crossed the end of its session, be a
        duplicate, or arrive before its request.
        """
        session = self._context.sessions.get(message.session)
        if message.kind is MessageKind.KEEPALIVE:
            link.answer_keepalive()
        if session is None and message.kind in (MessageKind.SESSION_REPORT, MessageKind.RELEASE):
            # After the node's start, a server reports the rungs of all its sessions as soon as a connection
            # opens, before most clients have handed theirs over. Without these reports the node would assume
            # the lowest rung for all of them.
            self._cache(link, message)
        if session is None or session.attempt is None or session.attempt.server is not link.server:
            return
        if session.state is SessionState.ATTEMPTING and session.attempt.link is not link:
            return  # for an earlier attempt under this id: an attempt in flight uses one connection only
        session.attempt.confirmed_us = self._context.now_us()
        if message.kind is MessageKind.ANSWER:
            self._on_answer(link, session, message)
        elif message.kind is MessageKind.RELEASE:
            self._on_release(link, session, message)
        elif message.kind is MessageKind.SESSION_REPORT and session.state is SessionState.ESTABLISHED:
            self._on_report(session, message)

    def replay(self, session: Session) -> None:
        """Handle the cached messages of a session that has become known."""
        for early in self.early.pop(session.id, ()):
            self.on_message(early.link, early.message)

    def expire(self, now_us: int) -> None:
        """Drop cached messages of sessions that have not become known in time."""
        for id, messages in list(self.early.items()):
            if now_us - messages[0].received_us <= EARLY_MESSAGE_US:
                break
            del self.early[id]

    def _cache(self, link: ServerLink, message: Message) -> None:
        """Cache a message; sessions, messages of each and their age are limited, as most are never used."""
        if message.session not in self.early and len(self.early) >= MAX_EARLY_SESSIONS:
            return
        messages = self.early.setdefault(message.session, [])
        if len(messages) < MAX_EARLY_MESSAGES:
            messages.append(EarlyMessage(self._context.now_us(), link, message))
        elif message.kind is MessageKind.RELEASE:
            # A release replaces the last report: without it, the client would wait indefinitely.
            messages[-1] = EarlyMessage(self._context.now_us(), link, message)

    def _on_answer(self, link: ServerLink, session: Session, message: Message) -> None:
        if session.state is not SessionState.ATTEMPTING:
            return  # a duplicate
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
