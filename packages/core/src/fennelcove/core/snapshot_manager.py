"""Snapshots of a front: what is collected for the store, and what of it a new incarnation uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fennelcove.core import snapshot_records
from fennelcove.core.context import CoreContext
from fennelcove.core.front_incarnations import FrontIncarnations
from fennelcove.core.idempotency_store import IdempotencyStore
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.snapshot_records import FORMAT, FRONT, LIST, SERVER
from fennelcove.decisions.clients.retry_storm import RetryStormDetector
from fennelcove.decisions.fleet import snapshot_trust
from fennelcove.decisions.fleet.snapshot_trust import Evidence, FactKind, LossKind, SnapshotAge, SnapshotUse
from fennelcove.decisions.recovery import snapshot
from fennelcove.decisions.recovery.snapshot import FrontMemory, RecordVerdict, RecoveredServer
from fennelcove.interface import BudgetSnapshot, ListEntry, ServerSnapshot
from fennelcove.placement import PlacementPolicy


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """What was lost with the previous incarnation, and how old its snapshot is."""

    loss: LossKind
    age: SnapshotAge

    def use_of(self, fact: FactKind) -> SnapshotUse:
        """Return how far a kind of fact may be used."""
        return snapshot_trust.use(fact, self.loss, self.age)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server's stored record: whether it still applies, and what it holds where it does."""

    address: str
    verdict: RecordVerdict
    state: RecoveredServer | None


