"""Crowds: what a tenant asks past its quota, and a title that all fronts are asked for at once."""

from collections import deque

from fennelcove.interface import Request
from fennelcove.placement.records import Session
from fennelcove.placement.state import MARK_US, PolicyState, record_sent

MAX_TRACKED_TITLES, SURGE_REQUESTS = 4096, 3


def quota_share(state: PolicyState, event: Request) -> float:
    """What a request counts, as more of its tenant's come here than this front's part of the quota."""
    if (times := state.tenant_request_times_us.get(event.tenant)) is None:
        return 1.0
    if not event.returned:
        times.append(state.now_us)
    while times and times[0] < state.now_us - MARK_US:
        times.popleft()
    within = state.settings.quotas[event.tenant] / state.settings.fronts * MARK_US / 1_000_000
    part = min(1.0, (within + 1) / (len(times) + 1))
    return part + (1 - part) * state.settings.over_quota_worth


def anticipate_title_surge(state: PolicyState, session: Session, kb: float) -> None:
    """One title asked for here thrice before any report could tell: the other fronts are asked for it as
    often, and all together filled its few holders, each front one or two, before one of them heard."""
    earlier = state.title_request_times_us.setdefault(session.title, deque(maxlen=SURGE_REQUESTS))
    earlier.append(state.now_us)
    if len(state.title_request_times_us) > MAX_TRACKED_TITLES:
        del state.title_request_times_us[next(iter(state.title_request_times_us))]
    if len(earlier) == SURGE_REQUESTS and state.now_us - earlier[0] < state.usual_report_age_us:
        replicas = [server for cell in session.cells for server in state.active(cell)]
        for server in replicas:
            record_sent(server, kb * (state.settings.fronts - 1) / len(replicas), state.now_us)
