"""State of one front's placement policy, and the load and utility estimates that its decisions share."""

from bisect import insort
from collections import deque
from collections.abc import Callable
from math import exp
from random import Random

from fennelcove.interface import CellLoad, Effects, LoadReport, ServerState, ServiceClass, Settings
from fennelcove.placement.records import LinkReport, PolicyRecords, Rack, Server, Session, SessionState

RESERVE = 0.1  # share of each capacity kept in reserve, as true rates spread (design page)
RAISE_MARGIN = 1.5 * RESERVE  # stays free beyond the reserve when raising, or rungs would flutter
FULL_DELIVERY = 0.98  # delivery under this share costs utility: the bound of the reports themselves
MAX_SAMPLED_LINKS = 256  # the mean of so many is within a sixteenth of their spread
MARK_US = 10_000_000  # how long a report of short delivery marks its link as full (design page)


class LinkLoad(LinkReport):
    """Load of a server's link or a rack's uplink in shares of its size: the last report and later sends."""

    def observe(self, reported_share: float | None, as_of_us: int) -> None:
        if reported_share is None or (self.report is not None and as_of_us < self.as_of_us):
            return  # an older report must not undo a newer one
        self.report, self.as_of_us = reported_share, as_of_us
        while self.unreported and self.unreported[0][0] <= as_of_us:  # a new sum would cost thousands
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported_kb = self.unreported_kb if self.unreported else 0.0

    def record_sent(self, rate_kb: float, now_us: int) -> None:
        if len(self.unreported) == self.unreported.maxlen:
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported.append((now_us, rate_kb))
        self.unreported_kb += rate_kb

    def utilization(self) -> float:
        return max(0.0, (self.report or 0.0) + self.unreported_kb / self.capacity_kb)


def observe_load(server: Server, report: LoadReport | CellLoad, as_of_us: int) -> None:
    server.rack.known_servers[server] = None
    server.link.observe(report.link, as_of_us)
    server.rack.uplink.observe(report.uplink, as_of_us)


def record_sent(server: Server, rate_kb: float, now_us: int) -> None:
    server.link.record_sent(rate_kb, now_us)
    server.rack.uplink.record_sent(rate_kb, now_us)


