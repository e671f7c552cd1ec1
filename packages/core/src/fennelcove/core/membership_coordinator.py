"""The core's part that knows which fronts live. It is handed what it needs, and the lock that is round it."""

from __future__ import annotations

import threading
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings
from fennelcove.decisions.fleet.peer_states import PeerState
from fennelcove.settings.schema import CompanySettings, Instance

Post = Callable[[dict[int, Heartbeat]], None]
SHOWN = {PeerState.SILENT, PeerState.LEFT, PeerState.BACK, PeerState.TWIN}  # what goes into the log


class MembershipCoordinator:
    """One front among others: beats on a timer, and the part of a cold box that is this front's. Attach
    `post` before `begin`."""

    def __init__(
        self,
        told: CompanySettings,
        instance: Instance,
        life: int,
        clock: Clock,
        lock: threading.RLock,
        notice: EventLogger,
    ) -> None:
        beat_us, lease_us = round(told.beat_ms * 1000), round(told.lease_ms * 1000)
        terms = MembershipSettings(instance.fronts, instance.index, beat_us, lease_us, lease_us, told.kept)
        self.clock = clock
        self.lock = lock
        self.notice = notice
        self.company = Membership(terms, life, clock.now_us())
        self.post: Post = lambda beats: None
        self.was_leased = False

    def mine(self, turn: int) -> bool:
        """As `rules.Front.mine`, by what is heard of the others."""
        with self.lock:
            return self.company.mine(turn, self.clock.now_us())

    def fronts(self) -> float:
        """As how many fronts this one has to reckon."""
        with self.lock:
            return 1 / self.company.share(self.clock.now_us())

    def beat(self) -> None:
        """Tell the others; called every beat. What is sent waits for nobody."""
        with self.lock:
            beats = self.company.beat(self.clock.now_us())
            self._tell()
        self.post(beats)

    def hear(self, sender: int, beat: Heartbeat) -> None:
        """Another front's beat has come."""
        with self.lock:
            self.company.hear(sender, beat, self.clock.now_us())
            self._tell()

    def leave(self) -> None:
        """This front ends: the others need not wait until they miss it."""
        with self.lock:
            self.company.leaving = True
        self.beat()

    def lives(self) -> tuple[int, int, list[int]]:
        """This front's life, the latest known under its index before it, and all by index; 0 for unheard."""
        with self.lock:
            company = self.company
            size = range(company.terms.fronts)
            known = [company.peers[i].life if i in company.peers else company.life for i in size]
            return company.life, company.outbid_life, known

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.lock:
            now_us = self.clock.now_us()
            company = self.company
            return {
                "living": company.living(),
                "fronts": company.terms.fronts,
                "leased": company.leased(now_us),
                "gone": sorted(company.gone(now_us)),
                "share": round(company.share(now_us), 4),
                "standings": {str(i): peer.standing.value for i, peer in company.peers.items()},
            }

    def _tell(self) -> None:
        for change in self.company.news():
            if change.now in SHOWN:
                was, now = change.was.value, change.now.value
                self.notice("front_heard_of", other=change.index, was=was, now=now)
        leased = self.company.leased(self.clock.now_us())
        if leased is not self.was_leased:
            self.was_leased = leased
            self.notice("lease", held=leased, living=self.company.living())
