"""Validation of constraints between several settings, and the conversion to the settings of the policy."""

from __future__ import annotations

from collections.abc import Iterator

from fennelcove.interface import Effect, Scope, ServiceClass, Settings
from fennelcove.messages import MAX_CELLS
from fennelcove.settings.reader import SettingsError, load
from fennelcove.settings.schema import FrontSettings, ShapeSettings


def find_violations(front: FrontSettings) -> Iterator[str]:
    """The violated constraints between fields, each as `PATH: WHAT WAS FOUND; REMEDY`."""
    port = int(front.listen.rpartition(":")[2])
    if port > 65_535:
        yield f"listen: found port {port}; use one up to 65535, or 0 for any free port"
    if front.instance.index >= front.instance.fronts:
        yield (
            f"instance.index: found {front.instance.index} of {front.instance.fronts} fronts; "
            f"count from 0 up to {front.instance.fronts - 1}"
        )
    rungs = len(front.ladder)
    for i, (low, high) in enumerate(zip(front.ladder, front.ladder[1:], strict=False)):
        if high.kb <= low.kb or high.worth < low.worth:
            yield (
                f"ladder[{i + 1}]: found a rung not above the previous one; "
                "sort the rungs by kb, with a worth that does not decrease"
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
        prefix = f"room-types[{i}]"
        if room.floor >= rungs:
            yield f"{prefix}.floor: found {room.floor} on a ladder of {rungs}; use a rung of 0 to {rungs - 1}"
        if room.objective_ms > room.client_timeout_ms:
            yield (
                f"{prefix}.objective-ms: found {room.objective_ms:g}, past the client timeout; "
                f"use at most {room.client_timeout_ms:g}"
            )
        if room.effect == "guarded" and not room.key_ttl_ms:
            yield f"{prefix}.key-ttl-ms: found 0 for a guarded room type; state how long retries are detected"
    for i, title in enumerate(front.titles):
        if title.cells > front.fleet.cells or title.first_cell >= front.fleet.cells:
            yield (
                f"titles[{i}]: found cells {title.first_cell}+{title.cells} of {front.fleet.cells}; "
                "use cells below fleet.cells"
            )
    title_by_name = {title.name: title for title in front.titles}
    slate = front.stitch.slate
    if slate is not None and (slate not in title_by_name or title_by_name[slate].media is None):
        yield f"stitch.slate: found {slate!r}, which is not a title with media; name one"
    for i, title in enumerate(front.titles):
        if title.media is not None and any(rung >= rungs for rung in title.media.rungs):
            yield f"titles[{i}].media.rungs: found a rung outside of the ladder; use 0 to {rungs - 1}"
    if front.rules.budget_free is not None and not front.rules.budget_span_ms:
        yield "rules.budget-span-ms: found 0 with a retry budget; state the window"
    yield from shape_violations("shape", front.shape, front)
    if front.watch is not None:
        yield from shape_violations("watch", front.watch, front)
    yield from membership_violations(front)
    yield from rollout_violations(front)
    yield from concurrency_limit_violations(front)
    yield from fair_queueing_violations(front)
    limits = front.limits
    if limits.waiting > limits.connections:
        yield (
            f"limits.waiting: found {limits.waiting} over {limits.connections} connections; "
            "each connection waits for at most one request"
        )
    if limits.body_bytes + limits.head_bytes > limits.buffered_bytes:
        yield "limits.buffered-bytes: found less than one head and one body; use at least their sum"


def membership_violations(front: FrontSettings) -> Iterator[str]:
    """The violated constraints of `company`, the heartbeats between fronts."""
    company, peers = front.company, front.shape.peers
    if company is None:
        return
    if len(company.addresses) != front.instance.fronts:
        yield (
            f"company.addresses: found {len(company.addresses)} for {front.instance.fronts} fronts; "
            "state one for each front, in the order of their indices"
        )
    if peers is not None and list(peers.addresses) != list(company.addresses):
        yield "company.addresses: found others than in shape.peers.addresses; use the same addresses in both"
    if company.lease_ms < 4 * company.beat_ms:
        yield (
            f"company.lease-ms: found {company.lease_ms:g} with a beat of {company.beat_ms:g}; "
            "use four beats or more, or one lost message can end the lease"
        )


def fair_queueing_violations(front: FrontSettings) -> Iterator[str]:
    """The violated constraints of `fair`, the fair sharing of slots among tenants."""
    section, fronts = front.fair, front.instance.fronts
    if section is None:
        return
    if section.slots < 2 * fronts:
        # A front with a single slot could not reserve one against long attempts.
        yield (
            f"fair.slots: found {section.slots} for {fronts} fronts; "
            f"use two for each front, {2 * fronts} or more"
        )
    names = [tenant.name for tenant in section.weights]
    for i, name in enumerate(names):
        if name in names[:i]:
            yield f"fair.weights[{i}].name: found {name!r} a second time; give each its own name"
    if front.shape.probes is not None or front.shape.peers is not None:
        yield (
            "fair: found shape.probes or shape.peers; a set-up can't wait for both reports and slots, "
            "so remove one"
        )


def rollout_violations(front: FrontSettings) -> Iterator[str]:
    """The violated constraints of `releases`, the agreement on which fronts are out of service."""
    section, fronts = front.releases, front.instance.fronts
    if section is None:
        return
    if front.company is None:
        yield "releases: found no company; state company.addresses, by which fronts exchange messages"
    if section.halls and len(section.halls) != fronts:
        yield f"releases.halls: found {len(section.halls)} for {fronts} fronts; state one for each, or none"
    if section.fronts_out > (fronts - 1) // 2:
        yield (
            f"releases.fronts-out: found {section.fronts_out} of {fronts} fronts; a majority must remain to "
            f"grant the next permit, so use at most {(fronts - 1) // 2}"
        )
    for name, value in (("window-ms", section.window_ms), ("silent-ms", section.silent_ms)):
        if value < 4 * section.beat_ms:
            yield (
                f"releases.{name}: found {value:g} with a beat of {section.beat_ms:g}; "
                "use four beats or more, or one lost message can exceed it"
            )


def concurrency_limit_violations(front: FrontSettings) -> Iterator[str]:
    """The violated constraints of `slots`, the learned concurrency limits."""
    section = front.slots
    if section is None:
        return
    if not section.least <= section.start <= section.most:
        yield f"slots.start: found {section.start}; use a number from slots.least to slots.most"
    longest = max(room.client_timeout_ms for room in front.room_types)
    if section.loan_ms <= longest:
        yield (
            f"slots.loan-ms: found {section.loan_ms:g}, not above the longest client timeout; a loan must "
            f"outlast every attempt, so use more than {longest:g}"
        )


def shape_violations(prefix: str, shape: ShapeSettings, front: FrontSettings) -> Iterator[str]:
    """The violated constraints of a `ShapeSettings`; `prefix` is its name in the file."""
    names = [tenant.name for tenant in shape.tenants]
    for i, name in enumerate(names):
        if name in names[:i]:
            yield f"{prefix}.tenants[{i}].name: found {name!r} a second time; give each its own name"
    if not shape.reports_unasked and shape.probes is None:
        yield f"{prefix}.probes: found none with reports-unasked false; state probes, or reports-unasked true"
    if shape.peers is not None and front.fleet.cells > MAX_CELLS:
        yield (
            f"{prefix}.peers: found {front.fleet.cells} fleet.cells; messages can name at most {MAX_CELLS}, "
            "so remove peers"
        )
    if shape.peers is not None and len(shape.peers.addresses) != front.instance.fronts:
        yield (
            f"{prefix}.peers.addresses: found {len(shape.peers.addresses)} for {front.instance.fronts} "
            "fronts; state one for each front, in the order of their indices"
        )


def load_front(path: str) -> FrontSettings:
    """Read and validate the settings of a front.

    Raises:
        SettingsError: the first error.
    """
    front = load(path, FrontSettings)
    for violation in find_violations(front):
        raise SettingsError.from_violation(path, violation)
    return front


def to_policy_settings(front: FrontSettings, shape: ShapeSettings | None = None) -> Settings:
    """The settings of the placement policy, for the shape of the front or for another one.

    Times are converted from milliseconds to microseconds.
    """
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
