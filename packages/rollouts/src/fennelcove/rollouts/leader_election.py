"""Election of the front that leads a plan, and replication of the plan's record.

Any front may become a candidate. A majority that knows of no later term grants it their votes, each with the
newest record that the voter has accepted. The newest of these is at least as new as any record that a
majority ever accepted; the new leader proposes it again under its own term before it does anything else. A
record is agreed once a majority has accepted it. A term belongs to one front, so no two fronts lead in the
same term. A leader that loses its quorum, or learns of a later term, steps down.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto

from fennelcove.rollouts.messages import (
    LeaderVote,
    LeaderVoteRequest,
    ProposalAck,
    RolloutPhase,
    RolloutRecord,
)
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class Role(Enum):
    """A front's role in leading a plan."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    PROPOSER = auto()  # it is elected; no majority has accepted its present proposal yet
    LEADER = auto()


class ElectionEvent(Enum):
    """What changes the role."""

    CANDIDACY = auto()
    MAJORITY = auto()
    PROPOSAL = auto()
    TIMED_OUT = auto()  # no majority within the window
    QUORUM_LOST = auto()
    HIGHER_TERM_SEEN = auto()


TRANSITIONS: TransitionTable[Role, ElectionEvent, None] = TransitionTable(
    {
        (Role.FOLLOWER, ElectionEvent.CANDIDACY): Transition(Role.CANDIDATE),
        (Role.CANDIDATE, ElectionEvent.MAJORITY): Transition(Role.PROPOSER),
        (Role.PROPOSER, ElectionEvent.MAJORITY): Transition(Role.LEADER),
        (Role.LEADER, ElectionEvent.PROPOSAL): Transition(Role.PROPOSER),
        **{
            (role, ElectionEvent.TIMED_OUT): Transition(Role.FOLLOWER)
            for role in (Role.CANDIDATE, Role.PROPOSER)
        },
        **{
            (role, event): Transition(Role.FOLLOWER)
            for role in (Role.CANDIDATE, Role.PROPOSER, Role.LEADER)
            for event in (ElectionEvent.HIGHER_TERM_SEEN, ElectionEvent.QUORUM_LOST)
        },
    },
    unlisted=Unlisted.IGNORE,
)


@dataclass(slots=True)
class LeaderElection:
    """One front as follower, candidate, proposer or leader; `acceptor` is its own."""

    settings: PermitSettings
    incarnation: int
    acceptor: Acceptor
    role: Role = Role.FOLLOWER
    term: int = 0
    round_began_us: int = 0  # of the candidacy or the proposal
    supporters: set[int] = field(default_factory=set)  # that voted for it, or accepted its proposal
    newest_record: RolloutRecord = field(default_factory=RolloutRecord)  # among the votes
    proposal: RolloutRecord = field(default_factory=RolloutRecord)

    def start_election(self, now_us: int) -> LeaderVoteRequest | None:
        """Become a candidate: the request for all fronts and its own acceptor; None where it can't be one."""
        if self.role is not Role.FOLLOWER or not self.acceptor.may_vote(now_us):
            return None
        front_count = self.settings.front_count
        self.term = (self.acceptor.term // front_count + 1) * front_count + self.settings.front_index
        self._apply(ElectionEvent.CANDIDACY)
        self.round_began_us, self.supporters, self.newest_record = now_us, set(), RolloutRecord()
        return LeaderVoteRequest(self.incarnation, self.term)

    def on_vote(self, sender: int, vote: LeaderVote, now_us: int) -> RolloutRecord | None:
        """Count a vote: the record to propose, where it makes a majority."""
        self.advance(now_us)
        is_own = (vote.candidate_incarnation, vote.term) == (self.incarnation, self.term)
        if self.role is not Role.CANDIDATE or not is_own or not vote.is_granted:
            return None
        self.supporters.add(sender)
        self._note_record(vote.record)
        if len(self.supporters) < self.settings.majority:
            return None
        self._apply(ElectionEvent.MAJORITY)
        record = replace(self.newest_record, term=self.term, turn=self.newest_record.turn + 1)
        return self._begin_proposal(record, now_us)

    def _note_record(self, record: RolloutRecord) -> None:
        # Two records have one revision where an operator declared the record complete, which halts it.
        is_same_revision = record.revision == self.newest_record.revision
        is_halted = is_same_revision and record.phase is RolloutPhase.HALTED
        if record.revision > self.newest_record.revision or is_halted:
            self.newest_record = record

    def propose(self, record: RolloutRecord, now_us: int) -> RolloutRecord | None:
        """Begin a change of the record: what to propose to all; None where this front does not lead."""
        self.advance(now_us)
        if self.role is not Role.LEADER:
            return None
        self._apply(ElectionEvent.PROPOSAL)
        return self._begin_proposal(replace(record, term=self.term, turn=self.proposal.turn + 1), now_us)

    def _begin_proposal(self, record: RolloutRecord, now_us: int) -> RolloutRecord:
        self.round_began_us, self.supporters, self.proposal = now_us, set(), record
        return record

    def on_ack(self, sender: int, ack: ProposalAck, now_us: int) -> bool:
        """Count an acknowledgement; whether a majority now has accepted the proposal, for the first time."""
        self.advance(now_us)
        if self.role is not Role.PROPOSER or (ack.term, ack.turn) != self.proposal.revision:
            return False
        self.supporters.add(sender)
        if len(self.supporters) < self.settings.majority:
            return False
        self._apply(ElectionEvent.MAJORITY)
        return True

    def advance(self, now_us: int, serving_count: int | None = None) -> None:
        """Step down where that is due; `serving_count`: the fronts that serve, this one among them."""
        if self.acceptor.term > self.term:
            self._apply(ElectionEvent.HIGHER_TERM_SEEN)
        is_in_round = self.role is Role.CANDIDATE or self.role is Role.PROPOSER
        if is_in_round and now_us >= self.round_began_us + self.settings.permit_window_us:
            self._apply(ElectionEvent.TIMED_OUT)
        if serving_count is not None and serving_count < self.settings.majority:
            self._apply(ElectionEvent.QUORUM_LOST)

    def step_down(self) -> None:
        """Become a follower: this front drains, or can't lead for another reason."""
        self._apply(ElectionEvent.QUORUM_LOST)

    def _apply(self, event: ElectionEvent) -> None:
        self.role = TRANSITIONS.apply(self.role, event).state
