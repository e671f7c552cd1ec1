"""Encodes and dispatches the messages by which fronts agree on concurrency limits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fennelcove import limit_messages
from fennelcove.concurrency_limits.replica import LimitReport, Replica
from fennelcove.decisions.fleet.shared_quotas import QuotaTransfer


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """An encoded message and the index of the front that receives it."""

    front: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class MessageOutcome:
    """The effect of a received message.

    Attributes:
        reply: The encoded reply to the sender, if there is one.
        has_more_capacity: Whether this front may have more attempts in flight than before.
    """

    reply: bytes | None = None
    has_more_capacity: bool = False


class LimitMessageHandler:
    """Translates between a replica and the bytes exchanged with other fronts; the caller holds the lock."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def encode_window(self, messages: Sequence[LimitReport], now_us: int) -> list[OutgoingMessage]:
        """Encode a window's messages, and start notices for fronts that have not acknowledged one yet."""
        replica = self._replica
        outgoing = []
        for front in sorted({recipient for message in messages for recipient in message.recipients}):
            addressed = [message for message in messages if front in message.recipients]
            payloads = limit_messages.encode(replica.incarnation, replica.sequence, addressed, now_us)
            outgoing += [OutgoingMessage(front, payload) for payload in payloads]
        start_notice = limit_messages.encode_incarnation(
            limit_messages.INCARNATION_BEGUN, replica.incarnation
        )
        outgoing += [OutgoingMessage(front, start_notice) for front in replica.incarnation_recipients()]
        return outgoing

    def on_message(self, sender: int, payload: bytes, now_us: int) -> MessageOutcome | None:
        """Apply a message of one of `limit_messages.KINDS`; return None if it is malformed."""
        kind = payload[0] if payload else 0
        if kind in (limit_messages.COUNTS_REPORT, limit_messages.LIMIT_VOTES):
            return self._on_observations(sender, payload, now_us)
        if kind in (limit_messages.SLOT_REQUEST, limit_messages.SLOT_TRANSFER):
            return self._on_quota_exchange(sender, payload, now_us)
        return self._on_incarnation(sender, payload, kind, now_us)

    def _on_observations(self, sender: int, payload: bytes, now_us: int) -> MessageOutcome | None:
        decoded = limit_messages.decode(payload, now_us)
        if decoded is None:
            return None
        incarnation, sequence, messages = decoded
        # A list, not a generator: `any` would otherwise skip the messages after the first change.
        changes = [
            self._replica.on_report(sender, incarnation, sequence, message, now_us) for message in messages
        ]
        return MessageOutcome(has_more_capacity=any(changes))

    def _on_quota_exchange(self, sender: int, payload: bytes, now_us: int) -> MessageOutcome | None:
        decoded = limit_messages.decode_slot_message(payload)
        if decoded is None:
            return None
        server_key, message = decoded
        if isinstance(message, QuotaTransfer):
            return MessageOutcome(
                has_more_capacity=self._replica.on_transfer(sender, server_key, message, now_us)
            )
        transfer = self._replica.on_request(sender, server_key, message, now_us)
        if transfer is None:
            return MessageOutcome()
        return MessageOutcome(reply=limit_messages.encode_slot_message(server_key, transfer))

    def _on_incarnation(self, sender: int, payload: bytes, kind: int, now_us: int) -> MessageOutcome | None:
        incarnation = limit_messages.decode_incarnation(payload)
        if incarnation is None:
            return None
        if kind == limit_messages.SLOTS_CLEARED:
            return MessageOutcome(
                has_more_capacity=self._replica.on_incarnation_acknowledged(sender, incarnation)
            )
        if self._replica.on_incarnation_started(sender, now_us):
            return MessageOutcome(
                reply=limit_messages.encode_incarnation(limit_messages.SLOTS_CLEARED, incarnation)
            )
        return MessageOutcome()
