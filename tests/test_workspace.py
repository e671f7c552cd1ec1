"""Each package declares what it imports and nothing more: what one borrows unsaid breaks elsewhere."""

from __future__ import annotations

import ast
import sys
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

from fennelcove import limit_messages, messages, rollout_messages, usage_messages

PACKAGES = Path(__file__).parents[1] / "packages"


def imports(path: Path) -> Iterator[str]:
    """Every name that a file imports, dotted."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def modules() -> dict[str, str]:
    """The package that each module stands in."""
    found = {}
    for package in PACKAGES.iterdir():
        for path in (package / "src").rglob("*.py"):
            name = ".".join(path.relative_to(package / "src").with_suffix("").parts)
            found[name.removesuffix(".__init__")] = package.name
    return found


def needs(package: Path, owners: dict[str, str]) -> set[str]:
    """What a package imports of the others and of the registry, as it would be declared."""
    found = set()
    for path in (package / "src").rglob("*.py"):
        for name in imports(path):
            if name.split(".")[0] != "fennelcove":
                if name.split(".")[0] not in sys.stdlib_module_names:
                    found.add(name.split(".")[0])
                continue
            asked = name
            while name not in owners:
                assert name, f"{path}: no package holds {asked}"
                name = name.rpartition(".")[0]
            if owners[name] != package.name:
                found.add(f"fennelcove-{owners[name]}")
    return found


class WorkspaceTest(unittest.TestCase):
    def test_each_package_declares_what_it_imports_and_nothing_more(self) -> None:
        owners = modules()
        for package in sorted(PACKAGES.iterdir()):
            with self.subTest(package=package.name):
                declared = tomllib.loads((package / "pyproject.toml").read_text("utf-8"))["project"]
                assert set(declared["dependencies"]) == needs(package, owners)
                assert declared["name"] == f"fennelcove-{package.name}"
                assert (package / "README.md").exists()

    def test_what_run_and_sim_import_is_all_that_the_deploy_file_installs(self) -> None:
        owners, listed = modules(), PACKAGES.parent / "requirements.txt"
        wanted, met = ["node", "simulator-adapter"], set()
        while wanted:
            package = wanted.pop()
            if package not in met:
                met.add(package)
                found = needs(PACKAGES / package, owners)
                wanted += [
                    name.removeprefix("fennelcove-") for name in found if name.startswith("fennelcove-")
                ]
        lines = [line for line in listed.read_text("utf-8").splitlines() if line.startswith("-e ")]
        # What a listed package declares for other uses alone need not come along.
        assert {line.removeprefix("-e packages/") for line in lines} <= met


class KindsTest(unittest.TestCase):
    def test_no_two_kinds_of_message_between_fronts_share_a_first_byte(self) -> None:
        # Releases and slots both began at 32: with both in use a word of the one was read as the other's.
        kinds = [*messages.KINDS, *rollout_messages.KINDS, *limit_messages.KINDS, usage_messages.USAGE_REPORT]
        assert len(set(messages.KINDS)) == 8
        assert len(kinds) == len(set(kinds))
        assert max(kinds) < 256


if __name__ == "__main__":
    unittest.main()
