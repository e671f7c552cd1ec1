"""What an operator may have to act on: what happened, where, and what can be done about it.

A type stands beside what raises it and has a code of its own that stays what it is over versions: alarms and
pages go by it. Errors that never reach an operator, because whoever calls acts on them, are no troubles;
`python -m fennelcove.errors` lists both.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The base of all.

    Attributes:
        code: the type's name for alarms and pages; a released one is never given another meaning.
        advice: what an operator can do about any of its kind.
        happened: what was found, for this one.
        where: the file, line, field or address; "" where the type tells.
        cure: what would do for this one; "" where it is the advice.
    """

    code: ClassVar[str] = ""
    advice: ClassVar[str] = ""

    def __init__(self, happened: str, where: str = "", cure: str = "") -> None:
        self.happened = happened
        self.where = where
        self.cure = cure
        super().__init__("; ".join(filter(None, (self.sentence, cure))))

    @property
    def sentence(self) -> str:
        """Where, and what happened."""
        return f"{self.where}: {self.happened}" if self.where else self.happened

    @property
    def remedy(self) -> str:
        """What can be done: for this one where that is known, and for any of its kind."""
        return f"{self.cure}. {self.advice}" if self.cure else self.advice

    def fields(self) -> dict[str, str]:
        """As fields of a log line: `reason` is the sentence."""
        return {"reason": self.sentence, "code": self.code, "advice": self.remedy}

    def lines(self) -> str:
        """As lines for a terminal."""
        return f"{self.sentence}\n  what can be done: {self.remedy} [{self.code}]"
