"""Election of the front that leads a rollout, and replication of the rollout record.

Any front may become a candidate for a new term. A front that has voted in no later term grants its vote and
sends the newest record that it has accepted. The votes of a majority elect the candidate. The newest of the
received records is at least as new as any record that a majority ever accepted, and the new leader first
proposes that record again under its own term. A record is agreed once a majority has accepted it. Each term
number belongs to one front, so no two fronts lead in the same term. A leader that loses its quorum or learns
of a later term steps down.

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
    """A front's role in the election."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    PROPOSER = auto()  # elected; no majority has accepted its current proposal yet
    LEADER = auto()  # a majority has accepted its latest proposal


class ElectionEvent(Enum):
    """Events that change the role."""

    CANDIDACY = auto()
    MAJORITY = auto()
    PROPOSAL = auto()
    TIMED_OUT = auto()  # no majority within the permit window
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
    """The role of one front; `acceptor` is this front's own acceptor."""

    settings: PermitSettings
    incarnation: int
    acceptor: Acceptor
    role: Role = Role.FOLLOWER
    term: int = 0
    round_began_us: int = 0  # when the candidacy or the proposal began
    supporters: set[int] = field(default_factory=set)  # fronts that voted for it or accepted its proposal
    newest_record: RolloutRecord = field(default_factory=RolloutRecord)  # of those received with votes
    proposal: RolloutRecord = field(default_factory=RolloutRecord)

    def start_election(self, now_us: int) -> LeaderVoteRequest | None:
        """Become a candidate and return the vote request for all fronts; None if this front can't vote."""
        if self.role is not Role.FOLLOWER or not self.acceptor.may_vote(now_us):
            return None
        front_count = self.settings.front_count
        self.term = (self.acceptor.term // front_count + 1) * front_count + self.settings.front_index
        self._apply(ElectionEvent.CANDIDACY)
        self.round_began_us, self.supporters, self.newest_record = now_us, set(), RolloutRecord()
        return LeaderVoteRequest(self.incarnation, self.term)

    def on_vote(self, sender: int, vote: LeaderVote, now_us: int) -> RolloutRecord | None:
        """Count a vote; return the record to propose once a majority has voted for this front."""
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
        # An operator's declaration that the record is complete halts the plan without a new revision, so two
        # records can have the same revision: the halted one takes precedence.
        is_same_revision = record.revision == self.newest_record.revision
        is_halted = is_same_revision and record.phase is RolloutPhase.HALTED
        if record.revision > self.newest_record.revision or is_halted:
            self.newest_record = record

    def propose(self, record: RolloutRecord, now_us: int) -> RolloutRecord | None:
        """Start to propose a changed record; return it with its revision, or None if not leading."""
        self.advance(now_us)
        if self.role is not Role.LEADER:
            return None
        self._apply(ElectionEvent.PROPOSAL)
        return self._begin_proposal(replace(record, term=self.term, turn=self.proposal.turn + 1), now_us)

    def _begin_proposal(self, record: RolloutRecord, now_us: int) -> RolloutRecord:
        self.round_began_us, self.supporters, self.proposal = now_us, set(), record
        return record

    def on_ack(self, sender: int, ack: ProposalAck, now_us: int) -> bool:
        """Count an acknowledgement; return True when a majority first has accepted the proposal."""
        self.advance(now_us)
        if self.role is not Role.PROPOSER or (ack.term, ack.turn) != self.proposal.revision:
            return False
        self.supporters.add(sender)
        if len(self.supporters) < self.settings.majority:
            return False
        self._apply(ElectionEvent.MAJORITY)
        return True

    def advance(self, now_us: int, serving_count: int | None = None) -> None:
        """Step down if the round timed out, a later term was seen, or the quorum is lost.

        `serving_count` is the number of serving fronts, including this one.
        """
        if self.acceptor.term > self.term:
            self._apply(ElectionEvent.HIGHER_TERM_SEEN)
        is_in_round = self.role is Role.CANDIDATE or self.role is Role.PROPOSER
        if is_in_round and now_us >= self.round_began_us + self.settings.permit_window_us:
            self._apply(ElectionEvent.TIMED_OUT)
        if serving_count is not None and serving_count < self.settings.majority:
            self._apply(ElectionEvent.QUORUM_LOST)

    def step_down(self) -> None:
        """Become a follower, because this front drains or must not lead for another reason."""
        self._apply(ElectionEvent.QUORUM_LOST)

    def _apply(self, event: ElectionEvent) -> None:
        self.role = TRANSITIONS.apply(self.role, event).state
