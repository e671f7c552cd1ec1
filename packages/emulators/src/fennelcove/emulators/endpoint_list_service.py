"""An emulated endpoint list service: sends full lists and deltas, and can be made unreachable."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Literal
from urllib.parse import parse_qs

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.server import LoopbackServer, Peer
from fennelcove.http1 import writer
from fennelcove.http1.messages import RequestHead
from fennelcove.wire.endpoint_list import ListedBox, ListMessage
from fennelcove.wire.events import HEARTBEAT, write_event

JSON = ("Content-Type", "application/json")
HEARTBEAT_INTERVAL_S = 0.5
ListingState = Literal["active", "leaving", "left"]


@dataclass(slots=True)
class ListedServer:
    """One server in the list; `started_us` is None if it has been running for a long time."""

    address: str
    zone: str
    kind: str
    cell: int
    weight: float
    state: ListingState = "active"
    started_us: int | None = None


class EmulatedListService:
    """Serves the versions of one list.

    `publish` creates a version; each event stream sends the changes that its client does not have yet.
    """

    def __init__(self, clock: Clock, recorder: Recorder) -> None:
        self.clock = clock
        self.recorder = recorder
        self.servers: dict[str, ListedServer] = {}
        self.versions: list[dict[str, ListedServer]] = [{}]
        self.changed = threading.Condition()
        self.stopped = False
        self.raw_events: list[
            bytes
        ] = []  # event bodies sent unchanged, once per stream, for tests of invalid lists
        self.server = LoopbackServer(self._handle, "lists")
        self.address = self.server.address

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Close all streams and stop listening."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        self.server.stop()

    def publish(self, *servers: ListedServer) -> None:
        """Create a version with these servers added or changed; state "left" is listed a last time."""
        with self.changed:
            for server in servers:
                self.servers[server.address] = server
            self.versions.append({server.address: server for server in servers})
            self.changed.notify_all()

    def restore_first_version(self) -> None:
        """Go back to the first published version and its number, as after a restore from a backup."""
        with self.changed:
            self.versions = self.versions[:2]
            self.servers = dict(self.versions[-1])

    def send_raw(self, body: bytes) -> None:
        """Send these bytes as a list event on every stream."""
        with self.changed:
            self.raw_events.append(body)
            self.changed.notify_all()

    @property
    def version(self) -> int:
        """The number of the latest version."""
        return len(self.versions) - 1

    def _list_entries(self, servers: list[ListedServer]) -> list[ListedBox]:
        now_us = self.clock.now_us()
        return [
            ListedBox(
                address=server.address,
                zone=server.zone,
                kind=server.kind,
                cell=server.cell,
                state=server.state,
                weight=server.weight,
                age_ms=None if server.started_us is None else max(0, now_us - server.started_us) / 1000,
            )
            for server in servers
        ]

    def _full_list(self) -> ListMessage:
        listed = [server for server in self.servers.values() if server.state != "left"]
        return ListMessage(version=self.version, boxes=self._list_entries(listed))

    def _changes_since(self, version: int) -> ListMessage:
        changed: dict[str, ListedServer] = {}
        for servers in self.versions[version + 1 :]:
            changed.update(servers)
        return ListMessage(
            version=self.version, base=version, boxes=self._list_entries(list(changed.values()))
        )

    def _record_sent(self, message: ListMessage) -> None:
        states = {box.address: box.state for box in message.boxes}
        self.recorder.note("told", version=message.version, whole=message.base is None, boxes=states)

    def _handle(self, head: RequestHead, body: bytes, peer: Peer) -> bool:
        path, _, query = head.target.partition("?")
        if path == "/v1/list":
            with self.changed:
                message = self._full_list()
            sent = peer.send(writer.response(200, [JSON], msgspec.json.encode(message)))
            self._record_sent(message)
            return sent
        if path != "/v1/list/stream":
            return peer.send(writer.response(404, []))
        since = parse_qs(query).get("since")
        self._stream(int(since[0]) if since else None, peer)
        return False

    def _stream(self, version: int | None, peer: Peer) -> None:
        if not peer.send(writer.stream_head(200, [("Content-Type", "text/event-stream")])):
            return
        raw_sent = len(self.raw_events)
        while True:
            messages = list[bytes]()
            with self.changed:
                if self.stopped:
                    return
                message = None
                if version is None or version > self.version:
                    message = self._full_list()
                elif version < self.version:
                    message = self._changes_since(version)
                messages, raw_sent = self.raw_events[raw_sent:], len(self.raw_events)
            if message is not None:
                version = message.version
                messages.insert(0, msgspec.json.encode(message))
            events = b"".join(write_event("list", body) for body in messages) or HEARTBEAT
            if not peer.send(writer.chunk(events)):
                return
            if message is not None:
                self._record_sent(message)
            with self.changed:
                if version == self.version and raw_sent == len(self.raw_events) and not self.stopped:
                    self.changed.wait(HEARTBEAT_INTERVAL_S)
