"""The ledger of changes to titles, and the checks by which a submitted change is accepted or rejected.

A change is accepted or rejected as a whole, by the title's media and the active changes. The segments listed
for a player are part of its track (`playlist_cursor`), where no change applies retroactively.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from fractions import Fraction

from fennelcove.timeline.model import Change, ChangeKind, Media

MAX_CHANGES_PER_TITLE = 1000
MAX_LEDGER_ENTRIES = 20_000  # includes withdrawn ones, as a repeated submission must find the first
MAX_TIME_CHARS = 40
MAX_TIME_PARTS = 3  # hours, minutes, seconds
SECONDS_PER_MINUTE = 60


class RejectionReason(Enum):
    """Why a change is rejected; the values are part of the HTTP interface."""

    UNKNOWN_TITLE = "unknown-title"
    UNKNOWN_CLIP = "unknown-clip"
    UNKNOWN_SESSION = "unknown-subscription"
    INVALID_TIME = "no-time"
    BEFORE_LIVE_EDGE = "before-edge"
    ALREADY_LISTED = "already-shown"
    PAST_END = "past-end"
    EMPTY_RANGE = "empty-stretch"
    OVERLAPS = "overlaps"
    INCOMPATIBLE_RENDITIONS = "renditions"
    ID_TAKEN = "id-taken"
    TOO_MANY = "too-many"


class ChangeStatus(Enum):
    """The result of a submission or withdrawal; the values are part of the HTTP interface."""

    ACCEPTED = "made"
    UNCHANGED = "stands"  # the same change was submitted before
    REJECTED = "refused"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of a submission or withdrawal; if rejected, the reason and what the author can do."""

    status: ChangeStatus
    version: int
    reason: RejectionReason | None = None
    remedy: str = ""


@dataclass(frozen=True, slots=True)
class ValidationContext:
    """The inputs of the checks, other than the ledger."""

    media: Mapping[str, Media]
    floor_rung: int  # the highest floor of the service classes that the change applies to
    wall_us: int
    next_title_segment: int | None = None  # of the target session, if the change has one
    is_session_known: bool = True


@dataclass(frozen=True, slots=True)
class Rejection:
    """The reason why a check rejects a change, and what the author can do."""

    reason: RejectionReason
    remedy: str


@dataclass(slots=True)
class LedgerEntry:
    """A change, and the ledger versions at which it was accepted and withdrawn."""

    change: Change
    version: int
    withdrawn_version: int | None = None


@dataclass(slots=True)
class ChangeLedger:
    """All changes by id, in memory; each accepted or withdrawn change increments the version."""

    entries: dict[str, LedgerEntry] = field(default_factory=dict)
    version: int = 0
    by_title: dict[str, dict[str, LedgerEntry]] = field(default_factory=dict)

    def submit(self, change: Change, context: ValidationContext) -> ChangeResult:
        """Accepts a change, or rejects it; a repeated submission of an active change has no effect."""
        entry = self.entries.get(change.id)
        if entry is not None:
            return self._resubmit(entry, change)
        for check in CHECKS:
            rejection = check(self, change, context)
            if rejection is not None:
                return ChangeResult(ChangeStatus.REJECTED, self.version, rejection.reason, rejection.remedy)
        self.add(change)
        return ChangeResult(ChangeStatus.ACCEPTED, self.version)

    def _resubmit(self, entry: LedgerEntry, change: Change) -> ChangeResult:
        if entry.change == change and entry.withdrawn_version is None:
            return ChangeResult(ChangeStatus.UNCHANGED, entry.version)
        remedy = "the same id stood for another change or was withdrawn; use a new id"
        return ChangeResult(ChangeStatus.REJECTED, self.version, RejectionReason.ID_TAKEN, remedy)

    def add(self, change: Change) -> None:
        """Adds a change without checking it."""
        self.version += 1
        entry = LedgerEntry(change, self.version)
        self.entries[change.id] = entry
        self.by_title.setdefault(change.target.title, {})[change.id] = entry

    def withdraw(self, change_id: str) -> ChangeResult:
        """Withdraws a change; players for which its first segment was listed still play it to its end."""
        entry = self.entries.get(change_id)
        if entry is None:
            return ChangeResult(ChangeStatus.UNKNOWN, self.version)
        if entry.withdrawn_version is None:
            self.version += 1
            entry.withdrawn_version = self.version
            self.by_title[entry.change.target.title].pop(change_id, None)
        return ChangeResult(ChangeStatus.WITHDRAWN, self.version)

    def active_changes(self, title: str, at_version: int | None = None) -> Iterable[Change]:
        """The active changes to a title, at present or as of an earlier version of the ledger."""
        if at_version is None:
            return [entry.change for entry in self.by_title.get(title, {}).values()]
        return [
            entry.change
            for entry in self.entries.values()
            if entry.change.target.title == title
            and entry.version <= at_version
            and (entry.withdrawn_version is None or entry.withdrawn_version > at_version)
        ]


