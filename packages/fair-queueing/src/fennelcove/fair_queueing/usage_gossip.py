"""Gossip between fronts about the slot time that each tenant used at each server.

A front reports totals that only grow within its incarnation. The receiver stores the greatest value of each
total, so the merged result does not depend on the order of reports or on duplicates, and the next report
makes up for a lost one. The first total received of an incarnation is a baseline and adds no usage; growth is
capped at what all slots of the server could have granted in that time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

WINDOW_US = 250_000  # the time between two reports
REPEAT_WINDOWS = 4  # an entry is sent this many times after it grew, in case messages are lost
FRESHNESS_US = 2_000_000  # a front that reported within this time counts as present
MAX_ROWS = 60  # in one report, in descending order of recent usage
MAX_ENTRIES = 512  # totals stored for this front, and for each other front
OTHER_TENANTS = 0  # the tenant number for all tenants whose own entry was evicted

UsageKey = tuple[int, int]  # server, tenant


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Slot time of one tenant at one server since the sender's incarnation began, in microseconds."""

    server: int
    tenant: int
    used_us: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What one front sends in a window; its rows may arrive in several messages."""

    incarnation: int
    sequence: int
    rows: tuple[UsageRow, ...]


@dataclass(slots=True)
class LocalUsage:
    """A total of this front, in microseconds."""

    used_us: int = 0
    reported_us: int = 0  # the part of `used_us` that was sent
    recent_us: int = 0  # recent usage, by which entries are ranked for a report
    windows_left: int = 0  # in how many more windows it is sent


@dataclass(slots=True)
class RemoteUsage:
    """A total of another front, in microseconds."""

    max_used_us: int  # the greatest total received
    baseline_us: int  # the total when it was first received
    baseline_at_us: int
    applied_us: int = 0  # the growth since the baseline that was passed on to the scheduler

    def growth_us(self, slots: int, now_us: int) -> int:
        """Return the growth since the baseline, limited to what `slots` slots could have granted."""
        possible_us = slots * (now_us - self.baseline_at_us)
        return min(self.max_used_us - self.baseline_us, possible_us)


@dataclass(slots=True)
class RemoteFront:
    """Totals of another front, of its latest incarnation only."""

    incarnation: int
    last_report_us: int = 0
    usage: OrderedDict[UsageKey, RemoteUsage] = field(default_factory=OrderedDict)

    def merge(self, row: UsageRow, slots: int, now_us: int) -> int:
        """Merge a received total; return the growth that was not applied yet, in microseconds."""
        key = row.server, row.tenant
        known = self.usage.get(key)
        if known is None:
            self.usage[key] = RemoteUsage(row.used_us, row.used_us, now_us)
            if len(self.usage) > MAX_ENTRIES:
                self.usage.popitem(last=False)
            return 0
        known.max_used_us = max(known.max_used_us, row.used_us)
        self.usage.move_to_end(key)
        growth_us = known.growth_us(slots, now_us)
        new_us = max(0, growth_us - known.applied_us)
        known.applied_us += new_us
        return new_us


@dataclass(slots=True)
class UsageGossip:
    """Totals of one front and those received from others. The caller passes in times and holds the lock."""

    incarnation: int = 0
    sequence: int = 0
    local_usage: OrderedDict[UsageKey, LocalUsage] = field(default_factory=OrderedDict)
    remote_fronts: dict[int, RemoteFront] = field(default_factory=dict)

    def record_usage(self, server: int, tenant: int, used_us: int) -> None:
        """Record slot time that this front granted to a tenant at a server."""
        key = server, tenant
        if key not in self.local_usage and len(self.local_usage) >= MAX_ENTRIES:
            self._evict_oldest()
        total = self.local_usage.setdefault(key, LocalUsage())
        self.local_usage.move_to_end(key)
        total.used_us += used_us
        total.recent_us += used_us
        total.windows_left = REPEAT_WINDOWS

    def next_report(self) -> UsageReport | None:
        """Return the report of this window, or None if there is nothing to send.

        Entries come in descending order of recent usage; those that do not fit go into the next report.
        """
        due = [(key, total) for key, total in self.local_usage.items() if total.windows_left > 0]
        if not due:
            return None
        due.sort(key=lambda item: -item[1].recent_us)
        self.sequence += 1
        sent = due[:MAX_ROWS]
        for _, total in sent:
            total.windows_left -= 1
            total.reported_us = total.used_us
            total.recent_us = total.recent_us // 2 if total.windows_left else 0
        rows = tuple(UsageRow(server, tenant, total.used_us) for (server, tenant), total in sent)
        return UsageReport(self.incarnation, self.sequence, rows)

    def on_report(self, sender: int, report: UsageReport, slots: int, now_us: int) -> list[UsageRow]:
        """Merge a report of another front.

        Args:
            sender: the number of the other front.
            report: what it sent.
            slots: the greatest number of slots that one server can have in use.
            now_us: the time of receipt.

        Returns:
            How much the usage of each tenant grew at each server since the report before; empty for a report
            of an earlier incarnation.
        """
        front = self.remote_fronts.get(sender)
        if front is None or report.incarnation > front.incarnation:
            front = self.remote_fronts[sender] = RemoteFront(report.incarnation)
        if report.incarnation < front.incarnation:
            return []
        front.last_report_us = max(front.last_report_us, now_us)
        growth = []
        for row in report.rows:
            new_us = front.merge(row, slots, now_us)
            if new_us > 0:
                growth.append(UsageRow(row.server, row.tenant, new_us))
        return growth

    def reporting_front_count(self, now_us: int) -> int:
        """Count the other fronts that reported recently."""
        return sum(
            1 for front in self.remote_fronts.values() if now_us - front.last_report_us <= FRESHNESS_US
        )

    def _evict_oldest(self) -> None:
        """Merge the least recently used entry into the entry for other tenants of its server.

        Only usage that was not reported yet is transferred, as receivers have already applied the rest.
        """
        (server, tenant), evicted = self.local_usage.popitem(last=False)
        if tenant == OTHER_TENANTS:
            return
        shared_key = server, OTHER_TENANTS
        if shared_key not in self.local_usage:
            self.local_usage.popitem(last=False)  # makes space for the shared entry
        shared = self.local_usage.setdefault(shared_key, LocalUsage())
        shared.used_us += evicted.used_us - evicted.reported_us
        shared.recent_us += evicted.recent_us
        shared.windows_left = max(shared.windows_left, evicted.windows_left)
        self.local_usage.move_to_end(shared_key)
