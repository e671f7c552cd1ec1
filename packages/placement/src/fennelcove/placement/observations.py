"""Hearing the world: the list, notes of what plays, and news asked for, by probes and from other fronts."""

from typing import Any

from fennelcove.interface import (CellLoad, ListEntry, ListMode, ListUpdate, SessionReport, ReportKind,
                                  PeerMessage, ProbeCompleted,
                                  ServerSnapshot, ServerState, TimerName)
from fennelcove.placement.records import Server, Health, Session, SessionEvent, SessionState
from fennelcove.placement.state import HOLD_BACK, LinkLoad, MARK_US, PolicyState, observe_load, record_sent
from fennelcove.placement.bitrate_adaptation import act_on, ease, repays

WHOLE = 0.98  # delivery under this costs benefit: the notes' own bound
PROBED = 2  # holders probed for a request: of two known ones the better is nearly as good as of all
ASKED = 8  # cells asked about and answered for at most: a title may lie everywhere, and thousands ask
BLOCK = 4  # cells in a row that one front keeps: a title's lie in a row, and one question serves most


def block_keeper(known: PolicyState, cell: int) -> int:
    """The front that is told of a cell: the paper's directory, spread over all fronts."""
    return cell // BLOCK % known.settings.fronts


def notify_block_keeper(known: PolicyState, cell: int, **said: Any) -> None:
    if known.settings.peer_price is not None and block_keeper(known, cell) != known.settings.index:
        known.effects.send_peer_message(block_keeper(known, cell), PeerMessage(known.settings.index, **said))


def load(known: PolicyState, server: Server, with_sent: bool) -> CellLoad:
    """What this front knows of a server; its keeper adds the joins that it was told of."""
    pipes = (server.link, server.rack.uplink)
    link, uplink = (None if p.asked is None else p.asked_now() if with_sent else p.asked for p in pipes)
    age_us = known.now_us - min((p.as_of_us for p in pipes if p.asked is not None), default=known.now_us)
    return CellLoad(server.cell, link, uplink, age_us)


