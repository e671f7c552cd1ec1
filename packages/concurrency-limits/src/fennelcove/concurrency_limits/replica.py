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
from fennelcove.concurrency_limits.quorum import MOST_PARTS, QuorumAgreement, QuorumVote, panel_of
from fennelcove.concurrency_limits.latency_histogram import (
    WINDOW_US,
    GossipedHistograms,
    OwnHistograms,
    Row,
    class_of,
    quantile_us,
)
from fennelcove.concurrency_limits.persisted import BORN_WITHIN_US, same_birth
from fennelcove.concurrency_limits.adaptive_limit import AdaptiveLimit, LimitSettings, part_of
from fennelcove.concurrency_limits.quota_loans import LOAN_US, QuotaLoans

MOST_SERVERS = 10_000
MOST_ROWS = 12  # of one box that are told
KIND_PART = 0.5  # of its kind's number, what a box begins with
SMALL = 32  # a fleet in which words go to everybody
MOST_BEGUN = 64
OLD_US = 65_535_000_000  # an age from which on a box is told as one of long ago
USERS_US = 60_000_000  # for how long a front that told of a box is told about it


@dataclass(frozen=True, slots=True)
class ReplicaMessages:
    """Something said of one box, and to whom."""

    takers: tuple[int, ...]
    server: int
    born_us: int  # of the box, by the sender's clock; 0 for long ago
    rows: tuple[Row, ...] = ()
    word: QuorumVote | None = None


