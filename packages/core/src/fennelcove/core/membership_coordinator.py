"""Membership of the fronts: sends and receives heartbeats; acquires the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from fennelcove.clock import Clock
from fennelcove.core.front_incarnations import FrontIncarnations
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings
from fennelcove.decisions.fleet.peer_states import PeerState
from fennelcove.settings.schema import HeartbeatSettings, Instance

LOGGED_STATES = {PeerState.UNREACHABLE, PeerState.LEFT, PeerState.REJOINING, PeerState.DUPLICATE}


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """The `company` section of the status; the field names are keys of the status JSON.

    Attributes:
        living: The number of fronts that this one considers alive, including itself.
        fronts: The number of configured fronts.
        leased: Whether this front has its lease.
        gone: The indexes of the fronts that a majority reports as departed.
        share: The share of common resources that this front may use.
        standings: The state of each peer by its index.
    """

    living: int
    fronts: int
    leased: bool
    gone: list[int]
    share: float
    standings: dict[str, str]


class MembershipCoordinator:
    """One front's view of which fronts are alive.

    The owner assigns `broadcast` (sends each front its heartbeat) and calls `send_heartbeats` at the
    configured interval.
    """

    def __init__(
        self,
        peer_settings: HeartbeatSettings,
        instance: Instance,
        incarnation: int,
        clock: Clock,
        lock: threading.RLock,
        log: EventLogger,
    ) -> None:
        interval_us, lease_us = (
            round(peer_settings.beat_ms * 1000),
            round(peer_settings.lease_ms * 1000),
        )
        settings = MembershipSettings(
            instance.fronts, instance.index, interval_us, lease_us, lease_us, peer_settings.kept
        )
        self._clock = clock
        self._lock = lock
        self._log = log
        self.membership = Membership(settings, incarnation, clock.now_us())
        self.broadcast: Callable[[dict[int, Heartbeat]], None] = lambda _heartbeats: None
        self._had_lease = False

    def is_own_turn(self, turn: int) -> bool:
        """Return whether a turn at a server in slow start belongs to this front, for the placement policy."""
        with self._lock:
            return self.membership.owns_turn(turn, self._clock.now_us())

    def effective_front_count(self) -> float:
        """Return the reciprocal of this front's allowed share of any common resource."""
        with self._lock:
            return 1 / self.membership.allowed_share(self._clock.now_us())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each front without waiting for answers."""
        with self._lock:
            heartbeats = self.membership.next_heartbeats(self._clock.now_us())
            self._log_changes()
        self.broadcast(heartbeats)

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat) -> None:
        """Handle another front's heartbeat."""
        with self._lock:
            self.membership.on_heartbeat(sender, heartbeat, self._clock.now_us())
            self._log_changes()

    def announce_leave(self) -> None:
        """Announce that this front leaves, so that the others need not wait for a timeout."""
        with self._lock:
            self.membership.is_leaving = True
        self.send_heartbeats()

    def known_incarnations(self) -> FrontIncarnations:
        """Return the known incarnations of all fronts."""
        with self._lock:
            membership = self.membership
            known = tuple(
                membership.peers[index].incarnation if index in membership.peers else membership.incarnation
                for index in range(membership.settings.front_count)
            )
            return FrontIncarnations(membership.incarnation, membership.latest_known_incarnation, known)

    def status(self) -> dict[str, object]:
        """Return the figures of the `company` section of the status JSON."""
        with self._lock:
            now_us, membership = self._clock.now_us(), self.membership
            status = MembershipStatus(
                living=membership.live_front_count(),
                fronts=membership.settings.front_count,
                leased=membership.has_lease(now_us),
                gone=sorted(membership.departed_fronts(now_us)),
                share=round(membership.allowed_share(now_us), 4),
                standings={str(index): peer.state.value for index, peer in membership.peers.items()},
            )
            return asdict(status)

    def _log_changes(self) -> None:
        for change in self.membership.take_changes():
            if change.current in LOGGED_STATES:
                was, now = change.previous.value, change.current.value
                self._log("peer_state_changed", other=change.index, was=was, now=now)
        has_lease = self.membership.has_lease(self._clock.now_us())
        if has_lease is not self._had_lease:
            self._had_lease = has_lease
            self._log("lease_changed", held=has_lease, living=self.membership.live_front_count())
