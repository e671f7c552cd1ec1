"""What the core knows of one server."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.core.requests import Session
from fennelcove.decisions.servers.event_stream import StreamLifecycle
from fennelcove.decisions.servers.load_signals import DeliveryMonitor


@dataclass(slots=True, eq=False)
class ServerRecord:
    """A server at which sessions play, or may play.

    Attributes:
        generation: tells events of its present stream from those of earlier ones.
        idle_count: how often it became idle; tells the timer of one idle period from others.
        is_blamed: whether its clients report that it delivers less than their rates.
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
        """A session that plays here; reports about the server reach the policy by it."""
        return next(iter(self.sessions.values()), None)
