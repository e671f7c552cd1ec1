"""Who may be out: permits that a majority of all fronts grants, one place at a time.

Each front is a voter. For each place it holds what it promised, and a promise is never forgotten by time: it
ends when the place's own word says that the ask is over, when a new life of the place serves, when a box is
seen to serve so late that its ask can't have been meant for later, or when an operator writes it off. While
the asker may still be counting voices, the voter gives no other ask a yes. So permits come one after another,
as if one front gave them all: of two that are granted one was settled at a common voter before the other
was asked for there, and that voter names it in its answer. The asker counts all places that any of its
majority names, its own sights of what is out, and itself; it goes out where that is within the limits.

A majority alone would not do: with a limit of two, three voters can each know of another two of three.

A voter in a new life says no until no ask that it may have forgotten can be counted or begun any more.
Without its folder it then takes each place for promised until a word or sight from after that time says
otherwise.

Times are in microseconds of one front's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.disruption_budget import DisruptionLimit, DisruptionMap
from fennelcove.rollouts.messages import (
    MAX_PROMISED_PLACES,
    PermitRequest,
    Kind,
    OpenRequest,
    ServingState,
    PermitVerdict,
    PermitVote,
    Heartbeat,
)

MAX_CLOCK_DRIFT = (
    0.05  # by how much two clocks may differ in pace, and a process be held up between look and act
)
MAX_REQUESTS = 15  # all asks in hand of both kinds have to fit into a word
MAX_BACKOFF_DOUBLINGS = 3  # of the pause between two asks


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """The figures of permits for one kind."""

    kind: Kind
    front_count: int
    front_index: int
    limit: DisruptionLimit
    permit_window_us: int = 2_000_000  # from an ask, how long voices are counted and the way out may begin
    health_timeout_us: int = 2_000_000  # a place without a sight for so long is out
    drain_visible_us: int = 0  # in which a box that was told to drain is seen to drain, by all

    @property
    def majority(self) -> int:
        """How many of all fronts are more than half."""
        return self.front_count // 2 + 1

    @property
    def permit_expiry_us(self) -> int:
        """So long after its voice a voter knows that the asker counts and begins no more."""
        return round(self.permit_window_us * (1 + MAX_CLOCK_DRIFT))


class PermitState(Enum):
    """What a voter holds of a place."""

    FREE = auto()
    PROMISED = auto()  # the asker may be counting voices
    GRANTED = auto()  # granted, or nobody knows
    UNKNOWN = auto()  # this life does not know what the last one promised
    WRITTEN_OFF = auto()  # written off: it counts no more until it is seen to serve


class PermitEvent(Enum):
    """What happens to it."""

    PROMISED = auto()  # and the answer is yes
    SETTLED = auto()  # the asker has its majority, or counts no more
    RELEASED = auto()  # the ask is given up, or the place is back
    SEEN_SERVING = auto()  # it serves, by a sight from after all that this voter may have promised
    WRITTEN_OFF = auto()


TRANSITIONS: dict[tuple[PermitState, PermitEvent], PermitState] = {
    **{(hold, PermitEvent.PROMISED): PermitState.PROMISED for hold in PermitState},
    **{(hold, PermitEvent.WRITTEN_OFF): PermitState.WRITTEN_OFF for hold in PermitState},
    (PermitState.PROMISED, PermitEvent.SETTLED): PermitState.GRANTED,
    (PermitState.PROMISED, PermitEvent.RELEASED): PermitState.FREE,
    (PermitState.GRANTED, PermitEvent.RELEASED): PermitState.FREE,
    (PermitState.GRANTED, PermitEvent.SEEN_SERVING): PermitState.FREE,
    (PermitState.UNKNOWN, PermitEvent.SEEN_SERVING): PermitState.FREE,
    (PermitState.WRITTEN_OFF, PermitEvent.SEEN_SERVING): PermitState.FREE,
}
OCCUPIED_STATES = (PermitState.PROMISED, PermitState.GRANTED, PermitState.UNKNOWN)


@dataclass(slots=True)
class PermitEntry:
    """A place in a voter's book, and the ask that it is promised to."""

    state: PermitState
    requester: int = 0
    incarnation: int = 0
    request_number: int = 0
    since_us: int = 0  # when it was promised, written off, or this life began

    def is_for(self, requester: int, request: PermitRequest) -> bool:
        """Whether it is this very ask."""
        return (self.requester, self.incarnation, self.request_number) == (
            requester,
            request.incarnation,
            request.number,
        )


