"""Checks a recording against the six rules, using only what passed on the sockets of the emulated peers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.exemptions import SLACK_US, Exemptions
from fennelcove.scenarios.outages import Outs, check_outages
from fennelcove.scenarios.recovery import Fleet, fleet_figures
from fennelcove.scenarios.slots import Slots, check_attempt_slots
from fennelcove.scenarios.tenants import Tenants, check_tenants

STATUS_SERVED, STATUS_THROTTLED = 201, 503
# Checks beside the six rules.
DESCRIPTION_RULE = 8  # every message of a front matches the published API descriptions
STORE_RULE = 9  # a store holds no record that differs from what was written
PLAYBACK_RULE = 7  # playback stays within the limits of the scenario


class Violation(msgspec.Struct, frozen=True):
    """One violation of a rule."""

    rule: int
    time: float
    subscription: str
    reason: str


class Verdict(msgspec.Struct, kw_only=True):
    """The verdict on one run. Counts are of requests; service is a share of the requested benefit."""

    day: str
    requests: int
    answers: int
    played: int
    throttled: int
    terminated: int
    hung_up: int
    not_taken: int
    lost: int
    seams: int
    moves: int
    stalls: int
    longest_stall_ms: float
    settled_s: float | None = None
    rig_late_ms: float = 0.0  # longest duration of a request that involved no front or server
    rig_late_s: float = 0.0  # total duration of such requests that took longer than the checker's slack
    service: float
    service_floor: float
    broken: list[Violation]
    inconclusive: list[Violation] = []  # lateness during a measured stall of the host
    fleet: Fleet | None = None  # only with several fronts
    outs: Outs | None = None  # only with releases
    tenants: Tenants | None = None  # only with tenants
    slots: Slots | None = None  # only where attempts in flight at servers are checked

    @property
    def passed(self) -> bool:
        """Whether there is no violation, nothing inconclusive, and service is at least at its floor."""
        return not self.broken and not self.inconclusive and self.service >= self.service_floor


@dataclass(slots=True)
class _Attempt:
    """One session attempt as its server observed it; times in microseconds."""

    front: str
    server: str
    number: int
    room_type: str
    title: str
    rung: int
    started_us: int
    completed_us: int | None = None
    outcome: str = ""
    ended_us: int | None = None


@dataclass(slots=True)
class _Recording:
    """A recording, indexed by the subject of its records."""

    terms: Record
    room_types: dict[str, Any]
    asked: dict[tuple[str, int], Record] = field(default_factory=dict)
    answers: dict[tuple[str, int], list[Record]] = field(default_factory=lambda: defaultdict(list))
    unanswered: dict[tuple[str, int], Record] = field(default_factory=dict)
    attempts: dict[str, list[_Attempt]] = field(default_factory=lambda: defaultdict(list))
    servers: dict[str, Record] = field(default_factory=dict)
    released_us: dict[str, int] = field(default_factory=dict)  # when a session's client released it
    list_updates: list[Record] = field(default_factory=list)
    server_starts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    exemptions: Exemptions = field(default_factory=Exemptions)
    broken: list[Violation] = field(default_factory=list)
    inconclusive: list[Violation] = field(default_factory=list)
    machine_stalls: list[tuple[int, int]] = field(default_factory=list)  # from, until

    def add_violation(self, rule: int, t_us: int, subscription: str, reason: str) -> None:
        self.broken.append(Violation(rule, round(t_us / 1e6, 3), subscription, reason))

    def add_lateness_violation(self, rule: int, t_us: int, subscription: str, reason: str) -> None:
        """Record a violation that consists only of lateness.

        It is inconclusive during a measured stall of the host and while the stall's backlog is processed.
        """
        stalled = any(from_us <= t_us <= until_us + SLACK_US for from_us, until_us in self.machine_stalls)
        violations = self.inconclusive if stalled else self.broken
        violations.append(Violation(rule, round(t_us / 1e6, 3), subscription, reason))


def _index_records(records: list[Record]) -> _Recording:
    terms = next((record for record in records if record["what"] == "terms"), None)
    if terms is None:
        raise ValueError("the recording has no `terms` record, so there is nothing to check it against")
    recording = _Recording(terms, {room_type["name"]: room_type for room_type in terms["room_types"]})
    recording.exemptions.stop_us = round(terms.get("stop_ms", 0.0) * 1000)
    for record in records:
        what, t_us = record["what"], record["t_us"]
        if what == "machine_stalled":
            recording.machine_stalls.append((record["from_us"], record["until_us"]))
        elif what == "asked":
            recording.asked[record["viewer"], record["number"]] = record
        elif what in ("answered", "stray"):
            if record.get("status") == STATUS_SERVED and "front" in record:
                recording.exemptions.last_accepted_us[record["front"]] = t_us
            recording.answers[record["viewer"], record["number"]].append(record)
        elif what == "unanswered":
            recording.unanswered[record["viewer"], record["number"]] = record
        elif what == "releases":
            recording.released_us[record["subscription"]] = t_us
        elif what == "box":
            recording.servers[record["box"]] = record
        elif what == "box_started":
            recording.server_starts[record["box"]].append(t_us)
        elif what == "told":
            recording.list_updates.append(record)
        elif what == "set_up":
            recording.attempts[record["subscription"]].append(
                _Attempt(
                    record["front"],
                    record["box"],
                    record["join"],
                    record["room_type"],
                    record["title"],
                    record["rung"],
                    t_us,
                )
            )
        elif not recording.exemptions.observe(record):
            _update_attempts(recording, record)
    return recording


def _update_attempts(recording: _Recording, record: Record) -> None:
    what = record["what"]
    if what == "set_up_over":
        attempt = _find_attempt(recording, record)
        if attempt is not None and attempt.completed_us is None:
            attempt.completed_us, attempt.outcome = record["t_us"], record["how"]
    elif what in ("released", "ended"):
        attempt = _find_attempt(recording, record)
        if attempt is not None:
            attempt.ended_us = record["t_us"]
    elif what == "rung":
        attempt = _find_attempt(recording, record)
        if attempt is not None and record["rung"] < recording.room_types[attempt.room_type]["floor"]:
            recording.add_violation(
                5, record["t_us"], record["subscription"], f"rung {record['rung']} is below the floor"
            )
    elif what == "box_died":
        for attempts in recording.attempts.values():
            for attempt in attempts:
                if attempt.server == record["box"] and attempt.ended_us is None:
                    attempt.ended_us = record["t_us"]
                    attempt.completed_us = (
                        attempt.completed_us if attempt.completed_us is not None else record["t_us"]
                    )
                    attempt.outcome = attempt.outcome or "reset"


def _find_attempt(recording: _Recording, record: Record) -> _Attempt | None:
    for attempt in reversed(recording.attempts.get(record["subscription"], [])):
        if attempt.number == record["join"] and attempt.server == record["box"]:
            return attempt
    return None


# Rule 1.


def _check_single_response(recording: _Recording) -> None:
    for key, asked in recording.asked.items():
        answers, no_response = recording.answers.get(key, []), recording.unanswered.get(key)
        name = f"{key[0]}/{key[1]}"
        due_us = asked["t_us"] + round(asked["timeout_ms"] * 1000)
        if len(answers) > 1:
            recording.add_violation(1, answers[1]["t_us"], name, f"{len(answers)} responses to one request")
        if not answers:
            if no_response is None:
                recording.add_violation(1, due_us, name, "neither a response nor an end of its connection")
            elif no_response["how"] not in ("hung_up",) and not recording.exemptions.explains_failure(
                asked, no_response
            ):
                recording.add_lateness_violation(
                    1,
                    no_response["t_us"],
                    name,
                    f"no response before the client timeout ({no_response['how']})",
                )
            continue
        answer = answers[0]
        if recording.exemptions.explains_failure(asked, {"t_us": answer["t_us"], "how": "late"}):
            continue  # a paused front responds once it continues
        if answer["t_us"] > due_us:
            recording.add_lateness_violation(1, answer["t_us"], name, "response after the client timeout")
        _check_prompt_refusal(recording, name, asked, answer)


def _check_prompt_refusal(recording: _Recording, name: str, asked: Record, answer: Record) -> None:
    if answer["status"] == STATUS_SERVED:
        return
    if answer["status"] == STATUS_THROTTLED and not answer["retry_after"]:
        recording.add_violation(1, answer["t_us"], name, "throttled without a Retry-After time")
    last = asked["t_us"]
    for attempt in recording.attempts.get(answer["subscription"] or "", []):
        last = max(last, attempt.completed_us if attempt.completed_us is not None else answer["t_us"])
    # A request may wait this long for a slot; once no attempt is in flight, its refusal is due immediately.
    if answer["t_us"] - last > SLACK_US + round(recording.terms.get("slot_wait_ms", 0) * 1000):
        held_ms = (answer["t_us"] - last) / 1000
        recording.add_lateness_violation(1, answer["t_us"], name, f"refusal was delayed for {held_ms:.0f} ms")


# Rule 2.


def _check_duplicate_attempts(recording: _Recording) -> None:
    answered = {
        answer["subscription"]: answer
        for answers in recording.answers.values()
        for answer in answers
        if answer["what"] == "answered" and answer["subscription"]
    }
    for id, attempts in recording.attempts.items():
        room_type = recording.room_types[attempts[0].room_type]
        for before, after in pairwise(attempts):
            if recording.exemptions.hides_completion(before.started_us, after.started_us):
                continue
            if before.completed_us is None or after.started_us < before.completed_us - SLACK_US:
                recording.add_violation(
                    2,
                    after.started_us,
                    id,
                    f"attempt {after.number} in flight while attempt {before.number} was",
                )
        ran = [attempt for attempt in attempts if attempt.outcome != "turned_away"]
        if room_type["effect"] == "free" or not ran:
            continue
        first = ran[0]
        for attempt in attempts[attempts.index(first) + 1 :]:
            if room_type["effect"] == "single_shot":
                recording.add_violation(
                    2,
                    attempt.started_us,
                    id,
                    "a single-shot set-up was repeated after an attempt that may have run",
                )
            elif not _is_safe_repeat(recording, room_type, first, attempt):
                recording.add_violation(
                    2, attempt.started_us, id, "a guarded set-up was repeated outside its scope or window"
                )
        answer = answered.get(id)
        keyed = room_type["effect"] == "guarded" and room_type["scope"] == "all"
        if answer is not None and answer["status"] == STATUS_THROTTLED and not keyed:
            recording.add_violation(2, answer["t_us"], id, "throttled although an attempt may have run")


def _is_safe_repeat(
    recording: _Recording, room_type: dict[str, Any], first: _Attempt, attempt: _Attempt
) -> bool:
    if attempt.started_us - first.started_us > room_type["key_ttl_ms"] * 1000 + SLACK_US:
        return False
    here, there = recording.servers[first.server], recording.servers[attempt.server]
    return bool(room_type["scope"] == "all" or here[room_type["scope"]] == there[room_type["scope"]])


# Rule 3.


def _check_drains(recording: _Recording) -> None:
    grace_us = round(recording.terms["drain_grace_ms"] * 1000)
    closed: dict[str, list[tuple[int, int | None]]] = defaultdict(
        list
    )  # listed as inactive, listed as active again
    listed: set[str] = set()
    for update in recording.list_updates:
        active = {server for server, state in update["boxes"].items() if state == "active"}
        out = {server for server, state in update["boxes"].items() if state != "active"}
        if update["whole"]:
            out |= listed - set(update["boxes"])
        listed |= set(update["boxes"])
        for server in out:
            if not closed[server] or closed[server][-1][1] is not None:
                closed[server].append((update["t_us"], None))
        for server in active:
            if closed[server] and closed[server][-1][1] is None:
                closed[server][-1] = (closed[server][-1][0], update["t_us"])
    for id, attempts in recording.attempts.items():
        for attempt in attempts:
            for since, until in closed.get(attempt.server, []):
                late = attempt.started_us > since + grace_us + SLACK_US
                if late and (until is None or attempt.started_us < until - SLACK_US):
                    recording.add_violation(
                        3,
                        attempt.started_us,
                        id,
                        f"set up at {attempt.server}, listed as draining since {since / 1e6:.3f} s",
                    )


# Rule 4.


def _check_cold_servers(recording: _Recording) -> None:
    terms = recording.terms
    ramp_us, window_us = terms["ramp_ms"] * 1000, terms["tip_after_ms"] * 1000
    if not ramp_us:
        return
    is_joint = terms.get("company", False)
    for server, server_starts in recording.server_starts.items():
        attempts = [
            (attempt.front, attempt.started_us, id)
            for id, all_ in recording.attempts.items()
            for attempt in all_
            if attempt.server == server
        ]
        for front in sorted({name for name, _, _ in attempts}) if not is_joint else [""]:
            # A front alone is checked against its own share. Fronts that know their peers may use each
            # other's shares, so only their sum can be checked.
            times = sorted((t, id) for name, t, id in attempts if is_joint or name == front)
            for start in server_starts:
                _check_cold_start(
                    recording,
                    server,
                    start,
                    [(t, id) for t, id in times if start <= t < start + ramp_us],
                    window_us,
                )


def _check_cold_start(
    recording: _Recording, server: str, start: int, cold: list[tuple[int, str]], window_us: float
) -> None:
    terms = recording.terms
    ramp_us = terms["ramp_ms"] * 1000
    for i, (t, id) in enumerate(cold):
        sent = sum(1 for other, _ in cold[: i + 1] if other > t - window_us)
        warmth = terms["start_capacity"] + (1 - terms["start_capacity"]) * (t - start) / ramp_us
        pace = recording.servers[server]["streams"] / ramp_us * warmth
        # The budget is counted in whole set-ups, so one more is allowed at the edge of the window.
        front_count = 1 if terms.get("company", False) else terms["fronts"]
        if sent > pace * window_us / front_count * terms["fall_multiple"] + 1:
            recording.add_violation(4, t, id, f"{sent} set-ups at a cold server within {window_us / 1e6:g} s")


# Rule 5.


def _check_floors_and_seats(recording: _Recording) -> None:
    changes: dict[tuple[str, str, str], list[tuple[int, int, str]]] = defaultdict(list)
    for id, attempts in recording.attempts.items():
        for attempt in attempts:
            room_type = recording.room_types[attempt.room_type]
            if attempt.rung < room_type["floor"]:
                recording.add_violation(
                    5, attempt.started_us, id, f"set up at rung {attempt.rung}, below the floor"
                )
            if room_type["seats"]:
                changes[attempt.front, attempt.title, attempt.room_type].append((attempt.started_us, 1, id))
                end = attempt.ended_us if attempt.outcome == "started" else attempt.completed_us
                # A client that has left occupies no seat, though its server may be notified late. Without a
                # release by the client the server's record counts, which is the strict interpretation.
                end = min((at for at in (end, recording.released_us.get(id)) if at is not None), default=None)
                if end is not None:
                    changes[attempt.front, attempt.title, attempt.room_type].append((end - SLACK_US, -1, id))
    for (_, title, name), events in changes.items():
        taken = 0
        for t, change, id in sorted(events):
            taken += change
            if taken > recording.room_types[name]["seats"]:
                recording.add_violation(5, t, id, f"{taken} sessions of {title}, more than it has seats")


# Rule 6.


def _check_attempt_budget(recording: _Recording) -> None:
    free = recording.terms.get("budget_free")
    if free is None:
        return
    span_us = recording.terms["budget_span_ms"] * 1000
    attempts = [
        (attempt.front, attempt.started_us, id)
        for id, found in recording.attempts.items()
        for attempt in found
        if attempt.number > 0
    ]
    for front in sorted({name for name, _, _ in attempts}):
        # A request is attributed to a front by its address; recordings of a single front may omit it.
        port = recording.exemptions.address_by_front.get(front)
        taken = sorted(a["t_us"] for a in recording.asked.values() if port is None or a.get("front") == port)
        further = sorted((t, id) for name, t, id in attempts if name == front)
        for i, (t, id) in enumerate(further):
            since = t - span_us
            spent = sum(1 for other, _ in further[: i + 1] if other >= since + SLACK_US)
            earned = free + recording.terms["budget_ratio"] * sum(
                1 for at in taken if since - SLACK_US <= at <= t
            )
            if spent > earned:
                recording.add_violation(
                    6, t, id, f"{spent} further attempts, where the budget allows {earned:.1f}"
                )


RULES = (
    _check_single_response,
    _check_duplicate_attempts,
    _check_drains,
    _check_cold_servers,
    _check_floors_and_seats,
    _check_attempt_budget,
)


def _check_playback(recording: _Recording, records: list[Record]) -> None:
    """Check that no stall exceeds the scenario's limit and that no listed segment is denied."""
    limit_ms = recording.terms.get("stall_limit_ms")
    for record in records:
        if record["what"] == "stall" and limit_ms is not None and record["ms"] > limit_ms:
            where = (
                "at a splice"
                if record["seam"]
                else "during a migration"
                if record["moved"]
                else "between splices"
            )
            recording.add_lateness_violation(
                PLAYBACK_RULE,
                record["t_us"],
                record["subscription"],
                f"stalled {record['ms']:.0f} ms {where}",
            )
        elif record["what"] in ("denied", "fell_off", "no_segment"):
            recording.add_violation(
                PLAYBACK_RULE,
                record["t_us"],
                record["subscription"],
                f"a listed segment was not served: {record['what']}",
            )


