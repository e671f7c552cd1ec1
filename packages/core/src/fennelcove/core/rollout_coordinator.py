"""The core's part that agrees with other fronts on who may be out. It is handed what it needs.

All that happens to it goes through one bounded line that one thread works off: a promise has to be safe in
the folder before it is sent, and whoever waits for a disk must hold neither the core's lock nor its timers.
What finds the line full is lost, as any message may be.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.rollouts.coordinator import Act, RolloutAgreement, Answer, Command, Do, Memory, Mine, Post
from fennelcove.rollouts.disruption_budget import Location
from fennelcove.rollouts.messages import Kind, Said

MOST_WAITING = 1024
ANSWER_US = 4_500_000  # how long an operator's word is waited for; the agreement calls it lost before
LOOK_US = 20_000  # how often its answer is looked for


@dataclass(frozen=True, slots=True)
class ServerSight:
    """What this front sees of a box."""

    place: Location
    serving: bool
    as_of_us: int


@dataclass(slots=True, eq=False)
class Reply:
    """What whoever asked waits for."""

    answer: Answer = Answer.PENDING
    ready: threading.Event = field(default_factory=threading.Event)


class RolloutCoordinator:
    """One front's part. Attach `post`, `leave`, `take_box` before `run`, which belongs to its thread."""

    def __init__(
        self,
        agreement: RolloutAgreement,
        beat_us: int,
        mine: Callable[[], Mine],
        servers: Callable[[], Mapping[int, ServerSight]],
        keep: Callable[[Memory], bool],
        clock: Clock,
        rng: Random,
        notice: EventLogger,
    ) -> None:
        self.agreement = agreement
        self.beat_us = beat_us
        self.mine = mine
        self.servers = servers
        self.keep = keep  # whether it is safe now
        self.clock = clock
        self.rng = rng
        self.notice = notice
        self.post: Callable[[int, Said], None] = lambda front, said: None
        # Go out and come back with this version; False where that can't be done.
        self.leave: Callable[[int], bool] = lambda version: False
        self.take_server: Callable[[int], bool] = lambda cell: False
        self.line: queue.Queue[Callable[[int], Post]] = queue.Queue(MOST_WAITING)
        self.followed: list[tuple[int, Reply, int]] = []  # operators' words that no majority has taken yet
        self.unsafe: Memory | None = None  # not in the folder yet: until it is, nothing is said
        self.lost = 0
        self.shown: dict[str, object] = {}
        self.stopped = False

    # Whatever thread.

    def hear(self, sender: int, said: Said) -> None:
        """Another front says something."""
        self._put(lambda now_us: self.agreement.hear(sender, said, now_us))

    def command(self, told: Command) -> Answer:
        """An operator's word about a plan; returns when a majority has taken it or that is given up."""
        reply = Reply()

        def carry(now_us: int) -> Post:
            number, _, post = self.agreement.command(told, now_us)
            self._follow(number, reply, now_us + ANSWER_US)
            return post

        return self._waited(reply, carry)

    def want_out(self, version: int) -> Answer:
        """An operator wants this front out when it may be, to come back with this version."""
        return self._at_once(lambda now_us: self.agreement.want_out(version, now_us))

    def want_server(self, cell: int) -> Answer:
        """An operator wants a box out when it may be."""
        return self._at_once(lambda now_us: self.agreement.want_server(cell, now_us))

    def write_off(self, kind: Kind, place: int) -> Answer:
        """An operator says that a place does not come back."""

        def carry(now_us: int) -> Post:
            self.agreement.write_off(kind, place, now_us)
            return []

        return self._at_once(carry)

    def anew(self) -> Answer:
        """An operator says that nobody knows more of a plan than this front does."""

        def carry(now_us: int) -> Post:
            self.agreement.anew()
            return []

        return self._at_once(carry)

    def status(self) -> dict[str, object]:
        """Figures for an operator, as of the last beat."""
        return {**self.shown, "unsafe": self.unsafe is not None, "lost": self.lost}

    def stop(self) -> None:
        """End `run` soon."""
        self.stopped = True

    def _put(self, call: Callable[[int], Post]) -> bool:
        try:
            self.line.put_nowait(call)
        except queue.Full:
            self.lost += 1
            return False
        return True

    def _at_once(self, call: Callable[[int], Post]) -> Answer:
        reply = Reply()

        def carry(now_us: int) -> Post:
            post = call(now_us)
            self._told(reply, Answer.DONE)
            return post

        return self._waited(reply, carry)

    def _waited(self, reply: Reply, carry: Callable[[int], Post]) -> Answer:
        if not self._put(carry):
            return Answer.BUSY
        reply.ready.wait(ANSWER_US / 1e6)
        return Answer.LOST if reply.answer is Answer.PENDING else reply.answer

    def _follow(self, number: int, reply: Reply, until_us: int) -> None:
        """Look again and again what became of an operator's word."""
        answer = self.agreement.answer(number)
        if answer is Answer.PENDING and self.clock.now_us() < until_us:
            self.followed.append((number, reply, until_us))
        else:
            self.shown = self.agreement.status(self.clock.now_us())
            self._told(reply, Answer.LOST if answer is Answer.PENDING else answer)

    @staticmethod
    def _told(reply: Reply, answer: Answer) -> None:
        reply.answer = answer
        reply.ready.set()

    # Its own thread.

    def run(self) -> None:
        """Work off what comes, and beat."""
        due_us = self.clock.now_us()
        while not self.stopped:
            wait_us = due_us - self.clock.now_us()
            if wait_us <= 0:
                self._carry(self._beat)
                # One that was held up does not make up for beats: they would come all at once.
                due_us = max(due_us + self.beat_us, self.clock.now_us())
                continue
            if self.followed:
                wait_us = min(wait_us, LOOK_US)
            with suppress(queue.Empty):
                self._carry(self.line.get(timeout=wait_us / 1e6))
            followed, self.followed = self.followed, []
            for number, reply, until_us in followed:
                self._follow(number, reply, until_us)

    def _beat(self, now_us: int) -> Post:
        sights = self.servers()
        self.agreement.servers_are({cell: sight.place for cell, sight in sights.items()}, now_us)
        for cell, sight in sights.items():
            self.agreement.see_server(cell, sight.serving, sight.as_of_us, now_us)
        post = self.agreement.beat(self.mine(), now_us, self.rng.random())
        self.shown = self.agreement.status(now_us)
        return post

    def _carry(self, call: Callable[[int], Post]) -> None:
        try:
            self._carried(call)
        except Exception as error:  # one message's fault must not end the agreement with all others
            self.notice("releases_failed", reason=repr(error))

    def _carried(self, call: Callable[[int], Post]) -> None:
        post = call(self.clock.now_us())
        told = self.agreement.keep()
        if told is not None:
            self.unsafe = told
        if self.unsafe is not None:
            if not self.keep(self.unsafe):
                return
            self.unsafe = None
        for front, said in post:
            self.post(front, said)
        for act in self.agreement.acts():
            self._act(act)

    def _act(self, act: Act) -> None:
        if act.do is Do.NOTE:
            self.notice("release", told=act.text)
        elif act.do is Do.STAY:
            self.notice("release_stays", kind=act.kind.name.lower(), place=act.place)
        elif self.agreement.begin(act.kind, act.place, self.clock.now_us()):
            gone = self.leave(act.version) if act.kind is Kind.FRONT else self.take_server(act.place)
            if not gone:
                self._carry(lambda now_us: self.agreement.let_go(act.kind, act.place, now_us))
