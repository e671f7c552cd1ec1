"""Snapshots of a front's state: collects records for the store and restores them in a new incarnation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fennelcove.core import snapshot_records
from fennelcove.core.context import CoreContext
from fennelcove.core.front_incarnations import FrontIncarnations
from fennelcove.core.idempotency_store import IdempotencyStore
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.snapshot_records import FORMAT_KEY, FRONT_KEY, LIST_KEY, SERVER_KEY_PREFIX
from fennelcove.decisions.clients.retry_storm import RetryStormDetector
from fennelcove.decisions.fleet import snapshot_trust
from fennelcove.decisions.fleet.snapshot_trust import Evidence, FactKind, LossKind, SnapshotAge, SnapshotUse
from fennelcove.decisions.recovery import snapshot
from fennelcove.decisions.recovery.snapshot import FrontRecord, RecordVerdict, RecoveredServer
from fennelcove.interface import BudgetSnapshot, ListEntry, ServerSnapshot
from fennelcove.placement import PlacementPolicy


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """The extent of the loss that ended the previous incarnation, and the age of its snapshot."""

    loss: LossKind
    age: SnapshotAge

    def use_of(self, fact: FactKind) -> SnapshotUse:
        """Return how a kind of fact may be used."""
        return snapshot_trust.snapshot_use(fact, self.loss, self.age)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server's stored record.

    Attributes:
        address: The server's address.
        verdict: Whether the record still applies.
        state: The state in the record; None if it does not apply.
    """

    address: str
    verdict: RecordVerdict
    state: RecoveredServer | None


