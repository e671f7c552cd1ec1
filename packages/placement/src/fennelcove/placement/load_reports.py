"""Loads reported by playing sessions, probes and other fronts: adapts rungs, and places waiting sessions."""

from fennelcove.interface import PeerMessage, ProbeCompleted, ReportKind, SessionReport
from fennelcove.placement.bitrate_adaptation import adapt_rungs, relieve_link, relieve_uplink, repays_switch
from fennelcove.placement.load_polling import MAX_POLLED_CELLS, cell_load, notify_shard_owner, schedule_probe
from fennelcove.placement.records import Rack, Server, Session, SessionEvent, SessionState
from fennelcove.placement.session_transitions import apply_event
from fennelcove.placement.state import (
    FULL_DELIVERY,
    RESERVE,
    SHORT_DELIVERY_WINDOW_US,
    PolicyState,
    observe_load,
    record_sent,
)


def on_session_report(state: PolicyState, session: Session, event: SessionReport) -> None:
    """Record a measurement of a playing session, and adapt rungs to it."""
    if session.state is not SessionState.PLAYING:
        return
    server, kind, other_fronts = session.server, event.kind, state.settings.front_count - 1
    seen_us = state.now_us - state.settings.report_delay_us
    # The first report of a session does not include the session itself.
    reported_us = seen_us if session.has_report else session.attempts[-1].sent_us - 1
    if kind is ReportKind.RUNG:
        state.change_rung(session, int(event.level))
    elif kind is ReportKind.LINK:
        server.link.observe(event.level, reported_us)
        # Only this front gets the first report.
        adapt_rungs(state, server, other_fronts if session.has_report else 0)
        session.has_report = True
    elif kind is ReportKind.UPLINK:
        server.rack.uplink.observe(event.level, reported_us)
        relieve_uplink(state, server.rack, state.uplink_utilization(server.rack), other_fronts)
    elif event.level < FULL_DELIVERY:
        on_short_delivery(state, server, event.level)
    else:
        server.link.full_until_us = state.now_us
    if kind is ReportKind.UPLINK or (kind is ReportKind.LINK and not state.settings.reports_uplinks):
        notify_shard_owner(state, server.cell, loads=(cell_load(state, server, include_sent=False),))


def on_short_delivery(state: PolicyState, server: Server, delivered: float) -> None:
    """Mark a link as full; without a recent report, take the load of the link or uplink from the delivery."""
    other_fronts, rack = state.settings.front_count - 1, server.rack
    load, seen_us = 1 / max(delivered, RESERVE), state.now_us - state.settings.report_delay_us
    server.link.full_until_us = state.now_us + SHORT_DELIVERY_WINDOW_US
    if server.link.as_of_us < seen_us - state.settings.report_interval_us:
        server.link.observe(load, seen_us)  # no report is recent: this is the only measurement
        relieve_link(state, server, load, other_fronts)
    elif not state.settings.reports_uplinks and is_uplink_short(state, rack):
        rack.uplink.observe(load, seen_us)
        relieve_uplink(state, rack, state.uplink_utilization(rack), other_fronts)


def is_uplink_short(state: PolicyState, rack: Rack) -> bool:
    """Whether most links of a rack deliver short with capacity left, so that its uplink is the bottleneck."""
    short_count = sum(
        server.is_in_rack
        and state.now_us < server.link.full_until_us
        and (server.link.report or 0.0) < 1 - RESERVE
        for server in rack.known_servers
    )
    return 2 * short_count > len(rack.servers)


def on_load_received(state: PolicyState, server: Server) -> None:
    """Place the sessions whose last awaited load was that of this server."""
    waiting, server.waiting_sessions = server.waiting_sessions, {}
    for session in waiting:
        awaited = session.awaited or {}
        awaited.pop(server)
        if not awaited:
            apply_event(state, session, SessionEvent.TRY)


def on_poll_timeout(state: PolicyState) -> None:
    """Place the sessions that have waited long enough for polled loads."""
    for session in [item for item in state.polling_sessions if state.now_us >= state.poll_deadline_us(item)]:
        del state.polling_sessions[session]
        for server in session.awaited or ():
            server.waiting_sessions.pop(session)
        apply_event(state, session, SessionEvent.TRY)


def on_probe_timer(state: PolicyState) -> None:
    """Send each probe that is due and that a possible raise repays."""
    price, now_us = state.settings.probe_price or 0.0, state.now_us
    for server in [
        each for each in state.contacted if each.next_probe_us is not None and each.next_probe_us <= now_us
    ]:
        server.next_probe_us = None
        playing = [session for session in server.sessions if session.state is SessionState.PLAYING]
        is_worthwhile = any(repays_switch(state, session, session.top_rung, price) for session in playing)
        if now_us >= server.link.full_until_us and is_worthwhile:
            state.effects.probe(server.address)
        else:
            schedule_probe(state, server)  # a full link or a raise that does not pay may change


def on_probe_completed(state: PolicyState, event: ProbeCompleted) -> None:
    """Adapt rungs to a probe's report, and schedule the next probe of its server."""
    if (server := state.servers.get(event.server)) is None:
        return
    if event.report:
        observe_load(server, event.report, state.now_us - event.duration_us - state.settings.report_delay_us)
        rungs = sum(session.rung for session in server.sessions)
        adapt_rungs(state, server, None)
        has_raised = sum(session.rung for session in server.sessions) > rungs
        play_us = int(state.typical_play_us)
        server.probe_interval_us = play_us if has_raised else min(2 * server.probe_interval_us, 8 * play_us)
    on_load_received(state, server)
    schedule_probe(state, server)


def on_peer_message(state: PolicyState, event: PeerMessage) -> None:
    """Answer a poll, and record the loads and rates of a message.

    A late or duplicate message, or one of another version, can change loads only. Loads of before a server's
    restart are ignored.
    """
    if event.polled_cells and event.sender < state.settings.front_count:
        loads = tuple(
            cell_load(state, server, include_sent=True)
            for cell in event.polled_cells[:MAX_POLLED_CELLS]
            for server in state.active_replicas(cell)[:1]
        )
        state.effects.send_peer_message(event.sender, PeerMessage(state.settings.front_index, loads=loads))
    for cell, rate_kb in event.sent_rates:
        for server in state.active_replicas(cell):
            record_sent(server, rate_kb, state.now_us)
    for load in event.loads:
        for server in state.active_replicas(load.cell):
            if state.now_us - load.age_us > server.started_us:
                observe_load(server, load, state.now_us - load.age_us)
            on_load_received(state, server)
