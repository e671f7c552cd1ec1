"""Byte codec of the messages of `fennelcove.rollouts`: a kind byte, then fields of fixed size.

The encoder clamps values to the maximum of their field; the decoder rejects messages with values out of range
as malformed. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

from fennelcove.rollouts.messages import (
    MAX_OPEN_REQUESTS,
    MAX_PROMISED_PLACES,
    HaltReason,
    Heartbeat,
    LeaderVote,
    LeaderVoteRequest,
    OpenRequest,
    PermitRequest,
    PermitVerdict,
    PermitVote,
    PlaceKind,
    Plan,
    Proposal,
    ProposalAck,
    RolloutMessage,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)

(
    HEARTBEAT,
    PERMIT_REQUEST,
    PERMIT_VOTE,
    LEADER_VOTE_REQUEST,
    LEADER_VOTE,
    PROPOSAL,
    PROPOSAL_ACK,
    ROLLOUT_ORDER,
) = range(32, 40)
KINDS = range(HEARTBEAT, ROLLOUT_ORDER + 1)
MAX_BYTES = 256
KIND_BYTES = 1
MAX_PLACE = 0x7FFF

# Incarnation, sequence, acknowledged incarnation and sequence, serving state, version, serving time,
# requested, served, refused, failed, shedding level, storm phase, last request number, term, turn, whether
# the record is known; then the open requests.
HEARTBEAT_FIELDS = struct.Struct(">QIQIBIIIIIIBBIIIB")
OPEN_REQUEST_FIELDS = struct.Struct(">BHIB")  # kind, place, request number, granted
PERMIT_REQUEST_FIELDS = struct.Struct(">QIBHII")  # incarnation, number, kind, place, term, turn
# Requester's incarnation, request number, verdict; then the promised places.
PERMIT_VOTE_FIELDS = struct.Struct(">QIB")
PLACE = struct.Struct(">H")
LEADER_VOTE_REQUEST_FIELDS = struct.Struct(">QI")  # incarnation, term
# Candidate's incarnation, term, granted, whether the record is known; then the record.
LEADER_VOTE_FIELDS = struct.Struct(">QIBB")
# Term, turn, phase, halt reason, rolling back, goal, fence; then the plan: number, wanted, before, canary,
# wave, soak time, outage time, floor, refused, failed, worse, level, storm.
RECORD_FIELDS = struct.Struct(">IIBBBHIIIIHHIIHHHHBB")
PROPOSAL_ACK_FIELDS = struct.Struct(">II")  # term, turn
RECEIVER_INCARNATION = struct.Struct(">Q")
ROLLOUT_ORDER_FIELDS = struct.Struct(">QIII")  # receiver's incarnation, term, turn, version
# Maximum of each `struct` format code.
FIELD_BOUNDS = {"B": 0xFF, "H": 0xFFFF, "I": 0xFFFF_FFFF, "Q": 0xFFFF_FFFF_FFFF_FFFF}


def encode(message: RolloutMessage) -> bytes:
    """Encode a message into at most 256 bytes."""
    kind, encoder = ENCODERS[type(message)]
    return bytes([kind]) + encoder(message)


def decode(raw: bytes) -> RolloutMessage | None:
    """Decode a message; None if it is malformed or its kind is unknown."""
    if not KIND_BYTES < len(raw) <= MAX_BYTES or raw[0] not in DECODERS:
        return None
    try:
        return DECODERS[raw[0]](raw[KIND_BYTES:])
    except (struct.error, ValueError):
        return None


def _pack(fields: struct.Struct, *values: int) -> bytes:
    """Pack values, clamped to their fields: counters of a long incarnation can exceed four bytes."""
    codes = fields.format.lstrip(">")
    bounds = [FIELD_BOUNDS[code] for code in codes]
    return fields.pack(*(min(int(value), bound) for value, bound in zip(values, bounds, strict=True)))


def _encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    fields = _pack(
        HEARTBEAT_FIELDS,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.acked_incarnation,
        heartbeat.acked_sequence,
        heartbeat.serving_state,
        heartbeat.version,
        heartbeat.serving_for_s,
        heartbeat.requested,
        heartbeat.served,
        heartbeat.refused,
        heartbeat.failed,
        heartbeat.shedding_level,
        heartbeat.storm_phase,
        heartbeat.last_request_number,
        heartbeat.term,
        heartbeat.turn,
        heartbeat.is_record_known,
    )
    open_requests = heartbeat.open_requests[:MAX_OPEN_REQUESTS]
    return fields + b"".join(_encode_open_request(one) for one in open_requests)


def _encode_open_request(request: OpenRequest) -> bytes:
    return _pack(OPEN_REQUEST_FIELDS, request.kind, request.place, request.number, request.is_granted)


def _decode_heartbeat(raw: bytes) -> Heartbeat:
    rows = raw[HEARTBEAT_FIELDS.size :]
    if len(rows) % OPEN_REQUEST_FIELDS.size or len(rows) > MAX_OPEN_REQUESTS * OPEN_REQUEST_FIELDS.size:
        raise ValueError(f"open requests take {len(rows)} bytes: not a whole number of rows, or too many")
    incarnation, sequence, acked_incarnation, acked_sequence, *state = HEARTBEAT_FIELDS.unpack_from(raw)
    serving_state, *counts, is_record_known = state
    open_requests = tuple(
        OpenRequest(PlaceKind(kind), _checked_place(place), number, _checked_flag(is_granted))
        for kind, place, number, is_granted in OPEN_REQUEST_FIELDS.iter_unpack(rows)
    )
    # In the order in which `Heartbeat` declares its fields.
    fields = (
        incarnation,
        sequence,
        acked_incarnation,
        acked_sequence,
        ServingState(serving_state),
        *counts,
        _checked_flag(is_record_known),
        open_requests,
    )
    return Heartbeat(*fields)


def _encode_permit_request(request: PermitRequest) -> bytes:
    return _pack(
        PERMIT_REQUEST_FIELDS,
        request.incarnation,
        request.number,
        request.kind,
        request.place,
        request.term,
        request.turn,
    )


def _decode_permit_request(raw: bytes) -> PermitRequest:
    incarnation, number, kind, place, term, turn = PERMIT_REQUEST_FIELDS.unpack(raw)
    return PermitRequest(incarnation, number, PlaceKind(kind), _checked_place(place), term, turn)


def _encode_permit_vote(vote: PermitVote) -> bytes:
    places = vote.promised_places[:MAX_PROMISED_PLACES]
    fields = _pack(PERMIT_VOTE_FIELDS, vote.requester_incarnation, vote.request_number, vote.verdict)
    return fields + b"".join(_pack(PLACE, place) for place in places)


def _decode_permit_vote(raw: bytes) -> PermitVote:
    incarnation, number, verdict = PERMIT_VOTE_FIELDS.unpack_from(raw)
    rows = PLACE.iter_unpack(raw[PERMIT_VOTE_FIELDS.size :])
    places = tuple(_checked_place(place) for (place,) in rows)
    if len(places) > MAX_PROMISED_PLACES:
        raise ValueError(f"{len(places)} promised places, maximum {MAX_PROMISED_PLACES}")
    return PermitVote(incarnation, number, PermitVerdict(verdict), places)


def _encode_leader_vote_request(request: LeaderVoteRequest) -> bytes:
    return _pack(LEADER_VOTE_REQUEST_FIELDS, request.incarnation, request.term)


def _decode_leader_vote_request(raw: bytes) -> LeaderVoteRequest:
    return LeaderVoteRequest(*LEADER_VOTE_REQUEST_FIELDS.unpack(raw))


def _encode_record(record: RolloutRecord) -> bytes:
    plan = record.plan
    state = (record.term, record.turn, record.phase, record.reason, record.back, record.goal, record.fence)
    steps = (plan.number, plan.wanted, plan.before, plan.canary, plan.wave, plan.soak_ms, plan.out_ms)
    limits = (plan.floor, plan.refused, plan.failed, plan.worse, plan.level, plan.storm)
    return _pack(RECORD_FIELDS, *state, *steps, *limits)


def _decode_record(raw: bytes) -> RolloutRecord:
    term, turn, phase, reason, back, goal, fence, *plan = RECORD_FIELDS.unpack(raw)
    is_back = _checked_flag(back)
    return RolloutRecord(
        term, turn, RolloutPhase(phase), HaltReason(reason), is_back, goal, fence, Plan(*plan)
    )


def _encode_leader_vote(vote: LeaderVote) -> bytes:
    fields = _pack(
        LEADER_VOTE_FIELDS, vote.candidate_incarnation, vote.term, vote.is_granted, vote.is_record_known
    )
    return fields + _encode_record(vote.record)


def _decode_leader_vote(raw: bytes) -> LeaderVote:
    incarnation, term, is_granted, is_known = LEADER_VOTE_FIELDS.unpack_from(raw)
    record = _decode_record(raw[LEADER_VOTE_FIELDS.size :])
    return LeaderVote(incarnation, term, _checked_flag(is_granted), _checked_flag(is_known), record)


def _encode_proposal(proposal: Proposal) -> bytes:
    return _pack(RECEIVER_INCARNATION, proposal.receiver_incarnation) + _encode_record(proposal.record)


def _decode_proposal(raw: bytes) -> Proposal:
    (receiver_incarnation,) = RECEIVER_INCARNATION.unpack_from(raw)
    return Proposal(_decode_record(raw[RECEIVER_INCARNATION.size :]), receiver_incarnation)


def _encode_proposal_ack(ack: ProposalAck) -> bytes:
    return _pack(PROPOSAL_ACK_FIELDS, ack.term, ack.turn)


def _decode_proposal_ack(raw: bytes) -> ProposalAck:
    return ProposalAck(*PROPOSAL_ACK_FIELDS.unpack(raw))


def _encode_rollout_order(order: RolloutOrder) -> bytes:
    return _pack(ROLLOUT_ORDER_FIELDS, order.receiver_incarnation, order.term, order.turn, order.version)


def _decode_rollout_order(raw: bytes) -> RolloutOrder:
    return RolloutOrder(*ROLLOUT_ORDER_FIELDS.unpack(raw))


def _checked_flag(value: int) -> bool:
    if value > 1:
        raise ValueError(f"flag {value} is neither 0 nor 1")
    return bool(value)


def _checked_place(value: int) -> int:
    if value > MAX_PLACE:
        raise ValueError(f"place {value} is above {MAX_PLACE}")
    return value


ENCODERS: dict[type, tuple[int, Callable[..., bytes]]] = {
    Heartbeat: (HEARTBEAT, _encode_heartbeat),
    PermitRequest: (PERMIT_REQUEST, _encode_permit_request),
    PermitVote: (PERMIT_VOTE, _encode_permit_vote),
    LeaderVoteRequest: (LEADER_VOTE_REQUEST, _encode_leader_vote_request),
    LeaderVote: (LEADER_VOTE, _encode_leader_vote),
    Proposal: (PROPOSAL, _encode_proposal),
    ProposalAck: (PROPOSAL_ACK, _encode_proposal_ack),
    RolloutOrder: (ROLLOUT_ORDER, _encode_rollout_order),
}
DECODERS: dict[int, Callable[[bytes], RolloutMessage]] = {
    HEARTBEAT: _decode_heartbeat,
    PERMIT_REQUEST: _decode_permit_request,
    PERMIT_VOTE: _decode_permit_vote,
    LEADER_VOTE_REQUEST: _decode_leader_vote_request,
    LEADER_VOTE: _decode_leader_vote,
    PROPOSAL: _decode_proposal,
    PROPOSAL_ACK: _decode_proposal_ack,
    ROLLOUT_ORDER: _decode_rollout_order,
}
