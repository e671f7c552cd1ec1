"""Who leads a plan, and the one record of it that all fronts share.

Any front may stand: a majority that knows of no later term gives it its voices, each with the newest record
that it took. What the new leader reads there is at least as new as anything that a majority ever took; it
writes that again under its own term before it does anything. A record counts when a majority has taken it.
Terms are no two fronts' own, so none is led twice. A leader that no majority hears any more, or that finds a
later term, follows.

A front in a new life answers nothing until whatever its last life may have answered can't be counted any
more. Without its folder it does not know what it took: it gives no voice before so many others, who do know,
have told it theirs that any majority has one of them. Where too many forgot at once, nothing moves until an
operator says so.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto

from fennelcove.rollouts.disruption_permits import PermitSettings
from fennelcove.rollouts.messages import (
    RolloutPhase,
    HaltReason,
    RolloutRecord,
    LeaderVoteRequest,
    ProposalAck,
    LeaderVote,
    Heartbeat,
)

ACTIVE_PHASES = (RolloutPhase.MOVING, RolloutPhase.SOAKING)


@dataclass(slots=True)
class Acceptor:
    """What one front took, and its voice. `remembers`: the folder told what the last life took."""

    settings: PermitSettings
    now_us: int
    term: int = 0  # the highest that it gave its voice to, or took a record of
    record: RolloutRecord = field(default_factory=RolloutRecord)
    is_record_known: bool = False
    recovering_until_us: int = 0
    leader_seen_us: int = 0  # when the leader was last heard
    informed_peers: set[int] = field(default_factory=set)  # others that know, and told nothing newer
    uninformed_peers: set[int] = field(default_factory=set)  # others that know of nothing
    has_unsaved_changes: bool = False

    def __post_init__(self) -> None:
        self.recovering_until_us = self.now_us + self.settings.permit_expiry_us
        self.leader_seen_us = self.now_us

    def may_vote(self, now_us: int) -> bool:
        """Whether it may answer."""
        return self.is_record_known and now_us >= self.recovering_until_us

    def on_vote_request(self, vote_request: LeaderVoteRequest, now_us: int) -> LeaderVote:
        """A front wants to lead."""
        yes = self.may_vote(now_us) and vote_request.term > self.term
        if yes:
            self.term, self.has_unsaved_changes = vote_request.term, True
            self.leader_seen_us = now_us  # it gets the time that a leader has
        return LeaderVote(vote_request.incarnation, vote_request.term, yes, self.is_record_known, self.record)

    def on_proposal(self, record: RolloutRecord, now_us: int) -> ProposalAck | None:
        """A record is told, and meant for this life."""
        if record.revision < self.record.revision:
            return None
        self._learn(record)
        # Who forgot may be told what was over long ago, and who gave its voice to a later term has told what
        # it knew: that they know more now is good, but it is not counted.
        if record.term < self.term or not self.may_vote(now_us):
            return None
        self.leader_seen_us = now_us
        return ProposalAck(record.term, record.turn)

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, as_of_us: int | None, now_us: int) -> None:
        """Another front says what it took. `as_of_us`: when what it answers was sent from here."""
        if self.is_record_known or as_of_us is None or as_of_us < self.recovering_until_us:
            return
        revision = (heartbeat.term, heartbeat.turn)
        known = self.informed_peers if heartbeat.is_record_known else self.uninformed_peers
        if revision <= self.record.revision and (heartbeat.is_record_known or revision == (0, 0)):
            known.add(sender)
        # More than all but a majority: whoever took the last agreed record, one of them is among these.
        enough = len(self.informed_peers) > self.settings.front_count - self.settings.majority
        nobody = len(
            self.informed_peers | self.uninformed_peers
        ) == self.settings.front_count - 1 and self.record.revision == (0, 0)
        if enough or nobody:
            self.is_record_known = self.has_unsaved_changes = True

    def accept_as_complete(self) -> None:
        """An operator says that what is known is all there is; a plan under way is halted by it, also where
        it is known well: those who halted it may be the ones that forgot."""
        self.is_record_known = self.has_unsaved_changes = True
        if self.record.phase in ACTIVE_PHASES:
            self.record = replace(self.record, phase=RolloutPhase.HALTED, reason=HaltReason.FORGOTTEN)

    def _learn(self, record: RolloutRecord) -> None:
        if record.revision > self.record.revision:
            self.record, self.term, self.has_unsaved_changes = record, max(self.term, record.term), True
            self.informed_peers.clear()


class Role(Enum):
    """How a front stands to the plan."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    PROPOSER = auto()  # it has the voices; its record is not taken by a majority yet
    LEADER = auto()


class ElectionEvent(Enum):
    """What moves it."""

    CANDIDACY = auto()
    MAJORITY = auto()
    PROPOSAL = auto()
    TIMED_OUT = auto()  # the window is over without a majority
    QUORUM_LOST = auto()  # no majority is heard
    HIGHER_TERM_SEEN = auto()  # there is a later term


