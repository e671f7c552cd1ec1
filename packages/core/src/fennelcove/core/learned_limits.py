"""The core's part that learns with the others how many joins a box takes. It is handed what it needs; the
core's lock is round it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from zlib import crc32

import msgspec

from fennelcove import limit_messages
from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer
from fennelcove.settings.schema import Instance, RoomTypeSettings, SlotSettings
from fennelcove.concurrency_limits import persisted, quota_loans
from fennelcove.concurrency_limits.adaptive_limit import LimitAction, LimitSettings
from fennelcove.concurrency_limits.replica import Replica, ReplicaMessages
from fennelcove.concurrency_limits.workload_shape import BANDS, name_of, shape_of

TRADE_US = quota_loans.ASK_US  # how often it is looked what to ask for and to give back
MOST_SHOWN = 64
LIST_US = 20_000  # the module's boxes are not looked through more often than that
ShapeKey = tuple[str, int, bool]  # room type, 0 for the lower half of the ladder and 1 for the upper, warm
TOLD = (LimitAction.RISE, LimitAction.FALL, LimitAction.HALVE, LimitAction.TAKE_BACK, LimitAction.LEARN_ANEW)


@dataclass(frozen=True, slots=True)
class Listed:
    """A box as the list has it now; its birth on the front's clock, 0 for long ago."""

    address: str
    kind: str
    born_us: int
    cold: bool


