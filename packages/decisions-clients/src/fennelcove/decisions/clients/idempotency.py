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

KEPT_US = 120_000_000  # as long as any viewer comes back for the same lesson's start
MOST_KEYS = 50_000


class KeyState(Enum):
    """What became of the set-up under a key."""

    FREE = auto()  # none, or one that surely did nothing
    RUNNING = auto()
    PLAYING = auto()
    SPENT = auto()  # it played, and has ended
    BARRED = auto()  # it may have run, and must not run again


class KeyEvent(Enum):
    """What happens to it."""

    ASKED = auto()
    PLAYS = auto()
    NOTHING = auto()  # it surely did nothing, or may be done again
    MAYBE = auto()  # it may have run and must not be repeated
    ENDED = auto()
    RESTARTED = auto()  # this front began a new life, and the set-up may be done again
    RESTARTED_UNSAFE = auto()  # the same, and it may not


class KeyAction(Enum):
    """What a viewer that asks is told."""

    RUN = auto()
    COME_BACK = auto()  # the first is under way
    SHOW = auto()  # what plays
    TELL_SPENT = auto()
    TELL_BARRED = auto()
    NONE = auto()


TRANSITIONS: dict[tuple[KeyState, KeyEvent], tuple[KeyState, KeyAction]] = {
    (KeyState.FREE, KeyEvent.ASKED): (KeyState.RUNNING, KeyAction.RUN),
    (KeyState.FREE, KeyEvent.PLAYS): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.FREE, KeyEvent.NOTHING): (KeyState.FREE, KeyAction.NONE),
    (KeyState.FREE, KeyEvent.MAYBE): (KeyState.BARRED, KeyAction.NONE),
    (KeyState.FREE, KeyEvent.ENDED): (KeyState.FREE, KeyAction.NONE),
    (KeyState.FREE, KeyEvent.RESTARTED): (KeyState.FREE, KeyAction.NONE),
    (KeyState.FREE, KeyEvent.RESTARTED_UNSAFE): (KeyState.FREE, KeyAction.NONE),
    (KeyState.RUNNING, KeyEvent.ASKED): (KeyState.RUNNING, KeyAction.COME_BACK),
    (KeyState.RUNNING, KeyEvent.PLAYS): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.RUNNING, KeyEvent.NOTHING): (KeyState.FREE, KeyAction.NONE),
    (KeyState.RUNNING, KeyEvent.MAYBE): (KeyState.BARRED, KeyAction.NONE),
    # A set-up that was refused or given up ends as well: what it was worth its answer says.
    (KeyState.RUNNING, KeyEvent.ENDED): (KeyState.RUNNING, KeyAction.NONE),
    (KeyState.RUNNING, KeyEvent.RESTARTED): (KeyState.FREE, KeyAction.NONE),
    (KeyState.RUNNING, KeyEvent.RESTARTED_UNSAFE): (KeyState.BARRED, KeyAction.NONE),
    (KeyState.PLAYING, KeyEvent.ASKED): (KeyState.PLAYING, KeyAction.SHOW),
    (KeyState.PLAYING, KeyEvent.PLAYS): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.PLAYING, KeyEvent.NOTHING): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.PLAYING, KeyEvent.MAYBE): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.PLAYING, KeyEvent.ENDED): (KeyState.SPENT, KeyAction.NONE),
    # Its box may play it still: then it is adopted, and shown.
    (KeyState.PLAYING, KeyEvent.RESTARTED): (KeyState.PLAYING, KeyAction.NONE),
    (KeyState.PLAYING, KeyEvent.RESTARTED_UNSAFE): (KeyState.PLAYING, KeyAction.NONE),
    **{
        (KeyState.SPENT, event): (KeyState.SPENT, KeyAction.NONE)
        for event in KeyEvent
        if event is not KeyEvent.ASKED
    },
    (KeyState.SPENT, KeyEvent.ASKED): (KeyState.SPENT, KeyAction.TELL_SPENT),
    **{
        (KeyState.BARRED, event): (KeyState.BARRED, KeyAction.NONE)
        for event in KeyEvent
        if event is not KeyEvent.ASKED
    },
    (KeyState.BARRED, KeyEvent.ASKED): (KeyState.BARRED, KeyAction.TELL_BARRED),
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

    what: str  # what was asked for under it: another set-up must not pass for it
    stage: KeyState = KeyState.FREE
    session: str = ""
    wall_us: int = 0
    safe: bool = True  # a set-up that may have run may be done again


