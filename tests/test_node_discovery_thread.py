"""The thread that polls discovery: address changes, complete requests and back-off at critical moments."""

from __future__ import annotations

import json
import random
import threading
import time
import unittest
from typing import Any
from unittest import mock

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.http1 import writer as http
from fennelcove.interface import ServerState
from fennelcove.log import silent
from fennelcove.node import config, discovery_client, discovery_connection, session_manager
from fennelcove.node.address import parse_address
from fennelcove.node.discovery_client import DiscoveryClient
from fennelcove.node.metrics import Metric

from tests.discovery_harness import (
    LateDiscovery,
    ManualDiscovery,
    Poll,
    dialling_ports,
    is_being_dialled,
    unresponsive_listener,
)
from tests.node_harness import notice, wait_until
from tests.session_manager_harness import HOST_ENTRY, NODE_CONFIG

DRAINING = {**HOST_ENTRY, "health": "draining"}
MAX_NOTIFICATION_S = 6.0  # a change counts as told by then, after a call that was given up


class RecordingLock:
    """A lock that reports when it is requested, and records the active servers at each release."""

    def __init__(self, manager: session_manager.SessionManager) -> None:
        self.manager, self.inner, self.is_requested = manager, threading.Lock(), threading.Event()
        self.active_servers_at_release: list[list[str]] = []

    def __enter__(self) -> None:
        self.is_requested.set()
        self.inner.acquire()

    def __exit__(self, *_: object) -> None:
        servers = self.manager.policy.servers.values()
        self.active_servers_at_release.append(
            [server.address for server in servers if server.state is ServerState.ACTIVE]
        )
        self.inner.release()


class DiscoveryClientCase(unittest.TestCase):
    """The polling thread with a session manager of its own, so that a test can hold it at a step."""

    def start_client(self, discovery: ManualDiscovery, rev: int = 1, seed: str = "0a") -> DiscoveryClient:
        """Start the polling thread, which ends with the test."""
        clock = SystemClock()
        self.manager = session_manager.SessionManager(
            config.parse({**NODE_CONFIG, "seed": seed}), clock, Timers(clock), silent
        )
        for event in self.manager.config.initial_batch.events:
            self.manager.on_discovery_event(event)
        client = DiscoveryClient(self.manager, clock, parse_address(discovery.address), rev)
        thread = threading.Thread(target=client.run, daemon=True)
        thread.start()
        self.addCleanup(discovery.close)
        self.addCleanup(thread.join)
        self.addCleanup(client.stop)
        return client

    def server_state(self) -> ServerState:
        """The state of the only server."""
        return self.manager.policy.servers["s0"].state

    def encode_changes(self, count: int) -> bytes:
        """A response with so many changes, the last of which drains the server."""
        entries = [
            {**HOST_ENTRY, "host": f"s{i}", "dial": f"127.0.0.1:{1 + i % 60_000}"} for i in range(1, count)
        ]
        notices = [notice(rev, [entry]) for rev, entry in enumerate([*entries, DRAINING], 2)]
        body = json.dumps({"rev": count + 1, "notices": notices}).encode()
        return http.response(200, [], body)


