"""The command `fennelcove fleet`, with real fronts and with each way in which a front can fail to respond."""

from __future__ import annotations

import itertools
import json
import socket
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner, Result
from fennelcove import log
from fennelcove.cli.main import main
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon import key_file
from fennelcove.daemon.audit_file import AuditFile, check
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.decisions.clients.admission import (
    ADMISSION_RULES,
    STATE_TRANSITIONS,
    AdmissionEvent,
    AdmissionRequest,
    AdmissionState,
)
from fennelcove.decisions.operators import command_authorization, convergence, reachability
from fennelcove.decisions.operators.command_authorization import (
    CommandAuthorizer,
    CommandVerdict,
    SignedCommand,
)
from fennelcove.decisions.operators.reachability import (
    CallFailure,
    CallOutcome,
    CallProgress,
    CallStatus,
    ExitCode,
)
from fennelcove.settings.schema import ControlSettings, OperatorKey
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.front_case import FrontTestCase, wait_for

OPERATOR_KEY, READ_ONLY_KEY = keyed_mac(b"k" * 32), keyed_mac(b"o" * 32)
WALL_US = 10**15


class CommandAuthorizationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.authorizer = CommandAuthorizer(
            "front-1", {"ops": (OPERATOR_KEY, True), "read-only": (READ_ONLY_KEY, False)}
        )

    def make_command(self, **changes: Any) -> SignedCommand:
        fields: dict[str, Any] = {
            "front": "front-1",
            "method": "POST",
            "path": "/v1/control/drain",
            "body": b"{}",
            "wall_us": WALL_US,
            "nonce": "n1",
        }
        return SignedCommand(**(fields | changes))

    def check(self, header: str | None, **changes: Any) -> CommandVerdict:
        arguments = {
            "method": "POST",
            "path": "/v1/control/drain",
            "body": b"{}",
            "changes": True,
            "wall_us": WALL_US,
        }
        return self.authorizer.authorize(header, **(arguments | changes))[0]

    def test_a_command_is_granted_once(self) -> None:
        header = command_authorization.sign_command(self.make_command(), "ops", OPERATOR_KEY)
        assert [self.check(header) for _ in range(2)] == [CommandVerdict.GRANTED, CommandVerdict.REPLAYED]
        late_header = command_authorization.sign_command(
            self.make_command(nonce="n2", wall_us=WALL_US + command_authorization.MAX_CLOCK_SKEW_US),
            "ops",
            OPERATOR_KEY,
        )
        assert self.check(late_header) is CommandVerdict.GRANTED
        assert (
            self.check(late_header, wall_us=WALL_US + 2 * command_authorization.MAX_CLOCK_SKEW_US)
            is CommandVerdict.REPLAYED
        )

    def test_each_invalid_command_has_its_verdict(self) -> None:
        for header in (
            None,
            "",
            "a:b",
            "ops:x:n:m",
            "ops:1::m",
            f"ops:{10**30}:n:m",
            "ops:1:" + "n" * 40 + ":m",
        ):
            assert self.check(header) is CommandVerdict.UNSIGNED
        command_for_another_front = command_authorization.sign_command(
            self.make_command(front="front-2"), "ops", OPERATOR_KEY
        )
        assert self.check(command_for_another_front) is CommandVerdict.WRONG_KEY, "signed for another front"
        assert (
            self.check(command_authorization.sign_command(self.make_command(), "nobody", OPERATOR_KEY))
            is CommandVerdict.WRONG_KEY
        )
        assert (
            self.check(command_authorization.sign_command(self.make_command(), "read-only", READ_ONLY_KEY))
            is CommandVerdict.NOT_PERMITTED
        )
        assert (
            self.check(
                command_authorization.sign_command(self.make_command(nonce="n9"), "read-only", READ_ONLY_KEY),
                changes=False,
            )
            is CommandVerdict.GRANTED
        )
        for sign in (-1, 1):
            wall_us = WALL_US + sign * (command_authorization.MAX_CLOCK_SKEW_US + 1)
            assert (
                self.check(
                    command_authorization.sign_command(self.make_command(nonce="s"), "ops", OPERATOR_KEY),
                    wall_us=wall_us,
                )
                is CommandVerdict.STALE
            )
        assert set(command_authorization.REMEDIES) == set(CommandVerdict)

    def test_a_command_with_any_changed_byte_is_rejected(self) -> None:
        header = command_authorization.sign_command(self.make_command(), "ops", OPERATOR_KEY)
        for at, mask in itertools.product(range(len(header)), (1, 2, 32)):
            changed = header[:at] + chr(ord(header[at]) ^ mask) + header[at + 1 :]
            assert self.check(changed) != CommandVerdict.GRANTED, (at, changed)
        assert self.check(header, body=b"{ }") is not CommandVerdict.GRANTED
        assert self.check(header, path="/v1/control/undrain") is not CommandVerdict.GRANTED
        assert self.check(header) is CommandVerdict.GRANTED

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 200)), max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_no_nonce_is_granted_twice_despite_clock_changes(self, script: list[tuple[int, int]]) -> None:
        authorizer = CommandAuthorizer("front-1", {"ops": (OPERATOR_KEY, True)})
        granted: set[str] = set()
        for nonce, seconds in script:
            wall_us = WALL_US + seconds * 1_000_000
            command = self.make_command(nonce=str(nonce), wall_us=WALL_US + 60_000_000)
            header = command_authorization.sign_command(command, "ops", OPERATOR_KEY)
            verdict, _ = authorizer.authorize(header, "POST", command.path, b"{}", True, wall_us)
            if verdict is CommandVerdict.GRANTED:
                assert str(nonce) not in granted
                granted.add(str(nonce))


