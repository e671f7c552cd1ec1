"""What no single type can refuse, and the step from settings to what the decisions take."""

from __future__ import annotations

from collections.abc import Iterator

from fennelcove.interface import Effect, Scope, ServiceClass, Settings
from fennelcove.messages import MAX_CELLS
from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import FrontSettings, ShapeSettings


def amiss(front: FrontSettings) -> Iterator[str]:
    """Each contradiction between figures that are well formed alone: path, what was found, what would do."""
    port = int(front.listen.rpartition(":")[2])
    if port > 65_535:
        yield f"listen: found port {port}; use one up to 65535, 0 for any free one"
    if front.instance.index >= front.instance.fronts:
        yield (
            f"instance.index: found {front.instance.index} of {front.instance.fronts} fronts; "
            f"count from 0 up to {front.instance.fronts - 1}"
        )
    rungs = len(front.ladder)
    for i, (low, high) in enumerate(zip(front.ladder, front.ladder[1:], strict=False)):
        if high.kb <= low.kb or high.worth < low.worth:
            yield (
                f"ladder[{i + 1}]: found a rung not above the one before; "
                "sort rungs by kb, worth never falling"
            )
    for group, names in (
        ("room-types", [room.name for room in front.room_types]),
        ("titles", [title.name for title in front.titles]),
        ("fleet.kinds", [kind.name for kind in front.fleet.kinds]),
    ):
        seen: set[str] = set()
        for i, name in enumerate(names):
            if name in seen:
                yield f"{group}[{i}].name: found {name!r} a second time; give each its own name"
            seen.add(name)
    for i, room in enumerate(front.room_types):
        at = f"room-types[{i}]"
        if room.floor >= rungs:
            yield f"{at}.floor: found {room.floor} on a ladder of {rungs}; use a rung from 0 to {rungs - 1}"
        if room.objective_ms > room.client_timeout_ms:
            yield (
                f"{at}.objective-ms: found {room.objective_ms:g}, past the client timeout; "
                f"use at most {room.client_timeout_ms:g}"
            )
        if room.effect == "guarded" and not room.key_ttl_ms:
            yield f"{at}.key-ttl-ms: found 0 for a guarded room type; state how long a repeat is recognised"
    for i, title in enumerate(front.titles):
        if title.cells > front.fleet.cells or title.first_cell >= front.fleet.cells:
            yield (
                f"titles[{i}]: found cells {title.first_cell}+{title.cells} of {front.fleet.cells}; "
                "keep within fleet.cells"
            )
    named = {title.name: title for title in front.titles}
    slate = front.stitch.slate
    if slate is not None and (slate not in named or named[slate].media is None):
        yield f"stitch.slate: found {slate!r}, which is no title with media; name one"
    for i, title in enumerate(front.titles):
        if title.media is not None and any(rung >= rungs for rung in title.media.rungs):
            yield f"titles[{i}].media.rungs: found a rung off the ladder; use 0 to {rungs - 1}"
    if front.rules.budget_free is not None and not front.rules.budget_span_ms:
        yield "rules.budget-span-ms: found 0 beside a join budget; state the window"
    yield from amiss_in_shape("shape", front.shape, front)
    if front.watch is not None:
        yield from amiss_in_shape("watch", front.watch, front)
    yield from amiss_in_company(front)
    yield from amiss_in_releases(front)
    yield from amiss_in_slots(front)
    yield from amiss_in_fair(front)
    limits = front.limits
    if limits.waiting > limits.connections:
        yield (
            f"limits.waiting: found {limits.waiting} over {limits.connections} connections; "
            "one connection waits for one request at most"
        )
    if limits.body_bytes + limits.head_bytes > limits.buffered_bytes:
        yield "limits.buffered-bytes: found less than one head and one body; raise it above both together"


def amiss_in_company(front: FrontSettings) -> Iterator[str]:
    """What fronts are told of each other, against the rest."""
    company, peers = front.company, front.shape.peers
    if company is None:
        return
    if len(company.addresses) != front.instance.fronts:
        yield (
            f"company.addresses: found {len(company.addresses)} for {front.instance.fronts} fronts; "
            "state one for each, by its index"
        )
    if peers is not None and list(peers.addresses) != list(company.addresses):
        yield "company.addresses: found others than shape.peers.addresses; a front listens at one address"
    if company.lease_ms < 4 * company.beat_ms:
        yield (
            f"company.lease-ms: found {company.lease_ms:g} with a beat of {company.beat_ms:g}; "
            "use four beats or more, or one lost message ends it"
        )


def amiss_in_fair(front: FrontSettings) -> Iterator[str]:
    """What slots and tenants must be like beside the rest."""
    told, fronts = front.fair, front.instance.fronts
    if told is None:
        return
    if told.slots < 2 * fronts:
        # Of one slot none could be kept from long holds.
        yield f"fair.slots: found {told.slots} for {fronts} fronts; state two for each, {2 * fronts} or more"
    names = [tenant.name for tenant in told.weights]
    for i, name in enumerate(names):
        if name in names[:i]:
            yield f"fair.weights[{i}].name: found {name!r} a second time; give each its own name"
    if front.shape.probes is not None or front.shape.peers is not None:
        yield "fair: found shape.probes or shape.peers; a set-up waits for news or for slots, leave one out"


