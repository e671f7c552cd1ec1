"""One front's permit traffic for both kinds of place: sends requests, votes, counts votes, cancels."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from fennelcove.rollouts.action_queue import ActionQueue
from fennelcove.rollouts.heartbeat_sender import HeartbeatSender
from fennelcove.rollouts.messages import (
    PermitRequest,
    PermitVote,
    PlaceKind,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import NO_REVISION, PendingRequest, Requester, RequestState
from fennelcove.rollouts.plan_execution import ORDER_EXPIRY_US
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.rollout_plan import target_version
from fennelcove.rollouts.types import Action, ActionKind, LocalFront, Outbox

EXPIRING_STATES = (RequestState.WANTED, RequestState.ASKING)


@dataclass(slots=True)
class FrontPermits:
    """Connects this front's requesters and grantors with the rollout record and with the peers.

    `actions` is shared with the coordinator.
    """

    front: LocalFront
    peers: Collection[int]
    requesters: Mapping[PlaceKind, Requester]
    grantors: Mapping[PlaceKind, Grantor]
    acceptor: Acceptor
    heartbeats: HeartbeatSender
    actions: ActionQueue
    compared_record: RolloutRecord  # the record against which the requests were last checked

    def send_requests(self, now_us: int) -> Outbox:
        """Return the requests to send at a heartbeat interval, and the effects of this front's own votes."""
        outbox: Outbox = []
        for kind, requester in self.requesters.items():
            if kind is PlaceKind.FRONT and self.front.status.serving_state is not ServingState.SERVING:
                continue  # a front that does not serve needs no permit
            request = requester.next_request(now_us)
            if request is not None:
                outbox += self._send(request, now_us)
        return outbox

    def _send(self, request: PermitRequest, now_us: int) -> Outbox:
        outbox: Outbox = [(index, request) for index in self.peers]
        own_vote = self._vote_on(self.front.index, request, now_us)
        return outbox + self.on_vote(self.front.index, own_vote, now_us)

    def on_request(self, sender: int, request: PermitRequest, now_us: int) -> Outbox:
        """Return this front's vote on another front's request."""
        return [(sender, self._vote_on(sender, request, now_us))]

    def _vote_on(self, sender: int, request: PermitRequest, now_us: int) -> PermitVote:
        revision = (request.term, request.turn)
        is_older = revision < self.acceptor.record.revision
        # A front that may have lost the record of a halt must not permit drains for that plan.
        is_stale = revision != NO_REVISION and (is_older or not self.acceptor.is_record_known)
        return self.grantors[request.kind].on_permit_request(sender, request, now_us, is_stale=is_stale)

    def on_vote(self, sender: int, vote: PermitVote, now_us: int) -> Outbox:
        """Count a vote; if it decides a request, send heartbeats at once so that the grantors learn of it."""
        for kind, requester in self.requesters.items():
            asking = RequestState.ASKING
            counted = [one.place for one in requester.requests.values() if one.state is asking]
            granted = requester.on_vote(sender, vote, self.grantors[kind], self.front.jitter, now_us)
            if granted is not None:
                action_kind = ActionKind.DRAIN_FRONT if kind is PlaceKind.FRONT else ActionKind.DRAIN_SERVER
                self.actions.add(Action(action_kind, kind, granted.place, granted.version))
            if any(requester.requests[place].state is not asking for place in counted):
                return self.heartbeats.send(now_us)
        return []

    def expire_orders(self, now_us: int) -> None:
        """Cancel requests that a leader ordered but no longer repeats."""
        requester = self.requesters[PlaceKind.FRONT]
        requester.advance(now_us)
        for request in list(requester.requests.values()):
            is_ordered = request.revision != NO_REVISION
            is_expired = is_ordered and now_us >= request.wanted_us + ORDER_EXPIRY_US
            if is_expired and request.state in EXPIRING_STATES:
                requester.cancel(request.place)
                self.actions.add(Action(ActionKind.CANCEL, PlaceKind.FRONT, request.place))

    def cancel_outdated(self) -> None:
        """Cancel requests that the current record no longer calls for, unless the drain has begun."""
        record = self.acceptor.record
        if record.revision == self.compared_record.revision:
            return
        self.compared_record = record
        for kind, requester in self.requesters.items():
            for request in list(requester.requests.values()):
                if self._is_outdated(request, record) and requester.cancel(request.place):
                    self.actions.add(Action(ActionKind.CANCEL, kind, request.place))

    @staticmethod
    def _is_outdated(request: PendingRequest, record: RolloutRecord) -> bool:
        if request.revision == NO_REVISION or request.revision >= record.revision:
            return False
        return record.phase is not RolloutPhase.MOVING or request.version != target_version(record)
