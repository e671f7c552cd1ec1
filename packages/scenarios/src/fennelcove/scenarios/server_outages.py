"""Which servers are out at each moment (drained by a permit, down or cold), from their own records alone."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.violations import MISSING_FAULT_RULE, TOO_MANY_OUT_RULE, Violation

NEVER = 1 << 62


@dataclass(slots=True)
class Outage:
    """An interval in which a server was out."""

    server: str
    since_us: int
    by_permit: bool
    until_us: int = NEVER


@dataclass(frozen=True, slots=True)
class ServerOutages:
    """The outages of servers and the violations."""

    taken: int
    most_out: int
    violations: list[Violation]


def _find_outages(records: list[Record], ramp_us: int) -> list[Outage]:
    outages: list[Outage] = []
    for record in records:
        what, t_us, server = record["what"], record["t_us"], str(record.get("box"))
        open_outages = [outage for outage in outages if outage.server == server and t_us < outage.until_us]
        if what in ("box_taken", "box_died") and not open_outages:
            outages.append(Outage(server, t_us, what == "box_taken"))
        elif what == "box_died":
            for outage in open_outages:
                outage.until_us = NEVER  # it goes down while cold or draining
        elif what == "box_started":
            for outage in open_outages:
                outage.until_us = t_us + ramp_us
    return outages


def check_server_outages(records: list[Record], release: Record, over_us: int) -> ServerOutages:
    """Check all outages against the rollout's limits."""
    terms = next(record for record in records if record["what"] == "terms")
    outages = _find_outages(records, round(terms.get("ramp_ms", 0.0) * 1000))
    servers = {record["box"]: record for record in records if record["what"] == "box"}
    taken = [outage for outage in outages if outage.by_permit]
    violations = [
        violation for outage in taken for violation in _check_limits(outage, outages, servers, release)
    ]
    if len(taken) < release["boxes"]:
        reason = f"{len(taken)} servers were taken out, expected {release['boxes']}"
        violations.append(Violation(MISSING_FAULT_RULE, over_us, "", reason))
    most = max((len(_out_at(outages, outage.since_us)) for outage in taken), default=0)
    return ServerOutages(len(taken), most, violations)


def _out_at(outages: list[Outage], t_us: int, detection_us: int = 0) -> set[str]:
    """The servers that were out at that time, by permit or detectable for at least `detection_us`."""
    return {
        outage.server
        for outage in outages
        if outage.since_us <= t_us < outage.until_us
        and (outage.by_permit or outage.since_us <= t_us - detection_us)
    }


def _check_limits(
    one: Outage, outages: list[Outage], servers: dict[str, Record], release: Record
) -> Iterator[Violation]:
    out = _out_at(outages, one.since_us, round(release["know_box_ms"] * 1000))
    server_record = servers[one.server]
    zone_servers = {server for server in out if servers[server]["zone"] == server_record["zone"]}
    counts = [(out, release["boxes_out"], "in all"), (zone_servers, release["boxes_out_hall"], "in its zone")]
    for title, cells in release["titles"].items():
        if server_record["cell"] in cells:
            replicas = {server for server, record in servers.items() if record["cell"] in cells}
            counts.append((out & replicas, release["boxes_out_title"], f"of those with {title}"))
            if replicas <= out:
                yield Violation(
                    TOO_MANY_OUT_RULE,
                    one.since_us,
                    one.server,
                    f"the last warm box with {title} was taken out",
                )
    for found, limit, where in counts:
        if len(found) > limit:
            reason = f"taken out as one of {len(found)} servers {where}, but {limit} are allowed"
            yield Violation(TOO_MANY_OUT_RULE, one.since_us, one.server, reason)