class DiscoveryClientTest(DiscoveryClientCase):
    def test_a_list_of_thousands_of_servers_and_changes_is_accepted(self) -> None:
        # Over a limit of 1 MiB each poll failed, and the list never changed again.
        discovery = ManualDiscovery()
        self.start_client(discovery)
        response = self.encode_changes(9_000)
        assert 1 << 20 < len(response) < 4 << 20
        discovery.next_poll().send(response)
        wait_until(lambda: self.server_state() is ServerState.LEAVING, "the last change")

    def test_a_list_that_takes_longer_than_the_poll_timeout_is_read_to_its_end(self) -> None:
        # Abandoned after 1.4 s and requested again, a large list over a slow path never arrived.
        discovery = ManualDiscovery()
        self.start_client(discovery)
        response = self.encode_changes(40)
        poll, step = discovery.next_poll(), len(response) // 9
        for offset in range(0, len(response), step):
            poll.send(response[offset : offset + step])
            time.sleep(0.2)
        wait_until(lambda: self.server_state() is ServerState.LEAVING, "the last change")
        assert discovery.next_poll().watch == 41
        assert discovery.accepted_count == 1

    def test_a_response_of_the_previous_address_is_not_applied_after_the_change(self) -> None:
        # Read before the change and applied after it: the previous address publishes no further changes.
        old_discovery, new_discovery = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(new_discovery.close)
        client = self.start_client(old_discovery)
        poll = old_discovery.next_poll()
        lock = RecordingLock(self.manager)
        with mock.patch.object(self.manager, "lock", lock), lock.inner:
            poll.send_notices(2, notice(2, [DRAINING]))
            assert lock.is_requested.wait(20)  # the complete response waits for the lock
            client.change_address(parse_address(new_discovery.address))
        poll = new_discovery.next_poll()
        assert (poll.watch, self.server_state()) == (1, ServerState.ACTIVE)

    def test_a_response_is_applied_while_the_lock_is_held_once(self) -> None:
        # A request between two events of a response saw a server removed, and its successor not added yet.
        discovery = ManualDiscovery()
        self.start_client(discovery)
        poll = discovery.next_poll()
        lock = RecordingLock(self.manager)
        with mock.patch.object(self.manager, "lock", lock):
            successor = {**HOST_ENTRY, "host": "s1"}
            poll.send_notices(3, notice(2, [{**HOST_ENTRY, "health": "removed"}]), notice(3, [successor]))
            assert discovery.next_poll().watch == 3
        assert lock.active_servers_at_release == [["s1"]]

    def test_everything_is_requested_again_whichever_poll_is_open(self) -> None:
        # A resync during an open request for everything was considered answered by that request.
        for rev in (1, 0):
            with self.subTest(rev):
                discovery = ManualDiscovery()
                client = self.start_client(discovery, rev)
                poll = discovery.next_poll()
                assert poll.watch == rev
                client.resync()
                poll.send_notices(2, notice(1, [HOST_ENTRY], complete=True), notice(2, [DRAINING]))
                poll = discovery.next_poll()
                assert poll.watch == 0
                poll.send_notices(2, notice(1, [HOST_ENTRY], complete=True), notice(2, [DRAINING]))
                assert (discovery.next_poll().watch, self.server_state()) == (2, ServerState.LEAVING)

    def test_an_open_poll_does_not_delay_a_resync(self) -> None:
        discovery = ManualDiscovery()
        client = self.start_client(discovery)
        with mock.patch.object(discovery_connection, "RESPONSE_GRACE_US", 60_000_000):
            discovery.next_poll().close()
            discovery.next_poll()  # never answered
            client.resync()
            assert discovery.next_poll().watch == 0

    def test_an_address_change_does_not_wait_for_an_unresponsive_address(self) -> None:
        listener, backlog_fillers = unresponsive_listener(self)
        discovery, new_discovery = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(new_discovery.close)
        discovery.address = f"127.0.0.1:{listener.getsockname()[1]}"
        with mock.patch.object(discovery_connection, "CONNECT_TIMEOUT_US", 60_000_000):
            client = self.start_client(discovery)
            wait_until(lambda: is_being_dialled(listener, backlog_fillers), "a dial without an answer")
            client.change_address(parse_address(new_discovery.address))
            assert new_discovery.next_poll().watch == 1

    def test_an_address_change_ends_the_back_off_after_a_failure(self) -> None:
        discovery, new_discovery = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(new_discovery.close)
        logged_events: list[str] = []
        with mock.patch.multiple(discovery_client, BACKOFF_BASE_US=60_000_000, BACKOFF_MAX_US=60_000_000):
            client = self.start_client(discovery)
            self.manager.logger = lambda event, **fields: logged_events.append(event)
            poll = discovery.next_poll()
            poll.close()
            wait_until(lambda: logged_events == ["discovery_poll_failed"], "the failure")
            client.change_address(parse_address(new_discovery.address))
            poll = new_discovery.next_poll()
            assert poll.watch == 1
            poll.close()  # the first failure at this address
            wait_until(
                lambda: logged_events == ["discovery_poll_failed"] * 2, "the failure at the new address"
            )

    def test_two_address_changes_in_a_row_end_at_the_second_and_are_no_failures(self) -> None:
        discoveries = [ManualDiscovery() for _ in range(3)]
        client = self.start_client(discoveries[0])
        logged_events: list[str] = []
        self.manager.logger = lambda event, **fields: logged_events.append(event)
        discoveries[0].next_poll()
        for discovery in discoveries[1:]:
            self.addCleanup(discovery.close)
            client.change_address(parse_address(discovery.address))
        discoveries[2].next_poll().send_notices(2, notice(2, [DRAINING]))
        assert (discoveries[2].next_poll().watch, self.server_state()) == (2, ServerState.LEAVING)
        assert logged_events == []

    def test_an_address_change_that_is_reverted_is_no_failure(self) -> None:
        discovery, other_discovery = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(other_discovery.close)
        client = self.start_client(discovery)
        logged_events: list[str] = []
        self.manager.logger = lambda event, **fields: logged_events.append(event)
        discovery.next_poll()
        client.change_address(parse_address(other_discovery.address))
        client.change_address(parse_address(discovery.address))
        assert (discovery.next_poll().watch, logged_events) == (1, [])

    def test_a_change_to_the_same_address_keeps_the_poll_open(self) -> None:
        discovery = ManualDiscovery()
        client = self.start_client(discovery)
        poll = discovery.next_poll()
        client.change_address(parse_address(discovery.address))
        poll.send_notices(2, notice(2, [DRAINING]))
        next_poll = discovery.next_poll()
        assert (next_poll.watch, self.server_state(), discovery.accepted_count) == (2, ServerState.LEAVING, 1)

    def test_polls_that_fail_are_counted_by_reason(self) -> None:
        # The log has the first failure of a row only: a slow service could not be told from a faulty one.
        discovery = ManualDiscovery()
        self.start_client(discovery)
        discovery.next_poll().close()
        discovery.next_poll().send_response(b"x")
        discovery.next_poll()  # never answered
        discovery.next_poll()
        counts = self.manager.metrics.counts[Metric.DISCOVERY_POLL]
        assert counts == {"unreachable": 1, "invalid": 1, "overdue": 1}

    def test_a_response_that_cannot_be_applied_is_requested_again(self) -> None:
        discovery = ManualDiscovery()
        self.start_client(discovery)
        poll = discovery.next_poll()
        answer = [notice(2, [DRAINING]), notice(3, [{**HOST_ENTRY, "host": "s1"}])]
        faults = iter((None, KeyError("s1")))
        apply = self.manager.updates._apply

        def apply_or_fail(event: Any) -> None:
            if fault := next(faults, None):
                raise fault
            apply(event)

        with mock.patch.object(self.manager.updates, "_apply", apply_or_fail):
            poll.send_notices(3, *answer)
            poll = discovery.next_poll()
            assert poll.watch == 1  # one event was applied; both are requested again
            poll.send_notices(3, *answer)
            assert discovery.next_poll().watch == 3
        assert set(self.manager.policy.servers) == {"s0", "s1"}


