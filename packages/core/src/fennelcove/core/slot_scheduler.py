"""The core's part that hands out slots at boxes; the core's lock is round all of it.

A set-up waits here before the module hears of it. When a slot is free for it the module is asked, on whatever
thread gave the slot back, and picks server and rung among the servers that are free; who waits is woken and
finds its step. What waits has not left: it is given up by taking it out of the line.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import ResponseKind, SessionResponse, Wakeup, WaitForSlot, Session, NextStep
from fennelcove.decisions.clients.session_lifecycle import SessionEvent as SessionCue
from fennelcove.fair_queueing.service_time import ServiceTimeEstimate, Shape
from fennelcove.fair_queueing.wait_queue import WaitQueue, Waiter
from fennelcove.fair_queueing.virtual_time import TenantTerms
from fennelcove.fair_queueing.usage_gossip import WINDOW_US, UsageReport, UsageGossip
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent
from fennelcove.interface import Outcome, Request
from fennelcove.placement import PlacementPolicy
from fennelcove.placement.slow_start import is_warming_up
from fennelcove.settings.schema import FairSettings, Instance

__all__ = ["WINDOW_US", "SlotScheduler"]

MOST_NAMES = 256  # of tenants, for the status alone
TEACHES = (Outcome.SERVED, Outcome.NO_ANSWER, Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST)
WHYS = {
    WaiterEvent.NO_TIME: "every slot at its boxes is in use; it would be answered too late",
    WaiterEvent.CROWDED: "too many of its tenant's wait",
    WaiterEvent.STOPPED: "this front is stopping",
}


@dataclass(slots=True, eq=False)
class SlotRequest:
    """One set-up that wants a slot, or has one."""

    session: Session
    request: Request
    waiter: Waiter
    bell: Wakeup | None = None
    placing: bool = False


@dataclass(frozen=True, slots=True)
class SlotInUse:
    """A slot that is out."""

    server: str
    shape: Shape
    title: str
    tenant: int


def number_of(tenant: str) -> int:
    """A tenant as messages call it."""
    return zlib.crc32(tenant.encode()) or 1


def number_of_server(server: str) -> int:
    """A box as messages call it."""
    return zlib.crc32(server.encode())


class SlotScheduler:
    """One front's slots. Attach `bell` before the first set-up, `post` where there are others; call `window`
    every `WINDOW_US`."""

    def __init__(
        self,
        context: CoreContext,
        told: FairSettings,
        instance: Instance,
        catalogue: Catalogue,
        front: PlacementPolicy,
        lifecycle: SessionLifecycle,
        bell: Callable[[], Wakeup],
    ) -> None:
        self.context = context
        self.settings = told
        self.instance = instance
        self.catalogue = catalogue
        self.front = front
        self.lifecycle = lifecycle
        self.bell = bell
        self.part: Callable[[str, int], int] = self._equal_part
        self.wants: Callable[[str, int], None] = (
            lambda server, waiting: None
        )  # how many wait for a slot there
        self.post: Callable[[UsageReport], None] = lambda said: None
        self.told = UsageGossip(life=context.wall_us() // 1000)
        terms = TenantTerms({number_of(t.name): t.weight for t in told.weights}, told.strangers)
        wait_us = round(told.wait_ms * 1000)
        self.line = WaitQueue(lambda server, now_us: self.part(server, now_us), terms, wait_us, told.waiting)
        self.wishes: dict[str, SlotRequest] = {}
        self.outs: dict[tuple[str, int], SlotInUse] = {}
        self.servers: dict[int, str] = {}
        self.names: OrderedDict[int, str] = OrderedDict()

    def _equal_part(self, server: str, now_us: int) -> int:
        """This front's part of a box's slots: an equal one, odd ones going round by box, whoever is heard:
        the others' parts are theirs though they be silent."""
        whole, fronts = self.settings.slots, self.instance.fronts
        turn = (self.instance.index + number_of_server(server)) % fronts
        return whole // fronts + (turn < whole % fronts)

    # What the core calls.

    def ask(self, session: Session, request: Request) -> None:
        """A set-up is let in: ask the module, or let it wait; either way the session has its step."""
        now_us, ask = self.context.now_us(), session.ask
        tenant = self.line.terms.known(number_of(ask.tenant if ask is not None else ""))
        if ask is not None:
            self.names[tenant] = ask.tenant if tenant else "others"
            if len(self.names) > MOST_NAMES:
                self.names.popitem(last=False)
        shape, servers = self._shape(session, request)
        waiter = Waiter(
            session.id,
            tenant,
            shape,
            session.title,
            servers,
            now_us,
            session.give_up_us,
            self.line.holds.guess(shape, session.title),
        )
        wish = self.wishes[session.id] = SlotRequest(session, request, waiter)
        if not servers:
            waiter.apply(WaiterEvent.TURN)
            self._place(wish)
            return
        self._ask(wish, now_us)
        if session.step is None:
            wish.bell = self.bell()
            session.step = WaitForSlot(session, self.line.due_us(waiter), wish.bell)
            self.context.tally("slots_waited")
        self._tell_wants(servers)

    def _shape(self, session: Session, request: Request) -> tuple[Shape, tuple[str, ...]]:
        """What its hold is like, as far as it is known beforehand, and the boxes that hold its title."""
        cells = {(request.first_cell + i) % self.catalogue.cells for i in range(request.cell_count)}
        servers = [server for cell in sorted(cells) for server in self.front.active(cell)]
        warm = any(not is_warming_up(self.front, server) for server in servers)
        band = 2 * session.top // len(session.rates_kb)
        return (session.service_class, band, warm), tuple(server.address for server in servers)

    def _ask(self, wish: SlotRequest, now_us: int) -> None:
        ruling = self.line.ask(wish.waiter, now_us)
        if ruling.crowded is not None:
            self._refuse(self.wishes[ruling.crowded.id], WaiterEvent.CROWDED)
        if ruling.act is WaiterAction.PLACE:
            self._place(wish)
        elif ruling.act is WaiterAction.REFUSE:
            self._refuse(wish, WaiterEvent.NO_TIME, ruling.wait_us)

    def _place(self, wish: SlotRequest) -> None:
        """It has the turn: the module picks a box, or answers by itself."""
        session, now_us = wish.session, self.context.now_us()
        wish.placing = True
        left_us = max(1, session.give_up_us - now_us)
        try:
            self.front.handle(replace(wish.request, timeout_us=left_us), now_us)
        except Exception as error:
            if wish.bell is None:
                raise  # the thread that asks sees to it
            # This is another one's thread: its own set-up must not suffer from it.
            self.context.notice("slot_failed", subscription=session.id, reason=repr(error))
            self.front.sessions.pop(session.id, None)
            self._refuse(wish, WaiterEvent.NO_TIME)
        wish.placing = False
        if session.step is not None:
            self._wake(wish)

    def waits_on(self, session: Session) -> bool:
        """The module finds no place at the boxes that are free: whether it waits for one of the others."""
        wish = self.wishes.get(session.id)
        if wish is None or not wish.placing:
            return False
        now_us, waiter = self.context.now_us(), wish.waiter
        rest = tuple(server for server in waiter.servers if not self.line.open_to(waiter, server, now_us))
        waiter.apply(WaiterEvent.NO_BOX)
        if not rest:
            return False
        again = replace(waiter, servers=rest)
        again.apply(WaiterEvent.AGAIN)
        if self.line.ask(again, now_us).act is not WaiterAction.WAIT:
            return False
        wish.waiter = again
        return True

    def free(self, id: str, server: str) -> bool:
        """The module wants to know whether a join may go to a box now."""
        session = self.lifecycle.by_module.get(id)
        if session is None:
            return True
        now_us, wish = self.context.now_us(), self.wishes.get(session.id)
        if wish is not None and wish.placing:
            return self.line.open_to(wish.waiter, server, now_us)
        return self.line.free(server, self._guess(session).long, now_us)

    def _guess(self, session: Session) -> ServiceTimeEstimate:
        wish = self.wishes.get(session.id)
        if wish is not None:
            return wish.waiter.guess
        return self.line.holds.guess(self._later_shape(session), session.title)

    def _later_shape(self, session: Session) -> Shape:
        return session.service_class, 2 * session.top // len(session.rates_kb), True

    def take(self, session: Session, server: str, attempt: int) -> bool:
        """A join is to go out; False where there is no slot for it."""
        now_us, wish = self.context.now_us(), self.wishes.get(session.id)
        tenant = number_of(session.ask.tenant if session.ask is not None else "")
        tenant = self.line.terms.known(tenant)
        shape = wish.waiter.shape if wish is not None else self._later_shape(session)
        key = session.id, attempt
        if not self.line.take(server, key, tenant, self._guess(session), now_us):
            self.context.tally("slots_missed")
            return False
        self.outs[key] = SlotInUse(server, shape, session.title, tenant)
        if wish is not None:
            wish.waiter.apply(WaiterEvent.PLACED)
        return True

    def give_back(self, session: Session, attempt: int, outcome: Outcome) -> None:
        """A join is over; nothing where it held no slot."""
        out, now_us = self.outs.pop((session.id, attempt), None), self.context.now_us()
        if out is None:
            return
        hold = self.line.give_back(out.server, (session.id, attempt), now_us)
        if hold is None:
            return
        held_us = now_us - hold.since_us
        if outcome in TEACHES:
            self.line.holds.learn(out.shape, out.title, out.tenant, held_us)
        self.told.gave(number_of_server(out.server), out.tenant, held_us)
        if (wish := self.wishes.get(session.id)) is not None:
            wish.waiter.apply(WaiterEvent.RETURNED)
            if outcome is Outcome.SERVED:
                del self.wishes[session.id]

    def over(self, session: Session) -> None:
        """It needs no first slot any more: it plays, or has ended."""
        wish = self.wishes.pop(session.id, None)
        if wish is not None:
            self.line.leave(wish.waiter, WaiterEvent.HUNG_UP)

    def drop(self, session: Session) -> None:
        """Something failed in the middle of it: nothing of it is held any more."""
        self.over(session)
        for key in [key for key in self.outs if key[0] == session.id]:
            self.give_back(session, key[1], Outcome.NOT_SENT)

    def pump(self) -> None:
        """Slots may have come free: who waits for them has them now."""
        now_us = self.context.now_us()
        for server in self._wanted():
            while (waiter := self.line.next(server, now_us)) is not None:
                self._place(self.wishes[waiter.id])
                self._tell_wants(waiter.servers)

    def _tell_wants(self, servers: Iterable[str]) -> None:
        for server in servers:
            waiting = (one for mine in self.line.waiting.values() for one in mine.values())
            self.wants(server, sum(server in one.servers for one in waiting))

    def risen(self) -> None:
        """This front's part of a box may have grown."""
        with self.context.lock:
            self.pump()

    def _wanted(self) -> list[str]:
        waiting = (one for mine in self.line.waiting.values() for one in mine.values())
        return list(dict.fromkeys(server for one in waiting for server in one.servers))

    # What the door that waits calls.

    def waited(self, step: WaitForSlot, event: WaiterEvent | None) -> NextStep | None:
        """Its wait is over, by its bell (None) or otherwise; its next step, None where it has hung up."""
        with self.context.lock:
            session = step.session
            wish = self.wishes.get(session.id)
            if session.step is None and wish is not None:
                if event is WaiterEvent.HUNG_UP:
                    self.context.tally("slots_hung_up")
                    self.line.leave(wish.waiter, event)
                    self.lifecycle.apply(session, SessionCue.THROTTLE)
                else:
                    self._refuse(wish, event or WaiterEvent.NO_TIME)
            if wish is not None:
                self._tell_wants(wish.waiter.servers)
            following, session.step = session.step, None
            step.bell.close()
            return following

    def _refuse(self, wish: SlotRequest, event: WaiterEvent, wait_us: int | None = None) -> None:
        """Nothing of it has left: its final answer, at once, with a time to come back."""
        session, now_us = wish.session, self.context.now_us()
        if wait_us is None:
            wait_us = self.line.come_back_us(wish.waiter, now_us)
        self.line.leave(wish.waiter, event)
        most_us = self.front.settings.retry_after_us
        wait_us = round(wait_us * (1 + self.context.rng.random()))
        wait_us = wait_us if most_us is None else min(wait_us, most_us)
        self.context.tally(f"slots_refused_{event.name.lower()}")
        session.step = SessionResponse(ResponseKind.THROTTLED, WHYS[event], wait_us)
        self.lifecycle.apply(session, SessionCue.THROTTLE)
        self._wake(wish)

    def _wake(self, wish: SlotRequest) -> None:
        if wish.bell is not None:
            wish.bell.ring()

    # Other fronts.

    def window(self) -> None:
        """A window has passed: tell the others what each tenant got. What is sent waits for nobody."""
        with self.context.lock:
            now_us = self.context.now_us()
            self.line.heard = self.told.heard(now_us)
            # As bounded as the line: kept for itself, it grew with every box that ever took a join.
            self.servers = {number_of_server(server): server for server in self.line.servers}
            said = self.told.window()
            self.pump()  # what others use fades by itself
        if said is not None:
            self.post(said)

    def hear(self, sender: int, said: UsageReport) -> None:
        """Another front's word has come."""
        with self.context.lock:
            now_us = self.context.now_us()
            for row in self.told.hear(sender, said, self.settings.slots, now_us):
                server = self.servers.get(row.server)
                if server is not None:
                    self.line.advance(server, row.tenant, row.given_us, now_us)

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.context.lock:
            now_us = self.context.now_us()
            used: dict[str, float] = {}
            for shares in self.line.servers.values():
                for tenant in shares.active(now_us):
                    name = self.names.get(tenant, f"{tenant:08x}")
                    used[name] = used.get(name, 0.0) + shares.used(tenant, now_us)
            largest = sorted(used.items(), key=lambda item: -item[1])[:8]
            return {
                "out": sum(shares.out for shares in self.line.servers.values()),
                "waiting": self.line.count,
                "heard": self.line.heard,
                "long_ms": round(self.line.holds.long_us() / 1000, 1),
                "tenants": {name: round(slots, 2) for name, slots in largest},
            }