TRANSITIONS: dict[tuple[Role, ElectionEvent], Role] = {
    (Role.FOLLOWER, ElectionEvent.CANDIDACY): Role.CANDIDATE,
    (Role.CANDIDATE, ElectionEvent.MAJORITY): Role.PROPOSER,
    (Role.PROPOSER, ElectionEvent.MAJORITY): Role.LEADER,
    (Role.LEADER, ElectionEvent.PROPOSAL): Role.PROPOSER,
    **{(seat, ElectionEvent.TIMED_OUT): Role.FOLLOWER for seat in (Role.CANDIDATE, Role.PROPOSER)},
    **{
        (seat, ElectionEvent.HIGHER_TERM_SEEN): Role.FOLLOWER
        for seat in (Role.CANDIDATE, Role.PROPOSER, Role.LEADER)
    },
    **{
        (seat, ElectionEvent.QUORUM_LOST): Role.FOLLOWER
        for seat in (Role.CANDIDATE, Role.PROPOSER, Role.LEADER)
    },
}


@dataclass(slots=True)
class LeaderElection:
    """One front that stands, writes and leads. `register` is its own."""

    settings: PermitSettings
    incarnation: int
    acceptor: Acceptor
    role: Role = Role.FOLLOWER
    term: int = 0
    round_began_us: int = 0  # of the stand or the writing
    supporters: set[int] = field(default_factory=set)  # who gave a voice, or took what was written
    newest_record: RolloutRecord = field(default_factory=RolloutRecord)
    proposal: RolloutRecord = field(default_factory=RolloutRecord)

    def start_election(self, now_us: int) -> LeaderVoteRequest | None:
        """Ask all for their voices, this front's own register too; None where it can't now."""
        if self.role is not Role.FOLLOWER or not self.acceptor.may_vote(now_us):
            return None
        fronts = self.settings.front_count
        self.term = (self.acceptor.term // fronts + 1) * fronts + self.settings.front_index
        self._apply(ElectionEvent.CANDIDACY)
        self.round_began_us, self.supporters, self.newest_record = now_us, set(), RolloutRecord()
        return LeaderVoteRequest(self.incarnation, self.term)

    def on_vote(self, sender: int, vote: LeaderVote, now_us: int) -> RolloutRecord | None:
        """A voice has come; the record that is to be told to all, where it makes a majority."""
        self.advance(now_us)
        if self.role is not Role.CANDIDATE or (vote.candidate_incarnation, vote.term) != (
            self.incarnation,
            self.term,
        ):
            return None
        if not vote.is_granted:
            return None
        self.supporters.add(sender)
        halted = (
            vote.record.phase is RolloutPhase.HALTED and vote.record.revision == self.newest_record.revision
        )
        if (
            vote.record.revision > self.newest_record.revision or halted
        ):  # two of one stamp: an operator's `anew`
            self.newest_record = vote.record
        if len(self.supporters) < self.settings.majority:
            return None
        self._apply(ElectionEvent.MAJORITY)
        return self._begin_proposal(
            replace(self.newest_record, term=self.term, turn=self.newest_record.turn + 1), now_us
        )

    def propose(self, record: RolloutRecord, now_us: int) -> RolloutRecord | None:
        """Change what is agreed; what is to be told to all. None where this front does not lead."""
        self.advance(now_us)
        if self.role is not Role.LEADER:
            return None
        self._apply(ElectionEvent.PROPOSAL)
        return self._begin_proposal(replace(record, term=self.term, turn=self.proposal.turn + 1), now_us)

    def _begin_proposal(self, record: RolloutRecord, now_us: int) -> RolloutRecord:
        self.round_began_us, self.supporters, self.proposal = now_us, set(), record
        return record

    def on_ack(self, sender: int, ack: ProposalAck, now_us: int) -> bool:
        """A front took a record; whether a majority now has, for the first time."""
        self.advance(now_us)
        if self.role is not Role.PROPOSER or (ack.term, ack.turn) != self.proposal.revision:
            return False
        self.supporters.add(sender)
        if len(self.supporters) < self.settings.majority:
            return False
        self._apply(ElectionEvent.MAJORITY)
        return True

    def advance(self, now_us: int, serving_count: int | None = None) -> None:
        """Time passes. `hears`: how many fronts serve by what this one sees, itself among them."""
        if self.acceptor.term > self.term:
            self._apply(ElectionEvent.HIGHER_TERM_SEEN)
        if (
            self.role in (Role.CANDIDATE, Role.PROPOSER)
            and now_us >= self.round_began_us + self.settings.permit_window_us
        ):
            self._apply(ElectionEvent.TIMED_OUT)
        if serving_count is not None and serving_count < self.settings.majority:
            self._apply(ElectionEvent.QUORUM_LOST)

    def step_down(self) -> None:
        """This front goes out, or can't lead for another reason."""
        self._apply(ElectionEvent.QUORUM_LOST)

    def _apply(self, event: ElectionEvent) -> None:
        self.role = TRANSITIONS.get((self.role, event), self.role)