class LateServiceTest(DiscoveryClientCase):
    """A service that is late by a constant amount, each step of a poll in turn."""

    def test_a_service_whose_every_response_is_late_is_heard(self) -> None:
        # Each poll was given up after 1.4 s and begun again: the list never changed any more (review case 3).
        for delay_s in (1.5, 3.0):
            with self.subTest(delay_s):
                discovery = LateDiscovery(delay_s)
                self.start_client(discovery)
                for rev, state in enumerate((ServerState.LEAVING, ServerState.ACTIVE), 2):
                    time.sleep(1.1)  # past the end of an empty long poll
                    published_s = time.monotonic()
                    entry = DRAINING if state is ServerState.LEAVING else HOST_ENTRY
                    discovery.publish(notice(rev, [entry]))
                    wait_until(lambda expected=state: self.server_state() is expected, "the change")
                    assert time.monotonic() - published_s < MAX_NOTIFICATION_S
                assert self.manager.metrics.counts[Metric.DISCOVERY_POLL]["answered_late"] > 0

    def test_a_service_that_is_later_than_the_first_limit_is_heard_in_the_end(self) -> None:
        # With one limit for every poll, a greater delay is the same fault again.
        discovery = LateDiscovery(2.5)
        with mock.patch.object(discovery_client, "MIN_SILENCE_LIMIT_US", 2_000_000):
            self.start_client(discovery)
            discovery.publish(notice(2, [DRAINING]))
            wait_until(lambda: self.server_state() is ServerState.LEAVING, "the drain")

    def test_a_service_whose_connections_come_up_late_is_heard(self) -> None:
        # Each connection was given up after 0.5 s and begun again.
        listener, backlog_fillers = unresponsive_listener(self)
        discovery = ManualDiscovery()
        discovery.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.start_client(discovery)
        wait_until(lambda: is_being_dialled(listener, backlog_fillers), "a dial without an answer")
        [first_port] = dialling_ports(listener, backlog_fillers)
        time.sleep(0.8)  # the kernel repeats the dial 1 s after its begin
        assert first_port in dialling_ports(listener, backlog_fillers)
        ports = set[int]()
        while first_port not in ports:
            sock, (_, port) = listener.accept()
            self.addCleanup(sock.close)
            ports.add(port)
        threading.Thread(target=discovery._serve, args=(sock,), daemon=True).start()
        discovery.next_poll().send_notices(2, notice(2, [DRAINING]))
        wait_until(lambda: self.server_state() is ServerState.LEAVING, "the drain")

    def test_a_list_that_always_takes_longer_than_a_response_may_is_read_to_its_end(self) -> None:
        # It was given up, requested again, and given up again.
        discovery = ManualDiscovery()
        with mock.patch.object(discovery_connection, "MAX_RESPONSE_US", 200_000):
            self.start_client(discovery)
            response = self.encode_changes(40)
            poll, step = discovery.next_poll(), len(response) // 9
            for offset in range(0, len(response), step):
                poll.send(response[offset : offset + step])
                time.sleep(0.3)
            wait_until(lambda: self.server_state() is ServerState.LEAVING, "the last change")

    def test_a_late_response_that_is_older_than_the_list_changes_nothing(self) -> None:
        # Taken for a feed that begins anew, it would undo later events.
        discovery = ManualDiscovery()
        self.start_client(discovery)
        overdue, fresh = discovery.next_poll(), discovery.next_poll()
        overdue.send_notices(3, notice(2, [{**HOST_ENTRY, "share": 2}]), notice(3, [DRAINING]))
        wait_until(lambda: self.server_state() is ServerState.LEAVING, "the drain")
        fresh.send_notices(2, notice(2, [HOST_ENTRY]))
        poll = discovery.next_poll()
        assert (poll.watch, self.server_state()) == (3, ServerState.LEAVING)

    def test_an_overdue_poll_that_fails_leaves_the_fresh_one_alone(self) -> None:
        for end in (Poll.close, lambda poll: poll.send_response(b"x")):
            discovery = ManualDiscovery()
            self.start_client(discovery)
            overdue, fresh = discovery.next_poll(), discovery.next_poll()
            end(overdue)
            fresh.send_notices(2, notice(2, [DRAINING]))
            wait_until(lambda: self.server_state() is ServerState.LEAVING, "the drain")
            assert discovery.next_poll().watch == 2
            assert discovery.accepted_count == 2

    def test_a_feed_that_begins_anew_drops_the_other_poll(self) -> None:
        # Its response could continue the feed that has ended.
        discovery = ManualDiscovery()
        self.start_client(discovery, rev=7)
        overdue, fresh = discovery.next_poll(), discovery.next_poll()
        fresh.send_notices(2)
        poll = discovery.next_poll()
        assert poll.watch == 0
        assert overdue.ended.wait(2.0)

    def test_a_silent_service_is_polled_on_two_connections_at_most(self) -> None:
        discovery = ManualDiscovery()
        with mock.patch.object(discovery_client, "MIN_SILENCE_LIMIT_US", 3_000_000):
            client = self.start_client(discovery)
            polls = list[Poll]()
            while len(polls) < 5:
                polls.append(discovery.next_poll())
                wait_until(lambda: sum(not poll.ended.is_set() for poll in polls) <= 2, "an end")
                assert len(client.connections) <= 2
            assert polls[0].ended.is_set()  # silent for longer than the limit

    def test_an_address_change_ends_overdue_polls_too(self) -> None:
        discovery, new_discovery = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(new_discovery.close)
        client = self.start_client(discovery)
        polls = [discovery.next_poll(), discovery.next_poll()]
        client.change_address(parse_address(new_discovery.address))
        assert new_discovery.next_poll().watch == 1
        assert all(poll.ended.wait(2.0) for poll in polls)


