"""Budgets of a fleet and watchers of boxes: small worlds searched whole, random ones, and planted faults."""

from __future__ import annotations

import copy
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

from fennelcove import messages
from fennelcove.decisions.fleet import health_checks, shared_quotas
from fennelcove.decisions.fleet.health_checks import (
    HealthCheckAssignment,
    HealthReport,
    ProbeResult,
    chosen_checkers,
)
from fennelcove.decisions.fleet.shared_quotas import (
    BorrowedQuota,
    Quota,
    QuotaRequest,
    QuotaTransfer,
    Resource,
)
from hypothesis import given, settings
from hypothesis import strategies as st

STEP_US = shared_quotas.LOAN_US // 2
WHOLE = 6.0


@dataclass
class World:
    """A few fronts, and what is on its way between them."""

    kind: type[Quota] = Quota
    size: int = 3
    now_us: int = 0
    lives: int = 0
    purses: dict[int, Quota] = field(default_factory=dict)
    air: list[tuple[int, int, QuotaRequest | QuotaTransfer]] = field(default_factory=list)

    def born(self, index: int) -> None:
        self.lives += 1
        self.purses[index] = self.kind(
            Resource.PROBE,
            WHOLE,
            self.size,
            index,
            self.lives,
            self.now_us,
            demand=WHOLE if index == 0 else 0.0,
        )

    def whole(self) -> float:
        return sum(purse.rate(self.now_us) for purse in self.purses.values())

    def deliver(self, at: int, keep: bool) -> None:
        sender, taker, said = self.air[at] if keep else self.air.pop(at)
        purse = self.purses.get(taker)
        if purse is None:
            return
        if isinstance(said, QuotaRequest):
            loan = purse.on_request(sender, said, self.now_us)
            if loan is not None:
                self.air.append((taker, sender, loan))
        else:
            purse.on_transfer(sender, said, self.now_us)

    def steps(self) -> Iterator[World]:
        """Every world that may come next: time passes, a message comes once or again or is lost, a front
        asks, dies, or begins anew."""
        for choice in ("time", *range(len(self.air))):
            for how in ("come", "again", "lose") if choice != "time" else ("",):
                after = copy.deepcopy(self)
                if choice == "time":
                    after.now_us += STEP_US
                elif how == "lose":
                    after.air.pop(int(choice))
                else:
                    after.deliver(int(choice), how == "again")
                yield after
        for index in range(2):
            after = copy.deepcopy(self)
            if index in after.purses:
                del after.purses[index]
            else:
                after.born(index)
            yield after
        if 0 in self.purses and len(self.air) < 3:
            for to in (1, 2):
                after = copy.deepcopy(self)
                purse = after.purses[0]
                purse.demand = WHOLE
                draw = (to - 1) / 2
                found = purse.next_requests(draw, after.now_us)
                after.air += [(0, other, said) for other, said in found[:1]]
                yield after

    def key(self) -> object:
        purses = tuple(
            (
                i,
                min(self.now_us - p.started_us, 3 * STEP_US),
                tuple(sorted((to, loan.rate, loan.until_us - self.now_us) for to, loan in p.lent.items())),
                tuple(
                    sorted(
                        (at, rate, u - self.now_us) for at, (rate, u) in p.borrowed.items() if u > self.now_us
                    )
                ),
                tuple((to, self.now_us - at_us) for to, _, at_us in p.pending_requests.values()),
                min(self.now_us - p.requested_us, STEP_US),
            )
            for i, p in sorted(self.purses.items())
        )
        now = {i: (p.incarnation, p.sequence) for i, p in self.purses.items()}
        air = tuple(
            sorted(
                (
                    a,
                    b,
                    type(s).__name__,
                    s.incarnation == now.get(a if isinstance(s, QuotaRequest) else b, (0, 0))[0],
                    s.sequence - now.get(a if isinstance(s, QuotaRequest) else b, (0, 0))[1],
                    s.rate,
                )
                for a, b, s in self.air
            )
        )
        return purses, air


