"""Adaptive concurrency limits of servers, learned jointly with the other fronts.

The replica of `fennelcove.concurrency_limits` decides; this module passes it the listed servers, this
front's attempts and the other fronts' messages, under the core's lock.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from random import Random
from zlib import crc32

from fennelcove import limit_messages
from fennelcove.clock import Clock
from fennelcove.concurrency_limits import quota_loans
from fennelcove.concurrency_limits.adaptive_limit import LimitAction, LimitSettings
from fennelcove.concurrency_limits.replica import Replica
from fennelcove.concurrency_limits.workload_shape import shape_of
from fennelcove.core.learned_limit_messages import LimitMessageHandler
from fennelcove.core.learned_limit_snapshots import LimitSnapshots
from fennelcove.core.learned_limit_status import limit_status
from fennelcove.core.requests import EventLogger
from fennelcove.settings.schema import Instance, ServiceClassSettings, SlotSettings

QUOTA_EXCHANGE_INTERVAL_US = (
    quota_loans.REQUEST_INTERVAL_US
)  # interval at which quota is requested and returned
LIST_REFRESH_US = 20_000  # minimum interval between two reads of the server list
LOGGED_ACTIONS = (
    LimitAction.RISE,
    LimitAction.FALL,
    LimitAction.HALVE,
    LimitAction.TAKE_BACK,
    LimitAction.LEARN_ANEW,
)


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server on the current endpoint list.

    Attributes:
        address: Its address.
        kind: Its hardware kind.
        started_us: When it started, by this front's monotonic clock; 0 for long ago.
        is_warming_up: Whether it is in slow start.
    """

    address: str
    kind: str
    started_us: int
    is_warming_up: bool


