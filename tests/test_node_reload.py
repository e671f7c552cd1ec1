"""What a front node applies from its configuration at SIGHUP, and how it reports an invalid one."""

from __future__ import annotations

import copy
import json
import re
import signal
import unittest
from collections.abc import Callable
from typing import Any

from fennelcove.node.config_reloader import MAX_ATTEMPTS

from tests.node_harness import FakeDiscovery, FakeServer, wait_until
from tests.node_process_control import (
    SHORT_TIMEOUT_SETTINGS,
    BlockingPipe,
    LoggedNodeProcess,
    start_node_process,
)


class ReloadTest(unittest.TestCase):
    def start_node(self) -> LoggedNodeProcess:
        """Start a node that ends with the test."""
        node = LoggedNodeProcess(FakeServer("s0", 0))
        self.addCleanup(node.close)
        return node

    def reload(self, node: LoggedNodeProcess, change: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
        """Change the configuration, send SIGHUP, and return the log line that follows."""
        node_config = copy.deepcopy(node.config)
        change(node_config)
        replacement = node.config_path.with_suffix(".other")
        replacement.write_text(json.dumps(node_config))
        replacement.replace(node.config_path)
        before = len(node.log_events("config_reloaded", "config_reload_failed"))
        node.send_signal(signal.SIGHUP)
        lines = wait_until(
            lambda: node.log_events("config_reloaded", "config_reload_failed")[before:], "a log line"
        )
        return dict(lines[0])

    def test_the_configuration_of_another_node_is_rejected_completely(self) -> None:
        node = self.start_node()
        foreign_discovery = FakeDiscovery(node.discovery.notices)

        def update_settings(node_config: dict[str, Any], **fields: Any) -> None:
            node_config["settings"].update(fields)

        service_class = {**SHORT_TIMEOUT_SETTINGS["Lanes"][0], "Name": "other"}
        changes: dict[str, Callable[[dict[str, Any]], Any]] = {
            "name": lambda node_config: node_config.update(name="n7"),
            "listen": lambda node_config: node_config.update(listen="127.0.0.1:9"),
            "limits.sockets": lambda node_config: node_config["limits"].update(sockets=64),
            "limits.memory_mb": lambda node_config: node_config["limits"].update(memory_mb=32),
            "settings.Lanes": lambda node_config: update_settings(node_config, Lanes=[service_class]),
            "settings.Balancers": lambda node_config: update_settings(node_config, Balancers=2),
            "settings.Allowed": lambda node_config: update_settings(
                node_config, Allowed={"ConnIdleMs": 1000}
            ),
        }
        for field, change in changes.items():
            with self.subTest(field):

                def make_foreign(
                    node_config: dict[str, Any], change: Callable[[dict[str, Any]], Any] = change
                ) -> None:
                    node_config["board"] = foreign_discovery.address
                    change(node_config)

                line = self.reload(node, make_foreign)
                assert (line["event"], line.get("code")) == (
                    "config_reload_failed",
                    "node-configuration-foreign",
                )
                assert line["reason"].endswith(f"differs from the running configuration in {field}"), line
                assert "restart the node" in line["advice"]
        poll_count = node.discovery.poll_count
        wait_until(
            lambda: node.discovery.poll_count > poll_count + 2, "polls at the node's own discovery service"
        )
        assert foreign_discovery.poll_count == 0
        client = node.connect_client()
        client.set_up("9b1f03aa5c7e2d41")
        assert client.receive_response().status == 200

    def test_a_rejected_file_is_logged_once(self) -> None:
        node = self.start_node()
        node.config_path.unlink()
        pipe = BlockingPipe(node.config_path)
        node.send_signal(signal.SIGHUP)
        for _ in range(MAX_ATTEMPTS):  # each attempt after one signal reads the same text
            descriptor = pipe.wait_for_reader()
            pipe.replace()
            pipe.write_and_close(descriptor, "{")
        wait_until(lambda: node.log_events("config_reload_failed"), "the logged failure")
        node.send_signal(signal.SIGHUP)
        pipe.write_and_close(pipe.wait_for_reader(), json.dumps(node.config))
        wait_until(lambda: node.log_events("config_reloaded"), "the valid file")
        assert len(node.log_events("config_reload_failed")) == 1

    def test_a_partly_written_file_is_read_again(self) -> None:
        node = self.start_node()
        node.config_path.unlink()
        pipe = BlockingPipe(node.config_path)
        node.send_signal(signal.SIGHUP)
        descriptor = pipe.wait_for_reader()
        node.write_config()  # the complete file is in place before the partial one has been read
        pipe.write_and_close(descriptor, "{")
        wait_until(lambda: node.log_events("config_reloaded"), "the complete file")
        assert node.log_events("config_reload_failed") == []

    def test_the_node_s_own_file_with_another_discovery_address_is_applied(self) -> None:
        node = self.start_node()
        discovery = FakeDiscovery(node.discovery.notices)

        def change_discovery(node_config: dict[str, Any]) -> None:
            node_config.update(board=discovery.address, seed="0f", known={"rev": 0, "notices": []})
            node_config["settings"]["NotRead"] = 7  # a setting that the node does not use

        assert self.reload(node, change_discovery)["event"] == "config_reloaded"
        wait_until(lambda: discovery.poll_count > 2, "polls at the new discovery service")


class InvalidFileTest(unittest.TestCase):
    """An invalid configuration, at the start and at SIGHUP."""

    def invalid_files(self, valid_config: dict[str, Any]) -> dict[str, str]:
        """Invalid contents of the configuration file, by their fault."""

        def with_settings(**fields: Any) -> str:
            return json.dumps({**valid_config, "settings": {**valid_config["settings"], **fields}})

        return {
            "empty": "",
            "truncated": json.dumps(valid_config)[:-40],
            "binary data": "\x00\x01",
            "a list": "[]",
            "nested too deeply": "[" * 100_000,
            "no settings": json.dumps({**valid_config, "settings": None}),
            "no service classes": with_settings(Lanes=[]),
            "a timeout that is too large": with_settings(Allowed={"ConnIdleMs": 1e308}),
            "no address": json.dumps({**valid_config, "listen": "nowhere"}),
            "no discovery address": json.dumps({**valid_config, "board": None}),
            "a seed that is a list": json.dumps({**valid_config, "seed": []}),
            "a seed that is too large": json.dumps({**valid_config, "seed": 0}).replace(
                '"seed": 0', '"seed": 1e999'
            ),
            "an invalid known list": json.dumps(
                {**valid_config, "known": {"rev": 1, "notices": [{"pool": 7}]}}
            ),
            "a start time that is too large": json.dumps(valid_config).replace(
                '"born_ms": 0', '"born_ms": 1e308'
            ),
        }

    def test_at_the_start_it_is_reported_with_advice_and_status_1(self) -> None:
        node = LoggedNodeProcess(FakeServer("s0", 0))
        self.addCleanup(node.close)
        path = node.config_path.with_name("invalid.json")
        contents = self.invalid_files(node.config)
        # The running node's own address: no other process can listen on it.
        contents["an address in use"] = json.dumps(node.config)
        for name, text in [*contents.items(), ("missing", None)]:
            with self.subTest(name):
                path.unlink(missing_ok=True)
                if text is not None:
                    path.write_text(text)
                process = start_node_process(path)
                output, _ = process.communicate(timeout=30)
                assert process.returncode == 1
                assert "Traceback" not in output
                assert re.search(
                    "(?s)^fennelcove: .+\\n  what can be done: .+ \\[node-configuration-\\w+\\]\\n$", output
                )

    def test_at_sighup_the_previous_configuration_stays_in_force(self) -> None:
        node = LoggedNodeProcess(FakeServer("s0", 0))
        self.addCleanup(node.close)
        for count, (name, text) in enumerate(self.invalid_files(node.config).items(), 1):
            with self.subTest(name):
                node.config_path.write_text(text)
                node.send_signal(signal.SIGHUP)
                lines = wait_until(
                    lambda count=count: node.log_events("config_reload_failed")[count - 1 :],
                    "the logged failure",
                )
                assert lines[0].get("code") == "node-configuration-unusable"
        poll_count = node.discovery.poll_count
        wait_until(
            lambda: node.discovery.poll_count > poll_count + 2, "polls at the node's own discovery service"
        )
        assert node.health_status() == 200
