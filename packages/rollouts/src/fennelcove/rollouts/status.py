"""The rollout status for operators. Its keys and values are part of the HTTP interface."""

from __future__ import annotations

from collections.abc import Mapping

from fennelcove.rollouts.leader_election import LeaderElection, Role
from fennelcove.rollouts.messages import PlaceKind
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import Requester
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.rollout_plan import target_version


def plan_status(acceptor: Acceptor, election: LeaderElection, front_count: int) -> dict[str, object]:
    """Return the plan that this front knows, and its leader."""
    record = acceptor.record
    return {
        "fence": record.fence,
        "plan": record.plan.number,
        "phase": record.phase.name.lower(),
        "reason": record.reason.name.lower(),
        "back": record.back,
        "wanted": target_version(record),
        "goal": record.goal,
        "leader": record.term % front_count if record.term else None,
        "leads": election.role is Role.LEADER,
        "sure": acceptor.is_record_known,
    }


def disruption_status(grantors: Mapping[PlaceKind, Grantor], now_us: int) -> dict[str, dict[str, list[int]]]:
    """Return the unavailable (`dark`), promised (`held`) and written-off (`off`) places, by kind."""
    return {
        kind.name.lower(): {
            "dark": sorted(grantor.unavailable_places(now_us)),
            "held": sorted(grantor.promised_places()),
            "off": sorted(grantor.written_off_places()),
        }
        for kind, grantor in grantors.items()
    }


def request_status(requesters: Mapping[PlaceKind, Requester]) -> list[dict[str, object]]:
    """Return this front's own permit requests."""
    return [
        {"kind": kind.name.lower(), "place": request.place, "stage": request.state.name.lower()}
        for kind, requester in requesters.items()
        for request in requester.requests.values()
    ]
