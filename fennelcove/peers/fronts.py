"""Messages between fronts: one datagram each, which may be lost; nothing here waits for a reply."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence

from fennelcove.interface import PeerSays
from fennelcove.messages import MOST_BYTES, pack, unpack

LOOK_S = 0.25  # how often the listening thread looks whether it should end


class FrontSide:
    """Tells the other fronts and hears them: only what comes from a configured address counts."""

    def __init__(self, addresses: Sequence[str], index: int, heard: Callable[[PeerSays], None]) -> None:
        self.addresses = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in addresses)]
        self.indices = {address: i for i, address in enumerate(self.addresses) if i != index}
        self.heard = heard
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

    def tell(self, front: int, said: PeerSays) -> None:
        """Send it, or lose it: a message that can't leave now is worth nothing later."""
        for part in pack(said):
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
                raw, address = self.sock.recvfrom(MOST_BYTES + 1)
            except TimeoutError:
                continue
            except OSError:
                self.lost += 1  # a refused datagram of ours comes back as an error of the socket
                continue
            sender = self.indices.get(address)
            said = unpack(sender, raw) if sender is not None else None
            if said is None:
                self.lost += 1
            else:
                self.heard(said)
