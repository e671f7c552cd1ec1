"""Carries bytes and datagrams between parties, on one thread, with the faults in force.

A listener stands for a party towards all others; who dials is told by the address that it dials from. A
kernel on loopback completes each connection before we see it, so one that must not come up is reset at once,
and one across a silent cut comes up and says nothing; the other side hears of it when the cut heals, and only
if its caller still waits. In a network its first packet would have been lost: what a caller wrote and gave up
on must not come all at once, long after, out of a connection that never was.
"""

from __future__ import annotations

import heapq
import select
import selectors
import socket
import struct
import threading
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

from fennelcove.clock import Clock
from fennelcove.emulators.fault_proxy.faults import Fault, How, Party, Rules, datagram, late_us, pace_kb

READ_BYTES = 65_536
MOST_WAITING = 1_000_000  # bytes of one direction; past it its sender has to wait, as in any network
MOST_ACCEPTED = 64  # at one door in one turn of the loop
MOST_DATAGRAMS = 10_000  # in the air; past it they are lost
LOOK_S = 0.5
NOBODY: Party = frozenset({"viewers"})  # who dials from an address without a name


@dataclass(slots=True, eq=False)
class _End:
    """One end of a relayed connection: what it sends goes to `other`."""

    sock: socket.socket
    party: Party
    other: _End | None = None
    waiting: deque[tuple[int, bytes]] = field(default_factory=deque)  # for this end, with when it is due
    held: int = 0  # bytes of them
    ended: bool = False  # it has sent its last
    free_us: int = 0  # when a throttled direction towards it may go on
    closed: bool = False


@dataclass(slots=True, eq=False)
class _Door:
    """A listener that stands for one party."""

    sock: socket.socket
    party: Party
    target: tuple[str, int]


@dataclass(slots=True, eq=False)
class _Call:
    """A connection that was dialled across a silent cut: nobody on the other side has heard of it."""

    sock: socket.socket
    caller: Party
    door: _Door


@dataclass(slots=True, eq=False)
class _Post:
    """A socket at which one front posts what is for another."""

    sock: socket.socket
    sender: Party
    taker: Party
    target: tuple[str, int]
    back: _Post | None = None  # what the taker knows the sender by


