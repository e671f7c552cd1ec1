"""The status of a front, for operators."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import CoreContext
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.decisions.clients.admission import AdmissionController
from fennelcove.decisions.operators.shadow_policy import ShadowedPolicy

StatusSection = Callable[[], object]
"""Returns a section of the status, ready to be encoded as JSON."""


@dataclass(frozen=True, slots=True)
class FrontStatus:
    """The status of a front.

    Attributes:
        boot_id: The id of this incarnation.
        counts: Event counters by name.
        shadow_decisions: Counts of the shadow policy's decisions; None without a shadow policy.
        sections: The sections of optional features, by name.
    """

    front: str
    boot_id: str
    admission_state: str
    connection_count: int
    waiting_count: int
    session_count: int
    active_server_count: int
    queued_command_count: int
    websocket_count: int
    list_version: int | None
    list_age_ms: float | None
    retry_storm: dict[str, object]
    counts: dict[str, int]
    shadow_decisions: dict[str, int] | None
    sections: dict[str, object]

    def to_json_fields(self) -> dict[str, object]:
        """Return the status with the field names and the field order of its JSON."""
        return {
            "front": self.front,
            "boot": self.boot_id,
            "phase": self.admission_state,
            "connections": self.connection_count,
            "waiting": self.waiting_count,
            "held": self.session_count,
            "boxes_playing": self.active_server_count,
            "orders_waiting": self.queued_command_count,
            "sockets": self.websocket_count,
            "list_version": self.list_version,
            "list_age_ms": self.list_age_ms,
            "storm": self.retry_storm,
            "counts": self.counts,
            "watch": self.shadow_decisions,
            **self.sections,
        }


class StatusReporter:
    """Collects the status from the core's components and from optional features."""

    def __init__(
        self,
        context: CoreContext,
        front_name: str,
        boot_id: str,
        admission_controller: AdmissionController,
        server_registry: ServerRegistry,
        commands: CommandDispatcher,
        notifier: ClientNotifier,
        discovery: EndpointDiscovery,
        retry_storms: RetryStormGuard,
        shadow_policy: ShadowedPolicy | None,
    ) -> None:
        self.context = context
        self.front_name = front_name
        self.boot_id = boot_id
        self.admission_controller = admission_controller
        self.server_registry = server_registry
        self.commands = commands
        self.notifier = notifier
        self.discovery = discovery
        self.retry_storms = retry_storms
        self.shadow_policy = shadow_policy
        self._sections: dict[str, StatusSection] = {}

    def add_section(self, name: str, section: StatusSection) -> None:
        """Append a section with this name."""
        self._sections[name] = section

    def collect(self) -> FrontStatus:
        """Return the current status."""
        with self.context.lock:
            shadow_policy = self.shadow_policy
            return FrontStatus(
                front=self.front_name,
                boot_id=self.boot_id,
                admission_state=self.admission_controller.state.name.lower(),
                connection_count=self.admission_controller.connections,
                waiting_count=self.admission_controller.pending_requests,
                session_count=self.admission_controller.sessions,
                active_server_count=self.server_registry.active_count(),
                queued_command_count=self.commands.queue.count,
                websocket_count=len(self.notifier.mailboxes),
                list_version=self.discovery.version,
                list_age_ms=self.discovery.age_ms(),
                retry_storm=self.retry_storms.status(),
                counts=dict(self.context.counts),
                shadow_decisions=shadow_policy.counts_by_kind() if shadow_policy is not None else None,
                sections={name: section() for name, section in self._sections.items()},
            )
