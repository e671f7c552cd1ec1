"""Each package declares exactly the dependencies that it imports.

An undeclared dependency fails only where the package is installed alone; here all packages are installed.
"""

from __future__ import annotations

import ast
import sys
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

from fennelcove import limit_messages, messages, rollout_messages, usage_messages

PACKAGES = Path(__file__).parents[1] / "packages"


def imported_names(path: Path) -> Iterator[str]:
    """Yield the dotted name of each import in a file."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def packages_by_module() -> dict[str, str]:
    """Return the package of each module."""
    packages = {}
    for package in PACKAGES.iterdir():
        for path in (package / "src").rglob("*.py"):
            name = ".".join(path.relative_to(package / "src").with_suffix("").parts)
            packages[name.removesuffix(".__init__")] = package.name
    return packages


def required_dependencies(package: Path, owners: dict[str, str]) -> set[str]:
    """Return the dependencies that a package has to declare: other packages and third-party ones."""
    dependencies = set()
    for path in (package / "src").rglob("*.py"):
        for name in imported_names(path):
            if name.split(".")[0] != "fennelcove":
                if name.split(".")[0] not in sys.stdlib_module_names:
                    dependencies.add(name.split(".")[0])
                continue
            imported = name
            while name not in owners:
                assert name, f"{path}: no package has {imported}"
                name = name.rpartition(".")[0]
            if owners[name] != package.name:
                dependencies.add(f"fennelcove-{owners[name]}")
    return dependencies


class WorkspaceTest(unittest.TestCase):
    def test_each_package_declares_what_it_imports_and_nothing_more(self) -> None:
        owners = packages_by_module()
        for package in sorted(PACKAGES.iterdir()):
            with self.subTest(package=package.name):
                declared = tomllib.loads((package / "pyproject.toml").read_text("utf-8"))["project"]
                assert set(declared["dependencies"]) == required_dependencies(package, owners)
                assert declared["name"] == f"fennelcove-{package.name}"
                assert (package / "README.md").exists()

    def test_requirements_install_only_what_the_node_and_the_simulator_adapter_import(self) -> None:
        owners, requirements = packages_by_module(), PACKAGES.parent / "requirements.txt"
        pending, visited = ["node", "simulator-adapter"], set()
        while pending:
            package = pending.pop()
            if package not in visited:
                visited.add(package)
                dependencies = required_dependencies(PACKAGES / package, owners)
                pending += [
                    name.removeprefix("fennelcove-")
                    for name in dependencies
                    if name.startswith("fennelcove-")
                ]
        lines = [line for line in requirements.read_text("utf-8").splitlines() if line.startswith("-e ")]
        # Dependencies that are declared for other uses only need not be listed.
        assert {line.removeprefix("-e packages/") for line in lines} <= visited


class MessageKindTest(unittest.TestCase):
    def test_kinds_of_peer_messages_have_different_first_bytes(self) -> None:
        # Rollout and limit messages once both began at 32, so that one was decoded as the other.
        kinds = [*messages.KINDS, *rollout_messages.KINDS, *limit_messages.KINDS, usage_messages.USAGE_REPORT]
        assert len(set(messages.KINDS)) == 8
        assert len(kinds) == len(set(kinds))
        assert max(kinds) < 256


if __name__ == "__main__":
    unittest.main()
