"""Messages between fronts, in UDP datagrams that may be lost; no call waits for a reply."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence

from fennelcove import limit_messages, messages, rollout_messages, usage_messages
from fennelcove.decisions.fleet.fleet_load import LoadSummary
from fennelcove.decisions.fleet.health_checks import HealthReport
from fennelcove.decisions.fleet.membership import Heartbeat
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer
from fennelcove.fair_queueing.usage_gossip import UsageReport
from fennelcove.interface import PeerMessage
from fennelcove.messages import MAX_BYTES, decode, encode
from fennelcove.rollouts.messages import RolloutMessage

POLL_INTERVAL_S = 0.25  # how often the receiving thread checks for a shutdown


class FrontMessaging:
    """Sends messages to the other fronts and dispatches received ones.

    Datagrams from addresses that are not configured are dropped.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        index: int,
        on_message: Callable[[PeerMessage], None],
        on_heartbeat: Callable[[int, Heartbeat], None] | None = None,
    ) -> None:
        self.addresses = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in addresses)]
        self.indices = {address: i for i, address in enumerate(self.addresses) if i != index}
        self.on_message = on_message
        self.on_heartbeat = on_heartbeat  # None: heartbeats are not used
        self.on_load_summary: Callable[[int, LoadSummary], None] | None = None
        self.on_health_report: Callable[[int, HealthReport], None] | None = None
        self.on_quota_message: Callable[[int, QuotaRequest | QuotaTransfer], None] | None = None
        self.on_rollout_message: Callable[[int, RolloutMessage], None] | None = None
        self.on_limit_message: Callable[[int, bytes], bool] | None = None
        self.on_usage_report: Callable[[int, UsageReport], None] | None = None
        self.is_stopped = False
        self.lost_count = 0  # not sent, from an unknown address, or malformed
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(self.addresses[index])
        except OSError:
            self.sock.close()
            raise
        self.sock.settimeout(POLL_INTERVAL_S)
        self.thread = threading.Thread(target=self._run, name="fronts")

    def start(self) -> None:
        """Start the receiving thread."""
        self.thread.start()

    def send_message(self, front: int, message: PeerMessage) -> None:
        """Send a message to one front. It is dropped if it can't be sent now: later it is out of date."""
        for datagram in encode(message):
            self._send(front, datagram)

    def send_heartbeats(self, heartbeats: dict[int, Heartbeat]) -> None:
        """Send a heartbeat to each of these fronts."""
        for front, heartbeat in heartbeats.items():
            self._send(front, messages.encode_heartbeat(heartbeat))

    def send_load_summary(self, message: LoadSummary) -> None:
        """Send this front's demand to all other fronts."""
        datagram = messages.encode_load_summary(message)
        for front in self.indices.values():
            self._send(front, datagram)

    def send_quota_message(self, front: int, message: QuotaRequest | QuotaTransfer) -> None:
        """Request quota from another front, or lend it a part of this front's."""
        self._send(front, messages.encode_quota_message(message))

    def send_rollout_message(self, front: int, message: RolloutMessage) -> None:
        """Send another front a message of the rollout protocol."""
        self._send(front, rollout_messages.encode(message))

    def send_health_report(self, message: HealthReport) -> None:
        """Send this front's observation of a server to all other fronts."""
        datagram = messages.encode_health_report(message)
        for front in self.indices.values():
            self._send(front, datagram)

    def send_limit_message(self, front: int, datagram: bytes) -> None:
        """Send another front an encoded message about slots at servers."""
        self._send(front, datagram)

    def send_usage_report(self, message: UsageReport) -> None:
        """Send all other fronts the tenants that used this front's slots."""
        for datagram in usage_messages.encode(message):
            for front in self.indices.values():
                self._send(front, datagram)

    def _send(self, front: int, datagram: bytes) -> None:
        try:
            self.sock.sendto(datagram, self.addresses[front])
        except (OSError, IndexError):
            self.lost_count += 1

    def stop(self) -> None:
        """End the receiving thread and close the socket."""
        self.is_stopped = True
        self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        while not self.is_stopped:
            try:
                datagram, address = self.sock.recvfrom(MAX_BYTES + 1)
            except TimeoutError:
                continue
            except OSError:
                self.lost_count += 1  # the socket reports here that a datagram sent earlier was refused
                continue
            sender = self.indices.get(address)
            if sender is None or not self._deliver(sender, datagram):
                self.lost_count += 1

    def _deliver(self, sender: int, datagram: bytes) -> bool:
        message_kind = datagram[0] if datagram else 0
        if message_kind == messages.HEARTBEAT and self.on_heartbeat is not None:
            heartbeat = messages.decode_heartbeat(datagram)
            if heartbeat is not None:
                self.on_heartbeat(sender, heartbeat)
            return heartbeat is not None
        if message_kind == messages.LOAD_SUMMARY and self.on_load_summary is not None:
            summary = messages.decode_load_summary(datagram)
            if summary is not None:
                self.on_load_summary(sender, summary)
            return summary is not None
        if (
            message_kind in (messages.QUOTA_REQUEST, messages.QUOTA_TRANSFER)
            and self.on_quota_message is not None
        ):
            quota_message = messages.decode_quota_message(datagram)
            if quota_message is not None:
                self.on_quota_message(sender, quota_message)
            return quota_message is not None
        if message_kind in rollout_messages.KINDS and self.on_rollout_message is not None:
            rollout_message = rollout_messages.decode(datagram)
            if rollout_message is not None:
                self.on_rollout_message(sender, rollout_message)
            return rollout_message is not None
        if message_kind == messages.HEALTH_REPORT_KIND and self.on_health_report is not None:
            report = messages.decode_health_report(datagram)
            if report is not None:
                self.on_health_report(sender, report)
            return report is not None
        if message_kind in limit_messages.KINDS and self.on_limit_message is not None:
            return self.on_limit_message(sender, datagram)
        if message_kind == usage_messages.USAGE_REPORT and self.on_usage_report is not None:
            usage_report = usage_messages.decode(datagram)
            if usage_report is not None:
                self.on_usage_report(sender, usage_report)
            return usage_report is not None
        message = decode(sender, datagram)
        if message is not None:
            self.on_message(message)
        return message is not None
