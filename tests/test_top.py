"""A client whose highest rung changes while its session plays."""

from __future__ import annotations

import unittest

from fennelcove.interface import TopRungChanged

from tests.helpers import ask, front, play


class TopChangedTest(unittest.TestCase):
    def test_a_lower_top_lowers_the_rung_at_once_and_frees_the_link(self) -> None:
        policy, effects = front()
        play(policy)
        sub = policy.sessions["a"]
        assert sub.rung == 2
        before = sub.server.own_kb
        policy.handle(TopRungChanged("a", 0), policy.now_us)
        assert (sub.rung, sub.top_rung) == (0, 0)
        assert effects.named("set_rung")[-1] == ("set_rung", "a", 0)
        assert before - sub.server.own_kb == 300.0

    def test_a_higher_top_changes_nothing_until_there_is_room_to_raise(self) -> None:
        policy, effects = front()
        play(policy, top_rung=0)
        count = len(effects.calls)
        policy.handle(TopRungChanged("a", 2), policy.now_us)
        assert (policy.sessions["a"].rung, policy.sessions["a"].top_rung) == (0, 2)
        assert len(effects.calls) == count

    def test_never_under_the_floor(self) -> None:
        policy, _ = front(service_class={"min_rung": 1})
        play(policy)
        policy.handle(TopRungChanged("a", 0), policy.now_us)
        assert (policy.sessions["a"].rung, policy.sessions["a"].top_rung) == (1, 1)

    def test_a_session_that_has_ended_is_ignored(self) -> None:
        policy, effects = front()
        policy.handle(TopRungChanged("gone", 0), policy.now_us)
        assert effects.calls == []


class NoWarmUpTest(unittest.TestCase):
    def test_settings_without_a_warm_up_are_no_division_by_nothing(self) -> None:
        policy, effects = front(warm_up_us=0)
        for server in policy.servers.values():
            server.started_us, server.link.report = 1, None
        ask(policy)
        assert len(effects.named("start_attempt")) == 1


if __name__ == "__main__":
    unittest.main()
