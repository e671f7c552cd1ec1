"""The checker, on a recording without violations and on recordings that break each rule in turn."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import SLACK_US, check_recording

MS = 1000


def room_type(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "objective_ms": 500,
        "benefit": 1.0,
        "effect": "free",
        "scope": "all",
        "key_ttl_ms": 0,
        "floor": 0,
        "seats": 0,
        **changes,
    }


ROOM_TYPES = [
    room_type("free"),
    room_type("once", effect="single_shot"),
    room_type("keyed", effect="guarded", key_ttl_ms=800),
    room_type("zoned", effect="guarded", scope="zone", key_ttl_ms=9000),
    room_type("high", floor=1),
    room_type("few", seats=1),
]
DEFAULT_TERMS = {
    "t_us": 0,
    "what": "terms",
    "day": "made",
    "service_floor": 0.0,
    "fronts": 2,
    "drain_grace_ms": 1000,
    "ramp_ms": 4000,
    "start_capacity": 0.5,
    "fall_multiple": 2,
    "tip_after_ms": 1000,
    "budget_free": 2,
    "budget_ratio": 0.0,
    "budget_span_ms": 1000,
    "room_types": ROOM_TYPES,
}


class RecordingBuilder:
    """Builds a recording; times in milliseconds."""

    def __init__(self, **terms: Any) -> None:
        self.records: list[Record] = [{**DEFAULT_TERMS, **terms}]
        for i in range(4):
            self.add(0, "box", box=f"b{i}", cell=i, zone=f"z{i % 2}", kind="k", streams=10)

    def add(self, t_ms: float, what: str, **fields: Any) -> RecordingBuilder:
        self.records.append({"t_us": round(t_ms * MS), "what": what, **fields})
        return self

    def ask(self, t: float, id: str, room_type: str = "free", timeout: float = 1000) -> RecordingBuilder:
        return self.add(t, "asked", viewer=id, number=0, room_type=room_type, title="t", timeout_ms=timeout)

    def attempt(
        self,
        t: float,
        id: str,
        server: str = "b0",
        number: int = 0,
        duration: float | None = 10,
        how: str = "started",
        room_type: str = "free",
        rung: int = 1,
        front: str = "f",
    ) -> RecordingBuilder:
        fields = {"box": server, "front": front, "subscription": id, "join": number}
        self.add(t, "set_up", **fields, room_type=room_type, title="t", rung=rung)
        return self if duration is None else self.add(t + duration, "set_up_over", **fields, how=how)

    def answer(self, t: float, id: str, status: int = 201, retry_after: bool = True) -> RecordingBuilder:
        return self.add(
            t,
            "answered",
            viewer=id,
            number=0,
            status=status,
            subscription=id,
            rung=1,
            box="b0",
            retry_after=retry_after,
            cmsd=True,
            detail=None,
        )

    def list_update(self, t: float, complete: bool = False, **states: str) -> RecordingBuilder:
        return self.add(t, "told", version=1, whole=complete, boxes=states)

    def broken_rules(self) -> list[int]:
        self.records.sort(key=lambda record: int(record["t_us"]))
        return [item.rule for item in check_recording(self.records).broken]


class CheckerTest(unittest.TestCase):
    def test_a_clean_recording(self) -> None:
        recording = (
            RecordingBuilder()
            .list_update(0, complete=True, b0="active", b1="active")
            .add(50, "box_started", box="b1")
        )
        recording.ask(100, "a").attempt(110, "a").answer(130, "a")
        recording.ask(200, "b").attempt(210, "b", how="error").attempt(230, "b", "b1", 1).answer(250, "b")
        recording.ask(300, "c").answer(301, "c", 503)
        recording.ask(400, "d", "once").attempt(410, "d", how="turned_away", room_type="once").attempt(
            430, "d", "b1", 1, room_type="once"
        )
        recording.answer(450, "d").list_update(500, b0="leaving").attempt(600, "late")
        assert recording.broken_rules() == []
        verdict = check_recording(recording.records)
        assert (verdict.requests, verdict.played, verdict.throttled) == (4, 3, 1)
        self.assertAlmostEqual(verdict.service, 0.75)
        assert verdict.passed

    def test_rule_1_missing_double_late_or_delayed_response_or_no_retry_time(self) -> None:
        assert RecordingBuilder().ask(0, "a").broken_rules() == [1]
        silent = RecordingBuilder().ask(0, "a").add(1000, "unanswered", viewer="a", number=0, how="timeout")
        assert silent.broken_rules() == [1]
        assert RecordingBuilder().ask(0, "a").answer(5, "a").answer(6, "a").broken_rules() == [1]
        assert RecordingBuilder().ask(0, "a").answer(5, "a").add(
            6, "stray", viewer="a", number=0
        ).broken_rules() == [1]
        assert RecordingBuilder().ask(0, "a", timeout=300).answer(301, "a").broken_rules() == [1]
        assert RecordingBuilder().ask(0, "a").answer(400, "a", 503).broken_rules() == [1]
        assert RecordingBuilder().ask(0, "a").answer(5, "a", 503, retry_after=False).broken_rules() == [1]

    def test_rule_1_exempts_disconnected_clients_and_requests_to_a_stopped_front(self) -> None:
        gone = RecordingBuilder().ask(0, "a").add(50, "unanswered", viewer="a", number=0, how="hung_up")
        assert gone.broken_rules() == []
        for event, how, rules in (
            ("front_stopping", "refused", []),
            ("front_stopping", "timeout", [1]),
            ("front_killed", "timeout", []),
        ):
            recording = RecordingBuilder().ask(900, "a").add(1000, event, front="f")
            recording.add(1100, "unanswered", viewer="a", number=0, how=how).add(
                1200, "front_started", front="f"
            )
            assert recording.broken_rules() == rules
        refused = RecordingBuilder().ask(0, "a").add(10, "unanswered", viewer="a", number=0, how="refused")
        assert refused.broken_rules() == [1]

    def test_rule_2_two_attempts_at_once(self) -> None:
        recording = (
            RecordingBuilder()
            .ask(0, "a", timeout=3000)
            .attempt(0, "a", duration=900, how="error")
            .attempt(100, "a", "b1", 1)
        )
        assert recording.answer(910, "a").broken_rules() == [2]
        never = (
            RecordingBuilder()
            .ask(0, "a")
            .attempt(0, "a", duration=None)
            .attempt(400, "a", "b1", 1)
            .answer(420, "a")
        )
        assert never.broken_rules() == [2]

    def test_rule_2_unsafe_repeats_and_rejections(self) -> None:
        def rules_broken_by_repeat(
            room_type: str, second: str = "b1", at: float = 100, status: int = 201
        ) -> list[int]:
            recording = (
                RecordingBuilder()
                .ask(0, "a", room_type, 5000)
                .attempt(0, "a", how="error", room_type=room_type)
            )
            if second:
                recording.attempt(at, "a", second, 1, room_type=room_type)
            return recording.answer(at + 15, "a", status).broken_rules()

        assert rules_broken_by_repeat("once") == [2]
        assert rules_broken_by_repeat("once", "", status=503) == [2]
        assert rules_broken_by_repeat("once", "", status=502) == []
        assert rules_broken_by_repeat("keyed") == []
        assert rules_broken_by_repeat("keyed", at=800 + SLACK_US / MS + 50) == [2]
        assert rules_broken_by_repeat("keyed", "", status=503) == []
        assert rules_broken_by_repeat("zoned", "b2") == []
        assert rules_broken_by_repeat("zoned", "b1") == [2]
        assert rules_broken_by_repeat("zoned", "", status=503) == [2]

    def test_rule_3_drained_unlisted_and_reactivated_servers(self) -> None:
        late = 1000 + SLACK_US / MS + 100
        recording = (
            RecordingBuilder()
            .list_update(0, complete=True, b0="active", b1="active")
            .list_update(10, b0="leaving")
            .attempt(late + 10, "a")
        )
        assert recording.broken_rules() == [3]
        gone = (
            RecordingBuilder()
            .list_update(0, complete=True, b0="active", b1="active")
            .list_update(10, complete=True, b1="active")
        )
        assert gone.attempt(late + 10, "a").broken_rules() == [3]
        again = (
            RecordingBuilder()
            .list_update(0, complete=True, b0="active")
            .list_update(10, b0="leaving")
            .list_update(900, b0="active")
        )
        assert again.attempt(late + 10, "a").broken_rules() == []

    def test_rule_4_a_cold_server_gets_the_fronts_share_of_its_pace(self) -> None:
        recording = RecordingBuilder().add(100, "box_started", box="b0")
        for i in range(3):
            recording.attempt(110 + i, f"s{i}")
        assert recording.broken_rules() == [4]
        slow = RecordingBuilder().add(100, "box_started", box="b0")
        for i in range(3):
            slow.attempt(110 + i * 1300, f"s{i}")
        assert slow.broken_rules() == []
        assert RecordingBuilder().add(5, "fell", box="b0", front="f").broken_rules() == [4]

    def test_rules_4_5_and_6_apply_to_each_front_alone(self) -> None:
        # Guards against counting the shares of several fronts together, which looks like a violation by one.
        recording = RecordingBuilder().add(100, "box_started", box="b0")
        for i, front in enumerate(("f", "g", "h")):
            recording.attempt(110 + i, f"s{i}", front=front)
        recording.attempt(2000, "t1", "b1", room_type="few", front="f").attempt(
            2001, "t2", "b2", room_type="few", front="g"
        )
        for i, front in enumerate(("f", "f", "g", "g")):
            recording.attempt(3000 + i * 50, f"x{i}", how="error", front=front)
            recording.attempt(3020 + i * 50, f"x{i}", "b1", 1, front=front)
        assert recording.broken_rules() == []
        recording.attempt(114, "more", front="f").attempt(115, "most", front="f")
        assert recording.broken_rules() == [4]

    def test_rule_5_floors_and_seats(self) -> None:
        assert RecordingBuilder().attempt(0, "a", room_type="high", rung=0).broken_rules() == [5]
        lowered = (
            RecordingBuilder()
            .attempt(0, "a", room_type="high")
            .add(50, "rung", box="b0", subscription="a", join=0, rung=0)
        )
        assert lowered.broken_rules() == [5]
        assert RecordingBuilder().attempt(0, "a", room_type="few").attempt(
            50, "b", "b1", room_type="few"
        ).broken_rules() == [5]
        freed = (
            RecordingBuilder()
            .attempt(0, "a", room_type="few")
            .add(20, "released", box="b0", subscription="a", join=0, held=True)
        )
        assert freed.attempt(50, "b", room_type="few").broken_rules() == []

    def test_rule_6_further_attempts_beyond_the_budget(self) -> None:
        def record_further_attempts(count: int) -> RecordingBuilder:
            recording = RecordingBuilder()
            for i in range(count):
                recording.attempt(i * 50, f"s{i}", how="error").attempt(i * 50 + 20, f"s{i}", "b1", 1)
            return recording

        assert record_further_attempts(2).broken_rules() == []
        assert record_further_attempts(3).broken_rules() == [6]

    def test_a_recording_without_terms_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            check_recording([])

    def test_service_below_its_floor_fails(self) -> None:
        recording = RecordingBuilder(service_floor=0.9).ask(0, "a").answer(1, "a", 503)
        assert recording.broken_rules() == []
        assert not check_recording(recording.records).passed


if __name__ == "__main__":
    unittest.main()
