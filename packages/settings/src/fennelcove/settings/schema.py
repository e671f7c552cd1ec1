"""The settings of a front, as typed structs; figures out of their range are refused by type.

What belongs together is checked in `checks.py`. Times end in `_ms`, rates are kB a second.
"""

from __future__ import annotations

from typing import Annotated, ClassVar, Literal

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
Address = Annotated[str, Meta(max_length=64, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]
Millis = Annotated[float, Meta(ge=0, le=86_400_000)]
SomeMillis = Annotated[float, Meta(gt=0, le=86_400_000)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
SomeCount = Annotated[int, Meta(ge=1, le=1_000_000)]
Figure = Annotated[float, Meta(ge=0, le=1e12)]
SomeFigure = Annotated[float, Meta(gt=0, le=1e12)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Strict(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Unknown fields are refused by name."""


class Instance(Strict, frozen=True, kw_only=True):
    """Which of how many fronts this is."""

    index: Count = 0
    fronts: SomeCount = 1
    zone: Name = "zone"


class RoomTypeSettings(Strict, frozen=True, kw_only=True):
    """The terms of one room type."""

    name: Name
    objective_ms: SomeMillis
    client_timeout_ms: SomeMillis
    benefit: Figure = 1.0
    effect: Literal["free", "guarded", "single_shot"] = "free"
    scope: Literal["all", "zone", "cell"] = "all"
    key_ttl_ms: Millis = 0.0
    scale: SomeFigure = 1.0
    floor: Count = 0
    seats: Count = 0
    seat_ms: Millis = 0.0  # a seat not renewed for so long is given back; 0: it lasts as long as it plays


class Rung(Strict, frozen=True, kw_only=True):
    """One step of the ladder of rates."""

    kb: SomeFigure
    worth: Share


class Kind(Strict, frozen=True, kw_only=True):
    """A kind of box."""

    name: Name
    streams: SomeCount


class MediaSettings(Strict, frozen=True, kw_only=True):
    """How a title is cut into segments; without `segments` it is live, from a wall time on."""

    timescale: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 1000
    segment_ticks: Annotated[int, Meta(ge=1, le=10_000_000_000)] = 2000
    segments: SomeCount | None = None
    live_from_ms: Annotated[int, Meta(ge=0)] = 0
    rungs: list[Count] = field(default_factory=list)
    codecs: Annotated[str, Meta(max_length=100, pattern=r"^[A-Za-z0-9.,]+$")] = "avc1.64001f,mp4a.40.2"


class Title(Strict, frozen=True, kw_only=True):
    """A title and the cells whose boxes hold it."""

    name: Name
    first_cell: Count = 0
    cells: SomeCount = 1
    media: MediaSettings | None = None


class Author(Strict, frozen=True, kw_only=True):
    """Who may change lessons: the blake3 hash of a key, in hexadecimal (`fennelcove author-key` makes
    both).
    """

    name: Name
    key_hash: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    may_change: bool = True


class StitchSettings(Strict, frozen=True, kw_only=True):
    """Changes to running lessons."""

    authors: list[Author] = field(default_factory=list)
    slate: Name | None = None
    ledger: Annotated[str, Meta(max_length=1000)] | None = None
    moves_at_once: Annotated[int, Meta(ge=0, le=64)] = 8


class Tenant(Strict, frozen=True, kw_only=True):
    """A customer, and the requests a second, over all fronts, that count in full."""

    name: Name
    quota_per_s: Figure


class Goal(Strict, frozen=True, kw_only=True):
    """How the parts of what is served are weighed against each other."""

    whole: SomeFigure = 1.0
    worst_room_type: Figure = 0.0


class ProbeSettings(Strict, frozen=True, kw_only=True):
    """Boxes may be asked for their load, each time at this part of a subscription's benefit."""

    price: Figure = 0.0
    timeout_ms: SomeMillis = 250.0


class PeerSettings(Strict, frozen=True, kw_only=True):
    """Fronts may tell each other what they know, over UDP: every front's address, by its index."""

    addresses: Annotated[list[Address], Meta(min_length=1, max_length=10_000)]
    price: Figure = 0.0


class CompanySettings(Strict, frozen=True, kw_only=True):
    """Fronts may tell each other that they live, over UDP: every front's address, by its index. `kept` is the
    part of its equal share that a front may take whoever hears it; the rest hangs on a lease.
    """

    addresses: Annotated[list[Address], Meta(min_length=1, max_length=64)]
    beat_ms: Annotated[float, Meta(ge=50, le=60_000)] = 200.0
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 1000.0
    kept: Annotated[float, Meta(gt=0, le=1)] = 0.75


class WatcherSettings(Strict, frozen=True, kw_only=True):
    """A few fronts probe each box, the others hear of it by `company`: one that two of its watchers find ill
    gets no joins of anybody. A probe is over after this time.
    """

    timeout_ms: Annotated[float, Meta(ge=50, le=10_000)] = 500.0


class OverloadSettings(Strict, frozen=True, kw_only=True):
    """Fronts tell each other what they are asked and shed load by one ladder; with no `company` each takes
    the others for its own likes. What all fronts together may spend a second: 0 sets no limit.
    """

    enabled: bool = True
    further_joins_s: Figure = 0.0
    probes_s: Figure = 0.0
    list_calls_s: Figure = 0.0


class SlotSettings(Strict, frozen=True, kw_only=True):
    """The fleet learns how many joins each box takes at a time. `start` is the number of all fronts together
    where nothing is known; no more than one set-up in a hundred should wait for a slot longer than
    `wait_share` of the shortest client timeout; a loan has to outlast every join.
    """

    start: Annotated[int, Meta(ge=1, le=4096)] = 16
    least: Annotated[int, Meta(ge=1, le=4096)] = 2
    most: Annotated[int, Meta(ge=1, le=4096)] = 256
    wait_share: Annotated[float, Meta(gt=0, le=1)] = 0.02
    loan_ms: Annotated[float, Meta(ge=500, le=600_000)] = 10_000.0


class RecoverySettings(Strict, frozen=True, kw_only=True):
    """Service returns in order: the door opens at once, boxes are asked, a list kept in the store stands in
    for one that does not come, and while most boxes are cold the greater benefit goes first.
    """

    by_benefit: bool = True
    kept_list: bool = True


class ReleaseSettings(Strict, frozen=True, kw_only=True):
    """Who may be out is agreed among all fronts, and plans of operators move by it; a supervisor starts a
    front that has ended with the version that the file `wanted` names. Limits are the same at all fronts.
    """

    version: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]  # of this process, as the supervisor counts
    wanted: Annotated[str, Meta(min_length=1, max_length=1000)]
    halls: Annotated[list[Name], Meta(max_length=1000)] = field(
        default_factory=list
    )  # of the fronts, by index
    fronts_out: SomeCount = 1
    fronts_out_hall: SomeCount = 1
    boxes_out: SomeCount = 1
    boxes_out_hall: SomeCount = 1
    boxes_out_title: SomeCount = 1  # of the holders of one title
    margin: Share = 0.1  # of the room that stays, what the load of now has to leave
    front_load: Share = 0.0  # of a front's room, what an evening's peak uses
    beat_ms: SomeMillis = 250.0
    window_ms: SomeMillis = 2000.0
    silent_ms: SomeMillis = 2000.0
    show_ms: SomeMillis = 5000.0
    drain_ms: Millis = 1000.0  # in which who comes is sent to other fronts before this one ends


class ShapeSettings(Strict, frozen=True, kw_only=True):
    """What a fleet of another shape states; each default is as if it were not there."""

    switch_cost_ms: Millis = 0.0
    goal: Goal = Goal()
    tenants: Annotated[list[Tenant], Meta(max_length=1000)] = field(default_factory=list)
    over_quota_worth: Share = 1.0
    reports_unasked: bool = True
    probes: ProbeSettings | None = None
    peers: PeerSettings | None = None


class Fleet(Strict, frozen=True, kw_only=True):
    """What is known of the boxes beforehand."""

    kinds: Annotated[list[Kind], Meta(min_length=1, max_length=64)]
    cells: SomeCount = 1
    racks: SomeCount = 1
    kb_per_weight: Figure = 0.0
    all_links_kb: Figure = 0.0
    uplink_kb: Figure = 0.0
    uplinks_told: bool = True
    sizes_listed: bool = True
    seen_after_ms: Millis = 1000.0
    reports_every_ms: Millis = 1000.0
    guard: Figure = 0.0


class Rules(Strict, frozen=True, kw_only=True):
    """The figures of the rules that this front must keep."""

    drain_grace_ms: Millis = 2000.0
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0
    ramp_ms: Millis = 0.0
    fall_multiple: Annotated[float, Meta(ge=1, le=1000)] = 1.0  # of its pace; past it for `tip_after_ms`
    tip_after_ms: Millis = 0.0  # a cold box falls over
    join_cap: SomeCount | None = None
    budget_free: Figure | None = None
    budget_ratio: Figure = 0.0
    budget_span_ms: Millis = 0.0


class Lists(Strict, frozen=True, kw_only=True):
    """Where the server list comes from."""

    address: Address
    must_ask: bool = False
    ask_within_ms: SomeMillis | None = None


class Limits(Strict, frozen=True, kw_only=True):
    """Bounds on what the front holds; past one the answer is an immediate 503."""

    connections: SomeCount = 1024
    waiting: SomeCount = 512
    held: SomeCount = 100_000
    buffered_bytes: SomeCount = 1_000_000
    head_bytes: Annotated[int, Meta(ge=256, le=1_000_000)] = 16_384
    head_count: Annotated[int, Meta(ge=4, le=1000)] = 64
    body_bytes: Annotated[int, Meta(ge=64, le=1_000_000)] = 16_384
    head_ms: SomeMillis = 5000.0
    idle_ms: SomeMillis = 30_000.0
    write_ms: SomeMillis = 5000.0
    box_connections: SomeCount = 16
    stop_ms: SomeMillis = 5000.0
    silent_ms: SomeMillis = 30_000.0
    stack_kib: Annotated[int, Meta(ge=64, le=8192)] = 256


class StormSettings(Strict, frozen=True, kw_only=True):
    """Damping of retry storms; `key_file` makes places outlive this process (`fennelcove storm key` makes
    it).
    """

    damping: bool = False
    box_limits: bool = False
    key_file: Annotated[str, Meta(max_length=1000)] | None = None


class WebSocketSettings(Strict, frozen=True, kw_only=True):
    """The second door. `origins` are the web pages that may open a connection, as `https://host`; none named
    is any.
    """

    subscriptions: Annotated[int, Meta(ge=1, le=64)] = 8
    origins: list[Annotated[str, Meta(max_length=200, pattern=r"^https?://[a-z0-9.:\[\]-]+$")]] = field(
        default_factory=list
    )
    deflate: bool = True
    message_bytes: Annotated[int, Meta(ge=1024, le=1_000_000)] = 16_384


class ViewerSettings(Strict, frozen=True, kw_only=True):
    """With a key file, whoever asks needs a pass made under one of its keys (`fennelcove keys pass`)."""

    key_file: Annotated[str, Meta(max_length=1000)] | None = None


class OperatorKey(Strict, frozen=True, kw_only=True):
    """A key of operators: a file as `fennelcove storm key` makes it."""

    name: Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9._-]+$")]
    key_file: Annotated[str, Meta(max_length=1000)]
    may_change: bool = True


class ControlSettings(Strict, frozen=True, kw_only=True):
    """Commands of operators. Without a key none is taken; `audit` is a file that tells each."""

    keys: list[OperatorKey] = field(default_factory=list)
    audit: Annotated[str, Meta(max_length=1000)] | None = None


class StoreSettings(Strict, frozen=True, kw_only=True):
    """A folder that lasts, of this front alone: what it learned outlives its process."""

    folder: Annotated[str, Meta(min_length=1, max_length=1000)]
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] = 64


class TlsSettings(Strict, frozen=True, kw_only=True):
    """Certificate chain and key, as PEM files; read again when they change (`fennelcove keys new`)."""

    certificate: Annotated[str, Meta(max_length=1000)]
    key: Annotated[str, Meta(max_length=1000)]


class Weight(Strict, frozen=True, kw_only=True):
    """A tenant, and how its part of slot-time compares with the others'."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class FairSettings(Strict, frozen=True, kw_only=True):
    """Slot-time at boxes is shared out among tenants. `slots` is how many joins one box may have out of all
    fronts; where `weights` names tenants all others together weigh `strangers`.
    """

    slots: Annotated[int, Meta(ge=2, le=10_000)]
    weights: Annotated[list[Weight], Meta(max_length=1000)] = field(default_factory=list)
    strangers: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    wait_ms: Annotated[float, Meta(gt=0, le=60_000)] = 200.0  # at most, for a slot
    waiting: Annotated[int, Meta(ge=1, le=10_000)] = 256  # set-ups at a time


class FrontSettings(Strict, frozen=True, kw_only=True):
    """All that a front is told at its start."""

    HEAD: ClassVar[str] = "front"

    name: Name
    listen: Address
    lists: Lists
    source: Annotated[str, Meta(max_length=64, pattern=r"^[0-9.]*$")] = (
        ""  # of ours, from which peers are dialled
    )
    room_types: Annotated[list[RoomTypeSettings], Meta(min_length=1, max_length=64)]
    ladder: Annotated[list[Rung], Meta(min_length=1, max_length=64)]
    fleet: Fleet
    titles: Annotated[list[Title], Meta(min_length=1, max_length=100_000)]
    instance: Instance = Instance()
    rules: Rules = Rules()
    stitch: StitchSettings = StitchSettings()
    storm: StormSettings = StormSettings()
    websocket: WebSocketSettings = WebSocketSettings()
    viewers: ViewerSettings = ViewerSettings()
    tls: TlsSettings | None = None
    store: StoreSettings | None = None
    control: ControlSettings = ControlSettings()
    limits: Limits = Limits()
    seed: Count = 1
    max_retry_after_ms: Millis | None = 2000.0
    cross_zone_price: Figure = 0.0
    shape: ShapeSettings = ShapeSettings()
    company: CompanySettings | None = None
    recovery: RecoverySettings | None = None
    overload: OverloadSettings | None = None
    releases: ReleaseSettings | None = None
    watchers: WatcherSettings | None = None
    slots: SlotSettings | None = None
    fair: FairSettings | None = None
    watch: ShapeSettings | None = None  # a shape to compare with: its decisions are counted, not carried out
