"""One front: builds the core and its network components, and starts and stops their threads in order."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from random import Random

from fennelcove.clock import Clock, SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.core import health_check_coordinator, shared_quota_coordinator, slot_scheduler
from fennelcove.core.core import Core
from fennelcove.core.health_check_coordinator import HealthCheckCoordinator
from fennelcove.core.load_shedding_coordinator import LoadSheddingCoordinator
from fennelcove.core.membership_coordinator import MembershipCoordinator
from fennelcove.core.ports import CorePorts
from fennelcove.core.recovery_coordinator import RecoveryCoordinator
from fennelcove.core.requests import EventLogger
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.shared_quota_coordinator import SharedQuotaCoordinator
from fennelcove.core.slot_scheduler import SlotScheduler
from fennelcove.daemon.audit_file import AuditFile
from fennelcove.daemon.background import Background
from fennelcove.daemon.concurrency_limits import LimitService
from fennelcove.daemon.key_file import load
from fennelcove.daemon.ledger_file import LedgerFile
from fennelcove.daemon.rollouts import RolloutService
from fennelcove.decisions.fleet import fleet_load, recovery_admission
from fennelcove.decisions.fleet.shared_quotas import Resource
from fennelcove.decisions.operators.command_authorization import CommandAuthorizer
from fennelcove.decisions.operators.graceful_shutdown import (
    GracefulShutdown,
    ShutdownAction,
    ShutdownEvent,
    ShutdownState,
)
from fennelcove.decisions.recovery.background_scheduler import TaskPriority
from fennelcove.decisions.servers import event_stream
from fennelcove.ingress.connection import ConnectionLimits
from fennelcove.ingress.http_server import HttpServer
from fennelcove.ingress.operator_commands import OperatorCommands
from fennelcove.ingress.operator_routes import OperatorRoutes
from fennelcove.ingress.session_setups import SessionSetups
from fennelcove.ingress.tls import TlsKeys
from fennelcove.ingress.websocket_server import WebSocketServer
from fennelcove.interface import Effect, ServerState
from fennelcove.settings.schema import FrontSettings
from fennelcove.settings.validation import to_policy_settings
from fennelcove.store.directory import Store
from fennelcove.store.writer import StoreWriter
from fennelcove.upstream.attempts import AttemptSender, HintReader
from fennelcove.upstream.command_senders import CommandSenders
from fennelcove.upstream.connection_pool import ConnectionPool, DialLimits
from fennelcove.upstream.endpoint_list_client import EndpointListClient
from fennelcove.upstream.front_messaging import FrontMessaging
from fennelcove.upstream.health_checks import HealthChecker
from fennelcove.upstream.migration_workers import MigrationWorkers
from fennelcove.upstream.server_event_streams import ServerEventStreams
from fennelcove.upstream.wakeups import CancellationLatch, Wakeup

SWEEP_INTERVAL_US = 250_000
SNAPSHOT_INTERVAL_US = 1_000_000
TRIM_INTERVAL_US = 1_000_000
CERTIFICATE_CHECK_INTERVAL_US = 500_000


def ignore_result(_: object) -> None:
    """Discard a value, so that a lambda returns None."""


class FrontDaemon:
    """A front. Call `start`, then `stop` from any thread: it returns when every thread has ended."""

    def __init__(
        self,
        settings: FrontSettings,
        log_event: EventLogger,
        clock: Clock | None = None,
        session_ids: SessionIds | None = None,
        request_shutdown: Callable[[], None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.log_event = log_event
        self.clock = clock or SystemClock()
        limits = settings.limits
        threading.stack_size(limits.stack_kib * 1024)
        dial_limits = DialLimits(limits.head_bytes, limits.head_count, limits.body_bytes, settings.source)
        self.timers = Timers(self.clock, lambda error: log_event("timer_failed", reason=repr(error)))
        self.halt = CancellationLatch()
        self.pool = ConnectionPool(self.clock, limits.box_connections, round(limits.idle_ms * 1000))
        self.hints = HintReader()
        effects = {service_class.name: Effect(service_class.effect) for service_class in settings.room_types}
        self.attempt_sender = AttemptSender(
            settings.name, self.clock, self.pool, self.hints, effects, dial_limits, self.halt
        )
        self.command_senders = CommandSenders(self.clock, self.pool, dial_limits)
        self.migration_workers = MigrationWorkers(self.attempt_sender, settings.stitch.moves_at_once)
        self.server_event_streams = self._make_server_event_streams(dial_limits)
        self.endpoint_list_client = EndpointListClient(
            self.clock,
            settings.lists.address,
            settings.lists.must_ask,
            Random(settings.seed),
            log_event,
            settings.source,
        )
        ports = CorePorts(self.server_event_streams, self.endpoint_list_client, self.migration_workers)
        self.core = Core(settings, self.clock, self.timers, log_event, ports, session_ids)
        self.server_event_streams.attach(self.core.server_registry)
        self.ledger = LedgerFile(settings.stitch.ledger, log_event)
        self.core.content.restore(self.ledger.load())
        if settings.storm.key_file is not None:
            self.core.retry_storms.use_keys(load(settings.storm.key_file, self.clock.wall_us() // 1000))
        if settings.viewers.key_file is not None:
            keys = load(settings.viewers.key_file, self.clock.wall_us() // 1000)
            self.core.token_keys = [keyed_mac(key) for key in keys]
        self.store_writer: StoreWriter | None = None
        if settings.store is not None:
            store = Store(settings.store.folder, settings.store.most_mb, settings.name)
            for file, damage in store.recovered.damages:
                log_event(
                    "store_damaged",
                    file=file,
                    at=damage.offset,
                    fault=damage.fault.value,
                    detail=damage.detail,
                )
            for key in store.corrupt_keys:
                log_event("store_damaged", file="base.lmdb", key=repr(key), fault="altered")
            self.core.snapshots.restore(store.values)
            self.store_writer = StoreWriter(store, self.clock, log_event)
        self.recovery = self._make_recovery()
        self.background = Background(self.clock, log_event)
        self.core.status_reporter.add_section("background", self.background.status)
        self.health_checker: HealthChecker | None = None
        self.front_messaging: FrontMessaging | None = None
        shape = settings.shape
        if shape.probes is not None:
            timeout_us, on_probe_completed = (
                round(shape.probes.timeout_ms * 1000),
                self.core.probes.on_probe_completed,
            )
            self.health_checker = HealthChecker(
                self.clock, self.hints, settings.name, timeout_us, dial_limits, on_probe_completed
            )
            self.core.probes.probe_sender = self.health_checker
        self.membership = self._make_membership()
        peer_settings = settings.company or shape.peers
        if peer_settings is not None:
            index, on_message = settings.instance.index, self.core.probes.on_peer_message
            on_heartbeat = self.membership.on_heartbeat if self.membership is not None else None
            self.front_messaging = FrontMessaging(peer_settings.addresses, index, on_message, on_heartbeat)
            if shape.peers is not None:
                self.core.probes.peer_messenger = self.front_messaging
            if self.membership is not None:
                self.membership.broadcast = self.front_messaging.send_heartbeats
        self.load_shedding = self._make_load_shedding()
        self.shared_quotas = self._make_shared_quotas()
        # Called in this order with a session and a server; each may exclude the server.
        self.server_filters: list[Callable[[str, str], bool]] = []
        core = self.core
        core.policy.may_use = lambda id, server: all(may_use(id, server) for may_use in self.server_filters)
        self.rollouts = self._make_rollouts(request_shutdown)
        self.watch_health_checker: HealthChecker | None = None
        self.health_coordinator = self._make_health_coordinator(dial_limits)
        self.limit_service = self._make_limit_service()
        self.slot_scheduler = self._make_slot_scheduler()
        timeouts_us = [round(ms * 1000) for ms in (limits.idle_ms, limits.head_ms, limits.write_ms)]
        self.setups = SessionSetups(self.core, self.clock, self.attempt_sender, log_event)
        self.websocket_server = WebSocketServer(
            self.core, self.clock, self.setups, settings.name, ConnectionLimits(*timeouts_us), log_event
        )
        self.tls = TlsKeys(settings.tls, log_event) if settings.tls is not None else None
        self.http_server = HttpServer(
            self.core,
            self.clock,
            self.setups,
            self.websocket_server,
            self.tls,
            settings.name,
            settings.listen,
            dial_limits,
            ConnectionLimits(*timeouts_us),
            log_event,
            self.ledger.append,
            self._make_operator_commands(),
        )
        self.timer_thread = threading.Thread(target=self.timers.run, name="timers")
        self.shutdown = GracefulShutdown(round(limits.stop_ms * 1000))

    def _make_server_event_streams(self, dial_limits: DialLimits) -> ServerEventStreams:
        policy_settings = to_policy_settings(self.settings)
        idle_timeout_us = event_stream.idle_timeout_us(
            policy_settings.report_interval_us, policy_settings.report_delay_us
        )
        return ServerEventStreams(
            self.timers,
            self.command_senders,
            self.hints,
            self.settings.name,
            idle_timeout_us,
            dial_limits,
            self.log_event,
        )

    def _make_recovery(self) -> RecoveryCoordinator | None:
        """Off by default: without it, requests are held until the front knows its sessions again."""
        core, settings = self.core, self.settings
        recovery_settings = settings.recovery
        if recovery_settings is None:
            return None
        recovery = RecoveryCoordinator(
            settings,
            recovery_settings,
            core.policy,
            core.server_registry,
            self.clock,
            core.rng,
            self.log_event,
        )
        core.admission.add_first_rule(recovery.check_request)
        core.discovery.set_update_filter(recovery.correct_list)
        core.status_reporter.add_section("comeback", recovery.status)
        recovery.on_list_applied, recovery.on_sessions_accounted = (
            core.snapshots.on_list_received,
            core.seat_leases.on_recovered,
        )
        recovery.stored_list = core.snapshots.stored_list()
        if recovery_settings.kept_list:
            core.snapshots.list_entries = recovery.list_entries
        return recovery

    def _make_load_shedding(self) -> LoadSheddingCoordinator | None:
        """Off by default: without it, each front limits retries by its own retry-storm detector alone."""
        core, settings, membership = self.core, self.settings, self.membership
        if settings.overload is None or not settings.overload.enabled:
            return None
        all_fronts = settings.instance.fronts
        fronts = membership.membership.live_front_count if membership is not None else lambda: all_fronts
        incarnation = self.clock.wall_us() // 1000
        load_shedding = LoadSheddingCoordinator(
            settings.room_types,
            fronts,
            incarnation,
            core.retry_storms,
            self.clock,
            core.rng,
            core.lock,
            self.log_event,
        )
        core.status_reporter.add_section("overload", load_shedding.status)
        if self.front_messaging is not None:
            load_shedding.broadcast, self.front_messaging.on_load_summary = (
                self.front_messaging.send_load_summary,
                load_shedding.on_summary,
            )
        return load_shedding

    def _make_shared_quotas(self) -> SharedQuotaCoordinator | None:
        """Off by default: without it, each front has quotas of its own."""
        core, overload_settings = self.core, self.settings.overload
        if overload_settings is None:
            return None
        limits = {
            Resource.FURTHER_JOIN: overload_settings.further_joins_s,
            Resource.PROBE: overload_settings.probes_s,
            Resource.LIST_CALL: overload_settings.list_calls_s,
        }
        budgets = {resource: per_s for resource, per_s in limits.items() if per_s > 0}
        if not budgets:
            return None
        incarnation = self.clock.wall_us() // 1000
        shared_quotas = SharedQuotaCoordinator(
            budgets, self.settings.instance, incarnation, self.clock, core.rng, core.lock
        )
        core.use_retry_budget(lambda: shared_quotas.try_acquire(Resource.FURTHER_JOIN))
        core.probes.may_probe = lambda: shared_quotas.try_acquire(Resource.PROBE)
        self.endpoint_list_client.turn_wait_us = lambda: shared_quotas.acquire_wait_us(Resource.LIST_CALL)
        core.status_reporter.add_section("budgets", shared_quotas.status)
        if self.front_messaging is not None:
            shared_quotas.send, self.front_messaging.on_quota_message = (
                self.front_messaging.send_quota_message,
                shared_quotas.on_message,
            )
        return shared_quotas

    def _make_rollouts(self, request_shutdown: Callable[[], None]) -> RolloutService | None:
        """Off by default: without it, operators must limit how many fronts and servers are out of service."""
        release_settings, core = self.settings.releases, self.core
        if release_settings is None or self.front_messaging is None:
            return None
        rollouts = RolloutService(
            self.settings,
            release_settings,
            core,
            self.timers,
            self.clock,
            self.log_event,
            request_shutdown,
        )
        if self.load_shedding is not None:
            ladder = self.load_shedding.policy
            rollouts.shedding_level = lambda: ladder.level.value
        if self.recovery is not None:
            state = self.recovery.state
            rollouts.recovery_state = lambda: state.state
        rollouts.coordinator.send, self.front_messaging.on_rollout_message = (
            self.front_messaging.send_rollout_message,
            rollouts.coordinator.on_message,
        )
        return rollouts

    def _make_health_coordinator(self, dial_limits: DialLimits) -> HealthCheckCoordinator | None:
        """Off by default: without it, each front detects failed servers only through its own attempts."""
        core, watcher_settings, membership = self.core, self.settings.watchers, self.membership
        if watcher_settings is None:
            return None
        instance, policy = self.settings.instance, core.policy

        def list_active_servers() -> list[str]:
            return [
                address for address, server in policy.servers.items() if server.state is ServerState.ACTIVE
            ]

        def list_live_fronts() -> Iterable[int]:
            return membership.membership.live_fronts() if membership is not None else range(instance.fronts)

        coordinator = HealthCheckCoordinator(
            instance.index,
            instance.fronts,
            self.clock.wall_us(),  # exceeds every report number of earlier incarnations
            list_active_servers,
            list_live_fronts,
            self.clock,
            core.rng,
            core.lock,
            self.log_event,
        )
        component = HealthChecker(
            self.clock,
            self.hints,
            self.settings.name,
            round(watcher_settings.timeout_ms * 1000),
            dial_limits,
            coordinator.on_probe_completed,
        )
        self.watch_health_checker, coordinator.start_probe = component, component.start_probe
        self.server_filters.append(coordinator.may_use_server)
        core.retry_storms.on_server_attempt_ended = coordinator.on_attempt_ended
        core.status_reporter.add_section("watchers", coordinator.status)
        if self.front_messaging is not None:
            coordinator.broadcast, self.front_messaging.on_health_report = (
                self.front_messaging.send_health_report,
                coordinator.on_report,
            )
        return coordinator

    def _run_health_checks(self) -> None:
        assert self.health_coordinator is not None
        if self.shutdown.state is ShutdownState.RUNNING:
            self.timers.after(health_check_coordinator.CHECK_INTERVAL_US, self._run_health_checks)
            self.health_coordinator.run_checks()

    def _make_limit_service(self) -> LimitService | None:
        """Off by default: without it, the connection limit also limits a front's attempts at a server."""
        slot_settings, core = self.settings.slots, self.core
        if slot_settings is None:
            return None
        is_running = lambda: self.shutdown.state is ShutdownState.RUNNING  # noqa: E731
        limit_service = LimitService(
            self.settings, slot_settings, core, self.timers, self.clock, self.log_event, is_running
        )
        core.status_reporter.add_section("slots", limit_service.learned_limits.status)
        core.snapshots.collect_other_records = limit_service.learned_limits.snapshot_records
        self.server_filters.append(limit_service.may_use_server)
        self.attempt_sender.slots, self.pool.target_count = (
            limit_service.learned_limits,
            limit_service.learned_limits.target_connection_count,
        )
        if self.store_writer is not None:
            limit_service.learned_limits.restore(self.store_writer.store.values)
        if self.front_messaging is not None:
            limit_service.learned_limits.send, self.front_messaging.on_limit_message = (
                self.front_messaging.send_limit_message,
                limit_service.learned_limits.on_message,
            )
        return limit_service

    def _make_slot_scheduler(self) -> SlotScheduler | None:
        """Off by default: without it, the slots of a server are assigned in order of arrival."""
        fair_settings, core = self.settings.fair, self.core
        if fair_settings is None:
            return None
        scheduler = SlotScheduler(
            core.context,
            fair_settings,
            self.settings.instance,
            core.catalogue,
            core.policy,
            core.lifecycle,
            Wakeup,
        )
        core.use_slots(scheduler)
        self.server_filters.append(scheduler.may_use_server)
        if self.limit_service is not None:
            learned_limits = self.limit_service.learned_limits
            scheduler.quota_of = lambda server, now_us: learned_limits.max_in_flight(
                server, learned_limits.longest_timeout_us
            )
            scheduler.publish_waiting_count, learned_limits.on_capacity_increased = (
                learned_limits.set_waiting_count,
                scheduler.on_quota_increased,
            )
        if self.front_messaging is not None:
            scheduler.broadcast, self.front_messaging.on_usage_report = (
                self.front_messaging.send_usage_report,
                scheduler.on_usage_report,
            )
        return scheduler

    def _close_usage_window(self) -> None:
        assert self.slot_scheduler is not None
        if self.shutdown.state is ShutdownState.RUNNING:
            self.timers.after(slot_scheduler.WINDOW_US, self._close_usage_window)
            self.slot_scheduler.close_window()

    def _exchange_quota(self) -> None:
        assert self.shared_quotas is not None
        if self.shutdown.state is ShutdownState.RUNNING:
            self.timers.after(shared_quota_coordinator.EXCHANGE_INTERVAL_US, self._exchange_quota)
            self.shared_quotas.exchange_quota()

    def _close_load_window(self) -> None:
        assert self.load_shedding is not None
        if self.shutdown.state is ShutdownState.RUNNING:
            self.timers.after(fleet_load.WINDOW_US, self._close_load_window)
            self.load_shedding.close_window()

    def _advance_recovery(self) -> None:
        assert self.recovery is not None
        with self.core.lock:
            self.recovery.advance(self.clock.now_us())

    def _make_membership(self) -> MembershipCoordinator | None:
        """Off by default: without it, each front assumes that all configured fronts are live."""
        company_settings, core = self.settings.company, self.core
        if company_settings is None:
            return None
        incarnation = self.clock.wall_us() // 1000
        coordinator = MembershipCoordinator(
            company_settings, self.settings.instance, incarnation, self.clock, core.lock, self.log_event
        )
        core.policy.owns_turn = coordinator.is_own_turn
        core.status_reporter.add_section("company", coordinator.status)
        core.snapshots.known_incarnations = coordinator.known_incarnations
        if self.recovery is not None:
            self.recovery.front_count = coordinator.effective_front_count
        if core.shadow_policy is not None:
            core.shadow_policy.alternative.owns_turn = coordinator.is_own_turn
        return coordinator

    def _send_heartbeats(self) -> None:
        assert self.membership is not None and self.settings.company is not None
        if self.shutdown.state is ShutdownState.RUNNING:
            self.timers.after(round(self.settings.company.beat_ms * 1000), self._send_heartbeats)
            self.membership.send_heartbeats()

    def _make_operator_commands(self) -> OperatorCommands:
        wall_ms = self.clock.wall_us() // 1000
        control_settings = self.settings.control
        keys = {
            key.name: (keyed_mac(load(key.key_file, wall_ms)[0]), key.may_change)
            for key in control_settings.keys
        }
        operator_commands = OperatorCommands(
            self.core,
            self.clock,
            CommandAuthorizer(self.settings.name, keys),
            AuditFile(control_settings.audit).append,
        )
        if self.rollouts is not None:
            operator_commands.rollout_commands = OperatorRoutes(self.settings.name, self.rollouts.coordinator)
        return operator_commands

    def start(self) -> None:
        """Start every thread and accept client connections."""
        self.timer_thread.start()
        if self.store_writer is not None:
            self.store_writer.start()
        for component in (self.health_checker, self.watch_health_checker, self.front_messaging):
            if component is not None:
                component.start()
        if self.rollouts is not None:
            self.rollouts.start()
        if self.health_coordinator is not None:
            self.timers.after(health_check_coordinator.CHECK_INTERVAL_US, self._run_health_checks)
        if self.membership is not None:
            self.timers.after(0, self._send_heartbeats)
        if self.shared_quotas is not None:
            self.timers.after(0, self._exchange_quota)
        if self.limit_service is not None:
            self.limit_service.start()
        if self.load_shedding is not None:
            self.timers.after(fleet_load.WINDOW_US, self._close_load_window)
        if self.slot_scheduler is not None:
            self.timers.after(slot_scheduler.WINDOW_US, self._close_usage_window)
        self.command_senders.start(self.core.commands, self.core.lifecycle)
        self.migration_workers.start(self.core.migrations)
        self.endpoint_list_client.start(self.core.discovery)
        if self.settings.lists.must_ask:
            self.endpoint_list_client.watch()
        self._add_background_tasks()
        self.background.start()
        if self.recovery is None:
            self.core.server_registry.wait_until_recovered()
            self.core.seat_leases.on_recovered()
        else:
            self.timers.after(recovery_admission.SAVED_LIST_FALLBACK_US, self._use_stored_list)
        self.http_server.start()
        if self.rollouts is not None:
            self.rollouts.is_open = True
        self.log_event("front_started", address=self.http_server.address, boot=self.core.session_ids.boot_id)

    def _use_stored_list(self) -> None:
        assert self.recovery is not None
        with self.core.lock:
            self.recovery.use_stored_list()

    def _add_background_tasks(self) -> None:
        """Add the periodic tasks."""
        add = self.background.add
        add(
            "sweep",
            TaskPriority.CLIENT_FACING,
            SWEEP_INTERVAL_US,
            SWEEP_INTERVAL_US,
            self._sweep_sessions,
        )
        add("trim", TaskPriority.HOUSEKEEPING, TRIM_INTERVAL_US, TRIM_INTERVAL_US, self.pool.close_stale)
        if self.recovery is not None:
            add(
                "comeback",
                TaskPriority.CLIENT_FACING,
                SWEEP_INTERVAL_US,
                SWEEP_INTERVAL_US,
                self._advance_recovery,
            )
        if self.store_writer is not None:
            add(
                "memories",
                TaskPriority.SNAPSHOT,
                SNAPSHOT_INTERVAL_US,
                SNAPSHOT_INTERVAL_US,
                self._store_snapshot,
            )
        if self.tls is not None:
            tls = self.tls
            add(
                "certificate",
                TaskPriority.HOUSEKEEPING,
                CERTIFICATE_CHECK_INTERVAL_US,
                CERTIFICATE_CHECK_INTERVAL_US,
                lambda: ignore_result(tls.check()),
            )

    def _store_snapshot(self) -> None:
        assert self.store_writer is not None
        self.store_writer.enqueue(self.core.snapshots.collect_changes())

    def _sweep_sessions(self) -> None:
        self.core.client_reports.close_silent_sessions()
        self.core.seat_leases.close_expired()
        self.core.migrations.run_due()

    def stop(self) -> None:
        """Answer the pending requests and shut down, within the configured time limit."""
        started_us = self.clock.now_us()
        actions = {
            ShutdownAction.STOP_ACCEPTING: self._stop_accepting,
            ShutdownAction.CANCEL_ATTEMPTS: self.halt.set,
            ShutdownAction.CLOSE_CONNECTIONS: self._close,
        }
        event = ShutdownEvent.REQUESTED
        while self.shutdown.state is not ShutdownState.STOPPED:
            for action in self.shutdown.apply(event, self.clock.now_us()):
                actions[action]()
            idle = self.http_server.wait_idle(self.shutdown.remaining_us(self.clock.now_us()))
            event = ShutdownEvent.IDLE if idle else ShutdownEvent.DEADLINE_REACHED
        self.log_event(
            "front_stopped", took_ms=(self.clock.now_us() - started_us) / 1000, counts=self.core.counts
        )

    def _stop_accepting(self) -> None:
        if self.membership is not None:
            self.membership.announce_leave()
        self.core.admission.stop()
        self.http_server.stop_accepting()

    def _close(self) -> None:
        self.halt.set()
        self.http_server.close()
        self.endpoint_list_client.stop()
        self.background.stop()
        self.timers.stop()
        self.timer_thread.join()
        self.migration_workers.stop()
        if self.store_writer is not None:
            self.store_writer.enqueue(self.core.snapshots.collect_changes())
            self.store_writer.stop(
                max(0, self.shutdown.requested_us + self.shutdown.time_limit_us - self.clock.now_us())
            )
        for component in (
            self.health_checker,
            self.watch_health_checker,
            self.rollouts,
            self.front_messaging,
        ):
            if component is not None:
                component.stop()
        self.server_event_streams.stop()
        self.command_senders.stop(self.shutdown.requested_us + self.shutdown.time_limit_us)
        self.pool.close()
        self.halt.close()

    def cancel_pending_attempts(self) -> None:
        """Cancel the pending attempts, which speeds up a `stop` that is in progress."""
        self.halt.set()