class CallOutcomesTest(unittest.TestCase):
    def test_tables_are_complete(self) -> None:
        assert set(reachability.STATUS_BY_FAILURE) == set(itertools.product(CallProgress, CallFailure))
        assert set(STATE_TRANSITIONS) == set(itertools.product(AdmissionState, AdmissionEvent))
        assert set(ADMISSION_RULES) == set(itertools.product(AdmissionState, AdmissionRequest))

    def test_an_unanswered_command_is_indeterminate(self) -> None:
        done, failed = CallOutcome("a", CallStatus.DONE), CallOutcome("b", CallStatus.REFUSED)
        for call_status in CallStatus:
            found = reachability.exit_code([done, CallOutcome("c", call_status)], True)
            expected = (
                ExitCode.SOME_INDETERMINATE
                if call_status in reachability.INDETERMINATE_STATUSES
                else ExitCode.SOME_FAILED
            )
            assert found is (ExitCode.ALL_DONE if call_status is CallStatus.DONE else expected)
        assert (
            reachability.exit_code([failed, CallOutcome("c", CallStatus.SILENT)], False)
            is ExitCode.SOME_FAILED
        )


class ConvergenceWaitTest(unittest.TestCase):
    def outcome(self, name: str, session_count: int | None) -> CallOutcome:
        call_status = CallStatus.SILENT if session_count is None else CallStatus.DONE
        return CallOutcome(name, call_status, body={"phase": "draining", "held": session_count})

    @given(st.lists(st.tuples(st.sampled_from(["a", "b"]), st.sampled_from([None, 0, 1])), max_size=20))
    @settings(max_examples=150)
    def test_convergence_requires_the_desired_state_in_the_last_two_responses(
        self, script: list[tuple[str, int | None]]
    ) -> None:
        assert set(convergence.TRANSITIONS) == set(
            itertools.product(convergence.ConvergenceState, convergence.ConvergenceEvent)
        )
        wait = convergence.ConvergenceWait(convergence.DesiredState("draining", 0), 10)
        observed: dict[str, list[int | None]] = {}
        for name, session_count in script:
            wait.observe([self.outcome(name, session_count)])
            observed.setdefault(name, []).append(session_count)
        should_converge = bool(observed) and all(responses[-2:] == [0, 0] for responses in observed.values())
        assert wait.has_converged == should_converge
        assert wait.poll_delay_us(10) is None
        assert (wait.poll_delay_us(0) is None) == should_converge


