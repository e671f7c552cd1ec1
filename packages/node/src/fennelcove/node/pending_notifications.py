"""Notifications for peers without an open connection, queued for their next one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fennelcove.node.model import ClientLink

NOTIFICATION_TTL_US = 8_000_000  # a notification is queued for so long,
MAX_NOTIFICATIONS = 10_000  # and so many for all peers: as many as sessions


@dataclass(frozen=True, slots=True, eq=False)
class _Notification:
    """One whole message, and the time at which it was queued."""

    queued_us: int
    data: bytes


class PendingNotifications:
    """The queues of all peers. The session manager's lock guards it.

    When no connection was open, as after a reset, the end of an established session reached nobody, and its
    client waited for good.
    """

    def __init__(self) -> None:
        self.by_peer: dict[str, deque[_Notification]] = {}
        self.count = 0  # of all queues

    def defer(self, peer: str, data: bytes, now_us: int) -> bool:
        """Queue a message for the peer's next connection.

        Returns:
            False if it was dropped, because too many are queued.
        """
        if self.count >= MAX_NOTIFICATIONS:
            return False
        self.by_peer.setdefault(peer, deque()).append(_Notification(now_us, data))
        self.count += 1
        return True

    def deliver(self, connection: ClientLink) -> None:
        """Send what is queued for this connection's peer; what can't be sent stays for the next one."""
        queue = self.by_peer.get(connection.peer, deque())
        while queue and not connection.has_left() and connection.send(queue[0].data):
            self._drop_first(queue)
        if not queue:
            self.by_peer.pop(connection.peer, None)

    def expire(self, now_us: int) -> None:
        """Drop the notifications that have been queued for too long."""
        for peer, queue in list(self.by_peer.items()):
            while queue and now_us - queue[0].queued_us > NOTIFICATION_TTL_US:
                self._drop_first(queue)
            if not queue:
                del self.by_peer[peer]

    def _drop_first(self, queue: deque[_Notification]) -> None:
        queue.popleft()
        self.count -= 1
