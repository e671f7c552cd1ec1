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
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError

LONG_POLL_MS = 1_000  # a board that goes silent is noticed soon after so long
RESPONSE_GRACE_US = 400_000  # beyond it
CONNECT_TIMEOUT_US = 500_000
BACKOFF_BASE_US = (
    100_000  # after a failure, about; then twice as long after each, so that no fleet keeps one down,
)
BACKOFF_MAX_US = 500_000  # up to about this: one that is back has its news heard while they are news
MAX_RESPONSE_BYTES = 1 << 20
READ_BYTES = 65_536


class DiscoveryUnreachableError(OperatorError):
    """No whole answer of the notice board came."""

    code = "board-unreached"
    advice = "See that the board runs and can be reached; the node asks again and goes on by its list"


def backoff_us(failures: int, draws: Random) -> int:
    """How long to wait after so many failures in a row: half as much more or less, since all processes of a
    fleet lose the same board in the same moment."""
    return round(min(BACKOFF_BASE_US << min(failures - 1, 10), BACKOFF_MAX_US) * draws.uniform(0.5, 1.5))


class DiscoveryClient:
    """Owns the poll's connection. `move`, `resync` and `stop` may be called from any thread.

    What they change is guarded by `changed`, which may be taken with the desk's lock held and never the other
    way round. Each move or ask for everything begins a turn; answers to polls of earlier ones are dropped.
    """

    def __init__(self, desk: SessionManager, clock: Clock, board: Address, rev: int) -> None:
        self.manager = desk
        self.clock = clock
        self.address = board
        self.revision = rev
        self.generation = 0
        self.rng = Random(desk.config.seed)
        # Where what is told of everything leaves numbers out, one that is left out later says nothing.
        self.is_feed_gapless = not desk.config.initial_batch.has_gap_after(0)
        self.changed = threading.Condition()
        self.is_stopped = False
        self.sock: socket.socket | None = None
        self.descriptor: Descriptor | None = None
        self.responses: Gatherer | None = None

    def change_address(self, board: Address) -> None:
        """Go on at another address, with the same numbers; at the same one the open poll goes on."""
        with self.changed:
            if board != self.address:
                self.address = board
                self._begin_generation()
            self.changed.notify_all()

    def resync(self) -> None:
        """Ask for everything anew."""
        with self.changed:
            self.revision = 0
            self._begin_generation()

    def _begin_generation(self) -> None:
        self.generation += 1
        self._interrupt()
        self.changed.notify_all()

    def stop(self) -> None:
        with self.changed:
            self.is_stopped = True
            self._interrupt()
            self.changed.notify_all()

    def _interrupt(self) -> None:
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Ask until stopped."""
        failures = 0
        while not self.is_stopped:
            with self.changed:
                turn, address, rev = self.generation, self.address, self.revision
            try:
                self._poll(turn, address, rev)
                if failures:
                    self._log("discovery_poll_recovered", failures=failures)
                failures = 0
            except Exception as error:  # whatever it is: with this thread the list would end for good
                self._close()
                with self.changed:
                    if self.is_stopped or self.generation != turn:
                        failures = 0  # broken off by ourselves
                        continue
                failures += 1
                if failures == 1:  # a board that is down for long must not fill the log
                    self._log_failure(error, address)
                with self.changed:
                    if not self.is_stopped and self.generation == turn:
                        self.changed.wait(backoff_us(failures, self.rng) / 1e6)
                    if self.generation != turn:
                        failures = 0  # those were another address's
        self._close()

    def _log_failure(self, error: Exception, address: Address) -> None:
        where = f"{address.host}:{address.port}"
        unreached = DiscoveryUnreachableError(f"{type(error).__name__}: {error}", where)
        told = error if isinstance(error, DiscoveryError) else unreached
        self._log("discovery_poll_failed", **told.fields())

    def _log(self, event: str, **fields: object) -> None:
        with suppress(OSError, ValueError):  # a log that nobody reads any more ends no asking
            self.manager.notice(event, **fields)

    def _poll(self, turn: int, address: Address, rev: int) -> None:
        if self.sock is not None and not self._is_connection_clean():
            self._close()
        if self.sock is None:
            self._connect(turn, address)
        assert self.responses is not None and self.sock is not None
        target = f"/board/poll?watch={rev}&linger={LONG_POLL_MS}"
        self.sock.settimeout(CONNECT_TIMEOUT_US / 1e6)
        self.sock.sendall(writer.request("GET", target, f"{address.host}:{address.port}"))
        until_us = self.clock.now_us() + LONG_POLL_MS * 1000 + RESPONSE_GRACE_US
        while (whole := self.responses.next()) is None:
            left_us = until_us - self.clock.now_us()
            if left_us <= 0:
                raise TimeoutError("the board is silent")
            self.sock.settimeout(left_us / 1e6)
            data = self.sock.recv(READ_BYTES)
            self.responses.reader.feed(data)
            if not data and self.responses.reader.between:
                raise ConnectionResetError("closed before its answer")
        assert isinstance(whole.head, ResponseHead)
        if whole.head.status != 200:
            raise ConnectionError(f"answered {whole.head.status}")
        self._apply(turn, rev, DiscoveryBatch.parse(json.loads(whole.body)))
        if not whole.head.keep_alive or self.generation != turn:
            self._close()

    def _connect(self, turn: int, address: Address) -> None:
        place = self.manager.descriptors.reserve(DescriptorUse.DISCOVERY)
        try:
            sock = place.open(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM), CONNECT_TIMEOUT_US)
        except OSError:
            place.close()
            raise
        with self.changed:
            # Known before it connects: a move need not wait for an address that hangs.
            self.descriptor, self.sock = place, sock
            self.responses = Gatherer(Reader(False, CodecLimits(body_bytes=MAX_RESPONSE_BYTES)))
            if self.is_stopped or self.generation != turn:
                raise ConnectionError("the board has moved")
        sock.settimeout(CONNECT_TIMEOUT_US / 1e6)
        sock.connect((address.host, address.port))

    def _is_connection_clean(self) -> bool:
        """Whether nothing has come since the last answer: a second copy of it would be taken for the next,
        and each answer from then on for that of the poll after its own."""
        assert self.responses is not None and self.sock is not None
        self.sock.settimeout(0)
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self.responses.reader.between
        except OSError:
            pass
        return False

    def _apply(self, turn: int, rev: int, board: DiscoveryBatch) -> None:
        """Apply one answer in one hold of the lock, unless a move or an ask for everything has come first: a
        request in between saw a server gone and the one in its place not there yet."""
        news = board.events_after(rev, self.is_feed_gapless)
        if rev == 0:
            self.is_feed_gapless = not board.has_gap_after(0)
        with self.manager.lock if news else nullcontext(), self.changed:
            if self.generation != turn:
                raise ConnectionError("the board has moved")
            if news is None:  # asked after its high number for good, it would hear of no change any more
                self.revision = 0
                raise DiscoveryError(
                    f"found events up to {board.last_revision} that do not follow upon {rev}", "field rev"
                )
            for notice in news:
                self.manager.board_says(notice)
            if self.generation == turn:  # the module may have asked for everything meanwhile
                self.revision = board.last_revision

    def _close(self) -> None:
        with self.changed:
            place, self.descriptor, self.sock, self.responses = self.descriptor, None, None, None
        if place is not None:
            place.close()
