"""Idempotency keys of clients: a set-up sent twice under one key counts once, also across a restart.

A client that gets no response can't know whether its set-up was executed. With a key it may send the same
set-up again: it gets the established session, or a response that this session is closed, but never a second
session. A key identifies one set-up of one client. Times are wall time in microseconds, since a key outlives
the process.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

import msgspec
from fennelcove.state_machine import Transition, TransitionTable
from msgspec import Struct

RETENTION_US = 120_000_000  # as long as any client retries to start the same content
MAX_KEYS = 50_000
# How many of the oldest keys one request examines, so that it never holds the lock for long.
EVICTION_SCAN = 2
EVICTION_SCAN_WHEN_FULL = 64


class KeyState(Enum):
    """The state of the set-up under a key."""

    UNUSED = auto()  # no set-up, or one that provably had no effect
    IN_PROGRESS = auto()
    ESTABLISHED = auto()
    CLOSED = auto()  # the session was established and is closed
    INDETERMINATE = auto()  # the set-up may have been executed, and must not be repeated


class KeyEvent(Enum):
    """An event of the set-up."""

    REQUESTED = auto()
    ESTABLISHED = auto()
    FAILED_SAFELY = auto()  # it provably had no effect, or may be repeated
    OUTCOME_UNKNOWN = auto()  # it may have been executed and must not be repeated
    CLOSED = auto()
    RESTARTED = auto()  # this front restarted, and the set-up may be repeated
    RESTARTED_NOT_REPEATABLE = auto()


class KeyAction(Enum):
    """How to respond to a request under a key; member names appear in counters."""

    RUN = auto()  # execute the set-up
    COME_BACK = auto()  # respond with a Retry-After: the set-up is in progress
    SHOW = auto()  # respond with the established session
    TELL_SPENT = auto()  # respond that the session is closed
    TELL_BARRED = auto()  # respond that the set-up may have been executed


_NOT_REQUESTED = [event for event in KeyEvent if event is not KeyEvent.REQUESTED]

TRANSITIONS: TransitionTable[KeyState, KeyEvent, KeyAction] = TransitionTable(
    {
        (KeyState.UNUSED, KeyEvent.REQUESTED): Transition(KeyState.IN_PROGRESS, (KeyAction.RUN,)),
        (KeyState.UNUSED, KeyEvent.ESTABLISHED): Transition(KeyState.ESTABLISHED),
        (KeyState.UNUSED, KeyEvent.FAILED_SAFELY): Transition(KeyState.UNUSED),
        (KeyState.UNUSED, KeyEvent.OUTCOME_UNKNOWN): Transition(KeyState.INDETERMINATE),
        (KeyState.UNUSED, KeyEvent.CLOSED): Transition(KeyState.UNUSED),
        (KeyState.UNUSED, KeyEvent.RESTARTED): Transition(KeyState.UNUSED),
        (KeyState.UNUSED, KeyEvent.RESTARTED_NOT_REPEATABLE): Transition(KeyState.UNUSED),
        (KeyState.IN_PROGRESS, KeyEvent.REQUESTED): Transition(KeyState.IN_PROGRESS, (KeyAction.COME_BACK,)),
        (KeyState.IN_PROGRESS, KeyEvent.ESTABLISHED): Transition(KeyState.ESTABLISHED),
        (KeyState.IN_PROGRESS, KeyEvent.FAILED_SAFELY): Transition(KeyState.UNUSED),
        (KeyState.IN_PROGRESS, KeyEvent.OUTCOME_UNKNOWN): Transition(KeyState.INDETERMINATE),
        # A set-up that was rejected or cancelled is closed as well; its response decides the key's state.
        (KeyState.IN_PROGRESS, KeyEvent.CLOSED): Transition(KeyState.IN_PROGRESS),
        (KeyState.IN_PROGRESS, KeyEvent.RESTARTED): Transition(KeyState.UNUSED),
        (KeyState.IN_PROGRESS, KeyEvent.RESTARTED_NOT_REPEATABLE): Transition(KeyState.INDETERMINATE),
        (KeyState.ESTABLISHED, KeyEvent.REQUESTED): Transition(KeyState.ESTABLISHED, (KeyAction.SHOW,)),
        (KeyState.ESTABLISHED, KeyEvent.ESTABLISHED): Transition(KeyState.ESTABLISHED),
        (KeyState.ESTABLISHED, KeyEvent.FAILED_SAFELY): Transition(KeyState.ESTABLISHED),
        (KeyState.ESTABLISHED, KeyEvent.OUTCOME_UNKNOWN): Transition(KeyState.ESTABLISHED),
        (KeyState.ESTABLISHED, KeyEvent.CLOSED): Transition(KeyState.CLOSED),
        # The server may still play the session: it is then adopted, and returned to the client.
        (KeyState.ESTABLISHED, KeyEvent.RESTARTED): Transition(KeyState.ESTABLISHED),
        (KeyState.ESTABLISHED, KeyEvent.RESTARTED_NOT_REPEATABLE): Transition(KeyState.ESTABLISHED),
        **{(KeyState.CLOSED, event): Transition(KeyState.CLOSED) for event in _NOT_REQUESTED},
        (KeyState.CLOSED, KeyEvent.REQUESTED): Transition(KeyState.CLOSED, (KeyAction.TELL_SPENT,)),
        **{(KeyState.INDETERMINATE, event): Transition(KeyState.INDETERMINATE) for event in _NOT_REQUESTED},
        (KeyState.INDETERMINATE, KeyEvent.REQUESTED): Transition(
            KeyState.INDETERMINATE, (KeyAction.TELL_BARRED,)
        ),
    }
)

# The states in which a session belongs to the key: the key is not evicted, and the session's close applies
# to it.
LIVE_STATES = frozenset({KeyState.IN_PROGRESS, KeyState.ESTABLISHED})


class StoredKey(Struct, frozen=True, array_like=True):
    """A key as it is stored; encoded by the order of its fields."""

    state: int
    target: str
    session_id: str
    touched_wall_us: int
    is_repeatable: bool


class KeyName(NamedTuple):
    """The name of a key: keys of different clients are distinct."""

    client: str
    key: str


@dataclass(slots=True)
class IdempotencyKey:
    """One key of one client."""

    target: str  # what was requested under it; a request for something else does not match the key
    state: KeyState = KeyState.UNUSED
    session_id: str = ""
    touched_wall_us: int = 0  # when it was last used or changed
    is_repeatable: bool = True  # whether a set-up that may have been executed may be repeated

    @property
    def is_live(self) -> bool:
        """Whether a set-up is in progress or a session is established under the key."""
        return self.state in LIVE_STATES

    def apply(self, event: KeyEvent) -> tuple[KeyAction, ...]:
        """Apply an event; return how to respond, where the event is a request."""
        transition = TRANSITIONS.apply(self.state, event)
        self.state = transition.state
        return transition.actions

    def is_expired(self, wall_us: int) -> bool:
        """Whether it was last used too long ago; a clock that was set back makes no key older."""
        return wall_us - self.touched_wall_us > RETENTION_US

    def encode(self) -> bytes:
        """The bytes that are stored."""
        stored = StoredKey(
            self.state.value, self.target, self.session_id, self.touched_wall_us, self.is_repeatable
        )
        return msgspec.msgpack.encode(stored)


class KeyRequest(NamedTuple):
    """How to respond to a request under a key, and the key."""

    action: KeyAction
    key: IdempotencyKey


class StoredEntry(NamedTuple):
    """One key as it is stored."""

    name: KeyName
    raw: bytes


@dataclass(slots=True)
class IdempotencyTable:
    """All keys, the least recently used first; beyond the bound that one is evicted, unless it is live.

    Names of keys are pairs of client and key, as `KeyName`.
    """

    keys: OrderedDict[KeyName, IdempotencyKey] = field(default_factory=OrderedDict)
    names_by_session: dict[str, KeyName] = field(default_factory=dict)

    def request(
        self, name: tuple[str, str], target: str, is_repeatable: bool, wall_us: int
    ) -> KeyRequest | None:
        """Request a set-up under a key; None where the key was used for a different one."""
        self._evict_expired(wall_us)
        key_name = KeyName(*name)
        key = self.keys.get(key_name)
        if key is None:
            key = self.keys[key_name] = IdempotencyKey(target, is_repeatable=is_repeatable)
        elif key.target != target:
            if key.state is not KeyState.UNUSED:
                return None
            key.target = target
            key.is_repeatable = is_repeatable
        self.keys.move_to_end(key_name)
        key.touched_wall_us = wall_us
        (action,) = key.apply(KeyEvent.REQUESTED)
        return KeyRequest(action, key)

    def attach_session(self, name: tuple[str, str], session_id: str) -> None:
        """Attach a session to the key under which it was requested."""
        key_name = KeyName(*name)
        self.keys[key_name].session_id = session_id
        self.names_by_session[session_id] = key_name

    def apply(self, name: tuple[str, str], event: KeyEvent, wall_us: int) -> None:
        """Apply an event to the set-up under a key."""
        key = self.keys.get(KeyName(*name))
        if key is None:
            return
        key.apply(event)
        key.touched_wall_us = wall_us
        if not key.is_live:
            self.names_by_session.pop(key.session_id, None)

    def on_session_closed(self, session_id: str, wall_us: int) -> None:
        """Apply the close of a session to its key, if it has one."""
        name = self.names_by_session.get(session_id)
        if name is not None:
            self.apply(name, KeyEvent.CLOSED, wall_us)

    def _evict_expired(self, wall_us: int) -> None:
        scanned = EVICTION_SCAN if len(self.keys) <= MAX_KEYS else EVICTION_SCAN_WHEN_FULL
        for name, key in list(itertools.islice(self.keys.items(), scanned)):
            is_full = len(self.keys) > MAX_KEYS
            if not key.is_live and (is_full or key.is_expired(wall_us)):
                del self.keys[name]

    def encode_entries(self) -> list[StoredEntry]:
        """The entries to store; unused keys are left out."""
        return [
            StoredEntry(name, key.encode())
            for name, key in self.keys.items()
            if key.state is not KeyState.UNUSED
        ]

    def restore(self, name: tuple[str, str], raw: bytes, wall_us: int) -> bool:
        """Restore a key stored before a restart; False where it is malformed, expired or now unused."""
        key = _decode(raw)
        if key is None or (not key.is_live and key.is_expired(wall_us)):
            return False
        key_name = KeyName(*name)
        self.keys[key_name] = key
        if key.session_id:
            self.names_by_session[key.session_id] = key_name
        event = KeyEvent.RESTARTED if key.is_repeatable else KeyEvent.RESTARTED_NOT_REPEATABLE
        self.apply(key_name, event, key.touched_wall_us)
        return key.state is not KeyState.UNUSED


def _decode(raw: bytes) -> IdempotencyKey | None:
    try:
        stored: StoredKey = msgspec.msgpack.decode(raw, type=StoredKey)
        state = KeyState(stored.state)
    except (msgspec.MsgspecError, ValueError):
        return None
    return IdempotencyKey(
        stored.target, state, stored.session_id, stored.touched_wall_us, stored.is_repeatable
    )
