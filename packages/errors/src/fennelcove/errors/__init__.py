"""The base type of errors that an operator may have to act on: what happened, where, and the remedy.

Each error type is defined in the module that raises it, and has a code that never changes its meaning, since
alarms and documentation refer to it. Errors that callers handle, and that never reach an operator, do not
derive from this type; `python -m fennelcove.errors` lists both.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The base type of all errors for operators.

    Attributes:
        code: identifies the type in alarms and documentation; a released code never gets another meaning.
        advice: what an operator can do about any error of the type.
        happened: what was found in this case.
        where: the file, line, field or address; "" if the type implies it.
        suggestion: the remedy for this case; "" if `advice` is all there is.
    """

    code: ClassVar[str] = ""
    advice: ClassVar[str] = ""

    def __init__(self, happened: str, where: str = "", suggestion: str = "") -> None:
        self.happened = happened
        self.where = where
        self.suggestion = suggestion
        super().__init__("; ".join(filter(None, (self.sentence, suggestion))))

    @property
    def sentence(self) -> str:
        """The location, if there is one, and what happened."""
        return f"{self.where}: {self.happened}" if self.where else self.happened

    @property
    def remedy(self) -> str:
        """What can be done: the remedy for this case, if there is one, and the advice for the type."""
        return f"{self.suggestion}. {self.advice}" if self.suggestion else self.advice

    def fields(self) -> dict[str, str]:
        """The fields of a log line; `reason` is the sentence."""
        return {"reason": self.sentence, "code": self.code, "advice": self.remedy}

    def lines(self) -> str:
        """The text for a terminal, in two lines."""
        return f"{self.sentence}\n  what can be done: {self.remedy} [{self.code}]"