class SnapshotManager:
    """A front's snapshots; callers of methods that do not acquire the core's lock hold it.

    The owner assigns `known_incarnations` (returns the known incarnations), `collect_other_records` (returns
    the records of other components) and `list_entries` (the endpoint list in force, if it is to be stored).
    """

    def __init__(
        self,
        context: CoreContext,
        policy: PlacementPolicy,
        detector: RetryStormDetector,
        seat_leases: SeatLeaseManager,
        idempotency: IdempotencyStore,
        list_version: Callable[[], int | None],
    ) -> None:
        """Create a manager.

        Args:
            context: The environment that all components of the core share.
            policy: The placement policy.
            detector: The detector of retry storms.
            seat_leases: The seat leases.
            idempotency: The idempotency keys.
            list_version: Returns the version of the endpoint list in force; None before the first list.
        """
        self._context = context
        self._policy = policy
        self._detector = detector
        self._seats = seat_leases
        self._idempotency = idempotency
        self._list_version = list_version
        self.stored: dict[bytes, bytes] = {}  # the records as the store has them
        self._unclaimed: dict[bytes, bytes] = {}  # servers' records, until an endpoint list names the servers
        self._front: FrontRecord | None = None
        self.known_incarnations: Callable[[], FrontIncarnations] = FrontIncarnations
        self.collect_other_records: Callable[[], list[tuple[bytes, bytes]]] = list
        self.list_entries: dict[str, ListEntry] | None = None

    # Restoring.

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Restore the records of the previous incarnation.

        Servers' records are retained until the first endpoint list, which shows whether the servers have
        restarted.
        """
        with self._context.lock:
            values = snapshot.migrate_records(values)
            self.stored = dict(values)
            self._unclaimed = {
                key: record for key, record in values.items() if key.startswith(SERVER_KEY_PREFIX)
            }
            self._seats.restore(values)
            key_count = self._idempotency.restore(values)
            if key_count:
                self._context.log_event("idempotency_keys_restored", count=key_count)
            self._front = snapshot.read_front(values.get(FRONT_KEY, b""))
            if self._front is not None:
                self._restore_budgets(self._front)
                self._detector.baseline, self._detector.calm_window_count = (
                    self._front.usual,
                    self._front.seen,
                )

    def _restore_budgets(self, front: FrontRecord) -> None:
        wall_us, span_us = self._context.wall_us(), self._policy.settings.retry_window_us
        taken = snapshot.budget_ages_us(front.taken_us, wall_us, span_us)
        further = snapshot.budget_ages_us(front.further_us, wall_us, span_us)
        age = self._assess(0, 0).age
        if snapshot_trust.snapshot_use(FactKind.RETRY_BUDGET, LossKind.SELF, age) is SnapshotUse.LOWER_BOUND:
            # Times in an old snapshot are too inaccurate: all retries count as spent just now.
            taken, further = [], [0 for _ in front.further_us]
        self._policy.handle(BudgetSnapshot(tuple(taken), tuple(further)), self._context.now_us())

    def stored_list(self) -> tuple[ListEntry, ...]:
        """Return the endpoint list of the previous incarnation; empty if there is none that may be used."""
        with self._context.lock:
            stored_list = snapshot.read_list(self.stored.get(LIST_KEY, b""))
            age = self._assess(0, 0).age
            if stored_list is None:
                return ()
            if snapshot_trust.snapshot_use(FactKind.ENDPOINT_LIST, LossKind.SELF, age) is SnapshotUse.DROP:
                return ()
            return tuple(snapshot_records.list_entry(server) for server in stored_list.servers)

    def on_list_received(self) -> None:
        """Restore the stored servers that the endpoint list names; only the first list restores any."""
        unclaimed, self._unclaimed = self._unclaimed, {}
        now_us, wall_us = self._context.now_us(), self._context.wall_us()
        records = [self._evaluate(key, record, now_us, wall_us) for key, record in unclaimed.items()]
        restarted = sum(record.verdict is RecordVerdict.NEW_LIFE for record in records)
        listed = sum(record.verdict is not RecordVerdict.NOT_LISTED for record in records)
        assessment = self._assess(listed, restarted)
        if self._front is not None:
            self._context.log_event(
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
            self._context.log_event("server_records_restored", **counts)

    def _evaluate(self, key: bytes, record: bytes, now_us: int, wall_us: int) -> ServerRecord:
        address = snapshot_records.address_of(key)
        server = self._policy.servers.get(address)
        started_us = None if server is None else wall_us - (now_us - server.started_us)
        verdict, state = snapshot.evaluate_record(snapshot.read_server(record), started_us, wall_us)
        return ServerRecord(address, verdict, state)

    def _restore_server(
        self, address: str, state: RecoveredServer, assessment: SnapshotAssessment, now_us: int
    ) -> None:
        # The server's process has not restarted, so its record is not affected by the loss of servers.
        loss = LossKind.SELF if assessment.loss is LossKind.SELF else LossKind.FRONTS
        known = SnapshotAssessment(loss, assessment.age)
        has_strikes = known.use_of(FactKind.STRIKES) is SnapshotUse.USE
        has_last_attempt = known.use_of(FactKind.LAST_ATTEMPT) is SnapshotUse.USE
        restored = ServerSnapshot(
            address,
            state.strikes if has_strikes else 0,
            state.shut_for_us if has_strikes else 0,
            state.last_attempt_ago_us if has_last_attempt else None,
        )
        self._policy.handle(restored, now_us)

    def _restore_usual_load(self, assessment: SnapshotAssessment) -> None:
        """Keep the usual load, or relearn it from the stored value or from zero."""
        use = assessment.use_of(FactKind.ARRIVAL_RATE)
        if use is SnapshotUse.USE:
            return
        self._detector.calm_window_count = 0
        if use is SnapshotUse.DROP:
            self._detector.baseline = 0.0

    def _assess(self, servers: int, restarted_servers: int) -> SnapshotAssessment:
        """Return the extent of the loss and the snapshot's age, from the evidence so far."""
        front, incarnations = self._front, self.known_incarnations()
        stored = front.lives if front is not None else []
        known_pairs = [
            (current, previous)
            for current, previous in zip(incarnations.by_front, stored, strict=False)
            if current and previous
        ]
        evidence = Evidence(
            servers,
            restarted_servers,
            len(known_pairs),
            sum(current > previous for current, previous in known_pairs),
            front.life if front is not None else 0,
            incarnations.latest_before,
            front.written_us if front is not None else 0,
            self._context.wall_us(),
        )
        return SnapshotAssessment(snapshot_trust.infer_loss(evidence), snapshot_trust.snapshot_age(evidence))

    # Storing.

    def collect_changes(self) -> list[tuple[bytes, bytes | None]]:
        """Return the records that changed since the last call; a value of None deletes the record."""
        with self._context.lock:
            if self._list_version() is None:
                return []  # before the first list everything known is already stored
            records = self._records()
            changed = snapshot.record_changes(records, self.stored)
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
        records += self._idempotency.persisted_entries()
        records += self._seats.persisted_entries()
        records += self.collect_other_records()
        front = snapshot_records.front_record(
            self._policy, self._detector, self.known_incarnations(), version, now_us, wall_us
        )
        records.append((FRONT_KEY, front))
        records.append((FORMAT_KEY, str(snapshot.FORMAT_VERSION).encode()))
        if self.list_entries is not None:
            entries = self.list_entries.values()
            records.append((LIST_KEY, snapshot_records.list_record(entries, version, now_us, wall_us)))
        return records
