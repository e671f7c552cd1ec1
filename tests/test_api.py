"""Keeps the API descriptions in agreement with the code.

Compares the published files with the code, runs an independent validator and clients that are generated from
the descriptions, and checks that a renamed field and an undescribed message are detected.
"""

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
from fennelcove.api.diff import Comparison, is_breaking_version_step
from fennelcove.api.schema_checker import KNOWN_KEYWORDS, SchemaChecker
from fennelcove.cli.main import main
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.ingress.routes import ROUTE_TABLE
from fennelcove.ingress.websocket_routes import HANDLERS
from fennelcove.settings.schema import Author, MediaSettings, StitchSettings, Title
from fennelcove.wire import sessions
from fennelcove.wire import websocket_messages as wire
from openapi_spec_validator import validate

from tests.front_case import FrontTestCase
from tests.generated_clients import GeneratedHttp, GeneratedSocket, UndescribedError
from tests.test_content_insertion import hash_key

PUBLISHED_FOLDER = Path(__file__).parent.parent / "docs" / "api"
Document = dict[str, Any]


class PublishedDescriptionsTest(unittest.TestCase):
    def test_published_files_match_the_code(self) -> None:
        remedy = "the API changed: run fennelcove api openapi --out docs/api/openapi.json, and asyncapi alike"
        assert (PUBLISHED_FOLDER / "openapi.json").read_text() == openapi.text(ROUTE_TABLE), remedy
        assert (PUBLISHED_FOLDER / "asyncapi.json").read_text() == asyncapi.text(), remedy

    def test_the_openapi_document_passes_an_independent_validator(self) -> None:
        validate(openapi.document(ROUTE_TABLE))

    def test_references_resolve_and_every_keyword_is_implemented(self) -> None:
        for document in (openapi.document(ROUTE_TABLE), asyncapi.document()):
            described = SchemaChecker(document)
            for node in all_objects(document):
                if "$ref" in node:
                    described._resolve(node["$ref"])
            for schema in document["components"]["schemas"].values():
                for node in all_objects(schema):
                    if "type" in node and isinstance(node["type"], str | list):
                        assert node.keys() <= KNOWN_KEYWORDS

    def test_a_renamed_field_is_detected(self) -> None:
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
        message = msgspec.to_builtins(
            renamed(subscription="x", number=1, rung_now=1, top_rung=1, rate_kb=1.0)
        )
        violations = SchemaChecker(json.loads((PUBLISHED_FOLDER / "asyncapi.json").read_text())).message(
            message
        )
        assert len(violations) == 2  # one field missing, one not described
        _, schemas = msgspec.json.schema_components([renamed])
        published = json.loads((PUBLISHED_FOLDER / "asyncapi.json").read_text())["components"]["schemas"][
            "RungChanged"
        ]
        assert schemas["RungChanged"]["properties"].keys() != published["properties"].keys()

    def test_an_undescribed_notification_is_detected(self) -> None:
        described = SchemaChecker(asyncapi.document())
        assert described.message({"type": "surprise", "subscription": "x"})
        document = asyncapi.document()
        document["operations"]["news"]["messages"] = [
            item for item in document["operations"]["news"]["messages"] if not item["$ref"].endswith("/moved")
        ]
        moved = {"type": "moved", "subscription": "x", "number": 1, "box": "b", "rung": 1, "rate_kb": 1.0}
        assert described.message(moved) == []
        assert SchemaChecker(document).message(moved)

    def test_handlers_and_descriptions_cover_the_same_messages(self) -> None:
        assert set(HANDLERS) == set(wire.RESPONSE_TYPES)
        assert set(HANDLERS) == set(asyncapi.received_messages())
        answered = {kind for kinds in wire.RESPONSE_TYPES.values() for kind in kinds}
        assert answered | set(wire.NOTIFICATION_TYPES) == set(asyncapi.sent_messages())
        with self.assertRaises(ValueError):
            openapi.document(ROUTE_TABLE[1:])

    def test_every_problem_kind_is_described_for_an_operation(self) -> None:
        described = {
            kind.strip()
            for item in openapi.document(ROUTE_TABLE)["paths"].values()
            for operation in item.values()
            for response in operation["responses"].values()
            for kind in response["description"].split(",")
        }
        without_operation = {"unknown-path", "wrong-method", "not-yours"}  # do not belong to an operation
        assert set(sessions.PROBLEM_KINDS) - described == without_operation


def all_objects(tree: Any) -> Any:
    if isinstance(tree, dict):
        yield tree
        for value in tree.values():
            yield from all_objects(value)
    elif isinstance(tree, list):
        for value in tree:
            yield from all_objects(value)


