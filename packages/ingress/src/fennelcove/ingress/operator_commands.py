"""Operator commands over HTTP: authorized, recorded in the audit file, executed and answered."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.decisions.clients.admission import AdmissionEvent
from fennelcove.decisions.operators import command_authorization
from fennelcove.decisions.operators.command_authorization import CommandAuthorizer, CommandVerdict
from fennelcove.ingress import replies
from fennelcove.ingress.operator_routes import OperatorRoutes
from fennelcove.ingress.replies import Reply

ADMISSION_EVENTS = {"drain": AdmissionEvent.DRAIN, "undrain": AdmissionEvent.UNDRAIN}
STATUS_BY_VERDICT = {
    CommandVerdict.UNSIGNED: 401,
    CommandVerdict.WRONG_KEY: 401,
    CommandVerdict.STALE: 401,
    CommandVerdict.REPLAYED: 409,
    CommandVerdict.NOT_PERMITTED: 403,
    CommandVerdict.BUSY: 503,
}


class OperatorCommands:
    """Executes a front's operator commands; `write_audit_record` records each one before it is executed."""

    def __init__(
        self, core: Core, clock: Clock, authorizer: CommandAuthorizer, write_audit_record: Callable[..., None]
    ) -> None:
        self.core = core
        self.clock = clock
        self.authorizer = authorizer
        self.write_audit_record = write_audit_record
        self.rollout_commands: OperatorRoutes | None = None  # set if the settings have a releases section
        self.lock = threading.Lock()

    def handle(self, header: str | None, path: str, command: str, body: bytes) -> Reply:
        """Authorize, record and execute a command."""
        with self.lock:
            verdict, key = self.authorizer.authorize(header, "POST", path, body, True, self.clock.wall_us())
        self.core.context.increment(f"commands_{verdict.value}")
        try:
            self.write_audit_record(
                wall_us=self.clock.wall_us(), key=key, command=command, verdict=verdict.value
            )
        except OSError as error:
            if verdict is CommandVerdict.GRANTED:  # a command that can't be recorded must not be executed
                return replies.fault("failed", f"the audit file can't be written ({error.strerror})")
        if verdict is not CommandVerdict.GRANTED:
            problem_kind = "not-permitted" if verdict is CommandVerdict.NOT_PERMITTED else "no-key"
            return replies.fault(
                problem_kind,
                f"{verdict.value}: {command_authorization.REMEDIES[verdict]}",
                STATUS_BY_VERDICT[verdict],
            )
        if command in ADMISSION_EVENTS:
            return Reply(
                200,
                [replies.JSON],
                msgspec.json.encode(self.core.admission.change_state(ADMISSION_EVENTS[command])),
            )
        if self.rollout_commands is None:
            return replies.fault("not-carried-out", "this front's settings have no releases section")
        return self.rollout_commands.execute(command, body)
