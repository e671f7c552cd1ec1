"""The core's part that spends from the fleet's budgets. It is handed what it needs; the core's lock is round
it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from random import Random

from fennelcove.clock import Clock
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Quota, Resource
from fennelcove.settings.schema import Instance

TURN_US = 250_000  # how often it is looked whether more is needed


class SharedQuotaCoordinator:
    """One front's parts. Attach `post` where others can be asked; call `turn` every `TURN_US`."""

    def __init__(
        self,
        wholes: Mapping[Resource, float],
        instance: Instance,
        life: int,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.lock = lock
        now_us = clock.now_us()
        self.purses = {
            thing: Quota(thing, whole, instance.fronts, instance.index, life, now_us)
            for thing, whole in wholes.items()
        }
        self.post: Callable[[int, QuotaRequest | QuotaTransfer], None] = lambda front, said: None

    def take(self, thing: Resource) -> bool:
        """One more is wanted; True where nothing limits it."""
        with self.lock:
            purse = self.purses.get(thing)
            return purse is None or purse.take(self.clock.now_us())

    def wait_us(self, thing: Resource) -> int:
        """How long to wait before one is taken; 0 where it was taken."""
        with self.lock:
            purse, now_us = self.purses.get(thing), self.clock.now_us()
            if purse is None or purse.take(now_us):
                return 0
            return max(1, purse.wait_us(now_us))

    def turn(self) -> None:
        """Ask others for what is short. What is sent waits for nobody."""
        with self.lock:
            now_us = self.clock.now_us()
            found = [ask for purse in self.purses.values() for ask in purse.ask(self.rng.random(), now_us)]
        for front, ask in found:
            self.post(front, ask)

    def hear(self, sender: int, said: QuotaRequest | QuotaTransfer) -> None:
        """Another front asks, or lends."""
        with self.lock:
            purse, now_us = self.purses.get(said.thing), self.clock.now_us()
            if purse is None:
                return
            if isinstance(said, QuotaTransfer):
                purse.hear_loan(sender, said, now_us)
                return
            loan = purse.hear_ask(sender, said, now_us)
        if loan is not None:
            self.post(sender, loan)

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.lock:
            now_us = self.clock.now_us()
            return {
                thing.name.lower(): {
                    "rate": round(purse.rate(now_us), 3),
                    "spent": purse.spent,
                    "denied": purse.denied,
                    "lent_to": len(purse.lent),
                    "borrowed_from": len(purse.borrowed),
                }
                for thing, purse in self.purses.items()
            }
