"""Forwards servers' and clients' reports on a server's load to the policy."""

from __future__ import annotations

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session
from fennelcove.core.server_record import ServerRecord
from fennelcove.decisions.servers import load_signals
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.interface import ReportKind, SessionReport
from fennelcove.placement import PlacementPolicy

FULL_DELIVERY = 1.0  # the delivered share of its sessions' rates of a server that keeps up


class ServerReports:
    """Reports load and delivery of servers to the policy; the caller holds the core's lock."""

    def __init__(self, context: CoreContext, policy: PlacementPolicy) -> None:
        self.context = context
        self.policy = policy

    def forward_hints(self, session: Session, hints: ServerHints) -> None:
        """Report the load in a server's hints, through a session that it plays."""
        report = load_signals.load_report(hints)
        if report is None:
            return
        if report.link is not None:
            self.forward(session, ReportKind.LINK, report.link)
        if report.uplink is not None:
            self.forward(session, ReportKind.UPLINK, report.uplink)

    def forward(self, session: Session, kind: ReportKind, level: float) -> None:
        """Report one figure on a session's server."""
        target = session.current_target
        if target is not None and not session.is_orphaned:
            report = SessionReport(target.policy_id, target.server, kind, level)
            self.policy.handle(report, self.context.now_us())

    def evaluate_delivery(self, server: ServerRecord, now_us: int) -> None:
        """Report insufficient delivery once the server's clients agree on it, and its end."""
        session = server.any_session()
        if session is None:
            return
        window_us = self.policy.settings.report_delay_us + self.policy.settings.report_interval_us
        delivered_share = server.delivery.delivered_fraction(now_us - window_us)
        if delivered_share is not None:
            server.is_blamed = True
            self.context.increment("boxes_blamed_by_viewers")
            self.forward(session, ReportKind.DELIVERED, delivered_share)
        elif server.is_blamed:
            server.is_blamed = False
            self.forward(session, ReportKind.DELIVERED, FULL_DELIVERY)
