"""State of one front's placement policy, and the load and utility estimates that its decisions share."""

from bisect import insort
from collections import deque
from collections.abc import Callable
from math import exp
from random import Random

from fennelcove.interface import CellLoad, Effects, LoadReport, ServerState, ServiceClass, Settings
from fennelcove.placement.records import LinkReport, PolicyRecords, Rack, Server, Session, SessionState

RESERVE = 0.1  # share of each capacity kept free, since actual rates vary (see the design page)
RAISE_MARGIN = 1.5 * RESERVE  # share also kept free when raising rungs, to prevent oscillation
FULL_DELIVERY = 0.98  # a smaller delivered share costs utility; the reports use the same bound
MAX_SAMPLED_LINKS = 256  # gives a standard error of the mean of a sixteenth of the standard deviation
SHORT_DELIVERY_WINDOW_US = (
    10_000_000  # how long a report of short delivery marks a link as full (see the design page)
)


class LinkLoad(LinkReport):
    """Estimated load of a server's link or a rack's uplink: the last report and the rates assigned since."""

    def observe(self, reported_share: float | None, as_of_us: int) -> None:
        """Record a report, which replaces the rates assigned up to its time."""
        if reported_share is None or (self.report is not None and as_of_us < self.as_of_us):
            return  # an older report must not replace a newer one
        self.report, self.as_of_us = reported_share, as_of_us
        while self.unreported and self.unreported[0][0] <= as_of_us:  # summing again would visit thousands
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported_kb = self.unreported_kb if self.unreported else 0.0

    def record_sent(self, rate_kb: float, now_us: int) -> None:
        """Record a rate assigned to the link, or released from it if negative."""
        if len(self.unreported) == self.unreported.maxlen:
            self.unreported_kb -= self.unreported.popleft()[1]
        self.unreported.append((now_us, rate_kb))
        self.unreported_kb += rate_kb

    def utilization(self) -> float:
        """Estimated share of the capacity in use."""
        return max(0.0, (self.report or 0.0) + self.unreported_kb / self.capacity_kb)


def observe_load(server: Server, report: LoadReport | CellLoad, as_of_us: int) -> None:
    """Record a report on a server's link and its rack's uplink."""
    server.rack.known_servers[server] = None
    server.link.observe(report.link, as_of_us)
    server.rack.uplink.observe(report.uplink, as_of_us)


def record_sent(server: Server, rate_kb: float, now_us: int) -> None:
    """Record a rate assigned to a server, on its link and its rack's uplink."""
    server.link.record_sent(rate_kb, now_us)
    server.rack.uplink.record_sent(rate_kb, now_us)


