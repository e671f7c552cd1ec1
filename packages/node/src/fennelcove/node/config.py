"""A front node's configuration, read from the JSON file named by the environment."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

from fennelcove import platform_settings as settings_reader
from fennelcove.errors import OperatorError
from fennelcove.interface import Settings
from fennelcove.node.address import Address, parse_address
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError
from fennelcove.platform_settings import ConnectionSettings, PlatformSettingsError

DEFAULT_CONNECT_TIMEOUT_US = 250_000  # if the settings give none
DEFAULT_IDLE_TIMEOUT_US = 30_000_000
DEFAULT_SOCKET_LIMIT = 256
MIN_SOCKET_LIMIT = 32
# Raised for malformed files; RecursionError if JSON is nested too deeply for the parser.
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
    advice = "Correct the file named by EDGE_CONFIG; a running node keeps its current configuration"


class ConfigMismatchError(OperatorError):
    """A front node's configuration file, reloaded at SIGHUP, is another node's or needs a restart."""

    code = "node-configuration-foreign"
    advice = "Restore the node's own file, or restart the node to use this one; it keeps its configuration"


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
    # `limits` and `settings` as read from the file, to name the keys that differ at a reload.
    raw_sections: dict[str, dict[str, Any]]

    def fields_changed_in(self, reloaded: Config) -> list[str]:
        """Return the names in the file of the fields that differ in a reloaded one and need a restart.

        `board`, `known` and `seed` may change at any reload. Settings that the node doesn't read are ignored.
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
        ConfigError: the file is unreadable or not JSON, or a field is invalid.
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
        ConfigError: as for `load`.
        ConfigMismatchError: the file is another node's, or changes a field that needs a restart.
    """
    reloaded = load(path)
    changed = running.fields_changed_in(reloaded)
    if changed:
        raise ConfigMismatchError(f"differs from the running configuration in {', '.join(changed)}", path)
    return reloaded


def parse(tree: Any) -> Config:
    """Return the configuration in a parsed JSON tree.

    Raises:
        ConfigError, PlatformSettingsError, DiscoveryError, ValueError: a field is invalid.
    """
    if not isinstance(tree, dict):
        raise ConfigError("the configuration is not a JSON object")
    settings, _ = settings_reader.read_settings(tree.get("settings"))
    connection = settings_reader.connection_settings(tree.get("settings"))
    limits = settings_reader.SettingsReader(tree.get("limits", {}), "limits")
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
