"""The states of a peer front as one front sees it, and the transitions between them."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class PeerState(Enum):
    """The state of another front; each value is the name that status pages and logs show."""

    UNHEARD = "unheard"  # no heartbeat since this front started
    ALIVE = "alive"
    SUSPECT = "suspect"  # some heartbeats are missing
    SILENT = "silent"  # unreachable for longer than any lease it can hold: reported as departed
    LEFT = "left"  # it announced that it shuts down: reported as departed
    BACK = "back"  # rejoining: reachable again, but a report that it departed may still be acted on
    TWIN = "twin"  # duplicate: two processes run under its index, and neither is acknowledged


class MembershipEvent(Enum):
    """An event that may change a peer's state."""

    HEARTBEAT_RECEIVED = auto()
    NEW_INCARNATION = auto()
    OLDER_INCARNATION = auto()  # a heartbeat of an incarnation before the present one
    LEAVE_ANNOUNCED = auto()
    HEARTBEATS_MISSED = auto()
    LEASE_EXPIRED = auto()
    QUARANTINE_ENDED = auto()  # no report of this front is in force, or the duplicate has been quiet for long


DEPARTED_STATES = (PeerState.SILENT, PeerState.LEFT)
ACKNOWLEDGED_STATES = (PeerState.ALIVE, PeerState.SUSPECT)
QUARANTINED_STATES = (PeerState.BACK, PeerState.TWIN)
LIVE_STATES = (*ACKNOWLEDGED_STATES, PeerState.BACK)


def _next_states() -> dict[tuple[PeerState, MembershipEvent], PeerState]:
    state, event = PeerState, MembershipEvent
    return {
        (state.UNHEARD, event.HEARTBEAT_RECEIVED): state.ALIVE,
        (state.UNHEARD, event.NEW_INCARNATION): state.ALIVE,
        (state.UNHEARD, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.UNHEARD, event.LEASE_EXPIRED): state.SILENT,
        # The previous incarnation may still hold a lease, where its process is not the one that ended.
        (state.ALIVE, event.NEW_INCARNATION): state.BACK,
        (state.ALIVE, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.ALIVE, event.OLDER_INCARNATION): state.TWIN,
        (state.ALIVE, event.HEARTBEATS_MISSED): state.SUSPECT,
        (state.ALIVE, event.LEASE_EXPIRED): state.SILENT,
        (state.SUSPECT, event.HEARTBEAT_RECEIVED): state.ALIVE,
        (state.SUSPECT, event.NEW_INCARNATION): state.BACK,
        (state.SUSPECT, event.OLDER_INCARNATION): state.TWIN,
        (state.SUSPECT, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.SUSPECT, event.LEASE_EXPIRED): state.SILENT,
        (state.SILENT, event.HEARTBEAT_RECEIVED): state.BACK,
        (state.SILENT, event.NEW_INCARNATION): state.BACK,
        (state.SILENT, event.OLDER_INCARNATION): state.TWIN,
        (state.SILENT, event.LEAVE_ANNOUNCED): state.LEFT,
        # A heartbeat that was delayed on its way does not undo a leave; only a new incarnation does.
        (state.LEFT, event.NEW_INCARNATION): state.BACK,
        (state.BACK, event.QUARANTINE_ENDED): state.ALIVE,
        (state.BACK, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.BACK, event.OLDER_INCARNATION): state.TWIN,
        (state.BACK, event.LEASE_EXPIRED): state.SILENT,
        (state.TWIN, event.QUARANTINE_ENDED): state.BACK,
        (state.TWIN, event.LEASE_EXPIRED): state.SILENT,
    }


PEER_TRANSITIONS: TransitionTable[PeerState, MembershipEvent, None] = TransitionTable(
    {pair: Transition(state) for pair, state in _next_states().items()}, unlisted=Unlisted.IGNORE
)
