"""What became of a call to one front, with a status for each way in which it can fail.

Whether a command took effect is known only from a response. Where no complete response came after it was
sent, it may have: such a call is indeterminate, and never counts as done or as failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus


class ReachStatus(Enum):
    """The status of one call."""

    DONE = "done"
    UNRESOLVED = "unresolved"  # no such host
    REFUSED = "refused"  # nothing listens there
    UNREACHABLE = "unreachable"  # no connection within its time
    SILENT = "silent"  # connected, and no response
    CUT_SHORT = "cut-short"  # a response began and was not completed
    GARBLED = "garbled"  # the response is malformed
    WRONG_KEY = "wrong-key"
    NOT_PERMITTED = "not-permitted"
    OTHER_FRONT = "other-front"  # it has another name than in the inventory
    DECLINED = "declined"  # it responded with an error
    NOT_ASKED = "not-asked"  # the time for all calls was over before its turn


class CallResult(Enum):
    """How far the call came."""

    RESOLVING = auto()
    CONNECTING = auto()
    SENT = auto()
    BYTES = auto()  # a response began


class CallFailure(Enum):
    """What ended it."""

    NO_HOST = auto()
    REFUSED = auto()
    TIME = auto()  # it timed out
    HUNG_UP = auto()  # the front closed the connection
    NO_HTTP = auto()


STATUS_BY_FAILURE: dict[tuple[CallResult, CallFailure], ReachStatus] = {
    (CallResult.RESOLVING, CallFailure.NO_HOST): ReachStatus.UNRESOLVED,
    (CallResult.RESOLVING, CallFailure.REFUSED): ReachStatus.UNRESOLVED,
    (CallResult.RESOLVING, CallFailure.TIME): ReachStatus.UNRESOLVED,
    (CallResult.RESOLVING, CallFailure.HUNG_UP): ReachStatus.UNRESOLVED,
    (CallResult.RESOLVING, CallFailure.NO_HTTP): ReachStatus.GARBLED,
    (CallResult.CONNECTING, CallFailure.NO_HOST): ReachStatus.UNRESOLVED,
    (CallResult.CONNECTING, CallFailure.REFUSED): ReachStatus.REFUSED,
    (CallResult.CONNECTING, CallFailure.TIME): ReachStatus.UNREACHABLE,
    (CallResult.CONNECTING, CallFailure.HUNG_UP): ReachStatus.REFUSED,
    (CallResult.CONNECTING, CallFailure.NO_HTTP): ReachStatus.GARBLED,
    (CallResult.SENT, CallFailure.NO_HOST): ReachStatus.SILENT,
    (CallResult.SENT, CallFailure.REFUSED): ReachStatus.SILENT,
    (CallResult.SENT, CallFailure.TIME): ReachStatus.SILENT,
    (CallResult.SENT, CallFailure.HUNG_UP): ReachStatus.SILENT,
    (CallResult.SENT, CallFailure.NO_HTTP): ReachStatus.GARBLED,
    (CallResult.BYTES, CallFailure.NO_HOST): ReachStatus.CUT_SHORT,
    (CallResult.BYTES, CallFailure.REFUSED): ReachStatus.CUT_SHORT,
    (CallResult.BYTES, CallFailure.TIME): ReachStatus.CUT_SHORT,
    (CallResult.BYTES, CallFailure.HUNG_UP): ReachStatus.CUT_SHORT,
    (CallResult.BYTES, CallFailure.NO_HTTP): ReachStatus.GARBLED,
}

# Sent without a complete response: a command may have taken effect.
INDETERMINATE_STATUSES = frozenset({ReachStatus.SILENT, ReachStatus.CUT_SHORT, ReachStatus.GARBLED})

SUCCESS_CODES = frozenset({HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT})
STATUS_BY_ERROR_CODE = {
    HTTPStatus.UNAUTHORIZED: ReachStatus.WRONG_KEY,
    HTTPStatus.FORBIDDEN: ReachStatus.NOT_PERMITTED,
}


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """What became of one call: the front's name, the status, and the body of its response."""

    name: str
    word: ReachStatus
    detail: str = ""
    said: dict[str, object] = field(default_factory=dict)
    took_us: int = 0

    @property
    def unknown(self) -> bool:
        """Whether the front may have carried out the command."""
        return self.word in INDETERMINATE_STATUSES


def answered(name: str, http_status: int, body: dict[str, object], took_us: int) -> CallOutcome:
    """The outcome of a call that got a complete response."""
    front = str(body.get("front", ""))
    detail = str(body.get("detail", ""))
    if http_status in SUCCESS_CODES:
        if front and front != name:
            return CallOutcome(name, ReachStatus.OTHER_FRONT, f"it calls itself {front}", body, took_us)
        return CallOutcome(name, ReachStatus.DONE, "", body, took_us)
    if http_status in STATUS_BY_ERROR_CODE:
        status = STATUS_BY_ERROR_CODE[HTTPStatus(http_status)]
        return CallOutcome(name, status, detail, body, took_us)
    return CallOutcome(name, ReachStatus.DECLINED, f"{http_status} {detail}".strip(), body, took_us)


class ExitCode(Enum):
    """The exit status of a command line call to many fronts."""

    ALL_DONE = 0
    SOME_FAILED = 1
    SOME_INDETERMINATE = 3


def ended(outcomes: Iterable[CallOutcome], is_command: bool) -> ExitCode:
    """The exit status of calls to many fronts.

    A query without a response has failed; a command without one may have taken effect.
    """
    found = list(outcomes)
    if is_command and any(outcome.unknown for outcome in found):
        return ExitCode.SOME_INDETERMINATE
    is_all_done = all(outcome.word is ReachStatus.DONE for outcome in found)
    return ExitCode.ALL_DONE if is_all_done else ExitCode.SOME_FAILED
