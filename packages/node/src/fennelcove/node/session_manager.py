"""The front node behind its one lock: the placement policy, and the sessions, servers and connections.

Nothing here blocks: a send is accepted by the kernel at once or fails, and the threads of connections block
without the lock. Every method is called with the lock held, except `run_locked`, which acquires it.
"""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.config import Config
from fennelcove.node.deadlines import Deadlines
from fennelcove.node.descriptor_budget import DescriptorBudget, effective_limit
from fennelcove.node.discovery_updates import DiscoveryUpdateHandler
from fennelcove.node.handovers import HandoverManager
from fennelcove.node.log import EventLogger
from fennelcove.node.node_context import NodeContext
from fennelcove.node.node_lock import NodeLock
from fennelcove.node.policy_effects import PolicyEffects
from fennelcove.node.policy_notifier import PolicyNotifier
from fennelcove.node.server_messages import ServerMessageHandler
from fennelcove.node.server_monitor import ServerMonitor
from fennelcove.node.server_pool import ServerPool
from fennelcove.node.session_admission import SessionAdmission
from fennelcove.node.session_guard import SessionGuard
from fennelcove.node.session_messenger import SessionMessenger
from fennelcove.placement import PlacementPolicy


class SessionManager:
    """One node, composed of its components.

    Connections, the discovery client and the program depend on this class alone. The entry points that they
    call are methods of the components, bound as attributes once, so that an event costs no extra call.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock,
        timers: Timers,
        logger: EventLogger,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        """Create a node without servers; `descriptors` defaults to a budget by the configured limit."""
        self.config = config
        self.clock = clock
        self.timers = timers
        self.logger = logger
        self.descriptors = descriptors or DescriptorBudget(effective_limit(config.socket_limit))
        self.is_shutting_down = False
        self.request_full_list: Callable[[], None] = lambda: None  # requests a full update of the server list
        self.context = NodeContext(config, clock, timers, logger, self.descriptors)
        self.sessions = self.context.sessions
        self.abandoned_ids = self.context.abandoned_ids
        self.servers = self.context.servers
        self.connections = self.context.connections
        self.metrics = self.context.metrics
        self.now_us = self.context.now_us
        self.lock = NodeLock(clock, self.metrics)
        self.policy = PlacementPolicy(config.settings, config.seed, PolicyEffects(self), self.now_us())
        self._create_parts()
        self._bind_entry_points()

    @property
    def server_connection_count(self) -> int:
        """Connections to servers that are not closed."""
        return self.pool.connection_count

    @property
    def max_server_connections(self) -> int:
        """The maximum number of connections to servers."""
        return self.pool.max_connections

    def run_locked(self, call: Callable[[], None]) -> None:
        """Make a call with the lock held, as timers do."""
        with self.lock:
            call()

    def run_maintenance(self) -> None:
        """Expire queued messages, check handovers, deadlines and servers, and report metrics."""
        now_us = self.now_us()
        self.messages.expire(now_us)
        self.connections.expire(now_us)
        self.abandoned_ids.expire(now_us)
        self.handovers.resolve_waiting()
        self.admission.answer_overdue()  # in case no timer could be set for the next deadline
        self.monitor.check_servers(now_us)
        self.metrics.report()

    def _create_parts(self) -> None:
        context = self.context
        self.deadlines = Deadlines(self.clock, self.timers, self._on_deadline_timer)
        self.notifier = PolicyNotifier(context, self.policy, self)
        self.guard = SessionGuard(context, self.policy)
        self.messenger = SessionMessenger(context, self.deadlines, self.guard)
        self.admission = SessionAdmission(context, self.deadlines, self.guard, self)
        self.pool = ServerPool(context, self)
        self.attempts = AttemptDispatcher(context, self.pool, self, self.run_locked)
        self.messages = ServerMessageHandler(context, self.attempts, self)
        self.monitor = ServerMonitor(context, self.policy, self.pool, self.attempts)
        self.handovers = HandoverManager(context, self.pool, self.monitor, self.attempts, self.messages, self)
        self.updates = DiscoveryUpdateHandler(context, self.pool, self.monitor, self.handovers, self)

    def _bind_entry_points(self) -> None:
        # Called by session transitions (`SessionActions`).
        self.notify_policy = self.notifier.notify
        self.dispatch_attempt = self.attempts.dispatch
        self.answer_setup = self.messenger.answer_setup
        self.send_to_client = self.messenger.send_to_client
        self.send_to_server = self.messenger.send_to_server
        self.drop_description = self.messenger.drop_description
        self.remember_abandoned = self.messenger.remember_abandoned
        self.forget_session = self.messenger.forget_session
        # Called by connections from clients (`client_connection.ClientSessions`).
        self.deliver_pending = self.connections.deliver
        self.may_hold_sessions = self.connections.may_hold_sessions
        self.admit = self.admission.admit
        self.has_capacity_for = self.admission.has_capacity_for
        self.take_over = self.handovers.take_over
        # Called by connections to servers (`server_connection.ConnectionOwner`).
        self.supervise = self.context.server_table.supervise
        self.queue_message = self.context.server_table.queue_message
        self.on_server_message = self.messages.on_message
        self.on_attempt_completed = self.attempts.on_completed
        self.accepts_attempts = self.monitor.accepts_attempts
        self.is_still_wanted = self.attempts.is_wanted
        self.on_dial_failed = self.monitor.on_dial_failed
        self.may_stay_overdue = self.pool.may_stay_overdue
        # Called by the discovery client and the program.
        self.on_discovery_event = self.updates.on_event
        self.on_discovery_events = self.updates.on_events
        self.shut_down = self.admission.shut_down
        self.close_idle_connection = self.pool.close_idle
        self.on_attempt_timeout = self.attempts.on_timeout

    def _on_deadline_timer(self) -> None:
        self.run_locked(self.admission.answer_overdue)
