"""Descriptions that can't go stale: kept files, foreign validators, generated clients, both mistakes made."""

from __future__ import annotations

import copy
import json
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner
from fennelcove.api import asyncapi, openapi
from fennelcove.api.described import KNOWN, Described
from fennelcove.api.diff import Comparison, stepped
from fennelcove.cli.main import main
from fennelcove.emulators.sockets import WebSocketClient
from fennelcove.ingress.routes import ROUTE_TABLE
from fennelcove.ingress.websocket_routes import HANDLERS
from fennelcove.settings.schema import Author, MediaSettings, StitchSettings, Title
from fennelcove.wire import sessions
from fennelcove.wire import socket as wire
from openapi_spec_validator import validate

from tests.generated import GeneratedHttp, GeneratedSocket, Undescribed
from tests.rig import FrontTestCase
from tests.test_content_insertion import hashed

KEPT = Path(__file__).parent.parent / "docs" / "api"
Document = dict[str, Any]


class KeptTest(unittest.TestCase):
    def test_the_files_are_what_the_code_says(self) -> None:
        cure = "the interface changed: fennelcove api openapi --out docs/api/openapi.json, asyncapi alike"
        assert (KEPT / "openapi.json").read_text() == openapi.text(ROUTE_TABLE), cure
        assert (KEPT / "asyncapi.json").read_text() == asyncapi.text(), cure

    def test_a_validator_that_is_not_ours_takes_them(self) -> None:
        validate(openapi.document(ROUTE_TABLE))

    def test_each_reference_leads_somewhere_and_each_word_is_checked(self) -> None:
        for document in (openapi.document(ROUTE_TABLE), asyncapi.document()):
            described = Described(document)
            for node in nodes(document):
                if "$ref" in node:
                    described._resolve(node["$ref"])
            for schema in document["components"]["schemas"].values():
                for node in nodes(schema):
                    if "type" in node and isinstance(node["type"], str | list):
                        assert node.keys() <= KNOWN

    def test_a_field_renamed_in_the_code_fails_the_build(self) -> None:
        renamed = msgspec.defstruct(
            "RungChanged",
            [
                ("subscription", str),
                ("number", int),
                ("rung_now", int),
                ("top_rung", int),
                ("rate_kb", float),
            ],
            tag="rung",
            tag_field="type",
            kw_only=True,
        )
        told = msgspec.to_builtins(renamed(subscription="x", number=1, rung_now=1, top_rung=1, rate_kb=1.0))
        amiss = Described(json.loads((KEPT / "asyncapi.json").read_text())).message(told)
        assert len(amiss) == 2  # one missing, one not described
        _, schemas = msgspec.json.schema_components([renamed])
        kept = json.loads((KEPT / "asyncapi.json").read_text())["components"]["schemas"]["RungChanged"]
        assert schemas["RungChanged"]["properties"].keys() != kept["properties"].keys()

    def test_an_event_that_no_description_mentions_fails_the_build(self) -> None:
        described = Described(asyncapi.document())
        assert described.message({"type": "surprise", "subscription": "x"})
        document = asyncapi.document()
        document["operations"]["news"]["messages"] = [
            item for item in document["operations"]["news"]["messages"] if not item["$ref"].endswith("/moved")
        ]
        moved = {"type": "moved", "subscription": "x", "number": 1, "box": "b", "rung": 1, "rate_kb": 1.0}
        assert described.message(moved) == []
        assert Described(document).message(moved)

    def test_tables_and_messages_are_the_same_sets(self) -> None:
        assert set(HANDLERS) == set(wire.RESPONSE_TYPES)
        assert set(HANDLERS) == set(asyncapi.asked())
        answered = {kind for kinds in wire.RESPONSE_TYPES.values() for kind in kinds}
        assert answered | set(wire.NOTIFICATION_TYPES) == set(asyncapi.told())
        with self.assertRaises(ValueError):
            openapi.document(ROUTE_TABLE[1:])

    def test_each_problem_kind_is_described_where_it_can_come(self) -> None:
        described = {
            kind.strip()
            for item in openapi.document(ROUTE_TABLE)["paths"].values()
            for operation in item.values()
            for response in operation["responses"].values()
            for kind in response["description"].split(",")
        }
        general = {"unknown-path", "wrong-method", "not-yours"}  # of no operation
        assert set(sessions.PROBLEM_KINDS) - described == general


def nodes(tree: Any) -> Any:
    if isinstance(tree, dict):
        yield tree
        for value in tree.values():
            yield from nodes(value)
    elif isinstance(tree, list):
        for value in tree:
            yield from nodes(value)


