"""The HTTP door: one listener, one thread a connection, each set-up run to its answer on the thread that
asked."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.verdicts import Answer, Answered, Ask, Notices, SendJoin, Session
from fennelcove.decisions.admission import Entry
from fennelcove.doors import answers
from fennelcove.doors.connection import Connection, DoorLimits, Refuser, TooSlow
from fennelcove.doors.routes import Keep, Routes
from fennelcove.http1.messages import CodecLimits, ProtocolError
from fennelcove.interface import Outcome
from fennelcove.peers.joins import Joiner
from fennelcove.peers.latch import Latch, Woken, wait

ACCEPT_PAUSE_US = 50_000  # keeps a failing accept from spinning


class HttpDoor:
    """Owns its listener and all its threads: `start`, then `stop_accepting`, then `close`."""

    def __init__(
        self,
        core: Core,
        clock: Clock,
        joiner: Joiner,
        front: str,
        address: str,
        codec: CodecLimits,
        limits: DoorLimits,
        notice: Notices,
        keep: Keep,
    ) -> None:
        self.core = core
        self.clock = clock
        self.joiner = joiner
        self.front = front
        self.codec = codec
        self.limits = limits
        self.notice = notice
        self.routes = Routes(core, front, keep)
        self.closing = Latch()
        self.refuser = Refuser(clock)
        self.lock = threading.Lock()
        self.idle = threading.Condition(self.lock)
        self.connections: dict[threading.Thread, Connection] = {}
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024, reuse_port=False)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.acceptor = threading.Thread(target=self._accept, name="acceptor")

    def start(self) -> None:
        """Start to accept."""
        self.refuser.thread.start()
        self.acceptor.start()

    def stop_accepting(self) -> None:
        """Close the listener; idle connections end, requests in hand go on to their answers."""
        self.closing.set()
        self.acceptor.join()
        self.listener.close()

    def wait_idle(self, timeout_us: int) -> bool:
        """Wait until no connection is left; False when time is up first."""
        with self.idle:
            return self.idle.wait_for(lambda: not self.connections, timeout_us / 1e6)

    def close(self) -> None:
        """Cut what is left and wait for every thread."""
        with self.lock:
            left = dict(self.connections)
        for connection in left.values():
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
        for thread in left:
            thread.join()
        self.refuser.stop()
        self.closing.close()

    def _accept(self) -> None:
        while wait(self.listener, 60_000_000, self.closing) is not Woken.LATCH:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                # Out of descriptors, mostly: those that wait are served as others leave.
                self.notice("accept_failed", reason=str(error))
                if self.closing.wait(ACCEPT_PAUSE_US):
                    return
                continue
            refusal = self.core.enter(Entry.CONNECTION)
            if refusal is not None:
                self.refuser.refuse(sock, answers.refused(refusal, self.front, None, False).raw(True))
                continue
            self._begin(sock)
        self._turn_away_queued()

    def _turn_away_queued(self) -> None:
        """Answer those that connected before the listener closes: a reset would tell them nothing."""
        self.listener.setblocking(False)
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                refusal = self.core.enter(Entry.CONNECTION)
                if refusal is None:
                    self.core.leave()
                    sock.close()
                else:
                    self.refuser.refuse(sock, answers.refused(refusal, self.front, None, False).raw(True))

    def _begin(self, sock: socket.socket) -> None:
        connection = Connection(sock, self.core, self.clock, self.codec, self.limits, self.closing)
        thread = threading.Thread(target=self._serve, args=(connection,), name="viewer")
        with self.lock:
            self.connections[thread] = connection
        try:
            thread.start()
        except RuntimeError:  # the machine gives no more threads: the same answer as past our own bound
            self._end(thread)
            busy = Answered(Answer.THROTTLED, "no thread to be had", self.core.come_back_us())
            self.refuser.refuse(sock, answers.refused(busy, self.front, None, False).raw(True))

    def _end(self, thread: threading.Thread) -> None:
        with self.idle:
            self.connections.pop(thread, None)
            self.idle.notify_all()
        self.core.leave()

    def _serve(self, connection: Connection) -> None:
        linger = False
        try:
            linger = self._requests(connection)
        except Exception as error:  # a fault of ours: told, and never a thread that dies unseen
            self.notice("connection_failed", reason=repr(error))
        finally:
            connection.close(linger)
            self._end(threading.current_thread())

    def _requests(self, connection: Connection) -> bool:
        """Serve until the connection is over; whether what the viewer still sends must be read past."""
        while True:
            try:
                received = connection.read()
            except ProtocolError as error:
                if error.status == 503:
                    full = Answered(Answer.THROTTLED, str(error), self.core.come_back_us())
                    reply = answers.refused(full, self.front, None, False)
                else:
                    reply = answers.fault("malformed", str(error), error.status)
                return connection.write(reply.raw(True))
            except TooSlow:
                return connection.write(answers.fault("too-slow").raw(True))
            if received is None:
                return False
            close = not received.head.keep_alive or self.closing.is_set
            taken = self.routes.take(received)
            if isinstance(taken, Ask):
                if not self._set_up(connection, taken, close):
                    return False
            elif not connection.write(taken.raw(close)):
                return False
            if close:
                return True

    def _set_up(self, connection: Connection, ask: Ask, close: bool) -> bool:
        """Run one subscription to its answer; False where the viewer is gone."""
        session: Session | None = None
        counted = False
        try:
            session, step = self.core.ask(ask)
            if session is None:
                assert isinstance(step, Answered)
                self.notice(
                    "subscription_turned_away",
                    why=step.why,
                    standing=step.standing,
                    client=ask.client,
                    wait_ms=step.wait_us / 1000,
                    place=bool(step.place),
                )
                return connection.write(answers.refused(step, self.front, None, False).raw(close))
            counted = True
            answered, hops, timed_out = self._joins(connection, session, step)
            self.core.answered(session)
            counted = False
            if answered is None:
                return False
            return self._answer(connection, session, answered, hops, timed_out, close)
        except Exception as error:
            # Whatever failed here, the viewer is owed its one answer and the box its release.
            self.notice("subscription_failed", reason=repr(error))
            if session is not None:
                self.core.discard(session)
                if counted:
                    self.core.answered(session)
            return connection.write(answers.fault("failed", close=True).raw(True))

    def _joins(
        self, connection: Connection, session: Session, step: SendJoin | Answered
    ) -> tuple[Answered | None, str, bool]:
        """Send joins until there is an answer; None where nobody waits for it any more."""
        hops, timed_out = "", False
        answered: Answered | None = None
        while isinstance(step, SendJoin):
            run = self.joiner.run(step, connection.sock)
            if run.interrupted is Woken.HUNG_UP:
                self.core.viewer_gone(session)
            elif run.interrupted is Woken.LATCH:
                stopped = self.core.stopped(session)
                answered = stopped if isinstance(stopped, Answered) else None
            end = run.end
            hops, timed_out = run.hops, end.outcome is Outcome.NO_ANSWER
            following = self.core.join_over(session, step.join, end.outcome, end.says, end.took_us)
            self.notice(
                "join_over",
                subscription=session.id,
                join=step.join,
                box=step.box,
                outcome=end.outcome.value,
                took_ms=end.took_us / 1000,
            )
            if following is None:
                return answered, "", False
            step = following
        return step, hops, timed_out

    def _answer(
        self,
        connection: Connection,
        session: Session,
        answered: Answered,
        hops: str,
        timed_out: bool,
        close: bool,
    ) -> bool:
        took_us = self.clock.now_us() - session.asked_us
        if answered.answer is Answer.PLAYING:
            reply = answers.playing(session, self.core.view(session), hops, self.front, took_us)
        else:
            reply = answers.refused(answered, self.front, session, timed_out)
        written = connection.write(reply.raw(close))
        if not written:
            self.core.viewer_gone(session)
        self.notice(
            "subscription_answered",
            subscription=session.id,
            answer=answered.answer.value,
            room_type=session.room,
            title=session.title,
            box=session.box,
            rung=session.rung,
            joins=session.joins,
            took_ms=took_us / 1000,
            why=answered.why,
            written=written,
        )
        return written
