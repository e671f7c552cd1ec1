"""Which fronts live, by what they say to each other, and how many may need a share of a cold box.

Every front may always take a stated part of its equal share, heard or not. The rest it may take only while it
holds a lease: a majority of all fronts has repeated a beat of its own that is younger than the lease. A front
that has been silent for longer than any lease it can hold is called gone by those who notice; where a
majority says so, those with a lease share what it left over its stated part. The two majorities have a front
in common, and that one repeats nothing of a front while its word that it is gone may still be acted on. So
the shares of all living fronts never add up to more than the whole, whatever is lost, late, doubled or cut in
half; no front has to know how the others see it. A front in a new life repeats nothing and calls nobody gone
until whatever its last life promised has lapsed.

What is sent to one front is answered in what that front is sent back, so that each judges the age of a word
by its own clock. Times are in microseconds of one front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

HEARTBEAT_INTERVAL_US = 250_000
LEASE_US = 2_000_000
DEPARTURE_REPORT_US = (
    2_000_000  # how long a word that a front is gone may be acted on, from the beat that it answers
)
CLOCK_DRIFT = 0.05  # by how much two clocks may differ in pace, and a process be held up between look and act
RESERVED_FRACTION = 0.5  # of its equal share, what a front may take whoever hears it
SUSPECT_AFTER_HEARTBEATS = 3
MAX_FLAPS = (
    3  # returns within `FLAP_US` after which a front has to be steady for longer before it is repeated
)
FLAP_WINDOW_US = 30_000_000
DUPLICATE_WINDOW_US = 5_000_000  # two lives under one index within so long are two processes
MAX_REMEMBERED_HEARTBEATS = 64  # own beats whose times are known
MAX_INCARNATION_BIDS = 3


class PeerState(Enum):
    """How another front stands."""

    UNHEARD = auto()  # nothing since this one began
    ALIVE = auto()
    SUSPECT = auto()  # some beats are missing
    SILENT = auto()  # for longer than any lease it can hold: this front calls it gone
    LEFT = auto()  # it said that it ends: this front calls it gone
    BACK = auto()  # heard again, and not repeated yet: the word that it is gone may still be acted on
    TWIN = auto()  # two processes speak under its index: neither is repeated


class MembershipEvent(Enum):
    """What happens to it."""

    HEARTBEAT_RECEIVED = auto()
    NEW_INCARNATION = auto()
    OLDER_INCARNATION = auto()  # one that was heard before the present one
    LEAVE_ANNOUNCED = auto()
    HEARTBEATS_MISSED = auto()  # beats are missing
    LEASE_EXPIRED = auto()
    QUARANTINE_ENDED = (
        auto()
    )  # no word of this front's is in force any more, or the twin was last heard long ago


TRANSITIONS: dict[tuple[PeerState, MembershipEvent], PeerState] = {
    (PeerState.UNHEARD, MembershipEvent.HEARTBEAT_RECEIVED): PeerState.ALIVE,
    (PeerState.UNHEARD, MembershipEvent.NEW_INCARNATION): PeerState.ALIVE,
    (PeerState.UNHEARD, MembershipEvent.LEAVE_ANNOUNCED): PeerState.LEFT,
    (PeerState.UNHEARD, MembershipEvent.LEASE_EXPIRED): PeerState.SILENT,
    # The last life may still hold a lease where its process was not the one that ended.
    (PeerState.ALIVE, MembershipEvent.NEW_INCARNATION): PeerState.BACK,
    (PeerState.ALIVE, MembershipEvent.LEAVE_ANNOUNCED): PeerState.LEFT,
    (PeerState.ALIVE, MembershipEvent.OLDER_INCARNATION): PeerState.TWIN,
    (PeerState.ALIVE, MembershipEvent.HEARTBEATS_MISSED): PeerState.SUSPECT,
    (PeerState.ALIVE, MembershipEvent.LEASE_EXPIRED): PeerState.SILENT,
    (PeerState.SUSPECT, MembershipEvent.HEARTBEAT_RECEIVED): PeerState.ALIVE,
    (PeerState.SUSPECT, MembershipEvent.NEW_INCARNATION): PeerState.BACK,
    (PeerState.SUSPECT, MembershipEvent.OLDER_INCARNATION): PeerState.TWIN,
    (PeerState.SUSPECT, MembershipEvent.LEAVE_ANNOUNCED): PeerState.LEFT,
    (PeerState.SUSPECT, MembershipEvent.LEASE_EXPIRED): PeerState.SILENT,
    (PeerState.SILENT, MembershipEvent.HEARTBEAT_RECEIVED): PeerState.BACK,
    (PeerState.SILENT, MembershipEvent.NEW_INCARNATION): PeerState.BACK,
    (PeerState.SILENT, MembershipEvent.OLDER_INCARNATION): PeerState.TWIN,
    (PeerState.SILENT, MembershipEvent.LEAVE_ANNOUNCED): PeerState.LEFT,
    # A beat that was late on its way says nothing after a farewell; only another life does.
    (PeerState.LEFT, MembershipEvent.NEW_INCARNATION): PeerState.BACK,
    (PeerState.BACK, MembershipEvent.QUARANTINE_ENDED): PeerState.ALIVE,
    (PeerState.BACK, MembershipEvent.LEAVE_ANNOUNCED): PeerState.LEFT,
    (PeerState.BACK, MembershipEvent.OLDER_INCARNATION): PeerState.TWIN,
    (PeerState.BACK, MembershipEvent.LEASE_EXPIRED): PeerState.SILENT,
    (PeerState.TWIN, MembershipEvent.QUARANTINE_ENDED): PeerState.BACK,
    (PeerState.TWIN, MembershipEvent.LEASE_EXPIRED): PeerState.SILENT,
}
DEPARTED_STATES = (PeerState.SILENT, PeerState.LEFT)
ACKNOWLEDGED_STATES = (PeerState.ALIVE, PeerState.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The figures of one company; see the module's text."""

    fronts: int
    index: int
    heartbeat_interval_us: int = HEARTBEAT_INTERVAL_US
    lease_us: int = LEASE_US
    departure_report_us: int = DEPARTURE_REPORT_US
    reserved_fraction: float = RESERVED_FRACTION

    @property
    def majority(self) -> int:
        """How many of all fronts, this one among them, are more than half."""
        return self.fronts // 2 + 1

    @property
    def expiry_us(self) -> int:
        """A front silent for so long holds no lease by this one's repeating."""
        return round(self.lease_us * (1 + CLOCK_DRIFT)) + self.heartbeat_interval_us


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one front tells another: a sign of life, what it last heard from there, and whom it calls gone."""

    life: int  # of the sender's process, higher than any before it
    number: int  # of this beat, counted in this life
    heard_life: int = 0  # the taker's, as the sender knows it
    heard_number: int = 0  # the taker's last beat in it, repeated; 0: nothing is repeated
    leaving: bool = False
    gone: tuple[int, ...] = ()


@dataclass(slots=True)
class Peer:
    """What this front knows of another."""

    standing: PeerState = PeerState.UNHEARD
    life: int = 0
    sequence: int = 0
    last_heartbeat_us: int = 0
    other_incarnation_us: int = 0  # when another life than the present one was last heard
    incarnation_seen_us: int = 0  # when the present life was first heard
    reported_departed_us: int = -(1 << 60)  # when this front last called it gone
    acknowledged_sequence: int = (
        0  # the newest beat of ours that it has repeated in its present life, by number
    )
    departed: frozenset[int] = frozenset()  # whom it calls gone
    departed_sequence: int = 0  # the beat of ours that this word answers
    rejoin_count: int = 0
    rejoined_us: int = 0


@dataclass(frozen=True, slots=True)
class PeerChange:
    """Something that an operator may want to know."""

    index: int
    was: PeerState
    now: PeerState


@dataclass(slots=True)
class Membership:
    """One front's view of all. The caller hands in times, carries beats and holds the lock."""

    terms: MembershipSettings
    life: int
    now_us: int
    sequence: int = 0
    heartbeat_sent_us: OrderedDict[int, int] = field(default_factory=OrderedDict)
    peers: dict[int, Peer] = field(default_factory=dict)
    pending_changes: list[PeerChange] = field(default_factory=list)
    quiet_until_us: int = 0  # until then a new life repeats nothing: it may have called somebody gone before
    leaving: bool = False
    incarnation_bids: int = 0  # how often a higher life was known for this index
    outbid_life: int = 0  # the latest that others knew before this one

    def __post_init__(self) -> None:
        terms = self.terms
        self.peers = {i: Peer(last_heartbeat_us=self.now_us) for i in range(terms.fronts) if i != terms.index}
        self.quiet_until_us = (
            self.now_us
            + round(max(terms.lease_us, terms.departure_report_us) * (1 + CLOCK_DRIFT))
            + terms.heartbeat_interval_us
        )

    # What is sent.

    def beat(self, now_us: int) -> dict[int, Heartbeat]:
        """The next beat, for each other front; to be sent now."""
        self.advance(now_us)
        self.sequence += 1
        self.heartbeat_sent_us[self.sequence] = now_us
        if len(self.heartbeat_sent_us) > MAX_REMEMBERED_HEARTBEATS:
            self.heartbeat_sent_us.popitem(last=False)
        called: tuple[int, ...] = ()
        if now_us >= self.quiet_until_us:
            called = tuple(i for i, peer in self.peers.items() if peer.standing in DEPARTED_STATES)
            for i in called:
                self.peers[i].reported_departed_us = now_us
        return {i: self._heartbeat_for(peer, called, now_us) for i, peer in self.peers.items()}

    def _heartbeat_for(self, peer: Peer, called: tuple[int, ...], now_us: int) -> Heartbeat:
        if not self._may_acknowledge(peer, now_us):
            return Heartbeat(self.life, self.sequence, peer.life, leaving=self.leaving)
        return Heartbeat(self.life, self.sequence, peer.life, peer.sequence, self.leaving, called)

    def _may_acknowledge(self, peer: Peer, now_us: int) -> bool:
        # A word given in a beat may be acted on until it lapses by the clock of whoever it was given to; what
        # is repeated here before that would let its subject act as well.
        word_over = now_us >= peer.reported_departed_us + round(
            self.terms.departure_report_us * (1 + CLOCK_DRIFT)
        )
        return now_us >= self.quiet_until_us and peer.standing in ACKNOWLEDGED_STATES and word_over

    # What is heard.

    def hear(self, sender: int, beat: Heartbeat, now_us: int) -> None:
        """A beat has come."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        self.advance(now_us)
        if beat.heard_life != self.life:
            self.outbid_life = max(self.outbid_life, beat.heard_life)
        if beat.heard_life > self.life:
            self._raise_incarnation(beat.heard_life)
        if beat.life < peer.life:
            # Late ones of a life that is over come for a moment; two processes under one index go on.
            peer.other_incarnation_us = now_us
            if now_us - peer.incarnation_seen_us > DUPLICATE_WINDOW_US or peer.standing is PeerState.TWIN:
                self._apply(sender, peer, MembershipEvent.OLDER_INCARNATION, now_us)
            return
        if beat.life == peer.life and beat.number <= peer.sequence:
            return  # doubled, or overtaken by a newer one
        new = beat.life > peer.life
        if new:
            if peer.life:
                peer.other_incarnation_us = now_us
            peer.life, peer.incarnation_seen_us = beat.life, now_us
            peer.acknowledged_sequence, peer.departed, peer.departed_sequence = 0, frozenset(), 0
        peer.sequence, peer.last_heartbeat_us = beat.number, now_us
        if beat.heard_life == self.life and beat.heard_number in self.heartbeat_sent_us:  # 0 is none of them
            peer.acknowledged_sequence = max(peer.acknowledged_sequence, beat.heard_number)
            if beat.heard_number >= peer.departed_sequence:
                peer.departed, peer.departed_sequence = frozenset(beat.gone), beat.heard_number
        if beat.leaving:
            self._apply(sender, peer, MembershipEvent.LEAVE_ANNOUNCED, now_us)
        else:
            self._apply(
                sender,
                peer,
                MembershipEvent.NEW_INCARNATION if new else MembershipEvent.HEARTBEAT_RECEIVED,
                now_us,
            )

    def _raise_incarnation(self, known: int) -> None:
        """Others know a later life under this index: a clock that went back gave this one too low a number. A
        second process would bid against it for ever, so only a few times; then others see that it is one."""
        if self.incarnation_bids < MAX_INCARNATION_BIDS:
            self.incarnation_bids += 1
            self.life = known + 1
            # The count of beats goes on: begun anew, what was repeated of the last life passed for new.
            self.heartbeat_sent_us.clear()

    def advance(self, now_us: int) -> None:
        """Time passes."""
        self.now_us = now_us
        for index, peer in self.peers.items():
            silent_us = now_us - peer.last_heartbeat_us
            if silent_us >= self.terms.expiry_us:
                self._apply(index, peer, MembershipEvent.LEASE_EXPIRED, now_us)
            elif silent_us >= SUSPECT_AFTER_HEARTBEATS * self.terms.heartbeat_interval_us:
                self._apply(index, peer, MembershipEvent.HEARTBEATS_MISSED, now_us)
            if peer.standing in (PeerState.BACK, PeerState.TWIN) and now_us >= self._quarantine_end_us(peer):
                self._apply(index, peer, MembershipEvent.QUARANTINE_ENDED, now_us)

    def _quarantine_end_us(self, peer: Peer) -> int:
        """When one that is back may be repeated: the word that it is gone has lapsed, and one that comes and
        goes has stayed for the longer the more often it went."""
        other_over_us = peer.other_incarnation_us + self.terms.expiry_us if peer.other_incarnation_us else 0
        if peer.standing is PeerState.TWIN:
            return max(peer.other_incarnation_us + DUPLICATE_WINDOW_US, other_over_us)
        steady_us = peer.rejoined_us + self.terms.lease_us * max(0, peer.rejoin_count - MAX_FLAPS)
        return max(
            steady_us,
            other_over_us,
            peer.reported_departed_us + round(self.terms.departure_report_us * (1 + CLOCK_DRIFT)),
        )

    def _apply(self, index: int, peer: Peer, event: MembershipEvent, now_us: int) -> None:
        now = TRANSITIONS.get((peer.standing, event), peer.standing)
        if now is peer.standing:
            return
        if now is PeerState.BACK:
            recent = now_us - peer.rejoined_us < FLAP_WINDOW_US
            peer.rejoin_count, peer.rejoined_us = (peer.rejoin_count + 1 if recent else 1), now_us
        self.pending_changes.append(PeerChange(index, peer.standing, now))
        peer.standing = now

    # What follows.

    def leased(self, now_us: int) -> bool:
        """Whether a majority has lately repeated this front's beats."""
        fresh = 1  # this front hears itself
        for peer in self.peers.values():
            sent_us = self.heartbeat_sent_us.get(peer.acknowledged_sequence)
            fresh += sent_us is not None and now_us - sent_us < self.terms.lease_us
        return fresh >= self.terms.majority and not self.leaving

    def gone(self, now_us: int) -> frozenset[int]:
        """The fronts that a majority calls gone, by words that are still in force."""
        words: dict[int, int] = {}
        for peer in self.peers.values():
            sent_us = self.heartbeat_sent_us.get(peer.departed_sequence)
            if sent_us is not None and now_us - sent_us < self.terms.departure_report_us:
                for index in peer.departed:
                    words[index] = words.get(index, 0) + 1
        mine = now_us >= self.quiet_until_us
        return frozenset(
            index
            for index, peer in self.peers.items()
            if words.get(index, 0) + (mine and peer.standing in DEPARTED_STATES) >= self.terms.majority
        )

    def share(self, now_us: int) -> float:
        """What part of anything that all fronts share this one may take now, whatever the others believe."""
        terms = self.terms
        if terms.fronts == 1:
            return 1.0
        if not self.leased(now_us):
            return terms.reserved_fraction / terms.fronts
        gone = len(self.gone(now_us))
        return (1 - terms.reserved_fraction * gone / terms.fronts) / (terms.fronts - gone)

    def mine(self, turn: int, now_us: int) -> bool:
        """Whether a turn that goes round all fronts is this one's, whatever the others believe.

        Turns keep their numbers whoever lives: shared out anew with each change, the turns of two views fell
        together, and pushed boxes over. Of each front's turns the kept part is nobody else's; the rest of one
        that is gone goes to whoever of the others ranks first for that very turn, so that two who hold a
        lease and differ on who is gone never take the same one.
        """
        owner, round_ = turn % self.terms.fronts, turn // self.terms.fronts
        if owner == self.terms.index:
            return self._is_reserved_turn(owner, round_) or self.leased(now_us)
        if self._is_reserved_turn(owner, round_) or not self.leased(now_us):
            return False
        gone = self.gone(now_us)
        if owner not in gone:
            return False
        others = (i for i in range(self.terms.fronts) if i not in gone)
        return max(others, key=lambda i: crc32(f"{turn}/{i}".encode())) == self.terms.index

    def _is_reserved_turn(self, owner: int, round_: int) -> bool:
        return crc32(f"{owner}/{round_}".encode()) < self.terms.reserved_fraction * 2**32

    def living(self) -> int:
        """How many fronts this one takes to be alive, itself among them; no share hangs on it."""
        return len(self.alive())

    def alive(self) -> list[int]:
        """Which they are, by index."""
        here = (*ACKNOWLEDGED_STATES, PeerState.BACK)
        others = [index for index, peer in self.peers.items() if peer.standing in here]
        return sorted([self.terms.index, *others])

    def news(self) -> list[PeerChange]:
        """What has changed since the last call."""
        found, self.pending_changes = self.pending_changes, []
        return found
