"""Server list: adds, updates and removes servers, and polls for a list."""

from bisect import insort

from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerSnapshot, ServerState, TimerName
from fennelcove.placement.records import Health, Server
from fennelcove.placement.state import LinkLoad, PolicyState


def on_list(state: PolicyState, event: ListUpdate) -> None:
    """Apply a list update; after a failed poll, schedule the next one."""
    settings = state.settings
    state.failed_list_polls = state.failed_list_polls + 1 if event.mode is ListMode.FAILED else 0
    if event.mode is ListMode.FAILED:  # immediate polls would keep the one list service overloaded
        pause_us = max(1, (settings.list_poll_window_us or settings.warm_up_us) // 8)
        state.effects.set_timer(TimerName.POLL_LIST, pause_us * min(4, state.failed_list_polls))
        return
    state.list_is_fresh |= event.mode is ListMode.FULL or settings.must_poll_list
    for server in state.servers.values() if event.mode is not ListMode.INCREMENTAL else ():
        server.state = ServerState.LEFT
    streams = sum(settings.streams_by_kind.get(entry.kind, 0) for entry in event.entries)
    state.kb_per_stream = state.kb_per_stream or (settings.total_links_kb / streams if streams else 0.0)
    for entry in event.entries:
        on_list_entry(state, entry)
    if event.mode is not ListMode.INCREMENTAL:  # an incremental list leaves the other servers unchanged
        state.changed_inactive_servers = dict.fromkeys(
            server for server in state.servers.values() if server.state is not ServerState.ACTIVE
        )
    update_racks(state)
    if event.mode is ListMode.SAVED:
        poll_endpoint_list(state)  # the saved list may be out of date: a full one is worth one request


def update_racks(state: PolicyState) -> None:
    """Remove inactive servers without sessions from their racks, and delete those that left the list."""
    oldest_us = state.now_us - state.settings.warm_up_us
    for server in list(state.changed_inactive_servers):
        update_membership(server)
        has_left = server.state is ServerState.LEFT and not server.is_in_rack
        if has_left and server.started_us >= oldest_us:
            continue
        del state.changed_inactive_servers[server]
        if has_left:
            del state.servers[server.address]
            state.replicas[server.cell].remove(server)
            state.contacted.pop(server, None)
            server.rack.known_servers.pop(server, None)


def update_membership(server: Server) -> None:
    """Add a server to its rack's servers, in the order of the list, or remove it."""
    was_in_rack = server.is_in_rack
    server.is_in_rack = server.state is ServerState.ACTIVE or bool(server.sessions)
    if server.is_in_rack == was_in_rack:
        return
    server.rack.own_kb = None
    server.rack.capacity_kb += server.link.capacity_kb * (1 if server.is_in_rack else -1)
    if server.is_in_rack:
        insort(server.rack.servers, server, key=lambda each: each.sequence)
    else:
        server.rack.servers.remove(server)


def on_list_entry(state: PolicyState, entry: ListEntry) -> None:
    """Add or update the server of a list entry."""
    server = state.servers.get(entry.address) or add_server(state, entry)
    server.state = entry.state
    update_membership(server)
    if server.state is ServerState.ACTIVE:
        state.changed_inactive_servers.pop(server, None)
    else:
        state.changed_inactive_servers[server] = None
    if entry.started_us > server.started_us:  # a new process has no sessions and no faults yet
        server.started_us, server.health, server.strikes = entry.started_us, Health.WELL, 0
        server.link.report = server.last_attempt_us = None


def add_server(state: PolicyState, entry: ListEntry) -> Server:
    """Add a server whose link capacity follows from its weight or its streams."""
    rack = state.racks[entry.cell % state.settings.rack_count]
    streams = state.settings.streams_by_kind.get(entry.kind, 0)
    by_streams_kb = 0.0 if state.settings.has_listed_sizes else streams * state.kb_per_stream
    link = LinkLoad(by_streams_kb or state.settings.kb_per_weight * entry.weight or 1.0)
    server = Server(
        entry.address, entry.zone, entry.cell, rack, streams, link, entry.started_us, state.listed_count
    )
    state.listed_count += 1
    state.servers[entry.address] = server
    state.replicas.setdefault(entry.cell, []).append(server)
    return server


def poll_endpoint_list(state: PolicyState) -> None:
    """Request a full list; subscribe again if lists come only when polled."""
    (state.effects.watch_list if state.settings.must_poll_list else state.effects.fetch_list)()


def on_server_snapshot(state: PolicyState, event: ServerSnapshot) -> None:
    """Restore what this front knew of a server before its own restart."""
    if server := state.servers.get(event.server):
        server.strikes = event.strikes
        if event.suspended_for_us:
            server.health, server.suspended_until_us = Health.SHUT, state.now_us + event.suspended_for_us
        if event.last_attempt_ago_us is not None and server.last_attempt_us is None:
            server.last_attempt_us = state.now_us - event.last_attempt_ago_us
