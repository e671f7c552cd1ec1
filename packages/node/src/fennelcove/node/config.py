"""A front node's configuration, read from the file that the platform names."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

from fennelcove import facts
from fennelcove.errors import OperatorError
from fennelcove.facts import ConnectionSettings, PlatformSettingsError
from fennelcove.interface import Settings
from fennelcove.node.address import Address, parse_address
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError

DEFAULT_CONNECT_TIMEOUT_US = 250_000  # if the settings name no limit
DEFAULT_IDLE_TIMEOUT_US = 30_000_000
DEFAULT_SOCKET_LIMIT = 256
MIN_SOCKET_LIMIT = 32
# Raised by files of another form; RecursionError if nested deeper than the parser follows.
UNUSABLE_ERRORS = (
    OSError,
    ValueError,
    TypeError,
    ArithmeticError,
    RecursionError,
    PlatformSettingsError,
    DiscoveryError,
)


class ConfigError(OperatorError):
    """A front node's configuration can't be used."""

    code = "node-configuration-unusable"
    advice = "Correct the file that EDGE_CONFIG names; a node that runs goes on by what it had read"


class ConfigMismatchError(OperatorError):
    """A front node's configuration at SIGHUP is not the one of the node that runs."""

    code = "node-configuration-foreign"
    advice = "Put the node's own file back, or restart the node to run by this one; it goes on as it was"


@dataclass(frozen=True, slots=True, eq=False)
class Config:
    """One front node's configuration."""

    name: str
    listen: Address
    seed: int
    socket_limit: int
    discovery_address: Address
    initial_batch: DiscoveryBatch
    settings: Settings
    connection_settings: ConnectionSettings
    # `limits` and `settings` as the file has them, to name the keys that differ.
    raw_sections: dict[str, dict[str, Any]]

    def fields_changed_in(self, reloaded: Config) -> list[str]:
        """Return the fields that differ in a reloaded file, by their names in the file.

        `board`, `known` and `seed` may differ at each reading. Settings that are not read don't count.
        """
        found = [name for name in ("name", "listen") if getattr(self, name) != getattr(reloaded, name)]
        settings_differ = (
            asdict(self.settings) != asdict(reloaded.settings)
            or self.connection_settings != reloaded.connection_settings
        )
        for part in ("limits", "settings") if settings_differ else ("limits",):
            was, now = self.raw_sections[part], reloaded.raw_sections[part]
            found += [
                f"{part}.{key}" for key in sorted(was.keys() | now.keys()) if was.get(key) != now.get(key)
            ]
        return found


def load(path: str) -> Config:
    """Read the file.

    Raises:
        ConfigError: unreadable, no JSON, or a field that can't be used.
    """
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
        return parse(tree)
    except UNUSABLE_ERRORS as error:
        raise ConfigError(f"{type(error).__name__}: {error}", path or "EDGE_CONFIG") from None


def reload(path: str, running: Config) -> Config:
    """Read the file again while the node runs.

    Raises:
        ConfigError: as `load`.
        ConfigMismatchError: it is another node's, or changes a field that takes a restart.
    """
    reloaded = load(path)
    changed = running.fields_changed_in(reloaded)
    if changed:
        raise ConfigMismatchError(f"differs from what the node runs by in {', '.join(changed)}", path)
    return reloaded


def parse(tree: Any) -> Config:
    """Return the configuration in a parsed JSON tree.

    Raises:
        ConfigError, PlatformSettingsError, DiscoveryError, ValueError: a field can't be used.
    """
    if not isinstance(tree, dict):
        raise ConfigError("found no object")
    settings, _ = facts.read_settings(tree.get("settings"))
    connection = facts.connection_settings(tree.get("settings"))
    limits = facts.SettingsReader(tree.get("limits", {}), "limits")
    seed = tree.get("seed", "0")
    return Config(
        name=str(tree.get("name", "")),
        listen=parse_address(tree.get("listen")),
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        socket_limit=max(MIN_SOCKET_LIMIT, int(limits.number("sockets", DEFAULT_SOCKET_LIMIT))),
        discovery_address=parse_address(tree.get("board")),
        initial_batch=DiscoveryBatch.parse(tree.get("known", {"rev": 0, "notices": []})),
        settings=settings,
        connection_settings=ConnectionSettings(
            connection.connect_us or DEFAULT_CONNECT_TIMEOUT_US,
            connection.idle_us or DEFAULT_IDLE_TIMEOUT_US,
            connection.longest_us,
        ),
        raw_sections={"limits": limits.tree, "settings": tree["settings"]},
    )
