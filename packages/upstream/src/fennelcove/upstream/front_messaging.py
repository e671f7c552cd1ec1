"""Messages between fronts: one datagram each, which may be lost; nothing here waits for a reply."""

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

LOOK_S = 0.25  # how often the listening thread looks whether it should end


class FrontMessaging:
    """Tells the other fronts and hears them: only what comes from a configured address counts."""

    def __init__(
        self,
        addresses: Sequence[str],
        index: int,
        heard: Callable[[PeerMessage], None],
        beaten: Callable[[int, Heartbeat], None] | None = None,
    ) -> None:
        self.addresses = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in addresses)]
        self.indices = {address: i for i, address in enumerate(self.addresses) if i != index}
        self.heard = heard
        self.beaten = beaten  # None: signs of life are not asked for
        self.counted: Callable[[int, LoadSummary], None] | None = None
        self.worded: Callable[[int, HealthReport], None] | None = None
        self.spared: Callable[[int, QuotaRequest | QuotaTransfer], None] | None = None
        self.agreed: Callable[[int, RolloutMessage], None] | None = None
        self.slotted: Callable[[int, bytes], bool] | None = None
        self.gave: Callable[[int, UsageReport], None] | None = None
        self.stopped = False
        self.lost = 0  # not sent, from nobody known, or not understood
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind(self.addresses[index])
        except OSError:
            self.sock.close()
            raise
        self.sock.settimeout(LOOK_S)
        self.thread = threading.Thread(target=self._run, name="fronts")

    def start(self) -> None:
        """Begin to listen."""
        self.thread.start()

    def send_message(self, front: int, said: PeerMessage) -> None:
        """Send it, or lose it: a message that can't leave now is worth nothing later."""
        for part in encode(said):
            self._send(front, part)

    def beat(self, beats: dict[int, Heartbeat]) -> None:
        """Send a sign of life to each of these fronts, or lose it."""
        for front, beat in beats.items():
            self._send(front, messages.encode_heartbeat(beat))

    def summary(self, said: LoadSummary) -> None:
        """Tell all other fronts what this one is asked."""
        raw = messages.encode_load_summary(said)
        for front in self.indices.values():
            self._send(front, raw)

    def spare(self, front: int, said: QuotaRequest | QuotaTransfer) -> None:
        """Ask another front for a part of its budget, or lend of this one's."""
        self._send(front, messages.encode_quota_message(said))

    def agree(self, front: int, said: RolloutMessage) -> None:
        """Tell another front something about who is out."""
        self._send(front, rollout_messages.encode(said))

    def word(self, said: HealthReport) -> None:
        """Tell all other fronts what this one finds of a box."""
        raw = messages.encode_health_report(said)
        for front in self.indices.values():
            self._send(front, raw)

    def slots(self, front: int, raw: bytes) -> None:
        """Tell another front something about slots at boxes."""
        self._send(front, raw)

    def give(self, said: UsageReport) -> None:
        """Tell all other fronts what this one's slots were given to."""
        for raw in usage_messages.encode(said):
            for front in self.indices.values():
                self._send(front, raw)

    def _send(self, front: int, part: bytes) -> None:
        try:
            self.sock.sendto(part, self.addresses[front])
        except (OSError, IndexError):
            self.lost += 1

    def stop(self) -> None:
        """End listening and close."""
        self.stopped = True
        self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        while not self.stopped:
            try:
                raw, address = self.sock.recvfrom(MAX_BYTES + 1)
            except TimeoutError:
                continue
            except OSError:
                self.lost += 1  # a refused datagram of ours comes back as an error of the socket
                continue
            sender = self.indices.get(address)
            if sender is None or not self._take(sender, raw):
                self.lost += 1

    def _take(self, sender: int, raw: bytes) -> bool:
        kind = raw[0] if raw else 0
        if kind == messages.HEARTBEAT and self.beaten is not None:
            beat = messages.decode_heartbeat(raw)
            if beat is not None:
                self.beaten(sender, beat)
            return beat is not None
        if kind == messages.LOAD_SUMMARY and self.counted is not None:
            summary = messages.decode_load_summary(raw)
            if summary is not None:
                self.counted(sender, summary)
            return summary is not None
        if kind in (messages.QUOTA_REQUEST, messages.QUOTA_TRANSFER) and self.spared is not None:
            spared = messages.decode_quota_message(raw)
            if spared is not None:
                self.spared(sender, spared)
            return spared is not None
        if kind in rollout_messages.KINDS and self.agreed is not None:
            agreed = rollout_messages.decode(raw)
            if agreed is not None:
                self.agreed(sender, agreed)
            return agreed is not None
        if kind == messages.HEALTH_REPORT_KIND and self.worded is not None:
            word = messages.decode_health_report(raw)
            if word is not None:
                self.worded(sender, word)
            return word is not None
        if kind in limit_messages.KINDS and self.slotted is not None:
            return self.slotted(sender, raw)
        if kind == usage_messages.USAGE_REPORT and self.gave is not None:
            given = usage_messages.decode(raw)
            if given is not None:
                self.gave(sender, given)
            return given is not None
        said = decode(sender, raw)
        if said is not None:
            self.heard(said)
        return said is not None
