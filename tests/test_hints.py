"""CMCD, CMSD and structured fields; the last are compared with an independent parser, http_sfv."""

from __future__ import annotations

import re
import unittest
from typing import Any

import http_sfv
from fennelcove.hints import cmcd, cmsd, structured_fields
from fennelcove.hints.structured_fields import FieldError, Token
from hypothesis import given, settings
from hypothesis import strategies as st

keys = st.text("abcdefghij", min_size=1, max_size=6)
bare_items = st.one_of(
    st.integers(-(10**15) + 1, 10**15 - 1),
    st.integers(-(10**6), 10**6).map(lambda n: n / 8),
    st.booleans(),
    st.text(st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=12),
    st.binary(max_size=12),
    st.from_regex(r"[A-Za-z*][A-Za-z0-9:/]{0,6}", fullmatch=True).map(Token),
)

DECIMAL_WITHOUT_FRACTION = re.compile(r"[0-9]\.(?![0-9])")


def to_native(value: Any) -> Any:
    """Convert a value of the reference parser to that of `structured_fields`."""
    if isinstance(value, http_sfv.Token):
        return str(value)
    if isinstance(value, bool | int | str | bytes):
        return value
    return float(value)


class FieldsTest(unittest.TestCase):
    @given(st.dictionaries(keys, bare_items, max_size=6))
    @settings(max_examples=150, deadline=None)
    def test_both_parsers_read_a_written_dictionary_alike(
        self, values: dict[str, structured_fields.BareItem]
    ) -> None:
        text = structured_fields.write_dictionary(values)
        parsed, dropped = structured_fields.parse_dictionary(text)
        reference = http_sfv.Dictionary()
        if text:
            reference.parse(text.encode())
        assert dropped == 0
        assert {key: item.value for key, item in parsed.items()} == values
        assert {key: to_native(reference[key].value) for key in reference} == values

    @given(st.text("ab=?01\"\\;,:*() -.'/", max_size=24))
    @settings(max_examples=600, deadline=None)
    def test_a_single_member_is_accepted_if_and_only_if_the_reference_accepts_it(self, text: str) -> None:
        members = list(structured_fields.split_members(text))
        if len(members) != 1 or members[0] is None or ":" in text:
            # RFC 8941 asks parsers to accept byte sequences with non-zero pad bits; http_sfv rejects them.
            return
        try:
            parsed: Any = structured_fields.parse_item(members[0])
        except FieldError:
            parsed = None
        reference = http_sfv.List()
        try:
            reference.parse(text.strip(" \t").encode())
        except ValueError:
            assert parsed is None, text
            return
        if parsed is None:
            # RFC 8941 section 4.2.4 rejects a decimal that ends in its point; http_sfv accepts it.
            assert DECIMAL_WITHOUT_FRACTION.search(text), text

    def test_a_decimal_that_ends_in_its_point_is_rejected(self) -> None:
        for text in ("0.", "1.", "-0.", "a;b=0.", "(0. 1)"):
            with self.subTest(text), self.assertRaises(FieldError):
                structured_fields.parse_item(text)

    def test_a_malformed_member_is_dropped_without_the_others(self) -> None:
        found, dropped = structured_fields.parse_dictionary('a=1,b==,c="x,y",d=(1 2);q,,e=1.2345,f')
        assert sorted(found) == ["a", "c", "d", "f"]
        assert dropped == 3

    def test_limits(self) -> None:
        assert structured_fields.parse_dictionary("a=1," * 2000)[0] == {}
        found, dropped = structured_fields.parse_dictionary(",".join(f"k{i}" for i in range(100)))
        assert (len(found), dropped) == (64, 1)

    def test_values_that_can_not_be_represented_are_rejected(self) -> None:
        for value in (float("nan"), float("inf"), 10**15, "\u00e9", Token("a b"), 1e12):
            with self.assertRaises(FieldError):
                structured_fields.write_bare(value)


