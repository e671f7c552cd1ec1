"""Sends one front's heartbeats and records when each was sent."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from fennelcove.rollouts.messages import MAX_OPEN_REQUESTS, Heartbeat, PlaceKind
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import Requester, RequestNumbers
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.types import LocalFront, Outbox

MAX_SENT_HEARTBEATS = 256  # sent heartbeats whose send time is kept


@dataclass(slots=True)
class HeartbeatSender:
    """Creates this front's heartbeats, at each interval and whenever a grantor waits for one."""

    front: LocalFront
    peers: Collection[int]
    numbers: RequestNumbers
    requesters: Mapping[PlaceKind, Requester]
    grantors: Mapping[PlaceKind, Grantor]
    acceptor: Acceptor
    _sequence: int = 0
    _sent_us: OrderedDict[int, int] = field(default_factory=OrderedDict)

    def sent_at_us(self, sequence: int) -> int | None:
        """Return when a heartbeat was sent; None if that is no longer recorded."""
        return self._sent_us.get(sequence)

    def send(self, now_us: int) -> Outbox:
        """Return a heartbeat for each peer, and apply it to this front's own grantors at once."""
        self._sequence += 1
        self._sent_us[self._sequence] = now_us
        if len(self._sent_us) > MAX_SENT_HEARTBEATS:
            self._sent_us.popitem(last=False)
        own = self._heartbeat()
        for grantor in self.grantors.values():
            grantor.on_heartbeat(self.front.index, own, now_us, now_us)
        received = self.grantors[PlaceKind.FRONT].heartbeats
        return [(index, self._acknowledging(own, received.get(index))) for index in self.peers]

    @staticmethod
    def _acknowledging(own: Heartbeat, received: Heartbeat | None) -> Heartbeat:
        if received is None:
            return replace(own, acked_incarnation=0, acked_sequence=0)
        return replace(own, acked_incarnation=received.incarnation, acked_sequence=received.sequence)

    def _heartbeat(self) -> Heartbeat:
        status, record = self.front.status, self.acceptor.record
        open_requests = [one for requester in self.requesters.values() for one in requester.open_requests()]
        return Heartbeat(
            self.front.incarnation,
            self._sequence,
            serving_state=status.serving_state,
            version=status.version,
            serving_for_s=status.serving_for_s,
            requested=status.requested,
            served=status.served,
            refused=status.refused,
            failed=status.failed,
            shedding_level=status.shedding_level,
            storm_phase=status.storm_phase,
            last_request_number=self.numbers.last,
            term=record.term,
            turn=record.turn,
            is_record_known=self.acceptor.is_record_known,
            open_requests=tuple(open_requests[:MAX_OPEN_REQUESTS]),
        )