def _check_references(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    if change.target.title not in context.media:
        return Rejection(RejectionReason.UNKNOWN_TITLE, "name a title that has media")
    if not context.is_session_known:
        return Rejection(RejectionReason.UNKNOWN_SESSION, "name a subscription that plays here, or a title")
    if change.kind is not ChangeKind.CUT:
        clip = context.media.get(change.clip or "")
        if clip is None or clip.is_live:
            return Rejection(RejectionReason.UNKNOWN_CLIP, "name a recorded title that has media")
    return None


def _check_times(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    if (change.start_s is None) == (change.wall_us is None):
        return Rejection(RejectionReason.INVALID_TIME, "give either a media time or a wall time")
    if change.kind is ChangeKind.INSERT and change.end_s is not None:
        return Rejection(
            RejectionReason.INVALID_TIME, "an insertion has no end in the lesson; leave it out, or replace"
        )
    if change.kind is not ChangeKind.INSERT and (change.end_s is None or change.start_s is None):
        return Rejection(RejectionReason.INVALID_TIME, "a stretch needs both its ends, as media times")
    if change.start_s is not None and change.start_s < 0:
        return Rejection(RejectionReason.INVALID_TIME, "media times begin at 0")
    return None


def _check_range(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    media = context.media[change.target.title]
    first, resume = change.first_segment(media), change.resume_segment(media)
    if change.kind is ChangeKind.INSERT or first is None or resume is None:
        return None
    if resume <= first:
        remedy = f"no segment begins in it; a segment is {float(media.segment_duration_s):g} s long"
        return Rejection(RejectionReason.EMPTY_RANGE, remedy)
    return None


def _check_end(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    media = context.media[change.target.title]
    first, resume = change.first_segment(media), change.resume_segment(media)
    if media.segment_count is None or first is None or resume is None:
        return None
    if max(first, resume) > media.segment_count:
        return Rejection(
            RejectionReason.PAST_END,
            f"the lesson ends at {float(media.segment_start_s(media.segment_count)):g} s",
        )
    return None


def _check_not_listed(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    media = context.media[change.target.title]
    first = change.first_segment(media)
    if first is None:
        if change.wall_us is not None and change.wall_us < context.wall_us:
            return Rejection(RejectionReason.BEFORE_LIVE_EDGE, "that moment has passed")
        return None
    if media.is_live:
        # The segment at the live edge is being written and may be listed at any time, so it is excluded too.
        earliest = media.available_segments(context.wall_us) + 1
        if first < earliest:
            return Rejection(
                RejectionReason.BEFORE_LIVE_EDGE,
                f"the earliest time is now {float(media.segment_start_s(earliest)):g} s",
            )
    if context.next_title_segment is not None and first < context.next_title_segment:
        return Rejection(
            RejectionReason.ALREADY_LISTED,
            "the player was shown the lesson up to "
            f"{float(media.segment_start_s(context.next_title_segment)):g} s",
        )
    return None


def _check_overlaps(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    media = context.media[change.target.title]
    for other in ledger.active_changes(change.target.title):
        if change.target.may_overlap(other.target) and _overlap(change, other, media):
            remedy = f"it meets {other.id!r} of {other.author!r}; withdraw that, or go around it"
            return Rejection(RejectionReason.OVERLAPS, remedy)
    return None


def _overlap(change: Change, other: Change, media: Media) -> bool:
    first, resume = change.first_segment(media), change.resume_segment(media)
    other_first, other_resume = other.first_segment(media), other.resume_segment(media)
    if first is None or resume is None or other_first is None or other_resume is None:
        return change.wall_us is not None and change.wall_us == other.wall_us
    if first == other_first:
        return True  # their order would be arbitrary
    return first < other_resume and other_first < resume


def _check_renditions(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    if change.kind is ChangeKind.CUT:
        return None
    media, clip = context.media[change.target.title], context.media[change.clip or ""]
    if clip.codecs != media.codecs:
        return Rejection(
            RejectionReason.INCOMPATIBLE_RENDITIONS,
            f"the lesson is in {media.codecs}, the clip in {clip.codecs}",
        )
    if context.floor_rung not in clip.rungs:
        return Rejection(
            RejectionReason.INCOMPATIBLE_RENDITIONS,
            f"the clip needs rung {context.floor_rung}, the floor of the room types concerned",
        )
    return None


def _check_limits(ledger: ChangeLedger, change: Change, context: ValidationContext) -> Rejection | None:
    title_changes = len(ledger.by_title.get(change.target.title, ()))
    if title_changes >= MAX_CHANGES_PER_TITLE or len(ledger.entries) >= MAX_LEDGER_ENTRIES:
        return Rejection(RejectionReason.TOO_MANY, "withdraw some that are over")
    return None


Check = Callable[[ChangeLedger, Change, ValidationContext], Rejection | None]

CHECKS: tuple[Check, ...] = (
    _check_references,
    _check_times,
    _check_range,
    _check_end,
    _check_not_listed,
    _check_overlaps,
    _check_renditions,
    _check_limits,
)


def parse_media_time(text: str) -> Fraction:
    """Parses a media time in one of the forms `12.5`, `37/3` and `1:02:03.25`.

    Raises:
        ValueError: the text has none of these forms.
    """
    if len(text) > MAX_TIME_CHARS:
        raise ValueError(f"a time of more than {MAX_TIME_CHARS} characters")
    parts = text.split(":")
    if len(parts) > MAX_TIME_PARTS:
        raise ValueError(f"no time: {text!r}")
    total = Fraction(0)
    for part in parts:
        if "e" in part.lower() or not part.strip():
            raise ValueError(f"no time: {text!r}")
        total = total * SECONDS_PER_MINUTE + Fraction(part)
    return total
