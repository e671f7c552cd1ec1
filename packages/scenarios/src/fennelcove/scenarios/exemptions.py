"""When a front need not respond, and when a server could not observe its fronts: derived from a recording."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.emulators.recorder import Record

# The two ends of a socket may record an event this far apart: threads wake late on a busy machine.
SLACK_US = 250_000
NEVER = 1 << 62
OURS = ("all", "fronts", "front-", "hall")  # parts of party names that include a front
TAKEN_WITH_IT = ("front_killed", "front_paused")  # pending requests may stay without a response


@dataclass(slots=True)
class _Away:
    """An interval in which a front was down, ending, paused or cut off; all fronts where address is None."""

    name: str
    since: int
    silent: bool
    address: str | None = None
    until: int = NEVER


@dataclass(slots=True)
class _Cut:
    """An interval in which messages between two groups of parties could be lost or truncated."""

    number: int
    since: int
    until: int = NEVER


@dataclass(slots=True)
class Excuses:
    """Collects outages of fronts and network faults, record by record."""

    away: list[_Away] = field(default_factory=list)
    ports: dict[str, str] = field(default_factory=dict)
    cuts: list[_Cut] = field(default_factory=list)
    stop_us: int = 0  # how long before the end of its process a front closes its listener
    let_in: dict[str, int] = field(default_factory=dict)  # when each address last accepted a session

    def hear(self, record: Record) -> bool:
        """Process a record; False if it concerns neither a front's state nor a fault."""
        what, t_us = record["what"], record["t_us"]
        if what == "front_ended":
            # The listener was closed earlier, but after the last accepted session. Responses to pending
            # requests are still due.
            address = self.ports.get(record["front"])
            shut_us = max(t_us - self.stop_us, self.let_in.get(address or "", 0))
            self.away.append(_Away(record["front"], shut_us - SLACK_US, False, address))
        elif what in ("front_stopping", *TAKEN_WITH_IT):
            address = self.ports.get(record["front"])
            self.away.append(_Away(record["front"], t_us - SLACK_US, what in TAKEN_WITH_IT, address))
        elif what in ("front_started", "front_continued"):
            # A paused front responds late to pending requests, whose clients have left in the meantime.
            self._back(record["front"], t_us)
            if "address" in record:
                self.ports[record["front"]] = record["address"]
        elif what == "fault":
            self._fault(record, f"fault {record['number']}")
        else:
            return False
        return True

    def _back(self, name: str, t_us: int) -> None:
        for away in self.away:
            if away.name == name and away.until == NEVER:
                away.until = t_us + SLACK_US

    def _fault(self, record: Record, name: str) -> None:
        t_us, ends = record["t_us"], record["sender"] + "|" + record["taker"]
        if not record["on"]:
            self._back(name, t_us)
            for cut in self.cuts:
                if cut.number == record["number"] and cut.until == NEVER:
                    cut.until = t_us + SLACK_US
            return
        if "viewers" in ends or "all" in ends:
            self.away.append(_Away(name, t_us - SLACK_US, True))
        if any(part in ends for part in OURS):
            self.cuts.append(_Cut(record["number"], t_us - SLACK_US))

    def not_taken(self, asked: Record, silence: Record) -> bool:
        """Whether an outage of the front explains that a request was refused, reset or not responded to."""
        spans = [
            away
            for away in self.away
            if away.since <= silence["t_us"]
            and asked["t_us"] <= away.until
            and (away.address is None or asked.get("front") in (None, away.address))
        ]
        return bool(spans) and (silence["how"] in ("refused", "reset") or any(away.silent for away in spans))

    def hidden(self, first_us: int, then_us: int) -> bool:
        """Whether a network fault may have kept servers from observing when an attempt was cancelled."""
        return any(cut.since <= then_us and first_us <= cut.until for cut in self.cuts)
