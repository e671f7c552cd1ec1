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
from fennelcove.decisions.servers.connection_loss import DialResult
from fennelcove.interface import (
    ClientGone,
    Event,
    Handover,
    ListMode,
    LoadReport,
    SessionReport,
    ReportKind,
    Outcome,
    Request,
    ServerState,
)
from fennelcove.isup.messages import Cause, Code, Kind, Message
from fennelcove.node import outcome_mapping, session_states
from fennelcove.node.address import Address
from fennelcove.node.policy_effects import PolicyEffects
from fennelcove.node.config import Config
from fennelcove.node.deadlines import Deadlines
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse, limited
from fennelcove.node.server_connection import DIAL_AGAIN_US, ServerConnection
from fennelcove.node.log import EventLogger
from fennelcove.node.discovery_events import DiscoveryEvent
from fennelcove.node.server_pool import ServerPool
from fennelcove.node.model import (
    ClientLink,
    Attempt,
    ServerLink,
    ConnectionState,
    Server,
    SessionState,
    Session,
)
from fennelcove.node.session_states import SessionEvent
from fennelcove.node.client_connection import ConnectionTable
from fennelcove.placement import PlacementPolicy

QUIET_US = 1_500_000  # a link with something playing behind it is asked for a sign of life after so long,
SILENT_US = 1_500_000  # and taken for dead when none has come after so long again
EARLY_US = 2_000_000  # what servers say of sessions that their viewers have not named yet is kept so long,
MOST_EARLY = 4_096  # of so many sessions,
MOST_EARLY_EACH = 8  # and so much of each
UNNAMED_US = 2_000_000  # what plays at a server that no list names waits so long for one that does,
MOST_UNNAMED = 1_024  # of so many sessions
ANSWER_MORE_US = 20_000  # past a client timeout the module may still answer, of the 50 ms that limits leave


