"""Expiring seats: counts stay exact under any mix of leases, renewals, releases, expiry and restarts."""

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
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.settings.schema import StoreSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.front_case import FrontTestCase, wait_for

POOL, DURATION_US = SeatPool("t1", "few"), 1000


class SeatLeasesTest(unittest.TestCase):
    def test_table_is_total_and_each_seat_is_counted_and_freed_once(self) -> None:
        assert set(TRANSITIONS) == {(state, event) for state in SeatState for event in SeatEvent}
        for before, event in TRANSITIONS:
            transition = TRANSITIONS.apply(before, event)
            after, (action,) = transition.state, transition.actions
            assert (action is SeatAction.COUNT) == (
                before is SeatState.UNHELD and after is SeatState.HELD
            ), event
            assert (action is SeatAction.FREE) == (
                before is SeatState.HELD and after is SeatState.RELEASED
            ), event

    def test_ten_thousand_random_operations_agree_with_a_reference_model(self) -> None:
        rng, leases, transitions, now = random.Random(4), SeatLeases(), list[SeatTransition](), 0
        expiry: dict[str, int] = {}  # reference model: when each seat expires, by session
        for i in range(10_000):
            now += rng.randrange(20)
            operation, id = (
                rng.choice(["acquire", "acquire", "renew", "repeat", "release", "expire"]),
                f"s{rng.randrange(300)}",
            )
            if operation == "acquire":
                transitions.append(leases.acquire(id, POOL, DURATION_US, now))
                expiry.setdefault(id, now + DURATION_US)
            elif operation in ("renew", "repeat"):
                transition = leases.renew(id, f"k{i}" if operation == "renew" else "same", now)
                transitions.append(transition)
                assert (transition.action is SeatAction.REFUSE) == (id not in expiry)
                if transition.action is SeatAction.EXTEND:
                    expiry[id] = max(expiry[id], now + DURATION_US)
            elif operation == "release":
                released = leases.release(id, now)
                assert (released is None) == (id not in expiry)
                transitions += [released] if released is not None else []
                expiry.pop(id, None)
            else:
                while expired := leases.pop_expired(now):
                    transitions += expired
                for id in [id for id, until in expiry.items() if until <= now]:
                    del expiry[id]
            if operation != "expire":
                for id in [id for id, until in expiry.items() if until <= now and id not in leases.seats]:
                    del expiry[id]
            assert set(leases.seats) == set(expiry)
            assert leases.counts[POOL] == len(expiry)
        assert replay_counts(transitions) == +Counter({POOL: len(expiry)})
        assert len(leases.deadlines) < 20000

    @given(
        st.lists(
            st.tuples(st.sampled_from(["acquire", "renew", "release", "restart"]), st.integers(0, 3)),
            max_size=40,
        )
    )
    @settings(max_examples=150, deadline=None)
    def test_restart_preserves_each_seat_and_its_expiry(self, operations: list[tuple[str, int]]) -> None:
        leases, now = SeatLeases(), 0
        for operation, number in operations:
            now, id = now + 10, f"s{number}"
            if operation == "acquire":
                leases.acquire(id, POOL, DURATION_US, now)
            elif operation == "renew":
                leases.renew(id, "k", now)
            elif operation == "release":
                leases.release(id, now)
            else:
                restored = SeatLeases()
                for name, record in leases.encode_entries():
                    assert restored.restore(name, record, DURATION_US, now)
                    assert not restored.restore(name, record, DURATION_US, now), "restored twice"
                assert restored.counts == leases.counts
                for name, lease in leases.seats.items():
                    assert (restored.seats[name].expires_wall_us, restored.seats[name].renewal_keys) == (
                        lease.expires_wall_us,
                        lease.renewal_keys,
                    )
                leases = restored

    def test_key_renews_once_and_renewals_do_not_accumulate(self) -> None:
        leases = SeatLeases()
        leases.acquire("a", POOL, DURATION_US, 0)
        assert leases.renew("a", "k", 500).action is SeatAction.EXTEND
        assert leases.renew("a", "k", 900).action is SeatAction.KEEP
        assert leases.seats["a"].expires_wall_us == 1500
        for _ in range(50):
            leases.renew("a", "", 1000)
        assert leases.seats["a"].expires_wall_us == 2000

    def test_clock_set_back_does_not_extend_a_lease(self) -> None:
        leases = SeatLeases()
        leases.acquire("a", POOL, DURATION_US, 10**9)
        restored = SeatLeases()
        restored.restore("a", leases.encode_entries()[0][1], DURATION_US, 5)
        assert restored.seats["a"].expires_wall_us == 5 + DURATION_US
        assert not restored.restore("b", b"none", DURATION_US, 5)

    def test_ten_thousand_simultaneous_expiries_are_returned_in_bounded_batches(self) -> None:
        leases = SeatLeases()
        for i in range(10_000):
            leases.acquire(f"s{i}", POOL, DURATION_US, 0)
        batch_sizes = []
        while expired := leases.pop_expired(DURATION_US):
            batch_sizes.append(len(expired))
        assert (sum(batch_sizes), max(batch_sizes), leases.counts[POOL]) == (10000, MAX_EXPIRED_PER_CALL, 0)
        assert decisions.replay_counts([]) == Counter()


