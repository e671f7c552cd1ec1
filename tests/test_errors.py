"""Every error is one that an operator is told what to do about, or one that is listed as nobody's."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

from click.testing import CliRunner
from fennelcove.errors import OperatorError
from fennelcove.errors.__main__ import APART, operator_errors, page

ROOT = Path(__file__).parents[1]


def raised_types() -> set[str]:
    """Every class of the packages that derives, by its source, from an exception of Python's."""
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
    def test_each_type_tells_an_operator_what_to_do_or_is_listed_as_nobodys(self) -> None:
        """A new type with a sentence alone, or one that is listed and is gone."""
        assert raised_types() - {"fennelcove.errors.OperatorError"} == set(APART)

    def test_codes_are_of_one_form_and_no_two_types_share_one(self) -> None:
        """An alarm on a code that stands for two troubles, or for none."""
        codes = [kind.code for kind in operator_errors()]
        assert len(codes) > 10
        assert len(codes) == len(set(codes))
        for kind in operator_errors():
            with self.subTest(kind=kind.__name__):
                assert re.search("^[a-z]+(-[a-z]+)+$", kind.code)
                assert re.search("^[A-Z`].{20,}[^.;]$", kind.advice)
                assert "|" not in kind.advice

    def test_the_operators_page_is_what_the_types_say(self) -> None:
        """A page that tells of last month's types."""
        assert (ROOT / "docs/operate/errors.md").read_text("utf-8") == page()

    def test_the_command_line_prints_what_happened_and_what_can_be_done(self) -> None:
        """A sentence alone, after which the operator has to guess."""
        from fennelcove.cli.main import main

        for words in (
            ["config", "check", "/nowhere.sexp"],
            ["keys", "list", "/nowhere"],
            ["store", "inspect", "/no"],
        ):
            with self.subTest(words=words):
                told = CliRunner().invoke(main, words)
                assert told.exit_code == 2
                first, second = told.output.splitlines()
                assert re.search("^fennelcove: /no\\S*: found ", first)
                assert re.search("^  what can be done: .+ \\[[a-z-]+\\]$", second)

    def test_fields_of_a_log_line(self) -> None:
        """A code or an advice that the log loses."""

        class Lost(OperatorError):
            code, advice = "thing-lost", "Look for it"

        told = Lost("found none", "here", "bring one").fields()
        assert told["reason"] == "here: found none"
        assert (told["code"], told["advice"]) == ("thing-lost", "bring one. Look for it")


if __name__ == "__main__":
    unittest.main()
