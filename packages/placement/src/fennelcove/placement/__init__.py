"""The placement policy: `PlacementPolicy` is all that a host needs; the rest serves observers and tests."""

from fennelcove.placement.policy import PlacementPolicy
from fennelcove.placement.records import Attempt, Health, Server, Session, SessionEvent, SessionState
from fennelcove.placement.state import HOLD_BACK, LIFT_MARGIN, MARK_US, WHOLE, LinkLoad

__all__ = ["HOLD_BACK", "LIFT_MARGIN", "MARK_US", "WHOLE", "Attempt", "Health", "LinkLoad",
           "PlacementPolicy", "Server", "Session", "SessionEvent", "SessionState"]
