"""Watches the notice board: one thread that asks for what comes after the last event it has."""

from __future__ import annotations

import json
import socket
import threading
from contextlib import nullcontext, suppress
from random import Random

from fennelcove.clock import Clock
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ResponseHead
from fennelcove.http1.reader import Gatherer, Reader
from fennelcove.node.address import Address
from fennelcove.node.descriptor_budget import Descriptor, DescriptorUse
from fennelcove.node.session_manager import SessionManager
from fennelcove.node.discovery_events import DiscoveryStream, DiscoveryError

LINGER_MS = 1_000  # a board that goes silent is noticed soon after so long
ANSWER_US = 400_000  # beyond it
CONNECT_US = 500_000
PAUSE_US = 100_000  # after a failure, about; then twice as long after each, so that no fleet keeps one down,
PAUSE_MOST_US = 500_000  # up to about this: one that is back has its news heard while they are news
BOARD_BYTES = 1 << 20
READ_BYTES = 65_536


class DiscoveryUnreachableError(OperatorError):
    """No whole answer of the notice board came."""

    code = "board-unreached"
    advice = "See that the board runs and can be reached; the node asks again and goes on by its list"


def pause_us(failures: int, draws: Random) -> int:
    """How long to wait after so many failures in a row: half as much more or less, since all processes of a
    fleet lose the same board in the same moment."""
    return round(min(PAUSE_US << min(failures - 1, 10), PAUSE_MOST_US) * draws.uniform(0.5, 1.5))


class DiscoveryClient:
    """Owns the poll's connection. `move`, `resync` and `stop` may be called from any thread.

    What they change is guarded by `changed`, which may be taken with the desk's lock held and never the other
    way round. Each move or ask for everything begins a turn; answers to polls of earlier ones are dropped.
    """

    def __init__(self, desk: SessionManager, clock: Clock, board: Address, rev: int) -> None:
        self.desk = desk
        self.clock = clock
        self.board = board
        self.rev = rev
        self.turn = 0
        self.draws = Random(desk.config.seed)
        # Where what is told of everything leaves numbers out, one that is left out later says nothing.
        self.gapless = not desk.config.known.misses(0)
        self.changed = threading.Condition()
        self.stopped = False
        self.sock: socket.socket | None = None
        self.place: Descriptor | None = None
        self.answers: Gatherer | None = None

    def move(self, board: Address) -> None:
        """Go on at another address, with the same numbers; at the same one the open poll goes on."""
        with self.changed:
            if board != self.board:
                self.board = board
                self._turn()
            self.changed.notify_all()

    def resync(self) -> None:
        """Ask for everything anew."""
        with self.changed:
            self.rev = 0
            self._turn()

    def _turn(self) -> None:
        self.turn += 1
        self._shut()
        self.changed.notify_all()

    def stop(self) -> None:
        with self.changed:
            self.stopped = True
            self._shut()
            self.changed.notify_all()

    def _shut(self) -> None:
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Ask until stopped."""
        failures = 0
        while not self.stopped:
            with self.changed:
                turn, address, rev = self.turn, self.board, self.rev
            try:
                self._poll(turn, address, rev)
                if failures:
                    self._log("board_reached", failures=failures)
                failures = 0
            except Exception as error:  # whatever it is: with this thread the list would end for good
                self._close()
                with self.changed:
                    if self.stopped or self.turn != turn:
                        failures = 0  # broken off by ourselves
                        continue
                failures += 1
                if failures == 1:  # a board that is down for long must not fill the log
                    self._report(error, address)
                with self.changed:
                    if not self.stopped and self.turn == turn:
                        self.changed.wait(pause_us(failures, self.draws) / 1e6)
                    if self.turn != turn:
                        failures = 0  # those were another address's
        self._close()

    def _report(self, error: Exception, address: Address) -> None:
        where = f"{address.host}:{address.port}"
        unreached = DiscoveryUnreachableError(f"{type(error).__name__}: {error}", where)
        told = error if isinstance(error, DiscoveryError) else unreached
        self._log("board_call_failed", **told.fields())

    def _log(self, event: str, **fields: object) -> None:
        with suppress(OSError, ValueError):  # a log that nobody reads any more ends no asking
            self.desk.notice(event, **fields)

    def _poll(self, turn: int, address: Address, rev: int) -> None:
        if self.sock is not None and not self._clean():
            self._close()
        if self.sock is None:
            self._connect(turn, address)
        assert self.answers is not None and self.sock is not None
        target = f"/board/poll?watch={rev}&linger={LINGER_MS}"
        self.sock.settimeout(CONNECT_US / 1e6)
        self.sock.sendall(writer.request("GET", target, f"{address.host}:{address.port}"))
        until_us = self.clock.now_us() + LINGER_MS * 1000 + ANSWER_US
        while (whole := self.answers.next()) is None:
            left_us = until_us - self.clock.now_us()
            if left_us <= 0:
                raise TimeoutError("the board is silent")
            self.sock.settimeout(left_us / 1e6)
            data = self.sock.recv(READ_BYTES)
            self.answers.reader.feed(data)
            if not data and self.answers.reader.between:
                raise ConnectionResetError("closed before its answer")
        assert isinstance(whole.head, ResponseHead)
        if whole.head.status != 200:
            raise ConnectionError(f"answered {whole.head.status}")
        self._take(turn, rev, DiscoveryStream.parse(json.loads(whole.body)))
        if not whole.head.keep_alive or self.turn != turn:
            self._close()

    def _connect(self, turn: int, address: Address) -> None:
        place = self.desk.descriptors.promise(DescriptorUse.DISCOVERY)
        try:
            sock = place.open(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM), CONNECT_US)
        except OSError:
            place.close()
            raise
        with self.changed:
            # Known before it connects: a move need not wait for an address that hangs.
            self.place, self.sock = place, sock
            self.answers = Gatherer(Reader(False, CodecLimits(body_bytes=BOARD_BYTES)))
            if self.stopped or self.turn != turn:
                raise ConnectionError("the board has moved")
        sock.settimeout(CONNECT_US / 1e6)
        sock.connect((address.host, address.port))

    def _clean(self) -> bool:
        """Whether nothing has come since the last answer: a second copy of it would be taken for the next,
        and each answer from then on for that of the poll after its own."""
        assert self.answers is not None and self.sock is not None
        self.sock.settimeout(0)
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self.answers.reader.between
        except OSError:
            pass
        return False

    def _take(self, turn: int, rev: int, board: DiscoveryStream) -> None:
        """Apply one answer in one hold of the lock, unless a move or an ask for everything has come first: a
        request in between saw a server gone and the one in its place not there yet."""
        news = board.after(rev, self.gapless)
        if rev == 0:
            self.gapless = not board.misses(0)
        with self.desk.lock if news else nullcontext(), self.changed:
            if self.turn != turn:
                raise ConnectionError("the board has moved")
            if news is None:  # asked after its high number for good, it would hear of no change any more
                self.rev = 0
                raise DiscoveryError(
                    f"found events up to {board.last} that do not follow upon {rev}", "field rev"
                )
            for notice in news:
                self.desk.board_says(notice)
            if self.turn == turn:  # the module may have asked for everything meanwhile
                self.rev = board.last

    def _close(self) -> None:
        with self.changed:
            place, self.place, self.sock, self.answers = self.place, None, None, None
        if place is not None:
            place.close()
