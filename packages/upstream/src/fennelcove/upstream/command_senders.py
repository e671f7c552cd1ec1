"""Sends orders to boxes, new rungs and releases, on a few threads of its own."""

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
from fennelcove.wire.boxes import Mark, RungOrder, join_path

SENDERS = 4
MOST_WAIT_S = 1.0


class CommandSenders:
    """Owns the senders; `start` them once, `stop` ends them when what is in hand has gone out."""

    def __init__(self, clock: Clock, pool: ConnectionPool, limits: DialLimits) -> None:
        self.clock = clock
        self.pool = pool
        self.limits = limits
        self.ready = threading.Condition()
        self.until_us: int | None = None  # once set, the senders end by then
        self.threads: list[threading.Thread] = []

    def start(self, commands: CommandDispatcher, lifecycle: SessionLifecycle) -> None:
        """Start the threads, once; they take commands, and the rates of the sessions concerned."""
        for i in range(SENDERS):
            thread = threading.Thread(target=self._run, args=(commands, lifecycle), name=f"orders-{i}")
            self.threads.append(thread)
            thread.start()

    def wake(self) -> None:
        """An order may be ready."""
        with self.ready:
            self.ready.notify()

    def stop(self, until_us: int) -> None:
        """Send what may go out at once, and end by then: a box that hangs must not hold the front's end
        up.
        """
        with self.ready:
            self.until_us = until_us
            self.ready.notify_all()
        for thread in self.threads:
            thread.join()

    def _run(self, commands: CommandDispatcher, lifecycle: SessionLifecycle) -> None:
        while self._left_us() > 0:
            command, wait_us = commands.next_command()
            if command is not None:
                is_successful = self._carry_out(command, lifecycle)
                commands.on_command_completed(command, is_successful=is_successful)
                continue
            with self.ready:
                if self.until_us is not None:
                    return
                # Woken between the look and this wait, a sender sleeps one bound at the most.
                self.ready.wait(MOST_WAIT_S if wait_us is None else min(MOST_WAIT_S, wait_us / 1e6))

    def _left_us(self) -> int:
        """How long one order may take now."""
        until_us = self.until_us
        return (
            COMMAND_TIMEOUT_US
            if until_us is None
            else min(COMMAND_TIMEOUT_US, until_us - self.clock.now_us())
        )

    def _carry_out(self, order: Command, lifecycle: SessionLifecycle) -> bool:
        if not self.pool.enter(order.server):
            return False
        link, keep = None, False
        try:
            link = self.pool.idle_link(order.server) or dial(
                order.server, max(1, self._left_us()), self.limits
            )
            keep = self._exchange(link, order, lifecycle)
            return True
        except (OSError, ProtocolError):
            return False
        finally:
            if link is not None and not keep:
                link.sock.close()
            self.pool.leave(order.server, link if keep else None)

    def _exchange(self, link: ServerConnection, order: Command, lifecycle: SessionLifecycle) -> bool:
        path = join_path(order.session_id, order.attempt)
        fields = [("Content-Type", "application/json")]
        if order.resume_token is not None:
            body = msgspec.json.encode(Mark(order.resume_token))
            raw = writer.request("PUT", f"{path}/mark", order.server, fields, body)
        elif order.rung is None:
            raw = writer.request("DELETE", path, order.server)
        else:
            session = lifecycle.sessions.get(order.session_id)
            rate_kb = session.rates_kb[order.rung] if session is not None else 0.0
            body = msgspec.json.encode(RungOrder(order.rung, rate_kb))
            raw = writer.request("PUT", f"{path}/rung", order.server, fields, body)
        link.sock.settimeout(max(0.001, self._left_us() / 1e6))
        link.sock.sendall(raw)
        whole = link.answer()
        assert isinstance(whole.head, ResponseHead)
        if whole.head.status >= 500:
            raise ConnectionError(f"answered {whole.head.status}")
        return whole.head.keep_alive and link.answers.reader.between