@dataclass(slots=True)
class HealthView:
    """How a place was last seen: not earlier than `as_of_us`."""

    is_serving: bool
    as_of_us: int


@dataclass(slots=True)
class Grantor:
    """One front's voice, and what it promised. `remembers`: the folder told all of the last life's."""

    settings: PermitSettings
    disruption_map: DisruptionMap
    now_us: int
    has_full_history: bool = False
    entries: dict[int, PermitEntry] = field(default_factory=dict)
    health_views: dict[int, HealthView] = field(default_factory=dict)
    heartbeats: dict[int, Heartbeat] = field(default_factory=dict)  # the newest of each front
    recovering_until_us: int = 0
    has_unsaved_changes: bool = False  # since the folder was told
    _settles_at_us: int = 0  # when the promise that is not settled is so by time
    _unavailable: set[int] = field(default_factory=set)
    _unavailable_until_us: int = 0  # none of the others falls silent before

    def __post_init__(self) -> None:
        self.recovering_until_us = self.now_us + self.settings.permit_expiry_us
        self.entries = {
            place: PermitEntry(
                entry.state, entry.requester, entry.incarnation, entry.request_number, self.now_us
            )
            for place, entry in self.entries.items()
        }
        self.update_map(self.disruption_map)

    def update_map(self, new: DisruptionMap) -> None:
        """The settings or the list name these places."""
        if not self.has_full_history:
            fresh = new.places.keys() - self.entries.keys() - self.health_views.keys()
            # A box that is listed later than this may be new, or one that the last life promised.
            for place in fresh:
                self.entries[place] = PermitEntry(PermitState.UNKNOWN, since_us=self.recovering_until_us)
        for place in self.health_views.keys() - new.places.keys():
            del self.health_views[place]
        self.disruption_map = new
        self._unavailable_until_us = 0

    # What is promised.

    def promised_places(self) -> set[int]:
        """All places that count as promised."""
        return {place for place, entry in self.entries.items() if entry.state in OCCUPIED_STATES}

    def disrupted_places(self, now_us: int) -> set[int]:
        """All places that do not serve, as far as this front sees, or may be on their way out."""
        self.advance(now_us)
        return self.promised_places() | self.unavailable_places(now_us)

    def unavailable_places(self, now_us: int) -> set[int]:
        """All places that do not serve, as far as this front sees; those written off apart."""
        if now_us >= self._unavailable_until_us:
            silent_us = self.settings.health_timeout_us
            grantor = [view.as_of_us for view in self.health_views.values() if view.is_serving]
            fresh = [at_us + silent_us for at_us in grantor if now_us < at_us + silent_us]
            self._unavailable = {
                place for place in self.disruption_map.places if not self._is_serving(place, now_us)
            }
            self._unavailable_until_us = min(fresh, default=now_us + silent_us)
        off = {place for place, entry in self.entries.items() if entry.state is PermitState.WRITTEN_OFF}
        return self._unavailable - off

    def _is_serving(self, place: int, now_us: int) -> bool:
        view = self.health_views.get(place)
        return (
            view is not None and view.is_serving and now_us < view.as_of_us + self.settings.health_timeout_us
        )

    def on_permit_request(
        self, requester: int, request: PermitRequest, now_us: int, is_stale: bool = False
    ) -> PermitVote:
        """A front asks for a permit; `stale`: its plan is no more what this front knows."""
        self.advance(now_us)
        verdict = (
            PermitVerdict.STALE
            if is_stale or self._is_over(requester, request)
            else self._judge(requester, request, now_us)
        )
        if verdict is not PermitVerdict.GRANTED:
            return PermitVote(request.incarnation, request.number, verdict)
        entry = self.entries.get(request.place)
        if entry is None or not entry.is_for(requester, request):
            self._promise(requester, request, now_us)
        return PermitVote(
            request.incarnation,
            request.number,
            verdict,
            tuple(sorted(self.promised_places() - {request.place})),
        )

    def _judge(self, requester: int, request: PermitRequest, now_us: int) -> PermitVerdict:
        if now_us < self.recovering_until_us:
            return PermitVerdict.RECOVERING
        entry = self.entries.get(request.place)
        if (
            entry is not None
            and entry.is_for(requester, request)
            and entry.state in (PermitState.PROMISED, PermitState.GRANTED)
        ):
            return PermitVerdict.GRANTED  # asked twice, or the answer was lost
        if entry is not None and not self._may_replace(requester, request, entry):
            return PermitVerdict.BUSY
        others = {place for place in self.promised_places() if place != request.place}
        if any(self.entries[place].state is PermitState.PROMISED for place in others):
            return PermitVerdict.BUSY
        everyone = others | self.unavailable_places(now_us)
        full = (
            len(others) >= MAX_PROMISED_PLACES
            or self.disruption_map.exceeded_limit(self.settings.limit, request.place, everyone) is not None
        )
        return PermitVerdict.LIMIT_REACHED if full else PermitVerdict.GRANTED

    def _may_replace(self, requester: int, request: PermitRequest, entry: PermitEntry) -> bool:
        """Whether what is held of the place is over since this is asked for."""
        if entry.state in (PermitState.FREE, PermitState.WRITTEN_OFF):
            return True
        if self.settings.kind is Kind.FRONT:  # it asks for itself, while it serves, one ask at a time
            return entry.state is PermitState.UNKNOWN or (entry.incarnation, entry.request_number) < (
                request.incarnation,
                request.number,
            )
        # Another front, or another life of this one, may have told the list to drain it a moment ago.
        same = (entry.requester, entry.incarnation) == (requester, request.incarnation)
        return entry.state is not PermitState.UNKNOWN and same and entry.request_number < request.number

    def _is_over(self, requester: int, request: PermitRequest) -> bool:
        heartbeat = self.heartbeats.get(requester)
        if heartbeat is None or heartbeat.incarnation < request.incarnation:
            return False
        if heartbeat.incarnation > request.incarnation:
            return True
        return request.number <= heartbeat.last_request_number and not any(
            one.number == request.number for one in heartbeat.open_requests
        )

    def _promise(self, requester: int, request: PermitRequest, now_us: int) -> None:
        self._apply(request.place, PermitEvent.PROMISED)
        entry = self.entries[request.place]
        entry.requester, entry.incarnation, entry.request_number, entry.since_us = (
            requester,
            request.incarnation,
            request.number,
            now_us,
        )
        self._settles_at_us = now_us + self.settings.permit_expiry_us  # there is one at a time

    # What is heard and seen.

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, as_of_us: int | None, now_us: int) -> None:
        """A front says what it is and holds. `as_of_us`: when what it answers was sent from here; None: it
        answers nothing, or what nobody remembers."""
        known = self.heartbeats.get(sender)
        if known is not None and (heartbeat.incarnation, heartbeat.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return
        self.heartbeats[sender] = heartbeat
        self.advance(now_us)
        for place in [sender] if self.settings.kind is Kind.FRONT else list(self.entries):
            entry = self.entries.get(place)
            if (
                entry is not None
                and entry.requester == sender
                and entry.state in (PermitState.PROMISED, PermitState.GRANTED)
            ):
                self._update_from_heartbeat(place, entry, heartbeat)
        if self.settings.kind is Kind.FRONT and as_of_us is not None:
            self.observe(sender, heartbeat.serving_state is ServingState.SERVING, as_of_us, now_us)

    def _update_from_heartbeat(self, place: int, entry: PermitEntry, heartbeat: Heartbeat) -> None:
        front, serves = self.settings.kind is Kind.FRONT, heartbeat.serving_state is ServingState.SERVING
        if entry.incarnation < heartbeat.incarnation:
            # The life that asked is over. Of a front that is all; a box may have been told to drain by it.
            if front and serves:
                self._apply(place, PermitEvent.RELEASED)
        elif (
            entry.incarnation == heartbeat.incarnation
            and entry.request_number <= heartbeat.last_request_number
        ):
            status = [one for one in heartbeat.open_requests if one.number == entry.request_number]
            if not status:
                if serves or not front:  # one that is out for another reason is not free by what it gives up
                    self._apply(place, PermitEvent.RELEASED)
            elif status[0].is_granted:
                self._apply(place, PermitEvent.SETTLED)

    def observe(self, place: int, is_serving: bool, as_of_us: int, now_us: int) -> None:
        """A place is seen to serve or not, as it was at that time or later. Of fronts their words tell."""
        self.advance(now_us)
        view = self.health_views.get(place)
        if place not in self.disruption_map.places or (view is not None and as_of_us < view.as_of_us):
            return
        self.health_views[place] = HealthView(is_serving, as_of_us)
        if now_us >= as_of_us + self.settings.health_timeout_us or not is_serving:
            self._unavailable.add(place)
        else:
            self._unavailable.discard(place)
            self._unavailable_until_us = min(
                self._unavailable_until_us, as_of_us + self.settings.health_timeout_us
            )
        entry = self.entries.get(place)
        if is_serving and entry is not None and as_of_us >= self._free_from_us(place, entry):
            self._apply(place, PermitEvent.SEEN_SERVING)

    def _free_from_us(self, place: int, entry: PermitEntry) -> int:
        """From when on a sight of the place serving says that it is not on its way out."""
        show_us = self.settings.drain_visible_us
        if entry.state is PermitState.UNKNOWN:
            heartbeat = self.heartbeats.get(place)
            front = self.settings.kind is Kind.FRONT
            if front and (
                heartbeat is None or any(one.kind is Kind.FRONT for one in heartbeat.open_requests)
            ):
                return 1 << 62
            return max(entry.since_us, self.recovering_until_us) + show_us
        if entry.state is PermitState.GRANTED:
            # Of a front its own word alone says that an ask is over; a box has none.
            return (
                1 << 62
                if self.settings.kind is Kind.FRONT
                else entry.since_us + self.settings.permit_expiry_us + show_us
            )
        return entry.since_us

    def write_off(self, place: int, now_us: int) -> None:
        """An operator says that it is not coming back."""
        self.advance(now_us)
        self._apply(place, PermitEvent.WRITTEN_OFF)
        self.entries[place].since_us = now_us

    def advance(self, now_us: int) -> None:
        """Time passes."""
        self.now_us = max(self.now_us, now_us)
        if self.now_us < self._settles_at_us:
            return
        for place, entry in list(self.entries.items()):
            if entry.state is PermitState.PROMISED:
                self._apply(place, PermitEvent.SETTLED)

    def _apply(self, place: int, event: PermitEvent) -> None:
        entry = self.entries.setdefault(place, PermitEntry(PermitState.FREE))
        after = TRANSITIONS.get((entry.state, event), entry.state)
        self.has_unsaved_changes |= after is not entry.state or event is PermitEvent.PROMISED
        entry.state = after
        if after is PermitState.FREE:
            del self.entries[place]


class RequestState(Enum):
    """How far an ask is."""

    WANTED = auto()  # not asked, or to be asked again
    ASKING = auto()
    GRANTED = auto()
    OUT = auto()
    GONE = auto()  # over


class RequestEvent(Enum):
    """What moves it on."""

    SENT = auto()
    MAJORITY = auto()
    DENIED = auto()
    TIMED_OUT = auto()  # the window is over
    BEGUN = auto()
    CANCELLED = auto()
    RETURNED = auto()


REQUEST_TRANSITIONS: dict[tuple[RequestState, RequestEvent], RequestState] = {
    (RequestState.WANTED, RequestEvent.SENT): RequestState.ASKING,
    (RequestState.ASKING, RequestEvent.MAJORITY): RequestState.GRANTED,
    (RequestState.ASKING, RequestEvent.DENIED): RequestState.WANTED,
    (RequestState.ASKING, RequestEvent.TIMED_OUT): RequestState.WANTED,
    (RequestState.GRANTED, RequestEvent.BEGUN): RequestState.OUT,
    (RequestState.GRANTED, RequestEvent.TIMED_OUT): RequestState.WANTED,
    **{
        (stage, RequestEvent.CANCELLED): RequestState.GONE
        for stage in (RequestState.WANTED, RequestState.ASKING, RequestState.GRANTED)
    },
    **{(stage, RequestEvent.RETURNED): RequestState.GONE for stage in RequestState},
}
OPEN_STATES = (RequestState.ASKING, RequestState.GRANTED, RequestState.OUT)


@dataclass(slots=True)
class PendingRequest:
    """A place that this front wants out."""

    place: int
    version: int = 0
    revision: tuple[int, int] = (0, 0)  # of the plan
    state: RequestState = RequestState.WANTED
    number: int = 0
    sent_us: int = 0
    not_before_us: int = 0  # not before
    wanted_us: int = 0  # when it was last wanted
    attempts: int = 0
    granted_by: set[int] = field(default_factory=set)
    denied_by: dict[int, PermitVerdict] = field(default_factory=dict)
    promised_places: set[int] = field(default_factory=set)  # that the voices for it hold to be promised


@dataclass(slots=True)
class Requester:
    """One front's asks for one kind; one at a time is being counted."""

    settings: PermitSettings
    incarnation: int
    numbers: Iterator[int]  # the next number of an ask in this life, for all kinds
    requests: dict[int, PendingRequest] = field(default_factory=dict)

    def request_permit(
        self, place: int, now_us: int, version: int = 0, revision: tuple[int, int] = (0, 0)
    ) -> bool:
        """Have a place out when it may be. False: too many are wanted, or it is under way."""
        known = self.requests.get(place)
        if known is not None:
            known.wanted_us = now_us
            if known.state is RequestState.WANTED:
                known.version, known.revision = version, revision
            return known.state is RequestState.WANTED
        if len(self.requests) >= MAX_REQUESTS:
            return False
        self.requests[place] = PendingRequest(
            place, version, revision, not_before_us=now_us, wanted_us=now_us
        )
        return True

    def next_request(self, now_us: int) -> PermitRequest | None:
        """The ask that is to be sent to all now, if any: a new one, or again the one being counted."""
        self.advance(now_us)
        counting = next((one for one in self.requests.values() if one.state is RequestState.ASKING), None)
        if counting is None:
            counting = next(
                (
                    one
                    for one in self.requests.values()
                    if one.state is RequestState.WANTED and now_us >= one.not_before_us
                ),
                None,
            )
            if counting is None:
                return None
            self._apply(counting, RequestEvent.SENT)
            counting.number = next(self.numbers)
            counting.sent_us, counting.granted_by, counting.denied_by, counting.promised_places = (
                now_us,
                set(),
                {},
                set(),
            )
        return PermitRequest(
            self.incarnation, counting.number, self.settings.kind, counting.place, *counting.revision
        )

    def on_vote(
        self, sender: int, vote: PermitVote, grantor: Grantor, jitter: float, now_us: int
    ) -> PendingRequest | None:
        """A voice has come; the ask that it grants, if it does. `seen`: this front's own book."""
        self.advance(now_us)
        for one in self.requests.values():
            if one.state is RequestState.ASKING and (vote.requester_incarnation, vote.request_number) == (
                self.incarnation,
                one.number,
            ):
                return self._count_vote(one, sender, vote, grantor, jitter, now_us)
        return None

    def _count_vote(
        self, one: PendingRequest, sender: int, vote: PermitVote, grantor: Grantor, jitter: float, now_us: int
    ) -> PendingRequest | None:
        if vote.verdict is PermitVerdict.GRANTED:
            one.granted_by.add(sender)
            one.denied_by.pop(sender, None)
            one.promised_places |= set(vote.promised_places)
        elif sender not in one.granted_by:
            one.denied_by[sender] = vote.verdict
        if len(one.granted_by) >= self.settings.majority and self._is_within_limits(one, grantor, now_us):
            self._apply(one, RequestEvent.MAJORITY)
            return one
        full = len(one.granted_by) >= self.settings.majority
        if full or len(one.denied_by) > self.settings.front_count - self.settings.majority:
            self._retry_later(one, RequestEvent.DENIED, jitter, now_us)
        return None

    def _is_within_limits(self, one: PendingRequest, grantor: Grantor, now_us: int) -> bool:
        return (
            grantor.disruption_map.exceeded_limit(
                self.settings.limit, one.place, one.promised_places | grantor.disrupted_places(now_us)
            )
            is None
        )

    def _retry_later(self, one: PendingRequest, why: RequestEvent, jitter: float, now_us: int) -> None:
        # The number is not used again: voters hear by the next word that it is over.
        self._apply(one, why)
        pause_us = self.settings.permit_window_us // 8 << min(one.attempts, MAX_BACKOFF_DOUBLINGS)
        one.attempts += 1
        one.not_before_us = now_us + round(pause_us * (0.5 + jitter))

    def begin(self, place: int, now_us: int) -> bool:
        """Whether it may go out now; asked directly before it does."""
        self.advance(now_us)
        one = self.requests.get(place)
        if one is None or one.state not in (RequestState.GRANTED, RequestState.OUT):
            return False
        self._apply(one, RequestEvent.BEGUN)
        return True

    def release(self, place: int, has_returned: bool) -> bool:
        """It serves again, or is not wanted out any more; whether that was so."""
        one = self.requests.get(place)
        if one is None:
            return False
        self._apply(one, RequestEvent.RETURNED if has_returned else RequestEvent.CANCELLED)
        if one.state is RequestState.GONE:
            del self.requests[place]
        return place not in self.requests

    def on_server_returned(self, place: int, as_of_us: int) -> None:
        """A box serves, as it was at that time: what is seen before a drain can show says nothing."""
        one = self.requests.get(place)
        shown_us = self.settings.permit_expiry_us + self.settings.drain_visible_us
        if one is not None and one.state is RequestState.OUT and as_of_us >= one.sent_us + shown_us:
            self.release(place, has_returned=True)

    def advance(self, now_us: int) -> None:
        """Time passes: a window that is over grants nothing, whoever was held up meanwhile."""
        for one in self.requests.values():
            if (
                one.state in (RequestState.ASKING, RequestState.GRANTED)
                and now_us >= one.sent_us + self.settings.permit_window_us
            ):
                self._retry_later(one, RequestEvent.TIMED_OUT, 0.5, now_us)

    def open_requests(self) -> list[OpenRequest]:
        """The asks that are not over, for the next word."""
        return [
            OpenRequest(
                self.settings.kind,
                one.place,
                one.number,
                one.state in (RequestState.GRANTED, RequestState.OUT),
            )
            for one in self.requests.values()
            if one.state in OPEN_STATES
        ]

    def _apply(self, one: PendingRequest, turn: RequestEvent) -> None:
        one.state = REQUEST_TRANSITIONS.get((one.state, turn), one.state)