class LearnedLimits:
    """One front's part in the fleet's concurrency limits.

    The owner assigns the callbacks `list_servers`, `send` (sends an encoded message to a front),
    `on_capacity_increased` (this front may have more attempts in flight) and `schedule_quota_exchange`
    (schedules an early `exchange_quota`). It calls `close_window` every `latency_histogram.WINDOW_US` and
    `exchange_quota` every `QUOTA_EXCHANGE_INTERVAL_US`, both without the lock.
    """

    def __init__(
        self,
        settings: SlotSettings,
        service_classes: Sequence[ServiceClassSettings],
        rung_count: int,
        instance: Instance,
        incarnation: int,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        log: EventLogger,
    ) -> None:
        self.clock = clock
        self._service_class_numbers = {
            service_class.name: number for number, service_class in enumerate(service_classes)
        }
        self._rung_count = rung_count
        self._rng = rng
        self._lock = lock
        self._log = log
        timeouts_ms = [service_class.client_timeout_ms for service_class in service_classes]
        shortest_us = min(timeouts_ms) * 1000
        self.longest_timeout_us = round(max(timeouts_ms) * 1000)
        max_wait_us = max(1, round(settings.wait_share * shortest_us))
        limits = LimitSettings(settings.start, settings.least, settings.most, max_wait_us)
        loan_us = round(settings.loan_ms * 1000)
        self.replica = Replica(limits, instance.fronts, instance.index, incarnation, clock.now_us(), loan_us)
        self.server_keys: dict[str, int] = {}  # by address
        self._messages = LimitMessageHandler(self.replica)
        self._snapshots = LimitSnapshots(self.replica, clock)
        self._listed_us = -LIST_REFRESH_US
        self._warming_up: frozenset[str] = frozenset()
        self._queued: dict[str, int] = {}  # requests waiting at each server, if they are queued
        self._rejected: dict[str, int] = {}  # attempts without a slot in this window, by server
        self._logged_counts: dict[LimitAction, int] = {}
        self.list_servers: Callable[[], Iterable[ListedServer]] = lambda: ()
        self.send: Callable[[int, bytes], None] = lambda _front, _payload: None
        self.on_capacity_increased: Callable[[], None] = lambda: None
        self.schedule_quota_exchange: Callable[[], object] = lambda: None

    # Attempts of this front; callers may hold the lock, which is reentrant.

    def workload_shape(self, service_class: str, rung: int, server: str) -> int:
        """Return the workload shape of an attempt at a server."""
        number = self._service_class_numbers.get(service_class, 0)
        return shape_of(number, rung, self._rung_count, server not in self._warming_up)

    def has_free_slot(self, server: str) -> bool:
        """Return whether an attempt of any duration may start at a server now.

        A rejection counts as demand, so that this front requests quota from the others.
        """
        with self._lock:
            server_key = self._server_key(server)
            if server_key is None:
                return False
            in_flight = self.replica.servers[server_key].loans.in_flight
            if in_flight < self.replica.max_in_flight(
                server_key, self.clock.now_us(), self.longest_timeout_us
            ):
                return True
            self._rejected[server] = self._rejected.get(server, 0) + 1
        self._publish_demand(server)
        return False

    def try_acquire(self, server: str, shape: int, allow_us: int) -> bool:
        """Acquire a slot for an attempt that lasts `allow_us` at most; return False if none is free."""
        with self._lock:
            server_key = self.server_keys.get(server)
            if server_key is None:
                return False
            now_us = self.clock.now_us()
            in_flight = self.replica.servers[server_key].loans.in_flight
            if in_flight >= self.replica.max_in_flight(server_key, now_us, allow_us):
                self.replica.on_attempt_denied(server_key, shape)
                return False
            self.replica.on_attempt_started(server_key, shape, now_us, allow_us)
            return True

    def on_attempt_ended(self, server: str, shape: int, held_us: int, answered: bool | None) -> None:
        """Release an attempt's slot.

        Args:
            server: The server's address.
            shape: The attempt's workload shape.
            held_us: How long it occupied its slot.
            answered: False if the server did not answer in time; None if the result says nothing about the
                server's latency.
        """
        with self._lock:
            server_key = self.server_keys.get(server)
            if server_key is not None:
                self.replica.on_attempt_ended(server_key, shape, held_us, answered)

    def max_in_flight(self, server: str, allow_us: int) -> int:
        """Return how many attempts this front may have in flight at a server, including current ones.

        The next attempt may last `allow_us`. The limit of an unlisted server is 0.
        """
        with self._lock:
            server_key = self._server_key(server)
            if server_key is None:
                return 0
            return self.replica.max_in_flight(server_key, self.clock.now_us(), allow_us)

    def set_waiting_count(self, server: str, waiting: int) -> None:
        """Set the number of requests that wait for a slot at a server."""
        with self._lock:
            self._queued[server] = waiting
        self._publish_demand(server)

    def target_connection_count(self, server: str) -> int:
        """Return how many connections to keep open to a server, including idle ones."""
        with self._lock:
            server_key = self.server_keys.get(server)
            return (
                0 if server_key is None else self.replica.connection_target(server_key, self.clock.now_us())
            )

    def median_hold_us(self, server: str, shape: int) -> int | None:
        """Return the median time that attempts of a shape occupy their slots; None if it is not known."""
        with self._lock:
            median_us = self.replica.median_service_us(self.server_keys.get(server, -1), shape)
            return None if median_us is None else round(median_us)

    def _server_key(self, server: str) -> int | None:
        """Return a server's key, rereading the server list if need be; None for an unlisted server."""
        now_us = self.clock.now_us()
        if server not in self.server_keys and now_us - self._listed_us >= LIST_REFRESH_US:
            self._refresh_servers(now_us)
        return self.server_keys.get(server)

    def _publish_demand(self, server: str) -> None:
        """Report demand: the queued requests, or those rejected in this window if there is no queue."""
        with self._lock:
            server_key = self.server_keys.get(server)
            if server_key is None:
                return
            waiting = max(self._queued.get(server, 0), self._rejected.get(server, 0))
            has_grown = waiting > self.replica.servers[server_key].loans.waiting
            self.replica.set_waiting(server_key, waiting)
        if has_grown:
            self.schedule_quota_exchange()

    # Periodic calls; callers do not hold the lock.

    def close_window(self) -> None:
        """Close an observation window: adjust the limits and send the result to the other fronts."""
        with self._lock:
            now_us = self.clock.now_us()
            self._refresh_servers(now_us)
            rejected, self._rejected = self._rejected, {}
            for server in rejected:
                self._publish_demand(server)
            limits_before = {key: server.agreement.limit for key, server in self.replica.servers.items()}
            messages = self.replica.close_windows(now_us)
            has_risen = any(
                server.agreement.limit > limits_before[key] for key, server in self.replica.servers.items()
            )
            self._log_actions()
            outgoing = self._messages.encode_window(messages, now_us)
        for message in outgoing:
            self.send(message.front, message.payload)
        if has_risen:
            self.on_capacity_increased()

    def exchange_quota(self) -> None:
        """Request quota that is short and return quota that is not needed."""
        with self._lock:
            outgoing = self.replica.exchange_slots(self._rng.random(), self.clock.now_us())
        for front, server_key, message in outgoing:
            self.send(front, limit_messages.encode_slot_message(server_key, message))

    def _refresh_servers(self, now_us: int) -> None:
        """Update the replica's servers to match the endpoint list."""
        server_keys: dict[str, int] = {}
        warming_up = []
        for server in self.list_servers():
            if server.is_warming_up:
                warming_up.append(server.address)
            server_key = crc32(f"{server.address} {server.kind}".encode())
            server_keys[server.address] = server_key
            limit = self._snapshots.claim(server.address, server.kind, server.started_us, now_us)
            self.replica.on_server_listed(
                server_key, server.kind, server.started_us, now_us, limit, server.is_warming_up
            )
        listed = set(server_keys.values())
        self.replica.remove_servers([key for key in self.replica.servers if key not in listed])
        self.server_keys, self._listed_us = server_keys, now_us
        self._warming_up = frozenset(warming_up)
        self._queued = {server: count for server, count in self._queued.items() if server in server_keys}

    def _log_actions(self) -> None:
        """Log how often limits were adjusted since the last window, for servers that this front evaluates."""
        counts: dict[LimitAction, int] = {}
        for server in self.replica.servers.values():
            if server.adaptive_limit is not None:
                for action, count in server.adaptive_limit.action_counts.items():
                    counts[action] = counts.get(action, 0) + count
        for action in LOGGED_ACTIONS:
            increase = counts.get(action, 0) - self._logged_counts.get(action, 0)
            if increase > 0:
                self._log("concurrency_limits_adjusted", act=action.name.lower(), boxes=increase)
        self._logged_counts = counts

    # Messages from other fronts; callers do not hold the lock.

    def on_message(self, sender: int, payload: bytes) -> bool:
        """Handle a message of one of `limit_messages.KINDS`; return whether it was well formed."""
        with self._lock:
            outcome = self._messages.on_message(sender, payload, self.clock.now_us())
        if outcome is None:
            return False
        if outcome.reply is not None:
            self.send(sender, outcome.reply)
        if outcome.has_more_capacity:
            self.on_capacity_increased()
        return True

    # Persistence and status.

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Load the limits of the previous incarnation; each is retained until its server is listed."""
        with self._lock:
            self._snapshots.restore(values)

    def snapshot_records(self) -> list[tuple[bytes, bytes]]:
        """Return the store records of listed servers."""
        with self._lock:
            return self._snapshots.records(self.server_keys)

    def status(self) -> dict[str, object]:
        """Return the figures of the `slots` section of the status JSON."""
        with self._lock:
            service_classes = tuple(self._service_class_numbers)
            return asdict(limit_status(self.replica, self.server_keys, service_classes, self.clock.now_us()))
