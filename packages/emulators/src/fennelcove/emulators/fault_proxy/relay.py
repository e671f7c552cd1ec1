"""Relays TCP connections and UDP datagrams between parties on one thread and applies the active faults.

Each party has a listener that all others connect to; a connecting party is identified by its source address.
On loopback the kernel completes a connection before the relay sees it. A connection that must fail is
therefore reset right after it was accepted. One made during a silent partition is accepted but not forwarded
until the partition ends, and only if its client is still connected: in a real network its SYN would have been
lost, so data of an abandoned connection must not arrive long afterwards.
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
from fennelcove.emulators.fault_proxy.faults import (
    Fault,
    FaultKind,
    Party,
    Rules,
    datagram_delays_us,
    throttle_kb,
    total_delay_us,
)

READ_BYTES = 65_536
MAX_QUEUED_BYTES = 1_000_000  # per direction; above this the sender is blocked (TCP back-pressure)
MAX_ACCEPTS_PER_TURN = 64  # per listener and loop iteration
MAX_DELAYED_DATAGRAMS = 10_000  # further delayed datagrams are dropped
MAX_WAIT_S = 0.5
UNNAMED_PARTY: Party = frozenset({"viewers"})  # a client whose source address has no party assigned


@dataclass(slots=True, eq=False)
class _Endpoint:
    """One end of a relayed connection; data received from it is sent to `peer`."""

    sock: socket.socket
    party: Party
    peer: _Endpoint | None = None
    # data to send to this endpoint, each with its due time
    queue: deque[tuple[int, bytes]] = field(default_factory=deque)
    queued_bytes: int = 0  # size of the data in `queue`
    has_finished: bool = False  # it has shut down its sending side
    next_send_us: int = 0  # earliest time of the next send on a throttled direction
    closed: bool = False


@dataclass(slots=True, eq=False)
class _Listener:
    """A listening socket in front of one party."""

    sock: socket.socket
    party: Party
    target: tuple[str, int]


@dataclass(slots=True, eq=False)
class _PendingConnection:
    """A connection accepted during a silent partition and not yet forwarded to its target."""

    sock: socket.socket
    client: Party
    listener: _Listener


@dataclass(slots=True, eq=False)
class _DatagramRelay:
    """The UDP socket to which one front sends its datagrams for another."""

    sock: socket.socket
    sender: Party
    receiver: Party
    target: tuple[str, int]
    reverse: _DatagramRelay | None = None  # the relay whose address the receiver knows the sender by


class Relays:
    """All relays of one scenario. Relays can be added before or after `start`, and faults set at any time."""

    def __init__(self, clock: Clock, draw: Callable[[], float]) -> None:
        self.clock = clock
        self.draw = draw
        self.lock = threading.Lock()
        self.selector = selectors.DefaultSelector()
        self.parties_by_host: dict[str, Party] = {}
        self.listeners: dict[str, _Listener] = {}
        self.rules = Rules()
        self.endpoints: set[_Endpoint] = set()
        self.pending: list[_PendingConnection] = []
        # endpoints with queued data, so that others need not be checked
        self.backlogged: set[_Endpoint] = set()
        self.delayed_datagrams: list[tuple[int, int, socket.socket, bytes, tuple[str, int]]] = []
        self.sequence_numbers = count()
        self.counts: Counter[str] = Counter()  # for example "connections fronts boxes"
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.selector.register(self.wake_receiver, selectors.EVENT_READ, None)
        self.stopped = False
        self.sockets: list[socket.socket] = [self.wake_receiver, self.wake_sender]
        self.thread = threading.Thread(target=self._run, name="relays")

    def assign_party(self, host: str, party: Party) -> None:
        """Assign a party to connections from this source address."""
        self.parties_by_host[host] = party

    def add_listener(self, target: str, party: Party) -> str:
        """Open a listener that forwards to `target`, and return its address."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        listener.setblocking(False)
        address = "{}:{}".format(*listener.getsockname())
        self.listeners[address] = _Listener(listener, party, _address(target))
        self._register(listener, self.listeners[address])
        return address

    def add_datagram_relays(self, addresses: list[str], parties: list[Party]) -> list[list[str]]:
        """Open datagram relays between all pairs of fronts that listen on these addresses.

        Returns for each front the list of addresses at which it reaches the others; its own is unchanged.
        """
        size = range(len(addresses))
        relays = {
            (i, j): _DatagramRelay(_datagram_socket(), parties[i], parties[j], _address(addresses[j]))
            for i in size
            for j in size
            if i != j
        }
        for (i, j), relay in relays.items():
            relay.reverse = relays[j, i]
            self._register(relay.sock, relay)
        return [
            [addresses[j] if i == j else "{}:{}".format(*relays[i, j].sock.getsockname()) for j in size]
            for i in size
        ]

    def shut(self, address: str) -> None:
        """Close the listener on this address, so that new connections to it are refused."""
        with self.lock:
            listener = self.listeners.get(address)
            if listener is None or listener.sock.fileno() < 0:
                return
            self.selector.unregister(listener.sock)
            listener.sock.close()

    def open(self, address: str) -> None:
        """Open the listener on this address again."""
        with self.lock:
            listener = self.listeners.get(address)
            if listener is None or listener.sock.fileno() >= 0:
                return
            listener.sock = socket.create_server(_address(address), backlog=512)
            listener.sock.setblocking(False)
            self.selector.register(listener.sock, selectors.EVENT_READ, listener)
        self._wake()

    def set(self, *faults: Fault) -> None:
        """Replace the active faults."""
        with self.lock:
            self.rules = Rules(faults)
        self._wake()

    def start(self) -> None:
        """Start the relay thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the relay thread and close all sockets."""
        self.stopped = True
        self._wake()
        self.thread.join()
        for endpoint in list(self.endpoints):
            self._close(endpoint)
        listeners, pending_connections = self.listeners.values(), self.pending
        for sock in [
            *self.sockets,
            *(listener.sock for listener in listeners),
            *(connection.sock for connection in pending_connections),
        ]:
            sock.close()
        self.selector.close()

    def traffic_counts(self) -> dict[str, int]:
        """Return the numbers of relayed connections and datagrams so far, by direction."""
        with self.lock:
            return dict(self.counts)

    def _register(self, sock: socket.socket, registered: _Listener | _DatagramRelay) -> None:
        with self.lock:
            if isinstance(registered, _DatagramRelay):
                self.sockets.append(sock)
            self.selector.register(sock, selectors.EVENT_READ, registered)
        self._wake()

    def _wake(self) -> None:
        with suppress(OSError):
            self.wake_sender.send(b"!")

    def _run(self) -> None:
        applied_rules = self.rules
        while not self.stopped:
            for key, mask in self.selector.select(self._wait_s()):
                registered = key.data
                if registered is None:
                    with suppress(OSError):
                        self.wake_receiver.recv(4096)
                elif isinstance(registered, _Listener):
                    self._accept(registered)
                elif isinstance(registered, _DatagramRelay):
                    self._relay_datagram(registered)
                else:
                    self._on_ready(registered, mask)
            if self.rules is not applied_rules:
                applied_rules = self.rules
                self._apply_fault_change()
            self._send_due()

    def _wait_s(self) -> float:
        now_us, due_us = self.clock.now_us(), None
        if self.delayed_datagrams:
            due_us = self.delayed_datagrams[0][0]
        for endpoint in self.backlogged:
            at_us = max(endpoint.queue[0][0], endpoint.next_send_us)
            if at_us > now_us:  # data that is already due waits for a writable socket, not for a time
                due_us = at_us if due_us is None else min(due_us, at_us)
        return MAX_WAIT_S if due_us is None else min(MAX_WAIT_S, max(0.0, (due_us - now_us) / 1e6))

    # Connections.

    def _accept(self, listener: _Listener) -> None:
        # One connection per loop iteration could not keep up with a flood: clients then waited for seconds
        # although the servers behind the listener were idle.
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, (host, _) = listener.sock.accept()
            except OSError:
                return
            client = self.parties_by_host.get(host, UNNAMED_PARTY)
            with self.lock:
                self.counts[f"connections {party_kind(client)} {party_kind(listener.party)}"] += 1
            self._connect(_PendingConnection(sock, client, listener))

    def _connect(self, connection: _PendingConnection) -> None:
        sock, client, listener = connection.sock, connection.client, connection.listener
        kinds_found = self.rules.kinds(client, listener.party)
        if kinds_found & {FaultKind.RESET, FaultKind.REFUSE}:
            _reset(sock)
            return
        if FaultKind.SILENT in kinds_found:
            self.pending.append(connection)
            return
        try:
            # On loopback a connect never blocks: it succeeds or is refused at once.
            server_sock = socket.create_connection(listener.target, 1.0)
        except OSError:
            _reset(sock)
            return
        client_endpoint, server_endpoint = _Endpoint(sock, client), _Endpoint(server_sock, listener.party)
        client_endpoint.peer, server_endpoint.peer = server_endpoint, client_endpoint
        for endpoint in (client_endpoint, server_endpoint):
            endpoint.sock.setblocking(False)
            endpoint.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.endpoints.add(endpoint)
            self.selector.register(endpoint.sock, selectors.EVENT_READ, endpoint)
        for endpoint in (client_endpoint, server_endpoint):
            self._update_events(endpoint)

    def _update_events(self, endpoint: _Endpoint) -> None:
        """Register for the events this endpoint can handle now.

        It is not read from while its direction is silent or the queue of its peer is full.
        """
        if endpoint.closed or endpoint.peer is None:
            return
        events = 0
        silent = FaultKind.SILENT in self.rules.kinds(endpoint.party, endpoint.peer.party)
        if not endpoint.has_finished and not silent and endpoint.peer.queued_bytes < MAX_QUEUED_BYTES:
            events |= selectors.EVENT_READ
        now_us = self.clock.now_us()
        if endpoint.queue and endpoint.queue[0][0] <= now_us and endpoint.next_send_us <= now_us:
            events |= selectors.EVENT_WRITE
        is_registered = endpoint.sock in self.selector.get_map()
        if events and is_registered:
            self.selector.modify(endpoint.sock, events, endpoint)
        elif events:
            self.selector.register(endpoint.sock, events, endpoint)
        elif is_registered:
            self.selector.unregister(endpoint.sock)

    def _on_ready(self, endpoint: _Endpoint, mask: int) -> None:
        if endpoint.closed:
            return
        if mask & selectors.EVENT_READ:
            self._read(endpoint)
        if mask & selectors.EVENT_WRITE and not endpoint.closed:
            self._write(endpoint)

    def _read(self, endpoint: _Endpoint) -> None:
        peer = endpoint.peer
        assert peer is not None
        try:
            data = endpoint.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._reset_both(endpoint)
            return
        rules = self.rules
        faults, kinds_found = (
            rules.between(endpoint.party, peer.party),
            rules.kinds(endpoint.party, peer.party),
        )
        if FaultKind.SILENT in kinds_found and data:
            # The fault began after the socket was polled; hold the data until it ends.
            due_us = 1 << 62
        else:
            due_us = self.clock.now_us() + total_delay_us(faults, self.draw)
        if not data:
            endpoint.has_finished = True
        if FaultKind.CUT in kinds_found and data:
            with suppress(OSError):
                peer.sock.send(data[: len(data) // 2])
            self._reset_both(endpoint)
            return
        if peer.queue:
            due_us = max(due_us, peer.queue[-1][0])
        peer.queue.append((due_us, data))
        peer.queued_bytes += len(data)
        self._write(peer)
        self._update_events(endpoint)

    def _write(self, endpoint: _Endpoint) -> None:
        """Send the data that is due to this endpoint; an empty item shuts down the sending side."""
        peer, now_us = endpoint.peer, self.clock.now_us()
        assert peer is not None
        rate_kb = throttle_kb(self.rules.between(peer.party, endpoint.party))
        while endpoint.queue and endpoint.queue[0][0] <= now_us and endpoint.next_send_us <= now_us:
            due_us, data = endpoint.queue[0]
            try:
                if data:
                    # 50 ms worth of data
                    chunk = data if rate_kb is None else data[: max(1, round(rate_kb * 50))]
                    sent = endpoint.sock.send(chunk)
                else:
                    sent = 0
                    endpoint.sock.shutdown(socket.SHUT_WR)
            except BlockingIOError:
                break
            except OSError:
                self._reset_both(endpoint)
                return
            endpoint.queued_bytes -= sent
            if sent < len(data):
                endpoint.queue[0] = (due_us, data[sent:])
            else:
                endpoint.queue.popleft()
            if rate_kb is not None and sent:
                endpoint.next_send_us = now_us + round(sent / rate_kb * 1000)
        (self.backlogged.add if endpoint.queue else self.backlogged.discard)(endpoint)
        if endpoint.has_finished and peer.has_finished and not endpoint.queue and not peer.queue:
            self._close(endpoint)
            self._close(peer)
            return
        self._update_events(endpoint)
        self._update_events(peer)

    def _reset_both(self, endpoint: _Endpoint) -> None:
        """Reset both endpoints of a connection."""
        for each in (endpoint, endpoint.peer):
            if each is not None and not each.closed:
                with suppress(OSError):
                    each.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self._close(each)

    def _close(self, endpoint: _Endpoint) -> None:
        if not endpoint.closed:
            endpoint.closed = True
            if endpoint.sock in self.selector.get_map():
                self.selector.unregister(endpoint.sock)
            endpoint.sock.close()
            self.endpoints.discard(endpoint)
            self.backlogged.discard(endpoint)

    def _apply_fault_change(self) -> None:
        pending, self.pending = self.pending, []
        for connection in pending:
            if _is_closed_by_peer(connection.sock):
                connection.sock.close()
            else:
                self._connect(connection)
        for endpoint in list(self.endpoints):
            if endpoint.closed or endpoint.peer is None:
                continue
            kinds_found = self.rules.kinds(endpoint.party, endpoint.peer.party)
            if FaultKind.RESET in kinds_found:
                self._reset_both(endpoint)
                continue
            if FaultKind.SILENT not in kinds_found:  # release the data held back by a silent partition
                now_us = self.clock.now_us()
                endpoint.peer.queue = deque((min(due_us, now_us) if due_us >= 1 << 62 else due_us, data)
                                          for due_us, data in endpoint.peer.queue)  # fmt: skip
            self._update_events(endpoint)

    def _send_due(self) -> None:
        now_us = self.clock.now_us()
        for endpoint in list(self.backlogged):
            if (
                not endpoint.closed
                and endpoint.queue
                and max(endpoint.queue[0][0], endpoint.next_send_us) <= now_us
            ):
                self._write(endpoint)
        while self.delayed_datagrams and self.delayed_datagrams[0][0] <= now_us:
            _, _, sock, raw, target = heapq.heappop(self.delayed_datagrams)
            with suppress(OSError):
                sock.sendto(raw, target)

    # Datagrams.

    def _relay_datagram(self, relay: _DatagramRelay) -> None:
        try:
            raw = relay.sock.recv(READ_BYTES)
        except OSError:
            return  # an ICMP error for an earlier datagram is reported by the socket
        with self.lock:
            self.counts[f"datagrams {party_kind(relay.sender)} {party_kind(relay.receiver)}"] += 1
        assert relay.reverse is not None
        now_us = self.clock.now_us()
        delays_us = list(datagram_delays_us(self.rules.between(relay.sender, relay.receiver), self.draw))
        if not delays_us:
            with self.lock:
                self.counts[f"lost datagrams {party_kind(relay.sender)} {party_kind(relay.receiver)}"] += 1
        for delay_us in delays_us:
            if delay_us <= 0:
                with suppress(OSError):
                    relay.reverse.sock.sendto(raw, relay.target)
            elif len(self.delayed_datagrams) < MAX_DELAYED_DATAGRAMS:
                item = (now_us + delay_us, next(self.sequence_numbers), relay.reverse.sock, raw, relay.target)
                heapq.heappush(self.delayed_datagrams, item)


def party_kind(party: Party) -> str:
    """Return the kind of a party for counter names: fronts, boxes, lists, viewers or others."""
    return next((kind for kind in ("fronts", "boxes", "lists", "viewers") if kind in party), "others")


def _address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def _is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the remote end has closed, even if data sent before is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
