"""Placement policy: hosts need `PlacementPolicy` only; the other names are for observers and tests."""

from fennelcove.placement.policy import PlacementPolicy
from fennelcove.placement.records import Attempt, Health, Server, Session, SessionEvent, SessionState
from fennelcove.placement.state import FULL_DELIVERY, MARK_US, RAISE_MARGIN, RESERVE, LinkLoad

__all__ = [
    "FULL_DELIVERY",
    "MARK_US",
    "RAISE_MARGIN",
    "RESERVE",
    "Attempt",
    "Health",
    "LinkLoad",
    "PlacementPolicy",
    "Server",
    "Session",
    "SessionEvent",
    "SessionState",
]
