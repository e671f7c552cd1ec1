"""One front's copy of the replicated rollout record, and its votes for leaders.

A front that has just started neither votes nor acknowledges until whatever its previous incarnation may have
sent can't be counted any more. Without persisted state it does not know which record it accepted: it votes
only after so many informed fronts have reported their revisions that any majority contains one of them. Where
too many fronts lost their state at once, nothing moves until an operator declares the known record complete.
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

NO_REVISION = (0, 0)  # of a front that knows of no plan


@dataclass(slots=True)
class Acceptor:
    """The record that one front has accepted, and the term that it has voted in."""

    settings: PermitSettings
    now_us: int
    term: int = 0  # the highest that it voted in, or accepted a record of
    record: RolloutRecord = field(default_factory=RolloutRecord)
    is_record_known: bool = False  # whether it knows all that it ever accepted
    recovering_until_us: int = 0
    leader_seen_us: int = 0
    informed_peers: set[int] = field(default_factory=set)  # that know their record, and reported none newer
    uninformed_peers: set[int] = field(default_factory=set)  # that know of no record
    has_unsaved_changes: bool = False

    def __post_init__(self) -> None:
        self.recovering_until_us = self.now_us + self.settings.permit_expiry_us
        self.leader_seen_us = self.now_us

    def may_vote(self, now_us: int) -> bool:
        """Whether it may vote and acknowledge."""
        return self.is_record_known and now_us >= self.recovering_until_us

    def on_vote_request(self, vote_request: LeaderVoteRequest, now_us: int) -> LeaderVote:
        """Vote on a candidate: granted for a term that is higher than all known ones."""
        is_granted = self.may_vote(now_us) and vote_request.term > self.term
        if is_granted:
            self.term = vote_request.term
            self.has_unsaved_changes = True
            self.leader_seen_us = now_us  # the candidate gets the time that a leader has
        return LeaderVote(
            vote_request.incarnation, vote_request.term, is_granted, self.is_record_known, self.record
        )

    def on_proposal(self, record: RolloutRecord, now_us: int) -> ProposalAck | None:
        """Take in a record that is addressed to this incarnation; None where it is not acknowledged."""
        if record.revision < self.record.revision:
            return None
        self._learn(record)
        # A front that lost its state may be sent a record that is long out of date, and one that voted in a
        # later term has reported what it knew: that they learn the record is good, but it does not count.
        if record.term < self.term or not self.may_vote(now_us):
            return None
        self.leader_seen_us = now_us
        return ProposalAck(record.term, record.turn)

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, as_of_us: int | None) -> None:
        """Take in the revision that another front reports, until enough are known.

        Args:
            sender: the front's index.
            heartbeat: its heartbeat.
            as_of_us: when the heartbeat that it acknowledges was sent from here; None where that is unknown.
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
        # More than the fronts beside a majority: one of these accepted the last agreed record.
        if len(self.informed_peers) > front_count - self.settings.majority:
            return True
        reported = self.informed_peers | self.uninformed_peers
        return len(reported) == front_count - 1 and self.record.revision == NO_REVISION

    def accept_as_complete(self) -> None:
        """An operator declares that no front knows a newer record.

        An active plan is halted by this, also where this front knows its record: those that accepted a halt
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