class BackoffTest(unittest.TestCase):
    def test_back_off_grows_to_a_limit_and_differs_between_processes(self) -> None:
        delays_us = [
            [discovery_client.backoff_us(n, rng) for n in range(1, 40)]
            for rng in map(random.Random, range(50))
        ]
        for n, column in enumerate(zip(*delays_us, strict=True)):
            assert len(set(column)) > 40  # random
            mean_us = sum(column) / len(column)
            assert 0.7 < mean_us / min(100000 * 2**n, 500000) < 1.3, mean_us
            assert max(column) < 1000000
        assert max(row[0] for row in delays_us) <= 150000
        assert delays_us[3][0] == discovery_client.backoff_us(1, random.Random(3))  # depends on the seed only

    def test_unavailable_discovery_is_polled_less_and_less_often(self) -> None:
        # 200 processes in step each polled an unavailable service 10 times a second.
        discovery = ManualDiscovery()
        self.addCleanup(discovery.close)
        clock = SystemClock()
        manager = session_manager.SessionManager(config.parse(NODE_CONFIG), clock, Timers(clock), silent)
        client = DiscoveryClient(manager, clock, parse_address(discovery.address), 1)
        thread = threading.Thread(target=client.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(client.stop)
        discovery.next_poll().close()
        started_s = time.monotonic()
        for _ in range(5):
            discovery.next_poll().close()
        assert time.monotonic() - started_s > 0.84  # half of 0.1, 0.2, 0.4, 0.5 and 0.5 s