def search(kind: type[Quota], most: int) -> tuple[int, float]:
    """Worlds seen until one is at fault, and the largest sum of rates in any of them; breadth first."""
    world = World(kind)
    for index in range(world.size):
        world.born(index)
    world.now_us = 2 * shared_quotas.LOAN_US  # nobody is wary any more
    seen, edge, largest = {world.key()}, [world], world.whole()
    while edge and len(seen) < most and largest <= WHOLE + 1e-9:
        following = []
        for one in edge:
            for after in one.steps():
                key = after.key()
                if key not in seen and len(seen) < most:
                    seen.add(key)
                    following.append(after)
                    largest = max(largest, after.whole())
        edge = following
    return len(seen), largest


class FromReceipt(Quota):
    """A planted fault: a loan counts from when it is heard."""

    def on_transfer(self, sender: int, loan: QuotaTransfer, now_us: int) -> None:
        if loan.incarnation == self.incarnation:
            self.borrowed[sender] = BorrowedQuota(loan.rate, now_us + shared_quotas.LOAN_US)


class Unwary(Quota):
    """A planted fault: a new life takes its whole part at once."""

    @property
    def recovering_until_us(self) -> int:
        return self.started_us


class TakesBack(Quota):
    """A planted fault: what is lent is counted as its own again before the loan is over."""

    def rate(self, now_us: int) -> float:
        back = sum(lent.rate for lent in self.lent.values() if now_us >= lent.until_us - STEP_US)
        return super().rate(now_us) + back


class SearchTest(unittest.TestCase):
    def test_in_no_small_world_do_rates_add_up_to_more_than_the_whole(self) -> None:
        worlds, largest = search(Quota, 2000)
        assert worlds >= 2000
        assert largest <= WHOLE + 1e-09

    def test_planted_faults_are_found(self) -> None:
        for fault in (FromReceipt, Unwary, TakesBack):
            with self.subTest(fault.__name__):
                assert search(fault, 6000)[1] > WHOLE + 1e-09


class PurseTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_what_is_spent_stays_within_the_whole_and_what_may_be_saved(self, seed: int) -> None:
        chance, world = Random(seed), World(size=4)
        for index in range(4):
            world.born(index)
        spent: list[int] = []
        births = 4
        for _ in range(400):
            world.now_us += 25_000
            for index, purse in list(world.purses.items()):
                while chance.random() < (0.8 if index == 0 else 0.1) and purse.try_acquire(world.now_us):
                    spent.append(world.now_us)
                world.air += [
                    (index, to, said) for to, said in purse.next_requests(chance.random(), world.now_us)
                ]
            if chance.random() < 0.01:
                world.born(chance.randrange(4))
                births += 1
            chance.shuffle(world.air)
            for _ in range(min(len(world.air), chance.randrange(4))):
                if chance.random() < 0.3:
                    world.air.pop()
                else:
                    world.deliver(len(world.air) - 1, chance.random() < 0.1)
        saved = max(4.0, shared_quotas.BURST_S * WHOLE)
        for at, from_us in enumerate(spent):
            within = [time for time in spent[at:] if time < from_us + 1_000_000]
            assert len(within) <= WHOLE + saved + births

    def test_the_idle_lend_to_the_busy(self) -> None:
        world = World(size=3)
        for index in range(3):
            world.born(index)
        world.now_us = 2 * shared_quotas.LOAN_US
        busy = world.purses[0]
        busy.advance(world.now_us)
        busy.demand = WHOLE
        world.air = [(0, to, said) for to, said in busy.next_requests(0.0, world.now_us)]
        while world.air:
            world.deliver(0, keep=False)
        assert busy.rate(world.now_us) > 2 * busy.equal_share
        self.assertAlmostEqual(world.whole(), WHOLE)
        assert busy.wait_us(world.now_us) == 0

    def test_asks_and_loans_survive_their_bytes_and_cut_ones_are_refused(self) -> None:
        for said in (
            QuotaRequest(1 << 40, 7, Resource.PROBE, 2.5),
            QuotaTransfer(1 << 41, 9, Resource.LIST_CALL, 0.125),
        ):
            raw = messages.encode_quota_message(said)
            assert messages.decode_quota_message(raw) == said
            for cut in range(len(raw)):
                assert messages.decode_quota_message(raw[:cut]) is None


