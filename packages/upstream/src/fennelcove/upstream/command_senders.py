"""Threads that send commands to servers: rung changes, resume tokens and releases."""

from __future__ import annotations

import threading

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.servers.command_queue import COMMAND_TIMEOUT_US, Command
from fennelcove.http1 import writer
from fennelcove.http1.messages import ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import ConnectionPool, DialLimits, ServerConnection, dial
from fennelcove.wire.servers import Mark, RungOrder, join_path

SENDER_COUNT = 4
MAX_WAIT_S = 1.0


class CommandSenders:
    """Owns the sender threads; `stop` ends them after the commands that are ready have been sent."""

    def __init__(self, clock: Clock, pool: ConnectionPool, limits: DialLimits) -> None:
        self.clock = clock
        self.pool = pool
        self.limits = limits
        self.ready = threading.Condition()
        self.deadline_us: int | None = None  # set by `stop`: the senders end by this time
        self.threads: list[threading.Thread] = []

    def start(self, commands: CommandDispatcher, lifecycle: SessionLifecycle) -> None:
        """Start the threads, once; they take commands, and look up the rates of their sessions."""
        for i in range(SENDER_COUNT):
            thread = threading.Thread(target=self._run, args=(commands, lifecycle), name=f"orders-{i}")
            self.threads.append(thread)
            thread.start()

    def wake(self) -> None:
        """Wake a sender, as a command may be ready."""
        with self.ready:
            self.ready.notify()

    def stop(self, deadline_us: int) -> None:
        """Send the commands that are ready, and end by the deadline even if a server does not respond."""
        with self.ready:
            self.deadline_us = deadline_us
            self.ready.notify_all()
        for thread in self.threads:
            thread.join()

    def _run(self, commands: CommandDispatcher, lifecycle: SessionLifecycle) -> None:
        while self._remaining_us() > 0:
            command, wait_us = commands.next_command()
            if command is not None:
                is_successful = self._execute(command, lifecycle)
                commands.on_command_completed(command, is_successful=is_successful)
                continue
            with self.ready:
                if self.deadline_us is not None:
                    return
                # A notification between `next_command` and this wait is missed; the bound limits the delay.
                self.ready.wait(MAX_WAIT_S if wait_us is None else min(MAX_WAIT_S, wait_us / 1e6))

    def _remaining_us(self) -> int:
        """The time that one command may take now."""
        deadline_us = self.deadline_us
        return (
            COMMAND_TIMEOUT_US
            if deadline_us is None
            else min(COMMAND_TIMEOUT_US, deadline_us - self.clock.now_us())
        )

    def _execute(self, command: Command, lifecycle: SessionLifecycle) -> bool:
        if not self.pool.reserve(command.server):
            return False
        connection, is_reusable = None, False
        try:
            connection = self.pool.take_idle_connection(command.server) or dial(
                command.server, max(1, self._remaining_us()), self.limits
            )
            is_reusable = self._exchange(connection, command, lifecycle)
            return True
        except (OSError, ProtocolError):
            return False
        finally:
            if connection is not None and not is_reusable:
                connection.sock.close()
            self.pool.release(command.server, connection if is_reusable else None)

    def _exchange(self, connection: ServerConnection, command: Command, lifecycle: SessionLifecycle) -> bool:
        path = join_path(command.session_id, command.attempt)
        fields = [("Content-Type", "application/json")]
        if command.resume_token is not None:
            body = msgspec.json.encode(Mark(command.resume_token))
            encoded_request = writer.request("PUT", f"{path}/mark", command.server, fields, body)
        elif command.rung is None:
            encoded_request = writer.request("DELETE", path, command.server)
        else:
            session = lifecycle.sessions.get(command.session_id)
            rate_kb = session.rates_kb[command.rung] if session is not None else 0.0
            body = msgspec.json.encode(RungOrder(command.rung, rate_kb))
            encoded_request = writer.request("PUT", f"{path}/rung", command.server, fields, body)
        connection.sock.settimeout(max(0.001, self._remaining_us() / 1e6))
        connection.sock.sendall(encoded_request)
        response = connection.read_response()
        assert isinstance(response.head, ResponseHead)
        if response.head.status >= 500:
            raise ConnectionError(f"response status {response.head.status}")
        return response.head.keep_alive and connection.responses.reader.is_between_messages
