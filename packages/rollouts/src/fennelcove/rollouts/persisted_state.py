"""Conversion between a coordinator's components and the state that it persists."""

from __future__ import annotations

from collections.abc import Mapping

from fennelcove.rollouts.disruption_budget import DisruptionMap
from fennelcove.rollouts.messages import PlaceKind
from fennelcove.rollouts.permit_entry import PROMISED_STATES, PermitEntry, PermitState
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.types import PersistedState, StoredPermit


def restore_grantor(
    settings: PermitSettings, disruption_map: DisruptionMap, persisted: PersistedState, now_us: int
) -> Grantor:
    """Create a grantor with the promises and written-off places of the previous incarnation."""
    entries = {
        permit.place: PermitEntry(PermitState.GRANTED, permit.asker, permit.life, permit.number)
        for permit in persisted.promises
        if permit.kind is settings.kind
    }
    for kind, place in persisted.off:
        if kind is settings.kind:
            entries[place] = PermitEntry(PermitState.WRITTEN_OFF)
    return Grantor(settings, disruption_map, now_us, persisted.whole, entries)


def take_changed_state(acceptor: Acceptor, grantors: Mapping[PlaceKind, Grantor]) -> PersistedState | None:
    """Return the state to persist and clear the change flags; None if nothing changed since the last call."""
    sources: list[Acceptor | Grantor] = [*grantors.values(), acceptor]
    if not any(source.has_unsaved_changes for source in sources):
        return None
    for source in sources:
        source.has_unsaved_changes = False
    return PersistedState(
        acceptor.term,
        acceptor.record,
        acceptor.is_record_known,
        not any(_has_unknown_entries(grantor) for grantor in grantors.values()),
        tuple(permit for grantor in grantors.values() for permit in _stored_permits(grantor)),
        tuple(
            (kind, place)
            for kind, grantor in grantors.items()
            for place in sorted(grantor.written_off_places())
        ),
    )


def _has_unknown_entries(grantor: Grantor) -> bool:
    return any(entry.state is PermitState.UNKNOWN for entry in grantor.entries.values())


def _stored_permits(grantor: Grantor) -> list[StoredPermit]:
    return [
        StoredPermit(grantor.settings.kind, place, entry.requester, entry.incarnation, entry.request_number)
        for place, entry in sorted(grantor.entries.items())
        if entry.state in PROMISED_STATES
    ]
