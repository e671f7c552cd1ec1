"""The fleet tool against real fronts, and against every way in which one can fail to answer."""

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
from fennelcove.decisions.clients.admission import ADMISSION_RULES as ENTRIES
from fennelcove.decisions.clients.admission import (
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

from tests.rig import FrontTestCase, wait_for

KEY, OTHER = keyed_mac(b"k" * 32), keyed_mac(b"o" * 32)
WALL = 10**15


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.commands = CommandAuthorizer("front-1", {"ops": (KEY, True), "desk": (OTHER, False)})

    def made(self, **changes: Any) -> SignedCommand:
        fields: dict[str, Any] = {
            "front": "front-1",
            "method": "POST",
            "path": "/v1/control/drain",
            "body": b"{}",
            "wall_us": WALL,
            "nonce": "n1",
        }
        return SignedCommand(**(fields | changes))

    def check(self, header: str | None, **changes: Any) -> CommandVerdict:
        told = {
            "method": "POST",
            "path": "/v1/control/drain",
            "body": b"{}",
            "changes": True,
            "wall_us": WALL,
        }
        return self.commands.authorize(header, **(told | changes))[0]

    def test_one_counts_once(self) -> None:
        header = command_authorization.sign_command(self.made(), "ops", KEY)
        assert [self.check(header) for _ in range(2)] == [CommandVerdict.GRANTED, CommandVerdict.REPLAYED]
        late = command_authorization.sign_command(
            self.made(nonce="n2", wall_us=WALL + command_authorization.MAX_CLOCK_SKEW_US), "ops", KEY
        )
        assert self.check(late) is CommandVerdict.GRANTED
        assert (
            self.check(late, wall_us=WALL + 2 * command_authorization.MAX_CLOCK_SKEW_US)
            is CommandVerdict.REPLAYED
        )

    def test_what_is_amiss_has_its_word(self) -> None:
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
        stranger = command_authorization.sign_command(self.made(front="front-2"), "ops", KEY)
        assert self.check(stranger) is CommandVerdict.WRONG_KEY, "meant for another front"
        assert (
            self.check(command_authorization.sign_command(self.made(), "nobody", KEY))
            is CommandVerdict.WRONG_KEY
        )
        assert (
            self.check(command_authorization.sign_command(self.made(), "desk", OTHER))
            is CommandVerdict.NOT_PERMITTED
        )
        assert (
            self.check(
                command_authorization.sign_command(self.made(nonce="n9"), "desk", OTHER), changes=False
            )
            is CommandVerdict.GRANTED
        )
        for apart in (-1, 1):
            wall_us = WALL + apart * (command_authorization.MAX_CLOCK_SKEW_US + 1)
            assert (
                self.check(
                    command_authorization.sign_command(self.made(nonce="s"), "ops", KEY), wall_us=wall_us
                )
                is CommandVerdict.STALE
            )
        assert set(command_authorization.REMEDIES) == set(CommandVerdict)

    def test_altered_in_each_byte_it_is_refused(self) -> None:
        header = command_authorization.sign_command(self.made(), "ops", KEY)
        for at, flip in itertools.product(range(len(header)), (1, 2, 32)):
            changed = header[:at] + chr(ord(header[at]) ^ flip) + header[at + 1 :]
            assert self.check(changed) != CommandVerdict.GRANTED, (at, changed)
        assert self.check(header, body=b"{ }") is not CommandVerdict.GRANTED
        assert self.check(header, path="/v1/control/undrain") is not CommandVerdict.GRANTED
        assert self.check(header) is CommandVerdict.GRANTED

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 200)), max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_no_number_counts_twice_whatever_the_clocks_do(self, script: list[tuple[int, int]]) -> None:
        commands = CommandAuthorizer("front-1", {"ops": (KEY, True)})
        granted: set[str] = set()
        for nonce, seconds in script:
            wall_us = WALL + seconds * 1_000_000
            command = self.made(nonce=str(nonce), wall_us=WALL + 60_000_000)
            header = command_authorization.sign_command(command, "ops", KEY)
            verdict, _ = commands.authorize(header, "POST", command.path, b"{}", True, wall_us)
            if verdict is CommandVerdict.GRANTED:
                assert str(nonce) not in granted
                granted.add(str(nonce))


