"""A shadow policy: counts how other settings would decide, without carrying out their decisions.

The shadow policy receives the same events as the actual one, with the same state of the random source. After
each event its sessions are set to what was actually decided, so that each count is about a single decision
and not about its consequences.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Any

from fennelcove.interface import Effects, Event, Settings, TimerFired
from fennelcove.placement import Attempt, PlacementPolicy, Session

MAX_RECORDED_DECISIONS = 256  # per event; only the loss of a whole fleet leads to more


class DecisionKind(Enum):
    """How the shadow decision on a session differs from the actual one; the values are names of counters."""

    SAME = "same"
    OTHER_SERVER = "other_box"
    OTHER_RUNG = "other_rung"
    WOULD_ATTEMPT = "would_join"  # would start an attempt, where the request was not served
    WOULD_THROTTLE = "would_throttle"  # would not serve the request, where an attempt was started
    WOULD_RAISE = "would_raise"
    WOULD_LOWER = "would_lower"
    WOULD_KEEP = "would_keep"  # would not change the rung, which was changed
    WOULD_QUERY = "would_ask"  # would query servers or fronts first


class RecordedDecision:
    """Records the effects of one event by session, and passes them on if effects are given."""

    def __init__(self, effects: Effects | None = None) -> None:
        self.effects = effects
        self.attempts: dict[str, str | None] = {}  # the server's address, or None for a response without one
        self.rungs: dict[str, int] = {}
        self.query_count = 0

    def clear(self) -> None:
        """Discard the recorded decisions of the last event."""
        self.attempts.clear()
        self.rungs.clear()
        self.query_count = 0

    def __getattr__(self, name: str) -> Any:
        def effect(*args: Any) -> None:
            if name in ("start_attempt", "reject", "fail") and len(self.attempts) < MAX_RECORDED_DECISIONS:
                self.attempts[args[0]] = args[1] if name == "start_attempt" else None
            elif name == "set_rung" and len(self.rungs) < MAX_RECORDED_DECISIONS:
                self.rungs[args[0]] = args[1]
            self.query_count += name in ("probe", "send_peer_message")
            if self.effects is not None:
                getattr(self.effects, name)(*args)

        return effect


class ShadowedPolicy(PlacementPolicy):
    """A placement policy that decides as usual, with a shadow policy of other settings beside it."""

    def __init__(
        self, settings: Settings, shadow_settings: Settings, seed: int, effects: Effects, now_us: int
    ) -> None:
        self.actual_decision, self.shadow_decision = RecordedDecision(effects), RecordedDecision()
        super().__init__(settings, seed, self.actual_decision, now_us)
        self.alternative = PlacementPolicy(shadow_settings, seed, self.shadow_decision, now_us)
        self.counts = dict.fromkeys(DecisionKind, 0)

    def handle(self, event: Event, now_us: int) -> None:
        """Handle an event as usual, and count how the shadow policy decides on the same event."""
        for decision in (self.actual_decision, self.shadow_decision):
            decision.clear()
        random_state = _random_source(self).getstate()
        super().handle(event, now_us)
        if isinstance(event, TimerFired):
            return  # each policy has its own timers, and only those of the actual policy fire
        _random_source(self.alternative).setstate(random_state)
        self.alternative.handle(event, now_us)
        if self.shadow_decision.query_count:
            self.counts[DecisionKind.WOULD_QUERY] += 1
            # Its queries are not sent, so it decides by what it knows, as if the responses were lost.
            self.alternative.now_us = max(
                (self.alternative.poll_deadline_us(session) for session in self.alternative.polling_sessions),
                default=now_us,
            )
            self.alternative.on_poll_timeout()
            self.alternative.now_us = now_us
        decisions = (
            self.actual_decision.attempts,
            self.actual_decision.rungs,
            self.shadow_decision.attempts,
            self.shadow_decision.rungs,
        )
        for session_id in dict.fromkeys(session_id for decision in decisions for session_id in decision):
            self.counts[self.compare(session_id)] += 1
            self.align(session_id)

    def counts_by_kind(self) -> dict[str, int]:
        """The counts by the values of `DecisionKind`, as the status response has them."""
        return {kind.value: count for kind, count in self.counts.items()}

    def compare(self, session_id: str) -> DecisionKind:
        """How the two decisions of one event differ for one session."""
        actual, shadow = self.actual_decision, self.shadow_decision
        if session_id in actual.attempts or session_id in shadow.attempts:
            server, shadow_server = actual.attempts.get(session_id), shadow.attempts.get(session_id)
            if server is None or shadow_server is None:
                return (
                    DecisionKind.SAME
                    if server == shadow_server
                    else DecisionKind.WOULD_ATTEMPT
                    if server is None
                    else DecisionKind.WOULD_THROTTLE
                )
            if server != shadow_server:
                return DecisionKind.OTHER_SERVER
            return (
                DecisionKind.SAME
                if actual.rungs.get(session_id) == shadow.rungs.get(session_id)
                else DecisionKind.OTHER_RUNG
            )
        if session_id not in shadow.rungs:
            return DecisionKind.WOULD_KEEP
        rung = actual.rungs.get(
            session_id,
            self.sessions[session_id].rung if session_id in self.sessions else shadow.rungs[session_id],
        )
        if rung == shadow.rungs[session_id]:
            return DecisionKind.SAME
        return DecisionKind.WOULD_RAISE if rung < shadow.rungs[session_id] else DecisionKind.WOULD_LOWER

    def align(self, session_id: str) -> None:
        """Set the shadow policy's session to the actual state, at the server where it actually is."""
        shadow_session, session = (
            self.alternative.sessions.pop(session_id, None),
            self.sessions.get(session_id),
        )
        for attempt in shadow_session.attempts if shadow_session is not None else ():
            if shadow_session in attempt.server.sessions:
                self.alternative.close_attempt(shadow_session, attempt)
        if session is None:
            return
        copy = Session(
            session.id,
            session.service_class,
            session.title,
            session.cells,
            session.top_rung,
            session.requested_us,
            session.deadline_us,
        )
        copy.expected_play_us, copy.state, copy.rung = session.expected_play_us, session.state, session.rung
        copy.has_report, copy.started_us, copy.awaited = session.has_report, session.started_us, {}
        copy.quota_share = shadow_session.quota_share if shadow_session is not None else session.quota_share
        self.alternative.sessions[session_id] = copy
        for attempt in session.attempts:
            server = self.alternative.servers.get(attempt.server.address)
            if server is not None and session in attempt.server.sessions:
                self.alternative.open_attempt(copy, server)
            else:
                # The attempt is closed, and its server may no longer be listed: looking it up there made the
                # actual policy fail.
                copy.attempts.append(Attempt(server or attempt.server, attempt.sent_us))
            copy.attempts[-1].sent_us, copy.attempts[-1].may_have_run = attempt.sent_us, attempt.may_have_run


def _random_source(policy: PlacementPolicy) -> Random:
    """The random source of a policy."""
    source = getattr(policy.draw_uniform, "__self__")  # noqa: B009
    assert isinstance(source, Random)
    return source
