"""Notifications for peers without an open connection, queued for their next one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fennelcove.node.model import ClientLink

NOTIFICATION_TTL_US = 8_000_000
MAX_NOTIFICATIONS = 10_000  # for all peers together: as many as sessions


@dataclass(frozen=True, slots=True, eq=False)
class _Notification:
    """One complete message, and the time at which it was queued."""

    queued_us: int
    data: bytes


class PendingNotifications:
    """The queues of all peers; guarded by the session manager's lock.

    Without them, the release of an established session would be lost if its client has no open connection, as
    after a reset, and the client would wait indefinitely.
    """

    def __init__(self) -> None:
        self.by_peer: dict[str, deque[_Notification]] = {}
        self.count = 0  # of notifications in all queues

    def defer(self, peer: str, data: bytes, now_us: int) -> bool:
        """Queue a message for the peer's next connection.

        Returns:
            False if it was dropped because the limit was reached.
        """
        if self.count >= MAX_NOTIFICATIONS:
            return False
        self.by_peer.setdefault(peer, deque()).append(_Notification(now_us, data))
        self.count += 1
        return True

    def deliver(self, connection: ClientLink) -> None:
        """Send what is queued for this connection's peer; what can't be sent stays queued."""
        queue = self.by_peer.get(connection.peer, deque())
        while queue and not connection.has_left() and connection.send(queue[0].data):
            self._drop_first(queue)
        if not queue:
            self.by_peer.pop(connection.peer, None)

    def expire(self, now_us: int) -> None:
        """Drop the notifications whose time to live has passed."""
        for peer, queue in list(self.by_peer.items()):
            while queue and now_us - queue[0].queued_us > NOTIFICATION_TTL_US:
                self._drop_first(queue)
            if not queue:
                del self.by_peer[peer]

    def _drop_first(self, queue: deque[_Notification]) -> None:
        queue.popleft()
        self.count -= 1
