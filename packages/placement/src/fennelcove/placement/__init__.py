"""Placement policy: hosts need `PlacementPolicy` only; the other names are for observers and tests."""

from fennelcove.placement.policy import PlacementPolicy
from fennelcove.placement.records import Attempt, Health, Server, Session, SessionEvent, SessionState
from fennelcove.placement.state import (
    FULL_DELIVERY,
    RAISE_MARGIN,
    RESERVE,
    SHORT_DELIVERY_WINDOW_US,
    LinkLoad,
)

__all__ = [
    "FULL_DELIVERY",
    "SHORT_DELIVERY_WINDOW_US",
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
