"""Crowds: what a tenant asks past its quota, and a title that all fronts are asked for at once."""

from collections import deque

from fennelcove.interface import Request
from fennelcove.placement.records import Session
from fennelcove.placement.state import MARK_US, PolicyState, record_sent

MOST_TITLES, CROWD = 4096, 3


def inside(known: PolicyState, event: Request) -> float:
    """What a request counts, as more of its tenant's come here than this front's part of the quota."""
    if (times := known.asked_of.get(event.tenant)) is None:
        return 1.0
    if not event.returned:
        times.append(known.now_us)
    while times and times[0] < known.now_us - MARK_US:
        times.popleft()
    within = known.settings.quotas[event.tenant] / known.settings.fronts * MARK_US / 1_000_000
    part = min(1.0, (within + 1) / (len(times) + 1))
    return part + (1 - part) * known.settings.over_quota_worth


def expect_crowd(known: PolicyState, session: Session, kb: float) -> None:
    """One title asked for here thrice before any report could tell: the other fronts are asked for it as
    often, and all together filled its few holders, each front one or two, before one of them heard."""
    earlier = known.asked_last.setdefault(session.title, deque(maxlen=CROWD))
    earlier.append(known.now_us)
    if len(known.asked_last) > MOST_TITLES:
        del known.asked_last[next(iter(known.asked_last))]
    if len(earlier) == CROWD and known.now_us - earlier[0] < known.normal_us:
        replicas = [server for cell in session.cells for server in known.active(cell)]
        for server in replicas:
            record_sent(server, kb * (known.settings.fronts - 1) / len(replicas), known.now_us)
