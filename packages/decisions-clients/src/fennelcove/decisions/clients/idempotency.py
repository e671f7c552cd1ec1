"""Set-ups that a viewer marks with a key of its own: sent twice they count once, also across a restart.

A viewer that hears nothing can't know whether its set-up ran. With a key it may send the same one again: it
gets the session that there is, or the news that it is spent, and never a second one. A key stands for
one set-up by one client; times are wall time, since a key outlives the process.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec
from msgspec import Struct

RETENTION_US = 120_000_000  # as long as any viewer comes back for the same lesson's start
MAX_KEYS = 50_000


class KeyState(Enum):
    """What became of the set-up under a key."""

    UNUSED = auto()  # none, or one that surely did nothing
    IN_PROGRESS = auto()
    ESTABLISHED = auto()
    CLOSED = auto()  # it played, and has ended
    INDETERMINATE = auto()  # it may have run, and must not run again


class KeyEvent(Enum):
    """What happens to it."""

    REQUESTED = auto()
    PLAYS = auto()
    NOTHING = auto()  # it surely did nothing, or may be done again
    MAYBE = auto()  # it may have run and must not be repeated
    CLOSED = auto()
    RESTARTED = auto()  # this front began a new life, and the set-up may be done again
    RESTARTED_NOT_REPEATABLE = auto()  # the same, and it may not


class KeyAction(Enum):
    """What a viewer that asks is told."""

    RUN = auto()
    COME_BACK = auto()  # the first is under way
    SHOW = auto()  # what plays
    TELL_SPENT = auto()
    TELL_BARRED = auto()
    NONE = auto()


TRANSITIONS: dict[tuple[KeyState, KeyEvent], tuple[KeyState, KeyAction]] = {
    (KeyState.UNUSED, KeyEvent.REQUESTED): (KeyState.IN_PROGRESS, KeyAction.RUN),
    (KeyState.UNUSED, KeyEvent.PLAYS): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.UNUSED, KeyEvent.NOTHING): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.UNUSED, KeyEvent.MAYBE): (KeyState.INDETERMINATE, KeyAction.NONE),
    (KeyState.UNUSED, KeyEvent.CLOSED): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.UNUSED, KeyEvent.RESTARTED): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.UNUSED, KeyEvent.RESTARTED_NOT_REPEATABLE): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.IN_PROGRESS, KeyEvent.REQUESTED): (KeyState.IN_PROGRESS, KeyAction.COME_BACK),
    (KeyState.IN_PROGRESS, KeyEvent.PLAYS): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.IN_PROGRESS, KeyEvent.NOTHING): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.IN_PROGRESS, KeyEvent.MAYBE): (KeyState.INDETERMINATE, KeyAction.NONE),
    # A set-up that was refused or given up ends as well: what it was worth its answer says.
    (KeyState.IN_PROGRESS, KeyEvent.CLOSED): (KeyState.IN_PROGRESS, KeyAction.NONE),
    (KeyState.IN_PROGRESS, KeyEvent.RESTARTED): (KeyState.UNUSED, KeyAction.NONE),
    (KeyState.IN_PROGRESS, KeyEvent.RESTARTED_NOT_REPEATABLE): (KeyState.INDETERMINATE, KeyAction.NONE),
    (KeyState.ESTABLISHED, KeyEvent.REQUESTED): (KeyState.ESTABLISHED, KeyAction.SHOW),
    (KeyState.ESTABLISHED, KeyEvent.PLAYS): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.ESTABLISHED, KeyEvent.NOTHING): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.ESTABLISHED, KeyEvent.MAYBE): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.ESTABLISHED, KeyEvent.CLOSED): (KeyState.CLOSED, KeyAction.NONE),
    # Its box may play it still: then it is adopted, and shown.
    (KeyState.ESTABLISHED, KeyEvent.RESTARTED): (KeyState.ESTABLISHED, KeyAction.NONE),
    (KeyState.ESTABLISHED, KeyEvent.RESTARTED_NOT_REPEATABLE): (KeyState.ESTABLISHED, KeyAction.NONE),
    **{
        (KeyState.CLOSED, event): (KeyState.CLOSED, KeyAction.NONE)
        for event in KeyEvent
        if event is not KeyEvent.REQUESTED
    },
    (KeyState.CLOSED, KeyEvent.REQUESTED): (KeyState.CLOSED, KeyAction.TELL_SPENT),
    **{
        (KeyState.INDETERMINATE, event): (KeyState.INDETERMINATE, KeyAction.NONE)
        for event in KeyEvent
        if event is not KeyEvent.REQUESTED
    },
    (KeyState.INDETERMINATE, KeyEvent.REQUESTED): (KeyState.INDETERMINATE, KeyAction.TELL_BARRED),
}


class StoredKey(Struct, frozen=True, array_like=True):
    """A key as a store keeps it."""

    stage: int
    what: str
    subscription: str
    wall_us: int
    safe: bool


@dataclass(slots=True)
class IdempotencyKey:
    """One key of one client."""

    request_digest: str  # what was asked for under it: another set-up must not pass for it
    state: KeyState = KeyState.UNUSED
    session: str = ""
    touched_wall_us: int = 0
    is_repeatable: bool = True  # a set-up that may have run may be done again


@dataclass(slots=True)
class IdempotencyTable:
    """All keys, the one longest untouched first; past the bound it is forgotten, unless its set-up runs or
    plays."""

    keys: OrderedDict[tuple[str, str], IdempotencyKey] = field(default_factory=OrderedDict)
    names_by_session: dict[str, tuple[str, str]] = field(default_factory=dict)  # by subscription

    def ask(
        self, name: tuple[str, str], what: str, safe: bool, wall_us: int
    ) -> tuple[KeyAction, IdempotencyKey] | None:
        """One asks under a key; None where the key stands for something else."""
        self._evict_expired(wall_us)
        repeat = self.keys.get(name)
        if repeat is None:
            repeat = self.keys[name] = IdempotencyKey(what, is_repeatable=safe)
        elif repeat.request_digest != what:
            if repeat.state is not KeyState.UNUSED:
                return None
            repeat.request_digest, repeat.is_repeatable = what, safe
        self.keys.move_to_end(name)
        repeat.touched_wall_us = wall_us
        repeat.state, act = TRANSITIONS[repeat.state, KeyEvent.REQUESTED]
        return act, repeat

    def begins(self, name: tuple[str, str], session: str) -> None:
        """The set-up under a key is this subscription."""
        self.keys[name].session = session
        self.names_by_session[session] = name

    def apply(self, name: tuple[str, str], event: KeyEvent, wall_us: int) -> None:
        """Something happened to the set-up under a key."""
        repeat = self.keys.get(name)
        if repeat is None:
            return
        repeat.state, _ = TRANSITIONS[repeat.state, event]
        repeat.touched_wall_us = wall_us
        if repeat.state not in (KeyState.IN_PROGRESS, KeyState.ESTABLISHED):
            self.names_by_session.pop(repeat.session, None)

    def ended(self, session: str, wall_us: int) -> None:
        """A subscription has ended."""
        name = self.names_by_session.get(session)
        if name is not None:
            self.apply(name, KeyEvent.CLOSED, wall_us)

    def _evict_expired(self, wall_us: int) -> None:
        for name, repeat in list(self.keys.items())[: 2 if len(self.keys) <= MAX_KEYS else 64]:
            idle = repeat.state not in (KeyState.IN_PROGRESS, KeyState.ESTABLISHED)
            # A clock that went back makes nothing older.
            if idle and (wall_us - repeat.touched_wall_us > RETENTION_US or len(self.keys) > MAX_KEYS):
                del self.keys[name]

    def kept(self) -> list[tuple[tuple[str, str], bytes]]:
        """What a store keeps: free keys stand for nothing."""
        return [
            (
                name,
                msgspec.msgpack.encode(
                    StoredKey(
                        repeat.state.value,
                        repeat.request_digest,
                        repeat.session,
                        repeat.touched_wall_us,
                        repeat.is_repeatable,
                    )
                ),
            )
            for name, repeat in self.keys.items()
            if repeat.state is not KeyState.UNUSED
        ]

    def restore(self, name: tuple[str, str], raw: bytes, wall_us: int) -> bool:
        """A key of an earlier life; False for what is none, or is long over."""
        try:
            kept: StoredKey = msgspec.msgpack.decode(raw, type=StoredKey)
            stage = KeyState(kept.stage)
        except (msgspec.MsgspecError, ValueError):
            return False
        if (
            stage not in (KeyState.IN_PROGRESS, KeyState.ESTABLISHED)
            and wall_us - kept.wall_us > RETENTION_US
        ):
            return False
        repeat = self.keys[name] = IdempotencyKey(
            kept.what, stage, kept.subscription, kept.wall_us, kept.safe
        )
        if kept.subscription:
            self.names_by_session[kept.subscription] = name
        self.apply(name, KeyEvent.RESTARTED if kept.safe else KeyEvent.RESTARTED_NOT_REPEATABLE, kept.wall_us)
        return repeat.state is not KeyState.UNUSED
