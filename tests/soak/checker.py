"""Checks the recordings of one run against the rules.

The protocol specification allows 50 ms on top of each time limit. Rules:

- `lost`: answers and releases are sent in time, and nothing is forwarded after the end of a session
- `standing`: a session whose client knows its end does not go on at its server
- `overlap`: one attempt of a session at a time
- `repeat`: a single-shot set-up that may have been executed is not repeated
- `drain`: no set-up to a draining or removed server after the grace period
- `failback`: a server that is warming up is not overloaded
- `bad_client`, `limits`, `crash`, `log`: invalid clients are disconnected; resources, processes, log entries
"""

from __future__ import annotations

import json
import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.soak.plan import DRAIN_GRACE_S, FALL_MULTIPLE, LATE, RAMP_S, START_CAPACITY, TIP_AFTER_S, Plan
from tests.soak.recording import Event, read

SLACK_S = 0.05
LATE_ANSWER_S = 0.5  # an answer this late has no value, but is not lost
MAX_RELEASE_S = 1.0  # from the release by a server to the one sent to the client
UNREPORTED_END_S = 8.0  # release time after a session end that the server could not report
MAX_HANDOVER_S = 0.2
MAX_STANDING_S = 10.0  # at a server that can be reached again, after the client knows of the session's end
MAX_BAD_CLIENT_S = 3.0
MAX_START_S = 10.0
OUTAGE_RECOVERY_S = 6.0  # after a failed poll, a change must be known this long after discovery is reachable
MOVE_RECOVERY_S = 4.0
MAX_MEMORY_MB = 192
LARGE_MEAN = 30  # from this expected number of set-ups on the tolerance is smaller
NOT_EXECUTED_STATUSES = (453, 454, 503)
CLIENT_KNOWS_END = ("released", "torn_down", "given_up")
NOT_EXECUTED_KINDS = ("full", "moot")
FAULTY_EVENTS = (
    "decision_failed",
    "timer_failed",
    "maintenance_failed",
    "answered_late",
    "invariant_violated",
)


@dataclass(frozen=True)
class Violation:
    """One violation of a rule."""

    rule: str
    at: float
    what: str
    session: str = ""


@dataclass
class Verdict:
    """The result of one run."""

    violations: list[Violation] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)

    def by_rule(self) -> dict[str, int]:
        return dict(Counter(each.rule for each in self.violations))


