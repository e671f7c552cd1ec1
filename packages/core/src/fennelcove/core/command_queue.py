"""Queues commands to servers; the core's lock guards it."""

from __future__ import annotations

from fennelcove.core.context import CoreContext
from fennelcove.core.draining_servers import DrainingServers
from fennelcove.core.ports import ServerGateway
from fennelcove.core.requests import AttemptTarget, SendAttempt, Session
from fennelcove.decisions.servers import attempt_exchange
from fennelcove.decisions.servers.command_queue import Command, CommandQueue
from fennelcove.interface import Outcome


class CommandDispatcher:
    """Queues commands by server and returns them one at a time."""

    def __init__(
        self, context: CoreContext, max_commands: int, gateway: ServerGateway, draining: DrainingServers
    ) -> None:
        self.context = context
        self.gateway = gateway
        self.draining = draining
        self.queue = CommandQueue(max_commands)

    def send(self, target: AttemptTarget, session: Session, rung: int | None) -> None:
        """Set an attempt's rung at its server; a rung of None releases the attempt there."""
        self.send_to(target.server, session.id, target.attempt, rung)

    def send_to(self, server: str, session_id: str, attempt: int, rung: int | None) -> None:
        """Do as `send` does, for an attempt whose session may be closed."""
        self.enqueue(Command(server, session_id, attempt, rung))

    def release_after(self, step: SendAttempt, outcome: Outcome) -> None:
        """Release an attempt that is not needed, if its outcome means that the server may serve it."""
        if attempt_exchange.may_need_release(outcome):
            self.send_to(step.server, step.session.id, step.attempt, None)

    def enqueue(self, command: Command) -> None:
        """Queue a command unless its server is draining past its grace period."""
        if self.draining.may_command(command.server):
            self.queue.add(command)
            self.gateway.on_command_queued()

    def next_command(self) -> tuple[Command | None, int | None]:
        """Return the next command that may be sent.

        Returns:
            The command and None, or None and the microseconds until one may be sent; that time is None while
            no queued command waits for a retry.
        """
        with self.context.lock:
            now_us = self.context.now_us()
            command = self.queue.pop_ready(now_us)
            if command is not None:
                return command, None
            return None, self.queue.wait_us(now_us)

    def on_command_completed(self, command: Command, *, is_successful: bool) -> None:
        """Handle the success or failure of a command."""
        with self.context.lock:
            self.queue.complete(command, is_successful, self.context.now_us())
