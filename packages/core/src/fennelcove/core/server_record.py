"""The core's record of a server."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.core.requests import Session
from fennelcove.decisions.servers.event_stream import StreamLifecycle
from fennelcove.decisions.servers.load_signals import DeliveryMonitor


@dataclass(slots=True, eq=False)
class ServerRecord:
    """A server that plays sessions, or may play some.

    Attributes:
        generation: Distinguishes events of the current stream from those of earlier streams.
        stream_opened_us: When the current stream was opened.
        idle_count: How often it became idle; distinguishes the timers of idle periods.
        is_blamed: Whether its clients report that it delivers less than the rates of their sessions.
    """

    address: str
    sessions: dict[str, Session] = field(default_factory=dict)
    stream: StreamLifecycle = field(default_factory=StreamLifecycle)
    delivery: DeliveryMonitor = field(default_factory=DeliveryMonitor)
    generation: int = 0
    stream_opened_us: int = 0
    idle_count: int = 0
    is_blamed: bool = False

    def any_session(self) -> Session | None:
        """Return any session that plays here, or None; reports on the server need one to reach the policy."""
        return next(iter(self.sessions.values()), None)
