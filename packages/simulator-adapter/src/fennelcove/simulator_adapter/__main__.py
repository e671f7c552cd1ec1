"""Runs the adapter: python -m fennelcove.simulator_adapter."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from fennelcove.interface import Event, Handover, ListEntry, ListMode, ListUpdate, PeerMessage, Settings
from fennelcove.messages import encode
from fennelcove.placement import PlacementPolicy
from fennelcove.simulator_adapter import codec
from fennelcove.simulator_adapter.codec import Fields, WireError

DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "note_from": codec.peer_says,
    "established": codec.started,
    "cancelled_by_client": codec.client_gone,
    "fired": codec.timer_fired,
}
# These need the settings to tell what is well formed.
CHECKED: dict[str, Callable[[Fields, Settings], Event | None]] = {
    "order": codec.request,
    "existing": codec.handover,
    "interim": codec.note,
}
# These need the names of a report's values.
REPORTED: dict[str, Callable[[Fields, tuple[str, ...]], Event]] = {
    "report_back": codec.attempt_completed,
    "probe_result": codec.probed,
}


class Lines:
    """Collects one front's effects as lines of the reply."""

    def __init__(self, front: int, out: list[str]) -> None:
        self.front = front
        self.out = out
        self.report_fields: tuple[str, ...] = ()

    def start_attempt(self, id: str, server: str, allow_us: int) -> None:
        self.out.append(
            f"call_out Front={self.front} Job={id} Server={server} AllowForMs={allow_us / 1000}\n"
        )

    def set_rung(self, id: str, rung: int) -> None:
        self.out.append(f"rate Front={self.front} Job={id} Rung={rung}\n")

    def reject(self, id: str, wait_us: int) -> None:
        self.out.append(f"deny Front={self.front} Job={id} WaitMs={wait_us / 1000}\n")

    def fail(self, id: str) -> None:
        self.out.append(f"give_up Front={self.front} Job={id}\n")

    def migrate(self, id: str) -> None:
        self.out.append(f"migrate Front={self.front} Job={id}\n")

    def probe(self, server: str) -> None:
        self.out.append(f"inspect Front={self.front} Server={server}\n")

    def send_peer_message(self, front: int, said: PeerMessage) -> None:
        for part in encode(said):
            self.out.append(f"announce Front={self.front} Target={front} Msg={part.hex()}\n")

    def set_timer(self, name: int, delay_us: int) -> None:
        self.out.append(f"after Front={self.front} SleepForMs={delay_us / 1000} Name={name}\n")

    def watch_list(self) -> None:
        self.out.append(f"watch Front={self.front} Active=1\n")

    def fetch_list(self) -> None:
        self.out.append(f"list_all Front={self.front}\n")


class Host:
    """Deals each event to its front and collects what the fronts ask for."""

    def __init__(self) -> None:
        self.out: list[str] = []
        self.fronts: dict[int, tuple[PlacementPolicy, Lines]] = {}
        self.lists: dict[int, tuple[ListEntry, ...]] = {}
        self.filling: tuple[int, int, list[ListEntry]] | None = None
        self.now_us: int | None = None

    def line(self, line: str) -> bool:
        """Take one line; true when a reply is due."""
        name, fields = codec.split(line)
        if self.filling is not None:
            self.fill(name, fields)
        elif name == "turn":
            if self.now_us is not None:
                raise WireError("a turn inside a turn")
            self.now_us = codec.micros(fields, "WallMs")
        elif self.now_us is None:
            raise WireError(f"message {name!r} outside a turn")
        elif name == "commit":
            self.now_us = None
            return True
        elif name == "pool":
            size = codec.whole(fields, "RowsIn")
            self.filling = (codec.whole(fields, "Buffer"), size, [])
            self.close_list()
        else:
            self.event(name, fields, self.now_us)
        return False

    def fill(self, name: str, fields: Fields) -> None:
        if name != "entry":
            raise WireError(f"message {name!r} where an entry was due")
        assert self.filling is not None
        self.filling[2].append(codec.entry(fields))
        self.close_list()

    def close_list(self) -> None:
        assert self.filling is not None
        buffer, size, entries = self.filling
        if len(entries) >= size:
            self.lists[buffer] = tuple(entries)
            self.filling = None

    def event(self, name: str, fields: Fields, now_us: int) -> None:
        index = codec.whole(fields, "Front")
        if name == "up":
            settings, report_fields = codec.facts(fields)
            lines = Lines(index, self.out)
            lines.report_fields = report_fields
            self.fronts[index] = (
                PlacementPolicy(settings, codec.whole(fields, "Entropy"), lines, now_us),
                lines,
            )
            return
        if name == "crash_now":
            self.fronts.pop(index, None)
            return
        event: Event | None = None
        if name in DECODERS:
            event = DECODERS[name](fields)
        elif name == "directory_update":
            event = self.list_update(fields)
        elif name not in CHECKED and name not in REPORTED:
            raise WireError(f"unknown message {name!r}")
        if index not in self.fronts:
            raise WireError(f"found no running front: {index}", "field Front")
        front, lines = self.fronts[index]
        if name in REPORTED:
            event = REPORTED[name](fields, lines.report_fields)
        elif name in CHECKED:
            event = CHECKED[name](fields, front.settings)
            if isinstance(event, Handover) and event.server not in front.servers:
                raise WireError(f"found a server on no list of this front: {event.server!r}", "field Server")
        if event is not None:
            front.handle(event, now_us)

    def list_update(self, fields: Fields) -> ListUpdate:
        mode = codec.choice(fields, "Mode", ListMode)
        codec.whole(fields, "Epoch")
        if mode is ListMode.FAILED:
            return ListUpdate(mode, ())
        buffer = codec.whole(fields, "Buffer")
        if buffer not in self.lists:
            raise WireError(f"found no list: {buffer}", "field Buffer")
        return ListUpdate(mode, self.lists[buffer])

    def reply(self) -> str:
        self.out.append("done\n")
        reply = "".join(self.out)
        self.out.clear()
        return reply


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Serve until the input ends; the exit status."""
    host = Host()
    count = 0
    try:
        for raw in source:
            count += 1
            line = raw.rstrip("\n")
            if not line:
                continue
            if host.line(line):
                sink.write(host.reply())
                sink.flush()
    except WireError as error:
        print(f"fennelcove: line {count}: {error.lines()}", file=errors)
        return 1
    except UnicodeDecodeError:
        print(f"fennelcove: line {count + 1}: text is not UTF-8", file=errors)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