class LearnedLimits:
    """One front's part in what the fleet learns of slots. Attach `boxes`, `post` and `changed`; call `window`
    every `counts.WINDOW_US` and `trade` every `TRADE_US`, both without the lock."""

    def __init__(
        self,
        told: SlotSettings,
        service_classes: Sequence[RoomTypeSettings],
        rungs: int,
        instance: Instance,
        life: int,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        notice: EventLogger,
    ) -> None:
        self.service_classes = {service_class.name: i for i, service_class in enumerate(service_classes)}
        self.rungs = rungs
        self.clock = clock
        self.rng = rng
        self.lock = lock
        self.notice = notice
        shortest_us = min(service_class.client_timeout_ms for service_class in service_classes) * 1000
        terms = LimitSettings(told.start, told.least, told.most, max(1, round(told.wait_share * shortest_us)))
        now_us, loan_us = clock.now_us(), round(told.loan_ms * 1000)
        self.member = Replica(terms, instance.fronts, instance.index, life, now_us, loan_us)
        self.names: dict[str, int] = {}
        self.listed_us = -LIST_US
        self.unread: dict[str, bytes] = {}  # what the last life kept, until its box is listed
        self.last: dict[str, int] = {}  # of each box, how long the last join could last
        self.acts: dict[LimitAction, int] = {}
        self.cold: frozenset[str] = frozenset()
        self.line: dict[str, int] = {}  # who waits at each box, where there is a line
        self.missed: dict[str, int] = {}  # of each box, for how many there was no slot in this window
        self.longest_us = round(
            max(service_class.client_timeout_ms for service_class in service_classes) * 1000
        )
        self.servers: Callable[[], Iterable[Listed]] = lambda: ()
        self.post: Callable[[int, bytes], None] = lambda front, raw: None
        self.changed: Callable[[], None] = lambda: None
        self.soon: Callable[[], object] = lambda: None  # `trade` before its time

    # What the side that sends joins asks and tells; with the lock held or not.

    def shape(self, service_class: str, rung: int, server: str, title_ready: bool = True) -> int:
        """The shape of a join; `title_ready`: the title is known to be at hand at the box."""
        ready = title_ready and server not in self.cold
        return shape_of(self.service_classes.get(service_class, 0), rung, self.rungs, ready)

    def free(self, server: str) -> bool:
        """Whether a join may go there now, however long it lasts. One that may not tells others that slots
        are short here."""
        with self.lock:
            name = self._name(server)
            if name is None:
                return False
            lot = self.member.servers[name].lot
            if lot.out < self.member.most(name, self.clock.now_us(), self.longest_us):
                return True
            self.missed[server] = self.missed.get(server, 0) + 1
        self._want(server)
        return False

    def take(self, server: str, shape: int, allow_us: int) -> bool:
        """Count a join that leaves now; False where there is no slot for it."""
        with self.lock:
            name = self.names.get(server)
            if name is None or self.member.servers[name].lot.out >= self.most(server, allow_us):
                self.denied(server, shape)
                return False
            self.sent(server, shape, allow_us, 0)
            return True

    def _name(self, server: str) -> int | None:
        """A box's number, also where the list came since the last window."""
        now_us = self.clock.now_us()
        if server not in self.names and now_us - self.listed_us >= LIST_US:
            self._listed(now_us)
        return self.names.get(server)

    def _shape(self, shape: int | ShapeKey) -> int:
        if isinstance(shape, int):
            return shape
        service_class, upper, warm = shape
        return shape_of(self.service_classes.get(service_class, 0), upper * (BANDS - 1), BANDS, warm)

    def most(self, server: str, allow_us: int, shape: int | ShapeKey | None = None) -> int:
        """How many joins this front may have out at a box now, those out among them, in all or of a shape,
        where the next may last so long. A box that no list has named takes none."""
        with self.lock:
            name = self._name(server)
            if name is None:
                return 0
            number = None if shape is None else self._shape(shape)
            return self.member.most(name, self.clock.now_us(), allow_us, number)

    def part(self, server: str, now_us: int) -> int:
        """As `most`, by how long the last join there could last."""
        with self.lock:
            allow_us = self.last.get(server, 0)
            name = self._name(server)
            return 0 if name is None else self.member.most(name, now_us, allow_us)

    def sent(self, server: str, shape: int | ShapeKey, allow_us: int, waited_us: int) -> None:
        """A join leaves; it lasts so long at most."""
        with self.lock:
            if (name := self.names.get(server)) is not None:
                self.last[server] = allow_us
                self.member.sent(name, self._shape(shape), self.clock.now_us(), allow_us, waited_us)

    def ended(self, server: str, shape: int | ShapeKey, held_us: int, answered: bool | None) -> None:
        """It is over; False: the box did not answer in time, None: that says nothing of its pace."""
        with self.lock:
            if (name := self.names.get(server)) is not None:
                self.member.ended(name, self._shape(shape), held_us, answered)

    def denied(self, server: str, shape: int | ShapeKey, waited_us: int = 0) -> None:
        """One was given up for want of a slot."""
        with self.lock:
            if (name := self.names.get(server)) is not None:
                self.member.denied(name, self._shape(shape))

    def wants(self, server: str, waiting: int) -> None:
        """So many wait for a slot at a box now."""
        with self.lock:
            self.line[server] = waiting
        self._want(server)

    def _want(self, server: str) -> None:
        """Those in line, or those that were passed over in this window where there is no line."""
        with self.lock:
            if (name := self.names.get(server)) is None:
                return
            waiting = max(self.line.get(server, 0), self.missed.get(server, 0))
            more = waiting > self.member.servers[name].lot.waiting
            self.member.wants(name, waiting)
        if more:
            self.soon()

    def told_hold(
        self, server: str, shape: ShapeKey, out_when_sent: int, waited_us: int, held_us: int, served: bool
    ) -> None:
        """As `ended`, under the name that the side has for it."""
        self.ended(server, shape, held_us, served)

    def links(self, server: str) -> int:
        """How many connections to keep to a box, idle ones included."""
        with self.lock:
            name = self.names.get(server)
            return 0 if name is None else self.member.links(name, self.clock.now_us())

    def hold_us(self, server: str, shape: int | ShapeKey) -> int | None:
        """How long such a join holds its slot, in the middle; None where that is not known."""
        with self.lock:
            found = self.member.hold_us(self.names.get(server, -1), self._shape(shape))
            return None if found is None else round(found)

    # On timers, without the lock.

    def window(self) -> None:
        """A window has passed: learn, and tell the others."""
        with self.lock:
            now_us = self.clock.now_us()
            self._listed(now_us)
            missed, self.missed = self.missed, {}
            for server in missed:
                self._want(server)
            before = {name: server.agreed.whole for name, server in self.member.servers.items()}
            told = self.member.turn(now_us)
            rose = any(server.agreed.whole > before[name] for name, server in self.member.servers.items())
            self._notices()
            parts = [
                (to, raw)
                for to in sorted({to for said in told for to in said.takers})
                for raw in self._pack([said for said in told if to in said.takers], now_us)
            ]
            begun = limit_messages.pack_life(limit_messages.BEGUN, self.member.life)
            parts += [(to, begun) for to in self.member.begun()]
        for to, raw in parts:
            self.post(to, raw)
        if rose:
            self.changed()

    def _pack(self, told: list[ReplicaMessages], now_us: int) -> list[bytes]:
        return limit_messages.encode(self.member.life, self.member.number, told, now_us)

    def _listed(self, now_us: int) -> None:
        there: dict[str, int] = {}
        cold = []
        for server in self.servers():
            if server.cold:
                cold.append(server.address)
            name = there[server.address] = crc32(f"{server.address} {server.kind}".encode())
            kept, raw = None, self.unread.pop(server.address, None)
            if raw is not None:
                wall_us = self.clock.wall_us()
                born_us = wall_us - (now_us - server.born_us) if server.born_us else 0
                kept = persisted.recall(raw, server.kind, born_us, self.member.terms.start, wall_us)
            self.member.listed(name, server.kind, server.born_us, now_us, kept, server.cold)
        self.member.gone([name for name in self.member.servers if name not in set(there.values())])
        self.names, self.listed_us = there, now_us
        self.cold = frozenset(cold)
        self.line = {server: waiting for server, waiting in self.line.items() if server in there}
        self.last = {server: allow_us for server, allow_us in self.last.items() if server in there}

    def _notices(self) -> None:
        """What an operator may want to know of boxes that this front judges."""
        acts: dict[LimitAction, int] = {}
        for server in self.member.servers.values():
            if server.learner is not None:
                for act, count in server.learner.acts.items():
                    acts[act] = acts.get(act, 0) + count
        for act in TOLD:
            more = acts.get(act, 0) - self.acts.get(act, 0)
            if more > 0:
                self.notice("slots_judged", act=act.name.lower(), boxes=more)
        self.acts = acts

    def trade(self) -> None:
        """Ask for slots that are short, and give back what nobody needs."""
        with self.lock:
            found = self.member.trade(self.rng.random(), self.clock.now_us())
        for to, name, said in found:
            self.post(to, limit_messages.pack_trade(name, said))

    # What others tell; without the lock.

    def hear(self, sender: int, raw: bytes) -> bool:
        """A message of one of `slot_messages.KINDS` has come; whether it was understood."""
        answer: bytes | None = None
        more = False
        kind = raw[0] if raw else 0
        with self.lock:
            now_us = self.clock.now_us()
            if kind in (limit_messages.ROWS, limit_messages.WORDS):
                said = limit_messages.decode(raw, now_us)
                if said is None:
                    return False
                life, number, told = said
                more = any([self.member.hear(sender, life, number, one, now_us) for one in told])
            elif kind in (limit_messages.ASK, limit_messages.LOAN):
                trade = limit_messages.unpack_trade(raw)
                if trade is None:
                    return False
                answer, more = self._traded(sender, *trade, now_us)
            else:
                heard = limit_messages.unpack_life(raw)
                if heard is None:
                    return False
                if kind == limit_messages.CLEAR:
                    more = self.member.hear_clear(sender, heard)
                elif self.member.hear_begun(sender, now_us):
                    answer = limit_messages.pack_life(limit_messages.CLEAR, heard)
        if answer is not None:
            self.post(sender, answer)
        if more:
            self.changed()
        return True

    def _traded(
        self, sender: int, name: int, said: QuotaRequest | QuotaTransfer, now_us: int
    ) -> tuple[bytes | None, bool]:
        if isinstance(said, QuotaTransfer):
            return None, self.member.hear_loan(sender, name, said, now_us)
        loan = self.member.hear_ask(sender, name, said, now_us)
        return (limit_messages.pack_trade(name, loan), False) if loan is not None else (None, False)

    # What outlives the process.

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """What the last life kept; each number waits until its box is listed."""
        with self.lock:
            self.unread = {
                key[len(persisted.KEY) :].decode("utf-8", "replace"): raw
                for key, raw in values.items()
                if key.startswith(persisted.KEY)
            }

    def kept(self) -> list[tuple[bytes, bytes]]:
        """What to keep: the numbers of boxes that are listed, to the minute."""
        with self.lock:
            now_us, wall_us = self.clock.now_us(), self.clock.wall_us()
            found = []
            for address, name in self.names.items():
                server = self.member.servers[name]
                born_us = wall_us - (now_us - server.born_us) if server.born_us else 0
                kept = persisted.KeptSlots(
                    server.kind,
                    round(born_us / 1e6) * 1_000_000,
                    server.agreed.whole,
                    wall_us // 60_000_000 * 60_000_000,
                )
                found.append((persisted.KEY + address.encode(), msgspec.msgpack.encode(kept)))
            return found

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.lock:
            now_us, service_classes = self.clock.now_us(), tuple(self.service_classes)
            shown = {}
            for address, name in sorted(self.names.items())[:MOST_SHOWN]:
                server = self.member.servers[name]
                shown[address] = {
                    "whole": server.agreed.whole,
                    "stands": server.agreed.stand.name.lower(),
                    "phase": server.learner.phase.name.lower() if server.learner is not None else None,
                    "gradient": round(server.learner.now, 2) if server.learner is not None else None,
                    "here": server.lot.most(now_us),
                    "out": server.lot.out,
                    "waiting": server.lot.waiting,
                    "borrowed": len(server.lot.purse.borrowed),
                    "lent": len(server.lot.purse.lent),
                    "links": self.member.links(name, now_us),
                    "holds_ms": {
                        name_of(at, service_classes): round(us / 1000)
                        for at, us in sorted(server.holds.items())
                    },
                }
            return {"uncleared": len(self.member.unclear), "boxes": shown}
