"""Checks a recording against the six rules, using only what passed on the sockets of the emulated peers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.exemptions import SLACK_US, Excuses
from fennelcove.scenarios.outages import Outs, outs
from fennelcove.scenarios.recovery import Fleet, fleet
from fennelcove.scenarios.slots import Slots, slots
from fennelcove.scenarios.tenants import Tenants, tenants

PLAYS, THROTTLED = 201, 503
# Checks beside the six rules.
DESCRIBED = 8  # every message of a front matches the published API descriptions
SOUND = 9  # a store holds no record that differs from what was written
SMOOTH = 7  # playback stays within the limits of the scenario


class Broken(msgspec.Struct, frozen=True):
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
    broken: list[Broken]
    inconclusive: list[Broken] = []  # lateness during a measured stall of the host
    fleet: Fleet | None = None  # only with several fronts
    outs: Outs | None = None  # only with releases
    tenants: Tenants | None = None  # only with tenants
    slots: Slots | None = None  # only where attempts in flight at servers are checked

    @property
    def passed(self) -> bool:
        """Whether there is no violation, nothing inconclusive, and service is at least at its floor."""
        return not self.broken and not self.inconclusive and self.service >= self.service_floor


@dataclass(slots=True)
class _Join:
    """One session attempt as its server observed it; times in microseconds."""

    front: str
    box: str
    number: int
    room: str
    title: str
    rung: int
    began: int
    over: int | None = None
    how: str = ""
    ended: int | None = None


@dataclass(slots=True)
class _Seen:
    """A recording, indexed by the subject of its records."""

    terms: Record
    rooms: dict[str, Any]
    asked: dict[tuple[str, int], Record] = field(default_factory=dict)
    answers: dict[tuple[str, int], list[Record]] = field(default_factory=lambda: defaultdict(list))
    unanswered: dict[tuple[str, int], Record] = field(default_factory=dict)
    joins: dict[str, list[_Join]] = field(default_factory=lambda: defaultdict(list))
    boxes: dict[str, Record] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)  # when a session's client released it
    told: list[Record] = field(default_factory=list)
    starts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    excuses: Excuses = field(default_factory=Excuses)
    broken: list[Broken] = field(default_factory=list)
    inconclusive: list[Broken] = field(default_factory=list)
    machine_stalls: list[tuple[int, int]] = field(default_factory=list)  # from, until

    def break_(self, rule: int, t_us: int, subscription: str, reason: str) -> None:
        self.broken.append(Broken(rule, round(t_us / 1e6, 3), subscription, reason))

    def break_by_lateness(self, rule: int, t_us: int, subscription: str, reason: str) -> None:
        """Record a violation that consists only of lateness.

        It is inconclusive during a measured stall of the host and while the stall's backlog is processed.
        """
        stalled = any(from_us <= t_us <= until_us + SLACK_US for from_us, until_us in self.machine_stalls)
        found = self.inconclusive if stalled else self.broken
        found.append(Broken(rule, round(t_us / 1e6, 3), subscription, reason))


def _sort(records: list[Record]) -> _Seen:
    terms = next((record for record in records if record["what"] == "terms"), None)
    if terms is None:
        raise ValueError("the recording has no `terms` record, so there is nothing to check it against")
    seen = _Seen(terms, {room["name"]: room for room in terms["room_types"]})
    seen.excuses.stop_us = round(terms.get("stop_ms", 0.0) * 1000)
    for record in records:
        what, t_us = record["what"], record["t_us"]
        if what == "machine_stalled":
            seen.machine_stalls.append((record["from_us"], record["until_us"]))
        elif what == "asked":
            seen.asked[record["viewer"], record["number"]] = record
        elif what in ("answered", "stray"):
            if record.get("status") == PLAYS and "front" in record:
                seen.excuses.let_in[record["front"]] = t_us
            seen.answers[record["viewer"], record["number"]].append(record)
        elif what == "unanswered":
            seen.unanswered[record["viewer"], record["number"]] = record
        elif what == "releases":
            seen.left[record["subscription"]] = t_us
        elif what == "box":
            seen.boxes[record["box"]] = record
        elif what == "box_started":
            seen.starts[record["box"]].append(t_us)
        elif what == "told":
            seen.told.append(record)
        elif what == "set_up":
            seen.joins[record["subscription"]].append(
                _Join(
                    record["front"],
                    record["box"],
                    record["join"],
                    record["room_type"],
                    record["title"],
                    record["rung"],
                    t_us,
                )
            )
        elif not seen.excuses.hear(record):
            _join_news(seen, record)
    return seen


def _join_news(seen: _Seen, record: Record) -> None:
    what = record["what"]
    if what == "set_up_over":
        join = _join(seen, record)
        if join is not None and join.over is None:
            join.over, join.how = record["t_us"], record["how"]
    elif what in ("released", "ended"):
        join = _join(seen, record)
        if join is not None:
            join.ended = record["t_us"]
    elif what == "rung":
        join = _join(seen, record)
        if join is not None and record["rung"] < seen.rooms[join.room]["floor"]:
            seen.break_(
                5, record["t_us"], record["subscription"], f"rung {record['rung']} is below the floor"
            )
    elif what == "box_died":
        for joins in seen.joins.values():
            for join in joins:
                if join.box == record["box"] and join.ended is None:
                    join.ended = record["t_us"]
                    join.over = join.over if join.over is not None else record["t_us"]
                    join.how = join.how or "reset"


def _join(seen: _Seen, record: Record) -> _Join | None:
    for join in reversed(seen.joins.get(record["subscription"], [])):
        if join.number == record["join"] and join.box == record["box"]:
            return join
    return None


# Rule 1.


def _one_answer(seen: _Seen) -> None:
    for key, asked in seen.asked.items():
        answers, silence = seen.answers.get(key, []), seen.unanswered.get(key)
        name = f"{key[0]}/{key[1]}"
        due_us = asked["t_us"] + round(asked["timeout_ms"] * 1000)
        if len(answers) > 1:
            seen.break_(1, answers[1]["t_us"], name, f"{len(answers)} responses to one request")
        if not answers:
            if silence is None:
                seen.break_(1, due_us, name, "neither a response nor an end of its connection")
            elif silence["how"] not in ("hung_up",) and not seen.excuses.not_taken(asked, silence):
                seen.break_by_lateness(
                    1, silence["t_us"], name, f"no response before the client timeout ({silence['how']})"
                )
            continue
        answer = answers[0]
        if seen.excuses.not_taken(asked, {"t_us": answer["t_us"], "how": "late"}):
            continue  # a paused front responds once it continues
        if answer["t_us"] > due_us:
            seen.break_by_lateness(1, answer["t_us"], name, "response after the client timeout")
        _at_once(seen, name, asked, answer)


def _at_once(seen: _Seen, name: str, asked: Record, answer: Record) -> None:
    if answer["status"] == PLAYS:
        return
    if answer["status"] == THROTTLED and not answer["retry_after"]:
        seen.break_(1, answer["t_us"], name, "throttled without a Retry-After time")
    last = asked["t_us"]
    for join in seen.joins.get(answer["subscription"] or "", []):
        last = max(last, join.over if join.over is not None else answer["t_us"])
    # A request may wait this long for a slot; once no attempt is in flight, its refusal is due immediately.
    if answer["t_us"] - last > SLACK_US + round(seen.terms.get("slot_wait_ms", 0) * 1000):
        held_ms = (answer["t_us"] - last) / 1000
        seen.break_by_lateness(1, answer["t_us"], name, f"refusal was delayed for {held_ms:.0f} ms")


# Rule 2.


def _no_double(seen: _Seen) -> None:
    answered = {
        answer["subscription"]: answer
        for answers in seen.answers.values()
        for answer in answers
        if answer["what"] == "answered" and answer["subscription"]
    }
    for id, joins in seen.joins.items():
        room = seen.rooms[joins[0].room]
        for before, after in pairwise(joins):
            if seen.excuses.hidden(before.began, after.began):
                continue
            if before.over is None or after.began < before.over - SLACK_US:
                seen.break_(
                    2, after.began, id, f"attempt {after.number} in flight while attempt {before.number} was"
                )
        ran = [join for join in joins if join.how != "turned_away"]
        if room["effect"] == "free" or not ran:
            continue
        first = ran[0]
        for join in joins[joins.index(first) + 1 :]:
            if room["effect"] == "single_shot":
                seen.break_(
                    2, join.began, id, "a single-shot set-up was repeated after an attempt that may have run"
                )
            elif not _same_group(seen, room, first, join):
                seen.break_(2, join.began, id, "a guarded set-up was repeated outside its scope or window")
        answer = answered.get(id)
        keyed = room["effect"] == "guarded" and room["scope"] == "all"
        if answer is not None and answer["status"] == THROTTLED and not keyed:
            seen.break_(2, answer["t_us"], id, "throttled although an attempt may have run")


def _same_group(seen: _Seen, room: dict[str, Any], first: _Join, join: _Join) -> bool:
    if join.began - first.began > room["key_ttl_ms"] * 1000 + SLACK_US:
        return False
    here, there = seen.boxes[first.box], seen.boxes[join.box]
    return bool(room["scope"] == "all" or here[room["scope"]] == there[room["scope"]])


# Rule 3.


def _drains(seen: _Seen) -> None:
    grace_us = round(seen.terms["drain_grace_ms"] * 1000)
    closed: dict[str, list[tuple[int, int | None]]] = defaultdict(
        list
    )  # listed as inactive, listed as active again
    listed: set[str] = set()
    for told in seen.told:
        active = {box for box, state in told["boxes"].items() if state == "active"}
        out = {box for box, state in told["boxes"].items() if state != "active"}
        if told["whole"]:
            out |= listed - set(told["boxes"])
        listed |= set(told["boxes"])
        for box in out:
            if not closed[box] or closed[box][-1][1] is not None:
                closed[box].append((told["t_us"], None))
        for box in active:
            if closed[box] and closed[box][-1][1] is None:
                closed[box][-1] = (closed[box][-1][0], told["t_us"])
    for id, joins in seen.joins.items():
        for join in joins:
            for since, until in closed.get(join.box, []):
                late = join.began > since + grace_us + SLACK_US
                if late and (until is None or join.began < until - SLACK_US):
                    seen.break_(
                        3,
                        join.began,
                        id,
                        f"set up at {join.box}, listed as draining since {since / 1e6:.3f} s",
                    )


# Rule 4.


def _cold(seen: _Seen) -> None:
    terms = seen.terms
    ramp_us, window_us = terms["ramp_ms"] * 1000, terms["tip_after_ms"] * 1000
    if not ramp_us:
        return
    joint = terms.get("company", False)
    for box, starts in seen.starts.items():
        joins = [
            (join.front, join.began, id)
            for id, all_ in seen.joins.items()
            for join in all_
            if join.box == box
        ]
        for front in sorted({name for name, _, _ in joins}) if not joint else [""]:
            # A front alone is checked against its own share. Fronts that know their peers may use each
            # other's shares, so only their sum can be checked.
            times = sorted((t, id) for name, t, id in joins if joint or name == front)
            for start in starts:
                _cold_start(
                    seen, box, start, [(t, id) for t, id in times if start <= t < start + ramp_us], window_us
                )


def _cold_start(seen: _Seen, box: str, start: int, cold: list[tuple[int, str]], window_us: float) -> None:
    terms = seen.terms
    ramp_us = terms["ramp_ms"] * 1000
    for i, (t, id) in enumerate(cold):
        sent = sum(1 for other, _ in cold[: i + 1] if other > t - window_us)
        warmth = terms["start_capacity"] + (1 - terms["start_capacity"]) * (t - start) / ramp_us
        pace = seen.boxes[box]["streams"] / ramp_us * warmth
        # The budget is counted in whole set-ups, so one more is allowed at the edge of the window.
        sharers = 1 if terms.get("company", False) else terms["fronts"]
        if sent > pace * window_us / sharers * terms["fall_multiple"] + 1:
            seen.break_(4, t, id, f"{sent} set-ups at a cold server within {window_us / 1e6:g} s")


# Rule 5.


def _terms(seen: _Seen) -> None:
    changes: dict[tuple[str, str, str], list[tuple[int, int, str]]] = defaultdict(list)
    for id, joins in seen.joins.items():
        for join in joins:
            room = seen.rooms[join.room]
            if join.rung < room["floor"]:
                seen.break_(5, join.began, id, f"set up at rung {join.rung}, below the floor")
            if room["seats"]:
                changes[join.front, join.title, join.room].append((join.began, 1, id))
                end = join.ended if join.how == "started" else join.over
                # A client that has left occupies no seat, though its server may be notified late. Without a
                # release by the client the server's record counts, which is the strict interpretation.
                end = min((at for at in (end, seen.left.get(id)) if at is not None), default=None)
                if end is not None:
                    changes[join.front, join.title, join.room].append((end - SLACK_US, -1, id))
    for (_, title, name), events in changes.items():
        taken = 0
        for t, change, id in sorted(events):
            taken += change
            if taken > seen.rooms[name]["seats"]:
                seen.break_(5, t, id, f"{taken} sessions of {title}, more than it has seats")


# Rule 6.


def _budget(seen: _Seen) -> None:
    free = seen.terms.get("budget_free")
    if free is None:
        return
    span_us = seen.terms["budget_span_ms"] * 1000
    joins = [
        (join.front, join.began, id) for id, found in seen.joins.items() for join in found if join.number > 0
    ]
    for front in sorted({name for name, _, _ in joins}):
        # A request is attributed to a front by its address; recordings of a single front may omit it.
        port = seen.excuses.ports.get(front)
        taken = sorted(a["t_us"] for a in seen.asked.values() if port is None or a.get("front") == port)
        further = sorted((t, id) for name, t, id in joins if name == front)
        for i, (t, id) in enumerate(further):
            since = t - span_us
            spent = sum(1 for other, _ in further[: i + 1] if other >= since + SLACK_US)
            earned = free + seen.terms["budget_ratio"] * sum(1 for at in taken if since - SLACK_US <= at <= t)
            if spent > earned:
                seen.break_(6, t, id, f"{spent} further attempts, where the budget allows {earned:.1f}")


RULES = (_one_answer, _no_double, _drains, _cold, _terms, _budget)


def _smooth(seen: _Seen, records: list[Record]) -> None:
    """Check that no stall exceeds the scenario's limit and that no listed segment is denied."""
    limit_ms = seen.terms.get("stall_limit_ms")
    for record in records:
        if record["what"] == "stall" and limit_ms is not None and record["ms"] > limit_ms:
            where = (
                "at a splice"
                if record["seam"]
                else "during a migration"
                if record["moved"]
                else "between splices"
            )
            seen.break_by_lateness(
                SMOOTH, record["t_us"], record["subscription"], f"stalled {record['ms']:.0f} ms {where}"
            )
        elif record["what"] in ("denied", "fell_off", "no_segment"):
            seen.break_(
                SMOOTH,
                record["t_us"],
                record["subscription"],
                f"a listed segment was not served: {record['what']}",
            )


