"""One front's coordinator of permits and rollouts: entry points for messages, commands and observations.

After each call the caller persists the state that `state_to_persist` returns (if the front has a store)
before it sends the messages that the call returned, and then carries out the actions from `take_actions`.
Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from fennelcove.rollouts.action_queue import ActionQueue
from fennelcove.rollouts.disruption_budget import DisruptionMap, FleetLimits, Location
from fennelcove.rollouts.front_permits import FrontPermits
from fennelcove.rollouts.heartbeat_sender import HeartbeatSender
from fennelcove.rollouts.messages import (
    Heartbeat,
    LeaderVote,
    LeaderVoteRequest,
    PermitRequest,
    PermitVote,
    PlaceKind,
    Proposal,
    ProposalAck,
    RolloutMessage,
    RolloutOrder,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.order_handler import OrderHandler
from fennelcove.rollouts.permit_requester import Requester, RequestNumbers
from fennelcove.rollouts.persisted_state import restore_grantor, take_changed_state
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.rollout_controller import RolloutController
from fennelcove.rollouts.status import disruption_status, plan_status, request_status
from fennelcove.rollouts.types import (
    Action,
    ActionKind,
    Command,
    CommandKind,
    CommandOutcome,
    FrontStatus,
    LocalFront,
    Outbox,
    PersistedState,
    RolloutSettings,
    StoredPermit,
)

__all__ = [
    "Action",
    "ActionKind",
    "Command",
    "CommandKind",
    "CommandOutcome",
    "FrontStatus",
    "Outbox",
    "PersistedState",
    "RolloutAgreement",
    "RolloutSettings",
    "StoredPermit",
]


class RolloutAgreement:
    """One front's coordinator of permits and rollouts.

    Attributes:
        requesters: this front's own permit requests, by kind of place.
        grantors: this front's votes on and promises for permit requests, by kind of place.
        acceptor: this front's copy of the rollout record.
        election: this front's role in leading a plan.
        is_superseded: whether a process with a later incarnation runs under this front's index.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        limits: FleetLimits,
        fronts: tuple[Location, ...],
        incarnation: int,
        now_us: int,
        persisted: PersistedState | None = None,
    ) -> None:
        """Start an incarnation of this front.

        Args:
            settings: the coordinator's settings.
            limits: the disruption limits, the same at all fronts.
            fronts: the location of each front, by index.
            incarnation: number of this incarnation, higher than all earlier ones of this front.
            now_us: the current time.
            persisted: the state that the previous incarnation persisted; None if there is none.
        """
        self.settings = settings
        self.incarnation = incarnation
        self.is_superseded = False
        self.persisted: PersistedState | None = persisted
        self.actions = ActionQueue()
        self.zones = {index: location.zone for index, location in enumerate(fronts)}
        self.front = LocalFront(settings.front_index, incarnation, FrontStatus(ServingState.STARTING))
        restored = persisted or PersistedState(sure=False, whole=False)
        permit_settings = {kind: settings.permit_settings(kind, limits) for kind in PlaceKind}
        maps = {PlaceKind.FRONT: DisruptionMap(dict(enumerate(fronts))), PlaceKind.BOX: DisruptionMap({})}
        self.grantors = {
            kind: restore_grantor(permit_settings[kind], maps[kind], restored, now_us) for kind in PlaceKind
        }
        numbers = RequestNumbers()
        self.requesters = {kind: Requester(permit_settings[kind], incarnation, numbers) for kind in PlaceKind}
        self._connect(numbers, restored, now_us)

    def _connect(self, numbers: RequestNumbers, restored: PersistedState, now_us: int) -> None:
        """Create the components that work on the grantors and requesters."""
        front, actions = self.front, self.actions
        requesters, grantors = self.requesters, self.grantors
        front_grantor = grantors[PlaceKind.FRONT]
        acceptor = Acceptor(front_grantor.settings, now_us, restored.term, restored.record, restored.sure)
        peers = [index for index in self.zones if index != front.index]
        self.acceptor = acceptor
        self.heartbeats = HeartbeatSender(front, peers, numbers, requesters, grantors, acceptor)
        self.permits = FrontPermits(
            front, peers, requesters, grantors, acceptor, self.heartbeats, actions, acceptor.record
        )
        orders = OrderHandler(
            front, self.settings.front_count, requesters[PlaceKind.FRONT], acceptor, actions
        )
        self.controller = RolloutController(
            self.settings, self.zones, self.incarnation, acceptor, front_grantor, orders.apply, actions.log
        )
        self.election = self.controller.election
        self.handlers: dict[type, Callable[[int, Any, int], Outbox]] = {
            Heartbeat: self._on_heartbeat,
            PermitRequest: self.permits.on_request,
            PermitVote: self.permits.on_vote,
            LeaderVoteRequest: self.controller.on_vote_request,
            LeaderVote: self.controller.on_vote,
            Proposal: self.controller.on_proposal,
            ProposalAck: self.controller.on_ack,
            RolloutOrder: orders.on_order,
        }

    def tick(self, status: FrontStatus, now_us: int, jitter: float) -> Outbox:
        """Return the messages to send at a heartbeat interval.

        Args:
            status: the current status of this front.
            now_us: the current time.
            jitter: random, in [0, 1).
        """
        self.front.status, self.front.jitter = status, jitter
        self.permits.expire_orders(now_us)
        outbox = self.heartbeats.send(now_us)
        if not self.is_superseded:
            outbox += self.permits.send_requests(now_us)
            outbox += self.controller.tick(status, now_us, jitter)
        self.permits.cancel_outdated()
        return outbox

    def on_message(self, sender: int, message: RolloutMessage, now_us: int) -> Outbox:
        """Process another front's message and return the messages to send."""
        if sender not in self.zones or sender == self.settings.front_index:
            return []
        if self.is_superseded and not isinstance(message, Heartbeat):
            return []  # with two processes voting as one front, two majorities need not overlap
        outbox = self.handlers[type(message)](sender, message, now_us)
        self.permits.cancel_outdated()
        return outbox

    def _on_heartbeat(self, sender: int, heartbeat: Heartbeat, now_us: int) -> Outbox:
        if heartbeat.acked_incarnation > self.incarnation and not self.is_superseded:
            self.is_superseded = True
            self.actions.log(
                f"superseded by incarnation {heartbeat.acked_incarnation}; this process no longer votes"
            )
        as_of_us = None
        if heartbeat.acked_incarnation == self.incarnation:
            as_of_us = self.heartbeats.sent_at_us(heartbeat.acked_sequence)
        for grantor in self.grantors.values():
            grantor.on_heartbeat(sender, heartbeat, as_of_us, now_us)
        self.acceptor.on_heartbeat(sender, heartbeat, as_of_us)
        record = self.acceptor.record
        is_behind = (heartbeat.term, heartbeat.turn) < record.revision
        if is_behind and as_of_us is not None:
            return [(sender, Proposal(record, heartbeat.incarnation))]
        return []

    def command(self, command: Command, now_us: int) -> tuple[int, CommandOutcome, Outbox]:
        """Start an operator's command; return its number, its outcome so far, and the messages to send."""
        number, outbox = self.controller.command(command, now_us)
        self.permits.cancel_outdated()
        return number, self.controller.commands.outcome(number), outbox

    def command_outcome(self, number: int) -> CommandOutcome:
        """Return the outcome of a command; a command that is no longer recorded counts as lost."""
        return self.controller.commands.outcome(number)

    def request_front_drain(self, version: int, now_us: int) -> Outbox:
        """Request a permit to drain this front and restart it with a version, by an operator's command."""
        self.requesters[PlaceKind.FRONT].request_permit(self.settings.front_index, now_us, version)
        return []

    def request_server_drain(self, cell: int, now_us: int) -> Outbox:
        """Request a permit to drain a server, by an operator's command."""
        self.requesters[PlaceKind.BOX].request_permit(cell, now_us)
        return []

    def write_off(self, kind: PlaceKind, place: int, now_us: int) -> None:
        """Exclude a place from the limits until it is observed to serve again, by an operator's command."""
        self.grantors[kind].write_off(place, now_us)

    def accept_record_as_complete(self) -> None:
        """Treat the known record as the latest one, by an operator's command; an active plan is halted."""
        self.election.step_down()
        self.acceptor.accept_as_complete()

    def begin(self, kind: PlaceKind, place: int, now_us: int) -> bool:
        """Return whether a permitted drain may begin now; to be called immediately before it begins."""
        if self.is_superseded:
            return False
        if kind is PlaceKind.FRONT and self.front.status.serving_state is not ServingState.SERVING:
            return True  # a front that does not serve provides no capacity that its drain could remove
        return self.requesters[kind].begin(place, now_us)

    def release(self, kind: PlaceKind, place: int, now_us: int) -> Outbox:
        """Release the permit of a place that serves again, or that was not drained after all."""
        return self.heartbeats.send(now_us) if self.requesters[kind].on_returned(place) else []

    def update_servers(self, servers: Mapping[int, Location], now_us: int) -> None:
        """Replace the known servers, by first cell, and their current loads."""
        self.grantors[PlaceKind.BOX].advance(now_us)
        self.grantors[PlaceKind.BOX].update_map(DisruptionMap(servers))

    def observe_server(self, cell: int, serving: bool, as_of_us: int, now_us: int) -> None:
        """Record an observation of a server.

        Args:
            cell: the first cell of the server.
            serving: whether it served, was warmed up and was not requested to drain.
            as_of_us: when that was so.
            now_us: the current time.
        """
        self.grantors[PlaceKind.BOX].observe(cell, as_of_us, now_us, is_serving=serving)
        if serving:
            self.requesters[PlaceKind.BOX].on_server_observed(cell, as_of_us)

    def take_actions(self) -> list[Action]:
        """Return the actions that were queued since the last call."""
        return self.actions.take()

    def state_to_persist(self) -> PersistedState | None:
        """Return the state to persist now; None if it is unchanged since the last call."""
        persisted = take_changed_state(self.acceptor, self.grantors)
        if persisted is None or persisted == self.persisted:
            return None
        self.persisted = persisted
        return persisted

    def record(self) -> RolloutRecord:
        """Return the rollout record that this front knows."""
        return self.acceptor.record

    def status(self, now_us: int) -> dict[str, object]:
        """Return the status for operators."""
        return {
            **plan_status(self.acceptor, self.election, self.settings.front_count),
            "outlived": self.is_superseded,
            "out": disruption_status(self.grantors, now_us),
            "wants": request_status(self.requesters),
        }