def amiss_in_releases(front: FrontSettings) -> Iterator[str]:
    """What is agreed about who is out, against the rest."""
    told, fronts = front.releases, front.instance.fronts
    if told is None:
        return
    if front.company is None:
        yield "releases: found no company beside it; state company.addresses, by which fronts hear each other"
    if told.halls and len(told.halls) != fronts:
        yield f"releases.halls: found {len(told.halls)} for {fronts} fronts; state one for each, or none"
    if told.fronts_out > (fronts - 1) // 2:
        yield (
            f"releases.fronts-out: found {told.fronts_out} of {fronts} fronts; a majority has to stay to "
            f"grant the next permit, so use at most {(fronts - 1) // 2}"
        )
    for name, value in (("window-ms", told.window_ms), ("silent-ms", told.silent_ms)):
        if value < 4 * told.beat_ms:
            yield (
                f"releases.{name}: found {value:g} with a beat of {told.beat_ms:g}; "
                "use four beats or more, or one lost message ends it"
            )


def amiss_in_slots(front: FrontSettings) -> Iterator[str]:
    """What is told of slots, against the rest."""
    told = front.slots
    if told is None:
        return
    if not told.least <= told.start <= told.most:
        yield f"slots.start: found {told.start}; use a number from slots.least to slots.most"
    longest = max(room.client_timeout_ms for room in front.room_types)
    if told.loan_ms <= longest:
        yield (
            f"slots.loan-ms: found {told.loan_ms:g}, not above the longest client timeout; a loan that ends "
            f"before the join carries none, so use more than {longest:g}"
        )


def amiss_in_shape(at: str, shape: ShapeSettings, front: FrontSettings) -> Iterator[str]:
    """The contradictions of a shape, under the name that it has in the file."""
    names = [tenant.name for tenant in shape.tenants]
    for i, name in enumerate(names):
        if name in names[:i]:
            yield f"{at}.tenants[{i}].name: found {name!r} a second time; give each its own name"
    if not shape.reports_unasked and shape.probes is None:
        yield f"{at}.probes: found none where no report comes unasked; state them, or reports-unasked true"
    if shape.peers is not None and front.fleet.cells > MAX_CELLS:
        yield (
            f"{at}.peers: found {front.fleet.cells} fleet.cells; messages name {MAX_CELLS} at most, "
            "so leave peers out"
        )
    if shape.peers is not None and len(shape.peers.addresses) != front.instance.fronts:
        yield (
            f"{at}.peers.addresses: found {len(shape.peers.addresses)} for {front.instance.fronts} fronts; "
            "state one for each, by its index"
        )


def load_front(path: str) -> FrontSettings:
    """A front's settings from a file, whole and checked.

    Raises:
        SettingsError: the first thing amiss, in one line.
    """
    front = load(path, FrontSettings)
    for fault in amiss(front):
        raise SettingsError.amiss(path, fault)
    return front


def module_settings(front: FrontSettings, shape: ShapeSettings | None = None) -> Settings:
    """What the decision module is told, of the shape in force or of another; times in microseconds."""
    shape = shape or front.shape
    rooms = {
        room.name: ServiceClass(
            latency_objective_us=round(room.objective_ms * 1000),
            priority_weight=room.benefit,
            effect=Effect(room.effect),
            scope=Scope(room.scope),
            key_ttl_us=round(room.key_ttl_ms * 1000),
            rate_scale=room.scale,
            min_rung=room.floor,
            seats=room.seats,
        )
        for room in front.room_types
    }
    fleet, rules = front.fleet, front.rules
    ask_within = front.lists.ask_within_ms
    return Settings(
        service_classes=rooms,
        front_count=front.instance.fronts,
        front_index=front.instance.index,
        zone=front.instance.zone,
        ladder_kb=tuple(rung.kb for rung in front.ladder),
        rung_utilities=tuple(rung.worth for rung in front.ladder),
        streams_by_kind={kind.name: kind.streams for kind in fleet.kinds},
        kb_per_weight=fleet.kb_per_weight,
        total_links_kb=fleet.all_links_kb,
        has_listed_sizes=fleet.sizes_listed,
        rack_count=fleet.racks,
        cell_count=fleet.cells,
        uplink_kb=fleet.uplink_kb,
        reports_uplinks=fleet.uplinks_told,
        report_delay_us=round(fleet.seen_after_ms * 1000),
        report_interval_us=round(fleet.reports_every_ms * 1000),
        rejects_at=fleet.guard,
        cross_zone_price=front.cross_zone_price,
        max_attempts=rules.join_cap,
        retry_after_us=None if front.max_retry_after_ms is None else round(front.max_retry_after_ms * 1000),
        must_poll_list=front.lists.must_ask,
        list_poll_window_us=None if ask_within is None else round(ask_within * 1000),
        start_capacity=rules.start_capacity,
        warm_up_us=round(rules.ramp_ms * 1000),
        slow_start_slack_us=round((rules.fall_multiple - 1) * rules.tip_after_ms * 1000),
        retry_base=rules.budget_free,
        retry_ratio=rules.budget_ratio,
        retry_window_us=round(rules.budget_span_ms * 1000),
        probe_price=None if shape.probes is None else shape.probes.price,
        peer_price=None if shape.peers is None else shape.peers.price,
        has_unsolicited_reports=shape.reports_unasked,
        quotas={tenant.name: tenant.quota_per_s for tenant in shape.tenants},
        over_quota_utility=shape.over_quota_worth,
        worst_class_weight=shape.goal.worst_room_type / shape.goal.whole,
        rung_switch_cost_us=round(shape.switch_cost_ms * 1000),
    )
