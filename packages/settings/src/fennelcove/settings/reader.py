"""Reads an S-expression file into a typed struct, naming file, line and path of whatever is amiss.

A struct is a list headed by its name, `(front (name "f1") (listen "127.0.0.1:8080"))`; each field is a list
headed by the field's name with `-` for `_`. A field of plain values holds them bare, `(ladder-kb 200.0
400.0)`; a list of structs holds one list each, `(room-types (room-type (name "live")) ...)`. Flags are `true`
and `false`.
"""

from __future__ import annotations

import re
import types
import typing
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import msgspec
import sexpdata
from fennelcove.errors import OperatorError

MOST_BYTES = 4 * 1024 * 1024
T = TypeVar("T", bound=msgspec.Struct)


class SettingsError(OperatorError):
    """Settings can't be used: the file, line and path of the first thing amiss are named."""

    code = "settings-amiss"
    advice = (
        "Mend it and let `fennelcove config check FILE` read it; a running front goes on by what it had read"
    )

    @classmethod
    def amiss(cls, source: str, fault: str) -> SettingsError:
        """From a line of the checks: path, what was found, what would do."""
        path, _, rest = fault.partition(": ")
        happened, _, suggestion = rest.partition("; ")
        return cls(happened, f"{source}: {path}", suggestion)


# sexpdata tells no line of anything, so brackets and heads are scanned apart to place a path.
_LEXEME = re.compile(r';[^\n]*|"(?:[^"\\]|\\.)*"|[()]|[^\s()";]+|\n')


def _fault(source: str, lines: dict[str, int], path: str, found: str, suggestion: str) -> SettingsError:
    probe = path
    while probe and probe not in lines:
        probe = probe.rpartition(".")[0] if not probe.endswith("]") else probe.rpartition("[")[0]
    place = f"{source}:{lines[probe]}" if probe in lines else source
    return SettingsError(f"found {found}", f"{place}: {path}", suggestion)


def _lines(text: str) -> dict[str, int]:
    """Where each path of the settings begins: `room-types[1].floor` -> line.

    The scan can't tell an element of a list from a field of a struct, so it notes both readings of each list.
    """
    found: dict[str, int] = {}
    line, head_due = 1, False
    stack: list[tuple[list[str], int]] = []  # both readings of the path, lists met inside
    for match in _LEXEME.finditer(text):
        word = match.group()
        if word == "(":
            if stack:
                stack[-1] = (stack[-1][0], stack[-1][1] + 1)
            stack.append(([], 0))
            head_due = True
        elif word == ")":
            if stack:
                stack.pop()
            head_due = False
        elif word != "\n" and not word.startswith(";"):
            if head_due and len(stack) == 1:
                stack[-1] = ([""], 0)
            elif head_due:
                above, count = stack[-2]
                paths = [f"{path}.{word}" if path else word for path in above]
                paths += [f"{path}[{count - 1}]" for path in above]
                for path in paths:
                    found.setdefault(path, line)
                stack[-1] = (paths, 0)
            head_due = False
        line += word.count("\n")
    return found


def _balance(source: str, text: str) -> None:
    depth, line, opened = 0, 1, list[int]()
    for match in _LEXEME.finditer(text):
        word = match.group()
        if word == "(":
            depth += 1
            opened.append(line)
        elif word == ")":
            if depth == 0:
                raise SettingsError("found a ')' that closes nothing", f"{source}:{line}", "remove it")
            depth -= 1
            opened.pop()
        line += word.count("\n")
    if depth:
        raise SettingsError("found a '(' that is never closed", f"{source}:{opened[-1]}", "add a ')'")
    rest = _LEXEME.sub("", text).strip()
    if rest:
        raise SettingsError(f"found {rest[:20]!r} that is neither name, text nor number", source, "quote it")


def _plain(type_: Any) -> Any:
    """The type without Annotated and without `| None`."""
    if get_origin(type_) is typing.Annotated:
        type_ = get_args(type_)[0]
    if get_origin(type_) in (typing.Union, types.UnionType):
        kinds = [kind for kind in get_args(type_) if kind is not type(None)]
        return _plain(kinds[0])
    return type_


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


