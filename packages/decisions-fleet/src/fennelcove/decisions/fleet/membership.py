"""Membership of the fleet by heartbeats, and the share of a common resource that each front may use.

Each front may always use a reserved fraction of its equal share, whether or not it reaches the others. It may
use the rest only while it holds a lease: a majority of all fronts has acknowledged a heartbeat of its own
that is younger than the lease. A front that has been unreachable for longer than any lease it can hold is
reported as departed. Where a majority reports it, the fronts that hold a lease divide what it left beyond its
reserved fraction.

Any two majorities have a front in common, and that front acknowledges no heartbeat of a peer while its own
report that the peer departed is still valid. The shares of all running fronts therefore never add up to more
than the whole resource, even if messages are lost, delayed, duplicated or cut off by a partition, and no
front needs to know how the others see it. A front that has restarted acknowledges nothing and reports no
front as departed until all acknowledgements and reports of its previous incarnation have expired.

A heartbeat acknowledges the newest heartbeat received from its recipient, so that each front measures the age
of a message with its own clock. Times are in microseconds of one front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from zlib import crc32

from fennelcove.decisions.fleet.peer_states import (
    ACKNOWLEDGED_STATES,
    DEPARTED_STATES,
    LIVE_STATES,
    PEER_TRANSITIONS,
    QUARANTINED_STATES,
    MembershipEvent,
    PeerState,
)

HEARTBEAT_INTERVAL_US = 250_000
LEASE_US = 2_000_000
DEPARTURE_REPORT_US = 2_000_000  # validity of a report, counted from the heartbeat that it acknowledges
# The relative difference in rate of two clocks, and the relative delay of a process between check and use.
CLOCK_DRIFT = 0.05
RESERVED_FRACTION = 0.5  # of its equal share, which a front may use without a lease
SUSPECT_AFTER_HEARTBEATS = 3  # missed in a row
MAX_FLAPS = 3  # rejoins within `FLAP_WINDOW_US`; a peer with more stays in quarantine for longer
FLAP_WINDOW_US = 30_000_000
DUPLICATE_WINDOW_US = 5_000_000  # two incarnations under one index for longer than this are two processes
MAX_REMEMBERED_HEARTBEATS = 64  # own heartbeats whose send times are stored
MAX_INCARNATION_BIDS = 3
NEVER_US = -(1 << 60)
CRC32_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The settings of one front's membership; see the module's doc comment."""

    front_count: int
    index: int
    heartbeat_interval_us: int = HEARTBEAT_INTERVAL_US
    lease_us: int = LEASE_US
    departure_report_us: int = DEPARTURE_REPORT_US
    reserved_fraction: float = RESERVED_FRACTION

    @property
    def majority(self) -> int:
        """The smallest number of fronts, including this one, that is more than half of all fronts."""
        return self.front_count // 2 + 1

    @property
    def expiry_us(self) -> int:
        """The silence after which no acknowledgement of this front can count towards a peer's lease."""
        return round(self.lease_us * (1 + CLOCK_DRIFT)) + self.heartbeat_interval_us

    @property
    def report_expiry_us(self) -> int:
        """The age at which a departure report has expired for every recipient, by any clock."""
        return round(self.departure_report_us * (1 + CLOCK_DRIFT))

    @property
    def restart_quiet_us(self) -> int:
        """The time after a start by which all messages of the previous incarnation have expired."""
        longest_us = max(self.lease_us, self.departure_report_us)
        return round(longest_us * (1 + CLOCK_DRIFT)) + self.heartbeat_interval_us

    def is_reserved_turn(self, owner: int, round_number: int) -> bool:
        """Whether a turn is in its owner's reserved fraction, which no other front ever uses."""
        return crc32(f"{owner}/{round_number}".encode()) < self.reserved_fraction * CRC32_RANGE


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The message that one front sends another at each interval."""

    incarnation: int  # the sender's incarnation, higher than any previous one
    sequence: int  # the sequence number of this heartbeat within the incarnation
    acknowledged_incarnation: int = 0  # the recipient's incarnation, as the sender knows it
    acknowledged_sequence: int = 0  # the recipient's newest heartbeat in that incarnation; 0 for none
    is_leaving: bool = False
    departed: tuple[int, ...] = ()  # the fronts that the sender reports as departed


@dataclass(slots=True)
class Peer:
    """What this front knows of another."""

    state: PeerState = PeerState.UNHEARD
    incarnation: int = 0
    sequence: int = 0  # of its newest heartbeat
    last_heartbeat_us: int = 0
    other_incarnation_us: int = 0  # when an incarnation other than the current one was last seen
    incarnation_seen_us: int = 0  # when the current incarnation was first seen
    reported_departed_us: int = NEVER_US  # when this front last reported it as departed
    acknowledged_sequence: int = 0  # this front's newest heartbeat that its current incarnation acknowledged
    departed: frozenset[int] = frozenset()  # the fronts that it reports as departed
    departed_sequence: int = 0  # this front's heartbeat that the report acknowledges
    rejoin_count: int = 0
    rejoined_us: int = 0

    def begin_incarnation(self, incarnation: int, now_us: int) -> None:
        """Start a new incarnation; the previous one's acknowledgements and reports are discarded."""
        if self.incarnation:
            self.other_incarnation_us = now_us
        self.incarnation = incarnation
        self.incarnation_seen_us = now_us
        self.acknowledged_sequence = 0
        self.departed = frozenset()
        self.departed_sequence = 0

    def accept_acknowledgement(self, heartbeat: Heartbeat) -> None:
        """Store the acknowledgement and the departure report of a heartbeat."""
        self.acknowledged_sequence = max(self.acknowledged_sequence, heartbeat.acknowledged_sequence)
        if heartbeat.acknowledged_sequence >= self.departed_sequence:
            self.departed = frozenset(heartbeat.departed)
            self.departed_sequence = heartbeat.acknowledged_sequence

    def count_rejoin(self, now_us: int) -> None:
        """Count a rejoin; after `FLAP_WINDOW_US` without one, counting starts over."""
        is_recent = now_us - self.rejoined_us < FLAP_WINDOW_US
        self.rejoin_count = self.rejoin_count + 1 if is_recent else 1
        self.rejoined_us = now_us

    def quarantine_end_us(self, settings: MembershipSettings) -> int:
        """When a rejoining or duplicate peer may be acknowledged again.

        By then the report that it departed has expired. A peer that flaps must in addition have been stable
        for a time that grows with the number of its rejoins.
        """
        other_expired_us = 0
        if self.other_incarnation_us:
            other_expired_us = self.other_incarnation_us + settings.expiry_us
        if self.state is PeerState.DUPLICATE:
            return max(self.other_incarnation_us + DUPLICATE_WINDOW_US, other_expired_us)
        excess_flaps = max(0, self.rejoin_count - MAX_FLAPS)
        steady_us = self.rejoined_us + settings.lease_us * excess_flaps
        return max(steady_us, other_expired_us, self.reported_departed_us + settings.report_expiry_us)


