"""Hearing the world: the list, notes of what plays, and news asked for, by probes and from other fronts."""

from typing import Any

from fennelcove.interface import (CellLoad, ListEntry, ListMode, ListUpdate, SessionReport, ReportKind,
                                  PeerMessage, ProbeCompleted,
                                  ServerSnapshot, ServerState, TimerName)
from fennelcove.placement.records import Server, Health, Session, SessionEvent, SessionState
from fennelcove.placement.state import HOLD_BACK, LinkLoad, MARK_US, PolicyState, observe_load, record_sent
from fennelcove.placement.bitrate_adaptation import adapt_rungs, relieve_overload, repays_switch

WHOLE = 0.98  # delivery under this costs benefit: the notes' own bound
MAX_PROBES = 2  # holders probed for a request: of two known ones the better is nearly as good as of all
MAX_POLLED_CELLS = 8  # cells asked about and answered for at most: a title may lie everywhere, and thousands ask
CELLS_PER_BLOCK = 4  # cells in a row that one front keeps: a title's lie in a row, and one question serves most


def block_keeper(state: PolicyState, cell: int) -> int:
    """The front that is told of a cell: the paper's directory, spread over all fronts."""
    return cell // CELLS_PER_BLOCK % state.settings.fronts


def notify_block_keeper(state: PolicyState, cell: int, **said: Any) -> None:
    if state.settings.peer_price is not None and block_keeper(state, cell) != state.settings.index:
        state.effects.send_peer_message(block_keeper(state, cell), PeerMessage(state.settings.index, **said))


def load_of(state: PolicyState, server: Server, with_sent: bool) -> CellLoad:
    """What this front knows of a server; its keeper adds the joins that it was told of."""
    pipes = (server.link, server.rack.uplink)
    link, uplink = (None if p.asked is None else p.utilization() if with_sent else p.asked for p in pipes)
    age_us = state.now_us - min((p.as_of_us for p in pipes if p.asked is not None), default=state.now_us)
    return CellLoad(server.cell, link, uplink, age_us)


