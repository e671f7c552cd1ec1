"""Request rates: tenants over their quota, and surges of requests for one title."""

from collections import deque

from fennelcove.interface import Request
from fennelcove.placement.records import Session
from fennelcove.placement.state import SHORT_DELIVERY_WINDOW_US, PolicyState, record_sent

MAX_TRACKED_TITLES = 4096
SURGE_REQUESTS = 3  # requests for a title within the usual age of a report that make a surge


def quota_share(state: PolicyState, event: Request) -> float:
    """Share of a request's utility that counts; it falls as its tenant exceeds its quota at this front."""
    if (times_us := state.tenant_request_times_us.get(event.tenant)) is None:
        return 1.0
    if not event.is_repeat:
        times_us.append(state.now_us)
    while times_us and times_us[0] < state.now_us - SHORT_DELIVERY_WINDOW_US:
        times_us.popleft()
    quota = (
        state.settings.quotas[event.tenant]
        / state.settings.front_count
        * SHORT_DELIVERY_WINDOW_US
        / 1_000_000
    )
    share_within_quota = min(1.0, (quota + 1) / (len(times_us) + 1))
    return share_within_quota + (1 - share_within_quota) * state.settings.over_quota_utility


def anticipate_title_surge(state: PolicyState, session: Session, rate_kb: float) -> None:
    """In a surge of requests for a title, count the load that other fronts probably add to its replicas.

    Otherwise all fronts together overload the few replicas before a report shows the load.
    """
    times_us = state.title_request_times_us.setdefault(session.title, deque(maxlen=SURGE_REQUESTS))
    times_us.append(state.now_us)
    if len(state.title_request_times_us) > MAX_TRACKED_TITLES:
        del state.title_request_times_us[next(iter(state.title_request_times_us))]
    if len(times_us) == SURGE_REQUESTS and state.now_us - times_us[0] < state.usual_report_age_us:
        replicas = [server for cell in session.cells for server in state.active_replicas(cell)]
        for server in replicas:
            record_sent(server, rate_kb * (state.settings.front_count - 1) / len(replicas), state.now_us)
