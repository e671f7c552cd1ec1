"""Disruption permits, the granting side: one front's votes on requests, and the places it has promised.

A place may be drained once a majority of all fronts has granted a request for it. Each front is a grantor and
grants one request at a time: while a requester may still be counting votes, its grantors grant no other
request. Any two majorities have a grantor in common. Of two granted requests, one was therefore settled at
that grantor before the other arrived, and the grantor's second vote lists the first place, so that permits
are serialized as if a single front granted them. The requester adds up all places that its grantors list, the
places that it observes to be unavailable, and its own; it begins only if the sum is within the limits. (A
majority of votes alone would not suffice: with a limit of two, each of three grantors may know of a different
two of three requests.)

A promise never expires by time alone. It ends when a heartbeat of the requester shows that the request is
released, when a new incarnation of the place serves, when a server is observed to serve at a time by which
the request can no longer lead to a drain, or when an operator writes the place off.

A grantor that has just started grants nothing until any request that its previous incarnation may have
granted can no longer be counted or begun. Without persisted state it then treats each place as promised until
a later observation shows otherwise.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fennelcove.rollouts.disruption_budget import DisruptionMap
from fennelcove.rollouts.messages import (
    MAX_PROMISED_PLACES,
    Heartbeat,
    PermitRequest,
    PermitVerdict,
    PermitVote,
    PlaceKind,
    ServingState,
)
from fennelcove.rollouts.permit_entry import (
    OCCUPIED_STATES,
    PROMISED_STATES,
    TRANSITIONS,
    PermitEntry,
    PermitEvent,
    PermitState,
)
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.rollouts.place_health import HealthView, PlaceHealth

NEVER_US = 1 << 62  # later than any time


@dataclass(slots=True)
class Grantor:
    """One front's votes and promises for one kind of place.

    `has_full_history` states whether `entries` has all that the previous incarnation may have promised.
    """

    settings: PermitSettings
    disruption_map: DisruptionMap
    now_us: int
    has_full_history: bool = False
    entries: dict[int, PermitEntry] = field(default_factory=dict)
    health: PlaceHealth = field(default_factory=PlaceHealth)
    heartbeats: dict[int, Heartbeat] = field(default_factory=dict)  # the newest heartbeat of each front
    recovering_until_us: int = 0
    has_unsaved_changes: bool = False
    _settles_at_us: int = 0  # when the unsettled promise is settled by the passing of time

    def __post_init__(self) -> None:
        self.recovering_until_us = self.now_us + self.settings.permit_expiry_us
        self.entries = {place: replace(entry, since_us=self.now_us) for place, entry in self.entries.items()}
        self.update_map(self.disruption_map)

    def update_map(self, disruption_map: DisruptionMap) -> None:
        """Replace the known places."""
        if not self.has_full_history:
            new_places = disruption_map.places.keys() - self.entries.keys() - self.health.views.keys()
            # A server that is listed for the first time may be one that the previous incarnation promised.
            for place in new_places:
                self.entries[place] = PermitEntry(PermitState.UNKNOWN, since_us=self.recovering_until_us)
        self.health.retain(disruption_map.places.keys())
        self.disruption_map = disruption_map

    def promised_places(self) -> set[int]:
        """Return all places that count as promised."""
        return {place for place, entry in self.entries.items() if entry.state in OCCUPIED_STATES}

    def written_off_places(self) -> set[int]:
        """Return all places that an operator has written off."""
        return {place for place, entry in self.entries.items() if entry.state is PermitState.WRITTEN_OFF}

    def unavailable_places(self, now_us: int) -> set[int]:
        """Return all places that do not serve as observed by this front, excluding those written off."""
        places, timeout_us = self.disruption_map.places.keys(), self.settings.health_timeout_us
        return self.health.unavailable(places, timeout_us, now_us) - self.written_off_places()

    def disrupted_places(self, now_us: int) -> set[int]:
        """Return all places that are unavailable or promised."""
        self.advance(now_us)
        return self.promised_places() | self.unavailable_places(now_us)

    def on_permit_request(
        self, requester: int, request: PermitRequest, now_us: int, *, is_stale: bool = False
    ) -> PermitVote:
        """Vote on a request; `is_stale` states that it belongs to an older record than this front's."""
        self.advance(now_us)
        if is_stale or self._is_over(requester, request):
            verdict = PermitVerdict.STALE
        else:
            verdict = self._verdict_on(requester, request, now_us)
        if verdict is not PermitVerdict.GRANTED:
            return PermitVote(request.incarnation, request.number, verdict)
        entry = self.entries.get(request.place)
        if entry is None or not entry.is_for(requester, request):
            self._promise(requester, request, now_us)
        others = tuple(sorted(self.promised_places() - {request.place}))
        return PermitVote(request.incarnation, request.number, verdict, others)

    def _verdict_on(self, requester: int, request: PermitRequest, now_us: int) -> PermitVerdict:
        if now_us < self.recovering_until_us:
            return PermitVerdict.RECOVERING
        entry = self.entries.get(request.place)
        if entry is not None:
            if entry.is_for(requester, request) and entry.state in PROMISED_STATES:
                return PermitVerdict.GRANTED  # the request was repeated or duplicated
            if not self._may_replace(requester, request, entry):
                return PermitVerdict.BUSY
        others = self.promised_places() - {request.place}
        if any(self.entries[place].state is PermitState.PROMISED for place in others):
            return PermitVerdict.BUSY
        if len(others) >= MAX_PROMISED_PLACES:
            return PermitVerdict.LIMIT_REACHED
        disrupted = others | self.unavailable_places(now_us)
        exceeded = self.disruption_map.exceeded_limit(self.settings.limit, request.place, disrupted)
        return PermitVerdict.GRANTED if exceeded is None else PermitVerdict.LIMIT_REACHED

    def _may_replace(self, requester: int, request: PermitRequest, entry: PermitEntry) -> bool:
        """Return whether this request proves that the request of the entry is over."""
        if entry.state is PermitState.FREE or entry.state is PermitState.WRITTEN_OFF:
            return True
        if self.settings.kind is PlaceKind.FRONT:
            # A front requests permits only for itself, only while it serves, and one at a time.
            entry_request = (entry.incarnation, entry.request_number)
            is_newer = entry_request < (request.incarnation, request.number)
            return entry.state is PermitState.UNKNOWN or is_newer
        # Another front, or another incarnation of this one, may just have started to drain the server.
        is_same_front = (entry.requester, entry.incarnation) == (requester, request.incarnation)
        is_known = entry.state is not PermitState.UNKNOWN
        return is_known and is_same_front and entry.request_number < request.number

    def _is_over(self, requester: int, request: PermitRequest) -> bool:
        heartbeat = self.heartbeats.get(requester)
        if heartbeat is None or heartbeat.incarnation < request.incarnation:
            return False
        if heartbeat.incarnation > request.incarnation:
            return True
        is_open = any(one.number == request.number for one in heartbeat.open_requests)
        return request.number <= heartbeat.last_request_number and not is_open

    def _promise(self, requester: int, request: PermitRequest, now_us: int) -> None:
        self._apply(request.place, PermitEvent.PROMISED)
        entry = self.entries[request.place]
        entry.requester = requester
        entry.incarnation = request.incarnation
        entry.request_number = request.number
        entry.since_us = now_us
        self._settles_at_us = now_us + self.settings.permit_expiry_us  # at most one promise is unsettled

    def on_heartbeat(self, sender: int, heartbeat: Heartbeat, as_of_us: int | None, now_us: int) -> None:
        """Process a front's heartbeat, if it is newer than the last one.

        Args:
            sender: the front's index.
            heartbeat: its heartbeat.
            as_of_us: when this front sent the heartbeat that it acknowledges; None if that is unknown.
            now_us: the current time.
        """
        known = self.heartbeats.get(sender)
        if known is not None:
            known_order = (known.incarnation, known.sequence)
            if (heartbeat.incarnation, heartbeat.sequence) <= known_order:
                return
        self.heartbeats[sender] = heartbeat
        self.advance(now_us)
        for place in [sender] if self.settings.kind is PlaceKind.FRONT else list(self.entries):
            entry = self.entries.get(place)
            if entry is not None and entry.requester == sender and entry.state in PROMISED_STATES:
                self._update_from_heartbeat(place, entry, heartbeat)
        if self.settings.kind is PlaceKind.FRONT and as_of_us is not None:
            is_serving = heartbeat.serving_state is ServingState.SERVING
            self.observe(sender, as_of_us, now_us, is_serving=is_serving)

    def _update_from_heartbeat(self, place: int, entry: PermitEntry, heartbeat: Heartbeat) -> None:
        is_front = self.settings.kind is PlaceKind.FRONT
        is_serving = heartbeat.serving_state is ServingState.SERVING
        if entry.incarnation < heartbeat.incarnation:
            # The requester's incarnation has ended; a server drain that it began may still be in progress.
            if is_front and is_serving:
                self._apply(place, PermitEvent.RELEASED)
            return
        if entry.incarnation > heartbeat.incarnation or entry.request_number > heartbeat.last_request_number:
            return
        matching = [one for one in heartbeat.open_requests if one.number == entry.request_number]
        if matching and matching[0].is_granted:
            self._apply(place, PermitEvent.SETTLED)
        # A front that releases its request while it does not serve is unavailable for another reason.
        if not matching and (is_serving or not is_front):
            self._apply(place, PermitEvent.RELEASED)

    def observe(self, place: int, as_of_us: int, now_us: int, *, is_serving: bool) -> None:
        """Record an observation of a place: whether it served at `as_of_us` or later.

        For fronts this is called from `on_heartbeat`.
        """
        self.advance(now_us)
        if place not in self.disruption_map.places:
            return
        view = HealthView(is_serving, as_of_us)
        if not self.health.observe(place, view, self.settings.health_timeout_us, now_us):
            return
        entry = self.entries.get(place)
        if is_serving and entry is not None and as_of_us >= self._free_from_us(place, entry):
            self._apply(place, PermitEvent.SEEN_SERVING)

    def _free_from_us(self, place: int, entry: PermitEntry) -> int:
        """Return the earliest time at which an observation of serving proves that no drain is pending."""
        is_front = self.settings.kind is PlaceKind.FRONT
        drain_visible_us = self.settings.drain_visible_us
        if entry.state is PermitState.UNKNOWN:
            if is_front and self._may_have_request(place):
                return NEVER_US
            return max(entry.since_us, self.recovering_until_us) + drain_visible_us
        if entry.state is PermitState.GRANTED:
            # A front's request is ended only by its own heartbeats; servers send no heartbeats.
            expires_us = entry.since_us + self.settings.permit_expiry_us + drain_visible_us
            return NEVER_US if is_front else expires_us
        return entry.since_us

    def _may_have_request(self, front_index: int) -> bool:
        heartbeat = self.heartbeats.get(front_index)
        return heartbeat is None or any(one.kind is PlaceKind.FRONT for one in heartbeat.open_requests)

    def write_off(self, place: int, now_us: int) -> None:
        """Exclude a place from the limits until it is observed to serve again."""
        self.advance(now_us)
        self._apply(place, PermitEvent.WRITTEN_OFF)
        self.entries[place].since_us = now_us

    def advance(self, now_us: int) -> None:
        """Settle the unsettled promise if its time has passed."""
        self.now_us = max(self.now_us, now_us)
        if self.now_us < self._settles_at_us:
            return
        for place, entry in list(self.entries.items()):
            if entry.state is PermitState.PROMISED:
                self._apply(place, PermitEvent.SETTLED)

    def _apply(self, place: int, event: PermitEvent) -> None:
        entry = self.entries.setdefault(place, PermitEntry(PermitState.FREE))
        state = TRANSITIONS.apply(entry.state, event).state
        self.has_unsaved_changes |= state is not entry.state or event is PermitEvent.PROMISED
        entry.state = state
        if state is PermitState.FREE:
            del self.entries[place]
