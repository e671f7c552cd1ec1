"""The outcome of a call to one front, with a status for each way in which a call can fail.

Only a response shows whether a command took effect. If a command was sent and no complete response arrived,
it may have taken effect: such a call is indeterminate, and counts neither as done nor as failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus


class CallStatus(Enum):
    """The status of one call."""

    DONE = "done"
    UNRESOLVED = "unresolved"  # no such host
    REFUSED = "refused"  # the connection was refused
    UNREACHABLE = "unreachable"  # the connection timed out
    SILENT = "silent"  # connected, but no response
    CUT_SHORT = "cut-short"  # an incomplete response
    GARBLED = "garbled"  # a malformed response
    WRONG_KEY = "wrong-key"
    NOT_PERMITTED = "not-permitted"
    OTHER_FRONT = "other-front"  # the front's name differs from the one in the inventory
    DECLINED = "declined"  # the front responded with an error
    NOT_ASKED = "not-asked"  # the time limit of all calls passed before this call started


class CallProgress(Enum):
    """The progress of a call when it failed."""

    RESOLVING = auto()
    CONNECTING = auto()
    SENT = auto()
    RESPONSE_STARTED = auto()


class CallFailure(Enum):
    """The cause of a failed call."""

    HOST_NOT_FOUND = auto()
    CONNECTION_REFUSED = auto()
    TIMED_OUT = auto()
    CONNECTION_CLOSED = auto()  # by the front
    MALFORMED_RESPONSE = auto()


STATUS_BY_FAILURE: dict[tuple[CallProgress, CallFailure], CallStatus] = {
    (CallProgress.RESOLVING, CallFailure.HOST_NOT_FOUND): CallStatus.UNRESOLVED,
    (CallProgress.RESOLVING, CallFailure.CONNECTION_REFUSED): CallStatus.UNRESOLVED,
    (CallProgress.RESOLVING, CallFailure.TIMED_OUT): CallStatus.UNRESOLVED,
    (CallProgress.RESOLVING, CallFailure.CONNECTION_CLOSED): CallStatus.UNRESOLVED,
    (CallProgress.RESOLVING, CallFailure.MALFORMED_RESPONSE): CallStatus.GARBLED,
    (CallProgress.CONNECTING, CallFailure.HOST_NOT_FOUND): CallStatus.UNRESOLVED,
    (CallProgress.CONNECTING, CallFailure.CONNECTION_REFUSED): CallStatus.REFUSED,
    (CallProgress.CONNECTING, CallFailure.TIMED_OUT): CallStatus.UNREACHABLE,
    (CallProgress.CONNECTING, CallFailure.CONNECTION_CLOSED): CallStatus.REFUSED,
    (CallProgress.CONNECTING, CallFailure.MALFORMED_RESPONSE): CallStatus.GARBLED,
    (CallProgress.SENT, CallFailure.HOST_NOT_FOUND): CallStatus.SILENT,
    (CallProgress.SENT, CallFailure.CONNECTION_REFUSED): CallStatus.SILENT,
    (CallProgress.SENT, CallFailure.TIMED_OUT): CallStatus.SILENT,
    (CallProgress.SENT, CallFailure.CONNECTION_CLOSED): CallStatus.SILENT,
    (CallProgress.SENT, CallFailure.MALFORMED_RESPONSE): CallStatus.GARBLED,
    (CallProgress.RESPONSE_STARTED, CallFailure.HOST_NOT_FOUND): CallStatus.CUT_SHORT,
    (CallProgress.RESPONSE_STARTED, CallFailure.CONNECTION_REFUSED): CallStatus.CUT_SHORT,
    (CallProgress.RESPONSE_STARTED, CallFailure.TIMED_OUT): CallStatus.CUT_SHORT,
    (CallProgress.RESPONSE_STARTED, CallFailure.CONNECTION_CLOSED): CallStatus.CUT_SHORT,
    (CallProgress.RESPONSE_STARTED, CallFailure.MALFORMED_RESPONSE): CallStatus.GARBLED,
}

# Sent without a complete response: a command may have taken effect.
INDETERMINATE_STATUSES = frozenset({CallStatus.SILENT, CallStatus.CUT_SHORT, CallStatus.GARBLED})

SUCCESS_CODES = frozenset({HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT})
STATUS_BY_ERROR_CODE = {
    HTTPStatus.UNAUTHORIZED: CallStatus.WRONG_KEY,
    HTTPStatus.FORBIDDEN: CallStatus.NOT_PERMITTED,
}


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of one call: the front's name, the status, and the body of its response."""

    front: str
    status: CallStatus
    detail: str = ""
    body: dict[str, object] = field(default_factory=dict)
    took_us: int = 0

    @property
    def is_indeterminate(self) -> bool:
        """Whether the command may have taken effect."""
        return self.status in INDETERMINATE_STATUSES


def outcome_of_response(name: str, http_status: int, body: dict[str, object], took_us: int) -> CallOutcome:
    """The outcome of a call that got a complete response."""
    front = str(body.get("front", ""))
    detail = str(body.get("detail", ""))
    if http_status in SUCCESS_CODES:
        if front and front != name:
            return CallOutcome(name, CallStatus.OTHER_FRONT, f"it calls itself {front}", body, took_us)
        return CallOutcome(name, CallStatus.DONE, "", body, took_us)
    if http_status in STATUS_BY_ERROR_CODE:
        status = STATUS_BY_ERROR_CODE[HTTPStatus(http_status)]
        return CallOutcome(name, status, detail, body, took_us)
    return CallOutcome(name, CallStatus.DECLINED, f"{http_status} {detail}".strip(), body, took_us)


class ExitCode(Enum):
    """The exit status of a command that calls many fronts."""

    ALL_DONE = 0
    SOME_FAILED = 1
    SOME_INDETERMINATE = 3


def exit_code(outcomes: Iterable[CallOutcome], is_command: bool) -> ExitCode:
    """The exit status of calls to many fronts.

    A query without a response has failed, while a command without one may have taken effect.
    """
    found = list(outcomes)
    if is_command and any(outcome.is_indeterminate for outcome in found):
        return ExitCode.SOME_INDETERMINATE
    is_all_done = all(outcome.status is CallStatus.DONE for outcome in found)
    return ExitCode.ALL_DONE if is_all_done else ExitCode.SOME_FAILED
