"""What one front knows: servers and subscriptions, and from these the room left and what a play is worth."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp
from random import Random

from fennelcove.interface import CellLoad, Effects, LoadReport, ServerState, ServiceClass, Settings
from fennelcove.placement.records import Rack, Server, Session, SessionEvent

HOLD_BACK = 0.1  # of each size, against the spread of true rates: the design page's pessimism
MARK_US = 10_000_000  # a short-delivery note marks its link full for so long: the design page


@dataclass(slots=True, eq=False)
class LinkLoad:
    """A server's link or a rack's uplink, in shares of its size; what was sent after the report is added."""

    size_kb: float
    asked: float | None = None
    as_of_us: int = 0
    full_until_us: int = 0
    unreported: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=4096))  # it may go unreported
    unreported_kb: float = 0.0

    def observe(self, asked: float | None, as_of_us: int) -> None:
        if asked is None or (self.asked is not None and as_of_us < self.as_of_us):
            return  # an older report must not undo a newer one
        self.asked, self.as_of_us = asked, as_of_us
        # Summed anew, each report would cost all that was sent since the last: thousands on a busy link.
        while self.unreported and self.unreported[0][0] <= as_of_us:
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported_kb = self.unreported_kb if self.unreported else 0.0

    def record_sent(self, kb: float, now_us: int) -> None:
        if len(self.unreported) == self.unreported.maxlen:
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported.append((now_us, kb))
        self.unreported_kb += kb

    def utilization(self) -> float:
        return max(0.0, (self.asked or 0.0) + self.unreported_kb / self.size_kb)


def observe_load(server: Server, report: LoadReport | CellLoad, as_of_us: int) -> None:
    server.link.observe(report.link, as_of_us)
    server.rack.uplink.observe(report.uplink, as_of_us)


def record_sent(server: Server, kb: float, now_us: int) -> None:
    server.link.record_sent(kb, now_us)
    server.rack.uplink.record_sent(kb, now_us)


class PolicyState:
    def __init__(self, settings: Settings, seed: int, effects: Effects, now_us: int) -> None:
        self.settings, self.effects = settings, effects
        self.random_source, self.created_us, self.now_us = Random(seed), now_us, now_us
        self.rng, self.usual_report_age_us = self.random_source.random, settings.seen_after_us + settings.reports_every_us
        self.servers, self.contacted = dict[str, Server](), dict[Server, None]()
        # An uplink of no stated size must not bind: all links together never ask more of it.
        uplink_kb = settings.uplink_kb or settings.all_links_kb or 1.0
        self.racks = [Rack(LinkLoad(uplink_kb)) for _ in range(settings.racks)]
        self.replicas: dict[int, list[Server]] = {
            }  # a request must cost what its holders cost, not the fleet
        self.taken, self.further = deque[int](), deque[int]()  # requests and further joins, for the budget
        self.sessions, self.seats = dict[str, Session](), dict[tuple[int, ServiceClass], int]()
        self.tenant_request_times_us = {tenant: deque[int](maxlen=1024) for tenant in settings.quotas}
        self.title_request_times_us: dict[int, deque[int]] = {}  # when a title was asked for lately
        self.waiting: dict[Session, None] = {}  # for news of their holders
        self.may_probe = settings.probe_price is not None and not settings.reports_unasked
        self.failed_list_polls, self.kb_per_stream = 0, 0.0
        # Settings without a warm-up must not make the first guess of a play nothing: ages are divided by it.
        self.typical_watch_us = float(settings.ramp_us or MARK_US)
        # Whose turn at a cold server it is, by its number; a host may know better.
        self.mine: Callable[[int], bool] = lambda turn: turn % settings.fronts == settings.index
        self.free: Callable[[str, str], bool] = lambda id, address: True  # whether it may join there
        self.list_is_fresh, self.mean_offered_utility, self.cached_mean, self.cached_mean_at_us = False, 0.0, 0.0, -1
        self.class_utilities, self.class_utilities_at_us = dict[ServiceClass, float](), -1

    def apply_event(self, session: Session, event: SessionEvent) -> None:
        raise NotImplementedError  # what has been waited for moves its subscription on; the front knows how

    def residual_link(self, server: Server) -> float:
        return 0.0 if self.now_us < server.link.full_until_us else 1 - HOLD_BACK - self.link_asked(server)

    def mean_utilization(self) -> float:
        if self.cached_mean_at_us != self.now_us:
            links = [s.link for s in self.contacted if s.standing is ServerState.ACTIVE
                     and s.link.asked is not None]
            heard = [min(1.0, link.utilization()) for link in links]
            # Nothing heard: the paper's OPT, the middle. Else no one report may speak for all servers.
            asked = heard or [0.5] if self.settings.guard else [*heard, 0.25, 0.75]
            self.cached_mean, self.cached_mean_at_us = sum(asked) / len(asked), self.now_us
            if not self.settings.guard:
                # The emptiest of many guesses is mostly too low: unless servers turn away, all there pay.
                self.cached_mean += sum(abs(a - self.cached_mean) for a in asked) / len(asked)
        return self.cached_mean

    def aged_utilization(self, pipe: LinkLoad, own: float, others: float) -> float:
        """A report that stops says ever less of the other fronts: they are taken to ask the usual."""
        weight = exp(-max(0, self.now_us - pipe.as_of_us - self.usual_report_age_us) / self.typical_watch_us)
        return weight * pipe.utilization() + (1 - weight) * min(1.0, own + others)

    def link_asked(self, server: Server) -> float:
        link, own, mean = server.link, server.own_kb / server.link.size_kb, self.mean_utilization()
        heard = link.asked is not None
        return max(own, self.aged_utilization(link, own, mean * (1 - 1 / self.settings.fronts)) if heard else mean)

    def uplink_utilization(self, rack: Rack) -> float:
        own = sum(server.own_kb for server in rack.servers) / rack.uplink.size_kb
        # Guesses at links not heard would fill uplinks that have room, and for good where none are told.
        others = self.mean_utilization() * (1 - 1 / self.settings.fronts) if self.settings.uplinks_told else 0.0
        return own if rack.uplink.asked is None else self.aged_utilization(rack.uplink, own, others)

    def others_kb(self, server: Server) -> float:
        return max(0.0, self.link_asked(server) * server.link.size_kb - server.own_kb)

    def rate_kb(self, session: Session, rung: int) -> float:
        return session.service_class.scale * self.settings.ladder_kb[rung]

    def record_rate_change(self, session: Session, kb: float) -> None:
        session.server.own_kb += kb
        record_sent(session.server, kb, self.now_us)

    def active(self, cell: int) -> list[Server]:
        return [s for s in self.replicas.get(cell, ()) if s.standing is ServerState.ACTIVE]

    def class_utility(self, service_class: ServiceClass) -> float:
        """A room type's benefit as the goal counts it: what the worst served one earns counts once more."""
        if self.class_utilities_at_us != self.now_us:
            self.class_utilities, self.class_utilities_at_us = {r: r.priority_weight
                                              for r in self.settings.service_classes.values()}, self.now_us
            offered, earned = dict.fromkeys(self.class_utilities, 0.0), dict.fromkeys(self.class_utilities, 0.0)
            for session in self.sessions.values() if self.settings.worst_class_weight else ():
                offered[session.service_class] += session.service_class.priority_weight * self.settings.ladder_worth[session.top]
                earned[session.service_class] += session.service_class.priority_weight * self.settings.ladder_worth[session.rung]
            if held := [service_class for service_class in self.class_utilities if offered[service_class]]:
                worst = min(held, key=lambda service_class: earned[service_class] / offered[service_class])
                part = offered[worst] / sum(offered.values())
                self.class_utilities[worst] *= 1 + self.settings.worst_class_weight / part
        return self.class_utilities[service_class]

    def remaining_play_us(self, session: Session) -> float:
        """How long it is still taken to play: a guess that has run out was rough, by some part of itself."""
        if session.watch_guess_us is None:
            return self.typical_watch_us
        return max(session.watch_guess_us - (self.now_us - session.started_us), session.watch_guess_us / 2)

    def poll_deadline_us(self, session: Session) -> int:
        timeout_us = session.timeout_us - session.taken_us
        return session.taken_us + min(session.service_class.latency_objective_us, timeout_us) // 8