def _described(seen: _Seen, records: list[Record]) -> None:
    for record in records:
        if record["what"] == "undescribed":
            seen.break_(DESCRIBED, record["t_us"], "", record["fault"])
        elif record["what"] == "store_fault" and "cut short" not in record["fault"]:
            # A record that was being written when the front was killed is truncated and never used.
            seen.break_(SOUND, record["t_us"], "", record["fault"])


def _settled(seen: _Seen, records: list[Record]) -> float | None:
    """Seconds after the last crowd until no second has more than a twentieth of its requests refused."""
    last = seen.terms.get("last_crowd_s")
    if last is None:
        return None
    began_us = next((r["t_us"] for r in records if r["what"] == "front_started"), 0)
    seconds: dict[int, list[bool]] = defaultdict(list)
    for record in records:
        if record["what"] == "answered":
            seconds[(record["t_us"] - began_us) // 1_000_000].append(record["status"] == THROTTLED)
    rough = [at for at, refused in seconds.items() if sum(refused) > max(1, len(refused) / 20)]
    settled = max(0.0, float(max(rough, default=0) + 1 - last))
    within = seen.terms.get("settle_within_s")
    if within is not None and settled > within:
        seen.break_(SMOOTH, began_us, "", f"refusals continued for {settled:g} s after the last crowd")
    return settled


def _service(seen: _Seen) -> float:
    """The benefit served within the join objective over that requested; retries belong to the first try."""
    offered = earned = 0.0
    first: dict[str, Record] = {}
    for (viewer, number), asked in seen.asked.items():
        silence = seen.unanswered.get((viewer, number))
        if number == 0 and not (silence is not None and silence["how"] == "hung_up"):
            first[viewer] = asked
    for viewer, asked in first.items():
        room = seen.rooms[asked["room_type"]]
        offered += room["benefit"]
        times = [
            answers[0]["t_us"]
            for (name, _), answers in seen.answers.items()
            if name == viewer and answers and answers[0]["status"] == PLAYS
        ]
        if times and min(times) - asked["t_us"] <= room["objective_ms"] * 1000:
            earned += room["benefit"]
    return earned / offered if offered else 1.0


def judge(records: list[Record]) -> Verdict:
    """The verdict on a recording.

    Raises:
        ValueError: the recording has no `terms` record.
    """
    seen = _sort(records)
    for rule in RULES:
        rule(seen)
    for record in records:
        if record["what"] == "fell":
            seen.break_(4, record["t_us"], "", f"cold server {record['box']} crashed from overload")
    _smooth(seen, records)
    _described(seen, records)
    settled = _settled(seen, records)
    found = outs(records) if seen.terms.get("release") else None
    for fault in found.faults if found is not None else ():
        seen.break_(fault.rule, fault.t_us, fault.front, fault.reason)
    shared = tenants(records) if seen.terms.get("tenants") else None
    for broken in shared.faults if shared is not None else ():
        seen.break_(broken.rule, broken.t_us, broken.name, broken.reason)
    joined = slots(records) if seen.terms.get("slots") else None
    for wrong in joined[1] if joined is not None else ():
        seen.break_(wrong.rule, wrong.t_us, wrong.box, wrong.reason)

    def count(what: str) -> int:
        return sum(1 for record in records if record["what"] == what)

    late_ms = [record["ms"] for record in records if record["what"] == "rig_late"]
    statuses = [answers[0].get("status") for answers in seen.answers.values()]
    silent = [silence["how"] for silence in seen.unanswered.values()]
    return Verdict(
        day=seen.terms["day"],
        requests=len(seen.asked),
        answers=sum(map(len, seen.answers.values())),
        played=statuses.count(PLAYS),
        throttled=statuses.count(THROTTLED),
        terminated=sum(1 for status in statuses if status not in (PLAYS, THROTTLED)),
        hung_up=silent.count("hung_up"),
        not_taken=silent.count("refused") + silent.count("reset"),
        settled_s=settled,
        rig_late_ms=max(late_ms, default=0.0),
        rig_late_s=round(sum(ms for ms in late_ms if ms * 1000 > SLACK_US) / 1000, 1),
        seams=count("seam"),
        moves=count("other_box"),
        stalls=count("stall"),
        longest_stall_ms=max((record["ms"] for record in records if record["what"] == "stall"), default=0.0),
        lost=sum(1 for record in records if record["what"] == "lost"),
        service=round(_service(seen), 4),
        service_floor=seen.terms["service_floor"],
        broken=sorted(seen.broken, key=lambda broken: broken.time),
        inconclusive=sorted(seen.inconclusive, key=lambda broken: broken.time),
        outs=found.shown if found is not None else None,
        tenants=shared.shown if shared is not None else None,
        slots=joined[0] if joined is not None else None,
        fleet=fleet(records)
        if seen.terms["fronts"] > 1 and any(r["what"] == "day_began" for r in records)
        else None,
    )