@dataclass(frozen=True, slots=True)
class PeerChange:
    """A change of a peer's state, for the log."""

    index: int
    previous: PeerState
    current: PeerState


@dataclass(slots=True)
class Membership:
    """One front's view of all fronts. The caller supplies times, transports heartbeats and holds the lock."""

    settings: MembershipSettings
    incarnation: int
    now_us: int
    sequence: int = 0  # of this front's newest heartbeat
    heartbeat_sent_us: OrderedDict[int, int] = field(default_factory=OrderedDict)  # by sequence number
    peers: dict[int, Peer] = field(default_factory=dict)
    pending_changes: list[PeerChange] = field(default_factory=list)
    quiet_until_us: int = 0  # until then the previous incarnation's messages may still be valid
    is_leaving: bool = False
    incarnation_bids: int = 0  # how often this front has raised its incarnation above one that a peer knew
    latest_known_incarnation: int = 0  # the highest other incarnation that peers knew under this index

    def __post_init__(self) -> None:
        indices = (index for index in range(self.settings.front_count) if index != self.settings.index)
        self.peers = {index: Peer(last_heartbeat_us=self.now_us) for index in indices}
        self.quiet_until_us = self.now_us + self.settings.restart_quiet_us

    # Sending.

    def next_heartbeats(self, now_us: int) -> dict[int, Heartbeat]:
        """The heartbeats to send now, by the index of the recipient."""
        self.advance(now_us)
        self.sequence += 1
        self.heartbeat_sent_us[self.sequence] = now_us
        if len(self.heartbeat_sent_us) > MAX_REMEMBERED_HEARTBEATS:
            self.heartbeat_sent_us.popitem(last=False)
        departed = self._report_departed(now_us)
        return {index: self._heartbeat_for(peer, departed, now_us) for index, peer in self.peers.items()}

    def _report_departed(self, now_us: int) -> tuple[int, ...]:
        if now_us < self.quiet_until_us:
            return ()
        departed = tuple(index for index, peer in self.peers.items() if peer.state in DEPARTED_STATES)
        for index in departed:
            self.peers[index].reported_departed_us = now_us
        return departed

    def _heartbeat_for(self, peer: Peer, departed: tuple[int, ...], now_us: int) -> Heartbeat:
        if not self._may_acknowledge(peer, now_us):
            return Heartbeat(self.incarnation, self.sequence, peer.incarnation, is_leaving=self.is_leaving)
        return Heartbeat(
            self.incarnation, self.sequence, peer.incarnation, peer.sequence, self.is_leaving, departed
        )

    def _may_acknowledge(self, peer: Peer, now_us: int) -> bool:
        # A departure report is valid until it expires by the clock of its recipient. If the reported front
        # were acknowledged before that, it and the recipient could both use its share.
        report_expired = now_us >= peer.reported_departed_us + self.settings.report_expiry_us
        return now_us >= self.quiet_until_us and peer.state in ACKNOWLEDGED_STATES and report_expired

    # Receiving.

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, now_us: int) -> None:
        """Handle a heartbeat of a peer."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        self.advance(now_us)
        self._compare_own_incarnation(heartbeat.acknowledged_incarnation)
        if heartbeat.incarnation < peer.incarnation:
            self._on_older_incarnation(sender, peer, now_us)
            return
        if heartbeat.incarnation == peer.incarnation and heartbeat.sequence <= peer.sequence:
            return  # a duplicate, or older than the newest one received
        is_new_incarnation = heartbeat.incarnation > peer.incarnation
        if is_new_incarnation:
            peer.begin_incarnation(heartbeat.incarnation, now_us)
        peer.sequence = heartbeat.sequence
        peer.last_heartbeat_us = now_us
        # Number 0 means that nothing is acknowledged; no heartbeat has it.
        if (
            heartbeat.acknowledged_incarnation == self.incarnation
            and heartbeat.acknowledged_sequence in self.heartbeat_sent_us
        ):
            peer.accept_acknowledgement(heartbeat)
        event = MembershipEvent.HEARTBEAT_RECEIVED
        if heartbeat.is_leaving:
            event = MembershipEvent.LEAVE_ANNOUNCED
        elif is_new_incarnation:
            event = MembershipEvent.NEW_INCARNATION
        self._apply(sender, peer, event, now_us)

    def _on_older_incarnation(self, sender: int, peer: Peer, now_us: int) -> None:
        # Delayed heartbeats of an ended incarnation arrive only for a short time; heartbeats of an older
        # incarnation that go on after that come from a second process under the same index.
        peer.other_incarnation_us = now_us
        is_past_delays = now_us - peer.incarnation_seen_us > DUPLICATE_WINDOW_US
        if is_past_delays or peer.state is PeerState.DUPLICATE:
            self._apply(sender, peer, MembershipEvent.OLDER_INCARNATION, now_us)

    def _compare_own_incarnation(self, known: int) -> None:
        """Compare this front's incarnation with the one that a peer knows under its index.

        A peer knows a higher one if this front's clock was set back and gave it too low a number; this front
        then raises its incarnation. Two processes under one index would outbid each other without end, so the
        number of bids is limited, after which the others detect a duplicate.
        """
        if known == self.incarnation:
            return
        self.latest_known_incarnation = max(self.latest_known_incarnation, known)
        if known > self.incarnation and self.incarnation_bids < MAX_INCARNATION_BIDS:
            self.incarnation_bids += 1
            self.incarnation = known + 1
            # The sequence number is not reset: acknowledgements of the previous incarnation would otherwise
            # be taken for new ones.
            self.heartbeat_sent_us.clear()

    def advance(self, now_us: int) -> None:
        """Advance the clock and update the state of each peer."""
        self.now_us = now_us
        for index, peer in self.peers.items():
            silent_us = now_us - peer.last_heartbeat_us
            if silent_us >= self.settings.expiry_us:
                self._apply(index, peer, MembershipEvent.LEASE_EXPIRED, now_us)
            elif silent_us >= SUSPECT_AFTER_HEARTBEATS * self.settings.heartbeat_interval_us:
                self._apply(index, peer, MembershipEvent.HEARTBEATS_MISSED, now_us)
            if peer.state in QUARANTINED_STATES and now_us >= peer.quarantine_end_us(self.settings):
                self._apply(index, peer, MembershipEvent.QUARANTINE_ENDED, now_us)

    def _apply(self, index: int, peer: Peer, event: MembershipEvent, now_us: int) -> None:
        state = PEER_TRANSITIONS.apply(peer.state, event).state
        if state is peer.state:
            return
        if state is PeerState.REJOINING:
            peer.count_rejoin(now_us)
        self.pending_changes.append(PeerChange(index, peer.state, state))
        peer.state = state

    # Decisions.

    def has_lease(self, now_us: int) -> bool:
        """Whether a majority has acknowledged this front's heartbeats within the lease."""
        acknowledged_by = 1  # this front acknowledges itself
        for peer in self.peers.values():
            sent_us = self.heartbeat_sent_us.get(peer.acknowledged_sequence)
            acknowledged_by += sent_us is not None and now_us - sent_us < self.settings.lease_us
        return acknowledged_by >= self.settings.majority and not self.is_leaving

    def departed_fronts(self, now_us: int) -> frozenset[int]:
        """The fronts that a majority reports as departed, by reports that are still valid."""
        reports: dict[int, int] = {}
        for peer in self.peers.values():
            sent_us = self.heartbeat_sent_us.get(peer.departed_sequence)
            if sent_us is not None and now_us - sent_us < self.settings.departure_report_us:
                for index in peer.departed:
                    reports[index] = reports.get(index, 0) + 1
        may_report = now_us >= self.quiet_until_us
        return frozenset(
            index
            for index, peer in self.peers.items()
            if reports.get(index, 0) + (may_report and peer.state in DEPARTED_STATES)
            >= self.settings.majority
        )

    def allowed_share(self, now_us: int) -> float:
        """The share of any common resource that this front may use now, whatever the others' views are."""
        fronts, reserved = self.settings.front_count, self.settings.reserved_fraction
        if fronts == 1:
            return 1.0
        if not self.has_lease(now_us):
            return reserved / fronts
        departed = len(self.departed_fronts(now_us))
        return (1 - reserved * departed / fronts) / (fronts - departed)

    def owns_turn(self, turn: int, now_us: int) -> bool:
        """Whether a turn belongs to this front, of turns that rotate over all fronts.

        No turn ever belongs to two fronts, whatever their views are. Each turn has a fixed owner, whichever
        fronts are alive: when turns were redistributed with each change, fronts with different views took
        the same turns and overloaded servers. The reserved fraction of a front's turns is never used by
        another front. Each other turn of a departed front goes to the remaining front that ranks first for
        that turn, so that two lease holders that disagree on who departed never take the same one.
        """
        fronts = self.settings.front_count
        owner, round_number = turn % fronts, turn // fronts
        is_reserved = self.settings.is_reserved_turn(owner, round_number)
        if owner == self.settings.index:
            return is_reserved or self.has_lease(now_us)
        if is_reserved or not self.has_lease(now_us):
            return False
        departed = self.departed_fronts(now_us)
        if owner not in departed:
            return False
        remaining = (index for index in range(fronts) if index not in departed)
        return max(remaining, key=lambda index: crc32(f"{turn}/{index}".encode())) == self.settings.index

    # Reporting.

    def live_front_count(self) -> int:
        """The number of fronts that this one considers alive, including itself; no share depends on it."""
        return len(self.live_fronts())

    def live_fronts(self) -> list[int]:
        """The indices of the fronts that this one considers alive, including itself."""
        others = [index for index, peer in self.peers.items() if peer.state in LIVE_STATES]
        return sorted([self.settings.index, *others])

    def take_changes(self) -> list[PeerChange]:
        """Remove and return the changes of peers' states since the last call."""
        found, self.pending_changes = self.pending_changes, []
        return found
