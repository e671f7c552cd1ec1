"""Creates the components of a core and connects them."""

from __future__ import annotations

from random import Random

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.core.admission import Admission
from fennelcove.core.attempt_results import AttemptResults
from fennelcove.core.attempt_slots import AttemptSlots
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.client_reports import ClientReports
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.content_insertion import ContentInsertion
from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.draining_servers import DrainingServers
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.core.front_status import StatusReporter
from fennelcove.core.idempotency_store import IdempotencyStore
from fennelcove.core.policy_effects import EffectTargets, PolicyEffects
from fennelcove.core.ports import CorePorts
from fennelcove.core.probe_coordinator import ProbeCoordinator
from fennelcove.core.requests import (
    EventLogger,
    Session,
)
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.server_reports import ServerReports
from fennelcove.core.session_actions import CloseListener, SessionActions
from fennelcove.core.session_adoption import SessionAdoption
from fennelcove.core.session_ids import SessionIds
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.core.session_requests import SessionRequests
from fennelcove.core.session_views import SessionViews
from fennelcove.core.snapshot_manager import SnapshotManager
from fennelcove.decisions.clients.admission import AdmissionController, AdmissionLimits
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.signed_tokens import Mac
from fennelcove.decisions.fleet.recovery_admission import RecoveryAdmission
from fennelcove.decisions.operators.shadow_policy import ShadowedPolicy
from fennelcove.decisions.servers.endpoint_list import EndpointListTracker
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import FrontSettings
from fennelcove.settings.validation import to_policy_settings


