"""Operators' commands about releases: bodies read, handed to the book, answered with how the plan stands."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from fennelcove.core.rollout_coordinator import RolloutCoordinator
from fennelcove.ingress import replies
from fennelcove.ingress.replies import Reply
from fennelcove.rollouts.coordinator import Command, CommandKind, CommandOutcome
from fennelcove.rollouts.messages import PlaceKind, Plan
from fennelcove.wire.orders import FenceOrder, OutOrder, PlanOrder

PLANS = {"release-start": CommandKind.START, "release-change": CommandKind.CHANGE}
FENCED = {
    "release-halt": CommandKind.HALT,
    "release-on": CommandKind.RESUME,
    "release-back": CommandKind.ROLL_BACK,
}
CURES: dict[CommandOutcome, str] = {
    CommandOutcome.DONE: "",
    CommandOutcome.PENDING: "",
    CommandOutcome.STALE: "somebody else gave an order since; look at the state, then order with its fence",
    CommandOutcome.WRONG: "the plan does not stand so that this can be done; look at the state",
    CommandOutcome.BUSY: (
        "this front carries another order, or began too lately; ask another front, or in 3 s again"
    ),
    CommandOutcome.LOST: (
        "no majority of the fronts took it in time; it may still be taken: look at the state"
    ),
}
_PLAN: msgspec.json.Decoder[PlanOrder] = msgspec.json.Decoder(PlanOrder)
_FENCE: msgspec.json.Decoder[FenceOrder] = msgspec.json.Decoder(FenceOrder)
_OUT: msgspec.json.Decoder[OutOrder] = msgspec.json.Decoder(OutOrder)


class OperatorRoutes:
    """One front's orders about releases; whoever calls has checked the seal."""

    def __init__(self, front: str, book: RolloutCoordinator) -> None:
        self.front = front
        self.book = book

    def carry(self, what: str, body: bytes) -> Reply:
        """Carry out one, and say how the plan stands."""
        try:
            answer = self._call(what, body)()
        except msgspec.MsgspecError as error:
            return replies.fault("malformed", str(error))
        if answer is not CommandOutcome.DONE:
            return replies.fault("not-carried-out", f"{answer.name.lower()}: {CURES[answer]}")
        told = {"front": self.front, "answer": answer.name.lower(), **self.book.status()}
        return Reply(200, [replies.JSON], msgspec.json.encode(told))

    def _call(self, what: str, body: bytes) -> Callable[[], CommandOutcome]:
        book = self.book
        if what in PLANS:
            return self._plan(PLANS[what], _PLAN.decode(body))
        if what in FENCED:
            fence = _FENCE.decode(body).fence
            return lambda: book.submit_command(Command(FENCED[what], fence))
        if what == "release-anew":
            return book.declare_latest
        order = _OUT.decode(body)
        if what == "out":
            return lambda: book.request_front_out(order.version)
        if what == "box-out":
            return lambda: book.request_server_out(order.place)
        return lambda: book.write_off(PlaceKind[order.kind.upper()], order.place)

    def _plan(self, wish: CommandKind, told: PlanOrder) -> Callable[[], CommandOutcome]:
        plan = Plan(
            **{name: value for name, value in msgspec.structs.asdict(told).items() if name != "fence"}
        )
        return lambda: self.book.submit_command(Command(wish, told.fence, plan))
