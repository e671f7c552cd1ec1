"""One front's part in leading a plan: it follows, stands, writes or leads, and carries operators' words.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fennelcove.rollouts import rollout_plan
from fennelcove.rollouts.leader_election import LeaderElection, Acceptor, Role
from fennelcove.rollouts.disruption_permits import PermitState, PermitSettings, Grantor
from fennelcove.rollouts.rollout_plan import ACTIVE_PHASES, RolloutEvent, FleetView, PlanExecution
from fennelcove.rollouts.messages import (
    RolloutOrder,
    HaltReason,
    RolloutRecord,
    Said,
    LeaderVoteRequest,
    ServingState,
    ProposalAck,
    Proposal,
    LeaderVote,
)
from fennelcove.rollouts.types import Answer, Command, Memory, Mine, Post, RolloutSettings, Wish

MAX_OUTCOMES = 16
COMMAND_TIMEOUT_US = 4_000_000  # after which an operator's word that no majority took is called lost
ELECTION_SPREAD_HEARTBEATS = 8  # over which those that miss a leader begin to stand
COMMAND_EVENTS = {
    Wish.START: RolloutEvent.START,
    Wish.CHANGE: RolloutEvent.CHANGE,
    Wish.HALT: RolloutEvent.HALT,
    Wish.ON: RolloutEvent.RESUME,
    Wish.BACK: RolloutEvent.ROLL_BACK,
}


@dataclass(slots=True)
class PendingCommand:
    """An operator's word on its way."""

    number: int
    command: Command
    since_us: int
    revision: tuple[int, int] | None = None  # of the record that has it


