"""The state that the components of a node share."""

from __future__ import annotations

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.node.client_connection import ConnectionTable
from fennelcove.node.config import Config
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.log import EventLogger
from fennelcove.node.metrics import NodeMetrics
from fennelcove.node.model import Session
from fennelcove.node.recent_ids import RecentIds
from fennelcove.node.server_table import ServerTable


class NodeContext:
    """Configuration, clocks and tables of one node; used with its lock held."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        timers: Timers,
        logger: EventLogger,
        descriptors: DescriptorBudget,
    ) -> None:
        """Start with empty tables."""
        self.config = config
        self.clock = clock
        self.timers = timers
        self.logger = logger
        self.descriptors = descriptors
        self.metrics = NodeMetrics(clock, logger)
        self.connections = ConnectionTable(descriptors.limits[DescriptorUse.CLIENT])
        self.sessions: dict[bytes, Session] = {}
        self.description_bytes = 0  # of the descriptions of set-up requests without an answer
        self.abandoned_ids = RecentIds()
        self.server_table = ServerTable(self.metrics)
        self.servers = self.server_table.by_name
        self.last_us = 0
        self.created_us = self.now_us()

    def now_us(self) -> int:
        """The Unix time in microseconds, monotonic; rules and servers' start times refer to it."""
        self.last_us = max(self.last_us, self.clock.wall_us())
        return self.last_us
