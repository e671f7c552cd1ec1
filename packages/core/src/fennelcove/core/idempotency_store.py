"""The core's part that knows set-ups by their viewers' keys; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelcove.core.context import CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import ResponseKind, SessionResponse, SessionRequest, Session
from fennelcove.decisions.clients.idempotency import KeyAction, KeyEvent, IdempotencyKey, IdempotencyTable
from fennelcove.interface import Effect
from fennelcove.placement import PlacementPolicy

KEY = b"repeat/"
COME_BACK_US = 1_000_000


class IdempotencyStore:
    """Keys of one front; `accounted` says whether every box has told what it holds."""

    def __init__(
        self,
        context: CoreContext,
        front: PlacementPolicy,
        lifecycle: SessionLifecycle,
        accounted: Callable[[], bool],
    ) -> None:
        self.context = context
        self.front = front
        self.lifecycle = lifecycle
        self.accounted = accounted
        self.repeats = IdempotencyTable()

    def ask(self, ask: SessionRequest) -> tuple[Session | None, SessionResponse] | None:
        """A set-up with a key: what it is told, with what plays; None where it is to be run."""
        if not ask.key:
            return None
        with self.context.lock:
            what = f"{ask.title}/{ask.service_class}"
            safe = self.front.settings.service_classes[ask.service_class].effect is not Effect.SINGLE_SHOT
            found = self.repeats.ask((ask.client, ask.key), what, safe, self.context.wall_us())
            if found is None:
                return None, SessionResponse(ResponseKind.REUSED, "this key stands for another set-up")
            act, repeat = found
            if act is KeyAction.RUN:
                return None
            self.context.tally(f"repeats_{act.name.lower()}")
            return self._told(act, repeat)

    def _told(self, act: KeyAction, repeat: IdempotencyKey) -> tuple[Session | None, SessionResponse]:
        if act is KeyAction.COME_BACK:
            return None, SessionResponse(ResponseKind.THROTTLED, "the same set-up is under way", COME_BACK_US)
        if act is KeyAction.TELL_BARRED:
            return None, SessionResponse(
                ResponseKind.TERMINATED, "the same set-up may have run and must not be repeated"
            )
        session = self.lifecycle.playing(repeat.session)
        if act is KeyAction.SHOW and session is not None:
            return session, SessionResponse(ResponseKind.PLAYING, "")
        if act is KeyAction.SHOW and not self.accounted():
            # Its box may still greet this life of the front.
            return None, SessionResponse(ResponseKind.THROTTLED, "this front has just started", COME_BACK_US)
        return None, SessionResponse(ResponseKind.SPENT, "the set-up under this key has played and ended")

    def begins(self, ask: SessionRequest, session: Session) -> None:
        """The set-up has its subscription."""
        if ask.key:
            with self.context.lock:
                self.repeats.begins((ask.client, ask.key), session.id)

    def over(self, ask: SessionRequest, session: Session | None, answered: SessionResponse | None) -> None:
        """The set-up has its answer, or nobody waits for one any more."""
        if not ask.key:
            return
        with self.context.lock:
            safe = self.front.settings.service_classes[ask.service_class].effect is not Effect.SINGLE_SHOT
            if answered is not None and answered.answer is ResponseKind.PLAYING:
                event = KeyEvent.PLAYS
            elif (
                (answered is not None and answered.answer is ResponseKind.THROTTLED)
                or safe
                or session is None
            ):
                event = KeyEvent.NOTHING
            else:
                event = KeyEvent.MAYBE
            self.repeats.apply((ask.client, ask.key), event, self.context.wall_us())

    def ended(self, session: Session) -> None:
        """A subscription has ended."""
        self.repeats.ended(session.id, self.context.wall_us())

    # For the store.

    def kept(self) -> list[tuple[bytes, bytes]]:
        """What outlives this life."""
        return [(KEY + f"{client}\0{key}".encode(), raw) for (client, key), raw in self.repeats.kept()]

    def restore(self, values: Mapping[bytes, bytes]) -> int:
        """What an earlier life kept; how many keys still stand for something."""
        wall_us, count = self.context.wall_us(), 0
        for name, raw in values.items():
            client, _, key = name.removeprefix(KEY).decode("utf-8", "replace").partition("\0")
            if name.startswith(KEY):
                count += self.repeats.restore((client, key), raw, wall_us)
        return count