class AuditFileTest(unittest.TestCase):
    def test_a_changed_or_removed_line_is_detected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "audit")
            for number in range(3):
                AuditFile(path).append(command="drain", number=number)
            assert check(path) is None
            lines = Path(path).read_bytes().splitlines(keepends=True)
            for broken, at in (
                ([lines[0], lines[2]], 2),
                ([lines[0], lines[1].replace(b"drain", b"other"), lines[2]], 2),
                ([lines[1], lines[2]], 1),
            ):
                Path(path).write_bytes(b"".join(broken))
                assert check(path) == at
            assert CliRunner().invoke(main, ["fleet", "--inventory", "x", "audit", path]).exit_code == 1


class FaultyServer:
    """A listener that sends a given response to each connection, and closes it or leaves it open."""

    def __init__(self, response: bytes | None, stays_open: bool) -> None:
        self.response, self.stays_open = response, stays_open
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.open_sockets: list[socket.socket] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
                sock.settimeout(5.0)
                sock.recv(4096)
                if self.response:
                    sock.sendall(self.response)
                if self.stays_open:
                    self.open_sockets.append(sock)
                else:
                    sock.close()
            except OSError:
                return

    def stop(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()
        for sock in self.open_sockets:
            sock.close()


class FleetCommandTest(FrontTestCase):
    """Fifteen real fronts, and one of each kind of faulty front."""

    FRONT_COUNT = 15

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.keys = {name: str(self.folder / f"{name}.keys") for name in ("ops", "read-only", "wrong")}
        for path in self.keys.values():
            key_file.rotate(path, 1)
        self.start_system(start=False)
        self.fronts: dict[str, FrontDaemon] = {}
        for number in range(self.FRONT_COUNT + 1):
            self.fronts[f"front-{number:02}"] = self.start_front(f"front-{number:02}")
        self.front = self.fronts["front-00"]
        self.lines = [
            (name, front.http_server.address, "east" if i % 2 else "west")
            for i, (name, front) in enumerate(self.fronts.items())
            if i < self.FRONT_COUNT
        ]
        with socket.create_server(("127.0.0.1", 0)) as unused:
            closed = f"127.0.0.1:{unused.getsockname()[1]}"
        self.faulty_addresses: dict[str, str] = {
            "front-closed": closed,
            "front-unresolved": "front-07.example.invalid:8080",
        }
        responses = {
            "front-silent": (None, True),
            "front-cut": (b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", True),
            "front-garbled": (b"\x00\x01 nothing\r\n\r\n", False),
        }
        for name, (response, stays_open) in responses.items():
            faulty = FaultyServer(response, stays_open)
            self.addCleanup(faulty.stop)
            self.faulty_addresses[name] = faulty.address
        self.faulty_addresses["front-renamed"] = self.fronts[
            f"front-{self.FRONT_COUNT:02}"
        ].http_server.address
        self.expected_outcomes = {
            "front-closed": "refused",
            "front-unresolved": "unresolved",
            "front-silent": "silent",
            "front-cut": "cut-short",
            "front-garbled": "garbled",
        }

    def start_front(self, name: str) -> FrontDaemon:
        keys = [
            OperatorKey(name="ops", key_file=self.keys["ops"]),
            OperatorKey(name="read-only", key_file=self.keys["read-only"], may_change=False),
        ]
        control = ControlSettings(keys=keys, audit=str(self.folder / f"{name}.audit"))
        settings = msgspec.structs.replace(self.make_settings(control=control), name=name)
        front_process = FrontDaemon(settings, log.silent)
        self.started_fronts.append(front_process)
        front_process.start()
        wait_for(lambda: front_process.core.endpoint_tracker.version is not None, "a list")
        return front_process

    def inventory(self, lines: list[tuple[str, str, str]]) -> str:
        items = " ".join(f'(item (name "{n}") (address "{a}") (hall "{h}"))' for n, a, h in lines)
        path = self.folder / "fleet.sexp"
        path.write_text(f"(fleet (fronts {items}))")
        return str(path)

    def run_command(self, *arguments: str, faulty_addresses: bool = False, key: str = "ops") -> Result:
        lines = self.lines + (
            [(name, address, "odd") for name, address in self.faulty_addresses.items()]
            if faulty_addresses
            else []
        )
        options = ["fleet", "--inventory", self.inventory(lines), "--answer-s", "0.5", "--json"]
        command = [*options, *arguments]
        if arguments[0] in ("drain", "undrain"):
            command += ["--key", key if key != "wrong" else "ops", "--key-file", self.keys[key]]
        return CliRunner().invoke(main, command)

    def rows_by_front(self, result: Result) -> dict[str, dict[str, Any]]:
        assert result.output.startswith("{"), result.output
        return {row["front"]: row for row in map(json.loads, result.output.splitlines())}

    def test_every_front_has_one_outcome_that_names_its_failure(self) -> None:
        result = self.run_command("status", faulty_addresses=True)
        rows_by_front = self.rows_by_front(result)
        assert len(rows_by_front) == self.FRONT_COUNT + len(self.faulty_addresses)
        outcomes = {name: row["outcome"] for name, row in rows_by_front.items()}
        for name, *_ in self.lines:
            assert outcomes[name] == "done", rows_by_front[name]
        assert {name: outcomes[name] for name in self.expected_outcomes} == self.expected_outcomes
        assert (outcomes["front-renamed"], result.exit_code) == ("other-front", 1)
        assert self.run_command("status").exit_code == 0

    def test_a_drain_is_executed_where_confirmed_and_indeterminate_otherwise(self) -> None:
        result = self.run_command("drain", "hall=east", "hall=odd", faulty_addresses=True)
        rows_by_front = self.rows_by_front(result)
        assert result.exit_code == 3
        for name, _, hall in self.lines:
            phase = self.fronts[name].core.admission_controller.state
            assert phase is (AdmissionState.DRAINING if hall == "east" else AdmissionState.OPEN)
            assert (name in rows_by_front) == (hall == "east")
        # The signature covers the name in the inventory, so a front with another name rejects the command.
        assert rows_by_front["front-renamed"]["outcome"] == "wrong-key"
        assert (
            self.fronts[f"front-{self.FRONT_COUNT:02}"].core.admission_controller.state is AdmissionState.OPEN
        )
        self.front = self.fronts["front-01"]
        playing = self.request_session()
        assert playing.status == 503
        assert "drains" in playing.body["detail"]
        assert self.run_command("undrain", "hall=east").exit_code == 0
        assert self.request_session().status == 201
        audit = (self.folder / "front-01.audit").read_text()
        assert (audit.count('"granted"'), check(str(self.folder / "front-01.audit"))) == (2, None)

    def test_read_only_and_wrong_keys_are_rejected(self) -> None:
        for key, call_status in (("read-only", "not-permitted"), ("wrong", "wrong-key")):
            result = self.run_command("drain", "front-00", key=key)
            assert (self.rows_by_front(result)["front-00"]["outcome"], result.exit_code) == (call_status, 1)
        assert self.fronts["front-00"].core.admission_controller.state is AdmissionState.OPEN

    def test_sessions_continue_while_a_front_drains(self) -> None:
        id = self.request_session().body["id"]
        self.run_command("drain", "front-00")
        assert self.get(f"/v1/subscriptions/{id}").status == 200
        assert self.get(f"/v1/subscriptions/{id}", method="DELETE").status == 204

    def test_waiting_ends_once_all_fronts_are_in_the_state(self) -> None:
        id = self.request_session().body["id"]
        self.run_command("drain", "hall=west")
        timed_out = self.run_command("wait", "hall=west", "--held-most", "0", "--for-s", "0.3")
        assert timed_out.exit_code == 1
        assert "front-00: not yet" in timed_out.output
        assert "front-02: there" in timed_out.output
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        done = self.run_command("wait", "hall=west", "--held-most", "0", "--phase", "draining")
        assert done.exit_code == 0, done.output
        unreachable = self.run_command(
            "wait", "front-unresolved", "--phase", "open", "--for-s", "0.3", faulty_addresses=True
        )
        assert (unreachable.exit_code, unreachable.output) == (1, "front-unresolved: mute\n")

    def test_selectors_without_a_match_and_duplicate_fronts_are_rejected(self) -> None:
        assert self.run_command("drain", "front-99").exit_code == 2
        assert self.run_command("drain", "hall=none").exit_code == 2
        assert self.run_command("drain", "x=y").exit_code == 2
        self.lines.append(self.lines[0])
        result = self.run_command("status")
        assert result.exit_code == 2
        assert "a second time" in result.output


if __name__ == "__main__":
    unittest.main()