class ReachTest(unittest.TestCase):
    def test_tables_are_total(self) -> None:
        assert set(reachability.STATUS_BY_FAILURE) == set(itertools.product(CallProgress, CallFailure))
        assert set(STATE_TRANSITIONS) == set(itertools.product(AdmissionState, AdmissionEvent))
        assert set(ENTRIES) == set(itertools.product(AdmissionState, AdmissionRequest))

    def test_a_command_that_was_not_answered_is_neither_done_nor_failed(self) -> None:
        done, failed = CallOutcome("a", CallStatus.DONE), CallOutcome("b", CallStatus.REFUSED)
        for word in CallStatus:
            found = reachability.exit_code([done, CallOutcome("c", word)], True)
            expected = (
                ExitCode.SOME_INDETERMINATE
                if word in reachability.INDETERMINATE_STATUSES
                else ExitCode.SOME_FAILED
            )
            assert found is (ExitCode.ALL_DONE if word is CallStatus.DONE else expected)
        assert (
            reachability.exit_code([failed, CallOutcome("c", CallStatus.SILENT)], False)
            is ExitCode.SOME_FAILED
        )


class WaitTest(unittest.TestCase):
    def said(self, name: str, held: int | None) -> CallOutcome:
        word = CallStatus.SILENT if held is None else CallStatus.DONE
        return CallOutcome(name, word, body={"phase": "draining", "held": held})

    @given(st.lists(st.tuples(st.sampled_from(["a", "b"]), st.sampled_from([None, 0, 1])), max_size=20))
    @settings(max_examples=150)
    def test_there_is_only_who_said_so_twice_and_last(self, script: list[tuple[str, int | None]]) -> None:
        assert set(convergence.TRANSITIONS) == set(
            itertools.product(convergence.ConvergenceState, convergence.ConvergenceEvent)
        )
        wait = convergence.ConvergenceWait(convergence.DesiredState("draining", 0), 10)
        told: dict[str, list[int | None]] = {}
        for name, held in script:
            wait.observe([self.said(name, held)])
            told.setdefault(name, []).append(held)
        sure = bool(told) and all(answers[-2:] == [0, 0] for answers in told.values())
        assert wait.has_converged == sure
        assert wait.poll_delay_us(10) is None
        assert (wait.poll_delay_us(0) is None) == sure


class AuditTest(unittest.TestCase):
    def test_a_line_changed_or_taken_out_is_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "audit")
            for number in range(3):
                AuditFile(path).tell(command="drain", number=number)
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


