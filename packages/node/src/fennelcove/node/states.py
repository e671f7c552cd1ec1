"""Where a subscription of the node stands, what moves it on, and what is done then."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from fennelcove.interface import ClientGone, Event, JoinEnded, Outcome, Started
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Code, Kind
from fennelcove.node.parties import State, Subscription
from fennelcove.rtsp import writer as rtsp

Input = Enum("Input", "JOIN ANSWERED ENDED THROTTLE TERMINATE RUNG MOVE VIEWER_GONE STOP")


class Hands(Protocol):
    """What effects are carried out with; the node's lock is held."""

    def now_us(self) -> int: ...

    def tell(self, event: Event) -> None: ...

    def carry(self, sub: Subscription) -> None: ...

    def answer(self, sub: Subscription, data: bytes) -> bool: ...

    def to_viewer(self, sub: Subscription, data: bytes) -> None: ...

    def to_server(self, sub: Subscription, data: bytes) -> None: ...

    def forget(self, sub: Subscription) -> None: ...


Effect = Callable[[Hands, Subscription], None]

# What a server's release means to the viewer who is owed one.
RELEASES = {Outcome.SERVED: Cause.OK}


def step(hands: Hands, sub: Subscription, given: Input) -> bool:
    """Move on; False where the input means nothing here, as what crosses with an end does."""
    row = TABLE.get((sub.state, given))
    if row is None:
        return False
    sub.state, effect = row
    effect(hands, sub)
    return True


def nothing(hands: Hands, sub: Subscription) -> None:
    """The effect of a row that only keeps its state."""


def carry(hands: Hands, sub: Subscription) -> None:
    if sub.viewer is not None and sub.viewer.left():
        # Its end lies unread while its thread waits for the lock, perhaps for long.
        step(hands, sub, Input.VIEWER_GONE)
    else:
        hands.carry(sub)


def start(hands: Hands, sub: Subscription) -> None:
    """The server's description goes to the viewer as it is."""
    join = sub.join
    assert join is not None
    answer = rtsp.answer(200, ("CSeq", sub.cseq), ("Session", sub.name), body=sub.answer)
    heard = hands.answer(sub, answer)
    if sub.viewer is not None:
        sub.viewer.open.pop(sub, None)
        sub.viewer.standing[sub] = None
    sub.description = sub.answer = b""
    join.link = None
    join.server.standing[sub] = None
    hands.tell(Started(sub.key, join.number, hands.now_us() - join.sent_us))
    if not heard:
        # Its connection broke under the answer: left standing, it would fill the server's link for nobody.
        step(hands, sub, Input.VIEWER_GONE)


def over(hands: Hands, sub: Subscription, finished: bool) -> None:
    join = sub.join
    assert join is not None
    join.link = None
    join.server.seen[join.outcome] += 1
    if finished:
        hands.forget(sub)
    hands.tell(JoinEnded(sub.key, join.number, join.outcome, finished, join.report))


def join_over(hands: Hands, sub: Subscription) -> None:
    over(hands, sub, False)


def end(hands: Hands, sub: Subscription) -> None:
    """What stood is over at its server; its viewer is owed a release, unless it ended it itself."""
    assert sub.join is not None
    if sub.join.outcome is not Outcome.CALLED_OFF:
        cause = RELEASES.get(sub.join.outcome, Cause.RESET)
        hands.to_viewer(sub, release(sub, cause))
    over(hands, sub, True)


def release(sub: Subscription, cause: Cause) -> bytes:
    fields = (("CSeq", "2"), ("Session", sub.name), ("Reason", f"cause={int(cause)}"))
    return rtsp.request("TEARDOWN", f"rtsp://media/{sub.title}", *fields)


def leave(hands: Hands, sub: Subscription) -> None:
    """The viewer has ended what stood: its server must let go of it."""
    assert sub.join is not None
    hands.to_server(sub, isup.release(sub.id, Cause.OK))
    sub.join.outcome = Outcome.CALLED_OFF
    over(hands, sub, True)


def give_up(hands: Hands, sub: Subscription) -> None:
    """Nobody waits for the answer any more."""
    assert sub.join is not None
    if sub.join.link is not None:
        sub.join.link.give_up(sub)
    sub.join.outcome = Outcome.CALLED_OFF
    hands.tell(ClientGone(sub.key))
    over(hands, sub, True)


def gone(hands: Hands, sub: Subscription) -> None:
    hands.forget(sub)
    hands.tell(ClientGone(sub.key))


def throttle(hands: Hands, sub: Subscription) -> None:
    wait = (("Come-Back-Ms", str(max(1, sub.wait_us // 1000))),) if sub.wait_us else ()
    hands.answer(sub, rtsp.answer(453, ("CSeq", sub.cseq), ("Session", sub.name), *wait))
    hands.forget(sub)


def terminate(hands: Hands, sub: Subscription) -> None:
    hands.answer(sub, rtsp.answer(500, ("CSeq", sub.cseq), ("Session", sub.name)))
    hands.forget(sub)


def abandon(hands: Hands, sub: Subscription) -> None:
    """Answered past the module, which may have failed on it and holds it still."""
    terminate(hands, sub)
    hands.tell(ClientGone(sub.key))


def cut_short(hands: Hands, sub: Subscription) -> None:
    """The node ends: one answer is owed all the same, and nobody can tell whether the join ran."""
    hands.answer(sub, rtsp.answer(500, ("CSeq", sub.cseq), ("Session", sub.name)))
    give_up(hands, sub)


def change_rung(hands: Hands, sub: Subscription) -> None:
    hands.to_server(sub, isup.message(Kind.RUNG, sub.id, (Code.RUNG, b"%d" % (sub.rung or 0))))


def move(hands: Hands, sub: Subscription) -> None:
    fields = (("CSeq", "4"), ("Session", sub.name))
    hands.to_viewer(sub, rtsp.request("REDIRECT", f"rtsp://media/{sub.title}", *fields))
    leave(hands, sub)


TABLE: dict[tuple[State, Input], tuple[State, Effect]] = {
    (State.OPEN, Input.JOIN): (State.JOINING, carry),
    (State.OPEN, Input.RUNG): (State.OPEN, nothing),  # goes out with the set-up
    (State.OPEN, Input.THROTTLE): (State.OVER, throttle),
    (State.OPEN, Input.TERMINATE): (State.OVER, terminate),
    (State.OPEN, Input.VIEWER_GONE): (State.OVER, gone),
    (State.JOINING, Input.ANSWERED): (State.STANDING, start),
    (State.JOINING, Input.ENDED): (State.OPEN, join_over),
    (State.JOINING, Input.VIEWER_GONE): (State.OVER, give_up),
    (State.OPEN, Input.STOP): (State.OVER, abandon),
    (State.JOINING, Input.STOP): (State.OVER, cut_short),
    (State.STANDING, Input.RUNG): (State.STANDING, change_rung),
    (State.STANDING, Input.MOVE): (State.OVER, move),
    (State.STANDING, Input.ENDED): (State.OVER, end),
    (State.STANDING, Input.VIEWER_GONE): (State.OVER, leave),
}
