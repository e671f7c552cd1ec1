"""When a front need not respond, and when a server could not observe its fronts: derived from a recording."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.emulators.recorder import Record

# The two ends of a socket may record an event this far apart: threads wake late on a busy machine.
SLACK_US = 250_000
NEVER = 1 << 62
FRONT_PARTY_PARTS = ("all", "fronts", "front-", "hall")  # parts of party names that include a front
PENDING_LOST_EVENTS = ("front_killed", "front_paused")  # pending requests may stay without a response


@dataclass(slots=True)
class _Outage:
    """An interval in which a front was down, ending, paused or cut off; all fronts where address is None."""

    name: str
    since_us: int
    loses_pending: bool
    address: str | None = None
    until_us: int = NEVER


@dataclass(slots=True)
class _Partition:
    """An interval in which messages between two groups of parties could be lost or truncated."""

    number: int
    since_us: int
    until_us: int = NEVER


@dataclass(slots=True)
class Exemptions:
    """Collects outages of fronts and network faults, record by record."""

    outages: list[_Outage] = field(default_factory=list)
    address_by_front: dict[str, str] = field(default_factory=dict)
    partitions: list[_Partition] = field(default_factory=list)
    stop_us: int = 0  # how long before the end of its process a front closes its listener
    last_accepted_us: dict[str, int] = field(
        default_factory=dict
    )  # when each address last accepted a session

    def observe(self, record: Record) -> bool:
        """Process a record; False if it concerns neither a front's state nor a fault."""
        what, t_us = record["what"], record["t_us"]
        if what == "front_ended":
            # The listener was closed earlier, but after the last accepted session. Responses to pending
            # requests are still due.
            address = self.address_by_front.get(record["front"])
            listener_closed_us = max(t_us - self.stop_us, self.last_accepted_us.get(address or "", 0))
            self.outages.append(_Outage(record["front"], listener_closed_us - SLACK_US, False, address))
        elif what in ("front_stopping", *PENDING_LOST_EVENTS):
            address = self.address_by_front.get(record["front"])
            self.outages.append(
                _Outage(record["front"], t_us - SLACK_US, what in PENDING_LOST_EVENTS, address)
            )
        elif what in ("front_started", "front_continued"):
            # A paused front responds late to pending requests, whose clients have left in the meantime.
            self._end_outage(record["front"], t_us)
            if "address" in record:
                self.address_by_front[record["front"]] = record["address"]
        elif what == "fault":
            self._on_fault(record, f"fault {record['number']}")
        else:
            return False
        return True

    def _end_outage(self, name: str, t_us: int) -> None:
        for outage in self.outages:
            if outage.name == name and outage.until_us == NEVER:
                outage.until_us = t_us + SLACK_US

    def _on_fault(self, record: Record, name: str) -> None:
        t_us, ends = record["t_us"], record["sender"] + "|" + record["taker"]
        if not record["on"]:
            self._end_outage(name, t_us)
            for partition in self.partitions:
                if partition.number == record["number"] and partition.until_us == NEVER:
                    partition.until_us = t_us + SLACK_US
            return
        if "viewers" in ends or "all" in ends:
            self.outages.append(_Outage(name, t_us - SLACK_US, True))
        if any(party_part in ends for party_part in FRONT_PARTY_PARTS):
            self.partitions.append(_Partition(record["number"], t_us - SLACK_US))

    def explains_failure(self, asked: Record, no_response: Record) -> bool:
        """Whether an outage of the front explains that a request was refused, reset or not responded to."""
        outages_in_request = [
            outage
            for outage in self.outages
            if outage.since_us <= no_response["t_us"]
            and asked["t_us"] <= outage.until_us
            and (outage.address is None or asked.get("front") in (None, outage.address))
        ]
        return bool(outages_in_request) and (
            no_response["how"] in ("refused", "reset")
            or any(outage.loses_pending for outage in outages_in_request)
        )

    def hides_completion(self, first_us: int, then_us: int) -> bool:
        """Whether a network fault may have kept servers from observing when an attempt was cancelled."""
        return any(
            partition.since_us <= then_us and first_us <= partition.until_us for partition in self.partitions
        )
