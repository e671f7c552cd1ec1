"""The settings of a front as typed structs, whose types also define the range of each value.

Field names are the keys of settings files. Constraints between fields are in `checks.py`. Times end in `_ms`;
rates are in kB per second.
"""

from __future__ import annotations

from typing import Annotated, ClassVar, Literal

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
Address = Annotated[str, Meta(max_length=64, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]
PositiveMilliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
NonNegativeNumber = Annotated[float, Meta(ge=0, le=1e12)]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e12)]
UnitFraction = Annotated[float, Meta(ge=0, le=1)]


class StrictStruct(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A struct that rejects unknown fields."""


class Instance(StrictStruct, frozen=True, kw_only=True):
    """The index of this front among all fronts, and its zone."""

    index: Count = 0
    fronts: PositiveCount = 1
    zone: Name = "zone"


class ServiceClassSettings(StrictStruct, frozen=True, kw_only=True):
    """The requirements of one room type, which is a service class of sessions."""

    name: Name
    objective_ms: PositiveMilliseconds
    client_timeout_ms: PositiveMilliseconds
    benefit: NonNegativeNumber = 1.0
    effect: Literal["free", "guarded", "single_shot"] = "free"
    scope: Literal["all", "zone", "cell"] = "all"
    key_ttl_ms: Milliseconds = 0.0
    scale: PositiveNumber = 1.0
    floor: Count = 0
    seats: Count = 0
    seat_ms: Milliseconds = 0.0  # released if not renewed within this time; 0: lasts as long as the session


class Rung(StrictStruct, frozen=True, kw_only=True):
    """One rung of the bitrate ladder; `worth` is its utility."""

    kb: PositiveNumber
    worth: UnitFraction


class ServerKind(StrictStruct, frozen=True, kw_only=True):
    """A kind of server, and how many streams such a server can serve."""

    name: Name
    streams: PositiveCount


class MediaSettings(StrictStruct, frozen=True, kw_only=True):
    """The segments of a title; without `segments` the title is live, since the wall time `live_from_ms`."""

    timescale: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 1000
    segment_ticks: Annotated[int, Meta(ge=1, le=10_000_000_000)] = 2000
    segments: PositiveCount | None = None
    live_from_ms: Annotated[int, Meta(ge=0)] = 0
    rungs: list[Count] = field(default_factory=list)
    codecs: Annotated[str, Meta(max_length=100, pattern=r"^[A-Za-z0-9.,]+$")] = "avc1.64001f,mp4a.40.2"


class Title(StrictStruct, frozen=True, kw_only=True):
    """A title, and the range of cells whose servers store it."""

    name: Name
    first_cell: Count = 0
    cells: PositiveCount = 1
    media: MediaSettings | None = None


class Author(StrictStruct, frozen=True, kw_only=True):
    """An author who may change titles while they play.

    The `key_hash` is the BLAKE3 hash of the author's key, in hexadecimal; `fennelcove author-key` creates
    both.
    """

    name: Name
    key_hash: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    may_change: bool = True


class StitchSettings(StrictStruct, frozen=True, kw_only=True):
    """Changes of titles while they play.

    Attributes:
        slate: the title that plays in place of a clip without a usable replica.
        ledger: the file that records the changes.
        moves_at_once: the largest number of concurrent moves to another server.
    """

    authors: list[Author] = field(default_factory=list)
    slate: Name | None = None
    ledger: Annotated[str, Meta(max_length=1000)] | None = None
    moves_at_once: Annotated[int, Meta(ge=0, le=64)] = 8


class TenantQuota(StrictStruct, frozen=True, kw_only=True):
    """A tenant, and its quota: the requests per second at all fronts that have their full utility."""

    name: Name
    quota_per_s: NonNegativeNumber


class UtilityWeights(StrictStruct, frozen=True, kw_only=True):
    """The weights of the total utility and of the utility of the worst service class in the objective."""

    whole: PositiveNumber = 1.0
    worst_room_type: NonNegativeNumber = 0.0


class ProbeSettings(StrictStruct, frozen=True, kw_only=True):
    """Load probes to servers; the price of each is a fraction of the benefit of a session."""

    price: NonNegativeNumber = 0.0
    timeout_ms: PositiveMilliseconds = 250.0


class PeerSettings(StrictStruct, frozen=True, kw_only=True):
    """Exchange of load reports between fronts over UDP; `addresses` are ordered by the index of the front."""

    addresses: Annotated[list[Address], Meta(min_length=1, max_length=10_000)]
    price: NonNegativeNumber = 0.0


class HeartbeatSettings(StrictStruct, frozen=True, kw_only=True):
    """Heartbeats between fronts over UDP.

    Attributes:
        addresses: the address of each front, ordered by the index of the front.
        beat_ms: the heartbeat interval.
        lease_ms: the duration of a lease, which heartbeats renew.
        kept: the fraction of its equal share of a limit that a front may use without contact to the others;
            the rest requires a lease.
    """

    addresses: Annotated[list[Address], Meta(min_length=1, max_length=64)]
    beat_ms: Annotated[float, Meta(ge=50, le=60_000)] = 200.0
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 1000.0
    kept: Annotated[float, Meta(gt=0, le=1)] = 0.75


class HealthCheckSettings(StrictStruct, frozen=True, kw_only=True):
    """Health checks of servers.

    A few fronts probe each server, and send the results to the others over `company`. A server that two of
    its checkers find unhealthy gets no attempts from any front. The timeout is that of a probe.
    """

    timeout_ms: Annotated[float, Meta(ge=50, le=10_000)] = 500.0


class OverloadSettings(StrictStruct, frozen=True, kw_only=True):
    """Load shedding: fronts exchange their request rates, and all shed load by the same levels.

    Without `company`, each front assumes that the others have the same load as itself. The rates limit the
    retries (`further_joins_s`), probes and calls to the list service of all fronts together, per second; 0
    sets no limit.
    """

    enabled: bool = True
    further_joins_s: NonNegativeNumber = 0.0
    probes_s: NonNegativeNumber = 0.0
    list_calls_s: NonNegativeNumber = 0.0


class SlotSettings(StrictStruct, frozen=True, kw_only=True):
    """Learned concurrency limits: how many concurrent attempts of all fronts each server supports.

    Attributes:
        start: the limit of a server about which nothing is known.
        least: the smallest limit.
        most: the largest limit.
        wait_share: no more than 1 % of set-ups should wait for a slot longer than this fraction of the
            shortest client timeout.
        loan_ms: the duration of a loan of slots between fronts, which must outlast every attempt.
    """

    start: Annotated[int, Meta(ge=1, le=4096)] = 16
    least: Annotated[int, Meta(ge=1, le=4096)] = 2
    most: Annotated[int, Meta(ge=1, le=4096)] = 256
    wait_share: Annotated[float, Meta(gt=0, le=1)] = 0.02
    loan_ms: Annotated[float, Meta(ge=500, le=600_000)] = 10_000.0


class RecoverySettings(StrictStruct, frozen=True, kw_only=True):
    """Recovery of a front after a restart: it accepts requests at once, and probes the servers.

    Attributes:
        by_benefit: while most servers are in slow start, sessions of greater benefit are admitted first.
        kept_list: a stored endpoint list is used while none arrives from the list service.
    """

    by_benefit: bool = True
    kept_list: bool = True


class ReleaseSettings(StrictStruct, frozen=True, kw_only=True):
    """Rollouts: the fronts agree on which fronts and servers may be out of service at a time.

    Plans of operators obey these limits, which must be equal at all fronts. After a front has ended, a
    supervisor starts it again with the version that the file `wanted` contains.
    """

    version: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]  # of this process, as numbered by the supervisor
    wanted: Annotated[str, Meta(min_length=1, max_length=1000)]
    halls: Annotated[list[Name], Meta(max_length=1000)] = field(
        default_factory=list
    )  # the zones of the fronts, by index
    fronts_out: PositiveCount = 1
    fronts_out_hall: PositiveCount = 1
    boxes_out: PositiveCount = 1
    boxes_out_hall: PositiveCount = 1
    boxes_out_title: PositiveCount = 1  # of the replicas of one title
    margin: UnitFraction = 0.1  # the fraction of the remaining capacity that must stay free of load
    front_load: UnitFraction = 0.0  # the fraction of a front's capacity that is in use at peak load
    beat_ms: PositiveMilliseconds = 250.0
    window_ms: PositiveMilliseconds = 2000.0
    silent_ms: PositiveMilliseconds = 2000.0
    show_ms: PositiveMilliseconds = 5000.0
    drain_ms: Milliseconds = 1000.0  # for redirecting new clients to other fronts before this one ends


class ShapeSettings(StrictStruct, frozen=True, kw_only=True):
    """Optional features of the fleet; each default turns its feature off.

    Attributes:
        switch_cost_ms: the cost of a rung change, as playing time.
        over_quota_worth: the utility of a request over its tenant's quota, as a fraction.
        reports_unasked: whether servers send load reports without probes.
    """

    switch_cost_ms: Milliseconds = 0.0
    goal: UtilityWeights = UtilityWeights()
    tenants: Annotated[list[TenantQuota], Meta(max_length=1000)] = field(default_factory=list)
    over_quota_worth: UnitFraction = 1.0
    reports_unasked: bool = True
    probes: ProbeSettings | None = None
    peers: PeerSettings | None = None


class FleetSettings(StrictStruct, frozen=True, kw_only=True):
    """What is known about the servers in advance.

    Attributes:
        kb_per_weight: the link capacity per unit of a server's weight.
        all_links_kb: the total link capacity of all servers.
        uplinks_told: whether reports contain the load of uplinks.
        sizes_listed: whether the server list contains weights.
        seen_after_ms: the age of a report on arrival.
        guard: the load from which servers reject set-ups; 0: they reject none.
    """

    kinds: Annotated[list[ServerKind], Meta(min_length=1, max_length=64)]
    cells: PositiveCount = 1
    racks: PositiveCount = 1
    kb_per_weight: NonNegativeNumber = 0.0
    all_links_kb: NonNegativeNumber = 0.0
    uplink_kb: NonNegativeNumber = 0.0
    uplinks_told: bool = True
    sizes_listed: bool = True
    seen_after_ms: Milliseconds = 1000.0
    reports_every_ms: Milliseconds = 1000.0
    guard: NonNegativeNumber = 0.0


class Rules(StrictStruct, frozen=True, kw_only=True):
    """The limits that this front must observe.

    Attributes:
        start_capacity: the fraction of its capacity that a server has at the start of its slow start.
        ramp_ms: the duration of the slow start.
        fall_multiple: a server in slow start fails if its load exceeds this multiple of its pace for
            `tip_after_ms`.
        join_cap: the largest number of attempts of a session.
        budget_free: the retries that are always allowed in a window of `budget_span_ms`.
        budget_ratio: the further retries allowed for each request in the window.
    """

    drain_grace_ms: Milliseconds = 2000.0
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0
    ramp_ms: Milliseconds = 0.0
    fall_multiple: Annotated[float, Meta(ge=1, le=1000)] = 1.0
    tip_after_ms: Milliseconds = 0.0
    join_cap: PositiveCount | None = None
    budget_free: NonNegativeNumber | None = None
    budget_ratio: NonNegativeNumber = 0.0
    budget_span_ms: Milliseconds = 0.0


class DiscoverySettings(StrictStruct, frozen=True, kw_only=True):
    """The service from which the front gets the list of servers.

    Attributes:
        must_ask: whether the service sends the list only when the front requests it.
        ask_within_ms: the highest age that a requested list may reach.
    """

    address: Address
    must_ask: bool = False
    ask_within_ms: PositiveMilliseconds | None = None


class Limits(StrictStruct, frozen=True, kw_only=True):
    """Limits on the resources of the front; above any of them, the response is an immediate 503."""

    connections: PositiveCount = 1024
    waiting: PositiveCount = 512
    held: PositiveCount = 100_000
    buffered_bytes: PositiveCount = 1_000_000
    head_bytes: Annotated[int, Meta(ge=256, le=1_000_000)] = 16_384
    head_count: Annotated[int, Meta(ge=4, le=1000)] = 64
    body_bytes: Annotated[int, Meta(ge=64, le=1_000_000)] = 16_384
    head_ms: PositiveMilliseconds = 5000.0
    idle_ms: PositiveMilliseconds = 30_000.0
    write_ms: PositiveMilliseconds = 5000.0
    box_connections: PositiveCount = 16
    stop_ms: PositiveMilliseconds = 5000.0
    silent_ms: PositiveMilliseconds = 30_000.0
    stack_kib: Annotated[int, Meta(ge=64, le=8192)] = 256


class RetryStormSettings(StrictStruct, frozen=True, kw_only=True):
    """Damping of retry storms.

    With a `key_file`, which `fennelcove storm key` creates, queue tickets stay valid after a restart of the
    front.
    """

    damping: bool = False
    box_limits: bool = False
    key_file: Annotated[str, Meta(max_length=1000)] | None = None


class WebSocketSettings(StrictStruct, frozen=True, kw_only=True):
    """The WebSocket API.

    The web pages of `origins` may open a connection, each as `https://host`; without origins, all pages may.
    """

    subscriptions: Annotated[int, Meta(ge=1, le=64)] = 8
    origins: list[Annotated[str, Meta(max_length=200, pattern=r"^https?://[a-z0-9.:\[\]-]+$")]] = field(
        default_factory=list
    )
    deflate: bool = True
    message_bytes: Annotated[int, Meta(ge=1024, le=1_000_000)] = 16_384


class AccessTokenSettings(StrictStruct, frozen=True, kw_only=True):
    """With a key file, clients need an access token that is signed with one of its keys.

    `fennelcove keys pass` creates such tokens.
    """

    key_file: Annotated[str, Meta(max_length=1000)] | None = None


class OperatorKey(StrictStruct, frozen=True, kw_only=True):
    """A key of operators, in a file that `fennelcove storm key` creates."""

    name: Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9._-]+$")]
    key_file: Annotated[str, Meta(max_length=1000)]
    may_change: bool = True


class ControlSettings(StrictStruct, frozen=True, kw_only=True):
    """Commands of operators; none is accepted without a key. The file `audit` records each command."""

    keys: list[OperatorKey] = field(default_factory=list)
    audit: Annotated[str, Meta(max_length=1000)] | None = None


class StoreSettings(StrictStruct, frozen=True, kw_only=True):
    """A persistent folder of this front alone, whose state survives restarts."""

    folder: Annotated[str, Meta(min_length=1, max_length=1000)]
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] = 64


class TlsSettings(StrictStruct, frozen=True, kw_only=True):
    """The certificate chain and the key as PEM files, which are reloaded when they change.

    `fennelcove keys new` creates such files.
    """

    certificate: Annotated[str, Meta(max_length=1000)]
    key: Annotated[str, Meta(max_length=1000)]


class TenantWeight(StrictStruct, frozen=True, kw_only=True):
    """A tenant, and its weight in the sharing of slot time."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class FairQueueingSettings(StrictStruct, frozen=True, kw_only=True):
    """Fair sharing of slot time at servers among tenants.

    Attributes:
        slots: the largest number of concurrent attempts at one server, from all fronts.
        weights: the weights of tenants.
        strangers: the weight of all other tenants together, if `weights` is not empty.
        wait_ms: the longest time that a set-up waits for a slot.
        waiting: the largest number of set-ups that wait.
    """

    slots: Annotated[int, Meta(ge=2, le=10_000)]
    weights: Annotated[list[TenantWeight], Meta(max_length=1000)] = field(default_factory=list)
    strangers: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    wait_ms: Annotated[float, Meta(gt=0, le=60_000)] = 200.0
    waiting: Annotated[int, Meta(ge=1, le=10_000)] = 256


class FrontSettings(StrictStruct, frozen=True, kw_only=True):
    """The settings file of a front."""

    HEAD: ClassVar[str] = "front"

    name: Name
    listen: Address
    lists: DiscoverySettings
    source: Annotated[str, Meta(max_length=64, pattern=r"^[0-9.]*$")] = (
        ""  # the local address of outgoing connections
    )
    room_types: Annotated[list[ServiceClassSettings], Meta(min_length=1, max_length=64)]
    ladder: Annotated[list[Rung], Meta(min_length=1, max_length=64)]
    fleet: FleetSettings
    titles: Annotated[list[Title], Meta(min_length=1, max_length=100_000)]
    instance: Instance = Instance()
    rules: Rules = Rules()
    stitch: StitchSettings = StitchSettings()
    storm: RetryStormSettings = RetryStormSettings()
    websocket: WebSocketSettings = WebSocketSettings()
    viewers: AccessTokenSettings = AccessTokenSettings()
    tls: TlsSettings | None = None
    store: StoreSettings | None = None
    control: ControlSettings = ControlSettings()
    limits: Limits = Limits()
    seed: Count = 1
    max_retry_after_ms: Milliseconds | None = 2000.0
    cross_zone_price: NonNegativeNumber = 0.0
    shape: ShapeSettings = ShapeSettings()
    company: HeartbeatSettings | None = None
    recovery: RecoverySettings | None = None
    overload: OverloadSettings | None = None
    releases: ReleaseSettings | None = None
    watchers: HealthCheckSettings | None = None
    slots: SlotSettings | None = None
    fair: FairQueueingSettings | None = None
    watch: ShapeSettings | None = None  # a shape for comparison: its decisions are counted but not executed
