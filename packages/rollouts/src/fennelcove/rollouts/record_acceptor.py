"""One front's copy of the replicated rollout record, and its votes for leaders.

A front that has just started neither votes nor acknowledges until the messages of its previous incarnation
can no longer be counted. Without persisted state it does not know which record it accepted last: it votes
only after so many fronts that know their record have reported their revisions that any majority contains one
of them. If too many fronts lose their state at once, no rollout proceeds until an operator declares that the
known record is the latest.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    HaltReason,
    Heartbeat,
    LeaderVote,
    LeaderVoteRequest,
    ProposalAck,
    RolloutPhase,
    RolloutRecord,
)
from fennelcove.rollouts.permit_settings import PermitSettings

NO_REVISION = (0, 0)  # reported by a front that knows of no plan


@dataclass(slots=True)
class Acceptor:
    """The record that one front has accepted, and the latest term that it has voted in."""

    settings: PermitSettings
    now_us: int
    term: int = 0  # the highest term in which it voted or accepted a record
    record: RolloutRecord = field(default_factory=RolloutRecord)
    is_record_known: bool = False  # whether `record` is certainly the last one that it accepted
    recovering_until_us: int = 0
    leader_seen_us: int = 0
    informed_peers: set[int] = field(default_factory=set)  # know their record, which is not newer
    uninformed_peers: set[int] = field(default_factory=set)  # can't vote either and know of no record
    has_unsaved_changes: bool = False

    def __post_init__(self) -> None:
        self.recovering_until_us = self.now_us + self.settings.permit_expiry_us
        self.leader_seen_us = self.now_us

    def may_vote(self, now_us: int) -> bool:
        """Return whether this front may vote and acknowledge proposals."""
        return self.is_record_known and now_us >= self.recovering_until_us

    def on_vote_request(self, vote_request: LeaderVoteRequest, now_us: int) -> LeaderVote:
        """Vote on a candidate; granted if its term is higher than all known ones."""
        is_granted = self.may_vote(now_us) and vote_request.term > self.term
        if is_granted:
            self.term = vote_request.term
            self.has_unsaved_changes = True
            self.leader_seen_us = now_us  # gives the candidate as much time as a leader
        return LeaderVote(
            vote_request.incarnation, vote_request.term, is_granted, self.is_record_known, self.record
        )

    def on_proposal(self, record: RolloutRecord, now_us: int) -> ProposalAck | None:
        """Process a proposed record addressed to this incarnation; return None if it is not acknowledged."""
        if record.revision < self.record.revision:
            return None
        self._learn(record)
        # In two cases the record is adopted but not acknowledged: a front that lost its state may receive an
        # outdated record, and a front that voted in a later term has already reported its older record.
        if record.term < self.term or not self.may_vote(now_us):
            return None
        self.leader_seen_us = now_us
        return ProposalAck(record.term, record.turn)

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, as_of_us: int | None) -> None:
        """Process the revision that another front reports, until this front knows its record again.

        Args:
            sender: the front's index.
            heartbeat: its heartbeat.
            as_of_us: when this front sent the heartbeat that it acknowledges; None if that is unknown.
        """
        if self.is_record_known or as_of_us is None or as_of_us < self.recovering_until_us:
            return
        revision = (heartbeat.term, heartbeat.turn)
        has_newer = revision > self.record.revision
        if heartbeat.is_record_known and not has_newer:
            self.informed_peers.add(sender)
        if not heartbeat.is_record_known and not has_newer and revision == NO_REVISION:
            self.uninformed_peers.add(sender)
        if self._has_enough_reports():
            self.is_record_known = self.has_unsaved_changes = True

    def _has_enough_reports(self) -> bool:
        front_count = self.settings.front_count
        # More fronts than any majority leaves out: one of them accepted the last agreed record.
        if len(self.informed_peers) > front_count - self.settings.majority:
            return True
        reported = self.informed_peers | self.uninformed_peers
        return len(reported) == front_count - 1 and self.record.revision == NO_REVISION

    def accept_as_complete(self) -> None:
        """Apply an operator's declaration that no front knows a newer record.

        This halts an active plan, even if this front knows its own record: the fronts that accepted a halt
        may be the ones that lost their state.
        """
        self.is_record_known = self.has_unsaved_changes = True
        if self.record.phase in ACTIVE_PHASES:
            self.record = replace(self.record, phase=RolloutPhase.HALTED, reason=HaltReason.FORGOTTEN)

    def _learn(self, record: RolloutRecord) -> None:
        if record.revision > self.record.revision:
            self.record = record
            self.term = max(self.term, record.term)
            self.has_unsaved_changes = True
            self.informed_peers.clear()
