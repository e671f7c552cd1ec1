"""Every error type either gives advice to operators, or is listed as handled by its callers."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

from click.testing import CliRunner
from fennelcove.errors import OperatorError
from fennelcove.errors.__main__ import CALLER_HANDLED, operator_errors, page

ROOT = Path(__file__).parents[1]


def raised_types() -> set[str]:
    """All classes in the source of the packages that derive directly from a Python exception."""
    found = set()
    for source in (ROOT / "packages").glob("*/src"):
        for path in source.rglob("*.py"):
            module = ".".join(path.relative_to(source).with_suffix("").parts).removesuffix(".__init__")
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(node, ast.ClassDef) and any(
                    isinstance(base, ast.Name)
                    and re.fullmatch(r"(?!OperatorError$)\w*(Exception|Error)", base.id)
                    for base in node.bases
                ):
                    found.add(f"{module}.{node.name}")
    return found


class ErrorsTest(unittest.TestCase):
    def test_each_type_gives_advice_or_is_listed_as_handled_by_its_callers(self) -> None:
        """Guards against a new type without advice, and against a listed type that no longer exists."""
        assert raised_types() - {"fennelcove.errors.OperatorError"} == set(CALLER_HANDLED)

    def test_codes_have_one_form_and_are_unique(self) -> None:
        """Guards against an alarm on a code that means two errors, or none."""
        codes = [error_type.code for error_type in operator_errors()]
        assert len(codes) > 10
        assert len(codes) == len(set(codes))
        for error_type in operator_errors():
            with self.subTest(error_type=error_type.__name__):
                assert re.search("^[a-z]+(-[a-z]+)+$", error_type.code)
                assert re.search("^[A-Z`].{20,}[^.;]$", error_type.advice)
                assert "|" not in error_type.advice

    def test_the_page_for_operators_is_up_to_date(self) -> None:
        """Guards against a page that describes error types of an earlier version."""
        assert (ROOT / "docs/operate/errors.md").read_text("utf-8") == page()

    def test_the_command_line_prints_what_happened_and_what_can_be_done(self) -> None:
        """Guards against an error message without advice."""
        from fennelcove.cli.main import main

        for arguments in (
            ["config", "check", "/nowhere.sexp"],
            ["keys", "list", "/nowhere"],
            ["store", "inspect", "/no"],
        ):
            with self.subTest(arguments=arguments):
                result = CliRunner().invoke(main, arguments)
                assert result.exit_code == 2
                first, second = result.output.splitlines()
                assert re.search("^fennelcove: /no\\S*: found ", first)
                assert re.search("^  what can be done: .+ \\[[a-z-]+\\]$", second)

    def test_fields_of_a_log_line(self) -> None:
        """Guards against a log line without the code or the advice."""

        class Lost(OperatorError):
            code, advice = "thing-lost", "Look for it"

        fields = Lost("found none", "here", "bring one").fields()
        assert fields["reason"] == "here: found none"
        assert (fields["code"], fields["advice"]) == ("thing-lost", "bring one. Look for it")


if __name__ == "__main__":
    unittest.main()
