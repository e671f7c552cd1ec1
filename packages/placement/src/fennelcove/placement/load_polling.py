"""Polls for loads that no report contains: probes of servers, and messages to the owners of shards."""

from fennelcove.interface import CellLoad, PeerMessage, TimerName
from fennelcove.placement.records import Loads, SentRates, Server, Session
from fennelcove.placement.state import RESERVE, SHORT_DELIVERY_WINDOW_US, PolicyState

MAX_PROBES = 2  # per session: the better of two replicas is nearly as good as the best of all
MAX_POLLED_CELLS = 8  # per message: a title may be on all servers, and thousands of sessions may be requested
# Consecutive, as the cells of a title are. As in the paper, the load directory is sharded over all fronts.
CELLS_PER_SHARD = 4


def shard_owner(state: PolicyState, cell: int) -> int:
    """Index of the front that collects the loads of a cell."""
    return cell // CELLS_PER_SHARD % state.settings.front_count


def notify_shard_owner(state: PolicyState, cell: int, loads: Loads = (), rates: SentRates = ()) -> None:
    """Send loads or rates of a cell to the front that owns its shard, if messages are allowed."""
    owner, index = shard_owner(state, cell), state.settings.front_index
    if state.settings.peer_price is not None and owner != index:
        state.effects.send_peer_message(owner, PeerMessage(index, loads=loads, sent_rates=rates))


def cell_load(state: PolicyState, server: Server, *, include_sent: bool) -> CellLoad:
    """Last reported load of a server, optionally with the rates assigned since."""
    links = (server.link, server.rack.uplink)
    shares = [
        link.utilization() if include_sent and link.report is not None else link.report for link in links
    ]
    reported_us = min((link.as_of_us for link in links if link.report is not None), default=state.now_us)
    return CellLoad(server.cell, shares[0], shares[1], state.now_us - reported_us)


def poll_before_placement(state: PolicyState, session: Session, replicas: list[Server]) -> bool:
    """Poll once for loads of replicas without a recent report.

    Returns:
        Whether the session waits for the loads.
    """
    if session.awaited is not None:
        return False
    awaited = session.awaited = dict[Server, None]()
    since_us = state.now_us - state.settings.report_delay_us
    stale_servers = [
        server for server in replicas if server.link.report is None or server.link.as_of_us < since_us
    ]
    if state.may_probe and not is_fleet_full(state):
        sampled = state.random_source.sample(stale_servers, min(MAX_PROBES, len(stale_servers)))
        awaited = session.awaited = dict.fromkeys(sampled)
        for server in awaited:
            state.effects.probe(server.address)
    elif state.settings.peer_price is not None:
        remote_servers = [
            server
            for server in stale_servers
            if shard_owner(state, server.cell) != state.settings.front_index
        ]
        exceeds_limit = len(remote_servers) > MAX_POLLED_CELLS
        sampled = (
            state.random_source.sample(remote_servers, MAX_POLLED_CELLS) if exceeds_limit else remote_servers
        )
        awaited = session.awaited = dict.fromkeys(sampled)
        poll_shard_owners(state, [server.cell for server in awaited])
    for server in awaited:
        server.waiting_sessions[session] = state.polling_sessions[session] = None
    if awaited:
        state.effects.set_timer(TimerName.POLL_DEADLINE, state.poll_deadline_us(session) - state.now_us)
    return bool(awaited)


def poll_shard_owners(state: PolicyState, cells: list[int]) -> None:
    """Poll for the loads of cells, with one message to each shard owner."""
    for owner in sorted({shard_owner(state, cell) for cell in cells}):
        owned = tuple(cell for cell in cells if shard_owner(state, cell) == owner)
        state.effects.send_peer_message(owner, PeerMessage(state.settings.front_index, polled_cells=owned))


def is_fleet_full(state: PolicyState) -> bool:
    """Whether most servers with a recent report are full: a poll then costs more than it yields."""
    recent_servers = [
        server
        for server in state.contacted
        if state.now_us - max(server.link.as_of_us, server.link.full_until_us) < SHORT_DELIVERY_WINDOW_US
    ]
    full_count = sum(
        state.residual_link(server) <= 0 or state.uplink_utilization(server.rack) >= 1 - RESERVE
        for server in recent_servers
    )
    return full_count > len(recent_servers) / 2


def schedule_probe(state: PolicyState, server: Server) -> None:
    """Schedule the next probe of a server that has sessions.

    Since probes have a price, their interval is a typical playing time and doubles after each probe that
    raised no rung.
    """
    if state.may_probe and server.sessions and server.next_probe_us is None:
        interval_us = server.probe_interval_us or int(state.draw_uniform() * state.typical_play_us)
        server.next_probe_us = state.now_us + interval_us
        state.effects.set_timer(TimerName.PROBE, interval_us)
