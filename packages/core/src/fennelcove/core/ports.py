"""Interfaces through which the core sends commands to the network code; no call may block."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from fennelcove.core.requests import SendAttempt


class ServerGateway(Protocol):
    """Connections to media servers."""

    def open_stream(self, server: str, generation: int) -> None:
        """Open the server's event stream; its events are reported with this generation."""

    def close_stream(self, server: str) -> None:
        """Close the server's event stream, if one is open."""

    def on_command_queued(self) -> None:
        """Handle that the command queue may have a command to send."""


class EndpointListSource(Protocol):
    """Connection to the service that lists the servers."""

    def fetch(self) -> None:
        """Request the complete list once."""

    def watch(self) -> None:
        """Keep a stream of list updates open."""


class MigrationSender(Protocol):
    """Runs the attempts of migrations."""

    def send(self, step: SendAttempt) -> bool:
        """Queue the attempt; return False if the queue is full."""


@dataclass(frozen=True, slots=True)
class CorePorts:
    """The outgoing interfaces of a core."""

    servers: ServerGateway
    endpoint_list: EndpointListSource
    migrations: MigrationSender
