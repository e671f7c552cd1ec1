"""One front: its clock, core, doors and peers, who owns which thread, and the order in which they end."""

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
from fennelcove.ingress.control import OperatorCommands
from fennelcove.ingress.http_server import HttpServer
from fennelcove.ingress.operator_routes import OperatorRoutes
from fennelcove.ingress.session_setups import SessionSetups
from fennelcove.ingress.tls import TlsKeys
from fennelcove.ingress.websocket_server import WebSocketServer
from fennelcove.interface import Effect, ServerState
from fennelcove.settings.checks import module_settings
from fennelcove.settings.schema import FrontSettings
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

SWEEP_US = 250_000
REMEMBER_US = 1_000_000
TRIM_US = 1_000_000
LOOK_US = 500_000


def void(_: object) -> None:
    """A call whose answer nobody needs."""


class FrontDaemon:
    """A whole front. `start`; then `stop` from any thread, which returns when every thread has ended."""

    def __init__(
        self,
        settings: FrontSettings,
        notice: EventLogger,
        clock: Clock | None = None,
        names: SessionIds | None = None,
        end: Callable[[], None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.notice = notice
        self.clock = clock or SystemClock()
        limits = settings.limits
        threading.stack_size(limits.stack_kib * 1024)
        codec = DialLimits(limits.head_bytes, limits.head_count, limits.body_bytes, settings.source)
        self.timers = Timers(self.clock, lambda error: notice("timer_failed", reason=repr(error)))
        self.halt = CancellationLatch()
        self.pool = ConnectionPool(self.clock, limits.box_connections, round(limits.idle_ms * 1000))
        self.hints = HintReader()
        effects = {service_class.name: Effect(service_class.effect) for service_class in settings.room_types}
        self.joiner = AttemptSender(
            settings.name, self.clock, self.pool, self.hints, effects, codec, self.halt
        )
        self.senders = CommandSenders(self.clock, self.pool, codec)
        self.movers = MigrationWorkers(self.joiner, settings.stitch.moves_at_once)
        self.server_side = self._server_side(codec)
        self.list_side = EndpointListClient(
            self.clock,
            settings.lists.address,
            settings.lists.must_ask,
            Random(settings.seed),
            notice,
            settings.source,
        )
        ports = CorePorts(self.server_side, self.list_side, self.movers)
        self.core = Core(settings, self.clock, self.timers, notice, ports, names)
        self.server_side.attach(self.core.server_registry)
        self.ledger = LedgerFile(settings.stitch.ledger, notice)
        self.core.content.restore(self.ledger.load())
        if settings.storm.key_file is not None:
            self.core.retry_storms.use_keys(load(settings.storm.key_file, self.clock.wall_us() // 1000))
        if settings.viewers.key_file is not None:
            keys = load(settings.viewers.key_file, self.clock.wall_us() // 1000)
            self.core.token_keys = [keyed_mac(key) for key in keys]
        self.keeper: StoreWriter | None = None
        if settings.store is not None:
            store = Store(settings.store.folder, settings.store.most_mb, settings.name)
            for file, damage in store.recovered.damages:
                notice(
                    "store_damaged",
                    file=file,
                    at=damage.offset,
                    fault=damage.fault.value,
                    detail=damage.detail,
                )
            for key in store.corrupt_keys:
                notice("store_damaged", file="base.lmdb", key=repr(key), fault="altered")
            self.core.snapshots.restore(store.values)
            self.keeper = StoreWriter(store, self.clock, notice)
        self.comeback = self._comeback()
        self.background = Background(self.clock, notice)
        self.core.status_reporter.add_section("background", self.background.status)
        self.probe_side: HealthChecker | None = None
        self.front_side: FrontMessaging | None = None
        shape = settings.shape
        if shape.probes is not None:
            timeout_us, probed = round(shape.probes.timeout_ms * 1000), self.core.probes.on_probe_completed
            self.probe_side = HealthChecker(self.clock, self.hints, settings.name, timeout_us, codec, probed)
            self.core.probes.probe_sender = self.probe_side
        self.company = self._company()
        among = settings.company or shape.peers
        if among is not None:
            index, heard = settings.instance.index, self.core.probes.on_peer_message
            beaten = self.company.on_heartbeat if self.company is not None else None
            self.front_side = FrontMessaging(among.addresses, index, heard, beaten)
            if shape.peers is not None:
                self.core.probes.peer_messenger = self.front_side
            if self.company is not None:
                self.company.broadcast = self.front_side.beat
        self.overload = self._overload()
        self.budgets = self._budgets()
        self.vetoes: list[Callable[[str, str], bool]] = []  # what keeps the module from a box, in order
        core = self.core
        core.policy.may_use = lambda id, server: all(free(id, server) for free in self.vetoes)
        self.releases = self._releases(end)
        self.watch_side: HealthChecker | None = None
        self.watch = self._watch(codec)
        self.slots = self._slots()
        self.fair = self._fair()
        times = [round(ms * 1000) for ms in (limits.idle_ms, limits.head_ms, limits.write_ms)]
        self.setups = SessionSetups(self.core, self.clock, self.joiner, notice)
        self.sockets = WebSocketServer(
            self.core, self.clock, self.setups, settings.name, ConnectionLimits(*times), notice
        )
        self.tls = TlsKeys(settings.tls, notice) if settings.tls is not None else None
        self.door = HttpServer(
            self.core,
            self.clock,
            self.setups,
            self.sockets,
            self.tls,
            settings.name,
            settings.listen,
            codec,
            ConnectionLimits(*times),
            notice,
            self.ledger.keep,
            self._control(),
        )
        self.timekeeper = threading.Thread(target=self.timers.run, name="timers")
        self.stopping = GracefulShutdown(round(limits.stop_ms * 1000))

    def _server_side(self, codec: DialLimits) -> ServerEventStreams:
        policy_settings = module_settings(self.settings)
        silence_us = event_stream.idle_timeout_us(
            policy_settings.report_interval_us, policy_settings.report_delay_us
        )
        return ServerEventStreams(
            self.timers, self.senders, self.hints, self.settings.name, silence_us, codec, self.notice
        )

    def _comeback(self) -> RecoveryCoordinator | None:
        """Off by default: without it who asks waits at the door until the front knows what it holds."""
        core, settings = self.core, self.settings
        told = settings.recovery
        if told is None:
            return None
        found = RecoveryCoordinator(
            settings, told, core.policy, core.server_registry, self.clock, core.rng, self.notice
        )
        core.admission.add_first_rule(found.check_request)
        core.discovery.set_update_filter(found.correct_list)
        core.status_reporter.add_section("comeback", found.status)
        found.on_list_applied, found.on_sessions_accounted = (
            core.snapshots.on_list_received,
            core.seat_leases.on_recovered,
        )
        found.stored_list = core.snapshots.stored_list()
        if told.kept_list:
            core.snapshots.list_entries = found.list_entries
        return found

    def _overload(self) -> LoadSheddingCoordinator | None:
        """Off by default: without it each front damps alone, by its own weather."""
        core, settings, company = self.core, self.settings, self.company
        if settings.overload is None or not settings.overload.enabled:
            return None
        all_fronts = settings.instance.fronts
        fronts = company.membership.live_front_count if company is not None else lambda: all_fronts
        life = self.clock.wall_us() // 1000
        found = LoadSheddingCoordinator(
            settings.room_types, fronts, life, core.retry_storms, self.clock, core.rng, core.lock, self.notice
        )
        core.status_reporter.add_section("overload", found.status)
        if self.front_side is not None:
            found.broadcast, self.front_side.counted = self.front_side.summary, found.on_summary
        return found

    def _budgets(self) -> SharedQuotaCoordinator | None:
        """Off by default: without it each front spends by its own limits."""
        core, told = self.core, self.settings.overload
        if told is None:
            return None
        limits = {
            Resource.FURTHER_JOIN: told.further_joins_s,
            Resource.PROBE: told.probes_s,
            Resource.LIST_CALL: told.list_calls_s,
        }
        wholes = {thing: whole for thing, whole in limits.items() if whole > 0}
        if not wholes:
            return None
        life = self.clock.wall_us() // 1000
        found = SharedQuotaCoordinator(wholes, self.settings.instance, life, self.clock, core.rng, core.lock)
        core.use_retry_budget(lambda: found.try_acquire(Resource.FURTHER_JOIN))
        core.probes.may_probe = lambda: found.try_acquire(Resource.PROBE)
        self.list_side.turn_us = lambda: found.acquire_wait_us(Resource.LIST_CALL)
        core.status_reporter.add_section("budgets", found.status)
        if self.front_side is not None:
            found.send, self.front_side.spared = self.front_side.spare, found.on_message
        return found

    def _releases(self, end: Callable[[], None]) -> RolloutService | None:
        """Off by default: without it operators see to it that not too many are out."""
        told, core = self.settings.releases, self.core
        if told is None or self.front_side is None:
            return None
        found = RolloutService(self.settings, told, core, self.timers, self.clock, self.notice, end)
        if self.overload is not None:
            ladder = self.overload.policy
            found.level = lambda: ladder.level.value
        if self.comeback is not None:
            state = self.comeback.state
            found.opening = lambda: state.state
        found.book.send, self.front_side.agreed = self.front_side.agree, found.book.on_message
        return found

    def _watch(self, codec: DialLimits) -> HealthCheckCoordinator | None:
        """Off by default: without it each front finds out by its own joins that a box is gone."""
        core, told, company = self.core, self.settings.watchers, self.company
        if told is None:
            return None
        instance, front = self.settings.instance, core.policy

        def listed() -> list[str]:
            return [box for box, server in front.servers.items() if server.state is ServerState.ACTIVE]

        def living() -> Iterable[int]:
            return company.membership.live_fronts() if company is not None else range(instance.fronts)

        found = HealthCheckCoordinator(
            instance.index,
            instance.fronts,
            self.clock.wall_us(),  # the number above all of an earlier life's
            listed,
            living,
            self.clock,
            core.rng,
            core.lock,
            self.notice,
        )
        side = HealthChecker(
            self.clock,
            self.hints,
            self.settings.name,
            round(told.timeout_ms * 1000),
            codec,
            found.on_probe_completed,
        )
        self.watch_side, found.start_probe = side, side.start_probe
        self.vetoes.append(found.may_use_server)
        core.retry_storms.on_server_attempt_ended = found.on_attempt_ended
        core.status_reporter.add_section("watchers", found.status)
        if self.front_side is not None:
            found.broadcast, self.front_side.worded = self.front_side.word, found.on_report
        return found

    def _look_out(self) -> None:
        assert self.watch is not None
        if self.stopping.state is ShutdownState.RUNNING:
            self.timers.after(health_check_coordinator.CHECK_INTERVAL_US, self._look_out)
            self.watch.run_checks()

    def _slots(self) -> LimitService | None:
        """Off by default: without it each front has so many joins out at a box as it keeps connections."""
        told, core = self.settings.slots, self.core
        if told is None:
            return None
        running = lambda: self.stopping.state is ShutdownState.RUNNING  # noqa: E731
        found = LimitService(self.settings, told, core, self.timers, self.clock, self.notice, running)
        core.status_reporter.add_section("slots", found.book.status)
        core.snapshots.collect_other_records = found.book.snapshot_records
        self.vetoes.append(found.free)
        self.joiner.slots, self.pool.keeps = found.book, found.book.target_connection_count
        if self.keeper is not None:
            found.book.restore(self.keeper.store.values)
        if self.front_side is not None:
            found.book.send, self.front_side.slotted = self.front_side.slots, found.book.on_message
        return found

    def _fair(self) -> SlotScheduler | None:
        """Off by default: without it a box's slots go to whoever comes first."""
        told, core = self.settings.fair, self.core
        if told is None:
            return None
        found = SlotScheduler(
            core.context, told, self.settings.instance, core.catalogue, core.policy, core.lifecycle, Wakeup
        )
        core.use_slots(found)
        self.vetoes.append(found.may_use_server)
        if self.slots is not None:
            learned = self.slots.book
            found.quota_of = lambda server, now_us: learned.max_in_flight(server, learned.longest_timeout_us)
            found.publish_waiting_count, learned.on_capacity_increased = (
                learned.set_waiting_count,
                found.on_quota_increased,
            )
        if self.front_side is not None:
            found.broadcast, self.front_side.gave = self.front_side.give, found.on_usage_report
        return found

    def _share(self) -> None:
        assert self.fair is not None
        if self.stopping.state is ShutdownState.RUNNING:
            self.timers.after(slot_scheduler.WINDOW_US, self._share)
            self.fair.close_window()

    def _spare(self) -> None:
        assert self.budgets is not None
        if self.stopping.state is ShutdownState.RUNNING:
            self.timers.after(shared_quota_coordinator.EXCHANGE_INTERVAL_US, self._spare)
            self.budgets.exchange_quota()

    def _count(self) -> None:
        assert self.overload is not None
        if self.stopping.state is ShutdownState.RUNNING:
            self.timers.after(fleet_load.WINDOW_US, self._count)
            self.overload.close_window()

    def _look(self) -> None:
        assert self.comeback is not None
        with self.core.lock:
            self.comeback.advance(self.clock.now_us())

    def _company(self) -> MembershipCoordinator | None:
        """Off by default: without it each front counts on all others that its settings name."""
        told, core = self.settings.company, self.core
        if told is None:
            return None
        life = self.clock.wall_us() // 1000
        company = MembershipCoordinator(
            told, self.settings.instance, life, self.clock, core.lock, self.notice
        )
        core.policy.owns_turn = company.is_own_turn
        core.status_reporter.add_section("company", company.status)
        core.snapshots.known_incarnations = company.known_incarnations
        if self.comeback is not None:
            self.comeback.front_count = company.effective_front_count
        if core.shadow_policy is not None:
            core.shadow_policy.alternative.owns_turn = company.is_own_turn
        return company

    def _beat(self) -> None:
        assert self.company is not None and self.settings.company is not None
        if self.stopping.state is ShutdownState.RUNNING:
            self.timers.after(round(self.settings.company.beat_ms * 1000), self._beat)
            self.company.send_heartbeats()

    def _control(self) -> OperatorCommands:
        wall_ms = self.clock.wall_us() // 1000
        told = self.settings.control
        keys = {key.name: (keyed_mac(load(key.key_file, wall_ms)[0]), key.may_change) for key in told.keys}
        found = OperatorCommands(
            self.core, self.clock, CommandAuthorizer(self.settings.name, keys), AuditFile(told.audit).tell
        )
        if self.releases is not None:
            found.rollout_commands = OperatorRoutes(self.settings.name, self.releases.book)
        return found

    def start(self) -> None:
        """Start every thread; from then on the front answers."""
        self.timekeeper.start()
        if self.keeper is not None:
            self.keeper.start()
        for side in (self.probe_side, self.watch_side, self.front_side):
            if side is not None:
                side.start()
        if self.releases is not None:
            self.releases.start()
        if self.watch is not None:
            self.timers.after(health_check_coordinator.CHECK_INTERVAL_US, self._look_out)
        if self.company is not None:
            self.timers.after(0, self._beat)
        if self.budgets is not None:
            self.timers.after(0, self._spare)
        if self.slots is not None:
            self.slots.start()
        if self.overload is not None:
            self.timers.after(fleet_load.WINDOW_US, self._count)
        if self.fair is not None:
            self.timers.after(slot_scheduler.WINDOW_US, self._share)
        self.senders.start(self.core.commands, self.core.lifecycle)
        self.movers.start(self.core.migrations)
        self.list_side.start(self.core.discovery)
        if self.settings.lists.must_ask:
            self.list_side.watch()
        self._plan()
        self.background.start()
        if self.comeback is None:
            self.core.server_registry.wait_until_recovered()
            self.core.seat_leases.on_recovered()
        else:
            self.timers.after(recovery_admission.SAVED_LIST_FALLBACK_US, self._stand_in)
        self.door.start()
        if self.releases is not None:
            self.releases.is_open = True
        self.notice("front_started", address=self.door.address, boot=self.core.session_ids.boot_id)

    def _stand_in(self) -> None:
        assert self.comeback is not None
        with self.core.lock:
            self.comeback.use_stored_list()

    def _plan(self) -> None:
        """What goes on in the background."""
        plan = self.background.add
        plan("sweep", TaskPriority.CLIENT_FACING, SWEEP_US, SWEEP_US, self._sweep)
        plan("trim", TaskPriority.HOUSEKEEPING, TRIM_US, TRIM_US, self.pool.trim)
        if self.comeback is not None:
            plan("comeback", TaskPriority.CLIENT_FACING, SWEEP_US, SWEEP_US, self._look)
        if self.keeper is not None:
            plan("memories", TaskPriority.SNAPSHOT, REMEMBER_US, REMEMBER_US, self._remember)
        if self.tls is not None:
            tls = self.tls
            plan("certificate", TaskPriority.HOUSEKEEPING, LOOK_US, LOOK_US, lambda: void(tls.check()))

    def _remember(self) -> None:
        assert self.keeper is not None
        self.keeper.enqueue(self.core.snapshots.collect_changes())

    def _sweep(self) -> None:
        self.core.client_reports.close_silent_sessions()
        self.core.seat_leases.close_expired()
        self.core.migrations.run_due()

    def stop(self) -> None:
        """Answer everything held and end, within the stated time."""
        began_us = self.clock.now_us()
        acts = {
            ShutdownAction.STOP_ACCEPTING: self._stop_accepting,
            ShutdownAction.CANCEL_ATTEMPTS: self.halt.set,
            ShutdownAction.CLOSE_CONNECTIONS: self._close,
        }
        event = ShutdownEvent.REQUESTED
        while self.stopping.state is not ShutdownState.STOPPED:
            for act in self.stopping.apply(event, self.clock.now_us()):
                acts[act]()
            idle = self.door.wait_idle(self.stopping.remaining_us(self.clock.now_us()))
            event = ShutdownEvent.IDLE if idle else ShutdownEvent.DEADLINE_REACHED
        self.notice("front_stopped", took_ms=(self.clock.now_us() - began_us) / 1000, counts=self.core.counts)

    def _stop_accepting(self) -> None:
        if self.company is not None:
            self.company.announce_leave()
        self.core.admission.stop()
        self.door.stop_accepting()

    def _close(self) -> None:
        self.halt.set()
        self.door.close()
        self.list_side.stop()
        self.background.stop()
        self.timers.stop()
        self.timekeeper.join()
        self.movers.stop()
        if self.keeper is not None:
            self.keeper.enqueue(self.core.snapshots.collect_changes())
            self.keeper.stop(
                max(0, self.stopping.requested_us + self.stopping.time_limit_us - self.clock.now_us())
            )
        for side in (self.probe_side, self.watch_side, self.releases, self.front_side):
            if side is not None:
                side.stop()
        self.server_side.stop()
        self.senders.stop(self.stopping.requested_us + self.stopping.time_limit_us)
        self.pool.close()
        self.halt.close()

    def hurry(self) -> None:
        """Give up what is still out; `stop` goes on to its end."""
        self.halt.set()
