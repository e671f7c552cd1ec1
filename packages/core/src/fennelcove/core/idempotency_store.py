"""Recognises repeated requests by their idempotency keys; acquires the core's lock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import ResponseKind, Session, SessionRequest, SessionResponse
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.idempotency import IdempotencyKey, IdempotencyTable, KeyAction, KeyEvent
from fennelcove.decisions.fleet.recovery_admission import RecoveryAdmission
from fennelcove.interface import Effect
from fennelcove.placement import PlacementPolicy

KEY_PREFIX = b"repeat/"  # of idempotency keys in the store
RETRY_AFTER_US = 1_000_000


@dataclass(frozen=True, slots=True)
class KnownResponse:
    """The response to a repeated request, with the session that the first request established, if any."""

    session: Session | None
    response: SessionResponse


class IdempotencyStore:
    """The idempotency keys of a front."""

    def __init__(
        self,
        context: CoreContext,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        recovery: RecoveryAdmission,
    ) -> None:
        self.context = context
        self.policy = policy
        self.lifecycle = lifecycle
        self.recovery = recovery
        self.table = IdempotencyTable()

    def find_response(self, request: SessionRequest) -> KnownResponse | None:
        """Return the response to a request whose key is known; None if the request is to be run."""
        if not request.idempotency_key:
            return None
        with self.context.lock:
            fingerprint = f"{request.title}/{request.service_class}"
            found = self.table.request(
                _key_of(request), fingerprint, self._is_repeatable(request), self.context.wall_us()
            )
            if found is None:
                return _rejection(ResponseKind.KEY_REUSED, "this key stands for another set-up")
            action, key = found
            if action is KeyAction.RUN:
                return None
            self.context.increment(f"repeats_{action.name.lower()}")
            return self._known_response(action, key)

    def _known_response(self, action: KeyAction, key: IdempotencyKey) -> KnownResponse:
        if action is KeyAction.COME_BACK:
            return _rejection(ResponseKind.REJECTED, "the same set-up is under way", RETRY_AFTER_US)
        if action is KeyAction.TELL_BARRED:
            return _rejection(ResponseKind.FAILED, "the same set-up may have run and must not be repeated")
        session = self.lifecycle.find_established(key.session_id)
        if action is KeyAction.SHOW and session is not None:
            return KnownResponse(session, SessionResponse(ResponseKind.PLAYING, ""))
        if action is KeyAction.SHOW and not self.recovery.is_settled:
            # The session's server may not have reported it to this incarnation yet.
            return _rejection(ResponseKind.REJECTED, "this front has just started", RETRY_AFTER_US)
        return _rejection(ResponseKind.KEY_SPENT, "the set-up under this key has played and ended")

    def bind_session(self, request: SessionRequest, session: Session) -> None:
        """Record which session a request has created."""
        if request.idempotency_key:
            with self.context.lock:
                self.table.attach_session(_key_of(request), session.id)

    def on_response(
        self, request: SessionRequest, session: Session | None, response: SessionResponse | None
    ) -> None:
        """Handle the end of a request; the response is None if nobody waits for it."""
        if not request.idempotency_key:
            return
        with self.context.lock:
            event = self._event_of(request, session, response)
            self.table.apply(_key_of(request), event, self.context.wall_us())

    def _event_of(
        self, request: SessionRequest, session: Session | None, response: SessionResponse | None
    ) -> KeyEvent:
        kind = response.kind if response is not None else None
        if kind is ResponseKind.PLAYING:
            return KeyEvent.ESTABLISHED
        has_not_run = kind is ResponseKind.REJECTED or session is None
        if has_not_run or self._is_repeatable(request):
            return KeyEvent.FAILED_SAFELY
        return KeyEvent.OUTCOME_UNKNOWN

    def _is_repeatable(self, request: SessionRequest) -> bool:
        """Return whether a set-up of the request's service class may run twice."""
        service_class = self.policy.settings.service_classes[request.service_class]
        return service_class.effect is not Effect.SINGLE_SHOT

    def on_session_closed(self, session: Session) -> None:
        """Mark the session's key, if it has one, as used up."""
        self.table.on_session_closed(session.id, self.context.wall_us())

    def persisted_entries(self) -> list[tuple[bytes, bytes]]:
        """Return the idempotency keys as keys and values for the store."""
        return [
            (KEY_PREFIX + f"{client}\0{key}".encode(), value)
            for (client, key), value in self.table.encode_entries()
        ]

    def restore(self, values: Mapping[bytes, bytes]) -> int:
        """Restore stored keys; return how many of them are still valid."""
        wall_us = self.context.wall_us()
        restored_count = 0
        for name, value in values.items():
            if name.startswith(KEY_PREFIX):
                stored = name.removeprefix(KEY_PREFIX).decode("utf-8", "replace")
                client, _, key = stored.partition("\0")
                restored_count += self.table.restore((client, key), value, wall_us)
        return restored_count


def _key_of(request: SessionRequest) -> tuple[str, str]:
    return request.client, request.idempotency_key


def _rejection(kind: ResponseKind, reason: str, retry_after_us: int = 0) -> KnownResponse:
    return KnownResponse(None, SessionResponse(kind, reason, retry_after_us))