@dataclass(slots=True)
class ServerLimits:
    """What one front holds of one box."""

    name: int
    kind: str
    born_us: int
    agreed: QuorumAgreement
    lot: QuotaLoans
    own: OwnHistograms = field(default_factory=OwnHistograms)
    heard: GossipedHistograms = field(default_factory=GossipedHistograms)  # of the panel's members alone
    learner: AdaptiveLimit | None = None
    users: dict[int, int] = field(default_factory=dict)  # who told of it, and when
    holds: dict[int, float] = field(default_factory=dict)  # medians by shape
    busiest: int = 0  # joins out at a time, of late


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
        return tuple(sorted(self.unclear)[:MOST_BEGUN])

    def hear_begun(self, sender: int, now_us: int) -> bool:
        """Another begins anew: whether nothing it lent before is used here, to be answered then."""
        if not 0 <= sender < self.fronts or sender == self.index:
            return False
        return all([server.lot.hear_begun(sender, now_us) for server in self.servers.values()])

    def hear_clear(self, sender: int, life: int) -> bool:
        """One answers; whether all have, and what is at home here may be used and lent."""
        if life != self.life or sender not in self.unclear:
            return False
        self.unclear.discard(sender)
        for server in self.servers.values():
            server.lot.purse.is_cleared = not self.unclear
        return not self.unclear

    # Which boxes there are.

    def listed(
        self, name: int, kind: str, born_us: int, now_us: int, kept: int | None = None, cold: bool = False
    ) -> bool:
        """A box is there; whether it is a new one. With `kept` it begins there, else where its kind is."""
        known = self.servers.get(name)
        if known is not None and known.kind == kind and (not born_us or same_birth(known.born_us, born_us)):
            return False  # a list that no longer says when it began means the same box
        if known is None and len(self.servers) >= MOST_SERVERS:
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
        lot.purse.is_cleared = not self.unclear
        lot.set_whole(whole, now_us)
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
            if server.kind == kind and server.learner is not None and server.learner.own
        ]
        return max(self.terms.start, round(KIND_PART * median_low(known))) if known else self.terms.start

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
        return part_of(mine, self._own_parts(server, mine, now_us), shape)

    def _own_parts(self, server: ServerLimits, mine: int, now_us: int) -> Mapping[int, int]:
        """This front's share of what each shape needs, rounded up."""
        whole = max(1, server.agreed.whole)
        return {shape: -(-slots * mine // whole) for shape, slots in server.agreed.parts(now_us).items()}

    def links(self, name: int, now_us: int) -> int:
        """How many connections to keep to a box, idle ones included."""
        server = self.servers.get(name)
        if server is None:
            return 0
        return max(server.lot.out, min(server.lot.most(now_us), server.busiest + 1))

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
            server.lot.sent(now_us, allow_us)
            server.busiest = max(server.busiest, server.lot.out)
            tally = server.own.tally(shape)
            tally.asked += 1
            if waited_us > 0:
                tally.wait(class_of(waited_us))

    def ended(self, name: int, shape: int, held_us: int, answered: bool | None) -> None:
        """It is over, and its slot is back; None where that says nothing of the box's pace."""
        if (server := self.servers.get(name)) is not None:
            server.lot.ended()
            if answered is None:
                return
            tally = server.own.tally(shape)
            tally.hold(class_of(held_us))
            tally.lost += not answered

    def denied(self, name: int, shape: int) -> None:
        """One was given up for want of a slot."""
        if (server := self.servers.get(name)) is not None:
            tally = server.own.tally(shape)
            tally.asked += 1
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
        server.own.close(windows)
        server.busiest = max(server.lot.out, server.busiest - windows)
        rows = server.own.rows(MOST_ROWS)
        for row in rows:
            if (median := quantile_us(dict(row.holds), 0.5)) is not None:
                server.holds[row.shape] = median
        if rows:
            others = tuple(i for i in server.agreed.panel if i != self.index)
            if others:
                yield ReplicaMessages(others, server.name, server.born_us, rows=rows)
        if server.learner is not None:
            for row in rows:
                server.heard.hear(self.index, self.life, self.number, row, now_us)
            server.heard.forget(now_us)
            word = self._learn(server, server.learner, now_us)
            takers = self._takers(server, now_us)
            if takers:
                yield ReplicaMessages(takers, server.name, server.born_us, word=word)
        self._settle(server, now_us)

    def _learn(self, server: ServerLimits, learner: AdaptiveLimit, now_us: int) -> QuorumVote:
        seen = server.heard.merged(now_us)
        learner.window(seen, server.agreed.whole, now_us)
        server.holds.update(learner.medians)
        parts = sorted(learner.parts.items(), key=lambda part: (-part[1], part[0]))[:MOST_PARTS]
        word = QuorumVote(learner.whole, tuple(parts))
        server.agreed.hear(self.index, self.life, self.number, word, now_us)
        return word

    def _takers(self, server: ServerLimits, now_us: int) -> tuple[int, ...]:
        if self.fronts <= SMALL:
            return tuple(i for i in range(self.fronts) if i != self.index)
        server.users = {i: at_us for i, at_us in server.users.items() if now_us - at_us <= USERS_US}
        return tuple(sorted({*server.agreed.panel, *server.users} - {self.index}))

    def _settle(self, server: ServerLimits, now_us: int) -> bool:
        before = server.agreed.whole
        server.lot.set_whole(server.agreed.advance(now_us), now_us)
        return server.agreed.whole > before

    # What is heard.

    def hear(self, sender: int, life: int, number: int, told: ReplicaMessages, now_us: int) -> bool:
        """Another front tells of a box; whether more may be out there now."""
        server = self._named(sender, told.server, told.born_us, now_us)
        if server is None:
            return False
        if told.rows and server.learner is not None:
            server.users[sender] = now_us
            for row in told.rows:
                server.heard.hear(sender, life, number, row, now_us)
        if told.word is not None and server.agreed.hear(sender, life, number, told.word, now_us):
            return self._settle(server, now_us)
        return False

    def _named(self, sender: int, name: int, born_us: int, now_us: int) -> ServerLimits | None:
        server = self.servers.get(name)
        if server is None or not 0 <= sender < self.fronts or sender == self.index:
            return None
        mine_us = server.born_us if now_us - server.born_us < OLD_US - BORN_WITHIN_US else 0
        told_us = born_us if now_us - born_us < OLD_US - BORN_WITHIN_US else 0
        return server if same_birth(mine_us, told_us) else None

    def trade(
        self, draw: float, now_us: int, names: Iterable[int] | None = None
    ) -> list[tuple[int, int, QuotaRequest | QuotaTransfer]]:
        """Whom to ask for slots, and whom to give some back, of which box; of all, or of these."""
        found: list[tuple[int, int, QuotaRequest | QuotaTransfer]] = []
        for name in self.servers if names is None else names:
            lot = self.servers[name].lot
            if lot.waiting:
                found += [(to, name, ask) for to, ask in lot.ask(draw, now_us)]
            if lot.owes:
                found += [(to, name, back) for to, back in lot.backs(now_us)]
        return found

    def hear_ask(self, sender: int, name: int, ask: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Another asks for slots: what it is lent."""
        server = self.servers.get(name)
        return server.lot.hear_ask(sender, ask, now_us) if server is not None else None

    def hear_loan(self, sender: int, name: int, loan: QuotaTransfer, now_us: int) -> bool:
        """Another lends or gives back; whether more may be out there now."""
        server = self.servers.get(name)
        return server is not None and server.lot.hear_loan(sender, loan, now_us)
