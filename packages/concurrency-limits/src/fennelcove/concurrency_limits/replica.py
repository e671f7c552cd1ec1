"""One front as one of a fleet that learns: its servers, what it counts, hears, says, lends and keeps to.

The caller hands in times and chance, carries the messages and holds the lock. Boxes are named by numbers
that are the same at every front; a box of another birth at the same address is another box, and what others
say of it is passed over until they know it as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from statistics import median_low

from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer
from fennelcove.concurrency_limits.quorum import MAX_SHAPE_LIMITS, QuorumAgreement, QuorumVote, panel_of
from fennelcove.concurrency_limits.latency_histogram import (
    WINDOW_US,
    GossipedHistograms,
    OwnHistograms,
    Row,
    class_of,
    quantile_us,
)
from fennelcove.concurrency_limits.persisted import START_TOLERANCE_US, is_same_start
from fennelcove.concurrency_limits.adaptive_limit import AdaptiveLimit, LimitSettings
from fennelcove.concurrency_limits.workload_shape import shape_share
from fennelcove.concurrency_limits.quota_loans import LOAN_US, QuotaLoans

MAX_SERVERS = 10_000
MAX_ROWS = 12  # of one box that are told
INITIAL_SHARE_OF_KIND = 0.5  # of its kind's number, what a box begins with
SMALL_FLEET = 32  # a fleet in which words go to everybody
MAX_INCARNATION_RECIPIENTS = 64
MAX_REPORTED_AGE_US = 65_535_000_000  # an age from which on a box is told as one of long ago
REPORTER_VALIDITY_US = 60_000_000  # for how long a front that told of a box is told about it


@dataclass(frozen=True, slots=True)
class ReplicaMessages:
    """Something said of one box, and to whom."""

    takers: tuple[int, ...]
    server: int
    started_us: int  # of the box, by the sender's clock; 0 for long ago
    rows: tuple[Row, ...] = ()
    vote: QuorumVote | None = None


@dataclass(slots=True)
class ServerLimits:
    """What one front holds of one box."""

    key: int
    kind: str
    born_us: int
    agreed: QuorumAgreement
    lot: QuotaLoans
    own_histograms: OwnHistograms = field(default_factory=OwnHistograms)
    gossip: GossipedHistograms = field(default_factory=GossipedHistograms)  # of the panel's members alone
    learner: AdaptiveLimit | None = None
    reporters: dict[int, int] = field(default_factory=dict)  # who told of it, and when
    holds: dict[int, float] = field(default_factory=dict)  # medians by shape
    peak_in_flight: int = 0  # joins out at a time, of late


@dataclass(slots=True)
class Replica:
    """One front. Call `turn` every `WINDOW_US`."""

    terms: LimitSettings
    fronts: int
    index: int
    life: int
    now_us: int
    loan_us: int = LOAN_US
    number: int = 0
    servers: dict[int, ServerLimits] = field(default_factory=dict)
    unclear: set[int] = field(default_factory=set)  # who may still use what a last life lent

    def __post_init__(self) -> None:
        self.unclear = set(range(self.fronts)) - {self.index}

    # Lives.

    def begun(self) -> tuple[int, ...]:
        """Whom to tell that this life has begun, until they have answered; some at a time."""
        return tuple(sorted(self.unclear)[:MAX_INCARNATION_RECIPIENTS])

    def hear_begun(self, sender: int, now_us: int) -> bool:
        """Another begins anew: whether nothing it lent before is used here, to be answered then."""
        if not 0 <= sender < self.fronts or sender == self.index:
            return False
        return all([server.lot.on_incarnation_started(sender, now_us) for server in self.servers.values()])

    def hear_clear(self, sender: int, life: int) -> bool:
        """One answers; whether all have, and what is at home here may be used and lent."""
        if life != self.life or sender not in self.unclear:
            return False
        self.unclear.discard(sender)
        for server in self.servers.values():
            server.lot.purse.cleared = not self.unclear
        return not self.unclear

    # Which boxes there are.

    def listed(
        self, name: int, kind: str, born_us: int, now_us: int, kept: int | None = None, cold: bool = False
    ) -> bool:
        """A box is there; whether it is a new one. With `kept` it begins there, else where its kind is."""
        known = self.servers.get(name)
        if (
            known is not None
            and known.kind == kind
            and (not born_us or is_same_start(known.born_us, born_us))
        ):
            return False  # a list that no longer says when it began means the same box
        if known is None and len(self.servers) >= MAX_SERVERS:
            return False
        whole = kept if kept is not None else self.terms.start if cold else self._of_kind(kind, now_us)
        panel = panel_of(name, self.fronts)
        agreed = QuorumAgreement(panel, whole, self.terms.start, now_us)
        # Loans and joins out at an address outlive the box there: the next one at it gets what is left.
        lot = (
            known.lot
            if known is not None
            else QuotaLoans(name, self.fronts, self.index, self.life, now_us, self.loan_us)
        )
        server = ServerLimits(name, kind, born_us, agreed, lot)
        if self.index in panel:
            server.learner = AdaptiveLimit(self.terms, whole, now_us)
        lot.purse.cleared = not self.unclear
        lot.set_limit(whole, now_us)
        self.servers[name] = server
        return True

    def gone(self, names: Iterable[int]) -> None:
        """These are there no more."""
        for name in names:
            self.servers.pop(name, None)

    def _of_kind(self, kind: str, now_us: int) -> int:
        known = [
            server.agreed.whole
            for server in self.servers.values()
            if server.kind == kind and server.learner is not None and server.learner.has_own_figures
        ]
        return (
            max(self.terms.start, round(INITIAL_SHARE_OF_KIND * median_low(known)))
            if known
            else self.terms.start
        )

    # What is asked of it.

    def most(self, name: int, now_us: int, allow_us: int = 0, shape: int | None = None) -> int:
        """How many joins this front may have out there, in all or of one shape, where the next lasts so long
        at most."""
        server = self.servers.get(name)
        if server is None:
            return 0
        mine = server.lot.most(now_us, allow_us)
        if shape is None or mine < 2:
            return mine
        return shape_share(mine, self._own_parts(server, mine, now_us), shape)

    def _own_parts(self, server: ServerLimits, mine: int, now_us: int) -> Mapping[int, int]:
        """This front's share of what each shape needs, rounded up."""
        whole = max(1, server.agreed.whole)
        return {
            shape: -(-slots * mine // whole) for shape, slots in server.agreed.shape_limits(now_us).items()
        }

    def links(self, name: int, now_us: int) -> int:
        """How many connections to keep to a box, idle ones included."""
        server = self.servers.get(name)
        if server is None:
            return 0
        return max(server.lot.out, min(server.lot.most(now_us), server.peak_in_flight + 1))

    def hold_us(self, name: int, shape: int) -> float | None:
        """How long such a join holds a slot there, in the middle: by the box's own figures, else its kind's,
        else any box's."""
        server = self.servers.get(name)
        if server is not None and shape in server.holds:
            return server.holds[shape]
        found = [(other.kind, other.holds[shape]) for other in self.servers.values() if shape in other.holds]
        kind = server.kind if server is not None else ""
        like = [held for its_kind, held in found if its_kind == kind] or [held for _, held in found]
        return median_low(like) if like else None

    # What happens here.

    def wants(self, name: int, waiting: int) -> None:
        """So many set-ups wait for a slot there."""
        if (server := self.servers.get(name)) is not None:
            server.lot.waiting = waiting

    def sent(self, name: int, shape: int, now_us: int, allow_us: int, waited_us: int = 0) -> None:
        """A join has left; it lasts `allow_us` at most, and waited so long for its slot."""
        if (server := self.servers.get(name)) is not None:
            server.lot.on_attempt_started(now_us, allow_us)
            server.peak_in_flight = max(server.peak_in_flight, server.lot.out)
            tally = server.own_histograms.current_of(shape)
            tally.requested += 1
            if waited_us > 0:
                tally.add_waiting_time(class_of(waited_us))

    def ended(self, name: int, shape: int, held_us: int, answered: bool | None) -> None:
        """It is over, and its slot is back; None where that says nothing of the box's pace."""
        if (server := self.servers.get(name)) is not None:
            server.lot.on_attempt_ended()
            if answered is None:
                return
            tally = server.own_histograms.current_of(shape)
            tally.add_service_time(class_of(held_us))
            tally.unanswered += not answered

    def denied(self, name: int, shape: int) -> None:
        """One was given up for want of a slot."""
        if (server := self.servers.get(name)) is not None:
            tally = server.own_histograms.current_of(shape)
            tally.requested += 1
            tally.denied += 1

    # Windows.

    def turn(self, now_us: int) -> list[ReplicaMessages]:
        """Close the windows that have passed: learn, and say what is to be told."""
        windows = (now_us - self.now_us) // WINDOW_US
        if windows <= 0:
            return []
        self.now_us += windows * WINDOW_US
        self.number += 1
        told: list[ReplicaMessages] = []
        for server in self.servers.values():
            told += self._turn(server, windows, now_us)
        return told

    def _turn(self, server: ServerLimits, windows: int, now_us: int) -> Iterator[ReplicaMessages]:
        server.own_histograms.close_windows(windows)
        server.peak_in_flight = max(server.lot.out, server.peak_in_flight - windows)
        rows = server.own_histograms.rows(MAX_ROWS)
        for row in rows:
            if (median := quantile_us(dict(row.service_times), 0.5)) is not None:
                server.holds[row.shape] = median
        if rows:
            others = tuple(i for i in server.agreed.panel if i != self.index)
            if others:
                yield ReplicaMessages(others, server.key, server.born_us, rows=rows)
        if server.learner is not None:
            for row in rows:
                server.gossip.on_row(self.index, self.life, self.number, row, now_us)
            server.gossip.remove_stale(now_us)
            word = self._learn(server, server.learner, now_us)
            takers = self._takers(server, now_us)
            if takers:
                yield ReplicaMessages(takers, server.key, server.born_us, vote=word)
        self._settle(server, now_us)

    def _learn(self, server: ServerLimits, learner: AdaptiveLimit, now_us: int) -> QuorumVote:
        seen = server.gossip.merged(now_us)
        learner.on_window_closed(seen, server.agreed.whole, now_us)
        server.holds.update(learner.samples.median_service_us)
        parts = sorted(learner.shape_limits.items(), key=lambda part: (-part[1], part[0]))[:MAX_SHAPE_LIMITS]
        word = QuorumVote(learner.limit, tuple(parts))
        server.agreed.on_vote(self.index, self.life, self.number, word, now_us)
        return word

    def _takers(self, server: ServerLimits, now_us: int) -> tuple[int, ...]:
        if self.fronts <= SMALL_FLEET:
            return tuple(i for i in range(self.fronts) if i != self.index)
        server.reporters = {
            i: at_us for i, at_us in server.reporters.items() if now_us - at_us <= REPORTER_VALIDITY_US
        }
        return tuple(sorted({*server.agreed.panel, *server.reporters} - {self.index}))

    def _settle(self, server: ServerLimits, now_us: int) -> bool:
        before = server.agreed.whole
        server.lot.set_limit(server.agreed.advance(now_us), now_us)
        return server.agreed.whole > before

    # What is heard.

    def hear(self, sender: int, life: int, number: int, told: ReplicaMessages, now_us: int) -> bool:
        """Another front tells of a box; whether more may be out there now."""
        server = self._named(sender, told.server, told.started_us, now_us)
        if server is None:
            return False
        if told.rows and server.learner is not None:
            server.reporters[sender] = now_us
            for row in told.rows:
                server.gossip.on_row(sender, life, number, row, now_us)
        if told.vote is not None and server.agreed.on_vote(sender, life, number, told.vote, now_us):
            return self._settle(server, now_us)
        return False

    def _named(self, sender: int, name: int, born_us: int, now_us: int) -> ServerLimits | None:
        server = self.servers.get(name)
        if server is None or not 0 <= sender < self.fronts or sender == self.index:
            return None
        mine_us = server.born_us if now_us - server.born_us < MAX_REPORTED_AGE_US - START_TOLERANCE_US else 0
        told_us = born_us if now_us - born_us < MAX_REPORTED_AGE_US - START_TOLERANCE_US else 0
        return server if is_same_start(mine_us, told_us) else None

    def trade(
        self, draw: float, now_us: int, names: Iterable[int] | None = None
    ) -> list[tuple[int, int, QuotaRequest | QuotaTransfer]]:
        """Whom to ask for slots, and whom to give some back, of which box; of all, or of these."""
        found: list[tuple[int, int, QuotaRequest | QuotaTransfer]] = []
        for name in self.servers if names is None else names:
            lot = self.servers[name].lot
            if lot.waiting:
                found += [(to, name, ask) for to, ask in lot.request_slots(draw, now_us)]
            if lot.may_return:
                found += [(to, name, back) for to, back in lot.return_slots(now_us)]
        return found

    def hear_ask(self, sender: int, name: int, ask: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Another asks for slots: what it is lent."""
        server = self.servers.get(name)
        return server.lot.on_request(sender, ask, now_us) if server is not None else None

    def hear_loan(self, sender: int, name: int, loan: QuotaTransfer, now_us: int) -> bool:
        """Another lends or gives back; whether more may be out there now."""
        server = self.servers.get(name)
        return server is not None and server.lot.on_transfer(sender, loan, now_us)