class WatchersTest(unittest.TestCase):
    def test_only_the_chosen_probe_and_the_next_takes_over(self) -> None:
        everyone = range(8)
        first = chosen_checkers("box", everyone)
        assert len(first) == health_checks.CHECKERS_PER_SERVER
        rest = [front for front in everyone if front != first[0]]
        after = chosen_checkers("box", rest)
        assert after[:2] == first[1:]
        book = HealthCheckAssignment(after[2], 8)
        assert book.due_probes(["box"], everyone, 0.0, 1) == []
        assert book.due_probes(["box"], rest, 0.0, 1) == ["box"]

    def test_names_of_fronts_change_nothing_but_who_watches(self) -> None:
        for names in (range(5), range(20, 25), (3, 1, 4, 15, 9)):
            assert len(set(chosen_checkers("box", names))) == health_checks.CHECKERS_PER_SERVER
            assert chosen_checkers("box", names) == chosen_checkers("box", reversed(list(names)))

    def test_one_bad_path_shuts_a_box_for_nobody_else_and_two_words_do(self) -> None:
        everyone = range(6)
        one, two, _ = chosen_checkers("box", everyone)
        other = next(front for front in everyone if front not in chosen_checkers("box", everyone))
        book = HealthCheckAssignment(other, 6)
        book.on_report(one, "box", True, 1, 0)
        book.on_report(other, "box", True, 1, 0)  # its own voice from outside is nobody's
        assert not book.is_down("box", everyone, 0)
        book.on_report(two, "box", True, 1, 0)
        assert book.is_down("box", everyone, 0)
        assert not book.is_down("box", everyone, health_checks.REPORT_LIFETIME_US + 1)
        book.on_report(two, "box", False, 2, 0)
        book.on_report(two, "box", True, 1, 0)  # late
        assert not book.is_down("box", everyone, 0)

    def test_a_probe_that_fails_is_repeated_soon_and_a_dead_box_is_asked_ever_more_seldom(self) -> None:
        book, now, asked = HealthCheckAssignment(0, 1), 1, []
        book.due_probes(["box"], (0,), 0.0, now)
        for _ in range(400):
            now += 100_000
            if book.due_probes(["box"], (0,), 0.0, now):
                asked.append(now)
                book.on_probe_completed("box", ProbeResult.FAILED, now)
        gaps = [b - a for a, b in pairwise(asked)]
        assert gaps[0] < health_checks.HEALTHY_PROBE_INTERVAL_US
        assert gaps[-1] == health_checks.MAX_PROBE_INTERVAL_US
        assert gaps == sorted(gaps)
        assert book.is_down("box", (0,), asked[-1])

    def test_a_dead_box_stays_gone_for_others_between_two_probes(self) -> None:
        # A word that ended before its watcher's next probe made the fleet join there again each time.
        everyone = range(5)
        one, two, _ = chosen_checkers("box", everyone)
        other = next(front for front in everyone if front not in chosen_checkers("box", everyone))
        books = {front: HealthCheckAssignment(front, 5) for front in (one, two)}
        hearer, now = HealthCheckAssignment(other, 5), 1
        gone = []
        while now < 60_000_000:
            for front, book in books.items():
                if book.due_probes(["box"], everyone, 0.0, now):
                    book.on_probe_completed("box", ProbeResult.FAILED, now)
                    said = book.report("box", now)
                    if said is not None and said.verdict is health_checks.HealthVerdict.UNHEALTHY:
                        hearer.on_report(front, "box", True, said.sequence, now)
            gone.append(hearer.is_down("box", everyone, now))
            now += 100_000
        first = gone.index(True)
        assert first < 60
        assert all(gone[first:])

    def test_a_failed_join_brings_the_next_probe_forward_and_many_bring_no_more(self) -> None:
        # Calm probes are seconds apart: most fronts had tried a box that stood still before it was found out.
        book, now = HealthCheckAssignment(0, 1), 1
        assert book.due_probes(["box"], (0,), 0.0, now) == ["box"]
        book.on_probe_completed("box", ProbeResult.ANSWERED, now)
        now += health_checks.SUSPECT_PROBE_INTERVAL_US
        word = book.on_attempt_failed("box", now)
        assert word is not None
        assert word == HealthReport(
            health_checks.hash_address("box"), health_checks.HealthVerdict.ATTEMPT_FAILED, 1
        )
        assert messages.decode_health_report(messages.encode_health_report(word)) == word
        assert book.on_attempt_failed("box", now + 1) is None
        assert book.due_probes(["box"], (0,), 0.0, now) == ["box"]
        for _ in range(100):
            book.on_probe_requested("box", now)
            assert (
                book.due_probes(["box"], (0,), 0.0, now + health_checks.SUSPECT_PROBE_INTERVAL_US - 1) == []
            )
        book.on_probe_completed("box", ProbeResult.FAILED, now)
        assert book.report("box", now) is None

    def test_what_served_this_front_just_now_is_not_gone_for_it(self) -> None:
        everyone = range(5)
        other = next(front for front in everyone if front not in chosen_checkers("box", everyone))
        book = HealthCheckAssignment(other, 5)
        for front in chosen_checkers("box", everyone):
            book.on_report(front, "box", True, 1, 0)
        assert book.is_down("box", everyone, 0)
        book.on_attempt_served("box", 0)
        assert not book.is_down("box", everyone, health_checks.RECENTLY_SERVED_US)
        assert book.is_down("box", everyone, health_checks.RECENTLY_SERVED_US + 1)

    def test_a_box_that_is_well_again_is_told_for_as_long_as_an_ill_word_may_stand(self) -> None:
        # A single word that it is well may be lost, and the ill one before it stood on.
        book, now = HealthCheckAssignment(0, 1), 1
        for _ in range(2):
            book.due_probes(["box"], (0,), 0.0, now)
            book.on_probe_completed("box", ProbeResult.FAILED, now)
        assert book.report("box", now) is not None
        book.on_probe_completed("box", ProbeResult.ANSWERED, now)
        for after in (1, health_checks.REPORT_LIFETIME_US - 1):
            said = book.report("box", now + after)
            assert (said.verdict if said else None) is health_checks.HealthVerdict.HEALTHY
        assert book.report("box", now + health_checks.REPORT_LIFETIME_US) is None

    def test_words_that_were_altered_are_refused(self) -> None:
        raw = messages.encode_health_report(HealthReport(7, health_checks.HealthVerdict.UNHEALTHY, 1 << 60))
        assert messages.decode_health_report(raw[:-1]) is None
        assert messages.decode_health_report(raw[:5] + b"\t" + raw[6:]) is None
        assert messages.decode_health_report(b"") is None

    def test_with_all_watchers_dead_the_next_begin_within_a_look(self) -> None:
        everyone = set(range(7))
        now = 10_000_000
        dead = set(chosen_checkers("box", everyone))
        living = everyone - dead
        begun = [
            front for front in living if HealthCheckAssignment(front, 7).due_probes(["box"], living, 0.0, now)
        ]
        assert sorted(begun) == sorted(chosen_checkers("box", living))


if __name__ == "__main__":
    unittest.main()
