"""Which changes to a lesson can be made, and which are refused whole, each with its reason.

A change is taken or refused by what the lesson is and what stands already; who has been shown what is a
matter of each player's track, which no change reaches back into.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from fractions import Fraction

from fennelcove.timeline.model import Change, Kind, Media

MAX_CHANGES_PER_TITLE = 1000
MAX_LEDGER_ENTRIES = 20_000  # withdrawn ones included: an author's repeat must find its first


class Refusal(Enum):
    """Why a change is not made."""

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


class Ruling(Enum):
    """What became of it."""

    MADE = "made"
    UNCHANGED = "stands"  # the same change again: nothing new
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Verdict:
    """A ruling; where it is a refusal, the reason and what would do."""

    ruling: Ruling
    version: int
    refusal: Refusal | None = None
    cure: str = ""


@dataclass(frozen=True, slots=True)
class Scene:
    """What a ruling needs to know beside the ledger."""

    media: Mapping[str, Media]
    floor_rung: int  # the highest floor of the room types concerned
    wall_us: int
    next_title_segment: int | None = None  # the subscription's next lesson segment, where one is the target
    is_session_known: bool = True  # the target subscription is known


Check = Callable[["Ledger", Change, Scene], "tuple[Refusal, str] | None"]


@dataclass(slots=True)
class Entry:
    """One change in the ledger."""

    change: Change
    version: int
    withdrawn: int | None = None


@dataclass(slots=True)
class Ledger:
    """All changes, by id; a version for each step. Pure state: who keeps it across restarts stands
    elsewhere."""

    entries: dict[str, Entry] = field(default_factory=dict)
    version: int = 0
    by_title: dict[str, dict[str, Entry]] = field(default_factory=dict)

    def submit(self, change: Change, context: Scene) -> Verdict:
        """Make a change, find it made, or refuse it whole."""
        held = self.entries.get(change.id)
        if held is not None:
            if held.change == change and held.withdrawn is None:
                return Verdict(Ruling.UNCHANGED, held.version)
            cure = "the same id stood for another change or was withdrawn; use a new id"
            return Verdict(Ruling.REFUSED, self.version, Refusal.ID_TAKEN, cure)
        for check in CHECKS:
            found = check(self, change, context)
            if found is not None:
                return Verdict(Ruling.REFUSED, self.version, *found)
        self.put(change)
        return Verdict(Ruling.MADE, self.version)

    def put(self, change: Change) -> None:
        """Enter a change that was ruled on."""
        self.version += 1
        entry = self.entries[change.id] = Entry(change, self.version)
        self.by_title.setdefault(change.target.title, {})[change.id] = entry

    def withdraw(self, change_id: str) -> Verdict:
        """Take a change back. Players that were shown its first segment play it to its end."""
        entry = self.entries.get(change_id)
        if entry is None:
            return Verdict(Ruling.UNKNOWN, self.version)
        if entry.withdrawn is None:
            self.version += 1
            entry.withdrawn = self.version
            self.by_title[entry.change.target.title].pop(change_id, None)
        return Verdict(Ruling.WITHDRAWN, self.version)

    def standing(self, title: str, at_version: int | None = None) -> Iterable[Change]:
        """The changes to a title in force, now or as of an earlier version."""
        if at_version is None:
            return [entry.change for entry in self.by_title.get(title, {}).values()]
        return [
            entry.change
            for entry in self.entries.values()
            if entry.change.target.title == title
            and entry.version <= at_version
            and (entry.withdrawn is None or entry.withdrawn > at_version)
        ]


def _check_references(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    if change.target.title not in scene.media:
        return Refusal.UNKNOWN_TITLE, "name a title that has media"
    if not scene.is_session_known:
        return Refusal.UNKNOWN_SESSION, "name a subscription that plays here, or a title"
    if change.kind is not Kind.CUT:
        clip = scene.media.get(change.clip or "")
        if clip is None or clip.live:
            return Refusal.UNKNOWN_CLIP, "name a recorded title that has media"
    return None


def _check_times(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    if (change.at is None) == (change.wall_us is None):
        return Refusal.INVALID_TIME, "give either a media time or a wall time"
    if change.kind is Kind.INSERT and change.until is not None:
        return Refusal.INVALID_TIME, "an insertion has no end in the lesson; leave it out, or replace"
    if change.kind is not Kind.INSERT and (change.until is None or change.at is None):
        return Refusal.INVALID_TIME, "a stretch needs both its ends, as media times"
    if change.at is not None and change.at < 0:
        return Refusal.INVALID_TIME, "media times begin at 0"
    return None


def _check_range(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    media = scene.media[change.target.title]
    first, after = change.first(media), change.after(media)
    if change.kind is not Kind.INSERT and first is not None and after is not None and after <= first:
        return Refusal.EMPTY_RANGE, f"no segment begins in it; a segment is {float(media.each):g} s long"
    return None


def _check_end(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    media = scene.media[change.target.title]
    first, after = change.first(media), change.after(media)
    if (
        media.count is not None
        and first is not None
        and after is not None
        and max(first, after) > media.count
    ):
        return Refusal.PAST_END, f"the lesson ends at {float(media.start(media.count)):g} s"
    return None


def _check_not_listed(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    media = scene.media[change.target.title]
    first = change.first(media)
    if first is None:
        if change.wall_us is not None and change.wall_us < scene.wall_us:
            return Refusal.BEFORE_LIVE_EDGE, "that moment has passed"
        return None
    if media.live:
        # The segment at the edge is being written and may be listed at any instant: one more is kept clear.
        earliest = media.ready(scene.wall_us) + 1
        if first < earliest:
            return Refusal.BEFORE_LIVE_EDGE, f"the earliest time is now {float(media.start(earliest)):g} s"
    if scene.next_title_segment is not None and first < scene.next_title_segment:
        return (
            Refusal.ALREADY_LISTED,
            f"the player was shown the lesson up to {float(media.start(scene.next_title_segment)):g} s",
        )
    return None


def _check_overlaps(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    media = scene.media[change.target.title]
    first, after = change.first(media), change.after(media)
    for other in ledger.standing(change.target.title):
        if not change.target.may_overlap(other.target):
            continue
        there, beyond = other.first(media), other.after(media)
        if first is None or after is None or there is None or beyond is None:
            clash = change.wall_us is not None and change.wall_us == other.wall_us
        elif first == there:
            clash = True  # which comes first would be chance
        else:
            clash = first < beyond and there < after
        if clash:
            return (
                Refusal.OVERLAPS,
                f"it meets {other.id!r} of {other.author!r}; withdraw that, or go around it",
            )
    return None


def _check_renditions(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    if change.kind is Kind.CUT:
        return None
    media, clip = scene.media[change.target.title], scene.media[change.clip or ""]
    if clip.codecs != media.codecs:
        return Refusal.INCOMPATIBLE_RENDITIONS, f"the lesson is in {media.codecs}, the clip in {clip.codecs}"
    if scene.floor_rung not in clip.rungs:
        return (
            Refusal.INCOMPATIBLE_RENDITIONS,
            f"the clip needs rung {scene.floor_rung}, the floor of the room types concerned",
        )
    return None


def _check_limits(ledger: Ledger, change: Change, scene: Scene) -> tuple[Refusal, str] | None:
    held = len(ledger.by_title.get(change.target.title, ()))
    if held >= MAX_CHANGES_PER_TITLE or len(ledger.entries) >= MAX_LEDGER_ENTRIES:
        return Refusal.TOO_MANY, "withdraw some that are over"
    return None


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


def seconds(text: str) -> Fraction:
    """A media time as authors write it: `12.5`, `37/3`, `1:02:03.25`.

    Raises:
        ValueError: anything else.
    """
    if len(text) > 40:
        raise ValueError("a time of more than 40 characters")
    parts = text.split(":")
    if len(parts) > 3:
        raise ValueError(f"no time: {text!r}")
    total = Fraction(0)
    for part in parts:
        if "e" in part.lower() or not part.strip():
            raise ValueError(f"no time: {text!r}")
        total = total * 60 + Fraction(part)
    return total