class GeneratedClientsTest(FrontTestCase):
    def setUp(self) -> None:
        self.start_system(
            titles=[
                Title(name="t1", cells=3, media=MediaSettings(segment_ticks=400, segments=20)),
                Title(name="rest", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(authors=[Author(name="amal", key_hash=hash_key("k1"))]),
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

    def test_every_http_operation_can_be_called_by_its_description(self) -> None:
        client = GeneratedHttp(json.loads(self.get("/v1/openapi.json").text), self.new_client())
        key = [("Authorization", "Bearer k1")]
        values = self.values()
        values["id"] = client.call("setUp", values).body["id"]
        statuses = {}
        operation_names = [
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
        operation_names += ["submitChange", "submitChange", "listChanges", "showChange", "withdrawChange"]
        operation_names += ["status", "command", "openapi", "asyncapi", "release", "release", "state"]
        for name in operation_names:
            given = values | {"id": "c1"} if name == "submitChange" else values
            result = client.call(name, given, key if "hange" in name else [])
            statuses.setdefault(name, []).append(result.status)
        assert set(client.operations) == {*operation_names, "setUp"}
        assert statuses["submitChange"] == [201, 200]
        assert statuses["release"] == [204, 410]
        assert statuses["segment"] == [307]
        for invalid, status in (({"title": "none"}, 404), ({"room_type": "none"}, 422)):
            assert client.call("setUp", values | invalid).status == status
        assert client.call("withdrawChange", values | {"change": "none"}, key).status == 404
        assert client.call("listChanges", values).status == 401

    def test_every_websocket_request_can_be_sent_by_its_description(self) -> None:
        document = json.loads(self.get("/v1/asyncapi.json").text)
        player = WebSocketClient(self.front.http_server.address, self.clock, random.Random(1))
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

    def test_an_undescribed_response_field_is_detected(self) -> None:
        document = json.loads(self.get("/v1/openapi.json").text)
        schema = document["components"]["schemas"]["Playing"]
        schema["properties"]["bitrate"] = schema["properties"].pop("rate_kb")
        client = GeneratedHttp(document, self.new_client())
        with self.assertRaises(UndescribedError):
            client.call("setUp", self.values())


class DiffTest(unittest.TestCase):
    """Checks for each kind of change whether it is reported as breaking for clients of the older version."""

    def http(self) -> Document:
        return json.loads(openapi.text(ROUTE_TABLE))

    def breaking_flags(self, old: Document, new: Document) -> list[bool]:
        return [item.is_breaking for item in Comparison(old, new).run()]

    def test_equal_descriptions_have_no_differences(self) -> None:
        assert self.breaking_flags(self.http(), self.http()) == []
        assert self.breaking_flags(asyncapi.document(), asyncapi.document()) == []

    def test_changes_of_the_http_api(self) -> None:
        def schema(document: Document, name: str) -> Document:
            return document["components"]["schemas"][name]

        def removed(document: Document, name: str, field: str) -> None:
            schema(document, name)["properties"].pop(field)
            if field in schema(document, name).get("required", ()):
                schema(document, name)["required"].remove(field)

        one = "/v1/subscriptions/{id}"
        cases: list[tuple[str, Any, bool]] = [
            ("path removed", lambda d: d["paths"].pop(one), True),
            ("method removed", lambda d: d["paths"][one].pop("delete"), True),
            ("successful status removed", lambda d: d["paths"][one]["get"]["responses"].pop("200"), True),
            (
                "successful status added",
                lambda d: d["paths"][one]["get"]["responses"].update({"202": {}}),
                True,
            ),
            ("error status added", lambda d: d["paths"][one]["get"]["responses"].update({"418": {}}), False),
            ("response field removed", lambda d: removed(d, "Playing", "box"), True),
            ("response field made optional", lambda d: schema(d, "Playing")["required"].remove("box"), True),
            ("response field added", lambda d: schema(d, "Playing")["properties"].update(x={}), False),
            ("request field removed", lambda d: removed(d, "SetUp", "retry"), True),
            ("request field added", lambda d: schema(d, "SetUp")["properties"].update(x={}), False),
            ("request field made required", lambda d: schema(d, "SetUp")["required"].append("title"), True),
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
            (
                "type of a response field",
                lambda d: schema(d, "Rung")["properties"]["rung"].update(type="string"),
                True,
            ),
            (
                "enum value of a request removed",
                lambda d: schema(d, "ChangeOrder")["properties"]["kind"]["enum"].pop(),
                True,
            ),
            (
                "problem kind added",
                lambda d: schema(d, "Problem")["properties"]["type"]["enum"].append("x"),
                False,
            ),
            (
                "response header removed",
                lambda d: d["paths"]["/v1/subscriptions"]["post"]["responses"]["201"]["headers"].pop(
                    "Location"
                ),
                True,
            ),
            ("credentials required", lambda d: d["paths"][one]["get"].update(security=[{"pass": []}]), True),
        ]
        for name, change, expected_breaking in cases:
            with self.subTest(name):
                new = self.http()
                change(new)
                found = self.breaking_flags(self.http(), new)
                assert (any(found), bool(found)) == (expected_breaking, True)
                reverse = self.breaking_flags(new, self.http())
                assert reverse, "the reverse change is reported as well"

    def test_changes_of_the_websocket_api(self) -> None:
        def without(document: Document, operation: str, name: str, reply: bool = False) -> None:
            part = document["operations"][operation]
            part = part["reply"] if reply else part
            part["messages"] = [item for item in part["messages"] if not item["$ref"].endswith(f"/{name}")]

        cases: list[tuple[str, Any, bool]] = [
            ("request removed", lambda d: d["operations"].pop("on-resume"), True),
            ("reply removed", lambda d: without(d, "on-resume", "resumed", True), True),
            ("notification removed", lambda d: without(d, "news", "weather"), False),
            ("channel address", lambda d: d["channels"]["session"].update(address="/v2"), True),
            (
                "notification field removed",
                lambda d: d["components"]["schemas"]["Moved"]["properties"].pop("box"),
                True,
            ),
            (
                "notification field added",
                lambda d: d["components"]["schemas"]["Moved"]["properties"].update(x={}),
                False,
            ),
        ]
        for name, change, expected_breaking in cases:
            with self.subTest(name):
                new = copy.deepcopy(asyncapi.document())
                change(new)
                found = self.breaking_flags(asyncapi.document(), new)
                assert (any(found), bool(found)) == (expected_breaking, True)

    def test_the_command_requires_a_version_step_for_breaking_changes(self) -> None:
        assert [
            is_breaking_version_step(*pair)
            for pair in (("1.0.0", "2.0.0"), ("1.0.0", "1.1.0"), ("0.1.0", "0.2.0"))
        ] == [
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