def _check_messages_and_stores(recording: _Recording, records: list[Record]) -> None:
    for record in records:
        if record["what"] == "undescribed":
            recording.add_violation(DESCRIPTION_RULE, record["t_us"], "", record["fault"])
        elif record["what"] == "store_fault" and "cut short" not in record["fault"]:
            # A record that was being written when the front was killed is truncated and never used.
            recording.add_violation(STORE_RULE, record["t_us"], "", record["fault"])


def _check_settle_time(recording: _Recording, records: list[Record]) -> float | None:
    """Seconds after the last crowd until no second has more than a twentieth of its requests refused."""
    last = recording.terms.get("last_crowd_s")
    if last is None:
        return None
    began_us = next((r["t_us"] for r in records if r["what"] == "front_started"), 0)
    seconds: dict[int, list[bool]] = defaultdict(list)
    for record in records:
        if record["what"] == "answered":
            seconds[(record["t_us"] - began_us) // 1_000_000].append(record["status"] == STATUS_THROTTLED)
    overloaded_seconds = [at for at, refused in seconds.items() if sum(refused) > max(1, len(refused) / 20)]
    settled = max(0.0, float(max(overloaded_seconds, default=0) + 1 - last))
    within = recording.terms.get("settle_within_s")
    if within is not None and settled > within:
        recording.add_violation(
            PLAYBACK_RULE, began_us, "", f"refusals continued for {settled:g} s after the last crowd"
        )
    return settled


def _served_benefit_share(recording: _Recording) -> float:
    """The benefit served within the set-up objective over that requested; retries belong to the first try."""
    offered = earned = 0.0
    first: dict[str, Record] = {}
    for (viewer, number), asked in recording.asked.items():
        no_response = recording.unanswered.get((viewer, number))
        if number == 0 and not (no_response is not None and no_response["how"] == "hung_up"):
            first[viewer] = asked
    for viewer, asked in first.items():
        room_type = recording.room_types[asked["room_type"]]
        offered += room_type["benefit"]
        times = [
            answers[0]["t_us"]
            for (name, _), answers in recording.answers.items()
            if name == viewer and answers and answers[0]["status"] == STATUS_SERVED
        ]
        if times and min(times) - asked["t_us"] <= room_type["objective_ms"] * 1000:
            earned += room_type["benefit"]
    return earned / offered if offered else 1.0


def check_recording(records: list[Record]) -> Verdict:
    """The verdict on a recording.

    Raises:
        ValueError: the recording has no `terms` record.
    """
    recording = _index_records(records)
    for rule in RULES:
        rule(recording)
    for record in records:
        if record["what"] == "fell":
            recording.add_violation(
                4, record["t_us"], "", f"cold server {record['box']} crashed from overload"
            )
    _check_playback(recording, records)
    _check_messages_and_stores(recording, records)
    settled = _check_settle_time(recording, records)
    rollout = check_outages(records) if recording.terms.get("release") else None
    for fault in rollout.faults if rollout is not None else ():
        recording.add_violation(fault.rule, fault.t_us, fault.front, fault.reason)
    tenancy = check_tenants(records) if recording.terms.get("tenants") else None
    for violation in tenancy.violations if tenancy is not None else ():
        recording.add_violation(violation.rule, violation.t_us, violation.name, violation.reason)
    slot_use = check_attempt_slots(records) if recording.terms.get("slots") else None
    for excess in slot_use[1] if slot_use is not None else ():
        recording.add_violation(excess.rule, excess.t_us, excess.server, excess.reason)

    def count(what: str) -> int:
        return sum(1 for record in records if record["what"] == what)

    late_ms = [record["ms"] for record in records if record["what"] == "rig_late"]
    statuses = [answers[0].get("status") for answers in recording.answers.values()]
    no_response_outcomes = [no_response["how"] for no_response in recording.unanswered.values()]
    return Verdict(
        day=recording.terms["day"],
        requests=len(recording.asked),
        answers=sum(map(len, recording.answers.values())),
        played=statuses.count(STATUS_SERVED),
        throttled=statuses.count(STATUS_THROTTLED),
        terminated=sum(1 for status in statuses if status not in (STATUS_SERVED, STATUS_THROTTLED)),
        hung_up=no_response_outcomes.count("hung_up"),
        not_taken=no_response_outcomes.count("refused") + no_response_outcomes.count("reset"),
        settled_s=settled,
        rig_late_ms=max(late_ms, default=0.0),
        rig_late_s=round(sum(ms for ms in late_ms if ms * 1000 > SLACK_US) / 1000, 1),
        seams=count("seam"),
        moves=count("other_box"),
        stalls=count("stall"),
        longest_stall_ms=max((record["ms"] for record in records if record["what"] == "stall"), default=0.0),
        lost=sum(1 for record in records if record["what"] == "lost"),
        service=round(_served_benefit_share(recording), 4),
        service_floor=recording.terms["service_floor"],
        broken=sorted(recording.broken, key=lambda broken: broken.time),
        inconclusive=sorted(recording.inconclusive, key=lambda broken: broken.time),
        outs=rollout.shown if rollout is not None else None,
        tenants=tenancy.shown if tenancy is not None else None,
        slots=slot_use[0] if slot_use is not None else None,
        fleet=fleet_figures(records)
        if recording.terms["fronts"] > 1 and any(r["what"] == "day_began" for r in records)
        else None,
    )