class PolicyState(PolicyRecords):
    """State of the policy, and the estimates of load and utility that are derived from it."""

    def __init__(self, settings: Settings, seed: int, effects: Effects, now_us: int) -> None:
        super().__init__(settings, effects, created_us=now_us, now_us=now_us)
        self.random_source = Random(seed)
        self.draw_uniform = self.random_source.random
        self.usual_report_age_us = settings.report_delay_us + settings.report_interval_us
        uplink_kb = settings.uplink_kb or settings.total_links_kb or 1.0  # not stated: not limiting
        self.racks = [Rack(LinkLoad(uplink_kb)) for _ in range(settings.rack_count)]
        self.tenant_request_times_us = {tenant: deque[int](maxlen=1024) for tenant in settings.quotas}
        self.may_probe = settings.probe_price is not None and not settings.has_unsolicited_reports
        self.typical_play_us = float(
            settings.warm_up_us or SHORT_DELIVERY_WINDOW_US
        )  # must not be 0: ages are divided by it
        # A host may replace these: which slow-start turns are its own, and which servers a session may use.
        self.owns_turn: Callable[[int], bool] = lambda n: n % settings.front_count == settings.front_index
        self.may_use: Callable[[str, str], bool] = lambda session_id, address: True

    def residual_link(self, server: Server) -> float:
        """Free share of a server's link, less the reserve; 0 while short delivery marks it as full."""
        is_marked_full = self.now_us < server.link.full_until_us
        return 0.0 if is_marked_full else 1 - RESERVE - self.link_utilization(server)

    def mean_utilization(self) -> float:
        """Utilization assumed for a link without a report; computed once per event time."""
        if self.cached_mean_at_us != self.now_us:
            recent_servers = list(self.contacted)[-MAX_SAMPLED_LINKS:]
            active = [server.link for server in recent_servers if server.state is ServerState.ACTIVE]
            reported = [min(1.0, link.utilization()) for link in active if link.report is not None]
            # If servers reject, a half is assumed until the first report, as in the paper. If they don't, two
            # fixed samples keep a single report from counting for all servers.
            samples = (reported or [0.5]) if self.settings.rejects_at else [*reported, 0.25, 0.75]
            mean = sum(samples) / len(samples)
            # The lowest of many estimates is usually too low; if servers don't reject, that degrades all of
            # their sessions, so the estimate includes the mean deviation.
            spread = 0.0 if self.settings.rejects_at else sum(abs(x - mean) for x in samples) / len(samples)
            self.cached_mean, self.cached_mean_at_us = mean + spread, self.now_us
        return self.cached_mean

    def aged_utilization(self, link: LinkLoad, own_share: float, others_share: float) -> float:
        """Utilization of a link, which moves from the report to the usual load as the report ages."""
        overdue_us = max(0, self.now_us - link.as_of_us - self.usual_report_age_us)
        weight = exp(-overdue_us / self.typical_play_us)
        return weight * link.utilization() + (1 - weight) * min(1.0, own_share + others_share)

    def link_utilization(self, server: Server) -> float:
        """Estimated utilization of a server's link, at least that by this front's sessions."""
        link, mean = server.link, self.mean_utilization()
        own_share = server.own_kb / link.capacity_kb
        others_share = mean * (1 - 1 / self.settings.front_count)
        return max(
            own_share, mean if link.report is None else self.aged_utilization(link, own_share, others_share)
        )

    def uplink_utilization(self, rack: Rack) -> float:
        """Estimated utilization of a rack's uplink; without a report, that by this front's sessions."""
        own_share = self.rack_own_kb(rack) / rack.uplink.capacity_kb
        # Without uplink reports nothing is assumed, since no report would correct it.
        mean = self.mean_utilization() if self.settings.reports_uplinks else 0.0
        others_share = mean * (1 - 1 / self.settings.front_count)
        return (
            own_share
            if rack.uplink.report is None
            else self.aged_utilization(rack.uplink, own_share, others_share)
        )

    def record_contact(self, server: Server) -> None:
        """Add a server to those contacted, which beyond the sample's size are ordered by last contact."""
        if len(self.contacted) > MAX_SAMPLED_LINKS:
            self.contacted.pop(server, None)
        self.contacted[server] = server.rack.known_servers[server] = None

    def rack_own_kb(self, rack: Rack) -> float:
        """Rate of this front's sessions in a rack; after a change, summed again over the loaded servers."""
        if rack.own_kb is None:
            rack.own_kb = sum(server.own_kb for server in rack.loaded_servers if server.is_in_rack)
        return rack.own_kb

    def others_kb(self, server: Server) -> float:
        """Estimated rate of other fronts' sessions on a server's link."""
        return max(0.0, self.link_utilization(server) * server.link.capacity_kb - server.own_kb)

    def rate_kb(self, session: Session, rung: int) -> float:
        """Rate of a session at a rung, with the scale of its service class."""
        return session.service_class.rate_scale * self.settings.ladder_kb[rung]

    def record_rate_change(self, session: Session, rate_kb: float) -> None:
        """Record a change of a session's rate at its server and the server's rack."""
        server = session.server
        is_loaded = bool(server.sessions)
        server.own_kb = server.own_kb + rate_kb if is_loaded else 0.0  # removes the rounding error of the sum
        server.rack.own_kb = None
        if server.is_loaded and not is_loaded:
            server.rack.loaded_servers.remove(server)
        elif is_loaded and not server.is_loaded:
            insort(server.rack.loaded_servers, server, key=lambda each: each.sequence)
        server.is_loaded = is_loaded
        record_sent(session.server, rate_kb, self.now_us)

    def change_rung(self, session: Session, rung: int) -> None:
        """Record the new rung of a session and the change of its rate."""
        self.record_rate_change(session, self.rate_kb(session, rung) - self.rate_kb(session, session.rung))
        session.rung = rung

    def active_replicas(self, cell: int) -> list[Server]:
        """Active servers of a cell."""
        return [server for server in self.replicas.get(cell, ()) if server.state is ServerState.ACTIVE]

    def playing_sessions(self) -> list[Session]:
        """Sessions that play, in the order of their requests."""
        return [session for session in self.sessions.values() if session.state is SessionState.PLAYING]

    def class_utility(self, service_class: ServiceClass) -> float:
        """Weight of a class in the goal; computed once per event time."""
        if self.class_utilities_at_us != self.now_us:
            self.class_utilities, self.class_utilities_at_us = self.compute_class_utilities(), self.now_us
        return self.class_utilities[service_class]

    def compute_class_utilities(self) -> dict[ServiceClass, float]:
        """Weight of each class in the goal, which counts the worst served class a second time."""
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
        """Estimated remaining playing time of a session."""
        if (expected_us := session.expected_play_us) is None:
            return self.typical_play_us
        played_us = self.now_us - session.started_us
        return max(expected_us - played_us, expected_us / 2)  # at least half of the estimate remains

    def poll_deadline_us(self, session: Session) -> int:
        """Time until which a session waits for polled loads: an eighth of its shorter limit."""
        timeout_us = session.deadline_us - session.requested_us
        return session.requested_us + min(session.service_class.latency_objective_us, timeout_us) // 8
