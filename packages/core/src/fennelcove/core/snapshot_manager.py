"""The core's part that remembers: what is gathered for the store, and what of it is told to a new module."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from fennelcove.core.context import CoreContext
from fennelcove.core.idempotency_store import IdempotencyStore
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.decisions.fleet import snapshot_trust
from fennelcove.decisions.fleet.snapshot_trust import SnapshotAge, Evidence, FactKind, LossKind, SnapshotUse
from fennelcove.decisions.recovery import snapshot
from fennelcove.decisions.recovery.snapshot import (
    ServerMemory,
    FrontMemory,
    KeptServer,
    KeptList,
    RecordVerdict,
)
from fennelcove.decisions.clients.retry_storm import RetryStormDetector
from fennelcove.interface import ListEntry, ServerSnapshot, BudgetSnapshot, ServerState
from fennelcove.placement import PlacementPolicy, Server

SERVER, FRONT, LIST, FORMAT = b"box/", b"front", b"list", b"format"
_ENCODER = msgspec.msgpack.Encoder()


class SnapshotManager:
    """Memories of one front; the core's lock is round it. `version` tells the list in force, None before the
    first."""

    def __init__(
        self,
        context: CoreContext,
        module: PlacementPolicy,
        weather: RetryStormDetector,
        seats: SeatLeaseManager,
        repeats: IdempotencyStore,
        version: Callable[[], int | None],
    ) -> None:
        self.context = context
        self.module = module
        self.weather = weather
        self.seats = seats
        self.repeats = repeats
        self.version = version
        self.kept: dict[bytes, bytes] = {}
        self.unread: dict[bytes, bytes] = {}
        self.front: FrontMemory | None = None
        # What the others say of lives: this front's, the latest known under its index before, all by index.
        self.lives: Callable[[], tuple[int, int, list[int]]] = lambda: (0, 0, [])
        self.more: Callable[[], list[tuple[bytes, bytes]]] = list  # what other parts want kept
        self.entries: dict[str, ListEntry] | None = None  # the list in force, where it is to be kept

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """What the last life kept. Boxes wait for the first list: only it tells which still are what they
        were."""
        with self.context.lock:
            values = snapshot.migrated(values)
            self.kept = dict(values)
            self.unread = {key: raw for key, raw in values.items() if key.startswith(SERVER)}
            self.seats.restore(values)
            keys = self.repeats.restore(values)
            if keys:
                self.context.notice("keys_remembered", count=keys)
            front = self.front = snapshot.read_front(values.get(FRONT, b""))
            if front is None:
                return
            wall_us, settings = self.context.wall_us(), self.module.settings
            taken = snapshot.spent(front.taken_us, wall_us, settings.budget_span_us)
            further = snapshot.spent(front.further_us, wall_us, settings.budget_span_us)
            if (
                snapshot_trust.use(FactKind.BUDGET, LossKind.SELF, self.evidence(0, 0)[1])
                is SnapshotUse.AT_LEAST
            ):
                taken, further = [], [0 for _ in front.further_us]
            self.module.handle(BudgetSnapshot(tuple(taken), tuple(further)), self.context.now_us())
            weather = self.weather
            weather.usual, weather.seen = front.usual, front.seen

    def last_list(self) -> tuple[ListEntry, ...]:
        """The list that the last life kept, as far as it may still be asked; empty where there is none."""
        with self.context.lock:
            kept = snapshot.read_list(self.kept.get(LIST, b""))
            _, age = self.evidence(0, 0)
            if kept is None or snapshot_trust.use(FactKind.LIST, LossKind.SELF, age) is SnapshotUse.DROP:
                return ()
            return tuple(
                ListEntry(
                    server.address,
                    server.zone,
                    server.kind,
                    server.cell,
                    ServerState(server.standing),
                    server.weight,
                    0,
                )
                for server in kept.boxes
            )

    def evidence(self, servers: int, new: int) -> tuple[LossKind, SnapshotAge]:
        """What died and how old the folder is, by what was heard until now."""
        front, (_, known, lives) = self.front, self.lives()
        before = front.lives if front is not None else []
        heard = [(life, was) for life, was in zip(lives, before, strict=False) if life and was]
        found = Evidence(
            servers,
            new,
            len(heard),
            sum(life > was for life, was in heard),
            front.life if front is not None else 0,
            known,
            front.written_us if front is not None else 0,
            self.context.wall_us(),
        )
        return snapshot_trust.loss(found), snapshot_trust.age(found)

    def listed(self) -> None:
        """A list has come: boxes that it names are remembered, once."""
        unread, self.unread = self.unread, {}
        counts: dict[RecordVerdict, int] = {}
        now_us, wall_us = self.context.now_us(), self.context.wall_us()
        ruled = {key: self._ruled(key, raw, now_us, wall_us) for key, raw in unread.items()}
        new = sum(verdict is RecordVerdict.NEW_LIFE for verdict, _ in ruled.values())
        listed = sum(verdict is not RecordVerdict.NOT_LISTED for verdict, _ in ruled.values())
        loss, age = self.evidence(listed, new)
        if self.front is not None:
            self.context.notice(
                "evidence", loss=loss.name.lower(), folder=age.name.lower(), boxes=listed, new=new
            )
            self._believe_pace(loss, age)
        for key, (verdict, recalled) in ruled.items():
            address = key[len(SERVER) :].decode("utf-8", "replace")
            counts[verdict] = counts.get(verdict, 0) + 1
            if recalled is not None:
                # What is recalled is of a process that lived through it, whatever else was lost.
                lived = LossKind.SELF if loss is LossKind.SELF else LossKind.FRONTS
                strikes = snapshot_trust.use(FactKind.STRIKES, lived, age) is SnapshotUse.USE
                attempted = snapshot_trust.use(FactKind.LAST_JOIN, lived, age) is SnapshotUse.USE
                told = ServerSnapshot(
                    address,
                    recalled.strikes if strikes else 0,
                    recalled.shut_for_us if strikes else 0,
                    recalled.last_attempt_ago_us if attempted else None,
                )
                self.module.handle(told, now_us)
        if counts:
            self.context.notice(
                "boxes_remembered", **{verdict.name.lower(): n for verdict, n in counts.items()}
            )

    def _ruled(
        self, key: bytes, raw: bytes, now_us: int, wall_us: int
    ) -> tuple[RecordVerdict, snapshot.RecoveredServer | None]:
        address = key[len(SERVER) :].decode("utf-8", "replace")
        server = self.module.servers.get(address)
        started_us = None if server is None else wall_us - (now_us - server.started_us)
        return snapshot.rule(snapshot.read_server(raw), started_us, wall_us)

    def _believe_pace(self, loss: LossKind, age: SnapshotAge) -> None:
        """The usual pace: where it may be more by now it is learned anew from where it was."""
        weather = self.weather
        believed = snapshot_trust.use(FactKind.PACE, loss, age)
        if believed is not SnapshotUse.USE:
            weather.seen = 0
            weather.usual = 0.0 if believed is SnapshotUse.DROP else weather.usual

    def gather(self) -> list[tuple[bytes, bytes | None]]:
        """What has changed since the last time; called every so often."""
        with self.context.lock:
            if self.version() is None:
                return []  # before the first list nothing is known that was not kept already
            now_us, wall_us = self.context.now_us(), self.context.wall_us()
            new = [
                (SERVER + server.address.encode(), _ENCODER.encode(_server(server, now_us, wall_us)))
                for server in self.module.servers.values()
            ]
            new += self.repeats.kept()
            new += self.seats.kept()
            new += self.more()
            new.append((FRONT, _ENCODER.encode(self._front(now_us, wall_us))))
            new.append((FORMAT, str(snapshot.FORMAT).encode()))
            if self.entries is not None:
                new.append((LIST, _ENCODER.encode(self._list(now_us, wall_us))))
            found = snapshot.changed(new, self.kept)
            self.kept = dict(new)
            return found

    def _front(self, now_us: int, wall_us: int) -> FrontMemory:
        front, weather = self.module, self.weather
        taken = [wall_us - (now_us - at) for at in front.taken][-snapshot.MOST_TIMES :]
        further = [wall_us - (now_us - at) for at in front.further][-snapshot.MOST_TIMES :]
        life, _, lives = self.lives()
        version = self.version()
        return FrontMemory(
            wall_us // 1_000_000 * 1_000_000,
            taken,
            further,
            weather.usual,
            weather.seen,
            life,
            lives,
            -1 if version is None else version,
        )

    def _list(self, now_us: int, wall_us: int) -> KeptList:
        servers = [
            KeptServer(
                entry.address,
                entry.zone,
                entry.kind,
                entry.cell,
                entry.standing.value,
                entry.weight,
                round((wall_us - (now_us - entry.started_us)) / 1e6) * 1_000_000 if entry.started_us else 0,
            )
            for entry in (self.entries or {}).values()
        ]
        return KeptList(self.version() or 0, servers)


def _server(server: Server, now_us: int, wall_us: int) -> ServerMemory:
    def wall(at_us: int) -> int:
        # Whole milliseconds: the same moment, told twice by two clocks, must not look like news.
        return round((wall_us - (now_us - at_us)) / 1000) * 1000

    return ServerMemory(
        wall(server.started_us),
        server.strikes,
        wall(server.shut_until_us) if server.shut_until_us > now_us else 0,
        wall(server.last_attempt_us) if server.last_attempt_us is not None else 0,
        # To the minute: the moment itself would be news each second of every box.
        wall_us // 60_000_000 * 60_000_000,
    )