class CmcdTest(unittest.TestCase):
    def test_the_four_headers_are_parsed_and_typed(self) -> None:
        found = cmcd.read(
            {
                "cmcd-request": "mtp=25400,bl=21300,su",
                "cmcd-object": "br=3200,d=4004,ot=v,tb=6000",
                "cmcd-status": "bs,rtp=15000",
                "cmcd-session": 'sid="6e2fb550",cid="faec5fc2",sf=h,st=l,pr=1.08,v=1,com.example-my="x"',
            },
            {},
        )
        assert (found.number("tb"), found.number("mtp"), found.flag("bs")) == (6000, 25400, True)
        assert (found.text("cid"), found.number("pr")) == ("faec5fc2", 1.08)
        assert (found.custom, found.dropped) == ({"com.example-my": "x"}, 0)

    def test_the_query_argument_and_json_give_the_same_hints(self) -> None:
        query = cmcd.query_arguments("a=b&CMCD=bl%3D3000%2Ccid%3D%22t1%22%2Cbs%2Cnor%3D%22..%252Fx%22")
        by_query = cmcd.read({}, query)
        by_json = cmcd.read({}, {}, {"bl": 3000, "cid": "t1", "bs": True, "nor": "..%2Fx"})
        assert by_query.values == by_json.values
        assert by_query.text("nor") == "..%2Fx"

    def test_the_first_item_of_a_version_two_list_is_used(self) -> None:
        assert cmcd.read_text(["br=(3200;v 128;a),ltc=1500,v=2"]).values["br"] == 3200

    def test_each_malformed_hint_is_dropped_and_counted(self) -> None:
        found = cmcd.read_text(['br=abc,bl=-5,cid=1,ot=zz,unknown=1,tb=900,sid="' + "x" * 65 + '"'])
        assert (found.values, found.dropped) == ({"tb": 900}, 6)
        assert cmcd.read_json(b"no json").dropped == 1
        assert cmcd.read_json({"tb": None, "bl": True, "mtp": 5}).values == {"mtp": 5}

    @given(st.text(max_size=80), st.text(max_size=80))
    @settings(max_examples=200, deadline=None)
    def test_arbitrary_text_raises_no_error(self, header: str, query: str) -> None:
        cmcd.read({"cmcd-request": header}, cmcd.query_arguments(query))
        cmcd.read({}, cmcd.query_arguments(query), {header: query})

    def test_written_headers_read_back(self) -> None:
        values: dict[str, structured_fields.BareItem] = {
            "mtp": 900,
            "bs": False,
            "su": True,
            "cid": "t",
            "tb": 5,
            "rtp": 9,
        }
        headers = {name.lower(): value for name, value in cmcd.write_headers(values)}
        assert headers["cmcd-request"] == "mtp=900,su"
        assert cmcd.read(headers, {}).values == {k: v for k, v in values.items() if v is not False}


class CmsdTest(unittest.TestCase):
    def test_static_and_each_hop(self) -> None:
        found = cmsd.read(
            'ot=v,sf=h,br=2000,d=5000,n="OriginProviderA"',
            '"CDNB-3ak1";etp=96;rtt=8;fennelcove-link=0.83, "CDNB-w35k";etp=76;rtt=32;du;mb=1500',
        )
        assert found.static["br"] == 2000
        assert [hop.name for hop in found.hops] == ["CDNB-3ak1", "CDNB-w35k"]
        assert found.hops[0].number(cmsd.LINK_KEY) == 0.83
        assert (found.hops[1].in_duress, found.hops[1].number("mb")) == (True, 1500)
        assert found.dropped == 0

    def test_a_malformed_hop_or_key_is_dropped_without_the_others(self) -> None:
        found = cmsd.read("br=x,su", '"a";etp=fast;rtt=3, 5;rtt=1, "b";;, "c";du=?0')
        assert [hop.name for hop in found.hops] == ["a", "c"]
        assert dict(found.hops[0].values) == {"rtt": 3}
        assert not found.hops[1].in_duress
        assert found.dropped == 4

    def test_the_cache_is_bounded_and_returns_what_read_returns(self) -> None:
        cache = cmsd.CmsdCache(max_entries=3)
        for i in range(10):
            text = cmsd.write_hop("server", {"etp": i})
            assert cache.read(None, text) == cmsd.read(None, text)
            assert cache.read(None, text) is cache.read(None, text)
        assert len(cache.entries) == 3


if __name__ == "__main__":
    unittest.main()
