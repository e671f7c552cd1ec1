"""The draw: the highest rung that leaves a holder feasible, and one of the holders feasible there."""

from math import inf

from fennelcove.placement.records import Server, Session
from fennelcove.placement.state import HOLD_BACK, PolicyState
from fennelcove.placement.utilization import factors

THRESHOLD = 1.0  # r of the design page


def choose_server_and_rung(state: PolicyState, session: Session, top: int,
                           replicas: list[Server]) -> tuple[Server, int] | None:
    home = [s for s in replicas if s.zone == state.settings.zone]
    near, far = highest_feasible_rung(state, session, top, home), highest_feasible_rung(state, session, top,
        replicas)
    if near is not None and far is not None:
        # Crossing zones is priced by the second, so it must earn more than its price.
        gain = state.settings.ladder_worth[far[1]] - state.settings.ladder_worth[near[1]]
        return far if gain * session.service_class.priority_weight > state.settings.cross_zone_price * state.mean_offered_utility else near
    return near or far


def highest_feasible_rung(state: PolicyState, session: Session, top: int,
                          replicas: list[Server]) -> tuple[Server, int] | None:
    for rung in range(top, session.service_class.floor - 1, -1):
        spare = HOLD_BACK if rung == session.service_class.floor else 0.0
        scored = [(s, *factors(s, state.rate_kb(session, rung), spare)) for s in replicas]
        if feasible := [row for row in scored if row[1] < inf and row[2] < inf]:
            return draw_server(state, feasible), rung
    return None


def draw_server(state: PolicyState, feasible: list[tuple[Server, float, float]]) -> Server:
    if sum(row[2] for row in feasible) > THRESHOLD * sum(row[1] for row in feasible):
        return state.random_source.choice(feasible)[0]
    return state.random_source.choices(feasible, [1 / row[1] for row in feasible])[0][0]
