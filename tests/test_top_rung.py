"""Changes of the highest rung that a client can use while its session is playing."""

from __future__ import annotations

import unittest

from fennelcove.interface import TopRungChanged

from tests.helpers import establish_session, make_policy, request_session


class TopRungChangedTest(unittest.TestCase):
    def test_a_lower_top_rung_lowers_the_rung_at_once_and_frees_link_capacity(self) -> None:
        policy, effects = make_policy()
        establish_session(policy)
        session = policy.sessions["a"]
        assert session.rung == 2
        before = session.server.own_kb
        policy.handle(TopRungChanged("a", 0), policy.now_us)
        assert (session.rung, session.top_rung) == (0, 0)
        assert effects.named("set_rung")[-1] == ("set_rung", "a", 0)
        assert before - session.server.own_kb == 300.0

    def test_a_higher_top_rung_changes_nothing_until_there_is_capacity(self) -> None:
        policy, effects = make_policy()
        establish_session(policy, top_rung=0)
        count = len(effects.calls)
        policy.handle(TopRungChanged("a", 2), policy.now_us)
        assert (policy.sessions["a"].rung, policy.sessions["a"].top_rung) == (0, 2)
        assert len(effects.calls) == count

    def test_never_below_the_lowest_rung_of_the_class(self) -> None:
        policy, _ = make_policy(service_class={"min_rung": 1})
        establish_session(policy)
        policy.handle(TopRungChanged("a", 0), policy.now_us)
        assert (policy.sessions["a"].rung, policy.sessions["a"].top_rung) == (1, 1)

    def test_a_change_for_an_ended_session_is_ignored(self) -> None:
        policy, effects = make_policy()
        policy.handle(TopRungChanged("ended", 0), policy.now_us)
        assert effects.calls == []


class NoWarmUpTest(unittest.TestCase):
    def test_settings_without_a_warm_up_cause_no_division_by_zero(self) -> None:
        policy, effects = make_policy(warm_up_us=0)
        for server in policy.servers.values():
            server.started_us, server.link.report = 1, None
        request_session(policy)
        assert len(effects.named("start_attempt")) == 1


if __name__ == "__main__":
    unittest.main()
