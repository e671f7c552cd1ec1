"""The states of a peer front as one front sees it, and the transitions between them."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class PeerState(Enum):
    """The state of another front; each value is the name that status pages and logs show."""

    UNHEARD = "unheard"  # no heartbeat since this front started
    ALIVE = "alive"
    SUSPECT = "suspect"  # some heartbeats are missing
    UNREACHABLE = "silent"  # silent for longer than any lease that it can hold; reported as departed
    LEFT = "left"  # it has announced its shutdown; reported as departed
    REJOINING = "back"  # reachable again, but a report that it departed may still be valid
    DUPLICATE = "twin"  # two processes run under its index, and neither is acknowledged


class MembershipEvent(Enum):
    """An event that may change a peer's state."""

    HEARTBEAT_RECEIVED = auto()
    NEW_INCARNATION = auto()
    OLDER_INCARNATION = auto()  # a heartbeat of an incarnation before the current one
    LEAVE_ANNOUNCED = auto()
    HEARTBEATS_MISSED = auto()
    LEASE_EXPIRED = auto()
    QUARANTINE_ENDED = auto()  # this front's report has expired, or the duplicate has stopped


DEPARTED_STATES = (PeerState.UNREACHABLE, PeerState.LEFT)
ACKNOWLEDGED_STATES = (PeerState.ALIVE, PeerState.SUSPECT)
QUARANTINED_STATES = (PeerState.REJOINING, PeerState.DUPLICATE)
LIVE_STATES = (*ACKNOWLEDGED_STATES, PeerState.REJOINING)


def _next_states() -> dict[tuple[PeerState, MembershipEvent], PeerState]:
    state, event = PeerState, MembershipEvent
    return {
        (state.UNHEARD, event.HEARTBEAT_RECEIVED): state.ALIVE,
        (state.UNHEARD, event.NEW_INCARNATION): state.ALIVE,
        (state.UNHEARD, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.UNHEARD, event.LEASE_EXPIRED): state.UNREACHABLE,
        # The previous incarnation may still hold a lease, if its process has not ended.
        (state.ALIVE, event.NEW_INCARNATION): state.REJOINING,
        (state.ALIVE, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.ALIVE, event.OLDER_INCARNATION): state.DUPLICATE,
        (state.ALIVE, event.HEARTBEATS_MISSED): state.SUSPECT,
        (state.ALIVE, event.LEASE_EXPIRED): state.UNREACHABLE,
        (state.SUSPECT, event.HEARTBEAT_RECEIVED): state.ALIVE,
        (state.SUSPECT, event.NEW_INCARNATION): state.REJOINING,
        (state.SUSPECT, event.OLDER_INCARNATION): state.DUPLICATE,
        (state.SUSPECT, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.SUSPECT, event.LEASE_EXPIRED): state.UNREACHABLE,
        (state.UNREACHABLE, event.HEARTBEAT_RECEIVED): state.REJOINING,
        (state.UNREACHABLE, event.NEW_INCARNATION): state.REJOINING,
        (state.UNREACHABLE, event.OLDER_INCARNATION): state.DUPLICATE,
        (state.UNREACHABLE, event.LEAVE_ANNOUNCED): state.LEFT,
        # A delayed heartbeat does not cancel a departure; only a new incarnation does.
        (state.LEFT, event.NEW_INCARNATION): state.REJOINING,
        (state.REJOINING, event.QUARANTINE_ENDED): state.ALIVE,
        (state.REJOINING, event.LEAVE_ANNOUNCED): state.LEFT,
        (state.REJOINING, event.OLDER_INCARNATION): state.DUPLICATE,
        (state.REJOINING, event.LEASE_EXPIRED): state.UNREACHABLE,
        (state.DUPLICATE, event.QUARANTINE_ENDED): state.REJOINING,
        (state.DUPLICATE, event.LEASE_EXPIRED): state.UNREACHABLE,
    }


PEER_TRANSITIONS: TransitionTable[PeerState, MembershipEvent, None] = TransitionTable(
    {pair: Transition(state) for pair, state in _next_states().items()}, unlisted=Unlisted.IGNORE
)