class CoreAssembly:
    """The components of a front's core, each constructed with its dependencies.

    Attributes:
        token_keys: Keys that verify clients' access tokens, the newest first.
        requires_token: Whether clients need an access token.
        shadow_policy: The placement policy combined with a shadow policy; None if none is configured.
    """

    def __init__(
        self,
        settings: FrontSettings,
        clock: Clock,
        timers: Timers,
        log_event: EventLogger,
        ports: CorePorts,
        session_ids: SessionIds | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timers = timers
        self.ports = ports
        self.session_ids = session_ids or SessionIds()
        self.rng = Random(settings.seed)
        self.context = CoreContext(clock, timers, log_event, self.rng)
        self.lock = self.context.lock
        self.counts = self.context.counts
        self.catalogue = Catalogue(settings)
        self.token_keys: list[Mac] = []
        self.requires_token = settings.viewers.key_file is not None
        self._build_policy()
        self._build_sessions()
        self._build_servers()
        self._build_migrations()
        self._build_stores()
        self._build_actions()
        self._build_handlers()
        self._build_status()
        self._bind()

    def _build_policy(self) -> None:
        settings, now_us = self.settings, self.clock.now_us()
        self.effects = PolicyEffects(self.context)
        policy_settings = to_policy_settings(settings)
        self.policy = PlacementPolicy(policy_settings, settings.seed, self.effects, now_us)
        self.shadow_policy: ShadowedPolicy | None = None
        if settings.watch is not None:
            shadow_settings = to_policy_settings(settings, settings.watch)
            self.shadow_policy = ShadowedPolicy(
                policy_settings, shadow_settings, settings.seed, self.effects, now_us
            )
            self.policy = self.shadow_policy
        slow_start_us = round(settings.rules.ramp_ms * 1000)
        self.recovery = RecoveryAdmission(now_us, settings.recovery is not None, slow_start_us)

    def _build_sessions(self) -> None:
        context, settings, limits = self.context, self.settings, self.settings.limits
        self.admission_controller = AdmissionController(
            AdmissionLimits(limits.connections, limits.waiting, limits.held, limits.buffered_bytes)
        )
        self.expiry = SessionExpiry(round(limits.silent_ms * 1000))
        self.lifecycle = SessionLifecycle(context, self.policy)
        self.sessions = self.lifecycle.sessions
        self.draining = DrainingServers(context, round(settings.rules.drain_grace_ms * 1000))
        self.commands = CommandDispatcher(context, limits.held, self.ports.servers, self.draining)
        self.probes = ProbeCoordinator(context, self.policy)
        self.seat_leases = SeatLeaseManager(context, self.catalogue, self.lifecycle)
        self.views = SessionViews(self.expiry, self.seat_leases)
        self.notifier = ClientNotifier(
            context,
            self.lifecycle,
            self.expiry,
            self.views,
            max_sessions=settings.websocket.subscriptions,
            requires_token=self.requires_token,
        )
        self.content = ContentInsertion(
            context,
            settings.stitch,
            self.catalogue,
            self.policy,
            self.lifecycle,
            self.commands,
            self.notifier,
        )

    def _build_servers(self) -> None:
        context, lifecycle = self.context, self.lifecycle
        adoption = SessionAdoption(
            context,
            self.policy,
            self.catalogue,
            self.session_ids,
            self.admission_controller,
            lifecycle,
            self.expiry,
            self.commands,
            self.seat_leases,
            self.content,
        )
        self.reports = ServerReports(context, self.policy)
        self.server_registry = ServerRegistry(
            context, self.ports.servers, self.recovery, lifecycle, adoption, self.reports
        )

    def _build_migrations(self) -> None:
        context, settings = self.context, self.settings
        self.retry_storms = RetryStormGuard(
            context,
            settings.storm,
            self.session_ids.key,
            self.catalogue,
            self.policy,
            self.notifier.on_storm_state_changed,
        )
        self.slots = AttemptSlots()
        self.migrations = SessionMigrations(
            context,
            self.ports.migrations,
            settings.stitch.moves_at_once,
            self.draining,
            self.policy,
            self.lifecycle,
            self.commands,
            self.server_registry,
            self.reports,
            self.retry_storms,
            self.slots,
            self.notifier,
        )

    def _build_stores(self) -> None:
        context, policy = self.context, self.policy
        self.endpoint_tracker = EndpointListTracker()
        self.idempotency = IdempotencyStore(context, policy, self.lifecycle, self.recovery)
        self.snapshots = SnapshotManager(
            context,
            policy,
            self.retry_storms.detector,
            self.seat_leases,
            self.idempotency,
            lambda: self.endpoint_tracker.version,
        )
        self.discovery = EndpointDiscovery(
            context,
            self.ports.endpoint_list,
            self.endpoint_tracker,
            policy,
            self.server_registry,
            self.migrations,
            self.snapshots,
        )

    def _build_actions(self) -> None:
        context, lifecycle = self.context, self.lifecycle
        self.admission = Admission(context, self.settings.name, self.admission_controller, self.policy)
        self.admission.add_rule(self.retry_storms.check_request)
        self.actions = SessionActions(
            context,
            self.policy,
            lifecycle,
            self.expiry,
            self.commands,
            self.server_registry,
            self.seat_leases,
            self.notifier,
            self.reports,
            self._close_listeners(),
        )

    def _build_handlers(self) -> None:
        context, lifecycle = self.context, self.lifecycle
        self.requests = SessionRequests(
            context,
            self.catalogue,
            self.policy,
            self.session_ids,
            self.admission,
            lifecycle,
            self.slots,
            self.probes,
            self.commands,
            self.actions,
        )
        self.attempts = AttemptResults(context, lifecycle, self.retry_storms, self.slots)
        self.client_reports = ClientReports(
            context,
            lifecycle,
            self.expiry,
            self.server_registry,
            self.reports,
            self.actions,
            self.views,
        )

    def _build_status(self) -> None:
        self.status_reporter = StatusReporter(
            self.context,
            self.settings.name,
            self.session_ids.boot_id,
            self.admission_controller,
            self.server_registry,
            self.commands,
            self.notifier,
            self.discovery,
            self.retry_storms,
            self.shadow_policy,
        )

    def _close_listeners(self) -> tuple[CloseListener, ...]:
        """Return the listeners for closed sessions, in the order in which they are called."""
        return (
            self.admission.on_session_closed,
            self.notifier.on_session_closed,
            self.idempotency.on_session_closed,
            self.seat_leases.on_session_closed,
            self.lifecycle.remove,
            self._remove_expiry,
            self.migrations.on_session_closed,
            self.content.on_session_closed,
            self.lifecycle.record_close_reason,
            self.server_registry.on_session_closed,
            self.slots.on_session_closed,
        )

    def _remove_expiry(self, session: Session) -> None:
        self.expiry.remove(session.id)

    def _bind(self) -> None:
        """Set the dependencies that are circular and so cannot be passed to the constructors."""
        self.lifecycle.bind(self.actions.handlers)
        self.server_registry.bind_loss_handler(self.migrations)
        self.effects.bind(
            EffectTargets(
                self.policy,
                self.lifecycle,
                self.commands,
                self.probes,
                self.notifier,
                self.migrations,
                self.retry_storms,
                self.slots,
                self.ports.endpoint_list,
            )
        )
