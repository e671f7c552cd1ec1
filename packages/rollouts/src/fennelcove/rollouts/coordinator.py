"""One front's part in all that fronts agree on about who is out: what a book of the core is handed.

After each call: what `keep` gives has to be safe in the folder (where there is one) before what the call gave
is sent; then `acts` says what to do. Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from fennelcove.rollouts import rollout_plan
from fennelcove.rollouts.rollout_controller import RolloutController
from fennelcove.rollouts.leader_election import Acceptor, Role
from fennelcove.rollouts.disruption_permits import (
    PendingRequest,
    Requester,
    PermitEntry,
    PermitState,
    PermitSettings,
    RequestState,
    Grantor,
)
from fennelcove.rollouts.disruption_budget import FleetLimits, DisruptionMap, Location
from fennelcove.rollouts.messages import (
    MAX_OPEN_REQUESTS,
    PermitRequest,
    Kind,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Said,
    LeaderVoteRequest,
    ServingState,
    ProposalAck,
    Proposal,
    LeaderVote,
    PermitVote,
    Heartbeat,
)
from fennelcove.rollouts.types import (
    Act,
    Answer,
    Command,
    Do,
    Memory,
    Mine,
    Post,
    StoredPermit,
    RolloutSettings,
    Wish,
)

__all__ = [
    "Act",
    "Answer",
    "Command",
    "Do",
    "Memory",
    "Mine",
    "Post",
    "RolloutAgreement",
    "RolloutSettings",
    "StoredPermit",
    "Wish",
]

MAX_SENT_HEARTBEATS = 256  # own words whose times are known


@dataclass(slots=True)
class RequestNumbers:
    """The numbers of asks in this life, for all kinds."""

    last: int = 0

    def __iter__(self) -> Iterator[int]:
        return self

    def __next__(self) -> int:
        self.last += 1
        return self.last


class RolloutAgreement:
    """See the module's text."""

    def __init__(
        self,
        settings: RolloutSettings,
        limits: FleetLimits,
        fronts: tuple[Location, ...],
        incarnation: int,
        now_us: int,
        memory: Memory | None = None,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.zones = {index: place.zone for index, place in enumerate(fronts)}
        self.local_status = Mine(ServingState.STARTING)
        self.numbers = RequestNumbers()
        told = memory or Memory(sure=False, whole=False)
        permit_settings = {kind: settings.permit_settings(kind, limits) for kind in Kind}
        maps = {Kind.FRONT: DisruptionMap(dict(enumerate(fronts))), Kind.BOX: DisruptionMap({})}
        self.grantors = {
            kind: self._grantor(permit_settings[kind], maps[kind], told, now_us) for kind in Kind
        }
        self.requesters = {kind: Requester(permit_settings[kind], incarnation, self.numbers) for kind in Kind}
        grantor, front = self.grantors[Kind.FRONT], permit_settings[Kind.FRONT]
        self.controller = RolloutController(
            settings, front, self.zones, incarnation, told, grantor, self._apply_order, self._log, now_us
        )
        self.acceptor, self.election = self.controller.acceptor, self.controller.election
        self.heartbeat_sequence = 0
        self.heartbeat_sent_us: OrderedDict[int, int] = OrderedDict()
        self.pending_actions: list[Act] = []
        self.jitter = 0.5
        self.is_superseded = False  # another process has a later life under this index
        self.ordered_version: int | None = None  # the version that this front was last told to come back with
        self.compared_record = self.acceptor.record  # the plan that wants were last compared with
        self.persisted: Memory | None = memory
        self.handlers: dict[type, Callable[[int, Any, int], Post]] = {
            Heartbeat: self._on_heartbeat,
            PermitRequest: self._on_permit_request,
            PermitVote: self._on_permit_vote,
            LeaderVoteRequest: self.controller.on_vote_request,
            LeaderVote: self.controller.on_vote,
            Proposal: self.controller.on_proposal,
            ProposalAck: self.controller.on_ack,
            RolloutOrder: self._on_order,
        }

    def _log(self, text: str) -> None:
        self.pending_actions.append(Act(Do.NOTE, text=text))

    @staticmethod
    def _grantor(
        permit_settings: PermitSettings, places: DisruptionMap, told: Memory, now_us: int
    ) -> Grantor:
        entries = {
            one.place: PermitEntry(PermitState.GRANTED, one.asker, one.life, one.number)
            for one in told.promises
            if one.kind is permit_settings.kind
        }
        entries |= {
            place: PermitEntry(PermitState.WRITTEN_OFF)
            for kind, place in told.off
            if kind is permit_settings.kind
        }
        return Grantor(permit_settings, places, now_us, told.whole, entries)

    # What is sent.

    def beat(self, status: Mine, now_us: int, jitter: float) -> Post:
        """What to tell; called every beat. `draw`: chance, from 0 to below 1."""
        self.local_status, self.jitter = status, jitter
        self._expire_orders(now_us)
        post = self._heartbeats(now_us)
        for kind in Kind:
            if self.is_superseded or (
                kind is Kind.FRONT and status.serving_state is not ServingState.SERVING
            ):
                continue  # a front that does not serve needs no permit
            request = self.requesters[kind].next_request(now_us)
            if request is not None:
                post += self._send_request(request, now_us)
        if not self.is_superseded:
            post += self.controller.tick(status, now_us, jitter)
        self._cancel_outdated()
        return post

    def _to_all_peers(self, message: Said) -> Post:
        return [(index, message) for index in self.zones if index != self.settings.front_index]

    def _heartbeats(self, now_us: int) -> Post:
        """A word for each: at each beat, and at once where a voter waits for it."""
        self.heartbeat_sequence += 1
        self.heartbeat_sent_us[self.heartbeat_sequence] = now_us
        if len(self.heartbeat_sent_us) > MAX_SENT_HEARTBEATS:
            self.heartbeat_sent_us.popitem(last=False)
        opened = tuple(one for requester in self.requesters.values() for one in requester.open_requests())[
            :MAX_OPEN_REQUESTS
        ]
        status = self.local_status
        own = Heartbeat(
            self.incarnation,
            self.heartbeat_sequence,
            serving_state=status.serving_state,
            version=status.version,
            serving_for_s=status.serving_for_s,
            requested=status.requested,
            served=status.served,
            refused=status.refused,
            failed=status.failed,
            shedding_level=status.shedding_level,
            storm_phase=status.storm_phase,
            last_request_number=self.numbers.last,
            term=self.acceptor.record.term,
            turn=self.acceptor.record.turn,
            is_record_known=self.acceptor.is_record_known,
            open_requests=opened,
        )
        for grantor in self.grantors.values():
            grantor.on_heartbeat(self.settings.front_index, own, now_us, now_us)
        heartbeats = self._known_heartbeats()
        post: Post = []
        for index in self.zones:
            if index != self.settings.front_index:
                heard = heartbeats.get(index)
                known = (heard.incarnation, heard.sequence) if heard is not None else (0, 0)
                post.append((index, replace(own, acked_incarnation=known[0], acked_sequence=known[1])))
        return post

    def _known_heartbeats(self) -> dict[int, Heartbeat]:
        return self.grantors[Kind.FRONT].heartbeats

    def _send_request(self, request: PermitRequest, now_us: int) -> Post:
        post = self._to_all_peers(request)
        return post + self._on_permit_vote(
            self.settings.front_index, self._vote_on(self.settings.front_index, request, now_us), now_us
        )

    def _vote_on(self, sender: int, request: PermitRequest, now_us: int) -> PermitVote:
        revision, grantor = (request.term, request.turn), self.grantors[request.kind]
        planned = revision != (0, 0)
        # Who may have forgotten that a plan is halted lets nobody out by it.
        is_stale = planned and (not self.acceptor.is_record_known or revision < self.acceptor.record.revision)
        return grantor.on_permit_request(sender, request, now_us, is_stale)

    # What is heard.

    def hear(self, sender: int, message: Said, now_us: int) -> Post:
        """Another front says something."""
        if sender not in self.zones or sender == self.settings.front_index:
            return []
        if self.is_superseded and not isinstance(message, Heartbeat):
            return []  # two voices of one front would make two majorities that know nothing of each other
        post = self.handlers[type(message)](sender, message, now_us)
        self._cancel_outdated()
        return post

    def _on_heartbeat(self, sender: int, heartbeat: Heartbeat, now_us: int) -> Post:
        if heartbeat.acked_incarnation > self.incarnation and not self.is_superseded:
            self.is_superseded = True
            self._log(f"life {heartbeat.acked_incarnation} speaks for this front")
        status = heartbeat.acked_incarnation == self.incarnation
        as_of_us = self.heartbeat_sent_us.get(heartbeat.acked_sequence) if status else None
        for grantor in self.grantors.values():
            grantor.on_heartbeat(sender, heartbeat, as_of_us, now_us)
        self.acceptor.on_heartbeat(sender, heartbeat, as_of_us, now_us)
        record = self.acceptor.record
        behind = (heartbeat.term, heartbeat.turn) < record.revision
        return [(sender, Proposal(record, heartbeat.incarnation))] if behind and as_of_us is not None else []

    def _on_permit_request(self, sender: int, request: PermitRequest, now_us: int) -> Post:
        return [(sender, self._vote_on(sender, request, now_us))]

    def _on_permit_vote(self, sender: int, vote: PermitVote, now_us: int) -> Post:
        for kind, requester in self.requesters.items():
            was = [one.place for one in requester.requests.values() if one.state is RequestState.ASKING]
            granted = requester.on_vote(sender, vote, self.grantors[kind], self.jitter, now_us)
            if granted is not None:
                do = Do.DRAIN_FRONT if kind is Kind.FRONT else Do.DRAIN_SERVER
                self.pending_actions.append(Act(do, kind, granted.place, granted.version))
            if any(requester.requests[place].state is not RequestState.ASKING for place in was):
                return self._heartbeats(now_us)  # voters wait for this
        return []

    def _on_order(self, sender: int, order: RolloutOrder, now_us: int) -> Post:
        revision = (order.term, order.turn)
        leads = (
            sender == order.term % self.settings.front_count
            and order.receiver_incarnation == self.incarnation
        )
        if not leads or revision < self.acceptor.record.revision:
            return []
        self._apply_order(order.version, revision, now_us)
        return []

    def _apply_order(self, version: int, revision: tuple[int, int], now_us: int) -> None:
        here = self.settings.front_index
        out = self.requesters[Kind.FRONT].requests.get(here)
        if self.local_status.serving_state is ServingState.SERVING and (
            out is None or out.state is not RequestState.OUT
        ):
            self.ordered_version = None
            if self.local_status.version != version:
                self.requesters[Kind.FRONT].request_permit(here, now_us, version, revision)
            return
        coming = self.ordered_version or (out.version if out is not None else self.local_status.version)
        if coming != version:
            # It does not serve: it takes nothing away by going, and coming back needs no permit.
            self.ordered_version = version
            self.pending_actions.append(Act(Do.DRAIN_FRONT, Kind.FRONT, here, version))

    # What operators say.

    def command(self, told: Command, now_us: int) -> tuple[int, Answer, Post]:
        """An operator's word about a plan: its number, for `answer`."""
        number, post = self.controller.command(told, now_us)
        self._cancel_outdated()
        return number, self.controller.outcome(number), post

    def answer(self, number: int) -> Answer:
        """What became of it; one that is long ago is lost."""
        return self.controller.outcome(number)

    def want_out(self, version: int, now_us: int) -> Post:
        """An operator wants this front to go out, by hand."""
        self.requesters[Kind.FRONT].request_permit(self.settings.front_index, now_us, version)
        return []

    def want_server(self, cell: int, now_us: int) -> Post:
        """An operator wants a box to go out."""
        self.requesters[Kind.BOX].request_permit(cell, now_us)
        return []

    def write_off(self, kind: Kind, place: int, now_us: int) -> None:
        """An operator says that a place is not to be counted until it is seen to serve again."""
        self.grantors[kind].write_off(place, now_us)

    def anew(self) -> None:
        """An operator says that nobody knows more of a plan than is known now; one under way is halted."""
        self.election.step_down()
        self.acceptor.accept_as_complete()

    # What goes out.

    def begin(self, kind: Kind, place: int, now_us: int) -> bool:
        """Whether to go out now, by a permit that is in hand; asked at once before it is done."""
        if self.is_superseded:
            return False
        if kind is Kind.FRONT and self.local_status.serving_state is not ServingState.SERVING:
            return True  # it does not serve anyway
        return self.requesters[kind].begin(place, now_us)

    def let_go(self, kind: Kind, place: int, now_us: int) -> Post:
        """The place serves (again): its permit is given up, used or not. Needs nobody's leave."""
        return self._heartbeats(now_us) if self.requesters[kind].release(place, has_returned=True) else []

    def _cancel_outdated(self) -> None:
        """What is wanted under a plan that is no more so is given up, unless it is out."""
        record = self.acceptor.record
        if record.revision == self.compared_record.revision:
            return
        self.compared_record = record
        for kind, requester in self.requesters.items():
            for one in list(requester.requests.values()):
                if self._is_outdated(one, record) and requester.release(one.place, has_returned=False):
                    self.pending_actions.append(Act(Do.STAY, kind, one.place))

    def _expire_orders(self, now_us: int) -> None:
        """A leader that has changed its mind, or is no more, orders no more: what it wanted is given up."""
        requester = self.requesters[Kind.FRONT]
        requester.advance(now_us)
        for one in list(requester.requests.values()):
            over = one.revision != (0, 0) and now_us >= one.wanted_us + rollout_plan.ORDER_EXPIRY_US
            if over and one.state in (RequestState.WANTED, RequestState.ASKING):
                requester.release(one.place, has_returned=False)
                self.pending_actions.append(Act(Do.STAY, Kind.FRONT, one.place))

    @staticmethod
    def _is_outdated(one: PendingRequest, record: RolloutRecord) -> bool:
        if one.revision == (0, 0) or one.revision >= record.revision:
            return False
        return record.phase is not RolloutPhase.MOVING or one.version != rollout_plan.target_version(record)

    # What is seen of boxes.

    def servers_are(self, servers: Mapping[int, Location], now_us: int) -> None:
        """All boxes of the list, by first cell, with loads of now."""
        self.grantors[Kind.BOX].advance(now_us)
        self.grantors[Kind.BOX].update_map(DisruptionMap(servers))

    def see_server(self, cell: int, is_serving: bool, as_of_us: int, now_us: int) -> None:
        """A sight of a box: whether it serves, is warm and is not told to drain, as it was at `as_of_us`."""
        self.grantors[Kind.BOX].observe(cell, is_serving, as_of_us, now_us)
        if is_serving:
            self.requesters[Kind.BOX].on_server_returned(cell, as_of_us)

    # What is read.

    def acts(self) -> list[Act]:
        """What to do, since the last call."""
        found, self.pending_actions = self.pending_actions, []
        return found

    def keep(self) -> Memory | None:
        """What the folder has to hold now; None where that has not changed since the last call."""
        books: list[Grantor | Acceptor] = [*self.grantors.values(), self.acceptor]
        if not any(book.has_unsaved_changes for book in books):
            return None
        for book in books:
            book.has_unsaved_changes = False
        memory = Memory(
            self.acceptor.term,
            self.acceptor.record,
            self.acceptor.is_record_known,
            not any(
                e.state is PermitState.UNKNOWN
                for grantor in self.grantors.values()
                for e in grantor.entries.values()
            ),
            tuple(
                StoredPermit(kind, place, entry.requester, entry.incarnation, entry.request_number)
                for kind, grantor in self.grantors.items()
                for place, entry in sorted(grantor.entries.items())
                if entry.state in (PermitState.PROMISED, PermitState.GRANTED)
            ),
            tuple(
                (kind, place)
                for kind, grantor in self.grantors.items()
                for place, entry in sorted(grantor.entries.items())
                if entry.state is PermitState.WRITTEN_OFF
            ),
        )
        if memory == self.persisted:
            return None
        self.persisted = memory
        return memory

    def record(self) -> RolloutRecord:
        """The plan as this front knows it."""
        return self.acceptor.record

    def status(self, now_us: int) -> dict[str, object]:
        """Figures for an operator."""
        record = self.acceptor.record
        out = {
            kind.name.lower(): {
                "dark": sorted(grantor.unavailable_places(now_us)),
                "held": sorted(grantor.promised_places()),
                "off": sorted(
                    place
                    for place, entry in grantor.entries.items()
                    if entry.state is PermitState.WRITTEN_OFF
                ),
            }
            for kind, grantor in self.grantors.items()
        }
        return {
            "fence": record.fence,
            "plan": record.plan.number,
            "phase": record.phase.name.lower(),
            "reason": record.reason.name.lower(),
            "back": record.back,
            "wanted": rollout_plan.target_version(record),
            "goal": record.goal,
            "leader": record.term % self.settings.front_count if record.term else None,
            "leads": self.election.role is Role.LEADER,
            "sure": self.acceptor.is_record_known,
            "outlived": self.is_superseded,
            "out": out,
            "wants": [
                {"kind": kind.name.lower(), "place": one.place, "stage": one.state.name.lower()}
                for kind, requester in self.requesters.items()
                for one in requester.requests.values()
            ],
        }
