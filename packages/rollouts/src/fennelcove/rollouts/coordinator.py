"""One front's part in permits and rollouts: the entry points for messages, commands and observations.

After each call the state that `keep` returns has to be persisted (where the front has a store) before the
messages that the call returned are sent; then `acts` returns what to do. Times are in microseconds of this
front's monotonic clock.
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
        requesters: this front's requests, by kind of place.
        grantors: this front's promises, by kind of place.
        acceptor: this front's copy of the rollout record.
        election: this front's role in leading a plan.
        is_superseded: another process sends with a later incarnation under this front's index.
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
        """Start an incarnation.

        Args:
            settings: the coordinator's settings.
            limits: of disruptions, the same at all fronts.
            fronts: the location of each front, by index.
            incarnation: higher than all earlier ones of this front.
            now_us: the present time.
            persisted: what the previous incarnation persisted; None where that is lost.
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
        """Make the parts that work on the grantors and requesters."""
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
        """What to send at a heartbeat interval; `status`: this front's, `jitter`: random, from 0 to 1."""
        self.front.status, self.front.jitter = status, jitter
        self.permits.expire_orders(now_us)
        outbox = self.heartbeats.send(now_us)
        if not self.is_superseded:
            outbox += self.permits.send_requests(now_us)
            outbox += self.controller.tick(status, now_us, jitter)
        self.permits.cancel_outdated()
        return outbox

    def on_message(self, sender: int, message: RolloutMessage, now_us: int) -> Outbox:
        """Take in another front's message; what to send for it."""
        if sender not in self.zones or sender == self.settings.front_index:
            return []
        if self.is_superseded and not isinstance(message, Heartbeat):
            return []  # two votes of one front would make two majorities without a common front
        outbox = self.handlers[type(message)](sender, message, now_us)
        self.permits.cancel_outdated()
        return outbox

    def _on_heartbeat(self, sender: int, heartbeat: Heartbeat, now_us: int) -> Outbox:
        if heartbeat.acked_incarnation > self.incarnation and not self.is_superseded:
            self.is_superseded = True
            self.actions.log(f"incarnation {heartbeat.acked_incarnation} runs under this front's index")
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
        """Begin to carry out an operator's command: its number, its outcome so far, and what to send."""
        number, outbox = self.controller.command(command, now_us)
        self.permits.cancel_outdated()
        return number, self.controller.commands.outcome(number), outbox

    def command_outcome(self, number: int) -> CommandOutcome:
        """The outcome of a command; one that is no longer remembered counts as lost."""
        return self.controller.commands.outcome(number)

    def request_front_drain(self, version: int, now_us: int) -> Outbox:
        """Request a permit to drain this front, by an operator's command."""
        self.requesters[PlaceKind.FRONT].request_permit(self.settings.front_index, now_us, version)
        return []

    def request_server_drain(self, cell: int, now_us: int) -> Outbox:
        """Request a permit to drain a server, by an operator's command."""
        self.requesters[PlaceKind.BOX].request_permit(cell, now_us)
        return []

    def write_off(self, kind: PlaceKind, place: int, now_us: int) -> None:
        """Do not count a place until it is observed to serve again, by an operator's command."""
        self.grantors[kind].write_off(place, now_us)

    def accept_record_as_complete(self) -> None:
        """Take the known record for complete, by an operator's command; an active plan is halted."""
        self.election.step_down()
        self.acceptor.accept_as_complete()

    def begin(self, kind: PlaceKind, place: int, now_us: int) -> bool:
        """Whether a drain may begin now; called directly before it does."""
        if self.is_superseded:
            return False
        if kind is PlaceKind.FRONT and self.front.status.serving_state is not ServingState.SERVING:
            return True  # it takes no capacity away
        return self.requesters[kind].begin(place, now_us)

    def release(self, kind: PlaceKind, place: int, now_us: int) -> Outbox:
        """The place serves (again): its permit ends, used or not."""
        return self.heartbeats.send(now_us) if self.requesters[kind].on_returned(place) else []

    def update_servers(self, servers: Mapping[int, Location], now_us: int) -> None:
        """Replace the known servers, by first cell, with their present loads."""
        self.grantors[PlaceKind.BOX].advance(now_us)
        self.grantors[PlaceKind.BOX].update_map(DisruptionMap(servers))

    def observe_server(self, cell: int, serving: bool, as_of_us: int, now_us: int) -> None:
        """Take in whether a server served at `as_of_us`, was warmed up and was not told to drain."""
        self.grantors[PlaceKind.BOX].observe(cell, as_of_us, now_us, is_serving=serving)
        if serving:
            self.requesters[PlaceKind.BOX].on_server_observed(cell, as_of_us)

    def take_actions(self) -> list[Action]:
        """What to do, since the last call."""
        return self.actions.take()

    def state_to_persist(self) -> PersistedState | None:
        """The state to persist now; None where it is the same as at the last call."""
        persisted = take_changed_state(self.acceptor, self.grantors)
        if persisted is None or persisted == self.persisted:
            return None
        self.persisted = persisted
        return persisted

    def record(self) -> RolloutRecord:
        """The rollout record as this front knows it."""
        return self.acceptor.record

    def status(self, now_us: int) -> dict[str, object]:
        """The status for operators."""
        return {
            **plan_status(self.acceptor, self.election, self.settings.front_count),
            "outlived": self.is_superseded,
            "out": disruption_status(self.grantors, now_us),
            "wants": request_status(self.requesters),
        }
