"""What the decision module asks of the node: each of its effects as an input to the table of states."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from fennelcove.clock.timers import Timers
from fennelcove.interface import PeerSays, TimerFired
from fennelcove.node import states
from fennelcove.node.parties import Join, Server, Subscription
from fennelcove.node.states import Input, Hands


class Stock(Hands, Protocol):
    """What the node holds by the module's names, and what its wishes are carried out with."""

    subs: dict[bytes, Subscription]
    servers: dict[str, Server]
    timers: Timers
    fetch: Callable[[], None]

    def due(self, call: Callable[[], None]) -> None: ...


class Asks:
    """The module's `Effects`; called with the desk's lock held."""

    def __init__(self, desk: Stock) -> None:
        self.desk = desk

    def _sub(self, id: str) -> Subscription:
        return self.desk.subs[bytes.fromhex(id)]

    def join(self, id: str, server: str, allow_us: int) -> None:
        sub = self._sub(id)
        sub.join = Join(self.desk.servers[server], sub.joins, self.desk.now_us(), allow_us)
        sub.joins += 1
        states.step(self.desk, sub, Input.JOIN)

    def set_rung(self, id: str, rung: int) -> None:
        sub = self._sub(id)
        sub.rung = rung
        states.step(self.desk, sub, Input.RUNG)

    def throttle(self, id: str, wait_us: int) -> None:
        sub = self._sub(id)
        sub.wait_us = wait_us
        states.step(self.desk, sub, Input.THROTTLE)

    def terminate(self, id: str) -> None:
        states.step(self.desk, self._sub(id), Input.TERMINATE)

    def move(self, id: str) -> None:
        states.step(self.desk, self._sub(id), Input.MOVE)

    def timer(self, name: int, delay_us: int) -> None:
        desk = self.desk
        desk.timers.after(delay_us, lambda: desk.due(lambda: desk.tell(TimerFired(name))))

    def fetch_list(self) -> None:
        self.desk.fetch()

    def watch_list(self) -> None:
        """The board is always watched."""

    def probe(self, server: str) -> None:
        """This protocol's test shows a connection and no load: there is nothing to probe with."""

    def tell(self, front: int, said: PeerSays) -> None:
        """Fronts of this protocol don't speak with each other."""
