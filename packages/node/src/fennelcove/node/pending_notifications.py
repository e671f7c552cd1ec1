"""Notifications for peers without an open connection, queued for their next one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fennelcove.node.model import ClientLink

NOTIFICATION_TTL_US = 8_000_000  # a notification is queued for so long,
MAX_PENDING_PEERS = 64  # for so many peers,
MAX_PENDING_PER_PEER = 256  # and so many for each


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

    def defer(self, peer: str, data: bytes, now_us: int) -> bool:
        """Queue a message for the peer's next connection.

        Returns:
            False if one was dropped: too many peers have a queue, or too many messages are in this one.
        """
        if peer not in self.by_peer and len(self.by_peer) >= MAX_PENDING_PEERS:
            return False
        queue = self.by_peer.setdefault(peer, deque(maxlen=MAX_PENDING_PER_PEER))
        is_full = len(queue) == MAX_PENDING_PER_PEER
        queue.append(_Notification(now_us, data))
        return not is_full

    def deliver(self, connection: ClientLink) -> None:
        """Send what is queued for this connection's peer; what can't be sent stays for the next one."""
        queue = self.by_peer.get(connection.peer, deque())
        while queue and not connection.has_left() and connection.send(queue[0].data):
            queue.popleft()
        if not queue:
            self.by_peer.pop(connection.peer, None)

    def expire(self, now_us: int) -> None:
        """Drop the notifications that have been queued for too long."""
        for peer, queue in list(self.by_peer.items()):
            while queue and now_us - queue[0].queued_us > NOTIFICATION_TTL_US:
                queue.popleft()
            if not queue:
                del self.by_peer[peer]