class Faulty:
    """A listener that answers as it is told to, on one thread."""

    def __init__(self, raw: bytes | None, hangs: bool) -> None:
        self.raw, self.hangs = raw, hangs
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.held: list[socket.socket] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
                sock.settimeout(5.0)
                sock.recv(4096)
                if self.raw:
                    sock.sendall(self.raw)
                if self.hangs:
                    self.held.append(sock)
                else:
                    sock.close()
            except OSError:
                return

    def stop(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()
        for sock in self.held:
            sock.close()


class FleetTest(FrontTestCase):
    """Fifteen real fronts, and one of each kind that does not do as it should."""

    FRONTS = 15

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.keys = {name: str(self.folder / f"{name}.keys") for name in ("ops", "desk", "wrong")}
        for path in self.keys.values():
            key_file.rotate(path, 1)
        self.start_system(start=False)
        self.fronts: dict[str, FrontDaemon] = {}
        for number in range(self.FRONTS + 1):
            self.fronts[f"front-{number:02}"] = self.made(f"front-{number:02}")
        self.front = self.fronts["front-00"]
        self.lines = [
            (name, front.door.address, "east" if i % 2 else "west")
            for i, (name, front) in enumerate(self.fronts.items())
            if i < self.FRONTS
        ]
        with socket.create_server(("127.0.0.1", 0)) as free:
            closed = f"127.0.0.1:{free.getsockname()[1]}"
        self.bad: dict[str, str] = {"front-nobody": closed, "front-off": "front-07.example.invalid:8080"}
        answers = {
            "front-silent": (None, True),
            "front-cut": (b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", True),
            "front-garbled": (b"\x00\x01 nothing\r\n\r\n", False),
        }
        for name, (raw, hangs) in answers.items():
            faulty = Faulty(raw, hangs)
            self.addCleanup(faulty.stop)
            self.bad[name] = faulty.address
        self.bad["front-named"] = self.fronts[f"front-{self.FRONTS:02}"].door.address
        self.words = {
            "front-nobody": "refused",
            "front-off": "unresolved",
            "front-silent": "silent",
            "front-cut": "cut-short",
            "front-garbled": "garbled",
        }

    def made(self, name: str) -> FrontDaemon:
        keys = [
            OperatorKey(name="ops", key_file=self.keys["ops"]),
            OperatorKey(name="desk", key_file=self.keys["desk"], may_change=False),
        ]
        told = ControlSettings(keys=keys, audit=str(self.folder / f"{name}.audit"))
        settings = msgspec.structs.replace(self.changed(control=told), name=name)
        program = FrontDaemon(settings, log.silent)
        self.started_fronts.append(program)
        program.start()
        wait_for(lambda: program.core.endpoint_tracker.version is not None, "a list")
        return program

    def inventory(self, lines: list[tuple[str, str, str]]) -> str:
        items = " ".join(f'(item (name "{n}") (address "{a}") (hall "{h}"))' for n, a, h in lines)
        path = self.folder / "fleet.sexp"
        path.write_text(f"(fleet (fronts {items}))")
        return str(path)

    def run_(self, *words: str, bad: bool = False, key: str = "ops") -> Result:
        lines = self.lines + ([(name, address, "odd") for name, address in self.bad.items()] if bad else [])
        options = ["fleet", "--inventory", self.inventory(lines), "--answer-s", "0.5", "--json"]
        command = [*options, *words]
        if words[0] in ("drain", "undrain"):
            command += ["--key", key if key != "wrong" else "ops", "--key-file", self.keys[key]]
        return CliRunner().invoke(main, command)

    def rows(self, result: Result) -> dict[str, dict[str, Any]]:
        assert result.output.startswith("{"), result.output
        return {row["front"]: row for row in map(json.loads, result.output.splitlines())}

    def test_every_front_has_one_outcome_and_each_failure_its_word(self) -> None:
        result = self.run_("status", bad=True)
        rows = self.rows(result)
        assert len(rows) == self.FRONTS + len(self.bad)
        words = {name: row["outcome"] for name, row in rows.items()}
        for name, *_ in self.lines:
            assert words[name] == "done", rows[name]
        assert {name: words[name] for name in self.words} == self.words
        assert (words["front-named"], result.exit_code) == ("other-front", 1)
        assert self.run_("status").exit_code == 0

    def test_a_drain_is_carried_out_where_it_is_said_to_be_and_unknown_where_nobody_knows(self) -> None:
        result = self.run_("drain", "hall=east", "hall=odd", bad=True)
        rows = self.rows(result)
        assert result.exit_code == 3
        for name, _, hall in self.lines:
            phase = self.fronts[name].core.admission_controller.state
            assert phase is (AdmissionState.DRAINING if hall == "east" else AdmissionState.OPEN)
            assert (name in rows) == (hall == "east")
        # The seal is for the inventory's name: the front that has another refuses, and does not drain.
        assert rows["front-named"]["outcome"] == "wrong-key"
        assert self.fronts[f"front-{self.FRONTS:02}"].core.admission_controller.state is AdmissionState.OPEN
        self.front = self.fronts["front-01"]
        playing = self.ask()
        assert playing.status == 503
        assert "drains" in playing.body["detail"]
        assert self.run_("undrain", "hall=east").exit_code == 0
        assert self.ask().status == 201
        told = (self.folder / "front-01.audit").read_text()
        assert (told.count('"granted"'), check(str(self.folder / "front-01.audit"))) == (2, None)

    def test_keys_that_do_not_permit_and_keys_that_are_wrong(self) -> None:
        for key, word in (("desk", "not-permitted"), ("wrong", "wrong-key")):
            result = self.run_("drain", "front-00", key=key)
            assert (self.rows(result)["front-00"]["outcome"], result.exit_code) == (word, 1)
        assert self.fronts["front-00"].core.admission_controller.state is AdmissionState.OPEN

    def test_what_plays_goes_on_while_a_front_drains(self) -> None:
        id = self.ask().body["id"]
        self.run_("drain", "front-00")
        assert self.get(f"/v1/subscriptions/{id}").status == 200
        assert self.get(f"/v1/subscriptions/{id}", method="DELETE").status == 204

    def test_waiting_ends_when_all_are_there_and_not_before(self) -> None:
        id = self.ask().body["id"]
        self.run_("drain", "hall=west")
        late = self.run_("wait", "hall=west", "--held-most", "0", "--for-s", "0.3")
        assert late.exit_code == 1
        assert "front-00: not yet" in late.output
        assert "front-02: there" in late.output
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        done = self.run_("wait", "hall=west", "--held-most", "0", "--phase", "draining")
        assert done.exit_code == 0, done.output
        mute = self.run_("wait", "front-off", "--phase", "open", "--for-s", "0.3", bad=True)
        assert (mute.exit_code, mute.output) == (1, "front-off: mute\n")

    def test_selectors_and_inventories_that_name_nobody_or_twice(self) -> None:
        assert self.run_("drain", "front-99").exit_code == 2
        assert self.run_("drain", "hall=none").exit_code == 2
        assert self.run_("drain", "x=y").exit_code == 2
        self.lines.append(self.lines[0])
        result = self.run_("status")
        assert result.exit_code == 2
        assert "a second time" in result.output


if __name__ == "__main__":
    unittest.main()
