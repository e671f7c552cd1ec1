"""What fronts say to each other about who is out, as bytes: a kind, then fields of fixed size. Nothing here
decides; a figure past its bound is told as the bound, and what is out of range is not understood."""

from __future__ import annotations

import struct
from collections.abc import Callable

from fennelcove.rollouts.messages import (
    MAX_PROMISED_PLACES,
    MAX_OPEN_REQUESTS,
    PermitRequest,
    Kind,
    OpenRequest,
    RolloutOrder,
    RolloutPhase,
    Plan,
    HaltReason,
    RolloutRecord,
    Said,
    LeaderVoteRequest,
    ServingState,
    ProposalAck,
    Proposal,
    PermitVerdict,
    LeaderVote,
    PermitVote,
    Heartbeat,
)

WORD, ASK, VOTE, STAND, VOICE, TOLD, TAKEN, ORDER = range(32, 40)
KINDS = range(WORD, ORDER + 1)
MOST_BYTES = 256
HEAD = 1
# Life, number, the taker's life and its number repeated, how it stands, version, since, set-ups asked,
# served, refused, failed, level, storm, asks, term, turn, sure.
WORDS = struct.Struct(">QIQIBIIIIIIBBIIIB")
OPENED = struct.Struct(">BHIB")  # kind, place, number of the ask, whether it is granted
ASKED = struct.Struct(">QIBHII")  # life, number, kind, place, term, turn
VOTED = struct.Struct(">QIB")  # the asker's life, number of its ask, verdict; then the places held
PLACE = struct.Struct(">H")
STOOD = struct.Struct(">QI")  # life, term
VOICED = struct.Struct(">QIBB")  # the asker's life, term, yes, sure; then a record
# Term, turn, phase, reason, back, goal, fence; then the plan: number, wanted, before, canary, wave, soak,
# out, floor, refused, failed, worse, level, storm.
RECORD = struct.Struct(">IIBBBHIIIIHHIIHHHHBB")
TOOK = struct.Struct(">II")  # term, turn
MEANT = struct.Struct(">Q")  # the taker's life
TURN = struct.Struct(">QIII")  # the taker's life, term, turn, version
BOUNDS = {"B": 0xFF, "H": 0xFFFF, "I": 0xFFFF_FFFF, "Q": 0xFFFF_FFFF_FFFF_FFFF}


def _packed(shape: struct.Struct, *values: int) -> bytes:
    """Counters of a long life go past four bytes: they stop at the bound, which no difference counts."""
    codes = shape.format.lstrip(">")
    return shape.pack(*(min(int(v), BOUNDS[code]) for v, code in zip(values, codes, strict=True)))


def encode(said: Said) -> bytes:
    """One message, of 256 bytes at most."""
    kind, packer = PACKERS[type(said)]
    return bytes([kind]) + packer(said)


def decode(raw: bytes) -> Said | None:
    """What a message says; None where it is malformed, or of another build."""
    if not HEAD < len(raw) <= MOST_BYTES or raw[0] not in UNPACKERS:
        return None
    try:
        return UNPACKERS[raw[0]](raw[HEAD:])
    except (struct.error, ValueError):
        return None


def _word(word: Heartbeat) -> bytes:
    head = (
        word.incarnation,
        word.sequence,
        word.acked_incarnation,
        word.acked_sequence,
        word.serving_state,
        word.version,
    )
    counts = (
        word.serving_for_s,
        word.requested,
        word.served,
        word.refused,
        word.failed,
        word.shedding_level,
        word.storm_phase,
    )
    last = (word.last_request_number, word.term, word.turn, word.is_record_known)
    rows = [
        _packed(OPENED, one.kind, one.place, one.number, one.is_granted)
        for one in word.open_requests[:MAX_OPEN_REQUESTS]
    ]
    return _packed(WORDS, *head, *counts, *last) + b"".join(rows)


def _read_word(raw: bytes) -> Heartbeat:
    rows = raw[WORDS.size :]
    if len(rows) % OPENED.size or len(rows) > MAX_OPEN_REQUESTS * OPENED.size:
        raise ValueError(len(rows))
    life, number, heard_life, heard_number, stands, *counts, sure = WORDS.unpack_from(raw)
    opened = tuple(
        OpenRequest(Kind(kind), _place(place), ask, _flag(granted))
        for kind, place, ask, granted in OPENED.iter_unpack(rows)
    )
    # The fields in the order in which they stand.
    fields = (life, number, heard_life, heard_number, ServingState(stands), *counts, _flag(sure), opened)
    return Heartbeat(*fields)


