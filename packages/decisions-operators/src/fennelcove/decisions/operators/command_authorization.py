"""Authorization of operators' commands: signed, for this front, fresh, not replayed, and permitted.

A command is signed with a shared key. The signature covers the addressed front, the method, the path, the
body, the time and a nonce, so that a command can't be altered, sent to another front, or replayed.
"""

from __future__ import annotations

import base64
import hmac
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from fennelcove.decisions.clients.signed_tokens import Mac

HEADER_NAME = "fennelcove-command"
HEADER_PARTS = 4
MAX_CLOCK_SKEW_US = 60_000_000  # between the machines of operators and fronts
MAX_NONCES = 10_000
MAX_NONCE_CHARS = 32
MAX_TIME_DIGITS = 20
MAC_BYTES = 16


class CommandVerdict(Enum):
    """Whether a command is authorized."""

    GRANTED = "granted"
    UNSIGNED = "unsealed"  # no signature, or a malformed one
    WRONG_KEY = "wrong-key"  # signed with no key of this front, or altered, or for another front
    STALE = "stale"  # its time is too far in the past or in the future
    REPLAYED = "replayed"
    NOT_PERMITTED = "not-permitted"
    BUSY = "busy"  # more commands in a short time than nonces can be stored


REMEDIES: dict[CommandVerdict, str] = {
    CommandVerdict.GRANTED: "",
    CommandVerdict.UNSIGNED: "seal it: fennelcove fleet does",
    CommandVerdict.WRONG_KEY: "use a key of this front's settings, and its own name",
    CommandVerdict.STALE: "set the clocks: they differ by over a minute",
    CommandVerdict.REPLAYED: "make a new command; one counts once",
    CommandVerdict.NOT_PERMITTED: "this key may only read",
    CommandVerdict.BUSY: "wait a minute",
}


@dataclass(frozen=True, slots=True)
class SignedCommand:
    """A command, consisting of everything that the signature covers."""

    front: str
    method: str
    path: str
    body: bytes
    wall_us: int
    nonce: str

    def signed_bytes(self) -> bytes:
        """The bytes that are signed; the length of each field makes them unambiguous."""
        texts = (self.front, self.method, self.path, str(self.wall_us), self.nonce)
        parts = [text.encode() for text in texts]
        parts.append(self.body)
        return b"".join(b"%d:%b" % (len(part), part) for part in parts)

    def signature(self, mac: Mac) -> str:
        """The signature with a key's MAC, as text."""
        return base64.urlsafe_b64encode(mac(self.signed_bytes())).decode().rstrip("=")


def sign_command(command: SignedCommand, key_name: str, mac: Mac) -> str:
    """The header field of a command, signed with the key of this name."""
    return f"{key_name}:{command.wall_us}:{command.nonce}:{command.signature(mac)}"


class CommandKey(NamedTuple):
    """A key that signs commands."""

    mac: Mac
    may_change: bool  # whether it permits commands that change state


class CommandCheck(NamedTuple):
    """The verdict on a command, and the name of its key; empty where the signature is malformed."""

    verdict: CommandVerdict
    key_name: str


class _Signature(NamedTuple):
    """The parsed header field of a command."""

    key_name: str
    wall_us: int
    nonce: str
    signature: str


_MALFORMED = CommandCheck(CommandVerdict.UNSIGNED, "")


@dataclass(slots=True)
class CommandAuthorizer:
    """Authorizes commands by one front's keys and the nonces of recent commands; the caller holds the lock.

    `keys` has, for each key name, the fields of a `CommandKey`: the MAC, and whether it permits changes.
    """

    front: str
    keys: Mapping[str, tuple[Mac, bool]]
    nonces: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def authorize(
        self, header: str | None, method: str, path: str, body: bytes, changes: bool, wall_us: int
    ) -> CommandCheck:
        """Decide on a command.

        Args:
            header: its header field with the signature.
            method: its HTTP method.
            path: its path.
            body: its body.
            changes: whether it changes state.
            wall_us: the wall time in microseconds.
        """
        signature = _parse(header or "")
        if signature is None:
            return _MALFORMED
        command = SignedCommand(self.front, method, path, body, signature.wall_us, signature.nonce)
        key = self._verified_key(command, signature)
        if key is None:
            verdict = CommandVerdict.WRONG_KEY
        elif abs(wall_us - command.wall_us) > MAX_CLOCK_SKEW_US:
            verdict = CommandVerdict.STALE
        else:
            verdict = self._use_nonce(signature, wall_us)
            if verdict is CommandVerdict.GRANTED and changes and not key.may_change:
                verdict = CommandVerdict.NOT_PERMITTED
        return CommandCheck(verdict, signature.key_name)

    def _verified_key(self, command: SignedCommand, signature: _Signature) -> CommandKey | None:
        """The key with which the command is signed; None if the signature is wrong."""
        pair = self.keys.get(signature.key_name)
        key = CommandKey(*pair) if pair is not None else None
        # For an unknown key name another MAC is computed, so that the response takes as long.
        mac = key.mac if key is not None else _unknown_key_mac
        expected = command.signature(mac).encode()
        presented = signature.signature.encode("utf-8", "replace")
        return key if hmac.compare_digest(expected, presented) else None

    def _use_nonce(self, signature: _Signature, wall_us: int) -> CommandVerdict:
        """Store the command's nonce; the command is granted if the nonce is new."""
        self._evict_expired(wall_us)
        nonce = f"{signature.key_name}:{signature.nonce}"
        if nonce in self.nonces:
            return CommandVerdict.REPLAYED
        if len(self.nonces) >= MAX_NONCES:
            return CommandVerdict.BUSY
        self.nonces[nonce] = signature.wall_us
        return CommandVerdict.GRANTED

    def _evict_expired(self, wall_us: int) -> None:
        while self.nonces:
            nonce, made_wall_us = next(iter(self.nonces.items()))
            # Stored for twice the skew: a command with a time one minute ahead is fresh for two minutes.
            if wall_us - made_wall_us <= 2 * MAX_CLOCK_SKEW_US:
                return
            del self.nonces[nonce]


def _parse(header: str) -> _Signature | None:
    """The parts of a header field; None if it is malformed."""
    parts = header.split(":")
    if len(parts) != HEADER_PARTS:
        return None
    key_name, wall_us, nonce, signature = parts
    if not wall_us.isdigit() or len(wall_us) > MAX_TIME_DIGITS:
        return None
    if not 0 < len(nonce) <= MAX_NONCE_CHARS:
        return None
    return _Signature(key_name, int(wall_us), nonce, signature)


def _unknown_key_mac(raw: bytes) -> bytes:
    return bytes(MAC_BYTES)
