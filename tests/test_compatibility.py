"""Data and messages of an earlier version are read by this one, and messages go out byte for byte alike.

The files in `fixtures/tree-775be88` were written by the tree of that commit: a store, a store of promises, a
key file, a ledger, an audit file, tokens, and one message of each kind between fronts, with the values that
tree read back out of them, field by field in the order of declaration. A renamed type or field must not
change any of them.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from fractions import Fraction
from pathlib import Path
from typing import Any

import blake3
import msgspec
import pytest
from fennelcove import limit_messages, messages, rollout_messages, usage_messages
from fennelcove.concurrency_limits.persisted import StoredLimit
from fennelcove.daemon import key_file
from fennelcove.daemon.audit_file import AuditFile, check
from fennelcove.daemon.ledger_file import LedgerFile
from fennelcove.daemon.rollouts import StoredRollouts
from fennelcove.decisions.clients import access_tokens, waiting_room
from fennelcove.decisions.clients.idempotency import IdempotencyTable, KeyState, StoredKey
from fennelcove.decisions.clients.seat_leases import SeatLeases, StoredSeat
from fennelcove.decisions.playback import resume_tokens
from fennelcove.decisions.recovery import snapshot
from fennelcove.store.directory import Store

FIXTURES = Path(__file__).parent / "fixtures" / "tree-775be88"
RECORD: dict[str, Any] = json.loads((FIXTURES / "record.json").read_text("utf-8"))
MESSAGES: dict[str, Any] = json.loads((FIXTURES / "messages.json").read_text("utf-8"))
NOW_US = 500_000_000


def flat(value: Any) -> Any:
    """A value as JSON holds it, without the names of types and fields."""
    if is_dataclass(value):
        return [flat(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, msgspec.Struct):
        return [flat(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Fraction):
        return str(value)
    if isinstance(value, set | frozenset):
        return sorted(flat(item) for item in value)
    if isinstance(value, dict):
        return {str(key): flat(item) for key, item in value.items()}
    if isinstance(value, Enum) and not isinstance(value, int):
        return flat(value.value)
    if isinstance(value, bytes):
        return value.hex()
    if hasattr(value, "__iter__") and not isinstance(value, str):
        return [flat(item) for item in value]
    return int(value) if isinstance(value, int) and not isinstance(value, bool) else value


def encode_limits(read: Any) -> bytes:
    incarnation, number, told = read
    (raw,) = limit_messages.encode(incarnation, number, told, NOW_US)
    return raw


CODECS: dict[str, tuple[Callable[[bytes], Any], Callable[[Any], bytes]]] = {
    "peer": (lambda raw: messages.decode(3, raw), lambda read: messages.encode(read)[0]),
    "beat": (messages.decode_heartbeat, messages.encode_heartbeat),
    "summary": (messages.decode_load_summary, messages.encode_load_summary),
    "budget": (messages.decode_quota_message, messages.encode_quota_message),
    "word": (messages.decode_health_report, messages.encode_health_report),
    "rollout": (rollout_messages.decode, rollout_messages.encode),
    "usage": (usage_messages.decode, lambda read: usage_messages.encode(read)[0]),
    "limits": (lambda raw: limit_messages.decode(raw, NOW_US), encode_limits),
    "limit_transfer": (
        limit_messages.decode_slot_message,
        lambda read: limit_messages.encode_slot_message(*read),
    ),
}


@pytest.mark.parametrize("kind", CODECS)
def test_a_message_of_the_earlier_version_is_read_alike_and_sent_alike(kind: str) -> None:
    decode, encode = CODECS[kind]
    assert MESSAGES[kind]
    for raw, expected in MESSAGES[kind]:
        read = decode(bytes.fromhex(raw))
        assert flat(read) == expected
        assert encode(read).hex() == raw


def test_every_recorded_kind_of_message_is_compared() -> None:
    assert set(MESSAGES) == {*CODECS, "limit_incarnation"}


def test_an_incarnation_that_begins_or_ends_is_read_and_sent_alike() -> None:
    for raw, expected in MESSAGES["limit_incarnation"]:
        assert limit_messages.decode_incarnation(bytes.fromhex(raw)) == expected
        assert limit_messages.encode_incarnation(bytes.fromhex(raw)[0], expected).hex() == raw


def test_a_store_of_the_earlier_version_is_opened_with_all_its_records(tmp_path: Path) -> None:
    shutil.copytree(FIXTURES / "store", tmp_path / "store")
    store = Store(str(tmp_path / "store"), 4, "front-1")
    try:
        assert {key.hex(): value.hex() for key, value in store.values.items()} == RECORD["store"]
    finally:
        store.close()


def test_records_of_the_earlier_version_hold_the_same_values() -> None:
    stored = {bytes.fromhex(key): bytes.fromhex(value) for key, value in RECORD["store"].items()}
    expected = RECORD["read"]
    address = b"10.0.0.1:9000"
    assert flat(snapshot.read_server(stored[b"box/" + address])) == expected["box"]
    assert flat(snapshot.read_front(stored[b"front"])) == expected["front"]
    assert flat(snapshot.read_list(stored[b"list"])) == expected["list"]
    assert snapshot.format_of(stored) == snapshot.FORMAT_VERSION
    limits = msgspec.msgpack.decode(stored[b"slots/" + address], type=StoredLimit)
    assert flat(limits) == expected["slots"]
    assert msgspec.msgpack.encode(limits) == stored[b"slots/" + address]


def test_promises_of_the_earlier_version_are_read(tmp_path: Path) -> None:
    shutil.copytree(FIXTURES / "store" / "promises", tmp_path / "promises")
    store = Store(str(tmp_path / "promises"), 4, "front-1")
    try:
        raw = store.values[b"releases"]
    finally:
        store.close()
    read = msgspec.msgpack.decode(raw, type=StoredRollouts)
    assert flat(read) == RECORD["read"]["rollouts"]
    assert msgspec.msgpack.encode(read) == raw


def test_idempotency_keys_of_the_earlier_version_are_restored() -> None:
    assert RECORD["repeats"]
    for client, key, raw, expected in RECORD["repeats"]:
        stored = msgspec.msgpack.decode(bytes.fromhex(raw), type=StoredKey)
        assert flat(stored) == expected
        assert msgspec.msgpack.encode(stored).hex() == raw
        # A set-up that still ran may be done again: its key stands for nothing after a restart.
        was_running = KeyState(stored.state) is KeyState.IN_PROGRESS
        restored = IdempotencyTable().restore((client, key), bytes.fromhex(raw), RECORD["wall_us"])
        assert restored is not was_running


def test_a_seat_of_the_earlier_version_is_restored() -> None:
    raw, expected = RECORD["seat"]
    stored = msgspec.msgpack.decode(bytes.fromhex(raw), type=StoredSeat)
    assert flat(stored) == expected
    assert msgspec.msgpack.encode(stored).hex() == raw
    assert SeatLeases().restore("s-viewer-1", bytes.fromhex(raw), 60_000_000, RECORD["wall_us"])


def test_a_key_file_of_the_earlier_version_gives_the_same_keys() -> None:
    keys = key_file.load(str(FIXTURES / "place.keys"), RECORD["wall_us"] // 1000)
    assert [key.hex() for key in keys] == RECORD["keys"]


def test_tokens_of_the_earlier_version_are_verified_and_signed_alike() -> None:
    key = bytes.fromhex(RECORD["keys"][0])

    def mac(raw: bytes) -> bytes:
        return blake3.blake3(raw, key=key).digest(16)

    token, expected = RECORD["tokens"]["ticket"]
    ticket = waiting_room.verify_ticket(token, [mac])
    assert ticket is not None
    assert flat(ticket) == expected
    assert waiting_room.sign_ticket(ticket, mac) == token

    token, expected = RECORD["tokens"]["pass"]
    shown = access_tokens.verify_access_token(token, [mac], RECORD["wall_us"])
    assert shown.token is not None
    assert flat(shown.token) == expected
    assert access_tokens.sign_access_token(shown.token, mac) == token

    text, expected = RECORD["tokens"]["resume"]
    track = resume_tokens.decode(text)
    assert track is not None
    assert flat(track) == expected
    assert resume_tokens.encode(track) == text


def test_a_ledger_of_the_earlier_version_gives_the_same_changes() -> None:
    def refuse(event: str, **fields: object) -> None:
        raise AssertionError((event, fields))

    changes = LedgerFile(str(FIXTURES / "ledger"), refuse).load()
    assert [[flat(change), made] for change, made in changes] == RECORD["ledger"]


def test_an_audit_file_of_the_earlier_version_is_whole_and_can_be_continued(tmp_path: Path) -> None:
    path = tmp_path / "audit"
    shutil.copy(FIXTURES / "audit", path)
    audit = AuditFile(str(path))
    assert audit.last == RECORD["audit_last"]
    audit.append(wall_us=RECORD["wall_us"] + 9, key="ops", command="undrain", verdict="granted")
    assert check(str(path)) is None
    assert len(path.read_bytes().splitlines()) == 4