def _ask(ask: PermitRequest) -> bytes:
    return _packed(ASKED, ask.incarnation, ask.number, ask.kind, ask.place, ask.term, ask.turn)


def _read_ask(raw: bytes) -> PermitRequest:
    life, number, kind, place, term, turn = ASKED.unpack(raw)
    return PermitRequest(life, number, Kind(kind), _place(place), term, turn)


def _vote(vote: PermitVote) -> bytes:
    held = b"".join(_packed(PLACE, place) for place in vote.promised_places[:MAX_PROMISED_PLACES])
    return _packed(VOTED, vote.requester_incarnation, vote.request_number, vote.verdict) + held


def _read_vote(raw: bytes) -> PermitVote:
    life, number, verdict = VOTED.unpack_from(raw)
    held = tuple(_place(place) for (place,) in PLACE.iter_unpack(raw[VOTED.size :]))
    if len(held) > MAX_PROMISED_PLACES:
        raise ValueError(len(held))
    return PermitVote(life, number, PermitVerdict(verdict), held)


def _stand(stand: LeaderVoteRequest) -> bytes:
    return _packed(STOOD, stand.incarnation, stand.term)


def _read_stand(raw: bytes) -> LeaderVoteRequest:
    return LeaderVoteRequest(*STOOD.unpack(raw))


def _record(record: RolloutRecord) -> bytes:
    plan = record.plan
    state = (record.term, record.turn, record.phase, record.reason, record.back, record.goal, record.fence)
    steps = (plan.number, plan.wanted, plan.before, plan.canary, plan.wave, plan.soak_ms, plan.out_ms)
    causes = (plan.floor, plan.refused, plan.failed, plan.worse, plan.level, plan.storm)
    return _packed(RECORD, *state, *steps, *causes)


def _read_record(raw: bytes) -> RolloutRecord:
    term, turn, phase, reason, back, goal, fence, *plan = RECORD.unpack(raw)
    return RolloutRecord(
        term, turn, RolloutPhase(phase), HaltReason(reason), _flag(back), goal, fence, Plan(*plan)
    )


def _voice(voice: LeaderVote) -> bytes:
    return _packed(
        VOICED, voice.candidate_incarnation, voice.term, voice.is_granted, voice.is_record_known
    ) + _record(voice.record)


def _read_voice(raw: bytes) -> LeaderVote:
    life, term, yes, sure = VOICED.unpack_from(raw)
    return LeaderVote(life, term, _flag(yes), _flag(sure), _read_record(raw[VOICED.size :]))


def _told(told: Proposal) -> bytes:
    return _packed(MEANT, told.receiver_incarnation) + _record(told.record)


def _read_told(raw: bytes) -> Proposal:
    (life,) = MEANT.unpack_from(raw)
    return Proposal(_read_record(raw[MEANT.size :]), life)


def _taken(taken: ProposalAck) -> bytes:
    return _packed(TOOK, taken.term, taken.turn)


def _read_taken(raw: bytes) -> ProposalAck:
    return ProposalAck(*TOOK.unpack(raw))


def _order(order: RolloutOrder) -> bytes:
    return _packed(TURN, order.receiver_incarnation, order.term, order.turn, order.version)


def _read_order(raw: bytes) -> RolloutOrder:
    return RolloutOrder(*TURN.unpack(raw))


def _flag(value: int) -> bool:
    if value > 1:
        raise ValueError(value)
    return bool(value)


def _place(value: int) -> int:
    if value > 0x7FFF:
        raise ValueError(value)
    return value


PACKERS: dict[type, tuple[int, Callable[..., bytes]]] = {
    Heartbeat: (WORD, _word),
    PermitRequest: (ASK, _ask),
    PermitVote: (VOTE, _vote),
    LeaderVoteRequest: (STAND, _stand),
    LeaderVote: (VOICE, _voice),
    Proposal: (TOLD, _told),
    ProposalAck: (TAKEN, _taken),
    RolloutOrder: (ORDER, _order),
}
UNPACKERS: dict[int, Callable[[bytes], Said]] = {
    WORD: _read_word,
    ASK: _read_ask,
    VOTE: _read_vote,
    STAND: _read_stand,
    VOICE: _read_voice,
    TOLD: _read_told,
    TAKEN: _read_taken,
    ORDER: _read_order,
}