class SessionManager(ServerPool):
    """One instance."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        timers: Timers,
        notice: EventLogger,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        self.config = config
        self.clock = clock
        self.timers = timers
        self.notice = notice
        self.lock = threading.Lock()
        self.last_us = 0
        self.sessions: dict[bytes, Session] = {}
        self.servers: dict[str, Server] = {}
        self.descriptors = descriptors or DescriptorBudget(limited(config.sockets))
        self.connections = ConnectionTable(self.descriptors.most[DescriptorUse.CLIENT])
        self.stopping = False
        self.deadlines = Deadlines(clock, timers, lambda: self.due(self.answer_late))
        self.ended = False  # the last answers are out: a set-up that still comes gets its own at once
        self.events: deque[Event] = deque()
        self.telling = False
        self.unnamed: dict[Session, tuple[int, Request]] = {}
        self.early: dict[bytes, list[tuple[int, ServerLink, Message]]] = {}
        self.fetch: Callable[[], None] = lambda: None
        self.front = PlacementPolicy(config.settings, config.seed, PolicyEffects(self), self.now_us())

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
            session = self.sessions.get(bytes.fromhex(event.id)) if isinstance(event, Request) else None
            if session is not None:
                session_states.apply_event(self, session, SessionEvent.STOP)

    def due(self, call: Callable[[], None]) -> None:
        """What a timer calls: takes the lock itself."""
        with self.lock:
            call()

    # Joins on links.

    def carry(self, session: Session) -> None:
        """Hand a set-up to an idle link, or to a new one; the limit on the join runs from now."""
        attempt = session.attempt
        assert attempt is not None
        if not self.timers.after(
            attempt.allow_us, lambda: self.due(lambda: self.time_over(session, attempt))
        ):
            self.on_attempt_completed(
                session, Outcome.NOT_SENT, None
            )  # a join without a limit would outlast its viewer
            return
        idle = self.idle(attempt.server, session)
        if not idle and self.links >= self.most_links:
            self.spare()
        if not idle and self.links >= self.most_links:
            self.on_attempt_completed(session, Outcome.NOT_SENT, None)
            return
        if idle:
            attempt.link = idle[-1]
            attempt.link.carry(session)
            return
        link = attempt.link = ServerConnection(self, attempt.server)
        link.carry(session)
        link.start()

    def time_over(self, session: Session, attempt: Attempt) -> None:
        """The wait for this join is over, if it is still out: it is given up before the module hears."""
        link = attempt.link
        if session.attempt is not attempt or session.state is not SessionState.JOINING or link is None:
            return
        if link.phase is ConnectionState.DIALLING:
            link.close(Outcome.NO_CONNECTION)
            return
        link.give_up(session)
        # An answer that never comes, or stops short, leaves nothing that can be read behind it.
        link.close(Outcome.NO_ANSWER)
        self.on_attempt_completed(session, Outcome.NO_ANSWER, None)

    def on_attempt_completed(self, session: Session, outcome: Outcome, report: LoadReport | None) -> None:
        """A join, or what it started, has come to this."""
        if session.attempt is not None:
            session.attempt.outcome, session.attempt.report = outcome, report
            session_states.apply_event(self, session, SessionEvent.ENDED)

    def hear(self, link: ServerLink, message: Message) -> None:
        """A message of a server. An answer that nobody asked for is passed over: it may have crossed with its
        end, or be a second copy, or come ahead of its question."""
        session = self.sessions.get(message.session)
        if message.kind is Kind.TEST:
            link.answer_test()
        if session is None and message.kind in (Kind.NOTE, Kind.RELEASE):
            # At a start a server tells the rungs of all that plays there as soon as a link stands, and most
            # viewers have not named theirs by then: unheard, all of those would be taken for the lowest rung.
            self.keep(link, message)
        if session is None or session.attempt is None or session.attempt.server is not link.server:
            return
        if session.state is SessionState.JOINING and session.attempt.link is not link:
            return  # of an earlier join under this id: until it stands, a join has its one connection
        if message.kind is Kind.ANSWER:
            self.answered(link, session, message)
        elif message.kind is Kind.RELEASE:
            self.released(link, session, message)
        elif message.kind is Kind.NOTE and session.state is SessionState.STANDING:
            self.noted(session, message)

    def keep(self, link: ServerLink, message: Message) -> None:
        """Bounded in number, in each session's messages and in age: most of it is never asked for."""
        if message.session in self.early or len(self.early) < MOST_EARLY:
            said = self.early.setdefault(message.session, [])
            if len(said) < MOST_EARLY_EACH:
                said.append((self.now_us(), link, message))
            elif message.kind is Kind.RELEASE:
                # Crowded out by notes, the end of what plays was lost, and its viewer waited for good.
                said[-1] = (self.now_us(), link, message)

    def answered(self, link: ServerLink, session: Session, message: Message) -> None:
        if session.state is not SessionState.JOINING:
            return  # a second copy
        description = message.parameters.get(Code.DESCRIPTION)
        if description is None:
            link.close(Outcome.CONNECTION_LOST)
            return
        if link.carried is session:
            link.done()
        session.answer = description
        session_states.apply_event(self, session, SessionEvent.ANSWERED)

    def released(self, link: ServerLink, session: Session, message: Message) -> None:
        standing = session.state is SessionState.STANDING
        outcome = (outcome_mapping.AFTER if standing else outcome_mapping.BEFORE).get(
            message.cause, Outcome.CONNECTION_LOST
        )
        if link.carried is session:
            link.done()
        self.on_attempt_completed(session, outcome, outcome_mapping.load(message))

    def noted(self, session: Session, message: Message) -> None:
        kind, value = (
            outcome_mapping.NOTES.get(message.text(Code.NOTE_NAME)),
            outcome_mapping.figure(message.text(Code.FIGURE)),
        )
        if kind is None or value is None or session.attempt is None:
            return
        if kind is ReportKind.RUNG:
            if not 0 <= value < len(self.config.settings.ladder_kb):
                return
            session.rung = int(value)
        self.tell(SessionReport(session.key, session.attempt.server.name, kind, value))

    # Servers.

    def board_says(self, notice: DiscoveryEvent) -> None:
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
            server.address, server.listed = dial, entry.standing is not ServerState.LEFT
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
        server.parting.dialled(DialResult.REFUSED if refused else DialResult.SILENT, self.now_us())
        server.dial_at_us = self.now_us() + DIAL_AGAIN_US
        self.part(server)

    def part(self, server: Server) -> None:
        """End what stands at a server that is gone: its viewers must hear."""
        if any(link.phase is ConnectionState.OPEN for link in server.links):
            return
        # Taken for gone after two dials that timed out, a zone that was only cut off lost all its viewers.
        if server.parting.over(server.listed, self.now_us()):
            self.cut(server)

    def cut(self, server: Server) -> None:
        """A server is gone without a word: what stood there is over, and nothing can be sent there."""
        server.unsent.clear()
        for session in list(server.standing):
            self.on_attempt_completed(session, Outcome.CONNECTION_LOST, None)

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
        for session in list(server.standing):
            if session.attempt is not None and session.attempt.sent_us < started_us:
                # Told as a lost connection, it made the module take the new process for started only now:
                # each front had another start, by its own clock, and the turns of all no longer fitted.
                self.on_attempt_completed(session, Outcome.NO_ANSWER, None)

    def takes_attempts(self, server: Server) -> bool:
        """Whether the list, as far as it has been told, lets anything new go to this server."""
        held = self.front.servers.get(server.name)
        return held is not None and held.standing is ServerState.ACTIVE

    def wanted(self, session: Session) -> bool:
        """Whether a set-up that waited for its connection is to be sent: its viewer may have left in the
        moment in which the dial was made, with its thread still waiting for the lock."""
        if session.viewer is None or not session.viewer.left():
            return True
        session_states.apply_event(self, session, SessionEvent.VIEWER_GONE)
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
                if link.phase is not ConnectionState.OPEN:
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

    def take(self, session: Session, request: Request) -> None:
        """A set-up that is well formed."""
        self.sessions[session.id] = session
        if session.viewer is not None:
            session.viewer.open[session] = None
        if self.ended:
            self.last_answer(session)  # the process is gone before a server could give one
        elif self.deadlines.add(session, request.timeout_us + ANSWER_MORE_US):
            self.tell(request)
        else:
            session_states.apply_event(self, session, SessionEvent.THROTTLE)

    def answer_late(self) -> None:
        """Answer what the module has not by its client timeout, as after a fault of its own: unanswered, a
        set-up is lost."""
        for id in self.deadlines.passed():
            session = self.sessions.get(id)
            if session is not None and session_states.apply_event(self, session, SessionEvent.STOP):
                self.notice("answered_late", id=session.key, joins=session.attempts)

    def adopt(self, session: Session, request: Request, server: str) -> bool:
        """What plays at a server already; False where no such server is known yet."""
        known = server in self.front.servers and server in self.servers
        if not known and len(self.unnamed) >= MOST_UNNAMED:
            self.to_viewer(session, session_states.release(session, Cause.RESET))
            return False
        # Passed over, it was left standing for good: with no list that names its server, nobody told its end.
        at = self.servers[server] if known else Server(server, Address("", 0), listed=False)
        session.attempt, session.attempts, session.state = (
            Attempt(at, 0, self.now_us(), 0),
            1,
            SessionState.STANDING,
        )
        session.description = b""
        self.sessions[session.id] = session
        if session.viewer is not None:
            session.viewer.standing[session] = None
        if not known:
            self.unnamed[session] = (self.now_us() + UNNAMED_US, request)
            return False
        self.hold(session, request, at)
        return True

    def hold(self, session: Session, request: Request, server: Server) -> None:
        """What was handed over stands at a server that is known."""
        server.standing[session] = None
        self.tell(Handover(request, server.name))
        for _, link, message in self.early.pop(session.id, ()):
            self.hear(link, message)
        if not server.links and self.links < self.most_links:
            ServerConnection(self, server).start()

    def name_handovers(self) -> None:
        """What was handed over at a server that no list named: one may by now, or its time is over."""
        for session, (until_us, request) in list(self.unnamed.items()):
            assert session.attempt is not None
            placeholder = session.attempt.server
            server = self.servers.get(placeholder.name)
            if server is not None and server.name in self.front.servers:
                del self.unnamed[session]
                server.unsent.extend(placeholder.unsent)  # ended meanwhile, it stands at its server yet
                if session.state is SessionState.STANDING:
                    session.attempt.server = server
                    self.hold(session, request, server)
            elif self.now_us() >= until_us:
                del self.unnamed[session]
                self.on_attempt_completed(session, Outcome.CONNECTION_LOST, None)

    def end(self) -> int:
        """Answer whatever is still unanswered, and from now on what comes; how much that was."""
        self.ended = True
        # What waits goes first: the room that an ended join leaves would send it out once more.
        left = sorted(self.sessions.values(), key=lambda session: session.state is SessionState.JOINING)
        return sum(self.last_answer(session) for session in left)

    def last_answer(self, session: Session) -> bool:
        """The node ends. What was never sent to a server is refused as harmless; nobody knows of the rest."""
        if session.state is not SessionState.OPEN or session.attempts:
            return session_states.apply_event(self, session, SessionEvent.STOP)
        session.wait_us = self.config.settings.retry_after_us or 0
        session_states.apply_event(self, session, SessionEvent.THROTTLE)
        self.tell(ClientGone(session.key))
        return True

    def forget(self, session: Session) -> None:
        """Nothing of it may stay in any table."""
        self.sessions.pop(session.id, None)
        self.deadlines.drop(session)
        if session.viewer is not None:
            session.viewer.open.pop(session, None)
            session.viewer.standing.pop(session, None)
        if session.attempt is not None:
            session.attempt.server.standing.pop(session, None)

    def answer(self, session: Session, data: bytes) -> bool:
        """On the connection of the set-up alone; False where its viewer has not got all of it. The kernel
        takes it for one that has closed as well, and what it tells of would stand for nobody."""
        self.deadlines.drop(session)
        return session.viewer is not None and not session.viewer.left() and session.viewer.send(data)

    def seated(self, viewer: ClientLink) -> bool:
        """Whether something may be open on this connection."""
        return self.connections.seated(viewer)

    def deliver(self, viewer: ClientLink) -> None:
        """Tell a connection what its peer has missed."""
        self.connections.deliver(viewer)

    def to_viewer(self, session: Session, data: bytes) -> None:
        """On the connection of the set-up, or another of the same viewer's: what stands belongs to none."""
        known = session.viewer is not None and not session.viewer.left()
        viewer = session.viewer if known else self.connections.other(session.peer, session.figure)
        if viewer is None or not viewer.send(data):
            self.connections.defer(session.peer, data, self.now_us())

    def to_server(self, session: Session, data: bytes) -> None:
        if session.attempt is not None:
            for link in list(session.attempt.server.links):
                # Lost on a connection that has ended, it left its session standing for nobody.
                if link.phase is ConnectionState.OPEN and not link.ended() and link.send(data):
                    return
            session.attempt.server.unsent.append(data)
