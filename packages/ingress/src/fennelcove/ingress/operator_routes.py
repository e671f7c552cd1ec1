"""Operator commands about rollouts: decodes and submits them, and answers with the plan's state."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from fennelcove.core.rollout_coordinator import RolloutCoordinator
from fennelcove.ingress import replies
from fennelcove.ingress.replies import Reply
from fennelcove.rollouts.coordinator import Command, CommandKind, CommandOutcome
from fennelcove.rollouts.messages import PlaceKind, Plan
from fennelcove.wire.operator_commands import FenceOrder, OutOrder, PlanOrder

PLAN_COMMANDS = {"release-start": CommandKind.START, "release-change": CommandKind.CHANGE}
FENCED_COMMANDS = {
    "release-halt": CommandKind.HALT,
    "release-on": CommandKind.RESUME,
    "release-back": CommandKind.ROLL_BACK,
}
REMEDIES: dict[CommandOutcome, str] = {
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
    """Executes a front's rollout commands; the caller has already authorized them."""

    def __init__(self, front: str, coordinator: RolloutCoordinator) -> None:
        self.front = front
        self.coordinator = coordinator

    def execute(self, command: str, body: bytes) -> Reply:
        """Execute a command and answer with the state of the rollout plan."""
        try:
            outcome = self._operation(command, body)()
        except msgspec.MsgspecError as error:
            return replies.fault("malformed", str(error))
        if outcome is not CommandOutcome.DONE:
            return replies.fault("not-carried-out", f"{outcome.name.lower()}: {REMEDIES[outcome]}")
        response = {"front": self.front, "answer": outcome.name.lower(), **self.coordinator.status()}
        return Reply(200, [replies.JSON], msgspec.json.encode(response))

    def _operation(self, command: str, body: bytes) -> Callable[[], CommandOutcome]:
        coordinator = self.coordinator
        if command in PLAN_COMMANDS:
            return self._plan(PLAN_COMMANDS[command], _PLAN.decode(body))
        if command in FENCED_COMMANDS:
            fence = _FENCE.decode(body).fence
            return lambda: coordinator.submit_command(Command(FENCED_COMMANDS[command], fence))
        if command == "release-anew":
            return coordinator.declare_latest
        order = _OUT.decode(body)
        if command == "out":
            return lambda: coordinator.request_front_out(order.version)
        if command == "box-out":
            return lambda: coordinator.request_server_out(order.place)
        return lambda: coordinator.write_off(PlaceKind[order.kind.upper()], order.place)

    def _plan(self, kind: CommandKind, order: PlanOrder) -> Callable[[], CommandOutcome]:
        plan = Plan(
            **{name: value for name, value in msgspec.structs.asdict(order).items() if name != "fence"}
        )
        return lambda: self.coordinator.submit_command(Command(kind, order.fence, plan))
