"""Runs placement policies against the simulator, on standard input and output.

Start it with `python -m fennelcove.simulator_adapter`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

from fennelcove.interface import Event, Handover, ListEntry, ListMode, ListUpdate, PeerMessage, Settings
from fennelcove.messages import encode
from fennelcove.placement import PlacementPolicy
from fennelcove.simulator_adapter import codec
from fennelcove.simulator_adapter.codec import Fields, WireError

# Decoders of messages that need no settings.
DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "note_from": codec.peer_message,
    "established": codec.session_started,
    "cancelled_by_client": codec.client_gone,
    "fired": codec.timer_fired,
}
# Decoders of messages that are checked against the settings.
SETTINGS_DECODERS: dict[str, Callable[[Fields, Settings], Event | None]] = {
    "order": codec.request,
    "existing": codec.handover,
    "interim": codec.session_report,
}
# Decoders of messages with a load report, whose values are named by the settings.
REPORT_DECODERS: dict[str, Callable[[Fields, tuple[str, ...]], Event]] = {
    "report_back": codec.attempt_completed,
    "probe_result": codec.probe_completed,
}


class EffectWriter:
    """Collects the effects of one front as lines of the reply."""

    def __init__(self, front: int, reply_lines: list[str]) -> None:
        self.front = front
        self.reply_lines = reply_lines

    def _write(self, message: str, fields: str) -> None:
        self.reply_lines.append(f"{message} Front={self.front} {fields}\n")

    def start_attempt(self, id: str, server: str, timeout_us: int) -> None:
        """Send an attempt."""
        self._write("call_out", f"Job={id} Server={server} AllowForMs={timeout_us / 1000}")

    def set_rung(self, id: str, rung: int) -> None:
        """Set a session's rung."""
        self._write("rate", f"Job={id} Rung={rung}")

    def reject(self, id: str, retry_after_us: int) -> None:
        """Reject a session."""
        self._write("deny", f"Job={id} WaitMs={retry_after_us / 1000}")

    def fail(self, id: str) -> None:
        """Fail a session."""
        self._write("give_up", f"Job={id}")

    def migrate(self, id: str) -> None:
        """Request the migration of a session."""
        self._write("migrate", f"Job={id}")

    def probe(self, server: str) -> None:
        """Send a probe to a server."""
        self._write("inspect", f"Server={server}")

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Send a message to another front, in as many parts as its size requires."""
        for part in encode(message):
            self._write("announce", f"Target={front} Msg={part.hex()}")

    def set_timer(self, name: int, delay_us: int) -> None:
        """Set a timer."""
        self._write("after", f"SleepForMs={delay_us / 1000} Name={name}")

    def watch_list(self) -> None:
        """Subscribe to the server list."""
        self._write("watch", "Active=1")

    def fetch_list(self) -> None:
        """Request a full server list."""
        self.reply_lines.append(f"list_all Front={self.front}\n")


@dataclass(frozen=True, slots=True)
class RunningFront:
    """A front that the simulator has started."""

    policy: PlacementPolicy
    report_fields: tuple[str, ...]  # names of the values in a load report, in the order of the protocol


@dataclass(frozen=True, slots=True)
class PartialList:
    """A server list whose entries have not all been received."""

    buffer: int
    size: int
    entries: list[ListEntry]


class Host:
    """Passes each event to its front, and collects the effects of all fronts."""

    def __init__(self) -> None:
        self._reply_lines: list[str] = []
        self._fronts: dict[int, RunningFront] = {}
        self._lists: dict[int, tuple[ListEntry, ...]] = {}
        self._partial_list: PartialList | None = None
        self._now_us: int | None = None  # time of the turn in progress

    def receive_line(self, line: str) -> bool:
        """Handle one line.

        Returns:
            Whether a reply is due.

        Raises:
            WireError: the line is malformed, or not expected here.
        """
        name, fields = codec.split_line(line)
        if self._partial_list is not None:
            self._add_entry(self._partial_list, name, fields)
        elif name == "turn":
            if self._now_us is not None:
                raise WireError("turn message before the commit of the previous turn")
            self._now_us = codec.microseconds(fields, "WallMs")
        elif self._now_us is None:
            raise WireError(f"message {name!r} outside a turn")
        elif name == "commit":
            self._now_us = None
            return True
        elif name == "pool":
            size = codec.integer(fields, "RowsIn")
            self._partial_list = PartialList(codec.integer(fields, "Buffer"), size, [])
            self._store_complete_list(self._partial_list)
        else:
            self._on_front_message(name, fields, self._now_us)
        return False

    def take_reply(self) -> str:
        """The reply to the turn that has ended; a second call returns no effects."""
        self._reply_lines.append("done\n")
        reply = "".join(self._reply_lines)
        self._reply_lines.clear()
        return reply

    def _add_entry(self, partial: PartialList, name: str, fields: Fields) -> None:
        if name != "entry":
            raise WireError(f"message {name!r} instead of an entry")
        partial.entries.append(codec.list_entry(fields))
        self._store_complete_list(partial)

    def _store_complete_list(self, partial: PartialList) -> None:
        if len(partial.entries) >= partial.size:
            self._lists[partial.buffer] = tuple(partial.entries)
            self._partial_list = None

    def _on_front_message(self, name: str, fields: Fields, now_us: int) -> None:
        index = codec.integer(fields, "Front")
        if name == "up":
            self._start_front(index, fields, now_us)
        elif name == "crash_now":
            self._fronts.pop(index, None)
        else:
            event = self._decode(name, fields, index)
            if event is not None:
                self._fronts[index].policy.handle(event, now_us)

    def _start_front(self, index: int, fields: Fields, now_us: int) -> None:
        settings, report_fields = codec.read_settings(fields)
        writer = EffectWriter(index, self._reply_lines)
        policy = PlacementPolicy(settings, codec.integer(fields, "Entropy"), writer, now_us)
        self._fronts[index] = RunningFront(policy, report_fields)

    def _decode(self, name: str, fields: Fields, index: int) -> Event | None:
        """The event of a message; None for one that the policy does not use."""
        event: Event | None = None
        if name in DECODERS:
            event = DECODERS[name](fields)
        elif name == "directory_update":
            event = self._list_update(fields)
        elif name not in SETTINGS_DECODERS and name not in REPORT_DECODERS:
            raise WireError(f"unknown message {name!r}")
        if index not in self._fronts:
            raise WireError(f"front is not running: {index}", "field Front")
        front = self._fronts[index]
        if name in REPORT_DECODERS:
            return REPORT_DECODERS[name](fields, front.report_fields)
        if name in SETTINGS_DECODERS:
            event = SETTINGS_DECODERS[name](fields, front.policy.settings)
        if isinstance(event, Handover) and event.server not in front.policy.servers:
            raise WireError(f"server is on no list of this front: {event.server!r}", "field Server")
        return event

    def _list_update(self, fields: Fields) -> ListUpdate:
        mode = codec.choice(fields, "Mode", ListMode)
        codec.integer(fields, "Epoch")  # not used, but must be valid
        if mode is ListMode.FAILED:
            return ListUpdate(mode, ())
        buffer = codec.integer(fields, "Buffer")
        if buffer not in self._lists:
            raise WireError(f"no list in this buffer: {buffer}", "field Buffer")
        return ListUpdate(mode, self._lists[buffer])


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Handle lines until the input ends.

    Returns:
        The exit status: 1 if a line is invalid, else 0.
    """
    host = Host()
    line_count = 0
    try:
        for raw in source:
            line_count += 1
            line = raw.rstrip("\n")
            if line and host.receive_line(line):
                sink.write(host.take_reply())
                sink.flush()
    except WireError as error:
        print(f"fennelcove: line {line_count}: {error.lines()}", file=errors)
        return 1
    except UnicodeDecodeError:
        print(f"fennelcove: line {line_count + 1}: input is not UTF-8", file=errors)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
