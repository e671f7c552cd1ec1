"""What a front does with the orders of a plan's leader."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.rollouts.action_queue import ActionQueue
from fennelcove.rollouts.messages import PlaceKind, RolloutOrder, ServingState
from fennelcove.rollouts.permit_requester import Requester, RequestState
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.types import Action, ActionKind, LocalFront, Outbox


@dataclass(slots=True)
class OrderHandler:
    """Turns orders into requests for permits, or into a drain where the front does not serve."""

    front: LocalFront
    front_count: int
    requester: Requester  # of permits for fronts
    acceptor: Acceptor
    actions: ActionQueue  # shared with the coordinator
    ordered_version: int | None = None  # that this front was last ordered to return with

    def on_order(self, sender: int, order: RolloutOrder, now_us: int) -> Outbox:
        """Apply an order that is for this incarnation, of the term's leader, and not out of date."""
        revision = (order.term, order.turn)
        is_from_leader = sender == order.term % self.front_count
        is_addressed = order.receiver_incarnation == self.front.incarnation
        if is_from_leader and is_addressed and revision >= self.acceptor.record.revision:
            self.apply(order.version, revision, now_us)
        return []

    def apply(self, version: int, revision: tuple[int, int], now_us: int) -> None:
        """Drain, once that is permitted, and return with a version."""
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
            # The front does not serve: its drain takes no capacity away, and its return needs no permit.
            self.ordered_version = version
            self.actions.add(Action(ActionKind.DRAIN_FRONT, PlaceKind.FRONT, index, version))