class Checker:
    """Checks all rules on the recordings of one run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.plan = Plan.load(folder / "plan.json")
        self.events = read(folder)
        self.violations: list[Violation] = []
        self.by_session: dict[str, list[Event]] = defaultdict(list)
        for event in self.events:
            if event.get("session"):
                self.by_session[event["session"]].append(event)
        self.end = next((e["t"] for e in self.events if e["event"] == "finished"), 0.0)
        self.outages = self._find_outages()
        self.silences = self._find_silences()

    def check(self) -> Verdict:
        """Check all rules."""
        if not self.end:
            self._report("crash", 0.0, "the clients did not finish")
        for id, events in self.by_session.items():
            self._check_answer(id, events)
            self._check_forwarding(id, events)
            self._check_release(id, events)
            self._check_standing(id, events)
        self._check_drains()
        self._check_slow_starts()
        self._check_processes()
        return Verdict(sorted(self.violations, key=lambda each: each.at), self._figures())

    def _report(self, rule: str, at: float, what: str, session: str = "") -> None:
        self.violations.append(Violation(rule, round(at - self.plan.start, 3), what, session))

    def _find_outages(self) -> dict[int, list[tuple[float, float, bool]]]:
        """Return when each node had no serving process, and whether it was killed without SIGTERM."""
        outages: dict[int, list[tuple[float, float, bool]]] = defaultdict(list)
        terminated: dict[int, float] = {}
        killed: dict[int, tuple[float, bool]] = {}
        for event in self.events:
            if event["event"] == "signal" and event["signal"] == "SIGTERM":
                terminated[event["node"]] = event["t"]
            elif event["event"] == "signal" and event["signal"] == "SIGKILL":
                killed[event["node"]] = (event["t"], event["node"] not in terminated)
            elif event["event"] == "stopped" and event["node"] not in killed:
                killed[event["node"]] = (event["t"], False)
            elif event["event"] == "ready" and event["node"] in killed:
                started_at, is_killed = killed.pop(event["node"])
                terminated.pop(event["node"], None)
                outages[event["node"]].append((started_at, event["t"], is_killed))
        for node, (started_at, is_killed) in killed.items():
            outages[node].append((started_at, 1e18, is_killed))
        return outages

    def _find_silences(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """Return when each emulated server neither sent nor read anything."""
        silences: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        silent_since: dict[tuple[str, str], float] = {}
        for event in self.events:
            key = (event["by"], event.get("server", ""))
            if event["event"] == "silent":
                silent_since.setdefault(key, event["t"])
            elif event["event"] == "resumed" and key in silent_since:
                silences[key].append((silent_since.pop(key), event["t"]))
        for key, started_at in silent_since.items():
            silences[key].append((started_at, 1e18))
        return silences

    def _was_silent(self, event: Event, begin: float, end: float) -> bool:
        spans = self.silences.get((event["by"], event["server"]), ())
        return any(a <= end and begin <= b for a, b in spans)

    def _was_killed(self, node: int, begin: float, end: float) -> bool:
        return any(is_killed and begin <= a <= end for a, _, is_killed in self.outages[node])

    def _check_answer(self, id: str, events: list[Event]) -> None:
        """Check that there is one answer, in time, with a description sent by a server."""
        sent = [e for e in events if e["event"] == "sent"]
        if not sent:
            return
        first, node = sent[0], sent[0]["node"]
        deadline = first["t"] + first["limit"] + LATE_ANSWER_S + SLACK_S
        answers = [e for e in events if e["event"] == "answer"]
        if len(answers) > 1:
            self._report("lost", answers[1]["t"], "a second answer", id)
        if answers and answers[0]["status"] == 200:
            made = [e["description"] for e in events if e["event"] == "answered"]
            if answers[0]["body"] not in made:
                self._report("lost", answers[0]["t"], "the description was not sent by any server", id)
        if any(e["event"] in ("given_up", "not_taken") and e["by"] == "clients" for e in events):
            return
        if answers:
            if answers[0]["t"] > deadline:
                self._report(
                    "lost", answers[0]["t"], f"answered {answers[0]['t'] - deadline:.3f} s too late", id
                )
        elif deadline < self.end and not self._was_killed(node, first["t"] - SLACK_S, deadline):
            broken = next((e["t"] for e in events if e["event"] == "broken_off"), 0.0)
            what = (
                f"closed without an answer, {broken - first['t']:.3f} s after it was sent"
                if broken
                else "no answer"
            )
            self._report("lost", broken or deadline, what, id)

    def _check_forwarding(self, id: str, events: list[Event]) -> None:
        """Check for overlapping attempts, attempts after the end, and repeats of an executed set-up."""
        ended_at = next(
            (e["t"] for e in events if e["event"] in ("answer", "given_up") and e["by"] == "clients"), 1e18
        )
        attempts = [e for e in events if e["event"] == "set_up"]
        earlier_may_have_run = False
        busy_until, previous_attempt = 0.0, None
        for number, attempt in enumerate(attempts):
            ends = [
                e
                for e in events
                if e["event"] in ("refused", "spoilt", "answered", "given_up", "cut")
                and e["by"] == attempt["by"]
                and e.get("server") == attempt["server"]
                and e["t"] >= attempt["t"]
            ]
            end = ends[0]["t"] if ends else attempt["t"]
            was_silent = self._was_silent(attempt, attempt["t"] - 10, attempt["t"])
            if attempt["t"] > ended_at + SLACK_S and not was_silent:
                self._report(
                    "lost", attempt["t"], f"forwarded {attempt['t'] - ended_at:.3f} s after its end", id
                )
            overlap = busy_until - attempt["t"]
            was_held_silent = previous_attempt is not None and self._was_silent(
                previous_attempt, previous_attempt["t"], busy_until
            )
            if overlap > SLACK_S and not was_silent and not was_held_silent:
                self._report("overlap", attempt["t"], f"attempts overlap by {overlap:.3f} s", id)
            if number and earlier_may_have_run and attempt["service_class"] == "paid":
                self._report("repeat", attempt["t"], "a single-shot set-up was repeated", id)
            kinds = [e.get("kind") for e in ends[:1] if e["event"] == "refused"]
            earlier_may_have_run |= not any(kind in NOT_EXECUTED_KINDS for kind in kinds)
            busy_until, previous_attempt = max(busy_until, end), attempt
        answer = next((e for e in events if e["event"] == "answer"), None)
        was_paid = bool(attempts) and attempts[0]["service_class"] == "paid"
        is_reported_not_executed = answer is not None and answer["status"] in NOT_EXECUTED_STATUSES
        if (
            answer
            and is_reported_not_executed
            and was_paid
            and earlier_may_have_run
            and attempts[0]["t"] < answer["t"]
        ):
            self._report(
                "repeat", answer["t"], "reported as not executed although it may have been executed", id
            )

    def _check_release(self, id: str, events: list[Event]) -> None:
        """Check that the client is notified of the end of an established session."""
        answer = next((e for e in events if e["event"] == "answer" and e["status"] == 200), None)
        if answer is None:
            return
        made = next(
            (e for e in events if e["event"] == "answered" and e["description"] == answer["body"]), None
        )
        if made is None:
            return
        ends = [e for e in events if e["event"] in ("over", "cut") and e.get("server") == made["server"]]
        ends = [e for e in ends if e["by"] == made["by"] and e["t"] >= made["t"]]
        if not ends:
            return
        # A client that gives up while the answer is on its way to it has ended the session itself.
        told = [e["t"] for e in events if e["by"] == "clients" and e["event"] in CLIENT_KNOWS_END]
        released_at = told[0] if told else 1e18
        deadline = max(answer["t"], ends[0]["t"]) + UNREPORTED_END_S + SLACK_S
        releases = [e["t"] for e in events if e["event"] == "release_sent" and e["by"] == made["by"]]
        if ends[0]["event"] == "over" and releases:
            deadline = max(answer["t"], *releases) + MAX_RELEASE_S + SLACK_S
            if any(e["event"] == "orphaned" and e["t"] <= deadline for e in events):
                deadline = max(deadline, ends[0]["t"] + UNREPORTED_END_S + SLACK_S)
        node = answer["node"]
        for started_at, ready, _ in self.outages[node]:
            if (
                started_at - MAX_RELEASE_S - UNREPORTED_END_S <= ends[0]["t"] <= ready
                or started_at <= deadline <= ready
            ):
                handovers = [e["t"] for e in events if e["event"] == "handed_over" and e["t"] >= started_at]
                if not handovers:
                    return  # torn down in the meantime, or never handed over
                deadline = max(deadline, handovers[0] + MAX_HANDOVER_S + UNREPORTED_END_S + SLACK_S)
        if released_at > deadline and deadline < self.end:
            outcome = (
                "never released"
                if released_at > self.end
                else f"released {released_at - deadline:.3f} s too late"
            )
            sent = f"release sent at {releases[0] - self.plan.start:.3f}" if releases else "no release sent"
            self._report("lost", deadline, f"{outcome} ({ends[0]['event']}, {sent})", id)

    def _check_standing(self, id: str, events: list[Event]) -> None:
        """Check that no server goes on with a session whose client has ended it or was told of its end."""
        client_end = next(
            (e for e in events if e["by"] == "clients" and e["event"] in CLIENT_KNOWS_END), None
        )
        if client_end is None:
            return
        for made in (e for e in events if e["event"] == "answered"):
            node = int(made["by"].partition("-")[2])
            limit = max(client_end["t"], made["t"]) + MAX_STANDING_S
            for began, ended in self.silences.get((made["by"], made["server"]), ()):
                if began - MAX_STANDING_S <= limit:
                    limit = max(limit, ended + MAX_STANDING_S)
            if limit >= self.end or self._was_out(node, client_end["t"], limit):
                continue
            ends = [
                e["t"]
                for e in events
                if e["event"] in ("over", "cut", "released_by_node")
                and (e["by"], e["server"]) == (made["by"], made["server"])
                and e["t"] >= made["t"]
            ]
            if not ends or ends[0] > limit:
                known_end = client_end["event"]
                what = f"stands at {made['server']} {MAX_STANDING_S:.0f} s after its client's {known_end}"
                self._report("standing", limit, what, id)

    def _was_out(self, node: int, begin: float, end: float) -> bool:
        """Whether the node had no serving process at some time in this span, or just before it."""
        return any(a <= end and begin - SLACK_S <= b for a, b, _ in self.outages[node])

    def _known_at(self, node: int, at: float) -> float:
        """Return when a node must know a change at the latest; times since the start of the run."""
        known_at = at
        for fault in self.plan.discovery:
            if fault.kind == LATE:
                known_at = max(known_at, at + OUTAGE_RECOVERY_S)
            elif fault.at - 1.0 <= at < fault.until or fault.at - 1.0 <= known_at < fault.until:
                known_at = max(known_at, fault.until + OUTAGE_RECOVERY_S)
        for signal in self.plan.signals:
            if (
                signal.node == node
                and signal.kind == "move"
                and signal.at - 0.2 <= known_at <= signal.at + MOVE_RECOVERY_S
            ):
                known_at = max(known_at, signal.at + MOVE_RECOVERY_S)
        return known_at

    def _check_drains(self) -> None:
        """Check that a draining or removed server gets no set-up after the grace period."""
        drained: dict[str, float] = {}
        for change in self.plan.changes:
            if change.health != "up":
                drained.setdefault(change.name, change.at)
        for event in self.events:
            if event["event"] != "set_up" or event["server"] not in drained:
                continue
            node = int(event["by"].partition("-")[2])
            limit = self.plan.start + self._known_at(node, drained[event["server"]]) + DRAIN_GRACE_S + SLACK_S
            if event["t"] > limit and not self._was_silent(event, limit - 1, event["t"]):
                self._report(
                    "drain",
                    event["t"],
                    f"sent {event['t'] - limit:.3f} s after the grace period",
                    event["session"],
                )

    def _check_slow_starts(self) -> None:
        """Check that nodes that know of a server's start keep its allowed set-up rate during warm-up."""
        for change in self.plan.changes:
            if not change.born or change.health != "up":
                continue
            born = self.plan.start + change.born
            known_at = {
                node: self._known_at(node, change.at) + self.plan.start for node in range(self.plan.nodes)
            }
            set_ups = [e for e in self.events if e["event"] == "set_up" and e["server"] == change.name]
            set_ups = [e for e in set_ups if born <= e["t"] < born + RAMP_S]
            for number, first in enumerate(set_ups):
                window = [e for e in set_ups[number:] if e["t"] < first["t"] + TIP_AFTER_S]
                allowed = self._allowed(first["t"] - born)
                informed = [e for e in window if e["t"] >= known_at[int(e["by"].partition("-")[2])]]
                if len(window) > allowed and 3 * len(informed) > 2 * len(window):
                    what = (
                        f"{change.name} got {len(window)} set-ups in {TIP_AFTER_S} s, {allowed:.1f} allowed"
                    )
                    self._report("failback", first["t"], what)
                    break

    def _allowed(self, age: float) -> float:
        """Return the allowed set-ups for a server of this age in the overload window, with tolerance."""
        warm_up_factor = START_CAPACITY + (1 - START_CAPACITY) * min(1.0, (age + TIP_AFTER_S / 2) / RAMP_S)
        mean = FALL_MULTIPLE * self.plan.streams / RAMP_S * warm_up_factor * TIP_AFTER_S
        deviation = math.sqrt(mean)
        return mean + (3 * deviation + 3 if mean < LARGE_MEAN else 2 * deviation + 2)

    def _check_processes(self) -> None:
        for event in self.events:
            node = event.get("node")
            if event["event"] == "crashed":
                self._report("crash", event["t"], f"node {node} ended with {event['code']}")
            elif event["event"] == "stopped" and event["code"] not in (0, None):
                self._report("crash", event["t"], f"node {node} stopped with {event['code']}")
            elif event["event"] == "ready" and MAX_START_S < event["after"] < 1e6:
                self._report("crash", event["t"], f"node {node} was ready after {event['after']:.1f} s")
            elif event["event"] == "sample" and event["descriptors"] > self.plan.sockets:
                self._report("limits", event["t"], f"node {node} held {event['descriptors']} descriptors")
            elif event["event"] == "sample" and event["memory_mb"] > MAX_MEMORY_MB:
                self._report("limits", event["t"], f"node {node} used {event['memory_mb']:.0f} MB")
            elif event["event"] == "bad_client" and event["after"] > MAX_BAD_CLIENT_S + SLACK_S:
                self._report(
                    "bad_client",
                    event["t"],
                    f"node {node} took {event['after']:.2f} s to disconnect an invalid client",
                )
            elif event["event"] == "unreadable":
                self._report("lost", event["t"], f"node {node} sent an unreadable message")
        for node in range(self.plan.nodes):
            path = self.folder / f"node-{node}.log"
            for line in path.read_text(encoding="utf-8").splitlines():
                is_event = line.startswith("{") and line.endswith("}")
                entry = json.loads(line) if is_event else {"event": "traceback", "at": self.plan.start}
                is_fault = entry["event"] in (*FAULTY_EVENTS, "traceback")
                if is_fault and not self._was_in_time(entry):
                    self._report("log", entry["at"], f"node {node}: {line[:300]}", str(entry.get("id", "")))

    def _was_in_time(self, entry: Event) -> bool:
        """Whether an answer that the node logged as late was within the tolerance."""
        events = self.by_session.get(str(entry.get("id", "")), ())
        sent = next((e for e in events if e["event"] == "sent"), None)
        answer = next((e for e in events if e["event"] == "answer"), None)
        if entry["event"] != "answered_late" or sent is None or answer is None:
            return False
        return bool(answer["t"] <= sent["t"] + sent["limit"] + SLACK_S)

    def _figures(self) -> dict[str, Any]:
        sent = [e for e in self.events if e["event"] == "sent"]
        statuses = Counter(e["status"] for e in self.events if e["event"] == "answer")
        samples = [e for e in self.events if e["event"] == "sample"]
        stalls = [e["seconds"] for e in self.events if e["event"] == "machine_stalled"]
        return {
            "sent": len(sent),
            "statuses": dict(statuses),
            "set_ups": sum(e["event"] == "set_up" for e in self.events),
            "over": sum(e["event"] == "over" for e in self.events),
            "memory_mb": round(max((e["memory_mb"] for e in samples), default=0)),
            "descriptors": max((e["descriptors"] for e in samples), default=0),
            "cpu_s": round(max((e["cpu_s"] for e in samples), default=0), 2),
            "stall_s": round(max(stalls, default=0.0), 3),
        }
