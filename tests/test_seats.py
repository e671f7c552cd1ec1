"""Seats that expire: exact through any mix of taking, renewing, retrying, moving, ending and restarts."""

from __future__ import annotations

import random
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.decisions.clients import seat_leases as decisions
from fennelcove.decisions.clients.access_tokens import AccessToken
from fennelcove.decisions.clients.seat_leases import (
    MAX_EXPIRED_PER_CALL,
    TRANSITIONS,
    SeatAction,
    SeatEvent,
    SeatLeases,
    SeatPool,
    SeatState,
    SeatTransition,
    replay_counts,
)
from fennelcove.emulators.sockets import SocketPlayer
from fennelcove.settings.schema import StoreSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.rig import WholePath, wait_for

POOL, LONG = SeatPool("t1", "few"), 1000


class SeatsTest(unittest.TestCase):
    def test_the_table_is_total_and_a_seat_is_counted_and_freed_once(self) -> None:
        assert set(TRANSITIONS) == {(stage, cue) for stage in SeatState for cue in SeatEvent}
        for stage, cue in TRANSITIONS:
            transition = TRANSITIONS.apply(stage, cue)
            after, (act,) = transition.state, transition.actions
            assert (act is SeatAction.COUNT) == (stage is SeatState.UNHELD and after is SeatState.HELD), cue
            assert (act is SeatAction.FREE) == (stage is SeatState.HELD and after is SeatState.RELEASED), cue

    def test_ten_thousand_mixed_steps_agree_with_an_independent_count(self) -> None:
        chance, seats, steps, now = random.Random(4), SeatLeases(), list[SeatTransition](), 0
        playing: dict[str, int] = {}  # the independent account: until when
        for i in range(10_000):
            now += chance.randrange(20)
            what, id = (
                chance.choice(["take", "take", "renew", "again", "release", "tick"]),
                f"s{chance.randrange(300)}",
            )
            if what == "take":
                steps.append(seats.acquire(id, POOL, LONG, now))
                playing.setdefault(id, now + LONG)
            elif what in ("renew", "again"):
                step = seats.renew(id, f"k{i}" if what == "renew" else "same", now)
                steps.append(step)
                assert (step.action is SeatAction.REFUSE) == (id not in playing)
                if step.action is SeatAction.EXTEND:
                    playing[id] = max(playing[id], now + LONG)
            elif what == "release":
                found = seats.release(id, now)
                assert (found is None) == (id not in playing)
                steps += [found] if found is not None else []
                playing.pop(id, None)
            else:
                while gone := seats.pop_expired(now):
                    steps += gone
                for id in [id for id, until in playing.items() if until <= now]:
                    del playing[id]
            if what != "tick":
                for id in [id for id, until in playing.items() if until <= now and id not in seats.seats]:
                    del playing[id]
            assert set(seats.seats) == set(playing)
            assert seats.counts[POOL] == len(playing)
        assert replay_counts(steps) == +Counter({POOL: len(playing)})
        assert len(seats.deadlines) < 20000

    @given(
        st.lists(
            st.tuples(st.sampled_from(["take", "renew", "release", "restart"]), st.integers(0, 3)),
            max_size=40,
        )
    )
    @settings(max_examples=150, deadline=None)
    def test_a_restart_keeps_each_seat_and_its_time(self, script: list[tuple[str, int]]) -> None:
        seats, now = SeatLeases(), 0
        for what, number in script:
            now, id = now + 10, f"s{number}"
            if what == "take":
                seats.acquire(id, POOL, LONG, now)
            elif what == "renew":
                seats.renew(id, "k", now)
            elif what == "release":
                seats.release(id, now)
            else:
                again = SeatLeases()
                for name, raw in seats.encode_entries():
                    assert again.restore(name, raw, LONG, now)
                    assert not again.restore(name, raw, LONG, now), "told twice"
                assert again.counts == seats.counts
                for name, seat in seats.seats.items():
                    assert (again.seats[name].expires_wall_us, again.seats[name].renewal_keys) == (
                        seat.expires_wall_us,
                        seat.renewal_keys,
                    )
                seats = again

    def test_one_key_renews_once_and_asking_often_saves_nothing_up(self) -> None:
        seats = SeatLeases()
        seats.acquire("a", POOL, LONG, 0)
        assert seats.renew("a", "k", 500).action is SeatAction.EXTEND
        assert seats.renew("a", "k", 900).action is SeatAction.KEEP
        assert seats.seats["a"].expires_wall_us == 1500
        for _ in range(50):
            seats.renew("a", "", 1000)
        assert seats.seats["a"].expires_wall_us == 2000

    def test_a_clock_that_went_back_gives_no_longer_seat(self) -> None:
        seats = SeatLeases()
        seats.acquire("a", POOL, LONG, 10**9)
        again = SeatLeases()
        again.restore("a", seats.encode_entries()[0][1], LONG, 5)
        assert again.seats["a"].expires_wall_us == 5 + LONG
        assert not again.restore("b", b"none", LONG, 5)

    def test_ten_thousand_ends_in_one_tick_come_in_bounded_parts(self) -> None:
        seats = SeatLeases()
        for i in range(10_000):
            seats.acquire(f"s{i}", POOL, LONG, 0)
        parts = []
        while gone := seats.pop_expired(LONG):
            parts.append(len(gone))
        assert (sum(parts), max(parts), seats.counts[POOL]) == (10000, MAX_EXPIRED_PER_CALL, 0)
        assert decisions.replay_counts([]) == Counter()


