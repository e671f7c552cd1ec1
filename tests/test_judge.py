"""The checker, on a recording without violations and on recordings that break each rule in turn."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import SLACK_US, judge

MS = 1000


def room(name: str, **changes: Any) -> dict[str, Any]:
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


ROOMS = [
    room("free"),
    room("once", effect="single_shot"),
    room("keyed", effect="guarded", key_ttl_ms=800),
    room("zoned", effect="guarded", scope="zone", key_ttl_ms=9000),
    room("high", floor=1),
    room("few", seats=1),
]
TERMS = {
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
    "room_types": ROOMS,
}


class Made:
    """Builds a recording; times in milliseconds."""

    def __init__(self, **terms: Any) -> None:
        self.records: list[Record] = [{**TERMS, **terms}]
        for i in range(4):
            self.add(0, "box", box=f"b{i}", cell=i, zone=f"z{i % 2}", kind="k", streams=10)

    def add(self, t_ms: float, what: str, **fields: Any) -> Made:
        self.records.append({"t_us": round(t_ms * MS), "what": what, **fields})
        return self

    def ask(self, t: float, id: str, room: str = "free", timeout: float = 1000) -> Made:
        return self.add(t, "asked", viewer=id, number=0, room_type=room, title="t", timeout_ms=timeout)

    def join(
        self,
        t: float,
        id: str,
        box: str = "b0",
        number: int = 0,
        over: float | None = 10,
        how: str = "started",
        room: str = "free",
        rung: int = 1,
        front: str = "f",
    ) -> Made:
        told = {"box": box, "front": front, "subscription": id, "join": number}
        self.add(t, "set_up", **told, room_type=room, title="t", rung=rung)
        return self if over is None else self.add(t + over, "set_up_over", **told, how=how)

    def answer(self, t: float, id: str, status: int = 201, retry_after: bool = True) -> Made:
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

    def told(self, t: float, whole: bool = False, **states: str) -> Made:
        return self.add(t, "told", version=1, whole=whole, boxes=states)

    def broken(self) -> list[int]:
        self.records.sort(key=lambda record: int(record["t_us"]))
        return [item.rule for item in judge(self.records).broken]


class JudgeTest(unittest.TestCase):
    def test_a_clean_evening(self) -> None:
        made = Made().told(0, whole=True, b0="active", b1="active").add(50, "box_started", box="b1")
        made.ask(100, "a").join(110, "a").answer(130, "a")
        made.ask(200, "b").join(210, "b", how="error").join(230, "b", "b1", 1).answer(250, "b")
        made.ask(300, "c").answer(301, "c", 503)
        made.ask(400, "d", "once").join(410, "d", how="turned_away", room="once").join(
            430, "d", "b1", 1, room="once"
        )
        made.answer(450, "d").told(500, b0="leaving").join(600, "late")
        assert made.broken() == []
        verdict = judge(made.records)
        assert (verdict.requests, verdict.played, verdict.throttled) == (4, 3, 1)
        self.assertAlmostEqual(verdict.service, 0.75)
        assert verdict.passed

    def test_rule_1_no_answer_two_answers_late_held_back_or_without_a_time(self) -> None:
        assert Made().ask(0, "a").broken() == [1]
        silent = Made().ask(0, "a").add(1000, "unanswered", viewer="a", number=0, how="timeout")
        assert silent.broken() == [1]
        assert Made().ask(0, "a").answer(5, "a").answer(6, "a").broken() == [1]
        assert Made().ask(0, "a").answer(5, "a").add(6, "stray", viewer="a", number=0).broken() == [1]
        assert Made().ask(0, "a", timeout=300).answer(301, "a").broken() == [1]
        assert Made().ask(0, "a").answer(400, "a", 503).broken() == [1]
        assert Made().ask(0, "a").answer(5, "a", 503, retry_after=False).broken() == [1]

    def test_rule_1_excuses_what_hung_up_and_what_a_front_that_was_down_never_took(self) -> None:
        gone = Made().ask(0, "a").add(50, "unanswered", viewer="a", number=0, how="hung_up")
        assert gone.broken() == []
        for event, how, rules in (
            ("front_stopping", "refused", []),
            ("front_stopping", "timeout", [1]),
            ("front_killed", "timeout", []),
        ):
            made = Made().ask(900, "a").add(1000, event, front="f")
            made.add(1100, "unanswered", viewer="a", number=0, how=how).add(1200, "front_started", front="f")
            assert made.broken() == rules
        refused = Made().ask(0, "a").add(10, "unanswered", viewer="a", number=0, how="refused")
        assert refused.broken() == [1]

    def test_rule_2_two_out_at_once(self) -> None:
        made = Made().ask(0, "a", timeout=3000).join(0, "a", over=900, how="error").join(100, "a", "b1", 1)
        assert made.answer(910, "a").broken() == [2]
        never = Made().ask(0, "a").join(0, "a", over=None).join(400, "a", "b1", 1).answer(420, "a")
        assert never.broken() == [2]

    def test_rule_2_unsafe_repeats_and_refusals(self) -> None:
        def made(room: str, second: str = "b1", at: float = 100, status: int = 201) -> list[int]:
            it = Made().ask(0, "a", room, 5000).join(0, "a", how="error", room=room)
            if second:
                it.join(at, "a", second, 1, room=room)
            return it.answer(at + 15, "a", status).broken()

        assert made("once") == [2]
        assert made("once", "", status=503) == [2]
        assert made("once", "", status=502) == []
        assert made("keyed") == []
        assert made("keyed", at=800 + SLACK_US / MS + 50) == [2]
        assert made("keyed", "", status=503) == []
        assert made("zoned", "b2") == []
        assert made("zoned", "b1") == [2]
        assert made("zoned", "", status=503) == [2]

    def test_rule_3_drained_gone_from_the_list_and_opened_again(self) -> None:
        late = 1000 + SLACK_US / MS + 100
        made = (
            Made().told(0, whole=True, b0="active", b1="active").told(10, b0="leaving").join(late + 10, "a")
        )
        assert made.broken() == [3]
        gone = Made().told(0, whole=True, b0="active", b1="active").told(10, whole=True, b1="active")
        assert gone.join(late + 10, "a").broken() == [3]
        again = Made().told(0, whole=True, b0="active").told(10, b0="leaving").told(900, b0="active")
        assert again.join(late + 10, "a").broken() == []

    def test_rule_4_a_cold_box_gets_this_fronts_share_of_the_pace(self) -> None:
        made = Made().add(100, "box_started", box="b0")
        for i in range(3):
            made.join(110 + i, f"s{i}")
        assert made.broken() == [4]
        slow = Made().add(100, "box_started", box="b0")
        for i in range(3):
            slow.join(110 + i * 1300, f"s{i}")
        assert slow.broken() == []
        assert Made().add(5, "fell", box="b0", front="f").broken() == [4]

    def test_rules_4_5_and_6_are_kept_by_each_front_alone(self) -> None:
        # Guards against counting the shares of several fronts together, which looks like a violation by one.
        made = Made().add(100, "box_started", box="b0")
        for i, front in enumerate(("f", "g", "h")):
            made.join(110 + i, f"s{i}", front=front)
        made.join(2000, "t1", "b1", room="few", front="f").join(2001, "t2", "b2", room="few", front="g")
        for i, front in enumerate(("f", "f", "g", "g")):
            made.join(3000 + i * 50, f"x{i}", how="error", front=front)
            made.join(3020 + i * 50, f"x{i}", "b1", 1, front=front)
        assert made.broken() == []
        made.join(114, "more", front="f").join(115, "most", front="f")
        assert made.broken() == [4]

    def test_rule_5_floors_and_seats(self) -> None:
        assert Made().join(0, "a", room="high", rung=0).broken() == [5]
        lowered = Made().join(0, "a", room="high").add(50, "rung", box="b0", subscription="a", join=0, rung=0)
        assert lowered.broken() == [5]
        assert Made().join(0, "a", room="few").join(50, "b", "b1", room="few").broken() == [5]
        freed = (
            Made().join(0, "a", room="few").add(20, "released", box="b0", subscription="a", join=0, held=True)
        )
        assert freed.join(50, "b", room="few").broken() == []

    def test_rule_6_further_joins_past_the_budget(self) -> None:
        def made(count: int) -> Made:
            it = Made()
            for i in range(count):
                it.join(i * 50, f"s{i}", how="error").join(i * 50 + 20, f"s{i}", "b1", 1)
            return it

        assert made(2).broken() == []
        assert made(3).broken() == [6]

    def test_a_recording_without_terms_is_no_verdict(self) -> None:
        with self.assertRaises(ValueError):
            judge([])

    def test_service_under_its_floor_fails(self) -> None:
        made = Made(service_floor=0.9).ask(0, "a").answer(1, "a", 503)
        assert made.broken() == []
        assert not judge(made.records).passed


if __name__ == "__main__":
    unittest.main()
