"""What fronts say to each other about who is out, as bytes: a kind, then fields of fixed size. Nothing here
decides; a figure past its bound is told as the bound, and what is out of range is not understood."""

from __future__ import annotations

import struct
from collections.abc import Callable

from fennelcove.rollouts.messages import (
    MOST_HELD,
    MOST_OPEN,
    Ask,
    Kind,
    Open,
    Order,
    Phase,
    Plan,
    Reason,
    Record,
    Said,
    Stand,
    Stands,
    Taken,
    Told,
    Verdict,
    Voice,
    Vote,
    Word,
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


def _word(word: Word) -> bytes:
    head = (word.life, word.number, word.heard_life, word.heard_number, word.stands, word.version)
    counts = (word.since_s, word.asked, word.served, word.refused, word.failed, word.level, word.storm)
    last = (word.asks, word.term, word.turn, word.sure)
    rows = [_packed(OPENED, one.kind, one.place, one.number, one.granted) for one in word.open[:MOST_OPEN]]
    return _packed(WORDS, *head, *counts, *last) + b"".join(rows)


def _read_word(raw: bytes) -> Word:
    rows = raw[WORDS.size :]
    if len(rows) % OPENED.size or len(rows) > MOST_OPEN * OPENED.size:
        raise ValueError(len(rows))
    life, number, heard_life, heard_number, stands, *counts, sure = WORDS.unpack_from(raw)
    opened = tuple(
        Open(Kind(kind), _place(place), ask, _flag(granted))
        for kind, place, ask, granted in OPENED.iter_unpack(rows)
    )
    # The fields in the order in which they stand.
    fields = (life, number, heard_life, heard_number, Stands(stands), *counts, _flag(sure), opened)
    return Word(*fields)


def _ask(ask: Ask) -> bytes:
    return _packed(ASKED, ask.life, ask.number, ask.kind, ask.place, ask.term, ask.turn)


def _read_ask(raw: bytes) -> Ask:
    life, number, kind, place, term, turn = ASKED.unpack(raw)
    return Ask(life, number, Kind(kind), _place(place), term, turn)


def _vote(vote: Vote) -> bytes:
    held = b"".join(_packed(PLACE, place) for place in vote.held[:MOST_HELD])
    return _packed(VOTED, vote.life, vote.number, vote.verdict) + held


def _read_vote(raw: bytes) -> Vote:
    life, number, verdict = VOTED.unpack_from(raw)
    held = tuple(_place(place) for (place,) in PLACE.iter_unpack(raw[VOTED.size :]))
    if len(held) > MOST_HELD:
        raise ValueError(len(held))
    return Vote(life, number, Verdict(verdict), held)


def _stand(stand: Stand) -> bytes:
    return _packed(STOOD, stand.life, stand.term)


def _read_stand(raw: bytes) -> Stand:
    return Stand(*STOOD.unpack(raw))


def _record(record: Record) -> bytes:
    plan = record.plan
    state = (record.term, record.turn, record.phase, record.reason, record.back, record.goal, record.fence)
    steps = (plan.number, plan.wanted, plan.before, plan.canary, plan.wave, plan.soak_ms, plan.out_ms)
    causes = (plan.floor, plan.refused, plan.failed, plan.worse, plan.level, plan.storm)
    return _packed(RECORD, *state, *steps, *causes)


def _read_record(raw: bytes) -> Record:
    term, turn, phase, reason, back, goal, fence, *plan = RECORD.unpack(raw)
    return Record(term, turn, Phase(phase), Reason(reason), _flag(back), goal, fence, Plan(*plan))


def _voice(voice: Voice) -> bytes:
    return _packed(VOICED, voice.life, voice.term, voice.yes, voice.sure) + _record(voice.record)


def _read_voice(raw: bytes) -> Voice:
    life, term, yes, sure = VOICED.unpack_from(raw)
    return Voice(life, term, _flag(yes), _flag(sure), _read_record(raw[VOICED.size :]))


def _told(told: Told) -> bytes:
    return _packed(MEANT, told.life) + _record(told.record)


def _read_told(raw: bytes) -> Told:
    (life,) = MEANT.unpack_from(raw)
    return Told(_read_record(raw[MEANT.size :]), life)


def _taken(taken: Taken) -> bytes:
    return _packed(TOOK, taken.term, taken.turn)


def _read_taken(raw: bytes) -> Taken:
    return Taken(*TOOK.unpack(raw))


def _order(order: Order) -> bytes:
    return _packed(TURN, order.life, order.term, order.turn, order.version)


def _read_order(raw: bytes) -> Order:
    return Order(*TURN.unpack(raw))


def _flag(value: int) -> bool:
    if value > 1:
        raise ValueError(value)
    return bool(value)


def _place(value: int) -> int:
    if value > 0x7FFF:
        raise ValueError(value)
    return value


PACKERS: dict[type, tuple[int, Callable[..., bytes]]] = {
    Word: (WORD, _word),
    Ask: (ASK, _ask),
    Vote: (VOTE, _vote),
    Stand: (STAND, _stand),
    Voice: (VOICE, _voice),
    Told: (TOLD, _told),
    Taken: (TAKEN, _taken),
    Order: (ORDER, _order),
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
