"""Control of a rollout by one front: elections, proposals, orders to fronts and operators' commands.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelcove.rollouts.fleet_view import FleetView, view_fleet
from fennelcove.rollouts.leader_election import LeaderElection, Role
from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    HaltReason,
    LeaderVote,
    LeaderVoteRequest,
    Proposal,
    ProposalAck,
    RolloutMessage,
    RolloutOrder,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.pending_command import CommandTracker, PendingCommand
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.plan_execution import Finding, PlanExecution
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.rollout_plan import RolloutEvent, next_record, target_version
from fennelcove.rollouts.types import (
    Command,
    CommandKind,
    CommandOutcome,
    FrontStatus,
    Outbox,
    RolloutSettings,
)

# Fronts without a leader become candidates at random times within this many heartbeat intervals.
ELECTION_SPREAD_HEARTBEATS = 8
COMMAND_EVENTS = {
    CommandKind.START: RolloutEvent.START,
    CommandKind.CHANGE: RolloutEvent.CHANGE,
    CommandKind.HALT: RolloutEvent.HALT,
    CommandKind.RESUME: RolloutEvent.RESUME,
    CommandKind.ROLL_BACK: RolloutEvent.ROLL_BACK,
}
HALTING_COMMANDS = (CommandKind.HALT, CommandKind.CHANGE)


class RolloutController:
    """Follows or leads a rollout.

    Attributes:
        acceptor: this front's copy of the record.
        election: this front's role in the election.
        execution: the execution of the plan while this front leads, otherwise None.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        zones: Mapping[int, int],
        incarnation: int,
        acceptor: Acceptor,
        grantor: Grantor,
        order_own_front: Callable[[int, tuple[int, int], int], None],
        log: Callable[[str], None],
    ) -> None:
        """Start as a follower.

        Args:
            settings: the coordinator's settings.
            zones: the zone of each front, by index.
            incarnation: the incarnation of this front.
            acceptor: this front's copy of the record.
            grantor: this front's grantor of permits for fronts.
            order_own_front: called with version, revision and time when this front orders itself to drain.
            log: writes a line to the log.
        """
        self.settings = settings
        self.zones = zones
        self.incarnation = incarnation
        self.grantor = grantor
        self.order_own_front = order_own_front
        self.log = log
        self.acceptor = acceptor
        self.election = LeaderElection(grantor.settings, incarnation, acceptor)
        self.commands = CommandTracker()
        self.status = FrontStatus(ServingState.STARTING)
        self.jitter = 0.5
        self.execution: PlanExecution | None = None
        self.unavailable_since_us: dict[int, int] = {}
        self.election_at_us: int | None = None  # when to become a candidate if there is no leader

    def tick(self, status: FrontStatus, now_us: int, jitter: float) -> Outbox:
        """Return the messages to send at a heartbeat interval; `jitter` is random, in [0, 1)."""
        self.status, self.jitter = status, jitter
        unavailable = self.grantor.unavailable_places(now_us)
        known_us = self.unavailable_since_us
        self.unavailable_since_us = {index: known_us.get(index, now_us) for index in unavailable}
        self.election.advance(now_us, self.settings.front_count - len(unavailable))
        if status.serving_state is ServingState.DRAINING:
            self.election.step_down()
        self.commands.expire(now_us)
        return self._tick_in_role(now_us)

    def _tick_in_role(self, now_us: int) -> Outbox:
        role = self.election.role
        if role is Role.PROPOSER:
            return self._proposals(self.election.proposal)
        if role is Role.LEADER:
            outbox = self._proposals(self.acceptor.record)
            if self.execution is not None:
                outbox += self._advance_plan(self.execution, now_us)
            return outbox
        self.execution = None
        if role is Role.CANDIDATE:
            return self._to_all_peers(LeaderVoteRequest(self.incarnation, self.election.term))
        return self._tick_follower(now_us)

    def _tick_follower(self, now_us: int) -> Outbox:
        """Become a candidate if a command is pending or an active plan has no leader."""
        if self.commands.pending is not None:
            return self._start_election(now_us)
        is_missed = now_us >= self.acceptor.leader_seen_us + self.settings.front_timeout_us
        is_active = self.acceptor.record.phase in ACTIVE_PHASES
        if not (is_active and is_missed) or self.status.serving_state is not ServingState.SERVING:
            self.election_at_us = None
            return []
        if self.election_at_us is None:
            # All fronts notice at the same time, and simultaneous candidates may split the vote.
            spread_us = ELECTION_SPREAD_HEARTBEATS * self.settings.heartbeat_us
            self.election_at_us = now_us + round(self.jitter * spread_us)
        if now_us < self.election_at_us:
            return []
        self.election_at_us = None
        return self._start_election(now_us)

    def _start_election(self, now_us: int) -> Outbox:
        vote_request = self.election.start_election(now_us)
        if vote_request is None:
            return []
        vote = self.acceptor.on_vote_request(vote_request, now_us)
        return self._to_all_peers(vote_request) + self.on_vote(self.settings.front_index, vote, now_us)

    def _to_all_peers(self, message: RolloutMessage) -> Outbox:
        return [(index, message) for index in self.zones if index != self.settings.front_index]

    def _proposals(self, record: RolloutRecord) -> Outbox:
        """Return a proposal for each peer whose incarnation is known."""
        own_index = self.settings.front_index
        return [
            (index, Proposal(record, heartbeat.incarnation))
            for index, heartbeat in self.grantor.heartbeats.items()
            if index != own_index
        ]

    def _publish(self, record: RolloutRecord, now_us: int) -> Outbox:
        """Propose a record to all fronts, including this one."""
        outbox = self._proposals(record)
        ack = self.acceptor.on_proposal(record, now_us)
        if ack is not None:
            outbox += self.on_ack(self.settings.front_index, ack, now_us)
        return outbox

    def _on_agreed(self, now_us: int) -> Outbox:
        """Handle that a majority has accepted this front's proposal."""
        record = self.election.proposal
        self.log(f"rollout plan {record.plan.number}: phase {record.phase.name.lower()} agreed")
        if self.execution is None:
            self.execution = PlanExecution(record, self.zones, now_us)
        else:
            self.execution.on_record_agreed(record, now_us)
        pending = self.commands.pending
        if pending is not None and pending.revision == record.revision:
            self.commands.finish(CommandOutcome.DONE)
        return self._propose_pending(now_us)

    def _advance_plan(self, execution: PlanExecution, now_us: int) -> Outbox:
        fleet = view_fleet(self.grantor, self.unavailable_since_us, now_us)
        finding = execution.evaluate(fleet, now_us)
        if finding is None:
            return self._send_orders(execution, fleet, now_us)
        return self._propose_finding(execution.record, finding, fleet, now_us)

    def _propose_finding(
        self, record: RolloutRecord, finding: Finding, fleet: FleetView, now_us: int
    ) -> Outbox:
        updated_count = len(fleet.fronts_with(target_version(record)))
        changed = next_record(record, finding.event, updated_count, reason=finding.reason)
        if changed is None:
            return []
        proposed = self.election.propose(changed, now_us)
        return self._publish(proposed, now_us) if proposed is not None else []

    def _send_orders(self, execution: PlanExecution, fleet: FleetView, now_us: int) -> Outbox:
        record, version = execution.record, target_version(execution.record)
        ordered = execution.fronts_to_order(fleet, now_us)
        own_index = self.settings.front_index
        if own_index in ordered:
            self.order_own_front(version, record.revision, now_us)
        incarnations = {index: fleet.heartbeats[index].incarnation for index in ordered}
        return [
            (index, RolloutOrder(incarnation, record.term, record.turn, version))
            for index, incarnation in incarnations.items()
            if index != own_index
        ]

    def command(self, command: Command, now_us: int) -> tuple[int, Outbox]:
        """Start an operator's command; return its number and the messages to send."""
        is_draining = self.status.serving_state is ServingState.DRAINING
        if self.commands.pending is not None or is_draining or not self.acceptor.may_vote(now_us):
            return self.commands.refuse(), []
        number = self.commands.start(command, now_us)
        is_leader = self.election.role is Role.LEADER
        return number, self._propose_pending(now_us) if is_leader else self._start_election(now_us)

    def _propose_pending(self, now_us: int) -> Outbox:
        """Propose the pending command if this front leads and has not proposed it yet."""
        pending = self.commands.pending
        if pending is None or pending.revision is not None or self.election.role is not Role.LEADER:
            return []
        if pending.command.fence != self.election.proposal.fence:
            self.commands.finish(CommandOutcome.STALE)
            return []
        changed = self._commanded_record(pending, now_us)
        proposed = self.election.propose(changed, now_us) if changed is not None else None
        if proposed is None:
            self.commands.finish(CommandOutcome.WRONG)
            return []
        pending.revision = proposed.revision
        return self._publish(proposed, now_us)

    def _commanded_record(self, pending: PendingCommand, now_us: int) -> RolloutRecord | None:
        record, command = self.election.proposal, pending.command
        plan = command.plan if command.plan is not None else record.plan
        is_back = command.command_kind is CommandKind.ROLL_BACK or record.back
        version = plan.before if is_back else plan.wanted
        fleet = view_fleet(self.grantor, self.unavailable_since_us, now_us)
        updated_count = len(fleet.fronts_with(version))
        reason = HaltReason.OPERATOR if command.command_kind in HALTING_COMMANDS else HaltReason.NONE
        return next_record(record, COMMAND_EVENTS[command.command_kind], updated_count, command.plan, reason)

    def on_vote_request(self, sender: int, vote_request: LeaderVoteRequest, now_us: int) -> Outbox:
        """Return this front's vote on a candidate."""
        return [(sender, self.acceptor.on_vote_request(vote_request, now_us))]

    def on_vote(self, sender: int, vote: LeaderVote, now_us: int) -> Outbox:
        """Count a vote; with a majority, return the proposals to send."""
        record = self.election.on_vote(sender, vote, now_us)
        return self._publish(record, now_us) if record is not None else []

    def on_proposal(self, sender: int, proposal: Proposal, now_us: int) -> Outbox:
        """Process a proposed record and return the acknowledgement, if there is one."""
        if proposal.receiver_incarnation != self.incarnation:
            return []
        ack = self.acceptor.on_proposal(proposal.record, now_us)
        return [(sender, ack)] if ack is not None else []

    def on_ack(self, sender: int, ack: ProposalAck, now_us: int) -> Outbox:
        """Count an acknowledgement; with a majority, return the messages of the next step."""
        return self._on_agreed(now_us) if self.election.on_ack(sender, ack, now_us) else []
