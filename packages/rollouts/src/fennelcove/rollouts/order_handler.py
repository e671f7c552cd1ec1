"""Handling of the orders that a front receives from the leader of a rollout."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.rollouts.action_queue import ActionQueue
from fennelcove.rollouts.messages import PlaceKind, RolloutOrder, ServingState
from fennelcove.rollouts.permit_requester import Requester, RequestState
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.types import Action, ActionKind, LocalFront, Outbox


@dataclass(slots=True)
class OrderHandler:
    """Turns orders into permit requests, or directly into a drain if the front does not serve."""

    front: LocalFront
    front_count: int
    requester: Requester  # of permits for fronts
    acceptor: Acceptor
    actions: ActionQueue  # shared with the coordinator
    ordered_version: int | None = None  # of the last order that was applied while not serving

    def on_order(self, sender: int, order: RolloutOrder, now_us: int) -> Outbox:
        """Apply an order if it comes from the term's leader, is for this incarnation and is not outdated."""
        revision = (order.term, order.turn)
        is_from_leader = sender == order.term % self.front_count
        is_addressed = order.receiver_incarnation == self.front.incarnation
        if is_from_leader and is_addressed and revision >= self.acceptor.record.revision:
            self.apply(order.version, revision, now_us)
        return []

    def apply(self, version: int, revision: tuple[int, int], now_us: int) -> None:
        """Drain when permitted, and restart with a version."""
        status, index = self.front.status, self.front.index
        request = self.requester.requests.get(index)
        is_out = request is not None and request.state is RequestState.OUT
        if status.serving_state is ServingState.SERVING and not is_out:
            self.ordered_version = None
            if status.version != version:
                self.requester.request_permit(index, now_us, version, revision)
            return
        current = request.version if request is not None else status.version
        if (self.ordered_version or current) != version:
            # The front does not serve, so draining it removes no capacity and needs no permit.
            self.ordered_version = version
            self.actions.add(Action(ActionKind.DRAIN_FRONT, PlaceKind.FRONT, index, version))
