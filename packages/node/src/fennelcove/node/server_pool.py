"""The pool of connections to servers: which one carries a set-up, which one goes to make room."""

from __future__ import annotations

import threading

from fennelcove.clock import Clock
from fennelcove.node.config import Config
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.server_connection import ServerConnection, ConnectionOwner
from fennelcove.node.model import ServerLink, ConnectionState, Server, Session
from fennelcove.interface import Outcome

TURNS_US = 4_000_000  # in which each server with something standing has its turn, well within 8 s of an end
MOST_GIVEN_UP = 64  # set-ups, one after another on a link whose server answers none of them


class ServerPool(ConnectionOwner):
    """What of an instance has to do with connections to servers; its lock is held."""

    config: Config
    clock: Clock
    lock: threading.Lock
    last_us: int
    servers: dict[str, Server]
    descriptors: DescriptorBudget

    @property
    def links(self) -> int:
        """Links that are not closed."""
        return self.descriptors.promised[DescriptorUse.SERVER]

    @property
    def most_links(self) -> int:
        return self.descriptors.most[DescriptorUse.SERVER]

    def now_us(self) -> int:
        """The Unix clock, by which rules are judged and servers' starts are told; it never goes back."""
        self.last_us = max(self.last_us, self.clock.wall_us())
        return self.last_us

    def idle(self, server: Server, session: Session) -> list[ServerLink]:
        """The server's links that a set-up may go out on, the one heard last at the end. Not one that the
        server is ending or is about to: a set-up lost there fails for good where it may not be repeated."""
        since_us = self.now_us() - self.config.terms.idle_us * 3 // 4
        here = [link for link in server.links if link.idle and link.address == server.address]
        fit = [link for link in here if link.heard_us >= since_us and not link.ended()]
        # Where a set-up under this id was given up, the answer to it may be on its way.
        fit = [link for link in fit if session.id not in link.given_up and len(link.given_up) < MOST_GIVEN_UP]
        return sorted(fit, key=lambda link: link.heard_us)

    def spare(self, turn_us: int = 0) -> bool:
        """Close an idle link to make room for another, where there is one: the one silent longest of those
        that nothing needs, or else one that has been there for a turn."""
        now_us = self.now_us()
        idle = [link for server in self.servers.values() for link in server.links if link.idle]
        free = [link for link in idle if not (link.server.needs_link and len(link.server.links) == 1)]
        if free:
            min(free, key=lambda link: link.heard_us).close(Outcome.CONNECTION_LOST)
            return True
        out = min(idle, key=lambda link: link.opened_us, default=None)
        if out is None or now_us - out.opened_us < turn_us:
            return False
        out.close(Outcome.CONNECTION_LOST)
        return True

    def reach(self, waiting: list[Server]) -> None:
        """Links to servers that need one, within the servers' part of the descriptors. Where they are more
        than that, they take turns: a server tells what has ended on the next connection that is opened."""
        turn_us = TURNS_US * self.most_links // (self.most_links + len(waiting))
        for server in sorted(waiting, key=lambda server: server.left_us):
            if self.links >= self.most_links and not self.spare(turn_us):
                return
            ServerConnection(self, server).start()

    def redial(self, server: Server, dials_only: bool = False) -> None:
        """Close what leads to another process than the list now means: a dial under way to a server that has
        gone reaches the one in its place, whose signs of life then held what had played at the first."""
        for link in list(server.links):
            if link.phase is ConnectionState.DIALLING:
                link.close(Outcome.NOT_SENT)
            elif link.idle and not dials_only:
                link.close(Outcome.CONNECTION_LOST)
