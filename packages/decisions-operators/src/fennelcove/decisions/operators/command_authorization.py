"""Which commands of operators a front carries out: sealed, for this front, fresh, not seen before, permitted.

A command is sealed with a key that both sides hold, over all that it says: who it is for, method, path, body,
when it was made and a number used once. So it can't be altered, sent to another front, or sent again.
"""

from __future__ import annotations

import base64
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from fennelcove.decisions.clients.signed_tokens import Mac

HEADER = "fennelcove-command"
MAX_CLOCK_SKEW_US = 60_000_000  # clocks of operators' machines and fronts may differ by so much
MAX_NONCES = 10_000
MAX_NONCE_CHARS = 32


class CommandVerdict(Enum):
    """What a front makes of a command."""

    GRANTED = "granted"
    UNSEALED = "unsealed"  # no seal, or none that can be read
    WRONG_KEY = "wrong-key"  # made under no key of ours, or altered, or for another front
    STALE = "stale"  # its time is too far from ours
    REPLAYED = "replayed"
    NOT_PERMITTED = "not-permitted"
    BUSY = "busy"  # more commands in the window than can be told apart


REMEDIES: dict[CommandVerdict, str] = {
    CommandVerdict.GRANTED: "",
    CommandVerdict.UNSEALED: "seal it: fennelcove fleet does",
    CommandVerdict.WRONG_KEY: "use a key of this front's settings, and its own name",
    CommandVerdict.STALE: "set the clocks: they differ by over a minute",
    CommandVerdict.REPLAYED: "make a new command; one counts once",
    CommandVerdict.NOT_PERMITTED: "this key may only read",
    CommandVerdict.BUSY: "wait a minute",
}


@dataclass(frozen=True, slots=True)
class SignedCommand:
    """What is sealed."""

    front: str
    method: str
    path: str
    body: bytes
    wall_us: int
    nonce: str

    def signed_bytes(self) -> bytes:
        """The bytes under the seal; lengths keep two fields from being read as one."""
        parts = [self.front, self.method, self.path, str(self.wall_us), self.nonce]
        return b"".join(b"%d:%b" % (len(part), part) for part in [*(p.encode() for p in parts), self.body])


def sign_command(command: SignedCommand, key: str, mac: Mac) -> str:
    """The header field of a command, under a key of this name."""
    mark = base64.urlsafe_b64encode(mac(command.signed_bytes())).decode().rstrip("=")
    return f"{key}:{command.wall_us}:{command.nonce}:{mark}"


@dataclass(slots=True)
class CommandAuthorizer:
    """One front's memory of commands; the caller holds the lock. Keys are by name: a MAC, and whether it
    may change anything."""

    front: str
    keys: Mapping[str, tuple[Mac, bool]]
    nonces: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def check(
        self, header: str | None, method: str, path: str, body: bytes, changes: bool, wall_us: int
    ) -> tuple[CommandVerdict, str]:
        """Rule on one; the verdict, and the name of its key."""
        parts = (header or "").split(":")
        if len(parts) != 4 or not parts[1].isdigit() or len(parts[1]) > 20:
            return CommandVerdict.UNSEALED, ""
        key, told, nonce, mark = parts
        if not 0 < len(nonce) <= MAX_NONCE_CHARS:
            return CommandVerdict.UNSEALED, ""
        held = self.keys.get(key)
        command = SignedCommand(self.front, method, path, body, int(told), nonce)
        # Without such a key one is made up, so that the answer takes as long.
        mac = held[0] if held is not None else _unknown_key_mac
        fits = _same(sign_command(command, key, mac).rpartition(":")[2], mark)
        if held is None or not fits:
            return CommandVerdict.WRONG_KEY, key
        if abs(wall_us - command.wall_us) > MAX_CLOCK_SKEW_US:
            return CommandVerdict.STALE, key
        self._evict_expired(wall_us)
        if f"{key}:{nonce}" in self.nonces:
            return CommandVerdict.REPLAYED, key
        if len(self.nonces) >= MAX_NONCES:
            return CommandVerdict.BUSY, key
        self.nonces[f"{key}:{nonce}"] = command.wall_us
        if changes and not held[1]:
            return CommandVerdict.NOT_PERMITTED, key
        return CommandVerdict.GRANTED, key

    def _evict_expired(self, wall_us: int) -> None:
        while self.nonces:
            name, at_us = next(iter(self.nonces.items()))
            # Kept for both ends of the window: one made a minute ahead may come for two.
            if wall_us - at_us <= 2 * MAX_CLOCK_SKEW_US:
                return
            del self.nonces[name]


def _unknown_key_mac(raw: bytes) -> bytes:
    return bytes(16)


def _same(one: str, other: str) -> bool:
    if len(one) != len(other):
        return False
    differs = 0
    for a, b in zip(one.encode(), other.encode("utf-8", "replace"), strict=False):
        differs |= a ^ b
    return differs == 0
