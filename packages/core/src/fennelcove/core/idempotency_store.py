"""The core's part that knows set-ups by their viewers' keys; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelcove.core.context import CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import ResponseKind, SessionResponse, SessionRequest, Session
from fennelcove.decisions.clients.idempotency import KeyAction, KeyEvent, IdempotencyKey, IdempotencyTable
from fennelcove.interface import Effect
from fennelcove.placement import PlacementPolicy

KEY_PREFIX = b"repeat/"
RETRY_AFTER_US = 1_000_000


class IdempotencyStore:
    """Keys of one front; `accounted` says whether every box has told what it holds."""

    def __init__(
        self,
        context: CoreContext,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        is_recovered: Callable[[], bool],
    ) -> None:
        self.context = context
        self.policy = policy
        self.lifecycle = lifecycle
        self.is_recovered = is_recovered
        self.table = IdempotencyTable()

    def find_response(self, ask: SessionRequest) -> tuple[Session | None, SessionResponse] | None:
        """A set-up with a key: what it is told, with what plays; None where it is to be run."""
        if not ask.idempotency_key:
            return None
        with self.context.lock:
            what = f"{ask.title}/{ask.service_class}"
            safe = self.policy.settings.service_classes[ask.service_class].effect is not Effect.SINGLE_SHOT
            found = self.table.ask((ask.client, ask.idempotency_key), what, safe, self.context.wall_us())
            if found is None:
                return None, SessionResponse(ResponseKind.KEY_REUSED, "this key stands for another set-up")
            act, repeat = found
            if act is KeyAction.RUN:
                return None
            self.context.tally(f"repeats_{act.name.lower()}")
            return self._response_for(act, repeat)

    def _response_for(self, act: KeyAction, repeat: IdempotencyKey) -> tuple[Session | None, SessionResponse]:
        if act is KeyAction.COME_BACK:
            return None, SessionResponse(
                ResponseKind.THROTTLED, "the same set-up is under way", RETRY_AFTER_US
            )
        if act is KeyAction.TELL_BARRED:
            return None, SessionResponse(
                ResponseKind.FAILED, "the same set-up may have run and must not be repeated"
            )
        session = self.lifecycle.playing(repeat.session)
        if act is KeyAction.SHOW and session is not None:
            return session, SessionResponse(ResponseKind.PLAYING, "")
        if act is KeyAction.SHOW and not self.is_recovered():
            # Its box may still greet this life of the front.
            return None, SessionResponse(
                ResponseKind.THROTTLED, "this front has just started", RETRY_AFTER_US
            )
        return None, SessionResponse(ResponseKind.KEY_SPENT, "the set-up under this key has played and ended")

    def bind_session(self, ask: SessionRequest, session: Session) -> None:
        """The set-up has its subscription."""
        if ask.idempotency_key:
            with self.context.lock:
                self.table.begins((ask.client, ask.idempotency_key), session.id)

    def on_response(
        self, ask: SessionRequest, session: Session | None, answered: SessionResponse | None
    ) -> None:
        """The set-up has its answer, or nobody waits for one any more."""
        if not ask.idempotency_key:
            return
        with self.context.lock:
            safe = self.policy.settings.service_classes[ask.service_class].effect is not Effect.SINGLE_SHOT
            if answered is not None and answered.kind is ResponseKind.PLAYING:
                event = KeyEvent.PLAYS
            elif (
                (answered is not None and answered.kind is ResponseKind.THROTTLED) or safe or session is None
            ):
                event = KeyEvent.NOTHING
            else:
                event = KeyEvent.MAYBE
            self.table.apply((ask.client, ask.idempotency_key), event, self.context.wall_us())

    def on_session_closed(self, session: Session) -> None:
        """A subscription has ended."""
        self.table.ended(session.id, self.context.wall_us())

    # For the store.

    def kept(self) -> list[tuple[bytes, bytes]]:
        """What outlives this life."""
        return [(KEY_PREFIX + f"{client}\0{key}".encode(), raw) for (client, key), raw in self.table.kept()]

    def restore(self, values: Mapping[bytes, bytes]) -> int:
        """What an earlier life kept; how many keys still stand for something."""
        wall_us, count = self.context.wall_us(), 0
        for name, raw in values.items():
            client, _, key = name.removeprefix(KEY_PREFIX).decode("utf-8", "replace").partition("\0")
            if name.startswith(KEY_PREFIX):
                count += self.table.restore((client, key), raw, wall_us)
        return count