@dataclass(slots=True)
class IdempotencyTable:
    """All keys, the one longest untouched first; past the bound it is forgotten, unless its set-up runs or
    plays."""

    held: OrderedDict[tuple[str, str], IdempotencyKey] = field(default_factory=OrderedDict)
    owners: dict[str, tuple[str, str]] = field(default_factory=dict)  # by subscription

    def ask(
        self, name: tuple[str, str], what: str, safe: bool, wall_us: int
    ) -> tuple[KeyAction, IdempotencyKey] | None:
        """One asks under a key; None where the key stands for something else."""
        self._forget(wall_us)
        repeat = self.held.get(name)
        if repeat is None:
            repeat = self.held[name] = IdempotencyKey(what, safe=safe)
        elif repeat.what != what:
            if repeat.stage is not KeyState.FREE:
                return None
            repeat.what, repeat.safe = what, safe
        self.held.move_to_end(name)
        repeat.wall_us = wall_us
        repeat.stage, act = TRANSITIONS[repeat.stage, KeyEvent.ASKED]
        return act, repeat

    def begins(self, name: tuple[str, str], session: str) -> None:
        """The set-up under a key is this subscription."""
        self.held[name].session = session
        self.owners[session] = name

    def apply(self, name: tuple[str, str], event: KeyEvent, wall_us: int) -> None:
        """Something happened to the set-up under a key."""
        repeat = self.held.get(name)
        if repeat is None:
            return
        repeat.stage, _ = TRANSITIONS[repeat.stage, event]
        repeat.wall_us = wall_us
        if repeat.stage not in (KeyState.RUNNING, KeyState.PLAYING):
            self.owners.pop(repeat.session, None)

    def ended(self, session: str, wall_us: int) -> None:
        """A subscription has ended."""
        name = self.owners.get(session)
        if name is not None:
            self.apply(name, KeyEvent.ENDED, wall_us)

    def _forget(self, wall_us: int) -> None:
        for name, repeat in list(self.held.items())[: 2 if len(self.held) <= MOST_KEYS else 64]:
            idle = repeat.stage not in (KeyState.RUNNING, KeyState.PLAYING)
            # A clock that went back makes nothing older.
            if idle and (wall_us - repeat.wall_us > KEPT_US or len(self.held) > MOST_KEYS):
                del self.held[name]

    def kept(self) -> list[tuple[tuple[str, str], bytes]]:
        """What a store keeps: free keys stand for nothing."""
        return [
            (
                name,
                msgspec.msgpack.encode(
                    StoredKey(repeat.stage.value, repeat.what, repeat.session, repeat.wall_us, repeat.safe)
                ),
            )
            for name, repeat in self.held.items()
            if repeat.stage is not KeyState.FREE
        ]

    def restore(self, name: tuple[str, str], raw: bytes, wall_us: int) -> bool:
        """A key of an earlier life; False for what is none, or is long over."""
        try:
            kept: StoredKey = msgspec.msgpack.decode(raw, type=StoredKey)
            stage = KeyState(kept.stage)
        except (msgspec.MsgspecError, ValueError):
            return False
        if stage not in (KeyState.RUNNING, KeyState.PLAYING) and wall_us - kept.wall_us > KEPT_US:
            return False
        repeat = self.held[name] = IdempotencyKey(
            kept.what, stage, kept.subscription, kept.wall_us, kept.safe
        )
        if kept.subscription:
            self.owners[kept.subscription] = name
        self.apply(name, KeyEvent.RESTARTED if kept.safe else KeyEvent.RESTARTED_UNSAFE, kept.wall_us)
        return repeat.stage is not KeyState.FREE
