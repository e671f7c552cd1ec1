"""When those who are turned away should come back, and who may come in while a storm lasts.

Each one turned away gets a place: a time span in a queue that exists only as a promise. Places are given out
at the pace at which this front's set-ups have lately been served, which rises as cold boxes warm up, so that
the crowd comes back as room comes free. A place is a token with a MAC over what it promises to whom: no state
is kept for it, a front that restarts with the same key honours it, and an invented one is known.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec
from msgspec import Struct

LEAST_WAIT_US = 1_000_000  # Retry-After counts whole seconds
LONGEST_WAIT_US = 120_000_000  # past it nobody waits: a promise that long is not made
SPAN_SHARE = 0.25  # of the wait is the span in which the holder may come: it spreads those whose clocks agree
SPAN_LEAST_US = 500_000
LEAST_PACE = 0.5  # set-ups a second that are promised where nothing was served lately
FIRSTS_SHARE = 0.5  # of the pace is kept for first tries, the rest for those who come back: neither starves
DEBT = 2.0  # seconds of its pace that a class may save up
GROWTH = 2.0  # a second, while nothing is refused: room that is there must not wait for a slow guess
CUT = 0.7
OVER = 1.25  # times what is served, so that room that comes free is asked for at once
MOST_PACE = 1000.0
TOKEN_CHARS = 400

Mac = Callable[[bytes], bytes]


class Place(Struct, frozen=True, array_like=True):
    """What was promised: whom, for what, and between which wall times in microseconds."""

    client: str
    title: str
    room_type: str
    earliest_us: int
    latest_us: int


class Standing(Enum):
    """How one that asks stands."""

    FIRST = auto()  # a first try
    AGAIN = auto()  # a further try without a place
    EARLY = auto()  # a place whose time has not come
    DUE = auto()  # a place, in its time
    LATE = auto()  # a place whose time has passed: better than none
    INVENTED = auto()  # a token that nobody here made, or made for another


class Ruling(Enum):
    """What the door does."""

    LET_IN = auto()  # ask the module
    KEEP_PLACE = auto()  # come back when the place says
    NEW_PLACE = auto()  # refused, with a place


# While places are kept. Those whose time has come are let in as long as the pace lasts, first tries by their
# share.
TABLE: dict[Standing, tuple[Ruling, bool]] = {
    Standing.FIRST: (Ruling.LET_IN, True),
    Standing.AGAIN: (Ruling.NEW_PLACE, False),
    Standing.EARLY: (Ruling.KEEP_PLACE, False),
    Standing.DUE: (Ruling.LET_IN, True),
    Standing.LATE: (Ruling.LET_IN, True),
    Standing.INVENTED: (Ruling.NEW_PLACE, False),
}


def seal(place: Place, mac: Mac) -> str:
    """A place as a token."""
    body = msgspec.json.encode(place)
    return f"{_text(body)}.{_text(mac(body))}"


def unseal(token: str, macs: list[Mac]) -> Place | None:
    """The place of a token made under one of these keys; None for any other text."""
    if len(token) > TOKEN_CHARS:
        return None
    body, _, sealed = token.partition(".")
    try:
        raw, mark = _bytes(body), _bytes(sealed)
    except ValueError:
        return None
    known = False
    for mac in macs:
        made = mac(raw)
        known |= len(made) == len(mark) and _same(made, mark)
    if not known:
        return None
    try:
        return msgspec.json.decode(raw, type=Place)
    except msgspec.MsgspecError:
        return None


def _same(one: bytes, other: bytes) -> bool:
    """Equal, found in a time that does not tell how far."""
    differs = 0
    for a, b in zip(one, other, strict=True):
        differs |= a ^ b
    return differs == 0


def _text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def _bytes(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def standing(
    place: Place | None, token: bool, again: bool, asked: tuple[str, str, str], wall_us: int
) -> Standing:
    """How one stands that asks for (client, title, room type)."""
    if place is None:
        return Standing.INVENTED if token else Standing.AGAIN if again else Standing.FIRST
    if (place.client, place.title, place.room_type) != asked:
        return Standing.INVENTED
    if wall_us < place.earliest_us:
        return Standing.EARLY
    return Standing.DUE if wall_us <= place.latest_us else Standing.LATE


@dataclass(slots=True)
class Bucket:
    """What one class may still take, in set-ups; never below nothing."""

    level: float = 0.0

    def fill(self, more: float, most: float) -> float:
        """Add; what is over is handed back."""
        self.level += more
        over = max(0.0, self.level - most)
        self.level -= over
        return over

    def take(self) -> bool:
        """One set-up."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class Queue:
    """The promise of one front: its pace, and the time up to which places are given out. Microseconds."""

    now_us: int
    pace: float = LEAST_PACE  # set-ups a second that are let in and promised
    next_us: int = 0
    served: int = 0
    rate: float = 0.0  # set-ups served a second, smoothed
    firsts: Bucket = field(default_factory=Bucket)
    backs: Bucket = field(default_factory=Bucket)

    def advance(self, now_us: int, refusing: bool) -> None:
        """Time passes: the pace follows what can be served, and both classes' buckets fill.

        What was served is no measure of what could be: in a calm it is what was asked for. So the pace
        doubles each second while the module refuses next to nobody, and falls towards what was served while
        it refuses.
        """
        seconds = (now_us - self.now_us) / 1e6
        if seconds < 0.25:
            return
        rate = self.served / seconds
        self.rate += (rate - self.rate) * min(1.0, seconds / 2)
        grown = self.pace * GROWTH ** min(seconds, DEBT)
        self.pace = max(self.rate * OVER, self.pace * CUT) if refusing else grown
        self.pace = min(MOST_PACE, max(LEAST_PACE, self.pace))
        self.now_us, self.served = now_us, 0
        gained, most = self.pace * min(seconds, DEBT), max(1.0, self.pace * DEBT)
        over = self.firsts.fill(gained * FIRSTS_SHARE, most)
        over = self.backs.fill(gained * (1 - FIRSTS_SHARE) + over, most)
        # What one class leaves the other may have: no pace is lost while anybody waits.
        self.firsts.fill(over, most)

    def begin(self) -> None:
        """A storm has begun: the pace starts at what was served lately, and what a calm saved up is void."""
        self.pace = min(MOST_PACE, max(LEAST_PACE, self.rate))
        self.firsts, self.backs = Bucket(), Bucket()

    def admit(self, who: Standing) -> bool:
        """Whether the pace still has room for one of this standing."""
        own, other = (self.firsts, self.backs) if who is Standing.FIRST else (self.backs, self.firsts)
        if own.take():
            return True
        # Of the other class only what it has saved up over a second of its share is free to take.
        return other.level > self.pace * FIRSTS_SHARE + 1 and other.take()

    def promise(self, now_us: int, most_us: int | None, draw: float) -> tuple[int, int]:
        """The earliest and latest wait of the next place, from now.

        One place after another at the pace. A client that heeds no wait beyond `most_us` is told a time
        within it, spread over its upper half, since a longer one would be taken for none.
        """
        self.next_us = max(self.next_us + round(1e6 / self.pace), now_us + LEAST_WAIT_US)
        wait_us = self.next_us - now_us
        if wait_us > LONGEST_WAIT_US:
            self.next_us = now_us + LONGEST_WAIT_US
            wait_us = round(LONGEST_WAIT_US * (0.5 + draw / 2))
        if most_us is not None and wait_us > max(most_us, LEAST_WAIT_US):
            wait_us = round(max(most_us, LEAST_WAIT_US) * (0.5 + draw / 2))
            wait_us = max(LEAST_WAIT_US, wait_us)
        span_us = max(SPAN_LEAST_US, round(wait_us * SPAN_SHARE))
        return wait_us, wait_us + span_us