def on_list(known: PolicyState, event: ListUpdate) -> None:
    settings = known.settings
    known.asks_failed = known.asks_failed + 1 if event.mode is ListMode.FAILED else 0
    if event.mode is ListMode.FAILED:  # asked again at once, the one list service would stay jammed
        within = settings.ask_within_us or settings.ramp_us
        known.effects.set_timer(TimerName.ASK_LIST, max(1, within // 8) * min(4, known.asks_failed))
        return
    known.list_is_fresh |= event.mode is ListMode.FULL or settings.must_ask
    if event.mode is not ListMode.INCREMENTAL:
        for server in known.servers.values():
            server.standing = ServerState.LEFT
    places = sum(settings.kind_streams.get(entry.kind, 0) for entry in event.entries)
    known.kb_per_stream = known.kb_per_stream or (settings.all_links_kb / places if places else 0.0)
    for entry in event.entries:
        on_list_entry(known, entry)
    for rack in known.racks:
        rack.servers.clear()
    for server in list(known.servers.values()):
        if server.standing is ServerState.ACTIVE or server.sessions:
            server.rack.servers.append(server)
        elif server.standing is ServerState.LEFT and known.now_us - server.started_us > settings.ramp_us:
            # Replacements come under new ids: what is kept must not grow with all ever heard.
            del known.servers[server.address]
            known.replicas[server.cell].remove(server)
            known.met.pop(server, None)
    if event.mode is ListMode.SAVED:
        poll_endpoint_list(known)  # the saved list may be old: a full one is worth one call


def on_list_entry(known: PolicyState, entry: ListEntry) -> None:
    if (server := known.servers.get(entry.address)) is None:
        rack = known.racks[entry.cell % known.settings.racks]
        streams = known.settings.kind_streams.get(entry.kind, 0)
        # Where the list tells no sizes, a server's streams tell its part of all the links.
        by_streams = 0.0 if known.settings.sizes_listed else streams * known.kb_per_stream
        link = LinkLoad(by_streams or known.settings.kb_per_weight * entry.weight or 1.0)
        server = Server(entry.address, entry.zone, entry.cell, rack, streams, link, entry.started_us)
        known.servers[entry.address] = server
        known.replicas.setdefault(entry.cell, []).append(server)
    server.standing = entry.standing
    if entry.started_us > server.started_us:  # a new process carries nothing of its last life
        server.started_us, server.health, server.strikes = entry.started_us, Health.WELL, 0
        server.link.asked = server.last_attempt_us = None


def poll_endpoint_list(known: PolicyState) -> None:
    (known.effects.watch_list if known.settings.must_ask else known.effects.fetch_list)()


def on_remembered(known: PolicyState, event: ServerSnapshot) -> None:
    if server := known.servers.get(event.server):
        server.strikes = event.strikes
        if event.shut_for_us:
            server.health, server.shut_until_us = Health.SHUT, known.now_us + event.shut_for_us
        if event.last_attempt_ago_us is not None and server.last_attempt_us is None:
            server.last_attempt_us = known.now_us - event.last_attempt_ago_us


def on_session_report(known: PolicyState, session: Session, event: SessionReport) -> None:
    if session.life is not SessionState.PLAYING:
        return
    server, others = session.server, known.settings.fronts - 1
    # The note at a set-up mostly does not show the newcomer yet: pessimistically, it never does.
    as_of_us = known.now_us - known.settings.seen_after_us if session.noted else session.attempts[
        -1].sent_us - 1
    if event.kind is ReportKind.RUNG:
        old, session.rung = session.rung, int(event.level)
        known.count_sent(session, known.rate(session, session.rung) - known.rate(session, old))
    elif event.kind is ReportKind.LINK:
        server.link.observe(event.level, as_of_us)
        # Every front hears the later notes; the one at a set-up is heard by this front alone.
        act_on(known, server, others if session.noted else 0)
        session.noted = True
        if not known.settings.uplinks_told:
            notify_block_keeper(known, server.cell, loads=(load(known, server, False),))
    elif event.kind is ReportKind.UPLINK:
        server.rack.uplink.observe(event.level, as_of_us)
        ease(known, known.uplink_asked(server.rack), server.rack.servers, others)
        notify_block_keeper(known, server.cell, loads=(load(known, server, False),))
    elif event.level < WHOLE:
        on_short_delivery(known, server, event.level)
    else:
        server.link.full_until_us = known.now_us


def on_short_delivery(known: PolicyState, server: Server, delivered: float) -> None:
    others, asked = known.settings.fronts - 1, 1 / max(delivered, HOLD_BACK)
    server.link.full_until_us, seen_us = known.now_us + MARK_US, known.now_us - known.settings.seen_after_us
    if server.link.as_of_us < seen_us - known.settings.reports_every_us:
        # Reports stay out, or never come, and what is delivered tells what is asked.
        server.link.observe(asked, seen_us)
        ease(known, asked, [server], others)
    elif not known.settings.uplinks_told and 2 * sum(
            known.now_us < s.link.full_until_us and (s.link.asked or 0.0) < 1 - HOLD_BACK
            for s in server.rack.servers) > len(server.rack.servers):
        # Most links of a rack have room and are short: its uplink is, and nothing else tells of it.
        server.rack.uplink.observe(asked, seen_us)
        ease(known, known.uplink_asked(server.rack), server.rack.servers, others)


def poll_peers_first(known: PolicyState, session: Session, replicas: list[Server]) -> bool:
    """Whether this one waits, an eighth of its time at most, for news of its holders."""
    if session.asked is not None:
        return False
    session.asked, since_us = {}, known.now_us - known.settings.seen_after_us
    unheard = [s for s in replicas if s.link.asked is None or s.link.as_of_us < since_us]
    if known.probes and not is_full(known):
        session.asked = dict.fromkeys(known.draws.sample(unheard, min(PROBED, len(unheard))))
        for server in session.asked:
            known.effects.probe(server.address)
    elif known.settings.peer_price is not None:
        kept = [s for s in unheard if block_keeper(known, s.cell) != known.settings.index]
        session.asked = dict.fromkeys(kept if len(kept) <= ASKED else known.draws.sample(kept, ASKED))
        for front in sorted({block_keeper(known, server.cell) for server in session.asked}):
            asks = tuple(server.cell for server in session.asked if block_keeper(known, server.cell) == front)
            known.effects.send_peer_message(front, PeerMessage(known.settings.index, asks=asks))
    for server in session.asked:
        server.waiters[session] = known.waiting[session] = None
    if session.asked:
        known.effects.set_timer(TimerName.HELD, known.poll_deadline_us(session) - known.now_us)
    return bool(session.asked)


def is_full(known: PolicyState) -> bool:
    """Whether most servers heard lately had no room: asking others then costs more than it finds."""
    late = [s for s in known.met if known.now_us - max(s.link.as_of_us, s.link.full_until_us) < MARK_US]
    full = sum(known.link_left(s) <= 0 or known.uplink_asked(s.rack) >= 1 - HOLD_BACK for s in late)
    return full > len(late) / 2


def on_peer_loads(known: PolicyState, server: Server) -> None:
    waiters, server.waiters = server.waiters, {}
    for session in waiters:
        asked = session.asked or {}
        asked.pop(server)
        if not asked:
            known.step(session, SessionEvent.TRY)


def on_poll_timeout(known: PolicyState) -> None:
    for session in [session for session in known.waiting if known.now_us >= known.poll_deadline_us(session)]:
        del known.waiting[session]
        for server in session.asked or ():
            server.waiters.pop(session)
        known.step(session, SessionEvent.TRY)


def plan_probe(known: PolicyState, server: Server) -> None:
    """One probe a typical play, twice as long after each that raised nothing: each has its price."""
    if known.probes and server.sessions and server.probe_at_us is None:
        gap_us = server.probe_gap_us or int(known.rng() * known.typical_watch_us)
        server.probe_at_us = known.now_us + gap_us
        known.effects.set_timer(TimerName.PROBE, gap_us)


def probe_due(known: PolicyState) -> None:
    price = known.settings.probe_price or 0.0
    for server in [s for s in known.met if s.probe_at_us is not None and s.probe_at_us <= known.now_us]:
        server.probe_at_us = None
        if known.now_us >= server.link.full_until_us and any(
                session.life is SessionState.PLAYING
            and repays(known, session, session.top, price) for session in server.sessions):
            known.effects.probe(server.address)
        else:
            plan_probe(known, server)  # what is full or not worth it now may be later


def on_probed(known: PolicyState, event: ProbeCompleted) -> None:
    if not (server := known.servers.get(event.server)):
        return
    if event.report:
        observe_load(server, event.report, known.now_us - event.took_us - known.settings.seen_after_us)
        rungs = sum(session.rung for session in server.sessions)
        act_on(known, server, None)
        raised = sum(session.rung for session in server.sessions) > rungs
        gap_us = int(known.typical_watch_us)  # a gap without bound would end in no probe at all
        server.probe_gap_us = gap_us if raised else min(2 * server.probe_gap_us, 8 * gap_us)
    on_peer_loads(known, server)
    plan_probe(known, server)


def on_peer(known: PolicyState, event: PeerMessage) -> None:
    """Late, doubled or of another build, it moves residues only, and none of what has started since."""
    if event.asks and event.sender < known.settings.fronts:
        loads = tuple(load(known, s, True) for cell in event.asks[:ASKED] for s in known.active(cell)[:1])
        known.effects.send_peer_message(event.sender, PeerMessage(known.settings.index, loads=loads))
    for cell, kb in event.attempts:
        for server in known.active(cell):
            record_sent(server, kb, known.now_us)
    for told in event.loads:
        for server in known.active(told.cell):
            if known.now_us - told.age_us > server.started_us:
                observe_load(server, told, known.now_us - told.age_us)
            on_peer_loads(known, server)
