"""The placement policy: `PlacementPolicy` is all that a host needs; the rest serves observers and tests."""

from fennelcove.placement.bitrate_adaptation import LIFT_MARGIN
from fennelcove.placement.observations import WHOLE
from fennelcove.placement.policy import PlacementPolicy
from fennelcove.placement.records import Server, Attempt, Health, Session, SessionEvent, SessionState
from fennelcove.placement.state import HOLD_BACK, MARK_US, LinkLoad
from fennelcove.placement.utilization import utilization_factor

__all__ = ["HOLD_BACK", "LIFT_MARGIN", "MARK_US", "WHOLE", "Attempt", "Health", "LinkLoad", "PlacementPolicy",
           "Server", "Session", "SessionEvent", "SessionState", "utilization_factor"]
