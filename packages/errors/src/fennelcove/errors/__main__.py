"""Writes docs/operate/errors.md to standard output, from the types as they are."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from importlib import import_module
from pathlib import Path

from fennelcove.errors import OperatorError

HEAD = """# Errors and what can be done

Written by `python -m fennelcove.errors` from the types; a test holds it to them. The command line prints what
happened and, on the line below, what can be done with the code in brackets; a log line has `reason`, `advice`
and `code`. A code keeps its meaning over versions.

| code | what happened | what can be done | type |
| --- | --- | --- | --- |
"""
# Whoever calls acts on these; no operator hears of them under their names.
APART = {
    "fennelcove.core.requests.SessionStateError": "a fault of the program, which is logged",
    "fennelcove.ingress.connection.TooSlow": "the connection is answered 408 and closed",
    "fennelcove.fleet.asker._Ended": "one front's part of a command: shown as that front's row of the table",
    "fennelcove.hints.fields.FieldError": "the header field is passed over, as its specification has it",
    "fennelcove.http1.messages.ProtocolError": "a status for the peer, or told under the code of who asked",
    "fennelcove.isup.messages.ProtocolError": "ends the link to the server, which is dialled again",
    "fennelcove.node.setup_request.InvalidRequestError": "answered 451 to its viewer",
    "fennelcove.rtsp.messages.ProtocolError": "answered with its status to its viewer",
    "fennelcove.emulators.disk.PowerCut": "stand-ins only: the test that cuts the power catches it",
    "fennelcove.emulators.clients.Unanswered": "stand-ins only: goes into the recording",
    "fennelcove.state_machine.UnknownTransitionError": "a fault of the program, which is logged",
    "fennelcove.websocket.handshake.Refused": "answered with its status to the client",
    "fennelcove.websocket.terms.Violation": "closes the connection with its close code",
    "fennelcove.wire.events.EventError": "ends its stream, told as `peer-stream-broken`",
}


def operator_errors() -> list[type[OperatorError]]:
    """Every type that derives from `Trouble`, by its code."""
    for name in modules():
        import_module(name)
    # Ours alone: one that a test made and that is not collected yet would stand on the page, or fail it.
    ours = (kind for kind in _below(OperatorError) if kind.__module__.startswith("fennelcove."))
    return sorted(ours, key=lambda kind: kind.code)


def modules() -> Iterator[str]:
    """The modules that speak of this one; read, not imported, since most import what is not needed here."""
    for root in import_module("fennelcove").__path__:
        for path in sorted(Path(root).rglob("*.py")):
            if path.stem != "__main__" and "fennelcove.errors" in path.read_text("utf-8"):
                parts = path.relative_to(Path(root).parent).with_suffix("").parts
                yield ".".join(parts).removesuffix(".__init__")


def _below(kind: type[OperatorError]) -> Iterator[type[OperatorError]]:
    for below in kind.__subclasses__():
        yield below
        yield from _below(below)


def page() -> str:
    """The whole page."""
    rows = []
    for kind in operator_errors():
        happened = (kind.__doc__ or "").strip().splitlines()[0]
        rows.append(f"| `{kind.code}` | {happened} | {kind.advice} | `{kind.__module__}.{kind.__name__}` |\n")
    apart = [f"| `{name}` | {why} |\n" for name, why in APART.items()]
    tail = "\n## Errors that no operator hears of\n\n| type | who acts on it |\n| --- | --- |\n"
    return HEAD + "".join(rows) + tail + "".join(apart)


if __name__ == "__main__":
    sys.stdout.write(page())
