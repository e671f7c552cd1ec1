"""When a front owes no answer, and when a box could not see what its fronts did: read off a recording."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.emulators.recorder import Record

# What the two ends of a socket may differ by: threads that wake late on a busy machine, nothing of the
# front's own.
SLACK_US = 250_000
NEVER = 1 << 62
OURS = ("all", "fronts", "front-", "hall")  # how a party may be named that stands for a front
TAKEN_WITH_IT = ("front_killed", "front_paused")  # what it holds then may stay without an answer


@dataclass(slots=True)
class _Away:
    """A time in which a front was down, ending, paused or cut off from viewers; address None for each."""

    name: str
    since: int
    silent: bool
    address: str | None = None
    until: int = NEVER


@dataclass(slots=True)
class _Cut:
    """A time in which not all that was sent between two groups of parties arrived whole."""

    number: int
    since: int
    until: int = NEVER


@dataclass(slots=True)
class Excuses:
    """What is heard of fronts and faults, record by record."""

    away: list[_Away] = field(default_factory=list)
    ports: dict[str, str] = field(default_factory=dict)
    cuts: list[_Cut] = field(default_factory=list)
    stop_us: int = 0  # how long before its process is gone one that ends shuts its door
    let_in: dict[str, int] = field(default_factory=dict)  # when each address last let somebody in

    def hear(self, record: Record) -> bool:
        """Take a record; False for one that tells of nothing here."""
        what, t_us = record["what"], record["t_us"]
        if what == "front_ended":
            # It shut its door before, and not before the last that it let in: what it had in hand it owes.
            address = self.ports.get(record["front"])
            shut_us = max(t_us - self.stop_us, self.let_in.get(address or "", 0))
            self.away.append(_Away(record["front"], shut_us - SLACK_US, False, address))
        elif what in ("front_stopping", *TAKEN_WITH_IT):
            address = self.ports.get(record["front"])
            self.away.append(_Away(record["front"], t_us - SLACK_US, what in TAKEN_WITH_IT, address))
        elif what in ("front_started", "front_continued"):
            # One that was paused answers late what it held: its callers have gone meanwhile.
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
        """A front that was away meanwhile owes nothing to what it did not take, or held when it went."""
        spans = [
            away
            for away in self.away
            if away.since <= silence["t_us"]
            and asked["t_us"] <= away.until
            and (away.address is None or asked.get("front") in (None, away.address))
        ]
        return bool(spans) and (silence["how"] in ("refused", "reset") or any(away.silent for away in spans))

    def hidden(self, first_us: int, then_us: int) -> bool:
        """A cut kept boxes from seeing that a join was given up: they can't tell when that was."""
        return any(cut.since <= then_us and first_us <= cut.until for cut in self.cuts)