class RolloutController:
    """See the module's text. `order` tells this front itself that it is its turn, `note` is for the log."""

    def __init__(
        self,
        settings: RolloutSettings,
        permit_settings: PermitSettings,
        zones: Mapping[int, int],
        incarnation: int,
        told: Memory,
        grantor: Grantor,
        order: Callable[[int, tuple[int, int], int], None],
        note: Callable[[str], None],
        now_us: int,
    ) -> None:
        self.settings = settings
        self.zones = zones
        self.incarnation = incarnation
        self.grantor = grantor
        self.order_own_front = order
        self.log = note
        self.acceptor = Acceptor(permit_settings, now_us, told.term, told.record, told.sure)
        self.election = LeaderElection(permit_settings, incarnation, self.acceptor)
        self.status = Mine(ServingState.STARTING)
        self.jitter = 0.5
        self.execution: PlanExecution | None = None
        self.unavailable_since_us: dict[int, int] = {}  # since when each that does not serve is so
        self.election_at_us: int | None = None  # when this front stands, if no leader is heard until then
        self.pending: PendingCommand | None = None
        self.command_count = 0
        self.outcomes: OrderedDict[int, Answer] = OrderedDict()

    def tick(self, status: Mine, now_us: int, jitter: float) -> Post:
        """What a front that stands, writes or leads has to say at a beat. `draw`: chance."""
        self.status, self.jitter = status, jitter
        dark = self.grantor.unavailable_places(now_us)
        self.unavailable_since_us = {index: self.unavailable_since_us.get(index, now_us) for index in dark}
        self.election.advance(now_us, self.settings.front_count - len(dark))
        if status.serving_state is ServingState.DRAINING:
            self.election.step_down()
        self._expire_command(now_us)
        seat = self.election.role
        if seat is not Role.LEADER and seat is not Role.PROPOSER:
            self.execution = None
        if seat is Role.FOLLOWER:
            return self._tick_follower(now_us)
        if seat is Role.CANDIDATE:
            return self._to_all_peers(LeaderVoteRequest(self.incarnation, self.election.term))
        if seat is Role.PROPOSER:
            return self._proposals(self.election.proposal)
        post = self._proposals(self.acceptor.record)
        if self.execution is not None:
            post += self._advance_plan(self.execution, now_us)
        return post

    def _to_all_peers(self, message: Said) -> Post:
        return [(index, message) for index in self.zones if index != self.settings.front_index]

    def _fleet_view(self, now_us: int) -> FleetView:
        grantor = self.grantor
        off = frozenset(
            place for place, entry in grantor.entries.items() if entry.state is PermitState.WRITTEN_OFF
        )
        dark = frozenset(grantor.unavailable_places(now_us))
        return FleetView(
            self.settings.front_count,
            self.settings.front_index,
            grantor.heartbeats,
            dark,
            off,
            self.unavailable_since_us,
        )

    def _tick_follower(self, now_us: int) -> Post:
        missed = now_us >= self.acceptor.leader_seen_us + self.settings.front_timeout_us
        wanted = self.acceptor.record.phase in ACTIVE_PHASES and missed
        if self.pending is not None:
            return self._start_election(now_us)
        if not wanted or self.status.serving_state is not ServingState.SERVING:
            self.election_at_us = None
            return []
        if self.election_at_us is None:
            # All miss it at once: who stands at the same time as another wins nothing.
            self.election_at_us = now_us + round(
                self.jitter * ELECTION_SPREAD_HEARTBEATS * self.settings.heartbeat_us
            )
        if now_us < self.election_at_us:
            return []
        self.election_at_us = None
        return self._start_election(now_us)

    def _start_election(self, now_us: int) -> Post:
        vote_request = self.election.start_election(now_us)
        if vote_request is None:
            return []
        vote = self.acceptor.on_vote_request(vote_request, now_us)
        return self._to_all_peers(vote_request) + self.on_vote(self.settings.front_index, vote, now_us)

    def _proposals(self, record: RolloutRecord) -> Post:
        """For each of the others whose life is known."""
        heartbeats, here = self.grantor.heartbeats, self.settings.front_index
        return [
            (index, Proposal(record, heartbeat.incarnation))
            for index, heartbeat in heartbeats.items()
            if index != here
        ]

    def _publish(self, record: RolloutRecord, now_us: int) -> Post:
        post = self._proposals(record)
        ack = self.acceptor.on_proposal(record, now_us)
        return post + (self.on_ack(self.settings.front_index, ack, now_us) if ack is not None else [])

    def _on_agreed(self, now_us: int) -> Post:
        """A majority has taken what this front wrote."""
        record = self.election.proposal
        self.log(f"plan {record.plan.number} {record.phase.name.lower()}")
        if self.execution is None:
            self.execution = PlanExecution(record, self.zones, now_us)
        else:
            self.execution.on_record_agreed(record, now_us)
        pending = self.pending
        if pending is not None and pending.revision == record.revision:
            self._finish_command(pending, Answer.DONE)
        return self._propose_command(now_us)

    def _advance_plan(self, lead: PlanExecution, now_us: int) -> Post:
        fleet = self._fleet_view(now_us)
        found = lead.evaluate(fleet, now_us)
        if found is not None:
            have = len(fleet.fronts_with(rollout_plan.target_version(lead.record)))
            record = rollout_plan.next_record(lead.record, found[0], have, why=found[1])
            written = self.election.propose(record, now_us) if record is not None else None
            return self._publish(written, now_us) if written is not None else []
        record, version = lead.record, rollout_plan.target_version(lead.record)
        going = lead.fronts_to_order(fleet, now_us)
        if self.settings.front_index in going:
            self.order_own_front(version, record.revision, now_us)
        lives = {
            index: fleet.heartbeats[index].incarnation
            for index in going
            if index != self.settings.front_index
        }
        return [
            (index, RolloutOrder(incarnation, record.term, record.turn, version))
            for index, incarnation in lives.items()
        ]

    # What operators say.

    def command(self, told: Command, now_us: int) -> tuple[int, Post]:
        """An operator's word about a plan: its number, for `answer`."""
        self.command_count += 1
        number = self.command_count
        ready = self.acceptor.may_vote(now_us) and self.status.serving_state is not ServingState.DRAINING
        if self.pending is not None or not ready:
            self._set_outcome(number, Answer.BUSY)
            return number, []
        self.pending = PendingCommand(number, told, now_us)
        self._set_outcome(number, Answer.PENDING)
        post = (
            self._propose_command(now_us)
            if self.election.role is Role.LEADER
            else self._start_election(now_us)
        )
        return number, post

    def _propose_command(self, now_us: int) -> Post:
        pending, chair = self.pending, self.election
        if pending is None or pending.revision is not None or chair.role is not Role.LEADER:
            return []
        record, told = chair.proposal, pending.command
        if told.fence != record.fence:
            self._finish_command(pending, Answer.STALE)
            return []
        plan = told.plan if told.plan is not None else record.plan
        version = plan.before if told.wish is Wish.BACK or record.back else plan.wanted
        have = len(self._fleet_view(now_us).fronts_with(version))
        reason = HaltReason.OPERATOR if told.wish in (Wish.HALT, Wish.CHANGE) else HaltReason.NONE
        now = rollout_plan.next_record(record, COMMAND_EVENTS[told.wish], have, told.plan, reason)
        written = chair.propose(now, now_us) if now is not None else None
        if written is None:
            self._finish_command(pending, Answer.WRONG)
            return []
        pending.revision = written.revision
        return self._publish(written, now_us)

    def _expire_command(self, now_us: int) -> None:
        if self.pending is not None and now_us >= self.pending.since_us + COMMAND_TIMEOUT_US:
            self._finish_command(self.pending, Answer.LOST)

    def _finish_command(self, pending: PendingCommand, answer: Answer) -> None:
        self._set_outcome(pending.number, answer)
        self.pending = None

    def _set_outcome(self, number: int, answer: Answer) -> None:
        self.outcomes[number] = answer
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)

    def outcome(self, number: int) -> Answer:
        """What became of it; one that is long ago is lost."""
        return self.outcomes.get(number, Answer.LOST)

    def on_vote_request(self, sender: int, vote_request: LeaderVoteRequest, now_us: int) -> Post:
        return [(sender, self.acceptor.on_vote_request(vote_request, now_us))]

    def on_vote(self, sender: int, vote: LeaderVote, now_us: int) -> Post:
        record = self.election.on_vote(sender, vote, now_us)
        return self._publish(record, now_us) if record is not None else []

    def on_proposal(self, sender: int, told: Proposal, now_us: int) -> Post:
        if told.receiver_incarnation != self.incarnation:
            return []
        ack = self.acceptor.on_proposal(told.record, now_us)
        return [(sender, ack)] if ack is not None else []

    def on_ack(self, sender: int, ack: ProposalAck, now_us: int) -> Post:
        return self._on_agreed(now_us) if self.election.on_ack(sender, ack, now_us) else []