class Relays:
    """All relays of one day. `door` and `post` before or after `start`; faults by `set` at any time."""

    def __init__(self, clock: Clock, chance: Callable[[], float]) -> None:
        self.clock = clock
        self.chance = chance
        self.lock = threading.Lock()
        self.selector = selectors.DefaultSelector()
        self.hosts: dict[str, Party] = {}
        self.doors: dict[str, _Door] = {}
        self.rules = Rules()
        self.ends: set[_End] = set()
        self.unheard: list[_Call] = []
        self.late: set[_End] = set()  # those for which something waits: all were looked at for each byte once
        self.air: list[tuple[int, int, socket.socket, bytes, tuple[str, int]]] = []
        self.numbers = count()
        self.counts: Counter[str] = Counter()  # "connections front-0 box-3" and the like
        self.bell, self.ring = socket.socketpair()
        self.bell.setblocking(False)
        self.selector.register(self.bell, selectors.EVENT_READ, None)
        self.stopped = False
        self.sockets: list[socket.socket] = [self.bell, self.ring]
        self.thread = threading.Thread(target=self._run, name="relays")

    def name(self, host: str, party: Party) -> None:
        """Who dials from this address."""
        self.hosts[host] = party

    def door(self, target: str, party: Party) -> str:
        """A listener in front of `target`; the address to give to others."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        listener.setblocking(False)
        address = "{}:{}".format(*listener.getsockname())
        self.doors[address] = _Door(listener, party, _address(target))
        self._watch(listener, self.doors[address])
        return address

    def post(self, addresses: list[str], parties: list[Party]) -> list[list[str]]:
        """Relays for datagrams between fronts that listen at these addresses; for each front the addresses by
        index as it is to know them, its own unchanged.
        """
        size = range(len(addresses))
        posts = {
            (i, j): _Post(_datagrams(), parties[i], parties[j], _address(addresses[j]))
            for i in size
            for j in size
            if i != j
        }
        for (i, j), post in posts.items():
            post.back = posts[j, i]
            self._watch(post.sock, post)
        return [
            [addresses[j] if i == j else "{}:{}".format(*posts[i, j].sock.getsockname()) for j in size]
            for i in size
        ]

    def shut(self, address: str) -> None:
        """What is behind this door is gone: who dials it is refused, as where nothing listens."""
        with self.lock:
            door = self.doors.get(address)
            if door is None or door.sock.fileno() < 0:
                return
            self.selector.unregister(door.sock)
            door.sock.close()

    def open(self, address: str) -> None:
        """It is back."""
        with self.lock:
            door = self.doors.get(address)
            if door is None or door.sock.fileno() >= 0:
                return
            door.sock = socket.create_server(_address(address), backlog=512)
            door.sock.setblocking(False)
            self.selector.register(door.sock, selectors.EVENT_READ, door)
        self._wake()

    def set(self, *faults: Fault) -> None:
        """These faults are in force from now on, and no others."""
        with self.lock:
            self.rules = Rules(faults)
        self._wake()

    def start(self) -> None:
        """Begin to carry."""
        self.thread.start()

    def stop(self) -> None:
        """End everything."""
        self.stopped = True
        self._wake()
        self.thread.join()
        for end in list(self.ends):
            self._close(end)
        doors, calls = self.doors.values(), self.unheard
        for sock in [*self.sockets, *(door.sock for door in doors), *(call.sock for call in calls)]:
            sock.close()
        self.selector.close()

    def told(self) -> dict[str, int]:
        """What was carried so far: connections, datagrams."""
        with self.lock:
            return dict(self.counts)

    def _watch(self, sock: socket.socket, what: _Door | _Post) -> None:
        with self.lock:
            if isinstance(what, _Post):
                self.sockets.append(sock)
            self.selector.register(sock, selectors.EVENT_READ, what)
        self._wake()

    def _wake(self) -> None:
        with suppress(OSError):
            self.ring.send(b"!")

    def _run(self) -> None:
        seen = self.rules
        while not self.stopped:
            for key, mask in self.selector.select(self._wait_s()):
                what = key.data
                if what is None:
                    with suppress(OSError):
                        self.bell.recv(4096)
                elif isinstance(what, _Door):
                    self._accept(what)
                elif isinstance(what, _Post):
                    self._carry(what)
                else:
                    self._ready(what, mask)
            if self.rules is not seen:
                seen = self.rules
                self._faults_changed()
            self._due()

    def _wait_s(self) -> float:
        now_us, due_us = self.clock.now_us(), None
        if self.air:
            due_us = self.air[0][0]
        for end in self.late:
            at_us = max(end.waiting[0][0], end.free_us)
            if at_us > now_us:  # what is due and still waits, waits for its socket
                due_us = at_us if due_us is None else min(due_us, at_us)
        return LOOK_S if due_us is None else min(LOOK_S, max(0.0, (due_us - now_us) / 1e6))

    # Connections.

    def _accept(self, door: _Door) -> None:
        # All that wait: one at each turn of the loop was less than a flood brings, and callers stood for
        # seconds in front of doors behind which nobody was busy.
        for _ in range(MOST_ACCEPTED):
            try:
                sock, (host, _) = door.sock.accept()
            except OSError:
                return
            caller = self.hosts.get(host, NOBODY)
            with self.lock:
                self.counts[f"connections {label(caller)} {label(door.party)}"] += 1
            self._connect(_Call(sock, caller, door))

    def _connect(self, call: _Call) -> None:
        sock, caller, door = call.sock, call.caller, call.door
        found = self.rules.hows(caller, door.party)
        if found & {How.RESET, How.REFUSE}:
            _reset(sock)
            return
        if How.SILENT in found:
            self.unheard.append(call)
            return
        try:
            # On loopback this neither waits nor is it a network: what is refused is refused now.
            beyond = socket.create_connection(door.target, 1.0)
        except OSError:
            _reset(sock)
            return
        here, there = _End(sock, caller), _End(beyond, door.party)
        here.other, there.other = there, here
        for end in (here, there):
            end.sock.setblocking(False)
            end.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.ends.add(end)
            self.selector.register(end.sock, selectors.EVENT_READ, end)
        for end in (here, there):
            self._look(end)

    def _look(self, end: _End) -> None:
        """Wait for what this end may do now: to send unless its direction is silent or its taker full."""
        if end.closed or end.other is None:
            return
        events = 0
        silent = How.SILENT in self.rules.hows(end.party, end.other.party)
        if not end.ended and not silent and end.other.held < MOST_WAITING:
            events |= selectors.EVENT_READ
        now_us = self.clock.now_us()
        if end.waiting and end.waiting[0][0] <= now_us and end.free_us <= now_us:
            events |= selectors.EVENT_WRITE
        known = end.sock in self.selector.get_map()
        if events and known:
            self.selector.modify(end.sock, events, end)
        elif events:
            self.selector.register(end.sock, events, end)
        elif known:
            self.selector.unregister(end.sock)

    def _ready(self, end: _End, mask: int) -> None:
        if end.closed:
            return
        if mask & selectors.EVENT_READ:
            self._read(end)
        if mask & selectors.EVENT_WRITE and not end.closed:
            self._write(end)

    def _read(self, end: _End) -> None:
        other = end.other
        assert other is not None
        try:
            data = end.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._break(end)
            return
        rules = self.rules
        faults, found = rules.on(end.party, other.party), rules.hows(end.party, other.party)
        if How.SILENT in found and data:
            # The fault came between the look and the read; what was read waits on this side of the cut.
            due_us = 1 << 62
        else:
            due_us = self.clock.now_us() + late_us(faults, self.chance)
        if not data:
            end.ended = True
        if How.CUT in found and data:
            with suppress(OSError):
                other.sock.send(data[: len(data) // 2])
            self._break(end)
            return
        if other.waiting:
            due_us = max(due_us, other.waiting[-1][0])
        other.waiting.append((due_us, data))
        other.held += len(data)
        self._write(other)
        self._look(end)

    def _write(self, end: _End) -> None:
        """Send what is due to this end; an empty piece is the other's end of sending."""
        other, now_us = end.other, self.clock.now_us()
        assert other is not None
        pace = pace_kb(self.rules.on(other.party, end.party))
        while end.waiting and end.waiting[0][0] <= now_us and end.free_us <= now_us:
            due_us, data = end.waiting[0]
            try:
                if data:
                    piece = data if pace is None else data[: max(1, round(pace * 50))]  # 50 ms of it
                    sent = end.sock.send(piece)
                else:
                    sent = 0
                    end.sock.shutdown(socket.SHUT_WR)
            except BlockingIOError:
                break
            except OSError:
                self._break(end)
                return
            end.held -= sent
            if sent < len(data):
                end.waiting[0] = (due_us, data[sent:])
            else:
                end.waiting.popleft()
            if pace is not None and sent:
                end.free_us = now_us + round(sent / pace * 1000)
        (self.late.add if end.waiting else self.late.discard)(end)
        if end.ended and other.ended and not end.waiting and not other.waiting:
            self._close(end)
            self._close(other)
            return
        self._look(end)
        self._look(other)

    def _break(self, end: _End) -> None:
        """Reset both ends."""
        for one in (end, end.other):
            if one is not None and not one.closed:
                with suppress(OSError):
                    one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self._close(one)

    def _close(self, end: _End) -> None:
        if not end.closed:
            end.closed = True
            if end.sock in self.selector.get_map():
                self.selector.unregister(end.sock)
            end.sock.close()
            self.ends.discard(end)
            self.late.discard(end)

    def _faults_changed(self) -> None:
        unheard, self.unheard = self.unheard, []
        for call in unheard:
            if _hung_up(call.sock):
                call.sock.close()
            else:
                self._connect(call)
        for end in list(self.ends):
            if end.closed or end.other is None:
                continue
            found = self.rules.hows(end.party, end.other.party)
            if How.RESET in found:
                self._break(end)
                continue
            if How.SILENT not in found:  # what a cut had held back goes on
                now_us = self.clock.now_us()
                end.other.waiting = deque((min(due_us, now_us) if due_us >= 1 << 62 else due_us, data)
                                          for due_us, data in end.other.waiting)  # fmt: skip
            self._look(end)

    def _due(self) -> None:
        now_us = self.clock.now_us()
        for end in list(self.late):
            if not end.closed and end.waiting and max(end.waiting[0][0], end.free_us) <= now_us:
                self._write(end)
        while self.air and self.air[0][0] <= now_us:
            _, _, sock, raw, target = heapq.heappop(self.air)
            with suppress(OSError):
                sock.sendto(raw, target)

    # Datagrams.

    def _carry(self, post: _Post) -> None:
        try:
            raw = post.sock.recv(READ_BYTES)
        except OSError:
            return  # a refused datagram of ours comes back as an error of the socket
        with self.lock:
            self.counts[f"datagrams {label(post.sender)} {label(post.taker)}"] += 1
        assert post.back is not None
        now_us = self.clock.now_us()
        ways = list(datagram(self.rules.on(post.sender, post.taker), self.chance))
        if not ways:
            with self.lock:
                self.counts[f"lost datagrams {label(post.sender)} {label(post.taker)}"] += 1
        for in_us in ways:
            if in_us <= 0:
                with suppress(OSError):
                    post.back.sock.sendto(raw, post.target)
            elif len(self.air) < MOST_DATAGRAMS:
                item = (now_us + in_us, next(self.numbers), post.back.sock, raw, post.target)
                heapq.heappush(self.air, item)


def label(party: Party) -> str:
    """The shortest way to name a party's kind: fronts, boxes, lists, viewers."""
    return next((kind for kind in ("fronts", "boxes", "lists", "viewers") if kind in party), "others")


def _address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _datagrams() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def _hung_up(sock: socket.socket) -> bool:
    """Whether the other end has closed; what it wrote before may still be unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