class SeatsPathTest(WholePath):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.begin(start=False)
        self.store = StoreSettings(folder=str(Path(folder.name) / "store"))
        self.settings = self.lasting(700.0)
        self.front = self.new_front()

    def lasting(self, seat_ms: float) -> Any:
        base = self.changed(store=self.store)
        rooms = [
            msgspec.structs.replace(room, seat_ms=seat_ms) if room.name == "few" else room
            for room in base.room_types
        ]
        return msgspec.structs.replace(base, room_types=rooms)

    def seats(self) -> int:
        return self.front.core.seat_leases.leases.counts[POOL]

    def post(self, path: str, body: bytes = b"{}") -> Any:
        return self.player().ask("POST", path, [("Content-Type", "application/json")], body, 5.0)

    def test_one_not_renewed_is_given_back_and_the_next_viewer_has_it(self) -> None:
        ids = [self.ask("few").body["id"] for _ in range(2)]
        assert self.ask("few").status == 503
        socket = SocketPlayer(self.front.door.address, self.clock, random.Random(1))
        self.addCleanup(socket.close)
        socket.ask("resume", subscription=ids[0])

        assert socket.ask("renew-seat", subscription=ids[0])["type"] == "seat"

        def renewed() -> bool:
            assert self.front.core.seat_leases.renew(ids[0], "") is not None
            return ids[1] not in self.front.core.sessions

        wait_for(renewed, "the end of the other")
        assert self.get(f"/v1/subscriptions/{ids[1]}").status == 410
        assert self.post(f"/v1/subscriptions/{ids[1]}/seat").status == 410
        assert (self.ask("few").status, self.seats()) == (201, 2)

    def test_a_renewal_with_its_key_is_told_for_how_long(self) -> None:
        heard = self.ask("few")
        assert heard.body["seat_for_ms"] <= 700
        path = f"/v1/subscriptions/{heard.body['id']}/seat"
        first = self.post(path, b'{"key":"k"}')
        again = self.post(path, b'{"key":"k"}')
        assert (first.status, again.status) == (200, 200)
        assert again.body["seat_for_ms"] <= first.body["seat_for_ms"]
        free = self.ask("free").body
        assert "seat_for_ms" not in free
        assert self.post(f"/v1/subscriptions/{free['id']}/seat").status == 409

    def test_a_front_that_restarts_holding_seats_counts_them_as_before(self) -> None:
        self.front.stop()
        self.settings = self.lasting(60_000.0)
        self.front = self.new_front()
        ids = [self.ask("few").body["id"] for _ in range(2)]
        before = {id: self.front.core.seat_leases.leases.seats[id].expires_wall_us for id in ids}
        self.front.stop()
        self.front = self.new_front()
        wait_for(lambda: self.seats() == 2, "both seats")
        after = {id: seat.expires_wall_us for id, seat in self.front.core.seat_leases.leases.seats.items()}
        assert after == before
        assert self.ask("few").status == 503

    def test_passes_name_titles(self) -> None:
        assert AccessToken("v", 0, 1).titles == ()
        from fennelcove.decisions.clients.access_tokens import PresentedToken, TokenStatus
        from fennelcove.hints import cmcd
        from fennelcove.ingress.routes import asked_for
        from fennelcove.wire.sessions import SetUp

        held = AccessToken("v", 0, 1, 8, ("other",))
        found = asked_for(
            self.front.core,
            SetUp(room_type="free", title="t1"),
            cmcd.read({}, {}, None),
            PresentedToken(TokenStatus.VALID, held),
        )
        assert found == ("not-entitled", "it names other")


if __name__ == "__main__":
    unittest.main()