def on_list(state: PolicyState, event: ListUpdate) -> None:
    settings = state.settings
    state.failed_list_polls = state.failed_list_polls + 1 if event.mode is ListMode.FAILED else 0
    if event.mode is ListMode.FAILED:  # asked again at once, the one list service would stay jammed
        within = settings.ask_within_us or settings.ramp_us
        state.effects.set_timer(TimerName.POLL_LIST, max(1, within // 8) * min(4, state.failed_list_polls))
        return
    state.list_is_fresh |= event.mode is ListMode.FULL or settings.must_ask
    if event.mode is not ListMode.INCREMENTAL:
        for server in state.servers.values():
            server.standing = ServerState.LEFT
    places = sum(settings.kind_streams.get(entry.kind, 0) for entry in event.entries)
    state.kb_per_stream = state.kb_per_stream or (settings.all_links_kb / places if places else 0.0)
    for entry in event.entries:
        on_list_entry(state, entry)
    for rack in state.racks:
        rack.servers.clear()
    for server in list(state.servers.values()):
        if server.standing is ServerState.ACTIVE or server.sessions:
            server.rack.servers.append(server)
        elif server.standing is ServerState.LEFT and state.now_us - server.started_us > settings.ramp_us:
            # Replacements come under new ids: what is kept must not grow with all ever heard.
            del state.servers[server.address]
            state.replicas[server.cell].remove(server)
            state.contacted.pop(server, None)
    if event.mode is ListMode.SAVED:
        poll_endpoint_list(state)  # the saved list may be old: a full one is worth one call


def on_list_entry(state: PolicyState, entry: ListEntry) -> None:
    if (server := state.servers.get(entry.address)) is None:
        rack = state.racks[entry.cell % state.settings.racks]
        streams = state.settings.kind_streams.get(entry.kind, 0)
        # Where the list tells no sizes, a server's streams tell its part of all the links.
        by_streams = 0.0 if state.settings.sizes_listed else streams * state.kb_per_stream
        link = LinkLoad(by_streams or state.settings.kb_per_weight * entry.weight or 1.0)
        server = Server(entry.address, entry.zone, entry.cell, rack, streams, link, entry.started_us)
        state.servers[entry.address] = server
        state.replicas.setdefault(entry.cell, []).append(server)
    server.standing = entry.standing
    if entry.started_us > server.started_us:  # a new process carries nothing of its last life
        server.started_us, server.health, server.strikes = entry.started_us, Health.WELL, 0
        server.link.asked = server.last_attempt_us = None


def poll_endpoint_list(state: PolicyState) -> None:
    (state.effects.watch_list if state.settings.must_ask else state.effects.fetch_list)()


def on_server_snapshot(state: PolicyState, event: ServerSnapshot) -> None:
    if server := state.servers.get(event.server):
        server.strikes = event.strikes
        if event.suspended_for_us:
            server.health, server.shut_until_us = Health.SHUT, state.now_us + event.suspended_for_us
        if event.last_attempt_ago_us is not None and server.last_attempt_us is None:
            server.last_attempt_us = state.now_us - event.last_attempt_ago_us


def on_session_report(state: PolicyState, session: Session, event: SessionReport) -> None:
    if session.life is not SessionState.PLAYING:
        return
    server, others = session.server, state.settings.fronts - 1
    # The note at a set-up mostly does not show the newcomer yet: pessimistically, it never does.
    as_of_us = state.now_us - state.settings.seen_after_us if session.noted else session.attempts[
        -1].sent_us - 1
    if event.kind is ReportKind.RUNG:
        old, session.rung = session.rung, int(event.level)
        state.record_rate_change(session, state.rate_kb(session, session.rung) - state.rate_kb(session, old))
    elif event.kind is ReportKind.LINK:
        server.link.observe(event.level, as_of_us)
        # Every front hears the later notes; the one at a set-up is heard by this front alone.
        adapt_rungs(state, server, others if session.noted else 0)
        session.noted = True
        if not state.settings.uplinks_told:
            notify_block_keeper(state, server.cell, loads=(load_of(state, server, False),))
    elif event.kind is ReportKind.UPLINK:
        server.rack.uplink.observe(event.level, as_of_us)
        relieve_overload(state, state.uplink_utilization(server.rack), server.rack.servers, others)
        notify_block_keeper(state, server.cell, loads=(load_of(state, server, False),))
    elif event.level < WHOLE:
        on_short_delivery(state, server, event.level)
    else:
        server.link.full_until_us = state.now_us


def on_short_delivery(state: PolicyState, server: Server, delivered: float) -> None:
    others, asked = state.settings.fronts - 1, 1 / max(delivered, HOLD_BACK)
    server.link.full_until_us, seen_us = state.now_us + MARK_US, state.now_us - state.settings.seen_after_us
    if server.link.as_of_us < seen_us - state.settings.reports_every_us:
        # Reports stay out, or never come, and what is delivered tells what is asked.
        server.link.observe(asked, seen_us)
        relieve_overload(state, asked, [server], others)
    elif not state.settings.uplinks_told and 2 * sum(
            state.now_us < s.link.full_until_us and (s.link.asked or 0.0) < 1 - HOLD_BACK
            for s in server.rack.servers) > len(server.rack.servers):
        # Most links of a rack have room and are short: its uplink is, and nothing else tells of it.
        server.rack.uplink.observe(asked, seen_us)
        relieve_overload(state, state.uplink_utilization(server.rack), server.rack.servers, others)


def poll_peers_first(state: PolicyState, session: Session, replicas: list[Server]) -> bool:
    """Whether this one waits, an eighth of its time at most, for news of its holders."""
    if session.asked is not None:
        return False
    session.asked, since_us = {}, state.now_us - state.settings.seen_after_us
    unheard = [s for s in replicas if s.link.asked is None or s.link.as_of_us < since_us]
    if state.may_probe and not is_fleet_full(state):
        session.asked = dict.fromkeys(state.random_source.sample(unheard, min(MAX_PROBES, len(unheard))))
        for server in session.asked:
            state.effects.probe(server.address)
    elif state.settings.peer_price is not None:
        kept = [s for s in unheard if block_keeper(state, s.cell) != state.settings.index]
        session.asked = dict.fromkeys(kept if len(kept) <= MAX_POLLED_CELLS else state.random_source.sample(kept, MAX_POLLED_CELLS))
        for front in sorted({block_keeper(state, server.cell) for server in session.asked}):
            asks = tuple(server.cell for server in session.asked if block_keeper(state, server.cell) == front)
            state.effects.send_peer_message(front, PeerMessage(state.settings.index, asks=asks))
    for server in session.asked:
        server.waiting_sessions[session] = state.waiting[session] = None
    if session.asked:
        state.effects.set_timer(TimerName.HELD, state.poll_deadline_us(session) - state.now_us)
    return bool(session.asked)


def is_fleet_full(state: PolicyState) -> bool:
    """Whether most servers heard lately had no room: asking others then costs more than it finds."""
    late = [s for s in state.contacted if state.now_us - max(s.link.as_of_us, s.link.full_until_us) < MARK_US]
    full = sum(state.residual_link(s) <= 0 or state.uplink_utilization(s.rack) >= 1 - HOLD_BACK for s in late)
    return full > len(late) / 2


def on_loads_received(state: PolicyState, server: Server) -> None:
    waiters, server.waiting_sessions = server.waiting_sessions, {}
    for session in waiters:
        asked = session.asked or {}
        asked.pop(server)
        if not asked:
            state.apply_event(session, SessionEvent.TRY)


def on_poll_timeout(state: PolicyState) -> None:
    for session in [session for session in state.waiting if state.now_us >= state.poll_deadline_us(session)]:
        del state.waiting[session]
        for server in session.asked or ():
            server.waiting_sessions.pop(session)
        state.apply_event(session, SessionEvent.TRY)


def plan_probe(state: PolicyState, server: Server) -> None:
    """One probe a typical play, twice as long after each that raised nothing: each has its price."""
    if state.may_probe and server.sessions and server.next_probe_us is None:
        gap_us = server.probe_interval_us or int(state.rng() * state.typical_watch_us)
        server.next_probe_us = state.now_us + gap_us
        state.effects.set_timer(TimerName.PROBE, gap_us)


def on_probe_timer(state: PolicyState) -> None:
    price = state.settings.probe_price or 0.0
    for server in [s for s in state.contacted if s.next_probe_us is not None and s.next_probe_us <= state.now_us]:
        server.next_probe_us = None
        if state.now_us >= server.link.full_until_us and any(
                session.life is SessionState.PLAYING
            and repays_switch(state, session, session.top, price) for session in server.sessions):
            state.effects.probe(server.address)
        else:
            plan_probe(state, server)  # what is full or not worth it now may be later


def on_probe_completed(state: PolicyState, event: ProbeCompleted) -> None:
    if not (server := state.servers.get(event.server)):
        return
    if event.report:
        observe_load(server, event.report, state.now_us - event.duration_us - state.settings.seen_after_us)
        rungs = sum(session.rung for session in server.sessions)
        adapt_rungs(state, server, None)
        raised = sum(session.rung for session in server.sessions) > rungs
        gap_us = int(state.typical_watch_us)  # a gap without bound would end in no probe at all
        server.probe_interval_us = gap_us if raised else min(2 * server.probe_interval_us, 8 * gap_us)
    on_loads_received(state, server)
    plan_probe(state, server)


def on_peer_message(state: PolicyState, event: PeerMessage) -> None:
    """Late, doubled or of another build, it moves residues only, and none of what has started since."""
    if event.asks and event.sender < state.settings.fronts:
        loads = tuple(load_of(state, s, True) for cell in event.asks[:MAX_POLLED_CELLS] for s in state.active(cell)[:1])
        state.effects.send_peer_message(event.sender, PeerMessage(state.settings.index, loads=loads))
    for cell, kb in event.attempts:
        for server in state.active(cell):
            record_sent(server, kb, state.now_us)
    for told in event.loads:
        for server in state.active(told.cell):
            if state.now_us - told.age_us > server.started_us:
                observe_load(server, told, state.now_us - told.age_us)
            on_loads_received(state, server)
