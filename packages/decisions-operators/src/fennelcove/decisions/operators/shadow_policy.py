"""What another shape of settings would decide, beside what is decided: counted by kind, never carried out.

A second front is told all that the first is told, with the chance of the same moment, and then set to what
was really decided: so that each count is of one decision, and none of what would have followed from it.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Any

from fennelcove.interface import Effects, Event, Settings, TimerFired
from fennelcove.placement import Attempt, PlacementPolicy, Session

MOST_KEPT = 256  # decisions of one event that are compared; more come only with a whole fleet's end


class DecisionKind(Enum):
    """How two decisions on one subscription differ."""

    SAME = "same"
    OTHER_BOX = "other_box"
    OTHER_RUNG = "other_rung"
    WOULD_JOIN = "would_join"
    WOULD_THROTTLE = "would_throttle"
    WOULD_RAISE = "would_raise"
    WOULD_LOWER = "would_lower"
    WOULD_KEEP = "would_keep"  # the rung, which is changed now
    WOULD_ASK = "would_ask"  # boxes or fronts, first


class RecordedDecision:
    """Effects that are kept, by subscription, and handed on where there is somebody to carry them out."""

    def __init__(self, effects: Effects | None = None) -> None:
        self.effects = effects
        self.attempts: dict[str, str | None] = {}  # the box, or None for an answer without any
        self.rungs: dict[str, int] = {}
        self.asked = 0

    def clear(self) -> None:
        """Forget the last event's decisions."""
        self.attempts.clear()
        self.rungs.clear()
        self.asked = 0

    def __getattr__(self, name: str) -> Any:
        def effect(*args: Any) -> None:
            if name in ("start_attempt", "reject", "fail") and len(self.attempts) < MOST_KEPT:
                self.attempts[args[0]] = args[1] if name == "start_attempt" else None
            elif name == "set_rung" and len(self.rungs) < MOST_KEPT:
                self.rungs[args[0]] = args[1]
            self.asked += name in ("probe", "send_peer_message")
            if self.effects is not None:
                getattr(self.effects, name)(*args)

        return effect


class ShadowedPolicy(PlacementPolicy):
    """A front that decides as ever, with one of other settings beside it."""

    def __init__(self, now: Settings, other: Settings, seed: int, effects: Effects, now_us: int) -> None:
        self.decided, self.would = RecordedDecision(effects), RecordedDecision()
        super().__init__(now, seed, self.decided, now_us)
        self.other = PlacementPolicy(other, seed, self.would, now_us)
        self.counts = dict.fromkeys(DecisionKind, 0)

    def handle(self, event: Event, now_us: int) -> None:
        """As ever; what the other settings make of the same moment is counted."""
        for decided in (self.decided, self.would):
            decided.clear()
        rng = random_of(self).getstate()
        super().handle(event, now_us)
        if isinstance(event, TimerFired):
            return  # each front has timers of its own, and only this one's are run
        random_of(self.other).setstate(rng)
        self.other.handle(event, now_us)
        if self.would.asked:
            self.counts[DecisionKind.WOULD_ASK] += 1
            # No reply will come: it decides by what it knows, as it would where a reply is lost.
            self.other.now_us = max(
                (self.other.poll_deadline_us(session) for session in self.other.polling_sessions),
                default=now_us,
            )
            self.other.on_poll_timeout()
            self.other.now_us = now_us
        decisions = (self.decided.attempts, self.decided.rungs, self.would.attempts, self.would.rungs)
        for id in dict.fromkeys(id for decided in decisions for id in decided):
            self.counts[self.kind(id)] += 1
            self.align(id)

    def told(self) -> dict[str, int]:
        """The counts, by kind."""
        return {kind.value: count for kind, count in self.counts.items()}

    def kind(self, id: str) -> DecisionKind:
        """How the decisions of one event differ for one subscription."""
        did, would = self.decided, self.would
        if id in did.attempts or id in would.attempts:
            server, other = did.attempts.get(id), would.attempts.get(id)
            if server is None or other is None:
                return (
                    DecisionKind.SAME
                    if server == other
                    else DecisionKind.WOULD_JOIN
                    if server is None
                    else DecisionKind.WOULD_THROTTLE
                )
            if server != other:
                return DecisionKind.OTHER_BOX
            return DecisionKind.SAME if did.rungs.get(id) == would.rungs.get(id) else DecisionKind.OTHER_RUNG
        if id not in would.rungs:
            return DecisionKind.WOULD_KEEP
        rung = did.rungs.get(id, self.sessions[id].rung if id in self.sessions else would.rungs[id])
        if rung == would.rungs[id]:
            return DecisionKind.SAME
        return DecisionKind.WOULD_RAISE if rung < would.rungs[id] else DecisionKind.WOULD_LOWER

    def align(self, id: str) -> None:
        """Set the other front's subscription to what it really is, on the box where it really is."""
        theirs, session = self.other.sessions.pop(id, None), self.sessions.get(id)
        for attempt in theirs.attempts if theirs is not None else ():
            if theirs in attempt.server.sessions:
                self.other.close_attempt(theirs, attempt)
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
        copy.quota_share = theirs.quota_share if theirs is not None else session.quota_share
        self.other.sessions[id] = copy
        for attempt in session.attempts:
            server = self.other.servers.get(attempt.server.address)
            if server is not None and session in attempt.server.sessions:
                self.other.open_attempt(copy, server)
            else:
                # Over, and its box may be on no list: looked up there, it broke the front that decides.
                copy.attempts.append(Attempt(server or attempt.server, attempt.sent_us))
            copy.attempts[-1].sent_us, copy.attempts[-1].may_have_run = attempt.sent_us, attempt.may_have_run


def random_of(front: PlacementPolicy) -> Random:
    """The one source of chance of a front."""
    source = getattr(front.draw_uniform, "__self__")  # noqa: B009
    assert isinstance(source, Random)
    return source
