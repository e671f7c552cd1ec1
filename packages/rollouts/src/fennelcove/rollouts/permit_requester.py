"""Disruption permits, the requesting side: one front's requests for one kind of place.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.messages import OpenRequest, PermitRequest, PermitVerdict, PermitVote
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

MAX_REQUESTS = 15  # with the front's request for itself, all fit into a heartbeat
MAX_BACKOFF_DOUBLINGS = 3  # of the delay between two attempts
BACKOFF_DIVISOR = 8  # the first delay is the permit window divided by this
NO_REVISION = (0, 0)  # for a request that belongs to no plan


class RequestState(Enum):
    """The state of a request. The member names appear in status JSON."""

    WANTED = auto()  # to be sent for the first time, or again with a new number
    ASKING = auto()  # sent; votes are being counted
    GRANTED = auto()  # a majority granted it; the drain has not begun
    OUT = auto()  # the drain has begun
    GONE = auto()  # released or cancelled


class RequestEvent(Enum):
    """Events that change the state of a request."""

    SENT = auto()
    MAJORITY = auto()
    DENIED = auto()
    TIMED_OUT = auto()  # the permit window is over
    BEGUN = auto()
    CANCELLED = auto()
    RETURNED = auto()  # the place serves again


REQUEST_TRANSITIONS: TransitionTable[RequestState, RequestEvent, None] = TransitionTable(
    {
        (RequestState.WANTED, RequestEvent.SENT): Transition(RequestState.ASKING),
        (RequestState.ASKING, RequestEvent.MAJORITY): Transition(RequestState.GRANTED),
        (RequestState.ASKING, RequestEvent.DENIED): Transition(RequestState.WANTED),
        (RequestState.ASKING, RequestEvent.TIMED_OUT): Transition(RequestState.WANTED),
        (RequestState.GRANTED, RequestEvent.BEGUN): Transition(RequestState.OUT),
        (RequestState.GRANTED, RequestEvent.TIMED_OUT): Transition(RequestState.WANTED),
        **{
            (state, RequestEvent.CANCELLED): Transition(RequestState.GONE)
            for state in (RequestState.WANTED, RequestState.ASKING, RequestState.GRANTED)
        },
        **{(state, RequestEvent.RETURNED): Transition(RequestState.GONE) for state in RequestState},
    },
    unlisted=Unlisted.IGNORE,
)
OPEN_STATES = (RequestState.ASKING, RequestState.GRANTED, RequestState.OUT)
PERMITTED_STATES = (RequestState.GRANTED, RequestState.OUT)


@dataclass(slots=True)
class PendingRequest:
    """A place that this front wants to drain, and the votes for it."""

    place: int
    version: int = 0  # to restart with
    revision: tuple[int, int] = NO_REVISION  # of the record that ordered it
    state: RequestState = RequestState.WANTED
    number: int = 0
    sent_us: int = 0
    not_before_us: int = 0  # earliest time of the next attempt
    wanted_us: int = 0  # when it was last ordered or requested
    attempts: int = 0
    granted_by: set[int] = field(default_factory=set)
    denied_by: dict[int, PermitVerdict] = field(default_factory=dict)
    promised_places: set[int] = field(default_factory=set)  # other places that its grantors have promised


@dataclass(slots=True)
class RequestNumbers(Iterator[int]):
    """Issues the permit request numbers of this incarnation, shared by both kinds of place."""

    last: int = 0

    def __next__(self) -> int:
        self.last += 1
        return self.last


@dataclass(slots=True)
class Requester:
    """One front's requests for one kind of place. Votes are counted for one request at a time."""

    settings: PermitSettings
    incarnation: int
    numbers: Iterator[int]  # request numbers of this incarnation, shared by both kinds of place
    requests: dict[int, PendingRequest] = field(default_factory=dict)

    def request_permit(
        self, place: int, now_us: int, version: int = 0, revision: tuple[int, int] = NO_REVISION
    ) -> bool:
        """Register a request to drain a place; False if there are too many or it is already in progress."""
        known = self.requests.get(place)
        if known is not None:
            known.wanted_us = now_us
            if known.state is not RequestState.WANTED:
                return False
            known.version, known.revision = version, revision
            return True
        if len(self.requests) >= MAX_REQUESTS:
            return False
        self.requests[place] = PendingRequest(
            place, version, revision, not_before_us=now_us, wanted_us=now_us
        )
        return True

    def next_request(self, now_us: int) -> PermitRequest | None:
        """Return the request to send to all fronts now, if any: the one in progress, or the next one."""
        self.advance(now_us)
        request = self._request_in_progress()
        if request is None:
            request = self._next_wanted(now_us)
            if request is None:
                return None
            self._start_attempt(request, now_us)
        term, turn = request.revision
        return PermitRequest(self.incarnation, request.number, self.settings.kind, request.place, term, turn)

    def _request_in_progress(self) -> PendingRequest | None:
        asking = (one for one in self.requests.values() if one.state is RequestState.ASKING)
        return next(asking, None)

    def _next_wanted(self, now_us: int) -> PendingRequest | None:
        wanted = (one for one in self.requests.values() if one.state is RequestState.WANTED)
        return next((one for one in wanted if now_us >= one.not_before_us), None)

    def _start_attempt(self, request: PendingRequest, now_us: int) -> None:
        self._apply(request, RequestEvent.SENT)
        request.number = next(self.numbers)
        request.sent_us = now_us
        request.granted_by = set()
        request.denied_by = {}
        request.promised_places = set()

    def on_vote(
        self, sender: int, vote: PermitVote, grantor: Grantor, jitter: float, now_us: int
    ) -> PendingRequest | None:
        """Count a vote.

        Args:
            sender: index of the front that voted.
            vote: its vote.
            grantor: this front's own grantor, which knows the places that this front observes.
            jitter: random, in [0, 1).
            now_us: the current time.

        Returns:
            The request, if this vote completes its permit; otherwise None.
        """
        self.advance(now_us)
        for request in self.requests.values():
            is_counted = request.state is RequestState.ASKING and vote.request_number == request.number
            if is_counted and vote.requester_incarnation == self.incarnation:
                self._count_vote(request, sender, vote)
                return self._decide(request, grantor, jitter, now_us)
        return None

    @staticmethod
    def _count_vote(request: PendingRequest, sender: int, vote: PermitVote) -> None:
        if vote.verdict is PermitVerdict.GRANTED:
            request.granted_by.add(sender)
            request.denied_by.pop(sender, None)
            request.promised_places |= set(vote.promised_places)
        elif sender not in request.granted_by:
            request.denied_by[sender] = vote.verdict

    def _decide(
        self, request: PendingRequest, grantor: Grantor, jitter: float, now_us: int
    ) -> PendingRequest | None:
        has_majority = len(request.granted_by) >= self.settings.majority
        if has_majority and self._is_within_limits(request, grantor, now_us):
            self._apply(request, RequestEvent.MAJORITY)
            return request
        is_denied = len(request.denied_by) > self.settings.front_count - self.settings.majority
        if has_majority or is_denied:
            self._retry_later(request, RequestEvent.DENIED, jitter, now_us)
        return None

    def _is_within_limits(self, request: PendingRequest, grantor: Grantor, now_us: int) -> bool:
        disrupted = request.promised_places | grantor.disrupted_places(now_us)
        limit = self.settings.limit
        return grantor.disruption_map.exceeded_limit(limit, request.place, disrupted) is None

    def _retry_later(self, request: PendingRequest, event: RequestEvent, jitter: float, now_us: int) -> None:
        # The next attempt gets a new number, so the next heartbeat shows the grantors that this one is over.
        self._apply(request, event)
        doublings = min(request.attempts, MAX_BACKOFF_DOUBLINGS)
        pause_us = self.settings.permit_window_us // BACKOFF_DIVISOR << doublings
        request.attempts += 1
        request.not_before_us = now_us + round(pause_us * (0.5 + jitter))

    def begin(self, place: int, now_us: int) -> bool:
        """Return whether the drain may begin now; to be called immediately before it begins."""
        self.advance(now_us)
        request = self.requests.get(place)
        if request is None or request.state not in PERMITTED_STATES:
            return False
        self._apply(request, RequestEvent.BEGUN)
        return True

    def cancel(self, place: int) -> bool:
        """Cancel a request whose drain has not begun; return whether there was one."""
        return self._end(place, RequestEvent.CANCELLED)

    def on_returned(self, place: int) -> bool:
        """Release the permit of a place that serves again, used or not; return whether there was one."""
        return self._end(place, RequestEvent.RETURNED)

    def _end(self, place: int, event: RequestEvent) -> bool:
        request = self.requests.get(place)
        if request is None:
            return False
        self._apply(request, event)
        if request.state is not RequestState.GONE:
            return False
        del self.requests[place]
        return True

    def on_server_observed(self, place: int, as_of_us: int) -> None:
        """Release the permit of a server that served at `as_of_us`, if its drain would have been visible."""
        request = self.requests.get(place)
        visible_us = self.settings.permit_expiry_us + self.settings.drain_visible_us
        if request is None or request.state is not RequestState.OUT:
            return
        if as_of_us >= request.sent_us + visible_us:
            self.on_returned(place)

    def advance(self, now_us: int) -> None:
        """Time out requests whose permit window has ended, also after a long pause of this process."""
        for request in self.requests.values():
            is_timed = request.state in (RequestState.ASKING, RequestState.GRANTED)
            if is_timed and now_us >= request.sent_us + self.settings.permit_window_us:
                self._retry_later(request, RequestEvent.TIMED_OUT, 0.5, now_us)

    def open_requests(self) -> list[OpenRequest]:
        """Return the open requests, for the next heartbeat."""
        return [
            OpenRequest(self.settings.kind, one.place, one.number, one.state in PERMITTED_STATES)
            for one in self.requests.values()
            if one.state in OPEN_STATES
        ]

    @staticmethod
    def _apply(request: PendingRequest, event: RequestEvent) -> None:
        request.state = REQUEST_TRANSITIONS.apply(request.state, event).state
