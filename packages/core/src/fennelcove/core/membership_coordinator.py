"""Which fronts are alive: sends and receives heartbeats, under the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from fennelcove.clock import Clock
from fennelcove.core.front_incarnations import FrontIncarnations
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings
from fennelcove.decisions.fleet.peer_states import PeerState
from fennelcove.settings.schema import CompanySettings, Instance

LOGGED_STATES = {PeerState.SILENT, PeerState.LEFT, PeerState.BACK, PeerState.TWIN}


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """The `company` section of the status; the field names are keys of the status JSON."""

    living: int
    fronts: int
    leased: bool
    gone: list[int]
    share: float
    standings: dict[str, str]


class MembershipCoordinator:
    """One front among others.

    The owner assigns `post` (sends a heartbeat to each front) and calls `beat` at the settings' interval.
    """

    def __init__(
        self,
        told: CompanySettings,
        instance: Instance,
        life: int,
        clock: Clock,
        lock: threading.RLock,
        notice: EventLogger,
    ) -> None:
        interval_us, lease_us = round(told.beat_ms * 1000), round(told.lease_ms * 1000)
        settings = MembershipSettings(
            instance.fronts, instance.index, interval_us, lease_us, lease_us, told.kept
        )
        self._clock = clock
        self._lock = lock
        self._log = notice
        self.company = Membership(settings, life, clock.now_us())
        self.post: Callable[[dict[int, Heartbeat]], None] = lambda _heartbeats: None
        self._had_lease = False

    def mine(self, turn: int) -> bool:
        """Return whether a turn of a server in slow start is this front's, as `PlacementPolicy.mine` asks."""
        with self._lock:
            return self.company.mine(turn, self._clock.now_us())

    def fronts(self) -> float:
        """Return the number of fronts among which this one's share counts."""
        with self._lock:
            return 1 / self.company.share(self._clock.now_us())

    def beat(self) -> None:
        """Send a heartbeat to each front; returns without waiting for them."""
        with self._lock:
            heartbeats = self.company.beat(self._clock.now_us())
            self._log_changes()
        self.post(heartbeats)

    def hear(self, sender: int, beat: Heartbeat) -> None:
        """Handle another front's heartbeat."""
        with self._lock:
            self.company.hear(sender, beat, self._clock.now_us())
            self._log_changes()

    def leave(self) -> None:
        """Announce that this front ends, so that the others need not wait for a timeout."""
        with self._lock:
            self.company.leaving = True
        self.beat()

    def lives(self) -> FrontIncarnations:
        """Return the known incarnations of all fronts."""
        with self._lock:
            membership = self.company
            known = tuple(
                membership.peers[index].life if index in membership.peers else membership.life
                for index in range(membership.terms.fronts)
            )
            return FrontIncarnations(membership.life, membership.outbid_life, known)

    def status(self) -> dict[str, object]:
        """Return the figures of the `company` section of the status JSON."""
        with self._lock:
            now_us, membership = self._clock.now_us(), self.company
            status = MembershipStatus(
                living=membership.living(),
                fronts=membership.terms.fronts,
                leased=membership.leased(now_us),
                gone=sorted(membership.gone(now_us)),
                share=round(membership.share(now_us), 4),
                standings={str(index): peer.standing.value for index, peer in membership.peers.items()},
            )
            return asdict(status)

    def _log_changes(self) -> None:
        for change in self.company.news():
            if change.now in LOGGED_STATES:
                was, now = change.was.value, change.now.value
                self._log("peer_state_changed", other=change.index, was=was, now=now)
        has_lease = self.company.leased(self._clock.now_us())
        if has_lease is not self._had_lease:
            self._had_lease = has_lease
            self._log("lease_changed", held=has_lease, living=self.company.living())
