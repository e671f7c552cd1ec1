"""What fronts tell each other of the slot-time that each tenant got at each server.

A front tells sums that only grow, under its life. Of each the greatest counts, so they merge alike in
whatever order and however often they come, and what is lost is in the next. What is heard for the first time
of a life is a beginning and moves nothing; what grew faster than all slots of the box could give is taken at
that bound.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

WINDOW_US = 250_000
TOLD_WINDOWS = 4  # a row is told so often after it grew: what is lost once need not be lost
YOUNG_US = 2_000_000
MOST_ROWS = 60  # told in one window, the largest first
MOST_KEPT = 512  # sums of one's own, and of each other front
REST = 0  # the tenant that stands for all whose own row was dropped

Key = tuple[int, int]  # box, tenant


@dataclass(frozen=True, slots=True)
class Row:
    """One box's slot-time for one tenant since the teller's life began, in microseconds."""

    server: int
    tenant: int
    given_us: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What one front tells; a window's rows may come in several messages."""

    life: int
    number: int
    rows: tuple[Row, ...]


@dataclass(slots=True)
class Sum:
    """One own row."""

    given_us: int = 0
    told_us: int = 0  # of it
    lately_us: int = 0  # by it the largest are found
    windows: int = 0  # that it is still to be told in


@dataclass(slots=True)
class Heard:
    """Another front's row: the greatest that was heard, and what was taken of it."""

    given_us: int
    first_us: int  # of it, when it was heard for the first time
    first_at_us: int
    taken_us: int = 0


@dataclass(slots=True)
class Teller:
    """Another front: only its latest life counts."""

    life: int
    at_us: int = 0
    rows: OrderedDict[Key, Heard] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class UsageGossip:
    """One front's own sums and what it has heard. The caller hands in times and holds the lock."""

    life: int = 0
    number: int = 0
    own: OrderedDict[Key, Sum] = field(default_factory=OrderedDict)
    others: dict[int, Teller] = field(default_factory=dict)

    def gave(self, server: int, tenant: int, us: int) -> None:
        """This front gave so much."""
        key = server, tenant
        if key not in self.own and len(self.own) >= MOST_KEPT:
            self._fold()
        row = self.own.setdefault(key, Sum())
        self.own.move_to_end(key)
        row.given_us += us
        row.lately_us += us
        row.windows = TOLD_WINDOWS

    def _fold(self) -> None:
        """The one that was given nothing for longest joins the rest of its box; its sum must not count
        twice, so only what was not told yet goes along."""
        (server, tenant), gone = self.own.popitem(last=False)
        if tenant == REST:
            return
        if (server, REST) not in self.own:
            self.own.popitem(last=False)  # room for it
        rest = self.own.setdefault((server, REST), Sum())
        rest.given_us += gone.given_us - gone.told_us
        rest.lately_us += gone.lately_us
        rest.windows = max(rest.windows, gone.windows)
        self.own.move_to_end((server, REST))

    def window(self) -> UsageReport | None:
        """What to tell now, the largest first and the rest with the next; None where nothing grew."""
        due = [(key, row) for key, row in self.own.items() if row.windows > 0]
        if not due:
            return None
        due.sort(key=lambda item: -item[1].lately_us)
        self.number += 1
        for _, row in due[:MOST_ROWS]:
            row.windows -= 1
            row.told_us = row.given_us
            row.lately_us = row.lately_us // 2 if row.windows else 0
        rows = tuple(Row(server, tenant, row.given_us) for (server, tenant), row in due[:MOST_ROWS])
        return UsageReport(self.life, self.number, rows)

    def hear(self, sender: int, said: UsageReport, slots: int, now_us: int) -> list[Row]:
        """Another front's word has come: by how much each tenant was given more, at each box. `slots` is the
        most that one box can have out."""
        teller = self.others.get(sender)
        if teller is None or said.life > teller.life:
            teller = self.others[sender] = Teller(said.life)
        if said.life < teller.life:
            return []  # a life that is over
        teller.at_us = max(teller.at_us, now_us)
        found = []
        for row in said.rows:
            key = row.server, row.tenant
            before = teller.rows.get(key)
            if before is None:
                teller.rows[key] = Heard(row.given_us, row.given_us, now_us)
                if len(teller.rows) > MOST_KEPT:
                    teller.rows.popitem(last=False)
                continue
            before.given_us = max(before.given_us, row.given_us)
            teller.rows.move_to_end(key)
            most_us = min(before.given_us - before.first_us, slots * (now_us - before.first_at_us))
            if most_us > before.taken_us:
                found.append(Row(row.server, row.tenant, most_us - before.taken_us))
                before.taken_us = most_us
        return found

    def heard(self, now_us: int) -> int:
        """Other fronts whose word is young."""
        return sum(1 for teller in self.others.values() if now_us - teller.at_us <= YOUNG_US)
