"""The slot scheduler's records of set-ups, and the classification of set-ups, tenants and servers."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from fennelcove.core.context import Catalogue
from fennelcove.core.requests import Session, Wakeup
from fennelcove.fair_queueing.service_time import RequestShape, ServiceTimeEstimate
from fennelcove.fair_queueing.wait_queue import Waiter, WaitQueue
from fennelcove.interface import Request
from fennelcove.placement import PlacementPolicy
from fennelcove.placement.slow_start import is_warming_up

LADDER_BANDS = 2  # the lower and the upper half of the bitrate ladder
MAX_TENANT_NAMES = 256


@dataclass(slots=True, eq=False)
class SlotRequest:
    """A set-up that waits for a slot or occupies one.

    Attributes:
        session: The session that is set up.
        request: The request that the placement policy receives once a slot is free.
        waiter: Its entry in the wait queue.
        wakeup: Wakes the waiting thread; None if the set-up has not had to wait.
        is_placing: Whether the placement policy is choosing a server for it at the moment.
    """

    session: Session
    request: Request
    waiter: Waiter
    wakeup: Wakeup | None = None
    is_placing: bool = False

    def wake(self) -> None:
        """Wake the thread that waits for the set-up, if there is one."""
        if self.wakeup is not None:
            self.wakeup.notify()


@dataclass(frozen=True, slots=True)
class SlotInUse:
    """A slot that an attempt occupies."""

    server: str
    shape: RequestShape
    title: str
    tenant: int


class AttemptKey(NamedTuple):
    """The wait queue's key of an attempt: its session's id and its number."""

    session_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ExpectedWorkload:
    """A set-up's workload shape and the addresses of the servers that could play the session."""

    shape: RequestShape
    servers: tuple[str, ...]


def tenant_key(tenant: str) -> int:
    """Return the key of a tenant in messages between fronts; never 0."""
    return zlib.crc32(tenant.encode()) or 1


def server_key(server: str) -> int:
    """Return the key of a server in messages between fronts."""
    return zlib.crc32(server.encode())


def expected_workload(
    session: Session, request: Request, catalogue: Catalogue, policy: PlacementPolicy
) -> ExpectedWorkload:
    """Return the workload of a set-up as known before a server is chosen."""
    cells = {(request.first_cell + offset) % catalogue.cell_count for offset in range(request.cell_count)}
    servers = [server for cell in sorted(cells) for server in policy.active_replicas(cell)]
    has_warm_server = any(not is_warming_up(policy, server) for server in servers)
    shape = session.service_class, _ladder_band(session), has_warm_server
    return ExpectedWorkload(shape, tuple(server.address for server in servers))


def established_shape(session: Session) -> RequestShape:
    """Return the workload shape of later attempts of a session whose set-up is complete."""
    return session.service_class, _ladder_band(session), True


def _ladder_band(session: Session) -> int:
    return LADDER_BANDS * session.top_rung // len(session.rates_kb)


class TenantNames:
    """Names of tenants by key, used only in the status; bounded, the oldest is evicted first."""

    def __init__(self) -> None:
        self._names: OrderedDict[int, str] = OrderedDict()

    def add(self, tenant: int, name: str) -> None:
        """Store a tenant's name."""
        self._names[tenant] = name
        if len(self._names) > MAX_TENANT_NAMES:
            self._names.popitem(last=False)

    def name_of(self, tenant: int) -> str:
        """Return a tenant's name, or its key in hexadecimal if the name is not known."""
        return self._names.get(tenant, f"{tenant:08x}")


def queued_waiters(queue: WaitQueue) -> Iterator[Waiter]:
    """Yield all waiters of a queue."""
    return (waiter for by_id in queue.waiting_by_tenant.values() for waiter in by_id.values())


class WorkloadEstimator:
    """Describes set-ups for the wait queue: tenant, workload shape, servers, and expected hold time."""

    def __init__(self, queue: WaitQueue, catalogue: Catalogue, policy: PlacementPolicy) -> None:
        self.tenant_names = TenantNames()
        self._queue = queue
        self._catalogue = catalogue
        self._policy = policy

    def new_request(self, session: Session, request: Request, now_us: int) -> SlotRequest:
        """Return the slot request of a set-up, with its wait-queue entry."""
        tenant = self.tenant_of(session)
        if session.request is not None:
            self.tenant_names.add(tenant, session.request.tenant if tenant else "others")
        workload = expected_workload(session, request, self._catalogue, self._policy)
        waiter = Waiter(
            session.id,
            tenant,
            workload.shape,
            session.title,
            workload.servers,
            now_us,
            session.deadline_us,
            self._queue.service_times.estimate(workload.shape, session.title),
        )
        return SlotRequest(session, request, waiter)

    def tenant_of(self, session: Session) -> int:
        """Return the key under which a session's tenant is accounted."""
        name = session.request.tenant if session.request is not None else ""
        return self._queue.tenant_weights.accounted_tenant(tenant_key(name))

    def expected_hold(self, session: Session, slot_request: SlotRequest | None) -> ServiceTimeEstimate:
        """Return how long an attempt is expected to occupy its slot.

        Args:
            session: The attempt's session.
            slot_request: The session's set-up; None if it is complete.
        """
        if slot_request is not None:
            return slot_request.waiter.estimate
        return self._queue.service_times.estimate(established_shape(session), session.title)