class GeneratedTest(FrontTestCase):
    def setUp(self) -> None:
        self.start_system(
            titles=[
                Title(name="t1", cells=3, media=MediaSettings(segment_ticks=400, segments=20)),
                Title(name="rest", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(authors=[Author(name="amal", key_hash=hashed("k1"))]),
        )

    def values(self) -> dict[str, Any]:
        return {
            "room_type": "free",
            "title": "t1",
            "top_rung": 1,
            "cmcd": {"sid": "v", "bs": False},
            "manifest": "media.m3u8",
            "seq": 0,
            "kind": "insert",
            "clip": "rest",
            "at": "2",
            "init": "t1/0.mp4",
            "change": "c1",
            "clip_segment": "c1/0",
            "command": "drain",
        }

    def test_every_operation_of_the_http_door_by_its_description(self) -> None:
        client = GeneratedHttp(json.loads(self.get("/v1/openapi.json").text), self.player())
        key = [("Authorization", "Bearer k1")]
        values = self.values()
        values["id"] = client.call("setUp", values).body["id"]
        statuses = {}
        order = [
            "state",
            "rung",
            "setTop",
            "renewSeat",
            "manifest",
            "segment",
            "init",
            "asset",
            "assetSegment",
        ]
        order += ["submitChange", "submitChange", "listChanges", "showChange", "withdrawChange"]
        order += ["status", "command", "openapi", "asyncapi", "release", "release", "state"]
        for name in order:
            given = values | {"id": "c1"} if name == "submitChange" else values
            heard = client.call(name, given, key if "hange" in name else [])
            statuses.setdefault(name, []).append(heard.status)
        assert set(client.operations) == {*order, "setUp"}
        assert statuses["submitChange"] == [201, 200]
        assert statuses["release"] == [204, 410]
        assert statuses["segment"] == [307]
        for amiss, status in (({"title": "none"}, 404), ({"room_type": "none"}, 422)):
            assert client.call("setUp", values | amiss).status == status
        assert client.call("withdrawChange", values | {"change": "none"}, key).status == 404
        assert client.call("listChanges", values).status == 401

    def test_every_request_of_the_socket_door_by_its_description(self) -> None:
        document = json.loads(self.get("/v1/asyncapi.json").text)
        player = WebSocketClient(self.front.door.address, self.clock, random.Random(1))
        self.addCleanup(player.close)
        client = GeneratedSocket(document, player)
        values = self.values() | {"token": "x", "ask": {"room_type": "free", "title": "t1"}}
        values["subscription"] = client.call("on-set-up", values)["state"]["id"]
        seen = {
            name: client.call(name, values)["type"]
            for name, operation in document["operations"].items()
            if "reply" in operation and name not in ("on-set-up", "on-release")
        }
        assert seen == {
            "on-hello": "fault",
            "on-renew": "fault",
            "on-resume": "resumed",
            "on-set-top": "state",
            "on-renew-seat": "fault",
        }
        with self.front.core.lock:
            self.front.core.effects.set_rung(values["subscription"], 0)
        assert client.call("on-release", values)["type"] == "released"

    def test_a_front_that_says_more_than_its_description_is_caught(self) -> None:
        document = json.loads(self.get("/v1/openapi.json").text)
        schema = document["components"]["schemas"]["Playing"]
        schema["properties"]["bitrate"] = schema["properties"].pop("rate_kb")
        client = GeneratedHttp(document, self.player())
        with self.assertRaises(Undescribed):
            client.call("setUp", self.values())


class DiffTest(unittest.TestCase):
    """Each kind of change, by what it does to a client of the older description."""

    def http(self) -> Document:
        return json.loads(openapi.text(ROUTE_TABLE))

    def differ(self, old: Document, new: Document) -> list[bool]:
        return [item.breaks for item in Comparison(old, new).run()]

    def test_nothing_changed(self) -> None:
        assert self.differ(self.http(), self.http()) == []
        assert self.differ(asyncapi.document(), asyncapi.document()) == []

    def test_changes_of_the_http_door(self) -> None:
        def schema(document: Document, name: str) -> Document:
            return document["components"]["schemas"][name]

        def removed(document: Document, name: str, field: str) -> None:
            schema(document, name)["properties"].pop(field)
            if field in schema(document, name).get("required", ()):
                schema(document, name)["required"].remove(field)

        one = "/v1/subscriptions/{id}"
        cases: list[tuple[str, Any, bool]] = [
            ("path gone", lambda d: d["paths"].pop(one), True),
            ("method gone", lambda d: d["paths"][one].pop("delete"), True),
            ("success not answered", lambda d: d["paths"][one]["get"]["responses"].pop("200"), True),
            ("another success", lambda d: d["paths"][one]["get"]["responses"].update({"202": {}}), True),
            ("another problem", lambda d: d["paths"][one]["get"]["responses"].update({"418": {}}), False),
            ("answer field gone", lambda d: removed(d, "Playing", "box"), True),
            ("answer field optional", lambda d: schema(d, "Playing")["required"].remove("box"), True),
            ("answer field added", lambda d: schema(d, "Playing")["properties"].update(x={}), False),
            ("request field gone", lambda d: removed(d, "SetUp", "retry"), True),
            ("request field added", lambda d: schema(d, "SetUp")["properties"].update(x={}), False),
            ("request field required", lambda d: schema(d, "SetUp")["required"].append("title"), True),
            (
                "request bound tighter",
                lambda d: schema(d, "TopRung")["properties"]["top_rung"].update(maximum=9),
                True,
            ),
            (
                "request bound wider",
                lambda d: schema(d, "TopRung")["properties"]["top_rung"].update(maximum=9999),
                False,
            ),
            ("answer type", lambda d: schema(d, "Rung")["properties"]["rung"].update(type="string"), True),
            (
                "a choice of the request gone",
                lambda d: schema(d, "ChangeOrder")["properties"]["kind"]["enum"].pop(),
                True,
            ),
            (
                "a problem kind more",
                lambda d: schema(d, "Problem")["properties"]["type"]["enum"].append("x"),
                False,
            ),
            (
                "a header gone",
                lambda d: d["paths"]["/v1/subscriptions"]["post"]["responses"]["201"]["headers"].pop(
                    "Location"
                ),
                True,
            ),
            ("a pass needed", lambda d: d["paths"][one]["get"].update(security=[{"pass": []}]), True),
        ]
        for name, change, breaks in cases:
            with self.subTest(name):
                new = self.http()
                change(new)
                found = self.differ(self.http(), new)
                assert (any(found), bool(found)) == (breaks, True)
                back = self.differ(new, self.http())
                assert back, "seen in the other direction as well"

    def test_changes_of_the_socket_door(self) -> None:
        def without(document: Document, operation: str, name: str, reply: bool = False) -> None:
            part = document["operations"][operation]
            part = part["reply"] if reply else part
            part["messages"] = [item for item in part["messages"] if not item["$ref"].endswith(f"/{name}")]

        cases: list[tuple[str, Any, bool]] = [
            ("request gone", lambda d: d["operations"].pop("on-resume"), True),
            ("answer gone", lambda d: without(d, "on-resume", "resumed", True), True),
            ("news gone", lambda d: without(d, "news", "weather"), False),
            ("address", lambda d: d["channels"]["session"].update(address="/v2"), True),
            ("news field gone", lambda d: d["components"]["schemas"]["Moved"]["properties"].pop("box"), True),
            (
                "news field added",
                lambda d: d["components"]["schemas"]["Moved"]["properties"].update(x={}),
                False,
            ),
        ]
        for name, change, breaks in cases:
            with self.subTest(name):
                new = copy.deepcopy(asyncapi.document())
                change(new)
                found = self.differ(asyncapi.document(), new)
                assert (any(found), bool(found)) == (breaks, True)

    def test_the_command_asks_for_a_version_step(self) -> None:
        assert [stepped(*pair) for pair in (("1.0.0", "2.0.0"), ("1.0.0", "1.1.0"), ("0.1.0", "0.2.0"))] == [
            True,
            False,
            True,
        ]
        new = self.http()
        new["components"]["schemas"]["Playing"]["properties"].pop("box")
        with tempfile.TemporaryDirectory() as folder:
            one, two = Path(folder) / "one.json", Path(folder) / "two.json"
            one.write_text(openapi.text(ROUTE_TABLE))
            two.write_text(json.dumps(new))
            run = CliRunner().invoke(main, ["api", "diff", str(one), str(two)])
            assert run.exit_code == 1
            assert "breaking: " in run.output
            new["info"]["version"] = "2.0.0"
            two.write_text(json.dumps(new))
            assert CliRunner().invoke(main, ["api", "diff", str(one), str(two)]).exit_code == 0
            two.write_text(asyncapi.text())
            assert CliRunner().invoke(main, ["api", "diff", str(one), str(two)]).exit_code == 2
            two.write_text("{")
            assert CliRunner().invoke(main, ["api", "diff", str(one), str(two)]).exit_code == 2


if __name__ == "__main__":
    unittest.main()