class SeatLeasesFrontTest(FrontTestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.start_system(start=False)
        self.store = StoreSettings(folder=str(Path(directory.name) / "store"))
        self.settings = self.settings_with_seat_duration(700.0)
        self.front = self.start_front()

    def settings_with_seat_duration(self, seat_ms: float) -> Any:
        base = self.make_settings(store=self.store)
        service_classes = [
            msgspec.structs.replace(item, seat_ms=seat_ms) if item.name == "few" else item
            for item in base.room_types
        ]
        return msgspec.structs.replace(base, room_types=service_classes)

    def seat_count(self) -> int:
        return self.front.core.seat_leases.leases.counts[POOL]

    def post(self, path: str, body: bytes = b"{}") -> Any:
        return self.new_client().ask("POST", path, [("Content-Type", "application/json")], body, 5.0)

    def test_seat_that_is_not_renewed_expires_and_is_available_again(self) -> None:
        ids = [self.request_session("few").body["id"] for _ in range(2)]
        assert self.request_session("few").status == 503
        socket = WebSocketClient(self.front.http_server.address, self.clock, random.Random(1))
        self.addCleanup(socket.close)
        socket.ask("resume", subscription=ids[0])

        assert socket.ask("renew-seat", subscription=ids[0])["type"] == "seat"

        def renewed() -> bool:
            assert self.front.core.seat_leases.renew(ids[0], "") is not None
            return ids[1] not in self.front.core.sessions

        wait_for(renewed, "the other seat to expire")
        assert self.get(f"/v1/subscriptions/{ids[1]}").status == 410
        assert self.post(f"/v1/subscriptions/{ids[1]}/seat").status == 410
        assert (self.request_session("few").status, self.seat_count()) == (201, 2)

    def test_renewal_returns_the_remaining_time(self) -> None:
        response = self.request_session("few")
        assert response.body["seat_for_ms"] <= 700
        path = f"/v1/subscriptions/{response.body['id']}/seat"
        first = self.post(path, b'{"key":"k"}')
        repeated = self.post(path, b'{"key":"k"}')
        assert (first.status, repeated.status) == (200, 200)
        assert repeated.body["seat_for_ms"] <= first.body["seat_for_ms"]
        free = self.request_session("free").body
        assert "seat_for_ms" not in free
        assert self.post(f"/v1/subscriptions/{free['id']}/seat").status == 409

    def test_restarted_front_restores_its_seats(self) -> None:
        self.front.stop()
        self.settings = self.settings_with_seat_duration(60_000.0)
        self.front = self.start_front()
        ids = [self.request_session("few").body["id"] for _ in range(2)]
        before = {id: self.front.core.seat_leases.leases.seats[id].expires_wall_us for id in ids}
        self.front.stop()
        self.front = self.start_front()
        wait_for(lambda: self.seat_count() == 2, "both seats to be restored")
        after = {id: lease.expires_wall_us for id, lease in self.front.core.seat_leases.leases.seats.items()}
        assert after == before
        assert self.request_session("few").status == 503

    def test_access_token_may_be_limited_to_titles(self) -> None:
        assert AccessToken("v", 0, 1).titles == ()
        from fennelcove.decisions.clients.access_tokens import PresentedToken, TokenStatus
        from fennelcove.hints import cmcd
        from fennelcove.ingress.routes import build_session_request
        from fennelcove.wire.sessions import SetUp

        token = AccessToken("v", 0, 1, 8, ("other",))
        rejection = build_session_request(
            self.front.core,
            SetUp(room_type="free", title="t1"),
            cmcd.read({}, {}, None),
            PresentedToken(TokenStatus.VALID, token),
        )
        assert rejection == ("not-entitled", "it names other")


if __name__ == "__main__":
    unittest.main()