class PolicyState(PolicyRecords):
    def __init__(self, settings: Settings, seed: int, effects: Effects, now_us: int) -> None:
        super().__init__(settings, effects, created_us=now_us, now_us=now_us)
        self.random_source = Random(seed)
        self.draw_uniform = self.random_source.random
        self.usual_report_age_us = settings.report_delay_us + settings.report_interval_us
        uplink_kb = settings.uplink_kb or settings.total_links_kb or 1.0  # where none is stated, none binds
        self.racks = [Rack(LinkLoad(uplink_kb)) for _ in range(settings.rack_count)]
        self.tenant_request_times_us = {tenant: deque[int](maxlen=1024) for tenant in settings.quotas}
        self.may_probe = settings.probe_price is not None and not settings.has_unsolicited_reports
        self.typical_play_us = float(settings.warm_up_us or MARK_US)  # not 0: ages are divided by it
        # Hooks that a host may replace: whose slow-start turn it is, and whether a session may use a server.
        self.owns_turn: Callable[[int], bool] = lambda n: n % settings.front_count == settings.front_index
        self.may_use: Callable[[str, str], bool] = lambda session_id, address: True

    def residual_link(self, server: Server) -> float:
        is_marked_full = self.now_us < server.link.full_until_us
        return 0.0 if is_marked_full else 1 - RESERVE - self.link_utilization(server)

    def mean_utilization(self) -> float:
        """What a link without a report is taken to carry; computed once for all decisions of an instant."""
        if self.cached_mean_at_us != self.now_us:
            recent_servers = list(self.contacted)[-MAX_SAMPLED_LINKS:]
            active = [server.link for server in recent_servers if server.state is ServerState.ACTIVE]
            reported = [min(1.0, link.utilization()) for link in active if link.report is not None]
            # Nothing reported: the middle, as in the paper. Else no single report may count for all servers.
            samples = (reported or [0.5]) if self.settings.rejects_at else [*reported, 0.25, 0.75]
            mean = sum(samples) / len(samples)
            # The emptiest of many guesses is mostly too low, and unless servers reject, all sessions pay.
            spread = 0.0 if self.settings.rejects_at else sum(abs(x - mean) for x in samples) / len(samples)
            self.cached_mean, self.cached_mean_at_us = mean + spread, self.now_us
        return self.cached_mean

    def aged_utilization(self, link: LinkLoad, own_share: float, others_share: float) -> float:
        """Utilization of a link, moved from its report to the usual load as the report ages."""
        overdue_us = max(0, self.now_us - link.as_of_us - self.usual_report_age_us)
        weight = exp(-overdue_us / self.typical_play_us)
        return weight * link.utilization() + (1 - weight) * min(1.0, own_share + others_share)

    def link_utilization(self, server: Server) -> float:
        link, mean = server.link, self.mean_utilization()
        own_share = server.own_kb / link.capacity_kb
        others_share = mean * (1 - 1 / self.settings.front_count)
        return max(
            own_share, mean if link.report is None else self.aged_utilization(link, own_share, others_share)
        )

    def uplink_utilization(self, rack: Rack) -> float:
        own_share = self.rack_own_kb(rack) / rack.uplink.capacity_kb
        mean = self.mean_utilization() if self.settings.reports_uplinks else 0.0  # guesses would stay
        others_share = mean * (1 - 1 / self.settings.front_count)
        return (
            own_share
            if rack.uplink.report is None
            else self.aged_utilization(rack.uplink, own_share, others_share)
        )

    def record_contact(self, server: Server) -> None:
        """Count a server among those contacted; past the sample's size in the order of the last contacts."""
        if len(self.contacted) > MAX_SAMPLED_LINKS:
            self.contacted.pop(server, None)
        self.contacted[server] = server.rack.known_servers[server] = None

    def rack_own_kb(self, rack: Rack) -> float:
        """Rate of this front's sessions in a rack, summed only after a change and over its loaded servers."""
        if rack.own_kb is None:
            rack.own_kb = sum(server.own_kb for server in rack.loaded_servers if server.is_in_rack)
        return rack.own_kb

    def others_kb(self, server: Server) -> float:
        return max(0.0, self.link_utilization(server) * server.link.capacity_kb - server.own_kb)

    def rate_kb(self, session: Session, rung: int) -> float:
        return session.service_class.rate_scale * self.settings.ladder_kb[rung]

    def record_rate_change(self, session: Session, rate_kb: float) -> None:
        server = session.server
        is_loaded = bool(server.sessions)
        server.own_kb = server.own_kb + rate_kb if is_loaded else 0.0  # sums of many rates leave a remainder
        server.rack.own_kb = None
        if server.is_loaded and not is_loaded:
            server.rack.loaded_servers.remove(server)
        elif is_loaded and not server.is_loaded:
            insort(server.rack.loaded_servers, server, key=lambda each: each.sequence)
        server.is_loaded = is_loaded
        record_sent(session.server, rate_kb, self.now_us)

    def change_rung(self, session: Session, rung: int) -> None:
        self.record_rate_change(session, self.rate_kb(session, rung) - self.rate_kb(session, session.rung))
        session.rung = rung

    def active_replicas(self, cell: int) -> list[Server]:
        return [server for server in self.replicas.get(cell, ()) if server.state is ServerState.ACTIVE]

    def playing_sessions(self) -> list[Session]:
        return [session for session in self.sessions.values() if session.state is SessionState.PLAYING]

    def class_utility(self, service_class: ServiceClass) -> float:
        if self.class_utilities_at_us != self.now_us:
            self.class_utilities, self.class_utilities_at_us = self.compute_class_utilities(), self.now_us
        return self.class_utilities[service_class]

    def compute_class_utilities(self) -> dict[ServiceClass, float]:
        """Weight of each class in the goal, which counts the worst served class once more."""
        weights = {item: item.priority_weight for item in self.settings.service_classes.values()}
        offered, earned = dict.fromkeys(weights, 0.0), dict.fromkeys(weights, 0.0)
        for session in self.sessions.values() if self.settings.worst_class_weight else ():
            weight = session.service_class.priority_weight
            offered[session.service_class] += weight * self.settings.rung_utilities[session.top_rung]
            earned[session.service_class] += weight * self.settings.rung_utilities[session.rung]
        if offered_classes := [item for item in weights if offered[item]]:
            worst = min(offered_classes, key=lambda item: earned[item] / offered[item])
            weights[worst] *= 1 + self.settings.worst_class_weight / (offered[worst] / sum(offered.values()))
        return weights

    def remaining_play_us(self, session: Session) -> float:
        if (expected_us := session.expected_play_us) is None:
            return self.typical_play_us
        played_us = self.now_us - session.started_us
        return max(expected_us - played_us, expected_us / 2)  # a guess that has run out leaves half of it

    def poll_deadline_us(self, session: Session) -> int:
        timeout_us = session.deadline_us - session.requested_us  # it waits an eighth of the shorter limit
        return session.requested_us + min(session.service_class.latency_objective_us, timeout_us) // 8
