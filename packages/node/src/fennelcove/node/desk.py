"""Everything behind the one lock: the decision module, and what the node holds of viewers and servers.

Nothing here waits: sends are handed to the kernel or given up, and the threads of links and viewers wait
outside. Every method but `due` is called with the lock held.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.decisions.boxes.parting import Dial
from fennelcove.interface import (
    ClientGone,
    Event,
    Handover,
    ListMode,
    LoadReport,
    Note,
    NoteKind,
    Outcome,
    Request,
    Standing,
)
from fennelcove.isup.messages import Cause, Code, Kind, Message
from fennelcove.node import outcomes, states
from fennelcove.node.address import Address
from fennelcove.node.asks import Asks
from fennelcove.node.config import Config
from fennelcove.node.deadlines import Deadlines
from fennelcove.node.descriptors import Descriptors, Use, limited
from fennelcove.node.links import DIAL_AGAIN_US, Link
from fennelcove.node.log import Notices
from fennelcove.node.notices import Notice
from fennelcove.node.pool import Pool
from fennelcove.node.parties import Caller, Join, Line, Phase, Server, State, Subscription
from fennelcove.node.states import Input
from fennelcove.node.viewers import ConnectionTable
from fennelcove.rules import Front

QUIET_US = 1_500_000  # a link with something playing behind it is asked for a sign of life after so long,
SILENT_US = 1_500_000  # and taken for dead when none has come after so long again
EARLY_US = 2_000_000  # what servers say of sessions that their viewers have not named yet is kept so long,
MOST_EARLY = 4_096  # of so many sessions,
MOST_EARLY_EACH = 8  # and so much of each
UNNAMED_US = 2_000_000  # what plays at a server that no list names waits so long for one that does,
MOST_UNNAMED = 1_024  # of so many sessions
ANSWER_MORE_US = 20_000  # past a client timeout the module may still answer, of the 50 ms that limits leave


class Desk(Pool):
    """One instance."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        timers: Timers,
        notice: Notices,
        descriptors: Descriptors | None = None,
    ) -> None:
        self.config = config
        self.clock = clock
        self.timers = timers
        self.notice = notice
        self.lock = threading.Lock()
        self.last_us = 0
        self.subs: dict[bytes, Subscription] = {}
        self.servers: dict[str, Server] = {}
        self.descriptors = descriptors or Descriptors(limited(config.sockets))
        self.connections = ConnectionTable(self.descriptors.most[Use.CLIENT])
        self.stopping = False
        self.deadlines = Deadlines(clock, timers, lambda: self.due(self.answer_late))
        self.ended = False  # the last answers are out: a set-up that still comes gets its own at once
        self.events: deque[Event] = deque()
        self.telling = False
        self.unnamed: dict[Subscription, tuple[int, Request]] = {}
        self.early: dict[bytes, list[tuple[int, Line, Message]]] = {}
        self.fetch: Callable[[], None] = lambda: None
        self.front = Front(config.settings, config.seed, Asks(self), self.now_us())

    def tell(self, event: Event) -> None:
        """Tell the module, after what it is being told already."""
        self.events.append(event)
        if self.telling:
            return
        self.telling = True
        try:
            while self.events:
                self.decide(self.events.popleft())
        finally:
            self.telling = False

    def decide(self, event: Event) -> None:
        """Hand one event to the module. It must not raise; if it does all the same, what it was asked is
        answered, since its viewer would wait for good, and everybody else is served on."""
        try:
            self.front.handle(event, self.now_us())
        except Exception as error:
            self.notice(
                "decision_failed", told=type(event).__name__, reason=f"{type(error).__name__}: {error}"
            )
            sub = self.subs.get(bytes.fromhex(event.id)) if isinstance(event, Request) else None
            if sub is not None:
                states.step(self, sub, Input.STOP)

    def due(self, call: Callable[[], None]) -> None:
        """What a timer calls: takes the lock itself."""
        with self.lock:
            call()

    # Joins on links.

    def carry(self, sub: Subscription) -> None:
        """Hand a set-up to an idle link, or to a new one; the limit on the join runs from now."""
        join = sub.join
        assert join is not None
        if not self.timers.after(join.allow_us, lambda: self.due(lambda: self.time_over(sub, join))):
            self.join_over(sub, Outcome.NOT_SENT, None)  # a join without a limit would outlast its viewer
            return
        idle = self.idle(join.server, sub)
        if not idle and self.links >= self.most_links:
            self.spare()
        if not idle and self.links >= self.most_links:
            self.join_over(sub, Outcome.NOT_SENT, None)
            return
        if idle:
            join.link = idle[-1]
            join.link.carry(sub)
            return
        link = join.link = Link(self, join.server)
        link.carry(sub)
        link.start()

    def time_over(self, sub: Subscription, join: Join) -> None:
        """The wait for this join is over, if it is still out: it is given up before the module hears."""
        link = join.link
        if sub.join is not join or sub.state is not State.JOINING or link is None:
            return
        if link.phase is Phase.DIALLING:
            link.close(Outcome.NO_CONNECTION)
            return
        link.give_up(sub)
        # An answer that never comes, or stops short, leaves nothing that can be read behind it.
        link.close(Outcome.NO_ANSWER)
        self.join_over(sub, Outcome.NO_ANSWER, None)

    def join_over(self, sub: Subscription, outcome: Outcome, report: LoadReport | None) -> None:
        """A join, or what it started, has come to this."""
        if sub.join is not None:
            sub.join.outcome, sub.join.report = outcome, report
            states.step(self, sub, Input.ENDED)

    def hear(self, link: Line, message: Message) -> None:
        """A message of a server. An answer that nobody asked for is passed over: it may have crossed with its
        end, or be a second copy, or come ahead of its question."""
        sub = self.subs.get(message.session)
        if message.kind is Kind.TEST:
            link.answer_test()
        if sub is None and message.kind in (Kind.NOTE, Kind.RELEASE):
            # At a start a server tells the rungs of all that plays there as soon as a link stands, and most
            # viewers have not named theirs by then: unheard, all of those would be taken for the lowest rung.
            self.keep(link, message)
        if sub is None or sub.join is None or sub.join.server is not link.server:
            return
        if sub.state is State.JOINING and sub.join.link is not link:
            return  # of an earlier join under this id: until it stands, a join has its one connection
        if message.kind is Kind.ANSWER:
            self.answered(link, sub, message)
        elif message.kind is Kind.RELEASE:
            self.released(link, sub, message)
        elif message.kind is Kind.NOTE and sub.state is State.STANDING:
            self.noted(sub, message)

    def keep(self, link: Line, message: Message) -> None:
        """Bounded in number, in each session's messages and in age: most of it is never asked for."""
        if message.session in self.early or len(self.early) < MOST_EARLY:
            said = self.early.setdefault(message.session, [])
            if len(said) < MOST_EARLY_EACH:
                said.append((self.now_us(), link, message))
            elif message.kind is Kind.RELEASE:
                # Crowded out by notes, the end of what plays was lost, and its viewer waited for good.
                said[-1] = (self.now_us(), link, message)

    def answered(self, link: Line, sub: Subscription, message: Message) -> None:
        if sub.state is not State.JOINING:
            return  # a second copy
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            link.close(Outcome.CONNECTION_LOST)
            return
        if link.carried is sub:
            link.done()
        sub.answer = description
        states.step(self, sub, Input.ANSWERED)

    def released(self, link: Line, sub: Subscription, message: Message) -> None:
        standing = sub.state is State.STANDING
        outcome = (outcomes.AFTER if standing else outcomes.BEFORE).get(
            message.cause, Outcome.CONNECTION_LOST
        )
        if link.carried is sub:
            link.done()
        self.join_over(sub, outcome, outcomes.load(message))

    def noted(self, sub: Subscription, message: Message) -> None:
        kind, value = (
            outcomes.NOTES.get(message.text(Code.NOTE_NAME)),
            outcomes.figure(message.text(Code.FIGURE)),
        )
        if kind is None or value is None or sub.join is None:
            return
        if kind is NoteKind.RUNG:
            if not 0 <= value < len(self.config.settings.ladder_kb):
                return
            sub.rung = int(value)
        self.tell(Note(sub.key, sub.join.server.name, kind, value))

    # Servers.

    def board_says(self, notice: Notice) -> None:
        """The list has changed."""
        if notice.update.mode is not ListMode.INCREMENTAL:
            for server in self.servers.values():
                server.listed = False
        moved = []
        # All of it is in the tables before anything ends by it: the module may then join any of these.
        for entry in notice.update.entries:
            dial = notice.dials[entry.address]
            server = self.servers.setdefault(entry.address, Server(entry.address, dial))
            if server.address != dial:
                moved.append(server)
            server.address, server.listed = dial, entry.standing is not Standing.LEFT
        self.tell(notice.update)
        for server in moved:
            self.redial(server)  # what is open or being dialled leads to where it was
        for entry in notice.update.entries:
            self.reborn(self.servers[entry.address], entry.started_us)
        self.name_handovers()
        for server in list(self.servers.values()):
            if not server.listed and server.links and self.succeeded(server):
                self.redial(server, dials_only=True)
            self.drop(server)

    def drop(self, server: Server) -> None:
        """Forget a server that is off the list, once the module has and nothing plays there."""
        if not server.listed and not server.standing and server.name not in self.front.servers:
            for link in list(server.links):
                if link.carried is None:
                    link.close(Outcome.CONNECTION_LOST)
            if not server.links:
                del self.servers[server.name]

    def dial_failed(self, server: Server, refused: bool) -> None:
        """A connection could not be made."""
        server.parting.dialled(Dial.REFUSED if refused else Dial.SILENT, self.now_us())
        server.dial_at_us = self.now_us() + DIAL_AGAIN_US
        self.part(server)

    def part(self, server: Server) -> None:
        """End what stands at a server that is gone: its viewers must hear."""
        if any(link.phase is Phase.OPEN for link in server.links):
            return
        # Taken for gone after two dials that timed out, a zone that was only cut off lost all its viewers.
        if server.parting.over(server.listed, self.now_us()):
            self.cut(server)

    def cut(self, server: Server) -> None:
        """A server is gone without a word: what stood there is over, and nothing can be sent there."""
        server.unsent.clear()
        for sub in list(server.standing):
            self.join_over(sub, Outcome.CONNECTION_LOST, None)

    def reborn(self, server: Server, started_us: int) -> None:
        """A process that dies and is back before two dials have failed looks alive, and its viewers waited
        for good: what was set up there before the start that the board tells is over."""
        if started_us <= server.started_us:
            return
        server.started_us = started_us
        for link in list(server.links):
            # A machine that vanished ended none of its connections: a set-up on one of them is reset.
            if link.idle and link.heard_us < started_us:
                link.close(Outcome.CONNECTION_LOST)
        for sub in list(server.standing):
            if sub.join is not None and sub.join.sent_us < started_us:
                # Told as a lost connection, it made the module take the new process for started only now:
                # each front had another start, by its own clock, and the turns of all no longer fitted.
                self.join_over(sub, Outcome.NO_ANSWER, None)

    def takes_joins(self, server: Server) -> bool:
        """Whether the list, as far as it has been told, lets anything new go to this server."""
        held = self.front.servers.get(server.name)
        return held is not None and held.standing is Standing.ACTIVE

    def wanted(self, sub: Subscription) -> bool:
        """Whether a set-up that waited for its connection is to be sent: its viewer may have left in the
        moment in which the dial was made, with its thread still waiting for the lock."""
        if sub.viewer is None or not sub.viewer.left():
            return True
        states.step(self, sub, Input.VIEWER_GONE)
        return False

    def succeeded(self, server: Server) -> bool:
        """Off the list, with its address another's by now."""
        return not server.listed and any(
            other.listed and other.address == server.address for other in self.servers.values()
        )

    def round(self) -> None:
        """Now and then: links that must be there are, those behind which something plays give a sign of life,
        and those that carry nothing end before the server ends them."""
        now_us = self.now_us()
        for id, said in list(self.early.items()):
            if now_us - said[0][0] <= EARLY_US:
                break  # kept in the order of their first
            del self.early[id]
        self.connections.expire(now_us)
        self.name_handovers()
        self.answer_late()  # here too, where no timer could be had for the next of them
        waiting = list[Server]()
        for server in list(self.servers.values()):
            for link in list(server.links):
                if link.phase is not Phase.OPEN:
                    continue
                quiet_us = now_us - link.heard_us
                silent = link.tested_us is not None and now_us - link.tested_us > SILENT_US
                unused = link.idle and not server.standing and quiet_us > self.config.terms.idle_us * 3 // 4
                if silent or unused:
                    link.close(Outcome.CONNECTION_LOST)
                elif quiet_us > QUIET_US and server.standing and link.tested_us is None:
                    link.test()
            if server.standing:
                self.part(server)
            # The end of what plays there comes on any open link, or on the next that is opened.
            # One that was closed unread may have carried it, and with others open no next one ever came.
            server.dial_anew = server.dial_anew and bool(server.standing)
            due = not server.links or (server.dial_anew and self.links < self.most_links)
            if server.needs_link and due and now_us >= server.dial_at_us:
                server.dial_anew = False
                # A dial would reach the one that came in its place, whose signs of life say nothing of it.
                if self.succeeded(server):
                    self.cut(server)
                else:
                    waiting.append(server)
            self.drop(server)
        self.reach(waiting)

    # Viewers.

    def take(self, sub: Subscription, request: Request) -> None:
        """A set-up that is well formed."""
        self.subs[sub.id] = sub
        if sub.viewer is not None:
            sub.viewer.open[sub] = None
        if self.ended:
            self.last_answer(sub)  # the process is gone before a server could give one
        elif self.deadlines.add(sub, request.timeout_us + ANSWER_MORE_US):
            self.tell(request)
        else:
            states.step(self, sub, Input.THROTTLE)

    def answer_late(self) -> None:
        """Answer what the module has not by its client timeout, as after a fault of its own: unanswered, a
        set-up is lost."""
        for id in self.deadlines.passed():
            sub = self.subs.get(id)
            if sub is not None and states.step(self, sub, Input.STOP):
                self.notice("answered_late", id=sub.key, joins=sub.joins)

    def adopt(self, sub: Subscription, request: Request, server: str) -> bool:
        """What plays at a server already; False where no such server is known yet."""
        known = server in self.front.servers and server in self.servers
        if not known and len(self.unnamed) >= MOST_UNNAMED:
            self.to_viewer(sub, states.release(sub, Cause.RESET))
            return False
        # Passed over, it was left standing for good: with no list that names its server, nobody told its end.
        at = self.servers[server] if known else Server(server, Address("", 0), listed=False)
        sub.join, sub.joins, sub.state = Join(at, 0, self.now_us(), 0), 1, State.STANDING
        sub.description = b""
        self.subs[sub.id] = sub
        if sub.viewer is not None:
            sub.viewer.standing[sub] = None
        if not known:
            self.unnamed[sub] = (self.now_us() + UNNAMED_US, request)
            return False
        self.hold(sub, request, at)
        return True

    def hold(self, sub: Subscription, request: Request, server: Server) -> None:
        """What was handed over stands at a server that is known."""
        server.standing[sub] = None
        self.tell(Handover(request, server.name))
        for _, link, message in self.early.pop(sub.id, ()):
            self.hear(link, message)
        if not server.links and self.links < self.most_links:
            Link(self, server).start()

    def name_handovers(self) -> None:
        """What was handed over at a server that no list named: one may by now, or its time is over."""
        for sub, (until_us, request) in list(self.unnamed.items()):
            assert sub.join is not None
            placeholder = sub.join.server
            server = self.servers.get(placeholder.name)
            if server is not None and server.name in self.front.servers:
                del self.unnamed[sub]
                server.unsent.extend(placeholder.unsent)  # ended meanwhile, it stands at its server yet
                if sub.state is State.STANDING:
                    sub.join.server = server
                    self.hold(sub, request, server)
            elif self.now_us() >= until_us:
                del self.unnamed[sub]
                self.join_over(sub, Outcome.CONNECTION_LOST, None)

    def end(self) -> int:
        """Answer whatever is still unanswered, and from now on what comes; how much that was."""
        self.ended = True
        # What waits goes first: the room that an ended join leaves would send it out once more.
        left = sorted(self.subs.values(), key=lambda sub: sub.state is State.JOINING)
        return sum(self.last_answer(sub) for sub in left)

    def last_answer(self, sub: Subscription) -> bool:
        """The node ends. What was never sent to a server is refused as harmless; nobody knows of the rest."""
        if sub.state is not State.OPEN or sub.joins:
            return states.step(self, sub, Input.STOP)
        sub.wait_us = self.config.settings.retry_after_us or 0
        states.step(self, sub, Input.THROTTLE)
        self.tell(ClientGone(sub.key))
        return True

    def forget(self, sub: Subscription) -> None:
        """Nothing of it may stay in any table."""
        self.subs.pop(sub.id, None)
        self.deadlines.drop(sub)
        if sub.viewer is not None:
            sub.viewer.open.pop(sub, None)
            sub.viewer.standing.pop(sub, None)
        if sub.join is not None:
            sub.join.server.standing.pop(sub, None)

    def answer(self, sub: Subscription, data: bytes) -> bool:
        """On the connection of the set-up alone; False where its viewer has not got all of it. The kernel
        takes it for one that has closed as well, and what it tells of would stand for nobody."""
        self.deadlines.drop(sub)
        return sub.viewer is not None and not sub.viewer.left() and sub.viewer.send(data)

    def seated(self, viewer: Caller) -> bool:
        """Whether something may be open on this connection."""
        return self.connections.seated(viewer)

    def deliver(self, viewer: Caller) -> None:
        """Tell a connection what its peer has missed."""
        self.connections.deliver(viewer)

    def to_viewer(self, sub: Subscription, data: bytes) -> None:
        """On the connection of the set-up, or another of the same viewer's: what stands belongs to none."""
        known = sub.viewer is not None and not sub.viewer.left()
        viewer = sub.viewer if known else self.connections.other(sub.peer, sub.figure)
        if viewer is None or not viewer.send(data):
            self.connections.defer(sub.peer, data, self.now_us())

    def to_server(self, sub: Subscription, data: bytes) -> None:
        if sub.join is not None:
            for link in list(sub.join.server.links):
                # Lost on a connection that has ended, it left its session standing for nobody.
                if link.phase is Phase.OPEN and not link.ended() and link.send(data):
                    return
            sub.join.server.unsent.append(data)