class _Builder:
    """Turns parsed lists into what msgspec converts, guided by the struct's own types."""

    def __init__(self, source: str, lines: dict[str, int]) -> None:
        self.source = source
        self.lines = lines

    def fault(self, path: str, found: str, suggestion: str) -> SettingsError:
        return _fault(self.source, self.lines, path, found, suggestion)

    def struct(self, items: list[Any], type_: Any, path: str) -> dict[str, Any]:
        fields = typing.get_type_hints(type_, include_extras=True)
        names = {name.replace("_", "-"): name for name in fields}
        built: dict[str, Any] = {}
        for item in items:
            if not isinstance(item, list) or not item or not isinstance(item[0], sexpdata.Symbol):
                raise self.fault(path or "the file", _show(item), "write each field as (name value)")
            word = item[0].value()
            where = f"{path}.{word}" if path else word
            if word not in names:
                raise self.fault(where, f"unknown field {word!r}", f"known are: {', '.join(sorted(names))}")
            if names[word] in built:
                raise self.fault(where, f"field {word!r} a second time", "keep one of them")
            built[names[word]] = self.value(item[1:], fields[names[word]], where)
        return built

    def value(self, rest: list[Any], type_: Any, path: str) -> Any:
        plain = _plain(type_)
        if _is_struct(plain):
            return self.struct(rest, plain, path)
        if get_origin(plain) in (list, tuple):
            element = _plain(get_args(plain)[0])
            if not _is_struct(element):
                return [self.atom(item, path) for item in rest]
            built = []
            for i, item in enumerate(rest):
                if not isinstance(item, list) or not item or not isinstance(item[0], sexpdata.Symbol):
                    suggestion = "write each element as (name (field value) ...)"
                    raise self.fault(f"{path}[{i}]", _show(item), suggestion)
                built.append(self.struct(item[1:], element, f"{path}[{i}]"))
            return built
        if len(rest) != 1:
            raise self.fault(path, f"{len(rest)} values", "give exactly one")
        return self.atom(rest[0], path)

    def atom(self, item: Any, path: str) -> Any:
        if isinstance(item, list):
            raise self.fault(path, _show(item), "give a plain value, not a list")
        if isinstance(item, sexpdata.Symbol):
            word = item.value()
            return {"true": True, "false": False}.get(word, word)
        if isinstance(item, sexpdata.Quoted):
            raise self.fault(path, "a quote mark", "give a plain value")
        return item


def _show(item: Any) -> str:
    text = str(sexpdata.dumps(item))
    return text if len(text) <= 40 else text[:37] + "..."


_AT = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)


def parse(text: str, type_: type[T], source: str, under: dict[str, Any] | None = None) -> T:
    """Read settings from text; what it leaves out is as in `under`, field by field.

    Raises:
        SettingsError: syntax, an unknown or repeated field, a wrong type, a figure out of its range.
    """
    _balance(source, text)
    try:
        tree = sexpdata.parse(text, true=None, false=None, nil=None)
    except Exception as error:  # sexpdata raises several kinds of its own and assertions
        found = f"text that is no S-expression ({error})"
        raise SettingsError(f"found {found}", source, "see docs/operate/front.md") from None
    head = getattr(type_, "HEAD", "")
    if len(tree) != 1 or not isinstance(tree[0], list) or not tree[0] or str(tree[0][0]) != head:
        raise SettingsError(f"found {len(tree)} expressions or another head", source, f"write ({head} ...)")
    lines = _lines(text)
    built = _Builder(source, lines).struct(tree[0][1:], type_, "")
    if under is not None:
        built = _laid_over(under, built)
    try:
        return msgspec.convert(built, type_)
    except msgspec.ValidationError as error:
        match = _AT.match(str(error))
        assert match is not None
        path = (match["path"] or "").lstrip(".").replace("_", "-")
        what = match["what"].replace("_", "-")
        raise _fault(source, lines, path or "the file", _found(built, path), what) from None


def _laid_over(under: Any, over: Any) -> Any:
    if not isinstance(under, dict) or not isinstance(over, dict):
        return over
    return under | {name: _laid_over(under.get(name), value) for name, value in over.items()}


def _found(built: Any, path: str) -> str:
    here = built
    for part in re.findall(r"[^.\[\]]+", path):
        if isinstance(here, list) and part.isdigit() and int(part) < len(here):
            here = here[int(part)]
        elif isinstance(here, dict):
            here = here.get(part.replace("-", "_"))
        else:
            return "nothing"
    if isinstance(here, dict | list):
        return "a group with a field missing or amiss"
    return repr(here)


def load(path: str, type_: type[T]) -> T:
    """Read settings from a file.

    Raises:
        SettingsError: what `parse` raises, and a file that can't be read, is too long or is no UTF-8.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"found no readable file ({error.strerror})", path, "check the path") from None
    if len(raw) > MOST_BYTES:
        raise SettingsError(f"found {len(raw)} bytes", path, f"at most {MOST_BYTES} will do")
    try:
        return parse(raw.decode("utf-8"), type_, path)
    except UnicodeDecodeError as error:
        found = f"a byte that is no UTF-8 at {error.start}"
        raise SettingsError(f"found {found}", path, "save the file as UTF-8") from None
