"""What became of one front that was asked or told something: a word for each way in which it can fail.

Whether a command took effect is known only from an answer. Where none came whole after it was sent, it may
have: that is a word of its own, and never counted as done or as failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto


class ReachStatus(Enum):
    """One front's outcome."""

    DONE = "done"
    UNRESOLVED = "unresolved"  # no such host
    REFUSED = "refused"  # nobody listens there
    UNREACHABLE = "unreachable"  # no connection within its time
    SILENT = "silent"  # connected, and nothing came
    CUT_SHORT = "cut-short"  # an answer began and did not end
    GARBLED = "garbled"  # what came is no answer
    WRONG_KEY = "wrong-key"
    NOT_PERMITTED = "not-permitted"
    OTHER_FRONT = "other-front"  # another name than the inventory's
    DECLINED = "declined"  # it answered, and would not
    NOT_ASKED = "not-asked"  # the whole time was over before its turn


class CallResult(Enum):
    """How far it came."""

    RESOLVING = auto()
    CONNECTING = auto()
    SENT = auto()
    BYTES = auto()


class CallFailure(Enum):
    """What ended it."""

    NO_HOST = auto()
    REFUSED = auto()
    TIME = auto()
    HUNG_UP = auto()
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
# Sent, and no whole answer: a command may have taken effect.
INDETERMINATE_STATUSES = frozenset({ReachStatus.SILENT, ReachStatus.CUT_SHORT, ReachStatus.GARBLED})


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """What became of one front; `said` is its answer's body."""

    name: str
    word: ReachStatus
    detail: str = ""
    said: dict[str, object] = field(default_factory=dict)
    took_us: int = 0

    @property
    def unknown(self) -> bool:
        """Whether it may have carried out what it was told."""
        return self.word in INDETERMINATE_STATUSES


def answered(name: str, status: int, body: dict[str, object], took_us: int) -> CallOutcome:
    """What a whole answer means."""
    front = str(body.get("front", ""))
    detail = str(body.get("detail", ""))
    if status in (200, 201, 204):
        if front and front != name:
            return CallOutcome(name, ReachStatus.OTHER_FRONT, f"it calls itself {front}", body, took_us)
        return CallOutcome(name, ReachStatus.DONE, "", body, took_us)
    if status == 401:
        return CallOutcome(name, ReachStatus.WRONG_KEY, detail, body, took_us)
    if status == 403:
        return CallOutcome(name, ReachStatus.NOT_PERMITTED, detail, body, took_us)
    return CallOutcome(name, ReachStatus.DECLINED, f"{status} {detail}".strip(), body, took_us)


class ExitCode(Enum):
    """How a whole call ended, as exit status."""

    ALL_DONE = 0
    SOME_FAILED = 1
    SOME_INDETERMINATE = 3


def ended(outcomes: Iterable[CallOutcome], commands: bool) -> ExitCode:
    """The exit status of a call; a question that got no answer has failed, a command may have been heard."""
    found = list(outcomes)
    if commands and any(outcome.unknown for outcome in found):
        return ExitCode.SOME_INDETERMINATE
    return (
        ExitCode.ALL_DONE
        if all(outcome.word is ReachStatus.DONE for outcome in found)
        else ExitCode.SOME_FAILED
    )