class SnapshotManager:
    """The snapshots of one front; the core's lock is held around every call that does not take it.

    The owner assigns `lives` (returns the known incarnations), `more` (returns the records of other parts)
    and `entries` (the endpoint list in force, where it is to be stored).
    """

    def __init__(
        self,
        context: CoreContext,
        module: PlacementPolicy,
        weather: RetryStormDetector,
        seats: SeatLeaseManager,
        repeats: IdempotencyStore,
        version: Callable[[], int | None],
    ) -> None:
        """Create a manager.

        Args:
            context: What all parts of the core share.
            module: The placement policy.
            weather: The detector of retry storms.
            seats: The seat leases.
            repeats: The idempotency keys.
            version: Returns the version of the endpoint list in force, None before the first.
        """
        self._context = context
        self._policy = module
        self._detector = weather
        self._seats = seats
        self._idempotency = repeats
        self._list_version = version
        self.stored: dict[bytes, bytes] = {}  # the records as the store has them
        self._unclaimed: dict[bytes, bytes] = {}  # servers' records, until a list names the servers
        self._front: FrontMemory | None = None
        self.lives: Callable[[], FrontIncarnations] = FrontIncarnations
        self.more: Callable[[], list[tuple[bytes, bytes]]] = list
        self.entries: dict[str, ListEntry] | None = None

    # Restoring.

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Take over the records of the previous incarnation.

        Servers' records wait for the first endpoint list, which shows whether the servers are still the same.
        """
        with self._context.lock:
            values = snapshot.migrated(values)
            self.stored = dict(values)
            self._unclaimed = {key: record for key, record in values.items() if key.startswith(SERVER)}
            self._seats.restore(values)
            key_count = self._idempotency.restore(values)
            if key_count:
                self._context.notice("idempotency_keys_restored", count=key_count)
            self._front = snapshot.read_front(values.get(FRONT, b""))
            if self._front is not None:
                self._restore_budgets(self._front)
                self._detector.usual, self._detector.seen = self._front.usual, self._front.seen

    def _restore_budgets(self, front: FrontMemory) -> None:
        wall_us, span_us = self._context.wall_us(), self._policy.settings.budget_span_us
        taken = snapshot.spent(front.taken_us, wall_us, span_us)
        further = snapshot.spent(front.further_us, wall_us, span_us)
        age = self._assess(0, 0).age
        if snapshot_trust.use(FactKind.BUDGET, LossKind.SELF, age) is SnapshotUse.AT_LEAST:
            # Times out of an old snapshot are not known well enough: everything counts as spent just now.
            taken, further = [], [0 for _ in front.further_us]
        self._policy.handle(BudgetSnapshot(tuple(taken), tuple(further)), self._context.now_us())

    def last_list(self) -> tuple[ListEntry, ...]:
        """Return the endpoint list of the previous incarnation; empty where there is none to be used."""
        with self._context.lock:
            stored_list = snapshot.read_list(self.stored.get(LIST, b""))
            age = self._assess(0, 0).age
            if stored_list is None:
                return ()
            if snapshot_trust.use(FactKind.LIST, LossKind.SELF, age) is SnapshotUse.DROP:
                return ()
            return tuple(snapshot_records.list_entry(server) for server in stored_list.boxes)

    def listed(self) -> None:
        """Restore the servers that an endpoint list names; each is restored once."""
        unclaimed, self._unclaimed = self._unclaimed, {}
        now_us, wall_us = self._context.now_us(), self._context.wall_us()
        records = [self._judge(key, record, now_us, wall_us) for key, record in unclaimed.items()]
        restarted = sum(record.verdict is RecordVerdict.NEW_LIFE for record in records)
        listed = sum(record.verdict is not RecordVerdict.NOT_LISTED for record in records)
        assessment = self._assess(listed, restarted)
        if self._front is not None:
            self._context.notice(
                "snapshot_assessed",
                loss=assessment.loss.name.lower(),
                folder=assessment.age.name.lower(),
                boxes=listed,
                new=restarted,
            )
            self._restore_usual_load(assessment)
        for record in records:
            if record.state is not None:
                self._restore_server(record.address, record.state, assessment, now_us)
        counts = Counter(record.verdict.name.lower() for record in records)
        if counts:
            self._context.notice("server_records_restored", **counts)

    def _judge(self, key: bytes, record: bytes, now_us: int, wall_us: int) -> ServerRecord:
        address = snapshot_records.address_of(key)
        server = self._policy.servers.get(address)
        started_us = None if server is None else wall_us - (now_us - server.started_us)
        verdict, state = snapshot.rule(snapshot.read_server(record), started_us, wall_us)
        return ServerRecord(address, verdict, state)

    def _restore_server(
        self, address: str, state: RecoveredServer, assessment: SnapshotAssessment, now_us: int
    ) -> None:
        # The record is of a process that is still the same, whatever else was lost.
        loss = LossKind.SELF if assessment.loss is LossKind.SELF else LossKind.FRONTS
        known = SnapshotAssessment(loss, assessment.age)
        has_strikes = known.use_of(FactKind.STRIKES) is SnapshotUse.USE
        has_last_attempt = known.use_of(FactKind.LAST_JOIN) is SnapshotUse.USE
        restored = ServerSnapshot(
            address,
            state.strikes if has_strikes else 0,
            state.shut_for_us if has_strikes else 0,
            state.last_attempt_ago_us if has_last_attempt else None,
        )
        self._policy.handle(restored, now_us)

    def _restore_usual_load(self, assessment: SnapshotAssessment) -> None:
        """Keep the usual load, or learn it anew, from where it was or from nothing."""
        use = assessment.use_of(FactKind.PACE)
        if use is SnapshotUse.USE:
            return
        self._detector.seen = 0
        if use is SnapshotUse.DROP:
            self._detector.usual = 0.0

    def _assess(self, servers: int, restarted_servers: int) -> SnapshotAssessment:
        """Return what was lost and how old the snapshot is, by what was heard until now."""
        front, incarnations = self._front, self.lives()
        stored = front.lives if front is not None else []
        heard = [
            (now, before)
            for now, before in zip(incarnations.by_front, stored, strict=False)
            if now and before
        ]
        evidence = Evidence(
            servers,
            restarted_servers,
            len(heard),
            sum(now > before for now, before in heard),
            front.life if front is not None else 0,
            incarnations.latest_before,
            front.written_us if front is not None else 0,
            self._context.wall_us(),
        )
        return SnapshotAssessment(snapshot_trust.loss(evidence), snapshot_trust.age(evidence))

    # Storing.

    def gather(self) -> list[tuple[bytes, bytes | None]]:
        """Return the records that changed since the last call; None as the value of one to be deleted."""
        with self._context.lock:
            if self._list_version() is None:
                return []  # before the first list nothing is known that is not stored already
            records = self._records()
            changed = snapshot.changed(records, self.stored)
            self.stored = dict(records)
            return changed

    def _records(self) -> list[tuple[bytes, bytes]]:
        now_us, wall_us = self._context.now_us(), self._context.wall_us()
        version = self._list_version()
        records = [
            (
                snapshot_records.server_key(server.address),
                snapshot_records.server_record(server, now_us, wall_us),
            )
            for server in self._policy.servers.values()
        ]
        records += self._idempotency.kept()
        records += self._seats.kept()
        records += self.more()
        front = snapshot_records.front_record(
            self._policy, self._detector, self.lives(), version, now_us, wall_us
        )
        records.append((FRONT, front))
        records.append((FORMAT, str(snapshot.FORMAT).encode()))
        if self.entries is not None:
            entries = self.entries.values()
            records.append((LIST, snapshot_records.list_record(entries, version, now_us, wall_us)))
        return records
